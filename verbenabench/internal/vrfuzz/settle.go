package vrfuzz

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// settle ends every fault and checks that everything becomes normal again.
func (r *runner) settle() {
	r.heal()
	r.advance(settleTime)
	r.probe()
	if r.oracle.found != nil {
		return
	}
	r.advance(settleTime)
	r.checkSettled()
	r.oracle.checkEntries()
}

func (r *runner) heal() {
	w := r.world
	r.oracle.disturb(0)
	w.Net.Heal()
	w.Platform.Heal()
	w.Weights.Slowdown = 1
	for _, e := range r.engines() {
		e.LoseAnswers, e.LateOrders, e.ReportLag = 0, 0, 0
		if e.Leaving {
			e.Reclaim(time.Second)
		}
	}
	for _, app := range w.Apps {
		app.Break = 0
	}
	for _, d := range w.Daemons {
		if d.Process != nil {
			d.Process.OrderLag = 0
			d.Process.Resume()
		}
	}
	// A daemon that was asked to stop first waits for its open requests.
	const (
		rounds = 8
		pause  = 10 * time.Second
	)
	for round := range rounds {
		w.After(pause*time.Duration(round), func() {
			for _, d := range w.Daemons {
				d.Start()
			}
		})
	}
}

// probe sends each kind of request until it is answered.
func (r *runner) probe() {
	open := 0
	deadline := r.world.Now().Add(probeTime)
	var try func(send func() *vrworld.Call, name string)
	try = func(send func() *vrworld.Call, name string) {
		call := send()
		if call == nil {
			r.oracle.fail("settle", "%s: the daemon is down", name)
			return
		}
		again := func(*vrworld.Call) {
			switch {
			case call.End == vrworld.EndAnswered:
				open--
			case r.world.Now().After(deadline):
				r.oracle.fail("settle", "%s is not served, the last reason is %s", name, call.Reason)
			default:
				r.world.After(probePause, func() { try(send, name) })
			}
		}
		if call.End != vrworld.EndOpen {
			again(call)
			return
		}
		call.Then = again
	}
	for i, d := range r.running() {
		open += 2
		model := r.loadable(i)
		try(func() *vrworld.Call {
			return r.world.Send(d, vrevent.Request{Kind: vrworld.KindUrgent, Model: model, MaxTokens: 5})
		}, fmt.Sprintf("%s at %s", model, d.ID))
		try(func() *vrworld.Call {
			r.number++
			return r.reserve(d, reservation{service: vrworld.Orders, key: vrid.IdempotencyKey(fmt.Sprintf("probe%d", r.number)), digest: 1})
		}, "reservation at "+string(d.ID))
	}
	if !r.world.Until(2*probeTime, func() bool { return open == 0 || r.oracle.found != nil }) {
		r.oracle.fail("settle", "%d probes are not served", open)
	}
}

// loadable returns a model that the newest configuration lets zones load.
func (r *runner) loadable(selector int) vrid.ModelID {
	value, _ := r.world.Platform.Object(vrplatform.KeyConfigHead)
	models := r.world.Decode(value).Fleet.Models
	for i := range models {
		if model := models[(selector+i)%len(models)]; model.ReplicasPerZone > 0 {
			return model.ID
		}
	}
	return models[0].ID
}

// checkSettled checks the newest configuration, the ledgers and the claims.
func (r *runner) checkSettled() {
	o := r.oracle
	living := make(map[vrid.BootID]bool)
	for _, d := range r.world.Daemons {
		p := d.Process
		if p == nil {
			if !d.Gone {
				o.fail("settle", "%s is down", d.ID)
			}
			continue
		}
		living[p.Boot] = true
		if o.versions[p] != o.head {
			o.fail("settle", "%s holds version %d, the head is %d", d.ID, o.versions[p], o.head)
		}
		if p.Open() > 0 {
			o.fail("settle", "%s has %d open requests", d.ID, p.Open())
		}
		if !p.Ready {
			o.fail("settle", "%s is not ready", d.ID)
		}
	}
	for key, chunk := range o.chunks {
		for _, server := range chunk.Servers {
			checkEntriesSettled(o, key, server)
		}
	}
	r.checkClaims(living)
}

func checkEntriesSettled(o *oracle, key string, server vrledger.ServerLedger) {
	for _, entry := range server.Entries {
		if len(entry.Attempts) > 0 && entry.State != vrwire.ReplicaGranted {
			o.fail("settle", "%s: %s on %s stays pinned by %+v", key, entry.Model, server.Server, entry.Attempts)
		}
		if entry.State == vrwire.ReplicaLoading || entry.State == vrwire.ReplicaUnloading {
			o.fail("settle", "%s: %s %s on %s stays %s", key, entry.Model, entry.Adapter, server.Server, entry.State)
		}
	}
}

// checkClaims looks for keys that a living daemon claimed and never ended.
func (r *runner) checkClaims(living map[vrid.BootID]bool) {
	last := make(map[string]vrwire.ClaimEntry)
	for _, key := range r.world.Platform.Keys(vrplatform.PrefixClaims) {
		value, _ := r.world.Platform.Object(key)
		segment, err := vrwire.Unmarshal[vrwire.ClaimSegment](value)
		if err != nil {
			r.oracle.fail("settle", "%s is malformed: %v", key, err)
			continue
		}
		for _, entry := range segment.Entries {
			last[strings.Join([]string{string(entry.Service), string(entry.Key)}, "/")] = entry
		}
	}
	for key, entry := range last {
		if entry.State == vrwire.ClaimClaimed && living[entry.Boot] {
			r.oracle.fail("settle", "key %s stays claimed by %s", key, entry.Request)
		}
	}
}

// dump adds the ledgers and the engines to the trace.
func (r *runner) dump() {
	w := r.world
	for _, key := range w.Platform.Keys(vrplatform.PrefixLedgers) {
		chunk := r.oracle.chunks[key]
		w.Lines = append(w.Lines, fmt.Sprintf("%s epoch %d by %s", key, chunk.Epoch, chunk.Writer))
		for _, server := range chunk.Servers {
			for _, entry := range server.Entries {
				w.Lines = append(w.Lines, fmt.Sprintf("  %s %+v", server.Server, entry))
			}
		}
	}
	for _, d := range w.Daemons {
		if d.Process != nil {
			w.Lines = append(w.Lines, fmt.Sprintf("view of %s: %+v", d.ID, d.Process.State.Status().Servers))
		}
	}
	for _, e := range r.engines() {
		line := fmt.Sprintf("engine %s boot %s alive %t leaving %t used %d:", e.ID, e.Boot, e.Alive, e.Leaving, e.Used)
		for _, model := range slices.Sorted(maps.Keys(e.Models)) {
			held := e.Models[model]
			line += fmt.Sprintf(" %s loaded %t adapters %d", model, held.Loaded, len(held.Adapters))
		}
		w.Lines = append(w.Lines, line)
	}
}
