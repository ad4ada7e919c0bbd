package vrreducer

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

const (
	// tokenBytes is what one token of an answer costs on the wire: its text, its offset
	// and the request's id in a line of JSON.
	tokenBytes vrid.Bytes = 96
	// crossingBurst is how much unused budget a daemon keeps for a burst.
	crossingBurst = 10 * time.Minute
)

// crossing is this daemon's part of the budget of billed bytes between regions.
type crossing struct {
	// left may fall below zero: an answer's size is known only at its end.
	left   float64
	at     time.Time
	billed [vrid.RankCount]vrid.Bytes
}

// answerBytes is what an answer cost on the wire.
func answerBytes(tokens int, body []byte) vrid.Bytes {
	return vrid.Bytes(max(tokens, 0))*tokenBytes + vrid.Bytes(len(body))
}

// mayCross reports whether a request of a rank may be served in another region. Urgent
// work may overdraw the budget by the declared part.
func (s *State) mayCross(now time.Time, rank vrid.Rank) bool {
	index := s.store.Current()
	if s.opts.Plain || index == nil {
		return true
	}
	rate := s.crossingRate()
	s.crossing.refill(now, rate)
	if rank == vrid.RankUrgent {
		overdraft := rate * time.Hour.Seconds() * index.Fleet.CrossRegion.UrgentOverdraft
		return s.crossing.left > -overdraft
	}
	return s.crossing.left > 0
}

// crossingRate is this daemon's part of the budget in bytes a second.
func (s *State) crossingRate() float64 {
	view := s.member.View()
	daemons := max(len(view.Members), 1)
	for _, remote := range view.Remote {
		daemons += len(remote.Members)
	}
	hourly := float64(s.store.Current().Fleet.CrossRegion.BytesPerHour)
	return hourly / time.Hour.Seconds() / float64(daemons)
}

func (c *crossing) refill(now time.Time, rate float64) {
	most := rate * crossingBurst.Seconds()
	if c.at.IsZero() {
		c.left = most
	} else if elapsed := now.Sub(c.at); elapsed > 0 {
		c.left = min(most, c.left+rate*elapsed.Seconds())
	}
	c.at = now
}

// crossed counts billed bytes.
func (s *State) crossed(now time.Time, rank vrid.Rank, bytes vrid.Bytes) {
	if s.store.Current() != nil {
		s.crossing.refill(now, s.crossingRate())
	}
	s.crossing.left -= float64(bytes)
	s.crossing.billed[rank] += bytes
}

// Billed returns the bytes that this daemon sent and received across regions, by rank.
func (s *State) Billed() [vrid.RankCount]vrid.Bytes { return s.crossing.billed }
