package vrworld

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// End is how a call ended for its caller.
type End uint8

// Ends of a call. EndBroken means that the connection to the daemon broke.
const (
	EndOpen End = iota
	EndAnswered
	EndReplayed
	EndRefused
	EndBroken
)

// Call is one request as its caller sees it.
type Call struct {
	Request vrevent.Request
	Process *Process
	Sent    time.Time
	// Limit is the deadline of the declared kind.
	Limit time.Duration
	End   End
	Ended time.Time
	// Ends counts the answers and refusals; more than one is a fault.
	Ends       int
	Reason     vrwire.Reason
	Ran        vrrecord.Ran
	RetryAfter time.Duration
	// FirstToken is when the first token reached the caller.
	FirstToken time.Time
	// Tokens that the caller has, in order.
	Tokens int
	// Mixed is set when tokens came that were not the next ones of this call.
	Mixed bool
	Body  []byte
	// Runs counts the runs at application servers, Starts those at engines.
	Runs   int
	Starts int
	// Then is called when the call ended.
	Then    func(*Call)
	world   *World
	current *attempt
}

// attempt is one dispatch of a call.
type attempt struct {
	call    *Call
	process *Process
	effect  vrevent.Dispatch
	number  uint64
	engine  *Engine
	offset  int
	first   time.Time
	ended   bool
	// active is set while the attempt holds a slot, with a Pace.
	active bool
}

// Send makes a caller's request to a daemon. It returns nil when the daemon is down.
func (w *World) Send(d *Daemon, request vrevent.Request) *Call {
	p := d.Process
	if p == nil {
		return nil
	}
	w.calls++
	request.ID = vrid.RequestID(fmt.Sprintf("r%07d", w.calls))
	call := &Call{Request: request, Process: p, Sent: w.Now(), world: w}
	call.Limit = w.Options.Fleet.RankPolicyOf(request.Rank).Deadline.Std()
	for _, kind := range w.Options.Fleet.Kinds {
		// A daemon that has no configuration yet may take the request up once it has one.
		if kind.ID == request.Kind {
			call.Limit = max(call.Limit, w.Options.Fleet.DeadlineOf(kind))
		}
	}
	if index := p.State.Configuration(); index != nil {
		if kind := index.Kind(request.Kind); kind != nil {
			call.Request.Rank = max(request.Rank, kind.Rank)
			call.Limit = index.Fleet.DeadlineOf(*kind)
		}
	}
	w.Calls[request.ID] = call
	p.open[request.ID] = call
	p.deliver(vrevent.RequestArrived{Request: request})
	return call
}

// HangUp closes the caller's connection.
func (c *Call) HangUp() {
	if c.End != EndOpen || c.Process.dead {
		return
	}
	if c.current != nil && !c.current.ended {
		c.current.finish(vrevent.AttemptCallerGone, nil)
		c.close(EndBroken)
		return
	}
	c.close(EndBroken)
	c.Process.deliver(vrevent.CallerGone{Request: c.Request.ID})
}

// broken ends a call whose daemon died.
func (c *Call) broken() {
	if c.current != nil {
		c.current.stop()
	}
	c.close(EndBroken)
}

// Whole reports whether the caller of an answered or replayed call has the whole answer
// to its own request.
func (c *Call) Whole() bool {
	switch {
	case c.Mixed:
		return false
	case c.Request.Model != "":
		return c.Tokens == c.Request.MaxTokens
	default:
		return bytes.Equal(c.Body, answerOf(c))
	}
}

func (c *Call) close(end End) {
	if c.End == EndOpen {
		c.End = end
		c.Ended = c.world.Now()
	}
	delete(c.Process.open, c.Request.ID)
	if c.Then != nil {
		then := c.Then
		c.Then = nil
		then(c)
	}
}

// end carries out the terminal effect of a request.
func (w *World) end(effect vrevent.Effect) {
	switch e := effect.(type) {
	case vrevent.Refuse:
		call := w.Calls[e.Request]
		call.Ends++
		if call.End == EndOpen {
			call.Reason, call.Ran, call.RetryAfter = e.Reason, e.Ran, e.RetryAfter
			if call.current != nil {
				call.current.stop()
			}
			call.close(EndRefused)
		}
	case vrevent.Replay:
		call := w.Calls[e.Request]
		call.Ends++
		call.Body = e.Body
		call.close(EndReplayed)
	case vrevent.Complete:
		call := w.Calls[e.Request]
		call.Ends++
		call.close(EndAnswered)
	}
}

// dispatch sends a request to a back end.
func (w *World) dispatch(p *Process, effect vrevent.Dispatch, decided time.Time) {
	call := w.Calls[effect.Request]
	if call == nil || call.End != EndOpen {
		return
	}
	if w.Options.Observer != nil {
		w.Options.Observer.Dispatched(p, call, effect.Server, decided)
	}
	w.calls++
	a := &attempt{call: call, process: p, effect: effect, number: w.calls}
	if call.current != nil && !call.current.ended {
		call.current.stop()
	}
	call.current = a
	w.After(effect.Deadline.Sub(w.Now()), a.timeOut)
	zone, ok := w.serverZone(effect.Server)
	if !ok || w.Net.IsCut(p.Daemon.Zone, zone) {
		w.After(refusedAfter, func() { a.finish(vrevent.AttemptNotSent, nil) })
		return
	}
	w.After(w.Net.delay(p.Daemon.Zone, zone), func() {
		if a.ended {
			return
		}
		if app := w.byApp[effect.Server]; app != nil {
			app.take(a)
			return
		}
		w.byEngine[effect.Server].take(a)
	})
}

// timeOut ends an attempt without a first token at its deadline.
func (a *attempt) timeOut() {
	if a.first.IsZero() {
		a.finish(vrevent.AttemptTimedOut, nil)
	}
}

// take starts a generation.
func (e *Engine) take(a *attempt) {
	w, model := e.world, a.effect.Model
	held := e.Models[model]
	switch {
	case !e.Alive:
		a.finish(vrevent.AttemptNotSent, nil)
		return
	case e.Leaving:
		a.finish(vrevent.AttemptLeaving, nil)
		return
	case held == nil || !held.Loaded || (a.effect.Adapter != "" && (held.Adapters[a.effect.Adapter] == nil || !held.Adapters[a.effect.Adapter].Loaded)):
		a.finish(vrevent.AttemptNotLoaded, nil)
		return
	case len(e.running) >= engineQueue*e.slots:
		a.finish(vrevent.AttemptBusy, nil)
		return
	}
	a.engine = e
	e.running[a] = true
	a.call.Starts++
	if w.Options.Observer != nil {
		w.Options.Observer.Ran(a.call, e.ID)
	}
	if a.effect.Resume {
		a.offset = a.call.Tokens
	} else if a.call.Tokens > 0 {
		a.call.Mixed = true
	}
	if w.Options.Pace != nil {
		e.takePaced(a)
		return
	}
	w.After(w.spread(firstTokenLow, firstTokenTop), a.start)
}

func (a *attempt) start() {
	if a.ended {
		return
	}
	w := a.call.world
	a.first = w.Now()
	a.credit()
	if a.call.FirstToken.IsZero() {
		a.call.FirstToken = w.Now()
	}
	a.process.deliver(vrevent.FirstToken{Request: a.call.Request.ID, Attempt: a.effect.Attempt})
	rest := max(0, a.call.Request.MaxTokens-a.offset-1)
	w.After(time.Duration(rest)*w.tokenTime(), func() { a.finish(vrevent.AttemptAnswered, nil) })
}

// credit passes on the tokens of the attempt so far.
func (a *attempt) credit() {
	if a.first.IsZero() || a.call.End != EndOpen {
		return
	}
	if a.offset > a.call.Tokens || a.call.current != a {
		a.call.Mixed = true
		return
	}
	passed := 1 + int(a.call.world.Now().Sub(a.first)/a.call.world.tokenTime())
	a.call.Tokens = max(a.call.Tokens, min(a.call.Request.MaxTokens, a.offset+passed))
}

// breakOff ends an attempt whose connection broke.
func (a *attempt) breakOff() { a.finish(vrevent.AttemptBroken, nil) }

// stop ends an attempt that nobody waits for.
func (a *attempt) stop() {
	if a.ended {
		return
	}
	a.ended = true
	if a.engine == nil {
		return
	}
	delete(a.engine.running, a)
	if a.call.world.Options.Pace != nil {
		a.engine.release(a)
	}
}

func (a *attempt) finish(result vrevent.AttemptResult, body []byte) {
	if a.ended {
		return
	}
	a.credit()
	a.stop()
	if result == vrevent.AttemptAnswered {
		a.call.Body = body
	}
	a.process.deliver(vrevent.AttemptEnded{
		Request: a.call.Request.ID, Attempt: a.effect.Attempt, Server: a.effect.Server, Result: result,
		Tokens: a.call.Tokens, Status: 200, Body: body,
	})
}

func (w *World) cancel(effect vrevent.CancelAttempt) {
	call := w.Calls[effect.Request]
	if call != nil && call.current != nil && call.current.effect.Attempt == effect.Attempt {
		call.current.stop()
	}
}

// breakAcross ends the attempts whose connection crosses a cut.
func (w *World) breakAcross() {
	for _, d := range w.Daemons {
		p := d.Process
		if p == nil {
			continue
		}
		for _, call := range p.Calls() {
			a := call.current
			if a == nil || a.ended || p.dead {
				continue
			}
			if zone, _ := w.serverZone(a.effect.Server); w.Net.IsCut(d.Zone, zone) {
				a.breakOff()
			}
		}
	}
}

func sortedCalls(calls map[vrid.RequestID]*Call) []vrid.RequestID {
	ids := make([]vrid.RequestID, 0, len(calls))
	for id := range calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func sortedAttempts(attempts map[*attempt]bool) []*attempt {
	sorted := make([]*attempt, 0, len(attempts))
	for a := range attempts {
		sorted = append(sorted, a)
	}
	slices.SortFunc(sorted, func(a, b *attempt) int { return int(a.number) - int(b.number) })
	return sorted
}
