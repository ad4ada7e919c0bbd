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
	// maxAttempts bounds the dispatches of one request.
	// A server that was full or did not hold the model costs no attempt: nothing ran, and
	// the request waits its turn again.
	maxAttempts = 5
	// resumeTime is how long a broken stream may take to go on at another replica.
	resumeTime = 5 * time.Second
	// dispatchSlack is the time after a deadline in which the runtime has to report the
	// end of an attempt; then the request is ended without it.
	dispatchSlack = 5 * time.Second
	// suspiciousTime is how long an attempt without a first token has to last before its
	// end at a deadline counts as a failure of the server.
	suspiciousTime = 3 * time.Second
	// refusalLead is how long before its deadline a waiting request is refused: two
	// ticks, so that the refusal reaches the caller before the deadline.
	refusalLead = 2 * vrevent.TickInterval
)

// phase is where a request stands.
type phase uint8

const (
	phaseClaiming phase = iota + 1
	phaseQueued
	phaseDispatched
	phaseLookingUp
)

// request is one caller's request from its arrival to its terminal entry.
type request struct {
	vrevent.Request
	phase   phase
	attempt int
	// unrun counts the attempts that met a full server or one without the model.
	unrun int
	// due is set when the rank was below its floor at the last dispatch.
	due     bool
	server  *vrroute.Server
	exclude vrid.ServerID
	// cold is set when the request met no loaded replica.
	cold bool
	// sent is set once an attempt was dispatched that is not proved to have run nothing.
	sent bool
	// uncertain is set once an attempt ended without proof that it ran nothing.
	uncertain  bool
	tokens     int
	dispatched time.Time
	firstToken time.Time
	// until is the deadline of the present attempt.
	until time.Time
	claim claimWait
}

// priority is the request's place at the engine, which would otherwise hold back what a
// floor is due.
func (r *request) priority() vrid.Rank {
	if r.due {
		return vrid.RankUrgent
	}
	return r.Rank
}

func (r *request) target() vradmit.Target {
	return vradmit.Target{Model: r.Model, Adapter: r.Adapter, Service: r.Service}
}

// requestArrived admits a request or refuses it at once.
func (s *State) requestArrived(now time.Time, arrived vrevent.Request, out *vrevent.Effects) {
	r := &request{Request: arrived}
	r.Arrived = now
	s.requestsOpened++
	index := s.configStore.Current()
	if index == nil {
		s.refuse(now, r, vrwire.ReasonNoConfiguration, 0, out)
		return
	}
	if s.shutdown.requested && now.Sub(s.shutdown.requestedAt) > acceptAfterShutdown {
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

// classify takes rank and deadline from the declaration. A caller's rank only counts
// when it is lower.
func (s *State) classify(now time.Time, r *request, index *vrconfig.Index) {
	deadline := index.Fleet.RankPolicyOf(r.Rank).Deadline.Std()
	if kind := index.Kind(r.Kind); kind != nil {
		r.Rank = max(r.Rank, kind.Rank)
		deadline = index.Fleet.DeadlineOf(*kind)
	}
	r.Deadline = now.Add(deadline)
	r.until = r.Deadline
}

func (s *State) enqueue(now time.Time, r *request, out *vrevent.Effects) {
	r.phase = phaseQueued
	if r.Model != "" {
		s.zone.arrived(r)
	}
	if r.Model != "" && !s.loaded(now, r) {
		r.cold = true
		if wait, ok := s.reachable(now, r); !ok {
			// The load starts all the same, so that a retry after it is served.
			s.wantModel(now, r, out)
			s.refuse(now, r, vrwire.ReasonDeadlineUnreachable, wait, out)
			return
		}
	}
	refusal, ok := s.queue.Offer(now, s.item(r))
	if !ok {
		s.refuse(now, r, refusal.Reason, refusal.RetryAfter, out)
		return
	}
	s.wantModel(now, r, out)
}

func (s *State) item(r *request) vradmit.Item {
	return vradmit.Item{
		Request: r.ID, Rank: r.Rank, Caller: r.Caller, Deadline: r.until, Size: r.Size, Target: r.target(),
		Pool: s.poolOf(r.target()),
	}
}

// adapterTime is the expected time of an adapter load beside its loaded base model.
const adapterTime = 10 * time.Millisecond

func (s *State) loadTime(now time.Time, r *request) time.Duration {
	index := s.configStore.Current()
	if index == nil {
		return 0
	}
	if r.Adapter != "" && s.routingTable.Loaded(now, vrroute.Query{Model: r.Model}) {
		return adapterTime
	}
	if model := index.Model(r.Model); model != nil {
		return model.LoadTime.Std()
	}
	return 0
}

// query is what a request needs of a server.
func (s *State) query(now time.Time, r *request) vrroute.Query {
	query := s.targetQuery(now, vradmit.Pick{Target: r.target(), Rank: r.Rank})
	query.Exclude = r.exclude
	query.Prefix = r.Prefix
	return query
}

// poolOf is the pool whose servers may serve a target.
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

func (s *State) loaded(now time.Time, r *request) bool { return s.routingTable.Loaded(now, s.query(now, r)) }

// dispatchQueued dispatches waiting requests while back ends have room.
func (s *State) dispatchQueued(now time.Time, out *vrevent.Effects) {
	if s.queue.Len() == 0 {
		return
	}
	due := false
	available := func(pick vradmit.Pick) bool {
		due = pick.Due
		return s.routingTable.Choose(now, s.targetQuery(now, pick)) != nil
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
		query := s.query(now, r)
		query.Due = due
		server := s.routingTable.Choose(now, query)
		if server == nil {
			// The server of a failed attempt is allowed again when there is no other.
			query.Exclude = ""
			server = s.routingTable.Choose(now, query)
		}
		if server == nil {
			s.queue.Return(item)
			return
		}
		s.queue.Served(now, item)
		r.due = due
		s.dispatch(now, r, server, out)
	}
}

func (s *State) targetQuery(now time.Time, pick vradmit.Pick) vrroute.Query {
	query := vrroute.Query{
		Model: pick.Target.Model, Adapter: pick.Target.Adapter, Rank: pick.Rank, Due: pick.Due,
		CrossRegion: s.mayCrossRegion(now, pick.Rank),
	}
	if pick.Target.Service != "" {
		query.Pool = s.poolOf(pick.Target)
	}
	return query
}

func (s *State) dispatch(now time.Time, r *request, server *vrroute.Server, out *vrevent.Effects) {
	r.phase = phaseDispatched
	r.attempt++
	r.server = server
	r.dispatched = now
	r.sent = true
	s.routingTable.Start(server)
	s.zone.started(r)
	if r.priority() != vrid.RankUrgent {
		s.routingTable.Lower(server.ID, 1)
	}
	s.routingTable.Served(server, r.Model, r.Prefix)
	s.learnLoad(now, r)
	if server.Distance == vrroute.OtherRegion {
		s.chargeCrossRegion(now, r.Rank, r.Size)
	}
	out.Add(vrevent.Dispatch{
		Request: r.ID, Attempt: r.attempt, Server: server.ID, Address: server.Address,
		Model: r.Model, Adapter: r.Adapter, Resume: r.tokens > 0 && !vrfault.On(vrfault.RestartStream), Deadline: r.until,
		CrossRegion: server.Distance == vrroute.OtherRegion, Priority: r.priority(),
	})
}

func (s *State) firstToken(now time.Time, event vrevent.FirstToken) {
	r := s.requests[event.Request]
	if r == nil || !r.firstToken.IsZero() {
		return
	}
	r.firstToken = now
	// Engines let lower ranks wait behind urgent work, so only its times tell of a server.
	if r.server != nil && event.Attempt == r.attempt && r.Rank == vrid.RankUrgent {
		s.routingTable.FirstToken(now, r.server.ID, now.Sub(r.dispatched))
	}
}

// attemptEnded ends the request or sends it to another back end.
func (s *State) attemptEnded(now time.Time, event vrevent.AttemptEnded, out *vrevent.Effects) {
	r := s.requests[event.Request]
	if r == nil || r.phase != phaseDispatched || event.Attempt != r.attempt {
		return
	}
	s.routingTable.End(now, event.Server, healthy(now, r, event.Result))
	s.zone.ended(r)
	if r.priority() != vrid.RankUrgent {
		s.routingTable.Lower(event.Server, -1)
	}
	if r.server != nil && r.server.Distance == vrroute.OtherRegion {
		s.chargeCrossRegion(now, r.Rank, answerWireSize(event.Tokens-r.tokens, event.Body))
	}
	r.tokens = max(r.tokens, event.Tokens)
	switch event.Result {
	case vrevent.AttemptNotLoaded:
		s.routingTable.Missing(event.Server, r.Model)
		r.unrun++
	case vrevent.AttemptBusy:
		s.routingTable.Busy(now, event.Server)
		r.unrun++
	case vrevent.AttemptLeaving:
		if !s.hasLeavingNotice(now, event.Server) {
			s.announceLeaving(now, event.Server, "", out)
		}
		r.unrun++
	default:
	}
	switch {
	case event.Result == vrevent.AttemptAnswered:
		s.answered(now, r, event, out)
	case event.Result == vrevent.AttemptCallerGone:
		s.claimOutcome(now, r, vrwire.ClaimUnknown, event, out)
		s.finish(now, r, s.entry(now, r, vrwire.ReasonCallerGone, vrrecord.RanUnknown), out)
	case event.Result.ProvesNotRun():
		s.notRun(now, r, event, out)
	case r.Service != "" && !r.Idempotent && !vrfault.On(vrfault.RetryUnknown):
		s.lookUp(now, r, event, out)
	default:
		s.mayHaveRun(now, r, event, out)
	}
}

// healthy reports whether the end of an attempt says nothing against its server. Being
// full or leaving is no fault of it, and neither is a deadline that was close when the
// request left here.
func healthy(now time.Time, r *request, result vrevent.AttemptResult) bool {
	switch result {
	case vrevent.AttemptAnswered, vrevent.AttemptBusy, vrevent.AttemptCallerGone, vrevent.AttemptNotLoaded:
		return true
	case vrevent.AttemptTimedOut:
		return now.Sub(r.dispatched) < suspiciousTime
	default:
		return false
	}
}

func (s *State) answered(now time.Time, r *request, event vrevent.AttemptEnded, out *vrevent.Effects) {
	s.claimOutcome(now, r, vrwire.ClaimDone, event, out)
	entry := s.entry(now, r, "", vrrecord.RanYes)
	entry.Status = uint32(event.Status)
	out.Add(vrevent.Complete{Request: r.ID})
	s.finish(now, r, entry, out)
}

// notRun sends a request elsewhere after an attempt that provably ran nothing.
func (s *State) notRun(now time.Time, r *request, event vrevent.AttemptEnded, out *vrevent.Effects) {
	r.sent = r.uncertain
	if r.attempt-r.unrun < maxAttempts && now.Before(r.until) {
		s.requeue(now, r, event.Server, out)
		return
	}
	reason := vrwire.ReasonNoReplica
	if !now.Before(r.until) {
		reason = vrwire.ReasonDeadlineExceeded
	}
	s.refuse(now, r, reason, time.Second, out)
}

// mayHaveRun retries what may run again: idempotent calls, and streams from the token
// after the last one that the caller has.
func (s *State) mayHaveRun(now time.Time, r *request, event vrevent.AttemptEnded, out *vrevent.Effects) {
	r.uncertain = true
	if event.Result == vrevent.AttemptBroken && r.attempt-r.unrun < maxAttempts {
		if r.tokens > 0 {
			r.until = now.Add(resumeTime)
		}
		if now.Before(r.until) {
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
	r.exclude = exclude
	r.server = nil
	s.queue.Return(s.item(r))
	s.wantModel(now, r, out)
}

func (s *State) callerGone(now time.Time, event vrevent.CallerGone, out *vrevent.Effects) {
	r := s.requests[event.Request]
	if r == nil || r.phase == phaseDispatched {
		return
	}
	ran := vrrecord.RanNo
	if r.sent {
		ran = vrrecord.RanUnknown
	}
	s.releaseClaim(now, r, out)
	s.finish(now, r, s.entry(now, r, vrwire.ReasonCallerGone, ran), out)
}

// requestRejected records a request that the front refused before it was parsed.
func (s *State) requestRejected(now time.Time, event vrevent.RequestRejected, out *vrevent.Effects) {
	s.requestsOpened++
	r := &request{Request: event.Request}
	r.Arrived = now
	s.finish(now, r, s.entry(now, r, event.Reason, vrrecord.RanNo), out)
}

// refuse ends a request without an answer. It claims that nothing ran only when no
// attempt is open that may have run.
func (s *State) refuse(now time.Time, r *request, reason vrwire.Reason, retry time.Duration, out *vrevent.Effects) {
	ran := vrrecord.RanNo
	if r.sent && !vrfault.On(vrfault.FalseNotRun) {
		ran = vrrecord.RanUnknown
	}
	if ran == vrrecord.RanNo {
		s.releaseClaim(now, r, out)
	}
	s.end(now, r, reason, ran, retry, out)
}

func (s *State) end(now time.Time, r *request, reason vrwire.Reason, ran vrrecord.Ran, retry time.Duration, out *vrevent.Effects) {
	out.Add(vrevent.Refuse{Request: r.ID, Reason: reason, Ran: ran, RetryAfter: retry})
	s.finish(now, r, s.entry(now, r, reason, ran), out)
}

// entry is the terminal entry of a request.
func (s *State) entry(now time.Time, r *request, reason vrwire.Reason, ran vrrecord.Ran) vrrecord.Entry {
	entry := vrrecord.Entry{
		Kind: vrrecord.EntryAnswered, Request: r.ID, Daemon: s.opts.Daemon, Boot: s.opts.Boot, Zone: s.opts.Zone,
		At: now.UnixMilli(), Caller: r.Caller, Rank: r.Rank, KindID: r.Kind, Model: r.Model, Adapter: r.Adapter,
		Service: r.Service, Key: r.Key, Reason: string(reason), Ran: ran, Attempts: uint32(r.attempt), Cold: r.cold,
		Tokens: uint32(r.tokens), Total: now.Sub(r.Arrived).Microseconds(), Config: s.configStore.Version(),
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
	if !r.dispatched.IsZero() {
		entry.Queued = r.dispatched.Sub(r.Arrived).Microseconds()
	}
	if !r.firstToken.IsZero() {
		entry.FirstToken = r.firstToken.Sub(r.Arrived).Microseconds()
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

// tickRequests refuses what waited past its deadline.
func (s *State) tickRequests(now time.Time, out *vrevent.Effects) {
	for _, item := range s.queue.Expired(now.Add(refusalLead)) {
		r := s.requests[item.Request]
		if r == nil {
			continue
		}
		reason := vrwire.ReasonDeadlineExceeded
		if !r.cold && !s.loaded(now, r) {
			reason = vrwire.ReasonNoReplica
		}
		s.learnMiss(now, r)
		s.refuse(now, r, reason, s.retryAfter(now, r), out)
	}
	for _, id := range sortedKeys(s.requests) {
		r := s.requests[id]
		if r != nil && r.phase == phaseDispatched && r.firstToken.IsZero() && now.After(r.until.Add(dispatchSlack)) {
			s.attemptEnded(now, vrevent.AttemptEnded{
				Request: r.ID, Attempt: r.attempt, Server: r.server.ID, Result: vrevent.AttemptTimedOut,
			}, out)
		}
	}
}
