// Package vrconn provides connections whose end tells a peer that closed from a connection that
// failed.
//
// The kernel reports the failure of a connection, such as a reset, once: to the first call on the
// socket after it. For later calls the connection has ended, as if the peer had closed it. A Conn keeps the
// failure, whichever call met it, and returns it in place of that end.
package vrconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Conn is a connection that keeps its failure. Its methods may be called concurrently.
type Conn struct {
	net.Conn
	// raw is nil for a connection without a socket of its own.
	raw     syscall.RawConn
	failure Failure
}

// New returns a Conn for an established connection. All reads and writes have to go through it.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	if socket, ok := conn.(syscall.Conn); ok {
		// An error means that the connection is closed, which every call reports by itself.
		c.raw, _ = socket.SyscallConn()
	}
	return c
}

// Read reads from the connection. It returns io.EOF only if the peer closed the connection, and the failure
// if the connection failed before.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, c.failure.AfterRead(err)
}

// Write writes all of p unless it returns an error.
func (c *Conn) Write(p []byte) (int, error) {
	if c.raw == nil {
		return c.Conn.Write(p)
	}
	written := 0
	var writeErr error
	// net.Conn.Write would return before its error can be kept under the lock.
	err := c.raw.Write(func(fd uintptr) (done bool) {
		for written < len(p) {
			writeErr = c.failure.Keep(func() error {
				n, err := syscall.Write(int(fd), p[written:])
				written += max(n, 0)
				return err
			})
			if writeErr != nil && !errors.Is(writeErr, syscall.EINTR) {
				return !isWouldBlock(writeErr)
			}
		}
		return true
	})
	if err == nil && writeErr != nil {
		err = &net.OpError{Op: "write", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("write", writeErr)}
	}
	return written, err
}

// HasUnread reports whether bytes, the end of the connection or its failure have arrived that were not read,
// so that a read would not wait. It may be called while another goroutine reads.
func (c *Conn) HasUnread() bool {
	if c.raw == nil {
		return false
	}
	unread := false
	err := c.raw.Control(func(fd uintptr) {
		var probe [1]byte
		peekErr := c.failure.Keep(func() error {
			_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return err
		})
		unread = !isWouldBlock(peekErr)
	})
	return err == nil && unread
}

// Failure returns the failure of the connection, or nil if no call has met one.
func (c *Conn) Failure() error { return c.failure.get() }

// isFailure reports whether an error of a call means that the connection has failed. A deadline and a close
// are this process's own. EPIPE comes after a reset that another call has met, or after the peer had closed its
// side of the connection, in which case everything that it sent has arrived.
func isFailure(err error) bool {
	switch {
	case err == nil, isWouldBlock(err), errors.Is(err, syscall.EINTR), errors.Is(err, syscall.EPIPE):
		return false
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		return false
	default:
		return true
	}
}

func isWouldBlock(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
}
