package vrserve

import (
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// workerPoolOptions holds the options of a workerPool.
type workerPoolOptions struct {
	// Workers is the maximum number of tasks that run at once, Queue the maximum number
	// that wait.
	Workers int
	Queue   int
	// OnPanic is called for each task that panicked.
	OnPanic func(*panics.Recovered)
}

// workerPool starts tasks in order of arrival, on a bounded number of goroutines and with
// a bounded queue. Workers are started on demand and end when no task is waiting.
type workerPool struct {
	options workerPoolOptions
	workers conc.WaitGroup

	mu      sync.Mutex
	running int
	queue   []func()
	closed  bool
}

func newWorkerPool(options workerPoolOptions) *workerPool { return &workerPool{options: options} }

// submit runs or queues a task without blocking. It returns false if the queue is full
// or the pool is closed.
func (p *workerPool) submit(task func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if p.running < p.options.Workers {
		p.running++
		p.workers.Go(func() { p.work(task) })
		return true
	}
	if len(p.queue) >= p.options.Queue {
		return false
	}
	p.queue = append(p.queue, task)
	return true
}

// work runs a task and then waiting tasks until none is left.
func (p *workerPool) work(task func()) {
	for task != nil {
		if recovered := panics.Try(task); recovered != nil {
			p.options.OnPanic(recovered)
		}
		task = p.next()
	}
}

// next dequeues the oldest waiting task. If no task is waiting or the pool is closed, it
// returns nil and decrements the number of running workers.
func (p *workerPool) next() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 || p.closed {
		p.running--
		return nil
	}
	task := p.queue[0]
	p.queue[0] = nil
	p.queue = p.queue[1:]
	return task
}

// close discards waiting tasks and waits for the running ones.
func (p *workerPool) close() {
	p.mu.Lock()
	p.closed = true
	p.queue = nil
	p.mu.Unlock()
	p.workers.Wait()
}
