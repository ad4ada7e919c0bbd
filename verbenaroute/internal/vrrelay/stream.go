package vrrelay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
)

// maxEventBytes limits the size of one event. A longer event ends the stream.
const maxEventBytes = 1 << 20

// errEventTooLong ends a stream with an event of more than maxEventBytes.
var errEventTooLong = errors.New("stream event exceeds 1 MiB")

// errEndsInsideEvent reports a stream that was broken off, however the end of its body is marked.
var errEndsInsideEvent = fmt.Errorf("stream ends inside an event: %w", io.ErrUnexpectedEOF)

// errNoEvents reports a stream whose connection ended before its first event. Only a length or a
// last chunk tells an empty stream, or one that had no more events, from one that was broken off.
var errNoEvents = fmt.Errorf("stream ends before its first event: %w", io.ErrUnexpectedEOF)

// isFramed reports whether a response has a length or chunks. Any other response ends with its
// connection.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// streamFormat is what two responses have in common that are parts of one stream.
type streamFormat struct {
	status              int
	mediaType, encoding string
}

// formatOf returns the format of a response. Parameters of its content type don't matter.
func formatOf(response *http.Response) streamFormat {
	mediaType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return streamFormat{
		status: response.StatusCode, mediaType: strings.ToLower(strings.TrimSpace(mediaType)),
		encoding: response.Header.Get("Content-Encoding"),
	}
}

// forwardStream forwards events as they arrive. It forwards only complete events, so that
// another server can resume the stream.
func (a *sendAttempt) forwardStream(response *http.Response) {
	format := formatOf(response)
	a.format = &format
	var pending []byte
	buffer := make([]byte, readBufferSize)
	a.watch.headReceived()
	for {
		a.setDeadline(a.readDeadline())
		readStart := time.Now()
		n, err := response.Body.Read(buffer)
		if a.events > 0 && n > 0 {
			a.result.LongestPause = max(a.result.LongestPause, time.Since(readStart))
		}
		pending = append(pending, buffer[:n]...)
		complete := completeEventsLen(pending)
		if complete > 0 && !a.forwardEvents(response, pending[:complete]) {
			return
		}
		pending = append(pending[:0], pending[complete:]...)
		if len(pending) == 0 && a.reserved > 0 {
			// A large event has been forwarded.
			pending = nil
			a.releaseBuffer()
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) > 0:
			a.fail(errEndsInsideEvent)
			return
		case errors.Is(err, io.EOF) && a.events == 0 && !isFramed(response):
			a.fail(errNoEvents)
			return
		case errors.Is(err, io.EOF):
			a.finishStream(response)
			return
		case err != nil:
			a.fail(err)
			return
		case len(pending) > maxEventBytes:
			a.fail(errEventTooLong)
			return
		case !a.reserveBuffer(len(pending)):
			a.handler.proxy.buffers.eventsCut.Add(1)
			a.fail(errBuffersFull)
			return
		}
	}
}

// forwardEvents writes complete events to the client. It returns false if the send has ended: the
// client has disconnected, the events don't follow those that were forwarded, or another send has
// superseded this one.
func (a *sendAttempt) forwardEvents(response *http.Response, events []byte) bool {
	h := a.handler
	count, lastID, err := a.checkEvents(events)
	if err != nil {
		a.end(vrevent.AttemptBroken, err)
		return false
	}
	if count == 0 && a.send.Hedge && a.events == 0 {
		// A comment does not decide which of the two sends is forwarded.
		return true
	}
	forwarded := h.forwardFrom(a, count > 0, func() {
		begins := !h.headerWritten
		a.reportFirstByte(count > 0)
		if a.events == 0 {
			h.setWriteDeadline(a.send.Deadline)
		}
		if begins {
			if a.send.AtMostOnce {
				// No other server may go on with the stream.
				a.releaseBody()
			}
			h.writeHeader(response.StatusCode, response.Header, unknownLength)
			h.stream = a.format
		}
		if _, err = h.writer.Write(events); err == nil {
			err = h.control.Flush()
		}
		if err != nil {
			return
		}
		// A stream that starts with a comment has no event yet, but its first part was forwarded, which
		// ends the limit for the first event.
		if count > 0 || begins {
			a.watch.progress()
		}
		a.begun = true
		a.events += count
		h.eventCount += count
		a.lastEventID, h.lastEventID = lastID, lastID
	})
	switch {
	case !forwarded:
		a.end(vrevent.AttemptSuperseded, nil)
	case err != nil:
		a.end(vrevent.AttemptCallerGone, err)
		a.end(vrevent.AttemptCallerGone, err)
	}
	return forwarded && err == nil
}

// EventOrderError reports an event of a resumed stream that does not follow the last forwarded one. Last
// is the id of that one. An empty Got stands for an event without an id.
type EventOrderError struct{ Last, Got string }

func (e *EventOrderError) Error() string {
	return fmt.Sprintf("resumed stream has event %q after event %q", e.Got, e.Last)
}

// checkEvents returns the number of events and the last id of the stream. If another server began the
// stream, the ids must go on after the last forwarded one: a server that ignored it has started another
// run, and one that skipped the repeated events would join the pieces of two runs. An event without an id
// is taken for a part of the run once an event with an id has shown that it goes on.
func (a *sendAttempt) checkEvents(events []byte) (count int, lastID string, err error) {
	lastID = a.lastEventID
	resumed := a.eventsBefore > 0
	parseEvents(events, func(id []byte) {
		count++
		switch {
		case err != nil:
		case len(id) == 0 && resumed && !a.continued:
			err = &EventOrderError{Last: lastID}
		case len(id) == 0:
		case resumed && !isLaterID(string(id), lastID):
			err = &EventOrderError{Last: lastID, Got: string(id)}
		default:
			a.continued, lastID = true, string(id)
		}
	})
	return count, lastID, err
}

// isLaterID reports whether both ids are decimal numbers, of any length, and the first is the larger one.
func isLaterID(id, last string) bool {
	if !isNumber(id) || !isNumber(last) {
		return false
	}
	id, last = strings.TrimLeft(id, "0"), strings.TrimLeft(last, "0")
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return id > last
}

func isNumber(id string) bool {
	return id != "" && strings.Trim(id, "0123456789") == ""
}

// reportFirstByte tells the reducer of the first part of a stream and, if that was no event, of the first
// event, with which the answer begins.
func (a *sendAttempt) reportFirstByte(hasEvent bool) {
	if a.answerReported || (a.firstByteReported && !hasEvent) {
		return
	}
	if !a.firstByteReported {
		a.timeToFirstByte = time.Since(a.startedAt)
	}
	a.firstByteReported, a.answerReported = true, hasEvent
	a.handler.proxy.opts.Submit(vrevent.FirstByteReceived{
		Call: a.send.Call, Send: a.send.Send, TimeToFirstByte: a.timeToFirstByte, Answer: hasEvent,
	})
}

// finishStream ends a send whose stream was forwarded to its end.
func (a *sendAttempt) finishStream(response *http.Response) {
	h := a.handler
	forwarded := h.forwardFrom(a, true, func() {
		if !h.headerWritten {
			h.setWriteDeadline(a.send.Deadline)
			h.writeHeader(response.StatusCode, response.Header, unknownLength)
		}
	})
	if !forwarded {
		a.end(vrevent.AttemptSuperseded, nil)
		return
	}
	a.reusable = allowsReuse(response)
	a.end(vrevent.AttemptAnswered, nil)
}

// completeEventsLen returns the length of the complete events at the start of data. An empty
// line ends an event.
func completeEventsLen(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// parseEvents calls visit with the id of each event, which is empty for an event without one.
func parseEvents(data []byte, visit func(id []byte)) {
	inEvent := false
	var id []byte
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			if inEvent {
				visit(id)
			}
			inEvent, id = false, nil
			continue
		}
		if line[0] == ':' {
			// A comment, which servers send to keep a connection open, is no event.
			continue
		}
		inEvent = true
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = bytes.TrimSpace(value)
		}
	}
}
