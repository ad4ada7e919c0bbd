package vrlease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// lapseOf returns how long a candidate waits for a holder that no longer renews.
func lapseOf(t *testing.T, suspected bool) time.Duration {
	start := time.Unix(1_790_000_000, 0)
	value, err := vrwire.Marshal(&vrlease.Record{Holder: "d1", Boot: "b1", Epoch: 1, Chunks: 1})
	require.NoError(t, err)
	lease := vrlease.New(vrlease.Options{
		Key: "leases/z", Daemon: "d2", Boot: "b2", Ops: &vrevent.Ops{}, Random: rand.New(rand.NewPCG(1, 2)),
	})
	for now := start; now.Sub(start) < time.Minute; now = now.Add(vrevent.TickInterval) {
		out := &vrevent.Effects{}
		lease.Tick(now, vrlease.Request{Observe: true, Candidate: true, Suspected: suspected}, out)
		for _, effect := range out.List {
			switch e := effect.(type) {
			case vrevent.ReadObject:
				lease.HandleRead(now, vrevent.ObjectRead{Op: e.Op, Outcome: vrplatform.OutcomeOK, Version: 7, Value: value}, out)
			case vrevent.WriteObject:
				require.EqualValues(t, 7, e.IfVersion)
				return now.Sub(start)
			}
		}
	}
	t.Fatal("the lapsed lease was not taken")
	return 0
}

// Cold requests waited for the whole lease after its holder's process had died, although
// nobody could reach it.
func TestSuspectedHolderIsReplacedSooner(t *testing.T) {
	require.GreaterOrEqual(t, lapseOf(t, false), vrlease.Duration)
	require.Less(t, lapseOf(t, true), 2*time.Second)
	require.Greater(t, lapseOf(t, true), vrlease.RenewInterval)
}
