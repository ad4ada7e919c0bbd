package vrreducer

import (
	"math"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// shareStep is the resolution of shares in thousandths: small moves of demand change
	// nothing in the view.
	shareStep = 25
	// shareWhole is what the shares of all daemons add up to in thousandths.
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
	// far is the smoothed part of the zone's load that comes from other zones, and
	// farPart what is granted to them.
	far     float64
	farPart float64
	// returned is when this zone heard of the first other zone after hearing of none.
	returned time.Time
	// joined is set once another zone was heard of: a first start is no return.
	joined bool
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
	view := s.membership.View()
	var live []vrid.DaemonID
	total := 0.0
	for _, id := range sortedKeys(view.Members) {
		item := view.Members[id]
		if item.State != vrwire.MemberAlive {
			delete(s.shares.demand, id)
			continue
		}
		live = append(live, id)
		total += s.shares.note(id, view.Counters(id).Opened)
	}
	s.shares.farPart = s.farPart(view)
	granted := make(map[vrid.DaemonID]uint32, len(live))
	for _, id := range live {
		part := 1 / float64(len(live))
		if total > 1 {
			part = shareEqual*part + (1-shareEqual)*s.shares.demand[id]/total
		}
		part *= 1 - s.shares.farPart
		granted[id] = max(1, uint32(part*shareWhole/shareStep+0.5)) * shareStep
	}
	s.membership.SetShares(granted)
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

// farShare is the part of each server in another zone that this daemon may fill.
func (s *State) farShare(view *vrmember.View, summary vrwire.ZoneSummary) float64 {
	if summary.FarShare > 0 {
		return float64(summary.FarShare) / shareWhole
	}
	return 1 / float64(max(s.fleetDaemons(view), 1))
}

func (s *State) fleetDaemons(view *vrmember.View) int {
	daemons := len(view.Order())
	for _, remote := range view.Remote {
		daemons += len(remote.Members)
	}
	return daemons
}

// farPart is the part of the zone's slots for the daemons of other zones. It follows
// what they use and leaves them room to ask for more.
func (s *State) farPart(view *vrmember.View) float64 {
	const least, most, growth, weight = 0.1, 0.5, 0.1, 0.3
	running, near := 0, 0
	for _, item := range view.Servers {
		running += int(item.Running + item.Waiting)
	}
	for id, item := range view.Members {
		if item.State == vrwire.MemberAlive {
			near += int(view.Counters(id).Near)
		}
	}
	used := 0.0
	if running > 0 {
		used = max(0, float64(running-near)/float64(running))
	}
	s.shares.far += weight * (used - s.shares.far)
	return min(most, max(least, s.shares.far+growth))
}

// farSteps is the resolution of the part for other zones.
const farSteps = 5

// rampStep is the part of its capacity that a zone which reconnects opens to the others
// each second: the work that waited elsewhere must not fill its servers at once.
const rampStep = 0.1

// ramp is the part that the zone may open to others by now.
func (s *State) ramp(now time.Time) float64 {
	if s.shares.joined && !s.membership.AnyRemoteHeard() {
		return rampStep
	}
	return min(1, rampStep*float64(1+now.Sub(s.shares.returned)/time.Second))
}

// farGrant is one far daemon's share in thousandths.
func (s *State) farGrant(now time.Time) uint32 {
	view := s.membership.View()
	others := s.fleetDaemons(view) - len(view.Order())
	if s.opts.Plain || others <= 0 {
		return 0
	}
	// Steps keep the view of every zone from changing with each summary.
	part := min(s.ramp(now), math.Ceil(s.shares.farPart*farSteps)/farSteps)
	return max(1, uint32(part*shareWhole/float64(others)))
}
