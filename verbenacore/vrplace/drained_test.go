package vrplace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrplace"
	"verbenaroute.example/verbenacore/vrwire"
)

// A replica on a drained server counts towards the cap and serves nobody: the model was
// never loaded elsewhere and its requests were refused.
func TestReplicaOnDrainedServerIsReplaced(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	planner := vrplace.New(vrplace.Options{})
	planner.RecordDemand(now, vrwire.ModelDemand{Model: "m", Waiting: 1, Daemon: "d", Deadline: now.Add(time.Minute).UnixMilli()})
	server := func(id vrid.ServerID, state vrwire.ServerState, entries ...vrledger.Entry) vrledger.Snapshot {
		return vrledger.Snapshot{
			Info: vrledger.ServerInfo{ID: id, Pool: "lm", Memory: 10, Slots: 4, State: state}, Free: 10, Entries: entries,
		}
	}
	loaded := vrledger.Entry{Model: "m", Bytes: 5, State: vrwire.ReplicaLoaded}
	plan := func(replicasPerZone int) []vrledger.Action {
		return planner.Plan(now, vrplace.Input{
			Index: vrconfig.NewIndex(&vrconfig.Fleet{Models: []vrconfig.Model{
				{ID: "m", Memory: 5, ReplicasPerZone: replicasPerZone, Pool: "lm"},
			}}),
			Servers: []vrledger.Snapshot{
				server("s1", vrwire.ServerDrained, loaded), server("s2", vrwire.ServerLive),
			},
			Replicas: func(vrid.ModelID) int { return 1 }, LoadSlots: 4, AdapterSlots: 4, Zone: "z",
		})
	}
	below := plan(2)
	require.Len(t, below, 1)
	require.Equal(t, vrledger.ActionLoad, below[0].Kind)
	require.Equal(t, vrid.ServerID("s2"), below[0].Server)
	full := plan(1)
	require.Len(t, full, 1)
	require.Equal(t, vrledger.ActionUnload, full[0].Kind)
	require.Equal(t, vrid.ServerID("s1"), full[0].Server)
}

// A grant on a drained server counted towards its model's cap, so that the model was
// never loaded elsewhere (verbenabench fuzz, seed 700498).
func TestGrantOnDrainedServerIsRevoked(t *testing.T) {
	planner := vrplace.New(vrplace.Options{})
	granted := vrledger.Entry{Model: "m", Bytes: 5, State: vrwire.ReplicaGranted}
	actions := planner.Plan(time.Unix(1_790_000_000, 0), vrplace.Input{
		Index: vrconfig.NewIndex(&vrconfig.Fleet{}),
		Servers: []vrledger.Snapshot{{
			Info:    vrledger.ServerInfo{ID: "s", Pool: "lm", State: vrwire.ServerDrained},
			Entries: []vrledger.Entry{granted},
		}},
		Replicas:  func(vrid.ModelID) int { return 1 },
		Revocable: func(vrid.ServerID, vrid.ModelID) bool { return true },
	})
	require.Equal(t, []vrledger.Action{{Kind: vrledger.ActionRevoke, Server: "s", Model: "m"}}, actions)
}
