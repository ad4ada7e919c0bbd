package vrrelay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
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
// last chunk tells an empty stream from one that was broken off.
var errNoEvents = fmt.Errorf("stream ends before its first event: %w", io.ErrUnexpectedEOF)

// isFramed reports whether a response has a length or chunks. Any other response ends with its
// connection.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// forwardStream forwards events as they arrive. It forwards only complete events, so that
// another server can resume the stream.
func (a *sendAttempt) forwardStream(response *http.Response) {
	a.handler.setWriteDeadline(a.send.Deadline)
	var pending []byte
	buffer := make([]byte, readBufferSize)
	a.progressAt = a.handler.proxy.opts.Clock.Now()
	watch := a.watchStalls()
	defer watch.stop()
	for {
		a.setDeadline(a.readDeadline())
		readStart := time.Now()
		n, err := response.Body.Read(buffer)
		if a.handler.eventCount > 0 && n > 0 {
			a.result.LongestPause = max(a.result.LongestPause, time.Since(readStart))
		}
		pending = append(pending, buffer[:n]...)
		complete := completeEventsLen(pending)
		if complete > 0 && !a.forwardEvents(response, pending[:complete], watch) {
			return
		}
		pending = append(pending[:0], pending[complete:]...)
		switch {
		case errors.Is(err, io.EOF) && len(pending) > 0:
			a.fail(errEndsInsideEvent)
			return
		case errors.Is(err, io.EOF) && a.handler.eventCount == 0 && !isFramed(response):
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
		}
	}
}

// readDeadline returns the deadline for the next read of the stream. The longest pause counts from
// the last event, because a stalled server may still send a byte now and then. It bounds a read only
// until part of the stream is forwarded.
func (a *sendAttempt) readDeadline() time.Time {
	if a.send.MaxPause <= 0 || a.handler.headerWritten {
		return a.send.Deadline
	}
	next := a.progressAt.Add(a.send.MaxPause)
	if next.Before(a.firstByteDeadline()) {
		next = a.firstByteDeadline()
	}
	if next.After(a.send.Deadline) {
		return a.send.Deadline
	}
	return next
}

// forwardEvents writes complete events to the client. It returns false if the client has
// disconnected.
func (a *sendAttempt) forwardEvents(response *http.Response, events []byte, watch *stallWatch) bool {
	count, lastID := parseEvents(events)
	if count > 0 && !a.firstByteReported {
		a.firstByteReported = true
		a.timeToFirstByte = time.Since(a.startedAt)
		a.handler.proxy.opts.Submit(vrevent.FirstByteReceived{Call: a.send.Call, Send: a.send.Send, TimeToFirstByte: a.timeToFirstByte})
	}
	if !a.handler.headerWritten {
		a.handler.writeHeader(response.StatusCode, response.Header, unknownLength)
	}
	_, err := a.handler.writer.Write(events)
	if err == nil {
		err = a.handler.control.Flush()
	}
	if err != nil {
		a.end(vrevent.AttemptCallerGone, err)
		return false
	}
	if count > 0 {
		a.progressAt = a.handler.proxy.opts.Clock.Now()
		watch.progress()
	}
	a.handler.eventCount += count
	if lastID != "" {
		a.handler.lastEventID = lastID
	}
	return true
}

// finishStream ends a send whose stream was forwarded to its end.
func (a *sendAttempt) finishStream(response *http.Response) {
	if !a.handler.headerWritten {
		a.handler.writeHeader(response.StatusCode, response.Header, unknownLength)
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

// parseEvents returns the number of events and the last id among them.
func parseEvents(data []byte) (count int, lastID string) {
	inEvent := false
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			if inEvent {
				count++
			}
			inEvent = false
			continue
		}
		if line[0] == ':' {
			// A comment, which servers send to keep a connection open, is no event.
			continue
		}
		inEvent = true
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			lastID = string(bytes.TrimSpace(value))
		}
	}
	return count, lastID
}
