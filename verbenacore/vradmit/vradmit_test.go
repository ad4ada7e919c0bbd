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

func newQueue(fifo bool) *vradmit.Queue {
	q := vradmit.New(vradmit.Options{MaxRequests: 100, MaxMemory: vrid.MiB, FIFO: fifo})
	q.SetPolicies([]vrconfig.RankPolicy{
		{Rank: vrid.RankUrgent, Weight: 100, Floor: 0.5, CallerShare: 0.5},
		{Rank: vrid.RankNormal, Weight: 20, Floor: 0.2, CallerShare: 0.5},
		{Rank: vrid.RankDeferred, Weight: 1, Floor: 0.05, CallerShare: 0.5},
	})
	return q
}

func newItem(name string, rank vrid.Rank, model vrid.ModelID, deadline time.Duration) vradmit.Item {
	return vradmit.Item{
		Request: vrid.RequestID(name), Rank: rank, Deadline: start.Add(deadline),
		Pool: "pool", Target: vradmit.Target{Model: model},
	}
}

func alwaysAvailable(vradmit.Candidate) bool { return true }

// serve takes up to count requests from the queue and counts them as served.
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

// TestNextOrder guards against an order that ignores rank, deadline or caller: a flood of
// requests of one kind would then delay all others.
func TestNextOrder(t *testing.T) {
	tests := []struct {
		name  string
		fifo  bool
		items []vradmit.Item
		want  []string
	}{
		{
			name: "urgent before deferred",
			items: []vradmit.Item{
				newItem("d", vrid.RankDeferred, "m", time.Second), newItem("u", vrid.RankUrgent, "m", time.Minute),
			},
			want: []string{"u", "d"},
		},
		{
			name: "earliest deadline within a rank and over targets",
			items: []vradmit.Item{
				newItem("late", vrid.RankUrgent, "a", 9*time.Second), newItem("soon", vrid.RankUrgent, "b", 2*time.Second),
				newItem("middle", vrid.RankUrgent, "a", 5*time.Second),
			},
			want: []string{"soon", "middle", "late"},
		},
		{
			name: "the baseline policy keeps the order of arrival",
			fifo: true,
			items: []vradmit.Item{
				newItem("d", vrid.RankDeferred, "m", time.Minute), newItem("u", vrid.RankUrgent, "n", time.Second),
			},
			want: []string{"d", "u"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := newQueue(test.fifo)
			for _, offered := range test.items {
				_, ok := q.Offer(start, offered)
				require.True(t, ok)
			}
			require.Equal(t, test.want, serve(q, start, len(test.items), alwaysAvailable))
			require.Zero(t, q.Len())
		})
	}
}

// TestFloorsInFlood guards against starvation: with strict priority, a flood of urgent
// requests would keep the lower ranks from being served at all. Each lower rank gets its
// floor, and urgent requests get the rest.
func TestFloorsInFlood(t *testing.T) {
	q := newQueue(false)
	counts := make(map[vrid.Rank]int)
	sent := 0
	offer := func(rank vrid.Rank) {
		sent++
		q.Offer(start, newItem(fmt.Sprintf("r%05d", sent), rank, vrid.ModelID(rank.String()), time.Hour))
	}
	for range 20 {
		for _, rank := range vrid.Ranks() {
			offer(rank)
		}
	}
	const rounds = 2000
	for i := range rounds {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		next, ok := q.Next(now, alwaysAvailable)
		require.True(t, ok)
		q.RecordDispatch(now, next)
		counts[next.Rank]++
		offer(next.Rank)
	}
	require.GreaterOrEqual(t, float64(counts[vrid.RankNormal]), 0.2*rounds)
	require.GreaterOrEqual(t, float64(counts[vrid.RankDeferred]), 0.05*rounds)
	require.GreaterOrEqual(t, float64(counts[vrid.RankUrgent]), 0.7*rounds)
}

// TestCallerShare guards against a single caller that fills the queue of a rank, so that
// the other callers are refused.
func TestCallerShare(t *testing.T) {
	q := newQueue(false)
	refused := 0
	for i := range 80 {
		offered := newItem(fmt.Sprintf("r%02d", i), vrid.RankNormal, "m", time.Minute)
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

// TestLateRequestIsRefusedAtOnce checks the estimated wait. If it is too low, a request
// whose deadline can't be met waits in vain; if it is too high, a request that could be
// served is refused.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	q := newQueue(false)
	for i := range 50 {
		q.Offer(start, newItem(fmt.Sprintf("r%02d", i), vrid.RankUrgent, "m", time.Minute))
	}
	now := start
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		serve(q, now, 1, alwaysAvailable)
	}
	// 40 requests wait and one is dispatched every 100 ms, so the wait is about 4 s.
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
			offered := newItem(test.name, vrid.RankUrgent, test.model, now.Sub(start)+test.deadline)
			refusal, ok := q.Offer(now, offered)
			require.Equal(t, test.admitted, ok)
			if !test.admitted {
				require.Equal(t, vrwire.ReasonDeadlineUnreachable, refusal.Reason)
				require.InDelta(t, time.Second, refusal.RetryAfter, float64(500*time.Millisecond))
			}
		})
	}
}

// TestUnavailableTargetIsParkedAndWoken checks that Next does not ask about every waiting
// target at each call, and asks again about a target after its servers changed.
func TestUnavailableTargetIsParkedAndWoken(t *testing.T) {
	q := newQueue(false)
	for i := range 50 {
		q.Offer(start, newItem(fmt.Sprintf("r%02d", i), vrid.RankUrgent, vrid.ModelID(fmt.Sprintf("m%02d", i)), time.Minute))
	}
	asked := 0
	none := func(vradmit.Candidate) bool { asked++; return false }
	serve(q, start, 1, none)
	require.Equal(t, 50, asked)
	serve(q, start, 1, none)
	require.Equal(t, 50, asked)
	q.Wake("m07")
	require.Equal(t, []string{"r07"}, serve(q, start, 1, alwaysAvailable))
	q.WakeAll()
	require.Len(t, serve(q, start, 50, alwaysAvailable), 49)
}

// TestExpiredInOrderOfDeadlines guards against requests that stay in the queue past their
// deadline and are never answered.
func TestExpiredInOrderOfDeadlines(t *testing.T) {
	q := newQueue(false)
	for i, deadline := range []time.Duration{5, 1, 3, 9} {
		q.Offer(start, newItem(fmt.Sprintf("r%d", i), vrid.RankNormal, "m", deadline*time.Second))
	}
	var expired []string
	for _, request := range q.RemoveExpired(start.Add(5 * time.Second)) {
		expired = append(expired, string(request.Request))
	}
	require.Equal(t, []string{"r1", "r2", "r0"}, expired)
	require.Equal(t, 1, q.Len())
}

// TestQueueIsBounded guards against a queue without a limit, which uses up the memory of
// the daemon during a flood of requests.
func TestQueueIsBounded(t *testing.T) {
	q := vradmit.New(vradmit.Options{MaxRequests: 2, MaxMemory: 10})
	offer := func(name string, size vrid.Bytes) bool {
		offered := newItem(name, vrid.RankUrgent, "m", time.Minute)
		offered.Size = size
		_, ok := q.Offer(start, offered)
		return ok
	}
	require.False(t, offer("large", 11))
	require.True(t, offer("a", 4))
	require.True(t, offer("b", 4))
	require.False(t, offer("c", 1))
}
