package vrreducer

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrwire"
)

// loadStepsPerServer is the resolution at which other zones learn a server's load, in
// steps per server. A finer one would cost a message for each report.
const loadStepsPerServer = 4

// remoteZone is the state of the exchange of summaries with another zone.
type remoteZone struct {
	// lastNumber is the number of the newest summary sent.
	lastNumber uint64
	// acked is the content that the other zone acknowledged. Summaries carry the
	// changes from it.
	acked zoneContent
	// sent is the content as of the newest summary. It becomes acked once the other
	// zone returns that summary's number.
	sent zoneContent
	// dirtyServers and dirtyMembers are the items in any summary since acked. They are
	// sent again even when they are back at the acknowledged value, because the other
	// zone may have received the value in between.
	dirtyServers map[vrid.ServerID]bool
	dirtyMembers map[vrid.DaemonID]bool
	// fullPending is set until the other zone has acknowledged a full summary. Its
	// owner may hold servers from an earlier one, so servers that are gone are included
	// as well.
	fullPending    bool
	receivedEpoch  vrid.Epoch
	receivedNumber uint64
	// ackPending is set when the other zone's newest summary had content.
	ackPending bool
	sentAt     time.Time
}

// zoneContent is the cumulative content of the summaries up to a number.
type zoneContent struct {
	servers map[vrid.ServerID]vrwire.ServerItem
	members map[vrid.DaemonID]vrwire.MemberItem
}

// emptySummaryInterval is the pause between two summaries without content. They only
// show that the zone is reachable.
const emptySummaryInterval = 2 * time.Second

func newRemoteZone() *remoteZone {
	return &remoteZone{
		dirtyServers: make(map[vrid.ServerID]bool),
		dirtyMembers: make(map[vrid.DaemonID]bool),
	}
}

func (s *State) remoteZone(zone vrid.ZoneID) *remoteZone {
	remote := s.zone.remoteZones[zone]
	if remote == nil {
		remote = newRemoteZone()
		s.zone.remoteZones[zone] = remote
	}
	return remote
}

// sendSummaries sends the changes in this zone to the other zones' owners.
func (s *State) sendSummaries(now time.Time, out *vrevent.Effects) {
	content := s.zoneContent()
	for _, zone := range sortedKeys(s.zone.remoteOwners) {
		remote := s.remoteZone(zone)
		if !s.membership.HasRemoteZone(zone) {
			remote.receivedEpoch, remote.receivedNumber = 0, 0
		}
		summary := &vrwire.ZoneSummary{
			Zone: s.opts.Zone, Epoch: s.membership.View().Epoch, Owner: s.opts.Daemon, Peer: s.opts.PeerAddress,
			Config: s.configStore.Version(), InForce: s.zoneConfigVersion(), SentAt: now.UnixMilli(),
			AckedEpoch: remote.receivedEpoch, AckedNumber: remote.receivedNumber, RemoteSlotShare: s.remoteDaemonShare(now),
		}
		remote.addChanges(summary, content)
		if !remote.beginSend(now, summary) {
			continue
		}
		remote.sent = content
		s.send(s.zone.remoteOwners[zone], &vrwire.Envelope{ZoneSummary: summary}, out)
	}
}

// beginSend reports whether a summary has to be sent now and, if so, assigns the next
// number to it.
func (z *remoteZone) beginSend(now time.Time, summary *vrwire.ZoneSummary) bool {
	empty := len(summary.Servers) == 0 && len(summary.Members) == 0
	if empty && !z.ackPending && now.Sub(z.sentAt) < emptySummaryInterval {
		return false
	}
	z.ackPending = false
	z.sentAt = now
	z.lastNumber++
	summary.Number = z.lastNumber
	return true
}

// zoneContent returns the content of this zone's summaries. Fields that only this zone
// uses are cleared and loads are rounded, since each change costs a message.
func (s *State) zoneContent() zoneContent {
	view := s.membership.View()
	content := zoneContent{
		servers: make(map[vrid.ServerID]vrwire.ServerItem, len(view.Servers)),
		members: make(map[vrid.DaemonID]vrwire.MemberItem, len(view.Members)),
	}
	for id, item := range view.Servers {
		item.Sequence = 0
		step := max(item.Slots/loadStepsPerServer, 1)
		item.Running = (item.Running + item.Waiting) / step * step
		item.Waiting = 0
		content.servers[id] = item
	}
	for id, item := range view.Members {
		item.Sequence, item.Opened, item.SlotShare, item.LocalInFlight = 0, 0, 0, 0
		content.members[id] = item
	}
	return content
}

// addChanges adds the items that differ from the acknowledged content to a summary.
func (z *remoteZone) addChanges(summary *vrwire.ZoneSummary, content zoneContent) {
	for _, id := range sortedKeys(content.servers) {
		item := content.servers[id]
		acked, known := z.acked.servers[id]
		if !known && !z.fullPending && !z.dirtyServers[id] && item.State != vrwire.ServerLive {
			continue
		}
		if !known || !sameServer(acked, item) || z.dirtyServers[id] {
			z.dirtyServers[id] = true
			summary.Servers = append(summary.Servers, item)
		}
	}
	for _, id := range sortedKeys(content.members) {
		item := content.members[id]
		acked, known := z.acked.members[id]
		if !known || acked != item || z.dirtyMembers[id] {
			z.dirtyMembers[id] = true
			summary.Members = append(summary.Members, item)
		}
	}
}

func sameServer(a, b vrwire.ServerItem) bool {
	return a.Address == b.Address && a.State == b.State && a.Running == b.Running && a.Slots == b.Slots &&
		slices.EqualFunc(a.Replicas, b.Replicas, sameReplica)
}

func sameReplica(a, b vrwire.ReplicaItem) bool {
	return a.Model == b.Model && a.State == b.State && a.ReadyAt == b.ReadyAt && slices.Equal(a.Adapters, b.Adapters)
}

// receive handles the other zone's summary: its number, which this zone has to
// acknowledge, and its acknowledgement.
func (z *remoteZone) receive(summary *vrwire.ZoneSummary, epoch vrid.Epoch) {
	z.receivedEpoch, z.receivedNumber = summary.Epoch, summary.Number
	z.ackPending = len(summary.Servers) > 0 || len(summary.Members) > 0
	switch {
	case summary.AckedEpoch != epoch || summary.AckedNumber == 0:
		// The owner is new or has dropped this zone's servers: start again with a full
		// summary.
		z.acked = zoneContent{}
		z.fullPending = true
	case summary.AckedNumber == z.lastNumber:
		z.acked = z.sent
		z.fullPending = false
		clear(z.dirtyServers)
		clear(z.dirtyMembers)
	}
}

// handleZoneSummary handles the summary of another zone's owner.
func (s *State) handleZoneSummary(now time.Time, summary *vrwire.ZoneSummary) {
	s.zone.remoteOwners[summary.Zone] = vrmember.Peer{Daemon: summary.Owner, Address: summary.Peer}
	if !s.membership.IsRoot() {
		return
	}
	remote := s.remoteZone(summary.Zone)
	if summary.Epoch < remote.receivedEpoch || (summary.Epoch == remote.receivedEpoch && summary.Number <= remote.receivedNumber) {
		return
	}
	remote.receive(summary, s.lease.Epoch())
	if s.shares.remoteSeen && !s.membership.HasAnyRemoteZone() {
		s.shares.reconnectedAt = now
	}
	s.shares.remoteSeen = true
	s.membership.PublishRemote(now, summary)
}
