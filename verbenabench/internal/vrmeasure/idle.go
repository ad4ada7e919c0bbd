package vrmeasure

import (
	"slices"
	"time"

	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Targets of idling.
const (
	_idleRatio     = 0.6
	_idleColdRatio = 1.0
)

// Sessions: a caller asks a model a few times in a row and comes back much later.
const (
	_idleLength   = time.Hour
	_sessionEvery = 15 * time.Minute
	_sessionMean  = 8
	_sessionPause = 15 * time.Second
	_sample       = time.Second
	// _coldFrom is the time to the first token from which a request met no replica: a
	// warm one takes the prefill and two ways between regions.
	_coldFrom = _prefill + 40*time.Millisecond
)

// idleHours measures idle accelerators and cold starts of sessions at all models.
func idleHours(options Options, policy Policy) (Run, error) {
	s, err := newSetting(options, policy)
	if err != nil {
		return Run{}, err
	}
	for i := range s.Options.Fleet.Models {
		s.sessions(s.model(i), s.Now().Add(_idleLength))
	}
	hours := 0.0
	for range int(_idleLength / _sample) {
		s.Advance(_sample)
		hours += s.idleAccelerators() * _sample.Hours()
	}
	s.Advance(time.Minute)
	return s.idleFigures(hours), nil
}

// sessions sends the requests of a model until an end.
func (s *setting) sessions(model *vrconfig.Model, end time.Time) {
	var session func()
	session = func() {
		if !s.Now().Before(end) {
			return
		}
		daemon := s.random.IntN(len(s.Daemons))
		at := time.Duration(0)
		for {
			s.at(at, daemon, model)
			at += s.exponential(_sessionPause)
			if s.random.IntN(_sessionMean) == 0 {
				break
			}
		}
		s.After(at+s.exponential(_sessionEvery), session)
	}
	s.After(s.exponential(_sessionEvery), session)
}

func (s *setting) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// idleAccelerators is the number of accelerators whose loaded models run nothing, by
// their part of the memory.
func (s *setting) idleAccelerators() float64 {
	idle := 0.0
	for _, engine := range s.Engines {
		for model, held := range engine.Models {
			if held.Loaded && engine.Running(model) == 0 {
				idle += s.accelerators(held.Bytes, engine)
			}
		}
	}
	return idle
}

func (s *setting) accelerators(bytes vrid.Bytes, engine *vrworld.Engine) float64 {
	for _, pool := range s.Options.Fleet.Pools {
		if pool.Kind == vrconfig.KindLanguageServer {
			return float64(pool.Accelerators) * float64(bytes) / float64(engine.Memory)
		}
	}
	return 0
}

func (s *setting) idleFigures(hours float64) Run {
	run := Run{}
	var cold, all []float64
	refused := 0
	for _, call := range s.calls {
		if call.End != vrworld.EndAnswered {
			refused++
			continue
		}
		first := call.FirstToken.Sub(call.Sent)
		all = append(all, first.Seconds())
		if first >= _coldFrom {
			cold = append(cold, first.Seconds())
		}
	}
	slices.Sort(cold)
	slices.Sort(all)
	best := s.idleBest(len(cold))
	run.add("idle accelerator hours", "h", hours, relative(_idleRatio))
	run.add("cold-start p99", "s", vrstat.Quantile(cold, 0.99), relative(_idleColdRatio))
	run.add("p99 of all requests", "s", vrstat.Quantile(all, 0.99), nil)
	run.add("cold starts", "", float64(len(cold)), nil)
	run.add("loads", "", float64(s.loads), nil)
	run.add("idle hours known afterwards, as many cold starts", "h", best, nil)
	run.add("requests", "", float64(len(s.calls)), nil)
	run.add("not answered", "", float64(refused), nil)
	run.Curves = []Curve{distribution("cold", cold)}
	return run
}

// idleBest is the idle time of one replica for each model that is unloaded in the
// longest pauses, as many of them as there were cold starts.
func (s *setting) idleBest(cold int) float64 {
	type pause struct{ cost float64 }
	uses := make(map[vrid.ModelID]time.Time)
	var pauses []pause
	total := 0.0
	for _, call := range s.calls {
		last, used := uses[call.Request.Model]
		uses[call.Request.Model] = call.Sent
		if !used {
			cold--
			continue
		}
		bytes := vrid.Bytes(0)
		for i := range s.Options.Fleet.Models {
			if model := s.model(i); model.ID == call.Request.Model {
				bytes = model.Memory
			}
		}
		cost := call.Sent.Sub(last).Hours() * s.accelerators(bytes, s.Engines[0])
		total += cost
		pauses = append(pauses, pause{cost: cost})
	}
	slices.SortFunc(pauses, func(a, b pause) int {
		if a.cost > b.cost {
			return -1
		}
		return 1
	})
	for _, longest := range pauses[:max(0, min(cold, len(pauses)))] {
		total -= longest.cost
	}
	return total
}
