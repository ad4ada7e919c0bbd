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

// _grace is how much later than its deadline a caller may see the first byte: the
// daemon's timer runs every 50 ms, and the rest is the way to the caller.
const _grace = time.Second

// checkEnds is I3: every waiting request is served or refused in time; none is dropped.
func checkEnds(e *Evidence) Check {
	check := Check{Name: "I3", Rule: "every request ends in time"}
	entries := e.terminalEntries(&check)
	answered, refused, lost := 0, 0, 0
	e.attempts(func(call vrload.Call, attempt vrload.Attempt) {
		switch attempt.End {
		case vrload.EndAnswered, vrload.EndWrong:
			answered++
		case vrload.EndRefused:
			refused++
			if attempt.Detail != "" && attempt.Problem.Reason == "" {
				check.broken("call %d: %s", call.Number, attempt.Detail)
			}
		case vrload.EndBroken:
			if !e.excused(attempt) {
				check.broken("call %d at %s: the connection broke without cause: %s", call.Number, attempt.Daemon, attempt.Detail)
			}
			lost++
		case vrload.EndTimeout:
			check.broken("call %d at %s: no end within the caller's patience", call.Number, attempt.Daemon)
		case vrload.EndUnreached:
		}
		// A process that is stopped can't answer; it has to when it continues.
		late := attempt.First.Sub(attempt.Began) - call.Deadline
		if !attempt.First.IsZero() && late > _grace && !e.pausedBetween(attempt.Daemon, attempt.Began, attempt.First) {
			check.broken("call %d at %s: first byte %s after its deadline (%s)", call.Number, attempt.Daemon, late.Round(time.Millisecond), attempt.End)
		}
		e.checkEntry(&check, call, attempt, entries)
	})
	for _, finding := range e.Audit.Findings {
		check.broken("record: %s", finding)
	}
	check.Seen = fmt.Sprintf("%d answered, %d refused, %d connections broken by killed daemons; record: %d blocks, %d terminal entries, %d lost in gaps",
		answered, refused, lost, e.Audit.Blocks, len(entries), e.Audit.Lost)
	return check
}

// terminalEntries indexes the record by request and reports requests with two ends.
func (e *Evidence) terminalEntries(check *Check) map[vrid.RequestID]vrrecord.Entry {
	entries := make(map[vrid.RequestID]vrrecord.Entry)
	for _, entry := range e.Record {
		if !entry.Kind.Terminal() {
			continue
		}
		if _, twice := entries[entry.Request]; twice {
			check.broken("request %s has two terminal entries", entry.Request)
		}
		entries[entry.Request] = entry
	}
	return entries
}

// runOf describes what the record holds of a daemon, to tell a lost entry from one that
// was never written.
func (e *Evidence) runOf(daemon vrid.DaemonID) string {
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
	return fmt.Sprintf("%d of its entries up to number %d, gaps %v", entries, highest, gaps)
}

// checkEntry compares what the caller saw with the request's terminal entry. A request
// of a killed daemon may be covered by a gap.
func (e *Evidence) checkEntry(check *Check, call vrload.Call, attempt vrload.Attempt, entries map[vrid.RequestID]vrrecord.Entry) {
	ended := attempt.End == vrload.EndAnswered || attempt.End == vrload.EndRefused
	if !ended || attempt.Request == "" {
		return
	}
	entry, ok := entries[attempt.Request]
	if !ok {
		if _, killed := e.Killed[attempt.Daemon]; !killed {
			check.broken("call %d at %s: request %s has no terminal entry: %s after %s with %q; the record holds %s",
				call.Number, attempt.Daemon, attempt.Request, attempt.End, attempt.Ended.Sub(attempt.Began).Round(time.Millisecond),
				attempt.Problem.Reason, e.runOf(attempt.Daemon))
		}
		return
	}
	want := vrrecord.EntryAnswered
	if attempt.End == vrload.EndRefused {
		want = vrrecord.EntryRefused
	}
	if entry.Kind != want || entry.Reason != string(attempt.Problem.Reason) {
		check.broken("call %d: request %s is %s %s in the record, %s %s for its caller",
			call.Number, attempt.Request, entry.Kind, entry.Reason, attempt.End, attempt.Problem.Reason)
	}
}

// excused reports whether the daemon was killed while the attempt ran, or had been told
// to shut down before the attempt reached it.
func (e *Evidence) excused(attempt vrload.Attempt) bool {
	if at, killed := e.Killed[attempt.Daemon]; killed && !attempt.Ended.Before(at) {
		return true
	}
	at, stopping := e.Stopping[attempt.Daemon]
	return stopping && !attempt.Started && !attempt.Ended.Before(at)
}

// checkAnswers is I4: each caller gets the whole answer to its own request.
func checkAnswers(e *Evidence) Check {
	check := Check{Name: "I4", Rule: "each answer is whole and the caller's own"}
	answers, streams := 0, 0
	e.attempts(func(call vrload.Call, attempt vrload.Attempt) {
		switch attempt.End {
		case vrload.EndAnswered:
			answers++
			if call.Stream {
				streams++
			}
		case vrload.EndWrong:
			check.broken("call %d at %s: %s", call.Number, attempt.Daemon, attempt.Detail)
		case vrload.EndRefused, vrload.EndBroken, vrload.EndUnreached, vrload.EndTimeout:
		}
	})
	check.Seen = fmt.Sprintf("%d answers, %d of them streams, each compared token by token", answers, streams)
	return check
}

// ranRequests are the requests that ran at a back end: an application server ran the
// call, or a language server wrote at least one token.
func (e *Evidence) ranRequests() map[vrid.RequestID]vrid.ServerID {
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

// checkNotRun is I5: a refusal that says notRun: true means the call did not run.
func checkNotRun(e *Evidence) Check {
	check := Check{Name: "I5", Rule: "notRun: true means that nothing ran"}
	ran := e.ranRequests()
	claims := 0
	e.attempts(func(call vrload.Call, attempt vrload.Attempt) {
		if attempt.End != vrload.EndRefused || !attempt.Problem.NotRun {
			return
		}
		claims++
		if attempt.Problem.Ran != "no" {
			check.broken("call %d: notRun: true beside ran: %q", call.Number, attempt.Problem.Ran)
		}
		if server, ok := ran[attempt.Request]; ok {
			check.broken("call %d: request %s ran at %s, refused as %s", call.Number, attempt.Request, server, attempt.Problem.Reason)
		}
	})
	recorded := 0
	for _, entry := range e.Record {
		if entry.Kind != vrrecord.EntryRefused || entry.Ran != vrrecord.RanNo {
			continue
		}
		recorded++
		if server, ok := ran[entry.Request]; ok {
			check.broken("request %s ran at %s, the record says that it did not", entry.Request, server)
		}
	}
	check.Seen = fmt.Sprintf("%d refusals with notRun: true, %d entries of the record", claims, recorded)
	return check
}

// checkAtMostOnce is I6: a non-idempotent call runs at most once.
func checkAtMostOnce(e *Evidence) Check {
	check := Check{Name: "I6", Rule: "a non-idempotent call runs at most once"}
	runs := make(map[vrid.IdempotencyKey]int)
	for _, entry := range e.Journal {
		if entry.Kind != vrstandin.JournalRun || (entry.Object != vrdeploy.PathReservations && entry.Object != vrdeploy.PathOrders) {
			continue
		}
		runs[entry.Key]++
		if entry.Key == "" {
			check.broken("journal %d: a call without a key ran at %s", entry.Number, entry.Server)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(runs)) {
		if runs[key] > 1 {
			check.broken("key %s ran %d times", key, runs[key])
		}
	}
	confirmed, unknown, repeated := 0, 0, 0
	for _, view := range e.Views {
		if view.Call.Key == "" {
			continue
		}
		last := view.Last()
		repeated += len(view.Attempts) - 1
		if last.End == vrload.EndAnswered {
			confirmed++
			if runs[view.Call.Key] == 0 {
				check.broken("key %s was confirmed and never ran", view.Call.Key)
			}
		}
		if last.Status == http.StatusBadGateway {
			unknown++
		}
	}
	check.Seen = fmt.Sprintf("%d keys ran, %d confirmed, %d unknown, %d retries by callers", len(runs), confirmed, unknown, repeated)
	return check
}
