package vrrelay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"verbenaroute.example/verbenacore/vrdialect"
	"verbenaroute.example/verbenacore/vrevent"
)

const (
	// maxDrainedBody and drainTimeout limit how much is read, and for how long, of a response
	// that is not forwarded. The call waits meanwhile, and a body may trickle without end.
	maxDrainedBody = 16 << 10
	drainTimeout   = 100 * time.Millisecond
)

// ContradictedRefusalError reports a refusal that was followed by an answer to the same request.
type ContradictedRefusalError struct{ Refusal, Answer int }

func (e *ContradictedRefusalError) Error() string {
	return fmt.Sprintf("refusal with status %d is followed by an answer with status %d to the same request", e.Refusal, e.Answer)
}

// handleRefusal ends a send whose server states that it did not run the request. A refusal that was cut proves
// nothing about a request that may run at most once.
func (a *sendAttempt) handleRefusal(response *http.Response, info vrdialect.ResponseInfo) {
	err := a.drain(response)
	if a.send.AtMostOnce && err != nil && !errors.Is(err, errDrainLimit) && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.fail(err)
		return
	}
	if err == nil {
		a.reusable = allowsReuse(response)
		status, err := a.nextAnswer()
		if err == nil && status != 0 {
			err = &ContradictedRefusalError{Refusal: response.StatusCode, Answer: status}
		}
		if err != nil {
			a.end(vrevent.AttemptBroken, err)
			return
		}
	}
	a.end(notRunResult(response.StatusCode, info), nil)
}

// nextAnswer returns the status of a response to this request that is no refusal and whose head has
// arrived behind a refusal, or zero. It returns an error for a response with an invalid status, which may be
// a broken answer to this request. The deadline of drain still applies.
func (a *sendAttempt) nextAnswer() (int, error) {
	c := a.conn.Load()
	source := c.source
	defer source.endHead()
	for c.reader.Buffered() > 0 || c.HasUnread() {
		a.reusable = false
		source.beginHead(a.handler.proxy.opts.MaxResponseHead)
		if hasInvalidStatus(c.reader) {
			return 0, errInvalidStatusBehindRefusal
		}
		response, err := http.ReadResponse(c.reader, a.handler.request) //nolint:bodyclose // the connection is closed
		if err != nil {
			return 0, nil
		}
		source.endHead()
		info := a.handler.proxy.opts.Dialect.ParseResponse(response.StatusCode, response.Header, a.send.Server)
		if response.StatusCode >= http.StatusOK && !info.NotRun && info.Request == a.handler.call.Request {
			return response.StatusCode, nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainedBody)); err != nil || n >= maxDrainedBody {
			return 0, nil
		}
	}
	return 0, nil
}

// notRunResult returns the result of a send whose server guarantees that it did not run
// the request.
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

// errDrainLimit ends the read of a response that is not forwarded and has more than maxDrainedBody bytes.
var errDrainLimit = errors.New("the rest of the response was not read")

// drain reads a response that is not forwarded to its end. It returns an error if the response breaks off, is too
// long, or takes longer than drainTimeout.
func (a *sendAttempt) drain(response *http.Response) error {
	a.watch.stop()
	a.setDeadline(earlier(a.send.Deadline, a.handler.proxy.opts.Clock.Now().Add(drainTimeout)))
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainedBody))
	if err == nil && n >= maxDrainedBody {
		return errDrainLimit
	}
	return err
}
