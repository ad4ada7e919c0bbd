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
	"time"

	"verbenaroute.example/verbenacore/vrdialect"
	"verbenaroute.example/verbenacore/vrevent"
)

const (
	// wholeMost is the largest answer that is read to its end before any of it is passed
	// on: one that breaks off can then be asked for again, or refused.
	wholeMost = 256 << 10
	// strayMost bounds the answers to other requests that are skipped on a connection.
	strayMost = 1
	// sideBody is the size from which a body is written beside the reading of the answer,
	// because a server may answer before it has read all of it.
	sideBody = 16 << 10
	// drainMost bounds what is read of an answer that is not passed on.
	drainMost = 16 << 10
)

// StrayAnswerError says that an answer belongs to another request.
type StrayAnswerError struct{ Want, Got string }

func (e *StrayAnswerError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not %q", e.Got, e.Want)
}

// UnsignedError says that a success does not bear its server's signature.
type UnsignedError struct{ Status int }

func (e *UnsignedError) Error() string { return fmt.Sprintf("status %d without a signature", e.Status) }

// ResumeError says that a server refused to go on with a stream.
type ResumeError struct{ Status int }

func (e *ResumeError) Error() string {
	return fmt.Sprintf("status %d for a stream that goes on", e.Status)
}

// _past is a deadline that ends reads and writes at once.
var _past = time.Unix(1, 0)

// attempt is one send.
type attempt struct {
	x     *exchange
	send  *vrevent.SendCall
	conn  *conn
	begun time.Time
	first time.Duration
	// told is set once the reducer knows of the first event.
	told   bool
	result vrevent.SendEnded
	// reusable is set when the connection may serve another request.
	reusable bool
	// bodyDone is closed when a body that is written on the side is out.
	bodyDone chan error
}

// send carries out one send and says how it ended.
func (x *exchange) send(e *vrevent.SendCall) vrevent.SendEnded {
	a := &attempt{x: x, send: e, begun: time.Now()}
	a.result = vrevent.SendEnded{Call: e.Call, Send: e.Send}
	a.exchange()
	a.result.PartForwarded, a.result.Events = x.begun, x.events
	a.result.TimeToFirstByte = a.first
	return a.result
}

func (a *attempt) exchange() {
	to := backend{server: a.send.Server, address: a.send.Address}
	c, err := a.x.front.pool.get(to, a.send.AtMostOnce)
	if err != nil {
		a.end(vrevent.AttemptNotSent, err)
		return
	}
	a.conn = c
	a.x.sending.Store(c)
	defer a.x.sending.Store(nil)
	stop := context.AfterFunc(a.x.request.Context(), func() { _ = c.SetDeadline(_past) })
	defer func() {
		undisturbed := stop()
		if a.reusable && undisturbed && a.bodyOut() {
			a.x.front.pool.put(c)
			return
		}
		_ = c.Close()
	}()
	a.setDeadline(a.firstBy())
	if err := a.write(); err != nil {
		a.fail(err)
		return
	}
	// The body is read to its end, or the connection is closed.
	answer, info, err := a.readHead() //nolint:bodyclose // see above
	if err != nil {
		a.fail(err)
		return
	}
	a.first = time.Since(a.begun)
	a.result.Status, a.result.Load = answer.StatusCode, info.Load
	c.idleFor = keepAliveTime(answer.Header.Get("Keep-Alive"))
	a.take(answer, info)
}

// firstBy is when the first byte has to be there.
func (a *attempt) firstBy() time.Time {
	if a.send.FirstByteDeadline.IsZero() || a.send.FirstByteDeadline.After(a.send.Deadline) {
		return a.send.Deadline
	}
	return a.send.FirstByteDeadline
}

func (a *attempt) setDeadline(until time.Time) {
	left := until.Sub(a.x.front.opts.Clock.Now())
	_ = a.conn.SetDeadline(time.Now().Add(left))
	// The client may have left before the deadline was set.
	if a.x.request.Context().Err() != nil || a.x.front.expired.Load() {
		_ = a.conn.SetDeadline(_past)
	}
}

// fail ends a send that may have run.
func (a *attempt) fail(err error) {
	switch {
	case a.x.request.Context().Err() != nil:
		a.end(vrevent.AttemptCallerGone, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.x.front.pool.drop(a.conn.to)
		a.end(vrevent.AttemptTimedOut, err)
	default:
		if a.conn.used {
			a.x.front.pool.drop(a.conn.to)
		}
		a.end(vrevent.AttemptBroken, err)
	}
}

func (a *attempt) end(result vrevent.AttemptResult, err error) {
	a.result.Result = result
	if err != nil {
		a.result.Detail = err.Error()
	}
}

// write sends the request's head and body.
func (a *attempt) write() error {
	var head bytes.Buffer
	r := a.x.request
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	header := a.outgoing()
	if len(a.x.body) > 0 || r.ContentLength > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		header["Content-Length"] = []string{itoa(len(a.x.body))}
	}
	if err := header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if len(a.x.body) < sideBody {
		head.Write(a.x.body)
		_, err := a.conn.Write(head.Bytes())
		return err
	}
	if _, err := a.conn.Write(head.Bytes()); err != nil {
		return err
	}
	a.bodyDone = make(chan error, 1)
	go func() {
		_, err := a.conn.Write(a.x.body)
		a.bodyDone <- err
	}()
	return nil
}

// bodyOut reports whether the whole body was written; a connection on which part of it is
// due can't serve another request.
func (a *attempt) bodyOut() bool {
	if a.bodyDone == nil {
		return true
	}
	select {
	case err := <-a.bodyDone:
		return err == nil
	default:
		return false
	}
}

// outgoing are the client's headers without those of its connection, with the system's.
func (a *attempt) outgoing() http.Header {
	dialect := a.x.front.opts.Dialect
	header := make(http.Header, len(a.x.request.Header)+4)
	for name, values := range a.x.request.Header {
		if !isHopHeader(name) && !dialect.IsSystems(name) && !a.namedByConnection(name) {
			header[name] = values
		}
	}
	delete(header, "Content-Length")
	delete(header, "Expect")
	out := vrdialect.RequestInfo{
		Server: a.send.Server, Remaining: a.send.Deadline.Sub(a.x.front.opts.Clock.Now()), Priority: a.send.Priority,
	}
	if a.send.Resume {
		out.LastEvent = a.x.lastEvent
	}
	dialect.Set(header, out)
	return header
}

// namedByConnection reports whether the client's Connection header names a header.
func (a *attempt) namedByConnection(name string) bool {
	for _, value := range a.x.request.Header["Connection"] {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

var _hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

func isHopHeader(name string) bool { return _hopHeaders[name] }

// readHead reads the head of the answer to this request; it skips interim answers and one
// late answer to an earlier request.
func (a *attempt) readHead() (*http.Response, vrdialect.ResponseInfo, error) {
	stray := 0
	for {
		answer, err := http.ReadResponse(a.conn.reader, a.x.request)
		if err != nil {
			return nil, vrdialect.ResponseInfo{}, headError(err)
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		info := a.x.front.opts.Dialect.ReadAnswer(answer.StatusCode, answer.Header, a.send.Server)
		if info.Request == a.x.call.Request || (info.Request == "" && info.NotRun) {
			return answer, info, nil
		}
		if stray++; stray > strayMost {
			return nil, info, &StrayAnswerError{Want: string(a.x.call.Request), Got: string(info.Request)}
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, wholeMost)); err != nil {
			return nil, info, err
		}
		// Nothing that follows a stray answer is trusted beyond this request.
		a.conn.idleFor = 0
	}
}

func headError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// take passes an answer on, holds it back, or reads what it says of the request.
func (a *attempt) take(answer *http.Response, info vrdialect.ResponseInfo) {
	if info.NotRun {
		a.reusable = a.drain(answer)
		a.end(notRunResult(answer.StatusCode, info), nil)
		return
	}
	success := answer.StatusCode < http.StatusMultipleChoices
	if success && !info.Signed {
		a.end(vrevent.AttemptBroken, &UnsignedError{Status: answer.StatusCode})
		return
	}
	if a.x.begun && !success {
		// A stream that goes on can't turn into a failure.
		a.reusable = a.drain(answer)
		a.end(vrevent.AttemptBroken, &ResumeError{Status: answer.StatusCode})
		return
	}
	if a.send.Stream && success {
		a.stream(answer)
		return
	}
	a.whole(answer)
}

func notRunResult(status int, info vrdialect.ResponseInfo) vrevent.AttemptResult {
	switch {
	case info.OtherServer:
		return vrevent.AttemptLeaving
	case status == http.StatusMisdirectedRequest:
		return vrevent.AttemptNotLoaded
	default:
		return vrevent.AttemptBusy
	}
}

// drain reads an answer that is not passed on and reports whether it was complete.
func (a *attempt) drain(answer *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, drainMost))
	return err == nil && n < drainMost && framed(answer)
}

// framed reports whether the connection goes on after the answer.
func framed(answer *http.Response) bool {
	return !answer.Close && (answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0)
}

// whole reads an answer to its end and passes it on, unless it is a failure to be held.
func (a *attempt) whole(answer *http.Response) {
	a.setDeadline(a.send.Deadline)
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeMost))
	if err != nil {
		a.fail(err)
		return
	}
	if len(body) >= wholeMost {
		a.long(answer, body)
		return
	}
	a.reusable = framed(answer)
	full := &wholeAnswer{status: answer.StatusCode, header: answer.Header, body: body}
	if a.send.HoldErrors && answer.StatusCode >= http.StatusInternalServerError {
		a.x.held = full
		a.end(vrevent.AttemptServerError, nil)
		return
	}
	a.x.limitWrites(a.send.Deadline)
	a.x.deliver(full)
	a.end(vrevent.AttemptAnswered, nil)
}

// long passes on an answer that is too large to be held.
func (a *attempt) long(answer *http.Response, start []byte) {
	a.x.limitWrites(a.send.Deadline)
	a.x.begin(answer.StatusCode, answer.Header, int(answer.ContentLength))
	if _, err := a.x.writer.Write(start); err != nil {
		a.end(vrevent.AttemptCallerGone, err)
		return
	}
	if _, err := io.Copy(a.x.writer, bufio.NewReader(answer.Body)); err != nil {
		a.fail(err)
		return
	}
	a.reusable = framed(answer)
	a.end(vrevent.AttemptAnswered, nil)
}
