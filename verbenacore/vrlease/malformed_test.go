package vrlease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
)

// Guards against a fleet without an owner for good, and against orders of two owners, after another
// writer has overwritten the lease with a value that is no record.
func TestMalformedRecordIsReplaced(t *testing.T) {
	for _, number := range []vrid.StoreEra{0, 1} {
		now := time.Unix(1_790_000_000, 0)
		store := newRestoredStore()
		store.era, store.state.era = number, number
		holder := newStoreClient(store, &now, "d1", "b1")
		holder.acquire(t)
		held := holder.lease.Epoch()
		store.state.revision++
		store.state.objectRevision, store.state.value = store.state.revision, []byte("odd")
		overwritten, ordersEnd := now, holder.lease.ExpiresAt()
		now = now.Add(restoreTiming.ReadInterval)
		holder.step(false)
		holder.step(false)
		require.False(t, holder.lease.Holding())

		next := newStoreClient(store, &now, "d2", "b1")
		next.acquire(t)
		require.Less(t, now.Sub(overwritten), 3*restoreTiming.Duration)
		require.Greater(t, next.lease.Epoch(), held)
		require.False(t, next.lease.OrdersAllowedAt().Before(ordersEnd.Add(restoreTiming.QuietPeriod)))
		require.Equal(t, vrlease.ChangeNone, next.step(true))
		require.True(t, next.lease.Confirmed(now))
	}
}
