package vradmit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// passesPerTurn is how many requests of better ranks are served while those of a rank wait, before one of the
// rank is: each rank that waits gets at least one of twenty dispatches.
const passesPerTurn = 19

// scratch is what EachWaiting reuses.
type scratch struct {
	items   []*Item
	inModel map[vrid.ModelID]int
	inRank  map[modelRank]int
}

type modelRank struct {
	model vrid.ModelID
	rank  vrid.Rank
}

// Enqueue adds a request to a weighted queue. The result identifies it until it is removed.
func (q *Queue) Enqueue(now time.Time, item Item) *Item {
	rq := &q.poolQueue(item.Pool).ranks[item.Rank]
	q.prepare(now, rq, &item)
	rq.virtualFinish[item.Caller] = max(rq.virtualFinish[item.Caller], item.virtualStart+item.virtualCost())
	queued := q.allocItem()
	*queued = item
	if tq := rq.byTarget[item.Target]; tq != nil && item.Tokens <= tq.parkedTokens {
		rq.wake(tq)
	}
	rq.add(queued)
	heap.Push(&rq.byStart, queued)
	if !queued.late {
		heap.Push(&q.byLate, queued)
	}
	q.queued++
	q.waiting[item.Rank]++
	return queued
}

// prepare sets a new item's place in the order. One that costs nothing, for example because it was sent before, does
// not wait for the other requests of its caller.
func (q *Queue) prepare(now time.Time, rq *rankQueue, item *Item) {
	q.sequence++
	item.sequence = q.sequence
	item.late = !now.Before(item.LateAt)
	item.tieNanos = item.Deadline.UnixNano()
	item.virtualStart = rq.startTime()
	if item.Cost > 0 {
		item.virtualStart = max(item.virtualStart, rq.virtualFinish[item.Caller])
	}
}

// startTime returns the virtual time at which a caller without waiting requests starts. It is not later than the
// virtual start of any waiting request, because requests are taken out of order while those before them wait for
// servers of other models.
func (r *rankQueue) startTime() float64 {
	if len(r.byStart) == 0 {
		return r.virtualTime
	}
	return min(r.virtualTime, r.byStart[0].virtualStart)
}

// virtualCost returns what a request takes of its caller's virtual time.
func (i *Item) virtualCost() float64 {
	if i.Weight <= 0 {
		return i.Cost
	}
	return i.Cost / i.Weight
}

// Dequeue removes a request that is not served from a weighted queue. It costs its caller nothing.
func (q *Queue) Dequeue(item *Item) {
	rq := &q.poolQueue(item.Pool).ranks[item.Rank]
	if finish, ok := rq.virtualFinish[item.Caller]; ok {
		rq.virtualFinish[item.Caller] = finish - item.virtualCost()
	}
	q.take(rq, item)
}

// take removes an item and returns it.
func (q *Queue) take(rq *rankQueue, queued *Item) Item {
	if !queued.late {
		heap.Remove(&q.byLate, queued.deadlineIndex)
	}
	heap.Remove(&rq.byStart, queued.startIndex)
	rq.remove(queued)
	q.queued--
	q.waiting[queued.Rank]--
	item := *queued
	*queued = Item{}
	const maxFreeItems = 256
	if len(q.freeItems) < maxFreeItems {
		q.freeItems = append(q.freeItems, queued)
	}
	return item
}

// NextFitting removes and returns the request to serve next of a weighted queue. freeTokens returns how many
// tokens a server with a free slot has for the requests of a target, -1 if no server has a slot. A target of
// which no request fits is parked until it is woken or a smaller request arrives.
func (q *Queue) NextFitting(now time.Time, freeTokens func(Candidate) int) (Item, bool) {
	q.updateLate(now)
	for _, pq := range q.pools {
		order := pq.turns()
		for _, rank := range order[:len(pq.ranks)] {
			rq := &pq.ranks[rank]
			for len(rq.ready) > 0 {
				tq := rq.ready[0]
				free := freeTokens(Candidate{Target: tq.target, Rank: rank, BelowFloor: pq.passed[rank] >= passesPerTurn})
				item := tq.firstFitting(free)
				if item == nil {
					rq.parkFirst()
					tq.parkedTokens = free
					continue
				}
				pq.recordTurn(rank)
				rq.virtualTime = max(rq.virtualTime, item.virtualStart)
				tq.recordDeparture(now)
				return q.take(rq, item), true
			}
		}
	}
	return Item{}, false
}

// updateLate moves the requests behind the others that can no longer be served in time.
func (q *Queue) updateLate(now time.Time) {
	for len(q.byLate) > 0 && !now.Before(q.byLate[0].LateAt) {
		item, ok := heap.Pop(&q.byLate).(*Item)
		if !ok {
			return
		}
		rq := &q.poolQueue(item.Pool).ranks[item.Rank]
		tq := rq.byTarget[item.Target]
		item.late = true
		heap.Fix(&tq.items, item.targetIndex)
		if !tq.parked {
			heap.Fix(&rq.ready, tq.readyIndex)
		}
	}
}

// firstFitting returns the first request that needs at most free tokens, or nil.
func (t *targetQueue) firstFitting(free int) *Item {
	if first := t.items[0]; first.Tokens <= free {
		return first
	}
	var best *Item
	for _, item := range t.items {
		if item.Tokens <= free && (best == nil || itemLess(item, best)) {
			best = item
		}
	}
	return best
}

// turns returns the ranks in the order in which they are served: first those that were passed too often, then
// the others.
func (p *poolQueue) turns() [MaxLevels]vrid.Rank {
	var order [MaxLevels]vrid.Rank
	n := 0
	for _, overdue := range [...]bool{true, false} {
		for i := range p.ranks {
			if (p.passed[i] >= passesPerTurn) == overdue {
				order[n] = vrid.Rank(i)
				n++
			}
		}
	}
	return order
}

// recordTurn counts that a request of a rank is served.
func (p *poolQueue) recordTurn(rank vrid.Rank) {
	beforeBetter := false
	for i := range p.ranks {
		waits := len(p.ranks[i].ready) > 0
		switch {
		case p.ranks[i].waiting == 0:
			p.passed[i] = 0
		case vrid.Rank(i) < rank:
			beforeBetter = beforeBetter || waits
		case vrid.Rank(i) > rank && waits:
			p.passed[i] = min(p.passed[i]+1, 2*passesPerTurn)
		}
	}
	if beforeBetter {
		p.passed[rank] = max(0, p.passed[rank]-passesPerTurn)
	}
}

// limitPasses applies that a rank gets one of twenty dispatches: inRank requests of the same rank are ahead.
func limitPasses(ahead, inRank int) int { return min(ahead, (passesPerTurn+1)*(inRank+1)-1) }

// AheadOf returns how many requests for the same model would be served before a new one.
func (q *Queue) AheadOf(now time.Time, item Item) int {
	pq := q.poolQueue(item.Pool)
	q.updateLate(now)
	q.prepare(now, &pq.ranks[item.Rank], &item)
	better, inRank := 0, 0
	for i := range pq.ranks[:item.Rank] {
		for _, tq := range pq.ranks[i].byModel[item.Target.Model] {
			better += len(tq.items)
		}
	}
	for _, tq := range pq.ranks[item.Rank].byModel[item.Target.Model] {
		for _, other := range tq.items {
			if itemLess(other, &item) {
				inRank++
			}
		}
	}
	return limitPasses(better+inRank, inRank)
}

// WaitByDepartures returns the expected wait of a new request from the interval at which requests of its rank and
// target were served lately, which includes that better ranks go before them. It is zero before enough were.
func (q *Queue) WaitByDepartures(now time.Time, item Item) time.Duration {
	rq := &q.poolQueue(item.Pool).ranks[item.Rank]
	tq := rq.byTarget[item.Target]
	if tq == nil || tq.departures < minDepartures {
		return 0
	}
	q.prepare(now, rq, &item)
	ahead := 0
	for _, other := range tq.items {
		if itemLess(other, &item) {
			ahead++
		}
	}
	return time.Duration(ahead)*tq.meanInterval + max(tq.meanInterval, now.Sub(tq.lastDeparture))
}

// EachWaiting calls visit for each waiting request of a pool, in the order in which they are served, with the
// number of those for the same model that are served before. visit must not change the queue.
func (q *Queue) EachWaiting(now time.Time, pool vrid.PoolID, visit func(item *Item, ahead int)) {
	pq := q.poolQueue(pool)
	q.updateLate(now)
	s := &q.scratch
	s.items = s.items[:0]
	if s.inModel == nil {
		s.inModel, s.inRank = make(map[vrid.ModelID]int), make(map[modelRank]int)
	}
	clear(s.inModel)
	clear(s.inRank)
	for i := range pq.ranks {
		first := len(s.items)
		for _, tq := range pq.ranks[i].byTarget {
			s.items = append(s.items, tq.items...)
		}
		slices.SortFunc(s.items[first:], compareItems)
	}
	for _, item := range s.items {
		key := modelRank{model: item.Target.Model, rank: item.Rank}
		visit(item, limitPasses(s.inModel[key.model], s.inRank[key]))
		s.inModel[key.model]++
		s.inRank[key]++
	}
	clear(s.items)
}

// Before reports whether one waiting request of a pool is served before another one, as far as their ranks have no
// turn out of order.
func (i *Item) Before(other *Item) bool {
	if i.Rank != other.Rank {
		return i.Rank < other.Rank
	}
	return itemLess(i, other)
}

func compareItems(a, b *Item) int {
	switch {
	case itemLess(a, b):
		return -1
	case itemLess(b, a):
		return 1
	default:
		return cmp.Compare(a.sequence, b.sequence)
	}
}

// HasWaiting reports whether requests for a model wait in a pool.
func (q *Queue) HasWaiting(pool vrid.PoolID, model vrid.ModelID) bool {
	pq := q.poolQueue(pool)
	for i := range pq.ranks {
		if len(pq.ranks[i].byModel[model]) > 0 {
			return true
		}
	}
	return false
}
