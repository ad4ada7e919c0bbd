package vrgateway

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vradmit"
	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrchoice"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Ordered admission: the calls of a service that wait for a server are sent in the order of one queue, and a
// server gets a call only while it has room. It is active for the services of ordersAdmission. The wait lists by target
// remain for the notices of the placement owner: each call of such a service that waits is in its list and in
// the queue.

const (
	// maxSendPriority is the highest priority number that servers know.
	maxSendPriority = 9
	// plainTokens is what a call without declared tokens costs its tenant in the queue.
	plainTokens = 200
	// costUnitTokens is the number of tokens that cost one unit of virtual time.
	costUnitTokens = 1000
	// wakeInterval is the minimum interval between two trials of all waiting calls, since a trial of a thousand
	// takes milliseconds. Reports age and ejections end without an event. For up to fewWaiting calls, it is
	// minWakeInterval.
	wakeInterval    = 100 * time.Millisecond
	minWakeInterval = 20 * time.Millisecond
	fewWaiting      = 32
	// meanTokensGain is the weight of a new call in the mean number of tokens of a service's calls.
	meanTokensGain = 1.0 / 32
)

// admitted is what ordered admission keeps of a call.
type admitted struct {
	// level is the call's position in the order of priorities; 0 is the most urgent.
	level int
	// queued is the call's item while it is in the queue, nil otherwise.
	queued *vradmit.Item
	// missing is what a call that can't use every server of its target lacked at the last attempt.
	missing vrchoice.Missing
	// ahead is the number of calls that were ahead of it when it began to wait.
	ahead int
}

// priorities are those of a tenant and of a route, in the order in which they count.
type priorities struct{ tenant, route int }

func comparePriorities(a, b priorities) int {
	return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.route, b.route))
}

// admission is the state of ordered admission.
type admission struct {
	queue *vradmit.Queue
	// levels are the priorities that the catalog allows, the most urgent first. publicPriority stands for the
	// tenant's in calls of public routes: the lowest of all tenants.
	levels         []priorities
	publicPriority int
	// meanRates are the mean rates of the tenants that have one, by unit.
	meanRates map[vrcatalog.QuotaUnit]float64
	// meanTokens is the smoothed number of tokens of the calls of each service.
	meanTokens map[vrid.ServiceID]float64
	times      map[serviceModelKey]*serviceTime
	// freed lists the servers at which calls have ended since the queue was last tried.
	freed []*vrfleet.Server
	// deferred are the calls that were taken from the queue but can't be sent yet.
	deferred []*call
	// freeTokens and now are what the queue asks for servers, kept so that a trial allocates nothing.
	freeTokens func(vradmit.Candidate) int
	now        time.Time
	// freedServer is the only server that may have got room since the queue was last tried, nil if any may.
	freedServer  *vrfleet.Server
	lastWakeAt   time.Time
	lastReviewAt time.Time
	review       review
}

// serviceModelKey identifies the calls of a service for a model; the model is empty for other services.
type serviceModelKey struct {
	service vrid.ServiceID
	model   vrid.ModelID
}

func (s *State) initAdmission() {
	s.admission = admission{
		meanTokens: make(map[vrid.ServiceID]float64), times: make(map[serviceModelKey]*serviceTime),
		review: review{refused: make(map[serviceModelKey]int), intervals: make(map[target]time.Duration)},
	}
	s.admission.queue = vradmit.New(vradmit.Options{Weighted: true, Levels: 1})
	s.admission.freeTokens = s.freeTokens
}

// resetQueue builds the queue for a new catalog, whose levels and tenants may differ, from the calls that wait.
func (s *State) resetQueue(now time.Time) {
	a := &s.admission
	a.levels, a.publicPriority, a.meanRates = nil, 0, meanRates(s.catalog.Tenants)
	for i := range s.catalog.Tenants {
		a.publicPriority = max(a.publicPriority, s.catalog.Tenants[i].Priority)
	}
	for i := range s.catalog.Routes {
		route := &s.catalog.Routes[i]
		a.levels = append(a.levels, priorities{tenant: a.publicPriority, route: route.Priority})
		for j := range s.catalog.Tenants {
			a.levels = append(a.levels, priorities{tenant: s.catalog.Tenants[j].Priority, route: route.Priority})
		}
		slices.SortFunc(a.levels, comparePriorities)
		a.levels = slices.Compact(a.levels)
	}
	a.queue = vradmit.New(vradmit.Options{Weighted: true, Levels: min(max(len(a.levels), 1), vradmit.MaxLevels)})
	for _, c := range s.calls {
		c.queued, c.level = nil, s.levelOf(c)
	}
	s.queueWaiting(now)
}

// meanRates returns the mean rate of the tenants that have one, by the unit of their quota.
func meanRates(tenants []vrcatalog.Tenant) map[vrcatalog.QuotaUnit]float64 {
	sums, counts := make(map[vrcatalog.QuotaUnit]float64), make(map[vrcatalog.QuotaUnit]float64)
	for i := range tenants {
		if quota := &tenants[i].Quota; quota.Rate > 0 {
			sums[quota.Unit] += quota.Rate
			counts[quota.Unit]++
		}
	}
	for unit, count := range counts {
		sums[unit] /= count
	}
	return sums
}

// queueWaiting puts the calls of ordered services that wait in their lists into the queue, in a fixed order.
func (s *State) queueWaiting(now time.Time) {
	for _, key := range s.waitingTargets() {
		if !s.ordersAdmission(key.service) {
			continue
		}
		for i, c := range s.waitLists[key].calls {
			if c.queued == nil {
				s.joinQueue(now, c, i)
			}
		}
	}
}

// levelOf returns the position of a call's priorities among those of the catalog. A call that arrived with an
// earlier catalog gets that of the next lower ones.
func (s *State) levelOf(c *call) int {
	own := priorities{tenant: s.admission.publicPriority, route: c.route.Priority}
	if c.tenant != nil {
		own.tenant = c.tenant.Priority
	}
	level, _ := slices.BinarySearchFunc(s.admission.levels, own, comparePriorities)
	return max(0, min(level, len(s.admission.levels)-1, vradmit.MaxLevels-1))
}

// sendPriority returns the priority that a server is told.
func (s *State) sendPriority(c *call) int {
	if s.catalog == nil || !s.catalog.HasTenants() {
		return c.route.Priority
	}
	return min(c.level, maxSendPriority)
}

// recordAdmissionArrival sets the level of a new call and counts its tokens.
func (s *State) recordAdmissionArrival(c *call) {
	c.level = s.levelOf(c)
	tokens := s.tokens(c)
	if tokens == 0 {
		return
	}
	mean, known := s.admission.meanTokens[c.service]
	if !known {
		mean = float64(tokens)
	}
	s.admission.meanTokens[c.service] = mean + (float64(tokens)-mean)*meanTokensGain
}

// engine returns the engine of a language service, nil for other services.
func (s *State) engine(service vrid.ServiceID) *vrcatalog.Engine {
	if s.catalog == nil {
		return nil
	}
	if found := s.catalog.Service(service); found != nil {
		return found.Engine
	}
	return nil
}

// modelOf returns the model that a call needs, which is empty unless its service is a language service.
func (s *State) modelOf(c *call) vrid.ModelID {
	if s.engine(c.service) == nil {
		return ""
	}
	return c.Model
}

// tokens returns what a call may use of a server's cache.
func (s *State) tokens(c *call) int {
	if s.engine(c.service) == nil {
		return 0
	}
	return c.PromptTokens + c.OutputTokens
}

// queueRank returns the rank of a call in the queue. A stream that has begun goes on before others begin.
func (c *call) queueRank() vrid.Rank {
	if c.responseStarted {
		return 0
	}
	return vrid.Rank(c.level)
}

// roomFor returns what a call of a rank needs of a server's capacity, apart from its tokens. If all calls have
// the same level, none is more urgent than those that servers would put behind it.
func (s *State) roomFor(service vrid.ServiceID, rank vrid.Rank) vrfleet.RoomNeed {
	need := vrfleet.RoomNeed{Checked: true, Daemons: len(s.peers), Urgent: rank == 0 && len(s.admission.levels) > 1}
	if engine := s.engine(service); engine != nil {
		need.CacheTokens, need.MeanTokens = engine.CacheTokens, int(s.admission.meanTokens[service])
	}
	return need
}

func (s *State) roomNeed(c *call) vrfleet.RoomNeed {
	need := s.roomFor(c.service, c.queueRank())
	need.Tokens = s.tokens(c)
	return need
}

// exceedsCache reports whether a call needs more tokens than any server has.
func (s *State) exceedsCache(c *call) bool {
	engine := s.engine(c.service)
	return engine != nil && engine.CacheTokens > 0 && s.tokens(c) > engine.CacheTokens
}

// isRestricted reports whether a call can't use every server that others with its target can.
func (c *call) isRestricted() bool {
	return c.responseStarted || len(c.tried)+len(c.superseded) > 0
}

// missingOf returns what a waiting call lacked at the last attempt.
func (s *State) missingOf(c *call, list *waitList) vrchoice.Missing {
	if c.queued != nil && c.isRestricted() {
		return c.missing
	}
	return list.missing
}

// queueItem returns the item of a call.
func (s *State) queueItem(c *call) vradmit.Item {
	item := vradmit.Item{
		Rank: c.queueRank(), Deadline: c.deadline, LateAt: s.lateAt(c), Pool: vrid.PoolID(c.service),
		Target: vradmit.Target{Service: c.service, Model: s.modelOf(c)}, Tokens: s.tokens(c), Owner: c, Begun: c.responseStarted,
	}
	if item.Target.Model != "" {
		item.Target.Adapter = c.Adapter
	}
	if c.isRestricted() {
		item.Target.Only = uint64(c.ID)
	}
	if c.tenant != nil {
		item.Caller = vrid.CallerID(c.tenant.ID)
	}
	if s.catalog.HasTenants() {
		item.Weight = s.weight(c.tenant)
		item.Cost = float64(max(item.Tokens, plainTokens)) / costUnitTokens
	}
	if c.sends > 0 {
		// The call has paid for its first send.
		item.Cost = 0
	}
	return item
}

// weight returns a tenant's share relative to the mean. Tenants without a rate, and public calls together, get
// the mean share.
func (s *State) weight(tenant *vrcatalog.Tenant) float64 {
	if tenant == nil || tenant.Quota.Rate <= 0 || s.admission.meanRates[tenant.Quota.Unit] <= 0 {
		return 1
	}
	return tenant.Quota.Rate / s.admission.meanRates[tenant.Quota.Unit]
}

// joinQueue puts a waiting call into the queue of an ordered service, and returns how many calls are ahead of
// it. inList is their number for other services.
func (s *State) joinQueue(now time.Time, c *call, inList int) int {
	if !s.ordersAdmission(c.service) {
		return inList
	}
	item := s.queueItem(c)
	c.ahead = s.admission.queue.AheadOf(now, item)
	c.queued = s.admission.queue.Enqueue(now, item)
	return c.ahead
}

// leaveQueue removes a call from the queue without a send.
func (s *State) leaveQueue(c *call) {
	if c.queued != nil {
		s.admission.queue.Dequeue(c.queued)
		c.queued = nil
	}
}

// dispatchOrdered sends a call of an ordered service, makes it wait for its turn or for a server, or refuses it.
func (s *State) dispatchOrdered(now time.Time, c *call, out *vrevent.Effects) {
	if s.exceedsCache(c) {
		s.endCall(now, c, vrwire.ReasonServersFull, 0, out)
		return
	}
	server, missing := s.chooseServer(now, c)
	if server != nil {
		if s.mustHold(now, c) {
			s.hold(now, c, out)
			return
		}
		item := s.queueItem(c)
		if !s.admission.queue.HasWaiting(item.Pool, item.Target.Model) {
			s.send(now, c, server, out)
			return
		}
		// Calls that wait for the model may come before this one.
		s.joinQueue(now, c, 0)
		s.admission.queue.Wake(item.Target.Model)
		s.drainQueue(now, out)
		if c.queued == nil {
			return
		}
		s.leaveQueue(c)
		missing = vrchoice.MissingRoom
	}
	c.missing = missing
	if missing == vrchoice.MissingRoom && s.refuseIfTooLate(now, c, out) {
		return
	}
	s.makePlace(now, c, out)
	s.enqueue(now, c, missing, out)
}

// makePlace refuses the last call of a full wait list if one that is served before it would otherwise find no
// place: the calls of one tenant or of a low level must not keep out all others.
func (s *State) makePlace(now time.Time, c *call, out *vrevent.Effects) {
	list := s.waitLists[c.target()]
	if list == nil || len(list.calls) < maxWaitingPerTarget {
		return
	}
	s.joinQueue(now, c, 0)
	last := c
	for _, other := range list.calls {
		if other.queued != nil && last.queued.Before(other.queued) {
			last = other
		}
	}
	s.leaveQueue(c)
	if last != c {
		s.refuseFull(now, last, s.expectedWait(now, last, len(list.calls)), out)
	}
}

// recordRoom notes that a server may have room for a waiting call.
func (s *State) recordRoom(server *vrfleet.Server) {
	if s.admission.queue.Len() > 0 {
		s.admission.freed = append(s.admission.freed, server)
	}
}

// dispatchFreed sends waiting calls to the servers at which others have ended. Only these servers are asked,
// because a choice among all takes microseconds for each target.
func (s *State) dispatchFreed(now time.Time, out *vrevent.Effects) {
	a := &s.admission
	for len(a.freed) > 0 {
		last := len(a.freed) - 1
		server := a.freed[last]
		a.freed[last] = nil
		a.freed = a.freed[:last]
		if s.engine(server.Service) == nil {
			a.queue.Wake("")
		}
		for i := range server.Holds {
			a.queue.Wake(server.Holds[i].Model)
		}
		a.freedServer = server
		s.drainQueue(now, out)
		a.freedServer = nil
	}
}

// wakeAll tries all waiting calls of ordered services, at once or on one of the next ticks.
func (s *State) wakeAll(now time.Time, out *vrevent.Effects) {
	a := &s.admission
	if a.queue.Len() == 0 {
		return
	}
	interval := wakeInterval
	if a.queue.Len() <= fewWaiting {
		interval = minWakeInterval
	}
	if now.Sub(a.lastWakeAt) < interval {
		return
	}
	a.lastWakeAt = now
	a.queue.WakeAll()
	s.drainQueue(now, out)
}

// drainQueue sends the calls of the queue for which servers have room, in its order.
func (s *State) drainQueue(now time.Time, out *vrevent.Effects) {
	a := &s.admission
	a.now = now
	for {
		item, ok := a.queue.NextFitting(now, a.freeTokens)
		if !ok {
			break
		}
		if c, isCall := item.Owner.(*call); isCall {
			c.queued = nil
			s.sendQueued(now, c, out)
		}
	}
	for _, c := range a.deferred {
		if s.calls[c.ID] == c && c.queued == nil {
			s.joinQueue(now, c, 0)
		}
	}
	clear(a.deferred)
	a.deferred = a.deferred[:0]
}

// freeTokens returns how many tokens a server with a slot has free for the calls of a target, and records what
// is missing if there is none.
func (s *State) freeTokens(candidate vradmit.Candidate) int {
	now, t := s.admission.now, candidate.Target
	if t.Only != 0 {
		c := s.calls[vrevent.CallID(t.Only)]
		if c == nil {
			return -1
		}
		if freed := s.admission.freedServer; freed != nil {
			need := s.requirements(c)
			if s.chooser.FreeTokensAt(now, freed, &need) < s.tokens(c) {
				return -1
			}
		}
		server, missing := s.chooseServer(now, c)
		c.missing = missing
		if server == nil {
			return -1
		}
		return s.tokens(c)
	}
	need := vrchoice.Requirements{Service: t.Service, Model: t.Model, Adapter: t.Adapter, Room: s.roomFor(t.Service, candidate.Rank)}
	if server := s.admission.freedServer; server != nil {
		return s.chooser.FreeTokensAt(now, server, &need)
	}
	free, missing := s.chooser.FreeTokens(now, &need)
	if free >= 0 {
		// The calls that still wait after this trial lack the tokens.
		missing = vrchoice.MissingRoom
	}
	s.setMissing(t, missing)
	return free
}

// setMissing records what the calls of a target of the queue lack. Calls of a service without an engine have one
// target whatever model they name, but a wait list for each model.
func (s *State) setMissing(t vradmit.Target, missing vrchoice.Missing) {
	if list := s.waitLists[target{service: t.Service, model: t.Model, adapter: t.Adapter}]; list != nil {
		list.missing = missing
	}
	if s.engine(t.Service) != nil {
		return
	}
	for key, list := range s.waitLists {
		if key.service == t.Service {
			list.missing = missing
		}
	}
}

// sendQueued sends a call that was taken from the queue, or ends it.
func (s *State) sendQueued(now time.Time, c *call, out *vrevent.Effects) {
	if s.endUnservable(now, c, out) {
		return
	}
	server, missing := s.chooseServer(now, c)
	if server == nil {
		c.missing = missing
		s.admission.deferred = append(s.admission.deferred, c)
		return
	}
	waited := c.waiting
	s.dequeue(c)
	if s.mustHold(now, c) {
		s.hold(now, c, out)
		return
	}
	s.send(now, c, server, out)
	if waited {
		c.waitedForServer = true
		s.expediteDemand(now)
	}
}

// endUnservable ends a waiting call that must not be sent any more, and reports whether it did.
func (s *State) endUnservable(now time.Time, c *call, out *vrevent.Effects) bool {
	switch {
	case s.isPastDeadline(now, c):
		s.endPastDeadline(now, c, out)
	case s.outlastsGrace(now, c):
		s.refuseForShutdown(now, c, out)
	default:
		return s.refuseBlocked(now, c, out)
	}
	return true
}

// tickOrdered ends the calls of a wait list that must not be sent any more, and puts the others into the queue
// if the service has only just become ordered.
func (s *State) tickOrdered(now time.Time, list *waitList, out *vrevent.Effects) {
	for _, c := range slices.Clone(list.calls) {
		if !s.endUnservable(now, c, out) && c.queued == nil {
			s.joinQueue(now, c, 0)
		}
	}
}

// tickAdmission tries the waiting calls again and refuses those that won't be served in time.
func (s *State) tickAdmission(now time.Time, out *vrevent.Effects) {
	a := &s.admission
	if a.queue.Len() == 0 {
		return
	}
	s.wakeAll(now, out)
	if now.Sub(a.lastReviewAt) >= reviewInterval {
		a.lastReviewAt = now
		s.reviewWaiting(now, out)
	}
}

// WaitingByLevel returns the number of waiting calls of ordered services at each level.
func (s *State) WaitingByLevel() [vradmit.MaxLevels]int {
	var counts [vradmit.MaxLevels]int
	for level := range counts {
		counts[level] = s.admission.queue.Waiting(vrid.Rank(level))
	}
	return counts
}
