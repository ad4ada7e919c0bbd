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
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// unrunMost bounds the sends of a call that servers refused without running it.
	unrunMost = 3
	// firstLeast and firstMost bound the wait for the first byte of an answer that may be
	// asked for elsewhere; firstTargets is the wait in targets of the route.
	firstLeast   = 300 * time.Millisecond
	firstMost    = 1200 * time.Millisecond
	firstTargets = 2.5
	// pauseTargets is the longest silence in a resumable stream, in pause targets: half of
	// what makes a client give up.
	pauseTargets = 4
	// answerMargin is the time before a timeout at which a send ends, so that the answer
	// that says so is not late.
	answerMargin = 40 * time.Millisecond
	// startRetry is when a client may come back to a daemon without a catalog.
	startRetry = 500 * time.Millisecond
	// shortRetry is when a client may come back after a refusal whose cause may be short.
	shortRetry = 300 * time.Millisecond
)

// call is one client attempt from its arrival to its end.
type call struct {
	vrevent.Call
	route   *vrcatalog.Route
	service vrid.ServiceID
	arrived time.Time
	// until is when the call has to be answered.
	until time.Time
	// sends counts the sends, unrun those that provably did not run, runs the others.
	sends, unrun, runs int
	server             *vrfleet.Server
	sentAt             time.Time
	tried              []vrid.ServerID
	// begun is set once a part of an answer was passed to the client.
	begun  bool
	events int
	// waiting is set while the call is in a wait list, since when.
	waiting   bool
	waitSince time.Time
	// promised is when the placement owner first said that the call's model would be held.
	promised time.Time
	// rare is set when the call had to wait for its model.
	rare bool
	// held is set while a server's failure is kept back.
	held bool
	// reading is set from a send until its first event.
	reading bool
	// toFirst is the time from the arrival to the first byte of the answer, once it ended.
	toFirst time.Duration
}

func (c *call) target() target {
	return target{service: c.service, model: c.Model, adapter: c.Adapter}
}

// arrive takes a client attempt.
func (s *State) arrive(now time.Time, arrived vrevent.Call, out *vrevent.Effects) {
	s.counts.Arrived++
	c := &call{Call: arrived, arrived: now, until: now.Add(arrived.Timeout)}
	if s.catalog == nil {
		s.refuse(now, c, vrwire.ReasonNoConfiguration, startRetry, out)
		return
	}
	c.route = s.catalog.Match(arrived.Host, arrived.Path)
	if c.route == nil {
		s.refuse(now, c, vrwire.ReasonUnknownService, 0, out)
		return
	}
	if timeout := c.route.Timeout; timeout > 0 && (arrived.Timeout <= 0 || timeout < arrived.Timeout) {
		c.until = now.Add(timeout)
	}
	c.service = c.route.Pick(s.random.Float64())
	s.calls[c.ID] = c
	s.noteUse(c)
	s.dispatch(now, c, out)
}

func (s *State) need(c *call) vrchoice.Need {
	need := vrchoice.Need{Service: c.service, Exclude: c.tried}
	if service := s.catalog.Service(c.service); service != nil && service.Engine != nil {
		need.Model, need.Adapter = c.Model, c.Adapter
	}
	return need
}

// dispatch sends a call, lets it wait or refuses it.
func (s *State) dispatch(now time.Time, c *call, out *vrevent.Effects) {
	if s.closing {
		s.end(now, c, vrwire.ReasonShuttingDown, shortRetry, out)
		return
	}
	if !now.Before(c.until.Add(-answerMargin)) {
		s.giveUp(now, c, out)
		return
	}
	server, lack := s.chooser.Best(now, s.need(c))
	if server != nil {
		s.send(now, c, server, out)
		return
	}
	s.wait(now, c, lack, out)
}

// giveUp ends a call that no server can answer in time.
func (s *State) giveUp(now time.Time, c *call, out *vrevent.Effects) {
	reason := vrwire.ReasonDeadlineUnreachable
	if c.runs > 0 {
		reason = vrwire.ReasonDeadlineExceeded
	}
	s.end(now, c, reason, 0, out)
}

func (s *State) send(now time.Time, c *call, server *vrfleet.Server, out *vrevent.Effects) {
	if !s.mayTake(now, c) {
		s.end(now, c, vrwire.ReasonNoReplica, shortRetry, out)
		return
	}
	c.sends++
	c.server, c.sentAt = server, now
	server.Sent()
	server.Unread += c.PromptTokens
	s.noteRun(c, server.ID, 1)
	c.reading = true
	s.counts.Sent++
	effect := vrevent.SendCall{
		Call: c.ID, Send: c.sends, Server: server.ID, Address: server.Address,
		Deadline: c.until.Add(-answerMargin), Priority: c.route.Priority,
		Resume: c.begun && !vrfault.On(vrfault.RestartEvents), Stream: c.route.Kind == vrcatalog.RouteStream, AtMostOnce: !c.route.Repeatable(),
	}
	if c.route.Repeatable() && c.runs+1 < c.route.MaxAttempts {
		effect.HoldErrors = true
		effect.FirstByteDeadline = now.Add(firstWait(c.route.Target))
		effect.MaxPause = pauseTargets * c.route.PauseTarget
	}
	out.Add(effect)
	out.Info("send", text("request", c.Request), number("send", uint64(c.sends)), text("server", server.ID),
		number("busy", uint64(server.Busy(now))), number("slots", uint64(server.Slots)),
		millis("loadAgeMs", min(now.Sub(server.LoadAt), time.Hour)), millis("waitedMs", now.Sub(c.arrived)),
		millis("leftMs", c.until.Sub(now)))
}

func firstWait(goal time.Duration) time.Duration {
	return min(max(time.Duration(firstTargets*float64(goal)), firstLeast), firstMost)
}

// mayTake counts a send against the budget that all daemons share.
func (s *State) mayTake(now time.Time, c *call) bool {
	if c.sends == 0 {
		s.budget.First(now, c.service)
		return true
	}
	s.counts.Resent++
	return s.budget.Take(now, c.service) || vrfault.On(vrfault.IgnoreBudget)
}

// sendBegan takes the first event of a stream: its prompt has been read.
func (s *State) sendBegan(e vrevent.FirstByteReceived) {
	c := s.calls[e.Call]
	if c == nil || c.server == nil || e.Send != c.sends || !c.reading {
		return
	}
	s.read(c, c.server)
	s.fleet.Read(c.PromptTokens, e.TimeToFirstByte)
}

// read takes a call's prompt off what its server has to read.
func (s *State) read(c *call, server *vrfleet.Server) {
	if c.reading {
		c.reading = false
		server.Unread = max(0, server.Unread-c.PromptTokens)
	}
}

// sendEnded ends a call or sends it elsewhere.
func (s *State) sendEnded(now time.Time, e vrevent.SendEnded, out *vrevent.Effects) {
	c := s.calls[e.Call]
	if c == nil || e.Send != c.sends || c.server == nil {
		return
	}
	server := c.server
	c.server = nil
	s.fleet.Ended(server)
	s.noteRun(c, server.ID, -1)
	if c.rare {
		s.tellSoon(now)
	}
	s.read(c, server)
	c.begun = c.begun || e.PartForwarded
	c.events = max(c.events, e.Events)
	s.learn(now, c, server, e, out)
	if e.Result.ProvesNotRun() {
		c.unrun++
	} else {
		c.runs++
	}
	switch e.Result {
	case vrevent.AttemptAnswered:
		c.toFirst = c.sentAt.Add(e.TimeToFirstByte).Sub(c.arrived)
		s.finish(now, c, "answered", "", out, number("status", uint64(e.Status)), text("server", server.ID),
			millis("toFirstMs", e.TimeToFirstByte), millis("longestPauseMs", e.LongestPause), millis("waitedMs", c.sentAt.Sub(c.arrived)))
		s.counts.Delivered++
	case vrevent.AttemptCallerGone:
		s.counts.Left++
		s.finish(now, c, "callerGone", "", out)
	default:
		s.again(now, c, server, e, out)
	}
}

// learn takes what the end of a send says of its server.
func (s *State) learn(now time.Time, c *call, server *vrfleet.Server, e vrevent.SendEnded, out *vrevent.Effects) {
	if e.Load != nil {
		server.Load(now, e.Load.Running, e.Load.Waiting)
	}
	failed := false
	switch e.Result {
	case vrevent.AttemptAnswered:
		server.Succeeded(now, e.TimeToFirstByte)
	case vrevent.AttemptNotLoaded:
		server.Missing(now, c.Model, c.Adapter)
	case vrevent.AttemptBusy:
		if e.Load == nil {
			server.Load(now, server.Slots, 0)
		}
	case vrevent.AttemptNotSent, vrevent.AttemptBroken, vrevent.AttemptLeaving, vrevent.AttemptServerError:
		failed = true
	case vrevent.AttemptTimedOut:
		// An answer that is late because little time was left says nothing of the server.
		failed = now.Sub(c.sentAt) >= firstLeast
	default:
	}
	if failed && server.Failed(now, s.fleet.UsualRate(server)) {
		out.Warn("server set aside", text("server", server.ID), text("result", e.Result.String()), text("detail", e.Detail))
	}
}

// again decides after a send without an answer for the client.
func (s *State) again(now time.Time, c *call, server *vrfleet.Server, e vrevent.SendEnded, out *vrevent.Effects) {
	out.Info("send failed", text("request", c.Request), number("send", uint64(c.sends)), text("server", server.ID),
		text("result", e.Result.String()), number("status", uint64(e.Status)), text("detail", e.Detail),
		number("events", uint64(c.events)), millis("tookMs", now.Sub(c.sentAt)))
	c.held = e.Result == vrevent.AttemptServerError
	if !s.goesOn(now, c, e.Result) {
		s.endFailed(now, c, out)
		return
	}
	c.tried = append(c.tried, server.ID)
	if c.begun {
		s.counts.Resumed++
	}
	s.dispatch(now, c, out)
}

func (s *State) goesOn(now time.Time, c *call, result vrevent.AttemptResult) bool {
	if s.closing || !now.Before(c.until.Add(-answerMargin)) {
		return false
	}
	if result.ProvesNotRun() {
		return c.unrun <= unrunMost
	}
	if !c.route.Repeatable() {
		return vrfault.On(vrfault.RepeatOnce)
	}
	return c.runs < c.route.MaxAttempts || vrfault.On(vrfault.IgnoreAttempts)
}

// endFailed ends a call that will not be sent again.
func (s *State) endFailed(now time.Time, c *call, out *vrevent.Effects) {
	switch {
	case c.runs == 0:
		s.end(now, c, vrwire.ReasonNoReplica, shortRetry, out)
	case !now.Before(c.until.Add(-2 * answerMargin)):
		s.end(now, c, vrwire.ReasonDeadlineExceeded, 0, out)
	case c.route.Repeatable():
		s.end(now, c, vrwire.ReasonBackendFailed, 0, out)
	default:
		s.end(now, c, vrwire.ReasonOutcomeUnknown, 0, out)
	}
}

// end ends a call without a server's success: with the failure that is held back, by a
// broken connection where part of an answer has been passed on, or by a refusal.
func (s *State) end(now time.Time, c *call, reason vrwire.Reason, retry time.Duration, out *vrevent.Effects) {
	switch {
	case c.begun:
		s.counts.Broken++
		out.Add(vrevent.AbortCall{Call: c.ID})
		s.finish(now, c, "broken", reason, out)
	case c.held:
		s.counts.Delivered++
		out.Add(vrevent.ForwardFailure{Call: c.ID})
		s.finish(now, c, "serverError", "", out)
	default:
		s.refuse(now, c, reason, retry, out)
	}
}

// refuse answers in the system's own name. It promises that nothing ran only when every
// send proved it.
func (s *State) refuse(now time.Time, c *call, reason vrwire.Reason, retry time.Duration, out *vrevent.Effects) {
	s.counts.Refused++
	notRun := c.runs == 0 || vrfault.On(vrfault.PromiseNotRun)
	if !notRun {
		retry = 0
	}
	out.Add(vrevent.RefuseCall{Call: c.ID, Reason: reason, NotRun: notRun, RetryAfter: retry})
	s.finish(now, c, "refused", reason, out, millis("retryAfterMs", retry), boolean("notRun", notRun))
}

func boolean(name string, value bool) vrevent.LogField {
	if value {
		return vrevent.LogField{Name: name, Value: "true"}
	}
	return vrevent.LogField{Name: name, Value: "false"}
}

func (s *State) finish(now time.Time, c *call, outcome string, reason vrwire.Reason, out *vrevent.Effects, fields ...vrevent.LogField) {
	s.unwait(c)
	delete(s.calls, c.ID)
	s.noteEnd(c)
	base := []vrevent.LogField{
		text("request", c.Request), text("outcome", outcome), millis("tookMs", now.Sub(c.arrived)),
		number("sends", uint64(c.sends)), number("events", uint64(c.events)),
	}
	ended := vrevent.CallEnded{Rank: -1, Service: c.service, Outcome: outcome, Reason: reason, Took: now.Sub(c.arrived), TimeToFirstByte: c.toFirst}
	if c.sends > 0 {
		ended.Waited = c.sentAt.Sub(c.arrived)
	}
	if c.route != nil {
		base = append(base, text("route", c.route.ID))
		ended.Rank = c.route.Priority
	}
	if reason != "" {
		base = append(base, text("reason", reason))
	}
	out.Add(ended)
	if c.Model != "" {
		base = append(base, text("model", c.Model), text("adapter", c.Adapter))
	}
	out.Info("call ended", append(base, fields...)...)
}

// callLeft ends a call whose client went away while it waited.
func (s *State) callLeft(now time.Time, e vrevent.ClientGone, out *vrevent.Effects) {
	c := s.calls[e.Call]
	if c == nil || (c.waiting && vrfault.On(vrfault.KeepLeft)) {
		return
	}
	s.counts.Left++
	if c.server != nil {
		s.fleet.Ended(c.server)
		s.noteRun(c, c.server.ID, -1)
		s.read(c, c.server)
		c.server = nil
	}
	s.finish(now, c, "callerGone", "", out)
}

// graceEnds refuses what waits, so that its clients go to another daemon, and sends
// nothing more. The sends that are open are ended by the runtime.
func (s *State) graceEnds(now time.Time, out *vrevent.Effects) {
	s.closing = true
	for _, key := range s.waitKeys() {
		for _, c := range slices.Clone(s.waits[key].calls) {
			s.end(now, c, vrwire.ReasonShuttingDown, shortRetry, out)
		}
	}
}
