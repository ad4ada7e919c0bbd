package vrmember_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrwire"
)

// TestDaemonOutsideViewReadsLease guards against a zone without an owner. After every member
// was replaced, the new ones answered each other's heartbeats, but none of them was in the
// view and so none of them read the lease.
func TestDaemonOutsideViewReadsLease(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	m := vrmember.New(now, vrmember.Options{
		Daemon: "d9", Boot: "b9", Zone: "z", PeerAddress: "p9", Random: rand.New(rand.NewPCG(1, 1)),
	})
	members := []vrwire.MemberItem{
		{Daemon: "d1", Boot: "b1", State: vrwire.MemberLeaving}, {Daemon: "d2", Boot: "b2", State: vrwire.MemberAlive},
	}
	m.HandleReply(now, &vrwire.HeartbeatReply{Delta: &vrwire.ViewDelta{
		Zone: "z", Owner: "d1", Epoch: 1, Sequence: 5, Members: members,
	}})
	require.True(t, m.ShouldReadLease(now.Add(time.Second)))
}
