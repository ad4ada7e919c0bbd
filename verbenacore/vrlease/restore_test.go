package vrlease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// restoreTiming has the proportions that the gateway uses.
var restoreTiming = vrlease.Timing{
	Duration: 1500 * time.Millisecond, RenewInterval: 600 * time.Millisecond, ReadInterval: 750 * time.Millisecond,
	UnreachableDuration: 1500 * time.Millisecond, QuietPeriod: 3 * time.Second, LongHold: 9 * time.Second,
}

// storeState is the state of the lease's object at one revision of the store. The object does not
// exist if objectRevision is zero.
type storeState struct {
	era            vrid.StoreEra
	revision       uint64
	objectRevision uint64
	value          []byte
}

// restoredStore stores one object and can be restored from a copy. Like the platform's store it
// compares revisions only, not eras.
type restoredStore struct {
	era   vrid.StoreEra
	state storeState
	// history holds the former states of all eras.
	history []storeState
}

func newRestoredStore() *restoredStore {
	return &restoredStore{era: 1, state: storeState{era: 1, revision: 100}}
}

// write carries out a write and reports whether its condition held.
func (s *restoredStore) write(e vrevent.WriteObject) bool {
	if e.IfVersion.Revision() != s.state.objectRevision {
		return false
	}
	s.history = append(s.history, s.state)
	s.state.revision++
	s.state.objectRevision, s.state.value = s.state.revision, e.Value
	return true
}

// restore starts a new era with a former state.
func (s *restoredStore) restore(copied storeState) {
	s.era++
	s.history = append(s.history, s.state)
	s.state = copied
	s.state.era = s.era
}

// readState returns the result of a read that sees a state.
func (s *restoredStore) readState(e vrevent.ReadObject, state storeState) vrevent.ObjectRead {
	version, _ := vrid.NewObjectVersion(state.era, state.objectRevision)
	outcome := vrplatform.OutcomeOK
	if state.objectRevision == 0 {
		outcome = vrplatform.OutcomeNotFound
	}
	return vrevent.ObjectRead{Op: e.Op, Outcome: outcome, Version: version, Value: state.value}
}

// written returns the result of a write as the store's client reports it.
func (s *restoredStore) written(e vrevent.WriteObject, applied bool) vrevent.ObjectWritten {
	version, _ := vrid.NewObjectVersion(s.era, s.state.objectRevision)
	switch {
	case !applied:
		return vrevent.ObjectWritten{Op: e.Op, Outcome: vrplatform.OutcomeConflict}
	case e.IfVersion.Revision() != 0 && e.IfVersion.Era() != s.era:
		return vrevent.ObjectWritten{Op: e.Op, Outcome: vrplatform.OutcomeUnknown}
	}
	return vrevent.ObjectWritten{Op: e.Op, Outcome: vrplatform.OutcomeOK, Version: version}
}

// storeClient is a daemon with its lease and a virtual clock that the daemons of a test share.
type storeClient struct {
	lease *vrlease.Lease
	store *restoredStore
	now   *time.Time
	// loseAnswers makes writes end with an unknown outcome. They are kept in late.
	loseAnswers bool
	late        []vrevent.WriteObject
	// stale is what ordinary reads show, if it is set.
	stale *storeState
	// writtenOn holds the versions on which writes were sent.
	writtenOn []vrid.ObjectVersion
	// params are those of the ticks, apart from the part as an observer or a candidate.
	params vrlease.TickParams
}

func newStoreClient(store *restoredStore, now *time.Time, daemon vrid.DaemonID, boot vrid.BootID) *storeClient {
	return &storeClient{store: store, now: now, lease: vrlease.New(vrlease.Options{
		Key: "leases/f", Daemon: daemon, Boot: boot, Ops: &vrevent.Ops{}, Random: rand.New(rand.NewPCG(1, 2)), Timing: restoreTiming, ReplaceMalformed: true,
	})}
}

// step ticks the lease and answers its calls. It returns the resulting change.
func (c *storeClient) step(candidate bool) vrlease.Change {
	out := &vrevent.Effects{}
	params := c.params
	params.Observe, params.Candidate = true, candidate
	c.lease.Tick(*c.now, params, out)
	return c.answer(out)
}

// release releases the lease.
func (c *storeClient) release(t *testing.T) {
	t.Helper()
	out := &vrevent.Effects{}
	c.lease.Release(*c.now, out)
	require.Equal(t, vrlease.ChangeLost, c.answer(out))
}

// answer answers the lease's calls. It returns the resulting change.
func (c *storeClient) answer(out *vrevent.Effects) vrlease.Change {
	change := vrlease.ChangeNone
	for len(out.List) > 0 {
		effects := out.List
		out.List = nil
		for _, effect := range effects {
			switch e := effect.(type) {
			case vrevent.ReadObject:
				state := c.store.state
				if c.stale != nil && !e.Fresh {
					state = *c.stale
				}
				change = max(change, c.lease.HandleRead(*c.now, c.store.readState(e, state), out))
			case vrevent.WriteObject:
				change = max(change, c.lease.HandleWritten(*c.now, c.answerWrite(e), out))
			}
		}
	}
	return change
}

func (c *storeClient) answerWrite(e vrevent.WriteObject) vrevent.ObjectWritten {
	c.writtenOn = append(c.writtenOn, e.IfVersion)
	switch {
	case c.loseAnswers:
		c.late = append(c.late, e)
		return vrevent.ObjectWritten{Op: e.Op, Outcome: vrplatform.OutcomeUnknown}
	case e.IfVersion.Revision() != 0 && e.IfVersion.Era() != c.store.era:
		return vrevent.ObjectWritten{Op: e.Op, Outcome: vrplatform.OutcomeConflict}
	}
	return c.store.written(e, c.store.write(e))
}

// acquire steps the lease until it is acquired.
func (c *storeClient) acquire(t *testing.T) {
	t.Helper()
	start := *c.now
	for c.step(true) != vrlease.ChangeAcquired {
		*c.now = c.now.Add(50 * time.Millisecond)
		require.Less(t, c.now.Sub(start), 10*time.Second, "the lease was not acquired")
	}
}

// record returns the stored record.
func (s *restoredStore) record(t *testing.T) *vrlease.Record {
	t.Helper()
	record, err := vrwire.Unmarshal[vrlease.Record](s.state.value)
	require.NoError(t, err)
	return record
}

// Guards against a fencing epoch that is given out again: a restore brings back a record from before
// the last acquisition, and the next daemon to acquire the lease has never seen that acquisition.
func TestEpochIsNotRepeatedAfterRestore(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := newRestoredStore()
	newStoreClient(store, &now, "d1", "b1").acquire(t)
	copied := store.state
	highest := vrid.Epoch(0)
	for i := range 3 {
		second := newStoreClient(store, &now, vrid.DaemonID(fmt.Sprint("e", i)), "b1")
		second.acquire(t)
		require.Greater(t, second.lease.Epoch(), highest)
		highest = second.lease.Epoch()
		store.restore(copied)
	}
	require.Less(t, highest, vrid.Epoch(1)<<53, "a JSON number is exact only below that")
}

// Guards against the same after a late write of a former era has replaced the record with the highest
// epoch, because the object has the expected revision again.
func TestEpochIsNotRepeatedAfterLateWrite(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := newRestoredStore()
	first := newStoreClient(store, &now, "d1", "b1")
	first.acquire(t)
	copied := store.state
	now = now.Add(restoreTiming.RenewInterval)
	first.step(true)
	first.loseAnswers = true
	now = now.Add(restoreTiming.RenewInterval)
	first.step(true)
	require.Len(t, first.late, 1)
	store.restore(copied)

	second := newStoreClient(store, &now, "d2", "b1")
	second.acquire(t)
	require.True(t, store.write(first.late[0]))
	require.Less(t, store.record(t).Epoch, second.lease.Epoch())
	third := newStoreClient(store, &now, "d3", "b1")
	third.acquire(t)
	require.Greater(t, third.lease.Epoch(), second.lease.Epoch())
}

// Guards against a lease that no daemon acquires any more because a restore brought back a state from
// before the object was created: each daemon took its absence for a stale read.
func TestLeaseIsAcquiredAfterRestoreWithoutObject(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := newRestoredStore()
	copied := store.state
	first, second := newStoreClient(store, &now, "d1", "b1"), newStoreClient(store, &now, "d2", "b1")
	first.acquire(t)
	second.step(true)
	store.restore(copied)
	now = now.Add(restoreTiming.ReadInterval)
	require.Equal(t, vrlease.ChangeLost, first.step(true))
	second.acquire(t)
	require.Less(t, now.Sub(time.Unix(1_790_000_000, 0)), 2*restoreTiming.Duration)

	// A read from before the creation or from a former era does not free the lease.
	held := second.lease.Epoch()
	for _, version := range []vrid.ObjectVersion{0, era(1, 0), era(2, 0), era(1, 1000)} {
		out := &vrevent.Effects{}
		for _, outcome := range []vrplatform.Outcome{vrplatform.OutcomeNotFound, vrplatform.OutcomeOK} {
			second.lease.HandleRead(now, vrevent.ObjectRead{Outcome: outcome, Version: version, Value: store.state.value}, out)
			require.True(t, second.lease.Confirmed(now))
			require.Equal(t, held, second.lease.Epoch())
		}
	}
	now = now.Add(restoreTiming.RenewInterval)
	require.Equal(t, vrlease.ChangeNone, second.step(true))
	require.Equal(t, now.Add(restoreTiming.Duration), second.lease.ExpiresAt(), "renewed on the version of its last write")
}

// era returns the version of a revision in an era.
func era(number vrid.StoreEra, revision uint64) vrid.ObjectVersion {
	version, _ := vrid.NewObjectVersion(number, revision)
	return version
}

// Guards against a new holder that gives orders beside the holder of the former era. What the restore
// brings back says nothing about who held the lease since: a released record, one of an earlier run
// of this daemon that was allowed to give orders, or no object.
func TestNewHolderStaysQuietAfterRestore(t *testing.T) {
	for _, test := range []struct {
		name               string
		created, released  bool
		holder             vrid.DaemonID
		startedBefore      bool
		runsBetween, spans int
	}{
		{name: "no object", holder: "d2", startedBefore: true, spans: 1},
		{name: "no object, new run", holder: "d2", spans: 1},
		{name: "released record", created: true, released: true, holder: "d3", startedBefore: true, spans: 1},
		{name: "released record, new run", created: true, released: true, holder: "d3", spans: 1},
		{name: "record of an earlier run", created: true, holder: "d2", spans: 1},
		{name: "record of an earlier run, several restores", created: true, holder: "d2", spans: 3},
		{name: "record of an earlier run that acquired after the restore", created: true, released: true, holder: "d3", spans: 1, runsBetween: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_790_000_000, 0)
			store := newRestoredStore()
			out := &vrevent.Effects{}
			if test.created {
				former := newStoreClient(store, &now, test.holder, "b1")
				former.acquire(t)
				if wait := former.lease.OrdersAllowedAt().Sub(now); wait > 0 {
					now = now.Add(wait)
				}
				now = now.Add(restoreTiming.RenewInterval)
				former.step(true)
				if test.released {
					former.lease.Release(now, out)
					require.True(t, store.write(out.List[0].(vrevent.WriteObject)))
				}
				require.True(t, store.record(t).OrdersAllowed)
			}
			copied := store.state
			holder := newStoreClient(store, &now, "d1", "b1")
			holder.acquire(t)
			second := newStoreClient(store, &now, "d2", "b2")
			if test.startedBefore {
				second.step(false)
			}
			now = now.Add(restoreTiming.RenewInterval)
			holder.step(true)
			for range test.spans {
				store.restore(copied)
			}
			for range test.runsBetween {
				newStoreClient(store, &now, "d2", "b1").acquire(t)
			}
			now = now.Add(restoreTiming.ReadInterval)
			second.acquire(t)
			require.GreaterOrEqual(t, second.lease.OrdersAllowedAt().Sub(holder.lease.ExpiresAt()), restoreTiming.QuietPeriod)
			require.GreaterOrEqual(t, second.lease.OtherRunEnd(), holder.lease.ExpiresAt())
		})
	}
}

// Guards against a record of this era that is treated as one of a former era: a new run of the same
// daemon would wait although no other daemon can have given orders.
func TestNewRunDoesNotWaitInSameEra(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := newRestoredStore()
	first := newStoreClient(store, &now, "d1", "b1")
	first.acquire(t)
	now = first.lease.OrdersAllowedAt()
	first.step(true)
	require.True(t, store.record(t).OrdersAllowed)
	second := newStoreClient(store, &now, "d1", "b2")
	second.acquire(t)
	require.False(t, now.Before(second.lease.OrdersAllowedAt()))
}

// Guards against a late write of a former era that is taken for a confirmation: its daemon went on
// with the epoch of that write beside the holder whose record the write replaced.
func TestLateWriteOfFormerEraIsNotConfirmed(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := newRestoredStore()
	first := newStoreClient(store, &now, "d1", "b1")
	first.acquire(t)
	copied := store.state
	now = now.Add(restoreTiming.RenewInterval)
	first.step(true)
	first.loseAnswers = true
	now = now.Add(restoreTiming.RenewInterval)
	first.step(true)
	first.loseAnswers = false
	require.Len(t, first.late, 1)
	store.restore(copied)
	now = now.Add(restoreTiming.Duration)
	second := newStoreClient(store, &now, "d2", "b1")
	second.acquire(t)
	first.step(false)
	require.False(t, first.lease.Holding())

	require.True(t, store.write(first.late[0]))
	replaced := now
	now = now.Add(restoreTiming.ReadInterval)
	first.acquire(t)
	require.Greater(t, first.lease.Epoch(), second.lease.Epoch())
	require.False(t, first.lease.OrdersAllowedAt().Before(replaced.Add(restoreTiming.Duration+restoreTiming.QuietPeriod)))
}

// Guards against the same for a write that creates the object, which the store carries out in any era
// in which there is none.
func TestCreationMeetingNewEraIsNotConfirmed(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := newRestoredStore()
	copied := store.state
	first := newStoreClient(store, &now, "d1", "b1")
	first.step(false)
	store.restore(copied)
	require.Equal(t, vrlease.ChangeNone, first.step(true))
	require.Equal(t, vrid.StoreEra(1), store.record(t).Era)
	require.False(t, first.lease.Confirmed(now))
	first.acquire(t)
	require.Equal(t, vrid.StoreEra(2), store.record(t).Era)
	require.Greater(t, first.lease.Epoch(), vrid.Epoch(2)<<37)
}

// TestHolderGoesOnAfterRestore guards against a needless change of the holder: its own record came
// back and nobody else can have given orders.
func TestHolderGoesOnAfterRestore(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := newRestoredStore()
	holder := newStoreClient(store, &now, "d1", "b1")
	holder.acquire(t)
	ordersAllowedAt := holder.lease.OrdersAllowedAt()
	copied := store.state
	for restores := range 3 {
		now = now.Add(restoreTiming.RenewInterval)
		holder.step(true)
		store.restore(copied)
		confirmed := holder.lease.ExpiresAt()
		now = now.Add(restoreTiming.RenewInterval)
		require.Equal(t, vrlease.ChangeNone, holder.step(true))
		require.Equal(t, confirmed, holder.lease.ExpiresAt(), "the lease is not confirmed in the new era")
		now = now.Add(restoreTiming.ReadInterval)
		for range 2 {
			require.Equal(t, vrlease.ChangeNone, holder.step(true))
		}
		require.Equal(t, now.Add(restoreTiming.Duration), holder.lease.ExpiresAt())
		require.Equal(t, vrid.StoreEra(restores+2), store.record(t).Era)
		require.Equal(t, ordersAllowedAt, holder.lease.OrdersAllowedAt())
	}
}

// Guards against a former holder that goes on with its record of a former era although another daemon
// may have acquired the lease and given orders since.
func TestHolderStepsDownAfterRestore(t *testing.T) {
	for _, test := range []struct {
		name     string
		restores int
		silence  time.Duration
		older    bool
	}{
		{name: "lease expired", restores: 1, silence: restoreTiming.Duration},
		{name: "two restores", restores: 2, silence: restoreTiming.RenewInterval},
		{name: "record of an earlier acquisition", restores: 1, silence: restoreTiming.RenewInterval, older: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_790_000_000, 0)
			store := newRestoredStore()
			holder := newStoreClient(store, &now, "d1", "b1")
			holder.acquire(t)
			copied := store.state
			if test.older {
				other := newStoreClient(store, &now, "d2", "b1")
				other.acquire(t)
				now = now.Add(restoreTiming.RenewInterval)
				holder.step(false)
				require.False(t, holder.lease.Holding())
				holder.acquire(t)
			}
			epoch := holder.lease.Epoch()
			for range test.restores {
				store.restore(copied)
			}
			now = now.Add(test.silence)
			require.Equal(t, vrlease.ChangeLost, holder.step(false))
			require.False(t, holder.lease.Confirmed(now))
			seen := now
			holder.acquire(t)
			require.Greater(t, holder.lease.Epoch(), epoch)
			require.False(t, holder.lease.OrdersAllowedAt().Before(seen.Add(restoreTiming.Duration+restoreTiming.QuietPeriod)))
		})
	}
}

// Guards against a stale read from before a restore that already states the new era. Its revision may
// be above the store's, so that newer records seemed older, and a write on it was carried out as soon
// as the object had that revision, whoever held the lease then.
func TestStaleReadStatingNewEraIsNotWrittenOn(t *testing.T) {
	for _, exists := range []bool{true, false} {
		now := time.Unix(1_790_000_000, 0)
		store := newRestoredStore()
		copied := store.state
		first := newStoreClient(store, &now, "d1", "b1")
		first.acquire(t)
		if exists {
			copied = store.state
		}
		for range 5 {
			now = now.Add(restoreTiming.RenewInterval)
			first.step(true)
		}
		stale := store.state
		store.restore(copied)
		stale.era = store.era

		second := newStoreClient(store, &now, "d2", "b1")
		second.stale = &stale
		for step := range 160 {
			if step == 40 {
				second.stale = nil
			}
			now = now.Add(50 * time.Millisecond)
			second.step(true)
		}
		require.True(t, second.lease.Confirmed(now))
		require.Equal(t, era(store.era, copied.objectRevision), second.writtenOn[0])
	}
}

// Guards against a lease that seems unchanged since a stale read stated the revision of a later record:
// a candidate acquired it although its holder had just renewed it.
func TestRecordAtRevisionOfStaleReadCountsAsChange(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := newRestoredStore()
	first := newStoreClient(store, &now, "d1", "b1")
	first.acquire(t)
	copied := store.state
	for range 3 {
		now = now.Add(restoreTiming.RenewInterval)
		first.step(true)
	}
	stale := store.state
	store.restore(copied)
	stale.era = store.era
	second := newStoreClient(store, &now, "d2", "b1")
	second.stale = &stale
	second.step(true)
	seen := now
	for store.state.objectRevision != stale.objectRevision {
		now = now.Add(50 * time.Millisecond)
		first.step(true)
	}
	require.Greater(t, now.Sub(seen), restoreTiming.Duration+300*time.Millisecond)
	require.True(t, first.lease.Confirmed(now))
	second.stale = nil
	for range 3 {
		second.step(true)
	}
	require.Empty(t, second.writtenOn)
	require.True(t, first.lease.Confirmed(now))
}
