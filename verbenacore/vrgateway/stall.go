package vrgateway

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// A send that stalls may be at a server that hangs, or at a sound one that reads the prompts of other
// requests. Its answer is the only one that the client can get unless another server takes the request.
// So a call without a first byte is given up only if another server can be chosen and the retry budget
// allows the retry at that moment. For a stream that has begun, of which the client would notice the
// loss, the place at another server is reserved first. Where no place can be had, the stream moves without
// one shortly before its client would leave.

// reservationTime is how long a reserved place is kept: a round trip between regions for the answer,
// the end of the stalled send, and the next send.
const reservationTime = time.Second

// reservationMargin is how long before its end a reservation counts as lapsed: the end of the stalled
// send and the way of the next one, a round trip between regions, must fit in.
const reservationMargin = 200 * time.Millisecond

// unreservedMoveLead is how long before its client gives up a stream moves without a reserved place: the
// time until the next report, and for the first event of another server.
const unreservedMoveLead = 500 * time.Millisecond

// move is the place at another server to which a call goes on after a stall.
type move struct {
	server vrid.ServerID
	// reservation is empty until the server has reserved the place.
	reservation vrid.ReservationID
	// expiresAt is when the reservation lapses. It is used for a new send until usableUntil.
	expiresAt, usableUntil time.Time
	// silentSince is the start of the silence for which the place was asked.
	silentSince time.Time
}

// handleSendStalled gives a send without a first byte up if another server can take the call. For a
// stream that has begun it reserves a place first. Otherwise the send goes on until the next report.
func (s *State) handleSendStalled(now time.Time, e vrevent.SendStalled, out *vrevent.Effects) {
	c := s.calls[e.Call]
	if c == nil || c.server == nil || e.Send != c.sends || !s.mayMove(now, c) {
		return
	}
	if c.promptPending && !c.responseStarted {
		s.moveWithoutPlace(now, c, e.Silence, out)
		return
	}
	if s.usablePlace(now, c) != nil {
		if s.countRetry(now, c) {
			s.abandonSend(c, c.move.silentSince, out)
		}
		return
	}
	service := s.catalog.Service(c.service)
	canReserve := service != nil && service.Engine != nil && service.Engine.MaxReservation > 0
	if e.Silence >= c.patience()-unreservedMoveLead && (!canReserve || c.placeAsked) {
		c.move = nil
		s.moveWithoutPlace(now, c, e.Silence, out)
		return
	}
	if !canReserve || (c.move != nil && c.move.reservation == "" && now.Before(c.move.expiresAt)) {
		return
	}
	c.move = nil
	server := s.otherServer(now, c, c.refusedPlaces...)
	if server == nil && len(c.refusedPlaces) > 0 {
		c.refusedPlaces = nil
		server = s.otherServer(now, c)
	}
	if server == nil || !s.retryBudget.HasRetry(now, c.service) {
		return
	}
	c.placeAsked = true
	duration := min(reservationTime, service.Engine.MaxReservation)
	expiresAt := now.Add(duration)
	c.move = &move{server: server.ID, expiresAt: expiresAt, usableUntil: expiresAt.Add(-min(reservationMargin, duration/4)), silentSince: now.Add(-e.Silence)}
	out.Add(vrevent.ReservePlace{
		Call: c.ID, Send: c.sends, Server: server.ID, Address: server.Address, Tokens: c.PromptTokens + c.OutputTokens, Duration: duration,
	})
	out.Info("stream stalled, reserving a place", text("request", c.Request), number("send", uint64(c.sends)),
		text("server", c.server.ID), text("next", server.ID), millis("leftMs", c.deadline.Sub(now)))
}

// handlePlaceReserved gives a stalled send up if its call has a place at another server.
func (s *State) handlePlaceReserved(now time.Time, e vrevent.PlaceReserved, out *vrevent.Effects) {
	c := s.calls[e.Call]
	if c == nil || c.move == nil || c.server == nil || e.Send != c.sends || e.Server != c.move.server {
		return
	}
	if e.Reservation == "" {
		c.move = nil
		c.refusedPlaces = append(c.refusedPlaces, e.Server)
		out.Info("no place reserved, the stalled stream goes on", text("request", c.Request), text("server", e.Server), text("detail", e.Detail))
		return
	}
	c.move.reservation = e.Reservation
	if !s.mayMove(now, c) || s.usablePlace(now, c) == nil || !s.countRetry(now, c) {
		c.move = nil
		out.Info("reserved place is not used, the stalled stream goes on", text("request", c.Request), text("server", e.Server))
		return
	}
	s.abandonSend(c, c.move.silentSince, out)
}

// moveWithoutPlace gives a send up if another server can be chosen and the retry budget allows the retry.
func (s *State) moveWithoutPlace(now time.Time, c *call, silence time.Duration, out *vrevent.Effects) {
	server := s.otherServer(now, c)
	if server == nil || !s.countRetry(now, c) {
		return
	}
	if c.silentSince.IsZero() {
		out.Info("send stalled, giving it up", text("request", c.Request), number("send", uint64(c.sends)),
			text("server", c.server.ID), text("next", server.ID), millis("silentMs", silence), millis("leftMs", c.deadline.Sub(now)))
	}
	s.abandonSend(c, now.Add(-silence), out)
}

// abandonSend gives the send of a call up that has been silent since the given time.
func (s *State) abandonSend(c *call, silentSince time.Time, out *vrevent.Effects) {
	c.silentSince = silentSince
	out.Add(vrevent.AbandonSend{Call: c.ID, Send: c.sends})
}

// otherServer returns the best server for a call apart from its present one, those that were tried and
// the excluded ones, or nil.
func (s *State) otherServer(now time.Time, c *call, exclude ...vrid.ServerID) *vrfleet.Server {
	need := s.requirements(c)
	need.Exclude = slices.Concat([]vrid.ServerID{c.server.ID}, need.Exclude, exclude)
	server, _ := s.chooser.Best(now, need)
	return server
}

// countRetry counts the next retry of a call in the retry budget unless it was counted a moment ago, and
// reports whether it is allowed. Half of the time for which it counts is left for the end of the send.
func (s *State) countRetry(now time.Time, c *call) bool {
	if !c.retryCountedAt.IsZero() && now.Sub(c.retryCountedAt) <= s.retryBudget.CountedAge()/2 {
		return true
	}
	if !s.retryBudget.AllowRetry(now, c.service) {
		return false
	}
	c.retryCountedAt = now
	return true
}

// mayMove reports whether a call whose send is given up now may be sent again.
func (s *State) mayMove(now time.Time, c *call) bool {
	return !s.graceExpired && now.Before(c.deadline.Add(-minServeTime)) &&
		c.route.Repeatable() && c.possibleRuns+1 < c.route.MaxAttempts
}

// usablePlace returns the server that has reserved a place for a call, or nil if there is none, the
// reservation is about to lapse or the server can no longer serve the call.
func (s *State) usablePlace(now time.Time, c *call) *vrfleet.Server {
	if c.move == nil || c.move.reservation == "" || !now.Before(c.move.usableUntil) {
		return nil
	}
	server := s.fleet.Server(c.move.server)
	if server == nil || !s.chooser.CanServe(now, server, s.requirements(c)) {
		return nil
	}
	return server
}

// takePlace returns the server that has reserved a place for a call, and the reservation.
func (s *State) takePlace(now time.Time, c *call) (*vrfleet.Server, vrid.ReservationID) {
	server, m := s.usablePlace(now, c), c.move
	c.move = nil
	if server == nil {
		return nil, ""
	}
	return server, m.reservation
}
