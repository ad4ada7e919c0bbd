// Package vradmit decides which waiting request is served next and which are refused:
// by rank, deadline, floor and caller.
package vradmit

import (
	"container/heap"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Options bound the queue.
type Options struct {
	// Requests is the largest number of waiting requests.
	Requests int
	// Memory is the largest sum of their sizes.
	Memory vrid.Bytes
}

// Item is one waiting request.
type Item struct {
	Request  vrid.RequestID
	Rank     vrid.Rank
	Caller   vrid.CallerID
	Deadline time.Time
	Size     vrid.Bytes
	// Target groups requests that wait for the same back ends: a model with its adapter,
	// or a service.
	Target Target
	// start is the caller's virtual time; within a deadline class the caller that was
	// served least comes first.
	start float64
	index int
}

// Target is what a request waits for.
type Target struct {
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	Service vrid.ServiceID
}

// servedHalfLife is how fast the memory of served work fades; floors are shares of this
// recent service.
const servedHalfLife = 10 * time.Second

// Queue holds the waiting requests of one daemon.
type Queue struct {
	opts     Options
	policies [vrid.RankCount]vrconfig.RankPolicy
	ranks    [vrid.RankCount]rankQueue
	items    map[vrid.RequestID]*Item
	memory   vrid.Bytes
	// served is the recent service of each rank, fading with servedHalfLife.
	served  [vrid.RankCount]float64
	fadedAt time.Time
}

// rankQueue holds the requests of one rank by target.
type rankQueue struct {
	targets map[Target]*itemHeap
	callers map[vrid.CallerID]int
	// finish is the virtual time at which a caller's last request ended.
	finish map[vrid.CallerID]float64
	clock  float64
	count  int
}

// New returns an empty queue.
func New(opts Options) *Queue {
	q := &Queue{opts: opts, items: make(map[vrid.RequestID]*Item)}
	for i := range q.ranks {
		q.ranks[i] = rankQueue{
			targets: make(map[Target]*itemHeap),
			callers: make(map[vrid.CallerID]int),
			finish:  make(map[vrid.CallerID]float64),
		}
	}
	return q
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
func (q *Queue) Waiting(rank vrid.Rank) int { return q.ranks[rank].count }

// Offer adds a request or says why it is refused at once.
func (q *Queue) Offer(item Item) (vrwire.Reason, bool) {
	if len(q.items) >= q.opts.Requests || q.memory+item.Size > q.opts.Memory {
		return vrwire.ReasonQueueFull, false
	}
	ranked := &q.ranks[item.Rank]
	if q.callerOverShare(ranked, item) {
		return vrwire.ReasonCallerShareExceeded, false
	}
	item.start = max(ranked.clock, ranked.finish[item.Caller])
	ranked.finish[item.Caller] = item.start + 1
	q.add(&item)
	return "", true
}

// callerOverShare reports whether a caller already fills its share of the rank's queue
// while others wait.
func (q *Queue) callerOverShare(ranked *rankQueue, item Item) bool {
	const spared = 16
	mine := ranked.callers[item.Caller]
	if item.Caller == "" || mine < spared || mine == ranked.count {
		return false
	}
	return float64(mine+1) > q.policies[item.Rank].CallerShare*float64(ranked.count+1)
}

// Return puts a request back that could not be served by the back end it was sent to.
// It keeps its place: its deadline did not change.
func (q *Queue) Return(item Item) { q.add(&item) }

func (q *Queue) add(item *Item) {
	ranked := &q.ranks[item.Rank]
	waiting := ranked.targets[item.Target]
	if waiting == nil {
		waiting = &itemHeap{}
		ranked.targets[item.Target] = waiting
	}
	heap.Push(waiting, item)
	q.items[item.Request] = item
	q.memory += item.Size
	ranked.count++
	ranked.callers[item.Caller]++
}

// Remove takes a request out of the queue.
func (q *Queue) Remove(id vrid.RequestID) (Item, bool) {
	item, ok := q.items[id]
	if !ok {
		return Item{}, false
	}
	ranked := &q.ranks[item.Rank]
	waiting := ranked.targets[item.Target]
	heap.Remove(waiting, item.index)
	if waiting.Len() == 0 {
		delete(ranked.targets, item.Target)
	}
	delete(q.items, id)
	q.memory -= item.Size
	ranked.count--
	ranked.callers[item.Caller]--
	if ranked.callers[item.Caller] == 0 {
		delete(ranked.callers, item.Caller)
		if ranked.finish[item.Caller] <= ranked.clock {
			delete(ranked.finish, item.Caller)
		}
	}
	return *item, true
}

// Next returns the request to serve next among those whose target is available, and
// takes it out of the queue.
func (q *Queue) Next(now time.Time, available func(Target) bool) (Item, bool) {
	for _, rank := range q.order(now) {
		item := q.ranks[rank].best(available)
		if item == nil {
			continue
		}
		ranked := &q.ranks[rank]
		ranked.clock = max(ranked.clock, item.start)
		return q.Remove(item.Request)
	}
	return Item{}, false
}

// Served notes that a request of a rank took a place at a back end.
func (q *Queue) Served(now time.Time, rank vrid.Rank) {
	q.fade(now)
	q.served[rank]++
}

func (q *Queue) fade(now time.Time) {
	elapsed := now.Sub(q.fadedAt)
	q.fadedAt = now
	if elapsed <= 0 {
		return
	}
	factor := halve(float64(elapsed) / float64(servedHalfLife))
	for i := range q.served {
		q.served[i] *= factor
	}
}

// order returns the ranks in the order of service: those below their floor first, the
// one that lacks most of it leading, then the others by worth.
func (q *Queue) order(now time.Time) [vrid.RankCount]vrid.Rank {
	q.fade(now)
	total := 0.0
	for _, served := range q.served {
		total += served
	}
	ranks := vrid.Ranks()
	slices.SortStableFunc(ranks[:], func(a, b vrid.Rank) int {
		lackA, lackB := q.lack(a, total), q.lack(b, total)
		if lackA != lackB {
			return compareDescending(lackA, lackB)
		}
		return compareDescending(q.policies[a].Worth, q.policies[b].Worth)
	})
	return ranks
}

// lack is the part of its floor that a waiting rank did not get recently.
func (q *Queue) lack(rank vrid.Rank, total float64) float64 {
	if q.ranks[rank].count == 0 || q.policies[rank].Floor == 0 {
		return 0
	}
	return max(0, q.policies[rank].Floor-q.served[rank]/max(total, 1))
}

func compareDescending(a, b float64) int {
	switch {
	case a > b:
		return -1
	case a < b:
		return 1
	}
	return 0
}

// best returns the first request of the rank whose target is available.
func (r *rankQueue) best(available func(Target) bool) *Item {
	var best *Item
	for target, waiting := range r.targets {
		first := (*waiting)[0]
		if best != nil && !before(first, best) {
			continue
		}
		if available(target) {
			best = first
		}
	}
	return best
}

// Expired removes and returns the requests whose deadline passed.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for _, item := range q.items {
		if !now.Before(item.Deadline) {
			expired = append(expired, *item)
		}
	}
	slices.SortFunc(expired, func(a, b Item) int { return compareIDs(a.Request, b.Request) })
	for _, item := range expired {
		q.Remove(item.Request)
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

// Waits returns what is waited for, in a fixed order.
func (q *Queue) Waits() []Wait {
	var waits []Wait
	for _, rank := range vrid.Ranks() {
		for target, waiting := range q.ranks[rank].targets {
			waits = append(waits, Wait{Target: target, Rank: rank, Count: waiting.Len(), Deadline: (*waiting)[0].Deadline})
		}
	}
	slices.SortFunc(waits, func(a, b Wait) int {
		if a.Rank != b.Rank {
			return int(a.Rank) - int(b.Rank)
		}
		if a.Target.Model != b.Target.Model {
			return compareIDs(a.Target.Model, b.Target.Model)
		}
		if a.Target.Adapter != b.Target.Adapter {
			return compareIDs(a.Target.Adapter, b.Target.Adapter)
		}
		return compareIDs(a.Target.Service, b.Target.Service)
	})
	return waits
}

func compareIDs[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
