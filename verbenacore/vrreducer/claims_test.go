package vrreducer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrreducer"
	"verbenaroute.example/verbenacore/vrwire"
)

// A daemon released a claim when a late grant for an earlier run of the same daemon
// arrived, although that run may have sent the call. The key could then be claimed, and
// the call run, a second time.
func TestGrantOfEarlierRunIsNotReleased(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	s := vrreducer.New(vrreducer.Options{Daemon: "d", Boot: "b2", Zone: "z", PeerAddress: "p"})
	out := &vrevent.Effects{}
	s.Reduce(now, vrevent.Started{}, out)
	out.Reset()
	s.Reduce(now, vrevent.PeerMessage{Envelope: &vrwire.Envelope{From: "o", Boot: "b1", ClaimReply: &vrwire.ClaimReply{
		Request: "r", State: vrwire.ClaimGranted,
		Entry: &vrwire.ClaimEntry{Service: "orders", Key: "k", State: vrwire.ClaimClaimed, Daemon: "d", Boot: "b1", Request: "r"},
	}}}, out)
	require.Empty(t, out.List)
}
