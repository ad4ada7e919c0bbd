package vrmeasure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// Parameters of the simulated deployment. An answer of 28 tokens takes about 0.3 s.
const (
	_prefillTime   = 40 * time.Millisecond
	_tokenInterval = 10 * time.Millisecond
	_answerTokens  = 28
	_diskPercent   = 20
	_warmUp        = 12 * time.Second
	_zoneCount     = 3
	_callerCount   = 24
	_requestSize   = 2 * vrid.KiB
)

// simulation is a deployment in virtual time with the counters that the figures need.
type simulation struct {
	*vrworld.World
	options Options
	policy  Policy
	random  *rand.Rand
	calls   []*vrworld.Call
	// loads counts the model loads that engines started, adapterLoads the adapter loads, and
	// orderedLoads holds the distinct load orders that daemons sent.
	loads        int
	adapterLoads int
	orderedLoads map[loadOrder]bool
	// measuredFrom is when the measurement begins, after the warm-up.
	measuredFrom time.Time
}

// loadOrder identifies a load order.
type loadOrder struct {
	server vrid.ServerID
	model  vrid.ModelID
	order  vrid.OrderID
}

// worldOption changes the deployment of a measurement.
type worldOption func(*vrworld.Options)

// newSimulation creates the simulation and lets it run for the warm-up.
func newSimulation(options Options, policy Policy, worldOptions ...worldOption) (*simulation, error) {
	deployment, err := vrdeploy.ByName(options.Deployment, vrdeploy.Size{})
	if err != nil {
		return nil, err
	}
	s := &simulation{
		options: options, policy: policy, orderedLoads: make(map[loadOrder]bool),
		random: rand.New(rand.NewPCG(options.Seed, 1)),
	}
	fleet := adaptFleet(deployment)
	world := vrworld.Options{
		Seed: options.Seed, Zones: _zoneCount, ServersPerZone: countLanguageServers(deployment) / _zoneCount, Fleet: fleet,
		Pace:     &vrworld.Pace{Prefill: _prefillTime, TokenInterval: _tokenInterval, DiskPercent: _diskPercent, FIFO: policy == Baseline},
		Baseline: policy == Baseline, Observer: s,
	}
	for _, apply := range worldOptions {
		apply(&world)
	}
	s.World = vrworld.New(world)
	s.Advance(_warmUp)
	s.measuredFrom = s.Now()
	return s, nil
}

// adaptFleet renames the zones and the application server pool to the names that vrworld
// uses.
func adaptFleet(deployment *vrdeploy.Deployment) *vrconfig.Fleet {
	fleet := deployment.Fleet
	fleet.Regions = nil
	for i := range _zoneCount {
		fleet.Regions = append(fleet.Regions, vrconfig.Region{
			ID: vrid.RegionID(fmt.Sprintf("r%d", i)), Zones: []vrid.ZoneID{vrworld.ZoneName(i)},
		})
	}
	for i := range fleet.Pools {
		if fleet.Pools[i].Kind == vrconfig.KindApplicationServer {
			fleet.Pools[i].ID = vrworld.AppPool
		}
	}
	for i := range fleet.Services {
		fleet.Services[i].Pool = vrworld.AppPool
	}
	return &fleet
}

func countLanguageServers(deployment *vrdeploy.Deployment) int {
	count := 0
	for _, server := range deployment.Servers {
		if server.Kind == vrconfig.KindLanguageServer {
			count++
		}
	}
	return count
}

// withLongDeadlines gives every rank a deadline that no request of a burst misses, so that
// the tail of the latency distribution shows the order of the loads.
func withLongDeadlines(options *vrworld.Options) {
	const deadline = 60 * time.Second
	ranks := slices.Clone(options.Fleet.Ranks)
	for i := range ranks {
		ranks[i].Deadline = vrid.Duration(deadline)
	}
	options.Fleet.Ranks = ranks
}

// withoutLocalCopies starts the servers without checkpoints on their disks.
func withoutLocalCopies(options *vrworld.Options) { options.Pace.DiskPercent = 0 }

// sendAfter schedules a request for a model after a delay.
func (s *simulation) sendAfter(after time.Duration, daemon int, model *vrconfig.Model) {
	s.After(after, func() { s.send(daemon, model, _answerTokens) })
}

// readyDaemon returns the daemon with the index or, if it is not ready, the next ready one,
// as a load balancer would choose. If no daemon is ready, it returns the first choice.
func (s *simulation) readyDaemon(daemon int) *vrworld.Daemon {
	for i := range s.Daemons {
		d := s.Daemons[(daemon+i)%len(s.Daemons)]
		if d.Process != nil && d.Process.Ready {
			return d
		}
	}
	return s.Daemons[daemon%len(s.Daemons)]
}

// send sends a request for a model to a daemon.
func (s *simulation) send(daemon int, model *vrconfig.Model, tokens int) {
	call := s.Send(s.readyDaemon(daemon), vrevent.Request{
		Kind: model.Kind, Model: model.ID, MaxTokens: tokens, Size: _requestSize,
		Caller: vrid.CallerID(fmt.Sprintf("caller-%d", s.random.IntN(_callerCount))),
	})
	if call != nil {
		s.calls = append(s.calls, call)
	}
}

func (s *simulation) model(i int) *vrconfig.Model { return &s.Options.Fleet.Models[i] }

// rankOf returns the rank of a model's kind.
func (s *simulation) rankOf(model *vrconfig.Model) vrid.Rank {
	for _, kind := range s.Options.Fleet.Kinds {
		if kind.ID == model.Kind {
			return kind.Rank
		}
	}
	return vrid.RankDeferred
}

// modelsOf returns the models of a rank.
func (s *simulation) modelsOf(rank vrid.Rank) []*vrconfig.Model {
	var models []*vrconfig.Model
	for i := range s.Options.Fleet.Models {
		if model := s.model(i); s.rankOf(model) == rank {
			models = append(models, model)
		}
	}
	return models
}

// outcomeSummary counts how requests ended. lateRefusals are refusals after the deadline,
// and firstTokenTimes are in seconds.
type outcomeSummary struct {
	sent            int
	answered        int
	inTarget        int
	refused         int
	lateRefusals    int
	firstTokenTimes []float64
	unfinished      int
}

// summarize counts the outcomes of the requests of a rank that were sent within a window.
func (s *simulation) summarize(rank vrid.Rank, from, to time.Time) outcomeSummary {
	target := s.Options.Fleet.RankPolicyOf(rank).Target.Std()
	summary := outcomeSummary{}
	for _, call := range s.calls {
		if call.Request.Rank != rank || call.Sent.Before(from) || !call.Sent.Before(to) {
			continue
		}
		summary.add(call, target)
	}
	slices.Sort(summary.firstTokenTimes)
	return summary
}

func (v *outcomeSummary) add(call *vrworld.Call, target time.Duration) {
	v.sent++
	switch call.End {
	case vrworld.EndAnswered, vrworld.EndReplayed:
		first := call.FirstToken.Sub(call.Sent)
		v.answered++
		v.firstTokenTimes = append(v.firstTokenTimes, first.Seconds())
		if first <= target {
			v.inTarget++
		}
	case vrworld.EndRefused:
		v.refused++
		if call.Ended.Sub(call.Sent) > call.Limit {
			v.lateRefusals++
		}
	default:
		v.unfinished++
	}
}

// fraction returns count/total, or 1 if total is 0.
func fraction(count, total int) float64 {
	if total == 0 {
		return 1
	}
	return float64(count) / float64(total)
}

// distribution returns the cumulative distribution of the sorted values.
func distribution(name string, sorted []float64) Curve {
	curve := Curve{Name: name}
	for i, value := range sorted {
		curve.X = append(curve.X, value)
		curve.Y = append(curve.Y, float64(i+1)/float64(len(sorted)))
	}
	return curve
}

// minBurstTime returns a lower bound for the time in which the slots of the weight store
// load the models and the last model produces its first token.
func (s *simulation) minBurstTime(models []*vrconfig.Model) time.Duration {
	var total, longest time.Duration
	for _, model := range models {
		total += model.LoadTime.Std()
		longest = max(longest, model.LoadTime.Std())
	}
	slots := time.Duration(cmp.Or(s.Options.Fleet.WeightStore.Slots, 1))
	return max(total/slots, longest) + _prefillTime
}

// Loading counts the loads that engines started.
func (s *simulation) Loading(_ *vrworld.Engine, _ vrid.ModelID, adapter vrid.AdapterID) {
	if adapter != "" {
		s.adapterLoads++
		return
	}
	s.loads++
}

// Written does nothing.
func (s *simulation) Written(string, []byte) {}

// Ran does nothing.
func (s *simulation) Ran(*vrworld.Call, vrid.ServerID) {}

// Dispatched does nothing.
func (s *simulation) Dispatched(*vrworld.Process, *vrworld.Call, vrid.ServerID, time.Time) {}

// Effect records the load orders that daemons sent.
func (s *simulation) Effect(_ *vrworld.Process, effect vrevent.Effect) {
	order, ok := effect.(vrevent.SendOrder)
	if !ok || order.Order.Kind != vrengine.OrderLoad {
		return
	}
	s.orderedLoads[loadOrder{server: order.Server, model: order.Order.Model, order: order.Order.OrderID}] = true
}

// Reduced does nothing.
func (s *simulation) Reduced(*vrworld.Process) {}
