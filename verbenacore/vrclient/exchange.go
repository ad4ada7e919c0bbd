package vrclient

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"verbenaroute.example/verbenacore/vrevent"
)

const (
	// _maxInterimResponses is the maximum number of 1xx responses before the final one.
	_maxInterimResponses = 10
	// _identityLength is the content length that fasthttp reports for a body that is neither
	// chunked nor has a Content-Length.
	_identityLength = -2
	// _chunkedLength is the content length that fasthttp reports for a chunked body.
	_chunkedLength = -1
)

// _pastDeadline is a deadline that makes pending reads and writes fail immediately.
var _pastDeadline = time.Unix(1, 0)

var errNoLength = &ProtocolError{Part: "body", Problem: "has no length, so truncation could not be detected"}

// exchange is one request and its response on a connection.
type exchange struct {
	ctx     context.Context
	address string
	client  *fasthttp.HostClient
	conn    *trackedConn
	reader  *bufio.Reader
	// stopCtxWatch stops watching ctx. It returns false if ctx had already ended.
	stopCtxWatch func() bool
	release      func(reuse bool)
}

// openExchange takes an idle connection that is still usable, or dials a new one.
func (p *pool) openExchange(ctx context.Context, address string) (*exchange, *AttemptError) {
	entry := p.entryFor(address)
	for {
		timeout, err := timeUntilDeadline(ctx)
		if err != nil {
			return nil, &AttemptError{Address: address, Result: vrevent.AttemptNotSent, Err: err}
		}
		pooledConn, err := entry.client.AcquireConn(timeout, false)
		if err != nil {
			return nil, &AttemptError{Address: address, Result: vrevent.AttemptNotSent, Err: err}
		}
		conn := pooledConn.Conn().(*trackedConn)
		if !conn.isUsable() {
			entry.client.CloseConn(pooledConn)
			continue
		}
		conn.maybeSent = false
		discard := func() { entry.client.CloseConn(pooledConn) }
		release := func(reuse bool) {
			if !reuse {
				discard()
				return
			}
			p.releaseLater(func() { entry.client.ReleaseConn(pooledConn) }, discard)
		}
		return newExchange(ctx, entry, conn, release), nil
	}
}

func newExchange(ctx context.Context, entry *hostEntry, conn *trackedConn, release func(bool)) *exchange {
	x := &exchange{ctx: ctx, address: entry.client.Addr, client: entry.client, conn: conn, release: release}
	// This function may run late, when the connection could already serve another request.
	// close therefore reuses the connection only if the function has not been started.
	x.stopCtxWatch = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(_pastDeadline) })
	return x
}

// timeUntilDeadline returns the time until the deadline of ctx, or 0 when it has none.
func timeUntilDeadline(ctx context.Context) (time.Duration, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, nil
	}
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return 0, context.DeadlineExceeded
	}
	return remaining, nil
}

// setTimeout sets the deadline of the following reads and writes. It then checks ctx,
// because it may have overwritten the deadline that was set when ctx ended.
func (x *exchange) setTimeout(timeout time.Duration) error {
	if err := x.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return x.ctx.Err()
}

func (x *exchange) send(request *fasthttp.Request) error {
	writer := x.client.AcquireWriter(x.conn)
	defer x.client.ReleaseWriter(writer)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// receiveHeader reads the header of the final response and skips interim responses.
func (x *exchange) receiveHeader(response *fasthttp.Response) error {
	x.reader = x.client.AcquireReader(x.conn)
	for range _maxInterimResponses {
		if err := response.Header.Read(x.reader); err != nil {
			return err
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return &ProtocolError{Part: "status", Problem: "too many interim responses"}
}

// receiveBody reads a body of at most maxBytes.
func (x *exchange) receiveBody(response *fasthttp.Response, maxBytes int) error {
	status := response.StatusCode()
	if response.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	length := response.Header.ContentLength()
	if length == _identityLength {
		return errNoLength
	}
	if err := response.ReadBody(x.reader, maxBytes); err != nil {
		return err
	}
	if length == _chunkedLength {
		return response.Header.ReadTrailer(x.reader)
	}
	return nil
}

// attemptError returns an error of this exchange with its classification.
func (x *exchange) attemptError(err error) *AttemptError {
	return &AttemptError{Address: x.address, Result: x.classify(err), Err: err}
}

func (x *exchange) classify(err error) vrevent.AttemptResult {
	ctxErr := x.ctx.Err()
	var netErr net.Error
	switch {
	case !x.conn.maybeSent:
		return vrevent.AttemptNotSent
	case errors.Is(ctxErr, context.Canceled):
		return vrevent.AttemptCallerGone
	case errors.Is(ctxErr, context.DeadlineExceeded):
		return vrevent.AttemptTimedOut
	case isTimeout(err), errors.As(err, &netErr) && netErr.Timeout():
		return vrevent.AttemptTimedOut
	default:
		return vrevent.AttemptBroken
	}
}

// close returns the connection to the pool or closes it. The connection is reused only when
// the complete response was read and no data follows it, so that no response can reach
// another request.
func (x *exchange) close(complete bool) {
	reuse := x.stopCtxWatch() && complete && x.reader != nil && x.reader.Buffered() == 0
	if x.reader != nil {
		x.client.ReleaseReader(x.reader)
		x.reader = nil
	}
	if reuse {
		reuse = x.conn.SetDeadline(time.Time{}) == nil
		x.conn.used = true
	}
	x.release(reuse)
}

// roundTrip sends a request once and reads the complete response, with a body of at most
// maxBytes. Both ctx and _maxExchangeTime limit how long it takes.
func (p *pool) roundTrip(ctx context.Context, address string, request *fasthttp.Request, response *fasthttp.Response, maxBytes int) *AttemptError {
	x, attemptErr := p.openExchange(ctx, address)
	if attemptErr != nil {
		return attemptErr
	}
	err := x.transfer(request, response, maxBytes)
	if err != nil {
		attemptErr = x.attemptError(err)
	}
	x.close(err == nil && !response.ConnectionClose())
	return attemptErr
}

func (x *exchange) transfer(request *fasthttp.Request, response *fasthttp.Response, maxBytes int) error {
	if err := x.setTimeout(_maxExchangeTime); err != nil {
		return err
	}
	if err := x.send(request); err != nil {
		return err
	}
	response.SkipBody = request.Header.IsHead()
	if err := x.receiveHeader(response); err != nil {
		return err
	}
	return x.receiveBody(response, maxBytes)
}

// _maxExchangeTime limits a call whose context has no deadline or a later one.
const _maxExchangeTime = 10 * time.Minute
