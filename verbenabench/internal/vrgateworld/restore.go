package vrgateworld

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

const (
	// maxRewriteDelay is the maximum time until the operator writes the next catalog that a restore has
	// undone.
	maxRewriteDelay = 1500 * time.Millisecond
	// rewriteRetryDelay is the time between two attempts of the operator to reach the store.
	rewriteRetryDelay = 200 * time.Millisecond
	// lostPeerRate is the probability that the copy of the store lacks a daemon's registration.
	lostPeerRate = 0.2
	// maxPeerDelayAfterRestore is the maximum time from the moment when a daemon notices a restore
	// until it has registered again. The daemons list each other again Contact after that.
	maxPeerDelayAfterRestore = 700 * time.Millisecond
	// minCopyAge is the minimum time from the start of the world to the copy.
	minCopyAge = 2 * time.Second
)

// storeView is what a process knows of the era of the store.
type storeView struct {
	era   vrid.StoreEra
	known bool
	// peersFrom is when the process lists the daemons again after a restore.
	peersFrom time.Time
}

// version returns the version of a revision in the current era.
func (s *Store) version(revision uint64) vrid.ObjectVersion {
	version, ok := vrid.NewObjectVersion(s.Era, revision)
	if !ok {
		panic("version out of range")
	}
	return version
}

// unavailable reports whether the store is in an outage or being restored.
func (s *Store) unavailable() bool { return s.down || s.restoring > 0 }

// Restore makes the store unavailable for a time. Afterwards it is in the next era, with the objects
// that it had a while before the start of the outage. The servers and the operator write again later.
func (s *Store) Restore(age, away time.Duration) {
	w := s.world
	copied := w.Now().Add(-age)
	s.restoring++
	s.Disturb(away)
	w.After(away, func() {
		s.restoring--
		s.restoreTo(copied)
	})
}

// restoreTo replaces the objects with those of a moment in the past, but not before the last restore.
func (s *Store) restoreTo(copied time.Time) {
	w := s.world
	for _, earliest := range []time.Time{w.startedAt.Add(minCopyAge), s.restoredAt} {
		if copied.Before(earliest) {
			copied = earliest
		}
	}
	s.Era++
	s.restoredAt = w.Now()
	s.Restores++
	revision := uint64(0)
	keep := func(version vrid.ObjectVersion) { revision = max(revision, version.Revision()) }
	s.restoreEntries(copied, keep)
	s.restoreObjects(copied, keep)
	for len(s.stored) > 1 && s.stored[len(s.stored)-1].At.After(copied) {
		s.stored = s.stored[:len(s.stored)-1]
	}
	for _, catalog := range s.stored {
		keep(catalog.version)
	}
	s.revision = s.version(revision)
	for _, d := range w.Daemons {
		if w.chance(lostPeerRate) {
			s.lostPeers[d.ID] = true
		}
	}
	s.Disturb(reregisterWindow)
	for _, server := range w.Servers {
		s.restoreServer(server)
	}
	s.rewriteCatalogs()
}

func (s *Store) restoreEntries(copied time.Time, keep func(vrid.ObjectVersion)) {
	clear(s.entries)
	for i, c := range s.changes {
		if c.at.After(copied) {
			s.changes = s.changes[:i]
			break
		}
		keep(c.revision)
		if c.entry != nil {
			s.entries[c.id] = *c.entry
		} else {
			delete(s.entries, c.id)
		}
	}
}

// restoreObjects appends the restored version of each object to its history, in which reads that may
// be stale still find the versions from before.
func (s *Store) restoreObjects(copied time.Time, keep func(vrid.ObjectVersion)) {
	for key, versions := range s.objects {
		restored := objectVersion{at: s.world.Now()}
		for _, object := range versions {
			if !object.at.After(copied) {
				restored.version, restored.value = object.version, object.value
			}
		}
		keep(restored.version)
		restored.version = s.version(restored.version.Revision())
		s.objects[key] = append(versions, restored)
	}
}

// restoreServer makes a live server write its registration again, and ends that of a server that has
// left meanwhile.
func (s *Store) restoreServer(server *Server) {
	w := s.world
	if server.Alive {
		delay := w.randomDuration(0, reregisterWindow)
		server.silentUntil = w.Now().Add(delay)
		w.After(delay, server.register)
		return
	}
	server.scheduleExpiry()
}

// Publish makes the operator write a new version of the catalog, after those that a restore has undone.
func (s *Store) Publish(version vrid.ConfigVersion) {
	s.wanted = version
	if !s.rewriting && !s.unavailable() {
		s.writeCatalog()
	}
}

// writeCatalog writes the catalog after the newest one in the store.
func (s *Store) writeCatalog() {
	s.revision++
	version := vrid.ConfigVersion(1)
	if len(s.stored) > 0 {
		version = s.newestStored().Version + 1
	}
	published := Published{Catalog: NewCatalog(version, s.world.Options), At: s.world.Now(), version: s.revision}
	s.stored = append(s.stored, published)
	if len(s.Catalogs) == 0 || s.Catalogs[len(s.Catalogs)-1].Catalog.Version < version {
		s.Catalogs = append(s.Catalogs, published)
	}
}

// rewriteCatalogs makes the operator write the lost catalogs again, one after the other.
func (s *Store) rewriteCatalogs() {
	if s.rewriting {
		return
	}
	s.rewriting = true
	var next func()
	next = func() {
		switch {
		case s.unavailable():
			s.world.After(rewriteRetryDelay, next)
		case s.newestStored().Version < s.wanted:
			s.writeCatalog()
			s.Disturb(0)
			s.world.After(s.world.randomDuration(0, maxRewriteDelay), next)
		default:
			s.rewriting = false
		}
	}
	s.Disturb(maxRewriteDelay)
	s.world.After(s.world.randomDuration(0, maxRewriteDelay), next)
}

// recordEra records the era that an answer of the store states. It tells the reducer of a restore before
// it hands over the answer.
func (p *Process) recordEra(era vrid.StoreEra) {
	view := &p.store
	restored := view.known && era > view.era
	view.era, view.known = max(view.era, era), true
	if !restored {
		return
	}
	p.reduce(vrevent.StoreRestored{Era: era})
	view.peersFrom = p.world.Now().Add(Contact + maxPeerDelayAfterRestore)
	p.registerDaemon()
}

// registerDaemon registers the daemon again after a restore, or at its start.
func (p *Process) registerDaemon() {
	w := p.world
	if !w.Store.lostPeers[p.Daemon.ID] {
		return
	}
	p.after(w.randomDuration(0, maxPeerDelayAfterRestore), func() {
		if !w.Store.reaches(p.Daemon) {
			p.after(minRetryDelay, p.registerDaemon)
			return
		}
		delete(w.Store.lostPeers, p.Daemon.ID)
	})
}

// deliverAnswer hands over an answer of the store in an era.
func (p *Process) deliverAnswer(era vrid.StoreEra, answer vrevent.Event) {
	p.run(func() {
		p.recordEra(era)
		p.reduce(answer)
	})
}

// listPeers returns the registered daemons.
func (s *Store) listPeers() []vrevent.Peer {
	var peers []vrevent.Peer
	for _, peer := range s.peers {
		if !s.lostPeers[peer.Daemon] {
			peers = append(peers, peer)
		}
	}
	return peers
}

// writeOutcome returns what a daemon concludes from a write that took effect: one that met another era
// has replaced an object that happens to have the revision.
func writeOutcome(ifVersion, version vrid.ObjectVersion) vrplatform.Outcome {
	if ifVersion.Revision() != 0 && ifVersion.Era() != version.Era() {
		return vrplatform.OutcomeUnknown
	}
	return vrplatform.OutcomeOK
}

// noteKnownDraining records which processes know of a server that drains once they had the time that
// the rules allow without a disruption. From then on none of them may send it requests, whatever a
// restored store says.
func (s *Server) noteKnownDraining() {
	w, born, since := s.world, s.Born, s.LeaveRecordedAt
	w.After(Drain, func() {
		if s.Born != born || !w.Store.Stable() {
			return
		}
		for _, d := range w.Daemons {
			if d.StableAt(since) && d.StableAt(w.Now()) {
				s.known[d.Process] = true
			}
		}
	})
}

// KnownDraining reports whether a process had to know that the server drains.
func (s *Server) KnownDraining(p *Process) bool { return s.known[p] }

// MakeEntryInvalid makes the server's entry invalid until it registers again. Daemons see an invalid
// entry as one that was removed.
func (s *Server) MakeEntryInvalid() {
	store := s.world.Store
	if _, registered := store.entries[s.ID]; registered && s.Alive && !store.unavailable() {
		store.remove(s.ID)
	}
}
