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

// readyStep is the resolution of expected ends, so that they seldom change the view.
const readyStep = 100 * time.Millisecond

// loadPaceHalfLife is how fast the memory of slow loads fades: a weight store that
// recovered is believed again after about a minute without loads.
const loadPaceHalfLife = 20 * time.Second

// loadPace is how much longer than declared the loads took that this daemon's requests
// waited for.
type loadPace struct {
	factor float64
	at     time.Time
}

func (p *loadPace) now(now time.Time) float64 {
	if p.factor <= 1 {
		return 1
	}
	faded := math.Exp2(-float64(now.Sub(p.at)) / float64(loadPaceHalfLife))
	return 1 + (p.factor-1)*faded
}

// learn takes the measured time of a load and its declared time.
func (p *loadPace) learn(now time.Time, took, declared time.Duration) {
	if declared <= 0 {
		return
	}
	const weight = 0.5
	held := p.now(now)
	measured := max(1, float64(took)/float64(declared))
	*p = loadPace{factor: held + weight*(measured-held), at: now}
}

// learnLoad notes how long a cold request waited for its load.
func (s *State) learnLoad(now time.Time, r *request) {
	if r.cold && r.attempt == 1 {
		s.loadSlowdown.learn(now, now.Sub(r.Arrived), s.declared(r))
	}
}

// learnMiss notes that the load of a cold request did not end by its deadline, so that
// the next ones are refused at once.
func (s *State) learnMiss(now time.Time, r *request) {
	waited := now.Sub(r.Arrived)
	if r.cold && !r.sent && waited > time.Duration(s.loadSlowdown.now(now)*float64(s.declared(r))) {
		s.loadSlowdown.learn(now, waited, s.declared(r))
	}
}

// declared is the load time of a request's model at full speed.
func (s *State) declared(r *request) time.Duration {
	if model := s.configStore.Current().Model(r.Model); model != nil {
		return model.LoadTime.Std()
	}
	return 0
}

// loadStarted notes the start of a load that the zone's owner decided.
func (s *State) loadStarted(now time.Time, action vrledger.Action) {
	if action.Kind == vrledger.ActionLoad && action.Adapter == "" {
		s.zone.loadStartedAt[action.Server] = now
	}
}

// loadEnded learns the weight store's pace as the zone's owner.
func (s *State) loadEnded(now time.Time, event vrevent.OrderAnswered) {
	started, ok := s.zone.loadStartedAt[event.Server]
	if !ok || event.Order.Kind != vrengine.OrderLoad {
		return
	}
	delete(s.zone.loadStartedAt, event.Server)
	model := s.configStore.Current().Model(event.Order.Model)
	if event.Status == vrengine.OrderDone && model != nil && !vrplace.IsNear(event.Order.Source) {
		s.zone.storeSlowdown.learn(now, now.Sub(started), model.LoadTime.Std())
	}
}

// setReadyTimes tells the zone when its running loads can be expected to end.
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
			length := s.zone.storeSlowdown.now(now) * float64(model.LoadTime.Std())
			end := started.Add(time.Duration(length)).Truncate(readyStep)
			replica.ReadyAt = max(end.UnixMilli(), replica.ReadyAt)
		}
	}
}

// reachable reports whether a cold request can be served before its deadline, and
// otherwise when a retry can be expected to meet a loaded replica.
func (s *State) reachable(now time.Time, r *request) (time.Duration, bool) {
	wait := time.Duration(float64(s.loadTime(now, r)) * s.loadSlowdown.now(now))
	if s.opts.Plain {
		wait = s.loadTime(now, r)
	}
	if ready, ok := s.readyAt(r); ok && ready.After(now) {
		wait = max(ready.Sub(now), 0)
	}
	return max(wait, time.Second), now.Add(wait).Before(r.Deadline)
}

// readyAt is the earliest expected end of a load of the request's model in the zone.
func (s *State) readyAt(r *request) (time.Time, bool) {
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

// retryAfter is when a request that waited for a load in vain can be expected to meet
// the replica.
func (s *State) retryAfter(now time.Time, r *request) time.Duration {
	wait, _ := s.reachable(now, r)
	return wait
}
