package vrmeasure

import (
	"slices"
	"time"

	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Targets of a burst of cold starts.
const (
	_coldRatio       = 1.25
	_coldUrgentRatio = 1.15
)

// A burst: 40 idle models, six first requests each at all daemons within 100 ms.
const (
	_burstModels   = 40
	_burstRequests = 6
	_burstLength   = 100 * time.Millisecond
	_burstWait     = 90 * time.Second
)

// coldStart measures the times to the first token after a burst of first requests.
func coldStart(options Options, policy Policy) (Run, error) {
	s, err := newSetting(options, policy, patientRanks, remoteOnly)
	if err != nil {
		return Run{}, err
	}
	var all, urgent []*vrconfig.Model
	for i := range min(_burstModels, len(s.Options.Fleet.Models)) {
		model := s.model(i)
		all = append(all, model)
		if s.rankOf(model) == vrid.RankUrgent {
			urgent = append(urgent, model)
		}
		s.burst(model)
	}
	s.Advance(_burstWait)
	return s.coldFigures(all, urgent), nil
}

// burst sends a model's first requests to different daemons.
func (s *setting) burst(model *vrconfig.Model) {
	daemons := s.random.Perm(len(s.Daemons))
	for i := range _burstRequests {
		s.at(time.Duration(s.random.Int64N(int64(_burstLength))), daemons[i%len(daemons)], model)
	}
}

func (s *setting) coldFigures(all, urgent []*vrconfig.Model) Run {
	run := Run{}
	var firsts []float64
	unanswered := 0
	for _, rank := range vrid.Ranks() {
		sum := s.serviceOf(rank, s.started, s.Now())
		unanswered += sum.sent - sum.answered
		firsts = append(firsts, sum.firsts...)
	}
	slices.Sort(firsts)
	urgentSum := s.serviceOf(vrid.RankUrgent, s.started, s.Now())
	p99, urgentP99 := vrstat.Quantile(firsts, 0.99), vrstat.Quantile(urgentSum.firsts, 0.99)
	best, urgentBest := s.bound(all).Seconds(), s.bound(urgent).Seconds()
	run.add("p99 to the first token", "s", p99, nil)
	run.add("p99 / best schedule", "", p99/best, atMost(_coldRatio))
	run.add("urgent p99 to the first token", "s", urgentP99, nil)
	run.add("urgent p99 / best schedule of the urgent", "", urgentP99/urgentBest, atMost(_coldUrgentRatio))
	run.add("median to the first token", "s", vrstat.Quantile(firsts, 0.5), nil)
	run.add("requests not answered", "", float64(unanswered), atMost(0))
	run.add("loads for each model", "", float64(s.loads)/float64(len(all)), nil)
	run.add("loads not decided", "", float64(s.loads-len(s.decided)), atMost(0))
	run.add("most loads at once at the weight store", "", float64(s.Weights.Most), nil)
	run.Curves = []Curve{distribution("all", firsts), distribution("urgent", urgentSum.firsts)}
	return run
}
