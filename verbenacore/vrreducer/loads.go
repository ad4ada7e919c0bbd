package vrreducer

import (
	"math"
	"time"

	"verbenaroute.example/verbenacore/vrwire"
)

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

// learnLoad notes how long a cold request waited for its load.
func (s *State) learnLoad(now time.Time, r *request) {
	declared := s.loadTime(r)
	if !r.cold || r.attempt != 1 || declared <= 0 {
		return
	}
	const weight = 0.5
	waited := float64(now.Sub(r.Arrived)) / float64(declared)
	held := s.loads.now(now)
	s.loads = loadPace{factor: held + weight*(max(1, waited)-held), at: now}
}

// reachable reports whether a cold request can be served before its deadline, and
// otherwise when a retry can be expected to meet a loaded replica.
func (s *State) reachable(now time.Time, r *request) (time.Duration, bool) {
	wait := time.Duration(float64(s.loadTime(r)) * s.loads.now(now))
	if s.opts.Plain {
		wait = s.loadTime(r)
	}
	if ready, ok := s.readyAt(r); ok {
		wait = max(ready.Sub(now), 0)
	}
	return max(wait, time.Second), now.Add(wait).Before(r.Deadline)
}

// readyAt is the earliest expected end of a load of the request's model in the zone.
func (s *State) readyAt(r *request) (time.Time, bool) {
	var earliest int64
	view := s.member.View()
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
