// Package vrtimeline provides a discrete-event scheduler with a virtual clock. Scheduled
// functions run in a deterministic order.
package vrtimeline

import (
	"container/heap"
	"time"
)

// Timeline runs scheduled functions in virtual time. It is not safe for concurrent use.
type Timeline struct {
	now      time.Time
	queue    eventQueue
	sequence uint64
}

// New returns a timeline without events whose clock is at start.
func New(start time.Time) Timeline { return Timeline{now: start} }

// event is a scheduled function.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap.Interface with the earliest event first.
type eventQueue []event

// Len returns the number of scheduled events.
func (q eventQueue) Len() int { return len(q) }

// Less orders by time and then by the order of scheduling.
func (q eventQueue) Less(i, j int) bool {
	if c := q[i].at.Compare(q[j].at); c != 0 {
		return c < 0
	}
	return q[i].sequence < q[j].sequence
}

// Swap exchanges two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes and returns the last event of the slice.
func (q *eventQueue) Pop() any {
	events := *q
	last := events[len(events)-1]
	events[len(events)-1] = event{}
	*q = events[:len(events)-1]
	return last
}

// Now returns the virtual time.
func (t *Timeline) Now() time.Time { return t.now }

// After schedules a function to run after the delay; a negative delay counts as zero.
func (t *Timeline) After(delay time.Duration, run func()) {
	t.sequence++
	heap.Push(&t.queue, event{at: t.now.Add(max(delay, 0)), sequence: t.sequence, run: run})
}

// Advance moves the clock forward by the duration and runs all events that fall due.
func (t *Timeline) Advance(duration time.Duration) {
	end := t.now.Add(duration)
	for len(t.queue) > 0 && !t.queue[0].at.After(end) {
		t.runNext()
	}
	t.now = end
}

// Until runs events until the condition holds and reports whether it held within the
// limit. It checks the condition before the first event and after each one.
func (t *Timeline) Until(limit time.Duration, condition func() bool) bool {
	end := t.now.Add(limit)
	for !condition() {
		if len(t.queue) == 0 || t.queue[0].at.After(end) {
			t.now = end
			return condition()
		}
		t.runNext()
	}
	return true
}

// runNext advances the clock to the earliest event and runs it.
func (t *Timeline) runNext() {
	earliest := heap.Pop(&t.queue).(event)
	t.now = earliest.at
	earliest.run()
}
