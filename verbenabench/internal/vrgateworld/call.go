package vrgateworld

import (
	"fmt"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	netDelay     = 2 * time.Millisecond
	refusalDelay = 2 * time.Millisecond
	// cancelDelay is how long a server continues a request after its connection was closed.
	cancelDelay    = 200 * time.Millisecond
	minServiceTime = 20 * time.Millisecond
	maxServiceTime = 300 * time.Millisecond
	eventInterval  = 30 * time.Millisecond
	maxEvents      = 30
	// maxLateStart is the maximum time from the break of a request's connection until the
	// server starts the request nevertheless.
	maxLateStart = 3 * time.Second
	// midStreamBreakRatio is the probability that a connection breaks at an event, relative to
	// that at the start of the request.
	midStreamBreakRatio = 0.1
	// midBodyBreakRatio is the probability that a connection breaks after part of a large body was
	// forwarded, relative to that at the start of the request.
	midBodyBreakRatio = 0.3
	// minStallRepeat is the shortest time between two reports of the same stall.
	minStallRepeat = 50 * time.Millisecond
	// reservedRatio is the probability that a server that takes requests reserves a place.
	reservedRatio = 0.5
	// pauseRatio is the probability that a server pauses before the first byte or an event, for up
	// to maxPause.
	pauseRatio = 0.02
	maxPause   = 2 * time.Second
)

// End is the outcome of a call as its client sees it.
type End uint8

// Outcomes of a call.
const (
	EndOpen End = iota
	// EndAnswered means that the client received a server's complete answer.
	EndAnswered
	// EndFailed means that the gateway forwarded a server's error.
	EndFailed
	// EndRefused means that the gateway refused the call with an answer of its own.
	EndRefused
	// EndBroken means that the gateway closed the connection in the middle of an answer.
	EndBroken
	// EndLeft means that the client closed the connection.
	EndLeft
	// EndLost means that the daemon's process died.
	EndLost
)

// Call is one call of a client to a daemon. The gateway may send it to servers several times.
type Call struct {
	vrevent.Call
	Route    string
	Process  *Process
	Sent     time.Time
	Deadline time.Time
	End      End
	EndedAt  time.Time
	Refusal  *vrevent.RefuseCall
	// Runs lists the server of each time that the call was started.
	Runs []*Server
	// Sends counts the sends, Events the stream events that reached the client.
	Sends  int
	Events int
	// PartForwarded is set once part of a body that is no stream reached the client.
	PartForwarded bool
	// Truncated is set if the client got an answer as complete whose connection was reset on the way.
	Truncated bool
	// DisconnectedAt is when the daemon could first notice that the client closed the connection.
	DisconnectedAt time.Time

	eventCount int
	// attempts are the sends in progress: one, or two while one is hedged.
	attempts []*Attempt
	expired  bool
	world    *World
}

// Attempt is one send of a call.
type Attempt struct {
	Call   *Call
	Send   *vrevent.SendCall
	SentAt time.Time

	// EventsBefore is the number of events that had reached the client before the send.
	EventsBefore int

	server      *Server
	socket      socket
	events      int
	firstByteAt time.Time
	ended       bool
	// serverDown is set if the connection broke because the server crashed.
	serverDown bool
	// silentSince is the time of the last event or of the send, and limit the silence that counts as a
	// stall, or zero.
	silentSince time.Time
	limit       time.Duration
	// watch counts the changes of the limit, so that a timer of an earlier one has no effect.
	watch int
}

// Request sends a call to a daemon. It returns nil if the daemon does not run.
func (w *World) Request(d *Daemon, route string, model vrid.ModelID, adapter vrid.AdapterID) *Call {
	p := d.Process
	if p == nil {
		return nil
	}
	p.lastCall++
	call := &Call{
		Call: vrevent.Call{
			ID: p.lastCall, Request: vrid.RequestID(fmt.Sprintf("r%05d", len(w.Calls))), Host: "h", Path: "/" + route + "/x",
			Timeout: routeTimeout, Model: model, Adapter: adapter, PromptTokens: 200, OutputTokens: maxEvents,
		},
		Route: route, Process: p, Sent: w.Now(), Deadline: w.Now().Add(routeTimeout), world: w,
		eventCount: 1 + w.rng.IntN(maxEvents),
	}
	if call.Streaming() {
		call.PromptParts = w.promptParts()
	}
	w.Calls = append(w.Calls, call)
	p.calls[call.ID] = call
	p.deliver(vrevent.CallArrived{Call: call.Call})
	return call
}

func (p *Process) openCalls() []*Call {
	var open []*Call
	for id := vrevent.CallID(1); id <= p.lastCall; id++ {
		if call := p.calls[id]; call != nil && call.End == EndOpen {
			open = append(open, call)
		}
	}
	return open
}

// Open returns the number of calls that have not ended.
func (p *Process) Open() int { return len(p.openCalls()) }

// Paused reports whether the process is suspended.
func (p *Process) Paused() bool { return p.paused }

// Streaming reports whether the call is a stream.
func (c *Call) Streaming() bool { return c.Route == RouteStream || c.Route == RouteSingle }

// Repeatable reports whether the call may run more than once.
func (c *Call) Repeatable() bool { return c.Route != RouteOnce && c.Route != RouteSingle }

func (c *Call) end(result End) {
	if c.End != EndOpen {
		return
	}
	c.End, c.EndedAt = result, c.world.Now()
	for _, a := range slices.Clone(c.attempts) {
		a.finish(vrevent.AttemptSuperseded)
	}
	c.world.Options.Observer.Ended(c)
}

// Disconnect closes the client's connection.
func (c *Call) Disconnect() {
	c.Process.run(func() {
		if c.End != EndOpen {
			return
		}
		c.DisconnectedAt = c.world.Now()
		if len(c.attempts) > 0 {
			c.attempts[0].finish(vrevent.AttemptCallerGone)
		} else {
			c.Process.reduce(vrevent.ClientGone{Call: c.ID})
		}
		c.end(EndLeft)
	})
}

// expire makes the current send and all later ones time out, because the shutdown's grace
// period is about to end.
func (c *Call) expire() {
	c.expired = true
	for _, a := range slices.Clone(c.attempts) {
		a.finish(vrevent.AttemptTimedOut)
	}
}

func (c *Call) refuse(e *vrevent.RefuseCall) {
	c.Refusal = e
	c.end(EndRefused)
}

// send executes one send of a call.
func (c *Call) send(e *vrevent.SendCall) {
	w := c.world
	c.Sends++
	a := &Attempt{Call: c, Send: e, SentAt: w.Now(), events: c.Events, EventsBefore: c.Events}
	c.attempts = append(c.attempts, a)
	if e.Hedge && e.Resume != (c.Events > 0) {
		// The stream has begun since the hedge was decided.
		a.finishAfter(0, vrevent.AttemptSuperseded)
		return
	}
	if c.expired {
		a.finishAfter(refusalDelay, vrevent.AttemptTimedOut)
		return
	}
	a.finishAfter(e.Deadline.Sub(w.Now()), vrevent.AttemptTimedOut)
	if !e.BeginDeadline.IsZero() {
		c.Process.after(e.BeginDeadline.Sub(w.Now()), func() {
			if a.firstByteAt.IsZero() {
				a.finish(vrevent.AttemptTimedOut)
			}
		})
	}
	a.silentSince = w.Now()
	switch {
	case e.Resume:
		a.expectWithin(e.MaxPause)
	case !e.FirstByteDeadline.IsZero():
		a.expectWithin(e.FirstByteDeadline.Sub(w.Now()))
	}
	server := w.byAddress[e.Address]
	if server == nil {
		a.finishAfter(refusalDelay, vrevent.AttemptNotSent)
		return
	}
	if server.CutFrom[c.Process.Daemon.ID] {
		a.finishAfter(unreachableAfter, vrevent.AttemptNotSent)
		return
	}
	w.After(netDelay, func() { server.receive(a) })
}

// expectWithin sets the silence from now on that counts as a stall, zero for none.
func (a *Attempt) expectWithin(limit time.Duration) {
	a.watch++
	a.limit = limit
	if limit > 0 {
		a.checkAfter(limit)
	}
}

// checkAfter reports the send as stalled after a delay unless its limit changes before, and repeats the
// report while the silence lasts. A process that was suspended meanwhile reads what has arrived first.
func (a *Attempt) checkAfter(delay time.Duration) {
	w, watch := a.Call.world, a.watch
	due := w.Now().Add(delay)
	a.Call.Process.after(delay, func() {
		if a.ended || a.watch != watch || a.Call.End != EndOpen {
			return
		}
		a.checkAfter(max(a.limit/4, minStallRepeat))
		// The check peeks at the connection.
		a.socket.call()
		if w.Now().Equal(due) {
			a.Call.Process.reduce(vrevent.SendStalled{Call: a.Call.ID, Send: a.Send.Send, Silence: w.Now().Sub(a.silentSince)})
		}
	})
}

// reservePlace asks a server for a place. A server that takes no requests refuses, any other one at random.
func (p *Process) reservePlace(e vrevent.ReservePlace) {
	w := p.world
	answer := vrevent.PlaceReserved{Call: e.Call, Send: e.Send, Server: e.Server}
	server := w.byAddress[e.Address]
	if server == nil || !server.Alive || server.CutFrom[p.Daemon.ID] {
		answer.Detail = "unreachable"
		p.after(unreachableAfter, func() { p.reduce(answer) })
		return
	}
	w.After(netDelay, func() {
		answer.Detail = "refused"
		if server.Alive && !server.Draining && w.chance(reservedRatio) {
			answer.Detail, answer.Reservation = "", vrid.ReservationID(fmt.Sprint("h", w.Steps))
		}
		p.after(netDelay, func() { p.reduce(answer) })
	})
}

func (a *Attempt) finishAfter(delay time.Duration, result vrevent.AttemptResult) {
	a.Call.Process.after(delay, func() { a.finish(result) })
}

// finish ends a send at its daemon. Unless the server has answered, the server stops the
// request cancelDelay later.
func (a *Attempt) finish(result vrevent.AttemptResult) {
	if a.ended {
		return
	}
	c, w := a.Call, a.Call.world
	if result == vrevent.AttemptAnswered {
		a.supersedeOther()
	}
	a.ended = true
	c.attempts = slices.DeleteFunc(c.attempts, func(other *Attempt) bool { return other == a })
	c.Events = max(c.Events, a.events)
	if a.server != nil && result != vrevent.AttemptAnswered {
		w.After(cancelDelay, func() { a.server.drop(a) })
	}
	if c.End != EndOpen {
		return
	}
	event := vrevent.SendEnded{Call: c.ID, Send: a.Send.Send, Result: result, PartForwarded: c.Events > 0 || c.PartForwarded, Events: c.Events, ServerDown: a.serverDown}
	if !a.firstByteAt.IsZero() {
		event.TimeToFirstByte = a.firstByteAt.Sub(a.SentAt)
	}
	if a.server != nil {
		event.Load = a.server.load(c.Process)
	}
	if result == vrevent.AttemptAnswered {
		event.Status = 200
		c.Truncated = a.socket.wasReset
		c.end(EndAnswered)
	}
	c.Process.reduce(event)
}

// supersedeOther ends the other send of the call, because this one brings an answer or the next event.
func (a *Attempt) supersedeOther() {
	for _, other := range slices.Clone(a.Call.attempts) {
		if other != a {
			other.finish(vrevent.AttemptSuperseded)
		}
	}
}

// breakConnection stops a request at its server and resets its connection.
func (a *Attempt) breakConnection() {
	a.serverDown = !a.server.Alive && a.firstByteAt.IsZero()
	a.server.drop(a)
	if a.firstByteAt.IsZero() {
		a.finishAfter(netDelay, vrevent.AttemptBroken)
		return
	}
	a.resetConnection()
}

func (s *Server) drop(a *Attempt) {
	s.running = slices.DeleteFunc(s.running, func(other *Attempt) bool { return a == other })
	if s.Alive {
		s.finishUnloads()
	}
}

// receive handles a request that arrived at the server: it refuses it, breaks its connection
// or starts it.
func (s *Server) receive(a *Attempt) {
	w := s.world
	if !s.Alive {
		a.serverDown = true
		a.finishAfter(refusalDelay, vrevent.AttemptBroken)
		return
	}
	w.Options.Observer.Arrived(s, a)
	result := vrevent.AttemptResult(0)
	switch {
	case s.ID != a.Send.Server:
		result = vrevent.AttemptLeaving
	case s.Draining, len(s.running) >= maxRunningPerSlot*slotsPerServer, s.isUnloading(a.Call):
		result = vrevent.AttemptBusy
	case s.Service == ServiceEngine && !s.serves(a.Call):
		result = vrevent.AttemptNotLoaded
	}
	if result != 0 {
		s.answer(a, result)
		return
	}
	if w.chance(s.BreakRate) {
		switch w.rng.IntN(3) {
		case 0:
			w.After(w.randomDuration(0, maxLateStart), func() { s.begin(a) })
		case 1:
			s.begin(a)
		}
		a.finishAfter(netDelay, vrevent.AttemptBroken)
		return
	}
	s.begin(a)
}

func (s *Server) serves(c *Call) bool {
	loaded := s.findModel(c.Model)
	return loaded != nil && (c.Adapter == "" || slices.Contains(loaded.Adapters, c.Adapter))
}

func (s *Server) begin(a *Attempt) {
	w := s.world
	if !s.Alive {
		return
	}
	a.Call.Runs = append(a.Call.Runs, s)
	w.Options.Observer.Ran(s, a)
	if a.ended || a.Call.Process.dead {
		// The connection is already closed, so the server stops at once.
		return
	}
	a.server = s
	s.running = append(s.running, a)
	serviceTime := time.Duration(float64(w.randomDuration(minServiceTime, maxServiceTime)) * (1 + s.Slowdown))
	if w.chance(pauseRatio) {
		serviceTime += w.randomDuration(0, maxPause)
	}
	if w.chance(s.ErrorRate) {
		s.afterIfRunning(a, serviceTime, func() {
			s.drop(a)
			if a.Send.HoldErrors {
				s.answer(a, vrevent.AttemptServerError)
				return
			}
			s.answer(a, vrevent.AttemptAnswered)
		})
		return
	}
	if a.Call.Streaming() {
		s.afterIfRunning(a, serviceTime, func() { s.sendEvent(a) })
		return
	}
	breaksInBody := s.BreakRate > 0 && w.chance(midBodyBreakRatio*s.BreakRate)
	s.afterIfRunning(a, serviceTime, func() {
		s.drop(a)
		a.firstByteAt = w.Now()
		if breaksInBody {
			a.supersedeOther()
			a.Call.PartForwarded = true
			a.resetConnection()
			return
		}
		s.answer(a, vrevent.AttemptAnswered)
	})
}

// answer sends the daemon the whole answer to a request.
func (s *Server) answer(a *Attempt, result vrevent.AttemptResult) {
	incarnation := s.Born
	a.Call.Process.after(netDelay, func() {
		if s.Born == incarnation {
			s.tellLeaving(a)
			s.reportLoad(a)
		}
		a.finish(result)
	})
}

// afterIfRunning calls fn after a delay if the request is still running on the same
// incarnation of the server.
func (s *Server) afterIfRunning(a *Attempt, delay time.Duration, fn func()) {
	incarnation := s.Born
	s.world.After(delay, func() {
		if s.Alive && s.Born == incarnation && slices.Contains(s.running, a) {
			fn()
		}
	})
}

// sendEvent sends the next event of a stream.
func (s *Server) sendEvent(a *Attempt) {
	c := a.Call
	if a.firstByteAt.IsZero() && c.Deadly() {
		s.crashByPrompt()
		return
	}
	c.Process.run(func() {
		if a.ended || c.End != EndOpen {
			return
		}
		a.supersedeOther()
		if a.firstByteAt.IsZero() {
			a.firstByteAt = s.world.Now()
			s.tellLeaving(a)
			s.reportLoad(a)
			c.Process.reduce(vrevent.FirstByteReceived{Call: c.ID, Send: a.Send.Send, TimeToFirstByte: a.firstByteAt.Sub(a.SentAt), Answer: true})
		}
		a.events++
		c.Events = max(c.Events, a.events)
		a.silentSince = s.world.Now()
		a.expectWithin(a.Send.MaxPause)
	})
	if s.world.chance(s.BreakRate * midStreamBreakRatio) {
		a.breakConnection()
		return
	}
	if a.events >= c.eventCount {
		s.drop(a)
		a.finishAfter(netDelay, vrevent.AttemptAnswered)
		return
	}
	interval := eventInterval
	if s.world.chance(pauseRatio) {
		interval = s.world.randomDuration(0, maxPause)
	}
	s.afterIfRunning(a, interval, func() { s.sendEvent(a) })
}
