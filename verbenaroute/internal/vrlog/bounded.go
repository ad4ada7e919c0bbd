package vrlog

import (
	"bytes"
	"io"
	"maps"
	"sync"
	"time"
)

// Limits of the queue between the loggers and the output.
const (
	// maxQueueBytes is the capacity of the queue; lines that exceed it while the output blocks
	// are dropped.
	maxQueueBytes = 1 << 20
	// batchDelay is the delay before each write, so that one write carries several lines.
	batchDelay = 20 * time.Millisecond
	// bytesPerSecond is the rate limit of the log volume. The usual traffic of a daemon in the deployments
	// known today is 50 calls a second; ten times that writes a fifth of the limit.
	bytesPerSecond = 1 << 20
	// maxDroppedKinds limits how many kinds of dropped lines have a counter of their own.
	maxDroppedKinds = 64
	// otherKind is the kind under which all further kinds and lines without a message are
	// counted.
	otherKind = "other"
)

// BoundedWriter is an output that never blocks its callers. Lines wait in a bounded queue and pass
// a rate limit; lines that don't fit are dropped and counted by kind (see Dropped). Lines above
// the info level are exempt from the rate limit and dropped only when the queue is full.
type BoundedWriter struct {
	out      io.Writer
	mu       sync.Mutex
	queue    []byte
	maxBytes int
	// rate refills the token bucket, in bytes a second. tokens is its present level in
	// bytes; it can be negative, because lines above the info level draw on it in any case.
	rate, tokens float64
	refilledAt   time.Time
	wake         chan struct{}
	done         chan struct{}
	closed       bool
	dropped      map[string]uint64
}

// NewBoundedWriter returns a BoundedWriter that writes to out in the background until Close.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	return newBounded(out, maxQueueBytes, bytesPerSecond)
}

func newBounded(out io.Writer, maxBytes int, rate float64) *BoundedWriter {
	b := &BoundedWriter{
		out: out, maxBytes: maxBytes, rate: rate, tokens: float64(maxBytes), refilledAt: time.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}), dropped: make(map[string]uint64),
	}
	go b.run()
	return b
}

// admits reports whether the queue and the rate limit allow a line, and draws its length
// from the token bucket if they do. The caller holds the lock.
func (b *BoundedWriter) admits(line []byte) bool {
	if len(b.queue)+len(line) > b.maxBytes {
		return false
	}
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate, float64(b.maxBytes))
	b.refilledAt = now
	if b.tokens < float64(len(line)) && bytes.Contains(line, []byte(_infoLevelField)) {
		return false
	}
	b.tokens -= float64(len(line))
	return true
}

// drop counts a dropped line. The caller holds the lock.
func (b *BoundedWriter) drop(line []byte) {
	kind := kindOf(line)
	if _, known := b.dropped[kind]; !known && len(b.dropped) >= maxDroppedKinds {
		kind = otherKind
	}
	b.dropped[kind]++
}

// _infoLevelField and _messageField locate the level and the message in an encoded line.
const (
	_infoLevelField = `"level":"info"`
	_messageField   = `"message":"`
)

// _kindByMessage maps each reworded message of the gateway to its kind, which is its former
// wording. Kinds are label values of a metric, so they must stay the same when a message is
// reworded.
var _kindByMessage = map[string]string{
	"server registration changed": "server seen",
	"server removed":              "server gone",
	"server ejected":              "server set aside",
	"store unavailable":           "store lost",
	"store available again":       "store back",
	"server missing from store after outage, removal deferred": "server missing after an outage",
	"catalog adopted":           "catalog in force",
	"placement owner updated":   "placement owner",
	"daemon count changed":      "daemons listed",
	"order issued":              "order",
	"required replicas changed": "model need",
	"call queued":               "wait",
	"call dispatched":           "send",
	"sending to peer failed, queued messages dropped":       "peer not reached",
	"peer TLS handshake failed":                             "peer refused",
	"peer frame rejected":                                   "peer frame refused",
	"cannot encode peer message":                            "message not encoded",
	"cannot accept peer connection":                         "peer connection not accepted",
	"cannot reload peer TLS files, using the previous ones": "peer TLS files not reloaded",
	"cannot encode lease record":                            "lease record can't be encoded",
	"cannot reload settings, using the previous ones":       "settings not reloaded",
	"cannot read server status":                             "report not read",
	"store history expired, listing again":                  "history gone",
	"invalid object ignored":                                "object ignored",
	"gateway starting":                                      "gateway starts",
	"proxy server stopped":                                  "callers' server ended",
	"gateway stopping":                                      "gateway stops",
}

// kindOf returns the kind of an encoded line: the kind of its message in _kindByMessage, or else
// the message itself.
func kindOf(line []byte) string {
	_, rest, found := bytes.Cut(line, []byte(_messageField))
	message, _, closed := bytes.Cut(rest, []byte(`"`))
	if !found || !closed {
		return otherKind
	}
	if kind, reworded := _kindByMessage[string(message)]; reworded {
		return kind
	}
	return string(message)
}

// Write queues one line or drops it. It never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	fits := b.admits(line)
	if fits {
		b.queue = append(b.queue, line...)
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

// Sync implements zapcore.WriteSyncer. It does nothing: lines are written in the background.
func (b *BoundedWriter) Sync() error { return nil }

// Dropped returns the number of dropped lines by kind. The kind of a line is its message; a
// message that has been reworded keeps its former wording as its kind.
func (b *BoundedWriter) Dropped() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.dropped)
}

// Close writes the queued lines and stops the background writer. It waits at most for the
// given timeout.
func (b *BoundedWriter) Close(timeout time.Duration) {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case <-b.done:
	case <-time.After(timeout):
	}
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	var batch []byte
	for range b.wake {
		time.Sleep(batchDelay)
		b.mu.Lock()
		batch, b.queue = b.queue, batch[:0]
		closed := b.closed
		b.mu.Unlock()
		if len(batch) > 0 {
			// The log is the only place where a failed write could be reported.
			_, _ = b.out.Write(batch)
		}
		if closed {
			return
		}
	}
}
