package vrquarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// A new owner must know what its predecessor has blocked, also if all daemons were restarted at
// once.
func TestBlocksSurviveTheOwner(t *testing.T) {
	f := newFleet("d1", "d2")
	f.crash("d1", "r1", Probe{}, "p")
	f.crash("d1", "r1", f.probe(t, "d1", []vrid.PromptPartID{"p"}), "p")
	require.True(t, f.daemons["d1"].StoreChanged())
	stored := f.daemons["d1"].Stored(f.now)
	f.owner = "d2"
	f.daemons["d2"].BecomeOwner()
	f.daemons["d1"] = New("d1")
	f.run(50 * time.Millisecond)
	require.Equal(t, []State{Blocked, Blocked}, f.state("p"))

	restarted := newFleet("d1", "d2")
	restarted.daemons["d1"].HandleStored(restarted.now, stored)
	restarted.run(50 * time.Millisecond)
	require.Equal(t, []State{Blocked, Blocked}, restarted.state("p"))
}

// A daemon that missed the owner's message has to ask for it once it hears of its version, and only
// then: in a large fleet the owner does not repeat its messages.
func TestMissedMessageIsAskedFor(t *testing.T) {
	owner, q := New("d1"), New("d2")
	now := time.Unix(1_790_000_000, 0)
	owner.RecordCrash(now, CrashedRequest{Request: "r1", Parts: []vrid.PromptPartID{"p"}})
	q.HandleVersion(1, owner.Version())
	report := q.Report(now)
	require.NotNil(t, report)
	require.Empty(t, report.Items)
	owner.HandleReport(now, "d2", report)
	require.True(t, owner.Unacknowledged("d2"))
	q.HandleMessage(now, owner.Message(now, "d2", 1))
	require.Equal(t, Suspected, q.Check(now, []vrid.PromptPartID{"p"}).State)
	q.HandleVersion(1, owner.Version())
	require.Nil(t, q.Report(now))
}

// A suspicion that the owner has not heard of must not end with the owner's next message.
func TestUnacknowledgedSuspicionStays(t *testing.T) {
	f := newFleet("d1", "d2")
	f.daemons["d2"].RecordCrash(f.now, CrashedRequest{Request: "r1", Parts: []vrid.PromptPartID{"p"}})
	f.daemons["d2"].HandleMessage(f.now, &vrwire.Quarantine{})
	require.Equal(t, []State{Clear, Suspected}, f.state("p"))
}

// Requests that bring new parts without end must not take memory without end, and must not push
// out a blocked part.
func TestMemoryIsBounded(t *testing.T) {
	f := newFleet("d1")
	q := f.daemons["d1"]
	f.crash("d1", "r1", Probe{}, "p")
	f.crash("d1", "r1", f.probe(t, "d1", []vrid.PromptPartID{"p"}), "p")
	for i := range 20_000 {
		q.RecordAnswer(f.now, []vrid.PromptPartID{vrid.PromptPartID(fmt.Sprint("answered", i))})
		q.RecordCrash(f.now, CrashedRequest{Request: vrid.RequestID(fmt.Sprint(i)), Parts: []vrid.PromptPartID{vrid.PromptPartID(fmt.Sprint("crashed", i))}})
		if i%100 == 0 {
			f.exchange()
		}
	}
	require.LessOrEqual(t, q.answered.Len(), maxAnswered)
	require.LessOrEqual(t, len(q.parts), maxParts)
	require.LessOrEqual(t, len(q.reports.pending)+len(q.reports.sent), 2*maxPending)
	require.Equal(t, []State{Blocked}, f.state("p"))
}

// A part that a daemon blocked while it did not reach the owner has to come free once the owner tells
// that it is clear, and the two must not go on exchanging messages about it.
func TestOwnerClearsWhatDaemonBlockedAlone(t *testing.T) {
	f := newFleet("d1", "d2")
	parts := []vrid.PromptPartID{"p"}
	q := f.daemons["d2"]
	q.RecordCrash(f.now, CrashedRequest{Request: "r1", Parts: parts})
	tick := func() {
		q.SetAlone(f.now, true)
		q.Report(f.now)
		q.Tick(f.now)
		f.now = f.now.Add(25 * time.Millisecond)
	}
	var probe Probe
	for range 40 {
		q.RecordWaiting(f.now, parts)
		tick()
		if probe = q.TakeProbe(f.now, parts); probe.Number != 0 {
			break
		}
	}
	q.RecordCrash(f.now, CrashedRequest{Request: "r1", Parts: parts, Probe: probe})
	tick()
	require.Equal(t, Blocked, f.check("d2", parts...))
	q.SetAlone(f.now, false)
	reports := 0
	for range 40 {
		f.daemons["d1"].RecordAnswer(f.now, parts)
		if report := q.Report(f.now); report != nil {
			reports++
			f.daemons["d1"].HandleReport(f.now, "d2", report)
		}
		q.HandleMessage(f.now, f.daemons["d1"].Message(f.now, "d2", 1))
		f.now = f.now.Add(25 * time.Millisecond)
	}
	require.Equal(t, []State{Clear, Clear}, f.state("p"))
	require.LessOrEqual(t, reports, 3)
}

// A stored block must not return after the owner has cleared its part: another daemon saw the answer.
func TestStoredBlockDoesNotReturnAfterClearing(t *testing.T) {
	f := newFleet("d1", "d2")
	parts := []vrid.PromptPartID{"p"}
	f.crash("d1", "r1", Probe{}, "p")
	f.crash("d1", "r1", f.probe(t, "d1", parts), "p")
	stored := f.daemons["d1"].Stored(f.now)
	f.run(minBlock)
	f.probe(t, "d2", parts)
	f.daemons["d2"].RecordAnswer(f.now, parts)
	f.run(50 * time.Millisecond)
	require.Equal(t, []State{Clear, Clear}, f.state("p"))
	f.daemons["d1"].Stored(f.now)
	f.daemons["d1"].StoreFailed()
	f.daemons["d1"].HandleStored(f.now, stored)
	f.run(50 * time.Millisecond)
	require.Equal(t, []State{Clear, Clear}, f.state("p"))
}

// A daemon that reports more often than the owner's acknowledgements take to arrive must not take
// the owner for silent, and its old observations must not be applied again and again: a part that was
// cleared would be suspected anew.
func TestReportsWithinRoundTripAreAcknowledged(t *testing.T) {
	const oneWay = 50 * time.Millisecond
	owner, q := New("d1"), New("d2")
	now := time.Unix(1_790_000_000, 0)
	type delayed struct {
		at      time.Time
		report  *vrwire.PromptReport
		message *vrwire.Quarantine
	}
	var network []delayed
	applied := 0
	for i := range 200 {
		if i%3 == 0 {
			id := vrid.PromptPartID(fmt.Sprint("p", i%30))
			q.RecordCrash(now, CrashedRequest{Request: vrid.RequestID(fmt.Sprint(i)), Parts: []vrid.PromptPartID{id}})
		}
		if report := q.Report(now); report != nil {
			network = append(network, delayed{at: now.Add(oneWay), report: report})
		}
		for len(network) > 0 && !now.Before(network[0].at) {
			first := network[0]
			network = network[1:]
			if first.report == nil {
				q.HandleMessage(now, first.message)
				continue
			}
			applied += len(first.report.Items)
			owner.HandleReport(now, "d2", first.report)
			network = append(network, delayed{at: now.Add(oneWay), message: owner.Message(now, "d2", 1)})
		}
		require.False(t, q.OwnerSilent(now), "the owner counts as silent after %s, though it answered each report", time.Duration(i)*25*time.Millisecond)
		now = now.Add(25 * time.Millisecond)
	}
	require.Less(t, applied, 5*67)
}

// A restarted daemon numbers its reports anew. An acknowledgement of its former run must not drop
// what the owner has not heard.
func TestAcknowledgementOfFormerRunDropsNoReport(t *testing.T) {
	f := newFleet("d1", "d2")
	f.crash("d2", "r1", Probe{}, "other")
	f.daemons["d2"] = New("d2")
	q := f.daemons["d2"]
	q.RecordCrash(f.now, CrashedRequest{Request: "r2", Parts: []vrid.PromptPartID{"deadly"}})
	for q.reports.number < f.daemons["d1"].acknowledgements["d2"] {
		require.NotNil(t, q.Report(f.now), "this report is lost")
		f.now = f.now.Add(ackTimeout)
	}
	q.HandleMessage(f.now, f.daemons["d1"].Message(f.now, "d2", 1))
	f.run(time.Second)
	require.Equal(t, []State{Suspected, Suspected}, f.state("deadly"))
}

// Clients choose the ids of parts. Long ones must not make reports or the owner's message larger than a
// frame between daemons or an object of the store may be: neither would arrive.
func TestMessagesAreBoundedWithLongParts(t *testing.T) {
	f := newFleet("d1", "d2")
	for i := range maxPending {
		id := vrid.PromptPartID(fmt.Sprint(i, strings.Repeat("x", 8<<10)))
		f.daemons["d2"].RecordCrash(f.now, CrashedRequest{Request: vrid.RequestID(fmt.Sprint(i)), Parts: []vrid.PromptPartID{id}})
	}
	report, err := vrwire.Marshal(f.daemons["d2"].Report(f.now))
	require.NoError(t, err)
	require.LessOrEqual(t, len(report), min(vrwire.MaxFrameBytes, vrplatform.MaxValueBytes))
}

// A stored combination that names one part twice must not stop the daemon that clears the part.
func TestCombinationOfOnePartTwice(t *testing.T) {
	q, now := New("d1"), time.Unix(1_790_000_000, 0)
	stored := &vrwire.Quarantine{Combinations: []vrwire.BlockedCombination{{Parts: []vrid.PromptPartID{"p", "p"}, Remaining: 60_000}}}
	if stored.Validate() != nil {
		return
	}
	q.HandleStored(now, stored)
	require.NotPanics(t, func() {
		q.HandleReport(now, "d2", &vrwire.PromptReport{Number: 1, Items: []vrwire.PromptReportItem{{Part: "p", Event: vrwire.PromptAnswered}}})
	})
}
