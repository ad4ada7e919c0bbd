package vrgateworld

import (
	"errors"
	"io"
	"syscall"

	"verbenaroute.example/verbenacore/vrconn"
	"verbenaroute.example/verbenacore/vrevent"
)

// socket is the daemon's end of a send's connection. As with a kernel's socket, only the first call after
// a reset meets it; the connection has ended for later calls.
type socket struct {
	wasReset bool
	// pending is set from a reset until a call has met it.
	pending bool
	failure vrconn.Failure
}

func (s *socket) reset() { s.wasReset, s.pending = true, true }

// call makes a call other than a read, such as a peek or a write.
func (s *socket) call() { _ = s.failure.Keep(s.takeError) }

// readEnd reads after the last byte that has arrived and returns the error.
func (s *socket) readEnd() error {
	err := s.takeError()
	if err == nil {
		err = io.EOF
	}
	return s.failure.AfterRead(err)
}

func (s *socket) takeError() error {
	if !s.pending {
		return nil
	}
	s.pending = false
	return syscall.ECONNRESET
}

// isUnframed reports whether the call's answers end with their connection.
func (c *Call) isUnframed() bool { return c.ID%2 == 0 }

// writesBody reports whether the body of the call is so long that it is written beside the read of an
// answer.
func (c *Call) writesBody() bool { return c.ID%4 == 2 }

// resetConnection resets the connection in the middle of an answer, netDelay later.
func (a *Attempt) resetConnection() {
	p := a.Call.Process
	p.world.After(netDelay, func() {
		a.socket.reset()
		p.run(func() {
			if a.Call.writesBody() {
				a.socket.call()
			}
			a.finish(a.endOfAnswer())
		})
	})
}

// endOfAnswer returns the result of a send at whose connection's end part of an answer has arrived.
func (a *Attempt) endOfAnswer() vrevent.AttemptResult {
	if err := a.socket.readEnd(); errors.Is(err, io.EOF) && a.Call.isUnframed() {
		return vrevent.AttemptAnswered
	}
	return vrevent.AttemptBroken
}
