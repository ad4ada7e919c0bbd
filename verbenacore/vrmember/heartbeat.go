package vrmember

import (
	"maps"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Tick expires silent children, and as the root silent members, sends the heartbeat if it is
// due and pushes the view's changes.
func (m *Membership) Tick(now time.Time, out *vrevent.Effects) {
	m.expireChildren(now)
	if m.isRoot {
		m.expireMembers(now)
	} else if now.Sub(m.lastHeartbeatAt) >= heartbeatInterval || m.lastHeartbeatAt.IsZero() {
		m.sendHeartbeat(now, out)
	}
	m.Flush(now, out)
}

// Flush pushes the view's changes if there are any and the last push is at least
// pushInterval ago, so that the zone learns of a new replica before the next tick.
func (m *Membership) Flush(now time.Time, out *vrevent.Effects) {
	if m.viewDirty && !now.Before(m.nextPushAt) {
		m.pushView(now, out)
	}
}

// expireChildren removes the children that have sent no heartbeat for suspectTimeout.
func (m *Membership) expireChildren(now time.Time) {
	for id, c := range m.children {
		if now.Sub(c.lastHeard) > suspectTimeout {
			delete(m.children, id)
		}
	}
}

// expireMembers updates the root's own item, and marks silent members as suspect and later
// removes them.
func (m *Membership) expireMembers(now time.Time) {
	m.viewDirty = m.view.publishMember(m.view.updateCounters(now, m.selfItem())) || m.viewDirty
	for id, item := range m.view.Members {
		if id == m.opts.Daemon || item.State == vrwire.MemberRemoved {
			continue
		}
		silence := now.Sub(m.lastHeard[id])
		switch {
		case silence >= removeTimeout:
			m.removeMember(item)
		case silence >= suspectTimeout && item.State == vrwire.MemberAlive:
			item.State = vrwire.MemberSuspect
			m.viewDirty = m.view.publishMember(item) || m.viewDirty
		}
	}
}

// withLatestCounters returns a member's item with its latest Opened, and deletes the member's
// counters.
func (m *Membership) withLatestCounters(item vrwire.MemberItem) vrwire.MemberItem {
	item.Opened = max(item.Opened, m.view.Counters(item.Daemon).Opened)
	delete(m.view.counters, item.Daemon)
	return item
}

// removeMember marks a member as removed. It can rejoin only with a higher incarnation or
// after a restart.
func (m *Membership) removeMember(item vrwire.MemberItem) {
	m.removedIncarnations[item.Daemon] = item.Incarnation
	m.departed = append(m.departed, m.withLatestCounters(item))
	item.State = vrwire.MemberRemoved
	m.view.publishMember(item)
	m.viewDirty = true
}

// HandleVMGone removes a member whose VM is no longer in the platform's list.
func (m *Membership) HandleVMGone(id vrid.DaemonID) {
	item, ok := m.view.Members[id]
	if m.isRoot && ok && item.State != vrwire.MemberRemoved {
		m.removeMember(item)
	}
}

// chooseHeartbeatTarget returns the daemon that the next heartbeat is sent to: the parent,
// the owner or a random peer, or the zero Peer if none is known.
func (m *Membership) chooseHeartbeatTarget(now time.Time) Peer {
	silence := now.Sub(m.lastReplyAt)
	owner := m.Owner()
	if silence < parentTimeout {
		parent := m.view.Parent(m.opts.Daemon)
		if parent != "" && m.view.Epoch >= m.ownerEpoch && !m.recentlyUnreachable(now, parent) {
			return Peer{Daemon: parent, Address: m.view.Members[parent].Peer}
		}
	}
	if silence < rootTimeout && owner.Daemon != "" && owner.Daemon != m.opts.Daemon && !m.recentlyUnreachable(now, owner.Daemon) {
		return owner
	}
	return m.randomPeer(now, owner)
}

// randomPeer returns a random known daemon, preferably a reachable one, so that a daemon that
// lost its owner or starts during an outage finds another one that knows more. It returns the
// zero Peer if no other daemon is known.
func (m *Membership) randomPeer(now time.Time, owner Peer) Peer {
	candidates := slices.Clone(m.seeds)
	for _, id := range m.view.TreeOrder() {
		candidates = append(candidates, Peer{Daemon: id, Address: m.view.Members[id].Peer})
	}
	if owner.Daemon != "" {
		candidates = append(candidates, owner)
	}
	candidates = slices.DeleteFunc(candidates, func(p Peer) bool {
		return p.Daemon == m.opts.Daemon || p.Address == ""
	})
	reachable := slices.DeleteFunc(slices.Clone(candidates), func(p Peer) bool { return m.recentlyUnreachable(now, p.Daemon) })
	if len(reachable) > 0 {
		candidates = reachable
	}
	if len(candidates) == 0 {
		return Peer{}
	}
	return candidates[m.opts.Random.IntN(len(candidates))]
}

// HandlePeerUnreachable handles a message to a peer that could not be delivered. If the last
// heartbeat went to that peer, the next heartbeat goes to the owner or to a random peer at
// once instead of after the timeout: a dead parent would otherwise delay a configuration by
// 3 s.
func (m *Membership) HandlePeerUnreachable(now time.Time, peer vrid.DaemonID) {
	if m.isRoot || peer != m.heartbeatTarget {
		return
	}
	m.unreachableAt[peer] = now
	m.requeueUnacked()
	if now.Sub(m.lastUnreachableAt) < unreachableBackoff {
		return
	}
	m.lastUnreachableAt = now
	timeout := parentTimeout
	if peer == m.Owner().Daemon || now.Sub(m.lastReplyAt) >= parentTimeout {
		timeout = rootTimeout
	}
	m.lastReplyAt = now.Add(-timeout)
	m.lastHeartbeatAt = time.Time{}
}

// recentlyUnreachable reports whether a peer could not be reached within the last
// suspectTimeout.
func (m *Membership) recentlyUnreachable(now time.Time, peer vrid.DaemonID) bool {
	at, unreachable := m.unreachableAt[peer]
	return unreachable && now.Sub(at) < suspectTimeout
}

// OwnerUnreachable reports whether the zone's owner could not be reached within the last
// suspectTimeout.
func (m *Membership) OwnerUnreachable(now time.Time) bool {
	return m.recentlyUnreachable(now, m.Owner().Daemon)
}

// requeueUnacked puts the demands and reports of a heartbeat that was not delivered into the
// next one, except for reports that were replaced by a newer one.
func (m *Membership) requeueUnacked() {
	m.pendingDemands = append(m.unacked.Demands, m.pendingDemands...)
	for _, report := range m.unacked.Reports {
		delete(m.sentReports, report.Server)
		if _, newer := m.pendingReports[report.Server]; !newer {
			m.pendingReports[report.Server] = report
		}
	}
	m.unacked = vrwire.Heartbeat{}
}

// sendHeartbeat sends the pending reports and demands and this daemon's subtree to the chosen
// target, if there is one.
func (m *Membership) sendHeartbeat(now time.Time, out *vrevent.Effects) {
	m.lastHeartbeatAt = now
	target := m.chooseHeartbeatTarget(now)
	m.heartbeatTarget = target.Daemon
	if target.Daemon == "" {
		return
	}
	heartbeat := &vrwire.Heartbeat{
		Members:       m.subtreeMembers(),
		Reports:       m.dueReports(now),
		Demands:       m.pendingDemands,
		ViewEpoch:     m.view.Epoch,
		ViewSequence:  m.view.Sequence,
		Config:        m.config,
		SubtreeConfig: m.SubtreeConfig(),
	}
	m.pendingDemands = nil
	m.unacked = vrwire.Heartbeat{Demands: heartbeat.Demands, Reports: heartbeat.Reports}
	out.Add(vrevent.SendPeer{Peer: target.Daemon, Address: target.Address, Envelope: &vrwire.Envelope{Heartbeat: heartbeat}})
}

// subtreeMembers returns this daemon's item, followed by those of the members in its children's
// subtrees.
func (m *Membership) subtreeMembers() []vrwire.MemberItem {
	members := []vrwire.MemberItem{m.selfItem()}
	// While the tree changes, two daemons may briefly report to each other. Each member is
	// listed only once, so that their lists don't keep growing.
	seen := map[vrid.DaemonID]bool{m.opts.Daemon: true}
	for _, id := range sortedKeys(m.children) {
		for _, item := range m.children[id].members {
			if !seen[item.Daemon] {
				seen[item.Daemon] = true
				members = append(members, item)
			}
		}
	}
	return members
}

// SubtreeConfig returns the lowest configuration version in this daemon's subtree.
func (m *Membership) SubtreeConfig() vrid.ConfigVersion {
	lowest := m.config
	for _, c := range m.children {
		lowest = min(lowest, c.minConfig)
	}
	return lowest
}

// dueReports returns the pending reports that differ from the last ones sent or whose last
// sending is reportRefreshInterval ago, and clears the pending reports.
func (m *Membership) dueReports(now time.Time) []vrwire.LoadReport {
	var due []vrwire.LoadReport
	for _, id := range sortedKeys(m.pendingReports) {
		report := m.pendingReports[id]
		lastSent, ok := m.sentReports[id]
		if ok && sameLoad(lastSent.report, report) && now.Sub(lastSent.sentAt) < reportRefreshInterval {
			continue
		}
		m.sentReports[id] = sentReport{report: report, sentAt: now}
		due = append(due, report)
	}
	clear(m.pendingReports)
	return due
}

// sameLoad reports whether two reports agree in the fields whose changes are sent with the
// next heartbeat instead of after reportRefreshInterval.
func sameLoad(a, b vrwire.LoadReport) bool {
	return a.Boot == b.Boot && a.FailedPolls == b.FailedPolls && a.Leaving == b.Leaving &&
		a.Running == b.Running && a.Waiting == b.Waiting && a.HighestEpoch == b.HighestEpoch &&
		slices.Equal(a.AppliedOrders, b.AppliedOrders) && slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b vrwire.LoadedModel) bool {
	return a.Model == b.Model && a.State == b.State && slices.Equal(a.Adapters, b.Adapters)
}

// HandleHeartbeat handles a heartbeat of a child and replies to it.
func (m *Membership) HandleHeartbeat(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	heartbeat := envelope.Heartbeat
	address := heartbeat.Members[0].Peer
	reply := &vrwire.HeartbeatReply{Config: m.config}
	if m.isRoot {
		reply.Removed = m.handleSubtree(now, heartbeat.Members)
		m.receivedReports = append(m.receivedReports, heartbeat.Reports...)
		m.receivedDemands = append(m.receivedDemands, heartbeat.Demands...)
	} else {
		for _, report := range heartbeat.Reports {
			m.pendingReports[report.Server] = report
		}
		m.pendingDemands = append(m.pendingDemands, heartbeat.Demands...)
	}
	c := &child{
		lastHeard: now, address: address, viewEpoch: heartbeat.ViewEpoch, viewSequence: heartbeat.ViewSequence,
		members: heartbeat.Members, minConfig: heartbeat.SubtreeConfig,
	}
	m.children[envelope.From] = c
	reply.Delta = m.deltaFor(c)
	out.Add(vrevent.SendPeer{Peer: envelope.From, Address: address, Envelope: &vrwire.Envelope{HeartbeatReply: reply}})
}

// handleSubtree updates the members of a child's subtree at the root. It reports whether the
// first of them, the child, was removed and has to rejoin with a higher incarnation.
func (m *Membership) handleSubtree(now time.Time, members []vrwire.MemberItem) bool {
	for _, item := range members {
		if item.Daemon == m.opts.Daemon {
			continue
		}
		current, known := m.view.Members[item.Daemon]
		if removedIncarnation, removed := m.removedIncarnations[item.Daemon]; removed && item.Incarnation <= removedIncarnation && current.Boot == item.Boot {
			continue
		}
		if known && current.Boot != item.Boot && current.State != vrwire.MemberRemoved {
			m.departed = append(m.departed, m.withLatestCounters(current))
		}
		delete(m.removedIncarnations, item.Daemon)
		m.lastHeard[item.Daemon] = now
		// Only the root sets shares; a member's own item may contain an older one.
		item.SlotShare = current.SlotShare
		m.viewDirty = m.view.publishMember(m.view.updateCounters(now, item)) || m.viewDirty
	}
	sender := members[0]
	_, removed := m.removedIncarnations[sender.Daemon]
	return removed
}

// deltaFor returns the view changes that a child lacks, or nil if there are none. It assumes
// that they arrive: the child's next heartbeat corrects its recorded view.
func (m *Membership) deltaFor(c *child) *vrwire.ViewDelta {
	if m.view.Epoch == 0 || c.viewEpoch > m.view.Epoch {
		return nil
	}
	base := c.viewSequence
	if c.viewEpoch != m.view.Epoch {
		base = 0
	} else if c.viewSequence >= m.view.Sequence {
		return nil
	}
	delta := m.view.deltaSince(base)
	c.viewEpoch = m.view.Epoch
	c.viewSequence = m.view.Sequence
	return delta
}

// HandleReply handles the reply to a heartbeat.
func (m *Membership) HandleReply(now time.Time, reply *vrwire.HeartbeatReply) {
	if m.isRoot {
		return
	}
	m.lastReplyAt = now
	m.unacked = vrwire.Heartbeat{}
	if reply.Removed {
		m.incarnation++
		m.lastHeartbeatAt = time.Time{}
	}
	if reply.Delta != nil {
		m.HandleDelta(reply.Delta)
	}
}

// HandleDelta applies a delta of the view and reports whether the view changed.
func (m *Membership) HandleDelta(delta *vrwire.ViewDelta) bool {
	if m.isRoot && delta.Epoch <= m.view.Epoch {
		return false
	}
	if !m.view.applyDelta(delta) {
		if delta.Epoch == m.view.Epoch && delta.Base > m.view.Sequence {
			// A delta was lost or reordered. The heartbeat that is sent with the next tick requests
			// the missing changes; every later delta is refused until they arrive.
			m.lastHeartbeatAt = time.Time{}
		}
		return false
	}
	m.viewDirty = true
	return true
}

// pushView sends each child the view changes that it lacks.
func (m *Membership) pushView(now time.Time, out *vrevent.Effects) {
	m.viewDirty = false
	m.nextPushAt = now.Add(pushInterval)
	for _, id := range sortedKeys(m.children) {
		c := m.children[id]
		if delta := m.deltaFor(c); delta != nil {
			out.Add(vrevent.SendPeer{Peer: id, Address: c.address, Envelope: &vrwire.Envelope{ViewDelta: delta}})
		}
	}
}

// Children returns the daemons that send their heartbeats to this one, sorted by id. The
// configuration is sent to them.
func (m *Membership) Children() []Peer {
	var peers []Peer
	for _, id := range sortedKeys(m.children) {
		peers = append(peers, Peer{Daemon: id, Address: m.children[id].address})
	}
	return peers
}

func sortedKeys[K ~string, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
