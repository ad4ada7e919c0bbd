package vrquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrid"
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
