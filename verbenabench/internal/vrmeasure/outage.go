package vrmeasure

import (
	"time"

	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	_slowFactor = 4
	_slowTwice  = 2
	_slowLength = 40 * time.Second
	_slowPause  = 20 * time.Second
	// _coldEvery is the pause between two first requests of idle models.
	_coldEvery = 400 * time.Millisecond
	_lossTime  = 40 * time.Second
	_afterLoss = 60 * time.Second
	_bin       = time.Second
	// _wholePart of the urgent service before a loss counts as whole again.
	_wholePart = 0.95
	// _slowWarm is the part of warm urgent requests that stay in target.
	_slowWarm = 1.0
)

// slowStore measures a weight store at a quarter of its speed, twice.
func slowStore(options Options, policy Policy) (Run, error) {
	s, err := newSetting(options, policy, remoteOnly)
	if err != nil {
		return Run{}, err
	}
	length := _calm + _slowTwice*(_slowLength+_slowPause)
	s.stream(load{rank: vrid.RankUrgent, many: _manyUrgent, part: 0.2}, length)
	s.Advance(_calm)
	warm := make(map[vrid.ModelID]bool)
	for _, model := range s.modelsOf(vrid.RankUrgent)[:_manyUrgent] {
		warm[model.ID] = true
	}
	s.started = s.Now()
	s.coldStream(warm, length-_calm)
	for range _slowTwice {
		s.Weights.SetSlowdown(_slowFactor)
		s.Advance(_slowLength)
		s.Weights.SetSlowdown(1)
		s.Advance(_slowPause)
	}
	s.Advance(_floodDrain)
	return s.slowFigures(warm), nil
}

// coldStream sends first requests for models that are not warm.
func (s *setting) coldStream(warm map[vrid.ModelID]bool, length time.Duration) {
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
		s.send(s.random.IntN(len(s.Daemons)), model, _tokens)
		s.After(_coldEvery, send)
	}
	s.After(0, send)
}

func (s *setting) slowFigures(warm map[vrid.ModelID]bool) Run {
	run := Run{}
	target := s.Options.Fleet.RankPolicyOf(vrid.RankUrgent).Target.Std()
	warmSum, coldSum := service{}, service{}
	refusedAfter := time.Duration(0)
	for _, call := range s.calls {
		if call.Sent.Before(s.started) {
			continue
		}
		if warm[call.Request.Model] {
			warmSum.add(call, target)
			continue
		}
		coldSum.add(call, target)
		if call.End == vrworld.EndRefused {
			refusedAfter += call.Ended.Sub(call.Sent)
		}
	}
	run.add("warm urgent in target", "part", part(warmSum.inTarget, warmSum.sent), atLeast(_slowWarm))
	run.add("warm urgent requests", "", float64(warmSum.sent), nil)
	run.add("cold requests", "", float64(coldSum.sent), nil)
	run.add("cold answered", "part", part(coldSum.answered, coldSum.sent), nil)
	run.add("cold refused after the deadline", "", float64(coldSum.late), atMost(0))
	run.add("mean time to a refusal", "s", refusedAfter.Seconds()/float64(max(coldSum.refused, 1)), nil)
	run.add("requests without an end", "", float64(warmSum.unended+coldSum.unended), atMost(0))
	return run
}

// zoneLoss measures the loss of a zone and its return.
func zoneLoss(options Options, policy Policy) (Run, error) {
	s, err := newSetting(options, policy)
	if err != nil {
		return Run{}, err
	}
	s.stream(load{rank: vrid.RankUrgent, many: _manyUrgent, part: 0.25}, _calm+_lossTime+_afterLoss)
	s.stream(load{rank: vrid.RankNormal, many: _manyNormal, part: 0.1}, _calm+_lossTime+_afterLoss)
	s.Advance(_calm)
	lost := s.Now()
	s.loseZone(vrworld.ZoneName(1))
	s.Advance(_lossTime)
	back := s.Now()
	s.returnZone(vrworld.ZoneName(1))
	s.Advance(_afterLoss)
	s.Advance(_floodDrain)
	return s.lossFigures(lost, back), nil
}

// loseZone ends every process of a zone.
func (s *setting) loseZone(zone vrid.ZoneID) {
	for _, d := range s.Daemons {
		if d.Zone == zone {
			d.Kill()
		}
	}
	for _, engine := range s.Engines {
		if engine.Zone == zone {
			engine.Restart(_lossTime)
		}
	}
}

func (s *setting) returnZone(zone vrid.ZoneID) {
	for _, d := range s.Daemons {
		if d.Zone == zone {
			d.Start()
		}
	}
}

func (s *setting) lossFigures(lost, back time.Time) Run {
	run := Run{}
	end := back.Add(_afterLoss - _bin)
	before := s.served(lost.Add(-_calm/2), lost)
	curve := Curve{Name: "urgent in target"}
	least := before
	wholeLost, wholeBack := -1.0, -1.0
	for at := lost; at.Before(end); at = at.Add(_bin) {
		kept := s.served(at, at.Add(_bin))
		curve.X = append(curve.X, at.Sub(lost).Seconds())
		curve.Y = append(curve.Y, kept)
		least = min(least, kept)
		switch {
		case kept >= _wholePart*before:
		case at.Before(back):
			wholeLost = at.Add(_bin).Sub(lost).Seconds()
		default:
			wholeBack = at.Add(_bin).Sub(back).Seconds()
		}
	}
	urgent := s.serviceOf(vrid.RankUrgent, lost, end)
	run.add("urgent in target before", "part", before, nil)
	run.add("lowest second of urgent in target", "part", least, nil)
	run.add("whole again after the loss", "s", max(0, wholeLost), nil)
	run.add("whole again after the return", "s", max(0, wholeBack), nil)
	run.add("urgent in target from the loss on", "part", part(urgent.inTarget, urgent.sent), nil)
	run.add("refusals after the deadline", "", float64(urgent.late), atMost(0))
	run.Curves = []Curve{curve}
	return run
}

// served is the part of urgent requests in target, of those whose daemon did not die.
func (s *setting) served(from, to time.Time) float64 {
	target := s.Options.Fleet.RankPolicyOf(vrid.RankUrgent).Target.Std()
	sum := service{}
	for _, call := range s.calls {
		if call.Request.Rank != vrid.RankUrgent || call.Sent.Before(from) || !call.Sent.Before(to) || call.End == vrworld.EndBroken {
			continue
		}
		sum.add(call, target)
	}
	return part(sum.inTarget, sum.sent)
}
