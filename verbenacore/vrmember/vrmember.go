package vrmember

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// heartbeatInterval is the pause between two heartbeats to the parent.
	heartbeatInterval = time.Second
	// suspectAfter is three missed heartbeats.
	suspectAfter = 3 * heartbeatInterval
	// removeAfter leaves a suspect as long again to refute the suspicion.
	removeAfter = 2 * suspectAfter
	// parentTimeout is how long a parent may be silent before the root is asked.
	parentTimeout = 2500 * time.Millisecond
	// ownerTimeout is how long the root may be silent before any peer is asked.
	ownerTimeout = 4 * time.Second
	// lostPause bounds the heartbeats that follow lost ones at once.
	lostPause = 250 * time.Millisecond
	// pushInterval gathers view changes before they are pushed to children.
	pushInterval = 20 * time.Millisecond
	// reportKeepAlive sends an unchanged report after this time.
	reportKeepAlive = 5 * time.Second
	// remoteTimeout is how long another zone may be silent before it is not routed to.
	// Summaries without content come each 2 s, so that one may be lost.
	remoteTimeout = 5 * time.Second
)

// Options of a member.
type Options struct {
	Daemon vrid.DaemonID
	Boot   vrid.BootID
	Zone   vrid.ZoneID
	PeerAddress   string
	Random *rand.Rand
}

// child is a daemon that sends its heartbeats here.
type child struct {
	heard time.Time
	// address is where pushes go.
	address  string
	epoch    vrid.Epoch
	sequence uint64
	// members of the child's subtree.
	members []vrwire.MemberItem
	// config is the lowest version in the subtree.
	config vrid.ConfigVersion
}

// Peer is a daemon that can be asked when no owner is known.
type Peer struct {
	Daemon  vrid.DaemonID
	Address string
}

// Membership is one daemon's part in its zone.
type Membership struct {
	opts        Options
	view        *View
	incarnation uint64
	leaving     bool
	opened      uint64
	near        uint32
	children    map[vrid.DaemonID]*child
	// lost is when a peer could not be reached, carried what the last heartbeat held until
	// it is answered.
	lost    map[vrid.DaemonID]time.Time
	carried vrwire.Heartbeat
	// heard is when the root last had word of a member.
	heard map[vrid.DaemonID]time.Time
	// remoteHeard is when the root last had a summary of another zone.
	remoteHeard map[vrid.ZoneID]time.Time
	removed     map[vrid.DaemonID]uint64
	// departed are members that the root removed since TakeDeparted.
	departed []vrwire.MemberItem
	reports  map[vrid.ServerID]vrwire.LoadReport
	sent     map[vrid.ServerID]sentReport
	demands  []vrwire.ModelDemand
	beatAt   time.Time
	replied  time.Time
	started  time.Time
	pushAt   time.Time
	dirty    bool
	root     bool
	owner    Peer
	ownEpoch vrid.Epoch
	seeds    []Peer
	config   vrid.ConfigVersion
	// asked is whom the last heartbeat went to.
	asked     vrid.DaemonID
	lostAt    time.Time
	collected []vrwire.LoadReport
	wanted    []vrwire.ModelDemand
}

type sentReport struct {
	report vrwire.LoadReport
	at     time.Time
}

// New returns a member that knows nobody.
func New(now time.Time, opts Options) *Membership {
	return &Membership{
		opts:        opts,
		view:        newView(opts.Zone),
		incarnation: 1,
		children:    make(map[vrid.DaemonID]*child),
		heard:       make(map[vrid.DaemonID]time.Time),
		lost:        make(map[vrid.DaemonID]time.Time),
		remoteHeard: make(map[vrid.ZoneID]time.Time),
		removed:     make(map[vrid.DaemonID]uint64),
		reports:     make(map[vrid.ServerID]vrwire.LoadReport),
		sent:        make(map[vrid.ServerID]sentReport),
		started:     now,
		replied:     now,
	}
}

// View returns the zone view; callers must not change it.
func (m *Membership) View() *View { return m.view }

// IsRoot reports whether this daemon publishes the view.
func (m *Membership) IsRoot() bool { return m.root }

// SetSeeds names the daemons to ask when no owner is known.
func (m *Membership) SetSeeds(seeds []Peer) { m.seeds = seeds }

// SetConfig tells which configuration this daemon holds.
func (m *Membership) SetConfig(version vrid.ConfigVersion) { m.config = max(m.config, version) }

// SetOpened tells how many requests this daemon has numbered.
func (m *Membership) SetOpened(opened uint64) { m.opened = opened }

// SetLocalInFlight tells how many of this daemon's requests are in flight in its own zone.
func (m *Membership) SetLocalInFlight(near int) { m.near = uint32(max(near, 0)) }

// Leave marks this daemon as leaving.
func (m *Membership) Leave() {
	m.leaving = true
	m.beatAt = time.Time{}
}

// SetOwner takes what the lease object says of the zone's owner.
func (m *Membership) SetOwner(owner Peer, epoch vrid.Epoch) {
	if epoch < m.ownEpoch {
		return
	}
	if epoch > m.ownEpoch {
		m.beatAt = time.Time{}
	}
	m.ownEpoch = epoch
	m.owner = owner
}

// Owner returns the zone's owner as far as it is known.
func (m *Membership) Owner() Peer {
	if m.view.Epoch > m.ownEpoch {
		item := m.view.Members[m.view.Owner]
		return Peer{Daemon: m.view.Owner, Address: item.Peer}
	}
	return m.owner
}

// BecomeRoot starts publishing the view under a new epoch. The members and servers of
// the last view stay until they are seen to have changed.
func (m *Membership) BecomeRoot(now time.Time, epoch vrid.Epoch) {
	m.root = true
	m.ownEpoch = epoch
	m.owner = Peer{Daemon: m.opts.Daemon, Address: m.opts.PeerAddress}
	// The last owner lost its lease: until it is heard of it is no parent to anybody.
	if item, ok := m.view.Members[m.view.Owner]; ok && m.view.Owner != m.opts.Daemon && item.State == vrwire.MemberAlive {
		item.State = vrwire.MemberSuspect
		m.view.Members[m.view.Owner] = item
	}
	m.view.Epoch = epoch
	m.view.Owner = m.opts.Daemon
	m.view.membersChanged()
	m.view.Sequence++
	for id, item := range m.view.Members {
		item.Sequence = m.view.Sequence
		m.view.Members[id] = item
		m.heard[id] = now
	}
	for id, item := range m.view.Servers {
		item.Sequence = m.view.Sequence
		m.view.Servers[id] = item
	}
	m.view.publishMember(m.self())
	clear(m.remoteHeard)
	m.dirty = true
}

// StopRoot ends publishing after the lease was lost.
func (m *Membership) StopRoot(now time.Time) {
	m.root = false
	m.replied = now
	m.beatAt = time.Time{}
}

// self is this daemon's own item.
func (m *Membership) self() vrwire.MemberItem {
	state := vrwire.MemberAlive
	if m.leaving {
		state = vrwire.MemberLeaving
	}
	return vrwire.MemberItem{
		Daemon: m.opts.Daemon, Boot: m.opts.Boot, Peer: m.opts.PeerAddress, State: state,
		Incarnation: m.incarnation, Opened: m.opened, Near: m.near, Share: m.view.Members[m.opts.Daemon].Share,
	}
}

// SetShares publishes the members' parts of the servers' slots, as the root.
func (m *Membership) SetShares(shares map[vrid.DaemonID]uint32) {
	for id, share := range shares {
		item, ok := m.view.Members[id]
		if ok && item.Share != share {
			item.Share = share
			m.dirty = m.view.publishMember(item) || m.dirty
		}
	}
}

// ShouldReadLease reports whether this daemon reads the lease object: the owner's two
// deputies do, and whoever has had no word from its zone for a while or is not in it.
func (m *Membership) ShouldReadLease(now time.Time) bool {
	const deputies = 2
	if now.Sub(m.replied) > suspectAfter || m.view.Epoch == 0 || m.ownEpoch > m.view.Epoch {
		return true
	}
	// A daemon that the view does not name yet takes part as well: after every member was
	// replaced, nobody else would.
	return slices.Index(m.view.TreeOrder(), m.opts.Daemon) <= deputies
}

// QueueReport takes a report of a server that this daemon polls.
func (m *Membership) QueueReport(_ time.Time, report vrwire.LoadReport, urgent bool) {
	m.reports[report.Server] = report
	if m.root {
		m.collected = append(m.collected, report)
	}
	if urgent {
		m.beatAt = time.Time{}
	}
}

// QueueDemand takes demand for the next heartbeat.
func (m *Membership) QueueDemand(demand vrwire.ModelDemand) {
	if m.root {
		m.wanted = append(m.wanted, demand)
		return
	}
	const mostDemands = 512
	if len(m.demands) < mostDemands {
		m.demands = append(m.demands, demand)
	}
}

// TakeReports returns the reports that reached the root.
func (m *Membership) TakeReports() []vrwire.LoadReport {
	reports := m.collected
	m.collected = nil
	return reports
}

// TakeDemands returns the demands that reached the root.
func (m *Membership) TakeDemands() []vrwire.ModelDemand {
	demands := m.wanted
	m.wanted = nil
	return demands
}

// TakeDeparted returns the members that the root removed.
func (m *Membership) TakeDeparted() []vrwire.MemberItem {
	departed := m.departed
	m.departed = nil
	return departed
}

// PublishServers replaces the servers of the view, as the root.
func (m *Membership) PublishServers(items []vrwire.ServerItem) {
	seen := make(map[vrid.ServerID]bool, len(items))
	for _, item := range items {
		seen[item.Server] = true
		if m.view.publishServer(item) {
			m.dirty = true
		}
	}
	for id, item := range m.view.Servers {
		if seen[id] || item.State == vrwire.ServerGone {
			continue
		}
		item.State = vrwire.ServerGone
		item.Replicas = nil
		m.dirty = m.view.publishServer(item) || m.dirty
	}
}

// PublishRemote merges another zone's summary into the view, as the root. A summary
// that only repeats what is known changes nothing.
func (m *Membership) PublishRemote(now time.Time, summary *vrwire.ZoneSummary) {
	held, known := m.view.Remote[summary.Zone]
	if known && held.Epoch > summary.Epoch {
		return
	}
	m.remoteHeard[summary.Zone] = now
	merged := *summary
	merged.SentAt, merged.Number, merged.HeardEpoch, merged.HeardNumber = 0, 0, 0, 0
	if known && held.Epoch == summary.Epoch {
		merged.Servers = mergeItems(held.Servers, summary.Servers, func(item vrwire.ServerItem) vrid.ServerID { return item.Server })
		merged.Members = mergeItems(held.Members, summary.Members, func(item vrwire.MemberItem) vrid.DaemonID { return item.Daemon })
	}
	merged.Servers = slices.DeleteFunc(merged.Servers, func(item vrwire.ServerItem) bool { return item.State != vrwire.ServerLive })
	if known && reflect.DeepEqual(held, merged) {
		return
	}
	m.view.publishRemote(merged)
	m.dirty = true
}

// mergeItems replaces the items that changed and keeps the others, in the order of ids.
func mergeItems[T any, K ~string](held, changed []T, id func(T) K) []T {
	items := make(map[K]T, len(held)+len(changed))
	for _, item := range held {
		items[id(item)] = item
	}
	for _, item := range changed {
		items[id(item)] = item
	}
	merged := make([]T, 0, len(items))
	for _, key := range sortedKeys(items) {
		merged = append(merged, items[key])
	}
	return merged
}

// ExpireRemoteZones takes the servers of silent zones out of the view, as the root.
func (m *Membership) ExpireRemoteZones(now time.Time) {
	for zone, summary := range m.view.Remote {
		if len(summary.Servers) == 0 || now.Sub(m.remoteHeard[zone]) <= remoteTimeout {
			continue
		}
		// The summary that follows is merged into nothing, so its sender has to be told
		// that nothing is acknowledged any more.
		delete(m.remoteHeard, zone)
		summary.Servers = nil
		m.view.publishRemote(summary)
		m.dirty = true
	}
}

// HasAnyRemoteZone reports whether the root has the servers of any other zone.
func (m *Membership) HasAnyRemoteZone() bool { return len(m.remoteHeard) > 0 }

// HasRemoteZone reports whether the root has a zone's servers.
func (m *Membership) HasRemoteZone(zone vrid.ZoneID) bool {
	_, heard := m.remoteHeard[zone]
	return heard
}

// Isolated reports whether a daemon other than the root had no word from its zone.
func (m *Membership) Isolated(now time.Time) bool {
	return !m.root && now.Sub(m.replied) > suspectAfter
}

// AllReporting reports, at the root, whether every live member reports through the tree.
func (m *Membership) AllReporting() bool {
	covered := map[vrid.DaemonID]bool{m.opts.Daemon: true}
	for _, c := range m.children {
		for _, item := range c.members {
			covered[item.Daemon] = true
		}
	}
	for _, id := range m.view.TreeOrder() {
		if !covered[id] {
			return false
		}
	}
	return true
}
