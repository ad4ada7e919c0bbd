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

// Bounds of the design.
const (
	_leavingBound = 3 * time.Second
	_configBound  = 7 * time.Second
)

// checkLeaving is I7: a leaving endpoint receives no new work after 3 s.
func checkLeaving(e *Evidence) Check {
	check := Check{Name: "I7", Rule: "no new work for a leaving endpoint after 3 s"}
	left := make(map[vrid.ServerID]time.Time)
	work := 0
	for _, entry := range e.Journal {
		switch entry.Kind {
		case vrstandin.JournalLeaving:
			if _, known := left[entry.Server]; !known {
				left[entry.Server] = entry.At
			}
			continue
		case vrstandin.JournalGenerate, vrstandin.JournalLoadStarted, vrstandin.JournalRun:
		default:
			continue
		}
		at, leaving := left[entry.Server]
		if !leaving {
			continue
		}
		work++
		if after := entry.At.Sub(at); after > _leavingBound {
			check.broken("journal %d: %s got a %s %s after it began to leave", entry.Number, entry.Server, entry.Kind, after.Round(time.Millisecond))
		}
	}
	check.Seen = fmt.Sprintf("%d servers left, %d pieces of work reached them within the bound", len(left), work-len(check.Violations))
	return check
}

// checkShutdown is I8: a graceful shutdown interrupts no request. A call that reaches a
// daemon after its SIGTERM may find the port closed.
func checkShutdown(e *Evidence) Check {
	check := Check{Name: "I8", Rule: "a graceful shutdown interrupts no request"}
	during := 0
	e.attempts(func(call vrload.Call, attempt vrload.Attempt) {
		at, stopping := e.Stopping[attempt.Daemon]
		if !stopping || !attempt.Ended.After(at) {
			return
		}
		if attempt.Began.Before(at) {
			during++
		}
		underWay := attempt.Started || at.Sub(attempt.Began) > _accepted
		if attempt.End == vrload.EndBroken && underWay {
			check.broken("call %d at %s: broken %s after the SIGTERM", call.Number, attempt.Daemon, attempt.Ended.Sub(at).Round(time.Millisecond))
		}
	})
	if e.ShutdownErr != nil {
		check.broken("%v", e.ShutdownErr)
	}
	check.Seen = fmt.Sprintf("%d shutdowns, %d calls under way at their time", len(e.Stopping), during)
	return check
}

// _accepted is how long before the SIGTERM a call must have begun to be surely accepted
// by then.
const _accepted = 100 * time.Millisecond

// checkConfiguration is I9: an accepted configuration is in force everywhere within
// seconds and never reverts.
func checkConfiguration(e *Evidence) Check {
	check := Check{Name: "I9", Rule: "a configuration is in force within 7 s and never reverts"}
	type run struct {
		daemon vrid.DaemonID
		boot   vrid.BootID
	}
	perRun := make(map[run][]vrrecord.Entry)
	for _, entry := range e.Record {
		if entry.Kind.Terminal() {
			id := run{entry.Daemon, entry.Boot}
			perRun[id] = append(perRun[id], entry)
		}
	}
	slowest := time.Duration(0)
	for id, entries := range perRun {
		slices.SortFunc(entries, func(a, b vrrecord.Entry) int { return int(a.Number) - int(b.Number) })
		newest := vrid.ConfigVersion(0)
		for _, entry := range entries {
			if entry.Config < newest {
				check.broken("%s: entry %d holds configuration %d after %d", id.daemon, entry.Number, entry.Config, newest)
			}
			newest = max(newest, entry.Config)
			if e.ConfigChangedAt.IsZero() || entry.Config >= e.ConfigVersion {
				continue
			}
			after := e.arrival(entry).Sub(e.inReach(entry.Daemon))
			slowest = max(slowest, after)
			if after > _configBound {
				check.broken("%s: entry %d holds configuration %d %s after the change", id.daemon, entry.Number, entry.Config, after.Round(time.Millisecond))
			}
		}
	}
	check.Seen = fmt.Sprintf("%d runs of daemons, configuration %d, last entry with an older one %s after the change; %s",
		len(perRun), e.ConfigVersion, slowest.Round(time.Millisecond), e.acknowledged(&check))
	return check
}

// inReach is from when on the daemon could learn of the change: a process that was
// stopped can from its continuation on.
func (e *Evidence) inReach(daemon vrid.DaemonID) time.Time {
	reach := e.ConfigChangedAt
	for _, pause := range e.Paused[daemon] {
		if pause.Until.After(reach) {
			reach = pause.Until
		}
	}
	return reach
}

// arrival is when the entry's request came, because the version is taken then.
func (e *Evidence) arrival(entry vrrecord.Entry) time.Time {
	return time.UnixMilli(entry.At).Add(-time.Duration(entry.Total) * time.Microsecond)
}

// acknowledged says how long after the change each zone's acknowledgement was written.
func (e *Evidence) acknowledged(check *Check) string {
	if e.ConfigChangedAt.IsZero() {
		return "no change was made"
	}
	seen := make(map[string]time.Duration)
	for _, entry := range e.Journal {
		if entry.Kind != vrstandin.JournalWrite || !strings.HasPrefix(entry.Object, vrplatform.PrefixConfigAck) {
			continue
		}
		zone := strings.TrimPrefix(entry.Object, vrplatform.PrefixConfigAck)
		after := entry.At.Sub(e.ConfigChangedAt)
		if _, known := seen[zone]; !known && after > 0 {
			seen[zone] = after
		}
	}
	parts := make([]string, 0, len(seen))
	for _, zone := range e.Fleet.Zones() {
		after, ok := seen[string(zone)]
		if !ok || after > _configBound {
			check.broken("zone %s did not acknowledge configuration %d within %s", zone, e.ConfigVersion, _configBound)
			continue
		}
		parts = append(parts, fmt.Sprintf("%s acknowledged after %s", zone, after.Round(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}
