// Package vradmit decides which waiting request is served next and which are refused:
// by rank, deadline, floor and caller.
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

// Options bound the queue.
type Options struct {
	// MaxRequests is the largest number of waiting requests.
	MaxRequests int
	// MaxMemory is the largest sum of their sizes.
	MaxMemory vrid.Bytes
	// FIFO is the plain way: one order of arrival over all ranks and callers, and
	// no refusal by an estimate.
	FIFO bool
}

// Item is one waiting request.
type Item struct {
	Request  vrid.RequestID
	Rank     vrid.Rank
	Caller   vrid.CallerID
	Deadline time.Time
	Size     vrid.Bytes
	// Pool is where the request may be served; ranks compete within a pool.
	Pool vrid.PoolID
	// Target groups requests that wait for the same back ends: a model with its adapter,
	// or a service.
	Target Target
	// class is the deadline at the resolution that orders requests.
	class int64
	// start is the caller's virtual time; within a deadline class the caller that was
	// served least comes first.
	start float64
	index int
	due   int
}

// Target is what a request waits for.
type Target struct {
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	Service vrid.ServiceID
}

// Candidate is a target that could be served next, for the question whether it has room.
type Candidate struct {
	Target Target
	Rank   vrid.Rank
	// BelowFloor is set when the rank is below its floor.
	BelowFloor bool
}

// Queue holds the waiting requests of one daemon.
type Queue struct {
	opts     Options
	policies [vrid.RankCount]vrconfig.RankPolicy
	lanes    []*lane
	items    map[vrid.RequestID]*Item
	due      dueHeap
	memory   vrid.Bytes
	waiting  [vrid.RankCount]int
	arrivals float64
	free     []*Item
}

// New returns an empty queue.
func New(opts Options) *Queue {
	return &Queue{opts: opts, items: make(map[vrid.RequestID]*Item)}
}

// SetPolicies takes the ranks of a configuration.
func (q *Queue) SetPolicies(policies []vrconfig.RankPolicy) {
	for _, policy := range policies {
		q.policies[policy.Rank] = policy
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Waiting returns the number of waiting requests of a rank.
func (q *Queue) Waiting(rank vrid.Rank) int { return q.waiting[rank] }

func (q *Queue) lane(pool vrid.PoolID) *lane {
	for _, l := range q.lanes {
		if l.pool == pool {
			return l
		}
	}
	l := newLane(pool)
	q.lanes = append(q.lanes, l)
	slices.SortFunc(q.lanes, func(a, b *lane) int { return cmp.Compare(a.pool, b.pool) })
	return l
}

// row is the queue of a rank; the plain policy keeps one for all.
func (q *Queue) row(l *lane, rank vrid.Rank) *rankQueue {
	if q.opts.FIFO {
		return &l.ranks[0]
	}
	return &l.ranks[rank]
}

// Refusal says why and for how long a request is refused.
type Refusal struct {
	Reason vrwire.Reason
	// RetryAfter is when a request of this kind can be expected to be served in time.
	RetryAfter time.Duration
}

// Offer adds a request or says why it is refused at once.
func (q *Queue) Offer(now time.Time, item Item) (Refusal, bool) {
	if len(q.items) >= q.opts.MaxRequests || q.memory+item.Size > q.opts.MaxMemory {
		return Refusal{Reason: vrwire.ReasonQueueFull, RetryAfter: time.Second}, false
	}
	l := q.lane(item.Pool)
	row := q.row(l, item.Rank)
	if q.opts.FIFO {
		q.arrivals++
		item.start = q.arrivals
		q.add(row, item)
		return Refusal{}, true
	}
	if wait, late := q.late(now, row, &item); late {
		return Refusal{Reason: vrwire.ReasonDeadlineUnreachable, RetryAfter: wait}, false
	}
	if q.callerOverShare(row, &item) {
		return Refusal{Reason: vrwire.ReasonCallerShareExceeded, RetryAfter: time.Second}, false
	}
	item.class = item.Deadline.UnixNano() / deadlineClass
	item.start = max(row.clock, row.finish[item.Caller])
	row.finish[item.Caller] = item.start + 1
	q.add(row, item)
	return Refusal{}, true
}

// late reports whether a request would wait past its deadline, and how long it should
// stay away until the queue ahead of it is short enough.
func (q *Queue) late(now time.Time, row *rankQueue, item *Item) (time.Duration, bool) {
	target := row.targets[item.Target]
	if target == nil {
		return 0, false
	}
	wait, known := target.estimate(now)
	remaining := item.Deadline.Sub(now)
	if !known || wait < remaining {
		return 0, false
	}
	return max(time.Second, wait-remaining), true
}

// callerOverShare reports whether a caller already fills its share of the rank's queue
// while others wait.
func (q *Queue) callerOverShare(row *rankQueue, item *Item) bool {
	const spared = 16
	mine := row.callers[item.Caller]
	if item.Caller == "" || mine < spared || mine == row.count {
		return false
	}
	return float64(mine+1) > q.policies[item.Rank].CallerShare*float64(row.count+1)
}

// Requeue puts a request back that could not be served by the back end it was sent to.
// It keeps its place: its deadline did not change.
func (q *Queue) Requeue(item Item) {
	if !q.opts.FIFO {
		item.class = item.Deadline.UnixNano() / deadlineClass
	}
	q.add(q.row(q.lane(item.Pool), item.Rank), item)
}

func (q *Queue) add(row *rankQueue, item Item) {
	held := q.take()
	*held = item
	row.add(held)
	heap.Push(&q.due, held)
	q.items[item.Request] = held
	q.memory += item.Size
	q.waiting[item.Rank]++
}

// take returns an unused item; a queue in a steady state allocates none.
func (q *Queue) take() *Item {
	last := len(q.free) - 1
	if last < 0 {
		return &Item{}
	}
	held := q.free[last]
	q.free = q.free[:last]
	return held
}

// Remove takes a request out of the queue.
func (q *Queue) Remove(id vrid.RequestID) (Item, bool) {
	held, ok := q.items[id]
	if !ok {
		return Item{}, false
	}
	q.row(q.lane(held.Pool), held.Rank).remove(held)
	heap.Remove(&q.due, held.due)
	delete(q.items, id)
	q.memory -= held.Size
	q.waiting[held.Rank]--
	item := *held
	*held = Item{}
	const pooled = 256
	if len(q.free) < pooled {
		q.free = append(q.free, held)
	}
	return item, true
}

// Next returns the request to serve next among those whose target is available, and
// takes it out of the queue. A target without room is asked again when it is woken.
func (q *Queue) Next(now time.Time, available func(Candidate) bool) (Item, bool) {
	for _, l := range q.lanes {
		if item := q.nextOf(now, l, available); item != nil {
			return q.Remove(item.Request)
		}
	}
	return Item{}, false
}

func (q *Queue) nextOf(now time.Time, l *lane, available func(Candidate) bool) *Item {
	for _, next := range l.order(now, &q.policies) {
		row := &l.ranks[next.rank]
		for len(row.ready) > 0 {
			target := row.ready[0]
			item := target.items[0]
			if available(Candidate{Target: target.target, Rank: item.Rank, BelowFloor: next.lack > 0}) {
				row.clock = max(row.clock, item.start)
				target.left(now)
				return item
			}
			row.park()
		}
	}
	return nil
}

// Wake makes the targets of a model eligible again after something about its servers
// changed; "" stands for the services.
func (q *Queue) Wake(model vrid.ModelID) {
	for _, l := range q.lanes {
		for i := range l.ranks {
			l.ranks[i].wakeModel(model)
		}
	}
}

// WakeAll makes all targets eligible again.
func (q *Queue) WakeAll() {
	for _, l := range q.lanes {
		for i := range l.ranks {
			l.ranks[i].wakeAll()
		}
	}
}

// RecordDispatch notes that a request took a place at a back end.
func (q *Queue) RecordDispatch(now time.Time, item Item) {
	l := q.lane(item.Pool)
	l.fade(now)
	l.served[item.Rank]++
}

// RemoveExpired removes and returns the requests whose deadline is not after now.
func (q *Queue) RemoveExpired(now time.Time) []Item {
	var expired []Item
	for len(q.due) > 0 && !now.Before(q.due[0].Deadline) {
		if item, ok := q.Remove(q.due[0].Request); ok {
			expired = append(expired, item)
		}
	}
	return expired
}

// Wait sums up the waiting requests of one target and rank.
type Wait struct {
	Target   Target
	Rank     vrid.Rank
	Count    int
	Deadline time.Time
}

// Backlogs returns what is waited for, in a fixed order.
func (q *Queue) Backlogs() []Wait {
	var waits []Wait
	for _, l := range q.lanes {
		for i := range l.ranks {
			for target, queue := range l.ranks[i].targets {
				first := queue.items[0]
				waits = append(waits, Wait{Target: target, Rank: first.Rank, Count: len(queue.items), Deadline: first.Deadline})
			}
		}
	}
	slices.SortFunc(waits, compareWaits)
	return waits
}

func compareWaits(a, b Wait) int {
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
