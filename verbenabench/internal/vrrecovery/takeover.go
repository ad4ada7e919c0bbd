package vrrecovery

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// _takeoverTarget is the maximum time from the kill of a zone's owner until the zone
	// serves a request for a cold model.
	_takeoverTarget = 5 * time.Second
	// _serveTimeout bounds the wait for a served request after a kill.
	_serveTimeout  = 40 * time.Second
	_retryInterval = 250 * time.Millisecond
	// _minKills is the minimum number of kills for a conclusive run.
	_minKills = 10
	// _manyModels leaves most models cold: a zone's servers have memory for 12 of them.
	_manyModels = 60
	// _outageRequests is the number of requests for warm models, and of calls that need a
	// claim, while the platform is down.
	_outageRequests = 20
	// _grantableModels is the number of models that the zone's owner is given reason to
	// grant: one per server of the zone, as a server holds one grant.
	_grantableModels = 3
)

// takeover measures how long a zone needs to recover after its owner is killed.
type takeover struct {
	*Options
	runs int
	// real also runs the experiment with real daemons.
	real bool
}

func takeoverCommand(options *Options) *cobra.Command {
	t := &takeover{Options: options}
	command := newExperiment("takeover", "Kill a zone's owner and wait for the first served cold request", options, t.run)
	command.Flags().IntVar(&t.runs, "runs", 12, "number of kills")
	command.Flags().BoolVar(&t.real, "real", true, "also measure real daemons after the virtual ones")
	return command
}

func (t *takeover) run(ctx context.Context) error {
	v := verdict{out: t.Out}
	fmt.Fprintln(t.Out, "virtual time, platform up")
	t.runVirtual(&v)
	fmt.Fprintln(t.Out, "virtual time, platform down")
	t.runOutage(&v)
	t.runGrantedLoads(&v)
	if err := v.err(""); err != nil || !t.real {
		return err
	}
	fmt.Fprintln(t.Out, "real daemons, platform up")
	return t.runReal(ctx)
}

// takeoverTimes holds the times from a kill to the successor's lease and to the first
// served cold request.
type takeoverTimes struct {
	lease, served time.Duration
}

// runVirtual measures takeovers in virtual time, each in a new world with its own seed.
func (t *takeover) runVirtual(v *verdict) {
	takeovers := make([]takeoverTimes, 0, t.runs)
	for i := range t.runs {
		w := vrworld.New(vrworld.Options{Seed: t.Seed + uint64(i), Models: _manyModels})
		takeovers = append(takeovers, measureTakeover(w, vrworld.ZoneName(i%w.Options.Zones)))
	}
	reportTakeovers(v, takeovers)
}

// measureTakeover kills the zone's owner at a random time within a second after the warm-up
// and requests a cold model until the zone serves it.
func measureTakeover(w *vrworld.World, zone vrid.ZoneID) takeoverTimes {
	w.Advance(_warmUp + time.Duration(w.Random().Int64N(int64(time.Second))))
	models := urgentModels(w)
	cold := models[slices.IndexFunc(models, func(model vrid.ModelID) bool { return !isLoaded(w, "", model) })]
	killed := w.Now()
	zoneOwner(w, zone).Kill()
	result := takeoverTimes{lease: _serveTimeout, served: _serveTimeout}
	var calls []*vrworld.Call
	for w.Now().Sub(killed) < _serveTimeout {
		running := runningDaemons(w, zone)
		calls = append(calls, w.Send(running[w.Random().IntN(len(running))], urgentRequest(cold)))
		served := w.Until(_retryInterval, func() bool {
			if result.lease == _serveTimeout && zoneOwner(w, zone) != nil {
				result.lease = w.Now().Sub(killed)
			}
			return isLoaded(w, zone, cold) && slices.ContainsFunc(calls, func(call *vrworld.Call) bool { return !call.FirstToken.IsZero() })
		})
		if served {
			result.served = w.Now().Sub(killed)
			break
		}
	}
	return result
}

// reportTakeovers prints the median and the longest times and checks the longest against
// the target.
func reportTakeovers(v *verdict, takeovers []takeoverTimes) {
	served, leases := make([]time.Duration, 0, len(takeovers)), make([]time.Duration, 0, len(takeovers))
	for _, times := range takeovers {
		served, leases = append(served, times.served), append(leases, times.lease)
	}
	slices.Sort(served)
	slices.Sort(leases)
	median := len(takeovers) / 2
	round := func(length time.Duration) time.Duration { return length.Round(time.Millisecond) }
	v.info("%d kills: lease of the successor after %s (median), %s (worst)", len(takeovers), round(leases[median]), round(leases[len(leases)-1]))
	v.check(len(takeovers) >= _minKills, "%d kills (at least %d)", len(takeovers), _minKills)
	v.check(served[len(served)-1] <= _takeoverTarget, "first cold request served after %s (median), %s (worst; at most %s)",
		round(served[median]), round(served[len(served)-1]), _takeoverTarget)
}

// runOutage kills a zone's owner while the platform is down, and then sends requests for
// warm models, calls that need a claim, and requests for cold models.
func (t *takeover) runOutage(v *verdict) {
	w := vrworld.New(vrworld.Options{Seed: t.Seed})
	zone := vrworld.ZoneName(0)
	w.Advance(_warmUp)
	models := urgentModels(w)
	for _, model := range models[:2] {
		w.Send(runningDaemons(w, zone)[0], urgentRequest(model))
	}
	w.Advance(_warmUp)
	warm := slices.DeleteFunc(slices.Clone(models), func(model vrid.ModelID) bool { return !isLoaded(w, zone, model) })
	cold := slices.DeleteFunc(slices.Clone(models), func(model vrid.ModelID) bool { return isLoaded(w, "", model) })
	w.Platform.Down = true
	zoneOwner(w, zone).Kill()
	w.Advance(time.Second)
	running := runningDaemons(w, zone)
	var warmCalls, coldCalls, claims []*vrworld.Call
	for i := range _outageRequests {
		warmCalls = append(warmCalls, w.Send(running[i%len(running)], urgentRequest(warm[i%len(warm)])))
		claims = append(claims, w.Send(running[i%len(running)], vrevent.Request{
			Kind: vrworld.KindNormal, Service: vrworld.Orders, Key: vrid.IdempotencyKey(fmt.Sprintf("outage-%d", i)), Digest: 1,
		}))
		w.Advance(_retryInterval)
	}
	for i, model := range cold {
		coldCalls = append(coldCalls, w.Send(running[i%len(running)], urgentRequest(model)))
	}
	w.Advance(_serveTimeout)
	warmOutcomes, claimOutcomes, coldOutcomes := countOutcomes(w, warmCalls), countOutcomes(w, claims), countOutcomes(w, coldCalls)
	v.check(warmOutcomes.answered == _outageRequests, "%d of %d warm requests answered (all)", warmOutcomes.answered, _outageRequests)
	refused := claimOutcomes.reasons[string(vrwire.ReasonClaimUnavailable)]
	v.check(refused == _outageRequests && claimOutcomes.late == 0, "%d of %d claims refused with claimUnavailable, %d late (all, 0)", refused, _outageRequests, claimOutcomes.late)
	v.info("%d cold models: %d served by granted loads, %d refused %v", len(cold), coldOutcomes.answered, coldOutcomes.refused, coldOutcomes.reasons)
	v.check(coldOutcomes.late == 0 && coldOutcomes.open == 0, "%d cold requests ended late (0)", coldOutcomes.late+coldOutcomes.open)
}

// runGrantedLoads requests the models that the zone's owner granted ahead of an outage,
// once with the owner alive and once with it dead.
func (t *takeover) runGrantedLoads(v *verdict) {
	requested, served := t.grantedLoads(false)
	v.check(served == requested && requested > 0, "owner alive: %d of %d granted models loaded and served (all)", served, requested)
	requested, served = t.grantedLoads(true)
	v.info("owner dead: %d of %d granted models loaded and served", served, requested)
}

// grantedLoads returns how many granted models were requested during an outage and how
// many of the requests were answered.
func (t *takeover) grantedLoads(killOwner bool) (requested, served int) {
	w := vrworld.New(vrworld.Options{Seed: t.Seed, Models: _manyModels})
	zone := vrworld.ZoneName(0)
	w.Advance(_warmUp)
	for i, model := range urgentModels(w)[:_grantableModels] {
		w.Send(runningDaemons(w, zone)[i], urgentRequest(model))
	}
	w.Advance(_warmUp)
	// The owner grants models that were used and that no server has loaded any more, so the
	// engines restart with empty memory.
	for _, e := range w.Engines {
		e.Restart(time.Second)
	}
	w.Advance(_serveTimeout)
	w.Platform.Down = true
	w.Advance(_takeoverTarget)
	if killOwner {
		zoneOwner(w, zone).Kill()
	}
	var calls []*vrworld.Call
	running := runningDaemons(w, zone)
	for i, model := range grantedModels(w, zone) {
		if isLoaded(w, "", model) {
			continue
		}
		calls = append(calls, w.Send(running[i%len(running)], urgentRequest(model)))
		// The loads share the weight store. If they all started at once, they would end
		// after the deadlines of the requests.
		w.Advance(_takeoverTarget)
	}
	w.Advance(_serveTimeout)
	return len(calls), countOutcomes(w, calls).answered
}

// grantedModels returns the models that are marked as granted in the zone's ledger.
func grantedModels(w *vrworld.World, zone vrid.ZoneID) []vrid.ModelID {
	var models []vrid.ModelID
	for _, key := range w.Platform.Keys(vrplatform.PrefixLedgers + string(zone) + "/") {
		value, _ := w.Platform.Object(key)
		chunk, err := vrwire.Unmarshal[vrledger.Chunk](value)
		if err != nil {
			continue
		}
		for _, server := range chunk.Servers {
			for _, entry := range server.Entries {
				if entry.State == vrwire.ReplicaGranted {
					models = append(models, entry.Model)
				}
			}
		}
	}
	return models
}
