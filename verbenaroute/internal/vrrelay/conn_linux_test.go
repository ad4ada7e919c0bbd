package vrrelay

import (
	"bufio"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a receive window that stays limited to what the initial receive buffer gives, 64 KiB, which limits
// the throughput of a connection over a long round trip.
func TestReceiveWindowMayExceedInitialBuffer(t *testing.T) {
	const initialLimit = 64 << 10
	address := serveConns(t, func(_ int, reader *bufio.Reader, _ net.Conn) { _, _ = reader.ReadByte() })
	c, err := newPool().get(backend{server: "i-1", address: address}, "r1", false)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.Conn.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var window int
	var windowErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		window, windowErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP)
	}))
	require.NoError(t, windowErr)
	require.Greater(t, window, initialLimit)
}
