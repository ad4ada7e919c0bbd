package vrnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenaroute.example/platform/vradapter"
	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	// storeTimeout is the timeout of a call to the store, which usually responds within a few
	// milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// watchTimeoutMargin is how much longer than its wait a watch may take before it times
	// out. relistMargin is the part of ContactTimeout that is reserved for the list after a
	// watch that timed out. minWatchWait is the lower limit of the wait.
	watchTimeoutMargin = 400 * time.Millisecond
	relistMargin       = 400 * time.Millisecond
	minWatchWait       = 500 * time.Millisecond
	// ownerWatchWait is the wait of the placement owner's watch of the catalog if the other daemons rely on
	// it. Each response proves that its catalog is the newest, which its heartbeats have to be able to say.
	ownerWatchWait = 500 * time.Millisecond
	// ownerPause is the pause of the placement owner between two watches of the servers;
	// serversPause returns that of the other daemons. Each call to the store has a cost, and the
	// pause lets several changes arrive in one response. The owner pauses less, because it
	// waits for the end of loads and notifies the other daemons.
	ownerPause = 150 * time.Millisecond
	// feederPause is the pause of the daemon that watches the servers for its zone. Two messages
	// fit into the time for which the others rely on one.
	feederPause = 650 * time.Millisecond
	// heartbeatPollInterval is the interval at which a daemon that does not watch the catalog or
	// the servers checks whether other daemons' messages still allow it not to.
	heartbeatPollInterval = 200 * time.Millisecond
	// freshHeartbeatFraction is the fraction of DrainTimeout that a daemon pauses while it
	// receives the placement owner's heartbeats, because the owner also notifies it of leaving
	// servers.
	freshHeartbeatFraction = 0.75
	// proofWatchWait is the wait of a watch of the catalog if its responses are the proofs that API keys are
	// valid. A watch proves what the newest catalog was when it was sent, so a proof is up to two waits old
	// when the next one arrives. Other daemons are asked for a proof when it is two seconds old.
	proofWatchWait = 800 * time.Millisecond
	// proofReserve is the part of bounds.revocation that two waits and the time-out of a failed watch leave:
	// keys are accepted until 500 ms before its end, and the rest is for the list after the failure.
	proofReserve = time.Second
	// minProofWatchWait is the lower limit of the wait, which a short bounds.revocation reaches.
	minProofWatchWait = 100 * time.Millisecond
	// drainDivisor is the divisor of DrainTimeout that gives the pause of a daemon without
	// heartbeats.
	drainDivisor = 2
	// The backoff after a failed call, before jitter, is minBackoff doubled for each consecutive
	// failure, and at most maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// peersInterval is the mean interval between two lists of the daemons. The first
	// startupPeersLists lists are startupPeersInterval apart, because daemons that start
	// together are still registering.
	peersInterval        = 5 * time.Second
	startupPeersInterval = 700 * time.Millisecond
	startupPeersLists    = 5
	// maxPeersAge is how long a daemon does without a list of the daemons while the feeder of its
	// zone knows as many as it does itself.
	maxPeersAge = 30 * time.Second
	// registrationInterval is the mean interval between two daemons that register again after a
	// restore of the store. The store takes 400 writes a second of all daemons together. A
	// registration takes up to two, so half of the writes are left for the leases.
	registrationInterval = 10 * time.Millisecond
	// storeLostAfter consecutive failed calls count as the loss of the store.
	storeLostAfter = 2
	// orderTimeout is the timeout of an order, which a server answers without waiting for the
	// order to complete, and of a status report.
	orderTimeout = 800 * time.Millisecond
)

func (n *Node) readObject(e vrevent.ReadObject) {
	ctx, cancel := context.WithTimeout(n.baseCtx, storeTimeout)
	defer cancel()
	result := n.store.Read(ctx, e.Key, !e.Fresh)
	n.Submit(vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: result.Outcome, Version: result.Version, Value: result.Value})
}

func (n *Node) writeObject(e vrevent.WriteObject) {
	ctx, cancel := context.WithTimeout(n.baseCtx, storeTimeout)
	defer cancel()
	result := n.store.Write(ctx, e.Key, e.IfVersion, e.Value)
	n.Submit(vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: result.Outcome, Version: result.Version})
}

func (n *Node) sendOrder(order vrevent.PlacementOrder) {
	ctx, cancel := context.WithTimeout(n.baseCtx, orderTimeout)
	defer cancel()
	outcome, detail, leaving := n.engine.Order(ctx, &order, func() bool {
		return n.permitsOrders() && n.clock.Now().Before(order.LeaseExpiresAt)
	})
	n.reportLeaving(leaving, order.Server, order.Born)
	n.metrics.orderEnded(order.Kind, outcome)
	n.Submit(vrevent.OrderEnded{Order: order, Outcome: outcome, Detail: detail})
}

// permitsOrders reports whether orders may still be written, apart from the expiry that each carries.
func (n *Node) permitsOrders() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.ordersStopped && n.state.PermitsOrders(n.clock.Now())
}

func (n *Node) reservePlace(e vrevent.ReservePlace) {
	ctx, cancel := context.WithTimeout(n.baseCtx, min(orderTimeout, e.Duration))
	defer cancel()
	answer := vrevent.PlaceReserved{Call: e.Call, Send: e.Send, Server: e.Server}
	reservation, leaving, err := n.engine.Reserve(ctx, e.Server, e.Address, e.Tokens, e.Duration)
	n.reportLeaving(leaving, e.Server, e.Born)
	if err != nil {
		answer.Detail = err.Error()
	}
	answer.Reservation = reservation
	n.Submit(answer)
}

func (n *Node) readStatus(e vrevent.ReadStatus) {
	ctx, cancel := context.WithTimeout(n.baseCtx, orderTimeout)
	defer cancel()
	status, leaving, err := n.engine.Status(ctx, e.Address)
	if status == nil || status.Born == 0 || status.Born == e.Born {
		// Otherwise another process answered at the address.
		n.reportLeaving(leaving, e.Server, e.Born)
	}
	if err != nil {
		n.log.Info("cannot read server status", zap.String("server", string(e.Server)), zap.Error(err))
		status = nil
	}
	n.Submit(vrevent.StatusRead{Server: e.Server, Status: status})
}

// checkLeaving asks a server whether it leaves.
func (n *Node) checkLeaving(e vrevent.CheckLeaving) {
	ctx, cancel := context.WithTimeout(n.baseCtx, orderTimeout)
	defer cancel()
	leaving, err := n.engine.IsLeaving(ctx, e.Address, e.Born)
	switch {
	case err != nil:
		n.log.Info("cannot ask server whether it leaves", zap.String("server", string(e.Server)), zap.Error(err))
	case leaving:
		n.reportLeaving(leaving, e.Server, e.Born)
	default:
		n.Submit(vrevent.LeavingChecked{Server: e.Server, Born: e.Born})
	}
}

// reportLeaving tells the reducer if a process of a server has stated that it leaves. It is called before the
// rest of the response is reported, so that no decision on that chooses the server.
func (n *Node) reportLeaving(leaving bool, server vrid.ServerID, born int64) {
	if leaving {
		n.Submit(vrevent.ServerLeaving{Server: server, Born: born})
	}
}

// watchWait returns how long the store may hold a watch open without changes. It leaves
// enough of ContactTimeout to detect a silent connection and then to list the objects: the
// machine counts as in contact again only after the list.
func (n *Node) watchWait() time.Duration {
	return max(n.settings.Bounds.ContactTimeout.Std()-watchTimeoutMargin-relistMargin, minWatchWait)
}

// serversPause returns the pause between two watches of the servers, which depends on whether
// this daemon is the placement owner or receives the owner's heartbeats.
func (n *Node) serversPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state.IsPlacementOwner(n.clock.Now()) {
		return ownerPause
	}
	if n.state.FeedsZone(n.clock.Now()) {
		return feederPause
	}
	if fresh, _ := n.state.HeartbeatStatus(n.clock.Now()); fresh {
		return time.Duration(freshHeartbeatFraction * float64(n.settings.Bounds.DrainTimeout.Std()))
	}
	return n.settings.Bounds.DrainTimeout.Std() / drainDivisor
}

// follower keeps the local copy of one kind of the store's objects up to date: it lists them
// once and then watches for changes. After a failed watch it lists them again, with a backoff if the
// watch after the list fails too.
type follower struct {
	node *Node
	name string
	// after is the version up to which changes were received, or zero if a list is due.
	after vrid.ObjectVersion
	// pauseAfterChange returns the pause after a watch that returned a change; it may be nil.
	pauseAfterChange func() time.Duration
	// list reads all objects and returns their version. watch waits at most for the given time for changes
	// after a version and returns the new version and whether anything changed.
	list  func(ctx context.Context) (vrid.ObjectVersion, error)
	watch func(ctx context.Context, after vrid.ObjectVersion, wait time.Duration) (vrid.ObjectVersion, bool, error)
	// failures is the number of consecutive failed calls.
	failures int
	// expired is the number of watches since the last successful one that found the store's history
	// gone.
	expired int
	// era returns the latest era of the store that this daemon knows of.
	era func() vrid.StoreEra
	// skipWatch reports whether no watch is needed at present, because another daemon tells this
	// one of changes; it may be nil. A watch that would start in a former era is never skipped,
	// because that daemon may not have noticed the restore.
	skipWatch func() bool
	// knownVersion returns the version up to which changes are known from another daemon; it may
	// be nil.
	knownVersion func() vrid.ObjectVersion
	// watchWait returns how long the store may hold a watch open; it may be nil.
	watchWait func() time.Duration
}

// wait returns how long the store may hold the next watch open.
func (f *follower) wait() time.Duration {
	if f.watchWait != nil {
		return f.watchWait()
	}
	return f.node.watchWait()
}

// run lists and watches until the node stops.
func (f *follower) run() {
	n := f.node
	for n.baseCtx.Err() == nil {
		if f.after == 0 {
			f.relist()
			continue
		}
		if f.skipWatch != nil && f.after.Era() == f.era() && f.skipWatch() {
			pause(n.baseCtx, heartbeatPollInterval)
			continue
		}
		if f.knownVersion != nil {
			if known := f.knownVersion(); known.Era() == f.after.Era() {
				f.after = max(f.after, known)
			}
		}
		wait := f.wait()
		ctx, cancel := context.WithTimeout(n.baseCtx, wait+watchTimeoutMargin)
		after, changed, err := f.watch(ctx, f.after, wait)
		cancel()
		var gone *vradapter.HistoryGoneError
		switch {
		case errors.As(err, &gone):
			n.log.Info("store history expired, listing again", zap.String("kind", f.name), zap.Uint64("after", f.after.Revision()),
				zap.Uint64("era", uint64(f.after.Era())))
			f.after = 0
			if f.expired++; f.expired > 1 {
				pauseForBackoff(n.baseCtx, f.expired-1)
			}
		case err != nil:
			// The changes since the last response may have left the store's history, so only a
			// list shows which objects were removed.
			f.handleFailure(err)
			f.after = 0
		default:
			f.handleSuccess()
			f.expired = 0
			f.after = after
			if changed && f.pauseAfterChange != nil {
				pause(n.baseCtx, f.pauseAfterChange())
			}
		}
	}
}

// relist reads all objects anew.
func (f *follower) relist() {
	ctx, cancel := context.WithTimeout(f.node.baseCtx, storeTimeout)
	defer cancel()
	version, err := f.list(ctx)
	if err != nil {
		f.handleFailure(err)
		return
	}
	f.handleSuccess()
	f.after = version
	if version == 0 {
		pause(f.node.baseCtx, minBackoff)
	}
}

// handleFailure counts a failed call, reports the loss of the store after storeLostAfter
// consecutive ones, and pauses for an exponential backoff with jitter.
func (f *follower) handleFailure(err error) {
	if f.node.baseCtx.Err() != nil {
		return
	}
	f.failures++
	if f.failures == storeLostAfter {
		f.node.Submit(vrevent.StoreLost{Detail: f.name + ": " + err.Error()})
	}
	pauseForBackoff(f.node.baseCtx, f.failures)
}

// pauseForBackoff pauses for an exponential backoff with jitter after consecutive failures.
func pauseForBackoff(ctx context.Context, failures int) {
	backoff := min(minBackoff<<min(failures, 10), maxBackoff)
	pause(ctx, backoff/2+rand.N(backoff))
}

// handleSuccess resets the count of failed calls and reports the recovery of a lost store.
func (f *follower) handleSuccess() {
	if f.failures >= storeLostAfter {
		f.node.Submit(vrevent.StoreRecovered{})
	}
	f.failures = 0
}

// catalogIsCurrent reports whether the placement owner's heartbeats are fresh and show that
// the catalog in force is the newest one.
func (n *Node) catalogIsCurrent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	fresh, current := n.state.HeartbeatStatus(n.clock.Now())
	return fresh && current
}

// serversFed reports whether the feeder of the zone keeps this daemon's view of the servers up to
// date.
func (n *Node) serversFed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.ServersFed(n.clock.Now())
}

func (n *Node) serversVersion() vrid.ObjectVersion {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.ServersVersion()
}

// peersCurrent reports whether this daemon's list of the daemons is as long as the feeder's.
func (n *Node) peersCurrent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.PeersCurrent(n.clock.Now())
}

func (n *Node) followCatalog() {
	f := &follower{node: n, name: "catalog", era: n.store.Era, skipWatch: n.catalogIsCurrent, watchWait: n.catalogWatchWait}
	f.list = func(ctx context.Context) (vrid.ObjectVersion, error) {
		ctx, receiving := traceFirstByte(ctx)
		sentAt := n.clock.Now()
		catalog, version, err := n.store.ListCatalog(ctx)
		if err == nil {
			n.reportCatalog(catalog, vrevent.CatalogRead{Call: "list", Receiving: receiving()}, version, sentAt)
		}
		return version, err
	}
	f.watch = func(ctx context.Context, after vrid.ObjectVersion, wait time.Duration) (vrid.ObjectVersion, bool, error) {
		ctx, receiving := traceFirstByte(ctx)
		sentAt := n.clock.Now()
		catalog, version, err := n.store.WatchCatalog(ctx, after, wait)
		if err == nil {
			n.reportCatalog(catalog, vrevent.CatalogRead{Call: "watch", Receiving: receiving()}, version, sentAt)
		}
		return version, catalog != nil, err
	}
	f.run()
}

// reportCatalog reports the result of a successful call about the catalog that was sent at sentAt: the new
// catalog, or nil, and that the store had no newer one when the call was sent.
func (n *Node) reportCatalog(catalog *vrcatalog.Catalog, read vrevent.CatalogRead, version vrid.ObjectVersion, sentAt time.Time) {
	if catalog != nil {
		n.Submit(vrevent.CatalogSeen{Catalog: catalog, Read: read})
	}
	if version != 0 {
		n.Submit(vrevent.CatalogChecked{At: sentAt, Era: version.Era()})
	}
}

// catalogWatchWait returns how long the store may hold a watch of the catalog open without changes.
func (n *Node) catalogWatchWait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.state.VouchesForCatalog():
		return min(ownerWatchWait, n.watchWait())
	case n.state.RequiresProof():
		return min(proofWait(n.settings.Bounds.Revocation.Std()), n.watchWait())
	default:
		return n.watchWait()
	}
}

// proofWait returns the wait of a watch of the catalog with which a proof of the API keys arrives in time for
// a limit of their revocation, also after one failed call.
func proofWait(revocation time.Duration) time.Duration {
	return max(min(proofWatchWait, (revocation-proofReserve-watchTimeoutMargin)/2), minProofWatchWait)
}

// traceFirstByte returns a context for one call at a time, and a function that returns the time since the
// first byte of the call's last response.
func traceFirstByte(ctx context.Context) (context.Context, func() time.Duration) {
	var firstByteAt atomic.Pointer[time.Time]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		now := time.Now()
		firstByteAt.Store(&now)
	}})
	return ctx, func() time.Duration {
		if at := firstByteAt.Load(); at != nil {
			return time.Since(*at)
		}
		return 0
	}
}

func (n *Node) followServers() {
	f := &follower{
		node: n, name: "servers", era: n.store.Era, pauseAfterChange: n.serversPause, skipWatch: n.serversFed,
		knownVersion: n.serversVersion,
	}
	f.list = func(ctx context.Context) (vrid.ObjectVersion, error) {
		entries, version, err := n.store.ListServers(ctx)
		if err == nil {
			f.handleSuccess()
			n.Submit(vrevent.FleetListed{Entries: entries, Version: version})
			n.ready.Store(n.catalog.Load() != nil)
		}
		return version, err
	}
	f.watch = func(ctx context.Context, after vrid.ObjectVersion, wait time.Duration) (vrid.ObjectVersion, bool, error) {
		changes, version, err := n.store.WatchServers(ctx, after, wait)
		if err == nil && n.catalog.Load() != nil {
			n.ready.Store(true)
		}
		changed := len(changes.Entries)+len(changes.Removed) > 0
		if err == nil && changed {
			n.Submit(changes)
		}
		return version, changed, err
	}
	f.run()
}

// peersFollower registers this daemon in the store and lists the others at intervals.
type peersFollower struct {
	node *Node
	// registered is whether this daemon has registered since the last restore of the store. restores
	// is the number of restores that the follower has handled.
	registered bool
	restores   uint64
	// count is the number of listed daemons.
	count int
	// listedAt is when the daemons were last listed. settledAt is when all daemons have noticed the
	// last restore and registered again.
	listedAt, settledAt time.Time
}

func (n *Node) followPeers() {
	f := &peersFollower{node: n}
	for round := 0; n.baseCtx.Err() == nil; round++ {
		f.handleRestore()
		now := n.clock.Now()
		switch {
		case f.registered && f.isUnsettled():
			n.pauseUnlessRestored(f.settledAt.Sub(now), f.restores)
		case f.registered && f.listedAt.After(f.settledAt) && now.Sub(f.listedAt) < maxPeersAge && n.peersCurrent():
			n.pauseUnlessRestored(startupPeersInterval/2+rand.N(startupPeersInterval), f.restores)
		default:
			f.update(round < startupPeersLists)
		}
	}
}

// handleRestore makes the daemon register again after a restore of the store, which may have lost its
// entry. It first pauses for a random part of the time over which the daemons register.
func (f *peersFollower) handleRestore() {
	n := f.node
	for restores := n.restores.Load(); restores != f.restores; restores = n.restores.Load() {
		spread := registrationSpread(f.count)
		f.restores, f.registered = restores, false
		f.settledAt = n.clock.Now().Add(n.settings.Bounds.ContactTimeout.Std() + spread)
		n.pauseUnlessRestored(rand.N(spread), restores)
	}
}

// isUnsettled reports whether a list may lack live daemons that have not registered again yet. The
// previous list stays in force meanwhile: the daemons share the retry budget by their number.
func (f *peersFollower) isUnsettled() bool {
	return !f.listedAt.IsZero() && f.node.clock.Now().Before(f.settledAt)
}

// registrationSpread returns the time over which the daemons register again after a restore.
func registrationSpread(daemons int) time.Duration {
	return max(time.Duration(daemons)*registrationInterval, startupPeersInterval)
}

// update registers this daemon if that is due, lists the daemons unless a list may lack some, and
// pauses.
func (f *peersFollower) update(starting bool) {
	n := f.node
	ctx, cancel := context.WithTimeout(n.baseCtx, storeTimeout)
	defer cancel()
	if !f.registered {
		err := n.store.Register(ctx, vrevent.Peer{Daemon: n.settings.Daemon, Address: n.settings.Peers, Zone: n.settings.Zone, KnowsHold: true}, n.boot)
		f.registered = err == nil
	}
	if f.isUnsettled() {
		if !f.registered {
			spread := registrationSpread(f.count)
			n.pauseUnlessRestored(spread/2+rand.N(spread), f.restores)
		}
		return
	}
	peers, err := n.store.Peers(ctx)
	if err == nil {
		f.listedAt, f.count = n.clock.Now(), len(peers)
		n.Submit(vrevent.PeersListed{Peers: peers})
	}
	if starting {
		n.pauseUnlessRestored(startupPeersInterval, f.restores)
	} else {
		n.pauseUnlessRestored(peersInterval/2+rand.N(peersInterval), f.restores)
	}
}

// pauseUnlessRestored sleeps for the duration, or until the node knows of another number of restores
// of the store or stops.
func (n *Node) pauseUnlessRestored(duration time.Duration, restores uint64) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for n.restores.Load() == restores {
		select {
		case <-n.restored:
		case <-timer.C:
			return
		case <-n.baseCtx.Done():
			return
		}
	}
}

// pause sleeps for the duration or until the context is done.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
