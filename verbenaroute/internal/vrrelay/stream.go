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
// last chunk tells an empty stream from one that was broken off.
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
	a.handler.setWriteDeadline(a.send.Deadline)
	var pending []byte
	buffer := make([]byte, readBufferSize)
	a.watch.headReceived()
	for {
		a.setDeadline(a.send.Deadline)
		readStart := time.Now()
		n, err := response.Body.Read(buffer)
		if a.handler.eventCount > 0 && n > 0 {
			a.result.LongestPause = max(a.result.LongestPause, time.Since(readStart))
		}
		pending = append(pending, buffer[:n]...)
		complete := completeEventsLen(pending)
		if complete > 0 && !a.forwardEvents(response, pending[:complete]) {
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

// forwardEvents writes complete events to the client. It returns false if the client has
// disconnected.
func (a *sendAttempt) forwardEvents(response *http.Response, events []byte) bool {
	count, lastID := parseEvents(events)
	// From the first forwarded part on, the call needs a place at another server before the send may be
	// given up. An order that was given before must not end it.
	begins := !a.handler.headerWritten
	if begins {
		a.watch.progress()
	}
	a.reportFirstByte(count > 0)
	if begins {
		a.handler.writeHeader(response.StatusCode, response.Header, unknownLength)
		format := formatOf(response)
		a.handler.stream = &format
	}
	_, err := a.handler.writer.Write(events)
	if err == nil {
		err = a.handler.control.Flush()
	}
	if err != nil {
		a.end(vrevent.AttemptCallerGone, err)
		return false
	}
	// A stream that starts with a comment has no event yet, but its first part was forwarded, which
	// ends the limit for the first event.
	if count > 0 || begins {
		a.watch.progress()
	}
	a.handler.eventCount += count
	if lastID != "" {
		a.handler.lastEventID = lastID
	}
	return true
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
