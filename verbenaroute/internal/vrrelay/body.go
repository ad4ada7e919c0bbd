package vrrelay

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// maxUnreservedBody is the part of a body that takes nothing from the budget, so that small bodies need
	// no reservation.
	maxUnreservedBody = 16 << 10
	// minBodyStep and maxBodyStep limit the steps in which a body is read. Between them a step is a
	// fraction of what has arrived, so that a slow body holds little more than that.
	minBodyStep     = 16 << 10
	maxBodyStep     = 256 << 10
	bodyStepDivisor = 4
	// bodyWaitDivisor is the divisor of a request's time that gives how long its body may wait for memory.
	bodyWaitDivisor = 4
	// drainBodyTimeout limits how long the rest of a refused body is read and discarded. A connection that
	// is closed with unread bytes is reset, and a client that first writes its whole request would lose the
	// response.
	drainBodyTimeout = 5 * time.Second
	// A request that is refused for memory may come back after a time between minMemoryRetry and twice that.
	// Memory becomes free as calls end, within their few seconds.
	minMemoryRetry = time.Second
)

// errBodyReleased ends a send whose body was released because another send had brought an answer.
var errBodyReleased = errors.New("the body of the request was released")

// errBodyTooLarge reports a body that exceeds the limit, errNoBodyMemory one that found no memory in time, and
// errClientLeft one whose client left before.
var (
	errBodyTooLarge = errors.New("body exceeds the limit")
	errNoBodyMemory = errors.New("no memory for the body")
	errClientLeft   = errors.New("the client left while the body waited for memory")
)

// requestBody is the body of a request, in the pieces in which it was read. It is kept whole, so that it can be
// sent to a second server.
type requestBody struct {
	budget *bodyBudget
	// claim is the part in the budget, or nil if the body is small.
	claim *bodyClaim
	size  int
	// waited is how long the body has waited for memory.
	waited time.Duration
	// hasLeft reports whether the client has left. It may be nil.
	hasLeft func() bool

	mu       sync.Mutex
	chunks   [][]byte
	released bool
	// writers counts the sends that are writing the body. Its memory is in use until the last of them has ended,
	// and returned once it was given back.
	writers  int
	returned bool
}

// content returns the pieces of the body, unless it was released.
func (b *requestBody) content() ([][]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chunks, !b.released
}

// release returns the memory of the body to the budget once nobody writes it. The request can't be sent again.
func (b *requestBody) release() {
	b.mu.Lock()
	b.released, b.chunks = true, nil
	b.mu.Unlock()
	b.returnMemory()
}

// beginWrite records that a send writes the body, endWrite that it has ended.
func (b *requestBody) beginWrite() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writers++
}

func (b *requestBody) endWrite() {
	b.mu.Lock()
	b.writers--
	b.mu.Unlock()
	b.returnMemory()
}

// returnMemory returns the memory to the budget if the body is released and nobody writes it.
func (b *requestBody) returnMemory() {
	b.mu.Lock()
	isUnused := b.released && b.writers == 0 && !b.returned
	b.returned = b.returned || isUnused
	b.mu.Unlock()
	if isUnused && b.claim != nil {
		b.budget.release(b.claim)
	}
}

// read reads a body of up to limit bytes, whose length is negative if it isn't declared. Memory is taken only
// once bytes have arrived for it; until then they stay with the kernel.
func (b *requestBody) read(source io.Reader, length, limit int64, maxWait time.Duration) error {
	end := limit
	if length >= 0 {
		end = length
	}
	if length > maxUnreservedBody {
		// A body that is known to be large waits unread for its place in the order. A client that asked whether
		// it may send its body isn't told to.
		if err := b.reserve(0, end-maxUnreservedBody, maxWait); err != nil {
			return err
		}
	}
	for {
		var first [1]byte
		n, err := readFull(source, first[:])
		if n == 0 {
			if errors.Is(err, io.EOF) {
				b.complete()
				return nil
			}
			return err
		}
		if int64(b.size) >= limit {
			return errBodyTooLarge
		}
		size := b.nextStep(end)
		if b.size > 0 {
			if err := b.reserve(size, end-maxUnreservedBody, maxWait); err != nil {
				return err
			}
		}
		chunk := make([]byte, size)
		chunk[0] = first[0]
		if err == nil {
			n, err = readFull(source, chunk[1:])
			n++
		}
		b.chunks = append(b.chunks, chunk[:n])
		b.size += n
		switch {
		case errors.Is(err, io.EOF):
			b.complete()
			return nil
		case err != nil:
			return err
		}
	}
}

// nextStep returns the size of the next piece of a body that ends at end at the latest.
func (b *requestBody) nextStep(end int64) int {
	step := maxUnreservedBody
	if b.size > 0 {
		step = min(max(b.size/bodyStepDivisor, minBodyStep), maxBodyStep)
	}
	return int(min(int64(step), max(end-int64(b.size), 1)))
}

// reserve takes memory for the next piece from the budget. The body may take up to need bytes.
func (b *requestBody) reserve(size int, need int64, maxWait time.Duration) error {
	if b.claim == nil {
		b.claim = b.budget.newClaim(need)
		b.claim.hasLeft = b.hasLeft
	}
	waited, ok := b.budget.take(b.claim, int64(size), maxWait-b.waited)
	b.waited += waited
	switch {
	case ok:
		return nil
	case b.claim.left:
		return errClientLeft
	default:
		return errNoBodyMemory
	}
}

// writeRequest writes the request's head and body. The server may have answered although it returns an error.
func (a *sendAttempt) writeRequest(message *bytes.Buffer, body [][]byte) error {
	c := a.conn.Load()
	written := make(chan error, 1)
	a.bodyWritten = written
	if a.handler.body.size < minConcurrentBody {
		for _, chunk := range body {
			message.Write(chunk)
		}
		_, err := c.Write(message.Bytes())
		written <- err
		return err
	}
	if _, err := c.Write(message.Bytes()); err != nil {
		written <- err
		return err
	}
	a.handler.body.beginWrite()
	go func() {
		defer a.handler.body.endWrite()
		var err error
		for i := 0; i < len(body) && err == nil; i++ {
			_, err = c.Write(body[i])
		}
		written <- err
	}()
	return nil
}

// isBodyWritten reports whether the whole body was written. A connection on which part of it is
// still to be written can't carry another request.
func (a *sendAttempt) isBodyWritten() bool {
	if a.bodyWritten == nil {
		return true
	}
	select {
	case err := <-a.bodyWritten:
		if err != nil {
			a.bodyWritten <- err
			return false
		}
		a.bodyWritten = nil
		return true
	default:
		return false
	}
}

// releaseBody releases the body of the request, which is not sent again once this send has brought an answer.
func (a *sendAttempt) releaseBody() {
	if a.isBodyWritten() {
		a.handler.body.release()
	}
}

func (b *requestBody) complete() {
	if b.claim != nil {
		b.budget.complete(b.claim)
	}
}

// readFull reads until the buffer is full or the reader returns an error. Unlike io.ReadFull, it returns the
// reader's own error, which tells the end of a body from a body that broke off.
func readFull(source io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var m int
		m, err = source.Read(buffer[n:])
		n += m
	}
	return n, err
}

// readBody reads the whole body. If the body is too long or there is no memory for it, it responds and returns
// false. It shortens the time of the call by what the body has waited for memory.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, control *http.ResponseController, call *vrevent.Call, record *requestRecord) (*requestBody, bool) {
	body := &requestBody{budget: p.bodies, hasLeft: clientConnOf(r.Context()).hasLeft}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return body, true
	}
	limit := p.opts.Limits().Body
	if limit <= 0 {
		limit = defaultMaxBody
	}
	// A body that exceeds the budget would never fit.
	limit = min(limit, p.bodies.limit+maxUnreservedBody)
	if r.ContentLength > limit {
		rejectBody(w)
		return nil, false
	}
	timeout := call.Timeout
	if timeout <= 0 {
		timeout = bodyTimeout
	}
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	err := body.read(r.Body, r.ContentLength, limit, timeout/bodyWaitDivisor)
	switch {
	case errors.Is(err, errBodyTooLarge):
		body.release()
		rejectBody(w)
		return nil, false
	case errors.Is(err, errNoBodyMemory):
		body.release()
		if p.opts.OnNoMemory != nil {
			p.opts.OnNoMemory(call.Request, body.waited)
		}
		p.refuseBody(w, r, control, call, record)
		return nil, false
	case err != nil:
		// The client disconnected or stopped sending; it reads no response.
		body.release()
		record.abort(CutBodyUnread, err.Error())
		panic(http.ErrAbortHandler)
	}
	_ = control.SetReadDeadline(time.Time{})
	call.Timeout = max(call.Timeout-body.waited, 0)
	return body, true
}

// refuseBody refuses a request for whose body there is no memory. The request has not run. The rest of the body
// is read and discarded for a while before net/http half-closes the connection and, half a second later, closes
// it: a reset would destroy the response before a client that is still writing reads it.
func (p *Proxy) refuseBody(w http.ResponseWriter, r *http.Request, control *http.ResponseController, call *vrevent.Call, record *requestRecord) {
	w.Header().Set("Connection", "close")
	p.newHandler(*call, r, nil, w, record).refuse(&vrevent.RefuseCall{
		Reason: vrwire.ReasonQueueFull, NotRun: true, RetryAfter: minMemoryRetry + rand.N(minMemoryRetry),
	})
	if control.Flush() != nil {
		return
	}
	_ = control.SetReadDeadline(time.Now().Add(drainBodyTimeout))
	_, _ = io.Copy(io.Discard, r.Body)
}

// rejectBody responds with status 413 and closes the connection.
func rejectBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
}
