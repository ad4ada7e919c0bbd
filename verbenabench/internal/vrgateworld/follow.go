package vrgateworld

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	// followPause is the pause between two looks at the store without news; a watch would
	// answer at once.
	followPause = 60 * time.Millisecond
	retryLeast  = 100 * time.Millisecond
	retryMost   = 800 * time.Millisecond
	ownerRest   = 150 * time.Millisecond
	guidedRest  = Drain * 3 / 4
	otherRest   = Drain / 2
	// lostAfter failed calls in a row count as the loss of the store.
	lostAfter     = 2
	peersInterval = 2 * time.Second
	// staleList is the probability that a first list is older than the newest version.
	staleList = 0.3
)

// follow starts what the runtime of a gateway does beside its reducer.
func (p *Process) follow() {
	p.followPeers()
	(&follower{p: p, look: p.lookAtCatalog}).run()
	(&follower{p: p, look: p.lookAtServers}).run()
}

// follower keeps one kind of the store's objects up to date.
type follower struct {
	p     *Process
	after vrid.ObjectVersion
	fails int
	// look takes the news since a revision and says how long to rest.
	look func(after vrid.ObjectVersion) time.Duration
}

func (f *follower) run() {
	w := f.p.world
	if f.p.dead {
		return
	}
	if !w.Store.reaches(f.p.Daemon) {
		f.p.after(w.spread(retryLeast, retryMost), f.failed)
		return
	}
	f.p.after(storeDelay+w.spread(0, w.Store.Slow), f.succeeded)
}

func (f *follower) failed() {
	f.after = 0
	if f.fails++; f.fails == lostAfter {
		f.p.reduce(vrevent.StoreLost{Detail: "unreachable"})
	}
	f.run()
}

func (f *follower) succeeded() {
	if f.fails >= lostAfter {
		f.p.reduce(vrevent.StoreRecovered{})
	}
	f.fails = 0
	revision := f.p.world.Store.revision
	rest := f.look(f.after)
	f.after = revision
	f.p.after(rest, f.run)
}

func (p *Process) lookAtCatalog(after vrid.ObjectVersion) time.Duration {
	if catalogs := p.world.Store.Catalogs; after == 0 && len(catalogs) > 1 && p.world.chance(staleList) {
		p.reduce(vrevent.CatalogSeen{Catalog: catalogs[len(catalogs)-2].Catalog})
		return followPause
	}
	if guided, current := p.State.HeartbeatStatus(p.world.Now()); guided && current {
		return followPause
	}
	if newest := p.world.Store.Newest(); p.State.Catalog() == nil || newest.Version > p.State.Catalog().Version {
		p.reduce(vrevent.CatalogSeen{Catalog: newest})
	}
	return followPause
}

func (p *Process) lookAtServers(after vrid.ObjectVersion) time.Duration {
	if after == 0 {
		p.reduce(vrevent.FleetListed{Entries: p.world.Store.list()})
		return followPause
	}
	changed := p.world.Store.since(after)
	if len(changed.Entries)+len(changed.Removed) == 0 {
		return followPause
	}
	p.reduce(changed)
	guided, _ := p.State.HeartbeatStatus(p.world.Now())
	switch {
	case p.State.IsPlacementOwner(p.world.Now()):
		return ownerRest
	case guided:
		return guidedRest
	}
	return otherRest
}

func (p *Process) followPeers() {
	if p.world.Store.reaches(p.Daemon) {
		p.deliver(vrevent.PeersListed{Peers: p.world.Store.peers})
	}
	p.after(peersInterval, p.followPeers)
}
