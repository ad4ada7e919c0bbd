package vrslope

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenacore/vrclaim"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// ClaimOptions configures the measurement of claim costs.
type ClaimOptions struct {
	// Rates are the numbers of calls a second in one shard, one run for each.
	Rates []int
	// Calls is the number of calls in each run.
	Calls int
	Seed  uint64
	Out   io.Writer
}

// ClaimPoint is the result of one run of a shard.
type ClaimPoint struct {
	Rate  float64
	Calls int
	// Writes and Bytes are platform writes and written bytes a second, and PerThousand is
	// the number of writes for 1,000 calls.
	Writes      float64
	Bytes       float64
	PerThousand float64
	// Wait is the time from the claim until it is granted and the call may start.
	Wait vrstat.Quantiles
}

// maxCallTime is the upper limit of the uniformly distributed time that a call spends at
// the application server.
const maxCallTime = 100 * time.Millisecond

// Claim measures every rate and prints a table and the fitted lines.
func Claim(options ClaimOptions) ([]ClaimPoint, error) {
	fmt.Fprintf(options.Out, "one shard, %d calls of up to %s each run, platform answers in %s, seed %d\n",
		options.Calls, maxCallTime, platformLatency, options.Seed)
	fmt.Fprintf(options.Out, "%10s %8s %14s %10s %12s %30s\n", "calls/s", "calls", "writes/1000", "writes/s", "bytes/s", "added wait p50/p95/p99")
	var points []ClaimPoint
	for _, rate := range options.Rates {
		point, err := measureClaims(options, float64(rate))
		if err != nil {
			return nil, err
		}
		printClaimPoint(options.Out, point)
		points = append(points, point)
	}
	shardRate := designRate * designClaimFraction / designShards
	shardRateAxis := vrstat.Axis[ClaimPoint]{Name: "calls/s in a shard", Value: func(p ClaimPoint) float64 { return p.Rate }}
	vrstat.PrintLines(options.Out, points, shardRateAxis, shardRate, []vrstat.Axis[ClaimPoint]{
		{Name: "writes/s of a shard", Value: func(p ClaimPoint) float64 { return p.Writes }},
		{Name: "added wait ms, median", Value: func(p ClaimPoint) float64 { return 1000 * p.Wait.P50.Seconds() }},
	})
	return points, printDesignScale(options, shardRate)
}

// printDesignScale measures a shard at the rate of the design scale. Writes don't grow in
// proportion to calls, so this run is more accurate than extrapolating the fitted line.
func printDesignScale(options ClaimOptions, shardRate float64) error {
	point, err := measureClaims(options, shardRate)
	if err != nil {
		return err
	}
	fmt.Fprintf(options.Out, "measured at %.0f calls/s in each of %d shards (%.0f%% of %.0f requests/s):\n",
		shardRate, designShards, 100*designClaimFraction, designRate)
	printClaimPoint(options.Out, point)
	fmt.Fprintf(options.Out, "  the fleet's claim writes: %.0f/s, %.0f bytes/s\n", designShards*point.Writes, designShards*point.Bytes)
	return nil
}

func printClaimPoint(out io.Writer, p ClaimPoint) {
	fmt.Fprintf(out, "%10.1f %8d %14.1f %10.2f %12.0f %30s\n", p.Rate, p.Calls, p.PerThousand, p.Writes, p.Bytes, p.Wait)
}

// designClaimWrites returns the fleet's claim writes a second at the design scale.
func designClaimWrites(seed uint64) (float64, error) {
	point, err := measureClaims(ClaimOptions{Calls: defaultCalls, Seed: seed}, designRate*designClaimFraction/designShards)
	return designShards * point.Writes, err
}

// measureClaims runs one shard with Poisson arrivals at a mean rate in calls a second.
func measureClaims(options ClaimOptions, rate float64) (ClaimPoint, error) {
	s := newShard(options.Seed)
	at := startTime
	for i := range options.Calls {
		s.schedule(at, func() { s.startClaim(i) })
		at = at.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
	}
	s.run()
	seconds := s.now.Sub(startTime).Seconds()
	point := ClaimPoint{
		Rate: float64(options.Calls) / at.Sub(startTime).Seconds(), Calls: options.Calls,
		Writes: float64(s.writes) / seconds, Bytes: float64(s.bytes) / seconds,
		PerThousand: thousand * float64(s.writes) / float64(options.Calls), Wait: vrstat.QuantilesOf(s.waits),
	}
	if len(s.waits) != options.Calls {
		return point, &UngrantedClaimsError{Calls: options.Calls, Granted: len(s.waits)}
	}
	return point, nil
}

// UngrantedClaimsError reports that not every claim was granted, which makes the figures of
// the run invalid.
type UngrantedClaimsError struct {
	Calls   int
	Granted int
}

func (e *UngrantedClaimsError) Error() string {
	return fmt.Sprintf("%d of %d claims were granted", e.Granted, e.Calls)
}

// shard simulates one claim log on a fake platform in virtual time.
type shard struct {
	now       time.Time
	random    *rand.Rand
	log       *vrclaim.Log
	effects   vrevent.Effects
	events    []event
	claimedAt map[vrid.RequestID]time.Time
	version   vrid.ObjectVersion
	writes    int
	bytes     int
	waits     []time.Duration
}

// event is a function that runs at a time.
type event struct {
	at  time.Time
	run func()
}

func newShard(seed uint64) *shard {
	const retention = 48 * time.Hour
	return &shard{
		now: startTime, random: rand.New(rand.NewPCG(seed, 3)),
		log: vrclaim.NewLog(0, retention, &vrevent.Ops{}), claimedAt: make(map[vrid.RequestID]time.Time),
	}
}

func (s *shard) schedule(at time.Time, run func()) {
	index, _ := slices.BinarySearchFunc(s.events, at, func(scheduled event, at time.Time) int {
		if scheduled.at.After(at) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, index, event{at: at, run: run})
}

// run runs the events in order of time, with a tick at least every TickInterval, until no
// event is left and the log is idle.
func (s *shard) run() {
	for len(s.events) > 0 || !s.log.Idle() {
		next := s.now.Add(vrevent.TickInterval)
		var fire func()
		if len(s.events) > 0 && !s.events[0].at.After(next) {
			next, fire = s.events[0].at, s.events[0].run
			s.events = s.events[1:]
		}
		s.now = next
		if fire != nil {
			fire()
		}
		s.log.Tick(s.now, &s.effects)
		s.executeEffects()
		s.handleAnswers()
	}
}

func (s *shard) newEntry(index int, state vrwire.ClaimState) vrwire.ClaimEntry {
	return vrwire.ClaimEntry{
		Service: "circles", Key: vrid.IdempotencyKey(fmt.Sprintf("reserve-%08d-%08d", index, index)), State: state,
		Daemon: "daemon-1", Boot: "01J00000000000000000000000",
		Request: vrid.RequestID(fmt.Sprintf("01J%023d", index)), Digest: uint64(index),
	}
}

func (s *shard) startClaim(index int) {
	const deadline = 10 * time.Second
	entry := s.newEntry(index, vrwire.ClaimClaimed)
	s.claimedAt[entry.Request] = s.now
	s.log.Claim(s.now, entry, entry.Daemon, s.now.Add(deadline))
}

// recordOutcome reports an answer of the size of a short JSON document.
func (s *shard) recordOutcome(granted vrwire.ClaimEntry) {
	const status, bodySize = 200, 120
	granted.State, granted.Status, granted.Body = vrwire.ClaimDone, status, make([]byte, bodySize)
	s.log.RecordOutcome(s.now, granted, granted.Daemon)
}

func (s *shard) handleAnswers() {
	for _, answer := range s.log.TakeAnswers() {
		if answer.State != vrwire.ClaimGranted {
			continue
		}
		s.waits = append(s.waits, s.now.Sub(s.claimedAt[answer.Request]))
		granted := *answer.Entry
		s.schedule(s.now.Add(time.Duration(s.random.Int64N(int64(maxCallTime)))), func() { s.recordOutcome(granted) })
	}
}

func (s *shard) executeEffects() {
	effects := append([]vrevent.Effect(nil), s.effects.List...)
	s.effects.Reset()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case vrevent.ListObjects:
			s.schedule(s.now.Add(platformLatency), func() {
				s.log.HandleListed(s.now, vrevent.ObjectsListed{Op: effect.Op, Outcome: vrplatform.OutcomeOK}, &s.effects)
			})
		case vrevent.WriteObject:
			s.writeObject(effect)
		}
	}
}

func (s *shard) writeObject(effect vrevent.WriteObject) {
	s.writes++
	s.bytes += len(effect.Value)
	s.version++
	written := vrevent.ObjectWritten{Op: effect.Op, Key: effect.Key, Outcome: vrplatform.OutcomeOK, Version: s.version}
	s.schedule(s.now.Add(platformLatency), func() { s.log.HandleWritten(s.now, written, &s.effects) })
}
