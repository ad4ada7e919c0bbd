package vrworld_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// A world without faults that serves nothing would hide every fault of the reducer
// behind refusals.
func TestCalmWorldServesEveryRank(t *testing.T) {
	w := vrworld.New(vrworld.Options{Seed: 1})
	w.Advance(8 * time.Second)
	calls := []*vrworld.Call{
		w.Send(w.Daemons[0], vrevent.Request{Kind: vrworld.KindUrgent, Model: vrworld.ModelName(0), MaxTokens: 20}),
		w.Send(w.Daemons[4], vrevent.Request{Kind: vrworld.KindNormal, Model: vrworld.ModelName(1), Adapter: vrworld.AdapterName(1), MaxTokens: 20}),
		w.Send(w.Daemons[8], vrevent.Request{Kind: vrworld.KindNormal, Service: vrworld.Orders, Key: "k1", Digest: 7}),
		w.Send(w.Daemons[1], vrevent.Request{Kind: vrworld.KindNormal, Service: vrworld.Stock, Idempotent: true}),
	}
	w.Advance(15 * time.Second)
	for _, call := range calls {
		require.Equal(t, vrworld.EndAnswered, call.End, "%s %s: %s", call.Request.ID, call.Request.Model, call.Reason)
	}
}

// A run that a seed does not repeat can't be examined.
func TestSeedRepeatsRun(t *testing.T) {
	run := func() *vrworld.World {
		w := vrworld.New(vrworld.Options{Seed: 3, Trace: true})
		w.Net.Loss, w.Net.MaxExtraDelay = 0.05, 100*time.Millisecond
		for i := range 40 {
			w.Send(w.Daemons[i%len(w.Daemons)], vrevent.Request{
				Kind: vrworld.KindUrgent, Model: vrworld.ModelName(i % 5), MaxTokens: 10, Caller: vrid.CallerID("c"),
			})
			w.Advance(300 * time.Millisecond)
		}
		return w
	}
	first, second := run(), run()
	require.Equal(t, first.Lines, second.Lines)
	require.Equal(t, first.Digest, second.Digest)
}
