package vrinvariant

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
)

// _deadlineSlack is how long after the deadline a caller may receive the first byte. The
// daemon's timer ticks every 50 ms; the rest allows for delivery to the caller.
const _deadlineSlack = time.Second

// checkRequestsEnd checks I3: every waiting request is served or refused in time, and none
// is dropped.
func checkRequestsEnd(e *Evidence) Check {
	check := Check{Name: "I3", Rule: "every request ends in time"}
	entries := e.terminalEntries(&check)
	answered, refused, disconnected := 0, 0, 0
	e.forEachAttempt(func(call vrload.Call, attempt vrload.Attempt) {
		switch attempt.End {
		case vrload.EndAnswered, vrload.EndWrong:
			answered++
		case vrload.EndRefused:
			refused++
			if attempt.Detail != "" && attempt.Problem.Reason == "" {
				check.violationf("call %d: %s", call.Number, attempt.Detail)
			}
		case vrload.EndBroken:
			if !e.disconnectExpected(attempt) {
				check.violationf("call %d at %s: the connection broke unexpectedly: %s", call.Number, attempt.Daemon, attempt.Detail)
			}
			disconnected++
		case vrload.EndTimeout:
			check.violationf("call %d at %s: no response before the caller's timeout", call.Number, attempt.Daemon)
		case vrload.EndUnreached:
		}
		// A paused process can't respond, so an attempt that overlaps a pause is not late.
		late := e.timeToFirstContent(call, attempt, entries) - call.Deadline
		if !attempt.FirstContent.IsZero() && late > _deadlineSlack && !e.pausedBetween(attempt.Daemon, attempt.Began, attempt.FirstContent) {
			check.violationf("call %d at %s: first byte %s after its deadline (%s, stream %t)",
				call.Number, attempt.Daemon, late.Round(time.Millisecond), attempt.End, call.Stream)
		}
		e.checkEntry(&check, call, attempt, entries)
	})
	for _, finding := range e.Audit.Findings {
		check.violationf("record: %s", finding)
	}
	check.Summary = fmt.Sprintf("%d answered, %d refused, %d connections broken by killed daemons; record: %d blocks, %d terminal entries, %d lost in gaps",
		answered, refused, disconnected, e.Audit.Blocks, len(entries), e.Audit.Lost)
	return check
}

// timeToFirstContent returns how long the caller waited for the first token or for the
// response. The deadline covers the first token. A caller that receives a generated response
// as a whole does not observe the first token, so its time is taken from the record.
func (e *Evidence) timeToFirstContent(call vrload.Call, attempt vrload.Attempt, entries map[vrid.RequestID]vrrecord.Entry) time.Duration {
	observed := attempt.FirstContent.Sub(attempt.Began)
	buffered := call.Service == "" && !call.Stream && attempt.End == vrload.EndAnswered
	entry, recorded := entries[attempt.Request]
	if !buffered || !recorded || entry.FirstToken == 0 {
		return observed
	}
	return time.Duration(entry.FirstToken) * time.Microsecond
}

// terminalEntries indexes the terminal entries of the record by request, and adds a
// violation for each request with two of them.
func (e *Evidence) terminalEntries(check *Check) map[vrid.RequestID]vrrecord.Entry {
	entries := make(map[vrid.RequestID]vrrecord.Entry)
	for _, entry := range e.Record {
		if !entry.Kind.Terminal() {
			continue
		}
		if _, duplicate := entries[entry.Request]; duplicate {
			check.violationf("request %s has two terminal entries", entry.Request)
		}
		entries[entry.Request] = entry
	}
	return entries
}

// describeEntries summarizes the entries that the record contains for a daemon. It helps to
// tell an entry that was lost from one that was never written.
func (e *Evidence) describeEntries(daemon vrid.DaemonID) string {
	entries, highest := 0, uint64(0)
	var gaps []string
	for _, entry := range e.Record {
		if entry.Daemon != daemon {
			continue
		}
		entries++
		highest = max(highest, entry.Number)
		if entry.Kind == vrrecord.EntryGap {
			gaps = append(gaps, fmt.Sprintf("%d-%d", entry.GapFirst, entry.GapLast))
		}
	}
	return fmt.Sprintf("%d entries of the daemon up to number %d, gaps %v", entries, highest, gaps)
}

// checkEntry compares the caller's result with the request's terminal entry. The entry may
// be missing if the daemon was killed, because a gap can cover it.
func (e *Evidence) checkEntry(check *Check, call vrload.Call, attempt vrload.Attempt, entries map[vrid.RequestID]vrrecord.Entry) {
	ended := attempt.End == vrload.EndAnswered || attempt.End == vrload.EndRefused
	if !ended || attempt.Request == "" {
		return
	}
	entry, ok := entries[attempt.Request]
	if !ok {
		if _, killed := e.Killed[attempt.Daemon]; !killed {
			check.violationf("call %d at %s: request %s has no terminal entry: %s after %s with %q; the record contains %s",
				call.Number, attempt.Daemon, attempt.Request, attempt.End, attempt.Ended.Sub(attempt.Began).Round(time.Millisecond),
				attempt.Problem.Reason, e.describeEntries(attempt.Daemon))
		}
		return
	}
	want := vrrecord.EntryAnswered
	if attempt.End == vrload.EndRefused {
		want = vrrecord.EntryRefused
	}
	if entry.Kind != want || entry.Reason != string(attempt.Problem.Reason) {
		check.violationf("call %d: request %s is %s %s in the record, %s %s for its caller",
			call.Number, attempt.Request, entry.Kind, entry.Reason, attempt.End, attempt.Problem.Reason)
	}
}

// disconnectExpected reports whether the daemon was killed while the attempt ran, or was
// sent SIGTERM before the attempt ended and before a response to it had started.
func (e *Evidence) disconnectExpected(attempt vrload.Attempt) bool {
	if at, killed := e.Killed[attempt.Daemon]; killed && !attempt.Ended.Before(at) {
		return true
	}
	at, stopping := e.Stopping[attempt.Daemon]
	return stopping && !attempt.ResponseStarted && !attempt.Ended.Before(at)
}

// checkAnswers checks I4: each caller receives the complete response to its own request.
func checkAnswers(e *Evidence) Check {
	check := Check{Name: "I4", Rule: "each caller receives the complete answer to its own request"}
	answers, streams := 0, 0
	e.forEachAttempt(func(call vrload.Call, attempt vrload.Attempt) {
		switch attempt.End {
		case vrload.EndAnswered:
			answers++
			if call.Stream {
				streams++
			}
		case vrload.EndWrong:
			check.violationf("call %d at %s: %s", call.Number, attempt.Daemon, attempt.Detail)
		case vrload.EndRefused, vrload.EndBroken, vrload.EndUnreached, vrload.EndTimeout:
		}
	})
	check.Summary = fmt.Sprintf("%d answers, %d of them streams, each compared token by token", answers, streams)
	return check
}

// executedRequests returns the requests that ran on a back end, with the server: an
// application server executed the call, or a language server generated at least one token.
func (e *Evidence) executedRequests() map[vrid.RequestID]vrid.ServerID {
	ran := make(map[vrid.RequestID]vrid.ServerID)
	for _, entry := range e.Journal {
		run := entry.Kind == vrstandin.JournalRun
		generated := entry.Kind == vrstandin.JournalGenerateEnded && entry.Tokens > 0
		if run || generated {
			ran[entry.Request] = entry.Server
		}
	}
	return ran
}

// checkNotRun checks I5: if a refusal has notRun: true, the call did not run.
func checkNotRun(e *Evidence) Check {
	check := Check{Name: "I5", Rule: "notRun: true means that nothing ran"}
	ran := e.executedRequests()
	notRunRefusals := 0
	e.forEachAttempt(func(call vrload.Call, attempt vrload.Attempt) {
		if attempt.End != vrload.EndRefused || !attempt.Problem.NotRun {
			return
		}
		notRunRefusals++
		if attempt.Problem.Ran != "no" {
			check.violationf("call %d: notRun is true, but ran is %q", call.Number, attempt.Problem.Ran)
		}
		if server, ok := ran[attempt.Request]; ok {
			check.violationf("call %d: request %s ran at %s, but was refused as %s with notRun: true", call.Number, attempt.Request, server, attempt.Problem.Reason)
		}
	})
	recorded := 0
	for _, entry := range e.Record {
		if entry.Kind != vrrecord.EntryRefused || entry.Ran != vrrecord.RanNo {
			continue
		}
		recorded++
		if server, ok := ran[entry.Request]; ok {
			check.violationf("request %s ran at %s, although the record says that it did not", entry.Request, server)
		}
	}
	check.Summary = fmt.Sprintf("%d refusals with notRun: true, %d entries of the record", notRunRefusals, recorded)
	return check
}

// checkAtMostOnce checks I6: a non-idempotent call runs at most once.
func checkAtMostOnce(e *Evidence) Check {
	check := Check{Name: "I6", Rule: "a non-idempotent call runs at most once"}
	runs := make(map[vrid.IdempotencyKey]int)
	for _, entry := range e.Journal {
		if entry.Kind != vrstandin.JournalRun || (entry.Object != vrdeploy.PathReservations && entry.Object != vrdeploy.PathOrders) {
			continue
		}
		runs[entry.Key]++
		if entry.Key == "" {
			check.violationf("journal %d: a call without a key ran at %s", entry.Number, entry.Server)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(runs)) {
		if runs[key] > 1 {
			check.violationf("key %s ran %d times", key, runs[key])
		}
	}
	confirmed, unknown, retries := 0, 0, 0
	for _, result := range e.Results {
		if result.Call.Key == "" {
			continue
		}
		last := result.Last()
		retries += len(result.Attempts) - 1
		if last.End == vrload.EndAnswered {
			confirmed++
			if runs[result.Call.Key] == 0 {
				check.violationf("key %s was confirmed but never ran", result.Call.Key)
			}
		}
		if last.Status == http.StatusBadGateway {
			unknown++
		}
	}
	check.Summary = fmt.Sprintf("%d keys ran, %d confirmed, %d unknown, %d retries by callers", len(runs), confirmed, unknown, retries)
	return check
}
