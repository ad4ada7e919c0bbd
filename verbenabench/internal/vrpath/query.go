package vrpath

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrfleet"
	"verbenaroute.example/verbenabench/internal/vrslope"
	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrquery"
)

// QueryOptions configures the measurement of a query over many entries.
type QueryOptions struct {
	// Entries is the number of entries in the record.
	Entries int
	// Rate is the number of warm chat completions per second sent to the same daemon.
	Rate int
	// For is the duration of each phase of traffic. Turns is the number of phases with
	// queries running, and also the number of phases without.
	For   time.Duration
	Turns int
	Seed  uint64
	Out   io.Writer
}

// queryHours is the number of full hours, before the current one, over which the entries
// are spread. A query over all of them goes back queryHours+1 hours.
const queryHours = 4

// memoryLimit is the maximum resident memory of a daemon.
const memoryLimit = 256 * vrid.MiB

// MemoryError reports that a daemon exceeded its memory limit.
type MemoryError struct {
	Peak  vrid.Bytes
	Limit vrid.Bytes
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("the daemon used %d bytes, limit %d", e.Peak, e.Limit)
}

// ScanError reports that a query read fewer entries than the record holds.
type ScanError struct {
	Scanned int
	Want    int
	Missing []string
}

func (e *ScanError) Error() string {
	return fmt.Sprintf("the query read %d of %d entries; missing %q", e.Scanned, e.Want, e.Missing)
}

// RunQuery measures a query over many entries and its effect on the latency of callers
// on the same daemon.
func RunQuery(ctx context.Context, options QueryOptions) error {
	program, dir, remove, err := vrfleet.BuildTemporary(ctx, false)
	if err != nil {
		return err
	}
	defer remove()
	deployment, err := vrdeploy.ByName(vrdeploy.Shuyuan, vrdeploy.Size{})
	if err != nil {
		return err
	}
	fleet, err := vrfleet.New(vrfleet.Options{Deployment: deployment, Program: program, Dir: dir, Speed: engineSpeed})
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := fillRecord(fleet, options); err != nil {
		return err
	}
	daemon := deployment.Daemons[0].ID
	if err := fleet.Start(daemon); err != nil {
		return err
	}
	if err := fleet.WaitReady(ctx, daemon, startTimeout); err != nil {
		return err
	}
	s := newSession(fleet, daemon, deployment)
	if err := s.loadModel(ctx); err != nil {
		return err
	}
	if err := s.measureMemory(ctx, options); err != nil {
		return err
	}
	if err := s.measureCallers(ctx, options); err != nil {
		return err
	}
	return fleet.StopAll()
}

// fillRecord writes the entries' blocks to the stand-in platform.
func fillRecord(fleet *vrfleet.Fleet, options QueryOptions) error {
	traffic, err := vrslope.NewTraffic(options.Seed, vrdeploy.Size{})
	if err != nil {
		return err
	}
	blocks, size := 0, 0
	err = vrslope.Archive(traffic, vrslope.ArchiveOptions{
		Zones: fleet.Deployment.Fleet.Zones(), Entries: options.Entries, Hours: queryHours, Now: time.Now(),
	}, func(item vrplatform.Item) {
		blocks++
		size += len(item.Value)
		fleet.World.Platform.Put(item.Key, item.Value)
	})
	fmt.Fprintf(options.Out, "%d entries in %d blocks, %.1f bytes each, over %d hours and %d zones, seed %d\n",
		options.Entries, blocks, float64(size)/float64(options.Entries), queryHours, len(fleet.Deployment.Fleet.Zones()), options.Seed)
	return err
}

// runQuery runs a query over the given number of past hours.
func (s *session) runQuery(ctx context.Context, hours int) (*vrquery.Table, error) {
	return s.fleet.Query(ctx, s.daemon, fmt.Sprintf("show requests since %dh by rank", hours))
}

// measureMemory runs a query over a part of the entries and one over all of them, and
// checks the daemon's memory during each.
func (s *session) measureMemory(ctx context.Context, options QueryOptions) error {
	fmt.Fprintf(options.Out, "%8s %10s %12s %14s %14s\n", "hours", "scanned", "query time", "before MiB", "peak MiB")
	const allHours = queryHours + 1
	for _, hours := range []int{2, allHours} {
		before := s.processUsage().Memory
		var peak vrid.Bytes
		var table *vrquery.Table
		started := time.Now()
		err := s.sampleDuring(ctx, func(ctx context.Context) (err error) {
			table, err = s.runQuery(ctx, hours)
			return err
		}, func() { peak = max(peak, s.processUsage().Memory) })
		if err != nil {
			return err
		}
		const mib = float64(vrid.MiB)
		fmt.Fprintf(options.Out, "%8d %10d %12s %14.1f %14.1f\n", hours, table.Scanned,
			time.Since(started).Round(time.Millisecond), float64(before)/mib, float64(peak)/mib)
		if peak > memoryLimit {
			return &MemoryError{Peak: peak, Limit: memoryLimit}
		}
		// Archive writes the same number of entries, rounded down, for each hour and zone.
		perHour := options.Entries / (queryHours * len(s.fleet.Deployment.Fleet.Zones()))
		want := perHour * queryHours * len(s.fleet.Deployment.Fleet.Zones())
		if hours == allHours && table.Scanned < want {
			return &ScanError{Scanned: table.Scanned, Want: want, Missing: table.Missing}
		}
	}
	return nil
}

// sampleDuring runs work and calls sample 20 times per second until work returns.
func (s *session) sampleDuring(ctx context.Context, work func(context.Context) error, sample func()) error {
	done := make(chan error, 1)
	go func() { done <- work(ctx) }()
	ticker := time.NewTicker(time.Second / 20)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			sample()
		}
	}
}

// measureCallers compares the callers' latency in alternating phases without and with
// queries.
func (s *session) measureCallers(ctx context.Context, options QueryOptions) error {
	var baseline, underQuery []time.Duration
	queries, failed := 0, 0
	for range options.Turns {
		samples, failures := s.sendTraffic(ctx, options)
		baseline, failed = append(baseline, samples...), failed+failures
		completed, samples, failures, err := s.sendTrafficDuringQueries(ctx, options)
		if err != nil {
			return err
		}
		queries += completed
		underQuery, failed = append(underQuery, samples...), failed+failures
	}
	without, with := vrstat.QuantilesOf(baseline), vrstat.QuantilesOf(underQuery)
	ratio := func(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }
	fmt.Fprintf(options.Out, "callers at %d/s, %d turns of %s each, %d queries completed, %d calls failed\n",
		options.Rate, options.Turns, options.For, queries, failed)
	fmt.Fprintf(options.Out, "  without the query p50/p95/p99 %s, with it %s, ratio %.2f/%.2f/%.2f\n", without, with,
		ratio(with.P50, without.P50), ratio(with.P95, without.P95), ratio(with.P99, without.P99))
	return nil
}

// sendTrafficDuringQueries sends the traffic of one phase while queries run back to back.
func (s *session) sendTrafficDuringQueries(ctx context.Context, options QueryOptions) (queries int, samples []time.Duration, failed int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.runQueries(ctx, &queries) }()
	samples, failed = s.sendTraffic(ctx, options)
	cancel()
	return queries, samples, failed, <-done
}

// runQueries runs queries back to back until the context is cancelled, and counts those
// that succeed.
func (s *session) runQueries(ctx context.Context, queries *int) error {
	for ctx.Err() == nil {
		_, err := s.runQuery(ctx, queryHours+1)
		switch {
		case err == nil:
			*queries++
		case ctx.Err() == nil:
			return err
		}
	}
	return nil
}

// sendTraffic sends streamed chat completions at options.Rate for one phase. It returns the
// times to the first byte and the number of failed calls.
func (s *session) sendTraffic(ctx context.Context, options QueryOptions) (samples []time.Duration, failed int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	ticker := time.NewTicker(time.Second / time.Duration(options.Rate))
	defer ticker.Stop()
	for range int(options.For.Seconds() * float64(options.Rate)) {
		<-ticker.C
		wg.Go(func() {
			latency, err := s.callDaemon(ctx, true)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			samples = append(samples, latency.firstByte)
		})
	}
	wg.Wait()
	return samples, failed
}

// QueryCommand returns `verbenabench query-cost`.
func QueryCommand() *cobra.Command {
	options := QueryOptions{}
	command := &cobra.Command{
		Use:   "query-cost",
		Short: "Measure a query over many entries and its effect on callers of the same daemon",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Out = command.OutOrStdout()
			return RunQuery(command.Context(), options)
		},
	}
	const (
		defaultEntries = 1_000_000
		defaultRate    = 200
		defaultTurns   = 3
		// defaultDuration is long enough for a query over defaultEntries entries.
		defaultDuration = 15 * time.Second
	)
	flags := command.Flags()
	flags.IntVar(&options.Entries, "entries", defaultEntries, "number of entries in the record")
	flags.IntVar(&options.Rate, "rate", defaultRate, "warm chat completions per second on the same daemon")
	flags.IntVar(&options.Turns, "turns", defaultTurns, "number of phases with the query, and as many without it")
	flags.DurationVar(&options.For, "for", defaultDuration, "duration of each phase")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed")
	return command
}
