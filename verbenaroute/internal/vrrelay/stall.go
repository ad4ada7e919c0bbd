package vrrelay

import (
	"sync"
	"syscall"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
)

// stallRepeatFraction is the interval between two reports of the same pause, as a fraction of the
// pause after which a stream counts as stalled.
const stallRepeatFraction = 0.25

// stallWatch reports a stream of which part was forwarded and that then has no event for maxPause.
// The send goes on: the reducer ends it only once another server has a place for the request,
// because without one the server's answer is the only one that the client can get.
type stallWatch struct {
	conn     *conn
	send     int
	maxPause time.Duration
	report   func()

	mu    sync.Mutex
	timer *time.Timer
	// stalled is set from a report to the next event.
	stalled bool
	// stopped is set once the send has ended.
	stopped bool
}

// watchStalls starts the watch of a send. The first pause counts from the first forwarded part, or from
// the send and then from the head if part of the stream was forwarded before by another server.
func (a *sendAttempt) watchStalls() {
	event := vrevent.SendStalled{Call: a.send.Call, Send: a.send.Send}
	a.watch = &stallWatch{
		conn: a.conn, send: a.send.Send, maxPause: a.send.MaxPause,
		report: func() { a.handler.proxy.opts.Submit(event) },
	}
	a.handler.activeWatch.Store(a.watch)
	if a.send.Stream && a.handler.headerWritten {
		a.watch.progress()
	}
}

// progress records an event, or the first forwarded part.
func (w *stallWatch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.maxPause <= 0 || w.stopped {
		return
	}
	w.stalled = false
	if w.timer == nil {
		w.timer = time.AfterFunc(w.maxPause, w.check)
		return
	}
	w.timer.Reset(w.maxPause)
}

// check reports the stream as stalled, unless bytes of it have arrived that this process has not read:
// then not the server but this process was held up.
func (w *stallWatch) check() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	w.stalled = !w.conn.hasUnreadBytes()
	stalled := w.stalled
	w.timer.Reset(time.Duration(stallRepeatFraction * float64(w.maxPause)))
	w.mu.Unlock()
	if stalled {
		w.report()
	}
}

// abandon ends the send if the stream is still stalled.
func (w *stallWatch) abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stalled && !w.stopped && !w.conn.hasUnreadBytes() {
		_ = w.conn.SetDeadline(_past)
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

// hasUnreadBytes reports whether bytes have arrived that were not read. Unlike isUsable it may be
// called while another goroutine reads.
func (c *conn) hasUnreadBytes() bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = rawConn.Control(func(fd uintptr) {
		var probe [1]byte
		n, _, recvErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = recvErr == nil && n > 0
	})
	return err == nil && unread
}
