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

// ClaimOptions of the measurement of claims.
type ClaimOptions struct {
	// Rates are calls a second in one shard.
	Rates []int
	// Calls is how many calls each run makes.
	Calls int
	Seed  uint64
	Out   io.Writer
}

// ClaimPoint is one run of a shard.
type ClaimPoint struct {
	Rate  float64
	Calls int
	// Writes and Bytes a second, and Writes for 1,000 calls.
	Writes      float64
	Bytes       float64
	PerThousand float64
	// Wait is the time from the claim to the answer that lets the call go.
	Wait vrstat.Quantiles
}

// Lengths of the calls: the time at the application server is spread evenly up to this.
const maxCallTime = 100 * time.Millisecond

// Claim measures every rate and prints a table and the lines.
func Claim(options ClaimOptions) ([]ClaimPoint, error) {
	fmt.Fprintf(options.Out, "one shard, %d calls of up to %s each run, platform answers in %s, seed %d\n",
		options.Calls, maxCallTime, platformDelay, options.Seed)
	fmt.Fprintf(options.Out, "%10s %8s %14s %10s %12s %30s\n", "calls/s", "calls", "writes/1000", "writes/s", "bytes/s", "added wait p50/p95/p99")
	var points []ClaimPoint
	for _, rate := range options.Rates {
		point, err := claimPoint(options, float64(rate))
		if err != nil {
			return nil, err
		}
		printClaim(options.Out, point)
		points = append(points, point)
	}
	perShard := designRate * designUnrepeatable / designShards
	byRate := vrstat.Axis[ClaimPoint]{Name: "calls/s in a shard", Value: func(p ClaimPoint) float64 { return p.Rate }}
	vrstat.PrintLines(options.Out, points, byRate, perShard, []vrstat.Axis[ClaimPoint]{
		{Name: "writes/s of a shard", Value: func(p ClaimPoint) float64 { return p.Writes }},
		{Name: "added wait ms, median", Value: func(p ClaimPoint) float64 { return 1000 * p.Wait.P50.Seconds() }},
	})
	return points, printDesignClaims(options, perShard)
}

// printDesignClaims measures a shard at the design scale's rate: writes don't grow in
// proportion to calls, so the run says more than the line.
func printDesignClaims(options ClaimOptions, perShard float64) error {
	point, err := claimPoint(options, perShard)
	if err != nil {
		return err
	}
	fmt.Fprintf(options.Out, "measured at %.0f calls/s in each of %d shards (%.0f%% of %.0f requests/s):\n",
		perShard, designShards, 100*designUnrepeatable, designRate)
	printClaim(options.Out, point)
	fmt.Fprintf(options.Out, "  the fleet's claim writes: %.0f/s, %.0f bytes/s\n", designShards*point.Writes, designShards*point.Bytes)
	return nil
}

func printClaim(out io.Writer, p ClaimPoint) {
	fmt.Fprintf(out, "%10.1f %8d %14.1f %10.2f %12.0f %30s\n", p.Rate, p.Calls, p.PerThousand, p.Writes, p.Bytes, p.Wait)
}

// designClaimWrites is the fleet's claim writes a second at the design scale.
func designClaimWrites(seed uint64) (float64, error) {
	point, err := claimPoint(ClaimOptions{Calls: defaultCalls, Seed: seed}, designRate*designUnrepeatable/designShards)
	return designShards * point.Writes, err
}

// claimPoint runs one shard with calls at random times of a mean rate.
func claimPoint(options ClaimOptions, rate float64) (ClaimPoint, error) {
	s := newShard(options.Seed)
	at := epoch
	for i := range options.Calls {
		s.schedule(at, func() { s.claim(i) })
		at = at.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
	}
	s.run()
	seconds := s.now.Sub(epoch).Seconds()
	point := ClaimPoint{
		Rate: float64(options.Calls) / at.Sub(epoch).Seconds(), Calls: options.Calls,
		Writes: float64(s.writes) / seconds, Bytes: float64(s.bytes) / seconds,
		PerThousand: thousand * float64(s.writes) / float64(options.Calls), Wait: vrstat.QuantilesOf(s.waits),
	}
	if len(s.waits) != options.Calls {
		return point, &UnansweredError{Calls: options.Calls, Granted: len(s.waits)}
	}
	return point, nil
}

// UnansweredError says that not every claim was granted, so that a run measured
// something else than claims.
type UnansweredError struct {
	Calls   int
	Granted int
}

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("%d of %d claims were granted", e.Granted, e.Calls)
}

// shard is one log on a fake platform in virtual time.
type shard struct {
	now     time.Time
	random  *rand.Rand
	log     *vrclaim.Log
	effects vrevent.Effects
	steps   []step
	began   map[vrid.RequestID]time.Time
	version vrid.ObjectVersion
	writes  int
	bytes   int
	waits   []time.Duration
}

// step is what happens at a time.
type step struct {
	at time.Time
	do func()
}

func newShard(seed uint64) *shard {
	const retention = 48 * time.Hour
	return &shard{
		now: epoch, random: rand.New(rand.NewPCG(seed, 3)),
		log: vrclaim.NewLog(0, retention, &vrevent.Ops{}), began: make(map[vrid.RequestID]time.Time),
	}
}

func (s *shard) schedule(at time.Time, do func()) {
	index, _ := slices.BinarySearchFunc(s.steps, at, func(held step, at time.Time) int {
		if held.at.After(at) {
			return 1
		}
		return -1
	})
	s.steps = slices.Insert(s.steps, index, step{at: at, do: do})
}

// run goes through the steps, with a tick at least each TickInterval, until nothing is
// left to happen.
func (s *shard) run() {
	for len(s.steps) > 0 || !s.log.Idle() {
		next := s.now.Add(vrevent.TickInterval)
		var do func()
		if len(s.steps) > 0 && !s.steps[0].at.After(next) {
			next, do = s.steps[0].at, s.steps[0].do
			s.steps = s.steps[1:]
		}
		s.now = next
		if do != nil {
			do()
		}
		s.log.Tick(s.now, &s.effects)
		s.execute()
		s.takeAnswers()
	}
}

func (s *shard) entry(index int, state vrwire.ClaimState) vrwire.ClaimEntry {
	return vrwire.ClaimEntry{
		Service: "circles", Key: vrid.IdempotencyKey(fmt.Sprintf("reserve-%08d-%08d", index, index)), State: state,
		Daemon: "daemon-1", Boot: "01J00000000000000000000000",
		Request: vrid.RequestID(fmt.Sprintf("01J%023d", index)), Digest: uint64(index),
	}
}

func (s *shard) claim(index int) {
	const deadline = 10 * time.Second
	entry := s.entry(index, vrwire.ClaimClaimed)
	s.began[entry.Request] = s.now
	s.log.Claim(s.now, entry, entry.Daemon, s.now.Add(deadline))
}

// end reports an answer of the size of a short JSON document.
func (s *shard) end(granted vrwire.ClaimEntry) {
	const status, bodySize = 200, 120
	granted.State, granted.Status, granted.Body = vrwire.ClaimDone, status, make([]byte, bodySize)
	s.log.RecordOutcome(s.now, granted, granted.Daemon)
}

func (s *shard) takeAnswers() {
	for _, got := range s.log.TakeAnswers() {
		if got.State != vrwire.ClaimGranted {
			continue
		}
		s.waits = append(s.waits, s.now.Sub(s.began[got.Request]))
		granted := *got.Entry
		s.schedule(s.now.Add(time.Duration(s.random.Int64N(int64(maxCallTime)))), func() { s.end(granted) })
	}
}

func (s *shard) execute() {
	effects := append([]vrevent.Effect(nil), s.effects.List...)
	s.effects.Reset()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case vrevent.ListObjects:
			s.schedule(s.now.Add(platformDelay), func() {
				s.log.HandleListed(s.now, vrevent.ObjectsListed{Op: effect.Op, Outcome: vrplatform.OutcomeOK}, &s.effects)
			})
		case vrevent.WriteObject:
			s.write(effect)
		}
	}
}

func (s *shard) write(effect vrevent.WriteObject) {
	s.writes++
	s.bytes += len(effect.Value)
	s.version++
	written := vrevent.ObjectWritten{Op: effect.Op, Key: effect.Key, Outcome: vrplatform.OutcomeOK, Version: s.version}
	s.schedule(s.now.Add(platformDelay), func() { s.log.HandleWritten(s.now, written, &s.effects) })
}
