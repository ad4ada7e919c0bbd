// Package vrretry implements a retry budget, which limits the requests that are sent to
// another server after a failure. All daemons share the budget of a service. Each daemon counts
// its own requests only and gets an equal part of the slack, so that the daemons need not
// exchange messages.
package vrretry

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// Options configures a Budget.
type Options struct {
	// Ratio is the fraction of a service's requests that may be retried.
	Ratio float64
	// Slack is the number of retries allowed in addition to Ratio in each Window, summed
	// over all daemons.
	Slack float64
	// Window is the length of the sliding window in which requests and retries are counted.
	Window time.Duration
}

// budgetFraction is the fraction of the budget that is used. The margin is needed because a
// daemon's windows start at other times than those in which the total is checked, and because
// a service's requests may be spread unevenly over the daemons.
const budgetFraction = 0.8

// bucketCount is the number of buckets that a window is divided into.
const bucketCount = 10

// Budget counts the requests and retries of each service in a sliding window.
type Budget struct {
	opts     Options
	daemons  int
	services map[vrid.ServiceID]*window
}

// window counts the requests and retries of one service in a ring of buckets.
type window struct {
	bucketStart time.Time
	current     int
	requests    [bucketCount]int
	retries     [bucketCount]int
}

// New returns a budget without any counted requests, for a single daemon.
func New(opts Options) *Budget {
	return &Budget{opts: opts, daemons: 1, services: make(map[vrid.ServiceID]*window)}
}

// SetOptions replaces the options. A change of the window length resets the counts.
func (b *Budget) SetOptions(opts Options) {
	if opts.Window != b.opts.Window {
		clear(b.services)
	}
	b.opts = opts
}

// SetDaemons sets the number of daemons that share the slack. It may include dead ones.
func (b *Budget) SetDaemons(count int) { b.daemons = max(count, 1) }

// window returns the window of a service, advanced to the current time.
func (b *Budget) window(now time.Time, service vrid.ServiceID) *window {
	w := b.services[service]
	if w == nil {
		w = &window{bucketStart: now}
		b.services[service] = w
	}
	bucketDuration := b.opts.Window / bucketCount
	for i := 0; now.Sub(w.bucketStart) >= bucketDuration && i <= bucketCount; i++ {
		w.current = (w.current + 1) % bucketCount
		w.requests[w.current], w.retries[w.current] = 0, 0
		w.bucketStart = w.bucketStart.Add(bucketDuration)
	}
	if now.Sub(w.bucketStart) >= bucketDuration {
		w.bucketStart = now
	}
	return w
}

// CountRequest counts the first send of a request.
func (b *Budget) CountRequest(now time.Time, service vrid.ServiceID) {
	w := b.window(now, service)
	w.requests[w.current]++
}

// HasRetry reports whether a request might be retried now, without counting a retry.
func (b *Budget) HasRetry(now time.Time, service vrid.ServiceID) bool {
	return b.hasRetry(b.window(now, service))
}

// AllowRetry reports whether a request may be retried now, and if so counts the retry.
func (b *Budget) AllowRetry(now time.Time, service vrid.ServiceID) bool {
	w := b.window(now, service)
	if !b.hasRetry(w) {
		return false
	}
	w.retries[w.current]++
	return true
}

// hasRetry reports whether the window has room for one more retry.
func (b *Budget) hasRetry(w *window) bool {
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := budgetFraction * (b.opts.Ratio*float64(requests) + b.opts.Slack/float64(b.daemons))
	return float64(retries+1) <= allowed
}
