package vrrelay

import (
	"slices"

	"verbenaroute.example/verbenacore/vrevent"
)

// runHedge carries out a send beside the one that the handler is carrying out. The handler repeats a panic,
// because net/http recovers only those of its own goroutine.
func (h *callHandler) runHedge(e *vrevent.SendCall) {
	defer func() {
		if value := recover(); value != nil {
			h.endByHedge(hedgeEnd{panicValue: value})
			h.supersedeAttempts()
		}
	}()
	result := h.send(e)
	if result == vrevent.AttemptAnswered || result == vrevent.AttemptCallerGone {
		h.endByHedge(hedgeEnd{result: result})
	}
}

func (h *callHandler) endByHedge(end hedgeEnd) {
	select {
	case h.hedgeEnded <- end:
	default:
		// Another hedge has ended the call already.
	}
}

// startAttempt adds a send to those in progress and notes what was forwarded before it. A hedge that
// was decided before the stream began, or after the handler returned, is not sent.
func (h *callHandler) startAttempt(a *sendAttempt) bool {
	h.forwardMu.Lock()
	defer h.forwardMu.Unlock()
	a.partForwarded, a.lastEventID, a.eventsBefore = h.headerWritten, h.lastEventID, h.eventCount
	h.attemptsMu.Lock()
	defer h.attemptsMu.Unlock()
	if h.closed || (a.send.Hedge && a.send.Resume != h.headerWritten) {
		return false
	}
	h.attempts = append(h.attempts, a)
	return true
}

func (h *callHandler) endAttempt(a *sendAttempt) {
	h.attemptsMu.Lock()
	defer h.attemptsMu.Unlock()
	h.attempts = slices.DeleteFunc(h.attempts, func(other *sendAttempt) bool { return other == a })
}

// forwardFrom calls write, which passes a part of the response of a send on to the client, unless another
// send has superseded this one or begun a stream of another format. A part with an event or a whole answer
// supersedes the other send. It returns false if write was not called.
func (h *callHandler) forwardFrom(a *sendAttempt, isAnswer bool, write func()) bool {
	h.forwardMu.Lock()
	defer h.forwardMu.Unlock()
	if h.closed || a.superseded.Load() || (h.stream != nil && a.format != nil && *a.format != *h.stream) {
		return false
	}
	if isAnswer {
		h.supersedeOthers(a)
	}
	write()
	return true
}

// supersedeOthers ends the sends in progress apart from one, and reports their ends before any later event
// of that one. The caller holds forwardMu.
func (h *callHandler) supersedeOthers(winner *sendAttempt) {
	h.attemptsMu.Lock()
	var ended []*sendAttempt
	for _, a := range h.attempts {
		if a != winner && a.superseded.CompareAndSwap(false, true) {
			ended = append(ended, a)
			a.abort()
		}
	}
	h.attemptsMu.Unlock()
	for _, a := range ended {
		h.proxy.opts.Submit(vrevent.SendEnded{
			Call: a.send.Call, Send: a.send.Send, Result: vrevent.AttemptSuperseded, PartForwarded: h.headerWritten, Events: h.eventCount,
		})
	}
}

// abortAttempts makes the reads and writes of all sends in progress fail.
func (h *callHandler) abortAttempts() {
	h.attemptsMu.Lock()
	defer h.attemptsMu.Unlock()
	for _, a := range h.attempts {
		a.abort()
	}
}

// supersedeAttempts ends the sends in progress. Nothing of them is forwarded from then on.
func (h *callHandler) supersedeAttempts() {
	h.attemptsMu.Lock()
	defer h.attemptsMu.Unlock()
	for _, a := range h.attempts {
		a.superseded.Store(true)
		a.abort()
	}
}

// close ends the sends that are still in progress when the handler returns. None of them writes to the
// client from then on.
func (h *callHandler) close() {
	h.supersedeAttempts()
	h.forwardMu.Lock()
	defer h.forwardMu.Unlock()
	h.closed = true
	h.proxy.buffers.release(h.heldReserved)
	h.heldReserved = 0
}

// holdFailure keeps a server's failure, and its part of the budget for buffers, in place of an earlier one.
// The caller holds forwardMu.
func (h *callHandler) holdFailure(a *sendAttempt, failure *bufferedResponse) {
	h.proxy.buffers.release(h.heldReserved)
	h.heldFailure, h.heldReserved = failure, int64(a.reserved)
	a.reserved = 0
}

// forwardedPart reports whether part of a server's response was forwarded, and the format of the stream if
// it was part of one.
func (h *callHandler) forwardedPart() (bool, *streamFormat) {
	h.forwardMu.Lock()
	defer h.forwardMu.Unlock()
	return h.headerWritten, h.stream
}
