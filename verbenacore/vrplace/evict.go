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

// planAdapter loads an adapter on the server with the most free memory among those that have
// loaded its base model. If the adapter fits on none of them, it evicts another adapter; if no
// live server holds the base model, it plans the base model first.
func (p *plan) planAdapter(demand pendingDemand) {
	adapter := p.Index.Adapter(demand.adapter)
	if adapter == nil || p.adapterLoadsInFlight >= p.AdapterSlots {
		return
	}
	var best *vrledger.Snapshot
	hasBase := false
	for i := range p.Servers {
		server := &p.Servers[i]
		base := findEntry(server, demand.model, "")
		if base == nil || base.State == vrwire.ReplicaGranted || server.Info.State != vrwire.ServerLive {
			continue
		}
		hasBase = true
		existing := findEntry(server, demand.model, demand.adapter)
		if existing != nil && existing.State != vrwire.ReplicaUnloading {
			return
		}
		fits := p.freeMemory[server.Info.ID] >= adapter.Memory
		if base.State == vrwire.ReplicaLoaded && fits && (best == nil || p.freeMemory[server.Info.ID] > p.freeMemory[best.Info.ID]) {
			best = server
		}
	}
	if best != nil {
		p.takeMemory(best, "", adapter.Memory)
		p.actions = append(p.actions, vrledger.Action{
			Kind: vrledger.ActionLoad, Server: best.Info.ID, Model: demand.model,
			Adapter: adapter.ID, Bytes: adapter.Memory, Source: sourceRemote,
		})
		p.adapterLoadsInFlight++
		return
	}
	if !hasBase {
		base := demand
		base.adapter = ""
		base.forAdapter = true
		p.planModel(base)
		return
	}
	p.evictAdapter(demand)
}

// evictAdapter unloads the adapter with the lowest eviction cost on the servers that have
// loaded the base model of the requested adapter.
func (p *plan) evictAdapter(demand pendingDemand) {
	var victim *vrledger.Entry
	var victimServer vrid.ServerID
	lowestCost := math.Inf(1)
	for i := range p.Servers {
		server := &p.Servers[i]
		base := findEntry(server, demand.model, "")
		if base == nil || base.State != vrwire.ReplicaLoaded {
			continue
		}
		for j := range server.Entries {
			entry := &server.Entries[j]
			if entry.Adapter == "" || !p.evictable(server, entry, demand.rank) {
				continue
			}
			if cost := p.evictionCost(entry); cost < lowestCost {
				lowestCost, victim, victimServer = cost, entry, server.Info.ID
			}
		}
	}
	if victim != nil {
		p.unload(victimServer, victim)
	}
}

// evictForModel makes room for a model on the server where the evictions cost least.
func (p *plan) evictForModel(demand pendingDemand, model *vrconfig.Model) {
	var best []*vrledger.Entry
	var bestServer vrid.ServerID
	lowestCost := math.Inf(1)
	for i := range p.Servers {
		server := &p.Servers[i]
		if server.Info.State != vrwire.ServerLive || server.Info.Pool != model.Pool || p.busy[server.Info.ID] {
			continue
		}
		victims, cost, ok := p.victims(server, model, demand.rank)
		if ok && cost < lowestCost {
			best, bestServer, lowestCost = victims, server.Info.ID, cost
		}
	}
	if len(best) > 0 {
		// A server executes one order at a time: the next plan unloads the next victim.
		p.unload(bestServer, best[0])
	}
}

// victims returns the entries with the lowest eviction cost whose removal makes room for the
// model, adapters before their base model, and the sum of the costs of the base models. It
// returns false if the server already has an entry of the model or if evicting every candidate
// would not free enough memory.
func (p *plan) victims(server *vrledger.Snapshot, model *vrconfig.Model, rank vrid.Rank) ([]*vrledger.Entry, float64, bool) {
	if findEntry(server, model.ID, "") != nil {
		return nil, 0, false
	}
	var candidates []*vrledger.Entry
	for i := range server.Entries {
		entry := &server.Entries[i]
		// The memory of a revocable grant counts as free already.
		if entry.Adapter == "" && entry.State != vrwire.ReplicaGranted && p.evictable(server, entry, rank) {
			candidates = append(candidates, entry)
		}
	}
	slices.SortFunc(candidates, func(a, b *vrledger.Entry) int {
		if costA, costB := p.evictionCost(a), p.evictionCost(b); costA != costB {
			return cmp.Compare(costA, costB)
		}
		return cmp.Compare(a.Model, b.Model)
	})
	free := p.freeMemory[server.Info.ID]
	cost := 0.0
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
		cost += p.evictionCost(entry)
	}
	return victims, cost, free >= model.Memory
}

// unloadUnusable unloads a replica of the model from a server that takes no new requests,
// such as a drained one: the replica counts towards the cap of the model but serves no
// request. It waits until the server runs no request.
func (p *plan) unloadUnusable(demand pendingDemand) {
	for i := range p.Servers {
		server := &p.Servers[i]
		entry := findEntry(server, demand.model, "")
		idle := server.Report == nil || server.Report.Running == 0
		if entry == nil || server.Info.State == vrwire.ServerLive || p.busy[server.Info.ID] || !idle {
			continue
		}
		for _, victim := range append(adaptersOf(server, entry.Model), entry) {
			if victim.State == vrwire.ReplicaLoaded && len(victim.Attempts) == 0 {
				p.unload(server.Info.ID, victim)
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

// evictable reports whether an entry may be evicted for a request of a rank: it and its adapters
// are loaded, the outcome of every order for them is known, no request of the same or a higher
// rank waits for it, no higher rank uses it regularly, and it has been idle for minIdleTime. An
// entry that is only granted is always evictable.
func (p *plan) evictable(server *vrledger.Snapshot, entry *vrledger.Entry, rank vrid.Rank) bool {
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
	u := p.planner.usages[modelKey{model: entry.Model, adapter: entry.Adapter}]
	if u == nil {
		return true
	}
	for _, reported := range u.demands {
		if reported.rank <= rank {
			return false
		}
	}
	if !p.planner.opts.Baseline {
		for higher := vrid.RankUrgent; higher < rank; higher++ {
			if u.regularity[higher].protects(p.now) {
				return false
			}
		}
	}
	return p.now.Sub(u.lastUsed) >= p.minIdleTime(entry)
}

// minIdleTime is how long after its last use an entry is not evicted for another one.
func (p *plan) minIdleTime(entry *vrledger.Entry) time.Duration {
	if p.planner.opts.Baseline {
		return baselineMinIdleTime
	}
	return time.Duration(minIdleLoadTimes * float64(p.loadTime(entry)))
}

// loadTime is how long it takes to load an entry again: the declared load time of a model, and
// one second for an adapter or an undeclared model.
func (p *plan) loadTime(entry *vrledger.Entry) time.Duration {
	if model := p.Index.Model(entry.Model); model != nil && entry.Adapter == "" {
		return model.LoadTime.Std()
	}
	return time.Second
}

// evictionCost is the cost of evicting an entry: its recent requests times its load time in
// seconds.
func (p *plan) evictionCost(entry *vrledger.Entry) float64 {
	u := p.planner.usages[modelKey{model: entry.Model, adapter: entry.Adapter}]
	if u == nil || entry.State == vrwire.ReplicaGranted {
		return 0
	}
	recentRequests := u.recentRequests * exp2(-float64(p.now.Sub(u.decayedAt))/float64(usageHalfLife))
	return (recentRequests + minRecentRequests) * p.loadTime(entry).Seconds()
}

// minRecentRequests is added to the recent requests, so that the load time still orders
// models that were hardly used.
const minRecentRequests = 0.01

// unload plans the unloading of an entry, or its revocation if it is only granted.
func (p *plan) unload(server vrid.ServerID, entry *vrledger.Entry) {
	kind := vrledger.ActionUnload
	if entry.State == vrwire.ReplicaGranted {
		kind = vrledger.ActionRevoke
	}
	p.actions = append(p.actions, vrledger.Action{Kind: kind, Server: server, Model: entry.Model, Adapter: entry.Adapter})
	p.busy[server] = true
}

// unloadIdle unloads entries that were not used for their keep-alive time or are no longer
// declared in the configuration, at most one on each server.
func (p *plan) unloadIdle() {
	for i := range p.Servers {
		server := &p.Servers[i]
		if p.busy[server.Info.ID] {
			continue
		}
		for j := range server.Entries {
			entry := &server.Entries[j]
			if p.isIdle(entry) && p.evictable(server, entry, vrid.RankDeferred) && !hasAdapters(server, entry) {
				p.unload(server.Info.ID, entry)
				break
			}
		}
	}
}

func hasAdapters(server *vrledger.Snapshot, entry *vrledger.Entry) bool {
	return entry.Adapter == "" && len(adaptersOf(server, entry.Model)) > 0
}

func (p *plan) isIdle(entry *vrledger.Entry) bool {
	if entry.State != vrwire.ReplicaLoaded {
		return false
	}
	if p.Index.Model(entry.Model) == nil || (entry.Adapter != "" && p.Index.Adapter(entry.Adapter) == nil) {
		return true
	}
	u := p.planner.usages[modelKey{model: entry.Model, adapter: entry.Adapter}]
	if u == nil {
		// A new zone owner knows of no use yet, so the keep-alive time starts when it first sees
		// the entry.
		p.planner.usageOf(modelKey{model: entry.Model, adapter: entry.Adapter}).lastUsed = p.now
		return false
	}
	return p.now.Sub(u.lastUsed) >= p.keepAlive(entry, u)
}

func exp2(x float64) float64 { return math.Exp2(x) }
