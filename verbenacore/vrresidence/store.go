package vrresidence

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	// initialConcurrentLoads is the number of concurrent loads from the weight store before any
	// load was measured. Current deployments declare four at full speed.
	initialConcurrentLoads = 4
	// maxSlowdown is the ratio of a load's actual to its declared time above which the number
	// of concurrent loads counts as too high.
	maxSlowdown = 1.2
	// ceilingAllowance is how many loads may start in a window beyond the declared rate. It is
	// below the 3 that the ceiling itself allows, because the ceiling's windows start at other
	// times.
	ceilingAllowance = 1
)

// storeLimiter limits one service's loads from the weight store: the loads that start within
// a window, and the concurrent loads. It adapts the second limit to how long loads take.
type storeLimiter struct {
	// rate is the number of loads per second that the service declares.
	rate    float64
	ceiling Ceiling
	// blocked is set while the loads of the previous owner are not known.
	blocked bool
	// starts are the start times of loads within the last window.
	starts []time.Time
	// running is the number of current loads, maxConcurrent the adaptive limit.
	running       int
	maxConcurrent int
}

// store returns the limiter of a service's loads from the weight store.
func (p *Planner) store(service vrid.ServiceID) *storeLimiter {
	s := p.stores[service]
	if s == nil {
		s = &storeLimiter{maxConcurrent: initialConcurrentLoads, ceiling: p.opts.Ceiling}
		p.stores[service] = s
	}
	return s
}

// tryStart records the start of a load and returns true, unless the ceiling forbids it or the
// loads of the previous owner are not known yet.
func (s *storeLimiter) tryStart(now time.Time) bool {
	if s.blocked {
		return false
	}
	s.starts = slices.DeleteFunc(s.starts, func(at time.Time) bool { return now.Sub(at) > s.ceiling.Window })
	if float64(len(s.starts)) >= s.rate*s.ceiling.Window.Seconds()+ceilingAllowance && !vrfault.On(vrfault.IgnoreCeiling) {
		return false
	}
	s.starts = append(s.starts, now)
	return true
}

// available returns how many more loads may run concurrently.
func (s *storeLimiter) available() int { return s.maxConcurrent - s.running }

// loadEnded adjusts the limit of concurrent loads to how long a load took: a load slower than
// maxSlowdown lowers it, a load at full speed at the limit raises it by one.
func (s *storeLimiter) loadEnded(took time.Duration, j *job) {
	if j.expectedTime <= 0 || j.concurrentLoads <= 0 {
		return
	}
	slowdown := float64(took) / float64(j.expectedTime)
	if slowdown > maxSlowdown {
		s.maxConcurrent = max(1, min(s.maxConcurrent, int(float64(j.concurrentLoads)/slowdown+0.5)))
		return
	}
	if j.concurrentLoads >= s.maxConcurrent {
		s.maxConcurrent++
	}
}
