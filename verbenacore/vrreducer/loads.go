package vrreducer

import (
	"math"
	"time"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrplace"
	"verbenaroute.example/verbenacore/vrwire"
)

// readyTimeResolution is the resolution of the expected ends of loads. It is coarse so
// that they seldom change the view.
const readyTimeResolution = 100 * time.Millisecond

// slowdownHalfLife is the half-life of a measured slowdown. Without further loads, a
// weight store that has recovered is trusted again after about a minute.
const slowdownHalfLife = 20 * time.Second

// slowdown is a decaying estimate of the ratio of measured to declared load time.
type slowdown struct {
	factor float64
	at     time.Time
}

func (d *slowdown) current(now time.Time) float64 {
	if d.factor <= 1 {
		return 1
	}
	decay := math.Exp2(-float64(now.Sub(d.at)) / float64(slowdownHalfLife))
	return 1 + (d.factor-1)*decay
}

// observe adds a load's measured time, compared with its declared time, to the
// estimate.
func (d *slowdown) observe(now time.Time, elapsed, declared time.Duration) {
	if declared <= 0 {
		return
	}
	const smoothing = 0.5
	previous := d.current(now)
	measured := max(1, float64(elapsed)/float64(declared))
	*d = slowdown{factor: previous + smoothing*(measured-previous), at: now}
}

// observeLoadWait measures how long a cold request waited for its load.
func (s *State) observeLoadWait(now time.Time, r *request) {
	if r.cold && r.attempt == 1 {
		s.loadSlowdown.observe(now, now.Sub(r.Arrived), s.declaredLoadTime(r))
	}
}

// observeMissedLoad takes into account that a cold request's load did not end by its
// deadline, so that later requests are refused immediately.
func (s *State) observeMissedLoad(now time.Time, r *request) {
	waited := now.Sub(r.Arrived)
	if r.cold && !r.possiblyRan && waited > time.Duration(s.loadSlowdown.current(now)*float64(s.declaredLoadTime(r))) {
		s.loadSlowdown.observe(now, waited, s.declaredLoadTime(r))
	}
}

// declaredLoadTime is the configured load time of a request's model at full speed.
func (s *State) declaredLoadTime(r *request) time.Duration {
	if model := s.configStore.Current().Model(r.Model); model != nil {
		return model.LoadTime.Std()
	}
	return 0
}

// loadStarted notes when the zone owner decided to start a load.
func (s *State) loadStarted(now time.Time, action vrledger.Action) {
	if action.Kind == vrledger.ActionLoad && action.Adapter == "" {
		s.zone.loadStartedAt[action.Server] = now
	}
}

// loadEnded updates the zone owner's estimate of the weight store's slowdown.
func (s *State) loadEnded(now time.Time, event vrevent.OrderAnswered) {
	started, ok := s.zone.loadStartedAt[event.Server]
	if !ok || event.Order.Kind != vrengine.OrderLoad {
		return
	}
	delete(s.zone.loadStartedAt, event.Server)
	model := s.configStore.Current().Model(event.Order.Model)
	if event.Status == vrengine.OrderDone && model != nil && !vrplace.IsLocalSource(event.Order.Source) {
		s.zone.storeSlowdown.observe(now, now.Sub(started), model.LoadTime.Std())
	}
}

// setReadyTimes sets the expected end of the zone's running loads.
func (s *State) setReadyTimes(now time.Time, items []vrwire.ServerItem) {
	for i := range items {
		started, ok := s.zone.loadStartedAt[items[i].Server]
		if !ok {
			continue
		}
		for j := range items[i].Replicas {
			replica := &items[i].Replicas[j]
			model := s.configStore.Current().Model(replica.Model)
			if replica.State != vrwire.ReplicaLoading || model == nil {
				continue
			}
			expected := s.zone.storeSlowdown.current(now) * float64(model.LoadTime.Std())
			end := started.Add(time.Duration(expected)).Truncate(readyTimeResolution)
			replica.ReadyAt = max(end.UnixMilli(), replica.ReadyAt)
		}
	}
}

// deadlineReachable reports whether a cold request can be served before its deadline.
// It also returns after which time a retry is likely to find a loaded replica.
func (s *State) deadlineReachable(now time.Time, r *request) (time.Duration, bool) {
	timeToReady := time.Duration(float64(s.expectedLoadTime(now, r)) * s.loadSlowdown.current(now))
	if s.opts.Baseline {
		timeToReady = s.expectedLoadTime(now, r)
	}
	if ready, ok := s.earliestReadyAt(r); ok && ready.After(now) {
		timeToReady = max(ready.Sub(now), 0)
	}
	return max(timeToReady, time.Second), now.Add(timeToReady).Before(r.Deadline)
}

// earliestReadyAt returns the earliest expected end of a load of the request's model in
// the zone.
func (s *State) earliestReadyAt(r *request) (time.Time, bool) {
	var earliest int64
	view := s.membership.View()
	for _, item := range view.Servers {
		for i := range item.Replicas {
			replica := &item.Replicas[i]
			if replica.Model != r.Model || replica.State != vrwire.ReplicaLoading || replica.ReadyAt == 0 {
				continue
			}
			if earliest == 0 || replica.ReadyAt < earliest {
				earliest = replica.ReadyAt
			}
		}
	}
	return time.UnixMilli(earliest), earliest != 0
}

// retryAfter returns after which time a request that waited for a load in vain is
// likely to find the replica.
func (s *State) retryAfter(now time.Time, r *request) time.Duration {
	delay, _ := s.deadlineReachable(now, r)
	return delay
}
