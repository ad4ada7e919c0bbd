package vrmember_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrwire"
)

// An urgent report that puts the heartbeat off instead of sending it keeps a daemon
// that polls busy servers without the view's changes for seconds, and so does a change
// that was overtaken and is not asked for.
func TestHeartbeatIsNotPutOff(t *testing.T) {
	const zone = "z"
	beats := func(out *vrevent.Effects) int {
		count := 0
		for _, effect := range out.List {
			if sent, ok := effect.(vrevent.SendPeer); ok && sent.Envelope.Heartbeat != nil {
				count++
			}
		}
		return count
	}
	tests := []struct {
		name   string
		happen func(*vrmember.Membership, time.Time)
		want   int
	}{
		{name: "nothing", happen: func(*vrmember.Membership, time.Time) {}, want: 0},
		{name: "urgent report", happen: func(m *vrmember.Membership, now time.Time) {
			m.QueueReport(now, vrwire.LoadReport{Server: "s"}, true)
		}, want: 1},
		{name: "overtaken change", happen: func(m *vrmember.Membership, _ time.Time) {
			m.HandleDelta(&vrwire.ViewDelta{Zone: zone, Owner: "owner", Epoch: 1, Base: 7, Sequence: 9})
		}, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			m := vrmember.New(now, vrmember.Options{
				Daemon: "self", Boot: "b", Zone: zone, PeerAddress: "peer:self", Random: rand.New(rand.NewPCG(1, 2)),
			})
			m.SetOwner(vrmember.Peer{Daemon: "owner", Address: "peer:owner"}, 1)
			m.HandleDelta(&vrwire.ViewDelta{Zone: zone, Owner: "owner", Epoch: 1, Sequence: 3})
			out := &vrevent.Effects{}
			m.Tick(now, out)
			require.Equal(t, 1, beats(out))
			test.happen(m, now)
			out.Reset()
			m.Tick(now.Add(vrevent.TickInterval), out)
			require.Equal(t, test.want, beats(out))
		})
	}
}
