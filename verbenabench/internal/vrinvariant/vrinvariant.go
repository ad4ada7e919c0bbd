// Package vrinvariant checks the system's nine invariants (I1 to I9) after a run. The
// journal of the stand-in servers shows what happened; the callers' results and the record
// show what the system reported.
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

// Evidence holds the data collected during a run. It is the input of the checks.
type Evidence struct {
	Fleet   *vrconfig.Fleet
	Servers map[vrid.ServerID]vrid.ZoneID
	Journal []vrstandin.Entry
	Results []vrload.Result
	Record  []vrrecord.Entry
	// Audit is the result of verifying the record's hash chains and entry numbers.
	Audit vrrecord.Report
	// Killed maps each daemon that was killed without a graceful shutdown to the time of the
	// kill.
	Killed map[vrid.DaemonID]time.Time
	// Stopping maps each daemon that received SIGTERM to the time of the signal.
	Stopping map[vrid.DaemonID]time.Time
	// ShutdownErr joins the errors of the graceful shutdowns that failed.
	ShutdownErr error
	// ConfigChangedAt is when a second configuration became the head, or zero if none did.
	ConfigChangedAt time.Time
	// Paused holds the intervals during which each daemon was paused.
	Paused map[vrid.DaemonID][]Pause
	// ConfigVersion is the newest configuration version.
	ConfigVersion vrid.ConfigVersion
}

// Pause is an interval during which a daemon's process was paused. Until is zero if the
// process was not resumed.
type Pause struct {
	From  time.Time
	Until time.Time
}

// pausedBetween reports whether the daemon was paused at some time in the interval.
func (e *Evidence) pausedBetween(daemon vrid.DaemonID, from, until time.Time) bool {
	for _, pause := range e.Paused[daemon] {
		if pause.From.Before(until) && (pause.Until.IsZero() || pause.Until.After(from)) {
			return true
		}
	}
	return false
}

// Check is the result of checking one invariant.
type Check struct {
	Name string
	Rule string
	// Summary summarizes what was checked, for example "41 loads of 17 models".
	Summary string
	// Violations is empty if the invariant held.
	Violations []string
}

// Held reports whether no violation was found. It is true if there was nothing to check.
func (c Check) Held() bool { return len(c.Violations) == 0 }

// String formats the result with at most five violations.
func (c Check) String() string {
	const maxShown = 5
	status := "held"
	if !c.Held() {
		status = "BROKEN"
	}
	lines := []string{fmt.Sprintf("%-3s %-6s %s: %s", c.Name, status, c.Rule, c.Summary)}
	for i, violation := range c.Violations {
		if i == maxShown {
			lines = append(lines, fmt.Sprintf("           and %d more", len(c.Violations)-maxShown))
			break
		}
		lines = append(lines, "           "+violation)
	}
	return strings.Join(lines, "\n")
}

func (c *Check) violationf(format string, arguments ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, arguments...))
}

// CheckAll checks all invariants against the evidence.
func CheckAll(evidence *Evidence) []Check {
	return []Check{
		checkReplicas(evidence),
		checkMemory(evidence),
		checkRequestsEnd(evidence),
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

// forEachAttempt calls visit for each attempt of each call.
func (e *Evidence) forEachAttempt(visit func(call vrload.Call, attempt vrload.Attempt)) {
	for _, result := range e.Results {
		for _, attempt := range result.Attempts {
			visit(result.Call, attempt)
		}
	}
}
