package vrrelay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"verbenaroute.example/verbenacore/vrdialect"
	"verbenaroute.example/verbenacore/vrevent"
)

const (
	// maxBufferedResponse is the largest response that is read to the end before any of it is
	// forwarded, so that a truncated one can be requested again or refused.
	maxBufferedResponse = 256 << 10
	// maxStrayResponses limits the responses to other requests that are skipped on a connection.
	maxStrayResponses = 1
	// minConcurrentBody is the size from which a body is written concurrently with reading the
	// response, because a server may respond before it has read the whole body.
	minConcurrentBody = 16 << 10
)

// StrayResponseError reports a response that belongs to another request.
type StrayResponseError struct{ Want, Got string }

func (e *StrayResponseError) Error() string {
	return fmt.Sprintf("response belongs to request %q, not to %q", e.Got, e.Want)
}

// UnsignedError reports a successful response without the server's signature.
type UnsignedError struct{ Status int }

func (e *UnsignedError) Error() string {
	return fmt.Sprintf("response with status %d has no signature", e.Status)
}

// ResumeError reports a response that can't continue the part that was forwarded: the server
// refused to resume the stream, or the response is no stream of the same format.
type ResumeError struct{ Status int }

func (e *ResumeError) Error() string {
	return fmt.Sprintf("response with status %d cannot continue the forwarded part", e.Status)
}

// _past is a deadline that makes reads and writes fail at once.
var _past = time.Unix(1, 0)

// sendAttempt sends a call to one server and forwards the response.
type sendAttempt struct {
	handler         *callHandler
	send            *vrevent.SendCall
	conn            atomic.Pointer[conn]
	watch           *stallWatch
	startedAt       time.Time
	timeToFirstByte time.Duration
	// superseded is set once another send has brought an answer or the next event, or the handler has
	// returned. Nothing of this one is forwarded or reported from then on.
	superseded atomic.Bool
	// partForwarded and eventsBefore say what was forwarded before the send. lastEventID is the id of
	// the last event that was forwarded before it or by it.
	partForwarded bool
	lastEventID   string
	eventsBefore  int
	// events is the number of events that this send has forwarded. begun is set once it has forwarded
	// any part of a stream.
	events int
	begun  bool
	// firstByteReported is set once the reducer was told of the first part of a stream,
	// answerReported once it was told of the first event.
	firstByteReported, answerReported bool
	result                            vrevent.SendEnded
	// continued is set once an event with a later id than those of the server before has come.
	continued bool
	// format is that of the response, if it is a stream.
	format *streamFormat
	// answerRead is set once an answer was read to its end. The body of the request is then delivered also if the
	// client leaves.
	answerRead atomic.Bool
	// reusable is set if the connection may carry another request, answered once the answer of the server was
	// forwarded to its end.
	reusable, answered bool
	// strays counts the responses to other requests that were skipped. A connection that
	// delivered one carries no further request.
	strays int
	// reserved is what the buffer of the response has taken from the budget.
	reserved int
	// bodyWritten receives the result of writing a body concurrently; nil if there is none or the whole body
	// was written.
	bodyWritten chan error
}

// send carries out one send, reports its end and returns its result.
func (h *callHandler) send(e *vrevent.SendCall) vrevent.AttemptResult {
	a := &sendAttempt{handler: h, send: e, startedAt: time.Now()}
	a.result = vrevent.SendEnded{Call: e.Call, Send: e.Send}
	h.record.sendStarted(e.Server)
	if h.startAttempt(a) {
		a.roundTrip()
		h.endAttempt(a)
		a.releaseBuffer()
	} else {
		a.end(vrevent.AttemptSuperseded, nil)
	}
	if a.superseded.Load() {
		return vrevent.AttemptSuperseded
	}
	h.forwardMu.Lock()
	a.result.PartForwarded, a.result.Events = h.headerWritten, h.eventCount
	h.forwardMu.Unlock()
	a.result.TimeToFirstByte = a.timeToFirstByte
	h.record.sendEnded(a.result.Result)
	h.proxy.opts.Submit(a.result)
	return a.result.Result
}

// errUnreadBeforeRequest reports a new connection that was closed, or on which bytes arrived, before
// the request was written. Nothing was sent.
var errUnreadBeforeRequest = errors.New("connection ended or brought data before the request was sent")

// roundTrip sends the request and forwards the response. It sets a.result.
func (a *sendAttempt) roundTrip() {
	key := backend{server: a.send.Server, address: a.send.Address}
	for {
		c, err := a.handler.proxy.pool.get(key, a.handler.call.Request, a.send.AtMostOnce)
		if err != nil {
			a.end(vrevent.AttemptNotSent, err)
			return
		}
		switch {
		case a.exchange(c):
			return
		case a.superseded.Load():
			a.end(vrevent.AttemptSuperseded, nil)
			return
		case a.handler.request.Context().Err() != nil:
			a.end(vrevent.AttemptCallerGone, errUnreadBeforeRequest)
			return
		case !c.used:
			a.end(vrevent.AttemptNotSent, errUnreadBeforeRequest)
			return
		}
	}
}

// exchange sends the request on a connection and forwards the response. It returns false, with nothing
// written, if bytes or the end of the connection are there before: they can't be an answer to the request.
func (a *sendAttempt) exchange(c *conn) (sent bool) {
	c.requests = append(c.requests, hashRequestID(a.handler.call.Request))
	a.conn.Store(c)
	stop := context.AfterFunc(a.handler.request.Context(), func() {
		if !a.answerRead.Load() {
			_ = c.SetDeadline(_past)
		}
	})
	defer func() {
		clientConnected := stop()
		canReuse := a.reusable && a.strays == 0 && clientConnected
		if !a.isBodyWritten() && a.finishBody(c, canReuse) {
			return
		}
		if canReuse && a.isBodyWritten() {
			// Once the connection is in the pool, it may carry another request, which must not be aborted.
			a.handler.endAttempt(a)
			if !a.superseded.Load() {
				a.handler.proxy.pool.put(c)
				return
			}
		}
		_ = c.Close()
	}()
	a.watchStalls()
	defer a.watch.stop()
	a.setDeadline(a.readDeadline())
	body, ok := a.handler.body.content()
	if !ok {
		a.end(vrevent.AttemptNotSent, errBodyReleased)
		return true
	}
	message, err := a.requestHead()
	if err != nil {
		a.fail(err)
		return true
	}
	if c.HasUnread() {
		return false
	}
	if !a.isAuthorized() {
		a.end(vrevent.AttemptUnauthorized, errProofExpired)
		return true
	}
	writeErr := a.writeRequest(message, body)
	// The body is read to the end, or the connection is closed.
	response, info, err := a.readResponseHead() //nolint:bodyclose // see above
	if err != nil {
		if writeErr != nil {
			err = writeErr
		}
		a.fail(err)
		return true
	}
	a.reportLeaving(&info)
	a.reportLoad(&info)
	a.timeToFirstByte = time.Since(a.startedAt)
	a.result.Status, a.result.Load = response.StatusCode, info.Load
	c.maxIdle = maxIdleFromKeepAlive(response.Header.Get("Keep-Alive"))
	a.handleResponse(response, info)
	return true
}

// reportLeaving tells the reducer if the server states that it leaves. It is called as soon as the head of
// the answer was read, because a stream may go on for minutes.
func (a *sendAttempt) reportLeaving(info *vrdialect.ResponseInfo) {
	if info.Leaving && !info.OtherServer {
		a.handler.proxy.opts.Submit(vrevent.ServerLeaving{Server: a.send.Server, Born: a.send.Born})
	}
}

// reportLoad passes the load that the server states to the reducer, also with a refusal. The end of a stream
// would be seconds too late.
func (a *sendAttempt) reportLoad(info *vrdialect.ResponseInfo) {
	if info.Load != nil && !info.OtherServer {
		a.handler.proxy.opts.Submit(vrevent.LoadReported{Server: a.send.Server, Born: a.send.Born, Load: *info.Load})
	}
}

// abort makes the reads and writes of the send fail.
func (a *sendAttempt) abort() {
	if c := a.conn.Load(); c != nil {
		_ = c.SetDeadline(_past)
	}
}

// readDeadline returns the deadline for the next part of the response.
func (a *sendAttempt) readDeadline() time.Time {
	if a.send.BeginDeadline.IsZero() || a.partForwarded || a.begun {
		return a.send.Deadline
	}
	return earlier(a.send.BeginDeadline, a.send.Deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// setDeadline sets the deadline of reads and writes on the connection to the server.
func (a *sendAttempt) setDeadline(deadline time.Time) {
	remaining := deadline.Sub(a.handler.proxy.opts.Clock.Now())
	c := a.conn.Load()
	_ = c.SetDeadline(time.Now().Add(remaining))
	// The client may have disconnected, or another send have superseded this one, before the deadline
	// was set, which overwrites the one that aborts the send.
	if a.handler.request.Context().Err() != nil || a.handler.proxy.sendsAborted.Load() || a.superseded.Load() {
		_ = c.SetDeadline(_past)
	}
}

// fail ends a send whose request the server may have run.
func (a *sendAttempt) fail(err error) {
	c := a.conn.Load()
	switch {
	case a.superseded.Load():
		a.end(vrevent.AttemptSuperseded, err)
	case a.handler.request.Context().Err() != nil:
		a.end(vrevent.AttemptCallerGone, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.handler.proxy.pool.closeIdle(c.backend)
		a.end(vrevent.AttemptTimedOut, err)
	default:
		if c.used {
			a.handler.proxy.pool.closeIdle(c.backend)
		}
		if !a.answerReported && len(a.handler.call.PromptParts) > 0 {
			a.result.ServerDown = c.backend.refusesConnections()
		}
		a.end(vrevent.AttemptBroken, err)
	}
}

// end sets the result of the send.
func (a *sendAttempt) end(result vrevent.AttemptResult, err error) {
	a.result.Result = result
	a.answered = result == vrevent.AttemptAnswered
	if err != nil {
		a.result.Detail = err.Error()
	}
}

// requestHead returns the request's head.
func (a *sendAttempt) requestHead() (*bytes.Buffer, error) {
	message := &bytes.Buffer{}
	r := a.handler.request
	fmt.Fprintf(message, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	header := a.requestHeader()
	if size := a.handler.body.size; size > 0 || r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		header["Content-Length"] = []string{itoa(size)}
	}
	if err := header.Write(message); err != nil {
		return nil, err
	}
	message.WriteString("\r\n")
	return message, nil
}

// requestHeader returns the headers for the server: the client's without hop-by-hop and reserved
// headers, and the gateway's own.
func (a *sendAttempt) requestHeader() http.Header {
	dialect := a.handler.proxy.opts.Dialect
	header := make(http.Header, len(a.handler.request.Header)+4)
	for name, values := range a.handler.request.Header {
		if !isHopByHop(name) && !dialect.IsReserved(name) && !a.isListedInConnection(name) {
			header[name] = values
		}
	}
	delete(header, "Content-Length")
	delete(header, "Expect")
	info := vrdialect.RequestInfo{
		Server: a.send.Server, Remaining: a.send.Deadline.Sub(a.handler.proxy.opts.Clock.Now()), Priority: a.send.Priority,
		Reservation: a.send.Reservation, HasTenants: a.send.HasTenants, Tenant: a.send.Tenant,
	}
	if a.send.Resume {
		info.LastEvent = a.lastEventID
	}
	dialect.SetRequestHeaders(header, info)
	return header
}

// isListedInConnection reports whether the client's Connection header lists a header, which
// makes it a hop-by-hop header.
func (a *sendAttempt) isListedInConnection(name string) bool {
	for _, value := range a.handler.request.Header["Connection"] {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

var _hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// isHopByHop reports whether a header applies only to a single connection.
func isHopByHop(name string) bool { return _hopByHopHeaders[name] }

// readResponseHead reads the head of the response to this request. It skips interim responses
// and up to maxStrayResponses late responses to earlier requests.
func (a *sendAttempt) readResponseHead() (*http.Response, vrdialect.ResponseInfo, error) {
	c := a.conn.Load()
	source := c.source
	source.beginHead(a.handler.proxy.opts.MaxResponseHead)
	defer source.endHead()
	for {
		response, err := http.ReadResponse(c.reader, a.handler.request)
		if source.exceeded() {
			// The error of http.ReadResponse may hide that of the reader.
			return nil, vrdialect.ResponseInfo{}, &HeadTooLargeError{Limit: source.limit}
		}
		if err != nil {
			return nil, vrdialect.ResponseInfo{}, unexpectedEOF(err)
		}
		final, err := checkStatus(response.StatusCode)
		if err != nil {
			return nil, vrdialect.ResponseInfo{}, err
		}
		if !final {
			continue
		}
		info := a.handler.proxy.opts.Dialect.ParseResponse(response.StatusCode, response.Header, a.send.Server)
		if a.answersRequest(&info) {
			return response, info, nil
		}
		a.strays++
		if a.strays > maxStrayResponses {
			return nil, info, &StrayResponseError{Want: string(a.handler.call.Request), Got: string(info.Request)}
		}
		source.endHead()
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedResponse))
		if err != nil {
			return nil, info, err
		}
		if skipped >= maxBufferedResponse {
			// The rest of this body must not be taken for the next response.
			return nil, info, &StrayResponseError{Want: string(a.handler.call.Request), Got: string(info.Request)}
		}
		source.beginHead(a.handler.proxy.opts.MaxResponseHead)
	}
}

// answersRequest reports whether a response belongs to this request. A rejection without a request
// id is accepted only on a connection that carried no other request, because elsewhere it may be a
// late copy of the rejection of an earlier one.
func (a *sendAttempt) answersRequest(info *vrdialect.ResponseInfo) bool {
	if info.Request == a.handler.call.Request {
		return true
	}
	return info.Request == "" && info.NotRun && !a.conn.Load().used && a.strays == 0
}

// unexpectedEOF makes a connection that ended before the response an error other than io.EOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// handleResponse forwards a response, holds it back, or ends the send by what it says about
// the request.
func (a *sendAttempt) handleResponse(response *http.Response, info vrdialect.ResponseInfo) {
	if info.NotRun {
		a.handleRefusal(response, info)
		return
	}
	success := response.StatusCode < http.StatusMultipleChoices
	partForwarded, format := a.handler.forwardedPart()
	if partForwarded && (!a.send.Stream || format == nil) {
		// The body of another response must not follow the part that was forwarded.
		a.end(vrevent.AttemptBroken, &ResumeError{Status: response.StatusCode})
		return
	}
	if success && !info.Signed {
		a.end(vrevent.AttemptBroken, &UnsignedError{Status: response.StatusCode})
		return
	}
	if partForwarded && !success {
		// The client has already received the header of a successful stream.
		a.reusable = a.drain(response) == nil && allowsReuse(response)
		a.end(vrevent.AttemptBroken, &ResumeError{Status: response.StatusCode})
		return
	}
	if partForwarded && formatOf(response) != *format {
		// The client would take this body for a part of its stream.
		a.end(vrevent.AttemptBroken, &ResumeError{Status: response.StatusCode})
		return
	}
	if a.send.Stream && success {
		a.forwardStream(response)
		return
	}
	a.forwardBuffered(response)
}

// allowsReuse reports whether the connection can carry another request after the response.
func allowsReuse(response *http.Response) bool {
	return !response.Close && isFramed(response)
}

// forwardBuffered reads a response to the end and delivers it, or one of the gateway in its place.
func (a *sendAttempt) forwardBuffered(response *http.Response) {
	if status := clientStatus(a.send, response.StatusCode); status != response.StatusCode {
		a.replaceResponse(response, status)
		return
	}
	a.watch.stop()
	a.setDeadline(a.send.Deadline)
	body, whole, err := a.readBuffered(response.Body)
	if err != nil {
		a.fail(err)
		return
	}
	if !whole {
		a.forwardLarge(response, body)
		return
	}
	a.reusable = allowsReuse(response)
	a.answerRead.Store(true)
	a.deliver(&bufferedResponse{status: response.StatusCode, header: response.Header, body: body})
}

// deliver forwards a response that was read to the end, unless it is a failure that is held back.
func (a *sendAttempt) deliver(buffered *bufferedResponse) {
	if a.send.HoldErrors && buffered.status >= http.StatusInternalServerError {
		a.handler.forwardFrom(a, false, func() { a.handler.holdFailure(a, buffered) })
		a.end(vrevent.AttemptServerError, nil)
		return
	}
	forwarded := a.handler.forwardFrom(a, true, func() {
		a.releaseBody()
		a.handler.setWriteDeadline(a.send.Deadline)
		a.handler.forward(buffered)
	})
	if !forwarded {
		a.end(vrevent.AttemptSuperseded, nil)
		return
	}
	a.end(vrevent.AttemptAnswered, nil)
}

// forwardLarge forwards a response that is too large to be buffered.
func (a *sendAttempt) forwardLarge(response *http.Response, prefix []byte) {
	forwarded := a.handler.forwardFrom(a, true, func() {
		a.releaseBody()
		a.handler.setWriteDeadline(a.send.Deadline)
		a.handler.writeHeader(response.StatusCode, response.Header, int(response.ContentLength))
		if _, err := a.handler.writer.Write(prefix); err != nil {
			a.end(vrevent.AttemptCallerGone, err)
			return
		}
		if _, err := io.Copy(a.handler.writer, bufio.NewReader(response.Body)); err != nil {
			a.fail(err)
			return
		}
		a.reusable = allowsReuse(response)
		a.end(vrevent.AttemptAnswered, nil)
	})
	if !forwarded {
		a.end(vrevent.AttemptSuperseded, nil)
	}
}
