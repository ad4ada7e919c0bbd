package vrscenario

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"verbenaroute.example/verbenabench/internal/vrfleet"
	"verbenaroute.example/verbenabench/internal/vrinvariant"
	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// expect checks one condition:
//
//	expect ready all | DAEMON [within 10s]
//	expect answered                      the last request or reserve was answered
//	expect refused claimUnavailable      it was refused with this reason; "any" matches any
//	expect not-run                       it was refused with notRun: true
//	expect runs KEY 1                    the call with the key ran exactly this many times
//	expect service urgent [at daemon-1] [within 5s]
//	                                     repeats new requests until one is answered
//	expect journal loadStarted 1 [within 5s]
//	                                     the journal has at least this many entries of the kind
//	expect takeover ZONE [within 10s]    the zone's owner is not the one that owner:ZONE last
//	                                     resolved to
//	expect in-force [within 7s]          every zone acknowledged the last configuration change
//	expect traffic-ended                 waits until the background calls have ended
//	expect answered-share urgent 0.95    at least this fraction of the rank's calls so far was
//	                                     answered
//	expect in-target urgent 0.99         the same, answered within the rank's latency target
//	expect invariants                    stops the daemons and checks I1 to I9
func (s *scenario) expect(arguments []string) error {
	line := newArgReader("expect CONDITION", arguments)
	switch line.word() {
	case "ready":
		return s.expectReady(line)
	case "answered":
		return s.expectLast(line, vrload.EndAnswered, "")
	case "refused":
		return s.expectLast(line, vrload.EndRefused, line.word())
	case "not-run":
		return s.expectNotRun(line)
	case "runs":
		return s.expectRuns(line)
	case "service":
		return s.expectService(line)
	case "journal":
		return s.expectJournal(line)
	case "takeover":
		return s.expectTakeover(line)
	case "in-force":
		return s.expectInForce(line)
	case "traffic-ended":
		s.background.Wait()
		s.generator.Wait()
		return line.finish()
	case "answered-share":
		return s.expectShare(line, "answered", func(vrload.Result) bool { return true })
	case "in-target":
		return s.expectShare(line, "in target", s.inTarget)
	case "invariants":
		return s.expectInvariants(line)
	}
	line.fail()
	return line.err
}

// timeout reads the optional "within DURATION" at the end of a line.
func (r *argReader) timeout() time.Duration {
	if !r.accept("within") {
		return _defaultTimeout
	}
	return r.duration()
}

func (s *scenario) until(timeout time.Duration, want string, condition func() bool) error {
	if err := vrfleet.Until(s.ctx, timeout, condition); err != nil {
		return &ExpectError{Want: want, Got: err.Error()}
	}
	return nil
}

func (s *scenario) expectReady(line *argReader) error {
	name := line.word()
	timeout := line.timeout()
	if err := line.finish(); err != nil {
		return err
	}
	if name != "all" {
		return s.fleet.WaitReady(s.ctx, vrid.DaemonID(name), timeout)
	}
	for _, daemon := range s.fleet.Deployment.Daemons {
		if !s.fleet.Running(daemon.ID) {
			continue
		}
		if err := s.fleet.WaitReady(s.ctx, daemon.ID, timeout); err != nil {
			return err
		}
	}
	return nil
}

func describe(attempt vrload.Attempt) string {
	return fmt.Sprintf("%s at %s %s %s", attempt.End, attempt.Daemon, attempt.Problem.Reason, attempt.Detail)
}

func (s *scenario) expectLast(line *argReader, end vrload.End, reason string) error {
	if err := line.finish(); err != nil {
		return err
	}
	if len(s.lastResult.Attempts) == 0 {
		return &ExpectError{Want: string(end), Got: "no call was made"}
	}
	last := s.lastResult.Last()
	reasonMatches := reason == "" || reason == "any" || vrwire.Reason(reason) == last.Problem.Reason
	if last.End != end || !reasonMatches {
		return &ExpectError{Want: string(end) + " " + reason, Got: describe(last)}
	}
	return nil
}

func (s *scenario) expectNotRun(line *argReader) error {
	if err := s.expectLast(line, vrload.EndRefused, ""); err != nil {
		return err
	}
	if !s.lastResult.Last().Problem.NotRun {
		return &ExpectError{Want: "notRun: true", Got: describe(s.lastResult.Last())}
	}
	return nil
}

func (s *scenario) expectRuns(line *argReader) error {
	key, want := s.resolveKey(line.word()), int(line.number())
	if err := line.finish(); err != nil {
		return err
	}
	runs := 0
	for _, entry := range s.fleet.World.Journal.After(0) {
		if entry.Kind == vrstandin.JournalRun && entry.Key == key {
			runs++
		}
	}
	if runs != want {
		return &ExpectError{Want: fmt.Sprintf("%d runs of %s", want, key), Got: fmt.Sprint(runs)}
	}
	return nil
}

// expectService repeats new calls until one is answered.
func (s *scenario) expectService(line *argReader) error {
	name := line.word()
	var at vrid.DaemonID
	if line.accept("at") {
		daemon, err := s.resolveDaemon(line.word())
		if err != nil {
			return err
		}
		at = daemon
	}
	timeout := line.timeout()
	if err := line.finish(); err != nil {
		return err
	}
	return s.until(timeout, "an answer to a call for "+name, func() bool {
		call := s.newCall(name)
		call.Daemon = at
		s.lastResult = s.generator.Do(s.ctx, call)
		s.generator.AddResult(s.lastResult)
		return s.lastResult.Last().End == vrload.EndAnswered
	})
}

func (s *scenario) expectJournal(line *argReader) error {
	kind, want := vrstandin.EntryKind(line.word()), int(line.number())
	timeout := line.timeout()
	if err := line.finish(); err != nil {
		return err
	}
	return s.until(timeout, fmt.Sprintf("%d entries of kind %s", want, kind), func() bool {
		count := 0
		for _, entry := range s.fleet.World.Journal.After(0) {
			if entry.Kind == kind {
				count++
			}
		}
		return count >= want
	})
}

func (s *scenario) expectTakeover(line *argReader) error {
	zone := vrid.ZoneID(line.word())
	former := s.lastOwners[zone]
	timeout := line.timeout()
	if err := line.finish(); err != nil {
		return err
	}
	return s.until(timeout, "another owner of "+string(zone), func() bool {
		owner, err := s.fleet.Owner(zone)
		return err == nil && owner != former
	})
}

func (s *scenario) expectInForce(line *argReader) error {
	timeout := line.timeout()
	if err := line.finish(); err != nil {
		return err
	}
	return s.until(timeout, "an acknowledgement from every zone", func() bool {
		zones := make(map[string]bool)
		for _, entry := range s.fleet.World.Journal.After(0) {
			zone, isAck := strings.CutPrefix(entry.Object, vrplatform.PrefixConfigAck)
			if entry.Kind == vrstandin.JournalWrite && isAck && entry.At.After(s.evidence.ConfigChangedAt) {
				zones[zone] = true
			}
		}
		return len(zones) == len(s.fleet.Deployment.Fleet.Zones())
	})
}

func (s *scenario) inTarget(result vrload.Result) bool {
	last := result.Last()
	target := s.fleet.Deployment.Fleet.RankPolicyOf(result.Call.Rank).Target.Std()
	return last.FirstContent.Sub(result.Attempts[0].Began) <= target
}

// expectShare checks the fraction of a rank's calls that were answered and that accepts
// returns true for.
func (s *scenario) expectShare(line *argReader, description string, accepts func(vrload.Result) bool) error {
	rank, err := vrid.ParseRank(line.word())
	want := line.number()
	if err := errors.Join(err, line.finish()); err != nil {
		return err
	}
	total, accepted := 0, 0
	for _, result := range s.generator.Results() {
		if result.Call.Rank != rank {
			continue
		}
		total++
		if result.Last().End == vrload.EndAnswered && accepts(result) {
			accepted++
		}
	}
	if total == 0 || float64(accepted) < want*float64(total) {
		return &ExpectError{Want: fmt.Sprintf("%g of %s calls %s", want, rank, description), Got: fmt.Sprintf("%d of %d", accepted, total)}
	}
	return nil
}

// expectInvariants stops the daemons and checks the invariants on the evidence of the run.
func (s *scenario) expectInvariants(line *argReader) error {
	if err := line.finish(); err != nil {
		return err
	}
	s.background.Wait()
	s.generator.Wait()
	s.evidence.ShutdownErr = s.fleet.StopAll()
	s.evidence.Results = s.generator.Results()
	s.evidence.Journal = s.fleet.World.Journal.After(0)
	if err := s.evidence.ReadRecord(s.fleet.World.Platform.Objects(vrplatform.PrefixRecord)); err != nil {
		return err
	}
	checks := vrinvariant.CheckAll(&s.evidence)
	if vrinvariant.AllHeld(checks) {
		return nil
	}
	var lines []string
	for _, check := range checks {
		if !check.Held() {
			lines = append(lines, check.String())
		}
	}
	return &ExpectError{Want: "every invariant to hold", Got: "\n" + strings.Join(lines, "\n")}
}
