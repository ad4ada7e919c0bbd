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

// rankRow is one line of the table.
type rankRow struct {
	sent, answered, refused, cold int
	first                         *hdrhistogram.Histogram
	reasons                       map[string]int
}

// Bounds of the histograms, in microseconds.
const (
	_lowest  = 1
	_highest = int64(2 * time.Minute / time.Microsecond)
	_digits  = 3
)

// writeTable prints service by rank: what was sent is the callers' count, the rest is
// read from the record.
func writeTable(out io.Writer, evidence *vrinvariant.Evidence) {
	var rows [vrid.RankCount]rankRow
	for rank := range rows {
		rows[rank].first = hdrhistogram.New(_lowest, _highest, _digits)
		rows[rank].reasons = make(map[string]int)
	}
	for _, view := range evidence.Results {
		rows[view.Call.Rank].sent += len(view.Attempts)
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
	// The table's buffer reports only what its writer reports.
	_ = table.Flush()
	for _, rank := range vrid.Ranks() {
		if len(rows[rank].reasons) > 0 {
			fmt.Fprintf(out, "%s refused: %v\n", rank, rows[rank].reasons)
		}
	}
	writeLongWaits(out, evidence.Record)
	fmt.Fprintf(out, "times run to the first token or the answer; the record holds %d gaps\n", gaps)
}

// longWait is a wait that a fleet with free capacity has to explain.
const (
	longWait     = 5 * time.Second
	mostLongWait = 10
)

// writeLongWaits names refused requests that waited long: what they asked for tells
// whether the fleet was full or missed a load.
func writeLongWaits(out io.Writer, record []vrrecord.Entry) {
	shown := 0
	for _, entry := range record {
		waited := time.Duration(entry.Total) * time.Microsecond
		if entry.Kind != vrrecord.EntryRefused || waited < longWait || shown == mostLongWait {
			continue
		}
		shown++
		fmt.Fprintf(out, "%s request for %s%s%s at %s refused after %s: %s, %d attempts\n", entry.Rank, entry.Model,
			entry.Adapter, entry.Service, entry.Daemon, waited.Round(time.Millisecond), entry.Reason, entry.Attempts)
	}
}

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
	took := entry.FirstToken
	if took == 0 {
		took = entry.Total
	}
	// Values beyond the bounds can't be: every call ends before the highest one.
	_ = r.first.RecordValue(max(took, _lowest))
}

func (r *rankRow) quantile(percent float64) time.Duration {
	value := time.Duration(r.first.ValueAtQuantile(percent)) * time.Microsecond
	return value.Round(time.Millisecond)
}
