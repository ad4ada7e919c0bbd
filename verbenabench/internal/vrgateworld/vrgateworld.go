// Package vrgateworld runs the reducers of several gateways in virtual time, with small
// fakes of the platform's store, the servers that register there, the network and the
// clients. A seed repeats a run exactly. The fakes fail as the platform does: writes and
// orders take effect seconds late or after their sender is gone, servers start again
// empty under their id, addresses are used again, and daemons are suspended.
package vrgateworld

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenaroute.example/verbenabench/internal/vrtimeline"
	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrretry"
)

// Bounds of the deployment, the strictest of those known.
const (
	Lease         = 3 * time.Second
	Contact       = 3 * time.Second
	Drain         = 2500 * time.Millisecond
	Apply         = 2500 * time.Millisecond
	Grace         = 8 * time.Second
	RetryRatio    = 0.2
	RetrySlack    = 4
	RetryWindow   = 10 * time.Second
	CeilingFactor = 1.1
	CeilingWindow = 5 * time.Second
	// CeilingExtra is what a window may hold beyond the declared rate.
	CeilingExtra = 3
)

// Options describe a deployment.
type Options struct {
	// Seed repeats a run.
	Seed uint64
	// Zones share one region.
	Zones int
	// Daemons and Engines of the whole fleet, Apps of each plain service.
	Daemons, Engines, Apps int
	Models                 int
	// Places is how many models an engine holds.
	Places int
	// DiskShare is the probability that a model is on an engine's disk from the start.
	DiskShare float64
	// Trace keeps a line for each event of a daemon.
	Trace bool
	// Watch is told of everything that an oracle needs.
	Watch Observer
}

// Observer sees what servers, the store and clients see.
type Observer interface {
	// Ordered is called when an order reaches a server.
	Ordered(server *Server, p *Process, order vrevent.PlacementOrder)
	// Accepted is called when a server begins to carry an order out.
	Accepted(server *Server, order vrevent.PlacementOrder, fromStore bool)
	// Arrived is called when a request reaches a server, Ran when the server begins it.
	Arrived(server *Server, a *Attempt)
	Ran(server *Server, a *Attempt)
	// Effect is called for each effect that a daemon carries out.
	Effect(p *Process, effect vrevent.Effect)
	// Reduced is called after each event.
	Reduced(p *Process)
	// Ended is called when a call has ended.
	Ended(call *Call)
}

// World is a deployment in virtual time. It is not safe for concurrent use.
type World struct {
	vrtimeline.Timeline
	Options Options
	Store   *Store
	Daemons []*Daemon
	Servers []*Server
	Calls   []*Call
	// Loss is the probability that a message between daemons is lost, Extra the longest
	// additional delay.
	Loss  float64
	Extra time.Duration
	// Steps counts the events that reducers took.
	Steps  uint64
	Digest uint64
	Lines  []string

	random    *rand.Rand
	byAddress map[string]*Server
	boots     int
	ids       int
}

// New returns a world whose daemons start at once.
func New(options Options) *World {
	w := &World{
		Timeline: vrtimeline.New(time.Unix(1_790_000_000, 0).UTC()),
		Options:  options, random: rand.New(rand.NewPCG(options.Seed, 0x2545f4914f6cdd1d)),
		byAddress: make(map[string]*Server),
	}
	w.Store = newStore(w)
	w.Store.Publish(NewCatalog(1, options))
	for i := range options.Engines {
		w.addServer(ServiceEngine, w.zone(i), "")
	}
	for i := range options.Apps {
		w.addServer(ServiceApp, w.zone(i), "")
		w.addServer(ServiceOther, w.zone(i+1), "")
	}
	for i := range options.Daemons {
		d := &Daemon{ID: vrid.DaemonID(fmt.Sprintf("d%02d", i)), Zone: w.zone(i), world: w}
		w.Daemons = append(w.Daemons, d)
		w.Store.peers = append(w.Store.peers, vrevent.Peer{Daemon: d.ID, Address: "peer:" + string(d.ID)})
	}
	for _, d := range w.Daemons {
		d.Start()
	}
	return w
}

func (w *World) zone(index int) vrid.ZoneID {
	return vrid.ZoneID(fmt.Sprintf("z%d", index%w.Options.Zones))
}

func (w *World) regions() map[vrid.ZoneID]vrid.RegionID {
	regions := make(map[vrid.ZoneID]vrid.RegionID)
	for i := range w.Options.Zones {
		regions[w.zone(i)] = "r"
	}
	return regions
}

func retries() vrretry.Options {
	return vrretry.Options{Ratio: RetryRatio, Slack: RetrySlack, Window: RetryWindow}
}

func ceiling() vrresidence.Ceiling {
	return vrresidence.Ceiling{Window: CeilingWindow, Factor: CeilingFactor}
}

func (w *World) fold(value uint64) {
	const prime = 1099511628211
	w.Digest = (w.Digest ^ value) * prime
}

// spread returns a random time between low and high.
func (w *World) spread(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *World) chance(p float64) bool { return p > 0 && w.random.Float64() < p }

// Services of the deployment.
const (
	ServiceApp    vrid.ServiceID = "app"
	ServiceOther  vrid.ServiceID = "other"
	ServiceEngine vrid.ServiceID = "lm"
)

// Routes of the deployment. RouteMoved goes to either plain service.
const (
	RouteRead   = "read"
	RouteOnce   = "once"
	RouteMoved  = "moved"
	RouteStream = "stream"
	RouteSingle = "single"
)

const (
	routeTimeout = 6 * time.Second
	routeTarget  = 400 * time.Millisecond
	// LoadRate is the declared rate of loads from the weight store.
	LoadRate   = 1.0
	storeLoad  = 1500 * time.Millisecond
	diskLoad   = 800 * time.Millisecond
	memoryLoad = 300 * time.Millisecond
	// weights is the memory of one model, so that an engine's memory is a number of places.
	weights = 10 * vrid.GiB
	// AdapterPlaces is the number of adapters that an engine holds.
	AdapterPlaces = 2
	slots         = 8
)

// ModelName is the id of a model.
func ModelName(index int) vrid.ModelID { return vrid.ModelID(fmt.Sprintf("m%02d", index)) }

// NewCatalog returns the catalog of a version. RouteMoved goes to ServiceApp in odd
// versions and to ServiceOther in even ones.
func NewCatalog(version vrid.ConfigVersion, options Options) *vrcatalog.Catalog {
	route := func(id vrcatalog.RouteID, kind vrcatalog.RouteKind, service vrid.ServiceID, resumable bool) vrcatalog.Route {
		return vrcatalog.Route{
			ID: id, Host: "h", Prefix: "/" + string(id) + "/", Kind: kind, Resumable: resumable, Timeout: routeTimeout,
			Target: routeTarget, MaxAttempts: 2, Services: []vrcatalog.Split{{Service: service, Weight: 1}},
		}
	}
	moved := ServiceApp
	if version%2 == 0 {
		moved = ServiceOther
	}
	catalog := &vrcatalog.Catalog{
		Version: version,
		Routes: []vrcatalog.Route{
			route(RouteRead, vrcatalog.RouteIdempotent, ServiceApp, false), route(RouteOnce, vrcatalog.RouteAtMostOnce, ServiceApp, false),
			route(RouteMoved, vrcatalog.RouteIdempotent, moved, false),
			route(RouteStream, vrcatalog.RouteStream, ServiceEngine, true), route(RouteSingle, vrcatalog.RouteStream, ServiceEngine, false),
		},
		Services: []vrcatalog.Service{{ID: ServiceApp}, {ID: ServiceOther}, {ID: ServiceEngine, Engine: &vrcatalog.Engine{
			Slots: slots, Memory: vrid.Bytes(options.Places) * weights, LoadRate: LoadRate, AdapterSlots: AdapterPlaces, CacheTokens: 1 << 20,
		}}},
	}
	engine := catalog.Services[2].Engine
	for i := range options.Models {
		engine.Models = append(engine.Models, vrcatalog.Model{
			ID: ModelName(i), Weights: weights, StoreLoad: storeLoad, DiskLoad: diskLoad, MemoryLoad: memoryLoad,
		})
	}
	if err := catalog.Build(); err != nil {
		panic(err)
	}
	return catalog
}
