package vrgateway

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrwire"
)

// endFailedCall ends a call whose last send failed and that may not be retried.
func (s *State) endFailedCall(now time.Time, c *call, out *vrevent.Effects) {
	switch {
	case c.possibleRuns == 0:
		s.endCall(now, c, vrwire.ReasonNoReplica, shortRetryAfter, out)
	case !now.Before(c.abandonedAt().Add(-2 * deadlineMargin)):
		s.endCall(now, c, vrwire.ReasonDeadlineExceeded, 0, out)
	case c.route.Repeatable():
		s.endCall(now, c, vrwire.ReasonBackendFailed, 0, out)
	default:
		s.endCall(now, c, vrwire.ReasonOutcomeUnknown, 0, out)
	}
}

// endCall ends a call that no server completed: by closing the client's connection if part of
// a response was passed on, else with the server's error response if one is held back, else
// by refusing it.
func (s *State) endCall(now time.Time, c *call, reason vrwire.Reason, retryAfter time.Duration, out *vrevent.Effects) {
	switch {
	case c.responseStarted:
		s.counts.Broken++
		out.Add(vrevent.AbortCall{Call: c.ID})
		s.removeCall(now, c, "broken", reason, out, s.cutFields(now, c)...)
	case c.errorHeld:
		s.counts.Delivered++
		out.Add(vrevent.ForwardFailure{Call: c.ID})
		s.removeCall(now, c, "serverError", "", out)
	default:
		s.refuse(now, c, reason, retryAfter, out)
	}
}

// refuse ends a call with an error response of the gateway itself. The response guarantees
// that the call did not run only if every send provably did not run it.
func (s *State) refuse(now time.Time, c *call, reason vrwire.Reason, retryAfter time.Duration, out *vrevent.Effects) {
	s.counts.Refused++
	notRun := c.possibleRuns == 0 || vrfault.On(vrfault.PromiseNotRun)
	if !notRun {
		retryAfter = 0
	}
	out.Add(vrevent.RefuseCall{Call: c.ID, Reason: reason, NotRun: notRun, RetryAfter: retryAfter})
	s.removeCall(now, c, "refused", reason, out, millis("retryAfterMs", retryAfter), boolean("notRun", notRun),
		millis("waitedMs", now.Sub(c.arrivedAt)))
}

func boolean(name string, value bool) vrevent.LogField {
	if value {
		return vrevent.LogField{Name: name, Value: "true"}
	}
	return vrevent.LogField{Name: name, Value: "false"}
}

// cutFields returns the log fields of a call that ends without a complete response: the time that
// it had left, and whether the daemon was shutting down.
func (s *State) cutFields(now time.Time, c *call) []vrevent.LogField {
	return []vrevent.LogField{millis("leftMs", c.deadline.Sub(now)), boolean("stopping", s.shutdown.requested)}
}

// removeCall drops a call that has ended from the state, and emits its metrics and log line.
func (s *State) removeCall(now time.Time, c *call, outcome string, reason vrwire.Reason, out *vrevent.Effects, fields ...vrevent.LogField) {
	s.dequeue(c)
	s.release(c)
	s.stopVerifying(c)
	s.endQuota(now, c)
	s.cancelAttempts(c)
	delete(s.calls, c.ID)
	s.countDemandEnd(c)
	common := []vrevent.LogField{
		text("request", c.Request), text("outcome", outcome), millis("tookMs", now.Sub(c.arrivedAt)),
		number("sends", uint64(c.sends)), number("events", uint64(c.eventsDelivered)),
	}
	ended := vrevent.CallEnded{Rank: -1, Service: c.service, Outcome: outcome, Reason: reason, Took: now.Sub(c.arrivedAt), TimeToFirstByte: c.timeToFirstByte}
	if c.sends > 0 {
		ended.Waited = c.sentAt.Sub(c.arrivedAt)
	}
	if c.route != nil {
		common = append(common, text("route", c.route.ID))
		ended.Rank = c.route.Priority
	}
	if reason != "" {
		common = append(common, text("reason", reason))
		common = append(common, s.quotaFields(c)...)
	}
	if c.tenant != nil {
		common = append(common, text("tenant", c.tenant.ID))
		ended.Tenant = c.tenant.ID
	}
	if c.route != nil && s.ordersAdmission(c.service) {
		common = append(common, number("level", uint64(c.level)), number("ahead", uint64(c.ahead)))
	}
	out.Add(ended)
	if c.Model != "" {
		common = append(common, text("model", c.Model), text("adapter", c.Adapter))
	}
	out.Info("call ended", append(common, fields...)...)
}

// handleClientGone ends a call whose client disconnected.
func (s *State) handleClientGone(now time.Time, e vrevent.ClientGone, out *vrevent.Effects) {
	c := s.calls[e.Call]
	if c == nil || (c.waiting && vrfault.On(vrfault.KeepLeft)) {
		return
	}
	s.counts.CallerGone++
	s.removeCall(now, c, "callerGone", "", out, s.cutFields(now, c)...)
}
