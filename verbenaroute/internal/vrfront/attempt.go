package vrfront

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"

	"verbenaroute.example/verbenaroute/internal/vrlog"
)

const (
	// _stallTimeout ends a stream that brings no token: the target between tokens is
	// 75 ms, so this is far beyond any slow server that is still at work.
	_stallTimeout  = 20 * time.Second
	_cancelTimeout = 2 * time.Second
	// _lookUpTimeout is also how long the reducer waits before it asks another server.
	_lookUpTimeout = 2 * time.Second
)

var (
	// errNotOwner ends an attempt whose request has ended or is served by another one.
	errNotOwner = errors.New("the request has ended or is served by another attempt")
	// errAnswerTooLarge ends an attempt whose whole answer does not fit.
	errAnswerTooLarge = errors.New("the answer is too large")
)

// OffsetError says that a back end's stream skipped tokens.
type OffsetError struct {
	Want  int
	Found int
}

func (e *OffsetError) Error() string {
	return fmt.Sprintf("token with offset %d, want %d", e.Found, e.Want)
}

// RequestError says that a back end's line names another request.
type RequestError struct {
	Want  string
	Found string
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("token of request %q in the stream of %q", e.Found, e.Want)
}

// EngineError is an error that a language server reports inside a stream.
type EngineError struct{ Code string }

func (e *EngineError) Error() string { return "language server: " + e.Code }

// Handle carries out an effect that belongs to a request. It does not block and does
// not call the Submitter; it reports whether the effect is one of the front's.
func (f *Front) Handle(effect vrevent.Effect) bool {
	switch e := effect.(type) {
	case vrevent.Dispatch:
		f.dispatch(e)
	case vrevent.CancelAttempt:
		if flight := f.flights.find(e.Request); flight != nil {
			flight.cancelAttempt(e.Attempt)
		}
	case vrevent.LookUpOutcome:
		f.run(func() { f.lookUp(e) })
	case vrevent.Refuse:
		f.finish(e.Request, e)
	case vrevent.Replay:
		f.finish(e.Request, e)
	case vrevent.Complete:
		f.finish(e.Request, e)
	default:
		return false
	}
	return true
}

// finish notes the terminal effect of a request.
func (f *Front) finish(id vrid.RequestID, effect vrevent.Effect) {
	flight := f.flights.take(id)
	if flight == nil {
		return
	}
	flight.end(effect)
}

// run starts a task and counts its panic instead of passing it on.
func (f *Front) run(task func()) {
	f.attempts.Go(func() {
		if caught := panics.Try(task); caught != nil {
			f.panics.Add(1)
			f.options.Log.Error("task of a request panicked", vrlog.Error(caught.AsError()))
		}
	})
}

func (f *Front) dispatch(e vrevent.Dispatch) {
	flight := f.flights.find(e.Request)
	if flight == nil {
		// Nobody waits for the answer any more, and nothing was sent.
		f.run(func() {
			f.options.Submitter.Submit(vrevent.AttemptEnded{
				Request: e.Request, Attempt: e.Attempt, Server: e.Server, Result: vrevent.AttemptNotSent,
			})
		})
		return
	}
	ctx, cancel := context.WithCancel(f.base)
	a := &attempt{number: e.Attempt, dispatch: e, cancel: cancel}
	if !flight.begin(a) {
		cancel()
		f.run(func() { f.endGone(flight, a) })
		return
	}
	f.attempts.Go(func() {
		defer cancel()
		f.attempt(ctx, flight, a)
	})
}

// attempt runs one dispatch and submits exactly one AttemptEnded.
func (f *Front) attempt(ctx context.Context, flight *flight, a *attempt) {
	stop := a.armDeadline(flight)
	defer stop()
	// Until the back end answers, nothing is known: a panic must not prove anything.
	result := vrevent.AttemptBroken
	caught := panics.Try(func() {
		if flight.call != nil {
			result = f.callService(ctx, flight, a)
			return
		}
		result = f.generate(ctx, flight, a)
	})
	if caught != nil {
		f.panics.Add(1)
		f.options.Log.Error("attempt panicked", zap.String("request", string(flight.request.ID)), vrlog.Error(caught.AsError()))
	}
	result = flight.leave(a, result)
	if result == vrevent.AttemptCallerGone {
		f.endGone(flight, a)
	} else {
		f.submitEnd(flight, a, result)
	}
	if flight.call == nil && result != vrevent.AttemptAnswered && !result.ProvesNotRun() {
		f.cancelAtEngine(flight, a)
	}
}

// endGone ends a request whose caller left. The reducer returns no terminal effect for
// it, as there is no one to answer.
func (f *Front) endGone(flight *flight, a *attempt) {
	f.submitEnd(flight, a, vrevent.AttemptCallerGone)
	f.finish(flight.request.ID, goneEffect(flight))
}

func goneEffect(flight *flight) vrevent.Refuse {
	return vrevent.Refuse{Request: flight.request.ID, Reason: vrwire.ReasonCallerGone, Ran: vrrecord.RanUnknown}
}

func (f *Front) submitEnd(flight *flight, a *attempt, result vrevent.AttemptResult) {
	event := vrevent.AttemptEnded{
		Request: flight.request.ID,
		Attempt: a.number,
		Server:  a.dispatch.Server,
		Result:  result,
		Tokens:  flight.tokens(),
	}
	if flight.call != nil && result == vrevent.AttemptAnswered {
		event.Status = flight.answer.Status
		event.ContentType = flight.answer.ContentType
		event.Body = flight.answer.Body
	}
	f.options.Submitter.Submit(event)
}

// cancelAtEngine frees the slot of an attempt that was given up.
func (f *Front) cancelAtEngine(flight *flight, a *attempt) {
	ctx, cancel := context.WithTimeout(f.base, _cancelTimeout)
	defer cancel()
	f.options.Backends.Cancel(ctx, a.dispatch.Address, flight.request.ID)
}

func (f *Front) callService(ctx context.Context, flight *flight, a *attempt) vrevent.AttemptResult {
	answer, result := f.options.Backends.Call(ctx, a.dispatch.Address, flight.call)
	if result == vrevent.AttemptAnswered {
		flight.setAnswer(answer)
	}
	return result
}

func (f *Front) generate(ctx context.Context, flight *flight, a *attempt) vrevent.AttemptResult {
	request := *flight.generate
	request.Model = a.dispatch.Model
	request.Adapter = a.dispatch.Adapter
	request.ResumeFrom = flight.tokens()
	// A request that is due to its rank's floor goes before its rank at the engine.
	request.Priority = int(a.dispatch.Priority)
	return f.options.Backends.Generate(ctx, a.dispatch.Address, &request, func(line *vrengine.Token) error {
		return f.accept(ctx, flight, a, line)
	})
}

// accept takes one line of a stream.
func (f *Front) accept(ctx context.Context, flight *flight, a *attempt, line *vrengine.Token) error {
	if line.RequestID != flight.request.ID {
		return &RequestError{Want: string(flight.request.ID), Found: string(line.RequestID)}
	}
	if line.Error != "" {
		return &EngineError{Code: line.Error}
	}
	first, err := flight.accept(a, line)
	if err != nil {
		return err
	}
	if first {
		f.options.Submitter.Submit(vrevent.FirstToken{Request: flight.request.ID, Attempt: a.number})
	}
	return flight.waitForRoom(ctx)
}

// lookUp asks for an outcome. Without an answer nothing is submitted, because "not
// found" would be taken as the service's word.
func (f *Front) lookUp(e vrevent.LookUpOutcome) {
	ctx, cancel := context.WithTimeout(f.base, _lookUpTimeout)
	defer cancel()
	answer, found, err := f.options.Backends.Outcome(ctx, e.Address, e.Path, e.Key)
	if err != nil {
		f.options.Log.Warn("outcome of a call is not known", zap.String("request", string(e.Request)), vrlog.Error(err))
		return
	}
	f.options.Submitter.Submit(vrevent.OutcomeLookedUp{
		Request:     e.Request,
		Found:       found,
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
	})
}
