package vrmember_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrwire"
)

// newMember returns the Membership of the daemon id in a zone with the members d1, d2 and d3,
// whose owner is d1.
func newMember(now time.Time, id vrid.DaemonID) *vrmember.Membership {
	m := vrmember.New(now, vrmember.Options{
		Daemon: id, Boot: "b", Zone: "z", PeerAddress: "peer:" + string(id), Random: rand.New(rand.NewPCG(1, 1)),
	})
	m.HandleReply(now, &vrwire.HeartbeatReply{Delta: &vrwire.ViewDelta{
		Zone: "z", Owner: "d1", Epoch: 1, Sequence: 5, Members: []vrwire.MemberItem{
			{Daemon: "d1", Boot: "b", Peer: "peer:d1", State: vrwire.MemberAlive, Sequence: 1},
			{Daemon: "d2", Boot: "b", Peer: "peer:d2", State: vrwire.MemberAlive, Sequence: 2},
			{Daemon: "d3", Boot: "b", Peer: "peer:d3", State: vrwire.MemberAlive, Sequence: 3},
		},
	}})
	return m
}

// tickHeartbeat runs a tick and returns the heartbeat that it sends and its receiver, or "" and
// nil if it sends none.
func tickHeartbeat(now time.Time, m *vrmember.Membership) (vrid.DaemonID, *vrwire.Heartbeat) {
	out := &vrevent.Effects{}
	m.Tick(now, out)
	for _, effect := range out.List {
		if e, ok := effect.(vrevent.SendPeer); ok && e.Envelope.Heartbeat != nil {
			return e.Peer, e.Envelope.Heartbeat
		}
	}
	return "", nil
}

// TestUndeliveredHeartbeatIsRetried guards against demands that were lost with a heartbeat to
// a dead parent. Later demands were sent to the dead parent as well, so that the model of a
// waiting request was not loaded in time.
func TestUndeliveredHeartbeatIsRetried(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	m := newMember(now, "d2")
	m.QueueDemand(vrwire.ModelDemand{Model: "m", Waiting: 1})
	to, heartbeat := tickHeartbeat(now, m)
	require.Equal(t, vrid.DaemonID("d1"), to)
	require.Len(t, heartbeat.Demands, 1)
	m.HandlePeerUnreachable(now, "d1")
	require.True(t, m.OwnerUnreachable(now))
	to, heartbeat = tickHeartbeat(now.Add(vrevent.TickInterval), m)
	require.Equal(t, vrid.DaemonID("d3"), to)
	require.Len(t, heartbeat.Demands, 1)
}

// TestReplacedOwnerHasNoChildren guards against a new owner that kept the owner it replaced as
// a parent in the tree: other members sent their heartbeats to the dead process.
func TestReplacedOwnerHasNoChildren(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	m := newMember(now, "d2")
	m.BecomeRoot(now, 2)
	order := m.View().TreeOrder()
	require.Equal(t, []vrid.DaemonID{"d2", "d3", "d1"}, order)
}
