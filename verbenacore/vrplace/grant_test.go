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

func grantInput(entries ...vrledger.Entry) Input {
	free := 40 * vrid.GiB
	for i := range entries {
		free -= entries[i].Bytes
	}
	models := []vrconfig.Model{
		{ID: "used", Memory: 20 * vrid.GiB, LoadTime: vrid.Duration(time.Second), ReplicasPerZone: 1, Pool: "pool"},
		{ID: "other", Memory: 30 * vrid.GiB, LoadTime: vrid.Duration(time.Second), ReplicasPerZone: 1, Pool: "pool"},
	}
	return Input{
		Index: vrconfig.NewIndex(&vrconfig.Fleet{Models: models}),
		Servers: []vrledger.Snapshot{{
			Info: vrledger.ServerInfo{ID: "s", Pool: "pool", State: vrwire.ServerLive}, Free: free, Entries: entries,
		}},
		Replicas: func(model vrid.ModelID) int {
			count := 0
			for i := range entries {
				if entries[i].Model == model {
					count++
				}
			}
			return count
		},
		Revocable: func(vrid.ServerID, vrid.ModelID) bool { return true },
		LoadSlots: 1, Zone: "z", GrantInAdvance: true,
	}
}

func kinds(actions []vrledger.Action) []vrledger.ActionKind {
	var list []vrledger.ActionKind
	for _, action := range actions {
		list = append(list, action.Kind)
	}
	return list
}

// Without a grant nothing can be loaded in an outage; a grant that keeps its memory
// delays the loads that are needed now.
func TestGrantsUseOnlySpareMemory(t *testing.T) {
	granted := vrledger.Entry{Model: "used", State: vrwire.ReplicaGranted, Bytes: 20 * vrid.GiB}
	tests := []struct {
		name    string
		demand  vrwire.ModelDemand
		entries []vrledger.Entry
		want    []vrledger.ActionKind
	}{
		{name: "what was used", demand: vrwire.ModelDemand{Model: "used", Arrived: 3}, want: []vrledger.ActionKind{vrledger.ActionGrant}},
		{name: "nothing unused", demand: vrwire.ModelDemand{Model: "unknown", Arrived: 3}},
		{
			name: "a load takes the memory back", demand: vrwire.ModelDemand{Model: "other", Waiting: 1},
			entries: []vrledger.Entry{granted}, want: []vrledger.ActionKind{vrledger.ActionRevoke, vrledger.ActionLoad},
		},
		{
			name: "the granted model is loaded in its place", demand: vrwire.ModelDemand{Model: "used", Waiting: 1},
			entries: []vrledger.Entry{granted}, want: []vrledger.ActionKind{vrledger.ActionLoad},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := New(Options{})
			now := idleStart
			test.demand.Daemon = "d"
			test.demand.Deadline = now.Add(time.Minute).UnixMilli()
			p.RecordDemand(now, test.demand)
			require.Equal(t, test.want, kinds(p.Plan(now, grantInput(test.entries...))))
		})
	}
}
