package vrreducer

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// shareStep is the resolution of shares in thousandths: small moves of demand change
	// nothing in the view.
	shareStep = 25
	// shareWhole is what the shares of a zone's daemons add up to in thousandths.
	shareWhole = 1000
	// shareEqual is the part of the slots that is shared out equally, so that a daemon
	// whose demand begins has places at once; the rest goes to where demand is.
	shareEqual = 0.4
	// shareWeight smooths the demand of a second.
	shareWeight = 0.3
)

// shares is the zone owner's knowledge of the daemons' demand.
type shares struct {
	at     time.Time
	opened map[vrid.DaemonID]uint64
	demand map[vrid.DaemonID]float64
}

func newShares() shares {
	return shares{opened: make(map[vrid.DaemonID]uint64), demand: make(map[vrid.DaemonID]float64)}
}

// moveShares grants each live daemon its part of every server's slots, by the requests
// that it opened. Suspect and removed daemons get none.
func (s *State) moveShares(now time.Time) {
	if s.opts.Plain || now.Sub(s.shares.at) < summaryInterval {
		return
	}
	s.shares.at = now
	view := s.member.View()
	var live []vrid.DaemonID
	total := 0.0
	for _, id := range sortedKeys(view.Members) {
		item := view.Members[id]
		if item.State != vrwire.MemberAlive {
			delete(s.shares.demand, id)
			continue
		}
		live = append(live, id)
		total += s.shares.note(id, item.Opened)
	}
	granted := make(map[vrid.DaemonID]uint32, len(live))
	for _, id := range live {
		part := 1 / float64(len(live))
		if total > 1 {
			part = shareEqual*part + (1-shareEqual)*s.shares.demand[id]/total
		}
		granted[id] = max(1, uint32(part*shareWhole/shareStep+0.5)) * shareStep
	}
	s.member.SetShares(granted)
}

// note takes a daemon's counter of opened requests and returns its smoothed demand.
func (h *shares) note(id vrid.DaemonID, opened uint64) float64 {
	fresh := 0.0
	if last, known := h.opened[id]; known && opened >= last {
		fresh = float64(opened - last)
	}
	h.opened[id] = opened
	h.demand[id] += shareWeight * (fresh - h.demand[id])
	return h.demand[id]
}

// share is the part of each server in the zone that this daemon may fill.
func (s *State) share(view *vrmember.View) float64 {
	if item, ok := view.Members[s.opts.Daemon]; ok && item.Share > 0 {
		return min(1, float64(item.Share)/shareWhole)
	}
	return 1 / float64(max(len(view.Order()), 1))
}

// farShare is the part of each server in other zones that this daemon may fill: an equal
// part over the fleet, since their owners don't know this daemon's demand.
func (s *State) farShare(view *vrmember.View) float64 {
	daemons := len(view.Order())
	for _, remote := range view.Remote {
		daemons += len(remote.Members)
	}
	return 1 / float64(max(daemons, 1))
}
