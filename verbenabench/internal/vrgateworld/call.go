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
	refusedAfter = 2 * time.Millisecond
	// cancelTime is how long a server works on after its connection was closed.
	cancelTime = 200 * time.Millisecond
	workLeast  = 20 * time.Millisecond
	workMost   = 300 * time.Millisecond
	eventPause = 30 * time.Millisecond
	eventsMost = 30
	// lateRun is the longest time after which a request whose connection broke may begin.
	lateRun = 3 * time.Second
	// midway is how much less often a connection breaks at an event than at the start.
	midway = 0.1
)

// End is how a call ended for its client.
type End uint8

// Ends of a call.
const (
	EndOpen End = iota
	// EndAnswered: a server's whole answer.
	EndAnswered
	// EndFailed: a server's failure.
	EndFailed
	// EndRefused: the gateway's own answer.
	EndRefused
	// EndBroken: the connection was closed in the middle of an answer.
	EndBroken
	// EndLeft: the client went away.
	EndLeft
	// EndLost: the daemon died.
	EndLost
)

// Call is one client attempt.
type Call struct {
	vrevent.Call
	Route   string
	Process *Process
	Sent    time.Time
	Limit   time.Time
	End     End
	EndedAt time.Time
	Refusal *vrevent.RefuseCall
	// Runs lists the servers that began the call.
	Runs []*Server
	// Sends counts the sends, Events the events that the client has.
	Sends  int
	Events int
	// Left is when the daemon could first see that the client went away.
	Left time.Time

	size    int
	attempt *Attempt
	stopped bool
	world   *World
}

// Attempt is one send of a call.
type Attempt struct {
	Call   *Call
	Send   *vrevent.SendCall
	SentAt time.Time

	server *Server
	events int
	first  time.Time
	ended  bool
}

// Request sends a call to a daemon.
func (w *World) Request(d *Daemon, route string, model vrid.ModelID, adapter vrid.AdapterID) *Call {
	p := d.Process
	if p == nil {
		return nil
	}
	p.next++
	call := &Call{
		Call: vrevent.Call{
			ID: p.next, Request: vrid.RequestID(fmt.Sprintf("r%05d", len(w.Calls))), Host: "h", Path: "/" + route + "/x",
			Timeout: routeTimeout, Model: model, Adapter: adapter, PromptTokens: 200, OutputTokens: eventsMost,
		},
		Route: route, Process: p, Sent: w.Now(), Limit: w.Now().Add(routeTimeout), world: w,
		size: 1 + w.random.IntN(eventsMost),
	}
	w.Calls = append(w.Calls, call)
	p.calls[call.ID] = call
	p.deliver(vrevent.CallArrived{Call: call.Call})
	return call
}

func (p *Process) openCalls() []*Call {
	var open []*Call
	for id := vrevent.CallID(1); id <= p.next; id++ {
		if call := p.calls[id]; call != nil && call.End == EndOpen {
			open = append(open, call)
		}
	}
	return open
}

// Open is the number of calls that have not ended.
func (p *Process) Open() int { return len(p.openCalls()) }

// Paused reports whether the process is suspended.
func (p *Process) Paused() bool { return p.paused }

// Streaming reports whether the call is a stream.
func (c *Call) Streaming() bool { return c.Route == RouteStream || c.Route == RouteSingle }

// Repeatable reports whether the call may run again.
func (c *Call) Repeatable() bool { return c.Route != RouteOnce && c.Route != RouteSingle }

func (c *Call) end(how End) {
	if c.End != EndOpen {
		return
	}
	c.End, c.EndedAt = how, c.world.Now()
	c.world.Options.Watch.Ended(c)
}

// Leave closes the client's connection.
func (c *Call) Leave() {
	c.Process.run(func() {
		if c.End != EndOpen {
			return
		}
		c.Left = c.world.Now()
		if c.attempt != nil && !c.attempt.ended {
			c.attempt.finish(vrevent.AttemptCallerGone)
		} else {
			c.Process.reduce(vrevent.ClientGone{Call: c.ID})
		}
		c.end(EndLeft)
	})
}

// expire ends the open send of a call at the end of a shutdown.
func (c *Call) expire() {
	c.stopped = true
	if c.attempt != nil && !c.attempt.ended {
		c.attempt.finish(vrevent.AttemptTimedOut)
	}
}

func (c *Call) refuse(e *vrevent.RefuseCall) {
	c.Refusal = e
	c.end(EndRefused)
}

// send carries out one send of a call.
func (c *Call) send(e *vrevent.SendCall) {
	w := c.world
	c.Sends++
	a := &Attempt{Call: c, Send: e, SentAt: w.Now(), events: c.Events}
	c.attempt = a
	if c.stopped {
		a.later(refusedAfter, vrevent.AttemptTimedOut)
		return
	}
	a.later(e.Deadline.Sub(w.Now()), vrevent.AttemptTimedOut)
	if !e.FirstByteDeadline.IsZero() {
		c.Process.after(e.FirstByteDeadline.Sub(w.Now()), func() {
			if a.first.IsZero() {
				a.finish(vrevent.AttemptTimedOut)
			}
		})
	}
	server := w.byAddress[e.Address]
	if server == nil {
		a.later(refusedAfter, vrevent.AttemptNotSent)
		return
	}
	if server.CutFrom[c.Process.Daemon.ID] {
		a.later(unreachableAfter, vrevent.AttemptNotSent)
		return
	}
	w.After(netDelay, func() { server.take(a) })
}

func (a *Attempt) later(delay time.Duration, result vrevent.AttemptResult) {
	a.Call.Process.after(delay, func() { a.finish(result) })
}

// finish ends a send at its daemon. The server stops a little later.
func (a *Attempt) finish(result vrevent.AttemptResult) {
	if a.ended {
		return
	}
	a.ended = true
	c, w := a.Call, a.Call.world
	c.Events = max(c.Events, a.events)
	if a.server != nil && result != vrevent.AttemptAnswered {
		w.After(cancelTime, func() { a.server.drop(a) })
	}
	if c.End != EndOpen {
		return
	}
	ended := vrevent.SendEnded{Call: c.ID, Send: a.Send.Send, Result: result, PartForwarded: c.Events > 0, Events: c.Events}
	if !a.first.IsZero() {
		ended.TimeToFirstByte = a.first.Sub(a.SentAt)
	}
	if result == vrevent.AttemptAnswered {
		ended.Status = 200
		c.end(EndAnswered)
	}
	c.Process.reduce(ended)
}

// broken ends a send whose server died.
func (a *Attempt) broken() {
	a.server.drop(a)
	a.later(netDelay, vrevent.AttemptBroken)
}

func (s *Server) drop(a *Attempt) {
	s.running = slices.DeleteFunc(s.running, func(b *Attempt) bool { return a == b })
}

// take handles a request that arrived.
func (s *Server) take(a *Attempt) {
	w := s.world
	if !s.Alive {
		a.later(refusedAfter, vrevent.AttemptBroken)
		return
	}
	w.Options.Watch.Arrived(s, a)
	result := vrevent.AttemptResult(0)
	switch {
	case s.ID != a.Send.Server:
		result = vrevent.AttemptLeaving
	case s.Draining, len(s.running) >= runningMost*slots:
		result = vrevent.AttemptBusy
	case s.Service == ServiceEngine && !s.serves(a.Call):
		result = vrevent.AttemptNotLoaded
	}
	if result != 0 {
		a.later(netDelay, result)
		return
	}
	if w.chance(s.Breaks) {
		switch w.random.IntN(3) {
		case 0:
			w.After(w.spread(0, lateRun), func() { s.run(a) })
		case 1:
			s.run(a)
		}
		a.later(netDelay, vrevent.AttemptBroken)
		return
	}
	s.run(a)
}

func (s *Server) serves(c *Call) bool {
	held := s.find(c.Model)
	return held != nil && (c.Adapter == "" || slices.Contains(held.Adapters, c.Adapter))
}

func (s *Server) run(a *Attempt) {
	w := s.world
	if !s.Alive {
		return
	}
	a.Call.Runs = append(a.Call.Runs, s)
	w.Options.Watch.Ran(s, a)
	if a.ended || a.Call.Process.dead {
		// The connection is closed already: the server ends its work at once.
		return
	}
	a.server = s
	s.running = append(s.running, a)
	work := time.Duration(float64(w.spread(workLeast, workMost)) * (1 + s.Slow))
	if w.chance(s.Errors) {
		s.after(a, work, func() {
			s.drop(a)
			if a.Send.HoldErrors {
				a.later(netDelay, vrevent.AttemptServerError)
				return
			}
			a.later(netDelay, vrevent.AttemptAnswered)
		})
		return
	}
	if a.Call.Streaming() {
		s.after(a, work, func() { s.event(a) })
		return
	}
	s.after(a, work, func() {
		s.drop(a)
		a.first = w.Now()
		a.later(netDelay, vrevent.AttemptAnswered)
	})
}

// after goes on with a request unless it was broken off.
func (s *Server) after(a *Attempt, delay time.Duration, what func()) {
	born := s.Born
	s.world.After(delay, func() {
		if s.Alive && s.Born == born && slices.Contains(s.running, a) {
			what()
		}
	})
}

// event sends the next event of a stream.
func (s *Server) event(a *Attempt) {
	c := a.Call
	c.Process.run(func() {
		if a.ended || c.End != EndOpen {
			return
		}
		if a.first.IsZero() {
			a.first = s.world.Now()
			c.Process.reduce(vrevent.FirstByteReceived{Call: c.ID, Send: a.Send.Send, TimeToFirstByte: a.first.Sub(a.SentAt)})
		}
		a.events++
		c.Events = max(c.Events, a.events)
	})
	if s.world.chance(s.Breaks * midway) {
		a.broken()
		return
	}
	if a.events >= c.size {
		s.drop(a)
		a.later(netDelay, vrevent.AttemptAnswered)
		return
	}
	s.after(a, eventPause, func() { s.event(a) })
}
