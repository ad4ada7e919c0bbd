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

// Sort is a sort of call.
type Sort string

// Sorts of calls.
const (
	SortUrgent   Sort = "urgent"
	SortAdapter  Sort = "adapter"
	SortNormal   Sort = "normal"
	SortDeferred Sort = "deferred"
	SortReserve  Sort = "reserve"
	SortStock    Sort = "stock"
)

// Mix weighs the sorts of calls.
type Mix map[Sort]float64

// DefaultMix is a working day: urgent work first, some of every other kind.
func DefaultMix() Mix {
	return Mix{SortUrgent: 40, SortAdapter: 15, SortNormal: 8, SortDeferred: 15, SortReserve: 12, SortStock: 10}
}

func sorts() []Sort {
	return []Sort{SortUrgent, SortAdapter, SortNormal, SortDeferred, SortReserve, SortStock}
}

// Call is one call of a caller.
type Call struct {
	// Number counts the calls of a run.
	Number int
	Rank   vrid.Rank
	// Daemon is empty for any.
	Daemon vrid.DaemonID
	// Model and Adapter are set for generated answers, Service and Path for others.
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
	// Deadline of the kind of request.
	Deadline time.Duration
	Burst    bool
}

// name is what the caller asks for.
func (c Call) name() string {
	if c.Adapter != "" {
		return string(c.Adapter)
	}
	return string(c.Model)
}

func (c Call) answer() vrstandin.Answer {
	return vrstandin.Answer{Model: c.Model, Adapter: c.Adapter, Prompt: c.Prompt}
}

// PlannedCall is a call with its time after the start.
type PlannedCall struct {
	At time.Duration
	Call
}

// planner draws calls from a seed.
type planner struct {
	random *rand.Rand
	index  *vrconfig.Index
	fleet  *vrconfig.Fleet
	seed   uint64
	number int
	// byRank holds the models of each rank, the most asked first.
	byRank [vrid.RankCount][]vrconfig.Model
	mix    Mix
}

// Planner makes calls one by one from a seed.
type Planner struct{ planner }

// NewPlanner prepares calls for a fleet.
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

// Plan returns every call of a run in the order of time. Equal options give equal
// plans.
func Plan(options Options) []PlannedCall {
	p := NewPlanner(options.Fleet, options.Seed, options.Mix)
	var plan []PlannedCall
	for at := p.gap(options.Rate); at < options.For; at += p.gap(options.Rate) {
		plan = append(plan, PlannedCall{At: at, Call: p.Draw()})
	}
	if options.BurstEvery > 0 {
		bursts := 1 / options.BurstEvery.Seconds()
		for at := p.gap(bursts); at < options.For; at += p.gap(bursts) {
			plan = append(plan, p.burst(at, options.BurstSize)...)
		}
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

// gap draws the time to the next arrival.
func (p *planner) gap(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return math.MaxInt64 / 2
	}
	return time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second))
}

// Draw makes a call of a sort chosen by the mix.
func (p *planner) Draw() Call {
	total := 0.0
	for _, sort := range sorts() {
		total += p.mix[sort]
	}
	place := p.random.Float64() * total
	for _, sort := range sorts() {
		place -= p.mix[sort]
		if place < 0 {
			return p.Of(sort)
		}
	}
	return p.Of(SortUrgent)
}

// Of makes a call of one sort.
func (p *planner) Of(sort Sort) Call {
	switch sort {
	case SortReserve:
		return p.Reserve()
	case SortStock:
		return p.stock()
	case SortAdapter:
		adapter := p.fleet.Adapters[p.skewed(len(p.fleet.Adapters))]
		return p.ForModel(adapter.Base, adapter.ID)
	case SortNormal:
		return p.ofRank(vrid.RankNormal)
	case SortDeferred:
		return p.ofRank(vrid.RankDeferred)
	case SortUrgent:
	}
	return p.ofRank(vrid.RankUrgent)
}

// ofRank asks for a model of the rank, or for any model when the rank has none.
func (p *planner) ofRank(rank vrid.Rank) Call {
	models := p.byRank[rank]
	if len(models) == 0 {
		models = p.fleet.Models
	}
	return p.ForModel(models[p.skewed(len(models))].ID, "")
}

// Most models idle: the first fifth of a list gets nearly all calls, and the others
// wake up now and then.
const (
	_activePart  = 0.2
	_activeCalls = 0.97
)

// skewed draws a place in a list of the most asked first.
func (p *planner) skewed(count int) int {
	if p.random.Float64() >= _activeCalls {
		return p.random.IntN(count)
	}
	return p.random.IntN(max(int(math.Ceil(_activePart*float64(count))), 1))
}

func (p *planner) next() Call {
	p.number++
	return Call{Number: p.number}
}

// ForModel asks a model or an adapter a question of its own.
func (p *planner) ForModel(model vrid.ModelID, adapter vrid.AdapterID) Call {
	const shortest, spread = 4, 28
	call := p.next()
	call.Model, call.Adapter = model, adapter
	name := string(model)
	if adapter != "" {
		name = string(adapter)
	}
	target, _ := p.index.Resolve(name)
	p.rank(&call, target.Kind)
	call.Prompt = fmt.Sprintf("Answer %sseed %d question %d%s", vrstandin.PromptOpen, p.seed, call.Number, vrstandin.PromptClose)
	call.MaxTokens = shortest + p.random.IntN(spread)
	call.Stream = p.random.IntN(2) == 0
	call.Chat = p.random.IntN(4) != 0
	return call
}

func (p *planner) rank(call *Call, kind vrid.KindID) {
	declared := p.index.Kind(kind)
	call.Rank = declared.Rank
	call.Deadline = p.fleet.DeadlineOf(*declared)
}

// Reserve makes a call that must not be repeated, with a key of its own.
func (p *planner) Reserve() Call {
	call := p.next()
	service := p.fleet.Services[0]
	call.Service, call.Path = service.ID, service.Calls[0].Path
	call.Key = vrid.IdempotencyKey(fmt.Sprintf("key-%d-%d", p.seed, call.Number))
	call.Body = fmt.Sprintf(`{"copy":%d,"reader":%d}`, p.random.IntN(1000), call.Number)
	p.rank(&call, service.Calls[0].Kind)
	return call
}

func (p *planner) stock() Call {
	call := p.next()
	service := p.fleet.Services[0]
	call.Service = service.ID
	call.Path = fmt.Sprintf("%sitem-%d", vrdeploy.PathStock, p.random.IntN(500))
	p.rank(&call, service.Calls[1].Kind)
	return call
}

// burst asks one idle model many times at once, as a class that starts a session.
func (p *planner) burst(at time.Duration, size int) []PlannedCall {
	models := p.byRank[vrid.RankUrgent]
	// The second half of the list is hardly asked otherwise.
	idle := models[len(models)/2+p.random.IntN(len(models)-len(models)/2)]
	plan := make([]PlannedCall, 0, size)
	for range size {
		call := p.ForModel(idle.ID, "")
		call.Burst = true
		plan = append(plan, PlannedCall{At: at, Call: call})
	}
	return plan
}
