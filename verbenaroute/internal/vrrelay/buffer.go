package vrrelay

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxUnreservedBuffer is the part of the buffer of a response that takes nothing from the budget, so
	// that ordinary responses need no reservation.
	maxUnreservedBuffer = 16 << 10
	// reservationStep is the size in which buffers grow.
	reservationStep = 16 << 10
	// streamPartDivisor is the divisor of the budget that gives the part that only streams may take. Without
	// it, a response is forwarded as it arrives, but a stream ends.
	streamPartDivisor = 4
)

// errBuffersFull ends a stream whose event does not fit into the memory for the buffers of all responses.
var errBuffersFull = errors.New("stream event exceeds the memory that is left for responses")

// bufferBudget limits the memory that the buffers of all responses take together: many servers may send
// bodies or events without end at the same time, each of which stays below the limit of one.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
	// unbuffered counts the responses that were not read whole, eventsCut the streams that ended, for want
	// of memory.
	unbuffered, eventsCut atomic.Uint64
}

// reserve takes n bytes from the budget unless fewer are left, for other responses than streams besides the part
// of the streams.
func (b *bufferBudget) reserve(n int64, isStream bool) bool {
	limit := b.limit
	if !isStream {
		limit -= limit / streamPartDivisor
	}
	if b.used.Add(n) <= limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bufferBudget) release(n int64) { b.used.Add(-n) }

// reserveBuffer reserves memory for a buffer of the response of the given size, until the send ends. It
// returns false if the budget does not allow it.
func (a *sendAttempt) reserveBuffer(size int) bool {
	for size > maxUnreservedBuffer+a.reserved {
		if !a.handler.proxy.buffers.reserve(reservationStep, a.format != nil) {
			return false
		}
		a.reserved += reservationStep
	}
	return true
}

func (a *sendAttempt) releaseBuffer() {
	a.handler.proxy.buffers.release(int64(a.reserved))
	a.reserved = 0
}

// readBuffered reads the start of a body. The body is complete if the result is shorter than
// maxBufferedResponse and whole is set. Otherwise it is too long, or the budget allows no larger buffer.
func (a *sendAttempt) readBuffered(body io.Reader) (data []byte, whole bool, err error) {
	for len(data) < maxBufferedResponse {
		if !a.reserveBuffer(len(data) + readBufferSize) {
			a.handler.proxy.buffers.unbuffered.Add(1)
			return data, false, nil
		}
		start := len(data)
		data = append(data, make([]byte, readBufferSize)...)
		n, err := body.Read(data[start:])
		data = data[:start+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return data, false, nil
}
