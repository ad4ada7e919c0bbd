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
	// _stallTimeout ends a stream that delivers no token. The target interval between
	// tokens is 75 ms, so even a slow server that still works is far below this timeout.
	_stallTimeout = 20 * time.Second
	// _cancelTimeout bounds the call that cancels a request at a language server.
	_cancelTimeout = 2 * time.Second
	// _lookUpTimeout equals the time that the reducer waits before it asks another server.
	_lookUpTimeout = 2 * time.Second
)

var (
	// errNotStreamOwner ends an attempt whose request has ended or whose response is
	// streamed by another attempt.
	errNotStreamOwner = errors.New("the request has ended or is served by another attempt")
	// errAnswerTooLarge ends an attempt whose buffered output exceeds _maxAnswerBytes.
	errAnswerTooLarge = errors.New("the buffered answer exceeds 8 MiB")
)

// OffsetError reports that a back end's stream skipped tokens.
type OffsetError struct {
	Want  int
	Found int
}

func (e *OffsetError) Error() string {
	return fmt.Sprintf("token with offset %d, want %d", e.Found, e.Want)
}

// RequestMismatchError reports that a line of a back end's stream belongs to another request.
type RequestMismatchError struct {
	Want  string
	Found string
}

func (e *RequestMismatchError) Error() string {
	return fmt.Sprintf("token of request %q in the stream of %q", e.Found, e.Want)
}

// EngineError is an error that a language server reported within a stream.
type EngineError struct{ Code string }

func (e *EngineError) Error() string { return "language server: " + e.Code }

// Handle executes an effect that concerns a single request. It does not block and does
// not call the Submitter. It returns false for effects that the Front does not handle.
func (f *Front) Handle(effect vrevent.Effect) bool {
	switch e := effect.(type) {
	case vrevent.Dispatch:
		f.dispatch(e)
	case vrevent.CancelAttempt:
		if req := f.inflight.find(e.Request); req != nil {
			req.cancelAttempt(e.Attempt)
		}
	case vrevent.LookUpOutcome:
		f.startTask(func() { f.lookUpOutcome(e) })
	case vrevent.Refuse:
		f.endRequest(e.Request, e)
	case vrevent.Replay:
		f.endRequest(e.Request, e)
	case vrevent.Complete:
		f.endRequest(e.Request, e)
	default:
		return false
	}
	return true
}

// endRequest removes a request from the table and sets its terminal effect. It does
// nothing if the request has already ended.
func (f *Front) endRequest(id vrid.RequestID, effect vrevent.Effect) {
	req := f.inflight.remove(id)
	if req == nil {
		return
	}
	req.setTerminal(effect)
}

// startTask runs task in a goroutine. A panic is logged and counted, not propagated.
func (f *Front) startTask(task func()) {
	f.tasks.Go(func() {
		if caught := panics.Try(task); caught != nil {
			f.panics.Add(1)
			f.options.Log.Error("request task panicked", vrlog.Error(caught.AsError()))
		}
	})
}

func (f *Front) dispatch(e vrevent.Dispatch) {
	req := f.inflight.find(e.Request)
	if req == nil {
		// The request has ended, and nothing was sent.
		f.startTask(func() {
			f.options.Submitter.Submit(vrevent.AttemptEnded{
				Request: e.Request, Attempt: e.Attempt, Server: e.Server, Result: vrevent.AttemptNotSent,
			})
		})
		return
	}
	ctx, cancel := context.WithCancel(f.baseCtx)
	a := &attempt{number: e.Attempt, dispatch: e, cancel: cancel}
	if !req.addAttempt(a) {
		cancel()
		f.startTask(func() { f.endCallerGone(req, a) })
		return
	}
	f.tasks.Go(func() {
		defer cancel()
		f.runAttempt(ctx, req, a)
	})
}

// runAttempt executes one dispatch and submits exactly one AttemptEnded.
func (f *Front) runAttempt(ctx context.Context, req *inflightRequest, a *attempt) {
	stop := a.startDeadlineTimer(req)
	defer stop()
	// A panic does not prove that nothing ran, so the result is AttemptBroken until the
	// back end answers.
	result := vrevent.AttemptBroken
	caught := panics.Try(func() {
		if req.call != nil {
			result = f.callService(ctx, req, a)
			return
		}
		result = f.generate(ctx, req, a)
	})
	if caught != nil {
		f.panics.Add(1)
		f.options.Log.Error("attempt panicked", zap.String("request", string(req.request.ID)), vrlog.Error(caught.AsError()))
	}
	result = req.endAttempt(a, result)
	if result == vrevent.AttemptCallerGone {
		f.endCallerGone(req, a)
	} else {
		f.submitAttemptEnd(req, a, result)
	}
	if req.call == nil && result != vrevent.AttemptAnswered && !result.ProvesNotRun() {
		f.cancelAtEngine(req, a)
	}
}

// endCallerGone ends a request whose caller disconnected. The reducer returns no terminal
// effect for it, because there is nobody to answer.
func (f *Front) endCallerGone(req *inflightRequest, a *attempt) {
	f.submitAttemptEnd(req, a, vrevent.AttemptCallerGone)
	f.endRequest(req.request.ID, callerGoneEffect(req))
}

func callerGoneEffect(req *inflightRequest) vrevent.Refuse {
	return vrevent.Refuse{Request: req.request.ID, Reason: vrwire.ReasonCallerGone, Ran: vrrecord.RanUnknown}
}

func (f *Front) submitAttemptEnd(req *inflightRequest, a *attempt, result vrevent.AttemptResult) {
	event := vrevent.AttemptEnded{
		Request: req.request.ID,
		Attempt: a.number,
		Server:  a.dispatch.Server,
		Result:  result,
		Tokens:  req.tokenCount(),
	}
	if req.call != nil && result == vrevent.AttemptAnswered {
		event.Status = req.answer.Status
		event.ContentType = req.answer.ContentType
		event.Body = req.answer.Body
	}
	f.options.Submitter.Submit(event)
}

// cancelAtEngine cancels an abandoned attempt at its language server, which frees the slot
// that the attempt occupies.
func (f *Front) cancelAtEngine(req *inflightRequest, a *attempt) {
	ctx, cancel := context.WithTimeout(f.baseCtx, _cancelTimeout)
	defer cancel()
	f.options.Backends.Cancel(ctx, a.dispatch.Address, req.request.ID)
}

// callService sends a service call to the back end and stores its answer.
func (f *Front) callService(ctx context.Context, req *inflightRequest, a *attempt) vrevent.AttemptResult {
	answer, result := f.options.Backends.Call(ctx, a.dispatch.Address, req.call)
	if result == vrevent.AttemptAnswered {
		req.setAnswer(answer)
	}
	return result
}

// generate requests the tokens that follow those already accepted and streams them from the
// back end.
func (f *Front) generate(ctx context.Context, req *inflightRequest, a *attempt) vrevent.AttemptResult {
	request := *req.generateRequest
	request.Model = a.dispatch.Model
	request.Adapter = a.dispatch.Adapter
	request.ResumeFrom = req.tokenCount()
	// The dispatch's priority may be higher than the request's rank: it is raised while the
	// rank gets less than its floor.
	request.Priority = int(a.dispatch.Priority)
	return f.options.Backends.Generate(ctx, a.dispatch.Address, &request, func(line *vrengine.Token) error {
		return f.receiveToken(ctx, req, a, line)
	})
}

// receiveToken handles one line of a back end's stream.
func (f *Front) receiveToken(ctx context.Context, req *inflightRequest, a *attempt, line *vrengine.Token) error {
	if line.RequestID != req.request.ID {
		return &RequestMismatchError{Want: string(req.request.ID), Found: string(line.RequestID)}
	}
	if line.Error != "" {
		return &EngineError{Code: line.Error}
	}
	first, err := req.acceptToken(a, line)
	if err != nil {
		return err
	}
	if first {
		f.options.Submitter.Submit(vrevent.FirstToken{Request: req.request.ID, Attempt: a.number})
	}
	return req.waitForOutputSpace(ctx)
}

// lookUpOutcome asks a service for the outcome of a call. If the service does not answer,
// nothing is submitted, because the reducer would take "not found" as the service's
// statement that the call did not run.
func (f *Front) lookUpOutcome(e vrevent.LookUpOutcome) {
	ctx, cancel := context.WithTimeout(f.baseCtx, _lookUpTimeout)
	defer cancel()
	answer, found, err := f.options.Backends.Outcome(ctx, e.Address, e.Path, e.Key)
	if err != nil {
		f.options.Log.Warn("outcome lookup failed", zap.String("request", string(e.Request)), vrlog.Error(err))
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
