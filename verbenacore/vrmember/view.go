// Package vrmember maintains the membership and the view of a zone: its live daemons, its
// servers and summaries of the other zones. The zone's owner publishes the view. A tree of
// the members with the owner as its root carries heartbeats and reports up and view changes
// down.
package vrmember

import (
	"reflect"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// fanOut is the maximum number of children of a daemon in the tree. With 100 daemons
// the tree has four levels below the root.
const fanOut = 4

// Counters holds the request counters of a member. Only the root keeps them.
type Counters struct {
	// Opened is the number of requests that the member has assigned a number so far.
	Opened uint64
	// LocalInFlight is the number of the member's requests that are in flight in its own zone.
	LocalInFlight uint32
	// openedPublishedAt is when Opened was last copied to the view.
	openedPublishedAt time.Time
}

// openedPublishInterval is the time between two updates of a member's Opened in the view.
const openedPublishInterval = 10 * time.Second

// View is a daemon's copy of the state of its zone. Only the zone's owner changes items; the
// other members apply the changes that they receive in the order of (Epoch, Sequence).
type View struct {
	Zone  vrid.ZoneID
	Owner vrid.DaemonID
	// The pair (Epoch, Sequence) never decreases: a change to a lower pair is refused.
	Epoch    vrid.Epoch
	Sequence uint64
	Members  map[vrid.DaemonID]vrwire.MemberItem
	Servers  map[vrid.ServerID]vrwire.ServerItem
	Remote   map[vrid.ZoneID]vrwire.ZoneSummary
	// remoteSequence is the sequence at which a remote summary last changed.
	remoteSequence map[vrid.ZoneID]uint64
	Config         vrid.ConfigVersion
	// treeOrder and pollers cache values that are computed from the members when they are first
	// needed after a change: with 100 members and 290 servers, computing them in each tick
	// costs too much.
	treeOrder []vrid.DaemonID
	pollers   map[vrid.ServerID]Pollers
	// counters is kept only by the root.
	counters map[vrid.DaemonID]Counters
}

func newView(zone vrid.ZoneID) *View {
	return &View{
		Zone:           zone,
		Members:        make(map[vrid.DaemonID]vrwire.MemberItem),
		Servers:        make(map[vrid.ServerID]vrwire.ServerItem),
		Remote:         make(map[vrid.ZoneID]vrwire.ZoneSummary),
		remoteSequence: make(map[vrid.ZoneID]uint64),
		counters:       make(map[vrid.DaemonID]Counters),
	}
}

// updateCounters stores a member's counters at the root and returns its item for the view.
// Under load the counters change each second; if the view contained them, the root would send
// every member's item to every other member each second. The view's copy of Opened is updated
// only every openedPublishInterval, so that a new root knows approximately how many requests a
// dead member had.
func (v *View) updateCounters(now time.Time, item vrwire.MemberItem) vrwire.MemberItem {
	counters := v.counters[item.Daemon]
	counters.Opened, counters.LocalInFlight = item.Opened, item.LocalInFlight
	item.LocalInFlight = 0
	interval := openedPublishInterval
	if item.Daemon == v.Owner {
		// No other daemon keeps the root's counters, and its successor needs a recent Opened to
		// close the root's record.
		interval = heartbeatInterval
	}
	if now.Sub(counters.openedPublishedAt) < interval {
		item.Opened = v.Members[item.Daemon].Opened
	} else {
		counters.openedPublishedAt = now
	}
	v.counters[item.Daemon] = counters
	return item
}

// Counters returns a member's counters. Only the root has them.
func (v *View) Counters(id vrid.DaemonID) Counters { return v.counters[id] }

// deltaSince returns the items that changed after the sequence base; 0 means all items.
func (v *View) deltaSince(base uint64) *vrwire.ViewDelta {
	delta := &vrwire.ViewDelta{
		Zone: v.Zone, Owner: v.Owner, Epoch: v.Epoch,
		Base: base, Sequence: v.Sequence, Config: v.Config,
	}
	for _, item := range v.Members {
		if item.Sequence > base {
			delta.Members = append(delta.Members, item)
		}
	}
	for _, item := range v.Servers {
		if item.Sequence > base {
			delta.Servers = append(delta.Servers, item)
		}
	}
	for zone, summary := range v.Remote {
		if v.remoteSequence[zone] > base {
			delta.Remote = append(delta.Remote, summary)
		}
	}
	sort.Slice(delta.Members, func(i, j int) bool { return delta.Members[i].Daemon < delta.Members[j].Daemon })
	sort.Slice(delta.Servers, func(i, j int) bool { return delta.Servers[i].Server < delta.Servers[j].Server })
	sort.Slice(delta.Remote, func(i, j int) bool { return delta.Remote[i].Zone < delta.Remote[j].Zone })
	return delta
}

// applyDelta applies a delta and reports whether the view changed. A delta whose base is
// higher than the view's sequence, or that is of an earlier epoch, is refused.
func (v *View) applyDelta(delta *vrwire.ViewDelta) bool {
	if delta.Zone != v.Zone || delta.Epoch < v.Epoch {
		return false
	}
	if delta.Epoch > v.Epoch {
		if delta.Base != 0 {
			return false
		}
		v.reset(delta)
	} else if delta.Base > v.Sequence || delta.Sequence <= v.Sequence {
		return false
	}
	if delta.Base == 0 {
		v.reset(delta)
	}
	v.Sequence = delta.Sequence
	v.Config = max(v.Config, delta.Config)
	for _, item := range delta.Members {
		v.putMember(item)
	}
	for _, item := range delta.Servers {
		v.putServer(item)
	}
	for _, summary := range delta.Remote {
		v.Remote[summary.Zone] = summary
		v.remoteSequence[summary.Zone] = delta.Sequence
	}
	return true
}

// reset clears the view and sets its epoch and owner to those of a full delta.
func (v *View) reset(delta *vrwire.ViewDelta) {
	v.Epoch = delta.Epoch
	v.Owner = delta.Owner
	v.invalidateMemberCaches()
	clear(v.Members)
	clear(v.Servers)
	clear(v.Remote)
	clear(v.remoteSequence)
}

func (v *View) putMember(item vrwire.MemberItem) {
	if current, ok := v.Members[item.Daemon]; !ok || current.State != item.State {
		v.invalidateMemberCaches()
	}
	v.Members[item.Daemon] = item
}

func (v *View) putServer(item vrwire.ServerItem) {
	v.Servers[item.Server] = item
}

// publishMember sets a member's item under the next sequence and reports whether it changed.
// Only the owner publishes items.
func (v *View) publishMember(item vrwire.MemberItem) bool {
	current, ok := v.Members[item.Daemon]
	item.Sequence = current.Sequence
	if ok && current == item {
		return false
	}
	v.Sequence++
	item.Sequence = v.Sequence
	v.putMember(item)
	return true
}

// publishServer sets a server's item under the next sequence and reports whether it changed.
func (v *View) publishServer(item vrwire.ServerItem) bool {
	current, ok := v.Servers[item.Server]
	item.Sequence = current.Sequence
	if ok && reflect.DeepEqual(current, item) {
		return false
	}
	v.Sequence++
	item.Sequence = v.Sequence
	v.Servers[item.Server] = item
	return true
}

// publishRemote sets another zone's summary under the next sequence.
func (v *View) publishRemote(summary vrwire.ZoneSummary) {
	v.Sequence++
	v.Remote[summary.Zone] = summary
	v.remoteSequence[summary.Zone] = v.Sequence
}

// invalidateMemberCaches drops the values that were computed from the members.
func (v *View) invalidateMemberCaches() {
	v.treeOrder = nil
	v.pollers = nil
}

// TreeOrder returns the live members in the order of their positions in the tree, the owner
// first. The result must not be changed.
func (v *View) TreeOrder() []vrid.DaemonID {
	if v.treeOrder == nil {
		v.treeOrder = v.computeTreeOrder()
	}
	return v.treeOrder
}

func (v *View) computeTreeOrder() []vrid.DaemonID {
	order := []vrid.DaemonID{}
	for id, item := range v.Members {
		if item.State == vrwire.MemberAlive || item.State == vrwire.MemberSuspect {
			order = append(order, id)
		}
	}
	weights := make(map[vrid.DaemonID]uint64, len(order))
	for _, id := range order {
		weights[id] = rendezvousWeight(string(v.Zone), string(id))
	}
	sort.Slice(order, func(i, j int) bool {
		if (order[i] == v.Owner) != (order[j] == v.Owner) {
			return order[i] == v.Owner
		}
		// Suspected members come last, so that they have no children in the tree.
		suspectI := v.Members[order[i]].State == vrwire.MemberSuspect
		if suspectI != (v.Members[order[j]].State == vrwire.MemberSuspect) {
			return !suspectI
		}
		return weights[order[i]] < weights[order[j]]
	})
	return order
}

// Pollers names the members that poll a server. Primary reports the server's load; Backup
// only detects that the server is leaving, in case Primary has just died.
type Pollers struct {
	Primary vrid.DaemonID
	Backup  vrid.DaemonID
}

// Pollers returns the members that poll a server: the live ones with the two highest weights
// in rendezvous hashing. Suspected members are left out.
func (v *View) Pollers(server vrid.ServerID) Pollers {
	if pollers, ok := v.pollers[server]; ok {
		return pollers
	}
	if v.pollers == nil {
		v.pollers = make(map[vrid.ServerID]Pollers)
	}
	pollers := v.computePollers(server)
	v.pollers[server] = pollers
	return pollers
}

func (v *View) computePollers(server vrid.ServerID) Pollers {
	var pollers Pollers
	var firstWeight, secondWeight uint64
	for _, id := range sortedKeys(v.Members) {
		if v.Members[id].State != vrwire.MemberAlive {
			continue
		}
		weight := rendezvousWeight(string(server), string(id))
		switch {
		case pollers.Primary == "" || weight > firstWeight:
			pollers.Backup, secondWeight = pollers.Primary, firstWeight
			pollers.Primary, firstWeight = id, weight
		case pollers.Backup == "" || weight > secondWeight:
			pollers.Backup, secondWeight = id, weight
		}
	}
	return pollers
}

// Parent returns a member's parent in the tree, or "" for the root and for unknown members.
func (v *View) Parent(id vrid.DaemonID) vrid.DaemonID {
	order := v.TreeOrder()
	index := slices.Index(order, id)
	if index <= 0 {
		return ""
	}
	return order[(index-1)/fanOut]
}

// rendezvousWeight returns the weight of a candidate for a key in rendezvous hashing.
func rendezvousWeight(key, candidate string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
