package vrlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the queue between who logs and the output.
const (
	// queueBytes waits for an output that does not take lines; what exceeds it is dropped.
	queueBytes = 1 << 20
	// drainPause gathers lines into one write.
	drainPause = 20 * time.Millisecond
)

// Bounded is an output that never blocks who writes: lines wait in a bounded queue, and what
// does not fit is dropped and counted.
type Bounded struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	most    int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
	dropped atomic.Uint64
}

// NewBounded starts to write to out.
func NewBounded(out io.Writer) *Bounded { return newBounded(out, queueBytes) }

func newBounded(out io.Writer, most int) *Bounded {
	b := &Bounded{out: out, most: most, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues one line or drops it.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	fits := len(b.waiting)+len(line) <= b.most
	if fits {
		b.waiting = append(b.waiting, line...)
	}
	b.mu.Unlock()
	if !fits {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written in the background.
func (b *Bounded) Sync() error { return nil }

// Dropped counts the lines that did not fit.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Close writes what waits, for at most the given time.
func (b *Bounded) Close(wait time.Duration) {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case <-b.done:
	case <-time.After(wait):
	}
}

func (b *Bounded) run() {
	defer close(b.done)
	var batch []byte
	for range b.wake {
		time.Sleep(drainPause)
		b.mu.Lock()
		batch, b.waiting = b.waiting, batch[:0]
		closed := b.closed
		b.mu.Unlock()
		if len(batch) > 0 {
			// An output that fails has no other place to say so.
			_, _ = b.out.Write(batch)
		}
		if closed {
			return
		}
	}
}
