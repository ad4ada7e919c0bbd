package vrpeer_test

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"verbenaroute.example/verbenacore/vrpeer"
)

// Guards against messages to a daemon that go on being sent on a session that has become silent, after the
// daemon has noticed that and opened another one.
func TestNewerSessionOfSameDaemonIsUsed(t *testing.T) {
	a := startNode(t, "vm-1", nil)
	openSession := func() *yamux.Session {
		session, stream := openRawSession(t, a.Address(), nil)
		_, err := stream.Write(encodedFrame(t, "vm-2"))
		require.NoError(t, err)
		receive(t, a.received)
		return session
	}
	silent, current := openSession(), openSession()
	a.Send("vm-2", "127.0.0.1:1", configFetch(7))
	accepted := make(chan *yamux.Session, 2)
	for _, session := range []*yamux.Session{silent, current} {
		go func() {
			if stream, err := session.AcceptStream(); err == nil {
				_ = stream.Close()
				accepted <- session
			}
		}()
	}
	require.Same(t, current, receive(t, accepted))
	_ = silent.Close()
	_ = current.Close()
}

// Guards against a session whose connection went silent without a reset and that is used until the keep-alive
// of the session fails, 15 s later.
func TestKernelLimitsSilence(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = dialed.Close() }()
	vrpeer.LimitSilence(dialed, 1500*time.Millisecond)
	raw, err := dialed.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	limits := make(map[int]int)
	require.NoError(t, raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
			value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
			limits[option] = value
		}
	}))
	require.Equal(t, 1500, limits[unix.TCP_USER_TIMEOUT])
	// The kernel counts in seconds, rounded up.
	require.Equal(t, []int{2, 1, 2}, []int{limits[unix.TCP_KEEPIDLE], limits[unix.TCP_KEEPINTVL], limits[unix.TCP_KEEPCNT]})
}
