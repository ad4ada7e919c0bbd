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
//	expect answered                      the last request or reserve
//	expect refused claimUnavailable      with its reason; "any" for any
//	expect not-run                       the last refusal said notRun: true
//	expect runs KEY 1                    the call with the key ran so often
//	expect service urgent [at daemon-1] [within 5s]
//	                                     requests are answered again
//	expect journal loadStarted 1 [within 5s]
//	                                     at least so many entries of the kind
//	expect takeover ZONE [within 10s]    another owner than the one named last
//	expect in-force [within 7s]          every zone acknowledged the change
//	expect traffic-ended                 the background calls have ended
//	expect answered-share urgent 0.95    of the calls of a rank so far
//	expect in-target urgent 0.99
//	expect invariants                    stops the daemons and checks I1 to I9
func (s *scenario) expect(arguments []string) error {
	line := read("expect CONDITION", arguments)
	switch line.text() {
	case "ready":
		return s.expectReady(line)
	case "answered":
		return s.expectLast(line, vrload.EndAnswered, "")
	case "refused":
		return s.expectLast(line, vrload.EndRefused, line.text())
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
		s.load.Wait()
		return line.end()
	case "answered-share":
		return s.expectShare(line, "answered", func(vrload.View) bool { return true })
	case "in-target":
		return s.expectShare(line, "in target", s.inTarget)
	case "invariants":
		return s.expectInvariants(line)
	}
	line.fail()
	return line.err
}

// within reads the bound at the end of a line.
func (w *words) within() time.Duration {
	if !w.after("within") {
		return _defaultBound
	}
	return w.duration()
}

func (s *scenario) until(bound time.Duration, want string, condition func() bool) error {
	if err := vrfleet.Until(s.ctx, bound, condition); err != nil {
		return &ExpectError{Want: want, Got: err.Error()}
	}
	return nil
}

func (s *scenario) expectReady(line *words) error {
	name := line.text()
	bound := line.within()
	if err := line.end(); err != nil {
		return err
	}
	if name != "all" {
		return s.fleet.WaitReady(s.ctx, vrid.DaemonID(name), bound)
	}
	for _, daemon := range s.fleet.Deployment.Daemons {
		if !s.fleet.Running(daemon.ID) {
			continue
		}
		if err := s.fleet.WaitReady(s.ctx, daemon.ID, bound); err != nil {
			return err
		}
	}
	return nil
}

func describe(attempt vrload.Attempt) string {
	return fmt.Sprintf("%s at %s %s %s", attempt.End, attempt.Daemon, attempt.Problem.Reason, attempt.Detail)
}

func (s *scenario) expectLast(line *words, end vrload.End, reason string) error {
	if err := line.end(); err != nil {
		return err
	}
	if len(s.last.Attempts) == 0 {
		return &ExpectError{Want: string(end), Got: "no call"}
	}
	last := s.last.Last()
	rightReason := reason == "" || reason == "any" || vrwire.Reason(reason) == last.Problem.Reason
	if last.End != end || !rightReason {
		return &ExpectError{Want: string(end) + " " + reason, Got: describe(last)}
	}
	return nil
}

func (s *scenario) expectNotRun(line *words) error {
	if err := s.expectLast(line, vrload.EndRefused, ""); err != nil {
		return err
	}
	if !s.last.Last().Problem.NotRun {
		return &ExpectError{Want: "notRun: true", Got: describe(s.last.Last())}
	}
	return nil
}

func (s *scenario) expectRuns(line *words) error {
	key, want := s.key(line.text()), int(line.number())
	if err := line.end(); err != nil {
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
func (s *scenario) expectService(line *words) error {
	name := line.text()
	var at vrid.DaemonID
	if line.after("at") {
		daemon, err := s.daemon(line.text())
		if err != nil {
			return err
		}
		at = daemon
	}
	bound := line.within()
	if err := line.end(); err != nil {
		return err
	}
	return s.until(bound, "service of "+name, func() bool {
		call := s.call(name)
		call.Daemon = at
		s.last = s.load.Do(s.ctx, call)
		s.load.Keep(s.last)
		return s.last.Last().End == vrload.EndAnswered
	})
}

func (s *scenario) expectJournal(line *words) error {
	kind, want := vrstandin.EntryKind(line.text()), int(line.number())
	bound := line.within()
	if err := line.end(); err != nil {
		return err
	}
	return s.until(bound, fmt.Sprintf("%d entries %s", want, kind), func() bool {
		count := 0
		for _, entry := range s.fleet.World.Journal.After(0) {
			if entry.Kind == kind {
				count++
			}
		}
		return count >= want
	})
}

func (s *scenario) expectTakeover(line *words) error {
	zone := vrid.ZoneID(line.text())
	former := s.former[zone]
	bound := line.within()
	if err := line.end(); err != nil {
		return err
	}
	return s.until(bound, "another owner of "+string(zone), func() bool {
		owner, err := s.fleet.Owner(zone)
		return err == nil && owner != former
	})
}

func (s *scenario) expectInForce(line *words) error {
	bound := line.within()
	if err := line.end(); err != nil {
		return err
	}
	return s.until(bound, "an acknowledgement of every zone", func() bool {
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

func (s *scenario) inTarget(view vrload.View) bool {
	last := view.Last()
	target := s.fleet.Deployment.Fleet.RankPolicyOf(view.Call.Rank).Target.Std()
	return last.First.Sub(view.Attempts[0].Began) <= target
}

// expectShare counts the calls of a rank that were answered and pass the test.
func (s *scenario) expectShare(line *words, what string, passes func(vrload.View) bool) error {
	rank, err := vrid.ParseRank(line.text())
	want := line.number()
	if err := errors.Join(err, line.end()); err != nil {
		return err
	}
	all, good := 0, 0
	for _, view := range s.load.Views() {
		if view.Call.Rank != rank {
			continue
		}
		all++
		if view.Last().End == vrload.EndAnswered && passes(view) {
			good++
		}
	}
	if all == 0 || float64(good) < want*float64(all) {
		return &ExpectError{Want: fmt.Sprintf("%g of %s %s", want, rank, what), Got: fmt.Sprintf("%d of %d", good, all)}
	}
	return nil
}

// expectInvariants ends the run and judges it.
func (s *scenario) expectInvariants(line *words) error {
	if err := line.end(); err != nil {
		return err
	}
	s.background.Wait()
	s.load.Wait()
	s.evidence.ShutdownErr = s.fleet.StopAll()
	s.evidence.Views = s.load.Views()
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
