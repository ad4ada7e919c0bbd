package vradmit

import (
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// servedHalfLife is how fast the memory of served work fades; floors are shares of this
// recent service.
const servedHalfLife = 2 * time.Second

// floorMargin lets a floor be kept by the slots' time although it is counted by requests
// as they start: some of those that start end early.
const floorMargin = 1.1

// lane holds the waiting requests for the servers of one pool: only they compete with
// each other, so floors are kept within it.
type lane struct {
	pool  vrid.PoolID
	ranks [vrid.RankCount]rankQueue
	// served is the recent service of each rank, fading with servedHalfLife.
	served  [vrid.RankCount]float64
	fadedAt time.Time
}

func newLane(pool vrid.PoolID) *lane {
	l := &lane{pool: pool}
	for i := range l.ranks {
		l.ranks[i] = newRankQueue()
	}
	return l
}

func (l *lane) fade(now time.Time) {
	elapsed := now.Sub(l.fadedAt)
	l.fadedAt = now
	if elapsed <= 0 {
		return
	}
	factor := halve(float64(elapsed) / float64(servedHalfLife))
	for i := range l.served {
		l.served[i] *= factor
	}
}

// turn is a rank's place in the order of service.
type turn struct {
	rank vrid.Rank
	lack float64
}

func (t turn) before(other turn, policies *[vrid.RankCount]vrconfig.RankPolicy) bool {
	if t.lack != other.lack {
		return t.lack > other.lack
	}
	return policies[t.rank].Worth > policies[other.rank].Worth
}

// order returns the ranks in the order of service: those below their floor first, the
// one that lacks most of it leading, then the others by worth.
func (l *lane) order(now time.Time, policies *[vrid.RankCount]vrconfig.RankPolicy) [vrid.RankCount]turn {
	l.fade(now)
	total := 0.0
	for _, served := range l.served {
		total += served
	}
	var turns [vrid.RankCount]turn
	for i, rank := range vrid.Ranks() {
		turns[i] = turn{rank: rank, lack: l.lack(rank, total, policies)}
		for j := i; j > 0 && turns[j].before(turns[j-1], policies); j-- {
			turns[j], turns[j-1] = turns[j-1], turns[j]
		}
	}
	return turns
}

// lack is the part of its floor that a waiting rank did not get recently, between 0 and
// 1: a small floor is then as urgent as a large one. A rank that waits only for loads
// does not lack service.
func (l *lane) lack(rank vrid.Rank, total float64, policies *[vrid.RankCount]vrconfig.RankPolicy) float64 {
	if len(l.ranks[rank].ready) == 0 || policies[rank].Floor == 0 {
		return 0
	}
	floor := policies[rank].Floor * floorMargin
	return max(0, 1-l.served[rank]/max(total, 1)/floor)
}
