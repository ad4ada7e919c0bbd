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
	// _outputBytes is how much of a stream waits for a slow caller before the attempt
	// stops reading from the back end.
	_outputBytes = 64 << 10
	// _firstOutput holds the first few chunks of a stream.
	_firstOutput = 1 << 10
	// _answerBytes bounds an answer that is collected as a whole.
	_answerBytes = 8 << 20
)

// flights finds the running requests by id.
type flights struct {
	mu   sync.Mutex
	byID map[vrid.RequestID]*flight
}

func newFlights() *flights { return &flights{byID: make(map[vrid.RequestID]*flight)} }

func (s *flights) add(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[f.request.ID] = f
}

func (s *flights) find(id vrid.RequestID) *flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

func (s *flights) take(id vrid.RequestID) *flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.byID[id]
	delete(s.byID, id)
	return f
}

func (s *flights) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID)
}

// flight is one request between its arrival and its terminal effect.
type flight struct {
	request vrevent.Request
	// generate is the body for language servers; nil for service calls.
	generate *vrengine.GenerateRequest
	// call is the call to an application server; nil for model requests.
	call *ServiceCall
	// encode appends one token to the output.
	encode func(output []byte, token string) []byte

	// wake is signaled when something changed for the handler, room when output was
	// taken.
	wake chan struct{}
	room chan struct{}

	mu sync.Mutex
	// output holds encoded tokens that the handler has not taken. Nothing is added
	// after the terminal effect.
	output []byte
	// next is the offset of the first token that was not accepted. Only a token with
	// exactly this offset is accepted, so no token is lost or doubled.
	next int
	// owner is the attempt whose tokens are accepted, or nil.
	owner  *attempt
	finish string
	answer ServiceAnswer
	// attempts have begun and not ended.
	attempts []*attempt
	// terminal is the effect that ended the request: Refuse, Replay or Complete.
	terminal vrevent.Effect
	// gone is set when the caller closed its connection.
	gone bool
}

// attempt is one dispatch that has not ended.
type attempt struct {
	number   int
	dispatch vrevent.Dispatch
	cancel   context.CancelFunc
	timer    *time.Timer
	// spoke is set with the first line, timedOut when there was none by the deadline;
	// both are guarded by the flight's mutex.
	spoke    bool
	timedOut bool
}

func newFlight(request vrevent.Request) *flight {
	return &flight{
		request: request,
		wake:    make(chan struct{}, 1),
		room:    make(chan struct{}, 1),
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// mayCancel is false for calls whose outcome would be lost.
func (f *flight) mayCancel() bool { return f.call == nil || f.request.Idempotent }

// end notes the terminal effect and stops attempts that still run.
func (f *flight) end(effect vrevent.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.terminal = effect
	f.cancelAll()
	signal(f.wake)
}

func (f *flight) cancelAll() {
	if !f.mayCancel() {
		return
	}
	for _, a := range f.attempts {
		a.cancel()
	}
}

// begin notes a new attempt; false when the caller is gone and nothing is lost by not
// sending the request.
func (f *flight) begin(a *attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone && f.mayCancel() {
		return false
	}
	f.attempts = append(f.attempts, a)
	return true
}

// armDeadline ends the attempt when no first token or answer came by its deadline.
func (a *attempt) armDeadline(f *flight) (stop func() bool) {
	timer := time.AfterFunc(time.Until(a.dispatch.Deadline), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		// A stream that stalls later is broken and goes on elsewhere.
		a.timedOut = !a.spoke
		a.cancel()
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	a.timer = timer
	return timer.Stop
}

// leave removes an attempt that ended, frees the stream for the next one and refines
// the result: a canceled call looks broken to the client.
func (f *flight) leave(a *attempt, result vrevent.AttemptResult) vrevent.AttemptResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, candidate := range f.attempts {
		if candidate == a {
			f.attempts = append(f.attempts[:i], f.attempts[i+1:]...)
			break
		}
	}
	if f.owner == a {
		f.owner = nil
	}
	switch {
	case result == vrevent.AttemptAnswered:
	case f.gone && f.mayCancel():
		return vrevent.AttemptCallerGone
	case a.timedOut && !result.ProvesNotRun():
		return vrevent.AttemptTimedOut
	}
	return result
}

// cancelAttempt stops one attempt.
func (f *flight) cancelAttempt(number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.attempts {
		if a.number == number {
			a.cancel()
		}
	}
}

// leaveCaller notes that the caller is gone and stops the attempts. It reports
// whether the request was waiting without any attempt, so that nothing else ends it.
func (f *flight) leaveCaller() (waiting bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone || f.terminal != nil {
		return false
	}
	f.gone = true
	f.cancelAll()
	signal(f.room)
	return len(f.attempts) == 0
}

// idle reports whether no attempt runs.
func (f *flight) idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.attempts) == 0
}

// accept takes a line of the owner's stream; first is set for its first line.
func (f *flight) accept(a *attempt, line *vrengine.Token) (first bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.terminal != nil || (f.owner != nil && f.owner != a) {
		return false, errNotOwner
	}
	first = !a.spoke
	a.spoke = true
	f.owner = a
	if line.Offset > f.next {
		return false, &OffsetError{Want: f.next, Found: line.Offset}
	}
	if len(f.output) > _answerBytes {
		return false, errAnswerTooLarge
	}
	if line.Offset == f.next && (line.Token != "" || !line.Done) {
		f.add(line.Token)
	}
	if line.Done {
		f.finish = line.FinishReason
	}
	a.timer.Reset(_stallTimeout)
	return first, nil
}

// add takes the next token. An empty one has an offset too, for example a token that is
// only a part of a character.
func (f *flight) add(token string) {
	f.next++
	if token == "" {
		return
	}
	if f.output == nil {
		f.output = make([]byte, 0, _firstOutput)
	}
	f.output = f.encode(f.output, token)
	signal(f.wake)
}

// waitForRoom blocks while a slow caller has not taken the output of a stream.
func (f *flight) waitForRoom(ctx context.Context) error {
	for f.isFull() {
		select {
		case <-f.room:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (f *flight) isFull() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.request.Stream && !f.gone && len(f.output) > _outputBytes
}

func (f *flight) setAnswer(answer ServiceAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = answer
}

// tokens counts the accepted tokens.
func (f *flight) tokens() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// state returns what the handler decides by.
func (f *flight) state() (hasOutput bool, terminal vrevent.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.output) > 0, f.terminal
}

// take moves output into p.
func (f *flight) take(p []byte) (n int, terminal vrevent.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n = copy(p, f.output)
	left := copy(f.output, f.output[n:])
	f.output = f.output[:left]
	if n > 0 {
		signal(f.room)
		return n, nil
	}
	return 0, f.terminal
}
