package vrreducer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

func contentOf(state vrwire.ServerState) told {
	return told{servers: map[vrid.ServerID]vrwire.ServerItem{"s": {Server: "s", Address: "a", State: state}}}
}

// A server that went before its first summary was acknowledged, or while the other zone
// changed its owner, was never named again: the other zone sent requests to it for good.
func TestGoneServerIsNamedUntilAcknowledged(t *testing.T) {
	n := newNeighbour()
	first := &vrwire.ZoneSummary{}
	n.change(first, contentOf(vrwire.ServerLive))
	require.Len(t, first.Servers, 1)
	unacknowledged := &vrwire.ZoneSummary{}
	n.change(unacknowledged, contentOf(vrwire.ServerGone))
	require.Len(t, unacknowledged.Servers, 1)

	n = newNeighbour()
	n.heard(&vrwire.ZoneSummary{Epoch: 2, Number: 1}, 1)
	toNewOwner := &vrwire.ZoneSummary{}
	n.change(toNewOwner, contentOf(vrwire.ServerGone))
	require.Len(t, toNewOwner.Servers, 1)
}
