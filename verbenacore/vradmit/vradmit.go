// Package vradmit is the admission queue of a daemon: it decides by rank, deadline, floor
// and caller which waiting request is served next and which requests are refused.
package vradmit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Options configures a Queue.
type Options struct {
	// MaxRequests is the maximum number of waiting requests.
	MaxRequests int
	// MaxMemory is the maximum sum of the sizes of the waiting requests.
	MaxMemory vrid.Bytes
	// FIFO selects the baseline policy: requests of all ranks and callers are served in
	// the order of arrival, and none is refused because of its estimated wait.
	FIFO bool
	// Levels is the number of ranks, at most MaxLevels; zero stands for vrid.RankCount.
	Levels int
	// Weighted selects the order of Enqueue and NextFitting: requests that can still be in time come first, then
	// callers share by weight, then deadlines count.
	Weighted bool
}

// MaxLevels is the maximum number of ranks of a queue.
const MaxLevels = 16

// Item is one waiting request.
type Item struct {
	Request  vrid.RequestID
	Rank     vrid.Rank
	Caller   vrid.CallerID
	Deadline time.Time
	Size     vrid.Bytes
	// Pool is the pool whose servers may serve the request; ranks compete within a pool.
	Pool vrid.PoolID
	// Target groups the requests that the same back ends can serve.
	Target Target
	// LateAt is when the request can no longer be served in time, Tokens what it needs of a server's cache. In
	// a weighted queue, it costs its caller Cost, relative to the caller's Weight. Owner is the caller's record
	// of the request.
	LateAt       time.Time
	Tokens       int
	Cost, Weight float64
	Owner        any
	// Begun requests, whose responses go on at another server, come before all others of their rank.
	Begun bool
	// late is set once LateAt has passed. tieNanos and sequence order requests that are otherwise equal.
	late     bool
	tieNanos int64
	sequence uint64
	// deadlineBucket is the deadline in units of deadlineBucketNanos.
	deadlineBucket int64
	// virtualStart is the request's start in virtual time: within a deadline bucket, the
	// caller that was served least comes first. The baseline policy stores the sequence
	// number of the arrival here.
	virtualStart float64
	// targetIndex and deadlineIndex are the positions in the heap of the target and in
	// the queue's heap of deadlines, startIndex that in the heap of virtual starts of a weighted queue.
	targetIndex   int
	deadlineIndex int
	startIndex    int
}

// Target is what a request waits for: a model, a model with an adapter, or a service.
type Target struct {
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	Service vrid.ServiceID
	// Only is the only request of the target, if it can't use all servers that others can. Otherwise it is zero.
	Only uint64
}

// Candidate is a target that could be served next if one of its servers has a free slot.
type Candidate struct {
	Target Target
	Rank   vrid.Rank
	// BelowFloor is set when the rank is below its floor.
	BelowFloor bool
}

// Queue holds the waiting requests of one daemon.
type Queue struct {
	opts       Options
	policies   [MaxLevels]vrconfig.RankPolicy
	pools      []*poolQueue
	items      map[vrid.RequestID]*Item
	byDeadline deadlineHeap
	byLate     lateHeap
	memory     vrid.Bytes
	waiting    [MaxLevels]int
	arrivals   float64
	freeItems  []*Item
	// sequence numbers the requests of a weighted queue, queued is their number, and scratch is reused by
	// EachWaiting.
	sequence uint64
	queued   int
	scratch  scratch
}

// New returns an empty queue.
func New(opts Options) *Queue {
	if opts.Levels == 0 {
		opts.Levels = vrid.RankCount
	}
	return &Queue{opts: opts, items: make(map[vrid.RequestID]*Item)}
}

// SetPolicies replaces the policies of the given ranks.
func (q *Queue) SetPolicies(policies []vrconfig.RankPolicy) {
	for _, policy := range policies {
		q.policies[policy.Rank] = policy
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) + q.queued }

// Waiting returns the number of waiting requests of a rank.
func (q *Queue) Waiting(rank vrid.Rank) int { return q.waiting[rank] }

func (q *Queue) poolQueue(pool vrid.PoolID) *poolQueue {
	for _, pq := range q.pools {
		if pq.pool == pool {
			return pq
		}
	}
	pq := newPoolQueue(pool, q.opts.Levels)
	q.pools = append(q.pools, pq)
	slices.SortFunc(q.pools, func(a, b *poolQueue) int { return cmp.Compare(a.pool, b.pool) })
	return pq
}

// rankQueue returns the queue of a rank in a pool. The baseline policy uses one queue for
// all ranks.
func (q *Queue) rankQueue(pq *poolQueue, rank vrid.Rank) *rankQueue {
	if q.opts.FIFO {
		return &pq.ranks[0]
	}
	return &pq.ranks[rank]
}

// Refusal says why a request is refused and when it may be retried.
type Refusal struct {
	Reason vrwire.Reason
	// RetryAfter is the delay after which a similar request is expected to be served before
	// its deadline.
	RetryAfter time.Duration
}

// Offer adds a request to the queue, or returns false and the reason for refusing it.
func (q *Queue) Offer(now time.Time, item Item) (Refusal, bool) {
	if len(q.items) >= q.opts.MaxRequests || q.memory+item.Size > q.opts.MaxMemory {
		return Refusal{Reason: vrwire.ReasonQueueFull, RetryAfter: time.Second}, false
	}
	pq := q.poolQueue(item.Pool)
	rq := q.rankQueue(pq, item.Rank)
	if q.opts.FIFO {
		q.arrivals++
		item.virtualStart = q.arrivals
		q.add(rq, item)
		return Refusal{}, true
	}
	if retryAfter, unreachable := q.deadlineUnreachable(now, rq, &item); unreachable {
		return Refusal{Reason: vrwire.ReasonDeadlineUnreachable, RetryAfter: retryAfter}, false
	}
	if q.exceedsCallerShare(rq, &item) {
		return Refusal{Reason: vrwire.ReasonCallerShareExceeded, RetryAfter: time.Second}, false
	}
	item.deadlineBucket = item.Deadline.UnixNano() / deadlineBucketNanos
	item.virtualStart = max(rq.virtualTime, rq.virtualFinish[item.Caller])
	rq.virtualFinish[item.Caller] = item.virtualStart + 1
	q.add(rq, item)
	return Refusal{}, true
}

// deadlineUnreachable reports whether a request would wait past its deadline, and after
// which delay the queue ahead of it is expected to be short enough.
func (q *Queue) deadlineUnreachable(now time.Time, rq *rankQueue, item *Item) (time.Duration, bool) {
	tq := rq.byTarget[item.Target]
	if tq == nil {
		return 0, false
	}
	wait, known := tq.estimateWait(now)
	remaining := item.Deadline.Sub(now)
	if !known || wait < remaining {
		return 0, false
	}
	return max(time.Second, wait-remaining), true
}

// exceedsCallerShare reports whether one more request would exceed its caller's share of the
// rank's queue while other callers wait too. A caller with few waiting requests never does.
func (q *Queue) exceedsCallerShare(rq *rankQueue, item *Item) bool {
	const minWaiting = 16
	waiting := rq.waitingByCaller[item.Caller]
	if item.Caller == "" || waiting < minWaiting || waiting == rq.waiting {
		return false
	}
	return float64(waiting+1) > q.policies[item.Rank].CallerShare*float64(rq.waiting+1)
}

// Requeue puts back a request that a back end could not serve. Its deadline did not change,
// so it keeps its position among the deadline buckets. An item without a virtual start comes
// first within its bucket.
func (q *Queue) Requeue(item Item) {
	if !q.opts.FIFO {
		item.deadlineBucket = item.Deadline.UnixNano() / deadlineBucketNanos
	}
	q.add(q.rankQueue(q.poolQueue(item.Pool), item.Rank), item)
}

func (q *Queue) add(rq *rankQueue, item Item) {
	queued := q.allocItem()
	*queued = item
	rq.add(queued)
	heap.Push(&q.byDeadline, queued)
	q.items[item.Request] = queued
	q.memory += item.Size
	q.waiting[item.Rank]++
}

// allocItem returns an empty item, from the free list if there is one, so that a queue in a
// steady state allocates none.
func (q *Queue) allocItem() *Item {
	last := len(q.freeItems) - 1
	if last < 0 {
		return &Item{}
	}
	queued := q.freeItems[last]
	q.freeItems = q.freeItems[:last]
	return queued
}

// Remove removes a request from the queue and returns it, or false if it does not wait.
func (q *Queue) Remove(id vrid.RequestID) (Item, bool) {
	queued, ok := q.items[id]
	if !ok {
		return Item{}, false
	}
	q.rankQueue(q.poolQueue(queued.Pool), queued.Rank).remove(queued)
	heap.Remove(&q.byDeadline, queued.deadlineIndex)
	delete(q.items, id)
	q.memory -= queued.Size
	q.waiting[queued.Rank]--
	item := *queued
	*queued = Item{}
	const maxFreeItems = 256
	if len(q.freeItems) < maxFreeItems {
		q.freeItems = append(q.freeItems, queued)
	}
	return item, true
}

// Next removes and returns the request to serve next among those whose target is
// available. A target that is not available is parked and not asked about again until
// Wake or WakeAll wakes it.
func (q *Queue) Next(now time.Time, available func(Candidate) bool) (Item, bool) {
	for _, pq := range q.pools {
		if item := q.nextInPool(now, pq, available); item != nil {
			return q.Remove(item.Request)
		}
	}
	return Item{}, false
}

func (q *Queue) nextInPool(now time.Time, pq *poolQueue, available func(Candidate) bool) *Item {
	order := pq.serviceOrder(now, &q.policies)
	for _, next := range order[:len(pq.ranks)] {
		rq := &pq.ranks[next.rank]
		for len(rq.ready) > 0 {
			tq := rq.ready[0]
			item := tq.items[0]
			if available(Candidate{Target: tq.target, Rank: item.Rank, BelowFloor: next.floorDeficit > 0}) {
				rq.virtualTime = max(rq.virtualTime, item.virtualStart)
				tq.recordDeparture(now)
				return item
			}
			rq.parkFirst()
		}
	}
	return nil
}

// Wake makes the parked targets of a model eligible again after its servers changed; ""
// stands for the services.
func (q *Queue) Wake(model vrid.ModelID) {
	for _, pq := range q.pools {
		for i := range pq.ranks {
			pq.ranks[i].wakeModel(model)
		}
	}
}

// WakeAll makes all parked targets eligible again.
func (q *Queue) WakeAll() {
	for _, pq := range q.pools {
		for i := range pq.ranks {
			pq.ranks[i].wakeAll()
		}
	}
}

// RecordDispatch counts a request that was dispatched to a back end towards the floor of its
// rank.
func (q *Queue) RecordDispatch(now time.Time, item Item) {
	pq := q.poolQueue(item.Pool)
	pq.decay(now)
	pq.served[item.Rank]++
}

// RemoveExpired removes and returns the requests whose deadline is not after now.
func (q *Queue) RemoveExpired(now time.Time) []Item {
	var expired []Item
	for len(q.byDeadline) > 0 && !now.Before(q.byDeadline[0].Deadline) {
		if item, ok := q.Remove(q.byDeadline[0].Request); ok {
			expired = append(expired, item)
		}
	}
	return expired
}

// Backlog summarizes the waiting requests of one target and rank.
type Backlog struct {
	Target Target
	Rank   vrid.Rank
	Count  int
	// Deadline is that of the request that is served first.
	Deadline time.Time
}

// Backlogs returns a summary for each target and rank that has waiting requests, in a fixed
// order.
func (q *Queue) Backlogs() []Backlog {
	var backlogs []Backlog
	for _, pq := range q.pools {
		for i := range pq.ranks {
			for target, tq := range pq.ranks[i].byTarget {
				first := tq.items[0]
				backlogs = append(backlogs, Backlog{Target: target, Rank: first.Rank, Count: len(tq.items), Deadline: first.Deadline})
			}
		}
	}
	slices.SortFunc(backlogs, compareBacklogs)
	return backlogs
}

func compareBacklogs(a, b Backlog) int {
	if a.Rank != b.Rank {
		return int(a.Rank) - int(b.Rank)
	}
	if a.Target.Model != b.Target.Model {
		return cmp.Compare(a.Target.Model, b.Target.Model)
	}
	if a.Target.Adapter != b.Target.Adapter {
		return cmp.Compare(a.Target.Adapter, b.Target.Adapter)
	}
	return cmp.Compare(a.Target.Service, b.Target.Service)
}
