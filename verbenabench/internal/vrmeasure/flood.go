package vrmeasure

import (
	"time"

	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Targets of the floods.
const (
	_floodUrgentInTarget = 0.99
	_floodNormalKept     = 0.95
	// _floodWhole is the part of the rest that counts as the whole: a slot is empty for
	// the round trip between two requests.
	_floodWhole = 0.95
)

const (
	_floodTokens  = 100
	_floodService = _prefill + (_floodTokens-1)*_token
	_calm         = 30 * time.Second
	_floodLength  = 40 * time.Second
	// _floodSettled is the part of a flood that is not counted: the queues fill and the
	// replicas for the new demand are loaded.
	_floodSettled = 10 * time.Second
	_floodDrain   = 45 * time.Second
	// _manyBase and _manyFlood are the numbers of models of a rank in use.
	_manyUrgent   = 9
	_manyNormal   = 3
	_manyDeferred = 6
)

// load is a stream of requests as a part of the fleet's capacity.
type load struct {
	rank vrid.Rank
	many int
	part float64
}

// capacity is the number of requests that all slots serve in a second.
func (s *setting) capacity() float64 {
	return float64(s.slots()) / _floodService.Seconds()
}

func (s *setting) slots() int {
	slots := 0
	for _, pool := range s.Options.Fleet.Pools {
		if pool.Kind == vrconfig.KindLanguageServer {
			slots = pool.Slots * len(s.Engines)
		}
	}
	return slots
}

// stream sends requests for a rank's models at all daemons for a while.
func (s *setting) stream(l load, length time.Duration) {
	models := s.modelsOf(l.rank)
	models = models[:min(l.many, len(models))]
	end := s.Now().Add(length)
	rate := l.part * s.capacity()
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

// flood runs a calm phase and then the same load with a flood.
func (s *setting) flood(base []load, flood load) (calm, flooded [2]time.Time) {
	for _, l := range base {
		s.stream(l, _calm+_floodLength)
	}
	s.Advance(_calm / 2)
	calm[0] = s.Now()
	s.Advance(_calm / 2)
	calm[1] = s.Now()
	s.stream(flood, _floodLength)
	s.Advance(_floodSettled)
	flooded[0] = s.Now()
	s.Advance(_floodLength - _floodSettled)
	flooded[1] = s.Now()
	s.Advance(_floodDrain)
	return calm, flooded
}

// shareOf is the part of all slots' time that a rank's requests held in a window.
func (s *setting) shareOf(rank vrid.Rank, window [2]time.Time) float64 {
	var held time.Duration
	for _, call := range s.calls {
		if call.Request.Rank != rank || call.FirstToken.IsZero() {
			continue
		}
		from := call.FirstToken.Add(-_prefill)
		to := from.Add(_floodService)
		held += max(0, earlier(to, window[1]).Sub(later(from, window[0])))
	}
	return held.Seconds() / (float64(s.slots()) * window[1].Sub(window[0]).Seconds())
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// floodLow measures a flood of the deferred rank at ten times the capacity.
func floodLow(options Options, policy Policy) (Run, error) {
	const times = 10
	s, err := newSetting(options, policy)
	if err != nil {
		return Run{}, err
	}
	base := []load{
		{rank: vrid.RankUrgent, many: _manyUrgent, part: 0.3},
		{rank: vrid.RankNormal, many: _manyNormal, part: 0.1},
		{rank: vrid.RankDeferred, many: _manyDeferred, part: 0.05},
	}
	calm, flooded := s.flood(base, load{rank: vrid.RankDeferred, many: _manyDeferred, part: times})
	run := Run{}
	urgent := s.serviceOf(vrid.RankUrgent, flooded[0], flooded[1])
	before := s.serviceOf(vrid.RankNormal, calm[0], calm[1])
	normal := s.serviceOf(vrid.RankNormal, flooded[0], flooded[1])
	unflooded, kept := part(before.inTarget, before.sent), part(normal.inTarget, normal.sent)
	floor := s.Options.Fleet.RankPolicyOf(vrid.RankDeferred).Floor
	run.add("urgent in target", "part", part(urgent.inTarget, urgent.sent), atLeast(_floodUrgentInTarget))
	run.add("urgent p95 to the first token", "s", vrstat.Quantile(urgent.firsts, 0.95), nil)
	run.add("normal in target / unflooded", "", kept/unflooded, atLeast(_floodNormalKept))
	run.add("deferred share of the slots", "part", s.shareOf(vrid.RankDeferred, flooded), atLeast(floor))
	s.addCommon(&run, flooded)
	run.Curves = []Curve{distribution("urgent", urgent.firsts), distribution("normal", normal.firsts)}
	return run, nil
}

// floodUrgent measures a flood of the urgent rank at five times the capacity.
func floodUrgent(options Options, policy Policy) (Run, error) {
	const times = 5
	s, err := newSetting(options, policy)
	if err != nil {
		return Run{}, err
	}
	base := []load{
		{rank: vrid.RankUrgent, many: _manyUrgent, part: 0.3},
		{rank: vrid.RankNormal, many: _manyNormal, part: 0.3},
		{rank: vrid.RankDeferred, many: _manyDeferred, part: 0.3},
	}
	_, flooded := s.flood(base, load{rank: vrid.RankUrgent, many: _manyUrgent, part: times})
	run := Run{}
	others := 0.0
	for _, rank := range []vrid.Rank{vrid.RankNormal, vrid.RankDeferred} {
		share := s.shareOf(rank, flooded)
		others += share
		run.add(rank.String()+" share of the slots", "part", share, atLeast(s.Options.Fleet.RankPolicyOf(rank).Floor))
	}
	urgent := s.shareOf(vrid.RankUrgent, flooded)
	run.add("urgent share of the slots", "part", urgent, nil)
	run.add("urgent share / rest", "", urgent/(1-others), atLeast(_floodWhole))
	sum := s.serviceOf(vrid.RankUrgent, flooded[0], flooded[1])
	run.add("urgent p95 to the first token", "s", vrstat.Quantile(sum.firsts, 0.95), nil)
	s.addCommon(&run, flooded)
	run.Curves = []Curve{distribution("urgent", sum.firsts)}
	return run, nil
}

// addCommon adds what holds in every flood.
func (s *setting) addCommon(run *Run, window [2]time.Time) {
	late, unended, refused, sent, unproven := 0, 0, 0, 0, 0
	for _, rank := range vrid.Ranks() {
		sum := s.serviceOf(rank, window[0], window[1])
		late += sum.late
		unended += sum.unended
		refused += sum.refused
		sent += sum.sent
	}
	for _, call := range s.calls {
		if call.End == vrworld.EndRefused && call.Starts > 0 {
			unproven++
		}
	}
	run.add("refusals after the deadline", "", float64(late), atMost(0))
	run.add("requests without an end", "", float64(unended), atMost(0))
	run.add("refused", "part", part(refused, sent), nil)
	run.add("refused after a start at a server", "", float64(unproven), nil)
	run.add("loads", "", float64(s.loads), nil)
}
