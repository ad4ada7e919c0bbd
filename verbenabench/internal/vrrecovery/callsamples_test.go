package vrrecovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Guards against a peak that counts each object type separately and so hides a thundering
// herd.
func TestPeakSumsObjectTypes(t *testing.T) {
	samples := callSamples{interval: 500 * time.Millisecond, counts: []map[string]int{
		{}, {"read leases": 3}, {"read leases": 3, "read ledgers": 4, "write leases": 1}, {"read leases": 4, "read ledgers": 4, "write leases": 1},
	}}
	require.Equal(t, 7, samples.maxPerSecond(_kindRead))
	require.Equal(t, 1, samples.maxPerSecond(_kindWrite))
	byKind, all := samples.peakPerSecond()
	require.Equal(t, 8, all)
	require.Equal(t, 3, byKind["read leases"])
}

// Guards against counts that miss a duplicate execution or a false notRun: the experiment
// would then not detect the faults that it looks for.
func TestReservationCounts(t *testing.T) {
	refused := func(request vrid.RequestID, notRun bool) vrload.Attempt {
		problem := vrwire.Problem{Reason: vrwire.ReasonOutcomeUnknown, NotRun: notRun}
		return vrload.Attempt{End: vrload.EndRefused, Request: request, Problem: problem}
	}
	results := []vrload.Result{
		{Call: vrload.Call{Key: "twice"}, Attempts: []vrload.Attempt{{End: vrload.EndBroken}, {End: vrload.EndAnswered}}},
		{Call: vrload.Call{Key: "false"}, Attempts: []vrload.Attempt{refused("r", true)}},
		{Call: vrload.Call{Key: "open"}, Attempts: []vrload.Attempt{{End: vrload.EndBroken}, refused("r2", false)}},
	}
	journal := []vrstandin.Entry{
		{Kind: vrstandin.JournalRun, Key: "twice", Request: "r8"},
		{Kind: vrstandin.JournalRun, Key: "twice", Request: "r9"},
		{Kind: vrstandin.JournalRun, Key: "false", Request: "r"},
		{Kind: vrstandin.JournalWrite, Object: "claims/1/2"},
	}
	counted := countReservations(results, journal)
	require.Equal(t, 1, counted.duplicateRuns)
	require.Equal(t, 1, counted.falseNotRun)
	require.Equal(t, 1, counted.falseOutcome)
	require.Equal(t, 1, counted.unknown)
	require.Equal(t, 1, counted.claimWrites)
}
