package vrnode

import (
	"context"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
)

// dialTimeout is the timeout of the question which process listens at a peer's address. A longer one would not
// help: the answer takes two round trips, and a silent path proves nothing.
const dialTimeout = 500 * time.Millisecond

// dialPeer finds out whether another process has taken the place of a peer's.
func (n *Node) dialPeer(e vrevent.DialPeer) {
	ctx, cancel := context.WithTimeout(n.baseCtx, dialTimeout)
	defer cancel()
	daemon, boot, err := n.peers.Identify(ctx, e.Peer, e.Address)
	n.Submit(vrevent.PeerDialed{Peer: e.Peer, Boot: e.Boot, Replaced: err == nil && (daemon != e.Peer || boot != e.Boot)})
}
