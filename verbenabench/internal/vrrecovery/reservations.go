package vrrecovery

import (
	"context"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// Targets of the reservations.
const (
	_unknownTarget = 0.001
	_killTarget    = 20
	// _writesTarget is the design's bound at today's few calls a second: a claim and an
	// outcome each.
	_writesTarget = 2000
)

// _rounds is how many times a caller takes up a call whose outcome it does not know;
// each round tries up to 4 daemons.
const _rounds = 3

type reservations struct {
	*Options
	count int
	rate  float64
	kills int
}

func reservationsCommand(options *Options) *cobra.Command {
	r := &reservations{Options: options}
	command := experiment("reservations", "Reserve while daemons are killed and started again", options, r.run)
	command.Flags().IntVar(&r.count, "count", 10_000, "number of reservations")
	command.Flags().Float64Var(&r.rate, "rate", 100, "reservations a second")
	command.Flags().IntVar(&r.kills, "kills", 25, "kills aimed at during the run")
	return command
}

func (r *reservations) run(ctx context.Context) error {
	s, err := newSite(ctx, r.Options)
	if err != nil {
		return err
	}
	defer s.fleet.Close()
	load := s.load()
	length := time.Duration(float64(r.count) / r.rate * float64(time.Second))
	killing, stop := context.WithCancel(ctx)
	k := newKiller(s, load, length/time.Duration(max(r.kills, 1)))
	var beside conc.WaitGroup
	beside.Go(func() { k.run(killing) })
	before := s.fleet.World.Journal.After(0)
	views := r.reserve(ctx, s, load)
	stop()
	beside.Wait()
	if k.failure != nil {
		return k.failure
	}
	s.progress("%d reservations ended, %d kills, slowest start to ready %s", len(views), k.kills, k.slowest.Round(time.Millisecond))
	counted := countReservations(views, s.fleet.World.Journal.After(uint64(len(before))))
	counted.report(&s.verdict, r.count)
	s.verdict.target(k.kills >= min(_killTarget, r.kills), "%d kills (at least %d)", k.kills, min(_killTarget, r.kills))
	if err := s.judge(views); err != nil {
		return err
	}
	return s.end()
}

// reserve sends the reservations at the rate; each caller goes on while it does not
// know the outcome.
func (r *reservations) reserve(ctx context.Context, s *site, load *vrload.Load) []vrload.View {
	planner := vrload.NewPlanner(&s.fleet.Deployment.Fleet, r.Seed, nil)
	var callers conc.WaitGroup
	began := time.Now()
	for i := range r.count {
		at := began.Add(time.Duration(float64(i) / r.rate * float64(time.Second)))
		if vrpause.For(ctx, time.Until(at)) != nil {
			break
		}
		call := planner.Reserve()
		callers.Go(func() { load.Keep(insist(context.WithoutCancel(ctx), load, call)) })
	}
	callers.Wait()
	return load.Wait()
}

// insist repeats a call with the same key while its outcome is open.
func insist(ctx context.Context, load *vrload.Load, call vrload.Call) vrload.View {
	view := load.Do(ctx, call)
	for range _rounds - 1 {
		if !open(view) || vrpause.For(ctx, time.Second) != nil {
			break
		}
		view.Attempts = append(view.Attempts, load.Do(ctx, call).Attempts...)
	}
	return view
}

// open reports whether the caller does not know if its reservation was made: no attempt
// was answered and one of them may have run.
func open(view vrload.View) bool {
	maybe := false
	for _, attempt := range view.Attempts {
		switch attempt.End {
		case vrload.EndAnswered, vrload.EndWrong:
			return false
		case vrload.EndBroken, vrload.EndTimeout:
			maybe = true
		case vrload.EndRefused:
			maybe = maybe || !attempt.Problem.NotRun
		case vrload.EndUnreached:
		}
	}
	return maybe
}

// reservationCounts are what the application servers' journal and the callers say.
type reservationCounts struct {
	keys, doubled, falseNotRun, falseOutcome int
	answered, refused, unknown, retried      int
	reasons                                  map[vrwire.Reason]int
	claimWrites, writes                      int
}

func countReservations(views []vrload.View, journal []vrstandin.Entry) reservationCounts {
	counts := reservationCounts{reasons: make(map[vrwire.Reason]int)}
	byKey := make(map[vrid.IdempotencyKey]int)
	byRequest := make(map[vrid.RequestID]bool)
	for _, entry := range journal {
		if entry.Kind == vrstandin.JournalRun {
			byKey[entry.Key]++
			byRequest[entry.Request] = true
		}
		if entry.Kind != vrstandin.JournalWrite {
			continue
		}
		counts.writes++
		if strings.HasPrefix(entry.Object, vrplatform.PrefixClaims) {
			counts.claimWrites++
		}
	}
	counts.keys = len(byKey)
	for _, runs := range byKey {
		counts.doubled += runs - 1
	}
	for _, view := range views {
		counts.add(view, byKey[view.Call.Key], byRequest)
	}
	return counts
}

// add counts one caller's view beside the number of runs of its key.
func (c *reservationCounts) add(view vrload.View, runs int, byRequest map[vrid.RequestID]bool) {
	c.retried += len(view.Attempts) - 1
	answered := false
	for _, attempt := range view.Attempts {
		answered = answered || attempt.End == vrload.EndAnswered
		if attempt.End != vrload.EndRefused {
			continue
		}
		c.reasons[attempt.Problem.Reason]++
		if attempt.Problem.NotRun && byRequest[attempt.Request] {
			c.falseNotRun++
		}
	}
	switch {
	case answered:
		c.answered++
		if runs == 0 {
			c.falseOutcome++
		}
	case open(view):
		c.unknown++
	default:
		c.refused++
		if runs > 0 {
			c.falseOutcome++
		}
	}
}

func (c *reservationCounts) report(v *verdict, count int) {
	share := float64(c.unknown) / float64(count)
	writes := float64(c.claimWrites) / float64(count) * 1000
	v.say("%d keys ran, %d answered, %d refused with notRun, %d retries by callers", c.keys, c.answered, c.refused, c.retried)
	for reason, number := range c.reasons {
		v.say("%d attempts refused with %s", number, reason)
	}
	v.say("%d platform writes that took effect for 1,000 reservations in all", c.writes*1000/max(count, 1))
	v.target(c.doubled == 0, "%d executions doubled (0)", c.doubled)
	v.target(c.falseNotRun == 0, "%d false notRun (0)", c.falseNotRun)
	v.target(c.falseOutcome == 0, "%d outcomes that the callers know wrongly (0)", c.falseOutcome)
	v.target(share < _unknownTarget, "%d outcomes unknown to their callers, %.3f%% (below 0.1%%)", c.unknown, share*100)
	v.target(writes <= _writesTarget, "%.0f platform writes of claims for 1,000 reservations (at most %d)", writes, _writesTarget)
}
