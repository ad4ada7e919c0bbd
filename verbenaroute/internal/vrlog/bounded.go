package vrlog

import (
	"bytes"
	"io"
	"maps"
	"sync"
	"time"
)

// Bounds of the queue between who logs and the output.
const (
	// queueBytes waits for an output that does not take lines; what exceeds it is dropped.
	queueBytes = 1 << 20
	// drainPause gathers lines into one write.
	drainPause = 20 * time.Millisecond
	// bytesPerSecond bounds the volume over time. Ten times the usual traffic of a daemon of
	// the deployments known today, 50 calls a second, writes a fifth of it.
	bytesPerSecond = 1 << 20
	// kindsMost bounds the kinds of dropped lines that are counted apart.
	kindsMost = 64
	// otherKinds counts the kinds beyond that, and lines without a message.
	otherKinds = "other"
)

// Bounded is an output that never blocks who writes: lines wait in a bounded queue, their
// volume over time is bounded, and what does not fit is dropped and counted by kind. Lines
// above the info level are dropped by the queue alone.
type Bounded struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	most    int
	// rate is the volume in bytes a second, credit what may be written now.
	rate, credit float64
	creditAt     time.Time
	wake         chan struct{}
	done         chan struct{}
	closed       bool
	dropped      map[string]uint64
}

// NewBoundedWriter starts to write to out.
func NewBoundedWriter(out io.Writer) *Bounded { return newBounded(out, queueBytes, bytesPerSecond) }

func newBounded(out io.Writer, most int, rate float64) *Bounded {
	b := &Bounded{
		out: out, most: most, rate: rate, credit: float64(most), creditAt: time.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}), dropped: make(map[string]uint64),
	}
	go b.run()
	return b
}

// admits reports whether a line may be written now. The caller holds the lock.
func (b *Bounded) admits(line []byte) bool {
	if len(b.waiting)+len(line) > b.most {
		return false
	}
	now := time.Now()
	b.credit = min(b.credit+now.Sub(b.creditAt).Seconds()*b.rate, float64(b.most))
	b.creditAt = now
	if b.credit < float64(len(line)) && bytes.Contains(line, []byte(_infoLevel)) {
		return false
	}
	b.credit -= float64(len(line))
	return true
}

// drop counts a line that is not written. The caller holds the lock.
func (b *Bounded) drop(line []byte) {
	kind := kindOf(line)
	if _, known := b.dropped[kind]; !known && len(b.dropped) >= kindsMost {
		kind = otherKinds
	}
	b.dropped[kind]++
}

// _infoLevel and _messageField are how an encoded line says its level and its kind.
const (
	_infoLevel    = `"level":"info"`
	_messageField = `"message":"`
)

// kindOf is the message of an encoded line.
func kindOf(line []byte) string {
	_, rest, found := bytes.Cut(line, []byte(_messageField))
	message, _, closed := bytes.Cut(rest, []byte(`"`))
	if !found || !closed {
		return otherKinds
	}
	return string(message)
}

// Write queues one line or drops it.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	fits := b.admits(line)
	if fits {
		b.waiting = append(b.waiting, line...)
	} else {
		b.drop(line)
	}
	b.mu.Unlock()
	if !fits {
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

// Dropped counts the lines that were not written, by kind.
func (b *Bounded) Dropped() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.dropped)
}

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
