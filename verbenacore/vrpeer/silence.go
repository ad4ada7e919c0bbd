package vrpeer

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// defaultSilenceTimeout is the default of Options.SilenceTimeout.
const defaultSilenceTimeout = 2 * time.Second

// keepAliveDivisor is the divisor of Options.SilenceTimeout that gives the interval of the kernel's keep-alive
// probes. Two unanswered probes end a connection on which nothing is sent.
const keepAliveDivisor = 2

// limitSilence makes the kernel end a connection on which sent data or keep-alive probes stay without an
// acknowledgement for the timeout. A connection may go silent without a reset, and the session's own keep-alive
// would notice that only after 15 s: in a trial with 70% of the connections silent, the placement owner issued
// next to no orders for 12 s.
func limitSilence(conn net.Conn, timeout time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	// A connection without these limits still works, so errors are ignored.
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: timeout, Interval: timeout / keepAliveDivisor, Count: keepAliveDivisor})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
