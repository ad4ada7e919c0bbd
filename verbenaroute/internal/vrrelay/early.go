package vrrelay

import (
	"context"
	"sync"
	"time"
)

// A server may answer before it has read the whole body of a request, keep the connection and read on later. The
// client gets the answer at once, and the rest of the body is delivered beside it.

// unfinishedBodies are the connections on which the rest of a body is written after the answer.
type unfinishedBodies struct {
	mu    sync.Mutex
	conns map[*conn]bool
	// aborted is set once no body may be finished any more.
	aborted bool
	// idle is closed and replaced when the last body is finished.
	idle chan struct{}
}

// add records a connection. It returns false if no body may be finished any more.
func (u *unfinishedBodies) add(c *conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.aborted {
		return false
	}
	if len(u.conns) == 0 {
		u.conns, u.idle = make(map[*conn]bool), make(chan struct{})
	}
	u.conns[c] = true
	return true
}

func (u *unfinishedBodies) remove(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
	if len(u.conns) == 0 {
		close(u.idle)
	}
}

// abort makes the writes of all bodies fail, now and from now on.
func (u *unfinishedBodies) abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.aborted = true
	for c := range u.conns {
		_ = c.SetDeadline(_past)
	}
}

// wait waits until all bodies are finished or the context is done.
func (u *unfinishedBodies) wait(ctx context.Context) {
	u.mu.Lock()
	open, idle := len(u.conns), u.idle
	u.mu.Unlock()
	if open == 0 {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

func (u *unfinishedBodies) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// finishBody delivers the rest of the request's body on the connection of a send whose answer came before, until the
// deadline of the send. The connection then goes back to the pool or is closed. It returns false, with nothing done,
// if the body was written, failed, or belongs to a request without an answer.
func (a *sendAttempt) finishBody(c *conn, canReuse bool) bool {
	if !a.answered || a.bodyWritten == nil || c.Failure() != nil {
		return false
	}
	proxy := a.handler.proxy
	// Once the call has ended, its sends are aborted.
	a.handler.endAttempt(a)
	if a.superseded.Load() || !proxy.unfinished.add(c) {
		return false
	}
	// The client may have left since it has its answer, which does not end the request.
	_ = c.SetDeadline(time.Now().Add(a.send.Deadline.Sub(proxy.opts.Clock.Now())))
	go func() {
		defer proxy.unfinished.remove(c)
		if err := <-a.bodyWritten; err == nil && canReuse {
			proxy.pool.put(c)
			return
		}
		_ = c.Close()
	}()
	return true
}
