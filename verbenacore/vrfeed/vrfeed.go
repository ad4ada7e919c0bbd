// Package vrfeed decides which daemons of an availability zone watch the servers' registrations
// in the platform's store, and which ones hear of the changes from a daemon that does, the
// feeder. It does no I/O and reads no clock.
//
// Load pattern: hundreds of daemons in a few zones, and a store that counts every call. Servers
// renew their registrations about once a second, so each watch returns at once, and the calls
// would grow with the number of daemons. With one feeder a zone they grow with the number of
// zones. A daemon that misses a change or hears nothing for FreshFor watches for itself.
package vrfeed

import (
	"maps"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	// MinMembers is the number of daemons in a zone from which on they have a feeder. With fewer,
	// the messages cost more than the calls that they save.
	MinMembers = 4
	// FreshFor is how long after the last message of a feeder a daemon relies on it. Together
	// with the pause between two messages it stays below the shortest time within which a leaving
	// server must get no more requests (2.5 s).
	FreshFor = 1500 * time.Millisecond
	// takeoverStep delays the takeover from a silent feeder by the daemon's rank, so that daemons
	// do not all take over at once. maxTakeoverRank limits that delay.
	takeoverStep    = 250 * time.Millisecond
	maxTakeoverRank = 8
	// refreshFraction is the fraction of the unchanged registrations that a message repeats, so
	// that a daemon's own wrong assumptions about a server end even if its registration stays the
	// same.
	refreshFraction = 8
)

// Changes are the registrations that changed between two versions of the store.
type Changes struct {
	// After and Version are the versions of the store between which the changes were made.
	After, Version vrid.ObjectVersion
	Entries        []vrfleet.Entry
	Removed        []vrid.ServerID
}

// Feed is one daemon's view of the feeders in its zone.
type Feed struct {
	self vrid.DaemonID
	// members are the registered daemons of the zone, sorted; rank is the daemon's own index, or
	// -1 if it is not among them.
	members  []vrid.DaemonID
	rank     int
	joinedAt time.Time
	// lowerHeardAt is when a feeder of a lower rank was last heard.
	lowerHeardAt time.Time
	// version is the version of the store that the daemon's view of the servers includes.
	version vrid.ObjectVersion
	// heardAt is when a feeder last sent changes that continue from version.
	heardAt time.Time
	// entries are the registrations as of version. They differ from the fleet's, which notices of
	// the placement owner change ahead of the store.
	entries map[vrid.ServerID]vrfleet.Entry
	// nextRefresh is the first server whose registration the next message repeats.
	nextRefresh vrid.ServerID
}

// New returns the Feed of a daemon that knows no other one yet.
func New(self vrid.DaemonID) *Feed {
	return &Feed{self: self, rank: -1, entries: make(map[vrid.ServerID]vrfleet.Entry)}
}

// SetMembers sets the registered daemons of the zone, whether alive or not.
func (f *Feed) SetMembers(now time.Time, members []vrid.DaemonID) {
	f.members = slices.Sorted(slices.Values(members))
	rank, found := slices.BinarySearch(f.members, f.self)
	if !found {
		f.rank = -1
		return
	}
	f.rank = rank
	if f.joinedAt.IsZero() {
		f.joinedAt = now
	}
}

// Members returns the registered daemons of the zone, sorted.
func (f *Feed) Members() []vrid.DaemonID { return f.members }

// Version returns the version of the store that the daemon's view of the servers includes.
func (f *Feed) Version() vrid.ObjectVersion { return f.version }

// IsFeeder reports whether this daemon feeds its zone: it is the first member, or the feeders of
// lower ranks have been silent for too long.
func (f *Feed) IsFeeder(now time.Time) bool {
	if f.rank < 0 || len(f.members) < MinMembers {
		return false
	}
	if f.rank == 0 {
		return true
	}
	silentSince := f.joinedAt
	if f.lowerHeardAt.After(silentSince) {
		silentSince = f.lowerHeardAt
	}
	return now.Sub(silentSince) > FreshFor+takeoverStep*time.Duration(min(f.rank, maxTakeoverRank))
}

// IsFresh reports whether a feeder keeps the daemon's view of the servers up to date, so that it
// need not watch the store itself.
func (f *Feed) IsFresh(now time.Time) bool {
	return f.version > 0 && !f.heardAt.IsZero() && now.Sub(f.heardAt) <= FreshFor && !f.IsFeeder(now)
}

// HandleList applies a full list that the daemon read from the store. It returns false if the
// list is older than the daemon's view.
func (f *Feed) HandleList(version vrid.ObjectVersion, entries []vrfleet.Entry) bool {
	outdated := version < f.version
	if vrfault.On(vrfault.IgnoreEras) {
		outdated = version.Revision() < f.version.Revision()
	}
	if version != 0 && outdated {
		return false
	}
	if version.Era() != f.version.Era() {
		// What a feeder sent before the restore of the store says nothing about the time since.
		f.heardAt = time.Time{}
	}
	f.version = version
	clear(f.entries)
	for _, entry := range entries {
		f.entries[entry.ID] = entry
	}
	return true
}

// HandleWatch applies changes that the daemon read from the store. It returns false if its view
// includes them already or is of another era, and otherwise what a feeder has to tell the others.
func (f *Feed) HandleWatch(changes *Changes) (*Changes, bool) {
	if changes.Version != 0 && (changes.Version <= f.version || f.isOfAnotherEra(changes)) {
		return nil, false
	}
	f.version = changes.Version
	message := &Changes{After: changes.After, Version: changes.Version, Removed: changes.Removed}
	for _, entry := range changes.Entries {
		if known, ok := f.entries[entry.ID]; !ok || !equal(&known, &entry) {
			message.Entries = append(message.Entries, entry)
		}
	}
	f.apply(changes)
	message.Entries = f.appendRefresh(message.Entries)
	return message, true
}

// isOfAnotherEra reports whether changes don't continue from the view because the store was
// restored in between. A view without a version is of no era.
func (f *Feed) isOfAnotherEra(changes *Changes) bool {
	era := changes.Version.Era()
	return era != changes.After.Era() || (f.version != 0 && era != f.version.Era())
}

// HandleMessage handles the changes that a member of the zone sent. It returns whether they have
// to be applied.
func (f *Feed) HandleMessage(now time.Time, from vrid.DaemonID, changes *Changes) bool {
	if changes.Version.Era() < f.version.Era() {
		// The sender has not noticed that the store was restored, or its build knows no eras. It does
		// not feed this daemon, so another one has to take over.
		return false
	}
	if rank, found := slices.BinarySearch(f.members, from); found && rank < f.rank {
		f.lowerHeardAt = now
	}
	if changes.After > f.version || f.version == 0 || f.isOfAnotherEra(changes) {
		// Changes are missing. The daemon watches the store until its view includes them.
		f.heardAt = time.Time{}
		return false
	}
	f.heardAt = now
	if changes.Version <= f.version {
		return false
	}
	f.version = changes.Version
	f.apply(changes)
	return true
}

func (f *Feed) apply(changes *Changes) {
	for _, entry := range changes.Entries {
		f.entries[entry.ID] = entry
	}
	for _, id := range changes.Removed {
		delete(f.entries, id)
	}
}

// appendRefresh appends a part of the registrations, a different one each time.
func (f *Feed) appendRefresh(entries []vrfleet.Entry) []vrfleet.Entry {
	ids := slices.Sorted(maps.Keys(f.entries))
	if len(ids) == 0 {
		return entries
	}
	start, _ := slices.BinarySearch(ids, f.nextRefresh)
	count := (len(ids) + refreshFraction - 1) / refreshFraction
	for i := range count {
		id := ids[(start+i)%len(ids)]
		if !slices.ContainsFunc(entries, func(e vrfleet.Entry) bool { return e.ID == id }) {
			entries = append(entries, f.entries[id])
		}
	}
	f.nextRefresh = ids[(start+count)%len(ids)]
	return entries
}

// equal reports whether two registrations say the same, whatever their count of renewals.
func equal(a, b *vrfleet.Entry) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.State == b.State &&
		a.Born == b.Born && a.Leaving == b.Leaving && slices.Equal(a.InHost, b.InHost) && slices.Equal(a.OnDisk, b.OnDisk) &&
		slices.EqualFunc(a.Holds, b.Holds, func(x, y vrfleet.LoadedModel) bool {
			return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
		})
}
