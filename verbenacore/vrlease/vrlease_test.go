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

// lapseOf returns how long a candidate waits for a holder that no longer renews.
func lapseOf(t *testing.T, suspected bool) time.Duration {
	start := time.Unix(1_790_000_000, 0)
	value, err := vrwire.Marshal(&vrlease.Record{Holder: "d1", Boot: "b1", Epoch: 1, Chunks: 1})
	require.NoError(t, err)
	lease := vrlease.New(vrlease.Options{
		Key: "leases/z", Daemon: "d2", Boot: "b2", Ops: &vrevent.Ops{}, Random: rand.New(rand.NewPCG(1, 2)),
	})
	for now := start; now.Sub(start) < time.Minute; now = now.Add(vrevent.TickInterval) {
		out := &vrevent.Effects{}
		lease.Tick(now, vrlease.TickParams{Observe: true, Candidate: true, HolderUnreachable: suspected}, out)
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
	t.Fatal("the lapsed lease was not taken")
	return 0
}

// Cold requests waited for the whole lease after its holder's process had died, although
// nobody could reach it.
func TestSuspectedHolderIsReplacedSooner(t *testing.T) {
	require.GreaterOrEqual(t, lapseOf(t, false), vrlease.Duration)
	require.Less(t, lapseOf(t, true), 2*time.Second)
	require.Greater(t, lapseOf(t, true), vrlease.RenewInterval)
}

// fakeStore holds one object; a write may be done without an answer, also later.
type fakeStore struct {
	version vrid.ObjectVersion
	value   []byte
	late    []vrevent.WriteObject
}

func (s *fakeStore) apply(e vrevent.WriteObject) bool {
	if e.IfVersion != s.version {
		return false
	}
	s.version++
	s.value = e.Value
	return true
}

// answer carries out the effects; mute writes are kept for later and answered as unknown.
func (s *fakeStore) answer(now time.Time, lease *vrlease.Lease, out *vrevent.Effects, mute bool) vrlease.Change {
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
				if mute {
					s.late = append(s.late, e)
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

// A holder that takes its own unanswered write for a success gives orders on a hold whose
// begin it does not know, while a candidate that saw the write earlier takes over.
func TestUnansweredWriteIsNoHold(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	store := &fakeStore{}
	lease := vrlease.New(vrlease.Options{Key: "leases/f", Daemon: "d1", Boot: "b1", Ops: &vrevent.Ops{}, Random: rand.New(rand.NewPCG(1, 2))})
	request := vrlease.TickParams{Observe: true, Candidate: true}
	out := &vrevent.Effects{}
	lease.Tick(now, request, out)
	store.answer(now, lease, out, false)
	lease.Tick(now, request, out)
	store.answer(now, lease, out, true)
	require.False(t, lease.Holding())

	for _, write := range store.late {
		store.apply(write)
	}
	now = now.Add(2 * time.Second)
	lease.Tick(now, vrlease.TickParams{Observe: true}, out)
	store.answer(now, lease, out, false)
	require.False(t, lease.Confirmed(now), "a read shows the record, but not since when it stands")

	lease.Tick(now, request, out)
	require.Equal(t, vrlease.ChangeAcquired, store.answer(now, lease, out, false))
	require.True(t, lease.Confirmed(now))
}

// Servers that ignore fencing numbers would get orders of two machines by turns when a new
// holder begins while the former one's last orders are still on their way.
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
	require.False(t, now.Before(first.OrdersAllowedAt()), "nobody held it before")
	step(second)
	seen := now
	for step(second) != vrlease.ChangeAcquired {
		now = now.Add(100 * time.Millisecond)
		require.Less(t, now.Sub(seen), 10*time.Second)
	}
	require.GreaterOrEqual(t, second.OrdersAllowedAt().Sub(first.ExpiresAt()), timing.QuietPeriod)
}

// With many readers each reads seldom; the pause that a holder took over from its time as a
// reader kept it from renewing, and readers took a lease for lapsed that they had not read
// again. Ownership passed on every two seconds among 80 daemons.
func TestManyReadersLeaveTheHolderAlone(t *testing.T) {
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

// A store whose cheap reads lag shows an older version. Observers read it on every tick to
// look again, some thousand calls a second of 90 daemons (hfw-fit-grown scale-1).
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
			require.True(t, ok, "the lease must not be taken")
			reads++
			seen := version
			if e.Fresh {
				// The holder lives and renews, which only a fresh read shows.
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

// A machine that took the lease over and started again at once knew of no other machine
// and gave orders a moment after the former holder's (fuzz --gateway, seed 301).
func TestNewRunOfTheMachineStaysQuietToo(t *testing.T) {
	const quiet = 3 * time.Second
	ordersIn := func(settled bool) time.Duration {
		now := time.Unix(1_790_000_000, 0)
		value, err := vrwire.Marshal(&vrlease.Record{Holder: "d1", Boot: "b1", Epoch: 4, Chunks: 1, Settled: settled})
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
		require.Equal(t, now, lease.OtherRunEnd(), "the earlier run's loads are not known")
		return max(0, lease.OrdersAllowedAt().Sub(now))
	}
	require.Equal(t, quiet, ordersIn(false))
	require.Zero(t, ordersIn(true), "the earlier run was allowed to give orders already")
}
