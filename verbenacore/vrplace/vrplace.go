// Package vrplace decides which models and adapters a zone holds: what to load for
// waiting requests, what to evict for it, what to unload when it is idle, and what to
// reserve for an outage of the platform.
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
	// demandTimeout is how long a daemon's demand counts after its last message; it
	// spans two heartbeats and a delay.
	demandTimeout = 2500 * time.Millisecond
	// keepAlive is how long the plain policy keeps an idle model.
	keepAlive = 5 * time.Minute
	// settleTime is how long the plain policy does not evict a used model for another.
	settleTime = 10 * time.Second
	// settleLoads is the same in load times of the model, after its use is known here, which
	// takes a second or two: two models that drive each other out then spend less than
	// half of the time loading.
	settleLoads = 1.5
	// useHalfLife is how fast the memory of a model's use fades.
	useHalfLife = 30 * time.Minute
	// viewLag is how long a replica may be known to the owner before every daemon of the
	// zone sees it.
	viewLag = 200 * time.Millisecond
	// retryLoad is the pause after a load that failed on a server.
	retryLoad = 2 * time.Second
)

// name is a model or an adapter on its model.
type name struct {
	model   vrid.ModelID
	adapter vrid.AdapterID
}

// use is what the planner remembers of a model or adapter.
type use struct {
	// rate is the recent number of requests, fading with useHalfLife.
	rate    float64
	fadedAt time.Time
	last    time.Time
	// arrived is when a request came last, gaps the times between requests.
	arrived time.Time
	gaps    gaps
	// asked is when a daemon last asked at once because it saw no replica, farSince when
	// replicas in other zones were first seen to have places.
	asked    time.Time
	farSince time.Time
	// regular is how regularly each rank uses it.
	regular [vrid.RankCount]regularity
	waits   map[vrid.DaemonID]wait
	failed  time.Time
}

type wait struct {
	rank     vrid.Rank
	count    int
	deadline time.Time
	heard    time.Time
}

// Options of a planner.
type Options struct {
	// Baseline is the plain way: every idle model is kept for the same time.
	Baseline bool
}

// Planner is the zone owner's memory of use.
type Planner struct {
	opts Options
	uses map[name]*use
	// gaps are the times between requests over all models, for those of which little is
	// known.
	gaps gaps
	// grantedAt is when memory was last reserved in advance.
	grantedAt time.Time
	// loads are the loads that wait for or hold a place at the weight store.
	loads []vrwire.SlotLoad
}

// New returns a planner that knows of no use.
func New(opts Options) *Planner { return &Planner{opts: opts, uses: make(map[name]*use)} }

// SlotLoads returns the loads that wait for or hold a place at the weight store as of the
// last plan.
func (p *Planner) SlotLoads() []vrwire.SlotLoad { return p.loads }

func (p *Planner) use(n name) *use {
	u := p.uses[n]
	if u == nil {
		u = &use{waits: make(map[vrid.DaemonID]wait)}
		p.uses[n] = u
	}
	return u
}

// RecordDemand takes a daemon's demand.
func (p *Planner) RecordDemand(now time.Time, demand vrwire.ModelDemand) {
	u := p.use(name{model: demand.Model, adapter: demand.Adapter})
	u.fade(now)
	u.rate += float64(demand.Arrived)
	if demand.Arrived > 0 {
		p.noteArrival(now, u)
	}
	if demand.Arrived > 0 || demand.Waiting > 0 || demand.Running > 0 {
		u.last = now
		u.regular[demand.Rank].note(now)
	}
	if demand.Waiting == 0 {
		delete(u.waits, demand.Daemon)
		return
	}
	u.waits[demand.Daemon] = wait{
		rank: demand.Rank, count: int(demand.Waiting),
		deadline: time.UnixMilli(demand.Deadline), heard: now,
	}
}

func (u *use) fade(now time.Time) {
	if elapsed := now.Sub(u.fadedAt); elapsed > 0 && !u.fadedAt.IsZero() {
		u.rate *= exp2(-float64(elapsed) / float64(useHalfLife))
	}
	u.fadedAt = now
}

// RecordMissingReplica notes that a daemon asked for a model at once, since it sees no replica.
func (p *Planner) RecordMissingReplica(now time.Time, demand vrwire.ModelDemand) {
	p.use(name{model: demand.Model, adapter: demand.Adapter}).asked = now
}

// RecordLoadFailure notes that a load ended without the model being loaded.
func (p *Planner) RecordLoadFailure(now time.Time, model vrid.ModelID, adapter vrid.AdapterID) {
	p.use(name{model: model, adapter: adapter}).failed = now
}

// Input is what a plan is made from.
type Input struct {
	Index    *vrconfig.Index
	Servers  []vrledger.Snapshot
	Replicas func(vrid.ModelID) int
	// RemoteSlots is the number of places at replicas of a model in other zones that this
	// zone's requests may use now.
	RemoteSlots func(vrid.ModelID, vrid.Rank) int
	// GrantInAdvance allows grants in advance.
	GrantInAdvance bool
	// Revocable reports whether the grant of a model on a server can be taken back now.
	Revocable func(vrid.ServerID, vrid.ModelID) bool
	// SlotGranted reports whether the fleet's owner gave a load a place at the weight store.
	// It is nil when the zone uses its own part of the places.
	SlotGranted func(vrid.OrderID) bool
	// LoadSlots is how many loads the zone may have in flight at the weight store on its
	// own part.
	LoadSlots int
	// AdapterSlots is the same for adapters.
	AdapterSlots int
	Zone         vrid.ZoneID
}

// want is one model or adapter that requests wait for.
type want struct {
	name
	rank     vrid.Rank
	deadline time.Time
	waiting  int
	// forAdapter is set for the base model of a wanted adapter: replicas in other zones
	// don't hold the adapter, so they serve nobody who waits for it.
	forAdapter bool
}

// plan is the work of one call.
type plan struct {
	Input
	planner      *Planner
	now          time.Time
	actions      []vrledger.Action
	slots        []vrwire.SlotLoad
	loads        int
	adapterLoads int
	busy         map[vrid.ServerID]bool
	// free includes the memory of grants that can be taken back, which granted counts.
	free    map[vrid.ServerID]vrid.Bytes
	granted map[vrid.ServerID]vrid.Bytes
	added   map[vrid.ModelID]int
}

// Plan returns the actions for this moment, the most urgent first.
func (p *Planner) Plan(now time.Time, input Input) []vrledger.Action {
	work := &plan{
		Input: input, planner: p, now: now,
		busy:  make(map[vrid.ServerID]bool),
		free:  make(map[vrid.ServerID]vrid.Bytes),
		added: make(map[vrid.ModelID]int), granted: make(map[vrid.ServerID]vrid.Bytes),
	}
	for i := range input.Servers {
		work.count(&input.Servers[i])
	}
	work.revokeStranded()
	for _, w := range p.wants(now) {
		if w.adapter != "" {
			work.serveAdapter(w)
			continue
		}
		work.serveModel(w)
	}
	work.unloadIdle()
	work.grant()
	p.loads = work.slots
	return work.actions
}

func (w *plan) count(server *vrledger.Snapshot) {
	id := server.Info.ID
	w.free[id] = server.Free
	w.busy[id] = server.Busy
	w.countGrants(server)
	for i := range server.Entries {
		entry := &server.Entries[i]
		if entry.State != vrwire.ReplicaLoading {
			continue
		}
		if entry.Adapter != "" {
			w.adapterLoads++
			continue
		}
		near := IsLocalSource(entry.Source)
		if !near {
			w.loads++
		}
		w.slots = append(w.slots, vrwire.SlotLoad{
			Order: slotName(entry.Model), Model: entry.Model, Rank: vrid.RankUrgent, Holding: true, Near: near,
		})
	}
}

// slotName names a zone's load of a model at the weight store. It has no order yet
// while it waits.
func slotName(model vrid.ModelID) vrid.OrderID { return vrid.OrderID(model) }

// IsLocalSource reports whether a load from a source takes no place at the weight store.
func IsLocalSource(source string) bool { return source == sourceMemory || source == sourceDisk }

// wants lists what is waited for, the most urgent first.
func (p *Planner) wants(now time.Time) []want {
	var wants []want
	for n, u := range p.uses {
		w := want{name: n, rank: vrid.RankDeferred}
		for daemon, waiting := range u.waits {
			if now.Sub(waiting.heard) > demandTimeout || !now.Before(waiting.deadline) {
				delete(u.waits, daemon)
				continue
			}
			if w.waiting == 0 || waiting.rank < w.rank || (waiting.rank == w.rank && waiting.deadline.Before(w.deadline)) {
				w.rank, w.deadline = waiting.rank, waiting.deadline
			}
			w.waiting += waiting.count
		}
		if w.waiting > 0 && now.Sub(u.failed) >= retryLoad {
			wants = append(wants, w)
		}
	}
	slices.SortFunc(wants, compareWants)
	return wants
}

func compareWants(a, b want) int {
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

// serveModel loads a replica when there is none, or one more when the waiting requests
// exceed what the loaded ones take at once.
func (w *plan) serveModel(wanted want) {
	model := w.Index.Model(wanted.model)
	if model == nil || !model.AllowedIn(w.Zone) {
		return
	}
	replicas := w.Replicas(wanted.model) + w.added[wanted.model]
	if (replicas == 0 || w.isGranted(model.ID)) && !wanted.forAdapter && w.servedElsewhere(wanted) {
		return
	}
	if !w.needsReplica(wanted, replicas) {
		return
	}
	if replicas >= model.ReplicasPerZone && !w.isGranted(model.ID) && !vrfault.On(vrfault.IgnoreCap) {
		w.freeUnused(wanted)
		return
	}
	server := w.place(model)
	from := sourceRemote
	if server != nil {
		from = source(server, model.ID)
	}
	if !w.hasSlot(wanted, model, server, from) {
		return
	}
	if server == nil {
		w.evictFor(wanted, model)
		return
	}
	w.load(server, vrledger.Action{
		Kind: vrledger.ActionLoad, Server: server.Info.ID, Model: model.ID,
		Bytes: model.Memory, Cap: model.ReplicasPerZone, Source: from,
	})
	if !IsLocalSource(from) {
		w.loads++
	}
	w.added[model.ID]++
}

// servedElsewhere reports whether other zones' replicas have places for what waits. Most
// of it was then asked for before this zone knew of them. A daemon that asks again later
// does not reach them, although the view still shows them.
func (w *plan) servedElsewhere(wanted want) bool {
	u := w.planner.use(wanted.name)
	if w.RemoteSlots == nil || w.RemoteSlots(wanted.model, wanted.rank) < wanted.waiting {
		u.farSince = time.Time{}
		return false
	}
	if u.farSince.IsZero() {
		u.farSince = w.now
	}
	return !u.asked.After(u.farSince.Add(viewLag))
}

// hasSlot reports whether a load may start. What waits for a place at the weight store
// is noted for the fleet's owner; a load from a near copy only tells it of the model.
func (w *plan) hasSlot(wanted want, model *vrconfig.Model, server *vrledger.Snapshot, from string) bool {
	load := vrwire.SlotLoad{
		Order: slotName(model.ID), Model: model.ID, Rank: wanted.rank, Deadline: wanted.deadline.UnixMilli(),
		Near: IsLocalSource(from), Work: uint32(model.LoadTime.Std().Milliseconds()),
	}
	if server != nil {
		load.Room = uint32(w.free[server.Info.ID] / vrid.GiB)
	}
	free := load.Near || w.loads < w.LoadSlots
	if w.SlotGranted != nil {
		free = load.Near || w.SlotGranted(load.Order)
	}
	load.Holding = free && server != nil
	w.slots = append(w.slots, load)
	return free
}

// isGranted reports whether a replica of the model is only reserved; its load adds none.
func (w *plan) isGranted(model vrid.ModelID) bool {
	for i := range w.Servers {
		entry := findEntry(&w.Servers[i], model, "")
		if entry != nil && entry.State == vrwire.ReplicaGranted {
			return true
		}
	}
	return false
}

func (w *plan) needsReplica(wanted want, replicas int) bool {
	if replicas == 0 {
		return true
	}
	slots, loading, live := 0, false, false
	for i := range w.Servers {
		entry := findEntry(&w.Servers[i], wanted.model, "")
		if entry == nil || w.Servers[i].Info.State != vrwire.ServerLive {
			continue
		}
		switch entry.State {
		case vrwire.ReplicaLoading, vrwire.ReplicaUnloading:
			loading = true
		case vrwire.ReplicaGranted:
			return true
		case vrwire.ReplicaLoaded:
			slots += w.Servers[i].Info.Slots
			live = true
		}
	}
	return !loading && (!live || wanted.waiting > slots)
}

func (w *plan) load(server *vrledger.Snapshot, action vrledger.Action) {
	w.take(server, action.Model, action.Bytes)
	w.actions = append(w.actions, action)
	w.busy[server.Info.ID] = true
}

// place returns the live server with room that has the nearest copy, then the one with
// the most free memory.
func (w *plan) place(model *vrconfig.Model) *vrledger.Snapshot {
	var best *vrledger.Snapshot
	bestScore := -1
	for i := range w.Servers {
		server := &w.Servers[i]
		id := server.Info.ID
		if server.Info.State != vrwire.ServerLive || server.Info.Pool != model.Pool || w.busy[id] {
			continue
		}
		entry := findEntry(server, model.ID, "")
		granted := entry != nil && entry.State == vrwire.ReplicaGranted
		if entry != nil && !granted {
			continue
		}
		if !granted && w.free[id] < model.Memory {
			continue
		}
		score := nearness(server, model.ID)
		if granted {
			score += grantedScore
		}
		if score > bestScore || (score == bestScore && w.roomier(server, best)) {
			best, bestScore = server, score
		}
	}
	return best
}

// roomier reports whether a server is the better place at the same nearness: the one
// that is less busy by a quarter of its slots, then the one with more free memory.
func (w *plan) roomier(a, b *vrledger.Snapshot) bool {
	if x, y := busyQuarters(a), busyQuarters(b); !w.planner.opts.Baseline && x != y {
		return x < y
	}
	return w.free[a.Info.ID] > w.free[b.Info.ID]
}

func busyQuarters(server *vrledger.Snapshot) int {
	const quarters = 4
	if server.Report == nil {
		return 0
	}
	return int(server.Report.Running+server.Report.Waiting) * quarters / max(server.Info.Slots, 1)
}

// Nearness of a copy; a granted pair comes first because its record is durable already.
const (
	memoryScore  = 2
	diskScore    = 1
	grantedScore = 4
)

func nearness(server *vrledger.Snapshot, model vrid.ModelID) int {
	switch source(server, model) {
	case sourceMemory:
		return memoryScore
	case sourceDisk:
		return diskScore
	}
	return 0
}

// Sources of a checkpoint.
const (
	sourceMemory = "memory"
	sourceDisk   = "disk"
	sourceRemote = "remote"
)

func source(server *vrledger.Snapshot, model vrid.ModelID) string {
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

// WaitingModels returns the models that requests wait for, the most urgent first.
func (p *Planner) WaitingModels(now time.Time) []vrid.ModelID {
	var models []vrid.ModelID
	for _, w := range p.wants(now) {
		if w.adapter == "" {
			models = append(models, w.model)
		}
	}
	return models
}
