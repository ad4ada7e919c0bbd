// Package vrplace plans which models and adapters the servers of a zone hold: what to load
// for waiting requests, what to evict for it, what to unload when it is idle, and which
// memory to reserve in case the platform can't be reached.
package vrplace

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// demandTimeout is how long the demand of a daemon counts after its last message. It spans
	// two heartbeats and a delay.
	demandTimeout = 2500 * time.Millisecond
	// baselineKeepAlive is how long the baseline policy keeps an idle model loaded.
	baselineKeepAlive = 5 * time.Minute
	// baselineMinIdleTime is how long after its last use the baseline policy does not evict a
	// model for another one.
	baselineMinIdleTime = 10 * time.Second
	// minIdleLoadTimes is the same for the default policy, as a multiple of the load time of the
	// model. The time starts when the owner learns of the use, 1 to 2 s after it. Two models that
	// evict each other then spend less than half of the time loading.
	minIdleLoadTimes = 1.5
	// usageHalfLife is the half-life of the number of recent requests for a model.
	usageHalfLife = 30 * time.Minute
	// viewLag is how long the owner may know of a replica before every daemon of the zone sees
	// it.
	viewLag = 200 * time.Millisecond
	// loadRetryDelay is the delay before a model whose load failed is loaded again.
	loadRetryDelay = 2 * time.Second
)

// modelKey identifies a model, or an adapter on its base model.
type modelKey struct {
	model   vrid.ModelID
	adapter vrid.AdapterID
}

// usage holds what the planner remembers about the use of a model or adapter.
type usage struct {
	// recentRequests is the number of requests, decaying by usageHalfLife.
	recentRequests float64
	decayedAt      time.Time
	lastUsed       time.Time
	// lastArrival is when the latest request arrived, interarrivals the times between requests.
	lastArrival   time.Time
	interarrivals interarrivalHistogram
	// replicaMissingAt is when a daemon last reported demand immediately because it saw no
	// replica.
	replicaMissingAt time.Time
	// remoteSlotsSince is since when replicas in other zones have had enough free slots.
	remoteSlotsSince time.Time
	// regularity measures how regularly requests of each rank use it.
	regularity  [vrid.RankCount]regularity
	demands     map[vrid.DaemonID]daemonDemand
	lastFailure time.Time
}

// daemonDemand is the latest demand of one daemon for a model or adapter.
type daemonDemand struct {
	rank       vrid.Rank
	count      int
	deadline   time.Time
	receivedAt time.Time
}

// Options configures a Planner.
type Options struct {
	// Baseline selects the baseline policy: every idle model is kept for the same time, and no
	// use protects a model from eviction by a lower rank.
	Baseline bool
}

// Planner plans the models of one zone for the daemon that owns the zone. It remembers
// their use from one plan to the next.
type Planner struct {
	opts   Options
	usages map[modelKey]*usage
	// interarrivals holds the times between requests of all models. They complement those
	// of a model with few requests.
	interarrivals interarrivalHistogram
	// lastGrant is when memory was last reserved in advance.
	lastGrant time.Time
	// slotLoads are the loads that wait for or hold a slot at the weight store.
	slotLoads []vrwire.SlotLoad
}

// New returns a planner without any usage.
func New(opts Options) *Planner { return &Planner{opts: opts, usages: make(map[modelKey]*usage)} }

// SlotLoads returns the loads that wait for or hold a slot at the weight store as of the last
// plan.
func (p *Planner) SlotLoads() []vrwire.SlotLoad { return p.slotLoads }

func (p *Planner) usageOf(key modelKey) *usage {
	u := p.usages[key]
	if u == nil {
		u = &usage{demands: make(map[vrid.DaemonID]daemonDemand)}
		p.usages[key] = u
	}
	return u
}

// RecordDemand records the demand that a daemon reports.
func (p *Planner) RecordDemand(now time.Time, demand vrwire.ModelDemand) {
	u := p.usageOf(modelKey{model: demand.Model, adapter: demand.Adapter})
	u.decay(now)
	u.recentRequests += float64(demand.Arrived)
	if demand.Arrived > 0 {
		p.recordArrival(now, u)
	}
	if demand.Arrived > 0 || demand.Waiting > 0 || demand.Running > 0 {
		u.lastUsed = now
		u.regularity[demand.Rank].recordUse(now)
	}
	if demand.Waiting == 0 {
		delete(u.demands, demand.Daemon)
		return
	}
	u.demands[demand.Daemon] = daemonDemand{
		rank: demand.Rank, count: int(demand.Waiting),
		deadline: time.UnixMilli(demand.Deadline), receivedAt: now,
	}
}

func (u *usage) decay(now time.Time) {
	if elapsed := now.Sub(u.decayedAt); elapsed > 0 && !u.decayedAt.IsZero() {
		u.recentRequests *= exp2(-float64(elapsed) / float64(usageHalfLife))
	}
	u.decayedAt = now
}

// RecordMissingReplica records that a daemon reported demand for a model immediately because it
// sees no replica.
func (p *Planner) RecordMissingReplica(now time.Time, demand vrwire.ModelDemand) {
	p.usageOf(modelKey{model: demand.Model, adapter: demand.Adapter}).replicaMissingAt = now
}

// RecordLoadFailure records that a load ended without the model being loaded.
func (p *Planner) RecordLoadFailure(now time.Time, model vrid.ModelID, adapter vrid.AdapterID) {
	p.usageOf(modelKey{model: model, adapter: adapter}).lastFailure = now
}

// Input is the state of the zone that a plan is made from.
type Input struct {
	Index   *vrconfig.Index
	Servers []vrledger.Snapshot
	// Replicas returns the number of replicas of a model in the zone in any state, including
	// grants.
	Replicas func(vrid.ModelID) int
	// RemoteSlots returns the number of free slots at replicas of a model in other zones that
	// requests of this zone may use now.
	RemoteSlots func(vrid.ModelID, vrid.Rank) int
	// GrantInAdvance allows the plan to reserve memory in advance.
	GrantInAdvance bool
	// Revocable reports whether the grant of a model on a server can be revoked now.
	Revocable func(vrid.ServerID, vrid.ModelID) bool
	// SlotGranted reports whether the fleet owner granted a load a slot at the weight store. It
	// is nil while the zone uses its own share of the slots.
	SlotGranted func(vrid.OrderID) bool
	// LoadSlots is how many loads the zone may have in flight at the weight store within its
	// own share.
	LoadSlots int
	// AdapterSlots is the same for loads of adapters.
	AdapterSlots int
	Zone         vrid.ZoneID
}

// pendingDemand is the demand of all daemons for one model or adapter with waiting requests.
type pendingDemand struct {
	modelKey
	rank     vrid.Rank
	deadline time.Time
	waiting  int
	// forAdapter is set for the base model of a requested adapter: replicas in other zones
	// don't hold the adapter, so they can't serve these requests.
	forAdapter bool
}

// plan is the state of one call of Planner.Plan.
type plan struct {
	Input
	planner              *Planner
	now                  time.Time
	actions              []vrledger.Action
	slotLoads            []vrwire.SlotLoad
	loadsInFlight        int
	adapterLoadsInFlight int
	// busy holds the servers on which a load or unload is in progress or planned. Planned loads of
	// adapters do not count.
	busy map[vrid.ServerID]bool
	// freeMemory includes the memory of revocable grants; grantedMemory counts that memory
	// alone.
	freeMemory    map[vrid.ServerID]vrid.Bytes
	grantedMemory map[vrid.ServerID]vrid.Bytes
	// plannedReplicas is the number of loads in this plan by model.
	plannedReplicas map[vrid.ModelID]int
}

// Plan returns the actions to take now, the most urgent first.
func (p *Planner) Plan(now time.Time, input Input) []vrledger.Action {
	current := &plan{
		Input: input, planner: p, now: now,
		busy:            make(map[vrid.ServerID]bool),
		freeMemory:      make(map[vrid.ServerID]vrid.Bytes),
		plannedReplicas: make(map[vrid.ModelID]int), grantedMemory: make(map[vrid.ServerID]vrid.Bytes),
	}
	for i := range input.Servers {
		current.addServer(&input.Servers[i])
	}
	current.revokeUnusableGrants()
	for _, demand := range p.pendingDemands(now) {
		if demand.adapter != "" {
			current.planAdapter(demand)
			continue
		}
		current.planModel(demand)
	}
	current.unloadIdle()
	current.grantInAdvance()
	p.slotLoads = current.slotLoads
	return current.actions
}

// addServer adds the free memory and the loads in flight of a server to the state of the plan.
func (p *plan) addServer(server *vrledger.Snapshot) {
	id := server.Info.ID
	p.freeMemory[id] = server.Free
	p.busy[id] = server.Busy
	p.addRevocableGrants(server)
	for i := range server.Entries {
		entry := &server.Entries[i]
		if entry.State != vrwire.ReplicaLoading {
			continue
		}
		if entry.Adapter != "" {
			p.adapterLoadsInFlight++
			continue
		}
		local := IsLocalSource(entry.Source)
		if !local {
			p.loadsInFlight++
		}
		p.slotLoads = append(p.slotLoads, vrwire.SlotLoad{
			Order: slotOrderID(entry.Model), Model: entry.Model, Rank: vrid.RankUrgent, HoldsSlot: true, LocalSource: local,
		})
	}
}

// slotOrderID returns the id under which this zone requests a slot for a load of a model: while
// the load waits for the slot, it has no order id yet.
func slotOrderID(model vrid.ModelID) vrid.OrderID { return vrid.OrderID(model) }

// IsLocalSource reports whether a load from a source needs no slot at the weight store, because
// the server has a copy of the weights in memory or on disk.
func IsLocalSource(source string) bool { return source == sourceMemory || source == sourceDisk }

// pendingDemands returns the models and adapters with waiting requests, the most urgent first,
// without those whose load failed less than loadRetryDelay ago.
func (p *Planner) pendingDemands(now time.Time) []pendingDemand {
	var pending []pendingDemand
	for key, u := range p.usages {
		demand := pendingDemand{modelKey: key, rank: vrid.RankDeferred}
		for daemon, reported := range u.demands {
			if now.Sub(reported.receivedAt) > demandTimeout || !now.Before(reported.deadline) {
				delete(u.demands, daemon)
				continue
			}
			if demand.waiting == 0 || reported.rank < demand.rank || (reported.rank == demand.rank && reported.deadline.Before(demand.deadline)) {
				demand.rank, demand.deadline = reported.rank, reported.deadline
			}
			demand.waiting += reported.count
		}
		if demand.waiting > 0 && now.Sub(u.lastFailure) >= loadRetryDelay {
			pending = append(pending, demand)
		}
	}
	slices.SortFunc(pending, comparePendingDemands)
	return pending
}

func comparePendingDemands(a, b pendingDemand) int {
	if a.rank != b.rank {
		return int(a.rank) - int(b.rank)
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Compare(b.deadline)
	}
	if a.model != b.model {
		return cmp.Compare(a.model, b.model)
	}
	return cmp.Compare(a.adapter, b.adapter)
}

// planModel loads a replica if there is none, or another one if more requests wait than the
// loaded replicas have slots.
func (p *plan) planModel(demand pendingDemand) {
	model := p.Index.Model(demand.model)
	if model == nil || !model.AllowedIn(p.Zone) {
		return
	}
	replicas := p.Replicas(demand.model) + p.plannedReplicas[demand.model]
	if (replicas == 0 || p.hasGrant(model.ID)) && !demand.forAdapter && p.servedByOtherZones(demand) {
		return
	}
	if !p.needsReplica(demand, replicas) {
		return
	}
	if replicas >= model.ReplicasPerZone && !p.hasGrant(model.ID) && !vrfault.On(vrfault.IgnoreCap) {
		p.unloadUnusable(demand)
		return
	}
	server := p.chooseServer(model)
	source := sourceRemote
	if server != nil {
		source = checkpointSource(server, model.ID)
	}
	if !p.requestSlot(demand, model, server, source) {
		return
	}
	if server == nil {
		p.evictForModel(demand, model)
		return
	}
	p.appendLoad(server, vrledger.Action{
		Kind: vrledger.ActionLoad, Server: server.Info.ID, Model: model.ID,
		Bytes: model.Memory, MaxReplicas: model.ReplicasPerZone, Source: source,
	})
	if !IsLocalSource(source) {
		p.loadsInFlight++
	}
	p.plannedReplicas[model.ID]++
}

// servedByOtherZones reports whether replicas in other zones have free slots for the waiting
// requests. Demand that was reported before the daemons knew of these replicas then needs no
// load here. A daemon that still reports a missing replica after viewLag can't reach them,
// although the view still shows them.
func (p *plan) servedByOtherZones(demand pendingDemand) bool {
	u := p.planner.usageOf(demand.modelKey)
	if p.RemoteSlots == nil || p.RemoteSlots(demand.model, demand.rank) < demand.waiting {
		u.remoteSlotsSince = time.Time{}
		return false
	}
	if u.remoteSlotsSince.IsZero() {
		u.remoteSlotsSince = p.now
	}
	return !u.replicaMissingAt.After(u.remoteSlotsSince.Add(viewLag))
}

// requestSlot adds a load to those that are reported to the fleet owner, and returns whether the
// load may start. A load from a local copy needs no slot and is reported only so that the fleet
// owner knows of the model.
func (p *plan) requestSlot(demand pendingDemand, model *vrconfig.Model, server *vrledger.Snapshot, source string) bool {
	load := vrwire.SlotLoad{
		Order: slotOrderID(model.ID), Model: model.ID, Rank: demand.rank, Deadline: demand.deadline.UnixMilli(),
		LocalSource: IsLocalSource(source), LoadMillis: uint32(model.LoadTime.Std().Milliseconds()),
	}
	if server != nil {
		load.FreeMemoryGiB = uint32(p.freeMemory[server.Info.ID] / vrid.GiB)
	}
	slotFree := load.LocalSource || p.loadsInFlight < p.LoadSlots
	if p.SlotGranted != nil {
		slotFree = load.LocalSource || p.SlotGranted(load.Order)
	}
	load.HoldsSlot = slotFree && server != nil
	p.slotLoads = append(p.slotLoads, load)
	return slotFree
}

// hasGrant reports whether a replica of the model is only granted; loading it adds no
// replica.
func (p *plan) hasGrant(model vrid.ModelID) bool {
	for i := range p.Servers {
		entry := findEntry(&p.Servers[i], model, "")
		if entry != nil && entry.State == vrwire.ReplicaGranted {
			return true
		}
	}
	return false
}

// needsReplica reports whether the waiting requests need another replica: the zone has none, a
// grant can be loaded, or the requests exceed the slots of the loaded replicas on live servers
// and none of these servers is loading or unloading one.
func (p *plan) needsReplica(demand pendingDemand, replicas int) bool {
	if replicas == 0 {
		return true
	}
	slots, changing, loaded := 0, false, false
	for i := range p.Servers {
		entry := findEntry(&p.Servers[i], demand.model, "")
		if entry == nil || p.Servers[i].Info.State != vrwire.ServerLive {
			continue
		}
		switch entry.State {
		case vrwire.ReplicaLoading, vrwire.ReplicaUnloading:
			changing = true
		case vrwire.ReplicaGranted:
			return true
		case vrwire.ReplicaLoaded:
			slots += p.Servers[i].Info.Slots
			loaded = true
		}
	}
	return !changing && (!loaded || demand.waiting > slots)
}

func (p *plan) appendLoad(server *vrledger.Snapshot, action vrledger.Action) {
	p.takeMemory(server, action.Model, action.Bytes)
	p.actions = append(p.actions, action)
	p.busy[server.Info.ID] = true
}

// chooseServer returns the live server with enough memory that has the closest copy of the
// weights; among equals it returns the preferred one.
func (p *plan) chooseServer(model *vrconfig.Model) *vrledger.Snapshot {
	var best *vrledger.Snapshot
	bestScore := -1
	for i := range p.Servers {
		server := &p.Servers[i]
		id := server.Info.ID
		if server.Info.State != vrwire.ServerLive || server.Info.Pool != model.Pool || p.busy[id] {
			continue
		}
		entry := findEntry(server, model.ID, "")
		granted := entry != nil && entry.State == vrwire.ReplicaGranted
		if entry != nil && !granted {
			continue
		}
		if !granted && p.freeMemory[id] < model.Memory {
			continue
		}
		score := sourceScore(server, model.ID)
		if granted {
			score += grantedScore
		}
		if score > bestScore || (score == bestScore && p.preferred(server, best)) {
			best, bestScore = server, score
		}
	}
	return best
}

// preferred reports whether a is the better server than b for a load from an equally close
// copy: the one with fewer quarters of its slots in use, then the one with more free memory.
func (p *plan) preferred(a, b *vrledger.Snapshot) bool {
	if quartersA, quartersB := quartersInUse(a), quartersInUse(b); !p.planner.opts.Baseline && quartersA != quartersB {
		return quartersA < quartersB
	}
	return p.freeMemory[a.Info.ID] > p.freeMemory[b.Info.ID]
}

func quartersInUse(server *vrledger.Snapshot) int {
	const quarters = 4
	if server.Report == nil {
		return 0
	}
	return int(server.Report.Running+server.Report.Waiting) * quarters / max(server.Info.Slots, 1)
}

// Scores of the source of a load; a server with a grant for the model comes first because
// the record of the grant is durable already.
const (
	memoryScore  = 2
	diskScore    = 1
	grantedScore = 4
)

func sourceScore(server *vrledger.Snapshot, model vrid.ModelID) int {
	switch checkpointSource(server, model) {
	case sourceMemory:
		return memoryScore
	case sourceDisk:
		return diskScore
	}
	return 0
}

// Sources of the weights of a model.
const (
	sourceMemory = "memory"
	sourceDisk   = "disk"
	sourceRemote = "remote"
)

func checkpointSource(server *vrledger.Snapshot, model vrid.ModelID) string {
	if server.Report == nil {
		return sourceRemote
	}
	if slices.Contains(server.Report.CachedMemory, model) {
		return sourceMemory
	}
	if slices.Contains(server.Report.CachedDisk, model) {
		return sourceDisk
	}
	return sourceRemote
}

func findEntry(server *vrledger.Snapshot, model vrid.ModelID, adapter vrid.AdapterID) *vrledger.Entry {
	for i := range server.Entries {
		if server.Entries[i].Model == model && server.Entries[i].Adapter == adapter {
			return &server.Entries[i]
		}
	}
	return nil
}

// WaitingModels returns the models with waiting requests, the most urgent first. Requests for
// adapters do not count.
func (p *Planner) WaitingModels(now time.Time) []vrid.ModelID {
	var models []vrid.ModelID
	for _, demand := range p.pendingDemands(now) {
		if demand.adapter == "" {
			models = append(models, demand.model)
		}
	}
	return models
}
