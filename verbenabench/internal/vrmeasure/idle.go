package vrmeasure

import (
	"slices"
	"time"

	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Maximum ratios to the baseline for idle accelerator hours and the cold-start p99.
const (
	_maxIdleRatio     = 0.6
	_maxIdleColdRatio = 1.0
)

// Sessions: a caller sends a model a few requests in a row and returns much later.
const (
	_idleLength          = time.Hour
	_meanSessionInterval = 15 * time.Minute
	_meanSessionRequests = 8
	_meanRequestInterval = 15 * time.Second
	_sampleInterval      = time.Second
	// _coldThreshold is the time to the first token from which a request counts as a cold
	// start: a warm request takes the prefill and two one-way delays between regions.
	_coldThreshold = _prefillTime + 40*time.Millisecond
)

// idleHours measures idle accelerator hours and cold starts with sessions for every model.
func idleHours(options Options, policy Policy) (Run, error) {
	s, err := newSimulation(options, policy)
	if err != nil {
		return Run{}, err
	}
	for i := range s.Options.Fleet.Models {
		s.startSessions(s.model(i), s.Now().Add(_idleLength))
	}
	idleHoursTotal := 0.0
	for range int(_idleLength / _sampleInterval) {
		s.Advance(_sampleInterval)
		idleHoursTotal += s.idleAccelerators() * _sampleInterval.Hours()
	}
	s.Advance(time.Minute)
	return s.idleFigures(idleHoursTotal), nil
}

// startSessions schedules the sessions of a model until an end time.
func (s *simulation) startSessions(model *vrconfig.Model, end time.Time) {
	var session func()
	session = func() {
		if !s.Now().Before(end) {
			return
		}
		daemon := s.random.IntN(len(s.Daemons))
		at := time.Duration(0)
		for {
			s.sendAfter(at, daemon, model)
			at += s.exponential(_meanRequestInterval)
			if s.random.IntN(_meanSessionRequests) == 0 {
				break
			}
		}
		s.After(at+s.exponential(_meanSessionInterval), session)
	}
	s.After(s.exponential(_meanSessionInterval), session)
}

// exponential returns an exponentially distributed duration.
func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// idleAccelerators returns the number of accelerators occupied by loaded models without a
// running request. Each model counts in proportion to the engine memory that it uses.
func (s *simulation) idleAccelerators() float64 {
	idle := 0.0
	for _, engine := range s.Engines {
		for model, resident := range engine.Models {
			if resident.Loaded && engine.Running(model) == 0 {
				idle += s.accelerators(resident.Bytes, engine)
			}
		}
	}
	return idle
}

// accelerators converts a share of an engine's memory to a number of accelerators.
func (s *simulation) accelerators(bytes vrid.Bytes, engine *vrworld.Engine) float64 {
	for _, pool := range s.Options.Fleet.Pools {
		if pool.Kind == vrconfig.KindLanguageServer {
			return float64(pool.Accelerators) * float64(bytes) / float64(engine.Memory)
		}
	}
	return 0
}

func (s *simulation) idleFigures(idleHoursTotal float64) Run {
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
		if first >= _coldThreshold {
			cold = append(cold, first.Seconds())
		}
	}
	slices.Sort(cold)
	slices.Sort(all)
	optimal := s.optimalIdleHours(len(cold))
	run.add("idle accelerator hours", "h", idleHoursTotal, atMostRelative(_maxIdleRatio))
	run.add("cold-start p99", "s", vrstat.Quantile(cold, 0.99), atMostRelative(_maxIdleColdRatio))
	run.add("p99 of all requests", "s", vrstat.Quantile(all, 0.99), nil)
	run.add("cold starts", "", float64(len(cold)), nil)
	run.add("loads", "", float64(s.loads), nil)
	run.add("idle hours known afterwards, as many cold starts", "h", optimal, nil)
	run.add("requests", "", float64(len(s.calls)), nil)
	run.add("not answered", "", float64(refused), nil)
	run.Curves = []Curve{distribution("cold", cold)}
	return run
}

// optimalIdleHours returns the idle accelerator hours of an optimal offline schedule with
// the same number of cold starts: one replica for each model, unloaded during the gaps
// between requests that cost most.
func (s *simulation) optimalIdleHours(cold int) float64 {
	type gap struct{ cost float64 }
	lastUse := make(map[vrid.ModelID]time.Time)
	var gaps []gap
	total := 0.0
	for _, call := range s.calls {
		last, used := lastUse[call.Request.Model]
		lastUse[call.Request.Model] = call.Sent
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
		gaps = append(gaps, gap{cost: cost})
	}
	slices.SortFunc(gaps, func(a, b gap) int {
		if a.cost > b.cost {
			return -1
		}
		return 1
	})
	for _, longest := range gaps[:max(0, min(cold, len(gaps)))] {
		total -= longest.cost
	}
	return total
}
