// Package vrretry bounds the requests that are sent to a second server. All daemons share
// one budget for each service; each uses its own part, so no message is needed.
package vrretry

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// Options of a budget.
type Options struct {
	// Ratio is the part of a service's requests that may be sent again.
	Ratio float64
	// Slack is what may be sent again beside it in each Window, over all daemons.
	Slack  float64
	Window time.Duration
}

// spare is the part of the budget that is used: daemons see windows at other moments
// than who counts, and a service's requests may be spread unevenly over daemons.
const spare = 0.8

// buckets divide a window.
const buckets = 10

// Budget counts requests and resends of each service in a sliding window.
type Budget struct {
	opts     Options
	daemons  int
	services map[vrid.ServiceID]*window
}

type window struct {
	start   time.Time
	current int
	firsts  [buckets]int
	resends [buckets]int
}

// New returns an unused budget.
func New(opts Options) *Budget {
	return &Budget{opts: opts, daemons: 1, services: make(map[vrid.ServiceID]*window)}
}

// Bound replaces the options.
func (b *Budget) Bound(opts Options) {
	if opts.Window != b.opts.Window {
		clear(b.services)
	}
	b.opts = opts
}

// SetDaemons divides the slack by the number of daemons that may be alive.
func (b *Budget) SetDaemons(count int) { b.daemons = max(count, 1) }

func (b *Budget) window(now time.Time, service vrid.ServiceID) *window {
	w := b.services[service]
	if w == nil {
		w = &window{start: now}
		b.services[service] = w
	}
	step := b.opts.Window / buckets
	for i := 0; now.Sub(w.start) >= step && i <= buckets; i++ {
		w.current = (w.current + 1) % buckets
		w.firsts[w.current], w.resends[w.current] = 0, 0
		w.start = w.start.Add(step)
	}
	if now.Sub(w.start) >= step {
		w.start = now
	}
	return w
}

// First notes the first send of a request.
func (b *Budget) First(now time.Time, service vrid.ServiceID) {
	w := b.window(now, service)
	w.firsts[w.current]++
}

// Take reports whether a request may be sent again, and counts it.
func (b *Budget) Take(now time.Time, service vrid.ServiceID) bool {
	w := b.window(now, service)
	firsts, resends := 0, 0
	for i := range buckets {
		firsts += w.firsts[i]
		resends += w.resends[i]
	}
	allowed := spare * (b.opts.Ratio*float64(firsts) + b.opts.Slack/float64(b.daemons))
	if float64(resends+1) > allowed {
		return false
	}
	w.resends[w.current]++
	return true
}
