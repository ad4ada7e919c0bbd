package vrserve

import (
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// laneOptions holds the options of a lane.
type laneOptions struct {
	// Workers is the maximum number of tasks that run at once, Queue the maximum number
	// that wait.
	Workers int
	Queue   int
	// OnPanic is called for each task that panicked.
	OnPanic func(*panics.Recovered)
}

// lane is a worker pool that starts tasks in order of arrival on a bounded number of
// goroutines and with a bounded queue. Workers are started on demand and end when no
// task is waiting.
type lane struct {
	options laneOptions
	workers conc.WaitGroup

	mu      sync.Mutex
	running int
	waiting []func()
	closed  bool
}

func newLane(options laneOptions) *lane { return &lane{options: options} }

// submit runs or queues a task without blocking. It returns false if the queue is full
// or the pool is closed.
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

// work runs a task and then waiting tasks until none is left.
func (l *lane) work(task func()) {
	for task != nil {
		if caught := panics.Try(task); caught != nil {
			l.options.OnPanic(caught)
		}
		task = l.next()
	}
}

// next dequeues the oldest waiting task. It returns nil if the worker has to end, and
// counts that worker out.
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

// close discards waiting tasks and waits for the running ones.
func (l *lane) close() {
	l.mu.Lock()
	l.closed = true
	l.waiting = nil
	l.mu.Unlock()
	l.workers.Wait()
}
