package vrnode

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a proof that a daemon's process has ended which comes from a suspended process, whose machine
// still accepts connections, or from a dial without an answer.
func TestOnlyRefusedConnectionProvesEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.False(t, isRefused(t.Context(), address), "nobody accepts the connection")
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, isRefused(canceled, address), "no answer")
	require.NoError(t, listener.Close())
	require.True(t, isRefused(t.Context(), address))
	require.False(t, isRefused(canceled, address), "no answer")
}
