package vrgateway

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquarantine"
)

// A send that stalls may be at a server that hangs, or at a sound one that reads the prompts of other
// requests. Its answer is the only one that the client can get unless another server brings one first: that
// one may be full, fail, or begin too late, even if it has reserved a place. So a stalled send goes on while a
// hedge, a second send, is tried at another server, and the first of the two that brings an answer, or the
// next event of a stream, ends the other one. For a stream that has begun, a place at the other server is
// reserved first where servers reserve places.

// reservationTime is how long a reserved place is kept: a round trip between regions for the answer, and
// the way of the hedge.
const reservationTime = time.Second

// reservationMargin is how long before its end a reservation counts as lapsed: the way of the hedge, a round
// trip between regions, must fit in.
const reservationMargin = 200 * time.Millisecond

// unreservedHedgeLead is how long before its client gives up a stream is hedged without a reserved place,
// where servers reserve places but none was had: the time until the next report, and for the first event of
// another server.
const unreservedHedgeLead = 500 * time.Millisecond

// placeRequest is a place that was asked for at another server, to hedge a stalled stream there.
type placeRequest struct {
	server vrid.ServerID
	// expiresAt is when the reservation lapses. It is used until usableUntil.
	expiresAt, usableUntil time.Time
	// silentSince is the start of the silence for which the place was asked.
	silentSince time.Time
}

// handleSendStalled hedges a stalled send if another server can take the call. For a stream that has
// begun it reserves a place first where servers reserve places. Otherwise the send goes on until the next
// report.
func (s *State) handleSendStalled(now time.Time, e vrevent.SendStalled, out *vrevent.Effects) {
	c := s.calls[e.Call]
	if c == nil || c.server == nil || e.Send != c.number || !s.mayHedge(now, c) {
		return
	}
	silentSince := now.Add(-e.Silence)
	if c.promptPending && !c.responseStarted {
		s.hedgeSend(now, c, s.soonerServer(now, c, e.Silence), "", silentSince, out)
		return
	}
	service := s.catalog.Service(c.service)
	canReserve := service != nil && service.Engine != nil && service.Engine.MaxReservation > 0
	if !canReserve || (c.placeAsked && e.Silence >= c.patience()-unreservedHedgeLead) {
		c.place = nil
		s.hedgeSend(now, c, s.soonerServer(now, c, e.Silence), "", silentSince, out)
		return
	}
	if c.place != nil && now.Before(c.place.expiresAt) {
		return
	}
	c.place = nil
	server := s.soonerServer(now, c, e.Silence, c.refusedPlaces...)
	if server == nil && len(c.refusedPlaces) > 0 {
		c.refusedPlaces = nil
		server = s.soonerServer(now, c, e.Silence)
	}
	if server == nil || !s.retryBudget.HasRetry(now, c.service) {
		return
	}
	c.placeAsked = true
	duration := min(reservationTime, service.Engine.MaxReservation)
	expiresAt := now.Add(duration)
	c.place = &placeRequest{server: server.ID, expiresAt: expiresAt, usableUntil: expiresAt.Add(-min(reservationMargin, duration/4)), silentSince: silentSince}
	out.Add(vrevent.ReservePlace{
		Call: c.ID, Send: c.number, Server: server.ID, Address: server.Address, Born: server.Born, Tokens: c.PromptTokens + c.OutputTokens,
		Duration: duration,
	})
	out.Info("stream stalled, reserving a place", text("request", c.Request), number("send", uint64(c.number)),
		text("server", c.server.ID), text("next", server.ID), millis("leftMs", c.deadline.Sub(now)))
}

// handlePlaceReserved hedges a stalled send at the server that has reserved a place for its call.
func (s *State) handlePlaceReserved(now time.Time, e vrevent.PlaceReserved, out *vrevent.Effects) {
	c := s.calls[e.Call]
	if c == nil || c.place == nil || c.server == nil || e.Send != c.number || e.Server != c.place.server {
		return
	}
	place := c.place
	c.place = nil
	if e.Reservation == "" {
		c.refusedPlaces = append(c.refusedPlaces, e.Server)
		out.Info("no place reserved, the stalled stream goes on", text("request", c.Request), text("server", e.Server), text("detail", e.Detail))
		return
	}
	server := s.fleet.Server(e.Server)
	if !s.mayHedge(now, c) || !now.Before(place.usableUntil) || server == nil || !s.chooser.CanServe(now, server, s.requirements(c)) {
		server = nil
	}
	if !s.hedgeSend(now, c, server, e.Reservation, place.silentSince, out) {
		out.Info("reserved place is not used, the stalled stream goes on", text("request", c.Request), text("server", e.Server))
	}
}

// hedgeSend sends a call to a second server while its stalled send goes on, unless server is nil, a part of
// the prompt is suspected of crashing servers, or the retry budget is spent. reservation is the place that
// the server reserved for the call, or empty. It reports whether the call was sent.
func (s *State) hedgeSend(now time.Time, c *call, server *vrfleet.Server, reservation vrid.ReservationID, silentSince time.Time, out *vrevent.Effects) bool {
	if server == nil || s.mustHold(now, c) || s.checkPrompt(now, c).State != vrquarantine.Clear || !s.retryBudget.AllowRetry(now, c.service) {
		return false
	}
	s.counts.Resent++
	c.silentSince = silentSince
	hedge := s.beginAttempt(now, c, server)
	c.hedge = &hedge
	effect := s.newSend(c, c.hedge)
	effect.Hedge, effect.Reservation = true, reservation
	effect.Resume = c.responseStarted || !c.promptPending
	if effect.Resume {
		effect.BeginDeadline = time.Time{}
	}
	// The stalled send may still bring an answer when the hedge brings a failure.
	effect.HoldErrors = true
	if c.possibleRuns+2 < c.route.MaxAttempts {
		effect.MaxPause = pauseTimeoutFactor * c.route.PauseTarget
		if !effect.Resume {
			effect.FirstByteDeadline = now.Add(firstByteTimeout(c.route.Target))
		}
	}
	out.Add(effect)
	out.Info("send stalled, hedging it", text("request", c.Request), number("send", uint64(c.number)),
		text("server", c.server.ID), text("next", server.ID), millis("silentMs", now.Sub(silentSince)), millis("leftMs", c.deadline.Sub(now)))
	s.logSend(now, c, c.hedge, out)
	return true
}

// otherServer returns the best server for a call apart from its present one, those that were tried and
// the excluded ones, or nil.
func (s *State) otherServer(now time.Time, c *call, exclude ...vrid.ServerID) *vrfleet.Server {
	server, _ := s.chooseServer(now, c, append(slices.Clone(exclude), c.server.ID)...)
	return server
}

// mayHedge reports whether the send of a call may be hedged.
func (s *State) mayHedge(now time.Time, c *call) bool {
	return c.hedge == nil && c.notRunSends < maxNotRunRetries && !s.shutdown.graceExpired && now.Before(c.deadline.Add(-minServeTime)) &&
		c.route.Repeatable() && (c.possibleRuns+1 < c.route.MaxAttempts || vrfault.On(vrfault.IgnoreAttempts)) &&
		s.judgeKey(now, c) == keyAccepted
}
