package vrgateway

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrchoice"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquarantine"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// maxNotRunRetries is the maximum number of retries of a call after sends that provably
	// did not run it.
	maxNotRunRetries = 3
	// firstByteTimeoutFactor is the time after which a send without a first byte counts as
	// stalled, as a multiple of the route's latency target. minFirstByteTimeout and maxFirstByteTimeout bound it.
	minFirstByteTimeout    = 300 * time.Millisecond
	maxFirstByteTimeout    = 1200 * time.Millisecond
	firstByteTimeoutFactor = 2.5
	// pauseTimeoutFactor is the maximum pause in a resumable stream, as a multiple of the
	// route's pause target. A client gives up after twice that pause.
	pauseTimeoutFactor = 4
	// deadlineMargin is how long before a call's deadline its sends end, so that the response
	// that reports the timeout is not late.
	deadlineMargin = 40 * time.Millisecond
	// noCatalogRetryAfter is the Retry-After of a daemon that has no catalog yet.
	noCatalogRetryAfter = 500 * time.Millisecond
	// shortRetryAfter is the Retry-After of refusals whose cause may be brief.
	shortRetryAfter = 300 * time.Millisecond
)

// call is the state of one client attempt from its arrival to its end.
type call struct {
	vrevent.Call
	route   *vrcatalog.Route
	service vrid.ServiceID
	// tenant is the tenant of the call by the newest catalog that judged it, nil if the route is public or the
	// catalog lists no tenants.
	tenant *vrcatalog.Tenant
	// unverified is set while the call waits for a proof of its API key, since unverifiedSince.
	unverified      bool
	unverifiedSince time.Time
	// resendsFree is set if the last send ended as AttemptUnauthorized, so that the next one takes its place.
	resendsFree bool
	// demandCounted is set once the call counts in the demand for its target.
	demandCounted bool
	admitted
	arrivedAt time.Time
	// deadline is when the response has to be complete.
	deadline time.Time
	// sends counts the sends of the call, notRunSends the ended sends that provably did not run
	// it, and possibleRuns the ended sends that may have.
	sends, notRunSends, possibleRuns int
	// attempt is the present send. hedge is a second one beside it, or nil.
	attempt
	hedge *attempt
	// tried lists the servers that are not tried again, superseded those of superseded sends, which are
	// tried again if no other server is left.
	tried, superseded []vrid.ServerID
	// responseStarted is set once part of a response was passed to the client.
	responseStarted bool
	eventsDelivered int
	// waiting is set while the call is in a wait list, since waitingSince.
	waiting      bool
	waitingSince time.Time
	// promisedReadyAt is the first time that the placement owner announced for the call's
	// model to be loaded. Later announcements don't change it.
	promisedReadyAt time.Time
	// waitedForServer is set if the call was sent from a wait list.
	waitedForServer bool
	// errorHeld is set while a server's error response is held back because the call may be
	// retried.
	errorHeld bool
	// place is the place that was asked for to hedge the present send, or nil if none is or it was
	// answered.
	place *placeRequest
	// placeAsked is set once a place was asked for. refusedPlaces lists the servers that have refused one
	// since all others had.
	placeAsked    bool
	refusedPlaces []vrid.ServerID
	// held is set while the call waits until a suspected part of its prompt is cleared. heldSince
	// is when it first had to wait for that.
	held      bool
	heldSince time.Time
	quota     callQuota
	// timeToFirstByte is the time from the arrival to the first byte of the response. It is
	// set once the response is complete.
	timeToFirstByte time.Duration
}

// attempt is one send of a call to a server.
type attempt struct {
	// number is the number of the send among those of the call, beginning with 1.
	number int
	// server is nil if no send is in progress.
	server *vrfleet.Server
	sentAt time.Time
	// promptPending is set until the first byte of the response or the end of the send, while the
	// server processes the prompt.
	promptPending bool
	// silentSince is the start of the silence for which the send was hedged, zero otherwise.
	silentSince time.Time
	// probe is set while the send is the probe of a suspected part. answerBegan is set once the send has
	// brought an event or a whole response.
	probe       vrquarantine.Probe
	answerBegan bool
	placement   vrfleet.Placement
}

// attemptOf returns the send in progress with the number, or nil.
func (c *call) attemptOf(number int) *attempt {
	switch {
	case c.server != nil && c.number == number:
		return &c.attempt
	case c.hedge != nil && c.hedge.number == number:
		return c.hedge
	default:
		return nil
	}
}

func (c *call) target() target {
	return target{service: c.service, model: c.Model, adapter: c.Adapter}
}

// handleArrival selects the route and service of a new call and dispatches it.
func (s *State) handleArrival(now time.Time, arrived vrevent.Call, out *vrevent.Effects) {
	s.counts.Arrived++
	c := &call{Call: arrived, arrivedAt: now, deadline: now.Add(arrived.Timeout)}
	c.PromptParts = vrquarantine.NormalizeParts(arrived.PromptParts)
	if s.catalog == nil {
		s.refuse(now, c, vrwire.ReasonNoConfiguration, noCatalogRetryAfter, out)
		return
	}
	c.route = s.catalog.Match(arrived.Host, arrived.Path)
	if c.route == nil {
		s.refuse(now, c, vrwire.ReasonUnknownService, 0, out)
		return
	}
	if timeout := c.route.Timeout; timeout > 0 && (arrived.Timeout <= 0 || timeout < arrived.Timeout) {
		c.deadline = now.Add(timeout)
	}
	c.tenant = s.findTenant(c)
	c.service = c.route.Pick(s.random.Float64())
	s.calls[c.ID] = c
	if s.judgeKey(now, c) == keyAccepted {
		if s.refuseOverQuota(now, c, out) {
			return
		}
		s.countDemandArrival(c)
	}
	s.recordAdmissionArrival(c)
	s.dispatch(now, c, out)
}

// requirements returns what the call requires of a server. The model and adapter only matter
// for language services.
func (s *State) requirements(c *call) vrchoice.Requirements {
	need := vrchoice.Requirements{Service: c.service, Exclude: c.tried, ByCompletion: s.ordersAdmission(c.service), PromptTokens: c.PromptTokens}
	if service := s.catalog.Service(c.service); service != nil && service.Engine != nil {
		need.Model, need.Adapter = c.Model, c.Adapter
	}
	if s.ordersAdmission(c.service) {
		need.Room = s.roomNeed(c)
	}
	return need
}

// chooseServer returns the best server for a call apart from those that were tried and the excluded ones, or
// nil and what is missing. A server whose send was superseded is chosen only if there is no other. A stream
// that has begun waits while the retry budget is spent, as for a healthy server, because its client can't be
// refused any more.
func (s *State) chooseServer(now time.Time, c *call, exclude ...vrid.ServerID) (*vrfleet.Server, vrchoice.Missing) {
	need := s.requirements(c)
	need.Exclude = slices.Concat(need.Exclude, exclude, c.superseded)
	server, missing := s.chooser.Best(now, need)
	if server == nil && len(c.superseded) > 0 {
		need.Exclude = slices.Concat(c.tried, exclude)
		server, missing = s.chooser.Best(now, need)
	}
	if server != nil && c.responseStarted && !c.resendsFree && !s.retryBudget.HasRetry(now, c.service) && !vrfault.On(vrfault.IgnoreBudget) {
		return nil, vrchoice.MissingHealthyServer
	}
	return server, missing
}

// dispatch sends a call to a server, puts it in a wait list or ends it.
func (s *State) dispatch(now time.Time, c *call, out *vrevent.Effects) {
	if s.shutdown.graceExpired {
		s.endCall(now, c, vrwire.ReasonShuttingDown, shortRetryAfter, out)
		return
	}
	if s.outlastsGrace(now, c) {
		s.refuseForShutdown(now, c, out)
		return
	}
	if s.isPastDeadline(now, c) {
		s.endPastDeadline(now, c, out)
		return
	}
	if !s.authorize(now, c, out) || s.refuseBlocked(now, c, out) {
		return
	}
	if s.ordersAdmission(c.service) {
		s.dispatchOrdered(now, c, out)
		return
	}
	server, missing := s.chooseServer(now, c)
	switch {
	case server == nil:
		s.enqueue(now, c, missing, out)
	case s.mustHold(now, c):
		s.hold(now, c, out)
	default:
		s.send(now, c, server, out)
	}
}

// isPastDeadline reports whether too little time is left to send a call.
func (s *State) isPastDeadline(now time.Time, c *call) bool {
	return !now.Before(c.deadline.Add(-deadlineMargin))
}

// endPastDeadline ends a call for which too little time is left to send it.
func (s *State) endPastDeadline(now time.Time, c *call, out *vrevent.Effects) {
	reason := vrwire.ReasonDeadlineUnreachable
	if c.possibleRuns > 0 {
		reason = vrwire.ReasonDeadlineExceeded
	}
	s.endCall(now, c, reason, 0, out)
}

// send sends a call to a server, unless its API key isn't accepted any more or it is a retry beyond the retry
// budget.
func (s *State) send(now time.Time, c *call, server *vrfleet.Server, out *vrevent.Effects) {
	if !s.authorize(now, c, out) || !s.takeQuota(now, c, out) {
		return
	}
	if !s.takeRetryBudget(now, c) {
		s.endCall(now, c, vrwire.ReasonNoReplica, shortRetryAfter, out)
		return
	}
	c.attempt = s.beginAttempt(now, c, server)
	c.place, c.placeAsked, c.refusedPlaces = nil, false, nil
	effect := s.newSend(c, &c.attempt)
	effect.Resume = c.responseStarted && !vrfault.On(vrfault.RestartEvents)
	if c.route.Repeatable() && c.possibleRuns+1 < c.route.MaxAttempts {
		effect.HoldErrors = true
		effect.MaxPause = pauseTimeoutFactor * c.route.PauseTarget
		if !c.responseStarted {
			// A stream that goes on at another server is hedged as any stream that has begun.
			effect.FirstByteDeadline = now.Add(firstByteTimeout(c.route.Target))
		}
	}
	out.Add(effect)
	s.logSend(now, c, &c.attempt, out)
}

// beginAttempt counts a new send of a call to a server.
func (s *State) beginAttempt(now time.Time, c *call, server *vrfleet.Server) attempt {
	c.sends++
	server.RecordSend()
	server.RecordSendTime(now)
	server.PendingPromptTokens += c.PromptTokens
	s.addInFlight(c, server.ID, 1)
	s.counts.Sent++
	return attempt{
		number: c.sends, server: server, sentAt: now, promptPending: true, probe: s.quarantine.parts.TakeProbe(now, c.PromptParts),
		placement: server.Place(now, s.tokens(c)),
	}
}

// newSend returns the effect of a send without what its response may do.
func (s *State) newSend(c *call, a *attempt) vrevent.SendCall {
	effect := vrevent.SendCall{
		Call: c.ID, Send: a.number, Server: a.server.ID, Address: a.server.Address, Born: a.server.Born,
		Deadline: c.deadline.Add(-deadlineMargin), Priority: s.sendPriority(c),
		Stream: c.route.Kind == vrcatalog.RouteStream, AtMostOnce: !c.route.Repeatable(),
	}
	s.setTenant(c, &effect)
	if effect.Stream && !c.responseStarted {
		effect.BeginDeadline = c.abandonedAt().Add(-deadlineMargin)
	}
	return effect
}

func (s *State) logSend(now time.Time, c *call, a *attempt, out *vrevent.Effects) {
	out.Info("call dispatched", text("request", c.Request), number("send", uint64(a.number)), text("server", a.server.ID),
		number("busy", uint64(a.server.EstimatedRequests(now))), number("slots", uint64(a.server.Slots)),
		millis("loadAgeMs", min(now.Sub(a.server.LoadReportedAt), time.Hour)), millis("waitedMs", now.Sub(c.arrivedAt)),
		millis("leftMs", c.deadline.Sub(now)), boolean("hedge", a == c.hedge), number("level", uint64(c.level)), number("ahead", uint64(c.ahead)))
}

// firstByteTimeout returns the wait for the first byte of a response on a route with the given
// latency target.
func firstByteTimeout(latencyTarget time.Duration) time.Duration {
	return min(max(time.Duration(firstByteTimeoutFactor*float64(latencyTarget)), minFirstByteTimeout), maxFirstByteTimeout)
}

// takeRetryBudget counts a send in the retry budget, which all daemons share, and reports
// whether it is allowed. Only retries can be denied.
func (s *State) takeRetryBudget(now time.Time, c *call) bool {
	if c.resendsFree {
		c.resendsFree = false
		return true
	}
	if c.sends == 0 {
		s.retryBudget.CountRequest(now, c.service)
		return true
	}
	s.counts.Resent++
	return s.retryBudget.AllowRetry(now, c.service) || vrfault.On(vrfault.IgnoreBudget)
}

// handleFirstByte handles the first byte of a response, which shows that the server has processed
// the prompt.
func (s *State) handleFirstByte(now time.Time, e vrevent.FirstByteReceived) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	a := c.attemptOf(e.Send)
	if a == nil {
		return
	}
	if e.Answer {
		a.answerBegan, a.probe = true, vrquarantine.Probe{}
		s.quarantine.parts.RecordAnswer(now, c.PromptParts)
	}
	if !a.promptPending {
		return
	}
	a.clearPendingPrompt(c)
	s.fleet.RecordPromptTime(c.PromptTokens, e.TimeToFirstByte)
}

// clearPendingPrompt subtracts the call's prompt from the pending prompt tokens of the server.
func (a *attempt) clearPendingPrompt(c *call) {
	if a.promptPending {
		a.promptPending = false
		a.server.PendingPromptTokens = max(0, a.server.PendingPromptTokens-c.PromptTokens)
	}
}

// releaseServer ends the count of a send at its server and returns the send as it was. ran is false if the
// server has certainly not run the call.
func (s *State) releaseServer(c *call, a *attempt, ran bool) attempt {
	ended := *a
	s.recordRequestEnd(a, ran)
	a.server.EndPlacement(&a.placement)
	s.recordRoom(a.server)
	s.addInFlight(c, a.server.ID, -1)
	a.clearPendingPrompt(c)
	a.server = nil
	if a == c.hedge {
		c.hedge = nil
	}
	return ended
}

// cancelAttempts ends the sends in progress of a call that has ended.
func (s *State) cancelAttempts(c *call) {
	for _, a := range []*attempt{&c.attempt, c.hedge} {
		if a != nil && a.server != nil {
			s.quarantine.parts.RecordProbeEnd(a.probe)
			s.releaseServer(c, a, true)
		}
	}
}

// handleSendResult handles the end of a send: it ends the call, retries it, or leaves it to the send
// beside it.
func (s *State) handleSendResult(now time.Time, e vrevent.SendEnded, out *vrevent.Effects) {
	c := s.calls[e.Call]
	if c == nil {
		return
	}
	a := c.attemptOf(e.Send)
	if a == nil {
		return
	}
	isHedge := a == c.hedge
	ended := s.releaseServer(c, a, !e.Result.ProvesNotRun())
	if c.waitedForServer {
		s.expediteDemand(now)
	}
	c.eventsDelivered = max(c.eventsDelivered, e.Events)
	s.recordPromptOutcome(now, c, &ended, &e, out)
	c.responseStarted = c.responseStarted || e.PartForwarded
	s.recordOutcome(now, c, &ended, isHedge, e, out)
	switch {
	case e.Result == vrevent.AttemptUnauthorized:
	case e.Result.ProvesNotRun():
		c.notRunSends++
	default:
		c.possibleRuns++
	}
	switch {
	case e.Result == vrevent.AttemptAnswered:
		c.timeToFirstByte = ended.sentAt.Add(e.TimeToFirstByte).Sub(c.arrivedAt)
		if e.Status < statusError {
			s.recordDuration(now, c, ended.sentAt)
			s.recordServiceTime(c, now.Sub(ended.sentAt), e.TimeToFirstByte)
		}
		s.removeCall(now, c, "answered", "", out, number("status", uint64(e.Status)), text("server", ended.server.ID),
			millis("toFirstMs", e.TimeToFirstByte), millis("longestPauseMs", e.LongestPause), millis("waitedMs", ended.sentAt.Sub(c.arrivedAt)))
		s.counts.Delivered++
	case e.Result == vrevent.AttemptCallerGone:
		s.counts.CallerGone++
		s.removeCall(now, c, "callerGone", "", out, append(s.cutFields(now, c), text("server", ended.server.ID), text("detail", e.Detail))...)
	case c.server != nil || c.hedge != nil:
		s.logFailedSend(now, c, &ended, &e, out)
		switch e.Result {
		case vrevent.AttemptUnauthorized:
		case vrevent.AttemptSuperseded:
			c.superseded = append(c.superseded, ended.server.ID)
		default:
			c.tried = append(c.tried, ended.server.ID)
		}
		if !isHedge {
			c.attempt, c.hedge = *c.hedge, nil
			c.place, c.placeAsked, c.refusedPlaces = nil, false, nil
		}
	default:
		s.retryOrEnd(now, c, &ended, &e, out)
	}
	if e.ServerDown {
		// A report at once saves the time until the next tick, in which more servers may crash.
		s.reportPrompts(now, out)
	}
}

// recordOutcome updates the known load, health and models of the server from the outcome of a
// send.
func (s *State) recordOutcome(now time.Time, c *call, a *attempt, isHedge bool, e vrevent.SendEnded, out *vrevent.Effects) {
	server := a.server
	if e.Load != nil && !s.ordersAdmission(server.Service) {
		server.SetLoad(now, e.Load.Running, e.Load.Waiting)
		s.fleet.RecordStated(server, e.Load.Slots, e.Load.Pace)
	}
	failed := false
	switch e.Result {
	case vrevent.AttemptAnswered:
		s.recordAnswer(now, c, a, &e)
		server.RecordUnreportedAnswer(a.sentAt)
	case vrevent.AttemptNotLoaded:
		server.MarkMissing(now, c.Model, c.Adapter)
	case vrevent.AttemptBusy:
		if e.Load == nil {
			server.SetLoad(now, server.Slots, 0)
		}
		server.RecordTurnedAway(now)
	case vrevent.AttemptNotSent, vrevent.AttemptBroken, vrevent.AttemptLeaving, vrevent.AttemptServerError:
		failed = true
	case vrevent.AttemptTimedOut:
		// If little time was left when the call was sent, or its stream paused only briefly, a late
		// response says nothing about the server.
		failed = s.silenceFails(now, server, later(a.sentAt, a.silentSince))
	case vrevent.AttemptSuperseded:
		// A hedge that is superseded had less time than the send beside it.
		failed = !isHedge && s.silenceFails(now, server, later(a.sentAt, a.silentSince))
	default:
	}
	if failed && e.Result == vrevent.AttemptServerError && s.isLastSound(now, c, server) {
		// An error answer may follow from the request.
		server.RecordError(now)
		return
	}
	if failed && server.RecordFailure(now, s.fleet.PeerFailureRate(server)) {
		out.Warn("server ejected", text("server", server.ID), text("result", e.Result.String()), text("detail", e.Detail))
	}
}

// retryOrEnd retries or ends a call after a failed send.
func (s *State) retryOrEnd(now time.Time, c *call, a *attempt, e *vrevent.SendEnded, out *vrevent.Effects) {
	s.logFailedSend(now, c, a, e, out)
	if !s.mayRetry(now, c, e.Result) {
		s.endFailedCall(now, c, out)
		return
	}
	c.resendsFree = e.Result == vrevent.AttemptUnauthorized
	switch {
	case c.resendsFree:
	case e.Result == vrevent.AttemptBusy && s.ordersAdmission(c.service):
		// The server may be the only one that can serve the call, and has room again soon.
		c.superseded = append(c.superseded, a.server.ID)
	default:
		c.tried = append(c.tried, a.server.ID)
	}
	if c.responseStarted && !c.resendsFree {
		s.counts.Resumed++
	}
	s.dispatch(now, c, out)
}

// logFailedSend logs a send that brought no answer, and notes a failure that is held back: it remains
// the client's answer if no other send brings a better one.
func (s *State) logFailedSend(now time.Time, c *call, a *attempt, e *vrevent.SendEnded, out *vrevent.Effects) {
	out.Info("send failed", text("request", c.Request), number("send", uint64(a.number)), text("server", a.server.ID),
		text("result", e.Result.String()), number("status", uint64(e.Status)), text("detail", e.Detail),
		number("events", uint64(c.eventsDelivered)), millis("tookMs", now.Sub(a.sentAt)))
	c.errorHeld = c.errorHeld || e.Result == vrevent.AttemptServerError
}

// mayRetry reports whether a call may be sent again after a send with the given result.
func (s *State) mayRetry(now time.Time, c *call, result vrevent.AttemptResult) bool {
	if s.shutdown.graceExpired || !now.Before(c.abandonedAt().Add(-deadlineMargin)) {
		return false
	}
	if c.responseStarted && c.route.Kind != vrcatalog.RouteStream && !vrfault.On(vrfault.JoinBodies) {
		// Only a stream can go on at another server. A second body behind the first part would
		// look like one complete response.
		return false
	}
	if result.ProvesNotRun() {
		return c.notRunSends <= maxNotRunRetries
	}
	if !c.route.Repeatable() {
		return vrfault.On(vrfault.RepeatOnce)
	}
	return c.possibleRuns < c.route.MaxAttempts || vrfault.On(vrfault.IgnoreAttempts)
}
