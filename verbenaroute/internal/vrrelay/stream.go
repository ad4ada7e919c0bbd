package vrrelay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
)

// eventMost bounds one event; a longer one ends the stream.
const eventMost = 1 << 20

// errEventTooLong ends a stream whose event has no end.
var errEventTooLong = errors.New("an event is longer than a megabyte")

// stream passes events on as they arrive. Only whole events go to the client, so that the
// stream can go on at another server.
func (a *attempt) stream(answer *http.Response) {
	a.x.limitWrites(a.send.Deadline)
	var pending []byte
	chunk := make([]byte, readSize)
	for {
		a.setDeadline(a.nextBy())
		asked := time.Now()
		n, err := answer.Body.Read(chunk)
		if a.x.events > 0 && n > 0 {
			a.result.LongestPause = max(a.result.LongestPause, time.Since(asked))
		}
		pending = append(pending, chunk[:n]...)
		whole := wholeEvents(pending)
		if errors.Is(err, io.EOF) {
			whole = len(pending)
		}
		if whole > 0 && !a.pass(answer, pending[:whole]) {
			return
		}
		pending = append(pending[:0], pending[whole:]...)
		switch {
		case errors.Is(err, io.EOF):
			a.finishStream(answer)
			return
		case err != nil:
			a.fail(err)
			return
		case len(pending) > eventMost:
			a.fail(errEventTooLong)
			return
		}
	}
}

// nextBy is when the next event has to be there.
func (a *attempt) nextBy() time.Time {
	if a.send.MaxPause <= 0 {
		return a.send.Deadline
	}
	now := a.x.front.opts.Clock.Now()
	next := now.Add(a.send.MaxPause)
	if !a.x.begun && next.Before(a.firstBy()) {
		next = a.firstBy()
	}
	if next.After(a.send.Deadline) {
		return a.send.Deadline
	}
	return next
}

// pass writes whole events to the client; false means that the client is gone.
func (a *attempt) pass(answer *http.Response, events []byte) bool {
	if !a.told {
		a.told = true
		a.first = time.Since(a.begun)
		a.x.front.opts.Submit(vrevent.FirstByteReceived{Call: a.send.Call, Send: a.send.Send, TimeToFirstByte: a.first})
	}
	if !a.x.begun {
		a.x.begin(answer.StatusCode, answer.Header, lengthUnknown)
	}
	_, err := a.x.writer.Write(events)
	if err == nil {
		err = a.x.control.Flush()
	}
	if err != nil {
		a.end(vrevent.AttemptCallerGone, err)
		return false
	}
	count, last := readEvents(events)
	a.x.events += count
	if last != "" {
		a.x.lastEvent = last
	}
	return true
}

func (a *attempt) finishStream(answer *http.Response) {
	if !a.x.begun {
		a.x.begin(answer.StatusCode, answer.Header, lengthUnknown)
	}
	a.reusable = framed(answer)
	a.end(vrevent.AttemptAnswered, nil)
}

// wholeEvents is the length of the events that are complete: each ends with an empty line.
func wholeEvents(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(data, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+4)
	}
	return end
}

// readEvents counts events and returns the last id among them.
func readEvents(data []byte) (count int, last string) {
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
		inEvent = true
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			last = string(bytes.TrimSpace(value))
		}
	}
	return count, last
}
