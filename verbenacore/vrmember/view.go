// Package vrmember keeps the members of a zone and the zone view. The zone's owner
// publishes the view; a tree with the owner as its root carries heartbeats and reports
// up and the view's changes down.
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

// fanOut is the largest number of children of a daemon in the tree. With 100 daemons
// the tree has four levels.
const fanOut = 4

// Counters of a member, known to the root.
type Counters struct {
	Opened uint64
	LocalInFlight   uint32
	// shown is when the view's copy was last renewed.
	shown time.Time
}

// openedInterval is the pause between two renewals of Opened in the view.
const openedInterval = 10 * time.Second

// View is what a daemon knows of its zone. Only the zone's owner changes items; the
// others apply what they receive in the order of (epoch, sequence).
type View struct {
	Zone  vrid.ZoneID
	Owner vrid.DaemonID
	// Epoch and Sequence never decrease together: a lower pair is refused.
	Epoch    vrid.Epoch
	Sequence uint64
	Members  map[vrid.DaemonID]vrwire.MemberItem
	Servers  map[vrid.ServerID]vrwire.ServerItem
	Remote   map[vrid.ZoneID]vrwire.ZoneSummary
	// remoteSequence is the sequence at which a remote summary last changed.
	remoteSequence map[vrid.ZoneID]uint64
	Config         vrid.ConfigVersion
	// order and pollers are computed from the members when they are first needed after a
	// change; with 100 members and 290 servers they cost too much for each tick.
	order   []vrid.DaemonID
	pollers map[vrid.ServerID]Pollers
	// counters are only kept by the root.
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

// count keeps a member's counters at the root and returns the item for the view. They
// change each second under load, and the root would otherwise send every member to
// every other one each second; the view's copy of Opened is renewed now and then, so
// that a new root knows about how many requests a dead member had.
func (v *View) count(now time.Time, item vrwire.MemberItem) vrwire.MemberItem {
	counters := v.counters[item.Daemon]
	counters.Opened, counters.LocalInFlight = item.Opened, item.Near
	item.Near = 0
	interval := openedInterval
	if item.Daemon == v.Owner {
		// Nobody else counts the root's own requests; its successor closes its record.
		interval = heartbeatInterval
	}
	if now.Sub(counters.shown) < interval {
		item.Opened = v.Members[item.Daemon].Opened
	} else {
		counters.shown = now
	}
	v.counters[item.Daemon] = counters
	return item
}

// Counters returns what the root knows of a member's counters.
func (v *View) Counters(id vrid.DaemonID) Counters { return v.counters[id] }

// delta returns the items that changed after base; 0 means all of them.
func (v *View) delta(base uint64) *vrwire.ViewDelta {
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

// apply takes a delta and reports whether the view changed. A delta that starts after
// the held sequence, or that comes from an earlier epoch, is refused.
func (v *View) apply(delta *vrwire.ViewDelta) bool {
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

func (v *View) reset(delta *vrwire.ViewDelta) {
	v.Epoch = delta.Epoch
	v.Owner = delta.Owner
	v.membersChanged()
	clear(v.Members)
	clear(v.Servers)
	clear(v.Remote)
	clear(v.remoteSequence)
}

func (v *View) putMember(item vrwire.MemberItem) {
	if held, ok := v.Members[item.Daemon]; !ok || held.State != item.State {
		v.membersChanged()
	}
	v.Members[item.Daemon] = item
}

func (v *View) putServer(item vrwire.ServerItem) {
	v.Servers[item.Server] = item
}

// publishMember changes a member as the owner.
func (v *View) publishMember(item vrwire.MemberItem) bool {
	held, ok := v.Members[item.Daemon]
	item.Sequence = held.Sequence
	if ok && held == item {
		return false
	}
	v.Sequence++
	item.Sequence = v.Sequence
	v.putMember(item)
	return true
}

// publishServer changes a server as the owner.
func (v *View) publishServer(item vrwire.ServerItem) bool {
	held, ok := v.Servers[item.Server]
	item.Sequence = held.Sequence
	if ok && reflect.DeepEqual(held, item) {
		return false
	}
	v.Sequence++
	item.Sequence = v.Sequence
	v.Servers[item.Server] = item
	return true
}

// publishRemote changes another zone's summary as the owner.
func (v *View) publishRemote(summary vrwire.ZoneSummary) {
	v.Sequence++
	v.Remote[summary.Zone] = summary
	v.remoteSequence[summary.Zone] = v.Sequence
}

// membersChanged forgets what was computed from the members.
func (v *View) membersChanged() {
	v.order = nil
	v.pollers = nil
}

// TreeOrder returns the live members in the order of dissemination, the owner first.
// Callers must not change it.
func (v *View) TreeOrder() []vrid.DaemonID {
	if v.order == nil {
		v.order = v.computeOrder()
	}
	return v.order
}

func (v *View) computeOrder() []vrid.DaemonID {
	order := []vrid.DaemonID{}
	for id, item := range v.Members {
		if item.State == vrwire.MemberAlive || item.State == vrwire.MemberSuspect {
			order = append(order, id)
		}
	}
	weights := make(map[vrid.DaemonID]uint64, len(order))
	for _, id := range order {
		weights[id] = rendezvous(string(v.Zone), string(id))
	}
	sort.Slice(order, func(i, j int) bool {
		if (order[i] == v.Owner) != (order[j] == v.Owner) {
			return order[i] == v.Owner
		}
		// A suspect gets no role: at the end it is nobody's parent in the tree.
		suspectI := v.Members[order[i]].State == vrwire.MemberSuspect
		if suspectI != (v.Members[order[j]].State == vrwire.MemberSuspect) {
			return !suspectI
		}
		return weights[order[i]] < weights[order[j]]
	})
	return order
}

// Pollers are the members that poll a server: the first one reports its load, the
// second one only notices that it leaves when the first has just died.
type Pollers struct {
	Primary  vrid.DaemonID
	Backup vrid.DaemonID
}

// Pollers returns the live members that poll a server.
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
	var first, second uint64
	for _, id := range sortedKeys(v.Members) {
		if v.Members[id].State != vrwire.MemberAlive {
			continue
		}
		weight := rendezvous(string(server), string(id))
		switch {
		case pollers.Primary == "" || weight > first:
			pollers.Backup, second = pollers.Primary, first
			pollers.Primary, first = id, weight
		case pollers.Backup == "" || weight > second:
			pollers.Backup, second = id, weight
		}
	}
	return pollers
}

// Parent returns the parent of a member, or "" for the root and for unknown members.
func (v *View) Parent(self vrid.DaemonID) vrid.DaemonID {
	order := v.TreeOrder()
	index := slices.Index(order, self)
	if index <= 0 {
		return ""
	}
	return order[(index-1)/fanOut]
}

func rendezvous(key, candidate string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
