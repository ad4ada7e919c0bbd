package vrrelay

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// CutCause says why a request ended without a complete response.
type CutCause uint8

// Causes of a cut request.
const (
	// CutHeadUnread: the head of the request could not be read.
	CutHeadUnread CutCause = iota + 1
	// CutBodyUnread: the body of the request could not be read.
	CutBodyUnread
	// CutClientGone: the client closed or reset its connection.
	CutClientGone
	// CutWriteFailed: a write to the client failed.
	CutWriteFailed
	// CutWriteTimedOut: a write to the client missed the write deadline.
	CutWriteTimedOut
	// CutServerFailed: a server failed after part of its response was forwarded.
	CutServerFailed
	// CutServerTimedOut: a server was silent for too long after part of its response was forwarded.
	CutServerTimedOut
	// CutGraceEnded: the sends were aborted at the end of the grace period, after part of a
	// response was forwarded.
	CutGraceEnded
	// CutConnectionClosed: the gateway closed the client's connection while the request was in
	// progress.
	CutConnectionClosed
	// CutEffectDropped: an effect did not fit into the handler's queue.
	CutEffectDropped
	// CutHandlerPanicked: the handler panicked.
	CutHandlerPanicked
)

var _cutCauseNames = [...]string{
	CutHeadUnread: "headUnread", CutBodyUnread: "bodyUnread", CutClientGone: "clientGone",
	CutWriteFailed: "writeFailed", CutWriteTimedOut: "writeTimedOut", CutServerFailed: "serverFailed",
	CutServerTimedOut: "serverTimedOut", CutGraceEnded: "graceEnded", CutConnectionClosed: "connectionClosed",
	CutEffectDropped: "effectDropped", CutHandlerPanicked: "handlerPanicked",
}

// String returns the name that logs and metrics use.
func (c CutCause) String() string { return _cutCauseNames[c] }

// IsClientSide reports whether the client, or the path to it, cut the request.
func (c CutCause) IsClientSide() bool {
	switch c {
	case CutHeadUnread, CutBodyUnread, CutClientGone, CutWriteFailed:
		return true
	default:
		return false
	}
}

// CutRequest describes a request that ended without a complete response.
type CutRequest struct {
	// Request is empty if the head was not read.
	Request vrid.RequestID
	Cause   CutCause
	// Detail is the error behind the cause, if it is known.
	Detail string
	// Took is the time since the whole request was read. If its body or its head was not read, it
	// is the time since the head or the first byte was.
	Took time.Duration
	// Sends counts the sends of the request. Server and Result are those of the last one; Result
	// is empty if that send was still in progress.
	Sends  int
	Server vrid.ServerID
	Result string
	// ResponseBytes counts the bytes of the response that were written to the connection.
	ResponseBytes int64
	// ServedBefore counts the requests that the client's connection carried before this one.
	ServedBefore int
}

// requestRecord holds what is reported if a request is cut.
type requestRecord struct {
	onCut        func(CutRequest)
	conn         *clientConn
	request      vrid.RequestID
	servedBefore int
	// writtenBefore is the number of bytes written to the connection before the response.
	writtenBefore int64

	mu     sync.Mutex
	readAt time.Time
	sends  int
	server vrid.ServerID
	// result is that of the last send, or zero if it is in progress.
	result vrevent.AttemptResult
	// cause and detail are set before the handler aborts the request on its own.
	cause  CutCause
	detail string
	// droppedEffect is the type of the first effect that was dropped.
	droppedEffect string
	// finished is set once the handler has returned after writing a response, part of which may
	// still be buffered; reported is set once the request was reported as cut.
	finished, reported bool
}

// bodyRead restarts the time that is reported once the whole request was read.
func (r *requestRecord) bodyRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt = time.Now()
}

func (r *requestRecord) sendStarted(server vrid.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends++
	r.server, r.result = server, 0
}

func (r *requestRecord) sendEnded(result vrevent.AttemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result = result
}

func (r *requestRecord) effectDropped(effect vrevent.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.droppedEffect == "" {
		r.droppedEffect = strings.TrimPrefix(fmt.Sprintf("%T", effect), "vrevent.")
	}
}

// abort records the cause of a request that the handler is about to abort.
func (r *requestRecord) abort(cause CutCause, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cause, r.detail = cause, detail
}

// abortAfterPart records the cause of a request that is aborted after part of a response was
// forwarded: the end of its last send.
func (r *requestRecord) abortAfterPart(sendsAborted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case sendsAborted:
		r.cause = CutGraceEnded
	case r.result == vrevent.AttemptTimedOut:
		r.cause = CutServerTimedOut
	default:
		r.cause = CutServerFailed
	}
}

// end reports the request if its handler ended without a complete response. panicValue is the
// value with which the handler panicked, or nil.
func (r *requestRecord) end(panicValue any) {
	r.mu.Lock()
	cause, detail := r.causeOf(panicValue)
	r.finished = cause == 0
	r.mu.Unlock()
	if cause != 0 {
		r.report(cause, detail)
	}
}

// causeOf returns the cause and its detail, or zero if the response was written. The caller holds
// the lock.
func (r *requestRecord) causeOf(panicValue any) (CutCause, string) {
	readErr, writeErr := r.conn.ioErrors()
	err, _ := panicValue.(error)
	switch {
	case panicValue != nil && !errors.Is(err, http.ErrAbortHandler):
		return CutHandlerPanicked, fmt.Sprint(panicValue)
	case panicValue != nil && r.droppedEffect != "":
		return CutEffectDropped, r.droppedEffect
	case writeErr != nil:
		// net/http closes the connection after a failed write, so this precedes the check for a
		// closed connection.
		return causeOfWriteError(writeErr), writeErr.Error()
	case panicValue == nil:
		return 0, ""
	case r.cause != 0:
		return r.cause, r.detail
	case r.conn.closed.Load():
		return CutConnectionClosed, ""
	case readErr != nil:
		return CutClientGone, readErr.Error()
	}
	return CutClientGone, ""
}

func causeOfWriteError(err error) CutCause {
	switch {
	case errors.Is(err, net.ErrClosed):
		return CutConnectionClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return CutWriteTimedOut
	default:
		return CutWriteFailed
	}
}

// connectionClosed reports the request if the gateway has closed its connection while the handler
// was running. The process may exit before the handler notices.
func (r *requestRecord) connectionClosed() {
	r.mu.Lock()
	finished := r.finished
	r.mu.Unlock()
	if !finished && r.conn.closed.Load() {
		r.report(CutConnectionClosed, "")
	}
}

// flushFailed reports a request whose handler has returned if the rest of its response could not
// be written.
func (r *requestRecord) flushFailed(err error) {
	r.mu.Lock()
	finished := r.finished
	r.mu.Unlock()
	if finished {
		r.report(causeOfWriteError(err), err.Error())
	}
}

// report reports the request as cut, once.
func (r *requestRecord) report(cause CutCause, detail string) {
	r.mu.Lock()
	if r.reported {
		r.mu.Unlock()
		return
	}
	r.reported = true
	cut := CutRequest{
		Request: r.request, Cause: cause, Detail: detail, Took: time.Since(r.readAt), Sends: r.sends, Server: r.server,
		ResponseBytes: r.conn.written.Load() - r.writtenBefore, ServedBefore: r.servedBefore,
	}
	if r.result != 0 {
		cut.Result = r.result.String()
	}
	r.mu.Unlock()
	if r.onCut != nil {
		r.onCut(cut)
	}
}
