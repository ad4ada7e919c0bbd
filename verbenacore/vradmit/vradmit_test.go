package vradmit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vradmit"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

var start = time.Unix(1_000_000, 0)

func newQueue(firstCome bool) *vradmit.Queue {
	q := vradmit.New(vradmit.Options{MaxRequests: 100, MaxMemory: vrid.MiB, FIFO: firstCome})
	q.SetPolicies([]vrconfig.RankPolicy{
		{Rank: vrid.RankUrgent, Worth: 100, Floor: 0.5, CallerShare: 0.5},
		{Rank: vrid.RankNormal, Worth: 20, Floor: 0.2, CallerShare: 0.5},
		{Rank: vrid.RankDeferred, Worth: 1, Floor: 0.05, CallerShare: 0.5},
	})
	return q
}

func item(name string, rank vrid.Rank, model vrid.ModelID, deadline time.Duration) vradmit.Item {
	return vradmit.Item{
		Request: vrid.RequestID(name), Rank: rank, Deadline: start.Add(deadline),
		Pool: "pool", Target: vradmit.Target{Model: model},
	}
}

func anything(vradmit.Candidate) bool { return true }

// serve takes up to count requests and notes them as served.
func serve(q *vradmit.Queue, now time.Time, count int, available func(vradmit.Candidate) bool) []string {
	var served []string
	for range count {
		next, ok := q.Next(now, available)
		if !ok {
			break
		}
		q.RecordDispatch(now, next)
		served = append(served, string(next.Request))
	}
	return served
}

// An order that ignores rank, deadline or caller lets a flood of one of them delay
// everything else.
func TestNextOrder(t *testing.T) {
	tests := []struct {
		name      string
		firstCome bool
		items     []vradmit.Item
		want      []string
	}{
		{
			name: "urgent before deferred",
			items: []vradmit.Item{
				item("d", vrid.RankDeferred, "m", time.Second), item("u", vrid.RankUrgent, "m", time.Minute),
			},
			want: []string{"u", "d"},
		},
		{
			name: "earliest deadline within a rank and over targets",
			items: []vradmit.Item{
				item("late", vrid.RankUrgent, "a", 9*time.Second), item("soon", vrid.RankUrgent, "b", 2*time.Second),
				item("middle", vrid.RankUrgent, "a", 5*time.Second),
			},
			want: []string{"soon", "middle", "late"},
		},
		{
			name:      "the plain policy keeps the order of arrival",
			firstCome: true,
			items: []vradmit.Item{
				item("d", vrid.RankDeferred, "m", time.Minute), item("u", vrid.RankUrgent, "n", time.Second),
			},
			want: []string{"d", "u"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := newQueue(test.firstCome)
			for _, offered := range test.items {
				_, ok := q.Offer(start, offered)
				require.True(t, ok)
			}
			require.Equal(t, test.want, serve(q, start, len(test.items), anything))
			require.Zero(t, q.Len())
		})
	}
}

// Strict priority would starve the lower ranks in a flood of urgent work; each gets its
// floor of the service and urgent work the rest.
func TestFloorsInFlood(t *testing.T) {
	q := newQueue(false)
	counts := make(map[vrid.Rank]int)
	sent := 0
	offer := func(rank vrid.Rank) {
		sent++
		q.Offer(start, item(fmt.Sprintf("r%05d", sent), rank, vrid.ModelID(rank.String()), time.Hour))
	}
	for range 20 {
		for _, rank := range vrid.Ranks() {
			offer(rank)
		}
	}
	const rounds = 2000
	for i := range rounds {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		next, ok := q.Next(now, anything)
		require.True(t, ok)
		q.RecordDispatch(now, next)
		counts[next.Rank]++
		offer(next.Rank)
	}
	require.GreaterOrEqual(t, float64(counts[vrid.RankNormal]), 0.2*rounds)
	require.GreaterOrEqual(t, float64(counts[vrid.RankDeferred]), 0.05*rounds)
	require.GreaterOrEqual(t, float64(counts[vrid.RankUrgent]), 0.7*rounds)
}

// A single caller that fills a rank's queue would shut out the other callers.
func TestCallerShare(t *testing.T) {
	q := newQueue(false)
	refused := 0
	for i := range 80 {
		offered := item(fmt.Sprintf("r%02d", i), vrid.RankNormal, "m", time.Minute)
		offered.Caller = "greedy"
		if i%4 == 0 {
			offered.Caller = vrid.CallerID(fmt.Sprintf("other-%d", i))
		}
		refusal, ok := q.Offer(start, offered)
		if ok {
			continue
		}
		require.Equal(t, vrwire.ReasonCallerShareExceeded, refusal.Reason)
		require.Equal(t, vrid.CallerID("greedy"), offered.Caller)
		refused++
	}
	require.Positive(t, refused)
}

// A request that is let in although the queue ahead outlasts its deadline only wastes
// its caller's time; a pessimistic estimate refuses what could be served.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	q := newQueue(false)
	for i := range 50 {
		q.Offer(start, item(fmt.Sprintf("r%02d", i), vrid.RankUrgent, "m", time.Minute))
	}
	now := start
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		serve(q, now, 1, anything)
	}
	// 40 wait and one leaves each 100 ms: the wait is about four seconds.
	tests := []struct {
		name     string
		deadline time.Duration
		model    vrid.ModelID
		admitted bool
	}{
		{name: "in time", deadline: 6 * time.Second, model: "m", admitted: true},
		{name: "too late", deadline: 3 * time.Second, model: "m"},
		{name: "another target", deadline: 3 * time.Second, model: "n", admitted: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			offered := item(test.name, vrid.RankUrgent, test.model, now.Sub(start)+test.deadline)
			refusal, ok := q.Offer(now, offered)
			require.Equal(t, test.admitted, ok)
			if !test.admitted {
				require.Equal(t, vrwire.ReasonDeadlineUnreachable, refusal.Reason)
				require.InDelta(t, time.Second, refusal.RetryAfter, float64(500*time.Millisecond))
			}
		})
	}
}

// The pick must not ask every waiting target each time, and must ask again when
// something about a target's servers changed.
func TestTargetWithoutRoomIsParkedAndWoken(t *testing.T) {
	q := newQueue(false)
	for i := range 50 {
		q.Offer(start, item(fmt.Sprintf("r%02d", i), vrid.RankUrgent, vrid.ModelID(fmt.Sprintf("m%02d", i)), time.Minute))
	}
	asked := 0
	none := func(vradmit.Candidate) bool { asked++; return false }
	serve(q, start, 1, none)
	require.Equal(t, 50, asked)
	serve(q, start, 1, none)
	require.Equal(t, 50, asked)
	q.Wake("m07")
	require.Equal(t, []string{"r07"}, serve(q, start, 1, anything))
	q.WakeAll()
	require.Len(t, serve(q, start, 50, anything), 49)
}

// A request that stays in the queue past its deadline is never answered.
func TestExpiredInOrderOfDeadlines(t *testing.T) {
	q := newQueue(false)
	for i, deadline := range []time.Duration{5, 1, 3, 9} {
		q.Offer(start, item(fmt.Sprintf("r%d", i), vrid.RankNormal, "m", deadline*time.Second))
	}
	var expired []string
	for _, gone := range q.RemoveExpired(start.Add(5 * time.Second)) {
		expired = append(expired, string(gone.Request))
	}
	require.Equal(t, []string{"r1", "r2", "r0"}, expired)
	require.Equal(t, 1, q.Len())
}

// An unbounded queue takes the daemon's memory in a flood.
func TestQueueIsBounded(t *testing.T) {
	q := vradmit.New(vradmit.Options{MaxRequests: 2, MaxMemory: 10})
	offer := func(name string, size vrid.Bytes) bool {
		offered := item(name, vrid.RankUrgent, "m", time.Minute)
		offered.Size = size
		_, ok := q.Offer(start, offered)
		return ok
	}
	require.False(t, offer("large", 11))
	require.True(t, offer("a", 4))
	require.True(t, offer("b", 4))
	require.False(t, offer("c", 1))
}
