package vrplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrwire"
)

// actionsForAdapter returns the plan for one waiting request of an adapter on the model
// "used".
func actionsForAdapter(t *testing.T, input Input) []vrledger.Action {
	t.Helper()
	now := testStart
	fleet := *input.Index.Fleet
	fleet.Adapters = []vrconfig.Adapter{{ID: "a", Base: "used", Memory: vrid.GiB}}
	input.Index = vrconfig.NewIndex(&fleet)
	input.AdapterSlots = 1
	p := New(Options{})
	p.RecordDemand(now, vrwire.ModelDemand{
		Model: "used", Adapter: "a", Waiting: 1, Daemon: "d", Deadline: now.Add(time.Minute).UnixMilli(),
	})
	return p.Plan(now.Add(time.Second), input)
}

// TestAdapterLoadsItsBase guards against adapter requests that waited until their deadline in
// an idle fleet (verbenabench try --deployment hayabusa, seed 1): a base model with only a grant
// counted as loaded, and a replica of the base model in another zone kept it from being loaded
// in this zone.
func TestAdapterLoadsItsBase(t *testing.T) {
	granted := vrledger.Entry{Model: "used", State: vrwire.ReplicaGranted, Bytes: 20 * vrid.GiB}
	elsewhere := grantInput()
	elsewhere.RemoteSlots = func(vrid.ModelID, vrid.Rank) int { return 8 }
	for name, input := range map[string]Input{"granted": grantInput(granted), "loaded elsewhere": elsewhere} {
		t.Run(name, func(t *testing.T) {
			actions := actionsForAdapter(t, input)
			require.NotEmpty(t, actions)
			require.Equal(t, vrledger.ActionLoad, actions[0].Kind)
			require.Equal(t, vrid.ModelID("used"), actions[0].Model)
			require.Empty(t, actions[0].Adapter)
		})
	}
}
