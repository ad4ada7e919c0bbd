package vrreducer

import (
	"strconv"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// vmListInterval is the pause between two reads of the platform's VM list by the
	// owner. Only this list, which lags by 2 s, shows that an application server is
	// leaving. With this interval and the notice to the other zones, a leaving server
	// receives no new work after 3 s (invariant I7).
	vmListInterval = 750 * time.Millisecond
	// planInterval is the minimum time between two plans of the owner.
	planInterval = 100 * time.Millisecond
	// summaryInterval is the pause between two rounds of summaries to other zones.
	summaryInterval = time.Second
	// minSummaryInterval is the shortest pause between two rounds when a replica became
	// ready.
	minSummaryInterval = 20 * time.Millisecond
	// leaseListInterval is the pause between two reads of the other zones' leases.
	leaseListInterval = 5 * time.Second
	// demandInterval is the pause between two demand messages for the same model.
	demandInterval = time.Second
	// epochAckInterval is the pause between two acknowledgements of a newer epoch.
	epochAckInterval = 2 * time.Second
	// serversPerLedgerChunk is the number of servers in one ledger object.
	serversPerLedgerChunk = 32
	// failedPollThreshold is the number of consecutive failed polls that make a server
	// unreachable.
	failedPollThreshold = 3
	// configConfirmTimeout is how long a starting daemon waits for the platform to
	// confirm its configuration before it becomes ready without that.
	configConfirmTimeout = 3 * time.Second
)

// zoneState is what a daemon knows of its zone and of the other zones' owners. Part of it
// is used only by the owner of the zone or by candidates.
type zoneState struct {
	vms               map[vrid.VMID]vrplatform.VM
	vmListRequestedAt time.Time
	// listedUnderLease is set once a VM list was requested and received under the
	// current lease. Only such a list proves that a former owner's VM is gone.
	listedUnderLease bool
	listingVMs       bool
	// listPredatesLease is set when the list now being read was requested before the
	// lease was acquired.
	listPredatesLease bool
	plannedAt         time.Time
	// epochAcks holds the newest epoch that each daemon run acknowledged. A run sends
	// no order of an older epoch.
	epochAcks              map[daemonRun]vrid.Epoch
	epochAckSentAt         time.Time
	summariesSentAt        time.Time
	leasesListedAt         time.Time
	leaseListOp            vrevent.Op
	remoteOwners           map[vrid.ZoneID]vrmember.Peer
	remoteZones            map[vrid.ZoneID]*remoteZone
	configAckOp            vrevent.Op
	configAckSentAt        time.Time
	configAckObjectVersion vrid.ObjectVersion
	configAcked            vrid.ConfigVersion
	configAckPending       vrid.ConfigVersion
	// demandSentAt is when demand for a model was last sent.
	demandSentAt map[demandKey]time.Time
	// arrivalCounts counts the requests that arrived since the last demand message.
	arrivalCounts map[demandKey]uint32
	// inFlight counts the dispatched requests.
	inFlight       map[demandKey]uint32
	demandQueuedAt time.Time
	// demandOwner is the owner to which all waiting demand was last reported,
	// demandEpoch its epoch in the view.
	demandOwner    vrid.DaemonID
	demandEpoch    vrid.Epoch
	drainedServers map[vrid.ServerID]bool
	// leavingNotices maps each server that a notice reported as leaving to the time of
	// that notice.
	leavingNotices map[vrid.ServerID]time.Time
	watchingConfig bool
	// loadStartedAt is when the load that runs on a server was decided. storeSlowdown
	// is how much longer than declared the loads from the weight store take.
	loadStartedAt map[vrid.ServerID]time.Time
	storeSlowdown slowdown
	// summaryPending is set when requests in other zones may be waiting for a new
	// replica, so that a summary is sent before summaryInterval has passed.
	summaryPending bool
	// loadedCount is the number of loaded replicas and adapters when the view was last
	// checked.
	loadedCount int
}

// daemonRun identifies one run of a daemon process.
type daemonRun struct {
	daemon vrid.DaemonID
	boot   vrid.BootID
}

type demandKey struct {
	model   vrid.ModelID
	adapter vrid.AdapterID
	rank    vrid.Rank
}

func newZoneState() zoneState {
	return zoneState{
		vms:            make(map[vrid.VMID]vrplatform.VM),
		epochAcks:      make(map[daemonRun]vrid.Epoch),
		remoteOwners:   make(map[vrid.ZoneID]vrmember.Peer),
		remoteZones:    make(map[vrid.ZoneID]*remoteZone),
		demandSentAt:   make(map[demandKey]time.Time),
		arrivalCounts:  make(map[demandKey]uint32),
		inFlight:       make(map[demandKey]uint32),
		loadStartedAt:  make(map[vrid.ServerID]time.Time),
		drainedServers: make(map[vrid.ServerID]bool),
		leavingNotices: make(map[vrid.ServerID]time.Time),
	}
}

// tickZone drives the zone lease and does the owner's work while this daemon holds it.
func (s *State) tickZone(now time.Time, out *vrevent.Effects) {
	if now.Before(s.firstPlatformCall) && s.membership.View().Epoch == 0 {
		return
	}
	s.listVMs(now, out)
	s.lease.Tick(now, vrlease.TickParams{
		Observe:           s.membership.ShouldReadLease(now),
		Candidate:         s.leaseCandidate(now),
		HolderUnreachable: s.membership.OwnerUnreachable(now),
		Chunks:            uint32(s.zoneServerCount()/serversPerLedgerChunk + 1),
	}, out)
	s.tickFleetLease(now, out)
	s.ackEpoch(now, out)
	s.repeatDemand(now, out)
	if !s.lease.Holding() {
		s.queueDemandReport(now)
		return
	}
	s.processReports(now, out)
	s.ledger.DropSettledAttempts(s.issuerStopped)
	s.ledger.DropGoneServers(s.serverGone)
	s.plan(now, out)
	s.ledger.Tick(now, out)
	s.recordDepartures(now)
	s.updateShares(now)
	s.publishZoneState(now, out)
	s.queueDemandReport(now)
}

// leaseCandidate reports whether this daemon may become the owner. It has to be in the
// platform's VM list, so that its later absence from the list proves that it is gone.
func (s *State) leaseCandidate(now time.Time) bool {
	if s.shutdown.requested || s.configStore.Current() == nil {
		return false
	}
	_, listed := s.zone.vms[vrid.VMID(s.opts.Daemon)]
	return listed && s.membership.ShouldReadLease(now)
}

func (s *State) listVMs(now time.Time, out *vrevent.Effects) {
	_, listed := s.zone.vms[vrid.VMID(s.opts.Daemon)]
	needed := s.lease.Holding() || !listed
	if s.zone.listingVMs || !needed || now.Sub(s.zone.vmListRequestedAt) < vmListInterval {
		return
	}
	s.zone.vmListRequestedAt = now
	s.zone.listingVMs = true
	out.Add(vrevent.ListVMs{})
}

func (s *State) zoneServerCount() int {
	servers := 0
	for _, vm := range s.zone.vms {
		if vm.Zone == s.opts.Zone && vm.Kind != vrplatform.VMDaemon {
			servers++
		}
	}
	return servers
}

// vmsListed handles the platform's list of live and leaving VMs.
func (s *State) vmsListed(now time.Time, event vrevent.VMsListed, out *vrevent.Effects) {
	s.zone.listingVMs = false
	if event.Outcome != vrplatform.OutcomeOK {
		s.zone.listPredatesLease = false
		return
	}
	previous := s.zone.vms
	s.zone.vms = make(map[vrid.VMID]vrplatform.VM, len(event.VMs))
	s.zone.listedUnderLease = !s.zone.listPredatesLease
	s.zone.listPredatesLease = false
	var seeds []vrmember.Peer
	for _, vm := range event.VMs {
		s.zone.vms[vm.ID] = vm
		if vm.Kind == vrplatform.VMDaemon && vm.Zone == s.opts.Zone {
			seeds = append(seeds, vrmember.Peer{Daemon: vrid.DaemonID(vm.ID), Address: vm.Address})
		}
	}
	s.membership.SetSeeds(seeds)
	for id, vm := range previous {
		if _, present := s.zone.vms[id]; present {
			continue
		}
		if vm.Kind == vrplatform.VMDaemon {
			s.membership.HandleVMGone(vrid.DaemonID(id))
			continue
		}
		s.ledger.RemoveServer(vrid.ServerID(id))
	}
	s.updateLedgerServers(now)
	s.announceListedLeaving(now, previous, out)
}

// announceListedLeaving sends a notice for each server of the zone that the list newly
// shows as leaving. Other zones also send work to these servers, and the next summary
// may come too late.
func (s *State) announceListedLeaving(now time.Time, previous map[vrid.VMID]vrplatform.VM, out *vrevent.Effects) {
	if !s.lease.Holding() {
		return
	}
	for _, id := range sortedKeys(s.zone.vms) {
		vm := s.zone.vms[id]
		isServer := vm.Kind != vrplatform.VMDaemon && vm.Zone == s.opts.Zone
		if isServer && vm.State == vrplatform.VMLeaving && previous[id].State != vrplatform.VMLeaving {
			s.announceLeaving(now, vrid.ServerID(id), "", out)
		}
	}
}

// updateLedgerServers passes the zone's servers and their states to the ledger.
func (s *State) updateLedgerServers(now time.Time) {
	index := s.configStore.Current()
	if index == nil {
		return
	}
	for _, id := range sortedKeys(s.zone.vms) {
		vm := s.zone.vms[id]
		pool := index.Pool(vm.Pool)
		if vm.Zone != s.opts.Zone || vm.Kind == vrplatform.VMDaemon || pool == nil {
			continue
		}
		s.ledger.SetServer(now, vrledger.ServerInfo{
			ID: vrid.ServerID(id), Pool: vm.Pool, Address: vm.Address, Memory: pool.Memory,
			Slots: pool.Slots, HonorsFencing: pool.HonorsFencing, State: s.serverState(now, vm),
		})
	}
}

// serverState returns the worst of the states that the platform, the operators and the
// server report. A new owner has no report yet: until the first one, the former owner's
// view decides whether the server is leaving.
func (s *State) serverState(now time.Time, vm vrplatform.VM) vrwire.ServerState {
	id := vrid.ServerID(vm.ID)
	report := s.ledger.LatestReport(id)
	switch {
	case vm.State == vrplatform.VMLeaving, report != nil && report.Leaving, s.hasLeavingNotice(now, id):
		return vrwire.ServerLeaving
	case report == nil && s.membership.View().Servers[id].State == vrwire.ServerLeaving:
		return vrwire.ServerLeaving
	case s.configStore.Current().Drained(id), s.zone.drainedServers[id]:
		return vrwire.ServerDrained
	case report != nil && report.FailedPolls >= failedPollThreshold:
		return vrwire.ServerUnreachable
	}
	return vrwire.ServerLive
}

// leaseChanged starts or ends this daemon's term as the zone owner.
func (s *State) leaseChanged(now time.Time, change vrlease.Change, out *vrevent.Effects) {
	if record, ok := s.lease.Latest(); ok && !record.Released {
		s.membership.SetOwner(vrmember.Peer{Daemon: record.Holder, Address: record.Peer}, record.Epoch)
	}
	switch change {
	case vrlease.ChangeAcquired:
		record, _ := s.lease.Latest()
		out.Info("zone lease acquired", vrevent.Field("zone", s.opts.Zone), epochField(record.Epoch))
		s.membership.BecomeRoot(now, record.Epoch)
		s.ledger.Activate(now, record.Epoch, record.Chunks, out)
		s.zone.leasesListedAt = time.Time{}
		clear(s.zone.remoteZones)
		s.zone.listedUnderLease = false
		s.zone.listPredatesLease = s.zone.listingVMs
		s.zone.vmListRequestedAt = time.Time{}
		s.appendSystemEntry(now, vrrecord.Entry{Kind: vrrecord.EntryTakeover, Epoch: record.Epoch}, out)
	case vrlease.ChangeLost:
		if vrfault.On(vrfault.ActAfterLapse) {
			return
		}
		out.Warn("zone lease lost", vrevent.Field("zone", s.opts.Zone), epochField(s.lease.Epoch()))
		s.ledger.Deactivate()
		s.membership.StopRoot(now)
	case vrlease.ChangeNone:
	}
}

func epochField(epoch vrid.Epoch) vrevent.LogField {
	return vrevent.Field("epoch", strconv.FormatUint(uint64(epoch), 10))
}

// superseded handles evidence that an owner with a newer epoch exists.
func (s *State) superseded(now time.Time, epoch vrid.Epoch, out *vrevent.Effects) {
	s.leaseChanged(now, s.lease.HandleNewerEpoch(now, epoch), out)
}

// ackEpoch tells a newer owner that this run has no order of an earlier epoch left to
// send.
func (s *State) ackEpoch(now time.Time, out *vrevent.Effects) {
	if !s.ledger.HasIssued() || s.lease.Holding() || !s.ledger.Quiesced(now) {
		return
	}
	if now.Sub(s.zone.epochAckSentAt) < epochAckInterval || s.lease.Epoch() == 0 {
		return
	}
	s.zone.epochAckSentAt = now
	s.send(s.membership.Owner(), &vrwire.Envelope{EpochAck: &vrwire.EpochAck{Epoch: s.lease.Epoch()}}, out)
}

// issuerStopped reports whether a run of a former owner can no longer send orders of an
// epoch: it acknowledged a newer epoch, its VM is gone, or a later run of the daemon
// was seen.
func (s *State) issuerStopped(issuer vrid.DaemonID, boot vrid.BootID, epoch vrid.Epoch) bool {
	if s.zone.epochAcks[daemonRun{daemon: issuer, boot: boot}] > epoch {
		return true
	}
	if issuer == s.opts.Daemon {
		return boot != s.opts.Boot
	}
	return s.runEnded(issuer, boot)
}

// runEnded reports whether a run of a daemon is known to have ended. Boot ids increase
// with each start of a VM's daemon, and two runs can't listen on the same port, so a
// later run proves the end of an earlier one.
func (s *State) runEnded(daemon vrid.DaemonID, boot vrid.BootID) bool {
	if daemon == s.opts.Daemon {
		return boot != s.opts.Boot
	}
	view := s.membership.View()
	if item, ok := view.Members[daemon]; ok {
		return item.Boot > boot || s.vmGone(vrid.VMID(daemon))
	}
	for _, remote := range view.Remote {
		for _, item := range remote.Members {
			if item.Daemon == daemon {
				return item.Boot > boot
			}
		}
	}
	return s.vmGone(vrid.VMID(daemon))
}

// vmGone reports whether the VM is missing from a list that was read under the current
// lease.
func (s *State) vmGone(id vrid.VMID) bool {
	_, listed := s.zone.vms[id]
	return !listed && s.lease.Holding() && s.zone.listedUnderLease
}

func (s *State) serverGone(id vrid.ServerID) bool { return s.vmGone(vrid.VMID(id)) }

// processReports passes the reports and demands collected by the membership tree to the
// ledger and the planner.
func (s *State) processReports(now time.Time, out *vrevent.Effects) {
	reports := s.membership.TakeReports()
	for i := range reports {
		s.ledger.HandleReport(now, &reports[i])
	}
	if len(reports) > 0 || len(s.zone.drainedServers) > 0 {
		s.updateLedgerServers(now)
	}
	demands := s.membership.TakeDemands()
	for _, demand := range demands {
		s.planner.RecordDemand(now, demand)
	}
	s.forwardUsage(demands, out)
}

// forwardUsage reports this zone's requests to the owners of other zones whose replicas
// serve them. Without it those replicas would look idle there.
func (s *State) forwardUsage(demands []vrwire.ModelDemand, out *vrevent.Effects) {
	if s.opts.Baseline {
		return
	}
	demandsByZone := make(map[vrid.ZoneID][]vrwire.ModelDemand)
	for _, demand := range demands {
		if demand.Arrived+demand.Running == 0 || s.ledger.Replicas(demand.Model) > 0 {
			continue
		}
		demand.Waiting = 0
		for zone, summary := range s.membership.View().Remote {
			if hasReplica(summary.Servers, demand.Model) {
				demandsByZone[zone] = append(demandsByZone[zone], demand)
			}
		}
	}
	for _, zone := range sortedKeys(demandsByZone) {
		s.send(s.zone.remoteOwners[zone], &vrwire.Envelope{Demand: &vrwire.Demand{Demands: demandsByZone[zone]}}, out)
	}
}

func hasReplica(servers []vrwire.ServerItem, model vrid.ModelID) bool {
	for i := range servers {
		for j := range servers[i].Replicas {
			if servers[i].Replicas[j].Model == model {
				return true
			}
		}
	}
	return false
}

// recordDepartures tells the journal which members were removed, so that it can
// complete their part of the record.
func (s *State) recordDepartures(now time.Time) {
	for _, item := range s.membership.TakeDeparted() {
		s.journal.CloseRun(now, item.Daemon, item.Boot, item.Opened)
	}
}

// publishZoneState updates the servers in the view and, at their intervals, lists the
// other zones' leases and sends summaries.
func (s *State) publishZoneState(now time.Time, out *vrevent.Effects) {
	if s.ledger.TakeChanged() || now.Sub(s.zone.summariesSentAt) >= summaryInterval {
		items := s.ledger.ServerItems(s.opts.Zone)
		s.setReadyTimes(now, items)
		s.membership.PublishServers(items)
		s.zone.summaryPending = s.zone.summaryPending || s.replicasAdded()
	}
	if now.Sub(s.zone.leasesListedAt) >= leaseListInterval && s.zone.leaseListOp == 0 {
		s.zone.leasesListedAt = now
		s.zone.leaseListOp = s.ops.Next()
		out.Add(vrevent.ListObjects{Op: s.zone.leaseListOp, Prefix: vrplatform.PrefixLeases, Values: true})
	}
	sinceSummaries := now.Sub(s.zone.summariesSentAt)
	if sinceSummaries >= summaryInterval || (s.zone.summaryPending && sinceSummaries >= minSummaryInterval) {
		s.zone.summariesSentAt = now
		s.membership.ExpireRemoteZones(now)
		s.zone.summaryPending = false
		s.sendSummaries(now, out)
	}
}

// replicasAdded reports whether the zone has more loaded replicas and adapters than at
// the last call: requests in other zones may be waiting for one.
func (s *State) replicasAdded() bool {
	loaded := 0
	for _, item := range s.membership.View().Servers {
		for i := range item.Replicas {
			if item.Replicas[i].State == vrwire.ReplicaLoaded {
				loaded += 1 + len(item.Replicas[i].Adapters)
			}
		}
	}
	added := loaded > s.zone.loadedCount
	s.zone.loadedCount = loaded
	return added
}

// leasesListed takes the owners of the other zones from their leases.
func (s *State) leasesListed(_ time.Time, event vrevent.ObjectsListed) {
	s.zone.leaseListOp = 0
	if event.Outcome != vrplatform.OutcomeOK {
		return
	}
	for _, item := range event.Items {
		if item.Key == vrplatform.KeyFleetLease {
			continue
		}
		record, err := vrwire.Unmarshal[vrlease.Record](item.Value)
		if err != nil {
			continue
		}
		zone := vrid.ZoneID(item.Key[len(vrplatform.PrefixLeases):])
		if zone != s.opts.Zone {
			s.zone.remoteOwners[zone] = vrmember.Peer{Daemon: record.Holder, Address: record.Peer}
		}
	}
}

func (s *State) orderAnswered(now time.Time, event vrevent.OrderAnswered, out *vrevent.Effects) {
	epoch := s.ledger.HandleOrderAnswer(now, event)
	if epoch > 0 {
		s.superseded(now, epoch, out)
		return
	}
	s.loadEnded(now, event)
	s.recordOrder(now, event, out)
	s.ledger.Flush(now, out)
	if s.lease.Holding() {
		// Let the next load use the freed weight store slot immediately.
		s.zone.plannedAt = time.Time{}
		s.plan(now, out)
		s.publishZoneState(now, out)
	}
}
