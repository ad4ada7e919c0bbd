package vrrelay

import (
	"sync"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
)

// stallRepeatFraction is the interval between two reports of the same silence, as a fraction of the
// silence after which a send counts as stalled. minStallRepeat and maxStallRepeat bound it. The upper
// bound leaves the reducer time to act within the last half second before a client gives up.
const (
	stallRepeatFraction = 0.25
	minStallRepeat      = 50 * time.Millisecond
	maxStallRepeat      = 250 * time.Millisecond
)

// stallWatch reports a send whose server is silent for too long: until the first byte of the response,
// or between two events of a stream. The send goes on until another server has brought an answer: otherwise its
// answer is the only one that the client can get.
type stallWatch struct {
	conn     *conn
	maxPause time.Duration
	report   func(silence time.Duration)

	mu    sync.Mutex
	timer *time.Timer
	// silentSince is the time of the last event, or of the send before the first one.
	silentSince time.Time
	// limit is the silence that is allowed now, or zero, and dueAt when it ends.
	limit time.Duration
	dueAt time.Time
	// stalled is set from a report to the next event.
	stalled bool
	// stopped is set once the send has ended, or its response has no more limit.
	stopped bool
}

// watchStalls starts the watch of a send. Until the first part of the response is forwarded, the limit is
// the deadline for the first byte, or the longest pause if part of the stream was forwarded before by
// another server.
func (a *sendAttempt) watchStalls() {
	watch := &stallWatch{
		conn: a.conn.Load(), maxPause: a.send.MaxPause, silentSince: a.startedAt,
		report: func(silence time.Duration) {
			a.handler.proxy.opts.Submit(vrevent.SendStalled{Call: a.send.Call, Send: a.send.Send, Silence: silence})
		},
	}
	a.watch = watch
	limit := time.Duration(0)
	switch {
	case a.send.Stream && a.partForwarded:
		limit = a.send.MaxPause
	case !a.send.FirstByteDeadline.IsZero():
		limit = max(a.send.FirstByteDeadline.Sub(a.handler.proxy.opts.Clock.Now()), time.Millisecond)
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.arm(limit)
}

// arm sets the silence that is allowed from now on. The caller holds the lock.
func (w *stallWatch) arm(limit time.Duration) {
	w.stalled = false
	w.limit, w.dueAt = limit, time.Now().Add(limit)
	switch {
	case limit <= 0 && w.timer != nil:
		w.timer.Stop()
	case limit <= 0:
	case w.timer == nil:
		w.timer = time.AfterFunc(limit, w.expire)
	default:
		w.timer.Reset(limit)
	}
}

// progress records an event, or the first forwarded part.
func (w *stallWatch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.silentSince = time.Now()
	w.arm(w.maxPause)
}

// headReceived records the head of a stream. Its first event may take the longest pause from then on, or
// until the deadline for the first byte, whichever is later. Without a longest pause there is no limit.
func (w *stallWatch) headReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.stalled || w.maxPause <= 0 || time.Now().Add(w.maxPause).After(w.dueAt) {
		w.arm(w.maxPause)
	}
}

// expire handles the timer. An event may have come after the timer fired and before it gets the lock.
func (w *stallWatch) expire() {
	w.mu.Lock()
	due := w.limit > 0 && !time.Now().Before(w.dueAt)
	if !due {
		w.mu.Unlock()
		return
	}
	w.checkAndUnlock()
}

// check reports the send if it is stalled.
func (w *stallWatch) check() {
	w.mu.Lock()
	w.checkAndUnlock()
}

// checkAndUnlock reports the send as stalled, unless bytes of the response, or its end, have arrived that
// this process has not read: then not the server but this process was held up.
func (w *stallWatch) checkAndUnlock() {
	if w.stopped {
		w.mu.Unlock()
		return
	}
	w.stalled = !w.conn.HasUnread()
	stalled, silence := w.stalled, time.Since(w.silentSince)
	w.timer.Reset(min(max(time.Duration(stallRepeatFraction*float64(w.limit)), minStallRepeat), maxStallRepeat))
	w.mu.Unlock()
	if stalled {
		w.report(silence)
	}
}

// stop ends the watch.
func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
