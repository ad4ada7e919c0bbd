package vrgateworld

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	// pollInterval is the interval between two polls of the store when nothing changed. It
	// stands in for a watch, which would return at once.
	pollInterval       = 60 * time.Millisecond
	minRetryDelay      = 100 * time.Millisecond
	maxRetryDelay      = 800 * time.Millisecond
	ownerPollInterval  = 150 * time.Millisecond
	feederPollInterval = 650 * time.Millisecond
	guidedPollInterval = Drain * 3 / 4
	otherPollInterval  = Drain / 2
	// storeLostThreshold is the number of consecutive failed polls after which the store counts
	// as lost.
	storeLostThreshold = 2
	peersInterval      = 2 * time.Second
	// staleListProbability is the probability that the first read of the catalog returns the
	// version before the newest.
	staleListProbability = 0.3
)

// startPolling starts the polling of the store that a gateway's runtime does outside its
// reducer.
func (p *Process) startPolling() {
	p.pollPeers()
	(&poller{p: p, poll: p.pollCatalog}).run()
	(&poller{p: p, poll: p.pollServers}).run()
}

// poller keeps a process's copy of one kind of store objects up to date.
type poller struct {
	p        *Process
	after    vrid.ObjectVersion
	failures int
	// poll delivers the changes after a revision, or everything for revision 0, and returns the
	// delay until the next poll.
	poll func(after vrid.ObjectVersion) time.Duration
}

func (pl *poller) run() {
	w := pl.p.world
	if pl.p.dead {
		return
	}
	if !w.Store.reaches(pl.p.Daemon) {
		pl.p.after(w.randomDuration(minRetryDelay, maxRetryDelay), pl.failed)
		return
	}
	pl.p.after(storeDelay+w.randomDuration(0, w.Store.MaxExtraDelay), pl.answered)
}

func (pl *poller) failed() {
	pl.after = 0
	if pl.failures++; pl.failures == storeLostThreshold {
		pl.p.reduce(vrevent.StoreLost{Detail: "unreachable"})
	}
	pl.run()
}

// answered handles the answer of the store. A watch from a former era or from a revision that the store
// doesn't have ends, and everything is listed again.
func (pl *poller) answered() {
	s := pl.p.world.Store
	if s.restoring > 0 {
		pl.failed()
		return
	}
	pl.p.recordEra(s.Era)
	if pl.after != 0 && (pl.after.Era() != s.Era || pl.after > s.revision) {
		pl.after = 0
		pl.run()
		return
	}
	pl.succeeded()
}

func (pl *poller) succeeded() {
	if pl.failures >= storeLostThreshold {
		pl.p.reduce(vrevent.StoreRecovered{})
	}
	pl.failures = 0
	revision := pl.p.world.Store.revision
	delay := pl.poll(pl.after)
	pl.after = revision
	pl.p.after(delay, pl.run)
}

func (p *Process) pollCatalog(after vrid.ObjectVersion) time.Duration {
	if catalogs := p.world.Store.stored; after == 0 && len(catalogs) > 1 && p.world.chance(staleListProbability) {
		p.reduce(vrevent.CatalogSeen{Catalog: catalogs[len(catalogs)-2].Catalog})
		return pollInterval
	}
	if guided, current := p.State.HeartbeatStatus(p.world.Now()); after != 0 && guided && current {
		return pollInterval
	}
	if p.world.Now().Before(p.Daemon.CatalogMuteUntil) {
		return pollInterval
	}
	if newest := p.world.Store.newestStored(); after == 0 || p.State.Catalog() == nil || newest.Version > p.State.Catalog().Version {
		p.reduce(vrevent.CatalogSeen{Catalog: newest})
	}
	p.reduce(vrevent.CatalogChecked{At: p.world.Now(), Era: p.world.Store.Era})
	return pollInterval
}

func (p *Process) pollServers(after vrid.ObjectVersion) time.Duration {
	if after == 0 {
		p.reduce(vrevent.FleetListed{Entries: p.world.Store.list(), Version: p.world.Store.revision})
		return pollInterval
	}
	if p.State.ServersFed(p.world.Now()) {
		return pollInterval
	}
	if known := p.State.ServersVersion(); known.Era() == after.Era() {
		after = known
	}
	changed := p.world.Store.since(after)
	changed.After, changed.Version = after, p.world.Store.revision
	if len(changed.Entries)+len(changed.Removed) == 0 {
		return pollInterval
	}
	p.reduce(changed)
	guided, _ := p.State.HeartbeatStatus(p.world.Now())
	switch {
	case p.State.IsPlacementOwner(p.world.Now()):
		return ownerPollInterval
	case p.State.FeedsZone(p.world.Now()):
		return feederPollInterval
	case guided:
		return guidedPollInterval
	}
	return otherPollInterval
}

func (p *Process) pollPeers() {
	if s := p.world.Store; s.reaches(p.Daemon) {
		p.run(func() {
			p.recordEra(s.Era)
			if !p.world.Now().Before(p.store.peersFrom) {
				p.reduce(vrevent.PeersListed{Peers: s.listPeers()})
			}
		})
	}
	p.after(peersInterval, p.pollPeers)
}
