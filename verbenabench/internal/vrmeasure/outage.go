package vrmeasure

import (
	"time"

	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	_slowFactor        = 4
	_slowPhases        = 2
	_slowLength        = 40 * time.Second
	_normalSpeedLength = 20 * time.Second
	// _coldInterval is the interval between two requests for models that are not warm.
	_coldInterval   = 400 * time.Millisecond
	_outageLength   = 40 * time.Second
	_recoveryLength = 60 * time.Second
	_binWidth       = time.Second
	// _recoveredFraction is the fraction of the in-target ratio before a loss from
	// which service counts as recovered.
	_recoveredFraction = 0.95
	// _minWarmInTarget is the minimum fraction of warm urgent requests that stay in target.
	_minWarmInTarget = 1.0
)

// slowStore measures two phases in which the weight store runs at a quarter of its speed.
func slowStore(options Options, policy Policy) (Run, error) {
	s, err := newSimulation(options, policy, withoutLocalCopies)
	if err != nil {
		return Run{}, err
	}
	length := _steadyLength + _slowPhases*(_slowLength+_normalSpeedLength)
	s.startLoad(requestLoad{rank: vrid.RankUrgent, modelCount: _urgentModels, fraction: 0.2}, length)
	s.Advance(_steadyLength)
	warm := make(map[vrid.ModelID]bool)
	for _, model := range s.modelsOf(vrid.RankUrgent)[:_urgentModels] {
		warm[model.ID] = true
	}
	s.measuredFrom = s.Now()
	s.startColdLoad(warm, length-_steadyLength)
	for range _slowPhases {
		s.Weights.SetSlowdown(_slowFactor)
		s.Advance(_slowLength)
		s.Weights.SetSlowdown(1)
		s.Advance(_normalSpeedLength)
	}
	s.Advance(_drainTime)
	return s.slowStoreFigures(warm), nil
}

// startColdLoad schedules requests for models that are not warm, in turn.
func (s *simulation) startColdLoad(warm map[vrid.ModelID]bool, length time.Duration) {
	end := s.Now().Add(length)
	next := 0
	var send func()
	send = func() {
		if !s.Now().Before(end) {
			return
		}
		model := s.model(next % len(s.Options.Fleet.Models))
		next++
		if warm[model.ID] {
			s.After(0, send)
			return
		}
		s.send(s.random.IntN(len(s.Daemons)), model, _answerTokens)
		s.After(_coldInterval, send)
	}
	s.After(0, send)
}

func (s *simulation) slowStoreFigures(warm map[vrid.ModelID]bool) Run {
	run := Run{}
	target := s.Options.Fleet.RankPolicyOf(vrid.RankUrgent).Target.Std()
	warmSum, coldSum := outcomeSummary{}, outcomeSummary{}
	refusalTime := time.Duration(0)
	for _, call := range s.calls {
		if call.Sent.Before(s.measuredFrom) {
			continue
		}
		if warm[call.Request.Model] {
			warmSum.add(call, target)
			continue
		}
		coldSum.add(call, target)
		if call.End == vrworld.EndRefused {
			refusalTime += call.Ended.Sub(call.Sent)
		}
	}
	run.add("warm urgent in target", "part", fraction(warmSum.inTarget, warmSum.sent), atLeast(_minWarmInTarget))
	run.add("warm urgent requests", "", float64(warmSum.sent), nil)
	run.add("cold requests", "", float64(coldSum.sent), nil)
	run.add("cold answered", "part", fraction(coldSum.answered, coldSum.sent), nil)
	run.add("cold refused after the deadline", "", float64(coldSum.lateRefusals), atMost(0))
	run.add("mean time to a refusal", "s", refusalTime.Seconds()/float64(max(coldSum.refused, 1)), nil)
	run.add("requests without an end", "", float64(warmSum.unfinished+coldSum.unfinished), atMost(0))
	return run
}

// zoneLoss measures the loss of a zone and the recovery after its return.
func zoneLoss(options Options, policy Policy) (Run, error) {
	s, err := newSimulation(options, policy)
	if err != nil {
		return Run{}, err
	}
	s.startLoad(requestLoad{rank: vrid.RankUrgent, modelCount: _urgentModels, fraction: 0.25}, _steadyLength+_outageLength+_recoveryLength)
	s.startLoad(requestLoad{rank: vrid.RankNormal, modelCount: _normalModels, fraction: 0.1}, _steadyLength+_outageLength+_recoveryLength)
	s.Advance(_steadyLength)
	lostAt := s.Now()
	s.stopZone(vrworld.ZoneName(1))
	s.Advance(_outageLength)
	returnedAt := s.Now()
	s.startZone(vrworld.ZoneName(1))
	s.Advance(_recoveryLength)
	s.Advance(_drainTime)
	return s.zoneLossFigures(lostAt, returnedAt), nil
}

// stopZone kills the daemons of a zone and restarts its engines with the length of the
// outage as their downtime.
func (s *simulation) stopZone(zone vrid.ZoneID) {
	for _, d := range s.Daemons {
		if d.Zone == zone {
			d.Kill()
		}
	}
	for _, engine := range s.Engines {
		if engine.Zone == zone {
			engine.Restart(_outageLength)
		}
	}
}

// startZone starts the daemons of a zone.
func (s *simulation) startZone(zone vrid.ZoneID) {
	for _, d := range s.Daemons {
		if d.Zone == zone {
			d.Start()
		}
	}
}

func (s *simulation) zoneLossFigures(lostAt, returnedAt time.Time) Run {
	run := Run{}
	end := returnedAt.Add(_recoveryLength - _binWidth)
	before := s.urgentInTarget(lostAt.Add(-_steadyLength/2), lostAt)
	curve := Curve{Name: "urgent in target"}
	lowest := before
	recoveredAfterLoss, recoveredAfterReturn := -1.0, -1.0
	for at := lostAt; at.Before(end); at = at.Add(_binWidth) {
		inTarget := s.urgentInTarget(at, at.Add(_binWidth))
		curve.X = append(curve.X, at.Sub(lostAt).Seconds())
		curve.Y = append(curve.Y, inTarget)
		lowest = min(lowest, inTarget)
		switch {
		case inTarget >= _recoveredFraction*before:
		case at.Before(returnedAt):
			recoveredAfterLoss = at.Add(_binWidth).Sub(lostAt).Seconds()
		default:
			recoveredAfterReturn = at.Add(_binWidth).Sub(returnedAt).Seconds()
		}
	}
	urgent := s.summarize(vrid.RankUrgent, lostAt, end)
	run.add("urgent in target before", "part", before, nil)
	run.add("lowest second of urgent in target", "part", lowest, nil)
	run.add("whole again after the loss", "s", max(0, recoveredAfterLoss), nil)
	run.add("whole again after the return", "s", max(0, recoveredAfterReturn), nil)
	run.add("urgent in target from the loss on", "part", fraction(urgent.inTarget, urgent.sent), nil)
	run.add("refusals after the deadline", "", float64(urgent.lateRefusals), atMost(0))
	run.Curves = []Curve{curve}
	return run
}

// urgentInTarget returns the fraction in target of the urgent requests sent within a window,
// without those that broke because their daemon died.
func (s *simulation) urgentInTarget(from, to time.Time) float64 {
	target := s.Options.Fleet.RankPolicyOf(vrid.RankUrgent).Target.Std()
	sum := outcomeSummary{}
	for _, call := range s.calls {
		if call.Request.Rank != vrid.RankUrgent || call.Sent.Before(from) || !call.Sent.Before(to) || call.End == vrworld.EndBroken {
			continue
		}
		sum.add(call, target)
	}
	return fraction(sum.inTarget, sum.sent)
}
