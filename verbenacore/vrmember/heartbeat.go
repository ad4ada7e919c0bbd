package vrmember

import (
	"maps"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Tick sends the heartbeat, sweeps silent children and members, and pushes the view.
func (m *Membership) Tick(now time.Time, out *vrevent.Effects) {
	m.sweepChildren(now)
	if m.root {
		m.sweepMembers(now)
	} else if now.Sub(m.beatAt) >= heartbeatInterval || m.beatAt.IsZero() {
		m.beat(now, out)
	}
	m.Flush(now, out)
}

// Flush pushes the view's changes if there are any and the last push is not too recent,
// so that a new replica is known in the zone before the next tick.
func (m *Membership) Flush(now time.Time, out *vrevent.Effects) {
	if m.dirty && !now.Before(m.pushAt) {
		m.push(now, out)
	}
}

func (m *Membership) sweepChildren(now time.Time) {
	for id, c := range m.children {
		if now.Sub(c.heard) > suspectAfter {
			delete(m.children, id)
		}
	}
}

// sweepMembers moves silent members to suspect and then removes them.
func (m *Membership) sweepMembers(now time.Time) {
	m.dirty = m.view.publishMember(m.view.count(now, m.self())) || m.dirty
	for id, item := range m.view.Members {
		if id == m.opts.Daemon || item.State == vrwire.MemberRemoved {
			continue
		}
		silence := now.Sub(m.heard[id])
		switch {
		case silence >= removeAfter:
			m.remove(item)
		case silence >= suspectAfter && item.State == vrwire.MemberAlive:
			item.State = vrwire.MemberSuspect
			m.dirty = m.view.publishMember(item) || m.dirty
		}
	}
}

// lastSeen is a member's item with the newest counters.
func (m *Membership) lastSeen(item vrwire.MemberItem) vrwire.MemberItem {
	item.Opened = max(item.Opened, m.view.Counters(item.Daemon).Opened)
	delete(m.view.counters, item.Daemon)
	return item
}

func (m *Membership) remove(item vrwire.MemberItem) {
	m.removed[item.Daemon] = item.Incarnation
	m.departed = append(m.departed, m.lastSeen(item))
	item.State = vrwire.MemberRemoved
	m.view.publishMember(item)
	m.dirty = true
}

// HandleVMGone removes a member whose VM the platform no longer lists.
func (m *Membership) HandleVMGone(id vrid.DaemonID) {
	item, ok := m.view.Members[id]
	if m.root && ok && item.State != vrwire.MemberRemoved {
		m.remove(item)
	}
}

// target is whom the next heartbeat goes to.
func (m *Membership) target(now time.Time) Peer {
	silence := now.Sub(m.replied)
	owner := m.Owner()
	if silence < parentTimeout {
		parent := m.view.Parent(m.opts.Daemon)
		if parent != "" && m.view.Epoch >= m.ownEpoch && !m.lately(now, parent) {
			return Peer{Daemon: parent, Address: m.view.Members[parent].Peer}
		}
	}
	if silence < ownerTimeout && owner.Daemon != "" && owner.Daemon != m.opts.Daemon && !m.lately(now, owner.Daemon) {
		return owner
	}
	return m.anyPeer(now, owner)
}

// anyPeer picks a known daemon, so that a daemon that lost its owner or starts in an
// outage finds whoever knows more.
func (m *Membership) anyPeer(now time.Time, owner Peer) Peer {
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
	reachable := slices.DeleteFunc(slices.Clone(candidates), func(p Peer) bool { return m.lately(now, p.Daemon) })
	if len(reachable) > 0 {
		candidates = reachable
	}
	if len(candidates) == 0 {
		return Peer{}
	}
	return candidates[m.opts.Random.IntN(len(candidates))]
}

// HandlePeerUnreachable takes word that a message to a peer could not be delivered. When it was the
// last heartbeat, the next level is asked at once instead of after its timeout: a relay
// that died would otherwise hold a configuration back for 3 s.
func (m *Membership) HandlePeerUnreachable(now time.Time, peer vrid.DaemonID) {
	if m.root || peer != m.asked {
		return
	}
	m.lost[peer] = now
	m.sendAgain()
	if now.Sub(m.lostAt) < lostPause {
		return
	}
	m.lostAt = now
	timeout := parentTimeout
	if peer == m.Owner().Daemon || now.Sub(m.replied) >= parentTimeout {
		timeout = ownerTimeout
	}
	m.replied = now.Add(-timeout)
	m.beatAt = time.Time{}
}

// lately reports whether a peer could not be reached a short time ago.
func (m *Membership) lately(now time.Time, peer vrid.DaemonID) bool {
	at, lost := m.lost[peer]
	return lost && now.Sub(at) < suspectAfter
}

// OwnerUnreachable reports whether the zone's owner could not be reached a short time ago.
func (m *Membership) OwnerUnreachable(now time.Time) bool { return m.lately(now, m.Owner().Daemon) }

// sendAgain puts what the lost heartbeat carried into the next one.
func (m *Membership) sendAgain() {
	m.demands = append(m.carried.Demands, m.demands...)
	for _, report := range m.carried.Reports {
		delete(m.sent, report.Server)
		if _, newer := m.reports[report.Server]; !newer {
			m.reports[report.Server] = report
		}
	}
	m.carried = vrwire.Heartbeat{}
}

func (m *Membership) beat(now time.Time, out *vrevent.Effects) {
	m.beatAt = now
	target := m.target(now)
	m.asked = target.Daemon
	if target.Daemon == "" {
		return
	}
	heartbeat := &vrwire.Heartbeat{
		Members:       m.subtree(),
		Reports:       m.dueReports(now),
		Demands:       m.demands,
		ViewEpoch:     m.view.Epoch,
		ViewSequence:  m.view.Sequence,
		Config:        m.config,
		SubtreeConfig: m.SubtreeConfig(),
	}
	m.demands = nil
	m.carried = vrwire.Heartbeat{Demands: heartbeat.Demands, Reports: heartbeat.Reports}
	out.Add(vrevent.SendPeer{Peer: target.Daemon, Address: target.Address, Envelope: &vrwire.Envelope{Heartbeat: heartbeat}})
}

// subtree is this daemon and everyone that reports through it.
func (m *Membership) subtree() []vrwire.MemberItem {
	members := []vrwire.MemberItem{m.self()}
	// While the tree changes, two daemons may report to each other for a moment: each
	// member is named once, so that the lists can't grow.
	named := map[vrid.DaemonID]bool{m.opts.Daemon: true}
	for _, id := range sortedKeys(m.children) {
		for _, item := range m.children[id].members {
			if !named[item.Daemon] {
				named[item.Daemon] = true
				members = append(members, item)
			}
		}
	}
	return members
}

// SubtreeConfig is the lowest configuration version in this daemon's subtree.
func (m *Membership) SubtreeConfig() vrid.ConfigVersion {
	lowest := m.config
	for _, c := range m.children {
		lowest = min(lowest, c.config)
	}
	return lowest
}

// dueReports are the reports that changed, and unchanged ones after a while.
func (m *Membership) dueReports(now time.Time) []vrwire.LoadReport {
	var due []vrwire.LoadReport
	for _, id := range sortedKeys(m.reports) {
		report := m.reports[id]
		last, ok := m.sent[id]
		if ok && sameLoad(last.report, report) && now.Sub(last.at) < reportKeepAlive {
			continue
		}
		m.sent[id] = sentReport{report: report, at: now}
		due = append(due, report)
	}
	clear(m.reports)
	return due
}

func sameLoad(a, b vrwire.LoadReport) bool {
	return a.Boot == b.Boot && a.Failed == b.Failed && a.Leaving == b.Leaving &&
		a.Running == b.Running && a.Waiting == b.Waiting && a.HighestEpoch == b.HighestEpoch &&
		slices.Equal(a.AppliedOrders, b.AppliedOrders) && slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b vrwire.LoadedModel) bool {
	return a.Model == b.Model && a.State == b.State && slices.Equal(a.Adapters, b.Adapters)
}

// HandleHeartbeat takes a heartbeat of a child and answers it.
func (m *Membership) HandleHeartbeat(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	beat := envelope.Heartbeat
	address := beat.Members[0].Peer
	reply := &vrwire.HeartbeatReply{Config: m.config}
	if m.root {
		reply.Removed = m.hear(now, beat.Members)
		m.collected = append(m.collected, beat.Reports...)
		m.wanted = append(m.wanted, beat.Demands...)
	} else {
		for _, report := range beat.Reports {
			m.reports[report.Server] = report
		}
		m.demands = append(m.demands, beat.Demands...)
	}
	c := &child{
		heard: now, address: address, epoch: beat.ViewEpoch, sequence: beat.ViewSequence,
		members: beat.Members, config: beat.SubtreeConfig,
	}
	m.children[envelope.From] = c
	reply.Delta = m.deltaFor(c)
	out.Add(vrevent.SendPeer{Peer: envelope.From, Address: address, Envelope: &vrwire.Envelope{HeartbeatReply: reply}})
}

// hear notes the members of a subtree at the root. It reports whether the first of
// them was removed before and has to come back with a higher incarnation.
func (m *Membership) hear(now time.Time, members []vrwire.MemberItem) bool {
	for _, item := range members {
		if item.Daemon == m.opts.Daemon {
			continue
		}
		held, known := m.view.Members[item.Daemon]
		if incarnation, gone := m.removed[item.Daemon]; gone && item.Incarnation <= incarnation && held.Boot == item.Boot {
			continue
		}
		if known && held.Boot != item.Boot && held.State != vrwire.MemberRemoved {
			m.departed = append(m.departed, m.lastSeen(held))
		}
		delete(m.removed, item.Daemon)
		m.heard[item.Daemon] = now
		// Only the root grants shares; a member's own item may carry an older one.
		item.Share = held.Share
		m.dirty = m.view.publishMember(m.view.count(now, item)) || m.dirty
	}
	first := members[0]
	_, gone := m.removed[first.Daemon]
	return gone
}

// deltaFor returns what a child lacks, and assumes that it will arrive.
func (m *Membership) deltaFor(c *child) *vrwire.ViewDelta {
	if m.view.Epoch == 0 || c.epoch > m.view.Epoch {
		return nil
	}
	base := c.sequence
	if c.epoch != m.view.Epoch {
		base = 0
	} else if c.sequence >= m.view.Sequence {
		return nil
	}
	delta := m.view.delta(base)
	c.epoch = m.view.Epoch
	c.sequence = m.view.Sequence
	return delta
}

// HandleReply takes the parent's answer to a heartbeat.
func (m *Membership) HandleReply(now time.Time, reply *vrwire.HeartbeatReply) {
	if m.root {
		return
	}
	m.replied = now
	m.carried = vrwire.Heartbeat{}
	if reply.Removed {
		m.incarnation++
		m.beatAt = time.Time{}
	}
	if reply.Delta != nil {
		m.HandleDelta(reply.Delta)
	}
}

// HandleDelta takes a pushed view change. It reports whether the view changed.
func (m *Membership) HandleDelta(delta *vrwire.ViewDelta) bool {
	if m.root && delta.Epoch <= m.view.Epoch {
		return false
	}
	if !m.view.apply(delta) {
		if delta.Epoch == m.view.Epoch && delta.Base > m.view.Sequence {
			// A change was lost or overtaken: the next heartbeat asks for what is missing, and
			// until then every later change is refused.
			m.beatAt = time.Time{}
		}
		return false
	}
	m.dirty = true
	return true
}

// push sends the view's changes to the children.
func (m *Membership) push(now time.Time, out *vrevent.Effects) {
	m.dirty = false
	m.pushAt = now.Add(pushInterval)
	for _, id := range sortedKeys(m.children) {
		c := m.children[id]
		if delta := m.deltaFor(c); delta != nil {
			out.Add(vrevent.SendPeer{Peer: id, Address: c.address, Envelope: &vrwire.Envelope{ViewDelta: delta}})
		}
	}
}

// Children returns the daemons that report here, for the configuration.
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
