package vrfront

import (
	"context"
	"sync"
	"time"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	// _maxBufferedOutput is how much of a stream is buffered for a slow caller before the
	// attempt stops reading from the back end.
	_maxBufferedOutput = 64 << 10
	// _initialOutputCapacity is enough for the first few chunks of a stream.
	_initialOutputCapacity = 1 << 10
	// _maxAnswerBytes bounds an answer that is buffered as a whole.
	_maxAnswerBytes = 8 << 20
)

// requestTable holds the in-flight requests by id.
type requestTable struct {
	mu   sync.Mutex
	byID map[vrid.RequestID]*inflightRequest
}

func newRequestTable() *requestTable {
	return &requestTable{byID: make(map[vrid.RequestID]*inflightRequest)}
}

func (t *requestTable) add(r *inflightRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[r.request.ID] = r
}

func (t *requestTable) find(id vrid.RequestID) *inflightRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

func (t *requestTable) remove(id vrid.RequestID) *inflightRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	delete(t.byID, id)
	return r
}

func (t *requestTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// inflightRequest is a request between its arrival and its terminal effect.
type inflightRequest struct {
	request vrevent.Request
	// generateRequest is the request body for language servers; nil for service calls.
	generateRequest *vrengine.GenerateRequest
	// call is the call to an application server; nil for model requests.
	call *ServiceCall
	// appendToken encodes one token and appends it to output.
	appendToken func(output []byte, token string) []byte

	// changed is signaled when there is new output or a terminal effect for the handler.
	// outputRead is signaled when the handler has read output or the caller is gone.
	changed    chan struct{}
	outputRead chan struct{}

	mu sync.Mutex
	// output holds encoded tokens that the handler has not read. Nothing is appended
	// after the terminal effect.
	output []byte
	// nextOffset is the offset of the next token to accept. Only a token with exactly
	// this offset is accepted, so no token is lost or duplicated.
	nextOffset int
	// streamOwner is the attempt whose tokens are accepted, or nil.
	streamOwner  *attempt
	finishReason string
	answer       ServiceAnswer
	// attempts are the attempts that are running.
	attempts []*attempt
	// terminal is the effect that ended the request: Refuse, Replay or Complete.
	terminal vrevent.Effect
	// callerGone is set when the caller has closed its connection.
	callerGone bool
}

// attempt is one dispatch that has not ended.
type attempt struct {
	number   int
	dispatch vrevent.Dispatch
	cancel   context.CancelFunc
	// timer cancels the attempt at its deadline or, after the first token, if the stream
	// stalls.
	timer *time.Timer
	// receivedToken is set when the first line arrives, timedOut if none arrived by the
	// deadline. Both are guarded by inflightRequest.mu.
	receivedToken bool
	timedOut      bool
}

func newInflightRequest(request vrevent.Request) *inflightRequest {
	return &inflightRequest{
		request:    request,
		changed:    make(chan struct{}, 1),
		outputRead: make(chan struct{}, 1),
	}
}

// signal wakes the receiver of c. It does not block, because c has a buffer of one and a
// pending signal is enough.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// isCancelable reports whether attempts may be canceled. Canceling a non-idempotent
// service call would lose its outcome.
func (r *inflightRequest) isCancelable() bool { return r.call == nil || r.request.Idempotent }

// setTerminal sets the terminal effect and cancels the attempts that are still running.
func (r *inflightRequest) setTerminal(effect vrevent.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.terminal = effect
	r.cancelAttempts()
	signal(r.changed)
}

// cancelAttempts cancels the running attempts if the request is cancelable. r.mu must be
// held.
func (r *inflightRequest) cancelAttempts() {
	if !r.isCancelable() {
		return
	}
	for _, a := range r.attempts {
		a.cancel()
	}
}

// addAttempt registers a new attempt. It returns false if the caller is gone and the
// request is cancelable, so that it need not be sent.
func (r *inflightRequest) addAttempt(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.callerGone && r.isCancelable() {
		return false
	}
	r.attempts = append(r.attempts, a)
	return true
}

// startDeadlineTimer cancels the attempt if no first token or answer arrives by its
// deadline.
func (a *attempt) startDeadlineTimer(r *inflightRequest) (stop func() bool) {
	timer := time.AfterFunc(time.Until(a.dispatch.Deadline), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		// A stream that stalls after its first token counts as broken, not as timed out, and
		// is resumed on another server.
		a.timedOut = !a.receivedToken
		a.cancel()
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	a.timer = timer
	return timer.Stop
}

// endAttempt removes an ended attempt, lets another attempt own the stream and returns the
// attempt's final result. The back end's client reports a canceled call as broken, so the
// result is replaced if the caller is gone or the deadline has passed.
func (r *inflightRequest) endAttempt(a *attempt, result vrevent.AttemptResult) vrevent.AttemptResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, candidate := range r.attempts {
		if candidate == a {
			r.attempts = append(r.attempts[:i], r.attempts[i+1:]...)
			break
		}
	}
	if r.streamOwner == a {
		r.streamOwner = nil
	}
	switch {
	case result == vrevent.AttemptAnswered:
	case r.callerGone && r.isCancelable():
		return vrevent.AttemptCallerGone
	case a.timedOut && !result.ProvesNotRun():
		return vrevent.AttemptTimedOut
	}
	return result
}

// cancelAttempt cancels the attempt with the given number.
func (r *inflightRequest) cancelAttempt(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		if a.number == number {
			a.cancel()
		}
	}
}

// markCallerGone records that the caller is gone and cancels the attempts. It reports
// whether the request was waiting without a running attempt, so that nothing else will
// end it.
func (r *inflightRequest) markCallerGone() (waiting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.callerGone || r.terminal != nil {
		return false
	}
	r.callerGone = true
	r.cancelAttempts()
	signal(r.outputRead)
	return len(r.attempts) == 0
}

// idle reports whether no attempt is running.
func (r *inflightRequest) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts) == 0
}

// acceptToken adds a line of an attempt's stream to the output, unless another attempt
// owns the stream. first is true for the attempt's first line.
func (r *inflightRequest) acceptToken(a *attempt, line *vrengine.Token) (first bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.terminal != nil || (r.streamOwner != nil && r.streamOwner != a) {
		return false, errNotStreamOwner
	}
	first = !a.receivedToken
	a.receivedToken = true
	r.streamOwner = a
	if line.Offset > r.nextOffset {
		return false, &OffsetError{Want: r.nextOffset, Found: line.Offset}
	}
	if len(r.output) > _maxAnswerBytes {
		return false, errAnswerTooLarge
	}
	if line.Offset == r.nextOffset && (line.Token != "" || !line.Done) {
		r.appendOutput(line.Token)
	}
	if line.Done {
		r.finishReason = line.FinishReason
	}
	a.timer.Reset(_stallTimeout)
	return first, nil
}

// appendOutput appends the next token to the output. r.mu must be held. An empty token
// counts as well: a token that is only part of a character has an offset but no text.
func (r *inflightRequest) appendOutput(token string) {
	r.nextOffset++
	if token == "" {
		return
	}
	if r.output == nil {
		r.output = make([]byte, 0, _initialOutputCapacity)
	}
	r.output = r.appendToken(r.output, token)
	signal(r.changed)
}

// waitForOutputSpace blocks while the output buffer of a stream is full because the caller
// reads slowly.
func (r *inflightRequest) waitForOutputSpace(ctx context.Context) error {
	for r.isOutputFull() {
		select {
		case <-r.outputRead:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (r *inflightRequest) isOutputFull() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.request.Stream && !r.callerGone && len(r.output) > _maxBufferedOutput
}

func (r *inflightRequest) setAnswer(answer ServiceAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = answer
}

// tokenCount returns the number of accepted tokens.
func (r *inflightRequest) tokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nextOffset
}

// state reports whether there is unread output, and returns the terminal effect or nil.
func (r *inflightRequest) state() (hasOutput bool, terminal vrevent.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.output) > 0, r.terminal
}

// readOutput moves output into p. If there is none, it returns the terminal effect or nil.
func (r *inflightRequest) readOutput(p []byte) (n int, terminal vrevent.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = copy(p, r.output)
	remaining := copy(r.output, r.output[n:])
	r.output = r.output[:remaining]
	if n > 0 {
		signal(r.outputRead)
		return n, nil
	}
	return 0, r.terminal
}
