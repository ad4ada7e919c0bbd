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
	// parked is set while the servers of the target have no free slot; the target is then
	// not in the ready heap.
	parked     bool
	readyIndex int
	// parkedTokens is the number of tokens that a server with a slot had free when the target was parked in a
	// weighted queue, -1 if there was no slot.
	parkedTokens int
	// departures counts the requests dispatched since the queue was last empty, meanInterval
	// is the moving average of the time between two of them, and lastDeparture is when the
	// latest was dispatched.
	departures    int
	meanInterval  time.Duration
	lastDeparture time.Time
}

// recordDeparture records that a request was dispatched.
func (t *targetQueue) recordDeparture(now time.Time) {
	const smoothing = 4
	if t.departures > 0 {
		interval := now.Sub(t.lastDeparture)
		if t.departures == 1 {
			t.meanInterval = interval
		}
		t.meanInterval += (interval - t.meanInterval) / smoothing
	}
	t.departures++
	t.lastDeparture = now
}

// minDepartures is the number of departures from which on their interval is relied on.
const minDepartures = 4

// estimateWait returns the expected wait of one more request, or false before enough
// departures were seen.
func (t *targetQueue) estimateWait(now time.Time) (time.Duration, bool) {
	if t.departures < minDepartures {
		return 0, false
	}
	interval := max(t.meanInterval, now.Sub(t.lastDeparture))
	return interval * time.Duration(len(t.items)+1), true
}

// rankQueue holds the waiting requests of one rank for the servers of one pool. Callers
// share the rank by fair queuing: each request takes one unit of its caller's virtual time.
type rankQueue struct {
	byTarget map[Target]*targetQueue
	// byModel lists the targets of each model; the key "" stands for services.
	byModel         map[vrid.ModelID][]*targetQueue
	ready           readyHeap
	waitingByCaller map[vrid.CallerID]int
	// virtualFinish is the virtual time at which the last request of each caller ends,
	// virtualTime the highest virtual start of the requests taken so far.
	virtualFinish map[vrid.CallerID]float64
	virtualTime   float64
	// byStart holds the items of a weighted queue by their virtual start.
	byStart       startHeap
	waiting       int
	parkedTargets int
	freeQueues    []*targetQueue
}

func newRankQueue() rankQueue {
	return rankQueue{
		byTarget:        make(map[Target]*targetQueue),
		byModel:         make(map[vrid.ModelID][]*targetQueue),
		waitingByCaller: make(map[vrid.CallerID]int),
		virtualFinish:   make(map[vrid.CallerID]float64),
	}
}

func (r *rankQueue) add(item *Item) {
	tq := r.byTarget[item.Target]
	if tq == nil {
		tq = r.addTarget(item.Target)
	}
	heap.Push(&tq.items, item)
	switch {
	case tq.parked:
	case len(tq.items) == 1:
		heap.Push(&r.ready, tq)
	default:
		heap.Fix(&r.ready, tq.readyIndex)
	}
	r.waiting++
	r.waitingByCaller[item.Caller]++
}

func (r *rankQueue) addTarget(target Target) *targetQueue {
	tq := r.allocQueue()
	tq.target = target
	r.byTarget[target] = tq
	r.byModel[target.Model] = append(r.byModel[target.Model], tq)
	return tq
}

// allocQueue returns an empty targetQueue, from the free list if there is one, so that a
// queue in a steady state allocates none.
func (r *rankQueue) allocQueue() *targetQueue {
	last := len(r.freeQueues) - 1
	if last < 0 {
		return &targetQueue{}
	}
	tq := r.freeQueues[last]
	r.freeQueues = r.freeQueues[:last]
	return tq
}

// remove removes an item, and the state of its target and of its caller if no other item of
// theirs waits.
func (r *rankQueue) remove(item *Item) {
	tq := r.byTarget[item.Target]
	heap.Remove(&tq.items, item.targetIndex)
	if len(tq.items) == 0 {
		r.removeTarget(tq)
	} else if !tq.parked {
		heap.Fix(&r.ready, tq.readyIndex)
	}
	r.waiting--
	r.waitingByCaller[item.Caller]--
	if r.waitingByCaller[item.Caller] > 0 {
		return
	}
	delete(r.waitingByCaller, item.Caller)
	if r.virtualFinish[item.Caller] <= r.startTime() {
		delete(r.virtualFinish, item.Caller)
	}
}

func (r *rankQueue) removeTarget(tq *targetQueue) {
	if tq.parked {
		r.parkedTargets--
	} else {
		heap.Remove(&r.ready, tq.readyIndex)
	}
	delete(r.byTarget, tq.target)
	queues := r.byModel[tq.target.Model]
	for i, other := range queues {
		if other == tq {
			queues[i] = queues[len(queues)-1]
			queues[len(queues)-1] = nil
			r.byModel[tq.target.Model] = queues[:len(queues)-1]
			break
		}
	}
	if len(queues) == 1 {
		r.releaseModel(tq.target.Model, queues)
	}
	*tq = targetQueue{items: tq.items[:0]}
	const maxFreeQueues = 64
	if len(r.freeQueues) < maxFreeQueues {
		r.freeQueues = append(r.freeQueues, tq)
	}
}

// releaseModel removes a model without targets, but keeps the empty slices of up to
// maxModels models, so that a model that is soon requested again costs no allocation.
func (r *rankQueue) releaseModel(model vrid.ModelID, queues []*targetQueue) {
	const maxModels = 1024
	if len(r.byModel) > maxModels {
		delete(r.byModel, model)
		return
	}
	r.byModel[model] = queues[:0]
}

// parkFirst takes the first ready target out of the ready heap until it is woken.
func (r *rankQueue) parkFirst() {
	tq := r.ready[0]
	heap.Remove(&r.ready, 0)
	tq.parked, tq.parkedTokens = true, -1
	r.parkedTargets++
}

func (r *rankQueue) wake(tq *targetQueue) {
	if !tq.parked {
		return
	}
	tq.parked = false
	r.parkedTargets--
	heap.Push(&r.ready, tq)
}

func (r *rankQueue) wakeModel(model vrid.ModelID) {
	if r.parkedTargets == 0 {
		return
	}
	for _, tq := range r.byModel[model] {
		r.wake(tq)
	}
}

func (r *rankQueue) wakeAll() {
	if r.parkedTargets == 0 {
		return
	}
	for _, tq := range r.byTarget {
		r.wake(tq)
	}
}
