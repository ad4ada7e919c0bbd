package vrquota

import (
	"math"
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
)

// Bounds says by how much a tenant may exceed its quota.
type Bounds struct {
	// In each Window, Rate x Window + Burst may be exceeded by the fraction Overrun, and by Slack in the
	// unit of the quota.
	Window         time.Duration
	Overrun, Slack float64
}

const (
	// maxLife is the longest time for which granted credit may be spent. It covers the longest wait for an
	// allocator's answer twice.
	maxLife = 300 * time.Millisecond
	// minLife is the shortest one. Two daemons of different regions need 16 ms for a request and its answer.
	minLife = 100 * time.Millisecond
	// minDepth is the time in which the smallest depth of a bucket accrues. A bucket without depth could
	// never hold the cost of a request.
	minDepth = 500 * time.Millisecond
	// minRequests is the smallest depth of a bucket in requests of the default cost.
	minRequests = 2
)

// Limit is what the buckets of all allocators together grant for a quota.
type Limit struct {
	// Rate is the credit that accrues per second. It is zero if there is no limit.
	Rate float64
	// Depth is the largest credit that accrues.
	Depth float64
	// Life is the time after the request for it in which granted credit may be spent, and the time after
	// the first send of a call in which it may be sent again without new credit if it did not run.
	Life time.Duration
}

// NewLimit returns the largest limit that keeps the bounds, but at most half of the overrun above the quota.
// Calls that run in a window of length w are charged with credit that was granted in a span of w + 2 Life at
// most. In this span the buckets grant no more than Rate x (w + 2 Life) + Depth, which is at most what the
// bounds allow in w. The other half of the overrun is for daemons that differ for a time in the number of
// parts.
func NewLimit(quota vrcatalog.Quota, bounds Bounds) Limit {
	if !(quota.Rate > 0) || math.IsInf(quota.Rate, 0) {
		return Limit{}
	}
	if bounds.Window <= 0 {
		return Limit{Rate: quota.Rate, Depth: smallestDepth(quota), Life: maxLife}
	}
	window := bounds.Window.Seconds()
	allowed := (quota.Rate*window+quota.Burst)*(1+bounds.Overrun) + bounds.Slack
	depth := smallestDepth(quota)
	// A shorter life leaves more of a tight bound for the tenant.
	lifeSeconds := (allowed - quota.Rate*window - depth) / (2 * quota.Rate)
	life := min(max(seconds(lifeSeconds), minLife), maxLife)
	factor := min(1+bounds.Overrun/2, allowed/(quota.Rate*(window+2*life.Seconds())+depth))
	return Limit{Rate: quota.Rate * factor, Depth: depth * factor, Life: life}
}

// smallestDepth returns the depth of a bucket for the quota alone.
func smallestDepth(quota vrcatalog.Quota) float64 {
	return max(quota.Burst, quota.Rate*minDepth.Seconds(), minRequests*float64(max(defaultCost(quota), 1)))
}

// defaultCost returns the cost of a request that declares no tokens.
func defaultCost(quota vrcatalog.Quota) int64 {
	if quota.Unit == vrcatalog.UnitTokens {
		return quota.DefaultCost
	}
	return 1
}

// seconds returns a duration of at most a minute.
func seconds(value float64) time.Duration {
	const longest = 60
	return time.Duration(min(max(value, 0), longest) * float64(time.Second))
}
