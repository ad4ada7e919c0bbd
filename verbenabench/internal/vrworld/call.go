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

// End is the result of a call as its caller sees it.
type End uint8

// Results of a call. EndOpen means that it has not ended yet, EndBroken that the
// connection between the caller and the daemon was closed before an answer.
const (
	EndOpen End = iota
	EndAnswered
	EndReplayed
	EndRefused
	EndBroken
)

// Call is a request as its caller sees it.
type Call struct {
	Request vrevent.Request
	Process *Process
	Sent    time.Time
	// Limit is the time limit, relative to Sent, that the request's declared kind or rank
	// sets.
	Limit time.Duration
	End   End
	Ended time.Time
	// EndCount counts the answers and refusals. More than one is a fault of the daemon.
	EndCount   int
	Reason     vrwire.Reason
	Ran        vrrecord.Ran
	RetryAfter time.Duration
	// FirstToken is when the caller received the first token.
	FirstToken time.Time
	// Tokens is the number of tokens that the caller received in order.
	Tokens int
	// OutOfOrder is set when the caller receives tokens that don't continue those it has.
	OutOfOrder bool
	Body       []byte
	// AppRuns counts the executions at application servers, Starts those at engines.
	AppRuns      int
	EngineStarts int
	// OnEnd, if set, is called once when the call has ended.
	OnEnd   func(*Call)
	world   *World
	current *attempt
}

// attempt is one dispatch of a call.
type attempt struct {
	call       *Call
	process    *Process
	effect     vrevent.Dispatch
	sequence   uint64
	engine     *Engine
	offset     int
	firstToken time.Time
	ended      bool
	// holdsSlot is set while the attempt holds a slot. Only used with Options.Pace.
	holdsSlot bool
}

// Send sends a caller's request to a daemon. It returns nil if the daemon is down.
func (w *World) Send(d *Daemon, request vrevent.Request) *Call {
	p := d.Process
	if p == nil {
		return nil
	}
	w.sequence++
	request.ID = vrid.RequestID(fmt.Sprintf("r%07d", w.sequence))
	call := &Call{Request: request, Process: p, Sent: w.Now(), world: w}
	call.Limit = w.Options.Fleet.RankPolicyOf(request.Rank).Deadline.Std()
	for _, kind := range w.Options.Fleet.Kinds {
		// A daemon without a configuration may process the request once it has one, so the
		// limit starts as that of the initial configuration.
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

// daemonDied ends a call whose daemon process died.
func (c *Call) daemonDied() {
	if c.current != nil {
		c.current.stop()
	}
	c.close(EndBroken)
}

// AnswerComplete reports whether the caller of an answered or replayed call received the complete
// and correct answer to its request.
func (c *Call) AnswerComplete() bool {
	switch {
	case c.OutOfOrder:
		return false
	case c.Request.Model != "":
		return c.Tokens == c.Request.MaxTokens
	default:
		return bytes.Equal(c.Body, expectedBody(c))
	}
}

// close records the result of the call, removes it from the process and calls Then.
func (c *Call) close(end End) {
	if c.End == EndOpen {
		c.End = end
		c.Ended = c.world.Now()
	}
	delete(c.Process.open, c.Request.ID)
	if c.OnEnd != nil {
		then := c.OnEnd
		c.OnEnd = nil
		then(c)
	}
}

// endCall carries out an effect that ends a request: Refuse, Replay or Complete.
func (w *World) endCall(effect vrevent.Effect) {
	switch e := effect.(type) {
	case vrevent.Refuse:
		call := w.Calls[e.Request]
		call.EndCount++
		if call.End == EndOpen {
			call.Reason, call.Ran, call.RetryAfter = e.Reason, e.Ran, e.RetryAfter
			if call.current != nil {
				call.current.stop()
			}
			call.close(EndRefused)
		}
	case vrevent.Replay:
		call := w.Calls[e.Request]
		call.EndCount++
		call.Body = e.Body
		call.close(EndReplayed)
	case vrevent.Complete:
		call := w.Calls[e.Request]
		call.EndCount++
		call.close(EndAnswered)
	}
}

// dispatch starts an attempt: it sends a request to a back end. An unfinished earlier
// attempt of the call is stopped.
func (w *World) dispatch(p *Process, effect vrevent.Dispatch, decided time.Time) {
	call := w.Calls[effect.Request]
	if call == nil || call.End != EndOpen {
		return
	}
	if w.Options.Observer != nil {
		w.Options.Observer.Dispatched(p, call, effect.Server, decided)
	}
	w.sequence++
	a := &attempt{call: call, process: p, effect: effect, sequence: w.sequence}
	if call.current != nil && !call.current.ended {
		call.current.stop()
	}
	call.current = a
	w.After(effect.Deadline.Sub(w.Now()), a.timeOut)
	zone, ok := w.serverZone(effect.Server)
	if !ok || w.Net.IsCut(p.Daemon.Zone, zone) {
		w.After(connectFailureDelay, func() { a.finish(vrevent.AttemptNotSent, nil) })
		return
	}
	w.After(w.Net.delay(p.Daemon.Zone, zone), func() {
		if a.ended {
			return
		}
		if app := w.byApp[effect.Server]; app != nil {
			app.accept(a)
			return
		}
		w.byEngine[effect.Server].accept(a)
	})
}

// timeOut runs at the deadline of an attempt and ends it if it has no first token.
func (a *attempt) timeOut() {
	if a.firstToken.IsZero() {
		a.finish(vrevent.AttemptTimedOut, nil)
	}
}

// accept starts a generation, or rejects the attempt if the engine can't serve it.
func (e *Engine) accept(a *attempt) {
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
	case len(e.inFlight) >= maxRequestsPerSlot*e.slots:
		a.finish(vrevent.AttemptBusy, nil)
		return
	}
	a.engine = e
	e.inFlight[a] = true
	a.call.EngineStarts++
	if w.Options.Observer != nil {
		w.Options.Observer.Ran(a.call, e.ID)
	}
	if a.effect.Resume {
		a.offset = a.call.Tokens
	} else if a.call.Tokens > 0 {
		a.call.OutOfOrder = true
	}
	if w.Options.Pace != nil {
		e.enqueue(a)
		return
	}
	w.After(w.randomDuration(firstTokenMin, firstTokenMax), a.startStreaming)
}

// startStreaming delivers the first token and schedules the end of the generation.
func (a *attempt) startStreaming() {
	if a.ended {
		return
	}
	w := a.call.world
	a.firstToken = w.Now()
	a.countTokens()
	if a.call.FirstToken.IsZero() {
		a.call.FirstToken = w.Now()
	}
	a.process.deliver(vrevent.FirstToken{Request: a.call.Request.ID, Attempt: a.effect.Attempt})
	remaining := max(0, a.call.Request.MaxTokens-a.offset-1)
	w.After(time.Duration(remaining)*w.tokenInterval(), func() { a.finish(vrevent.AttemptAnswered, nil) })
}

// countTokens updates the caller's token count with the tokens that the attempt has
// generated so far.
func (a *attempt) countTokens() {
	if a.firstToken.IsZero() || a.call.End != EndOpen {
		return
	}
	if a.offset > a.call.Tokens || a.call.current != a {
		a.call.OutOfOrder = true
		return
	}
	generated := 1 + int(a.call.world.Now().Sub(a.firstToken)/a.call.world.tokenInterval())
	a.call.Tokens = max(a.call.Tokens, min(a.call.Request.MaxTokens, a.offset+generated))
}

// breakConnection ends an attempt whose connection broke.
func (a *attempt) breakConnection() { a.finish(vrevent.AttemptBroken, nil) }

// stop ends an attempt without telling the daemon and frees its place at the engine.
func (a *attempt) stop() {
	if a.ended {
		return
	}
	a.ended = true
	if a.engine == nil {
		return
	}
	delete(a.engine.inFlight, a)
	if a.call.world.Options.Pace != nil {
		a.engine.releaseSlot(a)
	}
}

// finish ends an attempt and delivers its result to the daemon.
func (a *attempt) finish(result vrevent.AttemptResult, body []byte) {
	if a.ended {
		return
	}
	a.countTokens()
	a.stop()
	if result == vrevent.AttemptAnswered {
		a.call.Body = body
	}
	a.process.deliver(vrevent.AttemptEnded{
		Request: a.call.Request.ID, Attempt: a.effect.Attempt, Server: a.effect.Server, Result: result,
		Tokens: a.call.Tokens, Status: 200, Body: body,
	})
}

// cancel stops the attempt that a daemon cancels, if it is the call's current one.
func (w *World) cancel(effect vrevent.CancelAttempt) {
	call := w.Calls[effect.Request]
	if call != nil && call.current != nil && call.current.effect.Attempt == effect.Attempt {
		call.current.stop()
	}
}

// breakCutConnections breaks the connections of attempts between zones that are cut off
// from each other.
func (w *World) breakCutConnections() {
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
				a.breakConnection()
			}
		}
	}
}

func sortedCallIDs(calls map[vrid.RequestID]*Call) []vrid.RequestID {
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
	slices.SortFunc(sorted, func(a, b *attempt) int { return int(a.sequence) - int(b.sequence) })
	return sorted
}
