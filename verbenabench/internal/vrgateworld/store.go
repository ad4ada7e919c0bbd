package vrgateworld

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

const (
	storeDelay = 3 * time.Millisecond
	// callTimeout is how long a daemon waits for an answer of the store.
	callTimeout = 1500 * time.Millisecond
	// maxLateWrite is the maximum time until a delayed write takes effect.
	maxLateWrite = 10 * time.Second
	// entryTTL is how long a registration lasts if the server does not renew it.
	entryTTL = 5 * time.Second
	// reregisterWindow is the time after an outage in which the servers whose registrations
	// expired register again.
	reregisterWindow = 2 * time.Second
	// maxReadAge is the maximum age of the state that a read returns if it may be stale.
	maxReadAge = 400 * time.Millisecond
)

// Store is a fake of the platform's store.
type Store struct {
	// MaxExtraDelay is the maximum additional delay of a call.
	MaxExtraDelay time.Duration
	// LostAnswerRate is the probability that a call, read or write, takes effect and its answer is
	// lost; LateWriteRate is the probability that a write takes effect after its caller's timeout.
	LostAnswerRate, LateWriteRate float64
	// DisturbedUntil is the end of the last disruption; it is in the future during one.
	DisturbedUntil time.Time
	// Catalogs lists all published versions with the times when they were first written, the newest last.
	Catalogs []Published
	// Era counts the restores of the store, from the era in which the world started. Restores counts
	// those of this world.
	Era      vrid.StoreEra
	Restores int

	world  *World
	down   bool
	downAt time.Time
	// restoring counts the restores that are in progress, restoredAt is when the last one ended.
	restoring  int
	restoredAt time.Time
	// stored lists the catalogs in the store's history, wanted is the version that the operator wants to
	// be in force, rewriting is set while the operator writes those that a restore has undone.
	stored     []Published
	wanted     vrid.ConfigVersion
	rewriting  bool
	lostPeers  map[vrid.DaemonID]bool
	cutZones   map[vrid.ZoneID]bool
	cutDaemons map[vrid.DaemonID]bool
	revision   vrid.ObjectVersion
	// objects lists the versions of each object that daemons write, the newest last.
	objects map[string][]objectVersion
	entries map[vrid.ServerID]vrfleet.Entry
	changes []change
	peers   []vrevent.Peer
}

// Published is a version of the catalog and the time of its publication.
type Published struct {
	Catalog *vrcatalog.Catalog
	At      time.Time
	version vrid.ObjectVersion
}

type objectVersion struct {
	version vrid.ObjectVersion
	value   []byte
	at      time.Time
}

// change records that a registration was written, or removed if entry is nil.
type change struct {
	revision vrid.ObjectVersion
	at       time.Time
	id       vrid.ServerID
	entry    *vrfleet.Entry
}

func newStore(w *World) *Store {
	s := &Store{world: w, Era: w.Options.StoreEra, lostPeers: make(map[vrid.DaemonID]bool), cutZones: make(map[vrid.ZoneID]bool), cutDaemons: make(map[vrid.DaemonID]bool), entries: make(map[vrid.ServerID]vrfleet.Entry), objects: make(map[string][]objectVersion)}
	s.revision = s.version(0)
	return s
}

// Disturb records a disruption that lasts for a duration from now.
func (s *Store) Disturb(duration time.Duration) {
	if until := s.world.Now().Add(duration); until.After(s.DisturbedUntil) {
		s.DisturbedUntil = until
	}
}

// Stable reports whether the last disruption ended at least the bound Contact ago.
func (s *Store) Stable() bool { return !s.world.Now().Before(s.DisturbedUntil.Add(Contact)) }

// SetDown starts or ends an outage. If the outage lasted as long as entryTTL, all
// registrations are removed at its end, and live servers register again within
// reregisterWindow (two seconds).
func (s *Store) SetDown(down bool) {
	if s.down == down {
		return
	}
	s.down = down
	if down {
		s.downAt = s.world.Now()
		return
	}
	for _, server := range s.world.Servers {
		if !server.Alive {
			server.scheduleExpiry()
		}
	}
	if s.world.Now().Sub(s.downAt) < entryTTL {
		return
	}
	for _, server := range s.world.Servers {
		if _, registered := s.entries[server.ID]; registered {
			s.remove(server.ID)
		}
		if server.Alive {
			s.world.After(s.world.randomDuration(0, reregisterWindow), server.register)
		}
	}
}

// Cut disconnects a zone from the store, or reconnects it.
func (s *Store) Cut(zone vrid.ZoneID, cut bool) { s.cutZones[zone] = cut }

// Heal ends all faults of the store.
func (s *Store) Heal() {
	s.SetDown(false)
	s.MaxExtraDelay, s.LostAnswerRate, s.LateWriteRate = 0, 0, 0
	clear(s.cutZones)
	clear(s.cutDaemons)
}

// CutDaemon disconnects one daemon from the store, or reconnects it.
func (s *Store) CutDaemon(d *Daemon, cut bool) { s.cutDaemons[d.ID] = cut }

// Up reports whether the store is neither in an outage nor being restored.
func (s *Store) Up() bool { return !s.unavailable() }

// reaches reports whether a daemon can reach the store.
func (s *Store) reaches(d *Daemon) bool {
	return !s.unavailable() && !s.cutZones[d.Zone] && !s.cutDaemons[d.ID]
}

// Wanted returns the version of the catalog that the operator wants to be in force.
func (s *Store) Wanted() vrid.ConfigVersion { return s.wanted }

// newestStored returns the newest catalog in the store.
func (s *Store) newestStored() *vrcatalog.Catalog { return s.stored[len(s.stored)-1].Catalog }

func (s *Store) put(entry vrfleet.Entry) {
	s.revision++
	s.entries[entry.ID] = entry
	s.changes = append(s.changes, change{revision: s.revision, at: s.world.Now(), id: entry.ID, entry: &entry})
}

func (s *Store) remove(id vrid.ServerID) {
	s.revision++
	delete(s.entries, id)
	s.changes = append(s.changes, change{revision: s.revision, at: s.world.Now(), id: id})
}

// list returns all registrations, ordered by server id.
func (s *Store) list() []vrfleet.Entry {
	var entries []vrfleet.Entry
	for _, server := range s.world.Servers {
		if entry, ok := s.entries[server.ID]; ok {
			entries = append(entries, entry)
		}
	}
	return entries
}

// since returns the current state of all registrations that changed after a revision.
func (s *Store) since(after vrid.ObjectVersion) vrevent.FleetChanged {
	newest := make(map[vrid.ServerID]*vrfleet.Entry)
	var ids []vrid.ServerID
	for _, c := range s.changes {
		if c.revision <= after {
			continue
		}
		if _, seen := newest[c.id]; !seen {
			ids = append(ids, c.id)
		}
		newest[c.id] = c.entry
	}
	var changed vrevent.FleetChanged
	for _, id := range ids {
		if entry := newest[id]; entry != nil {
			changed.Entries = append(changed.Entries, *entry)
		} else {
			changed.Removed = append(changed.Removed, id)
		}
	}
	return changed
}

// call executes a daemon's call to the store. refused is its answer when the call had no
// effect, lost when its outcome is unknown.
func (s *Store) call(p *Process, write bool, work func() vrevent.Event, refused, lost vrevent.Event) {
	w := s.world
	if !s.reaches(p.Daemon) {
		answer, after := lost, callTimeout
		if s.unavailable() && w.chance(0.5) {
			answer, after = refused, storeDelay
		}
		w.After(after, func() { p.deliver(answer) })
		return
	}
	if write && w.chance(s.LateWriteRate) {
		w.After(w.randomDuration(callTimeout, maxLateWrite), func() { work() })
		w.After(callTimeout, func() { p.deliver(lost) })
		return
	}
	delay := storeDelay + w.randomDuration(0, s.MaxExtraDelay)
	w.After(delay, func() {
		answer := work()
		if delay > callTimeout || w.chance(s.LostAnswerRate) {
			w.After(max(0, callTimeout-delay), func() { p.deliver(lost) })
			return
		}
		era := s.Era
		w.After(storeDelay, func() { p.deliverAnswer(era, answer) })
	})
}

func (s *Store) read(p *Process, e vrevent.ReadObject) {
	work := func() vrevent.Event {
		object := s.objectAt(e.Key, e.Fresh)
		// A stale read may return an object from before a restore, but it states the current era.
		version := s.version(object.version.Revision())
		if version.Revision() == 0 {
			return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeNotFound, Version: version}
		}
		return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: version, Value: asSeenBy(p.Daemon, e.Key, object.value)}
	}
	s.call(p, false, work, vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable},
		vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnknown})
}

// objectAt returns the current version of an object, or if fresh is false possibly one that was
// current up to maxReadAge ago.
func (s *Store) objectAt(key string, fresh bool) objectVersion {
	at := s.world.Now()
	if !fresh {
		at = at.Add(-s.world.randomDuration(0, maxReadAge))
	}
	for _, object := range slices.Backward(s.objects[key]) {
		if !object.at.After(at) {
			return object
		}
	}
	return objectVersion{}
}

func (s *Store) write(p *Process, e vrevent.WriteObject) {
	answer := func(outcome vrplatform.Outcome, version vrid.ObjectVersion) vrevent.Event {
		return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: outcome, Version: version}
	}
	work := func() vrevent.Event {
		// The store compares revisions only, which it gives out again after a restore.
		if object := s.objectAt(e.Key, true); object.version.Revision() != e.IfVersion.Revision() {
			return answer(vrplatform.OutcomeConflict, object.version)
		}
		s.revision++
		s.objects[e.Key] = append(s.objects[e.Key], objectVersion{version: s.revision, value: e.Value, at: s.world.Now()})
		return answer(writeOutcome(e.IfVersion, s.revision), s.revision)
	}
	if e.IfVersion.Revision() != 0 && e.IfVersion.Era() != p.store.era {
		p.deliver(answer(vrplatform.OutcomeConflict, 0))
		return
	}
	s.call(p, true, work, answer(vrplatform.OutcomeUnavailable, 0), answer(vrplatform.OutcomeUnknown, 0))
}
