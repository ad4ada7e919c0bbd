package vrplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrwire"
)

// serveAdapter loads an adapter beside its base model, and asks for the base first.
func (w *plan) serveAdapter(wanted want) {
	adapter := w.Index.Adapter(wanted.adapter)
	if adapter == nil || w.adapterLoads >= w.AdapterSlots {
		return
	}
	var best *vrledger.Snapshot
	based := false
	for i := range w.Servers {
		server := &w.Servers[i]
		base := findEntry(server, wanted.model, "")
		if base == nil || base.State == vrwire.ReplicaGranted || server.Info.State != vrwire.ServerLive {
			continue
		}
		based = true
		held := findEntry(server, wanted.model, wanted.adapter)
		if held != nil && held.State != vrwire.ReplicaUnloading {
			return
		}
		roomy := w.free[server.Info.ID] >= adapter.Memory
		if base.State == vrwire.ReplicaLoaded && roomy && (best == nil || w.free[server.Info.ID] > w.free[best.Info.ID]) {
			best = server
		}
	}
	if best != nil {
		w.take(best, "", adapter.Memory)
		w.actions = append(w.actions, vrledger.Action{
			Kind: vrledger.ActionLoad, Server: best.Info.ID, Model: wanted.model,
			Adapter: adapter.ID, Bytes: adapter.Memory, Source: sourceRemote,
		})
		w.adapterLoads++
		return
	}
	if !based {
		base := wanted
		base.adapter = ""
		base.forAdapter = true
		w.serveModel(base)
		return
	}
	w.evictAdapterFor(wanted)
}

// evictAdapterFor unloads the least used adapter beside the wanted one's base.
func (w *plan) evictAdapterFor(wanted want) {
	var victim *vrledger.Entry
	var victimServer vrid.ServerID
	lowest := math.Inf(1)
	for i := range w.Servers {
		server := &w.Servers[i]
		base := findEntry(server, wanted.model, "")
		if base == nil || base.State != vrwire.ReplicaLoaded {
			continue
		}
		for j := range server.Entries {
			entry := &server.Entries[j]
			if entry.Adapter == "" || !w.evictable(server, entry, wanted.rank) {
				continue
			}
			if value := w.value(entry); value < lowest {
				lowest, victim, victimServer = value, entry, server.Info.ID
			}
		}
	}
	if victim != nil {
		w.unload(victimServer, victim)
	}
}

// evictFor makes room for a model on the server where the least is lost.
func (w *plan) evictFor(wanted want, model *vrconfig.Model) {
	var best []*vrledger.Entry
	var bestServer vrid.ServerID
	lowest := math.Inf(1)
	for i := range w.Servers {
		server := &w.Servers[i]
		if server.Info.State != vrwire.ServerLive || server.Info.Pool != model.Pool || w.busy[server.Info.ID] {
			continue
		}
		victims, loss, ok := w.victims(server, model, wanted.rank)
		if ok && loss < lowest {
			best, bestServer, lowest = victims, server.Info.ID, loss
		}
	}
	if len(best) > 0 {
		// One order at a time on a server: the next plan unloads the next victim.
		w.unload(bestServer, best[0])
	}
}

// victims returns the least valuable entries whose removal makes room for the model,
// adapters before their base.
func (w *plan) victims(server *vrledger.Snapshot, model *vrconfig.Model, rank vrid.Rank) ([]*vrledger.Entry, float64, bool) {
	if findEntry(server, model.ID, "") != nil {
		return nil, 0, false
	}
	var candidates []*vrledger.Entry
	for i := range server.Entries {
		entry := &server.Entries[i]
		// What a grant holds counts as free already if it can be taken back.
		if entry.Adapter == "" && entry.State != vrwire.ReplicaGranted && w.evictable(server, entry, rank) {
			candidates = append(candidates, entry)
		}
	}
	slices.SortFunc(candidates, func(a, b *vrledger.Entry) int {
		if va, vb := w.value(a), w.value(b); va != vb {
			return cmp.Compare(va, vb)
		}
		return cmp.Compare(a.Model, b.Model)
	})
	free := w.free[server.Info.ID]
	loss := 0.0
	var victims []*vrledger.Entry
	for _, entry := range candidates {
		if free >= model.Memory {
			break
		}
		adapters := adaptersOf(server, entry.Model)
		for _, adapter := range adapters {
			free += adapter.Bytes
		}
		victims = append(victims, adapters...)
		victims = append(victims, entry)
		free += entry.Bytes
		loss += w.value(entry)
	}
	return victims, loss, free >= model.Memory
}

// freeUnused unloads a replica of a server that takes no new work, such as a drained one:
// it counts towards the model's cap and serves nobody. Its running requests end first.
func (w *plan) freeUnused(wanted want) {
	for i := range w.Servers {
		server := &w.Servers[i]
		entry := findEntry(server, wanted.model, "")
		idle := server.Report == nil || server.Report.Running == 0
		if entry == nil || server.Info.State == vrwire.ServerLive || w.busy[server.Info.ID] || !idle {
			continue
		}
		for _, victim := range append(adaptersOf(server, entry.Model), entry) {
			if victim.State == vrwire.ReplicaLoaded && len(victim.Attempts) == 0 {
				w.unload(server.Info.ID, victim)
				return
			}
		}
	}
}

func adaptersOf(server *vrledger.Snapshot, model vrid.ModelID) []*vrledger.Entry {
	var adapters []*vrledger.Entry
	for i := range server.Entries {
		if server.Entries[i].Model == model && server.Entries[i].Adapter != "" {
			adapters = append(adapters, &server.Entries[i])
		}
	}
	return adapters
}

// evictable reports whether an entry may go for a request of a rank: nobody of the same
// or a higher rank waits for it, it had time to serve, and no order for it is unsettled.
func (w *plan) evictable(server *vrledger.Snapshot, entry *vrledger.Entry, rank vrid.Rank) bool {
	if entry.State == vrwire.ReplicaGranted {
		return true
	}
	pinned := len(entry.Attempts) > 0 && !vrfault.On(vrfault.IgnorePin)
	if entry.State != vrwire.ReplicaLoaded || pinned {
		return false
	}
	for _, adapter := range adaptersOf(server, entry.Model) {
		if entry.Adapter == "" && (adapter.State != vrwire.ReplicaLoaded || len(adapter.Attempts) > 0) {
			return false
		}
	}
	u := w.planner.uses[name{model: entry.Model, adapter: entry.Adapter}]
	if u == nil {
		return true
	}
	for _, waiting := range u.waits {
		if waiting.rank <= rank {
			return false
		}
	}
	if !w.planner.opts.Baseline {
		for higher := vrid.RankUrgent; higher < rank; higher++ {
			if u.regular[higher].guards(w.now) {
				return false
			}
		}
	}
	return w.now.Sub(u.last) >= w.settle(entry)
}

// settle is how long a used entry is not evicted for another.
func (w *plan) settle(entry *vrledger.Entry) time.Duration {
	if w.planner.opts.Baseline {
		return settleTime
	}
	return time.Duration(settleLoads * float64(w.loadTime(entry)))
}

// loadTime is what it takes to load an entry again.
func (w *plan) loadTime(entry *vrledger.Entry) time.Duration {
	if model := w.Index.Model(entry.Model); model != nil && entry.Adapter == "" {
		return model.LoadTime.Std()
	}
	return time.Second
}

// value is what the loss of an entry costs: its recent use times the time to load it.
func (w *plan) value(entry *vrledger.Entry) float64 {
	u := w.planner.uses[name{model: entry.Model, adapter: entry.Adapter}]
	if u == nil || entry.State == vrwire.ReplicaGranted {
		return 0
	}
	faded := u.rate * exp2(-float64(w.now.Sub(u.fadedAt))/float64(useHalfLife))
	return (faded + minimalUse) * w.loadTime(entry).Seconds()
}

// minimalUse makes the load time count for models that were hardly used.
const minimalUse = 0.01

func (w *plan) unload(server vrid.ServerID, entry *vrledger.Entry) {
	kind := vrledger.ActionUnload
	if entry.State == vrwire.ReplicaGranted {
		kind = vrledger.ActionRevoke
	}
	w.actions = append(w.actions, vrledger.Action{Kind: kind, Server: server, Model: entry.Model, Adapter: entry.Adapter})
	w.busy[server] = true
}

// unloadIdle unloads what was not used for the keep-alive time, and what is no longer
// declared.
func (w *plan) unloadIdle() {
	for i := range w.Servers {
		server := &w.Servers[i]
		if w.busy[server.Info.ID] {
			continue
		}
		for j := range server.Entries {
			entry := &server.Entries[j]
			if w.idle(entry) && w.evictable(server, entry, vrid.RankDeferred) && !hasAdapters(server, entry) {
				w.unload(server.Info.ID, entry)
				break
			}
		}
	}
}

func hasAdapters(server *vrledger.Snapshot, entry *vrledger.Entry) bool {
	return entry.Adapter == "" && len(adaptersOf(server, entry.Model)) > 0
}

func (w *plan) idle(entry *vrledger.Entry) bool {
	if entry.State != vrwire.ReplicaLoaded {
		return false
	}
	if w.Index.Model(entry.Model) == nil || (entry.Adapter != "" && w.Index.Adapter(entry.Adapter) == nil) {
		return true
	}
	u := w.planner.uses[name{model: entry.Model, adapter: entry.Adapter}]
	if u == nil {
		// A new owner knows of no use yet: the clock starts when it first sees the entry.
		w.planner.use(name{model: entry.Model, adapter: entry.Adapter}).last = w.now
		return false
	}
	return w.now.Sub(u.last) >= w.keepAlive(entry, u)
}

func exp2(x float64) float64 { return math.Exp2(x) }
