package vrlease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrwire"
)

// longClient returns a client whose lease uses the long hold.
func longClient(store *restoredStore, now *time.Time, daemon vrid.DaemonID) *storeClient {
	client := newStoreClient(store, now, daemon, "b1")
	client.params = vrlease.TickParams{LongHolds: true, HoldLong: true}
	return client
}

// acquireOrders steps the lease until its holder may give orders and has written that.
func (c *storeClient) acquireOrders(t *testing.T) {
	t.Helper()
	c.acquire(t)
	for !c.store.record(t).OrdersAllowed {
		*c.now = c.now.Add(50 * time.Millisecond)
		c.step(true)
	}
}

// Guards against a holder that others replace within its hold, and against one whose hold outlasts what the
// others wait.
func TestHoldOfRecord(t *testing.T) {
	for _, test := range []struct {
		name     string
		long     bool
		proof    bool
		released time.Duration
		// acquired and ordersAllowed are the earliest times since the holder's last write.
		acquired, ordersAllowed time.Duration
	}{
		{name: "default", acquired: 1500 * time.Millisecond, ordersAllowed: 4500 * time.Millisecond},
		{name: "long", long: true, acquired: 9 * time.Second, ordersAllowed: 12 * time.Second},
		{name: "long, proof of its end", long: true, proof: true, ordersAllowed: 3800 * time.Millisecond},
		{name: "long, released with orders at once", long: true, released: 0, ordersAllowed: 3 * time.Second},
		{name: "long, released 2 s after its last order", long: true, released: 2 * time.Second, ordersAllowed: time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			const slack = 1200 * time.Millisecond
			now := time.Unix(1_790_000_000, 0)
			store := newRestoredStore()
			holder := newStoreClient(store, &now, "d1", "b1")
			next := newStoreClient(store, &now, "d2", "b1")
			if test.long {
				holder, next = longClient(store, &now, "d1"), longClient(store, &now, "d2")
			}
			holder.acquireOrders(t)
			next.step(false)
			written := now
			switch {
			case test.proof:
				require.False(t, next.lease.HolderEnded(now, "d1", "b0"), "another run")
				require.True(t, next.lease.HolderEnded(now, "d1", "b1"))
				require.False(t, next.lease.HolderEnded(now, "d1", "b1"), "known already")
			case test.acquired == 0:
				holder.lease.SetOrdersEnded(now.Add(-test.released))
				holder.release(t)
				next.lease.ReadFreshSoon()
				next.step(false)
			}
			next.acquire(t)
			require.GreaterOrEqual(t, now.Sub(written), test.acquired)
			require.LessOrEqual(t, now.Sub(written), test.acquired+slack)
			require.GreaterOrEqual(t, next.lease.OrdersAllowedAt().Sub(written), test.ordersAllowed-time.Millisecond)
			require.LessOrEqual(t, next.lease.OrdersAllowedAt().Sub(written), test.ordersAllowed+slack)
		})
	}
}

// Guards against a holder that goes on by its long hold after it has written a shorter one without an answer:
// the others count from the shorter one if it took effect.
func TestUnansweredShorterHoldCounts(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	holder := longClient(newRestoredStore(), &now, "d1")
	holder.acquireOrders(t)
	require.Equal(t, now.Add(restoreTiming.LongHold), holder.lease.ExpiresAt())
	now = now.Add(restoreTiming.RenewInterval)
	holder.params.HoldLong, holder.loseAnswers = false, true
	holder.step(true)
	require.Equal(t, now.Add(restoreTiming.Duration), holder.lease.ExpiresAt())
}

// Guards against a new holder with a long hold that may not give orders yet: a late write of the former one
// may replace its record after a restore, and it would still count as the holder when its wait ends.
func TestHolderWithoutOrdersHoldsShortly(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := newRestoredStore()
	longClient(store, &now, "d1").acquireOrders(t)
	next := longClient(store, &now, "d2")
	next.acquire(t)
	require.Zero(t, store.record(t).Hold)
	require.Equal(t, now.Add(restoreTiming.Duration), next.lease.ExpiresAt())
	for now.Before(next.lease.OrdersAllowedAt().Add(restoreTiming.RenewInterval)) {
		now = now.Add(50 * time.Millisecond)
		next.step(true)
	}
	require.EqualValues(t, restoreTiming.LongHold.Milliseconds(), store.record(t).Hold)
}

// Guards against a daemon that starts after a restore and sees only a holder that may not give orders yet: it
// can't know how long the holder of the former era may go on unless the record says it.
func TestFormerHoldIsPassedOn(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := newRestoredStore()
	copied := store.state
	longClient(store, &now, "d1").acquireOrders(t)
	restored := now
	store.restore(copied)
	second := longClient(store, &now, "d2")
	second.acquire(t)
	third := newStoreClient(store, &now, "d3", "b1")
	third.acquire(t)
	require.GreaterOrEqual(t, third.lease.OrdersAllowedAt().Sub(restored), restoreTiming.LongHold+restoreTiming.QuietPeriod)
}

// Guards against a lease that nobody can acquire, or whose next holder never gives orders, because its record states
// a hold without an end or an order that ended at a time beyond the range of a duration.
func TestEndlessHoldIsMalformed(t *testing.T) {
	for _, record := range []vrlease.Record{
		{Hold: uint64(time.Hour.Milliseconds())},
		{FormerHold: uint64(time.Hour.Milliseconds())},
		{Released: true, OrdersEnded: 1 << 43},
	} {
		record.Holder, record.Boot, record.Epoch = "d1", "b1", 1
		var problem *vrwire.DecodeError
		require.ErrorAs(t, record.Validate(), &problem)
		require.Equal(t, "hold", problem.Field)
	}
}

// Guards against a fresh daemon that reads a restored lease before it has the catalog, counts the unknown holder by
// the default hold, and gives orders beside that holder, which has lost the store.
func TestUnknownHolderCountsByHoldLearnedLater(t *testing.T) {
	for _, record := range []bool{false, true} {
		now := time.Unix(1_790_000_000, 0)
		store := newRestoredStore()
		if record {
			newStoreClient(store, &now, "d0", "b1").acquire(t)
		}
		copied := store.state
		holder := longClient(store, &now, "d1")
		holder.acquireOrders(t)
		store.restore(copied)
		fresh := newStoreClient(store, &now, "d2", "b1")
		fresh.step(false)
		fresh.params = vrlease.TickParams{LongHolds: true, HoldLong: true}
		fresh.acquire(t)
		quiet := fresh.lease.OrdersAllowedAt().Sub(holder.lease.ExpiresAt())
		require.GreaterOrEqual(t, quiet, restoreTiming.QuietPeriod, "copy with a record: %t", record)
	}
}

// Guards against an order on its way that is written by the former hold of a run that has lost the lease and written
// a shorter hold since, whose answer was lost.
func TestShorterHoldWrittenWithoutLeaseCounts(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := newRestoredStore()
	store.era, store.state.era = 0, 0
	holder := longClient(store, &now, "d1")
	holder.acquireOrders(t)
	require.Equal(t, vrlease.ChangeLost, holder.lease.HandleNewerEpoch(now, holder.lease.Epoch()+1))
	holder.params.HoldLong = false
	holder.step(false)
	out := &vrevent.Effects{}
	holder.lease.Tick(now, holder.params, out)
	require.Len(t, out.List, 1)
	require.IsType(t, vrevent.WriteObject{}, out.List[0])
	require.False(t, holder.lease.ExpiresAt().After(now.Add(restoreTiming.Duration)))
}
