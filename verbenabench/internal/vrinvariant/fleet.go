package vrinvariant

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
)

// Time limits of the invariants.
const (
	_maxLeavingDelay = 3 * time.Second
	_maxConfigDelay  = 7 * time.Second
)

// checkLeaving checks I7: a leaving endpoint receives no new work once 3 s have passed.
func checkLeaving(e *Evidence) Check {
	check := Check{Name: "I7", Rule: "no new work for a leaving endpoint after 3 s"}
	leavingSince := make(map[vrid.ServerID]time.Time)
	dispatched := 0
	for _, entry := range e.Journal {
		switch entry.Kind {
		case vrstandin.JournalLeaving:
			if _, known := leavingSince[entry.Server]; !known {
				leavingSince[entry.Server] = entry.At
			}
			continue
		case vrstandin.JournalGenerate, vrstandin.JournalLoadStarted, vrstandin.JournalRun:
		default:
			continue
		}
		at, leaving := leavingSince[entry.Server]
		if !leaving {
			continue
		}
		dispatched++
		if delay := entry.At.Sub(at); delay > _maxLeavingDelay {
			check.violationf("journal %d: %s: %s %s after the server started leaving", entry.Number, entry.Server, entry.Kind, delay.Round(time.Millisecond))
		}
	}
	check.Summary = fmt.Sprintf("%d servers left, %d requests or loads reached them within the limit", len(leavingSince), dispatched-len(check.Violations))
	return check
}

// checkShutdown checks I8: a graceful shutdown interrupts no request. A call that reaches
// a daemon after its SIGTERM may be refused a connection, because the daemon has closed its
// port by then.
func checkShutdown(e *Evidence) Check {
	check := Check{Name: "I8", Rule: "a graceful shutdown interrupts no request"}
	inFlight := 0
	e.forEachAttempt(func(call vrload.Call, attempt vrload.Attempt) {
		at, stopping := e.Stopping[attempt.Daemon]
		if !stopping || !attempt.Ended.After(at) {
			return
		}
		if attempt.Began.Before(at) {
			inFlight++
		}
		accepted := attempt.ResponseStarted || at.Sub(attempt.Began) > _acceptTime
		if attempt.End == vrload.EndBroken && accepted {
			check.violationf("call %d at %s: broken %s after the SIGTERM", call.Number, attempt.Daemon, attempt.Ended.Sub(at).Round(time.Millisecond))
		}
	})
	if e.ShutdownErr != nil {
		check.violationf("%v", e.ShutdownErr)
	}
	check.Summary = fmt.Sprintf("%d shutdowns, %d calls in flight when they started", len(e.Stopping), inFlight)
	return check
}

// _acceptTime is how long before the SIGTERM a call must have begun for the check to assume
// that its connection was accepted by then.
const _acceptTime = 100 * time.Millisecond

// checkConfiguration checks I9: an accepted configuration is in force on every daemon
// within _maxConfigDelay, and no daemon goes back to an older one.
func checkConfiguration(e *Evidence) Check {
	check := Check{Name: "I9", Rule: "a configuration is in force within 7 s and never reverts"}
	type run struct {
		daemon vrid.DaemonID
		boot   vrid.BootID
	}
	entriesByRun := make(map[run][]vrrecord.Entry)
	for _, entry := range e.Record {
		if entry.Kind.Terminal() {
			id := run{entry.Daemon, entry.Boot}
			entriesByRun[id] = append(entriesByRun[id], entry)
		}
	}
	maxDelay := time.Duration(0)
	for id, entries := range entriesByRun {
		slices.SortFunc(entries, func(a, b vrrecord.Entry) int { return int(a.Number) - int(b.Number) })
		newest := vrid.ConfigVersion(0)
		for _, entry := range entries {
			if entry.Config < newest {
				check.violationf("%s: entry %d holds configuration %d after %d", id.daemon, entry.Number, entry.Config, newest)
			}
			newest = max(newest, entry.Config)
			if e.ConfigChangedAt.IsZero() || entry.Config >= e.ConfigVersion {
				continue
			}
			delay := e.arrivalTime(entry).Sub(e.earliestConfigTime(entry.Daemon))
			maxDelay = max(maxDelay, delay)
			if delay > _maxConfigDelay {
				check.violationf("%s: entry %d holds configuration %d %s after the change", id.daemon, entry.Number, entry.Config, delay.Round(time.Millisecond))
			}
		}
	}
	check.Summary = fmt.Sprintf("%d daemon runs, configuration %d, last entry with an older one %s after the change; %s",
		len(entriesByRun), e.ConfigVersion, maxDelay.Round(time.Millisecond), e.checkAcks(&check))
	return check
}

// earliestConfigTime returns the earliest time at which the daemon could learn of the
// configuration change. A paused process can only learn of it after it is resumed.
func (e *Evidence) earliestConfigTime(daemon vrid.DaemonID) time.Time {
	earliest := e.ConfigChangedAt
	for _, pause := range e.Paused[daemon] {
		if pause.Until.After(earliest) {
			earliest = pause.Until
		}
	}
	return earliest
}

// arrivalTime returns when the entry's request arrived, which is when the daemon fixes the
// configuration version that it handles the request with.
func (e *Evidence) arrivalTime(entry vrrecord.Entry) time.Time {
	return time.UnixMilli(entry.At).Add(-time.Duration(entry.Total) * time.Microsecond)
}

// checkAcks checks that each zone's acknowledgement of the configuration change was written
// in time, and returns a summary of the delays.
func (e *Evidence) checkAcks(check *Check) string {
	if e.ConfigChangedAt.IsZero() {
		return "no change was made"
	}
	acks := make(map[string]time.Duration)
	for _, entry := range e.Journal {
		if entry.Kind != vrstandin.JournalWrite || !strings.HasPrefix(entry.Object, vrplatform.PrefixConfigAck) {
			continue
		}
		zone := strings.TrimPrefix(entry.Object, vrplatform.PrefixConfigAck)
		delay := entry.At.Sub(e.ConfigChangedAt)
		if _, known := acks[zone]; !known && delay > 0 {
			acks[zone] = delay
		}
	}
	parts := make([]string, 0, len(acks))
	for _, zone := range e.Fleet.Zones() {
		delay, ok := acks[string(zone)]
		if !ok || delay > _maxConfigDelay {
			check.violationf("zone %s did not acknowledge configuration %d within %s", zone, e.ConfigVersion, _maxConfigDelay)
			continue
		}
		parts = append(parts, fmt.Sprintf("%s acknowledged after %s", zone, delay.Round(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}
