package vrgateway

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// A stream that has begun and then stalls may come from a server that hangs, or from a sound one that
// reads the prompts of other requests. Its answer is the only one that the client can get until
// another server has a place for the request. So the retry budget and the place are secured first,
// and only then is the stalled send given up.

// reservationTime is how long a reserved place is kept: a round trip between regions for the answer,
// the end of the stalled send, and the next send.
const reservationTime = time.Second

// reservationMargin is how long before its end a reservation counts as lapsed: the end of the stalled
// send and the way of the next one, a round trip between regions, must fit in.
const reservationMargin = 200 * time.Millisecond

// move is the place at another server to which a call goes on after a stall.
type move struct {
	server vrid.ServerID
	// reservation is empty until the server has reserved the place.
	reservation vrid.ReservationID
	// expiresAt is when the reservation lapses. It is used for a new send until usableUntil.
	expiresAt, usableUntil time.Time
}

// handleSendStalled reserves a place for a call whose stream has stalled, or gives the send up if
// one is reserved.
func (s *State) handleSendStalled(now time.Time, e vrevent.SendStalled, out *vrevent.Effects) {
	c := s.calls[e.Call]
	if c == nil || c.server == nil || e.Send != c.sends || !s.mayMove(now, c) {
		return
	}
	if c.move != nil && c.move.reservation == "" && now.Before(c.move.expiresAt) {
		return
	}
	if s.usablePlace(now, c) != nil {
		out.Add(vrevent.AbandonSend{Call: c.ID, Send: c.sends})
		return
	}
	c.move = nil
	service := s.catalog.Service(c.service)
	if service == nil || service.Engine == nil || service.Engine.MaxReservation <= 0 {
		return
	}
	need := s.requirements(c)
	need.Exclude = append([]vrid.ServerID{c.server.ID}, need.Exclude...)
	server, _ := s.chooser.Best(now, need)
	if server == nil {
		return
	}
	if !c.retryReserved {
		if !s.retryBudget.AllowRetry(now, c.service) {
			return
		}
		c.retryReserved = true
	}
	duration := min(reservationTime, service.Engine.MaxReservation)
	expiresAt := now.Add(duration)
	c.move = &move{server: server.ID, expiresAt: expiresAt, usableUntil: expiresAt.Add(-min(reservationMargin, duration/4))}
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
		if server := s.fleet.Server(e.Server); server != nil {
			server.SetLoad(now, server.Slots, 0)
		}
		out.Info("no place reserved, the stalled stream goes on", text("request", c.Request), text("server", e.Server), text("detail", e.Detail))
		return
	}
	c.move.reservation = e.Reservation
	if !s.mayMove(now, c) || s.usablePlace(now, c) == nil {
		c.move = nil
		out.Info("reserved place is unusable, the stalled stream goes on", text("request", c.Request), text("server", e.Server))
		return
	}
	out.Add(vrevent.AbandonSend{Call: c.ID, Send: c.sends})
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
