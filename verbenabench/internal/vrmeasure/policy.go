package vrmeasure

import (
	"math/rand/v2"

	"verbenaroute.example/verbenacore/vradmit"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrroute"
)

const _queueRequests = 10_000

func admitOptions(policy Policy) vradmit.Options {
	return vradmit.Options{MaxRequests: _queueRequests, MaxMemory: vrid.GiB, FIFO: policy == Baseline}
}

func routeOptions(policy Policy, random *rand.Rand) vrroute.Options {
	return vrroute.Options{Random: random, LeastLoaded: policy == Baseline}
}

func benchRanks() []vrconfig.RankPolicy {
	const worth, floor, share = 10, 0.1, 0.5
	var policies []vrconfig.RankPolicy
	for _, rank := range vrid.Ranks() {
		policies = append(policies, vrconfig.RankPolicy{
			Rank: rank, Weight: worth - float64(rank), Floor: floor, CallerShare: share,
		})
	}
	return policies
}
