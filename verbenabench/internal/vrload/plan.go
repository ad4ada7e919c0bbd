package vrload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrstandin"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// CallType is a type of generated call: to a model of some rank, to an adapter, or to a service.
type CallType string

// Types of calls.
const (
	CallTypeUrgent   CallType = "urgent"
	CallTypeAdapter  CallType = "adapter"
	CallTypeNormal   CallType = "normal"
	CallTypeDeferred CallType = "deferred"
	CallTypeReserve  CallType = "reserve"
	CallTypeStock    CallType = "stock"
)

// Mix maps call types to their relative weights.
type Mix map[CallType]float64

// DefaultMix resembles a working day: mostly urgent calls, with some of every other type.
func DefaultMix() Mix {
	return Mix{CallTypeUrgent: 40, CallTypeAdapter: 15, CallTypeNormal: 8, CallTypeDeferred: 15, CallTypeReserve: 12, CallTypeStock: 10}
}

func callTypes() []CallType {
	return []CallType{CallTypeUrgent, CallTypeAdapter, CallTypeNormal, CallTypeDeferred, CallTypeReserve, CallTypeStock}
}

// Call is one call that a caller makes.
type Call struct {
	// Number is the sequence number of the call in its planner, starting at 1.
	Number int
	Rank   vrid.Rank
	// Daemon receives the first attempt; empty selects any daemon.
	Daemon vrid.DaemonID
	// Model and Adapter are set for calls to models, Service and Path for calls to services.
	Model     vrid.ModelID
	Adapter   vrid.AdapterID
	Prompt    string
	MaxTokens int
	Stream    bool
	Chat      bool
	Service   vrid.ServiceID
	Path      string
	Key       vrid.IdempotencyKey
	Body      string
	// Deadline is the deadline of the request kind.
	Deadline time.Duration
	// Burst marks a call that is part of a burst.
	Burst bool
}

// requestedModel returns the name to send as the model: that of the adapter, if any.
func (c Call) requestedModel() string {
	if c.Adapter != "" {
		return string(c.Adapter)
	}
	return string(c.Model)
}

func (c Call) expectedAnswer() vrstandin.Answer {
	return vrstandin.Answer{Model: c.Model, Adapter: c.Adapter, Prompt: c.Prompt}
}

// PlannedCall is a call and its time, as an offset from the start of the run.
type PlannedCall struct {
	At time.Duration
	Call
}

// planner holds the state of a Planner.
type planner struct {
	random *rand.Rand
	index  *vrconfig.Index
	fleet  *vrconfig.Fleet
	seed   uint64
	number int
	// byRank holds the models of each rank; skewedIndex prefers the first ones.
	byRank [vrid.RankCount][]vrconfig.Model
	mix    Mix
}

// Planner generates calls one by one from a seed.
type Planner struct{ planner }

// NewPlanner returns a planner of calls to a fleet; a nil mix selects DefaultMix.
func NewPlanner(fleet *vrconfig.Fleet, seed uint64, mix Mix) *Planner {
	if mix == nil {
		mix = DefaultMix()
	}
	const stream = 0x76657262
	p := &Planner{planner{
		random: rand.New(rand.NewPCG(seed, stream)),
		index:  vrconfig.NewIndex(fleet),
		fleet:  fleet,
		seed:   seed,
		mix:    mix,
	}}
	for _, model := range fleet.Models {
		rank := p.index.Kind(model.Kind).Rank
		p.byRank[rank] = append(p.byRank[rank], model)
	}
	return p
}

// Plan returns all calls of a run, ordered by time. It is deterministic: equal options give
// equal plans.
func Plan(options Options) []PlannedCall {
	p := NewPlanner(options.Fleet, options.Seed, options.Mix)
	var plan []PlannedCall
	for at := p.interarrival(options.Rate); at < options.Duration; at += p.interarrival(options.Rate) {
		plan = append(plan, PlannedCall{At: at, Call: p.Draw()})
	}
	if options.BurstEvery > 0 {
		burstsPerSecond := 1 / options.BurstEvery.Seconds()
		for at := p.interarrival(burstsPerSecond); at < options.Duration; at += p.interarrival(burstsPerSecond) {
			plan = append(plan, p.burst(at, options.BurstSize)...)
		}
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

// interarrival returns a random time to the next arrival of a Poisson process. A rate of zero
// gives a time beyond every run.
func (p *planner) interarrival(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return math.MaxInt64 / 2
	}
	return time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second))
}

// Draw generates a call of a random type, weighted by the mix.
func (p *planner) Draw() Call {
	total := 0.0
	for _, callType := range callTypes() {
		total += p.mix[callType]
	}
	remaining := p.random.Float64() * total
	for _, callType := range callTypes() {
		remaining -= p.mix[callType]
		if remaining < 0 {
			return p.OfType(callType)
		}
	}
	return p.OfType(CallTypeUrgent)
}

// OfType generates a call of the given type.
func (p *planner) OfType(callType CallType) Call {
	switch callType {
	case CallTypeReserve:
		return p.Reserve()
	case CallTypeStock:
		return p.stockLookup()
	case CallTypeAdapter:
		adapter := p.fleet.Adapters[p.skewedIndex(len(p.fleet.Adapters))]
		return p.ForModel(adapter.Base, adapter.ID)
	case CallTypeNormal:
		return p.ofRank(vrid.RankNormal)
	case CallTypeDeferred:
		return p.ofRank(vrid.RankDeferred)
	case CallTypeUrgent:
	}
	return p.ofRank(vrid.RankUrgent)
}

// ofRank generates a call to a model of the rank, or to any model if the rank has none.
func (p *planner) ofRank(rank vrid.Rank) Call {
	models := p.byRank[rank]
	if len(models) == 0 {
		models = p.fleet.Models
	}
	return p.ForModel(models[p.skewedIndex(len(models))].ID, "")
}

// Most models are idle: the first fifth of a list receives nearly all calls, and the others
// receive a call occasionally.
const (
	_activeShare     = 0.2
	_activeCallShare = 0.97
)

// skewedIndex returns a random index into a list of count elements, and prefers the first fifth.
func (p *planner) skewedIndex(count int) int {
	if p.random.Float64() >= _activeCallShare {
		return p.random.IntN(count)
	}
	return p.random.IntN(max(int(math.Ceil(_activeShare*float64(count))), 1))
}

func (p *planner) newCall() Call {
	p.number++
	return Call{Number: p.number}
}

// ForModel generates a call with a unique prompt to a model, or to an adapter unless it is empty.
func (p *planner) ForModel(model vrid.ModelID, adapter vrid.AdapterID) Call {
	const minTokens, tokenRange = 4, 28
	call := p.newCall()
	call.Model, call.Adapter = model, adapter
	name := string(model)
	if adapter != "" {
		name = string(adapter)
	}
	target, _ := p.index.Resolve(name)
	p.applyKind(&call, target.Kind)
	call.Prompt = fmt.Sprintf("Answer %sseed %d question %d%s", vrstandin.PromptOpen, p.seed, call.Number, vrstandin.PromptClose)
	call.MaxTokens = minTokens + p.random.IntN(tokenRange)
	call.Stream = p.random.IntN(2) == 0
	call.Chat = p.random.IntN(4) != 0
	return call
}

// applyKind sets the rank and the deadline of the request kind.
func (p *planner) applyKind(call *Call, kind vrid.KindID) {
	config := p.index.Kind(kind)
	call.Rank = config.Rank
	call.Deadline = p.fleet.DeadlineOf(*config)
}

// Reserve generates a non-idempotent service call with a unique idempotency key.
func (p *planner) Reserve() Call {
	call := p.newCall()
	service := p.fleet.Services[0]
	call.Service, call.Path = service.ID, service.Calls[0].Path
	call.Key = vrid.IdempotencyKey(fmt.Sprintf("key-%d-%d", p.seed, call.Number))
	call.Body = fmt.Sprintf(`{"copy":%d,"reader":%d}`, p.random.IntN(1000), call.Number)
	p.applyKind(&call, service.Calls[0].Kind)
	return call
}

// stockLookup generates an idempotent service call.
func (p *planner) stockLookup() Call {
	call := p.newCall()
	service := p.fleet.Services[0]
	call.Service = service.ID
	call.Path = fmt.Sprintf("%sitem-%d", vrdeploy.PathStock, p.random.IntN(500))
	p.applyKind(&call, service.Calls[1].Kind)
	return call
}

// burst generates simultaneous calls to one idle model, as when a class starts a session.
func (p *planner) burst(at time.Duration, size int) []PlannedCall {
	models := p.byRank[vrid.RankUrgent]
	// Models in the second half of the list rarely receive other calls.
	idle := models[len(models)/2+p.random.IntN(len(models)-len(models)/2)]
	plan := make([]PlannedCall, 0, size)
	for range size {
		call := p.ForModel(idle.ID, "")
		call.Burst = true
		plan = append(plan, PlannedCall{At: at, Call: call})
	}
	return plan
}
