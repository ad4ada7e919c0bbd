package vradmit

import (
	"container/heap"
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// targetQueue holds the waiting requests of one rank for one target.
type targetQueue struct {
	target Target
	items  itemHeap
	// parked is set while the target has no room; it is not in the ready heap then.
	parked bool
	index  int
	// out counts the requests that left while others still waited, gap is the smoothed
	// time between two of them and last the time of the newest.
	out  int
	gap  time.Duration
	last time.Time
}

// left notes that a request took a place while others may still wait.
func (t *targetQueue) left(now time.Time) {
	const weight = 4
	if t.out > 0 {
		gap := now.Sub(t.last)
		if t.out == 1 {
			t.gap = gap
		}
		t.gap += (gap - t.gap) / weight
	}
	t.out++
	t.last = now
}

// estimate is the expected wait of one more request, or false while too little is
// known.
func (t *targetQueue) estimate(now time.Time) (time.Duration, bool) {
	const known = 4
	if t.out < known {
		return 0, false
	}
	gap := max(t.gap, now.Sub(t.last))
	return gap * time.Duration(len(t.items)+1), true
}

// rankQueue holds the requests of one rank for the servers of one pool.
type rankQueue struct {
	targets map[Target]*targetQueue
	// byModel lists the targets of a model; "" stands for services.
	byModel map[vrid.ModelID][]*targetQueue
	ready   readyHeap
	callers map[vrid.CallerID]int
	// finish is the virtual time at which a caller's last request ended.
	finish map[vrid.CallerID]float64
	clock  float64
	count  int
	parked int
	free   []*targetQueue
}

func newRankQueue() rankQueue {
	return rankQueue{
		targets: make(map[Target]*targetQueue),
		byModel: make(map[vrid.ModelID][]*targetQueue),
		callers: make(map[vrid.CallerID]int),
		finish:  make(map[vrid.CallerID]float64),
	}
}

func (r *rankQueue) add(item *Item) {
	target := r.targets[item.Target]
	if target == nil {
		target = r.newTarget(item.Target)
	}
	heap.Push(&target.items, item)
	switch {
	case target.parked:
	case len(target.items) == 1:
		heap.Push(&r.ready, target)
	default:
		heap.Fix(&r.ready, target.index)
	}
	r.count++
	r.callers[item.Caller]++
}

func (r *rankQueue) newTarget(id Target) *targetQueue {
	target := r.take()
	target.target = id
	r.targets[id] = target
	r.byModel[id.Model] = append(r.byModel[id.Model], target)
	return target
}

// take returns an unused target; a queue in a steady state allocates none.
func (r *rankQueue) take() *targetQueue {
	last := len(r.free) - 1
	if last < 0 {
		return &targetQueue{}
	}
	target := r.free[last]
	r.free = r.free[:last]
	return target
}

// remove takes an item out and forgets what nothing waits for any more.
func (r *rankQueue) remove(item *Item) {
	target := r.targets[item.Target]
	heap.Remove(&target.items, item.index)
	if len(target.items) == 0 {
		r.dropTarget(target)
	} else if !target.parked {
		heap.Fix(&r.ready, target.index)
	}
	r.count--
	r.callers[item.Caller]--
	if r.callers[item.Caller] > 0 {
		return
	}
	delete(r.callers, item.Caller)
	if r.finish[item.Caller] <= r.clock {
		delete(r.finish, item.Caller)
	}
}

func (r *rankQueue) dropTarget(target *targetQueue) {
	if target.parked {
		r.parked--
	} else {
		heap.Remove(&r.ready, target.index)
	}
	delete(r.targets, target.target)
	group := r.byModel[target.target.Model]
	for i, member := range group {
		if member == target {
			group[i] = group[len(group)-1]
			group[len(group)-1] = nil
			r.byModel[target.target.Model] = group[:len(group)-1]
			break
		}
	}
	if len(group) == 1 {
		r.dropGroup(target.target.Model, group)
	}
	*target = targetQueue{items: target.items[:0]}
	const pooled = 64
	if len(r.free) < pooled {
		r.free = append(r.free, target)
	}
}

// dropGroup keeps the slices of a few models, so that a served model that comes back
// at once costs no allocation.
func (r *rankQueue) dropGroup(model vrid.ModelID, group []*targetQueue) {
	const kept = 1024
	if len(r.byModel) > kept {
		delete(r.byModel, model)
		return
	}
	r.byModel[model] = group[:0]
}

// park sets the first ready target aside until it is woken.
func (r *rankQueue) park() {
	target := r.ready[0]
	heap.Remove(&r.ready, 0)
	target.parked = true
	r.parked++
}

func (r *rankQueue) wake(target *targetQueue) {
	if !target.parked {
		return
	}
	target.parked = false
	r.parked--
	heap.Push(&r.ready, target)
}

func (r *rankQueue) wakeModel(model vrid.ModelID) {
	if r.parked == 0 {
		return
	}
	for _, target := range r.byModel[model] {
		r.wake(target)
	}
}

func (r *rankQueue) wakeAll() {
	if r.parked == 0 {
		return
	}
	for _, target := range r.targets {
		r.wake(target)
	}
}
