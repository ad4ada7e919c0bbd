package vrresidence

import (
	"cmp"
	"math"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// readPart is the part of a server's time that the prompts of one model may take. While
	// prompts are read, the tokens of all streams at the server wait; bursts are several
	// times the mean.
	readPart = 0.12
	// fullPart is how far a model's servers may be filled before it gets one more: prompts
	// that are read delay the tokens of all others.
	fullPart = 0.35
	// holdTime is the expected time of a request at a server, for models of which only the
	// arrivals are known.
	holdTime = 2.0
	// busyRate is the rate, in requests a second, from which a model is kept on a second
	// server, so that the loss of one interrupts nobody for a load.
	busyRate = 1.0
	// spareServers is how many servers more than needed a busy model may have before it is
	// dropped from one: its need varies with each burst, and an unload waits for what runs.
	spareServers = 1
	// keepLeast is how long a loaded model stays, so that those who waited are served.
	keepLeast = 1500 * time.Millisecond
	// toldPause is the pause between two notices to a daemon about one target.
	toldPause = 700 * time.Millisecond
	// lossWeight turns the loss of a victim into seconds of a load.
	lossWeight = 4.0
	// runLoss is the loss by an unload that waits for a request in flight: the server takes
	// no other order meanwhile.
	runLoss = 1.0
	// unseenRate is the rate that is assumed of a model nobody asked for yet.
	unseenRate = 0.02
	// answerTime is the least time an answer takes after a load.
	answerTime = 500 * time.Millisecond
)

// site is one language service in a plan.
type site struct {
	now     time.Time
	planner *Planner
	service *vrcatalog.Service
	engine  *vrcatalog.Engine
	servers []*vrfleet.Server
	store   *weightStore
	out     *Decision
	// copies counts the servers that hold a model or have a copy of it, replicas those
	// that hold it or are loading it.
	copies   map[vrid.ModelID]int
	replicas map[vrid.ModelID]int
	tallies  map[vrid.ModelID]tally
	running  map[resident]int
	// near is where the nearest copy of a model is on each server; the weight store where
	// there is no entry.
	near map[resident]tier
	// nearby caches nearElsewhere, wished the sorted wishes.
	nearby map[vrid.ModelID]bool
	wished []wish
	needed map[vrid.ModelID]int
}

// Plan returns the orders for this moment and word for the daemons.
func (p *Planner) Plan(now time.Time, view PlanInput) Decision {
	var decided Decision
	for i := range view.Catalog.Services {
		service := &view.Catalog.Services[i]
		if service.Engine != nil {
			s := p.survey(now, view, service, &decided)
			s.adapters()
			s.models()
		}
	}
	p.due(now, view, &decided)
	for id, w := range p.work {
		if w.reading && now.Sub(w.sentAt) >= statusPause && now.Sub(p.asked[id]) >= readPause {
			p.asked[id] = now
			decided.StatusReads = append(decided.StatusReads, id)
		}
	}
	return decided
}

func (p *Planner) survey(now time.Time, view PlanInput, service *vrcatalog.Service, out *Decision) *site {
	s := &site{
		now: now, planner: p, service: service, engine: service.Engine, servers: view.Fleet.Of(service.ID),
		store: p.store(service.ID), out: out, copies: make(map[vrid.ModelID]int),
		replicas: make(map[vrid.ModelID]int), tallies: make(map[vrid.ModelID]tally),
		running: p.running(now), near: make(map[resident]tier), nearby: make(map[vrid.ModelID]bool),
		needed: make(map[vrid.ModelID]int),
	}
	s.store.rate = service.Engine.LoadRate
	s.store.running = 0
	for _, server := range s.servers {
		if !server.Takes() {
			continue
		}
		for _, holding := range server.Holdings() {
			if s.keeps(server, holding.Model) {
				s.replicas[holding.Model]++
			}
		}
		s.countCopies(server)
		if w := p.work[server.ID]; w != nil && w.load().adapter == "" && !w.stuck() {
			s.replicas[w.load().model]++
			s.copies[w.load().model]++
			if w.from == tierStore {
				s.store.running++
			}
		}
	}
	if s.store.blocked(now, p.former) {
		// No server is kept waiting for a load that can't begin yet.
		s.store.running = max(s.store.running, s.store.places)
	}
	for i := range s.engine.Models {
		model := s.engine.Models[i].ID
		s.tallies[model] = p.tally(now, key{service: service.ID, model: model})
	}
	return s
}

// keeps reports whether a server holds a model and is not about to drop it.
func (s *site) keeps(server *vrfleet.Server, model vrid.ModelID) bool {
	if !hasModel(server, model) {
		return false
	}
	w := s.planner.work[server.ID]
	if w == nil || w.born != server.Born {
		return server.Holds(s.now, model)
	}
	dropped := slices.ContainsFunc(w.steps, func(st step) bool {
		return st.kind == vrevent.OrderUnload && st.model == model && st.adapter == ""
	})
	return !dropped && server.Holds(s.now, model)
}

// countCopies notes where the copies of models are on a server.
func (s *site) countCopies(server *vrfleet.Server) {
	for _, model := range server.OnDisk {
		s.near[resident{server.ID, model}] = tierDisk
	}
	for _, model := range server.InHost {
		s.near[resident{server.ID, model}] = tierMemory
	}
	counted := make(map[vrid.ModelID]bool, len(server.OnDisk)+len(server.Holdings()))
	count := func(model vrid.ModelID) {
		if !counted[model] {
			counted[model] = true
			s.copies[model]++
		}
	}
	for _, model := range server.OnDisk {
		count(model)
	}
	for _, model := range server.InHost {
		count(model)
	}
	for _, holding := range server.Holdings() {
		count(holding.Model)
	}
}

func (s *site) tierOf(server *vrfleet.Server, model vrid.ModelID) tier {
	if near, ok := s.near[resident{server.ID, model}]; ok {
		return near
	}
	return tierStore
}

func loadTime(model *vrcatalog.Model, from tier) time.Duration {
	switch from {
	case tierMemory:
		return model.MemoryLoad
	case tierDisk:
		return model.DiskLoad
	default:
		return model.StoreLoad
	}
}

// demandOf is the expected rate of a model.
func (s *site) demandOf(model vrid.ModelID) float64 {
	t := s.tallies[model]
	return max(t.rate, float64(t.running)/holdTime, unseenRate)
}

// need is the number of servers that should hold a model.
func (s *site) need(model vrid.ModelID) int {
	count, known := s.needed[model]
	if !known {
		count = s.countNeed(model)
		s.needed[model] = count
	}
	return count
}

func (s *site) countNeed(model vrid.ModelID) int {
	t := s.tallies[model]
	running := max(float64(t.running), t.rate*holdTime)
	count := int(running/(fullPart*float64(max(s.engine.Slots, 1)))) + 1
	if t.rate >= busyRate {
		count++
	}
	if rate := s.planner.readRate; rate > 0 {
		count = max(count, int(math.Ceil(t.tokens/rate/readPart)))
	}
	if t.rate == 0 && t.waiting == 0 && t.running == 0 {
		count = 0
	}
	return min(count, len(s.servers))
}

// wish is a model that should be loaded.
type wish struct {
	model *vrcatalog.Model
	tally tally
	// value orders wishes: what is gained each second of the load.
	value float64
	// first is set when no server holds the model.
	first bool
	// ahead is set when nobody waits for it.
	ahead bool
}

// models decides the loads of models.
func (s *site) models() {
	s.wished = s.wishes()
	for _, w := range s.wished {
		if s.grant(w) {
			continue
		}
		if w.first && !w.ahead {
			s.refuse(w)
		}
	}
	s.tellComing()
}

// tellComing tells those who ask for a model that is being loaded already.
func (s *site) tellComing() {
	for _, server := range s.servers {
		work := s.planner.work[server.ID]
		if work == nil || work.load().adapter != "" {
			continue
		}
		model := s.engine.Model(work.load().model)
		if model == nil || s.tallies[model.ID].waiting == 0 {
			continue
		}
		s.tell(wish{model: model}, vrwire.NoticeComing, server.ID, work.left(s.now))
	}
}

func (s *site) wishes() []wish {
	var wishes []wish
	for i := range s.engine.Models {
		model := &s.engine.Models[i]
		t := s.tallies[model.ID]
		have, need := s.replicas[model.ID], s.need(model.ID)
		s.tellNeed(model.ID, t, have, need)
		w := wish{model: model, tally: t, first: have == 0, ahead: t.waiting == 0}
		switch {
		case have == 0 && t.waiting > 0:
			w.value = s.waitValue(t) + s.demandOf(model.ID)
		case have < need:
			w.value = s.demandOf(model.ID) * float64(need-have) / float64(have+1)
		case s.copies[model.ID] == 0:
			w.value = s.demandOf(model.ID) * unseenRate
		default:
			continue
		}
		wishes = append(wishes, w)
	}
	slices.SortStableFunc(wishes, func(a, b wish) int { return cmp.Compare(b.value, a.value) })
	return wishes
}

// tellNeed notes a changed need for the log; one server or none is nothing to tell.
func (s *site) tellNeed(model vrid.ModelID, t tally, have, need int) {
	k := key{service: s.service.ID, model: model}
	if s.planner.needs[k] == need || max(s.planner.needs[k], need) < 2 {
		return
	}
	s.planner.needs[k] = need
	told := ModelNeed{Model: model, Have: have, Need: need, Rate: t.rate}
	if s.planner.readRate > 0 {
		told.PrefillShare = t.tokens / s.planner.readRate
	}
	s.out.Needs = append(s.out.Needs, told)
}

// waitValue is what a load is worth to those who wait: most to those who can still be
// served in time, and among equals to those who waited longest.
func (s *site) waitValue(t tally) float64 {
	const late, hurry = 0.2, 0.1
	return float64(t.hopeful) + late*float64(t.waiting-t.hopeful) + hurry*t.oldest.Seconds()
}

// grant starts the load of a model on the server where it costs least.
func (s *site) grant(w wish) bool {
	if w.ahead && w.first && s.store.free() <= 0 {
		return false
	}
	var best *candidate
	for _, server := range s.servers {
		if found := s.candidate(server, w); found != nil && (best == nil || found.cost < best.cost) {
			best = found
		}
	}
	if best == nil {
		return false
	}
	s.begin(best, w)
	return true
}

// candidate is a server that could load a model after dropping victims.
type candidate struct {
	server  *vrfleet.Server
	victims []vrid.ModelID
	from    tier
	cost    float64
}

func (s *site) candidate(server *vrfleet.Server, w wish) *candidate {
	p := s.planner
	if !server.Takes() || p.work[server.ID] != nil || s.now.Before(p.cool[server.ID]) {
		return nil
	}
	known := p.ledgerOf(s.now, server, s.out)
	if known == nil {
		return nil
	}
	if known.find(w.model.ID) != nil {
		if !hasModel(server, w.model.ID) {
			// No order is under way here, so an unanswered one dropped the model since.
			delete(p.ledgers, server.ID)
		}
		return nil
	}
	from := s.tierOf(server, w.model.ID)
	if from == tierStore && (s.store.free() <= 0 || s.nearElsewhere(w.model.ID)) {
		return nil
	}
	if w.ahead && w.first && from != tierStore {
		return nil
	}
	victims, loss, ok := s.victims(server, known, w)
	if !ok {
		return nil
	}
	cost := loadTime(w.model, from).Seconds() + lossWeight*loss + s.crowding(server, w.model.ID)
	return &candidate{server: server, victims: victims, from: from, cost: cost}
}

// nearElsewhere reports whether a server that does not hold a model has a copy near it. A load
// from the weight store takes several times as long, and its server takes no other order
// meanwhile, so it is worth waiting for that server.
func (s *site) nearElsewhere(model vrid.ModelID) bool {
	found, known := s.nearby[model]
	if !known {
		found = s.findNear(model)
		s.nearby[model] = found
	}
	return found
}

func (s *site) findNear(model vrid.ModelID) bool {
	for _, server := range s.servers {
		if !server.Takes() || hasModel(server, model) || s.now.Before(s.planner.cool[server.ID]) {
			continue
		}
		if w := s.planner.work[server.ID]; w != nil && w.load().model == model {
			continue
		}
		if s.tierOf(server, model) != tierStore {
			return true
		}
	}
	return false
}

// Weights of crowding, in seconds of a load.
const (
	zoneWeight = 1.0
	loadWeight = 2.0
)

// crowding spreads a model's servers over the availability zones, and away from servers
// that hold other busy models.
func (s *site) crowding(server *vrfleet.Server, model vrid.ModelID) float64 {
	cost := 0.0
	for _, other := range s.servers {
		if other.Zone == server.Zone && s.keeps(other, model) {
			cost += zoneWeight
		}
	}
	if s.planner.readRate <= 0 {
		return cost
	}
	for _, holding := range server.Holdings() {
		if s.keeps(server, holding.Model) {
			share := s.tallies[holding.Model].tokens / s.planner.readRate / float64(max(s.replicas[holding.Model], 1))
			cost += loadWeight * share
		}
	}
	return cost
}

// victims returns the models whose loss makes room, and what the loss costs.
func (s *site) victims(server *vrfleet.Server, known *ledger, w wish) ([]vrid.ModelID, float64, bool) {
	free := s.room(server, known)
	type choice struct {
		model vrid.ModelID
		loss  float64
	}
	var choices []choice
	for _, holding := range known.holds {
		if loss, ok := s.loss(server, holding.Model, w); ok {
			choices = append(choices, choice{holding.Model, loss})
		}
	}
	slices.SortFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.model, b.model))
	})
	var victims []vrid.ModelID
	loss := 0.0
	for _, c := range choices {
		if free >= w.model.Weights {
			break
		}
		victims = append(victims, c.model)
		loss += c.loss
		free += s.sizeOf(known.find(c.model))
	}
	if free < w.model.Weights {
		return nil, 0, false
	}
	return victims, loss, w.worth() > loss
}

// worth is what a load is worth against the loss of its victims.
func (w *wish) worth() float64 {
	const waiting = 2
	if w.ahead {
		return w.value
	}
	return waiting * w.value
}

// loss is what dropping a model from a server costs, in requests a second that wait for
// its return, or false when it has to stay.
func (s *site) loss(server *vrfleet.Server, model vrid.ModelID, w wish) (float64, bool) {
	t := s.tallies[model]
	replicas, need := s.replicas[model], s.need(model)
	if since, ok := s.planner.held[resident{server.ID, model}]; ok && s.now.Sub(since) < keepLeast {
		return 0, false
	}
	if replicas <= 1 && t.waiting > 0 {
		return 0, false
	}
	if replicas <= need+spareServers && t.rate >= busyRate {
		return 0, false
	}
	declared := s.engine.Model(model)
	if declared == nil {
		return 0, true
	}
	back := loadTime(declared, s.tierOf(server, model)).Seconds()
	loss := s.demandOf(model) * back
	if replicas > 1 {
		loss *= 0.2
	}
	loss += runLoss * float64(s.running[resident{server.ID, model}])
	if w.ahead && s.tierOf(server, model) == tierStore && replicas <= 1 {
		// A copy is not made at the price of the only other one.
		return 0, false
	}
	return loss, true
}

// room is the free memory of a server.
func (s *site) room(server *vrfleet.Server, known *ledger) vrid.Bytes {
	free := s.engine.Memory - s.reserve(server)
	for i := range known.holds {
		free -= s.sizeOf(&known.holds[i])
	}
	return free
}

// reserve is kept free while an order to an earlier life of the server may still be
// carried out: the count that it expects could come up again.
func (s *site) reserve(server *vrfleet.Server) vrid.Bytes {
	fresh := s.now.Sub(server.SeenAt) < lateOrder
	if !fresh || !server.Reborn {
		return 0
	}
	return s.largestModel()
}

// sizeOf is the memory of a model with its adapters. One that is no longer declared counts
// as the largest.
func (s *site) sizeOf(holding *vrfleet.Holding) vrid.Bytes {
	declared := s.engine.Model(holding.Model)
	if declared == nil {
		return s.largestModel() + vrid.Bytes(len(holding.Adapters))*s.largestAdapter()
	}
	return declared.Weights + vrid.Bytes(len(holding.Adapters))*declared.AdapterSize
}

func (s *site) largestModel() vrid.Bytes {
	var largest vrid.Bytes
	for i := range s.engine.Models {
		largest = max(largest, s.engine.Models[i].Weights)
	}
	return largest
}

func (s *site) begin(c *candidate, w wish) {
	work := &work{
		service: s.service.ID, born: c.server.Born, from: c.from, retryAt: s.now, decided: s.now,
		eta: loadTime(w.model, c.from), beside: s.store.running + 1,
	}
	for _, victim := range c.victims {
		work.steps = append(work.steps, step{kind: vrevent.OrderUnload, model: victim})
		s.replicas[victim]--
	}
	work.steps = append(work.steps, step{kind: vrevent.OrderLoad, model: w.model.ID})
	if c.from == tierStore {
		s.store.running++
	}
	s.replicas[w.model.ID]++
	s.copies[w.model.ID]++
	s.planner.work[c.server.ID] = work
	s.tell(w, vrwire.NoticeComing, c.server.ID, work.eta)
}

// refuse tells the daemons that a model can't be held before their requests give up.
func (s *site) refuse(w wish) {
	eta := s.outlook(w)
	if s.now.Add(eta + answerTime).Before(w.tally.until) {
		s.tell(w, vrwire.NoticeComing, "", eta)
		return
	}
	s.tell(w, vrwire.NoticeRefused, "", eta)
}

// outlook estimates when a model that is not being loaded could be held.
func (s *site) outlook(w wish) time.Duration {
	if s.copies[w.model.ID] > 0 {
		return 2*w.model.DiskLoad + time.Second
	}
	ahead := 0
	for _, other := range s.wished {
		if other.model == w.model {
			break
		}
		if s.copies[other.model.ID] == 0 && !other.ahead {
			ahead++
		}
	}
	rounds := 1 + ahead/max(s.store.places, 1)
	return time.Duration(rounds)*w.model.StoreLoad + w.model.StoreLoad/2
}

func (s *site) tell(w wish, kind vrwire.NoticeKind, server vrid.ServerID, in time.Duration) {
	k := key{service: s.service.ID, model: w.model.ID}
	to := s.planner.askers(s.now, k, toldPause)
	if len(to) == 0 {
		return
	}
	s.out.Notices = append(s.out.Notices, Notice{To: to, Notice: vrwire.Notice{
		Kind: kind, Service: k.service, Model: k.model, Server: server, In: in.Milliseconds(),
	}})
}
