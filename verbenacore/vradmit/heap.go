package vradmit

import "math"

// deadlineClass is the resolution at which deadlines order requests; within a class the
// callers' virtual times do.
const deadlineClass = 250_000_000

// before orders two requests of one rank.
func before(a, b *Item) bool {
	classA := a.Deadline.UnixNano() / deadlineClass
	classB := b.Deadline.UnixNano() / deadlineClass
	if classA != classB {
		return classA < classB
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

// halve returns 2 to the power of -halfLives.
func halve(halfLives float64) float64 { return math.Exp2(-halfLives) }
