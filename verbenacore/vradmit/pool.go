package vradmit

import (
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// servedHalfLife is the half-life of the per-rank counters of dispatched requests; floors are
// shares of their sum.
const servedHalfLife = 2 * time.Second

// floorMargin raises each floor, because a floor is a share of the slots' time but is
// measured by counting dispatched requests, some of which end early.
const floorMargin = 1.1

// poolQueue holds the waiting requests for the servers of one pool. Only these requests
// compete with each other, so floors are enforced within a pool.
type poolQueue struct {
	pool  vrid.PoolID
	ranks []rankQueue
	// served counts the dispatched requests of each rank, decaying with servedHalfLife.
	served    [MaxLevels]float64
	decayedAt time.Time
	// passed counts, in a weighted queue, the requests of better ranks that were served while requests of a rank
	// could have been, less passesPerTurn for each time it went before them.
	passed [MaxLevels]int
}

func newPoolQueue(pool vrid.PoolID, levels int) *poolQueue {
	p := &poolQueue{pool: pool, ranks: make([]rankQueue, levels)}
	for i := range p.ranks {
		p.ranks[i] = newRankQueue()
	}
	return p
}

func (p *poolQueue) decay(now time.Time) {
	elapsed := now.Sub(p.decayedAt)
	p.decayedAt = now
	if elapsed <= 0 {
		return
	}
	factor := decayFactor(float64(elapsed) / float64(servedHalfLife))
	for i := range p.served {
		p.served[i] *= factor
	}
}

// rankPriority is a rank and the deficit that decides, with the rank's weight, its position
// in the service order.
type rankPriority struct {
	rank         vrid.Rank
	floorDeficit float64
}

func (r rankPriority) before(other rankPriority, policies *[MaxLevels]vrconfig.RankPolicy) bool {
	if r.floorDeficit != other.floorDeficit {
		return r.floorDeficit > other.floorDeficit
	}
	return policies[r.rank].Weight > policies[other.rank].Weight
}

// serviceOrder returns the ranks in the order in which they are served: first those below
// their floor, by descending deficit, then the others by descending weight.
func (p *poolQueue) serviceOrder(now time.Time, policies *[MaxLevels]vrconfig.RankPolicy) [MaxLevels]rankPriority {
	p.decay(now)
	total := 0.0
	for _, served := range p.served {
		total += served
	}
	var order [MaxLevels]rankPriority
	for i := range p.ranks {
		rank := vrid.Rank(i)
		order[i] = rankPriority{rank: rank, floorDeficit: p.floorDeficit(rank, total, policies)}
		for j := i; j > 0 && order[j].before(order[j-1], policies); j-- {
			order[j], order[j-1] = order[j-1], order[j]
		}
	}
	return order
}

// floorDeficit returns the fraction of its floor, between 0 and 1, that a waiting rank did
// not get recently. As a fraction, the deficit of a small floor weighs as much as that of a
// large one. A rank whose targets are all parked has no deficit.
func (p *poolQueue) floorDeficit(rank vrid.Rank, total float64, policies *[MaxLevels]vrconfig.RankPolicy) float64 {
	if len(p.ranks[rank].ready) == 0 || policies[rank].Floor == 0 {
		return 0
	}
	floor := policies[rank].Floor * floorMargin
	return max(0, 1-p.served[rank]/max(total, 1)/floor)
}
