package vrrelay

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
)

// justNow is an idle time that is short on a machine of any speed.
const justNow = -time.Hour

// newIdlePool returns a pool with connections to one server that have been idle for the given times.
func newIdlePool(t *testing.T, idleFor ...time.Duration) (*pool, backend) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p, key := newPool(), backend{server: "s", address: listener.Addr().String()}
	var conns []*conn
	for i := range idleFor {
		c, err := p.get(key, vrid.RequestID(fmt.Sprint("first", i)), false)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		conns = append(conns, c)
	}
	for i, c := range conns {
		p.put(c)
		c.idleSince, c.maxIdle = time.Now().Add(-idleFor[i]), time.Hour
	}
	return p, key
}

func (p *pool) requireUsed(t *testing.T, key backend, atMostOnce, want bool) {
	t.Helper()
	c, err := p.get(key, "second", atMostOnce)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.Equal(t, want, c.used)
}

// Guards against new connections where idle ones could be used: a request that may run at most once closed all
// connections that were too old for it alone. It must still get none that was idle for a second.
func TestOldConnectionsAreKeptForRepeatableRequests(t *testing.T) {
	p, key := newIdlePool(t, 30*time.Minute, 1500*time.Millisecond)
	p.requireUsed(t, key, true, false)
	p.requireUsed(t, key, false, true)
	p.requireUsed(t, key, false, true)
	p.requireUsed(t, key, false, false)

	p, key = newIdlePool(t, 1500*time.Millisecond, justNow)
	p.requireUsed(t, key, true, true)
	p.requireUsed(t, key, true, false)
}

// Guards against a full pool that keeps expired connections, which no request may use, and closes new ones.
func TestExpiredConnectionsMakeWay(t *testing.T) {
	idleFor := make([]time.Duration, maxIdleConns)
	for i := range idleFor {
		idleFor[i] = 2 * time.Hour
	}
	p, key := newIdlePool(t, idleFor...)
	c, err := p.get(key, "other", true)
	require.NoError(t, err)
	require.False(t, c.used)
	require.Empty(t, p.idle[key])
	p.put(c)
	c.idleSince = time.Now().Add(-justNow)
	p.requireUsed(t, key, true, true)
}
