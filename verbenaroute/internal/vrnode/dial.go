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
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", e.Address)
	if err == nil {
		_ = conn.Close()
	}
	n.Submit(vrevent.PeerDialed{Peer: e.Peer, Boot: e.Boot, Refused: errors.Is(err, syscall.ECONNREFUSED)})
}
