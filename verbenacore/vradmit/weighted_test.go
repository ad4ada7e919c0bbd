package vradmit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vradmit"
	"verbenaroute.example/verbenacore/vrid"
)

func newWeightedQueue() *vradmit.Queue {
	return vradmit.New(vradmit.Options{Weighted: true, Levels: 4})
}

// newCall returns a request of a caller that can be in time for a minute.
func newCall(name string, rank vrid.Rank, caller vrid.CallerID) vradmit.Item {
	item := newItem(name, rank, "m", time.Hour)
	item.Caller, item.LateAt, item.Cost, item.Weight = caller, start.Add(time.Minute), 1, 1
	return item
}

func anyTokens(vradmit.Candidate) int { return math.MaxInt }

// take takes up to count requests from the queue.
func take(q *vradmit.Queue, now time.Time, count int, freeTokens func(vradmit.Candidate) int) []string {
	var taken []string
	for range count {
		next, ok := q.NextFitting(now, freeTokens)
		if !ok {
			break
		}
		taken = append(taken, string(next.Request))
	}
	return taken
}

// Guards against requests that are late already and take the slots of those that can still be in time, and
// against an order within a caller that ignores deadlines.
func TestRequestsInTimeComeFirst(t *testing.T) {
	q := newWeightedQueue()
	for i, name := range []string{"late", "b", "a"} {
		item := newCall(name, 1, "")
		item.Cost, item.Deadline = 0, start.Add(time.Duration(9-i)*time.Hour)
		if name == "late" {
			item.LateAt, item.Deadline = start.Add(time.Second), start.Add(time.Hour)
		}
		q.Enqueue(start, item)
	}
	other := newCall("other target", 1, "")
	other.Target.Model, other.Cost = "n", 0
	q.Enqueue(start, other)
	require.Equal(t, []string{"other target", "a", "b", "late"}, take(q, start.Add(2*time.Second), 4, anyTokens))
	require.Zero(t, q.Len())
}

// Guards against a rank that starves behind better ones: it gets one of twenty dispatches, and no more.
func TestEachRankGetsOneOfTwenty(t *testing.T) {
	q := newWeightedQueue()
	counts := make(map[vrid.Rank]int)
	for i := range 900 {
		for rank := range vrid.Rank(3) {
			q.Enqueue(start, newCall(fmt.Sprintf("r%d-%03d", rank, i), rank, ""))
		}
	}
	for range 800 {
		next, ok := q.NextFitting(start, anyTokens)
		require.True(t, ok)
		counts[next.Rank]++
	}
	require.InDelta(t, 40, counts[1], 3)
	require.InDelta(t, 40, counts[2], 3)
}

// Guards against a caller that sends more than others and so gets more than its weight.
func TestCallersShareByWeight(t *testing.T) {
	q := newWeightedQueue()
	counts := make(map[vrid.CallerID]int)
	for i := range 300 {
		for caller, weight := range map[vrid.CallerID]float64{"heavy": 3, "light": 1} {
			item := newCall(fmt.Sprintf("%s-%03d", caller, i), 0, caller)
			item.Weight = weight
			q.Enqueue(start, item)
		}
		q.Enqueue(start, newCall(fmt.Sprintf("flood-%03d", i), 0, "flood"))
		q.Enqueue(start, newCall(fmt.Sprintf("flood+%03d", i), 0, "flood"))
	}
	for range 250 {
		next, _ := q.NextFitting(start, anyTokens)
		counts[next.Caller]++
	}
	require.InDelta(t, 150, counts["heavy"], 3)
	require.InDelta(t, 50, counts["light"], 3)
	require.InDelta(t, 50, counts["flood"], 3)
}

// Guards against a caller that pays for requests whose clients left: its next one must not come later.
func TestRequestThatLeavesCostsNothing(t *testing.T) {
	q := newWeightedQueue()
	for i := range 50 {
		q.Dequeue(q.Enqueue(start, newCall(fmt.Sprintf("left%d", i), 0, "a")))
	}
	for i := range 3 {
		q.Enqueue(start, newCall(fmt.Sprintf("b%d", i), 0, "b"))
	}
	q.Enqueue(start, newCall("a", 0, "a"))
	require.Contains(t, take(q, start, 2, anyTokens), "a")
}

// Guards against small requests that wait behind one that does not fit, and against targets that are asked about
// again although nothing has changed.
func TestRequestsThatFitPassLargerOnes(t *testing.T) {
	q := newWeightedQueue()
	asked := 0
	free := func(vradmit.Candidate) int { asked++; return 500 }
	add := func(name string, tokens int) {
		item := newCall(name, 0, "")
		item.Tokens = tokens
		q.Enqueue(start, item)
	}
	add("large", 900)
	add("small", 300)
	require.Equal(t, []string{"small"}, take(q, start, 2, free))
	asked = 0
	add("larger", 600)
	require.Empty(t, take(q, start, 1, free))
	require.Zero(t, asked)
	add("fits", 400)
	require.Equal(t, []string{"fits"}, take(q, start, 1, free))
	q.WakeAll()
	require.Equal(t, []string{"large", "larger"}, take(q, start, 3, anyTokens))
}

// Guards against a wrong number of calls ahead, by which calls are refused: those of better ranks and earlier
// ones of the same rank and model count.
func TestNumberOfRequestsAhead(t *testing.T) {
	q := newWeightedQueue()
	for i := range 10 {
		q.Enqueue(start, newCall(fmt.Sprintf("u%d", i), 0, ""))
		q.Enqueue(start, newCall(fmt.Sprintf("d%d", i), 2, ""))
	}
	other := newCall("other model", 0, "")
	other.Target.Model = "n"
	q.Enqueue(start, other)
	require.Equal(t, 10, q.AheadOf(start, newCall("x", 1, "")))
	require.Equal(t, 10, q.AheadOf(start, newCall("x", 0, "")))
	require.Equal(t, 1, q.AheadOf(start, newCall("x", 0, "another caller")))
	ahead := make(map[vrid.RequestID]int)
	q.EachWaiting(start, "pool", func(item *vradmit.Item, count int) { ahead[item.Request] = count })
	require.Equal(t, 0, ahead["u0"])
	require.Equal(t, 9, ahead["u9"])
	require.Equal(t, 10, ahead["d0"])
	require.Zero(t, ahead["other model"])
}

// Guards against an admission that allocates: the garbage of a burst would cost the smallest machines more than
// the calls themselves.
func TestWeightedQueueAllocatesNothing(t *testing.T) {
	q := newWeightedQueue()
	items := make([]vradmit.Item, 1000)
	for i := range items {
		items[i] = newCall(fmt.Sprintf("r%04d", i), vrid.Rank(i%4), vrid.CallerID(fmt.Sprintf("t%d", i%16)))
		items[i].Target.Model = vrid.ModelID(fmt.Sprintf("m%02d", i%40))
		q.Enqueue(start, items[i])
	}
	i := 0
	require.Zero(t, testing.AllocsPerRun(2000, func() {
		q.AheadOf(start, items[i%1000])
		next, _ := q.NextFitting(start, anyTokens)
		q.Enqueue(start, next)
		i++
	}))
}

// Guards against a caller that floods one model and passes others there because one of its requests for another
// model is served meanwhile: a new request of another caller must not start behind all that it has enqueued.
func TestFloodOfOneModelLeavesShares(t *testing.T) {
	q := newWeightedQueue()
	for i := range 100 {
		q.Enqueue(start, newCall(fmt.Sprintf("flood%03d", i), 0, "flood"))
	}
	elsewhere := newCall("elsewhere", 0, "flood")
	elsewhere.Target.Model = "n"
	q.Enqueue(start, elsewhere)
	onlyN := func(c vradmit.Candidate) int {
		if c.Target.Model == "n" {
			return math.MaxInt
		}
		return -1
	}
	require.Equal(t, []string{"elsewhere"}, take(q, start, 9, onlyN))
	q.WakeAll()
	for i := range 3 {
		q.Enqueue(start, newCall(fmt.Sprintf("other%d", i), 0, "other"))
	}
	require.Less(t, q.AheadOf(start, newCall("x", 0, "third")), 9)
	taken := take(q, start, 8, anyTokens)
	for i := range 3 {
		require.Contains(t, taken, fmt.Sprintf("other%d", i))
	}
}
