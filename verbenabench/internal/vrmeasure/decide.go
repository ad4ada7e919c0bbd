package vrmeasure

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vradmit"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrroute"
	"verbenaroute.example/verbenacore/vrwire"
)

// Limits for one routing decision.
const (
	_maxDecisionTime   = 5 * time.Microsecond
	_maxDecisionAllocs = 0
	// _maxDecisionGrowth allows for more cache misses with a larger working set.
	_maxDecisionGrowth = 1.5
)

// benchSize is the size of the simulated zone.
type benchSize struct {
	name    string
	servers int
	models  int
	// waiting is the number of idle models with a waiting request.
	waiting int
}

func benchSizes() []benchSize {
	return []benchSize{
		{name: "65 models, 12 servers", servers: 12, models: 65},
		{name: "8730 models, 290 servers", servers: 290, models: 8730},
		{name: "8730 models, 290 servers, 400 cold targets waiting", servers: 290, models: 8730, waiting: 400},
	}
}

// decide measures admission, selection of the next request and choice of a replica.
func decide(options Options, policy Policy) (Run, error) {
	const rounds = 9
	run := Run{}
	curve := Curve{Name: "one decision"}
	sizes := benchSizes()
	times := make([][]float64, len(sizes))
	allocations := make([]float64, len(sizes))
	benches := make([]*decideBench, len(sizes))
	for i, size := range sizes {
		benches[i] = newDecideBench(size, options.Seed, policy)
	}
	for range rounds {
		for i := range sizes {
			elapsed, allocated := benches[i].measure()
			times[i] = append(times[i], elapsed)
			allocations[i] = allocated
		}
	}
	for i, size := range sizes {
		slices.Sort(times[i])
		median := times[i][rounds/2]
		run.add("time, "+size.name, "ns", median, atMost(float64(_maxDecisionTime)))
		run.add("allocations, "+size.name, "", allocations[i], atMost(_maxDecisionAllocs))
		curve.X = append(curve.X, float64(size.models))
		curve.Y = append(curve.Y, median)
	}
	run.add("growth of the time", "ratio", times[1][rounds/2]/times[0][rounds/2], atMost(_maxDecisionGrowth))
	run.Curves = []Curve{curve}
	return run, nil
}

// decideBench holds a daemon's admission queue and routing table without the rest of the
// reducer.
type decideBench struct {
	queue    *vradmit.Queue
	table    *vrroute.Table
	requests []vradmit.Item
	now      time.Time
}

const (
	_benchPool       = vrid.PoolID("pool")
	_benchSlots      = 16
	_modelsPerServer = 3
	_benchDecisions  = 20_000
)

func newDecideBench(size benchSize, seed uint64, policy Policy) *decideBench {
	random := rand.New(rand.NewPCG(seed, uint64(size.models)))
	b := &decideBench{
		queue: vradmit.New(admitOptions(policy)),
		table: vrroute.New(routeOptions(policy, random)),
		now:   time.Unix(1_000_000, 0),
	}
	b.queue.SetPolicies(benchRankPolicies())
	loaded := b.loadModels(size)
	for i := range size.waiting {
		b.queue.Offer(b.now, vradmit.Item{
			Request: vrid.RequestID(fmt.Sprintf("cold-%d", i)), Rank: vrid.Rank(i % vrid.RankCount), Pool: _benchPool,
			Deadline: b.now.Add(time.Hour), Target: vradmit.Target{Model: benchModel(size.models - 1 - i)},
		})
	}
	for i := range 256 {
		b.requests = append(b.requests, vradmit.Item{
			Request: vrid.RequestID(fmt.Sprintf("request-%d", i)), Rank: vrid.Rank(i % vrid.RankCount), Pool: _benchPool,
			Caller: vrid.CallerID(fmt.Sprintf("caller-%d", i%16)), Target: vradmit.Target{Model: benchModel(random.IntN(loaded))},
		})
	}
	return b
}

func benchModel(i int) vrid.ModelID { return vrid.ModelID(fmt.Sprintf("model-%d", i)) }

// loadModels loads a few models on each server and returns the number of loaded models.
// All others are idle.
func (b *decideBench) loadModels(size benchSize) int {
	loaded := min(size.servers*_modelsPerServer, size.models/2)
	var updates []vrroute.Update
	for i := range size.servers {
		item := vrwire.ServerItem{
			Server: vrid.ServerID(fmt.Sprintf("server-%d", i)), Pool: _benchPool, State: vrwire.ServerLive, Slots: _benchSlots,
		}
		for j := range _modelsPerServer {
			item.Replicas = append(item.Replicas, vrwire.ReplicaItem{
				Model: benchModel((i*_modelsPerServer + j) % loaded), State: vrwire.ReplicaLoaded,
			})
		}
		updates = append(updates, vrroute.Update{Item: item})
	}
	b.table.SetServers(updates)
	return loaded
}

// measure returns the mean time in nanoseconds and the allocations of one decision.
func (b *decideBench) measure() (nanoseconds, allocations float64) {
	b.runDecisions(_benchDecisions / 10)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	b.runDecisions(_benchDecisions)
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	nanoseconds = float64(elapsed) / _benchDecisions
	return nanoseconds, float64((after.Mallocs - before.Mallocs) / _benchDecisions)
}

func (b *decideBench) runDecisions(count int) {
	for i := range count {
		item := b.requests[i%len(b.requests)]
		b.now = b.now.Add(time.Millisecond)
		item.Deadline = b.now.Add(time.Second)
		b.decideOne(item)
	}
}

func (b *decideBench) decideOne(item vradmit.Item) {
	b.queue.Offer(b.now, item)
	next, ok := b.queue.Next(b.now, func(pick vradmit.Candidate) bool {
		return b.table.Choose(b.now, vrroute.Query{Model: pick.Target.Model}) != nil
	})
	if !ok {
		return
	}
	server := b.table.Choose(b.now, vrroute.Query{Model: next.Target.Model})
	if server == nil {
		return
	}
	b.table.Start(server)
	b.queue.RecordDispatch(b.now, next)
	b.table.End(b.now, server.ID, true)
	for _, model := range b.table.TakeFreedModels() {
		b.queue.Wake(model)
	}
}
