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

// settle ends all faults and checks that the system returns to normal operation.
func (r *runner) settle() {
	r.endFaults()
	r.advance(settleTime)
	r.probe()
	if r.oracle.violation != nil {
		return
	}
	r.advance(settleTime)
	r.checkSettled()
	r.oracle.checkTerminalEntries()
}

func (r *runner) endFaults() {
	w := r.world
	r.oracle.noteFault(0)
	w.Net.Heal()
	w.Platform.Heal()
	w.Weights.Slowdown = 1
	for _, e := range r.presentEngines() {
		e.LoseAnswers, e.LateOrders, e.ReportLag = 0, 0, 0
		if e.Leaving {
			e.Reclaim(time.Second)
		}
	}
	for _, app := range w.Apps {
		app.BreakProbability = 0
	}
	for _, d := range w.Daemons {
		if d.Process != nil {
			d.Process.OrderLag = 0
			d.Process.Resume()
		}
	}
	// A daemon that is shutting down first waits for its open requests, so starting it is
	// tried several times.
	const (
		startRounds   = 8
		startInterval = 10 * time.Second
	)
	for round := range startRounds {
		w.After(startInterval*time.Duration(round), func() {
			for _, d := range w.Daemons {
				d.Start()
			}
		})
	}
}

// probe sends an urgent model request and a reservation to each running daemon, and repeats
// each until it is answered.
func (r *runner) probe() {
	pending := 0
	deadline := r.world.Now().Add(probeTimeout)
	var sendProbe func(send func() *vrworld.Call, name string)
	sendProbe = func(send func() *vrworld.Call, name string) {
		call := send()
		if call == nil {
			r.oracle.fail("settle", "%s: the daemon is not running", name)
			return
		}
		onEnd := func(*vrworld.Call) {
			switch {
			case call.End == vrworld.EndAnswered:
				pending--
			case r.world.Now().After(deadline):
				r.oracle.fail("settle", "%s is not served, last refusal reason: %s", name, call.Reason)
			default:
				r.world.After(probeInterval, func() { sendProbe(send, name) })
			}
		}
		if call.End != vrworld.EndOpen {
			onEnd(call)
			return
		}
		call.OnEnd = onEnd
	}
	for i, d := range r.runningDaemons() {
		pending += 2
		model := r.loadableModel(i)
		sendProbe(func() *vrworld.Call {
			return r.world.Send(d, vrevent.Request{Kind: vrworld.KindUrgent, Model: model, MaxTokens: 5})
		}, fmt.Sprintf("%s at %s", model, d.ID))
		sendProbe(func() *vrworld.Call {
			r.sequence++
			return r.reserve(d, reservation{service: vrworld.Orders, key: vrid.IdempotencyKey(fmt.Sprintf("probe%d", r.sequence)), digest: 1})
		}, "reservation at "+string(d.ID))
	}
	if !r.world.Until(2*probeTimeout, func() bool { return pending == 0 || r.oracle.violation != nil }) {
		r.oracle.fail("settle", "%d probes were not served", pending)
	}
}

// loadableModel returns a model whose ReplicasPerZone is above 0 in the newest configuration,
// or the first model if there is none.
func (r *runner) loadableModel(selector int) vrid.ModelID {
	value, _ := r.world.Platform.Object(vrplatform.KeyConfigHead)
	models := r.world.Decode(value).Fleet.Models
	for i := range models {
		if model := models[(selector+i)%len(models)]; model.ReplicasPerZone > 0 {
			return model.ID
		}
	}
	return models[0].ID
}

// checkSettled checks that every daemon is ready and idle and holds the newest configuration,
// and that no ledger entry or claim is left unfinished.
func (r *runner) checkSettled() {
	o := r.oracle
	liveBoots := make(map[vrid.BootID]bool)
	for _, d := range r.world.Daemons {
		p := d.Process
		if p == nil {
			if !d.Gone {
				o.fail("settle", "%s is not running", d.ID)
			}
			continue
		}
		liveBoots[p.Boot] = true
		if o.configVersions[p] != o.headVersion {
			o.fail("settle", "%s holds version %d, the head is %d", d.ID, o.configVersions[p], o.headVersion)
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
			checkLedgerSettled(o, key, server)
		}
	}
	r.checkClaims(liveBoots)
}

func checkLedgerSettled(o *oracle, key string, server vrledger.ServerLedger) {
	for _, entry := range server.Entries {
		if len(entry.Attempts) > 0 && entry.State != vrwire.ReplicaGranted {
			o.fail("settle", "%s: %s on %s stays pinned by %+v", key, entry.Model, server.Server, entry.Attempts)
		}
		if entry.State == vrwire.ReplicaLoading || entry.State == vrwire.ReplicaUnloading {
			o.fail("settle", "%s: %s %s on %s stays %s", key, entry.Model, entry.Adapter, server.Server, entry.State)
		}
	}
}

// checkClaims checks that no key is still claimed by a live daemon process.
func (r *runner) checkClaims(liveBoots map[vrid.BootID]bool) {
	newest := make(map[string]vrwire.ClaimEntry)
	for _, key := range r.world.Platform.Keys(vrplatform.PrefixClaims) {
		value, _ := r.world.Platform.Object(key)
		segment, err := vrwire.Unmarshal[vrwire.ClaimSegment](value)
		if err != nil {
			r.oracle.fail("settle", "%s is malformed: %v", key, err)
			continue
		}
		for _, entry := range segment.Entries {
			newest[strings.Join([]string{string(entry.Service), string(entry.Key)}, "/")] = entry
		}
	}
	for key, entry := range newest {
		if entry.State == vrwire.ClaimClaimed && liveBoots[entry.Boot] {
			r.oracle.fail("settle", "key %s stays claimed by %s", key, entry.Request)
		}
	}
}

// traceState adds the ledgers, the views of the daemons and the engines to the trace.
func (r *runner) traceState() {
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
	for _, e := range r.presentEngines() {
		line := fmt.Sprintf("engine %s boot %s alive %t leaving %t used %d:", e.ID, e.Boot, e.Alive, e.Leaving, e.Used)
		for _, model := range slices.Sorted(maps.Keys(e.Models)) {
			replica := e.Models[model]
			line += fmt.Sprintf(" %s loaded %t adapters %d", model, replica.Loaded, len(replica.Adapters))
		}
		w.Lines = append(w.Lines, line)
	}
}
