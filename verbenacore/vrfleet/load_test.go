package vrfleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrfleet"
)

// send records own sends at a time.
func send(server *vrfleet.Server, at time.Time, count int) {
	for range count {
		server.RecordSend()
		server.RecordSendTime(at)
	}
}

// Guards against a report that forgets what was sent while it was on its way, and against one that counts the
// end of a request twice or not at all.
func TestReportAtTheHeadCountsEachRequestOnce(t *testing.T) {
	fleet := vrfleet.New()
	fleet.Put(start, readyEntry(1, 1))
	server := fleet.Server("a")
	send(server, start, 2)
	reportedAt := start.Add(time.Second)
	send(server, reportedAt.Add(-time.Millisecond), 1)
	fleet.ApplyLoadReport(reportedAt, server, vrfleet.LoadReport{Running: 6, Waiting: 1})
	require.Equal(t, 8, server.EstimatedRequests(reportedAt), "the report lacks the last send")

	later := reportedAt.Add(100 * time.Millisecond)
	send(server, later, 1)
	require.Equal(t, 9, server.EstimatedRequests(later))
	fleet.RecordRequestEnd(server, start, true)
	require.Equal(t, 8, server.EstimatedRequests(later), "the report includes the ended request")
	fleet.RecordRequestEnd(server, later, false)
	require.Equal(t, 7, server.EstimatedRequests(later), "a refused request was counted beside the report")
	fleet.RecordRequestEnd(server, start, false)
	require.Equal(t, 7, server.EstimatedRequests(later), "no report includes a refused request")
	require.Equal(t, 1, server.InFlight)
}

// Guards against slots that stay taken: requests to a server that was registered again while they ran were
// never counted as ended.
func TestRequestsAcrossARegistrationEnd(t *testing.T) {
	fleet := vrfleet.New()
	fleet.Put(start, readyEntry(1, 1))
	former := fleet.Server("a")
	send(former, start, 3)
	fleet.Remove("a")
	fleet.Put(start, readyEntry(1, 2))
	require.Equal(t, 3, fleet.Server("a").InFlight)
	for range 3 {
		fleet.RecordRequestEnd(former, start, true)
	}
	require.Zero(t, fleet.Server("a").InFlight)
}

// A stated pace changes many times per second, so an old one must not keep a server from work, nor one usual
// figure make a server that is mostly slow look fast.
func TestPaceFallsBackToTheAverage(t *testing.T) {
	fleet := vrfleet.New()
	fleet.Put(start, readyEntry(1, 1))
	server := fleet.Server("a")
	require.EqualValues(t, 1, server.Pace(start))
	fleet.ApplyLoadReport(start, server, vrfleet.LoadReport{Pace: 300})
	require.InDelta(t, 3, server.Pace(start), 0.01)
	require.InDelta(t, 1, server.Pace(start.Add(3*time.Second)), 0.2)
	now := start
	for range 60 {
		now = now.Add(time.Second)
		fleet.ApplyLoadReport(now, server, vrfleet.LoadReport{Pace: 300})
	}
	fleet.ApplyLoadReport(now, server, vrfleet.LoadReport{Pace: 100})
	require.InDelta(t, 1, server.Pace(now), 0.01)
	require.InDelta(t, 3, server.Pace(now.Add(3*time.Second)), 0.3)
}

// The stated number of slots replaces the registered one.
func TestStatedSlots(t *testing.T) {
	fleet := vrfleet.New()
	fleet.Put(start, readyEntry(1, 1))
	server := fleet.Server("a")
	require.Equal(t, 1, server.SlotCount())
	fleet.ApplyLoadReport(start, server, vrfleet.LoadReport{Slots: 12})
	fleet.ApplyLoadReport(start, server, vrfleet.LoadReport{})
	require.Equal(t, 12, server.SlotCount())
}
