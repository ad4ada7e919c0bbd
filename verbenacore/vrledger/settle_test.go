package vrledger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// owner runs the ledger of a zone's owner against a fake platform, with one server and one
// ledger object.
type owner struct {
	t       *testing.T
	now     time.Time
	ledger  *vrledger.Ledger
	version vrid.ObjectVersion
	value   []byte
	orders  []vrengine.Order
}

func newOwner(t *testing.T) *owner {
	o := &owner{t: t, now: time.Unix(1_790_000_000, 0)}
	o.ledger = vrledger.New(vrledger.Options{Zone: "z", Daemon: "d", Boot: "b", Ops: &vrevent.Ops{}})
	o.ledger.SetServer(o.now, vrledger.ServerInfo{
		ID: "s", Address: "http:s", Memory: 10, Slots: 1, State: vrwire.ServerLive,
	})
	o.activate(1)
	return o
}

func (o *owner) activate(epoch vrid.Epoch) {
	out := &vrevent.Effects{}
	o.ledger.Activate(o.now, epoch, 1, out)
	o.runEffects(out)
}

// runEffects runs a tick, answers the ledger's platform calls and collects its orders.
func (o *owner) runEffects(out *vrevent.Effects) {
	o.ledger.Tick(o.now, out)
	for len(out.List) > 0 {
		effect := out.List[0]
		out.List = out.List[1:]
		switch e := effect.(type) {
		case vrevent.ReadObject:
			read := vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeNotFound}
			if o.version > 0 {
				read = vrevent.ObjectRead{Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: o.version, Value: o.value}
			}
			o.ledger.HandleRead(o.now, read, out)
			o.ledger.Flush(o.now, out)
		case vrevent.WriteObject:
			o.version++
			o.value = e.Value
			o.ledger.HandleWritten(o.now, vrevent.ObjectWritten{
				Op: e.Op, Key: e.Key, Outcome: vrplatform.OutcomeOK, Version: o.version,
			}, out)
		case vrevent.SendOrder:
			o.orders = append(o.orders, e.Order)
		}
	}
}

// advance moves the clock forward by d and runs a tick.
func (o *owner) advance(d time.Duration) {
	o.now = o.now.Add(d)
	o.runEffects(&vrevent.Effects{})
}

func (o *owner) load() {
	require.Equal(o.t, vrledger.RefusalNone, o.ledger.Apply(vrledger.Action{
		Kind: vrledger.ActionLoad, Server: "s", Model: "m", Bytes: 5, MaxReplicas: 1,
	}))
	o.runEffects(&vrevent.Effects{})
}

func (o *owner) answer(order vrengine.Order, status vrengine.OrderStatus) {
	o.ledger.HandleOrderAnswer(o.now, vrevent.OrderAnswered{
		Server: "s", Order: order, Status: status, Answer: vrengine.OrderAnswer{State: vrengine.StateLoaded},
	})
	o.runEffects(&vrevent.Effects{})
}

func (o *owner) report(boot vrid.BootID, applied ...vrid.OrderID) {
	o.ledger.HandleReport(o.now, &vrwire.LoadReport{
		Server: "s", Boot: boot, AppliedOrders: applied, TakenAt: o.now.UnixMilli(),
		Models: []vrwire.LoadedModel{{Model: "m", State: vrwire.ReplicaLoaded}},
	})
	o.runEffects(&vrevent.Effects{})
}

func (o *owner) checkUnload() vrledger.Refusal {
	return o.ledger.CheckAction(vrledger.Action{Kind: vrledger.ActionUnload, Server: "s", Model: "m"})
}

// TestUnansweredOrderIsSettledByLaterReport guards against an order that was lost in transit
// and pinned its entry until the server restarted.
func TestUnansweredOrderIsSettledByLaterReport(t *testing.T) {
	o := newOwner(t)
	o.report("s1")
	o.load()
	o.answer(o.orders[0], vrengine.OrderOutcomeUnknown)
	o.advance(2 * time.Second)
	o.answer(o.orders[1], vrengine.OrderDone)
	o.report("s1", o.orders[1].OrderID)
	require.Equal(t, vrledger.RefusalPinned, o.checkUnload())
	require.False(t, o.ledger.Quiesced(o.now))
	o.advance(31 * time.Second)
	o.report("s1", o.orders[1].OrderID)
	require.Equal(t, vrledger.RefusalNone, o.checkUnload())
	require.True(t, o.ledger.Quiesced(o.now))
}

// TestRestartSettlesOrdersBeforeFirstReport guards against orders that were sent before the
// server's first report and stayed outstanding after the server restarted.
func TestRestartSettlesOrdersBeforeFirstReport(t *testing.T) {
	o := newOwner(t)
	o.load()
	o.answer(o.orders[0], vrengine.OrderOutcomeUnknown)
	o.advance(2 * time.Second)
	o.answer(o.orders[1], vrengine.OrderDone)
	o.report("s1")
	require.Equal(t, vrledger.RefusalPinned, o.checkUnload())
	o.report("s2", o.orders[1].OrderID)
	require.Equal(t, vrledger.RefusalNone, o.checkUnload())
}

// TestOwnOrderOfEarlierEpochIsSettled guards against an entry that stayed pinned forever
// because its order was answered while another daemon held the lease, before this daemon
// acquired the lease again.
func TestOwnOrderOfEarlierEpochIsSettled(t *testing.T) {
	o := newOwner(t)
	o.report("s1")
	o.load()
	o.ledger.Deactivate()
	o.answer(o.orders[0], vrengine.OrderDone)
	o.activate(3)
	o.report("s1")
	o.ledger.DropSettledAttempts(func(vrid.DaemonID, vrid.BootID, vrid.Epoch) bool { return false })
	require.Equal(t, vrledger.RefusalNone, o.checkUnload())
}

// TestUnloadWithoutAttemptsIsResent guards against an unload that was never sent again after
// all its attempts were settled without being executed: the entry stayed in the state
// unloading and its memory was never released.
func TestUnloadWithoutAttemptsIsResent(t *testing.T) {
	o := newOwner(t)
	o.report("s1")
	o.load()
	o.answer(o.orders[0], vrengine.OrderDone)
	require.Equal(t, vrledger.RefusalNone, o.ledger.Apply(vrledger.Action{Kind: vrledger.ActionUnload, Server: "s", Model: "m"}))
	o.ledger.Deactivate()
	o.orders = nil
	o.activate(2)
	o.advance(2 * time.Second)
	require.Empty(t, o.orders, "the unload was not recorded before the lease was lost")
	require.Equal(t, vrledger.RefusalNone, o.ledger.Apply(vrledger.Action{Kind: vrledger.ActionUnload, Server: "s", Model: "m"}))
	o.runEffects(&vrevent.Effects{})
	o.answer(o.orders[0], vrengine.OrderNotSent)
	require.Equal(t, vrledger.RefusalNone, o.ledger.Apply(vrledger.Action{Kind: vrledger.ActionUnload, Server: "s", Model: "m"}))
	o.runEffects(&vrevent.Effects{})
	o.ledger.Deactivate()
	o.answer(o.orders[1], vrengine.OrderNotSent)
	o.activate(4)
	o.ledger.DropSettledAttempts(func(vrid.DaemonID, vrid.BootID, vrid.Epoch) bool { return false })
	o.advance(2 * time.Second)
	require.Len(t, o.orders, 3)
	require.Equal(t, vrengine.OrderUnload, o.orders[2].Kind)
}

// TestUnsentAttemptCountsAsIssued guards against a run that recorded an order, lost the lease
// before it sent the order and never acknowledged the next epoch, so that the entry stayed
// pinned.
func TestUnsentAttemptCountsAsIssued(t *testing.T) {
	o := newOwner(t)
	o.report("s1")
	require.False(t, o.ledger.HasIssued())
	require.Equal(t, vrledger.RefusalNone, o.ledger.Apply(vrledger.Action{
		Kind: vrledger.ActionLoad, Server: "s", Model: "m", Bytes: 5, MaxReplicas: 1,
	}))
	o.ledger.Deactivate()
	require.True(t, o.ledger.HasIssued())
	require.True(t, o.ledger.Quiesced(o.now))
}

// TestConflictingOrdersToAServerDoNotOverlap guards against an unload of one adapter during
// the load of another, which was seen in a run with nine daemons.
func TestConflictingOrdersToAServerDoNotOverlap(t *testing.T) {
	o := newOwner(t)
	o.load()
	o.answer(o.orders[0], vrengine.OrderDone)
	adapter := func(kind vrledger.ActionKind, id vrid.AdapterID) vrledger.Refusal {
		return o.ledger.Apply(vrledger.Action{Kind: kind, Server: "s", Model: "m", Adapter: id, Bytes: 1})
	}
	require.Equal(t, vrledger.RefusalNone, adapter(vrledger.ActionLoad, "a"))
	o.runEffects(&vrevent.Effects{})
	o.answer(o.orders[1], vrengine.OrderDone)
	require.Equal(t, vrledger.RefusalNone, adapter(vrledger.ActionLoad, "b"))
	require.Equal(t, vrledger.RefusalNone, adapter(vrledger.ActionLoad, "c"), "two adapter loads may run concurrently")
	require.Equal(t, vrledger.RefusalBusy, adapter(vrledger.ActionUnload, "a"))
	o.runEffects(&vrevent.Effects{})
	o.answer(o.orders[2], vrengine.OrderDone)
	o.answer(o.orders[3], vrengine.OrderDone)
	require.Equal(t, vrledger.RefusalNone, adapter(vrledger.ActionUnload, "a"))
	require.Equal(t, vrledger.RefusalBusy, adapter(vrledger.ActionLoad, "d"))
}

// TestUnusedGrantIsSettledOnceModelIsLoaded guards against an entry that stayed pinned forever
// by the attempt of its grant, which is never sent because an older order has loaded the model.
func TestUnusedGrantIsSettledOnceModelIsLoaded(t *testing.T) {
	o := newOwner(t)
	o.report("s1")
	require.Equal(t, vrledger.RefusalNone, o.ledger.Apply(vrledger.Action{
		Kind: vrledger.ActionGrant, Server: "s", Model: "m", Bytes: 5, MaxReplicas: 1,
	}))
	o.runEffects(&vrevent.Effects{})
	settle := func() {
		o.ledger.DropSettledAttempts(func(vrid.DaemonID, vrid.BootID, vrid.Epoch) bool { return false })
	}
	settle()
	require.Len(t, o.ledger.Snapshots()[0].Entries[0].Attempts, 1, "the grant can still be used")
	o.report("s1")
	settle()
	require.Equal(t, vrledger.RefusalNone, o.checkUnload())
}

// TestModelLostInRestartIsDroppedDespiteOtherOrders guards against a model that a restarted
// server lost and that stayed in the ledger as loaded. Because of orders for other entries, no
// report was taken late enough after the server's last answer (verbenabench fuzz, seed
// 600284).
func TestModelLostInRestartIsDroppedDespiteOtherOrders(t *testing.T) {
	o := newOwner(t)
	o.report("s1")
	o.load()
	o.answer(o.orders[0], vrengine.OrderDone)
	o.report("s1", o.orders[0].OrderID)
	for range 5 {
		o.advance(10 * time.Second)
		adapter := vrledger.Action{Kind: vrledger.ActionLoad, Server: "s", Model: "m", Adapter: "a", Bytes: 1}
		require.Equal(t, vrledger.RefusalNone, o.ledger.Apply(adapter))
		o.runEffects(&vrevent.Effects{})
		o.answer(o.orders[len(o.orders)-1], vrengine.OrderDone)
		adapter.Kind = vrledger.ActionUnload
		require.Equal(t, vrledger.RefusalNone, o.ledger.Apply(adapter))
		o.runEffects(&vrevent.Effects{})
		o.answer(o.orders[len(o.orders)-1], vrengine.OrderDone)
	}
	require.Equal(t, 1, o.ledger.Replicas("m"))
	o.ledger.HandleReport(o.now, &vrwire.LoadReport{Server: "s", Boot: "s2", TakenAt: o.now.UnixMilli()})
	require.Zero(t, o.ledger.Replicas("m"))
}

// TestRevokedGrantCountsUntilDurable guards against a replica that is loaded on another server
// while a successor could still read the revoked grant and load the model too.
func TestRevokedGrantCountsUntilDurable(t *testing.T) {
	o := newOwner(t)
	o.report("s1")
	grant := vrledger.Action{Kind: vrledger.ActionGrant, Server: "s", Model: "m", Bytes: 5, MaxReplicas: 1}
	require.Equal(t, vrledger.RefusalNone, o.ledger.Apply(grant))
	o.runEffects(&vrevent.Effects{})
	require.Equal(t, vrledger.RefusalNone, o.ledger.Apply(vrledger.Action{Kind: vrledger.ActionRevoke, Server: "s", Model: "m"}))
	require.Equal(t, 1, o.ledger.Replicas("m"))
	require.Equal(t, vrledger.RefusalReplicaCap, o.ledger.CheckAction(grant))
	o.runEffects(&vrevent.Effects{})
	require.Zero(t, o.ledger.Replicas("m"))
	require.Equal(t, vrledger.RefusalNone, o.ledger.CheckAction(grant))
}

// TestFenceDoesNotSettleFormerOwnersOrder guards against a fence that settles an order of a
// former owner. A server that honours fencing tokens may lose them when it restarts, and
// then executes an order that the former owner recorded and sends late. The entry must stay
// pinned until that owner is known to have stopped sending.
func TestFenceDoesNotSettleFormerOwnersOrder(t *testing.T) {
	o := newOwner(t)
	o.ledger.SetServer(o.now, vrledger.ServerInfo{
		ID: "s", Address: "http:s", Memory: 10, Slots: 1, HonorsFencing: true, State: vrwire.ServerLive,
	})
	o.answerFences()
	o.load()
	successor := vrledger.New(vrledger.Options{Zone: "z", Daemon: "e", Boot: "c", Ops: &vrevent.Ops{}})
	o.ledger, o.orders = successor, nil
	successor.SetServer(o.now, vrledger.ServerInfo{
		ID: "s", Address: "http:s", Memory: 10, Slots: 1, HonorsFencing: true, State: vrwire.ServerLive,
	})
	o.activate(2)
	o.answerFences()
	o.advance(2 * time.Second)
	o.answerAll(vrengine.OrderDone)
	unload := vrledger.Action{Kind: vrledger.ActionUnload, Server: "s", Model: "m"}
	require.Equal(t, vrledger.RefusalPinned, successor.CheckAction(unload))

	successor.DropSettledAttempts(func(issuer vrid.DaemonID, _ vrid.BootID, _ vrid.Epoch) bool { return issuer == "d" })
	require.Equal(t, vrledger.RefusalNone, successor.CheckAction(unload))
}

// TestRestartDoesNotSettleUnansweredOrder guards against an order that is executed after its
// attempt was dropped. An owner that was suspended between recording and sending the order
// sent it to a run of the server that it did not know yet, and the first report of that run
// dropped the attempt as one to the earlier run (fuzz seed 31004927).
func TestRestartDoesNotSettleUnansweredOrder(t *testing.T) {
	o := newOwner(t)
	o.report("s1")
	o.advance(31 * time.Second)
	o.load()
	o.answer(o.orders[0], vrengine.OrderOutcomeUnknown)
	o.advance(100 * time.Millisecond)
	o.ledger.HandleReport(o.now, &vrwire.LoadReport{Server: "s", Boot: "s2", TakenAt: o.now.UnixMilli()})
	require.EqualValues(t, 5, o.ledger.Reserved("s"))
}

// TestOlderReportDoesNotEndLoad guards against an order beside another one. A report that was taken
// before an unload lists the model as loaded. After the model was ordered again, that report ended
// the load in the ledger, and the server got the next order while it was still loading (fuzz seed
// 61000199, and once in the scenario flood-urgent).
func TestOlderReportDoesNotEndLoad(t *testing.T) {
	o := newOwner(t)
	o.advance(31 * time.Second)
	o.load()
	o.answer(o.orders[0], vrengine.OrderDone)
	taken := o.now.UnixMilli()
	require.Equal(t, vrledger.RefusalNone, o.ledger.Apply(vrledger.Action{Kind: vrledger.ActionUnload, Server: "s", Model: "m"}))
	o.advance(20 * time.Millisecond)
	o.answer(o.orders[1], vrengine.OrderDone)
	o.load()
	o.ledger.HandleReport(o.now, &vrwire.LoadReport{
		Server: "s", Boot: "s1", AppliedOrders: []vrid.OrderID{o.orders[0].OrderID}, TakenAt: taken,
		Models: []vrwire.LoadedModel{{Model: "m", State: vrwire.ReplicaLoaded}},
	})
	other := vrledger.Action{Kind: vrledger.ActionLoad, Server: "s", Model: "n", Bytes: 5, MaxReplicas: 1}
	require.Equal(t, vrledger.RefusalBusy, o.ledger.CheckAction(other))
	o.report("s1", o.orders[2].OrderID)
	require.Equal(t, vrledger.RefusalNone, o.ledger.CheckAction(other))
}

// TestFormerOwnersGrantIsNotRevokedBeforeReport guards against a successor that revokes a
// former owner's grant as unused. The former owner may have used the grant without another
// write before it stopped sending, and the successor then dropped the entry of a loaded model
// (fuzz seed 31006899).
func TestFormerOwnersGrantIsNotRevokedBeforeReport(t *testing.T) {
	for _, loaded := range []bool{true, false} {
		o := newOwner(t)
		grant := vrledger.Action{Kind: vrledger.ActionGrant, Server: "s", Model: "m", Bytes: 5, MaxReplicas: 1}
		require.Equal(t, vrledger.RefusalNone, o.ledger.Apply(grant))
		o.runEffects(&vrevent.Effects{})
		successor := vrledger.New(vrledger.Options{Zone: "z", Daemon: "e", Boot: "c", Ops: &vrevent.Ops{}})
		o.ledger = successor
		successor.SetServer(o.now, vrledger.ServerInfo{ID: "s", Address: "http:s", Memory: 10, Slots: 1, State: vrwire.ServerLive})
		o.activate(2)
		successor.DropSettledAttempts(func(issuer vrid.DaemonID, _ vrid.BootID, _ vrid.Epoch) bool { return issuer == "d" })
		revoke := vrledger.Action{Kind: vrledger.ActionRevoke, Server: "s", Model: "m"}
		require.Equal(t, vrledger.RefusalPinned, successor.CheckAction(revoke))
		o.advance(31 * time.Second)
		if loaded {
			o.report("s1")
			require.EqualValues(t, 5, successor.Reserved("s"))
			continue
		}
		successor.HandleReport(o.now, &vrwire.LoadReport{Server: "s", Boot: "s1", TakenAt: o.now.UnixMilli()})
		require.Zero(t, successor.Reserved("s"))
	}
}

// answerFences lets the ledger send its fence orders and answers them.
func (o *owner) answerFences() {
	o.advance(time.Second)
	o.answerAll(vrengine.OrderDone)
}

// answerAll answers the collected orders with a status and the model state loaded.
func (o *owner) answerAll(status vrengine.OrderStatus) {
	orders := o.orders
	o.orders = nil
	for _, order := range orders {
		o.ledger.HandleOrderAnswer(o.now, vrevent.OrderAnswered{
			Server: "s", Order: order, Status: status, Answer: vrengine.OrderAnswer{State: vrengine.StateLoaded},
		})
	}
	o.runEffects(&vrevent.Effects{})
}
