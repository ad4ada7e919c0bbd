package vrworld

import (
	"cmp"
	"fmt"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Ids of the pools, services and kinds in the default configuration.
const (
	LanguagePool vrid.PoolID    = "lm"
	AppPool      vrid.PoolID    = "app"
	Orders       vrid.ServiceID = "orders"
	Bookings     vrid.ServiceID = "bookings"
	Stock        vrid.ServiceID = "stock"
	KindUrgent   vrid.KindID    = "prompt"
	KindNormal   vrid.KindID    = "confirm"
	KindDeferred vrid.KindID    = "digest"
)

const (
	serverMemory  = 40 * vrid.GiB
	modelMemory   = 9 * vrid.GiB
	adapterMemory = vrid.GiB
	serverSlots   = 8
	claimShards   = 4
)

// ModelName returns the id of a model in the default configuration.
func ModelName(index int) vrid.ModelID { return vrid.ModelID(fmt.Sprintf("m%03d@1", index)) }

// AdapterName returns the id of an adapter in the default configuration.
func AdapterName(index int) vrid.AdapterID { return vrid.AdapterID(fmt.Sprintf("a%03d@1", index)) }

// DefaultFleet returns a small configuration with the counts and sizes of the options.
func DefaultFleet(o Options) *vrconfig.Fleet {
	memory := cmp.Or(o.ServerMemory, serverMemory)
	fleet := &vrconfig.Fleet{
		Version:    1,
		Deployment: "world",
		Pools: []vrconfig.Pool{
			{
				ID: LanguagePool, Kind: vrconfig.KindLanguageServer, Memory: memory,
				Accelerators: 8, Slots: serverSlots, HonorsFencing: o.HonorsFencing,
			},
			{ID: AppPool, Kind: vrconfig.KindApplicationServer, Slots: 32},
		},
		Services: []vrconfig.Service{
			service(Orders, "", false), service(Bookings, "/outcomes", false), service(Stock, "", true),
		},
		Kinds: []vrconfig.Kind{
			{ID: KindUrgent, Rank: vrid.RankUrgent},
			{ID: KindNormal, Rank: vrid.RankNormal},
			{ID: KindDeferred, Rank: vrid.RankDeferred},
		},
		Ranks: []vrconfig.RankPolicy{
			rank(vrid.RankUrgent, 1500*time.Millisecond, 8*time.Second, 10, 0.3),
			rank(vrid.RankNormal, 5*time.Second, 12*time.Second, 3, 0.2),
			rank(vrid.RankDeferred, 20*time.Second, 30*time.Second, 1, 0.1),
		},
		WeightStore: vrconfig.WeightStore{Slots: 4, AdapterSlots: 32},
		CrossRegion: vrconfig.CrossRegion{BytesPerHour: vrid.GiB, UrgentOverdraft: 0.2},
		Claims:      vrconfig.Claims{Shards: claimShards, Retention: vrid.Duration(24 * time.Hour)},
		Record:      vrconfig.Record{Retention: vrid.Duration(365 * 24 * time.Hour)},
	}
	for z := range o.Zones {
		fleet.Regions = append(fleet.Regions, vrconfig.Region{
			ID: vrid.RegionID(fmt.Sprintf("r%d", z)), Zones: []vrid.ZoneID{ZoneName(z)},
		})
	}
	kinds := []vrid.KindID{KindUrgent, KindNormal, KindDeferred}
	for i := range o.Models {
		fleet.Models = append(fleet.Models, vrconfig.Model{
			ID: ModelName(i), Memory: modelMemory, LoadTime: vrid.Duration(2 * time.Second),
			ReplicasPerZone: 1 + i%2, Kind: kinds[i%len(kinds)], Pool: LanguagePool,
		})
	}
	for i := range o.Adapters {
		fleet.Adapters = append(fleet.Adapters, vrconfig.Adapter{
			ID: AdapterName(i), Base: ModelName(i % max(o.Models, 1)), Memory: adapterMemory,
		})
	}
	return fleet
}

func service(id vrid.ServiceID, outcomes string, idempotent bool) vrconfig.Service {
	return vrconfig.Service{
		ID: id, Pool: AppPool, OutcomePath: outcomes,
		Calls: []vrconfig.CallRule{{Method: "*", Path: "/", Idempotent: idempotent, Kind: KindNormal}},
	}
}

func rank(r vrid.Rank, target, deadline time.Duration, worth, floor float64) vrconfig.RankPolicy {
	return vrconfig.RankPolicy{
		Rank: r, Target: vrid.Duration(target), Deadline: vrid.Duration(deadline), Weight: worth,
		Floor: floor, Objective: 0.95, CallerShare: 1,
	}
}
