package vrgateway

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// demandInterval is the interval between full demand reports to the placement owner,
	// which repeat the targets that calls still wait for.
	demandInterval = time.Second
	// targetDemandInterval is the minimum interval between demand reports for one target.
	targetDemandInterval = 500 * time.Millisecond
	// earlyDemandDelay delays an early full demand report, so that one report covers several
	// changes of the calls in flight.
	earlyDemandDelay = 150 * time.Millisecond
	// planInterval is the interval between placement plans if nothing has changed, and
	// minPlanInterval is the minimum interval after a change. Planning is expensive because it
	// examines every server and model.
	planInterval    = 100 * time.Millisecond
	minPlanInterval = 40 * time.Millisecond
	// maxCandidateDelay is the maximum of the random startup delay that keeps daemons from
	// all trying to acquire the lease at the same time.
	maxCandidateDelay = 400 * time.Millisecond
)

// ownerState holds what this daemon knows about the placement owner, when it last sent the owner
// a full demand report, and when it plans if it is the owner itself.
type ownerState struct {
	daemon  vrid.DaemonID
	address string
	epoch   vrid.Epoch
	// unreachableAt is when a message to the owner last could not be delivered. It is zero if
	// the owner has been heard from since.
	unreachableAt time.Time
	demandSentAt  time.Time
	// lastPlanAt is when this daemon last planned as the owner, nextPlanAt when it plans next.
	lastPlanAt time.Time
	nextPlanAt time.Time
}

// markUnreachable records that a message to peer could not be delivered, if peer is the owner.
func (o *ownerState) markUnreachable(now time.Time, peer vrid.DaemonID) {
	if peer == o.daemon {
		o.unreachableAt = now
	}
}

// unreachableTTL is how long the owner counts as unreachable after a failed delivery.
const unreachableTTL = 1500 * time.Millisecond

func (o *ownerState) unreachable(now time.Time) bool {
	return !o.unreachableAt.IsZero() && now.Sub(o.unreachableAt) < unreachableTTL
}

// targetDemand counts this daemon's calls for one target, for the next demand report. arrived
// and promptTokens cover the time since the last report; running counts the calls that have
// not ended.
type targetDemand struct {
	arrived      uint32
	running      uint32
	promptTokens uint64
}

// serverModel identifies a model on a server.
type serverModel struct {
	server vrid.ServerID
	model  vrid.ModelID
}

// addInFlight adds delta to the calls in flight on a server for the call's model. delta is 1 for
// a send and -1 for its end.
func (s *State) addInFlight(c *call, server vrid.ServerID, delta int) {
	if c.Model == "" {
		return
	}
	key := serverModel{server: server, model: c.Model}
	count := int(s.inFlight[key]) + delta
	if count <= 0 {
		delete(s.inFlight, key)
		s.reportUnloadedEnd(key)
		return
	}
	s.inFlight[key] = uint32(count)
}

// inFlightByServer returns the number of calls in flight for each server and model.
func (s *State) inFlightByServer() []vrwire.ServerInFlight {
	counts := make([]vrwire.ServerInFlight, 0, len(s.inFlight))
	for key, count := range s.inFlight {
		counts = append(counts, vrwire.ServerInFlight{Server: key.server, Model: key.model, Running: count})
	}
	slices.SortFunc(counts, func(a, b vrwire.ServerInFlight) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Model, b.Model))
	})
	return counts
}

// countDemandArrival counts a new call in the demand for its target. A call counts only once its API key is
// accepted, so that clients without a valid key cause no loads of models.
func (s *State) countDemandArrival(c *call) {
	if c.Model == "" || c.demandCounted {
		return
	}
	c.demandCounted = true
	key := c.target()
	d := s.demand[key]
	if d == nil {
		d = &targetDemand{}
		s.demand[key] = d
	}
	d.arrived++
	d.running++
	d.promptTokens += uint64(c.PromptTokens)
}

// countDemandEnd counts the end of a call in the demand for its target.
func (s *State) countDemandEnd(c *call) {
	if d := s.demand[c.target()]; c.demandCounted && d != nil && d.running > 0 {
		d.running--
	}
}

func compareTargets(a, b target) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
}

// tickLease observes the placement owner's lease and, as a candidate, tries to acquire it.
func (s *State) tickLease(now time.Time, out *vrevent.Effects) {
	inStartupDelay := now.Sub(s.startedAt) < time.Duration(s.random.Int64N(int64(maxCandidateDelay)))
	params := s.leaseTick()
	params.Observe = true
	params.Candidate = s.catalog != nil && !s.shutdown.requested && !inStartupDelay && s.fleet.Len() > 0 && !s.yieldsOwnership(now) &&
		(!s.ownerAlive(now) || s.ownerIsGone())
	params.HolderUnreachable = s.owner.unreachable(now)
	params.Chunks = 1
	params.Readers = len(s.peers)
	s.tickOwnerDial(now, out)
	s.lease.Tick(now, params, out)
}

// Where ordered admission is active, the placement owner also allocates quotas and adds up loads, and in a large fleet
// it plans for hundreds of servers and answers all other daemons. A daemon with less than minOwnerCPU leaves that to
// others for ownerYieldTime after its start or the last renewal of the lease. In plays of 65 daemons, an owner on a fifth
// of a core answered the calls of limited tenants too late, and a third of all calls were refused; in those of 295
// daemons, its plans and heartbeats came late, and models that requests waited for were not loaded in time.
const (
	minOwnerCPU    = 0.4
	ownerYieldTime = 2 * time.Second
)

// yieldsOwnership reports whether the daemon leaves the lease to daemons with more processor time.
func (s *State) yieldsOwnership(now time.Time) bool {
	if s.opts.CPU <= 0 || s.opts.CPU >= minOwnerCPU || (!s.sharesLoad() && !s.inLargeFleet()) {
		return false
	}
	return now.Sub(s.startedAt) < ownerYieldTime || now.Sub(s.lease.ChangedAt()) < ownerYieldTime
}

// handleLeaseChange updates the known placement owner from the lease, and starts planning if
// this daemon has acquired it.
func (s *State) handleLeaseChange(now time.Time, change vrlease.Change, out *vrevent.Effects) {
	if record, ok := s.lease.Latest(); ok && record.Epoch >= s.owner.epoch && (record.Holder != s.owner.daemon || record.Epoch != s.owner.epoch) {
		s.owner = ownerState{daemon: record.Holder, address: record.Peer, epoch: record.Epoch}
		out.Info("placement owner updated", text("owner", record.Holder), number("epoch", uint64(record.Epoch)))
	}
	switch change {
	case vrlease.ChangeAcquired:
		s.planner.BecomeOwner(s.lease.OtherRunEnd())
		s.becomeQuarantineOwner()
		s.announceOwnership(out)
		out.Info("lease acquired", number("epoch", uint64(s.lease.Epoch())),
			millis("ordersInMs", max(0, s.lease.OrdersAllowedAt().Sub(now))))
	case vrlease.ChangeLost:
		s.offerLease(out)
		out.Warn("lease lost", number("epoch", uint64(s.lease.Epoch())))
	case vrlease.ChangeNone:
	}
}

// announceOwnership tells all daemons that this daemon is the new owner, because most of them
// rarely read the lease.
func (s *State) announceOwnership(out *vrevent.Effects) {
	for _, peer := range s.peers {
		if peer.Daemon != s.opts.Daemon {
			out.Add(vrevent.SendPeer{Peer: peer.Daemon, Address: peer.Address, Envelope: &vrwire.Envelope{
				Notices: &vrwire.Notices{Epoch: s.lease.Epoch()},
			}})
		}
	}
}

// setAnnouncedOwner records a new placement owner from its own announcement, before this
// daemon has read the lease.
func (s *State) setAnnouncedOwner(daemon vrid.DaemonID, epoch vrid.Epoch, out *vrevent.Effects) {
	for _, peer := range s.peers {
		if peer.Daemon == daemon {
			s.owner = ownerState{daemon: daemon, address: peer.Address, epoch: epoch}
			out.Info("placement owner updated", text("owner", daemon), number("epoch", uint64(epoch)))
		}
	}
}

// sendTargetDemand reports the demand for a target that calls wait for.
func (s *State) sendTargetDemand(now time.Time, key target, list *waitList, out *vrevent.Effects) {
	if now.Sub(list.demandSentAt) < targetDemandInterval {
		return
	}
	list.demandSentAt = now
	item := s.demandOf(now, key, list)
	s.sendDemand(now, &vrwire.PlacementDemand{Items: []vrwire.PlacementDemandItem{item}}, out)
}

// demandOf returns the demand report for a target and resets its counts since the last report.
// list is the target's wait list, nil if no calls wait.
func (s *State) demandOf(now time.Time, key target, list *waitList) vrwire.PlacementDemandItem {
	item := vrwire.PlacementDemandItem{Service: key.service, Model: key.model, Adapter: key.adapter}
	if d := s.demand[key]; d != nil {
		item.Arrived, item.Running, item.PromptTokens = d.arrived, d.running, d.promptTokens
		d.arrived, d.promptTokens = 0, 0
	}
	if list == nil {
		return item
	}
	item.Waiting = uint32(len(list.calls))
	item.Running -= min(item.Running, item.Waiting)
	for i, c := range list.calls {
		item.LongestRemaining = max(item.LongestRemaining, c.deadline.Sub(now).Milliseconds())
		if waited := now.Sub(c.arrivedAt); waited < c.route.Target {
			item.WithinTarget++
			item.LongestWait = max(item.LongestWait, waited.Milliseconds())
		}
		if priority := int32(c.route.Priority); i == 0 || priority < item.Priority {
			item.Priority = priority
		}
	}
	return item
}

// expediteDemand moves the next full demand report forward, because the calls in flight have
// changed and the placement owner needs the new counts soon.
func (s *State) expediteDemand(now time.Time) {
	if earliest := now.Add(earlyDemandDelay - demandInterval); earliest.Before(s.owner.demandSentAt) {
		s.owner.demandSentAt = earliest
	}
}

// tickDemand sends the periodic full demand report, which covers all calls that have arrived
// since the last report, wait or are in flight.
func (s *State) tickDemand(now time.Time, out *vrevent.Effects) {
	if now.Sub(s.owner.demandSentAt) < demandInterval {
		return
	}
	s.owner.demandSentAt = now
	report := &vrwire.PlacementDemand{Full: true, InFlight: s.inFlightByServer()}
	keys := make([]target, 0, len(s.demand))
	for key := range s.demand {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareTargets)
	for _, key := range keys {
		d := s.demand[key]
		if d.arrived+d.running == 0 {
			delete(s.demand, key)
			continue
		}
		if key.model != "" {
			report.Items = append(report.Items, s.demandOf(now, key, s.waitLists[key]))
		}
	}
	if len(report.Items) > 0 || s.lease.Holding() || len(s.reportedInFlight) > 0 || s.needsReport(now) {
		s.reportedInFlight = report.InFlight
		s.sendDemand(now, report, out)
	}
}

// sendDemand sends a demand report to the placement owner, or passes it to the planner if this
// daemon holds the lease.
func (s *State) sendDemand(now time.Time, report *vrwire.PlacementDemand, out *vrevent.Effects) {
	report.PrefillRate = uint64(s.fleet.PromptRate())
	if s.lease.Holding() {
		s.planner.HandleDemand(now, s.opts.Daemon, report)
		s.expeditePlan()
		return
	}
	if s.owner.address == "" || s.owner.daemon == s.opts.Daemon {
		return
	}
	report.SentAt, s.reportSentAt = now.Sub(s.startedAt).Milliseconds(), now
	out.Add(vrevent.SendPeer{Peer: s.owner.daemon, Address: s.owner.address, Envelope: &vrwire.Envelope{PlacementDemand: report}})
}

func (s *State) applyPeerList(now time.Time, e vrevent.PeersListed, out *vrevent.Effects) {
	if len(e.Peers) != len(s.peers) {
		out.Info("daemon count changed", number("count", uint64(len(e.Peers))))
	}
	s.peers = e.Peers
	s.forgetReports()
	s.setFeedMembers(now)
	s.retryBudget.SetDaemons(len(e.Peers))
	s.setQuotaDaemons(now)
}

func (s *State) handlePeerMessage(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	if report := envelope.PlacementDemand; report != nil {
		s.recordReport(now, envelope)
		s.planner.HandleDemand(now, envelope.From, report)
		s.expeditePlan()
		s.plan(now, out)
	}
	if envelope.Notices != nil {
		s.handleLeaseOffer(envelope.Notices)
		s.handleLeavingReports(now, envelope.Notices, out)
	}
	if envelope.FleetChanges != nil {
		s.handleFeed(now, envelope, out)
	}
	if envelope.Notices != nil {
		s.handlePromptMessages(now, envelope, out)
		s.handleCatalogMessages(now, envelope, out)
	}
	if notices := envelope.Notices; notices != nil && notices.Epoch > s.owner.epoch {
		s.setAnnouncedOwner(envelope.From, notices.Epoch, out)
	}
	if envelope.From == s.owner.daemon {
		s.owner.unreachableAt = time.Time{}
	}
	if s.handleQuotaMessage(now, envelope, out) {
		return
	}
	if notices := envelope.Notices; notices != nil && notices.Epoch >= s.owner.epoch {
		s.recordHeartbeat(now, notices)
		s.quarantine.parts.HandleVersion(notices.Epoch, notices.QuarantineVersion)
		for i := range notices.Items {
			s.applyNotice(now, &notices.Items[i], out)
		}
		s.dispatchWaiting(now, out)
		s.dispatchUnverified(now, out)
	}
}

// expeditePlan moves the next placement plan forward after a change.
func (s *State) expeditePlan() {
	if earliest := s.owner.lastPlanAt.Add(minPlanInterval); earliest.Before(s.owner.nextPlanAt) {
		s.owner.nextPlanAt = earliest
	}
}

// plan makes and executes a placement plan if this daemon is the placement owner and a plan is
// due.
func (s *State) plan(now time.Time, out *vrevent.Effects) {
	if s.catalog == nil || !s.lease.Confirmed(now) || now.Before(s.lease.OrdersAllowedAt()) || now.Before(s.owner.nextPlanAt) {
		return
	}
	if !s.mayPlan() {
		return
	}
	s.owner.nextPlanAt = now.Add(planInterval)
	s.owner.lastPlanAt = now
	decision := s.planner.Plan(now, vrresidence.PlanInput{Fleet: s.fleet, Catalog: s.catalog, FreshFrom: s.ordersFreshFrom(now)})
	s.counts.Plans++
	s.counts.ServersExamined += uint64(decision.Examined)
	s.executeDecision(now, decision, out)
}

// executeDecision emits the orders, log lines, status reads and notices of a plan.
func (s *State) executeDecision(now time.Time, decision vrresidence.Decision, out *vrevent.Effects) {
	for _, order := range decision.Orders {
		if server := s.fleet.Server(order.Server); server != nil {
			order.Born = server.Born
		}
		order.Epoch, order.Holder, order.LeaseExpiresAt = s.lease.Epoch(), s.opts.Daemon, s.lease.ExpiresAt()
		if vrfault.On(vrfault.OrderPastLease) {
			const never = time.Hour
			order.LeaseExpiresAt = now.Add(never)
		}
		s.counts.Orders++
		s.orders.open++
		out.Add(vrevent.SendPlacementOrder{Order: order})
		out.Info("order issued", text("server", order.Server), text("kind", order.Kind.String()), text("model", order.Model),
			text("adapter", order.Adapter), number("expected", order.ExpectedOrders), number("epoch", uint64(order.Epoch)))
	}
	for _, unfit := range decision.Unfit {
		s.counts.UnfitLoads++
		out.Warn("load does not fit, not ordered", text("server", unfit.Server), text("model", unfit.Model), text("adapter", unfit.Adapter),
			number("freeBytes", uint64(max(unfit.FreeMemory, 0))), number("freeAdapterSlots", uint64(max(unfit.FreeAdapterSlots, 0))))
	}
	for _, end := range decision.EndedLoads {
		out.Add(vrevent.LoadEnded{Source: end.Source, Waited: end.Waited, Took: end.Took, Succeeded: end.Succeeded})
		out.Info("load ended", text("server", end.Server), text("model", end.Model), text("from", end.Source),
			millis("waitedMs", end.Waited), millis("tookMs", end.Took), millis("expectedMs", end.ExpectedTime), boolean("held", end.Succeeded))
	}
	for _, need := range decision.Needs {
		out.Info("required replicas changed", text("model", need.Model), number("have", uint64(need.Have)), number("need", uint64(need.Need)),
			decimal("rate", need.Rate), decimal("readShare", need.PrefillShare))
	}
	for _, id := range decision.StatusReads {
		if server := s.fleet.Server(id); server != nil {
			out.Add(vrevent.ReadStatus{Server: id, Address: server.Address, Born: server.Born})
		}
	}
	s.sendNotices(now, decision.Notices, out)
}

// sendNotices sends notices to the daemons and applies those for this daemon. Notices of an
// expected load or of a refusal go to the daemons that asked for the target, all others to every
// daemon.
func (s *State) sendNotices(now time.Time, notices []vrresidence.Notice, out *vrevent.Effects) {
	byDaemon := make(map[vrid.DaemonID][]vrwire.Notice)
	for i := range notices {
		notice := &notices[i]
		if notice.Kind != vrwire.NoticeLoading && notice.Kind != vrwire.NoticeRefused {
			for _, peer := range s.peers {
				byDaemon[peer.Daemon] = append(byDaemon[peer.Daemon], notice.Notice)
			}
			continue
		}
		for _, daemon := range notice.To {
			byDaemon[daemon] = append(byDaemon[daemon], notice.Notice)
		}
	}
	for _, peer := range s.peers {
		items := byDaemon[peer.Daemon]
		if len(items) == 0 || peer.Daemon == s.opts.Daemon {
			continue
		}
		out.Add(vrevent.SendPeer{Peer: peer.Daemon, Address: peer.Address, Envelope: &vrwire.Envelope{
			Notices: &vrwire.Notices{Items: items, Epoch: s.lease.Epoch()},
		}})
	}
	own := byDaemon[s.opts.Daemon]
	for i := range own {
		s.applyNotice(now, &own[i], out)
	}
	if len(own) > 0 {
		s.dispatchWaiting(now, out)
	}
}

func (s *State) handleOrderResult(now time.Time, e vrevent.OrderEnded, out *vrevent.Effects) {
	s.orders.record(now, e.Outcome)
	if e.Outcome == vrevent.OrderUnknown {
		s.counts.OrdersUnknown++
	}
	out.Info("order ended", text("server", e.Order.Server), text("kind", e.Order.Kind.String()), text("model", e.Order.Model),
		text("adapter", e.Order.Adapter), number("expected", e.Order.ExpectedOrders), text("outcome", e.Outcome.String()), text("detail", e.Detail))
	notices := s.planner.HandleOrderEnded(now, e, s.fleet)
	s.sendNotices(now, notices, out)
	s.expeditePlan()
	s.plan(now, out)
}
