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
	pl.p.after(storeDelay+w.randomDuration(0, w.Store.MaxExtraDelay), pl.succeeded)
}

func (pl *poller) failed() {
	pl.after = 0
	if pl.failures++; pl.failures == storeLostThreshold {
		pl.p.reduce(vrevent.StoreLost{Detail: "unreachable"})
	}
	pl.run()
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
	if catalogs := p.world.Store.Catalogs; after == 0 && len(catalogs) > 1 && p.world.chance(staleListProbability) {
		p.reduce(vrevent.CatalogSeen{Catalog: catalogs[len(catalogs)-2].Catalog})
		return pollInterval
	}
	if guided, current := p.State.HeartbeatStatus(p.world.Now()); guided && current {
		return pollInterval
	}
	if newest := p.world.Store.Newest(); p.State.Catalog() == nil || newest.Version > p.State.Catalog().Version {
		p.reduce(vrevent.CatalogSeen{Catalog: newest})
	}
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
	after = p.State.ServersVersion()
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
	if p.world.Store.reaches(p.Daemon) {
		p.deliver(vrevent.PeersListed{Peers: p.world.Store.peers})
	}
	p.after(peersInterval, p.pollPeers)
}
