package vrrelay

import (
	"net/http"
	"sync"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrwire"
)

// callHandler handles one client request. It carries out the effects of its call.
type callHandler struct {
	proxy   *Proxy
	call    vrevent.Call
	request *http.Request
	body    *requestBody
	writer  http.ResponseWriter
	control *http.ResponseController
	effects chan vrevent.Effect
	record  *requestRecord
	// hedgeEnded receives the end of a hedge that ended the call.
	hedgeEnded chan hedgeEnd

	attemptsMu sync.Mutex
	// attempts are the sends in progress: one, or two while one is hedged.
	attempts []*sendAttempt

	// forwardMu is held while a part of a response is written to the client, and protects the fields
	// below.
	forwardMu sync.Mutex
	// closed is set once the handler has returned.
	closed bool
	// headerWritten is set once the status and headers of a server's response were forwarded.
	headerWritten bool
	// stream describes the stream of which a part was forwarded, so that another server can go on with
	// it. It is nil if there is none.
	stream *streamFormat
	// lastEventID is the id of the last forwarded event, eventCount the number of them.
	lastEventID string
	eventCount  int
	// heldFailure is a server's failure that is held back.
	heldFailure *bufferedResponse
	// heldReserved is what heldFailure has taken from the budget for buffers.
	heldReserved int64
}

// hedgeEnd is how a hedge ended its call: with a result, or with a panic of the given value.
type hedgeEnd struct {
	result     vrevent.AttemptResult
	panicValue any
}

// bufferedResponse is a response that was read to the end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// run submits the call and carries out its effects until the call has ended.
func (h *callHandler) run() {
	h.proxy.opts.Submit(vrevent.CallArrived{Call: h.call})
	for {
		select {
		case effect := <-h.effects:
			if h.execute(effect) {
				return
			}
		case end := <-h.hedgeEnded:
			switch {
			case end.panicValue != nil:
				h.proxy.opts.Submit(vrevent.ClientGone{Call: h.call.ID})
				panic(end.panicValue)
			case end.result == vrevent.AttemptCallerGone:
				panic(http.ErrAbortHandler)
			}
			return
		case <-h.request.Context().Done():
			h.proxy.opts.Submit(vrevent.ClientGone{Call: h.call.ID})
			panic(http.ErrAbortHandler)
		}
	}
}

// execute carries out an effect and reports whether the call has ended.
func (h *callHandler) execute(effect vrevent.Effect) bool {
	switch e := effect.(type) {
	case vrevent.SendCall:
		result := h.send(&e)
		if result == vrevent.AttemptCallerGone {
			panic(http.ErrAbortHandler)
		}
		return result == vrevent.AttemptAnswered
	case vrevent.RefuseCall:
		h.requireNothingForwarded()
		h.refuse(&e)
		return true
	case vrevent.ForwardFailure:
		h.requireNothingForwarded()
		h.setWriteDeadline(time.Time{})
		h.forward(h.heldFailure)
		return true
	case vrevent.AbortCall:
		// The connection closes before the response is complete, so that the client sees an
		// error.
		h.record.abortAfterPart(h.proxy.sendsAborted.Load())
		panic(http.ErrAbortHandler)
	}
	return false
}

// requireNothingForwarded closes the client's connection if part of a server's response was
// forwarded. Another response written behind that part would look like its continuation.
func (h *callHandler) requireNothingForwarded() {
	if forwarded, _ := h.forwardedPart(); forwarded {
		h.record.abortAfterPart(h.proxy.sendsAborted.Load())
		panic(http.ErrAbortHandler)
	}
}

// refuse responds with a problem document.
func (h *callHandler) refuse(e *vrevent.RefuseCall) {
	status := refusalStatus(e)
	header := h.writer.Header()
	header.Set("Content-Type", vrwire.ContentTypeProblem)
	if e.NotRun && e.RetryAfter > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		header.Set("Retry-After", formatRetryAfter(e.RetryAfter))
	}
	data := marshalProblem(e.Reason, status, e.NotRun, h.call.Request, "")
	header.Set("Content-Length", itoa(len(data)))
	h.proxy.announceClose(header)
	h.setWriteDeadline(time.Time{})
	h.writer.WriteHeader(status)
	_, _ = h.writer.Write(data)
}

// refusalStatus returns the HTTP status of a refusal. It is 401, 429 or 503 only if the request has not run
// and will not run, because after a 503 clients repeat even a request that may run at most once.
func refusalStatus(e *vrevent.RefuseCall) int {
	switch {
	case e.Reason == vrwire.ReasonUnknownService:
		return http.StatusNotFound
	case e.NotRun && (e.Reason == vrwire.ReasonTenantUnknown || e.Reason == vrwire.ReasonQuotaExceeded):
		return e.Reason.Status()
	case e.NotRun:
		return http.StatusServiceUnavailable
	case e.Reason == vrwire.ReasonDeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// forward writes a buffered response to the client.
func (h *callHandler) forward(response *bufferedResponse) {
	h.writeHeader(response.status, response.header, len(response.body))
	if h.request.Method != http.MethodHead {
		_, _ = h.writer.Write(response.body)
	}
}

// unknownLength is the length of a response whose end is marked by its framing and not given by
// a Content-Length header.
const unknownLength = -1

// writeHeader writes the status and headers of a server's response to the client, without the
// hop-by-hop headers.
func (h *callHandler) writeHeader(status int, source http.Header, length int) {
	header := h.writer.Header()
	for name, values := range source {
		if !isHopByHop(name) && name != "Content-Length" {
			header[name] = values
		}
	}
	// A nil value keeps net/http from adding these headers if the server sent none.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
	if length != unknownLength {
		header.Set("Content-Length", itoa(length))
	}
	h.proxy.announceClose(header)
	h.headerWritten = true
	h.writer.WriteHeader(status)
}

// setWriteDeadline limits how long a client that does not read can block the handler. It must
// be called before the first byte of every response, because on a kept-alive connection the
// write deadline of the previous request would still apply.
func (h *callHandler) setWriteDeadline(deadline time.Time) {
	timeout := h.proxy.opts.WriteSlack
	if !deadline.IsZero() {
		timeout += deadline.Sub(h.proxy.opts.Clock.Now())
	}
	_ = h.control.SetWriteDeadline(time.Now().Add(timeout))
}
