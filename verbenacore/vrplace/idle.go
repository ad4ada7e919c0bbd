package vrplace

import (
	"math"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
)

const (
	// regularityHalfLife is the half-life of the number of separate uses.
	regularityHalfLife = 10 * time.Second
	// minUseInterval is the minimum time between two uses that count as separate; requests that
	// arrive together are one use.
	minUseInterval = 500 * time.Millisecond
	// protectThreshold is the number of recent uses from which a lower rank can't evict a
	// replica. A single burst stays below it. After regular use once a second, the number stays
	// above it for 25 s.
	protectThreshold = 2.5
)

// regularity counts separate uses, decaying by regularityHalfLife. Without it, a flood of
// requests of a lower rank would evict the loaded models of urgent requests.
type regularity struct {
	decayedUses float64
	lastUse     time.Time
}

func (r *regularity) valueAt(now time.Time) float64 {
	return r.decayedUses * exp2(-float64(now.Sub(r.lastUse))/float64(regularityHalfLife))
}

func (r *regularity) recordUse(now time.Time) {
	if !r.lastUse.IsZero() && now.Sub(r.lastUse) < minUseInterval {
		return
	}
	if !r.lastUse.IsZero() {
		r.decayedUses = r.valueAt(now)
	}
	r.decayedUses++
	r.lastUse = now
}

// protects reports whether the use is too regular for an eviction by a lower rank.
func (r *regularity) protects(now time.Time) bool {
	return !r.lastUse.IsZero() && r.valueAt(now) >= protectThreshold
}

const (
	// interarrivalBuckets is the number of histogram buckets. Their bounds are powers of two of a
	// second and reach from one second to nine hours.
	interarrivalBuckets = 16
	// interarrivalDecay is the factor by which each new interval reduces the weight of the older
	// ones, so that the histogram follows a change in the use of a model within a few dozen
	// requests.
	interarrivalDecay = 0.95
	// priorWeight is the total weight of the intervals of all models that is added to the
	// intervals of one model.
	priorWeight = 4.0
	// minKeepAlive is the minimum time for which an idle replica stays loaded, so that a pause in
	// a conversation does not cause a load. It also spans the lag of the reports of use.
	minKeepAlive = 20 * time.Second
	// maxKeepAlive is the maximum time for which an idle replica stays loaded for a rare use.
	maxKeepAlive = 30 * time.Minute
)

// coldStartWeight is how many seconds of idle memory one second of a cold start costs, by the
// rank of the requests that wait for it.
func coldStartWeight(rank vrid.Rank) float64 {
	const urgent, normal, deferred = 120, 60, 20
	switch rank {
	case vrid.RankUrgent:
		return urgent
	case vrid.RankNormal:
		return normal
	default:
		return deferred
	}
}

// interarrivalHistogram counts the times between requests by their length; older ones weigh
// less. Intervals of less than a second are not counted.
type interarrivalHistogram struct {
	counts [interarrivalBuckets]float64
}

func (h *interarrivalHistogram) add(interval time.Duration) {
	if interval < time.Second {
		return
	}
	for i := range h.counts {
		h.counts[i] *= interarrivalDecay
	}
	h.counts[min(interarrivalBuckets-1, int(math.Log2(interval.Seconds())))]++
}

func (h *interarrivalHistogram) total() float64 {
	total := 0.0
	for _, count := range h.counts {
		total += count
	}
	return total
}

// recordArrival records the time since the last request.
func (p *Planner) recordArrival(now time.Time, u *usage) {
	if !u.lastArrival.IsZero() {
		interval := now.Sub(u.lastArrival)
		u.interarrivals.add(interval)
		p.interarrivals.add(interval)
	}
	u.lastArrival = now
}

// chooseKeepAlive returns the keep-alive time with the lowest expected cost of idle memory and
// cold starts, from the interarrival times of the model and, with a low weight, of all
// models. The candidates are the powers of two of a second from minKeepAlive to maxKeepAlive.
// Costs are in seconds of idle memory.
func (p *Planner) chooseKeepAlive(u *usage, coldStartCost float64) time.Duration {
	priorScale := priorWeight / max(p.interarrivals.total(), 1)
	bestKeepAlive, lowestCost := minKeepAlive, math.Inf(1)
	for i := range interarrivalBuckets {
		keepAlive := time.Duration(1<<(i+1)) * time.Second
		if keepAlive < minKeepAlive || keepAlive > maxKeepAlive {
			continue
		}
		cost := 0.0
		for j := range interarrivalBuckets {
			weight := u.interarrivals.counts[j] + priorScale*p.interarrivals.counts[j]
			// The middle of the bucket, which reaches from 2^j to 2^(j+1) seconds.
			intervalCost := 1.5 * float64(int(1)<<j)
			if j > i {
				// The replica is unloaded before the next request arrives.
				intervalCost = keepAlive.Seconds() + coldStartCost
			}
			cost += weight * intervalCost
		}
		if cost < lowestCost {
			bestKeepAlive, lowestCost = keepAlive, cost
		}
	}
	return bestKeepAlive
}

// keepAlive is how long an entry stays loaded without use.
func (p *plan) keepAlive(entry *vrledger.Entry, u *usage) time.Duration {
	if p.planner.opts.Baseline {
		return baselineKeepAlive
	}
	rank := vrid.RankDeferred
	for higher := vrid.RankUrgent; higher < rank; higher++ {
		if !u.regularity[higher].lastUse.IsZero() {
			rank = higher
		}
	}
	return p.planner.chooseKeepAlive(u, coldStartWeight(rank)*p.loadTime(entry).Seconds())
}
