// Package vrinvariant judges a run by the nine invariants of the design. What happened
// is taken from the stand-ins' journal, what was promised from the callers' views and
// the record.
package vrinvariant

import (
	"fmt"
	"strings"
	"time"

	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
)

// Evidence is everything that is known about a run after it ended.
type Evidence struct {
	Fleet   *vrconfig.Fleet
	Servers map[vrid.ServerID]vrid.ZoneID
	Journal []vrstandin.Entry
	Views   []vrload.View
	Record  []vrrecord.Entry
	// Audit is the verdict on the record's chains and numbers.
	Audit vrrecord.Report
	// Killed are the daemons that were ended without a warning, with the time.
	Killed map[vrid.DaemonID]time.Time
	// Stopping are the daemons that got SIGTERM, with the time.
	Stopping map[vrid.DaemonID]time.Time
	// ShutdownErr say which graceful shutdown went wrong.
	ShutdownErr error
	// ConfigChangedAt is when a second configuration was at the head; zero when none was.
	ConfigChangedAt time.Time
	// Paused are the times for which daemons were stopped.
	Paused map[vrid.DaemonID][]Pause
	// ConfigVersion is the newest configuration.
	ConfigVersion vrid.ConfigVersion
}

// Pause is a time for which a daemon's process was stopped. Until is zero when it was
// not continued.
type Pause struct {
	From  time.Time
	Until time.Time
}

// pausedBetween reports whether the daemon was stopped for some of the time.
func (e *Evidence) pausedBetween(daemon vrid.DaemonID, from, until time.Time) bool {
	for _, pause := range e.Paused[daemon] {
		if pause.From.Before(until) && (pause.Until.IsZero() || pause.Until.After(from)) {
			return true
		}
	}
	return false
}

// Check is the verdict on one invariant.
type Check struct {
	Name string
	Rule string
	// Seen is what was looked at, for example "41 loads of 17 models".
	Seen string
	// Violations is empty when the invariant held.
	Violations []string
}

// Held reports whether the invariant held and something was looked at.
func (c Check) Held() bool { return len(c.Violations) == 0 }

// String prints the verdict with at most a few violations.
func (c Check) String() string {
	const shown = 5
	verdict := "held"
	if !c.Held() {
		verdict = "BROKEN"
	}
	lines := []string{fmt.Sprintf("%-3s %-6s %s: %s", c.Name, verdict, c.Rule, c.Seen)}
	for i, violation := range c.Violations {
		if i == shown {
			lines = append(lines, fmt.Sprintf("           and %d more", len(c.Violations)-shown))
			break
		}
		lines = append(lines, "           "+violation)
	}
	return strings.Join(lines, "\n")
}

func (c *Check) broken(format string, arguments ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, arguments...))
}

// CheckAll checks every invariant.
func CheckAll(evidence *Evidence) []Check {
	return []Check{
		checkReplicas(evidence),
		checkMemory(evidence),
		checkEnds(evidence),
		checkAnswers(evidence),
		checkNotRun(evidence),
		checkAtMostOnce(evidence),
		checkLeaving(evidence),
		checkShutdown(evidence),
		checkConfiguration(evidence),
	}
}

// AllHeld reports whether every check held.
func AllHeld(checks []Check) bool {
	for _, check := range checks {
		if !check.Held() {
			return false
		}
	}
	return true
}

// attempts calls visit for each attempt of each call.
func (e *Evidence) attempts(visit func(call vrload.Call, attempt vrload.Attempt)) {
	for _, view := range e.Views {
		for _, attempt := range view.Attempts {
			visit(view.Call, attempt)
		}
	}
}
