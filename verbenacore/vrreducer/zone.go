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
	// vmInterval is the pause between two readings of the platform's list by the owner. An
	// application server is known to leave only from the list, which lags by 2 s; with this
	// pause and a notice to the other zones, work stops within the 3 s of I7.
	vmInterval = 750 * time.Millisecond
	// planInterval is the pause between two plans of the owner.
	planInterval = 100 * time.Millisecond
	// summaryInterval is the pause between two summaries to other zones.
	summaryInterval = time.Second
	// summaryGap is the least pause when a replica became ready.
	summaryGap = 20 * time.Millisecond
	// leasesInterval is the pause between two readings of the other zones' leases.
	leasesInterval = 5 * time.Second
	// demandInterval is the pause between two messages of demand for one model.
	demandInterval = time.Second
	// epochAckInterval is the pause between two acknowledgements of a newer epoch.
	epochAckInterval = 2 * time.Second
	// ledgerServers is the number of servers in one ledger object.
	ledgerServers = 32
	// failedPolls in a row make a server unreachable.
	failedPolls = 3
	// ownerSilence is how long a daemon without any word from its zone waits before it
	// may try for the lease.
	ownerSilence = 3 * time.Second
)

// zone is a daemon's part in its zone: what it needs to be the owner or a candidate.
type zone struct {
	vms   map[vrid.VMID]vrplatform.VM
	vmsAt time.Time
	// listed is set once a list was asked for and answered under the held lease. Only
	// such a list proves that a former owner's VM is gone.
	listed  bool
	listing bool
	// early is set when the list that is awaited was asked for before the lease.
	early  bool
	planAt time.Time
	// acks are the epochs that daemons acknowledged; they send nothing older.
	acks       map[run]vrid.Epoch
	ackedAt    time.Time
	summaryAt  time.Time
	leasesAt   time.Time
	leasesOp   vrevent.Op
	owners     map[vrid.ZoneID]vrmember.Peer
	neighbours map[vrid.ZoneID]*neighbour
	ackOp      vrevent.Op
	ackAt      time.Time
	ackVersion vrid.ObjectVersion
	ackWritten vrid.ConfigVersion
	ackTrying  vrid.ConfigVersion
	// wanted is when demand for a model was last sent.
	wanted map[demandKey]time.Time
	// arrivals count the requests since the last demand message.
	arrivals map[demandKey]uint32
	// running counts the requests in flight.
	running    map[demandKey]uint32
	arrivalsAt time.Time
	// demandTo is the owner that was told of every waiting request, demandEpoch its epoch
	// in the view.
	demandTo    vrid.DaemonID
	demandEpoch vrid.Epoch
	drained     map[vrid.ServerID]bool
	// leaving are servers that a notice named, with the time of the notice.
	leaving  map[vrid.ServerID]time.Time
	watching bool
	// loadAt is when the load that runs on a server was decided, storePace how much longer
	// than declared the loads from the weight store take.
	loadAt    map[vrid.ServerID]time.Time
	storePace loadPace
	// summaryDue is set when other zones' requests may wait for a new replica.
	summaryDue bool
	// loaded is the number of loaded replicas and adapters in the last view.
	loaded int
}

// run is one run of a daemon.
type run struct {
	daemon vrid.DaemonID
	boot   vrid.BootID
}

type demandKey struct {
	model   vrid.ModelID
	adapter vrid.AdapterID
	rank    vrid.Rank
}

func newZone() zone {
	return zone{
		vms:        make(map[vrid.VMID]vrplatform.VM),
		acks:       make(map[run]vrid.Epoch),
		owners:     make(map[vrid.ZoneID]vrmember.Peer),
		neighbours: make(map[vrid.ZoneID]*neighbour),
		wanted:     make(map[demandKey]time.Time),
		arrivals:   make(map[demandKey]uint32),
		running:    make(map[demandKey]uint32),
		loadAt:     make(map[vrid.ServerID]time.Time),
		drained:    make(map[vrid.ServerID]bool),
		leaving:    make(map[vrid.ServerID]time.Time),
	}
}

// tickZone takes part in the lease and, as its holder, does the owner's work.
func (s *State) tickZone(now time.Time, out *vrevent.Effects) {
	if now.Before(s.firstUse) && s.member.View().Epoch == 0 {
		return
	}
	s.listVMs(now, out)
	s.lease.Tick(now, vrlease.TickParams{
		Observe:           s.member.Observes(now),
		Candidate:         s.candidate(now),
		HolderUnreachable: s.member.OwnerLost(now),
		Chunks:            uint32(s.zoneServers()/ledgerServers + 1),
	}, out)
	s.tickFleet(now, out)
	s.ackEpoch(now, out)
	s.repeatDemand(now, out)
	if !s.lease.Holding() {
		s.sendArrivals(now)
		return
	}
	s.takeReports(now, out)
	s.ledger.SettleIssuers(s.provedSilent)
	s.ledger.DropGone(s.serverGone)
	s.plan(now, out)
	s.ledger.Tick(now, out)
	s.departures(now)
	s.moveShares(now)
	s.publish(now, out)
	s.sendArrivals(now)
}

// candidate reports whether this daemon may become the owner. It has to stand in the
// platform's list, so that its later absence from the list proves that it is gone.
func (s *State) candidate(now time.Time) bool {
	if s.shutdown.requested || s.store.Current() == nil {
		return false
	}
	_, listed := s.zone.vms[vrid.VMID(s.opts.Daemon)]
	return listed && s.member.Observes(now)
}

func (s *State) listVMs(now time.Time, out *vrevent.Effects) {
	_, listed := s.zone.vms[vrid.VMID(s.opts.Daemon)]
	needed := s.lease.Holding() || !listed
	if s.zone.listing || !needed || now.Sub(s.zone.vmsAt) < vmInterval {
		return
	}
	s.zone.vmsAt = now
	s.zone.listing = true
	out.Add(vrevent.ListVMs{})
}

func (s *State) zoneServers() int {
	servers := 0
	for _, vm := range s.zone.vms {
		if vm.Zone == s.opts.Zone && vm.Kind != vrplatform.VMDaemon {
			servers++
		}
	}
	return servers
}

// vmsListed takes the platform's list of live and leaving VMs.
func (s *State) vmsListed(now time.Time, event vrevent.VMsListed, out *vrevent.Effects) {
	s.zone.listing = false
	if event.Outcome != vrplatform.OutcomeOK {
		s.zone.early = false
		return
	}
	previous := s.zone.vms
	s.zone.vms = make(map[vrid.VMID]vrplatform.VM, len(event.VMs))
	s.zone.listed = !s.zone.early
	s.zone.early = false
	var seeds []vrmember.Peer
	for _, vm := range event.VMs {
		s.zone.vms[vm.ID] = vm
		if vm.Kind == vrplatform.VMDaemon && vm.Zone == s.opts.Zone {
			seeds = append(seeds, vrmember.Peer{Daemon: vrid.DaemonID(vm.ID), Address: vm.Address})
		}
	}
	s.member.SetSeeds(seeds)
	for id, vm := range previous {
		if _, still := s.zone.vms[id]; still {
			continue
		}
		if vm.Kind == vrplatform.VMDaemon {
			s.member.VMGone(vrid.DaemonID(id))
			continue
		}
		s.ledger.RemoveServer(vrid.ServerID(id))
	}
	s.setServers(now)
	s.noticeListed(now, previous, out)
}

// noticeListed passes on which servers of the zone the list newly shows as leaving: other
// zones send work to them too, and the next summary may come too late.
func (s *State) noticeListed(now time.Time, previous map[vrid.VMID]vrplatform.VM, out *vrevent.Effects) {
	if !s.lease.Holding() {
		return
	}
	for _, id := range sortedKeys(s.zone.vms) {
		vm := s.zone.vms[id]
		server := vm.Kind != vrplatform.VMDaemon && vm.Zone == s.opts.Zone
		if server && vm.State == vrplatform.VMLeaving && previous[id].State != vrplatform.VMLeaving {
			s.noticeLeaving(now, vrid.ServerID(id), "", out)
		}
	}
}

// setServers tells the ledger of the zone's servers.
func (s *State) setServers(now time.Time) {
	index := s.store.Current()
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

// serverState is the worst of what the platform, the operators and the server say. A
// new owner has no report yet: until the first one the former owner's view counts.
func (s *State) serverState(now time.Time, vm vrplatform.VM) vrwire.ServerState {
	id := vrid.ServerID(vm.ID)
	report := s.ledger.Report(id)
	switch {
	case vm.State == vrplatform.VMLeaving, report != nil && report.Leaving, s.noticed(now, id):
		return vrwire.ServerLeaving
	case report == nil && s.member.View().Servers[id].State == vrwire.ServerLeaving:
		return vrwire.ServerLeaving
	case s.store.Current().Drained(id), s.zone.drained[id]:
		return vrwire.ServerDrained
	case report != nil && report.Failed >= failedPolls:
		return vrwire.ServerUnreachable
	}
	return vrwire.ServerLive
}

// leaseChanged starts or ends this daemon's time as the zone's owner.
func (s *State) leaseChanged(now time.Time, change vrlease.Change, out *vrevent.Effects) {
	if record, ok := s.lease.Latest(); ok && !record.Released {
		s.member.SetOwner(vrmember.Peer{Daemon: record.Holder, Address: record.Peer}, record.Epoch)
	}
	switch change {
	case vrlease.ChangeAcquired:
		record, _ := s.lease.Latest()
		out.Info("zone lease acquired", vrevent.Field("zone", s.opts.Zone), epochField(record.Epoch))
		s.member.BecomeRoot(now, record.Epoch)
		s.ledger.Activate(now, record.Epoch, record.Chunks, out)
		s.zone.leasesAt = time.Time{}
		clear(s.zone.neighbours)
		s.zone.listed = false
		s.zone.early = s.zone.listing
		s.zone.vmsAt = time.Time{}
		s.appendOwn(now, vrrecord.Entry{Kind: vrrecord.EntryTakeover, Epoch: record.Epoch}, out)
	case vrlease.ChangeLost:
		if vrfault.On(vrfault.ActAfterLapse) {
			return
		}
		out.Warn("zone lease lost", vrevent.Field("zone", s.opts.Zone), epochField(s.lease.Epoch()))
		s.ledger.Deactivate()
		s.member.StopRoot(now)
	case vrlease.ChangeNone:
	}
}

func epochField(epoch vrid.Epoch) vrevent.LogField {
	return vrevent.Field("epoch", strconv.FormatUint(uint64(epoch), 10))
}

// superseded takes word that a newer owner exists.
func (s *State) superseded(now time.Time, epoch vrid.Epoch, out *vrevent.Effects) {
	s.leaseChanged(now, s.lease.HandleNewerEpoch(now, epoch), out)
}

// ackEpoch tells a newer owner that this run holds no unsent order of an earlier epoch.
func (s *State) ackEpoch(now time.Time, out *vrevent.Effects) {
	if !s.ledger.Issued() || s.lease.Holding() || !s.ledger.Silent(now) {
		return
	}
	if now.Sub(s.zone.ackedAt) < epochAckInterval || s.lease.Epoch() == 0 {
		return
	}
	s.zone.ackedAt = now
	s.send(s.member.Owner(), &vrwire.Envelope{EpochAck: &vrwire.EpochAck{Epoch: s.lease.Epoch()}}, out)
}

// provedSilent reports whether a former owner's run can send no order of an epoch any
// more: it acknowledged a newer epoch, its VM is gone, or another process has its port.
func (s *State) provedSilent(issuer vrid.DaemonID, boot vrid.BootID, epoch vrid.Epoch) bool {
	if s.zone.acks[run{daemon: issuer, boot: boot}] > epoch {
		return true
	}
	if issuer == s.opts.Daemon {
		return boot != s.opts.Boot
	}
	return s.runEnded(issuer, boot)
}

// runEnded reports whether a run of a daemon is known to have ended. Boot ids grow with
// each start of a VM's daemon, and two runs can't listen on the same port: word of a
// later run proves the end of an earlier one.
func (s *State) runEnded(daemon vrid.DaemonID, boot vrid.BootID) bool {
	if daemon == s.opts.Daemon {
		return boot != s.opts.Boot
	}
	view := s.member.View()
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

// vmGone reports whether a list that was read under this lease lacks the VM.
func (s *State) vmGone(id vrid.VMID) bool {
	_, listed := s.zone.vms[id]
	return !listed && s.lease.Holding() && s.zone.listed
}

func (s *State) serverGone(id vrid.ServerID) bool { return s.vmGone(vrid.VMID(id)) }

// takeReports passes reports and demand from the tree to the ledger and the planner.
func (s *State) takeReports(now time.Time, out *vrevent.Effects) {
	reports := s.member.TakeReports()
	for i := range reports {
		s.ledger.HandleReport(now, &reports[i])
	}
	if len(reports) > 0 || len(s.zone.drained) > 0 {
		s.setServers(now)
	}
	demands := s.member.TakeDemands()
	for _, demand := range demands {
		s.planner.Want(now, demand)
	}
	s.forwardUse(demands, out)
}

// forwardUse tells the owners of replicas in other zones of their use by this zone's
// requests: they would look idle there.
func (s *State) forwardUse(demands []vrwire.ModelDemand, out *vrevent.Effects) {
	if s.opts.Plain {
		return
	}
	uses := make(map[vrid.ZoneID][]vrwire.ModelDemand)
	for _, demand := range demands {
		if demand.Arrived+demand.Running == 0 || s.ledger.Replicas(demand.Model) > 0 {
			continue
		}
		demand.Waiting = 0
		for zone, summary := range s.member.View().Remote {
			if holds(summary.Servers, demand.Model) {
				uses[zone] = append(uses[zone], demand)
			}
		}
	}
	for _, zone := range sortedKeys(uses) {
		s.send(s.zone.owners[zone], &vrwire.Envelope{Demand: &vrwire.Demand{Demands: uses[zone]}}, out)
	}
}

func holds(servers []vrwire.ServerItem, model vrid.ModelID) bool {
	for i := range servers {
		for j := range servers[i].Replicas {
			if servers[i].Replicas[j].Model == model {
				return true
			}
		}
	}
	return false
}

// departures closes the record of members that are gone.
func (s *State) departures(now time.Time) {
	for _, item := range s.member.TakeDeparted() {
		s.journal.MemberRemoved(now, item.Daemon, item.Boot, item.Opened)
	}
}

func (s *State) publish(now time.Time, out *vrevent.Effects) {
	if s.ledger.TakeChanged() || now.Sub(s.zone.summaryAt) >= summaryInterval {
		items := s.ledger.Items(s.opts.Zone)
		s.expectEnds(now, items)
		s.member.PublishServers(items)
		s.zone.summaryDue = s.zone.summaryDue || s.newReplica()
	}
	if now.Sub(s.zone.leasesAt) >= leasesInterval && s.zone.leasesOp == 0 {
		s.zone.leasesAt = now
		s.zone.leasesOp = s.ops.Next()
		out.Add(vrevent.ListObjects{Op: s.zone.leasesOp, Prefix: vrplatform.PrefixLeases, Values: true})
	}
	silence := now.Sub(s.zone.summaryAt)
	if silence >= summaryInterval || (s.zone.summaryDue && silence >= summaryGap) {
		s.zone.summaryAt = now
		s.member.SweepRemote(now)
		s.zone.summaryDue = false
		s.sendSummaries(now, out)
	}
}

// newReplica reports whether the zone has more loaded replicas and adapters than when
// it was last asked: requests in other zones may wait for one.
func (s *State) newReplica() bool {
	loaded := 0
	for _, item := range s.member.View().Servers {
		for i := range item.Replicas {
			if item.Replicas[i].State == vrwire.ReplicaLoaded {
				loaded += 1 + len(item.Replicas[i].Adapters)
			}
		}
	}
	more := loaded > s.zone.loaded
	s.zone.loaded = loaded
	return more
}

// leasesListed learns the owners of the other zones.
func (s *State) leasesListed(_ time.Time, event vrevent.ObjectsListed) {
	s.zone.leasesOp = 0
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
			s.zone.owners[zone] = vrmember.Peer{Daemon: record.Holder, Address: record.Peer}
		}
	}
}

func (s *State) orderAnswered(now time.Time, event vrevent.OrderAnswered, out *vrevent.Effects) {
	epoch := s.ledger.HandleOrder(now, event)
	if epoch > 0 {
		s.superseded(now, epoch, out)
		return
	}
	s.loadEnded(now, event)
	s.recordOrder(now, event, out)
	s.ledger.Flush(now, out)
	if s.lease.Holding() {
		// The place at the weight store goes to the next load at once.
		s.zone.planAt = time.Time{}
		s.plan(now, out)
		s.publish(now, out)
	}
}
