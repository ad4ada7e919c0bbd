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
	// heartbeatInterval is the time between two heartbeats to the parent.
	heartbeatInterval = time.Second
	// suspectTimeout is how long a member may be silent before it is suspected: three missed
	// heartbeats.
	suspectTimeout = 3 * heartbeatInterval
	// removeTimeout is how long a member may be silent before it is removed: a suspected
	// member has another suspectTimeout to send a heartbeat.
	removeTimeout = 2 * suspectTimeout
	// parentTimeout is how long the parent may be silent before heartbeats go to the root.
	parentTimeout = 2500 * time.Millisecond
	// rootTimeout is how long the root may be silent before heartbeats go to a random peer.
	rootTimeout = 4 * time.Second
	// unreachableBackoff is the minimum time between two heartbeats that are sent at once
	// because the previous one could not be delivered.
	unreachableBackoff = 250 * time.Millisecond
	// pushInterval is the minimum time between two pushes of view changes to the children.
	pushInterval = 20 * time.Millisecond
	// reportRefreshInterval is the time after which an unchanged report is sent again.
	reportRefreshInterval = 5 * time.Second
	// remoteZoneTimeout is how long another zone may be silent before no more requests are
	// routed to it. A zone sends a summary at least every 2 s, even an empty one, so one
	// summary may be lost.
	remoteZoneTimeout = 5 * time.Second
)

// Options configures a Membership.
type Options struct {
	Daemon      vrid.DaemonID
	Boot        vrid.BootID
	Zone        vrid.ZoneID
	PeerAddress string
	Random      *rand.Rand
}

// child is a daemon that sends its heartbeats to this one.
type child struct {
	lastHeard time.Time
	// address is the child's peer address.
	address string
	// viewEpoch and viewSequence identify the view that the child has or was last sent.
	viewEpoch    vrid.Epoch
	viewSequence uint64
	// members holds the members of the child's subtree, the child first.
	members []vrwire.MemberItem
	// minConfig is the lowest configuration version in the child's subtree.
	minConfig vrid.ConfigVersion
}

// Peer is a daemon and the address at which other daemons reach it.
type Peer struct {
	Daemon  vrid.DaemonID
	Address string
}

// Membership is one daemon's state as a member of its zone.
type Membership struct {
	opts           Options
	view           *View
	incarnation    uint64
	leaving        bool
	openedRequests uint64
	localInFlight  uint32
	children       map[vrid.DaemonID]*child
	// unreachableAt is when a heartbeat to each peer last failed to be delivered.
	unreachableAt map[vrid.DaemonID]time.Time
	// unacked holds the demands and reports of the last heartbeat until it is answered.
	unacked vrwire.Heartbeat
	// lastHeard is when a heartbeat that lists each member last reached the root.
	lastHeard map[vrid.DaemonID]time.Time
	// remoteLastHeard is when the root last received a summary of each other zone.
	remoteLastHeard map[vrid.ZoneID]time.Time
	// removedIncarnations holds the incarnations at which the root removed members.
	removedIncarnations map[vrid.DaemonID]uint64
	// departed holds the members that were removed since the last TakeDeparted, and the
	// earlier runs of those that restarted since then.
	departed []vrwire.MemberItem
	// pendingReports and pendingDemands are sent with the next heartbeat.
	pendingReports map[vrid.ServerID]vrwire.LoadReport
	sentReports    map[vrid.ServerID]sentReport
	pendingDemands []vrwire.ModelDemand
	// lastHeartbeatAt is when the last heartbeat was sent. Zero makes the next one due at once.
	lastHeartbeatAt time.Time
	lastReplyAt     time.Time
	startedAt       time.Time
	nextPushAt      time.Time
	// viewDirty is set when the view has changes that were not pushed to the children.
	viewDirty bool
	isRoot    bool
	// owner and ownerEpoch are those of the lease object. The view may be of a newer epoch.
	owner      Peer
	ownerEpoch vrid.Epoch
	seeds      []Peer
	config     vrid.ConfigVersion
	// heartbeatTarget is the daemon that the last heartbeat was sent to.
	heartbeatTarget   vrid.DaemonID
	lastUnreachableAt time.Time
	// receivedReports and receivedDemands are those that reached this daemon as the root.
	receivedReports []vrwire.LoadReport
	receivedDemands []vrwire.ModelDemand
}

// sentReport is the last report of a server that was sent with a heartbeat.
type sentReport struct {
	report vrwire.LoadReport
	sentAt time.Time
}

// New returns the Membership of a daemon that knows no other member yet.
func New(now time.Time, opts Options) *Membership {
	return &Membership{
		opts:                opts,
		view:                newView(opts.Zone),
		incarnation:         1,
		children:            make(map[vrid.DaemonID]*child),
		lastHeard:           make(map[vrid.DaemonID]time.Time),
		unreachableAt:       make(map[vrid.DaemonID]time.Time),
		remoteLastHeard:     make(map[vrid.ZoneID]time.Time),
		removedIncarnations: make(map[vrid.DaemonID]uint64),
		pendingReports:      make(map[vrid.ServerID]vrwire.LoadReport),
		sentReports:         make(map[vrid.ServerID]sentReport),
		startedAt:           now,
		lastReplyAt:         now,
	}
}

// View returns the zone view, which must not be changed.
func (m *Membership) View() *View { return m.view }

// IsRoot reports whether this daemon is the zone's owner, which publishes the view.
func (m *Membership) IsRoot() bool { return m.isRoot }

// SetSeeds sets daemons that heartbeats may be sent to while neither the parent nor the owner
// is reachable.
func (m *Membership) SetSeeds(seeds []Peer) { m.seeds = seeds }

// SetConfig sets the configuration version that this daemon has; a lower one is ignored.
func (m *Membership) SetConfig(version vrid.ConfigVersion) { m.config = max(m.config, version) }

// SetOpened sets the number of requests that this daemon has assigned a number so far.
func (m *Membership) SetOpened(opened uint64) { m.openedRequests = opened }

// SetLocalInFlight sets the number of this daemon's requests that are in flight in its own
// zone.
func (m *Membership) SetLocalInFlight(inFlight int) { m.localInFlight = uint32(max(inFlight, 0)) }

// Leave marks this daemon as leaving. The next tick sends a heartbeat that says so.
func (m *Membership) Leave() {
	m.leaving = true
	m.lastHeartbeatAt = time.Time{}
}

// SetOwner sets the zone's owner and its epoch as read from the lease object. An earlier epoch
// is ignored.
func (m *Membership) SetOwner(owner Peer, epoch vrid.Epoch) {
	if epoch < m.ownerEpoch {
		return
	}
	if epoch > m.ownerEpoch {
		m.lastHeartbeatAt = time.Time{}
	}
	m.ownerEpoch = epoch
	m.owner = owner
}

// Owner returns the zone's owner with the highest known epoch, or the zero Peer.
func (m *Membership) Owner() Peer {
	if m.view.Epoch > m.ownerEpoch {
		item := m.view.Members[m.view.Owner]
		return Peer{Daemon: m.view.Owner, Address: item.Peer}
	}
	return m.owner
}

// BecomeRoot starts publishing the view under a new epoch. The members and servers of the
// last view stay until a change is observed.
func (m *Membership) BecomeRoot(now time.Time, epoch vrid.Epoch) {
	m.isRoot = true
	m.ownerEpoch = epoch
	m.owner = Peer{Daemon: m.opts.Daemon, Address: m.opts.PeerAddress}
	// The previous owner lost its lease: it gets no children until it sends a heartbeat.
	if item, ok := m.view.Members[m.view.Owner]; ok && m.view.Owner != m.opts.Daemon && item.State == vrwire.MemberAlive {
		item.State = vrwire.MemberSuspect
		m.view.Members[m.view.Owner] = item
	}
	m.view.Epoch = epoch
	m.view.Owner = m.opts.Daemon
	m.view.invalidateMemberCaches()
	m.view.Sequence++
	for id, item := range m.view.Members {
		item.Sequence = m.view.Sequence
		m.view.Members[id] = item
		m.lastHeard[id] = now
	}
	for id, item := range m.view.Servers {
		item.Sequence = m.view.Sequence
		m.view.Servers[id] = item
	}
	m.view.publishMember(m.selfItem())
	clear(m.remoteLastHeard)
	m.viewDirty = true
}

// StopRoot stops publishing the view after the lease was lost.
func (m *Membership) StopRoot(now time.Time) {
	m.isRoot = false
	m.lastReplyAt = now
	m.lastHeartbeatAt = time.Time{}
}

// selfItem returns this daemon's own item for the view.
func (m *Membership) selfItem() vrwire.MemberItem {
	state := vrwire.MemberAlive
	if m.leaving {
		state = vrwire.MemberLeaving
	}
	return vrwire.MemberItem{
		Daemon: m.opts.Daemon, Boot: m.opts.Boot, Peer: m.opts.PeerAddress, State: state,
		Incarnation: m.incarnation, Opened: m.openedRequests, LocalInFlight: m.localInFlight,
		SlotShare: m.view.Members[m.opts.Daemon].SlotShare,
	}
}

// SetShares publishes each member's share of the servers' slots. Only the root calls it.
func (m *Membership) SetShares(shares map[vrid.DaemonID]uint32) {
	for id, share := range shares {
		item, ok := m.view.Members[id]
		if ok && item.SlotShare != share {
			item.SlotShare = share
			m.viewDirty = m.view.publishMember(item) || m.viewDirty
		}
	}
}

// ShouldReadLease reports whether this daemon has to read the lease object. The owner and the
// two members after it in the tree order do, and so does a daemon that has had no reply from
// its zone for suspectTimeout, that is not in the view or whose view is of an earlier epoch
// than the owner's.
func (m *Membership) ShouldReadLease(now time.Time) bool {
	const standbys = 2
	if now.Sub(m.lastReplyAt) > suspectTimeout || m.view.Epoch == 0 || m.ownerEpoch > m.view.Epoch {
		return true
	}
	// A daemon that is not in the view yet reads the lease as well: after every member was
	// replaced, no other daemon would.
	return slices.Index(m.view.TreeOrder(), m.opts.Daemon) <= standbys
}

// QueueReport queues the report of a server that this daemon polls; the next heartbeat sends
// it. An urgent report makes the heartbeat due with the next tick.
func (m *Membership) QueueReport(_ time.Time, report vrwire.LoadReport, urgent bool) {
	m.pendingReports[report.Server] = report
	if m.isRoot {
		m.receivedReports = append(m.receivedReports, report)
	}
	if urgent {
		m.lastHeartbeatAt = time.Time{}
	}
}

// QueueDemand queues a demand; the next heartbeat sends it. If maxDemands are queued, it is
// dropped.
func (m *Membership) QueueDemand(demand vrwire.ModelDemand) {
	if m.isRoot {
		m.receivedDemands = append(m.receivedDemands, demand)
		return
	}
	const maxDemands = 512
	if len(m.pendingDemands) < maxDemands {
		m.pendingDemands = append(m.pendingDemands, demand)
	}
}

// TakeReports returns the reports that reached the root since the last call.
func (m *Membership) TakeReports() []vrwire.LoadReport {
	reports := m.receivedReports
	m.receivedReports = nil
	return reports
}

// TakeDemands returns the demands that reached the root since the last call.
func (m *Membership) TakeDemands() []vrwire.ModelDemand {
	demands := m.receivedDemands
	m.receivedDemands = nil
	return demands
}

// TakeDeparted returns the members that the root removed since the last call, and the earlier
// runs of those that restarted.
func (m *Membership) TakeDeparted() []vrwire.MemberItem {
	departed := m.departed
	m.departed = nil
	return departed
}

// PublishServers sets the servers of the view. Servers that are not among items are marked as
// gone. Only the root calls it.
func (m *Membership) PublishServers(items []vrwire.ServerItem) {
	seen := make(map[vrid.ServerID]bool, len(items))
	for _, item := range items {
		seen[item.Server] = true
		if m.view.publishServer(item) {
			m.viewDirty = true
		}
	}
	for id, item := range m.view.Servers {
		if seen[id] || item.State == vrwire.ServerGone {
			continue
		}
		item.State = vrwire.ServerGone
		item.Replicas = nil
		m.viewDirty = m.view.publishServer(item) || m.viewDirty
	}
}

// PublishRemote merges another zone's summary into the view. Only the root calls it. A
// summary that changes nothing leaves the view as it is.
func (m *Membership) PublishRemote(now time.Time, summary *vrwire.ZoneSummary) {
	current, known := m.view.Remote[summary.Zone]
	if known && current.Epoch > summary.Epoch {
		return
	}
	m.remoteLastHeard[summary.Zone] = now
	merged := *summary
	merged.SentAt, merged.Number, merged.AckedEpoch, merged.AckedNumber = 0, 0, 0, 0
	if known && current.Epoch == summary.Epoch {
		merged.Servers = mergeItems(current.Servers, summary.Servers, func(item vrwire.ServerItem) vrid.ServerID { return item.Server })
		merged.Members = mergeItems(current.Members, summary.Members, func(item vrwire.MemberItem) vrid.DaemonID { return item.Daemon })
	}
	merged.Servers = slices.DeleteFunc(merged.Servers, func(item vrwire.ServerItem) bool { return item.State != vrwire.ServerLive })
	if known && reflect.DeepEqual(current, merged) {
		return
	}
	m.view.publishRemote(merged)
	m.viewDirty = true
}

// mergeItems returns the current items with the changed ones added or replaced, sorted by id.
func mergeItems[T any, K ~string](current, changed []T, id func(T) K) []T {
	items := make(map[K]T, len(current)+len(changed))
	for _, item := range current {
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

// ExpireRemoteZones removes the servers of silent zones from the view. Only the root calls it.
func (m *Membership) ExpireRemoteZones(now time.Time) {
	for zone, summary := range m.view.Remote {
		if len(summary.Servers) == 0 || now.Sub(m.remoteLastHeard[zone]) <= remoteZoneTimeout {
			continue
		}
		// The zone's next summary has no servers to be merged with. HasRemoteZone returns false
		// until it arrives, so that nothing is acknowledged and the sender sends everything again.
		delete(m.remoteLastHeard, zone)
		summary.Servers = nil
		m.view.publishRemote(summary)
		m.viewDirty = true
	}
}

// HasAnyRemoteZone reports whether the root has a current summary of any other zone.
func (m *Membership) HasAnyRemoteZone() bool { return len(m.remoteLastHeard) > 0 }

// HasRemoteZone reports whether the root has a current summary of a zone.
func (m *Membership) HasRemoteZone(zone vrid.ZoneID) bool {
	_, heard := m.remoteLastHeard[zone]
	return heard
}

// Isolated reports whether this daemon is not the root and has had no reply from its zone for
// suspectTimeout.
func (m *Membership) Isolated(now time.Time) bool {
	return !m.isRoot && now.Sub(m.lastReplyAt) > suspectTimeout
}

// AllReporting reports whether the heartbeats of every live member reach this daemon through
// the tree. Only the root calls it.
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
