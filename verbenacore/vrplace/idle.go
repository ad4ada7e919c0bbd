package vrplace

import (
	"math"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
)

const (
	// regularHalfLife is how fast the memory of regular use fades.
	regularHalfLife = 10 * time.Second
	// regularPause separates two uses that count; requests of one moment are one use.
	regularPause = 500 * time.Millisecond
	// regularGuard is the regularity from which a lower rank can't evict a replica. A
	// single burst stays below it, and use in each second holds for 25 s.
	regularGuard = 2.5
)

// regularity counts separate uses, fading with time. A flood of a lower rank would turn
// warm urgent models into cold ones without it.
type regularity struct {
	uses float64
	at   time.Time
}

func (r *regularity) now(now time.Time) float64 {
	return r.uses * exp2(-float64(now.Sub(r.at))/float64(regularHalfLife))
}

func (r *regularity) note(now time.Time) {
	if !r.at.IsZero() && now.Sub(r.at) < regularPause {
		return
	}
	if !r.at.IsZero() {
		r.uses = r.now(now)
	}
	r.uses++
	r.at = now
}

// guards reports whether the use is too regular for an eviction by a lower rank.
func (r *regularity) guards(now time.Time) bool {
	return !r.at.IsZero() && r.now(now) >= regularGuard
}

const (
	// gapBuckets of powers of two of a second reach from one second to nine hours.
	gapBuckets = 16
	// gapMemory is the weight that a new gap leaves to each older one, so that a model's
	// changed use is learned within a few dozen requests.
	gapMemory = 0.95
	// gapPrior is how many gaps of all models count beside a model's own.
	gapPrior = 4.0
	// leastKeep is how long an idle replica stays at least, so that a pause in a
	// conversation does not cost a load. It also spans the lag of the reports of use.
	leastKeep = 20 * time.Second
	// mostKeep bounds the wait for a rare use.
	mostKeep = 30 * time.Minute
)

// loadWorth is how many seconds of idle memory a second of a cold start is worth, by the
// rank that waits for it.
func loadWorth(rank vrid.Rank) float64 {
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

// gaps counts the times between requests by their length, older ones with less weight.
type gaps struct {
	counts [gapBuckets]float64
}

func (g *gaps) note(gap time.Duration) {
	if gap < time.Second {
		return
	}
	for i := range g.counts {
		g.counts[i] *= gapMemory
	}
	g.counts[min(gapBuckets-1, int(math.Log2(gap.Seconds())))]++
}

func (g *gaps) total() float64 {
	total := 0.0
	for _, count := range g.counts {
		total += count
	}
	return total
}

// noteArrival learns the time since the last request.
func (p *Planner) noteArrival(now time.Time, u *use) {
	if !u.arrived.IsZero() {
		gap := now.Sub(u.arrived)
		u.gaps.note(gap)
		p.gaps.note(gap)
	}
	u.arrived = now
}

// keep is how long an idle replica stays: the time with the least expected cost of idle
// memory and loads, given the model's gaps and, weakly, those of all models.
func (p *Planner) keep(u *use, load float64) time.Duration {
	scale := gapPrior / max(p.gaps.total(), 1)
	best, lowest := leastKeep, math.Inf(1)
	for i := range gapBuckets {
		limit := time.Duration(1<<(i+1)) * time.Second
		if limit < leastKeep || limit > mostKeep {
			continue
		}
		cost := 0.0
		for j := range gapBuckets {
			weight := u.gaps.counts[j] + scale*p.gaps.counts[j]
			middle := 1.5 * float64(int(1)<<j)
			if j > i {
				middle = limit.Seconds() + load
			}
			cost += weight * middle
		}
		if cost < lowest {
			best, lowest = limit, cost
		}
	}
	return best
}

// keepAlive is how long an entry stays loaded without use.
func (w *plan) keepAlive(entry *vrledger.Entry, u *use) time.Duration {
	if w.planner.opts.Baseline {
		return keepAlive
	}
	rank := vrid.RankDeferred
	for higher := vrid.RankUrgent; higher < rank; higher++ {
		if !u.regular[higher].at.IsZero() {
			rank = higher
		}
	}
	return w.planner.keep(u, loadWorth(rank)*w.loadTime(entry).Seconds())
}
