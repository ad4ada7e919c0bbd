package vrmeasure

import (
	"slices"
	"time"

	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Maximum ratios of the 99th percentile to the best schedule for a burst of cold starts.
const (
	_maxColdStartRatio       = 1.25
	_maxUrgentColdStartRatio = 1.15
)

// A burst sends six first requests to each of 40 idle models, spread over all daemons
// within 100 ms.
const (
	_burstModels   = 40
	_burstRequests = 6
	_burstLength   = 100 * time.Millisecond
	_burstWait     = 90 * time.Second
)

// coldStart measures the time to the first token of a burst of requests to idle models.
func coldStart(options Options, policy Policy) (Run, error) {
	s, err := newSimulation(options, policy, withLongDeadlines, withoutLocalCopies)
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
	return s.coldStartFigures(all, urgent), nil
}

// burst schedules a model's first requests at different daemons.
func (s *simulation) burst(model *vrconfig.Model) {
	daemons := s.random.Perm(len(s.Daemons))
	for i := range _burstRequests {
		s.sendAfter(time.Duration(s.random.Int64N(int64(_burstLength))), daemons[i%len(daemons)], model)
	}
}

// coldStartFigures compares the times with minBurstTime, the lower bound for a schedule.
func (s *simulation) coldStartFigures(all, urgent []*vrconfig.Model) Run {
	run := Run{}
	var firstTokenTimes []float64
	unanswered := 0
	for _, rank := range vrid.Ranks() {
		sum := s.summarize(rank, s.measuredFrom, s.Now())
		unanswered += sum.sent - sum.answered
		firstTokenTimes = append(firstTokenTimes, sum.firstTokenTimes...)
	}
	slices.Sort(firstTokenTimes)
	urgentSum := s.summarize(vrid.RankUrgent, s.measuredFrom, s.Now())
	p99, urgentP99 := vrstat.Quantile(firstTokenTimes, 0.99), vrstat.Quantile(urgentSum.firstTokenTimes, 0.99)
	bestTime, urgentBestTime := s.minBurstTime(all).Seconds(), s.minBurstTime(urgent).Seconds()
	run.add("p99 to the first token", "s", p99, nil)
	run.add("p99 / best schedule", "", p99/bestTime, atMost(_maxColdStartRatio))
	run.add("urgent p99 to the first token", "s", urgentP99, nil)
	run.add("urgent p99 / best schedule of the urgent", "", urgentP99/urgentBestTime, atMost(_maxUrgentColdStartRatio))
	run.add("median to the first token", "s", vrstat.Quantile(firstTokenTimes, 0.5), nil)
	run.add("requests not answered", "", float64(unanswered), atMost(0))
	run.add("loads for each model", "", float64(s.loads)/float64(len(all)), nil)
	run.add("loads not decided", "", float64(s.loads-len(s.orderedLoads)), atMost(0))
	run.add("most loads at once at the weight store", "", float64(s.Weights.MaxInFlight), nil)
	run.Curves = []Curve{distribution("all", firstTokenTimes), distribution("urgent", urgentSum.firstTokenTimes)}
	return run
}
