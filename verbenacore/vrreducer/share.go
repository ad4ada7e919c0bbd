package vrreducer

import (
	"math"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// shareStep is the resolution of shares in thousandths, so that small changes in
	// demand don't change the view.
	shareStep = 25
	// shareTotal is the sum of the shares of all daemons in thousandths.
	shareTotal = 1000
	// equalFraction is the fraction of the slots that is divided equally, so that a
	// daemon whose demand begins has slots immediately. The rest is divided by demand.
	equalFraction = 0.4
	// demandSmoothing is the weight of the newest second in the smoothed demand.
	demandSmoothing = 0.3
)

// shareState is what the zone owner knows of the demand of daemons and other zones.
type shareState struct {
	updatedAt      time.Time
	openedCounts   map[vrid.DaemonID]uint64
	smoothedDemand map[vrid.DaemonID]float64
	// remoteUse is the smoothed fraction of the zone's load that comes from other
	// zones, remoteFraction the fraction that is granted to them.
	remoteUse      float64
	remoteFraction float64
	// reconnectedAt is when this zone first heard from another zone after hearing from
	// none.
	reconnectedAt time.Time
	// remoteSeen is set once another zone was heard from, so that the first start
	// doesn't count as a reconnection.
	remoteSeen bool
}

func newShareState() shareState {
	return shareState{openedCounts: make(map[vrid.DaemonID]uint64), smoothedDemand: make(map[vrid.DaemonID]float64)}
}

// updateShares grants each live daemon its share of every server's slots, according to
// the requests that it opened. Suspect and removed daemons get none.
func (s *State) updateShares(now time.Time) {
	if s.opts.Baseline || now.Sub(s.shares.updatedAt) < summaryInterval {
		return
	}
	s.shares.updatedAt = now
	view := s.membership.View()
	var live []vrid.DaemonID
	total := 0.0
	for _, id := range sortedKeys(view.Members) {
		item := view.Members[id]
		if item.State != vrwire.MemberAlive {
			delete(s.shares.smoothedDemand, id)
			continue
		}
		live = append(live, id)
		total += s.shares.observeOpened(id, view.Counters(id).Opened)
	}
	s.shares.remoteFraction = s.remoteZonesFraction(view)
	granted := make(map[vrid.DaemonID]uint32, len(live))
	for _, id := range live {
		fraction := 1 / float64(len(live))
		if total > 1 {
			fraction = equalFraction*fraction + (1-equalFraction)*s.shares.smoothedDemand[id]/total
		}
		fraction *= 1 - s.shares.remoteFraction
		granted[id] = max(1, uint32(fraction*shareTotal/shareStep+0.5)) * shareStep
	}
	s.membership.SetShares(granted)
}

// observeOpened takes a daemon's counter of opened requests and returns its smoothed
// demand.
func (h *shareState) observeOpened(id vrid.DaemonID, opened uint64) float64 {
	newRequests := 0.0
	if last, known := h.openedCounts[id]; known && opened >= last {
		newRequests = float64(opened - last)
	}
	h.openedCounts[id] = opened
	h.smoothedDemand[id] += demandSmoothing * (newRequests - h.smoothedDemand[id])
	return h.smoothedDemand[id]
}

// ownShare returns the fraction of each server in the zone that this daemon may use.
func (s *State) ownShare(view *vrmember.View) float64 {
	if item, ok := view.Members[s.opts.Daemon]; ok && item.SlotShare > 0 {
		return min(1, float64(item.SlotShare)/shareTotal)
	}
	return 1 / float64(max(len(view.TreeOrder()), 1))
}

// remoteShare returns the fraction of each server in another zone that this daemon may
// use.
func (s *State) remoteShare(view *vrmember.View, summary vrwire.ZoneSummary) float64 {
	if summary.RemoteSlotShare > 0 {
		return float64(summary.RemoteSlotShare) / shareTotal
	}
	return 1 / float64(max(s.fleetDaemonCount(view), 1))
}

func (s *State) fleetDaemonCount(view *vrmember.View) int {
	daemons := len(view.TreeOrder())
	for _, remote := range view.Remote {
		daemons += len(remote.Members)
	}
	return daemons
}

// remoteZonesFraction returns the fraction of the zone's slots for the daemons of other
// zones. It follows their use and adds headroom for growth.
func (s *State) remoteZonesFraction(view *vrmember.View) float64 {
	const minFraction, maxFraction, headroom, smoothing = 0.1, 0.5, 0.1, 0.3
	inFlight, localInFlight := 0, 0
	for _, item := range view.Servers {
		inFlight += int(item.Running + item.Waiting)
	}
	for id, item := range view.Members {
		if item.State == vrwire.MemberAlive {
			localInFlight += int(view.Counters(id).LocalInFlight)
		}
	}
	remoteUse := 0.0
	if inFlight > 0 {
		remoteUse = max(0, float64(inFlight-localInFlight)/float64(inFlight))
	}
	s.shares.remoteUse += smoothing * (remoteUse - s.shares.remoteUse)
	return min(maxFraction, max(minFraction, s.shares.remoteUse+headroom))
}

// remoteFractionSteps is the resolution of the fraction for other zones, in steps per
// whole.
const remoteFractionSteps = 5

// rampPerSecond is the fraction of its capacity that a reconnected zone opens to the
// other zones each second, so that the work waiting elsewhere doesn't fill its servers
// all at once.
const rampPerSecond = 0.1

// rampFraction returns the largest fraction that the zone may currently open to others.
func (s *State) rampFraction(now time.Time) float64 {
	if s.shares.remoteSeen && !s.membership.HasAnyRemoteZone() {
		return rampPerSecond
	}
	return min(1, rampPerSecond*float64(1+now.Sub(s.shares.reconnectedAt)/time.Second))
}

// remoteDaemonShare returns the share of each daemon in another zone, in thousandths.
func (s *State) remoteDaemonShare(now time.Time) uint32 {
	view := s.membership.View()
	remoteDaemons := s.fleetDaemonCount(view) - len(view.TreeOrder())
	if s.opts.Baseline || remoteDaemons <= 0 {
		return 0
	}
	// Rounding up to steps keeps each summary from changing the view of every zone.
	fraction := min(s.rampFraction(now), math.Ceil(s.shares.remoteFraction*remoteFractionSteps)/remoteFractionSteps)
	return max(1, uint32(fraction*shareTotal/float64(remoteDaemons)))
}
