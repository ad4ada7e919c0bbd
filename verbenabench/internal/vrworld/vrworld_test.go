package vrworld_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// Requests of every rank must be answered when no fault is injected: a world that
// refuses everything would hide any fault of the reducer.
func TestFaultFreeWorldServesEveryRank(t *testing.T) {
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

// Two runs with the same seed must have the same trace and digest; otherwise a failed
// run can't be reproduced. Message loss (0.05) and extra delays make the runs random.
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
