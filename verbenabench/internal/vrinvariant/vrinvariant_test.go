package vrinvariant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

var _start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time {
	return _start.Add(time.Duration(seconds * float64(time.Second)))
}

// passingEvidence returns a short run in which every invariant holds: one load, one
// response, one reservation and one refusal.
func passingEvidence(t *testing.T) *Evidence {
	t.Helper()
	deployment, err := vrdeploy.ByName(vrdeploy.Shuyuan, vrdeploy.Size{})
	require.NoError(t, err)
	e := NewEvidence(deployment)
	e.Journal = []vrstandin.Entry{
		ledgerWrite(t, deployment.Fleet.Models[0].ID, "lm-serve-1", "lm-serve-2", "lm-serve-3"),
		{Kind: vrstandin.JournalLoadStarted, Model: deployment.Fleet.Models[0].ID, Server: "lm-serve-1", Zone: "tw-north-a", At: at(1)},
		{Kind: vrstandin.JournalRun, Object: vrdeploy.PathReservations, Key: "k", Request: "r2", Server: "circle-app-1", At: at(2)},
	}
	e.Results = []vrload.Result{
		singleAttemptResult(vrload.Call{Deadline: time.Second}, vrload.Attempt{Request: "r1", End: vrload.EndAnswered}),
		singleAttemptResult(vrload.Call{Key: "k", Deadline: time.Second}, vrload.Attempt{Request: "r2", End: vrload.EndAnswered}),
		singleAttemptResult(vrload.Call{Deadline: time.Second}, vrload.Attempt{Request: "r3", End: vrload.EndRefused, Problem: vrwire.Problem{
			Reason: vrwire.ReasonQueueFull, Ran: "no", NotRun: true,
		}}),
	}
	for i, result := range e.Results {
		entry := vrrecord.Entry{
			Kind: vrrecord.EntryAnswered, Daemon: "daemon-1", Boot: "b", Number: uint64(i + 1), Request: result.Last().Request,
			Config: 1, At: at(3).UnixMilli(), Ran: vrrecord.RanYes,
		}
		if result.Last().End == vrload.EndRefused {
			entry.Kind, entry.Reason, entry.Ran = vrrecord.EntryRefused, string(result.Last().Problem.Reason), vrrecord.RanNo
		}
		e.Record = append(e.Record, entry)
	}
	return &e
}

// ledgerWrite returns a journal entry for the write of a ledger object that records the
// model on the servers.
func ledgerWrite(t *testing.T, model vrid.ModelID, servers ...vrid.ServerID) vrstandin.Entry {
	t.Helper()
	chunk := vrledger.Chunk{Epoch: 1, Writer: "daemon-1"}
	for _, server := range servers {
		chunk.Servers = append(chunk.Servers, vrledger.ServerLedger{
			Server: server, Entries: []vrledger.Entry{{Model: model, State: vrwire.ReplicaLoading}},
		})
	}
	value, err := vrwire.Marshal(&chunk)
	require.NoError(t, err)
	return vrstandin.Entry{Kind: vrstandin.JournalWrite, Object: "ledgers/tw-north-a/0", Version: 1, Value: value}
}

func singleAttemptResult(call vrload.Call, attempt vrload.Attempt) vrload.Result {
	attempt.Daemon, attempt.Began, attempt.Ended, attempt.FirstContent = "daemon-1", at(2), at(3), at(2.5)
	attempt.ResponseStarted = true
	return vrload.Result{Call: call, Attempts: []vrload.Attempt{attempt}}
}

// TestEachViolationIsFound guards against a check that passes whatever happened: each case
// breaks one invariant.
func TestEachViolationIsFound(t *testing.T) {
	require.True(t, AllHeld(CheckAll(passingEvidence(t))))
	cases := []struct {
		name      string
		invariant string
		change    func(e *Evidence)
	}{
		{"third replica in a zone", "I1", func(e *Evidence) {
			for _, server := range []vrid.ServerID{"lm-serve-2", "lm-serve-3"} {
				extra := e.Journal[1]
				extra.Server = server
				e.Journal = append(e.Journal, extra)
			}
		}},
		{"load that no ledger records", "I1", func(e *Evidence) { e.Journal = e.Journal[1:] }},
		{"refused load", "I2", func(e *Evidence) {
			e.Journal = append(e.Journal, vrstandin.Entry{Kind: vrstandin.JournalOvercommit})
		}},
		{"overlapping orders", "I2", func(e *Evidence) {
			e.Journal = append(e.Journal, vrstandin.Entry{Kind: vrstandin.JournalOverlap})
		}},
		{"dropped request", "I3", func(e *Evidence) { e.Results[0].Attempts[0].End = vrload.EndBroken }},
		{"late refusal", "I3", func(e *Evidence) { e.Results[2].Attempts[0].FirstContent = at(9) }},
		{"late first token of a buffered response", "I3", func(e *Evidence) { e.Record[0].FirstToken = 9_000_000 }},
		{"late stream", "I3", func(e *Evidence) {
			e.Results[0].Call.Stream, e.Record[0].FirstToken = true, 1000
			e.Results[0].Attempts[0].FirstContent = at(9)
		}},
		{"no terminal entry", "I3", func(e *Evidence) { e.Record = e.Record[1:] }},
		{"two terminal entries", "I3", func(e *Evidence) { e.Record = append(e.Record, e.Record[0]) }},
		{"other reason in the record", "I3", func(e *Evidence) { e.Record[2].Reason = "noReplica" }},
		{"altered record", "I3", func(e *Evidence) {
			e.Audit.Findings = []vrrecord.Finding{{Kind: vrrecord.FindingAlteredBlock}}
		}},
		{"response to another request", "I4", func(e *Evidence) { e.Results[0].Attempts[0].End = vrload.EndWrong }},
		{"false notRun for the caller", "I5", func(e *Evidence) { e.Results[2].Attempts[0].Request = "r2" }},
		{"false notRun in the record", "I5", func(e *Evidence) { e.Record[2].Request = "r2" }},
		{"call that ran twice", "I6", func(e *Evidence) { e.Journal = append(e.Journal, e.Journal[2]) }},
		{"confirmed without a run", "I6", func(e *Evidence) { e.Journal = e.Journal[:2] }},
		{"late work for a leaving server", "I7", func(e *Evidence) {
			leaving := vrstandin.Entry{Kind: vrstandin.JournalLeaving, Server: "lm-serve-1", At: at(2)}
			work := vrstandin.Entry{Kind: vrstandin.JournalGenerate, Server: "lm-serve-1", At: at(5.1)}
			e.Journal = append(e.Journal, leaving, work)
		}},
		{"interrupted by a shutdown", "I8", func(e *Evidence) {
			e.Stopping["daemon-1"] = at(2.5)
			e.Results[0].Attempts[0].End = vrload.EndBroken
		}},
		{"reverted configuration", "I9", func(e *Evidence) { e.Record[0].Config = 2 }},
		{"slow configuration", "I9", func(e *Evidence) { e.ConfigChangedAt, e.ConfigVersion = at(-5), 2 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := passingEvidence(t)
			c.change(e)
			for _, check := range CheckAll(e) {
				if check.Name == c.invariant {
					require.False(t, check.Held(), check.String())
				}
			}
		})
	}
}

// TestKilledDaemonCausesNoViolation guards against reporting the broken connections and the
// missing entries of a killed daemon as violations.
func TestKilledDaemonCausesNoViolation(t *testing.T) {
	e := passingEvidence(t)
	e.Killed["daemon-1"] = at(2.9)
	e.Results[0].Attempts[0].End = vrload.EndBroken
	e.Record = e.Record[1:]
	require.True(t, AllHeld(CheckAll(e)))
}

// TestMemoryStateAfterUnloadAndBoot guards against memory and replica counts that an unload
// or a restart of the server does not reset.
func TestMemoryStateAfterUnloadAndBoot(t *testing.T) {
	e := passingEvidence(t)
	write, load := e.Journal[0], e.Journal[1]
	boot := vrstandin.Entry{Kind: vrstandin.JournalBoot, Server: load.Server}
	unload := load
	unload.Kind = vrstandin.JournalUnloaded
	e.Journal = []vrstandin.Entry{write, load, unload, load, boot, load, boot, load}
	require.True(t, checkReplicas(e).Held())
	memory := newMemoryState(e)
	for _, entry := range e.Journal {
		memory.apply(entry)
	}
	require.Equal(t, e.Fleet.Models[0].Memory, memory.used[load.Server])
	require.Equal(t, 1, memory.replicas[zoneModel{load.Zone, load.Model}])
}
