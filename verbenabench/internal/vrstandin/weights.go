package vrstandin

import (
	"context"
	"sync"
	"time"
)

// weights is a store whose readers share its speed: up to slots of them run at full
// speed, beyond that all of them slow down in proportion.
type weights struct {
	mu     sync.Mutex
	slots  int
	factor float64
	jobs   map[*weightJob]struct{}
	// advanced is when the remaining work of the jobs was last brought up to date.
	advanced time.Time
	// changed is closed and replaced when the speed changes.
	changed chan struct{}
}

// weightJob is one load; remaining is its work at full speed.
type weightJob struct {
	remaining time.Duration
}

func newWeights(slots int) *weights {
	return &weights{
		slots:    slots,
		factor:   1,
		jobs:     make(map[*weightJob]struct{}),
		advanced: time.Now(),
		changed:  make(chan struct{}),
	}
}

// Load takes work at full speed and returns when it is done or the context ends.
func (w *weights) Load(ctx context.Context, work time.Duration) error {
	job := &weightJob{remaining: work}
	w.update(func() { w.jobs[job] = struct{}{} })
	defer w.update(func() { delete(w.jobs, job) })
	for {
		left, changed := w.left(job)
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// SetFactor slows every load down; 1 is full speed.
func (w *weights) SetFactor(factor float64) {
	w.update(func() { w.factor = max(factor, 1) })
}

// Running returns the number of loads.
func (w *weights) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.jobs)
}

func (w *weights) update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	change()
	close(w.changed)
	w.changed = make(chan struct{})
}

// slowdown is how much longer than at full speed each load takes now.
func (w *weights) slowdown() float64 {
	crowd := float64(len(w.jobs)) / float64(w.slots)
	return max(crowd, 1) * w.factor
}

func (w *weights) advance() {
	now := time.Now()
	done := time.Duration(float64(now.Sub(w.advanced)) / w.slowdown())
	for job := range w.jobs {
		job.remaining -= done
	}
	w.advanced = now
}

// left returns how long the job still takes at the present speed.
func (w *weights) left(job *weightJob) (time.Duration, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	// The division in advance rounds down, so a job is done within a microsecond.
	const rounding = time.Microsecond
	if job.remaining <= rounding {
		return 0, w.changed
	}
	return time.Duration(float64(job.remaining) * w.slowdown()), w.changed
}
