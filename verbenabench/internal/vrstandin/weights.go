package vrstandin

import (
	"context"
	"sync"
	"time"
)

// weights simulates a weight store whose readers share its bandwidth: up to slots loads
// run at full speed, and beyond that all loads slow down in proportion.
type weights struct {
	mu     sync.Mutex
	slots  int
	factor float64
	jobs   map[*weightJob]struct{}
	// updatedAt is when the remaining work of the jobs was last updated.
	updatedAt time.Time
	// changed is closed and replaced when the speed changes.
	changed chan struct{}
}

// weightJob is one load; remaining is the time it still needs at full speed.
type weightJob struct {
	remaining time.Duration
}

func newWeights(slots int) *weights {
	return &weights{
		slots:     slots,
		factor:    1,
		jobs:      make(map[*weightJob]struct{}),
		updatedAt: time.Now(),
		changed:   make(chan struct{}),
	}
}

// Load simulates a load whose duration at full speed is work. It returns when the load is
// done or ctx ends.
func (w *weights) Load(ctx context.Context, work time.Duration) error {
	job := &weightJob{remaining: work}
	w.update(func() { w.jobs[job] = struct{}{} })
	defer w.update(func() { delete(w.jobs, job) })
	for {
		left, changed := w.timeLeft(job)
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

// SetFactor sets the factor by which every load slows down; 1 is full speed.
func (w *weights) SetFactor(factor float64) {
	w.update(func() { w.factor = max(factor, 1) })
}

// Running returns the number of loads in flight.
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

// slowdown returns the current duration of a load relative to full speed.
func (w *weights) slowdown() float64 {
	load := float64(len(w.jobs)) / float64(w.slots)
	return max(load, 1) * w.factor
}

func (w *weights) advance() {
	now := time.Now()
	elapsedWork := time.Duration(float64(now.Sub(w.updatedAt)) / w.slowdown())
	for job := range w.jobs {
		job.remaining -= elapsedWork
	}
	w.updatedAt = now
}

// timeLeft returns the remaining time of a job at the current speed, and a channel that
// is closed when the speed changes.
func (w *weights) timeLeft(job *weightJob) (time.Duration, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	// The division in advance rounds down, so a job counts as done when less than a
	// microsecond remains.
	const roundingError = time.Microsecond
	if job.remaining <= roundingError {
		return 0, w.changed
	}
	return time.Duration(float64(job.remaining) * w.slowdown()), w.changed
}
