package vradmit

import "math"

// deadlineClass is the resolution at which deadlines order requests; within a class the
// callers' virtual times do.
const deadlineClass = 250_000_000

// before orders two requests of one rank.
func before(a, b *Item) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.Request < b.Request
}

// itemHeap implements heap.Interface.
type itemHeap []*Item

// Len returns the number of items.
func (h *itemHeap) Len() int { return len(*h) }

// Less orders by deadline class and caller.
func (h *itemHeap) Less(i, j int) bool { return before((*h)[i], (*h)[j]) }

// Swap exchanges two items.
func (h *itemHeap) Swap(i, j int) {
	(*h)[i], (*h)[j] = (*h)[j], (*h)[i]
	(*h)[i].index = i
	(*h)[j].index = j
}

// Push appends an item.
func (h *itemHeap) Push(x any) {
	item, ok := x.(*Item)
	if !ok {
		return
	}
	item.index = len(*h)
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

// dueHeap orders all items by their deadlines.
type dueHeap []*Item

// Len returns the number of items.
func (h *dueHeap) Len() int { return len(*h) }

// Less orders by deadline, then by id.
func (h *dueHeap) Less(i, j int) bool {
	a, b := (*h)[i], (*h)[j]
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.Request < b.Request
}

// Swap exchanges two items.
func (h *dueHeap) Swap(i, j int) {
	(*h)[i], (*h)[j] = (*h)[j], (*h)[i]
	(*h)[i].due = i
	(*h)[j].due = j
}

// Push appends an item.
func (h *dueHeap) Push(x any) {
	item, ok := x.(*Item)
	if !ok {
		return
	}
	item.due = len(*h)
	*h = append(*h, item)
}

// Pop removes the last item.
func (h *dueHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}

// readyHeap orders the targets of a rank that may be served by their first items.
type readyHeap []*targetQueue

// Len returns the number of targets.
func (h *readyHeap) Len() int { return len(*h) }

// Less orders by the first item of each target.
func (h *readyHeap) Less(i, j int) bool { return before((*h)[i].items[0], (*h)[j].items[0]) }

// Swap exchanges two targets.
func (h *readyHeap) Swap(i, j int) {
	(*h)[i], (*h)[j] = (*h)[j], (*h)[i]
	(*h)[i].index = i
	(*h)[j].index = j
}

// Push appends a target.
func (h *readyHeap) Push(x any) {
	target, ok := x.(*targetQueue)
	if !ok {
		return
	}
	target.index = len(*h)
	*h = append(*h, target)
}

// Pop removes the last target.
func (h *readyHeap) Pop() any {
	old := *h
	target := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return target
}

// halve returns 2 to the power of -halfLives.
func halve(halfLives float64) float64 { return math.Exp2(-halfLives) }
