package vradmit

import "math"

// deadlineBucketNanos is the resolution, in nanoseconds, at which deadlines order
// requests; within one bucket the virtual start times of the callers do.
const deadlineBucketNanos = 250_000_000

// itemLess reports whether a is served before b; both have the same rank.
func itemLess(a, b *Item) bool {
	if a.Begun != b.Begun {
		return a.Begun
	}
	if a.late != b.late {
		return b.late
	}
	if a.deadlineBucket != b.deadlineBucket {
		return a.deadlineBucket < b.deadlineBucket
	}
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	if a.tieNanos != b.tieNanos {
		return a.tieNanos < b.tieNanos
	}
	if a.Request != b.Request {
		return a.Request < b.Request
	}
	return a.sequence < b.sequence
}

// itemHeap orders the items of one target by itemLess. It implements heap.Interface.
type itemHeap []*Item

// Len returns the number of items.
func (h *itemHeap) Len() int { return len(*h) }

// Less orders by deadline bucket, then by virtual start time.
func (h *itemHeap) Less(i, j int) bool { return itemLess((*h)[i], (*h)[j]) }

// Swap exchanges two items.
func (h *itemHeap) Swap(i, j int) {
	(*h)[i], (*h)[j] = (*h)[j], (*h)[i]
	(*h)[i].targetIndex = i
	(*h)[j].targetIndex = j
}

// Push appends an item.
func (h *itemHeap) Push(x any) {
	item, ok := x.(*Item)
	if !ok {
		return
	}
	item.targetIndex = len(*h)
	*h = append(*h, item)
}

// Pop removes the last item.
func (h *itemHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}

// lateHeap orders the items of a weighted queue that are not late by when they will be. It implements
// heap.Interface.
type lateHeap []*Item

// Len returns the number of items.
func (h *lateHeap) Len() int { return len(*h) }

// Less orders by LateAt, then by arrival.
func (h *lateHeap) Less(i, j int) bool {
	a, b := (*h)[i], (*h)[j]
	if !a.LateAt.Equal(b.LateAt) {
		return a.LateAt.Before(b.LateAt)
	}
	return a.sequence < b.sequence
}

// Swap exchanges two items.
func (h *lateHeap) Swap(i, j int) { (*deadlineHeap)(h).Swap(i, j) }

// Push appends an item.
func (h *lateHeap) Push(x any) { (*deadlineHeap)(h).Push(x) }

// Pop removes the last item.
func (h *lateHeap) Pop() any { return (*deadlineHeap)(h).Pop() }

// startHeap orders the items of one rank of a weighted queue by their virtual start. It implements heap.Interface.
type startHeap []*Item

// Len returns the number of items.
func (h *startHeap) Len() int { return len(*h) }

// Less orders by virtual start.
func (h *startHeap) Less(i, j int) bool { return (*h)[i].virtualStart < (*h)[j].virtualStart }

// Swap exchanges two items.
func (h *startHeap) Swap(i, j int) {
	(*h)[i], (*h)[j] = (*h)[j], (*h)[i]
	(*h)[i].startIndex = i
	(*h)[j].startIndex = j
}

// Push appends an item.
func (h *startHeap) Push(x any) {
	item, ok := x.(*Item)
	if !ok {
		return
	}
	item.startIndex = len(*h)
	*h = append(*h, item)
}

// Pop removes the last item.
func (h *startHeap) Pop() any { return (*deadlineHeap)(h).Pop() }

// deadlineHeap orders all items by their deadlines. It implements heap.Interface.
type deadlineHeap []*Item

// Len returns the number of items.
func (h *deadlineHeap) Len() int { return len(*h) }

// Less orders by deadline, then by id.
func (h *deadlineHeap) Less(i, j int) bool {
	a, b := (*h)[i], (*h)[j]
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.Request < b.Request
}

// Swap exchanges two items.
func (h *deadlineHeap) Swap(i, j int) {
	(*h)[i], (*h)[j] = (*h)[j], (*h)[i]
	(*h)[i].deadlineIndex = i
	(*h)[j].deadlineIndex = j
}

// Push appends an item.
func (h *deadlineHeap) Push(x any) {
	item, ok := x.(*Item)
	if !ok {
		return
	}
	item.deadlineIndex = len(*h)
	*h = append(*h, item)
}

// Pop removes the last item.
func (h *deadlineHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}

// readyHeap orders the targets of a rank that are not parked by their first items. It
// implements heap.Interface.
type readyHeap []*targetQueue

// Len returns the number of targets.
func (h *readyHeap) Len() int { return len(*h) }

// Less orders by the first item of each target.
func (h *readyHeap) Less(i, j int) bool { return itemLess((*h)[i].items[0], (*h)[j].items[0]) }

// Swap exchanges two targets.
func (h *readyHeap) Swap(i, j int) {
	(*h)[i], (*h)[j] = (*h)[j], (*h)[i]
	(*h)[i].readyIndex = i
	(*h)[j].readyIndex = j
}

// Push appends a target.
func (h *readyHeap) Push(x any) {
	tq, ok := x.(*targetQueue)
	if !ok {
		return
	}
	tq.readyIndex = len(*h)
	*h = append(*h, tq)
}

// Pop removes the last target.
func (h *readyHeap) Pop() any {
	old := *h
	tq := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return tq
}

// decayFactor returns 2 to the power of -halfLives.
func decayFactor(halfLives float64) float64 { return math.Exp2(-halfLives) }
