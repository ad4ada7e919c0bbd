package vrgateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrgateway"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	holdModels  = 9
	holdEngines = 3
	leaseBound  = 3 * time.Second
)

// holdDaemon is one run of a daemon of a holdFleet.
type holdDaemon struct {
	*daemon
	id    vrid.DaemonID
	ended bool
	// restarted is set once another process listens at the address of one that has ended. refused is set while the
	// path to the daemon refuses connections.
	restarted, refused bool
	// lost keeps the daemon from the store.
	lost          bool
	suspended     bool
	ordersStopped bool
}

// holdFleet runs three daemons with one store, servers that state their pace, and calls for ever other models.
type holdFleet struct {
	t       *testing.T
	now     time.Time
	daemons []*holdDaemon
	version vrid.ObjectVersion
	value   []byte
	// lost keeps all daemons from the store.
	lost    bool
	engines map[vrid.ServerID]*vrevent.ServerStatus
	// muteEngine does not answer status reports.
	muteEngine vrid.ServerID
	calls      int
	// orders are the daemons that gave the orders, orderedAt when, orderedTo which servers got them.
	orders    []vrid.DaemonID
	orderedAt []time.Time
	orderedTo []vrid.ServerID
}

func newHoldFleet(t *testing.T, pace int, knowHold bool) *holdFleet {
	f := &holdFleet{t: t, now: time.Unix(1_790_000_000, 0), engines: make(map[vrid.ServerID]*vrevent.ServerStatus)}
	catalog := newCatalog(1)
	engine := catalog.Services[1].Engine
	var onDisk []vrid.ModelID
	for i := range holdModels {
		engine.Models = append(engine.Models, vrcatalog.Model{
			ID: vrid.ModelID(fmt.Sprint("m", i)), Weights: 40, StoreLoad: 6 * time.Second, DiskLoad: 200 * time.Millisecond, MemoryLoad: 200 * time.Millisecond,
		})
		onDisk = append(onDisk, engine.Models[len(engine.Models)-1].ID)
	}
	require.NoError(t, catalog.Build())
	var peers []vrevent.Peer
	for i := range 3 {
		id := vrid.DaemonID(fmt.Sprint("d", i))
		peers = append(peers, vrevent.Peer{Daemon: id, Address: "peer:" + string(id), KnowsHold: knowHold})
	}
	for i := range holdEngines {
		f.engines[vrid.ServerID(fmt.Sprint("e", i))] = &vrevent.ServerStatus{Born: 1, OnDisk: onDisk}
	}
	for i, peer := range peers {
		d := &holdDaemon{daemon: &daemon{t: t, now: f.now}, id: peer.Daemon}
		d.state = vrgateway.New(vrgateway.Options{
			Daemon: d.id, Boot: "b", Address: peer.Address, Zone: "z", Seed: uint64(i), Bounds: vrgateway.Bounds{
				Lease: leaseBound, Ceiling: vrresidence.Ceiling{Window: 5 * time.Second, Factor: 1.1},
			},
		})
		f.daemons = append(f.daemons, d)
		d.reduce(vrevent.CatalogSeen{Catalog: catalog})
		d.reduce(vrevent.FleetListed{Version: 1, Entries: f.entries(1)})
		d.reduce(vrevent.PeersListed{Peers: peers})
		send := d.requireSentOn("once")
		d.reduce(vrevent.SendEnded{Call: send.Call, Send: send.Send, Result: vrevent.AttemptAnswered, Status: 200, Load: &vrevent.ServerLoad{Pace: pace}})
	}
	return f
}

// entries returns the servers' registrations.
func (f *holdFleet) entries(beat uint64) []vrfleet.Entry {
	entries := []vrfleet.Entry{renewed(appEntry("a1"), beat)}
	for i := range holdEngines {
		entry := renewed(engineEntry(vrid.ServerID(fmt.Sprint("e", i))), beat)
		entry.Holds, entry.OnDisk = f.engines[entry.ID].Holds, f.engines[entry.ID].OnDisk
		entries = append(entries, entry)
	}
	return entries
}

// run runs the fleet for a duration.
func (f *holdFleet) run(duration time.Duration) {
	const step, callInterval, entryInterval = 25 * time.Millisecond, 300 * time.Millisecond, time.Second
	for until := f.now.Add(duration); f.now.Before(until); f.now = f.now.Add(step) {
		for _, d := range f.daemons {
			f.submit(d, vrevent.Tick{})
			if f.now.UnixMilli()%callInterval.Milliseconds() < step.Milliseconds() {
				f.calls++
				call := vrevent.Call{ID: vrevent.CallID(1000 + f.calls), Request: "r", Host: "h", Path: "/stream/x", Timeout: 5 * time.Second}
				call.Model = vrid.ModelID(fmt.Sprint("m", f.calls/3%holdModels))
				f.submit(d, vrevent.CallArrived{Call: call})
			}
			if !f.lost && f.now.UnixMilli()%entryInterval.Milliseconds() < step.Milliseconds() {
				version := vrid.ObjectVersion(f.now.UnixMilli())
				f.submit(d, vrevent.FleetListed{Version: version, Entries: f.entries(uint64(version))})
			}
		}
	}
}

// submit passes an event to a daemon that runs, and carries out its effects.
func (f *holdFleet) submit(d *holdDaemon, event vrevent.Event) {
	if d.ended || d.suspended {
		return
	}
	d.now = f.now
	for _, effect := range d.reduce(event) {
		if answer := f.execute(d, effect); answer != nil {
			f.submit(d, answer)
		}
	}
}

func (f *holdFleet) execute(d *holdDaemon, effect vrevent.Effect) vrevent.Event {
	switch e := effect.(type) {
	case vrevent.ReadObject, vrevent.WriteObject:
		return f.callStore(d, effect)
	case vrevent.StopOrders:
		d.ordersStopped = true
	case vrevent.SendPlacementOrder:
		return f.order(d, e.Order)
	case vrevent.ReadStatus:
		if e.Server == f.muteEngine {
			return vrevent.StatusRead{Server: e.Server}
		}
		status := *f.engines[e.Server]
		return vrevent.StatusRead{Server: e.Server, Status: &status}
	case vrevent.DialPeer:
		return vrevent.PeerDialed{Peer: e.Peer, Boot: e.Boot, Replaced: f.daemon(e.Peer).restarted}
	case vrevent.SendPeer:
		if receiver := f.daemon(e.Peer); receiver.ended || receiver.refused || d.refused {
			return vrevent.PeerUnreachable{Peer: e.Peer, Refused: true}
		}
		envelope := *e.Envelope
		envelope.From, envelope.Boot = d.id, "b"
		f.submit(f.daemon(e.Peer), vrevent.PeerMessage{Envelope: &envelope})
	case vrevent.SendCall:
		return vrevent.SendEnded{Call: e.Call, Send: e.Send, Result: vrevent.AttemptAnswered, Status: 200}
	}
	return nil
}

func (f *holdFleet) callStore(d *holdDaemon, effect vrevent.Effect) vrevent.Event {
	lost := f.lost || d.lost
	switch e := effect.(type) {
	case vrevent.ReadObject:
		switch {
		case lost:
			return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable}
		case f.version == 0 || e.Key != vrplatform.KeyFleetLease:
			return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeNotFound}
		}
		return vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: f.version, Value: f.value}
	case vrevent.WriteObject:
		switch {
		case lost || e.Key != vrplatform.KeyFleetLease:
			return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeUnavailable}
		case e.IfVersion != f.version:
			return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeConflict}
		}
		f.version, f.value = f.version+1, e.Value
		return vrevent.ObjectWritten{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: f.version}
	}
	return nil
}

// order carries out an order at once, and checks that no two daemons give orders within the bound.
func (f *holdFleet) order(d *holdDaemon, order vrevent.PlacementOrder) vrevent.Event {
	if d.ordersStopped || !f.now.Before(order.LeaseExpiresAt) {
		return vrevent.OrderEnded{Order: order, Outcome: vrevent.OrderNotSent}
	}
	if last := len(f.orders) - 1; last >= 0 && f.orders[last] != d.id {
		require.GreaterOrEqual(f.t, f.now.Sub(f.orderedAt[last]), leaseBound, "%s after %s", d.id, f.orders[last])
	}
	f.orders, f.orderedAt, f.orderedTo = append(f.orders, d.id), append(f.orderedAt, f.now), append(f.orderedTo, order.Server)
	engine := f.engines[order.Server]
	if engine.Orders != order.ExpectedOrders {
		return vrevent.OrderEnded{Order: order, Outcome: vrevent.OrderConflict}
	}
	engine.Orders++
	var holds []vrfleet.LoadedModel
	for _, held := range engine.Holds {
		if held.Model != order.Model {
			holds = append(holds, held)
		}
	}
	if order.Kind == vrevent.OrderLoad {
		holds = append(holds, vrfleet.LoadedModel{Model: order.Model})
	}
	engine.Holds = holds
	return vrevent.OrderEnded{Order: order, Outcome: vrevent.OrderAccepted}
}

func (f *holdFleet) daemon(id vrid.DaemonID) *holdDaemon {
	for _, d := range f.daemons {
		if d.id == id {
			return d
		}
	}
	f.t.Fatalf("no daemon %s", id)
	return nil
}

// owner returns the daemon that gave the last order.
func (f *holdFleet) owner() *holdDaemon {
	require.NotEmpty(f.t, f.orders)
	return f.daemon(f.orders[len(f.orders)-1])
}

// lose sets whether the daemons can reach the store.
func (f *holdFleet) lose(lost bool) {
	f.lost = lost
	for _, d := range f.daemons {
		if lost {
			f.submit(d, vrevent.StoreLost{})
		} else {
			f.submit(d, vrevent.StoreRecovered{})
		}
	}
}

// since returns the time from a moment until the first order after it, and who gave it.
func (f *holdFleet) since(at time.Time) (time.Duration, vrid.DaemonID) {
	for i, orderedAt := range f.orderedAt {
		if orderedAt.After(at) {
			return orderedAt.Sub(at), f.orders[i]
		}
	}
	f.t.Fatal("no order")
	return 0, ""
}

// longestPause returns the longest time without an order from a moment on.
func (f *holdFleet) longestPause(from time.Time) time.Duration {
	longest, last := time.Duration(0), from
	for _, at := range f.orderedAt {
		if at.After(from) {
			longest, last = max(longest, at.Sub(last)), at
		}
	}
	return max(longest, f.now.Sub(last))
}

func (f *holdFleet) record() *vrlease.Record {
	record, err := vrwire.Unmarshal[vrlease.Record](f.value)
	require.NoError(f.t, err)
	return record
}

// Guards against a fleet without placement orders while the store is away for 8 s, and against another daemon
// that acquires the lease after it.
func TestOwnerGivesOrdersDuringOutage(t *testing.T) {
	f := newHoldFleet(t, 100, true)
	f.run(5 * time.Second)
	owner := f.owner()
	f.lose(true)
	lostAt := f.now
	f.run(4 * time.Second)
	// A server that does not answer gets no orders.
	f.muteEngine = "e1"
	f.run(maxEntryAgeAtOwner)
	muteFrom := len(f.orders)
	f.run(4*time.Second - maxEntryAgeAtOwner)
	require.NotContains(t, f.orderedTo[muteFrom:], f.muteEngine)
	require.Less(t, f.longestPause(lostAt), 2*time.Second)
	f.muteEngine = ""
	f.lose(false)
	f.run(6 * time.Second)
	require.Less(t, f.longestPause(lostAt), 2*time.Second)
	require.Equal(t, owner.id, f.owner().id)
	require.EqualValues(t, 1, f.record().Epoch, "the lease has not changed its holder")
}

// maxEntryAgeAtOwner is how long the owner relies on what it last heard of a server.
const maxEntryAgeAtOwner = 2500 * time.Millisecond

// Guards against an owner with a hold of 11 s that is replaced only after that although its process has ended.
func TestKilledOwnerIsReplaced(t *testing.T) {
	f := newHoldFleet(t, 100, true)
	f.run(5 * time.Second)
	killedAt, owner := f.now, f.owner()
	owner.ended = true
	f.run(restartTime)
	owner.restarted = true
	f.run(6 * time.Second)
	pause, next := f.since(killedAt)
	require.NotEqual(t, owner.id, next)
	require.Less(t, pause, restartTime+leaseBound+1500*time.Millisecond)
}

// restartTime is the time from the end of a process until another one listens at its address.
const restartTime = time.Second

// Guards against a second owner beside one that runs: the path to it refused connections, which was taken for the
// end of its process (review case 6). Both orders of the two would reach servers for 8 s.
func TestRefusedConnectionIsNoProofOfEnd(t *testing.T) {
	f := newHoldFleet(t, 100, true)
	f.run(5 * time.Second)
	owner := f.owner()
	owner.refused = true
	owner.lost = true
	f.submit(owner, vrevent.StoreLost{})
	cutAt := f.now
	f.run(8 * time.Second)
	require.Less(t, f.longestPause(cutAt), 2*time.Second, "the owner goes on")
	require.Equal(t, owner.id, f.owner().id)
	owner.refused, owner.lost = false, false
	f.submit(owner, vrevent.StoreRecovered{})
	f.run(6 * time.Second)
	require.Equal(t, owner.id, f.owner().id)
}

// Guards against a second owner while the first one is suspended for less than its hold, and against orders of
// one that was suspended for longer.
func TestSuspendedOwnerResumes(t *testing.T) {
	for _, test := range []struct {
		suspended time.Duration
		replaced  bool
	}{{suspended: 7 * time.Second}, {suspended: 20 * time.Second, replaced: true}} {
		f := newHoldFleet(t, 100, true)
		f.run(5 * time.Second)
		suspendedAt, owner := f.now, f.owner()
		owner.suspended = true
		f.run(test.suspended)
		owner.suspended = false
		f.run(3 * time.Second)
		pause, next := f.since(suspendedAt)
		require.Equal(t, test.replaced, owner.id != next)
		require.GreaterOrEqual(t, pause, min(test.suspended, 11*time.Second))
		require.Less(t, pause, min(test.suspended+time.Second, 17*time.Second))
		require.Equal(t, next, f.owner().id)
	}
}

// Guards against a successor of a stopping owner that waits for the bound from the release although the last
// order ended long before, or that waits until it reads the lease by itself.
func TestStoppedOwnerIsReplaced(t *testing.T) {
	f := newHoldFleet(t, 100, true)
	f.run(5 * time.Second)
	owner := f.owner()
	lastOrder := f.orderedAt[len(f.orderedAt)-1]
	stoppedAt := f.now
	f.submit(owner, vrevent.ShutdownRequested{})
	require.True(t, f.record().Released)
	f.run(50 * time.Millisecond)
	require.NotEqual(t, owner.id, f.record().Holder, "acquired at once")
	f.run(5 * time.Second)
	pause, next := f.since(stoppedAt)
	require.NotEqual(t, owner.id, next)
	require.Less(t, stoppedAt.Add(pause).Sub(lastOrder), leaseBound+500*time.Millisecond)
}

// Guards against a long hold where it must not be used: without ordered admission, and beside daemons of a
// former version, which would acquire the lease during it.
func TestLongHoldIsLimited(t *testing.T) {
	for _, test := range []struct {
		pace     int
		knowHold bool
		want     uint64
	}{{0, true, 0}, {100, false, 0}, {100, true, 11000}} {
		f := newHoldFleet(t, test.pace, test.knowHold)
		f.run(5 * time.Second)
		require.Equal(t, test.want, f.record().Hold, "%+v", test)
	}
}

// Guards against an order on its way that is written by the long hold after the owner has written a shorter one:
// the others count from that, even if its answer was lost.
func TestShorterHoldBindsOrdersOnTheirWay(t *testing.T) {
	f := newHoldFleet(t, 100, true)
	f.run(5 * time.Second)
	owner := f.owner()
	require.True(t, owner.state.PermitsOrders(f.now.Add(8*time.Second)))
	former := []vrevent.Peer{{Daemon: owner.id, KnowsHold: true}, {Daemon: "d9", Address: "peer:d9"}}
	f.submit(owner, vrevent.PeersListed{Peers: former})
	f.lose(true)
	f.now = f.now.Add(time.Second)
	f.submit(owner, vrevent.Tick{})
	require.False(t, owner.state.PermitsOrders(f.now.Add(leaseBound/2)))
}
