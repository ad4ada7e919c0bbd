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

// fleet is a placement owner and the other daemons that report to it, in virtual time.
type fleet struct {
	now     time.Time
	daemons map[vrid.DaemonID]*Quarantine
	owner   vrid.DaemonID
}

func newFleet(ids ...vrid.DaemonID) *fleet {
	f := &fleet{now: time.Unix(1_790_000_000, 0), daemons: make(map[vrid.DaemonID]*Quarantine), owner: ids[0]}
	for _, id := range ids {
		f.daemons[id] = New(id)
	}
	return f
}

// run lets time pass and exchanges messages every 25 ms.
func (f *fleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(25 * time.Millisecond) {
		f.exchange()
	}
}

func (f *fleet) exchange() {
	owner := f.daemons[f.owner]
	for id, q := range f.daemons {
		if report := q.Report(f.now); report != nil {
			owner.HandleReport(f.now, id, report)
		}
	}
	owner.Tick(f.now)
	owner.MessageSent()
	for id, q := range f.daemons {
		if id == f.owner {
			q.AcknowledgeAll()
			continue
		}
		q.HandleMessage(f.now, owner.Message(f.now, id, 1))
	}
}

func (f *fleet) state(id vrid.PromptPartID) []State {
	var states []State
	for _, daemon := range []vrid.DaemonID{"d1", "d2", "d3"} {
		if q := f.daemons[daemon]; q != nil {
			states = append(states, q.Check(f.now, []vrid.PromptPartID{id}).State)
		}
	}
	return states
}

// probe waits with a request at a daemon until the daemon may send it as a probe.
func (f *fleet) probe(t *testing.T, daemon vrid.DaemonID, parts []vrid.PromptPartID) Probe {
	t.Helper()
	q := f.daemons[daemon]
	for range 40 {
		q.RecordWaiting(f.now, parts)
		f.run(25 * time.Millisecond)
		if probe := q.TakeProbe(f.now, parts); probe.Number != 0 {
			return probe
		}
	}
	require.Fail(t, "no probe was permitted")
	return Probe{}
}

// crash reports a crash under a request of a daemon.
func (f *fleet) crash(daemon vrid.DaemonID, request vrid.RequestID, probe Probe, parts ...vrid.PromptPartID) {
	f.daemons[daemon].RecordCrash(f.now, CrashedRequest{Request: request, Parts: parts, Probe: probe})
	f.run(50 * time.Millisecond)
}

// Two crashes under requests with one part have to block it at every daemon. Otherwise each daemon
// loses servers before it learns of the part by itself.
func TestCrashOfProbeBlocksPartEverywhere(t *testing.T) {
	f := newFleet("d1", "d2", "d3")
	f.crash("d2", "r1", Probe{}, "deadly")
	require.Equal(t, []State{Suspected, Suspected, Suspected}, f.state("deadly"))
	f.crash("d2", "r1", f.probe(t, "d2", []vrid.PromptPartID{"deadly"}), "deadly")
	require.Equal(t, []State{Blocked, Blocked, Blocked}, f.state("deadly"))
}

// Only one request with a suspected part may be in progress at a time, however many daemons
// have requests waiting. Otherwise a deadly part crashes one server per daemon.
func TestOneProbeAtATime(t *testing.T) {
	f := newFleet("d1", "d2", "d3")
	parts := []vrid.PromptPartID{"p"}
	f.crash("d1", "r1", Probe{}, "p")
	f.probe(t, "d2", parts)
	for range 20 {
		for id, q := range f.daemons {
			q.RecordWaiting(f.now, parts)
			require.Zero(t, q.TakeProbe(f.now, parts), id)
		}
		f.run(25 * time.Millisecond)
	}
}

// A part that any daemon has seen answered a moment ago must not be suspected, although it was in
// a prompt on a crashed server: all requests with a popular part would wait.
func TestAnswerAtAnotherDaemonClearsPart(t *testing.T) {
	f := newFleet("d1", "d2", "d3")
	f.daemons["d3"].RecordAnswer(f.now, []vrid.PromptPartID{"popular"})
	f.crash("d2", "r1", Probe{}, "popular")
	f.run(100 * time.Millisecond)
	require.Equal(t, []State{Clear, Clear, Clear}, f.state("popular"))
}

// check returns the states of requests with the given parts at a daemon.
func (f *fleet) check(daemon vrid.DaemonID, parts ...vrid.PromptPartID) State {
	return f.daemons[daemon].Check(f.now, parts).State
}

// A sound part that shares the prompts of a deadly one must not be blocked with it: only requests with
// both are refused until an answer tells them apart.
func TestSoundPartBesideDeadlyOneIsNotBlocked(t *testing.T) {
	f := newFleet("d1", "d2")
	both := []vrid.PromptPartID{"a-sound", "deadly"}
	f.crash("d1", "r1", Probe{}, both...)
	f.crash("d1", "r1", f.probe(t, "d1", both), both...)
	require.Equal(t, Blocked, f.check("d2", "popular", "a-sound", "deadly"))
	require.Equal(t, Suspected, f.check("d2", "a-sound"))
	f.probe(t, "d2", []vrid.PromptPartID{"a-sound"})
	f.daemons["d2"].RecordAnswer(f.now, []vrid.PromptPartID{"a-sound"})
	f.run(50 * time.Millisecond)
	require.Equal(t, []State{Clear, Clear}, f.state("a-sound"))
	require.Equal(t, []State{Blocked, Blocked}, f.state("deadly"))
}

// A part whose prompts all have another new part must be found by what they have in common. Otherwise
// each of them crashes a server.
func TestPartInUnlikePromptsIsFound(t *testing.T) {
	f := newFleet("d1", "d2")
	for i, daemon := range []vrid.DaemonID{"d1", "d2"} {
		parts := []vrid.PromptPartID{"deadly", vrid.PromptPartID(fmt.Sprint("new", i))}
		f.crash(daemon, vrid.RequestID(fmt.Sprint("r", i)), Probe{}, parts...)
		f.crash(daemon, vrid.RequestID(fmt.Sprint("r", i)), f.probe(t, daemon, parts), parts...)
	}
	require.Equal(t, []State{Blocked, Blocked}, f.state("deadly"))
	require.Equal(t, Blocked, f.check("d1", "deadly", "new2"))
	require.NotEqual(t, Blocked, f.check("d1", "new0"))
}

// A probe that is in progress on the same server as a deadly one must not have its part blocked.
func TestProbeBesideDeadlyOneIsRepeated(t *testing.T) {
	f := newFleet("d1", "d2")
	f.crash("d1", "r1", Probe{}, "deadly")
	f.crash("d2", "r2", Probe{}, "sound")
	deadly, sound := []vrid.PromptPartID{"deadly"}, []vrid.PromptPartID{"sound"}
	first, second := f.probe(t, "d1", deadly), f.probe(t, "d2", sound)
	f.daemons["d1"].RecordCrash(f.now, CrashedRequest{Request: "r1", Parts: deadly, Probe: first})
	f.crash("d2", "r2", second, "sound")
	require.Equal(t, []State{Suspected, Suspected}, f.state("deadly"))
	require.Equal(t, []State{Suspected, Suspected}, f.state("sound"))
	f.crash("d1", "r1", f.probe(t, "d1", deadly), "deadly")
	require.Equal(t, []State{Blocked, Blocked}, f.state("deadly"))
	f.probe(t, "d2", sound)
	f.daemons["d2"].RecordAnswer(f.now, sound)
	f.run(50 * time.Millisecond)
	require.Equal(t, []State{Clear, Clear}, f.state("sound"))
}

// Requests with the same suspected parts must not be sent at once as probes of different parts.
func TestSharedPartsHaveOneProbe(t *testing.T) {
	f := newFleet("d1", "d2", "d3")
	both := []vrid.PromptPartID{"x", "y"}
	f.crash("d1", "r1", Probe{}, both...)
	f.run(sharedProbeDelay)
	probes := 0
	for range 20 {
		for _, q := range f.daemons {
			q.RecordWaiting(f.now, both)
			if q.TakeProbe(f.now, both).Number != 0 {
				probes++
			}
		}
		f.run(25 * time.Millisecond)
	}
	require.Equal(t, 1, probes)
}

// A combination must not turn into the block of one of its parts because the other was forgotten.
func TestForgottenPartBlocksNoOther(t *testing.T) {
	f := newFleet("d1")
	both := []vrid.PromptPartID{"x", "y"}
	f.crash("d1", "r1", Probe{}, both...)
	f.crash("d1", "r1", f.probe(t, "d1", both), both...)
	require.Equal(t, Blocked, f.check("d1", both...))
	f.run(2 * suspicionTTL)
	require.NotEqual(t, Blocked, f.check("d1", "x"))
	require.NotEqual(t, Blocked, f.check("d1", "y"))
	f.run(suspicionTTL)
	require.NotEqual(t, Blocked, f.check("d1", both...))
}

// A part that was blocked by mistake has to come free by itself, and one that still crashes servers
// has to be probed less and less often.
func TestBlockEndsWithProbe(t *testing.T) {
	f := newFleet("d1", "d2")
	parts := []vrid.PromptPartID{"p"}
	f.crash("d1", "r1", Probe{}, "p")
	f.crash("d1", "r1", f.probe(t, "d1", parts), "p")
	require.Equal(t, []State{Blocked, Blocked}, f.state("p"))
	require.Equal(t, minBlock, f.daemons["d2"].Check(f.now, parts).Until.Sub(f.now).Round(time.Second))
	f.run(minBlock)
	require.Equal(t, []State{Suspected, Suspected}, f.state("p"))
	f.crash("d2", "r2", f.probe(t, "d2", parts), "p")
	require.Equal(t, 2*minBlock, f.daemons["d1"].Check(f.now, parts).Until.Sub(f.now).Round(time.Second))
	f.run(2 * minBlock)
	f.probe(t, "d2", parts)
	f.daemons["d2"].RecordAnswer(f.now, parts)
	f.run(50 * time.Millisecond)
	require.Equal(t, []State{Clear, Clear}, f.state("p"))
}

// A probe whose daemon dies or whose server is busy must not keep the part suspected for good.
func TestLostProbeIsFollowedByAnother(t *testing.T) {
	f := newFleet("d1", "d2")
	parts := []vrid.PromptPartID{"p"}
	f.crash("d1", "r1", Probe{}, "p")
	f.probe(t, "d2", parts)
	f.run(probeTimeout)
	probe := f.probe(t, "d1", parts)
	f.daemons["d1"].RecordProbeEnd(probe)
	require.Greater(t, f.probe(t, "d1", parts).Number, probe.Number)
}

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

// A daemon that does not reach the owner has to block a part, or a combination, by itself, and the owner
// has to learn of it afterwards.
func TestDaemonDecidesAlone(t *testing.T) {
	for _, parts := range [][]vrid.PromptPartID{{"p"}, {"p", "q"}} {
		f := newFleet("d1", "d2")
		q := f.daemons["d2"]
		tick := func() {
			q.SetAlone(f.now, true)
			q.Report(f.now)
			q.Tick(f.now)
			f.now = f.now.Add(25 * time.Millisecond)
		}
		q.RecordCrash(f.now, CrashedRequest{Request: "r1", Parts: parts})
		var probe Probe
		for range 40 {
			q.RecordWaiting(f.now, parts)
			tick()
			if probe = q.TakeProbe(f.now, parts); probe.Number != 0 {
				break
			}
		}
		require.NotZero(t, probe)
		q.RecordCrash(f.now, CrashedRequest{Request: "r1", Parts: parts, Probe: probe})
		tick()
		require.Equal(t, Clear, f.check("d1", parts...))
		require.Equal(t, Blocked, f.check("d2", parts...))
		q.SetAlone(f.now, false)
		f.run(time.Second)
		require.Equal(t, Blocked, f.check("d1", parts...))
		require.Equal(t, Blocked, f.check("d2", parts...))
	}
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

// A probe may wait at its server for longer than the owner waits for its end. Its crash has to block
// the part nevertheless. Otherwise each further probe crashes a server, without end.
func TestCrashOfSlowProbeBlocksPart(t *testing.T) {
	f := newFleet("d1", "d2", "d3")
	parts := []vrid.PromptPartID{"deadly"}
	f.crash("d1", "r", Probe{}, parts...)
	crashes := 1
	for ; crashes < 8 && f.check("d1", parts...) != Blocked; crashes++ {
		daemon := []vrid.DaemonID{"d1", "d2", "d3"}[crashes%3]
		probe := f.probe(t, daemon, parts)
		f.run(probeTimeout + 500*time.Millisecond)
		f.crash(daemon, vrid.RequestID(fmt.Sprint("r", crashes)), probe, parts...)
	}
	require.LessOrEqual(t, crashes, 5)
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

// Daemons whose requests have stopped waiting must not take the permissions to probe a part from those
// where requests wait: sound requests would be refused meanwhile.
func TestDaemonsWithoutWaitingRequestsDelayNoProbe(t *testing.T) {
	ids := []vrid.DaemonID{"d1"}
	for i := range 10 {
		ids = append(ids, vrid.DaemonID(fmt.Sprintf("d%d", i+2)))
	}
	f := newFleet(ids...)
	parts := []vrid.PromptPartID{"p"}
	f.crash("d1", "r1", Probe{}, parts...)
	f.run(sharedProbeDelay)
	for _, id := range ids[:10] {
		f.daemons[id].RecordWaiting(f.now, parts)
	}
	f.run(4 * time.Second) // the requests have been refused by now
	for range 120 {
		f.daemons["d11"].RecordWaiting(f.now, parts)
		f.run(25 * time.Millisecond)
		if f.daemons["d11"].TakeProbe(f.now, parts).Number != 0 {
			return
		}
	}
	require.Fail(t, "no probe was permitted within 3 s")
}

// A client may put any number of parts before the one that crashes servers. They must not push it
// out, or all servers crash one after the other.
func TestDeadlyPartBehindManyNewParts(t *testing.T) {
	for _, count := range []int{10, maxParts + 10, maxPending + 10} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := newFleet("d1", "d2")
			blocked := false
			for i := range 8 {
				var parts []vrid.PromptPartID
				for j := range count {
					parts = append(parts, vrid.PromptPartID(fmt.Sprint("new", i, "-", j)))
				}
				parts = append(parts, "deadly")
				if blocked = f.check("d1", parts...) == Blocked; blocked {
					break
				}
				probe := Probe{}
				if f.check("d1", parts...) == Suspected {
					probe = f.probe(t, "d1", parts)
				}
				f.crash("d1", vrid.RequestID(fmt.Sprint("r", i)), probe, parts...)
			}
			require.True(t, blocked, "eight requests with the part crashed a server each")
		})
	}
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

// A part may begin to crash servers after an update of their software, though it was answered before.
// It must be found also if each prompt has a new part beside it.
func TestPartThatBeginsToCrashServersIsFoundBesideNewParts(t *testing.T) {
	f := newFleet("d1", "d2")
	for _, q := range f.daemons {
		q.RecordAnswer(f.now, []vrid.PromptPartID{"deadly"})
	}
	f.run(5 * time.Second)
	crashes := 0
	for ; crashes < 12; crashes++ {
		daemon := []vrid.DaemonID{"d1", "d2"}[crashes%2]
		parts := []vrid.PromptPartID{"deadly", vrid.PromptPartID(fmt.Sprint("new", crashes))}
		probe := Probe{}
		switch f.check(daemon, parts...) {
		case Blocked:
			require.LessOrEqual(t, crashes, 8)
			return
		case Suspected:
			probe = f.probe(t, daemon, parts)
		case Clear:
		}
		f.crash(daemon, vrid.RequestID(fmt.Sprint("r", crashes)), probe, parts...)
	}
	require.Fail(t, "twelve requests with the part crashed a server each")
}

// The crash of a probe that was sent before its part was cleared must not be taken for that of a later
// probe, which may be answered: the part would be blocked without a crash.
func TestCrashOfFormerProbeBlocksNothing(t *testing.T) {
	q, now := New("d1"), time.Unix(1_790_000_000, 0)
	number := uint64(0)
	report := func(from vrid.DaemonID, items ...vrwire.PromptReportItem) {
		number++
		q.HandleReport(now, from, &vrwire.PromptReport{Number: number, Items: items})
	}
	permit := func() uint32 {
		report("d3", vrwire.PromptReportItem{Part: "p", Event: vrwire.PromptCrashed, Request: "r1"})
		report("d2", vrwire.PromptReportItem{Part: "p", Event: vrwire.PromptWaiting})
		now = now.Add(sharedProbeDelay)
		q.Tick(now)
		require.Equal(t, vrid.DaemonID("d2"), q.parts["p"].prober)
		return q.parts["p"].probe
	}
	former := permit()
	report("d3", vrwire.PromptReportItem{Part: "p", Event: vrwire.PromptAnswered})
	require.Equal(t, Clear, q.Check(now, []vrid.PromptPartID{"p"}).State)
	permit()
	report("d2", vrwire.PromptReportItem{Part: "p", Event: vrwire.PromptCrashed, Request: "r2", Probe: former})
	require.Equal(t, Suspected, q.Check(now, []vrid.PromptPartID{"p"}).State)
}

// Servers that crash for other reasons must not cost the sound requests that they had not begun to
// answer: each has a rare part, other servers answer within half a second, and calls wait for 3 s.
func TestSoundRequestsAreSentAfterUnrelatedCrashes(t *testing.T) {
	const (
		requests    = 40
		timeToFirst = 500 * time.Millisecond
		patience    = 3 * time.Second
	)
	type request struct {
		daemon     vrid.DaemonID
		parts      []vrid.PromptPartID
		answeredAt time.Time
	}
	daemons := []vrid.DaemonID{"d1", "d2", "d3", "d4"}
	f := newFleet(daemons...)
	var list []*request
	for i := range requests {
		r := &request{daemon: daemons[i%len(daemons)], parts: []vrid.PromptPartID{vrid.PromptPartID(fmt.Sprint("rare", i))}}
		list = append(list, r)
		f.daemons[r.daemon].RecordCrash(f.now, CrashedRequest{Request: vrid.RequestID(fmt.Sprint(i)), Parts: r.parts})
	}
	sent := 0
	for until := f.now.Add(patience); f.now.Before(until); f.run(25 * time.Millisecond) {
		for _, r := range list {
			q := f.daemons[r.daemon]
			switch {
			case !r.answeredAt.IsZero():
				if !f.now.Before(r.answeredAt) {
					q.RecordAnswer(f.now, r.parts)
				}
			case q.Check(f.now, r.parts).State == Clear:
				q.TakeProbe(f.now, r.parts)
				r.answeredAt = f.now.Add(timeToFirst)
				sent++
			default:
				q.RecordWaiting(f.now, r.parts)
			}
		}
	}
	require.Equal(t, requests, sent)
}
