package vrtry

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"verbenaroute.example/verbenabench/internal/vrinvariant"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
)

// rankRow holds the figures for one rank. The latencies are in microseconds.
type rankRow struct {
	sent, answered, refused, cold int
	latencies                     *hdrhistogram.Histogram
	reasons                       map[string]int
}

// Range, in microseconds, and precision of the latency histograms.
const (
	_minLatency         = 1
	_maxLatency         = int64(2 * time.Minute / time.Microsecond)
	_significantFigures = 3
)

// writeTable prints one row for each rank. The number of attempts sent comes from the
// callers, all other columns come from the record.
func writeTable(out io.Writer, evidence *vrinvariant.Evidence) {
	var rows [vrid.RankCount]rankRow
	for rank := range rows {
		rows[rank].latencies = hdrhistogram.New(_minLatency, _maxLatency, _significantFigures)
		rows[rank].reasons = make(map[string]int)
	}
	for _, result := range evidence.Results {
		rows[result.Call.Rank].sent += len(result.Attempts)
	}
	gaps := 0
	for _, entry := range evidence.Record {
		if entry.Kind == vrrecord.EntryGap {
			gaps++
		}
		if entry.Kind.Terminal() && entry.Rank.Valid() {
			rows[entry.Rank].add(entry)
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nrank\tsent\tanswered\trefused\tcold\tp50\tp95\tp99\t")
	for _, rank := range vrid.Ranks() {
		row := rows[rank]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", rank, row.sent, row.answered, row.refused, row.cold,
			row.quantile(50), row.quantile(95), row.quantile(99))
	}
	// Flush fails only if a write to out fails.
	_ = table.Flush()
	for _, rank := range vrid.Ranks() {
		if len(rows[rank].reasons) > 0 {
			fmt.Fprintf(out, "%s refused: %v\n", rank, rows[rank].reasons)
		}
	}
	writeLongWaits(out, evidence.Record)
	fmt.Fprintf(out, "latencies are measured to the first token or to the response; the record has %d gaps\n", gaps)
}

// Limits of the list of long waits.
const (
	// longWait is the minimum wait to be listed. A fleet with free capacity should not keep
	// a request waiting that long.
	longWait     = 5 * time.Second
	maxLongWaits = 10
)

// writeLongWaits lists requests that were refused after a long wait. Their targets show
// whether the fleet was full or a load is missing.
func writeLongWaits(out io.Writer, record []vrrecord.Entry) {
	shown := 0
	for _, entry := range record {
		waited := time.Duration(entry.Total) * time.Microsecond
		if entry.Kind != vrrecord.EntryRefused || waited < longWait || shown == maxLongWaits {
			continue
		}
		shown++
		fmt.Fprintf(out, "%s request for %s%s%s at %s refused after %s: %s, %d attempts\n", entry.Rank, entry.Model,
			entry.Adapter, entry.Service, entry.Daemon, waited.Round(time.Millisecond), entry.Reason, entry.Attempts)
	}
}

// add counts the terminal entry of a request.
func (r *rankRow) add(entry vrrecord.Entry) {
	if entry.Kind == vrrecord.EntryRefused {
		r.refused++
		r.reasons[entry.Reason]++
		return
	}
	r.answered++
	if entry.Cold {
		r.cold++
	}
	latency := entry.FirstToken
	if latency == 0 {
		latency = entry.Total
	}
	// RecordValue can't fail: every call ends before _maxLatency.
	_ = r.latencies.RecordValue(max(latency, _minLatency))
}

func (r *rankRow) quantile(percent float64) time.Duration {
	value := time.Duration(r.latencies.ValueAtQuantile(percent)) * time.Microsecond
	return value.Round(time.Millisecond)
}
