package vrrelay

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// exchange is one client attempt and its handler.
type exchange struct {
	front   *Front
	call    vrevent.Call
	request *http.Request
	body    []byte
	writer  http.ResponseWriter
	control *http.ResponseController
	effects chan vrevent.Effect
	// sending is the connection of the present send.
	sending atomic.Pointer[conn]

	// begun is set once the status and headers of a server were passed on.
	begun bool
	// lastEvent is the id of the last event that was passed on, events their number.
	lastEvent string
	events    int
	// held is a server's failure that is kept back.
	held *wholeAnswer
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run submits the call and carries out effects until it has ended.
func (x *exchange) run() {
	x.front.opts.Submit(vrevent.CallArrived{Call: x.call})
	for {
		select {
		case effect := <-x.effects:
			if x.carryOut(effect) {
				return
			}
		case <-x.request.Context().Done():
			x.front.opts.Submit(vrevent.ClientGone{Call: x.call.ID})
			panic(http.ErrAbortHandler)
		}
	}
}

// carryOut reports whether the call has ended.
func (x *exchange) carryOut(effect vrevent.Effect) bool {
	switch e := effect.(type) {
	case vrevent.SendCall:
		ended := x.send(&e)
		x.front.opts.Submit(ended)
		if ended.Result == vrevent.AttemptCallerGone {
			panic(http.ErrAbortHandler)
		}
		return ended.Result == vrevent.AttemptAnswered
	case vrevent.RefuseCall:
		x.refuse(&e)
		return true
	case vrevent.ForwardFailure:
		x.limitWrites(time.Time{})
		x.deliver(x.held)
		return true
	case vrevent.AbortCall:
		// The connection ends without the end of the answer, so that it looks broken.
		panic(http.ErrAbortHandler)
	}
	return false
}

func (x *exchange) refuse(e *vrevent.RefuseCall) {
	status := refusalStatus(e)
	header := x.writer.Header()
	header.Set("Content-Type", vrwire.ContentTypeProblem)
	if e.NotRun && e.RetryAfter > 0 && status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfterText(e.RetryAfter))
	}
	ran := vrrecord.RanUnknown
	if e.NotRun {
		ran = vrrecord.RanNo
	}
	data, err := json.Marshal(vrwire.Problem{
		Type: "about:blank", Title: e.Reason.Title(), Status: status, Reason: e.Reason, Ran: ran.String(), NotRun: e.NotRun,
		RequestID: x.call.Request, Error: vrwire.NewProblemError(e.Reason),
	})
	if err != nil {
		data = nil
	}
	header.Set("Content-Length", itoa(len(data)))
	x.front.announceClose(header)
	x.limitWrites(time.Time{})
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(data)
}

// refusalStatus is 503 only where nothing ran and nothing will: clients repeat a request
// after it that may run once.
func refusalStatus(e *vrevent.RefuseCall) int {
	switch {
	case e.Reason == vrwire.ReasonUnknownService:
		return http.StatusNotFound
	case e.NotRun:
		return http.StatusServiceUnavailable
	case e.Reason == vrwire.ReasonDeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// deliver passes on a whole answer.
func (x *exchange) deliver(answer *wholeAnswer) {
	x.begin(answer.status, answer.header, len(answer.body))
	if x.request.Method != http.MethodHead {
		_, _ = x.writer.Write(answer.body)
	}
}

// lengthUnknown marks an answer whose end is marked by its framing.
const lengthUnknown = -1

// begin writes a server's status and headers.
func (x *exchange) begin(status int, from http.Header, length int) {
	header := x.writer.Header()
	for name, values := range from {
		if !isHopHeader(name) && name != "Content-Length" {
			header[name] = values
		}
	}
	// The library adds these where a server sent none.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
	if length != lengthUnknown {
		header.Set("Content-Length", itoa(length))
	}
	x.front.announceClose(header)
	x.begun = true
	x.writer.WriteHeader(status)
}

// limitWrites bounds how long a client that does not read can hold the handler. It is called
// before the first byte of every answer, since the limit of the request before stays on a
// kept connection.
func (x *exchange) limitWrites(until time.Time) {
	left := x.front.opts.WriteSlack
	if !until.IsZero() {
		left += until.Sub(x.front.opts.Clock.Now())
	}
	_ = x.control.SetWriteDeadline(time.Now().Add(left))
}
