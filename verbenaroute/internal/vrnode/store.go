package vrnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"verbenaroute.example/platform/vradapter"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	// callTimeout bounds a call to the store, which answers in some milliseconds.
	callTimeout = 1500 * time.Millisecond
	// watchSlack is how much longer than its wait a watch may take, watchMargin what is left
	// of the contact bound for the list that follows a silent one.
	watchSlack  = 400 * time.Millisecond
	watchMargin = 400 * time.Millisecond
	watchLeast  = 500 * time.Millisecond
	// ownerRest and serversRest are the pauses between two watches of the servers, which
	// gather changes, since every call has its price. The placement owner waits for the end
	// of loads and tells the others.
	ownerRest = 150 * time.Millisecond
	// guidedPause is the pause between two looks at what the placement owner said.
	guidedPause = 200 * time.Millisecond
	// guidedRest is the part of the drain bound that a daemon rests which the owner tells of
	// leaving servers.
	guidedRest = 0.75
	// drainPart is the part of the drain bound that the others rest.
	drainPart = 2
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 50 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// peersInterval is the pause between two lists of the daemons, startPeers the one
	// while daemons that started together register.
	peersInterval = 5 * time.Second
	startPeers    = 700 * time.Millisecond
	startLists    = 5
	// lostAfter failed calls in a row count as the loss of the store.
	lostAfter = 2
	// orderTimeout bounds an order; its answer comes at once.
	orderTimeout = 800 * time.Millisecond
)

func (n *Node) readObject(e vrevent.ReadObject) {
	ctx, cancel := context.WithTimeout(n.base, callTimeout)
	defer cancel()
	read := n.store.Read(ctx, e.Key, !e.Fresh)
	n.Submit(vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: read.Outcome, Version: read.Version, Value: read.Value})
}

func (n *Node) writeObject(e vrevent.WriteObject) {
	ctx, cancel := context.WithTimeout(n.base, callTimeout)
	defer cancel()
	written := n.store.Write(ctx, e.Key, e.IfVersion, e.Value)
	n.Submit(vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: written.Outcome, Version: written.Version})
}

func (n *Node) giveOrder(order vrevent.PlacementOrder) {
	ctx, cancel := context.WithTimeout(n.base, orderTimeout)
	defer cancel()
	outcome, detail := n.engine.Order(ctx, &order, func() bool { return n.clock.Now().Before(order.LeaseExpiresAt) })
	n.metrics.orderEnded(order.Kind, outcome)
	n.Submit(vrevent.OrderEnded{Order: order, Outcome: outcome, Detail: detail})
}

func (n *Node) readStatus(e vrevent.ReadStatus) {
	ctx, cancel := context.WithTimeout(n.base, orderTimeout)
	defer cancel()
	status, err := n.engine.Status(ctx, e.Address)
	if err != nil {
		n.log.Info("report not read", zap.String("server", string(e.Server)), zap.Error(err))
		status = nil
	}
	n.Submit(vrevent.StatusRead{Server: e.Server, Status: status})
}

// watchWait is how long a watch waits for news: a connection that went silent has to be
// noticed, and a list read, before the machine counts as in contact again.
func (n *Node) watchWait() time.Duration {
	return max(n.settings.Bounds.Contact.Std()-watchSlack-watchMargin, watchLeast)
}

// serversRest is shorter for the placement owner.
func (n *Node) serversRest() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state.IsPlacementOwner(n.clock.Now()) {
		return ownerRest
	}
	if guided, _ := n.state.HeartbeatStatus(n.clock.Now()); guided {
		return time.Duration(guidedRest * float64(n.settings.Bounds.Drain.Std()))
	}
	return n.settings.Bounds.Drain.Std() / drainPart
}

// follower keeps one kind of the store's objects up to date: a list, then watches.
type follower struct {
	node  *Node
	name  string
	after vrid.ObjectVersion
	// rest is the pause after news.
	rest func() time.Duration
	// list reads everything, watch what changed since a revision.
	list  func(ctx context.Context) (vrid.ObjectVersion, error)
	watch func(ctx context.Context, after vrid.ObjectVersion) (vrid.ObjectVersion, bool, error)
	fails int
	// guided reports whether the placement owner's word replaces a watch now; may be nil.
	guided func() bool
}

func (f *follower) run() {
	n := f.node
	for n.base.Err() == nil {
		if f.after != 0 && f.guided != nil && f.guided() {
			pause(n.base, guidedPause)
			continue
		}
		if f.after == 0 {
			f.relist()
			continue
		}
		ctx, cancel := context.WithTimeout(n.base, n.watchWait()+watchSlack)
		after, changed, err := f.watch(ctx, f.after)
		cancel()
		var gone *vradapter.HistoryGoneError
		switch {
		case errors.As(err, &gone):
			n.log.Info("history gone", zap.String("kind", f.name), zap.Uint64("after", uint64(f.after)))
			f.after = 0
		case err != nil:
			// What changed meanwhile may be out of the history: a list tells what is gone.
			f.failed(err)
			f.after = 0
		default:
			f.succeeded()
			f.after = after
			if changed && f.rest != nil {
				pause(n.base, f.rest())
			}
		}
	}
}

func (f *follower) relist() {
	ctx, cancel := context.WithTimeout(f.node.base, callTimeout)
	defer cancel()
	version, err := f.list(ctx)
	if err != nil {
		f.failed(err)
		return
	}
	f.succeeded()
	f.after = version
	if version == 0 {
		pause(f.node.base, retryFirst)
	}
}

func (f *follower) failed(err error) {
	if f.node.base.Err() != nil {
		return
	}
	f.fails++
	if f.fails == lostAfter {
		f.node.Submit(vrevent.StoreLost{Detail: f.name + ": " + err.Error()})
	}
	wait := min(retryFirst<<min(f.fails, 10), retryMost)
	pause(f.node.base, wait/2+rand.N(wait))
}

func (f *follower) succeeded() {
	if f.fails >= lostAfter {
		f.node.Submit(vrevent.StoreRecovered{})
	}
	f.fails = 0
}

// catalogGuided reports whether the owner's heartbeats say that the catalog is the newest.
func (n *Node) catalogGuided() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	guided, current := n.state.HeartbeatStatus(n.clock.Now())
	return guided && current
}

func (n *Node) followCatalog() {
	f := &follower{node: n, name: "catalog", guided: n.catalogGuided}
	f.list = func(ctx context.Context) (vrid.ObjectVersion, error) {
		catalog, version, err := n.store.ListCatalog(ctx)
		if err == nil && catalog != nil {
			n.Submit(vrevent.CatalogSeen{Catalog: catalog})
		}
		return version, err
	}
	f.watch = func(ctx context.Context, after vrid.ObjectVersion) (vrid.ObjectVersion, bool, error) {
		catalog, version, err := n.store.WatchCatalog(ctx, after, n.watchWait())
		if err == nil && catalog != nil {
			n.Submit(vrevent.CatalogSeen{Catalog: catalog})
		}
		return version, catalog != nil, err
	}
	f.run()
}

func (n *Node) followServers() {
	f := &follower{node: n, name: "servers", rest: n.serversRest}
	f.list = func(ctx context.Context) (vrid.ObjectVersion, error) {
		entries, version, err := n.store.ListServers(ctx)
		if err == nil {
			f.succeeded()
			n.Submit(vrevent.FleetListed{Entries: entries})
			n.ready.Store(n.catalog.Load() != nil)
		}
		return version, err
	}
	f.watch = func(ctx context.Context, after vrid.ObjectVersion) (vrid.ObjectVersion, bool, error) {
		changed, version, err := n.store.WatchServers(ctx, after, n.watchWait())
		if err == nil && n.catalog.Load() != nil {
			n.ready.Store(true)
		}
		some := len(changed.Entries)+len(changed.Removed) > 0
		if err == nil && some {
			n.Submit(changed)
		}
		return version, some, err
	}
	f.run()
}

// followPeers registers this daemon and lists the others.
func (n *Node) followPeers() {
	registered := false
	for round := 0; n.base.Err() == nil; round++ {
		ctx, cancel := context.WithTimeout(n.base, callTimeout)
		if !registered {
			err := n.store.Register(ctx, vrevent.Peer{Daemon: n.settings.Daemon, Address: n.settings.Peers}, n.boot)
			registered = err == nil
		}
		peers, err := n.store.Peers(ctx)
		cancel()
		if err == nil {
			n.Submit(vrevent.PeersListed{Peers: peers})
		}
		if round < startLists {
			pause(n.base, startPeers)
		} else {
			pause(n.base, peersInterval/2+rand.N(peersInterval))
		}
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
