package vrreducer

import (
	"time"

	"verbenaroute.example/verbenacore/vradmit"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrroute"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// maxAttempts limits the dispatches of one request. A refusal by a server that was
	// full, was leaving or did not hold the model doesn't count: nothing ran, and the
	// request is queued again.
	maxAttempts = 5
	// resumeTimeout is how long a broken stream may take to continue on another
	// replica.
	resumeTimeout = 5 * time.Second
	// attemptEndGrace is how long after the deadline the runtime may take to report the
	// end of an attempt. After that the attempt is treated as timed out.
	attemptEndGrace = 5 * time.Second
	// slowAttemptThreshold is how long an attempt without a first token has to last
	// before its timeout counts as a failure of its server.
	slowAttemptThreshold = 3 * time.Second
	// refusalLead is how long before its deadline a queued request is refused: two
	// ticks, so that the refusal reaches the caller before the deadline.
	refusalLead = 2 * vrevent.TickInterval
)

// phase is the state of a request.
type phase uint8

const (
	phaseClaiming phase = iota + 1
	phaseQueued
	phaseDispatched
	phaseLookingUp
)

// request is one caller's request from its arrival until its terminal entry is written.
type request struct {
	vrevent.Request
	phase   phase
	attempt int
	// notRunAttempts counts the attempts that a server refused because it was full, was
	// leaving or did not hold the model.
	notRunAttempts int
	// belowFloor is set when the rank was below its floor at the last dispatch.
	belowFloor     bool
	server         *vrroute.Server
	excludedServer vrid.ServerID
	// cold is set when no loaded replica existed as the request was queued.
	cold bool
	// possiblyRan is set while an attempt is in flight or has ended without proof that
	// it ran nothing.
	possiblyRan bool
	// endedUncertain is set once an attempt ended without proof that it ran nothing.
	endedUncertain  bool
	deliveredTokens int
	dispatchedAt    time.Time
	firstTokenAt    time.Time
	// attemptDeadline is the deadline of the current attempt.
	attemptDeadline time.Time
	claim           keyClaim
}

// enginePriority is the rank given to the engine. A request that was dispatched while
// its rank was below its floor is sent as urgent, or the engine would hold it back.
func (r *request) enginePriority() vrid.Rank {
	if r.belowFloor {
		return vrid.RankUrgent
	}
	return r.Rank
}

func (r *request) target() vradmit.Target {
	return vradmit.Target{Model: r.Model, Adapter: r.Adapter, Service: r.Service}
}

// requestArrived admits a request or refuses it immediately.
func (s *State) requestArrived(now time.Time, arrived vrevent.Request, out *vrevent.Effects) {
	r := &request{Request: arrived}
	r.Arrived = now
	s.requestsOpened++
	index := s.configStore.Current()
	if index == nil {
		s.refuse(now, r, vrwire.ReasonNoConfiguration, 0, out)
		return
	}
	if s.shutdown.requested && now.Sub(s.shutdown.requestedAt) > shutdownAcceptPeriod {
		s.refuse(now, r, vrwire.ReasonShuttingDown, 0, out)
		return
	}
	s.classify(now, r, index)
	if r.Service != "" && !r.Idempotent && r.Key == "" {
		s.refuse(now, r, vrwire.ReasonIdempotencyKeyMissing, 0, out)
		return
	}
	s.requests[r.ID] = r
	if r.Service != "" && !r.Idempotent {
		s.startClaim(now, r, out)
		return
	}
	s.enqueue(now, r, out)
}

// classify sets rank and deadline from the configuration. The rank that the caller asks
// for counts only if it is lower than that of the declared kind.
func (s *State) classify(now time.Time, r *request, index *vrconfig.Index) {
	deadline := index.Fleet.RankPolicyOf(r.Rank).Deadline.Std()
	if kind := index.Kind(r.Kind); kind != nil {
		r.Rank = max(r.Rank, kind.Rank)
		deadline = index.Fleet.DeadlineOf(*kind)
	}
	r.Deadline = now.Add(deadline)
	r.attemptDeadline = r.Deadline
}

func (s *State) enqueue(now time.Time, r *request, out *vrevent.Effects) {
	r.phase = phaseQueued
	if r.Model != "" {
		s.zone.countArrival(r)
	}
	if r.Model != "" && !s.modelLoaded(now, r) {
		r.cold = true
		if retryAfter, ok := s.deadlineReachable(now, r); !ok {
			// The load still starts, so that a retry after it is served.
			s.reportModelDemand(now, r, out)
			s.refuse(now, r, vrwire.ReasonDeadlineUnreachable, retryAfter, out)
			return
		}
	}
	refusal, ok := s.queue.Offer(now, s.queueItem(r))
	if !ok {
		s.refuse(now, r, refusal.Reason, refusal.RetryAfter, out)
		return
	}
	s.reportModelDemand(now, r, out)
}

func (s *State) queueItem(r *request) vradmit.Item {
	return vradmit.Item{
		Request: r.ID, Rank: r.Rank, Caller: r.Caller, Deadline: r.attemptDeadline, Size: r.Size, Target: r.target(),
		Pool: s.poolOf(r.target()),
	}
}

// adapterLoadTime is the expected load time of an adapter whose base model is loaded.
const adapterLoadTime = 10 * time.Millisecond

func (s *State) expectedLoadTime(now time.Time, r *request) time.Duration {
	index := s.configStore.Current()
	if index == nil {
		return 0
	}
	if r.Adapter != "" && s.routingTable.Loaded(now, vrroute.Query{Model: r.Model}) {
		return adapterLoadTime
	}
	if model := index.Model(r.Model); model != nil {
		return model.LoadTime.Std()
	}
	return 0
}

// routeQuery returns the router's query for a request.
func (s *State) routeQuery(now time.Time, r *request) vrroute.Query {
	query := s.targetRouteQuery(now, vradmit.Candidate{Target: r.target(), Rank: r.Rank})
	query.Exclude = r.excludedServer
	query.Prefix = r.Prefix
	return query
}

// poolOf returns the pool whose servers may serve a target.
func (s *State) poolOf(target vradmit.Target) vrid.PoolID {
	index := s.configStore.Current()
	if target.Service != "" {
		if service := index.Service(target.Service); service != nil {
			return service.Pool
		}
		return ""
	}
	if model := index.Model(target.Model); model != nil {
		return model.Pool
	}
	return ""
}

func (s *State) modelLoaded(now time.Time, r *request) bool {
	return s.routingTable.Loaded(now, s.routeQuery(now, r))
}

// dispatchQueued dispatches queued requests while servers have room.
func (s *State) dispatchQueued(now time.Time, out *vrevent.Effects) {
	if s.queue.Len() == 0 {
		return
	}
	belowFloor := false
	available := func(candidate vradmit.Candidate) bool {
		belowFloor = candidate.BelowFloor
		return s.routingTable.Choose(now, s.targetRouteQuery(now, candidate)) != nil
	}
	for {
		item, ok := s.queue.Next(now, available)
		if !ok {
			return
		}
		r := s.requests[item.Request]
		if r == nil {
			continue
		}
		query := s.routeQuery(now, r)
		query.BelowFloor = belowFloor
		server := s.routingTable.Choose(now, query)
		if server == nil {
			// With no other server available, the one of the failed attempt is allowed
			// again.
			query.Exclude = ""
			server = s.routingTable.Choose(now, query)
		}
		if server == nil {
			s.queue.Requeue(item)
			return
		}
		s.queue.RecordDispatch(now, item)
		r.belowFloor = belowFloor
		s.dispatch(now, r, server, out)
	}
}

func (s *State) targetRouteQuery(now time.Time, candidate vradmit.Candidate) vrroute.Query {
	query := vrroute.Query{
		Model: candidate.Target.Model, Adapter: candidate.Target.Adapter, Rank: candidate.Rank, BelowFloor: candidate.BelowFloor,
		CrossRegion: s.mayCrossRegion(now, candidate.Rank),
	}
	if candidate.Target.Service != "" {
		query.Pool = s.poolOf(candidate.Target)
	}
	return query
}

func (s *State) dispatch(now time.Time, r *request, server *vrroute.Server, out *vrevent.Effects) {
	r.phase = phaseDispatched
	r.attempt++
	r.server = server
	r.dispatchedAt = now
	r.possiblyRan = true
	s.routingTable.Start(server)
	s.zone.countStarted(r)
	if r.enginePriority() != vrid.RankUrgent {
		s.routingTable.AddNonUrgent(server.ID, 1)
	}
	s.routingTable.RecordPrefix(server, r.Model, r.Prefix)
	s.observeLoadWait(now, r)
	if server.Distance == vrroute.OtherRegion {
		s.chargeCrossRegion(now, r.Rank, r.Size)
	}
	out.Add(vrevent.Dispatch{
		Request: r.ID, Attempt: r.attempt, Server: server.ID, Address: server.Address,
		Model: r.Model, Adapter: r.Adapter, Resume: r.deliveredTokens > 0 && !vrfault.On(vrfault.RestartStream), Deadline: r.attemptDeadline,
		CrossRegion: server.Distance == vrroute.OtherRegion, Priority: r.enginePriority(),
	})
}

func (s *State) firstToken(now time.Time, event vrevent.FirstToken) {
	r := s.requests[event.Request]
	if r == nil || !r.firstTokenAt.IsZero() {
		return
	}
	r.firstTokenAt = now
	// Engines hold lower ranks back behind urgent requests, so only the times of urgent
	// ones measure the server.
	if r.server != nil && event.Attempt == r.attempt && r.Rank == vrid.RankUrgent {
		s.routingTable.RecordFirstToken(now, r.server.ID, now.Sub(r.dispatchedAt))
	}
}

// attemptEnded finishes the request or queues it for another server.
func (s *State) attemptEnded(now time.Time, event vrevent.AttemptEnded, out *vrevent.Effects) {
	r := s.requests[event.Request]
	if r == nil || r.phase != phaseDispatched || event.Attempt != r.attempt {
		return
	}
	s.routingTable.End(now, event.Server, attemptHealthy(now, r, event.Result))
	s.zone.countEnded(r)
	if r.enginePriority() != vrid.RankUrgent {
		s.routingTable.AddNonUrgent(event.Server, -1)
	}
	if r.server != nil && r.server.Distance == vrroute.OtherRegion {
		s.chargeCrossRegion(now, r.Rank, answerWireSize(event.Tokens-r.deliveredTokens, event.Body))
	}
	r.deliveredTokens = max(r.deliveredTokens, event.Tokens)
	switch event.Result {
	case vrevent.AttemptNotLoaded:
		s.routingTable.RemoveReplica(event.Server, r.Model)
		r.notRunAttempts++
	case vrevent.AttemptBusy:
		s.routingTable.RecordBusy(now, event.Server)
		r.notRunAttempts++
	case vrevent.AttemptLeaving:
		if !s.hasLeavingNotice(now, event.Server) {
			s.announceLeaving(now, event.Server, "", out)
		}
		r.notRunAttempts++
	default:
	}
	switch {
	case event.Result == vrevent.AttemptAnswered:
		s.attemptAnswered(now, r, event, out)
	case event.Result == vrevent.AttemptCallerGone:
		s.recordClaimOutcome(now, r, vrwire.ClaimUnknown, event, out)
		s.finish(now, r, s.terminalEntry(now, r, vrwire.ReasonCallerGone, vrrecord.RanUnknown), out)
	case event.Result.ProvesNotRun():
		s.attemptNotRun(now, r, event, out)
	case r.Service != "" && !r.Idempotent && !vrfault.On(vrfault.RetryUnknown):
		s.startLookUp(now, r, event, out)
	default:
		s.attemptMayHaveRun(now, r, event, out)
	}
}

// attemptHealthy reports whether the end of an attempt doesn't count against its
// server. Being full or not holding the model is no failure, and neither is a timeout
// soon after the dispatch: the deadline was already close when the request was sent.
func attemptHealthy(now time.Time, r *request, result vrevent.AttemptResult) bool {
	switch result {
	case vrevent.AttemptAnswered, vrevent.AttemptBusy, vrevent.AttemptCallerGone, vrevent.AttemptNotLoaded:
		return true
	case vrevent.AttemptTimedOut:
		return now.Sub(r.dispatchedAt) < slowAttemptThreshold
	default:
		return false
	}
}

func (s *State) attemptAnswered(now time.Time, r *request, event vrevent.AttemptEnded, out *vrevent.Effects) {
	s.recordClaimOutcome(now, r, vrwire.ClaimDone, event, out)
	entry := s.terminalEntry(now, r, "", vrrecord.RanYes)
	entry.Status = uint32(event.Status)
	out.Add(vrevent.Complete{Request: r.ID})
	s.finish(now, r, entry, out)
}

// attemptNotRun queues a request again after an attempt that provably ran nothing.
func (s *State) attemptNotRun(now time.Time, r *request, event vrevent.AttemptEnded, out *vrevent.Effects) {
	r.possiblyRan = r.endedUncertain
	if r.attempt-r.notRunAttempts < maxAttempts && now.Before(r.attemptDeadline) {
		s.requeue(now, r, event.Server, out)
		return
	}
	reason := vrwire.ReasonNoReplica
	if !now.Before(r.attemptDeadline) {
		reason = vrwire.ReasonDeadlineExceeded
	}
	s.refuse(now, r, reason, time.Second, out)
}

// attemptMayHaveRun retries what may run again: idempotent calls, and streams, which
// continue after the last token that the caller received.
func (s *State) attemptMayHaveRun(now time.Time, r *request, event vrevent.AttemptEnded, out *vrevent.Effects) {
	r.endedUncertain = true
	if event.Result == vrevent.AttemptBroken && r.attempt-r.notRunAttempts < maxAttempts {
		if r.deliveredTokens > 0 {
			r.attemptDeadline = now.Add(resumeTimeout)
		}
		if now.Before(r.attemptDeadline) {
			s.requeue(now, r, event.Server, out)
			return
		}
	}
	reason := vrwire.ReasonBackendFailed
	if event.Result == vrevent.AttemptTimedOut {
		reason = vrwire.ReasonDeadlineExceeded
	}
	s.refuse(now, r, reason, time.Second, out)
}

func (s *State) requeue(now time.Time, r *request, exclude vrid.ServerID, out *vrevent.Effects) {
	r.phase = phaseQueued
	r.excludedServer = exclude
	r.server = nil
	s.queue.Requeue(s.queueItem(r))
	s.reportModelDemand(now, r, out)
}

func (s *State) callerGone(now time.Time, event vrevent.CallerGone, out *vrevent.Effects) {
	r := s.requests[event.Request]
	if r == nil || r.phase == phaseDispatched {
		return
	}
	ran := vrrecord.RanNo
	if r.possiblyRan {
		ran = vrrecord.RanUnknown
	}
	s.releaseClaim(now, r, out)
	s.finish(now, r, s.terminalEntry(now, r, vrwire.ReasonCallerGone, ran), out)
}

// requestRejected records a request that the front end refused before parsing it.
func (s *State) requestRejected(now time.Time, event vrevent.RequestRejected, out *vrevent.Effects) {
	s.requestsOpened++
	r := &request{Request: event.Request}
	r.Arrived = now
	s.finish(now, r, s.terminalEntry(now, r, event.Reason, vrrecord.RanNo), out)
}

// refuse ends a request without an answer. It reports that nothing ran only if no
// attempt may have run.
func (s *State) refuse(now time.Time, r *request, reason vrwire.Reason, retryAfter time.Duration, out *vrevent.Effects) {
	ran := vrrecord.RanNo
	if r.possiblyRan && !vrfault.On(vrfault.FalseNotRun) {
		ran = vrrecord.RanUnknown
	}
	if ran == vrrecord.RanNo {
		s.releaseClaim(now, r, out)
	}
	s.refuseWithRan(now, r, reason, ran, retryAfter, out)
}

func (s *State) refuseWithRan(now time.Time, r *request, reason vrwire.Reason, ran vrrecord.Ran, retryAfter time.Duration, out *vrevent.Effects) {
	out.Add(vrevent.Refuse{Request: r.ID, Reason: reason, Ran: ran, RetryAfter: retryAfter})
	s.finish(now, r, s.terminalEntry(now, r, reason, ran), out)
}

// terminalEntry returns the record entry that ends a request.
func (s *State) terminalEntry(now time.Time, r *request, reason vrwire.Reason, ran vrrecord.Ran) vrrecord.Entry {
	entry := vrrecord.Entry{
		Kind: vrrecord.EntryAnswered, Request: r.ID, Daemon: s.opts.Daemon, Boot: s.opts.Boot, Zone: s.opts.Zone,
		At: now.UnixMilli(), Caller: r.Caller, Rank: r.Rank, KindID: r.Kind, Model: r.Model, Adapter: r.Adapter,
		Service: r.Service, Key: r.Key, Reason: string(reason), Ran: ran, Attempts: uint32(r.attempt), Cold: r.cold,
		Tokens: uint32(r.deliveredTokens), Total: now.Sub(r.Arrived).Microseconds(), Config: s.configStore.Version(),
		Epoch: s.membership.View().Epoch,
	}
	if reason != "" {
		entry.Kind = vrrecord.EntryRefused
		entry.Status = uint32(reason.Status())
	}
	if r.server != nil {
		entry.Server = r.server.ID
		entry.ServerZone = r.server.Zone
	}
	if !r.dispatchedAt.IsZero() {
		entry.Queued = r.dispatchedAt.Sub(r.Arrived).Microseconds()
	}
	if !r.firstTokenAt.IsZero() {
		entry.FirstToken = r.firstTokenAt.Sub(r.Arrived).Microseconds()
	}
	return entry
}

func (s *State) finish(_ time.Time, r *request, entry vrrecord.Entry, out *vrevent.Effects) {
	s.queue.Remove(r.ID)
	delete(s.requests, r.ID)
	if vrfault.On(vrfault.LoseEntry) && entry.Reason == string(vrwire.ReasonDeadlineExceeded) {
		return
	}
	s.journal.Append(entry)
	out.Add(vrevent.AppendEntry{Entry: entry})
}

// tickRequests refuses queued requests that are about to reach their deadline, and
// times out attempts of requests without a first token whose end was never reported.
func (s *State) tickRequests(now time.Time, out *vrevent.Effects) {
	for _, item := range s.queue.RemoveExpired(now.Add(refusalLead)) {
		r := s.requests[item.Request]
		if r == nil {
			continue
		}
		reason := vrwire.ReasonDeadlineExceeded
		if !r.cold && !s.modelLoaded(now, r) {
			reason = vrwire.ReasonNoReplica
		}
		s.observeMissedLoad(now, r)
		s.refuse(now, r, reason, s.retryAfter(now, r), out)
	}
	for _, id := range sortedKeys(s.requests) {
		r := s.requests[id]
		if r != nil && r.phase == phaseDispatched && r.firstTokenAt.IsZero() && now.After(r.attemptDeadline.Add(attemptEndGrace)) {
			s.attemptEnded(now, vrevent.AttemptEnded{
				Request: r.ID, Attempt: r.attempt, Server: r.server.ID, Result: vrevent.AttemptTimedOut,
			}, out)
		}
	}
}
