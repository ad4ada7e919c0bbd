package vrreducer

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

const (
	// bytesPerToken is the size of one streamed token on the wire: its text, its offset
	// and the request's id in a line of JSON.
	bytesPerToken vrid.Bytes = 96
	// budgetBurst limits how much unused budget a daemon saves for a burst: what
	// accrues in this time.
	budgetBurst = 10 * time.Minute
)

// crossRegionBudget is this daemon's share of the budget for billed bytes between
// regions, as a token bucket.
type crossRegionBudget struct {
	// remaining may become negative: the size of an answer is known only at its end.
	remaining  float64
	refilledAt time.Time
	billed     [vrid.RankCount]vrid.Bytes
}

// answerWireSize returns the size of an answer on the wire.
func answerWireSize(tokens int, body []byte) vrid.Bytes {
	return vrid.Bytes(max(tokens, 0))*bytesPerToken + vrid.Bytes(len(body))
}

// mayCrossRegion reports whether a request of a rank may be served in another region.
// Urgent requests may overdraw the budget by the configured fraction.
func (s *State) mayCrossRegion(now time.Time, rank vrid.Rank) bool {
	index := s.configStore.Current()
	if s.opts.Baseline || index == nil {
		return true
	}
	rate := s.crossRegionRate()
	s.crossRegion.refill(now, rate)
	if rank == vrid.RankUrgent {
		overdraft := rate * time.Hour.Seconds() * index.Fleet.CrossRegion.UrgentOverdraft
		return s.crossRegion.remaining > -overdraft
	}
	return s.crossRegion.remaining > 0
}

// crossRegionRate returns this daemon's share of the budget in bytes per second.
func (s *State) crossRegionRate() float64 {
	view := s.membership.View()
	daemons := max(len(view.Members), 1)
	for _, remote := range view.Remote {
		daemons += len(remote.Members)
	}
	hourly := float64(s.configStore.Current().Fleet.CrossRegion.BytesPerHour)
	return hourly / time.Hour.Seconds() / float64(daemons)
}

func (c *crossRegionBudget) refill(now time.Time, rate float64) {
	limit := rate * budgetBurst.Seconds()
	if c.refilledAt.IsZero() {
		c.remaining = limit
	} else if elapsed := now.Sub(c.refilledAt); elapsed > 0 {
		c.remaining = min(limit, c.remaining+rate*elapsed.Seconds())
	}
	c.refilledAt = now
}

// chargeCrossRegion charges billed bytes to the budget.
func (s *State) chargeCrossRegion(now time.Time, rank vrid.Rank, bytes vrid.Bytes) {
	if s.configStore.Current() != nil {
		s.crossRegion.refill(now, s.crossRegionRate())
	}
	s.crossRegion.remaining -= float64(bytes)
	s.crossRegion.billed[rank] += bytes
}

// CrossRegionBytes returns the bytes that this daemon sent and received across regions, by rank.
func (s *State) CrossRegionBytes() [vrid.RankCount]vrid.Bytes { return s.crossRegion.billed }
