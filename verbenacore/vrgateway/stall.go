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

// move is the place at another server to which a call goes on after a stall.
type move struct {
	server vrid.ServerID
	// reservation is empty until the server has reserved the place.
	reservation vrid.ReservationID
	expiresAt   time.Time
}

// handleSendStalled reserves a place for a call whose stream has stalled, or gives the send up if
// one is reserved.
func (s *State) handleSendStalled(now time.Time, e vrevent.SendStalled, out *vrevent.Effects) {
	c := s.calls[e.Call]
	if c == nil || c.server == nil || e.Send != c.sends || s.graceExpired {
		return
	}
	if c.move != nil && now.Before(c.move.expiresAt) {
		if c.move.reservation != "" {
			out.Add(vrevent.AbandonSend{Call: c.ID, Send: c.sends})
		}
		return
	}
	c.move = nil
	service := s.catalog.Service(c.service)
	if service == nil || service.Engine == nil || service.Engine.MaxReservation <= 0 || !now.Before(c.deadline.Add(-minServeTime)) {
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
	c.move = &move{server: server.ID, expiresAt: now.Add(duration)}
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
	out.Add(vrevent.AbandonSend{Call: c.ID, Send: c.sends})
}

// reservedServer returns the server that has reserved a place for a call, and the reservation.
func (s *State) reservedServer(now time.Time, c *call) (*vrfleet.Server, vrid.ReservationID) {
	m := c.move
	c.move = nil
	if m == nil || m.reservation == "" || !now.Before(m.expiresAt) {
		return nil, ""
	}
	server := s.fleet.Server(m.server)
	if server == nil || !server.AcceptsWork() {
		return nil, ""
	}
	return server, m.reservation
}
