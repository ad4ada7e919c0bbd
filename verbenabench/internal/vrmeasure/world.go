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

// The pace of the language servers: an answer of 28 tokens takes about 0.3 s.
const (
	_prefill   = 40 * time.Millisecond
	_token     = 10 * time.Millisecond
	_tokens    = 28
	_diskPart  = 20
	_warmUp    = 12 * time.Second
	_zones     = 3
	_callers   = 24
	_sizeBytes = 2 * vrid.KiB
)

// setting is a deployment in virtual time with the counts that figures need.
type setting struct {
	*vrworld.World
	options Options
	policy  Policy
	random  *rand.Rand
	calls   []*vrworld.Call
	// loads counts the loads that engines started, decided those that were ordered once.
	loads    int
	adapters int
	decided  map[decision]bool
	started  time.Time
}

type decision struct {
	server vrid.ServerID
	model  vrid.ModelID
	order  vrid.OrderID
}

// change adapts the deployment of a measurement.
type change func(*vrworld.Options)

func newSetting(options Options, policy Policy, changes ...change) (*setting, error) {
	deployment, err := vrdeploy.ByName(options.Deployment, vrdeploy.Size{})
	if err != nil {
		return nil, err
	}
	s := &setting{
		options: options, policy: policy, decided: make(map[decision]bool),
		random: rand.New(rand.NewPCG(options.Seed, 1)),
	}
	fleet := renamed(deployment)
	world := vrworld.Options{
		Seed: options.Seed, Zones: _zones, ServersPerZone: languageServers(deployment) / _zones, Fleet: fleet,
		Pace:     &vrworld.Pace{Prefill: _prefill, Token: _token, DiskPart: _diskPart, Arrival: policy == Baseline},
		Baseline: policy == Baseline, Observer: s,
	}
	for _, change := range changes {
		change(&world)
	}
	s.World = vrworld.New(world)
	s.Advance(_warmUp)
	s.started = s.Now()
	return s, nil
}

// renamed gives zones and the pool of application servers the names of the fakes.
func renamed(deployment *vrdeploy.Deployment) *vrconfig.Fleet {
	fleet := deployment.Fleet
	fleet.Regions = nil
	for i := range _zones {
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

func languageServers(deployment *vrdeploy.Deployment) int {
	count := 0
	for _, server := range deployment.Servers {
		if server.Kind == vrconfig.KindLanguageServer {
			count++
		}
	}
	return count
}

// patientRanks gives every rank a deadline that no request of a burst misses, so that
// the tail of the times shows the order of the loads.
func patientRanks(options *vrworld.Options) {
	const patience = 60 * time.Second
	ranks := slices.Clone(options.Fleet.Ranks)
	for i := range ranks {
		ranks[i].Deadline = vrid.Duration(patience)
	}
	options.Fleet.Ranks = ranks
}

func remoteOnly(options *vrworld.Options) { options.Pace.DiskPart = 0 }

// at plans a request for a model, after a time from now.
func (s *setting) at(after time.Duration, daemon int, model *vrconfig.Model) {
	s.After(after, func() { s.send(daemon, model, _tokens) })
}

// ready is a daemon, or the next one that the balancer sends requests to.
func (s *setting) ready(daemon int) *vrworld.Daemon {
	for i := range s.Daemons {
		d := s.Daemons[(daemon+i)%len(s.Daemons)]
		if d.Process != nil && d.Process.Ready {
			return d
		}
	}
	return s.Daemons[daemon%len(s.Daemons)]
}

// send makes a request for a model at a daemon.
func (s *setting) send(daemon int, model *vrconfig.Model, tokens int) {
	call := s.Send(s.ready(daemon), vrevent.Request{
		Kind: model.Kind, Model: model.ID, MaxTokens: tokens, Size: _sizeBytes,
		Caller: vrid.CallerID(fmt.Sprintf("caller-%d", s.random.IntN(_callers))),
	})
	if call != nil {
		s.calls = append(s.calls, call)
	}
}

func (s *setting) model(i int) *vrconfig.Model { return &s.Options.Fleet.Models[i] }

// rankOf is the rank of a model's own kind.
func (s *setting) rankOf(model *vrconfig.Model) vrid.Rank {
	for _, kind := range s.Options.Fleet.Kinds {
		if kind.ID == model.Kind {
			return kind.Rank
		}
	}
	return vrid.RankDeferred
}

// modelsOf returns the models of a rank.
func (s *setting) modelsOf(rank vrid.Rank) []*vrconfig.Model {
	var models []*vrconfig.Model
	for i := range s.Options.Fleet.Models {
		if model := s.model(i); s.rankOf(model) == rank {
			models = append(models, model)
		}
	}
	return models
}

// service sums up how the requests of a rank ended.
type service struct {
	sent     int
	answered int
	inTarget int
	refused  int
	late     int
	firsts   []float64
	unended  int
}

// serviceOf sums up the requests of a rank that were sent within a window.
func (s *setting) serviceOf(rank vrid.Rank, from, to time.Time) service {
	target := s.Options.Fleet.RankPolicyOf(rank).Target.Std()
	sum := service{}
	for _, call := range s.calls {
		if call.Request.Rank != rank || call.Sent.Before(from) || !call.Sent.Before(to) {
			continue
		}
		sum.add(call, target)
	}
	slices.Sort(sum.firsts)
	return sum
}

func (v *service) add(call *vrworld.Call, target time.Duration) {
	v.sent++
	switch call.End {
	case vrworld.EndAnswered, vrworld.EndReplayed:
		first := call.FirstToken.Sub(call.Sent)
		v.answered++
		v.firsts = append(v.firsts, first.Seconds())
		if first <= target {
			v.inTarget++
		}
	case vrworld.EndRefused:
		v.refused++
		if call.Ended.Sub(call.Sent) > call.Limit {
			v.late++
		}
	default:
		v.unended++
	}
}

// part is a quotient that is 1 when there is nothing to count.
func part(count, of int) float64 {
	if of == 0 {
		return 1
	}
	return float64(count) / float64(of)
}

// distribution is the curve of the sorted values.
func distribution(name string, sorted []float64) Curve {
	curve := Curve{Name: name}
	for i, value := range sorted {
		curve.X = append(curve.X, value)
		curve.Y = append(curve.Y, float64(i+1)/float64(len(sorted)))
	}
	return curve
}

// bound is the least time in which the slots of the weight store can load the models.
func (s *setting) bound(models []*vrconfig.Model) time.Duration {
	var total, longest time.Duration
	for _, model := range models {
		total += model.LoadTime.Std()
		longest = max(longest, model.LoadTime.Std())
	}
	slots := time.Duration(cmp.Or(s.Options.Fleet.WeightStore.Slots, 1))
	return max(total/slots, longest) + _prefill
}

// Loading counts what engines started to load.
func (s *setting) Loading(_ *vrworld.Engine, _ vrid.ModelID, adapter vrid.AdapterID) {
	if adapter != "" {
		s.adapters++
		return
	}
	s.loads++
}

// Written is not needed.
func (s *setting) Written(string, []byte) {}

// Ran is not needed.
func (s *setting) Ran(*vrworld.Call, vrid.ServerID) {}

// Dispatched is not needed.
func (s *setting) Dispatched(*vrworld.Process, *vrworld.Call, vrid.ServerID, time.Time) {}

// Effect counts the decided loads.
func (s *setting) Effect(_ *vrworld.Process, effect vrevent.Effect) {
	order, ok := effect.(vrevent.SendOrder)
	if !ok || order.Order.Kind != vrengine.OrderLoad {
		return
	}
	s.decided[decision{server: order.Server, model: order.Order.Model, order: order.Order.OrderID}] = true
}

// Reduced is not needed.
func (s *setting) Reduced(*vrworld.Process) {}
