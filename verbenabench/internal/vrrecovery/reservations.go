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

// Targets of the reservation experiment.
const (
	// _unknownTarget bounds the fraction of reservations whose outcome stays unknown to the
	// caller.
	_unknownTarget = 0.001
	// _killTarget is the minimum number of kills for a conclusive run.
	_killTarget = 20
	// _writesTarget is the design's limit of platform writes per 1,000 reservations at a
	// low call rate, where writes are not batched: a claim and an outcome each.
	_writesTarget = 2000
)

// _maxRounds is how many times a caller sends a call whose outcome it does not know. In
// each round, vrload makes up to 4 attempts.
const _maxRounds = 3

// reservations measures duplicate executions and unknown outcomes while daemons are killed.
type reservations struct {
	*Options
	count int
	rate  float64
	kills int
}

func reservationsCommand(options *Options) *cobra.Command {
	r := &reservations{Options: options}
	command := newExperiment("reservations", "Make reservations while daemons are killed and restarted", options, r.run)
	command.Flags().IntVar(&r.count, "count", 10_000, "number of reservations")
	command.Flags().Float64Var(&r.rate, "rate", 100, "reservations per second")
	command.Flags().IntVar(&r.kills, "kills", 25, "target number of kills during the run")
	return command
}

func (r *reservations) run(ctx context.Context) error {
	tb, err := newTestbed(ctx, r.Options)
	if err != nil {
		return err
	}
	defer tb.fleet.Close()
	generator := tb.newGenerator()
	length := time.Duration(float64(r.count) / r.rate * float64(time.Second))
	killCtx, stop := context.WithCancel(ctx)
	k := newKiller(tb, generator, length/time.Duration(max(r.kills, 1)))
	var background conc.WaitGroup
	background.Go(func() { k.run(killCtx) })
	before := tb.fleet.World.Journal.After(0)
	results := r.reserve(ctx, tb, generator)
	stop()
	background.Wait()
	if k.runErr != nil {
		return k.runErr
	}
	tb.progress("%d reservations ended, %d kills, slowest start to ready %s", len(results), k.kills, k.maxStartup.Round(time.Millisecond))
	counts := countReservations(results, tb.fleet.World.Journal.After(uint64(len(before))))
	counts.report(&tb.verdict, r.count)
	tb.verdict.check(k.kills >= min(_killTarget, r.kills), "%d kills (at least %d)", k.kills, min(_killTarget, r.kills))
	if err := tb.checkInvariants(results); err != nil {
		return err
	}
	return tb.finish()
}

// reserve sends the reservations at r.rate. Each caller retries while it does not know
// the outcome.
func (r *reservations) reserve(ctx context.Context, tb *testbed, generator *vrload.Generator) []vrload.Result {
	planner := vrload.NewPlanner(&tb.fleet.Deployment.Fleet, r.Seed, nil)
	var callers conc.WaitGroup
	began := time.Now()
	for i := range r.count {
		at := began.Add(time.Duration(float64(i) / r.rate * float64(time.Second)))
		if vrpause.For(ctx, time.Until(at)) != nil {
			break
		}
		call := planner.Reserve()
		callers.Go(func() { generator.AddResult(callUntilKnown(context.WithoutCancel(ctx), generator, call)) })
	}
	callers.Wait()
	return generator.Wait()
}

// callUntilKnown repeats a call with the same idempotency key while its outcome is unknown,
// for at most _maxRounds rounds.
func callUntilKnown(ctx context.Context, generator *vrload.Generator, call vrload.Call) vrload.Result {
	result := generator.Do(ctx, call)
	for range _maxRounds - 1 {
		if !outcomeUnknown(result) || vrpause.For(ctx, time.Second) != nil {
			break
		}
		result.Attempts = append(result.Attempts, generator.Do(ctx, call).Attempts...)
	}
	return result
}

// outcomeUnknown reports whether the caller does not know if its reservation was made: no
// attempt was answered and one of them may have run.
func outcomeUnknown(result vrload.Result) bool {
	mayHaveRun := false
	for _, attempt := range result.Attempts {
		switch attempt.End {
		case vrload.EndAnswered, vrload.EndWrong:
			return false
		case vrload.EndBroken, vrload.EndTimeout:
			mayHaveRun = true
		case vrload.EndRefused:
			mayHaveRun = mayHaveRun || !attempt.Problem.NotRun
		case vrload.EndUnreached:
		}
	}
	return mayHaveRun
}

// reservationCounts compares what the application servers executed, according to the
// stand-ins' journal, with what the callers were told.
type reservationCounts struct {
	// keys is the number of executed idempotency keys, and duplicateRuns the number of
	// executions beyond one per key. falseNotRun counts refusals with notRun of requests
	// that were executed. falseOutcome counts calls that were answered although their key
	// was not executed, or reported as not run to the caller although it was.
	keys, duplicateRuns, falseNotRun, falseOutcome int
	// answered, refused and unknown count calls by the outcome that the caller knows.
	// retried counts the attempts after the first of each call.
	answered, refused, unknown, retried int
	// reasons counts the refused attempts by reason code.
	reasons map[vrwire.Reason]int
	// claimWrites counts the successful platform writes of claims, and writes those of all
	// objects.
	claimWrites, writes int
}

func countReservations(results []vrload.Result, journal []vrstandin.Entry) reservationCounts {
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
		counts.duplicateRuns += runs - 1
	}
	for _, result := range results {
		counts.add(result, byKey[result.Call.Key], byRequest)
	}
	return counts
}

// add counts one call, given the number of executions of its key and the IDs of all
// requests that were executed.
func (c *reservationCounts) add(result vrload.Result, runs int, byRequest map[vrid.RequestID]bool) {
	c.retried += len(result.Attempts) - 1
	answered := false
	for _, attempt := range result.Attempts {
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
	case outcomeUnknown(result):
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
	v.info("%d keys ran, %d answered, %d refused without being run, %d retries by callers", c.keys, c.answered, c.refused, c.retried)
	for reason, number := range c.reasons {
		v.info("%d attempts refused with %s", number, reason)
	}
	v.info("%d successful platform writes of all kinds per 1,000 reservations", c.writes*1000/max(count, 1))
	v.check(c.duplicateRuns == 0, "%d duplicate executions (0)", c.duplicateRuns)
	v.check(c.falseNotRun == 0, "%d executed requests refused with notRun (0)", c.falseNotRun)
	v.check(c.falseOutcome == 0, "%d callers with a wrong outcome (0)", c.falseOutcome)
	v.check(share < _unknownTarget, "%d outcomes unknown to their callers, %.3f%% (below 0.1%%)", c.unknown, share*100)
	v.check(writes <= _writesTarget, "%.0f platform writes of claims per 1,000 reservations (at most %d)", writes, _writesTarget)
}
