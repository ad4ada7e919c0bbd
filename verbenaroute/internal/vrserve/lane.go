package vrserve

import (
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// laneOptions construct a lane.
type laneOptions struct {
	// Workers is how many tasks run at once, Queue how many wait.
	Workers int
	Queue   int
	// OnPanic is told of a task that panicked.
	OnPanic func(*panics.Recovered)
}

// lane runs tasks in order of arrival with a bounded number of goroutines and a
// bounded queue. Goroutines start with the first task and end when none is left.
type lane struct {
	options laneOptions
	workers conc.WaitGroup

	mu      sync.Mutex
	running int
	waiting []func()
	closed  bool
}

func newLane(options laneOptions) *lane { return &lane{options: options} }

// submit never blocks; false means that the queue is full or the lane is closed.
func (l *lane) submit(task func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if l.running < l.options.Workers {
		l.running++
		l.workers.Go(func() { l.work(task) })
		return true
	}
	if len(l.waiting) >= l.options.Queue {
		return false
	}
	l.waiting = append(l.waiting, task)
	return true
}

func (l *lane) work(task func()) {
	for task != nil {
		if caught := panics.Try(task); caught != nil {
			l.options.OnPanic(caught)
		}
		task = l.next()
	}
}

// next takes the oldest waiting task, or ends the worker.
func (l *lane) next() func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 || l.closed {
		l.running--
		return nil
	}
	task := l.waiting[0]
	l.waiting[0] = nil
	l.waiting = l.waiting[1:]
	return task
}

// close drops waiting tasks and waits for the running ones.
func (l *lane) close() {
	l.mu.Lock()
	l.closed = true
	l.waiting = nil
	l.mu.Unlock()
	l.workers.Wait()
}
