package vrmeasure

import (
	"time"

	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Targets under a flood: the minimum fraction of urgent requests in target, the minimum
// ratio of normal requests in target to the steady phase, and a minimum slot share.
const (
	_floodUrgentInTarget = 0.99
	_floodNormalRetained = 0.95
	// _floodMinRemainingShare is the minimum fraction that the urgent rank uses of the slot
	// time that the other ranks leave. It is below 1 because a slot is empty for the round
	// trip between two requests.
	_floodMinRemainingShare = 0.95
)

const (
	_floodTokens      = 100
	_floodServiceTime = _prefillTime + (_floodTokens-1)*_tokenInterval
	_steadyLength     = 30 * time.Second
	_floodLength      = 40 * time.Second
	// _floodSettleTime is the time at the start of a flood that is not measured: the queues
	// fill and the replicas for the new demand are loaded.
	_floodSettleTime = 10 * time.Second
	_drainTime       = 45 * time.Second
	// _urgentModels, _normalModels and _deferredModels are the numbers of models in use,
	// by rank.
	_urgentModels   = 9
	_normalModels   = 3
	_deferredModels = 6
)

// requestLoad is a Poisson stream of requests for the first modelCount models of a rank, at
// a fraction of the fleet's capacity.
type requestLoad struct {
	rank       vrid.Rank
	modelCount int
	fraction   float64
}

// capacity returns the number of requests a second that all slots together serve.
func (s *simulation) capacity() float64 {
	return float64(s.slots()) / _floodServiceTime.Seconds()
}

// slots returns the number of slots of all language servers.
func (s *simulation) slots() int {
	slots := 0
	for _, pool := range s.Options.Fleet.Pools {
		if pool.Kind == vrconfig.KindLanguageServer {
			slots = pool.Slots * len(s.Engines)
		}
	}
	return slots
}

// startLoad schedules the requests of a load at random daemons for a length of time.
func (s *simulation) startLoad(l requestLoad, length time.Duration) {
	models := s.modelsOf(l.rank)
	models = models[:min(l.modelCount, len(models))]
	end := s.Now().Add(length)
	rate := l.fraction * s.capacity()
	var next func()
	next = func() {
		if !s.Now().Before(end) {
			return
		}
		s.send(s.random.IntN(len(s.Daemons)), models[s.random.IntN(len(models))], _floodTokens)
		s.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.After(0, next)
}

// runFlood runs a steady phase with the background loads and then adds the flood. It returns
// the measured window of each phase.
func (s *simulation) runFlood(background []requestLoad, flood requestLoad) (steady, flooded [2]time.Time) {
	for _, l := range background {
		s.startLoad(l, _steadyLength+_floodLength)
	}
	s.Advance(_steadyLength / 2)
	steady[0] = s.Now()
	s.Advance(_steadyLength / 2)
	steady[1] = s.Now()
	s.startLoad(flood, _floodLength)
	s.Advance(_floodSettleTime)
	flooded[0] = s.Now()
	s.Advance(_floodLength - _floodSettleTime)
	flooded[1] = s.Now()
	s.Advance(_drainTime)
	return steady, flooded
}

// slotShare returns the fraction of the total slot time in a window that a rank's requests
// used.
func (s *simulation) slotShare(rank vrid.Rank, window [2]time.Time) float64 {
	var busy time.Duration
	for _, call := range s.calls {
		if call.Request.Rank != rank || call.FirstToken.IsZero() {
			continue
		}
		from := call.FirstToken.Add(-_prefillTime)
		to := from.Add(_floodServiceTime)
		busy += max(0, minTime(to, window[1]).Sub(maxTime(from, window[0])))
	}
	return busy.Seconds() / (float64(s.slots()) * window[1].Sub(window[0]).Seconds())
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// floodLow measures a flood of deferred requests at ten times the capacity.
func floodLow(options Options, policy Policy) (Run, error) {
	const loadFactor = 10
	s, err := newSimulation(options, policy)
	if err != nil {
		return Run{}, err
	}
	background := []requestLoad{
		{rank: vrid.RankUrgent, modelCount: _urgentModels, fraction: 0.3},
		{rank: vrid.RankNormal, modelCount: _normalModels, fraction: 0.1},
		{rank: vrid.RankDeferred, modelCount: _deferredModels, fraction: 0.05},
	}
	steady, flooded := s.runFlood(background, requestLoad{rank: vrid.RankDeferred, modelCount: _deferredModels, fraction: loadFactor})
	run := Run{}
	urgent := s.summarize(vrid.RankUrgent, flooded[0], flooded[1])
	before := s.summarize(vrid.RankNormal, steady[0], steady[1])
	normal := s.summarize(vrid.RankNormal, flooded[0], flooded[1])
	steadyInTarget, floodInTarget := fraction(before.inTarget, before.sent), fraction(normal.inTarget, normal.sent)
	floor := s.Options.Fleet.RankPolicyOf(vrid.RankDeferred).Floor
	run.add("urgent in target", "part", fraction(urgent.inTarget, urgent.sent), atLeast(_floodUrgentInTarget))
	run.add("urgent p95 to the first token", "s", vrstat.Quantile(urgent.firstTokenTimes, 0.95), nil)
	run.add("normal in target / unflooded", "", floodInTarget/steadyInTarget, atLeast(_floodNormalRetained))
	run.add("deferred share of the slots", "part", s.slotShare(vrid.RankDeferred, flooded), atLeast(floor))
	s.addCommonFigures(&run, flooded)
	run.Curves = []Curve{distribution("urgent", urgent.firstTokenTimes), distribution("normal", normal.firstTokenTimes)}
	return run, nil
}

// floodUrgent measures a flood of urgent requests at five times the capacity.
func floodUrgent(options Options, policy Policy) (Run, error) {
	const loadFactor = 5
	s, err := newSimulation(options, policy)
	if err != nil {
		return Run{}, err
	}
	background := []requestLoad{
		{rank: vrid.RankUrgent, modelCount: _urgentModels, fraction: 0.3},
		{rank: vrid.RankNormal, modelCount: _normalModels, fraction: 0.3},
		{rank: vrid.RankDeferred, modelCount: _deferredModels, fraction: 0.3},
	}
	_, flooded := s.runFlood(background, requestLoad{rank: vrid.RankUrgent, modelCount: _urgentModels, fraction: loadFactor})
	run := Run{}
	othersShare := 0.0
	for _, rank := range []vrid.Rank{vrid.RankNormal, vrid.RankDeferred} {
		share := s.slotShare(rank, flooded)
		othersShare += share
		run.add(rank.String()+" share of the slots", "part", share, atLeast(s.Options.Fleet.RankPolicyOf(rank).Floor))
	}
	urgent := s.slotShare(vrid.RankUrgent, flooded)
	run.add("urgent share of the slots", "part", urgent, nil)
	run.add("urgent share / rest", "", urgent/(1-othersShare), atLeast(_floodMinRemainingShare))
	sum := s.summarize(vrid.RankUrgent, flooded[0], flooded[1])
	run.add("urgent p95 to the first token", "s", vrstat.Quantile(sum.firstTokenTimes, 0.95), nil)
	s.addCommonFigures(&run, flooded)
	run.Curves = []Curve{distribution("urgent", sum.firstTokenTimes)}
	return run, nil
}

// addCommonFigures adds the figures that all floods share.
func (s *simulation) addCommonFigures(run *Run, window [2]time.Time) {
	lateRefusals, unfinished, refused, sent, refusedAfterStart := 0, 0, 0, 0, 0
	for _, rank := range vrid.Ranks() {
		sum := s.summarize(rank, window[0], window[1])
		lateRefusals += sum.lateRefusals
		unfinished += sum.unfinished
		refused += sum.refused
		sent += sum.sent
	}
	for _, call := range s.calls {
		if call.End == vrworld.EndRefused && call.EngineStarts > 0 {
			refusedAfterStart++
		}
	}
	run.add("refusals after the deadline", "", float64(lateRefusals), atMost(0))
	run.add("requests without an end", "", float64(unfinished), atMost(0))
	run.add("refused", "part", fraction(refused, sent), nil)
	run.add("refused after a start at a server", "", float64(refusedAfterStart), nil)
	run.add("loads", "", float64(s.loads), nil)
}
