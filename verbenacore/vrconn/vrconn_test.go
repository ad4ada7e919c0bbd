package vrconn_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrconn"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (*vrconn.Conn, *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err := listener.Accept()
	require.NoError(t, err)
	conn := vrconn.New(client)
	t.Cleanup(func() { _ = conn.Close(); _ = server.Close() })
	return conn, server.(*net.TCPConn)
}

// writeUntilError writes until the connection takes nothing more and has failed.
func writeUntilError(conn *vrconn.Conn) error {
	for {
		if _, err := conn.Write(make([]byte, 1<<20)); err != nil {
			return err
		}
	}
}

// Guards against a read that returns the end of a connection although a write or a peek has met its reset.
func TestReadReturnsFailureThatAnotherCallMet(t *testing.T) {
	for name, meet := range map[string]func(t *testing.T, conn *vrconn.Conn, reset func()){
		"write": func(t *testing.T, conn *vrconn.Conn, reset func()) {
			written := make(chan error, 1)
			go func() { written <- writeUntilError(conn) }()
			reset()
			err := <-written
			require.True(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "%v", err)
		},
		"peek": func(t *testing.T, conn *vrconn.Conn, reset func()) {
			reset()
			require.Eventually(t, conn.HasUnread, 10*time.Second, time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn, server := connect(t)
			meet(t, conn, func() {
				_ = server.SetLinger(0)
				_ = server.Close()
			})
			require.ErrorIs(t, conn.Failure(), syscall.ECONNRESET)
			_, err := conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// Guards against a whole answer that counts as cut because a write failed after the peer had closed its side.
func TestEndBeforeFailedWriteIsAnEnd(t *testing.T) {
	conn, server := connect(t)
	_, err := io.WriteString(server, "whole")
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	written := make(chan error, 1)
	go func() { written <- writeUntilError(conn) }()
	_ = server.SetLinger(0)
	_ = server.Close()
	require.ErrorIs(t, <-written, syscall.EPIPE)
	data, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "whole", string(data))
	require.NoError(t, conn.Failure())
}

// Guards against a deadline of this process that counts as a failure of the connection.
func TestDeadlineIsNoFailure(t *testing.T) {
	conn, server := connect(t)
	require.NoError(t, conn.SetDeadline(time.Now().Add(time.Millisecond)))
	require.ErrorIs(t, writeUntilError(conn), os.ErrDeadlineExceeded)
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, conn.Failure())
	require.NoError(t, conn.SetDeadline(time.Time{}))
	go func() { _, _ = io.Copy(io.Discard, server) }()
	_, err = conn.Write(make([]byte, 8<<20))
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
