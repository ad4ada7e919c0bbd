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

// peerMessage takes a message of another daemon.
func (s *State) peerMessage(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	switch {
	case envelope.Heartbeat != nil:
		s.heartbeat(now, envelope, out)
	case envelope.HeartbeatReply != nil:
		s.heartbeatReply(now, envelope, out)
	case envelope.ViewDelta != nil:
		s.viewDelta(now, envelope.ViewDelta, out)
	case envelope.Demand != nil:
		s.demand(now, envelope, out)
	case envelope.ClaimRequest != nil:
		s.claimRequested(now, envelope, out)
	case envelope.ClaimReply != nil:
		s.claimReply(now, envelope.ClaimReply, out)
	case envelope.OutcomeReport != nil:
		s.outcomeReported(now, envelope, out)
	case envelope.ConfigFetch != nil:
		s.configFetch(envelope, out)
	case envelope.RecordBatch != nil:
		s.journal.HandleBatch(now, envelope, out)
	case envelope.RecordAck != nil:
		s.journal.HandleAck(now, envelope.RecordAck)
	case envelope.ZoneSummary != nil:
		s.zoneSummary(now, envelope.ZoneSummary)
	case envelope.ServerNotice != nil:
		s.serverNotice(now, envelope, out)
	case envelope.EpochAck != nil:
		s.zone.acks[run{daemon: envelope.From, boot: envelope.Boot}] = envelope.EpochAck.Epoch
	case envelope.SlotRequest != nil:
		s.slotsRequested(now, envelope, out)
	case envelope.SlotGrant != nil:
		s.takeGrants(now, envelope.SlotGrant.Orders, out)
	case envelope.Handover != nil:
		s.lease.ReadSoon(now)
	}
}

func (s *State) heartbeat(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	if envelope.Zone != "" && envelope.Zone != s.opts.Zone {
		return
	}
	s.member.HandleHeartbeat(now, envelope, out)
	if envelope.Heartbeat.Config < s.store.Version() {
		s.offerConfig(vrmember.Peer{Daemon: envelope.From, Address: envelope.Heartbeat.Members[0].Peer}, out)
	}
	s.fetchNewer(envelope.Heartbeat.Config, envelope.From, envelope.Heartbeat.Members[0].Peer, out)
}

func (s *State) heartbeatReply(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	reply := envelope.HeartbeatReply
	s.member.HandleReply(now, reply)
	s.ownerSeen(now, out)
	s.fetchNewer(reply.Config, envelope.From, s.peerOf(envelope.From).Address, out)
}

func (s *State) viewDelta(now time.Time, delta *vrwire.ViewDelta, out *vrevent.Effects) {
	s.member.HandleDelta(delta)
	s.ownerSeen(now, out)
}

// ownerSeen steps down when the view shows a newer owner.
func (s *State) ownerSeen(now time.Time, out *vrevent.Effects) {
	if epoch := s.member.View().Epoch; s.lease.Holding() && epoch > s.lease.Epoch() {
		s.superseded(now, epoch, out)
	}
}

func (s *State) demand(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	for _, demand := range envelope.Demand.Demands {
		s.sendDemand(now, demand, out)
	}
	s.plan(now, out)
}

// peerOf finds the address of a daemon.
func (s *State) peerOf(daemon vrid.DaemonID) vrmember.Peer {
	view := s.member.View()
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

// peerUnreachable finds another parent, and asks for the claims that waited for a lost
// peer by a direct write.
func (s *State) peerUnreachable(now time.Time, peer vrid.DaemonID, out *vrevent.Effects) {
	s.member.PeerLost(now, peer)
	s.journal.PeerLost(peer)
	if record, _ := s.fleet.lease.Latest(); record.Holder == peer && !s.fleet.waiting.IsZero() {
		s.fleet.waiting = now.Add(-slotTimeout)
	}
	if s.store.Current() == nil {
		return
	}
	for _, id := range sortedKeys(s.requests) {
		r := s.requests[id]
		if r == nil || r.phase != phaseClaiming || r.claim.direct {
			continue
		}
		if vrfault.On(vrfault.DropOnPeerLoss) {
			delete(s.requests, id)
			continue
		}
		if owner, own := s.shardOwner(r.claim.shard); !own && owner.Daemon == peer {
			r.claim.direct = true
			s.askClaim(now, r, out)
		}
	}
}

// refreshTable rebuilds the router's table when the zone view or the configuration
// changed.
func (s *State) refreshTable(now time.Time) {
	view := s.member.View()
	index := s.store.Current()
	if index == nil {
		return
	}
	same := view.Epoch == s.viewEpoch && view.Sequence == s.viewSequence && index.Fleet.Version == s.viewConfig
	if same {
		return
	}
	s.viewEpoch, s.viewSequence, s.viewConfig = view.Epoch, view.Sequence, index.Fleet.Version
	share := s.share(view)
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
		far := s.farShare(view, summary)
		for _, item := range summary.Servers {
			updates = append(updates, vrroute.Update{Item: item, Distance: distance, Share: far})
		}
	}
	s.markDrained(now, index, updates)
	s.table.SetServers(updates)
	s.queue.WakeAll()
}

// markDrained applies an operator's drain and a notice before the view carries them.
func (s *State) markDrained(now time.Time, index *vrconfig.Index, updates []vrroute.Update) {
	for i := range updates {
		item := &updates[i].Item
		drained := index.Drained(item.Server) || s.zone.drained[item.Server]
		if (drained || s.noticed(now, item.Server)) && item.State == vrwire.ServerLive {
			item.State = vrwire.ServerDrained
		}
	}
}
