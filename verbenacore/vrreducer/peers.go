package vrreducer

import (
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrroute"
	"verbenaroute.example/verbenacore/vrwire"
)

// peerMessage handles a message of another daemon.
func (s *State) peerMessage(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	switch {
	case envelope.Heartbeat != nil:
		s.handleHeartbeat(now, envelope, out)
	case envelope.HeartbeatReply != nil:
		s.handleHeartbeatReply(now, envelope, out)
	case envelope.ViewDelta != nil:
		s.handleViewDelta(now, envelope.ViewDelta, out)
	case envelope.Demand != nil:
		s.handleDemand(now, envelope, out)
	case envelope.ClaimRequest != nil:
		s.handleClaimRequest(now, envelope, out)
	case envelope.ClaimReply != nil:
		s.handleClaimReply(now, envelope.ClaimReply, out)
	case envelope.OutcomeReport != nil:
		s.handleOutcomeReport(now, envelope, out)
	case envelope.ConfigFetch != nil:
		s.handleConfigFetch(envelope, out)
	case envelope.RecordBatch != nil:
		s.journal.HandleBatch(now, envelope, out)
	case envelope.RecordAck != nil:
		s.journal.HandleAck(now, envelope.RecordAck)
	case envelope.ZoneSummary != nil:
		s.handleZoneSummary(now, envelope.ZoneSummary)
	case envelope.ServerNotice != nil:
		s.handleServerNotice(now, envelope, out)
	case envelope.EpochAck != nil:
		s.zone.epochAcks[daemonRun{daemon: envelope.From, boot: envelope.Boot}] = envelope.EpochAck.Epoch
	case envelope.SlotRequest != nil:
		s.handleSlotRequest(now, envelope, out)
	case envelope.SlotGrant != nil:
		s.applySlotGrants(now, envelope.SlotGrant.Orders, out)
	case envelope.Handover != nil:
		s.lease.ReadSoon(now)
	}
}

// handleHeartbeat handles a child's heartbeat, whose first member is the child itself.
func (s *State) handleHeartbeat(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	if envelope.Zone != "" && envelope.Zone != s.opts.Zone {
		return
	}
	s.membership.HandleHeartbeat(now, envelope, out)
	if envelope.Heartbeat.Config < s.configStore.Version() {
		s.offerConfig(vrmember.Peer{Daemon: envelope.From, Address: envelope.Heartbeat.Members[0].Peer}, out)
	}
	s.fetchNewerConfig(envelope.Heartbeat.Config, envelope.From, envelope.Heartbeat.Members[0].Peer, out)
}

func (s *State) handleHeartbeatReply(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	reply := envelope.HeartbeatReply
	s.membership.HandleReply(now, reply)
	s.checkNewerOwner(now, out)
	s.fetchNewerConfig(reply.Config, envelope.From, s.peerOf(envelope.From).Address, out)
}

func (s *State) handleViewDelta(now time.Time, delta *vrwire.ViewDelta, out *vrevent.Effects) {
	s.membership.HandleDelta(delta)
	s.checkNewerOwner(now, out)
}

// checkNewerOwner gives up ownership if the view shows a newer owner.
func (s *State) checkNewerOwner(now time.Time, out *vrevent.Effects) {
	if epoch := s.membership.View().Epoch; s.lease.Holding() && epoch > s.lease.Epoch() {
		s.superseded(now, epoch, out)
	}
}

func (s *State) handleDemand(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	for _, demand := range envelope.Demand.Demands {
		s.sendDemand(now, demand, out)
	}
	s.plan(now, out)
}

// peerOf returns a daemon with its address, which is empty if unknown.
func (s *State) peerOf(daemon vrid.DaemonID) vrmember.Peer {
	view := s.membership.View()
	if item, ok := view.Members[daemon]; ok && item.Peer != "" {
		return vrmember.Peer{Daemon: daemon, Address: item.Peer}
	}
	if vm, ok := s.zone.vms[vrid.VMID(daemon)]; ok {
		return vrmember.Peer{Daemon: daemon, Address: vm.Address}
	}
	for _, remote := range view.Remote {
		for _, item := range remote.Members {
			if item.Daemon == daemon {
				return vrmember.Peer{Daemon: daemon, Address: item.Peer}
			}
		}
	}
	for _, seed := range s.opts.Seeds {
		if seed.Daemon == daemon {
			return vrmember.Peer{Daemon: daemon, Address: seed.Address}
		}
	}
	return vrmember.Peer{Daemon: daemon}
}

// peerUnreachable reports the loss to the membership, which finds another parent, and
// to the journal. It requests the claims that waited for the lost peer again by a
// direct write. If the peer is the fleet owner and has not answered a slot request, the
// zone falls back to its own share of the slots immediately.
func (s *State) peerUnreachable(now time.Time, peer vrid.DaemonID, out *vrevent.Effects) {
	s.membership.HandlePeerUnreachable(now, peer)
	s.journal.HandlePeerUnreachable(peer)
	if record, _ := s.fleet.lease.Latest(); record.Holder == peer && !s.fleet.unansweredSince.IsZero() {
		s.fleet.unansweredSince = now.Add(-slotGrantTimeout)
	}
	if s.configStore.Current() == nil {
		return
	}
	for _, id := range sortedKeys(s.requests) {
		r := s.requests[id]
		if r == nil || r.phase != phaseClaiming || r.claim.directWrite {
			continue
		}
		if vrfault.On(vrfault.DropOnPeerLoss) {
			delete(s.requests, id)
			continue
		}
		if owner, local := s.shardOwner(r.claim.shard); !local && owner.Daemon == peer {
			r.claim.directWrite = true
			s.requestClaim(now, r, out)
		}
	}
}

// refreshRoutingTable rebuilds the routing table if the zone view or the configuration
// changed.
func (s *State) refreshRoutingTable(now time.Time) {
	view := s.membership.View()
	index := s.configStore.Current()
	if index == nil {
		return
	}
	unchanged := view.Epoch == s.tableEpoch && view.Sequence == s.tableSequence && index.Fleet.Version == s.tableConfig
	if unchanged {
		return
	}
	s.tableEpoch, s.tableSequence, s.tableConfig = view.Epoch, view.Sequence, index.Fleet.Version
	share := s.ownShare(view)
	region := index.Region(s.opts.Zone)
	var updates []vrroute.Update
	for _, id := range sortedKeys(view.Servers) {
		updates = append(updates, vrroute.Update{Item: view.Servers[id], Distance: vrroute.SameZone, Share: share})
	}
	for _, zone := range sortedKeys(view.Remote) {
		summary := view.Remote[zone]
		if zone == s.opts.Zone {
			continue
		}
		distance := vrroute.OtherRegion
		if index.Region(zone) == region {
			distance = vrroute.SameRegion
		}
		remoteShare := s.remoteShare(view, summary)
		for _, item := range summary.Servers {
			updates = append(updates, vrroute.Update{Item: item, Distance: distance, Share: remoteShare})
		}
	}
	s.markDrained(now, index, updates)
	s.routingTable.SetServers(updates)
	s.queue.WakeAll()
}

// markDrained applies operators' drains and leaving notices before the view contains
// them.
func (s *State) markDrained(now time.Time, index *vrconfig.Index, updates []vrroute.Update) {
	for i := range updates {
		item := &updates[i].Item
		drained := index.Drained(item.Server) || s.zone.drainedServers[item.Server]
		if (drained || s.hasLeavingNotice(now, item.Server)) && item.State == vrwire.ServerLive {
			item.State = vrwire.ServerDrained
		}
	}
}
