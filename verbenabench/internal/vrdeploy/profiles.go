package vrdeploy

import (
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Paths that the application servers serve.
const (
	PathReservations = "/reservations"
	PathOrders       = "/orders"
	PathStock        = "/stock/"
	PathOutcomes     = "/outcomes"
)

// Request kinds of the two deployments.
const (
	KindPrompt       vrid.KindID = "discussion-prompt"
	KindSummary      vrid.KindID = "chapter-summary"
	KindReserve      vrid.KindID = "reserve-copy"
	KindDigest       vrid.KindID = "overnight-digest"
	KindFitting      vrid.KindID = "fitting-assistant"
	KindConfirm      vrid.KindID = "order-confirmation"
	KindStock        vrid.KindID = "stock-lookup"
	KindPrescription vrid.KindID = "prescription-summary"
	KindCatalog      vrid.KindID = "catalog-answer"
)

// shuyuan serves reading groups. Its prompts and summaries both have the urgent rank.
func shuyuan() profile {
	return profile{
		name: Shuyuan,
		regions: []vrconfig.Region{
			{ID: "tw-north", Zones: []vrid.ZoneID{"tw-north-a"}},
			{ID: "tw-central", Zones: []vrid.ZoneID{"tw-central-a"}},
			{ID: "tw-south", Zones: []vrid.ZoneID{"tw-south-a"}},
		},
		languagePool:   "lm-serve",
		appPool:        "circle-app",
		honorsFencing:  true,
		size:           Size{Models: 65, Adapters: 75, Servers: 12, Daemons: _daemonCount},
		appServers:     3,
		loadsPerSecond: 4.5,
		families: []family{
			{name: "prompt", kind: KindPrompt, share: 4},
			{name: "summary", kind: KindSummary, share: 3},
			{name: "catalog", kind: KindCatalog, share: 1},
			{name: "digest", kind: KindDigest, share: 2},
		},
		adapterName: "circle",
		kinds: []vrconfig.Kind{
			{ID: KindPrompt, Rank: vrid.RankUrgent},
			{ID: KindSummary, Rank: vrid.RankUrgent},
			{ID: KindReserve, Rank: vrid.RankNormal},
			{ID: KindStock, Rank: vrid.RankNormal},
			{ID: KindCatalog, Rank: vrid.RankNormal},
			{ID: KindDigest, Rank: vrid.RankDeferred},
		},
		services: []vrconfig.Service{{
			ID: "circles", Pool: "circle-app", OutcomePath: PathOutcomes,
			Calls: []vrconfig.CallRule{
				{Method: "POST", Path: PathReservations, Kind: KindReserve},
				{Method: "GET", Path: PathStock, Idempotent: true, Kind: KindStock},
			},
		}},
		floors: [vrid.RankCount]float64{0.5, 0.2, 0.05},
	}
}

// hayabusa serves optician shops. Its normal and deferred ranks have larger floors than
// those of shuyuan, because nobody monitors the system after closing time.
func hayabusa() profile {
	return profile{
		name: Hayabusa,
		regions: []vrconfig.Region{
			{ID: "fukuoka", Zones: []vrid.ZoneID{"fukuoka-a"}},
			{ID: "kumamoto", Zones: []vrid.ZoneID{"kumamoto-a"}},
			{ID: "kagoshima", Zones: []vrid.ZoneID{"kagoshima-a"}},
		},
		languagePool:   "fit-assist",
		appPool:        "shop-orders",
		size:           Size{Models: 50, Adapters: 60, Servers: 9, Daemons: _daemonCount},
		appServers:     3,
		loadsPerSecond: 3.5,
		families: []family{
			{name: "fitting", kind: KindFitting, share: 6},
			{name: "catalog", kind: KindCatalog, share: 1},
			{name: "prescription", kind: KindPrescription, share: 3},
		},
		adapterName: "shop",
		kinds: []vrconfig.Kind{
			{ID: KindFitting, Rank: vrid.RankUrgent},
			{ID: KindConfirm, Rank: vrid.RankNormal},
			{ID: KindStock, Rank: vrid.RankNormal},
			{ID: KindCatalog, Rank: vrid.RankNormal},
			{ID: KindPrescription, Rank: vrid.RankDeferred},
		},
		services: []vrconfig.Service{{
			ID: "shop", Pool: "shop-orders", OutcomePath: PathOutcomes,
			Calls: []vrconfig.CallRule{
				{Method: "POST", Path: PathOrders, Kind: KindConfirm},
				{Method: "GET", Path: PathStock, Idempotent: true, Kind: KindStock},
			},
		}},
		floors: [vrid.RankCount]float64{0.4, 0.25, 0.1},
	}
}
