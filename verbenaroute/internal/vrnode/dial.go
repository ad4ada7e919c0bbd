package vrnode

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
)

// dialTimeout is the timeout of a connection that is opened only to find out whether a peer's process runs.
// A longer one would not help: a refusal takes one round trip, and a silent path proves nothing.
const dialTimeout = 500 * time.Millisecond

// dialPeer finds out whether a peer's process has ended.
func (n *Node) dialPeer(e vrevent.DialPeer) {
	ctx, cancel := context.WithTimeout(n.baseCtx, dialTimeout)
	defer cancel()
	n.Submit(vrevent.PeerDialed{Peer: e.Peer, Boot: e.Boot, Refused: isRefused(ctx, e.Address)})
}

// isRefused opens a connection to an address and reports whether it was refused. A connection that is not
// answered, or closed once it was accepted, is not refused.
func isRefused(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
