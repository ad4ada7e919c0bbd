package vrreducer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

func contentOf(state vrwire.ServerState) zoneContent {
	return zoneContent{servers: map[vrid.ServerID]vrwire.ServerItem{"s": {Server: "s", Address: "a", State: state}}}
}

// A server that went away before its first summary was acknowledged, or while the other
// zone changed its owner, was left out of all later summaries, so the other zone kept
// sending it requests.
func TestGoneServerIsSentUntilAcknowledged(t *testing.T) {
	z := newRemoteZone()
	first := &vrwire.ZoneSummary{}
	z.addChanges(first, contentOf(vrwire.ServerLive))
	require.Len(t, first.Servers, 1)
	unacknowledged := &vrwire.ZoneSummary{}
	z.addChanges(unacknowledged, contentOf(vrwire.ServerGone))
	require.Len(t, unacknowledged.Servers, 1)

	z = newRemoteZone()
	z.receive(&vrwire.ZoneSummary{Epoch: 2, Number: 1}, 1)
	toNewOwner := &vrwire.ZoneSummary{}
	z.addChanges(toNewOwner, contentOf(vrwire.ServerGone))
	require.Len(t, toNewOwner.Servers, 1)
}
