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

// takeoverDelay returns how long a candidate waits before it takes the lease from a holder
// that no longer renews it.
func takeoverDelay(t *testing.T, holderUnreachable bool) time.Duration {
	start := time.Unix(1_790_000_000, 0)
	value, err := vrwire.Marshal(&vrlease.Record{Holder: "d1", Boot: "b1", Epoch: 1, Chunks: 1})
	require.NoError(t, err)
	lease := vrlease.New(vrlease.Options{
		Key: "leases/z", Daemon: "d2", Boot: "b2", Ops: &vrevent.Ops{}, Random: rand.New(rand.NewPCG(1, 2)),
	})
	for now := start; now.Sub(start) < time.Minute; now = now.Add(vrevent.TickInterval) {
		out := &vrevent.Effects{}
		lease.Tick(now, vrlease.TickParams{Observe: true, Candidate: true, HolderUnreachable: holderUnreachable}, out)
		for _, effect := range out.List {
			switch e := effect.(type) {
			case vrevent.ReadObject:
				lease.HandleRead(now, vrevent.ObjectRead{Op: e.Op, Outcome: vrplatform.OutcomeOK, Version: 7, Value: value}, out)
			case vrevent.WriteObject:
				require.EqualValues(t, 7, e.IfVersion)
				return now.Sub(start)
			}
		}
	}
	t.Fatal("the expired lease was not acquired")
	return 0
}

// TestUnreachableHolderIsReplacedSooner guards against requests for models that are not loaded
// waiting for the full lease duration after the holder's process died, although no daemon can
// reach the holder.
func TestUnreachableHolderIsReplacedSooner(t *testing.T) {
	require.GreaterOrEqual(t, takeoverDelay(t, false), vrlease.Duration)
	require.Less(t, takeoverDelay(t, true), 2*time.Second)
	require.Greater(t, takeoverDelay(t, true), vrlease.RenewInterval)
}

// fakeStore stores one object. Writes without an answer are kept in delayed, to be applied
// later.
type fakeStore struct {
	version vrid.ObjectVersion
	value   []byte
	delayed []vrevent.WriteObject
}

func (s *fakeStore) apply(e vrevent.WriteObject) bool {
	if e.IfVersion != s.version {
		return false
	}
	s.version++
	s.value = e.Value
	return true
}

// answer carries out the effects and returns the resulting change. With loseAnswers, writes
// are kept for later and answered with OutcomeUnknown.
func (s *fakeStore) answer(now time.Time, lease *vrlease.Lease, out *vrevent.Effects, loseAnswers bool) vrlease.Change {
	change := vrlease.ChangeNone
	for len(out.List) > 0 {
		effects := out.List
		out.List = nil
		for _, effect := range effects {
			switch e := effect.(type) {
			case vrevent.ReadObject:
				outcome := vrplatform.OutcomeOK
				if s.version == 0 {
					outcome = vrplatform.OutcomeNotFound
				}
				change = max(change, lease.HandleRead(now, vrevent.ObjectRead{Op: e.Op, Outcome: outcome, Version: s.version, Value: s.value}, out))
			case vrevent.WriteObject:
				outcome := vrplatform.OutcomeConflict
				if loseAnswers {
					s.delayed = append(s.delayed, e)
					outcome = vrplatform.OutcomeUnknown
				} else if s.apply(e) {
					outcome = vrplatform.OutcomeOK
				}
				change = max(change, lease.HandleWritten(now, vrevent.ObjectWritten{Op: e.Op, Outcome: outcome, Version: s.version}, out))
			}
		}
	}
	return change
}

// TestUnansweredWriteDoesNotConfirmLease guards against a daemon that treats its own unanswered
// write as successful. It does not know when its lease began, and gives orders while a candidate
// that saw the write earlier takes the lease over.
func TestUnansweredWriteDoesNotConfirmLease(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := &fakeStore{}
	lease := vrlease.New(vrlease.Options{Key: "leases/f", Daemon: "d1", Boot: "b1", Ops: &vrevent.Ops{}, Random: rand.New(rand.NewPCG(1, 2))})
	params := vrlease.TickParams{Observe: true, Candidate: true}
	out := &vrevent.Effects{}
	lease.Tick(now, params, out)
	store.answer(now, lease, out, false)
	lease.Tick(now, params, out)
	store.answer(now, lease, out, true)
	require.False(t, lease.Holding())

	for _, write := range store.delayed {
		store.apply(write)
	}
	now = now.Add(2 * time.Second)
	lease.Tick(now, vrlease.TickParams{Observe: true}, out)
	store.answer(now, lease, out, false)
	require.False(t, lease.Confirmed(now), "a read shows the record, but not when it was written")

	lease.Tick(now, params, out)
	require.Equal(t, vrlease.ChangeAcquired, store.answer(now, lease, out, false))
	require.True(t, lease.Confirmed(now))
}

// TestNewHolderStaysQuietAfterAnother guards against a new holder that gives orders while the
// previous holder's last orders are still in transit: servers that ignore fencing tokens would
// get orders from two daemons alternately.
func TestNewHolderStaysQuietAfterAnother(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := &fakeStore{}
	timing := vrlease.Timing{Duration: 2 * time.Second, RenewInterval: 500 * time.Millisecond, UnreachableDuration: time.Second, QuietPeriod: 3 * time.Second}
	daemon := func(id vrid.DaemonID) *vrlease.Lease {
		return vrlease.New(vrlease.Options{
			Key: "leases/f", Daemon: id, Boot: "b", Ops: &vrevent.Ops{}, Random: rand.New(rand.NewPCG(1, 2)), Timing: timing,
		})
	}
	step := func(lease *vrlease.Lease) vrlease.Change {
		out := &vrevent.Effects{}
		lease.Tick(now, vrlease.TickParams{Observe: true, Candidate: true}, out)
		return store.answer(now, lease, out, false)
	}
	first, second := daemon("d1"), daemon("d2")
	step(first)
	require.Equal(t, vrlease.ChangeAcquired, step(first))
	require.False(t, now.Before(first.OrdersAllowedAt()), "there was no earlier holder")
	step(second)
	seen := now
	for step(second) != vrlease.ChangeAcquired {
		now = now.Add(100 * time.Millisecond)
		require.Less(t, now.Sub(seen), 10*time.Second)
	}
	require.GreaterOrEqual(t, second.OrdersAllowedAt().Sub(first.ExpiresAt()), timing.QuietPeriod)
}

// TestManyReadersDoNotReplaceHolder guards against a live holder that loses the lease because
// each of many readers reads it seldom: a new holder kept the long read interval that it had as a
// reader and so did not renew in time, and readers treated the lease as expired without reading
// it again. Among 80 daemons, the holder changed every two seconds.
func TestManyReadersDoNotReplaceHolder(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := &fakeStore{}
	timing := vrlease.Timing{
		Duration: 1500 * time.Millisecond, RenewInterval: 600 * time.Millisecond, ReadInterval: 750 * time.Millisecond,
		UnreachableDuration: 1500 * time.Millisecond, QuietPeriod: 3 * time.Second,
	}
	var leases []*vrlease.Lease
	for i := range 40 {
		leases = append(leases, vrlease.New(vrlease.Options{
			Key: "leases/f", Daemon: vrid.DaemonID(fmt.Sprint("d", i)), Boot: "b", Ops: &vrevent.Ops{},
			Random: rand.New(rand.NewPCG(uint64(i), 2)), Timing: timing,
		}))
	}
	acquired := 0
	for range 600 {
		now = now.Add(50 * time.Millisecond)
		for _, lease := range leases {
			out := &vrevent.Effects{}
			lease.Tick(now, vrlease.TickParams{Observe: true, Candidate: true, Readers: 80}, out)
			if store.answer(now, lease, out, false) == vrlease.ChangeAcquired {
				acquired++
			}
		}
	}
	require.Equal(t, 1, acquired)
}

// TestLaggingReadsAreNotRepeated guards against observers that repeat a read on every tick when a
// store whose ordinary reads lag returns an older version. With 90 daemons, this made some
// thousand calls a second (hfw-fit-grown scale-1).
func TestLaggingReadsAreNotRepeated(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	value := func(renewal uint64) []byte {
		data, err := vrwire.Marshal(&vrlease.Record{Holder: "d1", Boot: "b1", Epoch: 1, Renewal: renewal, Chunks: 1})
		require.NoError(t, err)
		return data
	}
	lease := vrlease.New(vrlease.Options{Key: "leases/f", Daemon: "d2", Boot: "b2", Ops: &vrevent.Ops{}, Random: rand.New(rand.NewPCG(1, 2))})
	reads := 0
	version := vrid.ObjectVersion(9)
	for range 200 {
		now = now.Add(25 * time.Millisecond)
		out := &vrevent.Effects{}
		lease.Tick(now, vrlease.TickParams{Observe: true, Candidate: true}, out)
		for _, effect := range out.List {
			e, ok := effect.(vrevent.ReadObject)
			require.True(t, ok, "the lease must not be acquired")
			reads++
			seen := version
			if e.Fresh {
				// The holder is alive and renews, which only a fresh read shows.
				version++
				seen = version
			} else if reads > 1 {
				seen = 4
			}
			lease.HandleRead(now, vrevent.ObjectRead{Op: e.Op, Outcome: vrplatform.OutcomeOK, Version: seen, Value: value(uint64(seen))}, out)
		}
	}
	require.LessOrEqual(t, reads, 12)
}

// TestNewRunOfSameDaemonStaysQuiet guards against a daemon that takes the lease over, restarts
// immediately and no longer knows of the previous holder: it gave orders a moment after that
// holder's orders (verbenabench fuzz --gateway, seed 301).
func TestNewRunOfSameDaemonStaysQuiet(t *testing.T) {
	const quiet = 3 * time.Second
	orderDelay := func(ordersAllowed bool) time.Duration {
		now := time.Unix(1_790_000_000, 0)
		value, err := vrwire.Marshal(&vrlease.Record{Holder: "d1", Boot: "b1", Epoch: 4, Chunks: 1, OrdersAllowed: ordersAllowed})
		require.NoError(t, err)
		store := &fakeStore{version: 7, value: value}
		lease := vrlease.New(vrlease.Options{
			Key: "leases/f", Daemon: "d1", Boot: "b2", Ops: &vrevent.Ops{}, Random: rand.New(rand.NewPCG(1, 2)),
			Timing: vrlease.Timing{Duration: quiet / 2, RenewInterval: quiet / 5, QuietPeriod: quiet},
		})
		out := &vrevent.Effects{}
		for range 2 {
			lease.Tick(now, vrlease.TickParams{Observe: true, Candidate: true}, out)
			store.answer(now, lease, out, false)
		}
		require.True(t, lease.Confirmed(now))
		require.Equal(t, now, lease.OtherRunEnd(), "the loads of the earlier run are unknown")
		return max(0, lease.OrdersAllowedAt().Sub(now))
	}
	require.Equal(t, quiet, orderDelay(false))
	require.Zero(t, orderDelay(true), "the earlier run was already allowed to give orders")
}
