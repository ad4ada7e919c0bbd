package vrpeer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrpeer"
)

// startInsecure starts a hub of a run of a daemon.
func startInsecure(t *testing.T, daemon vrid.DaemonID, boot vrid.BootID, listen string) *vrpeer.Hub {
	hub, err := vrpeer.Start(context.Background(), vrpeer.Options{Self: daemon, Boot: boot, Zone: "z", Listen: listen, Insecure: true})
	require.NoError(t, err)
	t.Cleanup(hub.Close)
	return hub
}

// Guards against a proof that a daemon's process has ended which comes from a path that refuses connections, from a
// suspended process, whose machine still accepts them, or from a question without an answer: only another process that
// answers at the same address is one (review case 6).
func TestOnlyAnAnswerIdentifiesAProcess(t *testing.T) {
	asker := startInsecure(t, "d1", "B9", "127.0.0.1:0")
	identify := func(address string) (vrid.DaemonID, vrid.BootID, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		return asker.Identify(ctx, "d2", address)
	}
	suspended, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := suspended.Addr().String()
	_, _, err = identify(address)
	require.Error(t, err, "nobody accepts the connection")
	require.NoError(t, suspended.Close())
	_, _, err = identify(address)
	require.Error(t, err, "refused")

	first := startInsecure(t, "d2", "B1", address)
	for range 3 {
		daemon, boot, err := identify(address)
		require.NoError(t, err)
		require.Equal(t, vrid.DaemonID("d2"), daemon)
		require.Equal(t, vrid.BootID("B1"), boot)
	}
	first.Close()
	startInsecure(t, "d2", "B2", address)
	_, boot, err := identify(address)
	require.NoError(t, err)
	require.Equal(t, vrid.BootID("B2"), boot)
}
