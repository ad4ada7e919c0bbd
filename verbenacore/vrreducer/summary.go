package vrreducer

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrwire"
)

// loadSteps is the resolution, in parts of a server's slots, at which another zone is
// told of its load. Finer changes would cost a message for each report.
const loadSteps = 4

// neighbour is what this zone's owner has told another zone, and heard of it.
type neighbour struct {
	// number counts the summaries sent.
	number uint64
	// acked is what the other zone acknowledged; changes are sent against it.
	acked told
	// sent is the newest summary's content, acked once the other zone repeats its number.
	sent told
	// touched are the items of any summary since acked: they are sent again even when
	// they went back to the acknowledged value.
	touchedServers map[vrid.ServerID]bool
	touchedMembers map[vrid.DaemonID]bool
	// full is set until the other zone has acknowledged a whole summary. Its owner may
	// hold servers from an earlier one, so those that are gone are named as well.
	full        bool
	heardEpoch  vrid.Epoch
	heardNumber uint64
	// owesAck is set when the other zone's newest summary had content.
	owesAck bool
	sentAt  time.Time
}

// told is the content of the summaries up to a number.
type told struct {
	servers map[vrid.ServerID]vrwire.ServerItem
	members map[vrid.DaemonID]vrwire.MemberItem
}

// quietSummary is the pause between two summaries without content: they only say that
// the zone can be reached.
const quietSummary = 2 * time.Second

func newNeighbour() *neighbour {
	return &neighbour{
		touchedServers: make(map[vrid.ServerID]bool),
		touchedMembers: make(map[vrid.DaemonID]bool),
	}
}

func (s *State) neighbour(zone vrid.ZoneID) *neighbour {
	n := s.zone.remoteZones[zone]
	if n == nil {
		n = newNeighbour()
		s.zone.remoteZones[zone] = n
	}
	return n
}

// sendSummaries tells the other zones' owners what changed in this zone.
func (s *State) sendSummaries(now time.Time, out *vrevent.Effects) {
	content := s.content()
	for _, zone := range sortedKeys(s.zone.zoneOwners) {
		n := s.neighbour(zone)
		if !s.membership.RemoteHeard(zone) {
			n.heardEpoch, n.heardNumber = 0, 0
		}
		summary := &vrwire.ZoneSummary{
			Zone: s.opts.Zone, Epoch: s.membership.View().Epoch, Owner: s.opts.Daemon, Peer: s.opts.PeerAddress,
			Config: s.configStore.Version(), InForce: s.zoneConfigVersion(), SentAt: now.UnixMilli(),
			HeardEpoch: n.heardEpoch, HeardNumber: n.heardNumber, FarShare: s.farGrant(now),
		}
		n.change(summary, content)
		if !n.due(now, summary) {
			continue
		}
		n.sent = content
		s.send(s.zone.zoneOwners[zone], &vrwire.Envelope{ZoneSummary: summary}, out)
	}
}

// due reports whether a summary has to be sent now, and numbers it.
func (n *neighbour) due(now time.Time, summary *vrwire.ZoneSummary) bool {
	empty := len(summary.Servers) == 0 && len(summary.Members) == 0
	if empty && !n.owesAck && now.Sub(n.sentAt) < quietSummary {
		return false
	}
	n.owesAck = false
	n.sentAt = now
	n.number++
	summary.Number = n.number
	return true
}

// content is what other zones may know of this one.
func (s *State) content() told {
	view := s.membership.View()
	content := told{
		servers: make(map[vrid.ServerID]vrwire.ServerItem, len(view.Servers)),
		members: make(map[vrid.DaemonID]vrwire.MemberItem, len(view.Members)),
	}
	for id, item := range view.Servers {
		item.Sequence = 0
		step := max(item.Slots/loadSteps, 1)
		item.Running = (item.Running + item.Waiting) / step * step
		item.Waiting = 0
		content.servers[id] = item
	}
	for id, item := range view.Members {
		item.Sequence, item.Opened, item.Share, item.Near = 0, 0, 0, 0
		content.members[id] = item
	}
	return content
}

// change puts into a summary what differs from the acknowledged content.
func (n *neighbour) change(summary *vrwire.ZoneSummary, content told) {
	for _, id := range sortedKeys(content.servers) {
		item := content.servers[id]
		held, known := n.acked.servers[id]
		if !known && !n.full && !n.touchedServers[id] && item.State != vrwire.ServerLive {
			continue
		}
		if !known || !sameServer(held, item) || n.touchedServers[id] {
			n.touchedServers[id] = true
			summary.Servers = append(summary.Servers, item)
		}
	}
	for _, id := range sortedKeys(content.members) {
		item := content.members[id]
		held, known := n.acked.members[id]
		if !known || held != item || n.touchedMembers[id] {
			n.touchedMembers[id] = true
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

// heard takes the other zone's acknowledgement.
func (n *neighbour) heard(summary *vrwire.ZoneSummary, epoch vrid.Epoch) {
	n.heardEpoch, n.heardNumber = summary.Epoch, summary.Number
	n.owesAck = len(summary.Servers) > 0 || len(summary.Members) > 0
	switch {
	case summary.HeardEpoch != epoch || summary.HeardNumber == 0:
		// A new owner, or one that dropped this zone's servers: start from nothing.
		n.acked = told{}
		n.full = true
	case summary.HeardNumber == n.number:
		n.acked = n.sent
		n.full = false
		clear(n.touchedServers)
		clear(n.touchedMembers)
	}
}

// zoneSummary takes what another zone's owner can serve.
func (s *State) zoneSummary(now time.Time, summary *vrwire.ZoneSummary) {
	s.zone.zoneOwners[summary.Zone] = vrmember.Peer{Daemon: summary.Owner, Address: summary.Peer}
	if !s.membership.Root() {
		return
	}
	n := s.neighbour(summary.Zone)
	if summary.Epoch < n.heardEpoch || (summary.Epoch == n.heardEpoch && summary.Number <= n.heardNumber) {
		return
	}
	n.heard(summary, s.lease.Epoch())
	if s.shares.joined && !s.membership.AnyRemoteHeard() {
		s.shares.returned = now
	}
	s.shares.joined = true
	s.membership.PublishRemote(now, summary)
}
