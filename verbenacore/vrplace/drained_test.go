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

// TestReplicaOnDrainedServerIsReplaced guards against refused requests for a model whose only
// replica is on a drained server: the replica served no request but counted towards the cap of
// its model, so the model was never loaded on another server.
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
	belowCap := plan(2)
	require.Len(t, belowCap, 1)
	require.Equal(t, vrledger.ActionLoad, belowCap[0].Kind)
	require.Equal(t, vrid.ServerID("s2"), belowCap[0].Server)
	atCap := plan(1)
	require.Len(t, atCap, 1)
	require.Equal(t, vrledger.ActionUnload, atCap[0].Kind)
	require.Equal(t, vrid.ServerID("s1"), atCap[0].Server)
}

// TestGrantOnDrainedServerIsRevoked guards against a grant on a drained server that counted
// towards the cap of its model, so that the model was never loaded on another server
// (verbenabench fuzz, seed 700498).
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
