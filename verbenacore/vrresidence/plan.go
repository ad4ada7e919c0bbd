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
	// maxPrefillShare is the fraction of a server's time that the prefill of one model's prompts
	// may take. Prefill stalls all streams at the server, and bursts are several times the mean.
	maxPrefillShare = 0.12
	// targetUtilization is the fraction of the slots of a model's servers that may be in use
	// before the model gets another server. It is low because prefill delays the tokens of all
	// other streams.
	targetUtilization = 0.35
	// assumedRequestSeconds is the assumed time of a request at a server. It converts between
	// request rates and numbers of running requests, for models of which only one is known.
	assumedRequestSeconds = 2.0
	// busyRequestRate is the rate in requests per second from which a model is kept on one more
	// server than needed, so that the loss of one server makes no request wait for a load.
	busyRequestRate = 1.0
	// maxSurplusReplicas is how many replicas more than needed a busy model may have before one
	// may be evicted. The need varies with each burst, and an unload waits for the running
	// requests.
	maxSurplusReplicas = 1
	// minResidency is the minimum time between the load of a model and its eviction, so that the
	// requests that waited for the load are served.
	minResidency = 1500 * time.Millisecond
	// noticeInterval is the minimum time between two notices to a daemon about one target.
	noticeInterval = 700 * time.Millisecond
	// evictionWeight converts the cost of an eviction into seconds of load time.
	evictionWeight = 4.0
	// inFlightEvictionCost is the cost of an eviction per request in flight. The unload has to
	// wait for these requests, and the server accepts no other order meanwhile.
	inFlightEvictionCost = 1.0
	// minAssumedRate is the request rate assumed for a model that nobody has requested yet.
	minAssumedRate = 0.02
	// minAnswerTime is the minimum time from the end of a load to the answer of a request that
	// waited for it.
	minAnswerTime = 500 * time.Millisecond
)

// servicePlan is the state of a plan for one language service.
type servicePlan struct {
	capacity
	planner  *Planner
	service  *vrcatalog.Service
	servers  []*vrfleet.Server
	store    *storeLimiter
	decision *Decision
	// copies counts the servers that hold a model or have a copy of it, replicas the servers
	// that hold it or are loading it.
	copies   map[vrid.ModelID]int
	replicas map[vrid.ModelID]int
	// totals is the demand for each model, inFlight the requests in flight per server and model.
	// unknownInFlight are those of daemons that have not reported of late.
	totals          map[vrid.ModelID]demandTotal
	inFlight        map[serverModel]int
	unknownInFlight map[serverModel]int
	// serversWithCopy are the servers that have a copy of a model on their disk or in their host memory, and
	// accept work. holders are all servers that hold it.
	serversWithCopy, holders map[vrid.ModelID][]*vrfleet.Server
	// blockedLoads holds the models whose load waits for the requests of a victim, see drain. Another server may
	// load them only if it can begin at once.
	blockedLoads map[vrid.ModelID]bool
	// copyElsewhere caches the results of hasCopyElsewhere.
	copyElsewhere map[vrid.ModelID]bool
	// wanted are the models to load, the one with the highest value first.
	wanted []wantedModel
	// needs caches the results of need.
	needs map[vrid.ModelID]int
	// offers is nil until a model has to be placed.
	offers *offers
}

// Plan decides which orders to give now, which daemons to notify and which status reports to
// read.
func (p *Planner) Plan(now time.Time, input PlanInput) Decision {
	var decision Decision
	p.freshFrom = input.FreshFrom
	if p.ownerSince.IsZero() {
		p.ownerSince = now
	}
	for i := range input.Catalog.Services {
		service := &input.Catalog.Services[i]
		if service.Engine != nil {
			s := p.newServicePlan(now, input, service, &decision)
			s.planAdapters()
			s.planModels()
		}
	}
	p.issueOrders(now, input, &decision)
	p.checkUnloads(now, &decision)
	for id, j := range p.jobs {
		if j.awaitingStatus && now.Sub(j.sentAt) >= statusDelay && now.Sub(p.statusRequestedAt[id]) >= statusReadInterval {
			p.statusRequestedAt[id] = now
			decision.StatusReads = append(decision.StatusReads, id)
		}
	}
	return decision
}

// newServicePlan collects the replicas, copies, current loads and demand of a service.
func (p *Planner) newServicePlan(now time.Time, input PlanInput, service *vrcatalog.Service, decision *Decision) *servicePlan {
	models := len(service.Engine.Models)
	s := &servicePlan{
		capacity: capacity{now: now, engine: service.Engine}, planner: p, service: service, servers: input.Fleet.ServersOf(service.ID),
		store: p.store(service.ID), decision: decision, copies: make(map[vrid.ModelID]int, models),
		replicas: make(map[vrid.ModelID]int, models), totals: make(map[vrid.ModelID]demandTotal, models),
		inFlight: p.inFlightByServer(now), unknownInFlight: p.unknownInFlight(now),
		serversWithCopy: make(map[vrid.ModelID][]*vrfleet.Server, models), holders: make(map[vrid.ModelID][]*vrfleet.Server, models),
		copyElsewhere: make(map[vrid.ModelID]bool), blockedLoads: make(map[vrid.ModelID]bool), needs: make(map[vrid.ModelID]int, models),
	}
	s.store.rate = service.Engine.LoadRate
	s.store.running = 0
	for _, server := range s.servers {
		for _, holding := range server.LoadedModels() {
			s.holders[holding.Model] = append(s.holders[holding.Model], server)
		}
		if !server.AcceptsWork() {
			continue
		}
		for _, holding := range server.LoadedModels() {
			if s.keeps(server, holding.Model) {
				s.replicas[holding.Model]++
			}
		}
		s.countCopies(server)
		j := p.jobs[server.ID]
		if j == nil || j.loadStep().adapter != "" {
			continue
		}
		if j.stuck(now) {
			continue
		}
		s.copies[j.loadStep().model]++
		if j.source == tierStore {
			s.store.running++
		}
		if j.waitsForRequests() {
			s.blockedLoads[j.loadStep().model] = true
			continue
		}
		s.replicas[j.loadStep().model]++
	}
	s.store.blocked = s.resolveTakeover()
	if s.store.blocked {
		// Loads from the weight store can't start yet, so none is planned: a planned load would
		// block its server while it waits.
		s.store.running = max(s.store.running, s.store.maxConcurrent)
	}
	for i := range s.engine.Models {
		model := s.engine.Models[i].ID
		s.totals[model] = p.totalDemand(now, target{service: service.ID, model: model})
	}
	return s
}

// keeps reports whether a server holds a model and is not about to unload it.
func (s *servicePlan) keeps(server *vrfleet.Server, model vrid.ModelID) bool {
	if !hasModel(server, model) {
		return false
	}
	j := s.planner.jobs[server.ID]
	if j == nil || j.startedAt != server.Born {
		return server.HasModel(s.now, model)
	}
	dropped := slices.ContainsFunc(j.steps, func(st step) bool {
		return st.kind == vrevent.OrderUnload && st.model == model && st.adapter == ""
	})
	return !dropped && server.HasModel(s.now, model)
}

// countCopies records which models a server holds or has copies of.
func (s *servicePlan) countCopies(server *vrfleet.Server) {
	add := func(model vrid.ModelID) {
		s.copies[model]++
		s.serversWithCopy[model] = append(s.serversWithCopy[model], server)
	}
	for i, model := range server.OnDisk {
		if !slices.Contains(server.OnDisk[:i], model) {
			add(model)
		}
	}
	for i, model := range server.InHost {
		if !slices.Contains(server.InHost[:i], model) && !slices.Contains(server.OnDisk, model) {
			add(model)
		}
	}
	for _, holding := range server.LoadedModels() {
		if tierOf(server, holding.Model) == tierStore {
			s.copies[holding.Model]++
		}
	}
}

// tierOf returns the tier that a server would load a model from.
func tierOf(server *vrfleet.Server, model vrid.ModelID) tier {
	switch {
	case slices.Contains(server.InHost, model):
		return tierMemory
	case slices.Contains(server.OnDisk, model):
		return tierDisk
	default:
		return tierStore
	}
}

// loadTime returns the declared time of loading a model from a tier.
func loadTime(model *vrcatalog.Model, source tier) time.Duration {
	switch source {
	case tierMemory:
		return model.MemoryLoad
	case tierDisk:
		return model.DiskLoad
	default:
		return model.StoreLoad
	}
}

// expectedRate returns the expected request rate of a model.
func (s *servicePlan) expectedRate(model vrid.ModelID) float64 {
	t := s.totals[model]
	return max(t.rate, float64(t.running)/assumedRequestSeconds, minAssumedRate)
}

// need returns the number of wanted replicas of a model: the servers that should hold it.
func (s *servicePlan) need(model vrid.ModelID) int {
	count, ok := s.needs[model]
	if !ok {
		count = s.computeNeed(model)
		s.needs[model] = count
	}
	return count
}

// computeNeed computes the result of need.
func (s *servicePlan) computeNeed(model vrid.ModelID) int {
	t := s.totals[model]
	running := max(float64(t.running), t.rate*assumedRequestSeconds)
	count := int(running/(targetUtilization*float64(max(s.engine.Slots, 1)))) + 1
	if t.rate >= busyRequestRate {
		count++
	}
	if rate := s.planner.prefillRate; rate > 0 {
		count = max(count, int(math.Ceil(t.tokenRate/rate/maxPrefillShare)))
	}
	if t.rate == 0 && t.waiting == 0 && t.running == 0 {
		count = 0
	}
	return min(count, len(s.servers))
}

// wantedModel is a model that should be loaded on one more server.
type wantedModel struct {
	model *vrcatalog.Model
	total demandTotal
	// value is the estimated benefit of the load, by which wanted models are ordered.
	value float64
	// firstReplica is set if no server holds the model.
	firstReplica bool
	// speculative is set if no request waits for the model.
	speculative bool
}

// planModels plans the loads of models.
func (s *servicePlan) planModels() {
	s.wanted = s.wantedModels()
	// refusedSize is the smallest model without a copy that no server has taken as a speculative load. Loads of
	// lower value that need as much memory are not tried.
	refusedSize := vrid.Bytes(math.MaxInt64)
	for i := range s.wanted {
		w := &s.wanted[i]
		firstCopy := w.speculative && s.copies[w.model.ID] == 0 && !s.blockedLoads[w.model.ID]
		if firstCopy && w.model.Weights >= refusedSize {
			continue
		}
		if s.placeModel(w) {
			refusedSize = math.MaxInt64
			continue
		}
		if firstCopy {
			refusedSize = w.model.Weights
		}
		if w.firstReplica && !w.speculative && !s.blockedLoads[w.model.ID] {
			s.notifyUnavailable(w)
		}
	}
	s.notifyLoading()
}

// notifyLoading notifies the daemons whose requests wait for a model that is already being
// loaded.
func (s *servicePlan) notifyLoading() {
	for _, server := range s.servers {
		j := s.planner.jobs[server.ID]
		if j == nil || j.loadStep().adapter != "" {
			continue
		}
		model := s.engine.Model(j.loadStep().model)
		if model == nil || s.totals[model.ID].waiting == 0 {
			continue
		}
		s.notify(&wantedModel{model: model}, vrwire.NoticeLoading, server.ID, j.remaining(s.now))
	}
}

// wantedModels returns the models that should be loaded, the one with the highest value first.
func (s *servicePlan) wantedModels() []wantedModel {
	var wanted []wantedModel
	for i := range s.engine.Models {
		model := &s.engine.Models[i]
		t := s.totals[model.ID]
		have, need := s.replicas[model.ID], s.need(model.ID)
		s.reportNeed(model.ID, t, have, need)
		w := wantedModel{model: model, total: t, firstReplica: have == 0, speculative: t.waiting == 0}
		switch {
		case have == 0 && t.waiting > 0:
			w.value = s.waitValue(t) + s.expectedRate(model.ID)
		case have < need:
			w.value = s.expectedRate(model.ID) * float64(need-have) / float64(have+1)
		case s.copies[model.ID] == 0:
			w.value = s.expectedRate(model.ID) * minAssumedRate
		default:
			continue
		}
		wanted = append(wanted, w)
	}
	slices.SortStableFunc(wanted, func(a, b wantedModel) int { return cmp.Compare(b.value, a.value) })
	return wanted
}

// reportNeed adds a changed need to the decision, for the log. Changes between zero and one
// replica are not reported.
func (s *servicePlan) reportNeed(model vrid.ModelID, t demandTotal, have, need int) {
	k := target{service: s.service.ID, model: model}
	if s.planner.reportedNeeds[k] == need || max(s.planner.reportedNeeds[k], need) < 2 {
		return
	}
	s.planner.reportedNeeds[k] = need
	changed := ModelNeed{Model: model, Have: have, Need: need, Rate: t.rate}
	if s.planner.prefillRate > 0 {
		changed.PrefillShare = t.tokenRate / s.planner.prefillRate
	}
	s.decision.Needs = append(s.decision.Needs, changed)
}

// waitValue is the value of a load for the waiting requests. Requests that can still be served
// within their latency target count most; between equal counts, the longer wait decides.
func (s *servicePlan) waitValue(t demandTotal) float64 {
	const lateWeight, waitWeight = 0.2, 0.1
	return float64(t.withinTarget) + lateWeight*float64(t.waiting-t.withinTarget) + waitWeight*t.longestWait.Seconds()
}

// placeModel starts the load of a model on the server with the lowest cost and reports whether
// there was one.
func (s *servicePlan) placeModel(w *wantedModel) bool {
	if w.speculative && w.firstReplica && s.store.available() <= 0 {
		return false
	}
	inZone := s.replicasByZone(w.model.ID)
	var best candidate
	found := false
	offered := s.offersTo(w)
	s.decision.Examined += len(offered)
	for _, o := range offered {
		if c, ok := s.candidateFor(o, w, inZone); ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	if found {
		s.startLoad(&best, w)
	}
	return found
}

// replicasByZone counts the servers that hold a model and are not about to unload it.
func (s *servicePlan) replicasByZone(model vrid.ModelID) map[vrid.ZoneID]int {
	counts := make(map[vrid.ZoneID]int)
	for _, server := range s.holders[model] {
		if s.keeps(server, model) {
			counts[server.Zone]++
		}
	}
	return counts
}

// candidate is a server that can load a model after evicting victims.
type candidate struct {
	offer   *serverOffer
	victims []victim
	source  tier
	cost    float64
}

// candidateFor returns the server of an offer as a candidate for loading a model, or false if it can't or
// should not load the model now. inZone counts the model's replicas by zone.
func (s *servicePlan) candidateFor(o *serverOffer, w *wantedModel, inZone map[vrid.ZoneID]int) (candidate, bool) {
	if o.withdrawn {
		return candidate{}, false
	}
	if o.ledger.find(w.model.ID) != nil {
		if !hasModel(o.server, w.model.ID) {
			// There is no order in progress here, so an unanswered order must have unloaded the
			// model.
			delete(s.planner.ledgers, o.server.ID)
			s.planner.requestStatus(s.now, o.server.ID, s.decision)
			o.withdrawn = true
		}
		return candidate{}, false
	}
	source := tierOf(o.server, w.model.ID)
	if source == tierStore && (s.store.available() <= 0 || s.hasCopyElsewhere(w.model.ID)) {
		return candidate{}, false
	}
	if w.speculative && w.firstReplica && source != tierStore {
		return candidate{}, false
	}
	victims, evictionCost, ok := s.victims(o, w)
	if !ok || (s.blockedLoads[w.model.ID] && (w.speculative || source == tierStore || s.mayBeInUse(o.server, victims))) {
		return candidate{}, false
	}
	cost := loadTime(w.model, source).Seconds() + evictionWeight*evictionCost + zoneWeight*float64(inZone[o.server.Zone]) + s.loadCost(o)
	return candidate{offer: o, victims: victims, source: source, cost: cost}, true
}

// hasCopyElsewhere reports whether a server that does not hold a model has a copy of it on its
// disk or in its host memory. It is worth waiting for that server: a load from the weight
// store takes several times as long, and the loading server accepts no other order meanwhile.
func (s *servicePlan) hasCopyElsewhere(model vrid.ModelID) bool {
	found, ok := s.copyElsewhere[model]
	if !ok {
		found = s.findCopyElsewhere(model)
		s.copyElsewhere[model] = found
	}
	return found
}

// findCopyElsewhere computes the result of hasCopyElsewhere.
func (s *servicePlan) findCopyElsewhere(model vrid.ModelID) bool {
	return slices.ContainsFunc(s.serversWithCopy[model], func(server *vrfleet.Server) bool {
		j := s.planner.jobs[server.ID]
		loading := j != nil && j.loadStep().model == model
		return !loading && !hasModel(server, model) && !s.now.Before(s.planner.cooldownUntil[server.ID])
	})
}

// startLoad creates the job that loads a model on a candidate.
func (s *servicePlan) startLoad(c *candidate, w *wantedModel) {
	server := c.offer.server
	j := &job{
		service: s.service.ID, startedAt: server.Born, source: c.source, retryAt: s.now, plannedAt: s.now,
		expectedTime: loadTime(w.model, c.source), concurrentLoads: s.store.running + 1,
	}
	for _, victim := range c.victims {
		j.steps = append(j.steps, step{kind: vrevent.OrderUnload, model: victim.model})
		s.replicas[victim.model]--
	}
	j.steps = append(j.steps, step{kind: vrevent.OrderLoad, model: w.model.ID})
	if c.source == tierStore {
		s.store.running++
	}
	s.replicas[w.model.ID]++
	s.copies[w.model.ID]++
	s.planner.jobs[server.ID] = j
	c.offer.withdrawn = true
	s.offers.forgetCosts()
	s.notify(w, vrwire.NoticeLoading, server.ID, j.expectedTime)
}

// notifyUnavailable notifies the daemons about a model that can't be loaded now: when to expect
// it, or that their requests are refused if all of them give up before that.
func (s *servicePlan) notifyUnavailable(w *wantedModel) {
	delay := s.estimateLoadDelay(w)
	if s.now.Add(delay + minAnswerTime).Before(w.total.lastDeadline) {
		s.notify(w, vrwire.NoticeLoading, "", delay)
		return
	}
	s.notify(w, vrwire.NoticeRefused, "", delay)
}

// estimateLoadDelay estimates the time until a model that no server is loading could be loaded.
func (s *servicePlan) estimateLoadDelay(w *wantedModel) time.Duration {
	if s.copies[w.model.ID] > 0 {
		return 2*w.model.DiskLoad + time.Second
	}
	queuedBefore := 0
	for _, other := range s.wanted {
		if other.model == w.model {
			break
		}
		if s.copies[other.model.ID] == 0 && !other.speculative {
			queuedBefore++
		}
	}
	rounds := 1 + queuedBefore/max(s.store.maxConcurrent, 1)
	return time.Duration(rounds)*w.model.StoreLoad + w.model.StoreLoad/2
}

// notify adds a notice about a model for the daemons whose requests wait for it.
func (s *servicePlan) notify(w *wantedModel, kind vrwire.NoticeKind, server vrid.ServerID, delay time.Duration) {
	k := target{service: s.service.ID, model: w.model.ID}
	to := s.planner.daemonsToNotify(s.now, k, noticeInterval)
	if len(to) == 0 {
		return
	}
	s.decision.Notices = append(s.decision.Notices, Notice{To: to, Notice: vrwire.Notice{
		Kind: kind, Service: k.service, Model: k.model, Server: server, Delay: delay.Milliseconds(),
	}})
}
