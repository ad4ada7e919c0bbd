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
	_takeoverTarget = 5 * time.Second
	// _patience bounds the wait for a served request after a kill.
	_patience  = 40 * time.Second
	_askEvery  = 250 * time.Millisecond
	_leastRuns = 10
	// _manyModels leaves most models cold: a zone's servers hold 12 of them.
	_manyModels = 60
	_sample     = 20
	// _grantSample is one model for each server of a zone: a server holds one grant.
	_grantSample = 3
)

type takeover struct {
	*Options
	runs int
	real bool
}

func takeoverCommand(options *Options) *cobra.Command {
	t := &takeover{Options: options}
	command := experiment("takeover", "Kill a zone's owner and wait for the first served cold request", options, t.run)
	command.Flags().IntVar(&t.runs, "runs", 12, "number of kills")
	command.Flags().BoolVar(&t.real, "real", true, "run real daemons after the virtual ones")
	return command
}

func (t *takeover) run(ctx context.Context) error {
	v := verdict{out: t.Out}
	fmt.Fprintln(t.Out, "virtual time, platform up")
	t.virtual(&v)
	fmt.Fprintln(t.Out, "virtual time, platform down")
	t.outage(&v)
	t.grants(&v)
	if err := v.err(""); err != nil || !t.real {
		return err
	}
	fmt.Fprintln(t.Out, "real daemons, platform up")
	return t.onSite(ctx)
}

// spell is how long one takeover took.
type spell struct {
	lease, served time.Duration
}

func (t *takeover) virtual(v *verdict) {
	spells := make([]spell, 0, t.runs)
	for i := range t.runs {
		w := vrworld.New(vrworld.Options{Seed: t.Seed + uint64(i), Models: _manyModels})
		spells = append(spells, takeOver(w, vrworld.ZoneName(i%w.Options.Zones)))
	}
	reportSpells(v, spells)
}

// takeOver kills the zone's owner and asks for a cold model until it is served there.
func takeOver(w *vrworld.World, zone vrid.ZoneID) spell {
	w.Advance(_warmUp + time.Duration(w.Random().Int64N(int64(time.Second))))
	models := urgentModels(w)
	cold := models[slices.IndexFunc(models, func(model vrid.ModelID) bool { return !held(w, "", model) })]
	killed := w.Now()
	worldOwner(w, zone).Kill()
	result := spell{lease: _patience, served: _patience}
	var calls []*vrworld.Call
	for w.Now().Sub(killed) < _patience {
		running := survivors(w, zone)
		calls = append(calls, w.Send(running[w.Random().IntN(len(running))], prompt(cold)))
		served := w.Until(_askEvery, func() bool {
			if result.lease == _patience && worldOwner(w, zone) != nil {
				result.lease = w.Now().Sub(killed)
			}
			return held(w, zone, cold) && slices.ContainsFunc(calls, func(call *vrworld.Call) bool { return !call.FirstToken.IsZero() })
		})
		if served {
			result.served = w.Now().Sub(killed)
			break
		}
	}
	return result
}

func reportSpells(v *verdict, spells []spell) {
	served, leases := make([]time.Duration, 0, len(spells)), make([]time.Duration, 0, len(spells))
	for _, one := range spells {
		served, leases = append(served, one.served), append(leases, one.lease)
	}
	slices.Sort(served)
	slices.Sort(leases)
	middle := len(spells) / 2
	round := func(length time.Duration) time.Duration { return length.Round(time.Millisecond) }
	v.say("%d kills: lease of the successor after %s (median), %s (worst)", len(spells), round(leases[middle]), round(leases[len(leases)-1]))
	v.target(len(spells) >= _leastRuns, "%d kills (at least %d)", len(spells), _leastRuns)
	v.target(served[len(served)-1] <= _takeoverTarget, "first cold request served after %s (median), %s (worst; at most %s)",
		round(served[middle]), round(served[len(served)-1]), _takeoverTarget)
}

// outage kills a zone's owner while the platform is down and asks for warm models, cold
// ones and claims.
func (t *takeover) outage(v *verdict) {
	w := vrworld.New(vrworld.Options{Seed: t.Seed})
	zone := vrworld.ZoneName(0)
	w.Advance(_warmUp)
	models := urgentModels(w)
	for _, model := range models[:2] {
		w.Send(survivors(w, zone)[0], prompt(model))
	}
	w.Advance(_warmUp)
	warm := slices.DeleteFunc(slices.Clone(models), func(model vrid.ModelID) bool { return !held(w, zone, model) })
	cold := slices.DeleteFunc(slices.Clone(models), func(model vrid.ModelID) bool { return held(w, "", model) })
	w.Platform.Down = true
	worldOwner(w, zone).Kill()
	w.Advance(time.Second)
	running := survivors(w, zone)
	var warmCalls, coldCalls, claims []*vrworld.Call
	for i := range _sample {
		warmCalls = append(warmCalls, w.Send(running[i%len(running)], prompt(warm[i%len(warm)])))
		claims = append(claims, w.Send(running[i%len(running)], vrevent.Request{
			Kind: vrworld.KindNormal, Service: vrworld.Orders, Key: vrid.IdempotencyKey(fmt.Sprintf("outage-%d", i)), Digest: 1,
		}))
		w.Advance(_askEvery)
	}
	for i, model := range cold {
		coldCalls = append(coldCalls, w.Send(running[i%len(running)], prompt(model)))
	}
	w.Advance(_patience)
	answered, claimed, loaded := outcomesOf(w, warmCalls), outcomesOf(w, claims), outcomesOf(w, coldCalls)
	v.target(answered.answered == _sample, "%d of %d warm requests answered (all)", answered.answered, _sample)
	refused := claimed.reasons[string(vrwire.ReasonClaimUnavailable)]
	v.target(refused == _sample && claimed.late == 0, "%d of %d claims refused with claimUnavailable, %d late (all, 0)", refused, _sample, claimed.late)
	v.say("%d cold models: %d served by granted loads, %d refused %v", len(cold), loaded.answered, loaded.refused, loaded.reasons)
	v.target(loaded.late == 0 && loaded.open == 0, "%d cold requests ended late (0)", loaded.late+loaded.open)
}

// grants asks for the models that the zone's owner granted ahead of an outage, once with
// the owner alive and once with it dead.
func (t *takeover) grants(v *verdict) {
	asked, served := t.grantedLoads(false)
	v.target(served == asked && asked > 0, "owner alive: %d of %d granted models loaded and served (all)", served, asked)
	asked, served = t.grantedLoads(true)
	v.say("owner dead: %d of %d granted models loaded and served", served, asked)
}

// grantedLoads returns how many granted models were asked for in an outage and how many
// requests were answered.
func (t *takeover) grantedLoads(kill bool) (asked, served int) {
	w := vrworld.New(vrworld.Options{Seed: t.Seed, Models: _manyModels})
	zone := vrworld.ZoneName(0)
	w.Advance(_warmUp)
	for i, model := range urgentModels(w)[:_grantSample] {
		w.Send(survivors(w, zone)[i], prompt(model))
	}
	w.Advance(_warmUp)
	// Models that were used and that no server holds any more are the ones to grant.
	for _, e := range w.Engines {
		e.Restart(time.Second)
	}
	w.Advance(_patience)
	w.Platform.Down = true
	w.Advance(_takeoverTarget)
	if kill {
		worldOwner(w, zone).Kill()
	}
	var calls []*vrworld.Call
	running := survivors(w, zone)
	for i, model := range grantedModels(w, zone) {
		if held(w, "", model) {
			continue
		}
		calls = append(calls, w.Send(running[i%len(running)], prompt(model)))
		// Loads share the weight store, so that all at once would end after deadlines.
		w.Advance(_takeoverTarget)
	}
	w.Advance(_patience)
	return len(calls), outcomesOf(w, calls).answered
}

// grantedModels are the models that the zone's ledger holds as granted.
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
