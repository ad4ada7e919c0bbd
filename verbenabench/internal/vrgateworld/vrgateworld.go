// Package vrgateworld simulates a deployment of several gateways in virtual time. It runs
// the gateways' reducers against small fakes of the platform's store, the servers that
// register there, the network and the clients. Runs with the same seed are identical. The
// fakes reproduce the platform's faults: writes and orders take effect seconds late or
// after their sender is gone, servers restart empty with the same id, addresses are reused
// and daemons are suspended.
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

// Bounds of the deployment. Each has the strictest value of any known deployment.
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
	// CeilingExtra is the number of loads that a window may hold beyond the declared rate.
	CeilingExtra = 3
)

// Options describes a deployment.
type Options struct {
	// Seed seeds the random source; runs with the same seed are identical.
	Seed uint64
	// StoreEra is the era of the store at the start.
	StoreEra vrid.StoreEra
	// Zones is the number of zones. They share one region.
	Zones int
	// Daemons and Engines count those of the whole fleet, Apps the servers of each of the two
	// services without engines.
	Daemons, Engines, Apps int
	Models                 int
	// ModelsPerEngine is the number of models that fit into an engine's memory.
	ModelsPerEngine int
	// DiskShare is the probability that a model is on an engine's disk from the start.
	DiskShare float64
	// PoisonShare is the share of the calls for engines whose prompts hold DeadlyPart, which crashes
	// each engine that begins to answer it, between PoisonFrom and PoisonUntil after the start.
	PoisonShare             float64
	PoisonFrom, PoisonUntil time.Duration
	// SharesMachines makes the servers state their pace, which activates ordered admission and the owner's
	// long hold. FormerDaemons is the number of daemons whose first run is of a version that knows neither.
	SharesMachines bool
	FormerDaemons  int
	// Trace records a line for each event that a daemon reduces, except ticks without effects.
	Trace bool
	// Observer is notified during the run.
	Observer Observer
}

// Observer is notified of what servers, the store and clients observe, so that it can check
// invariants.
type Observer interface {
	// Ordered is called when an order reaches a server.
	Ordered(server *Server, p *Process, order vrevent.PlacementOrder)
	// Accepted is called when a server starts to execute an order. fromStore is set when the
	// order loads a model from the weight store.
	Accepted(server *Server, order vrevent.PlacementOrder, fromStore bool)
	// Arrived is called when a request reaches a server, Ran when the server starts to run it.
	Arrived(server *Server, a *Attempt)
	Ran(server *Server, a *Attempt)
	// Effect is called for each effect that a daemon executes.
	Effect(p *Process, effect vrevent.Effect)
	// Reduced is called after each event that a daemon reduces.
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
	// PeerLossRate is the probability that a message between daemons is lost, MaxPeerDelay the
	// maximum additional delay of such a message.
	PeerLossRate float64
	MaxPeerDelay time.Duration
	// Steps counts the events that were reduced.
	Steps uint64
	// Digest is a hash of the times of all events and the number of their effects.
	Digest uint64
	Lines  []string
	// Crashes are the times of the crashes by DeadlyPart.
	Crashes []time.Time

	rng *rand.Rand
	// promptRng draws the parts of prompts. It is apart from rng, so that plans without deadly
	// parts run as they would without any parts.
	promptRng   *rand.Rand
	startedAt   time.Time
	byAddress   map[string]*Server
	bootCount   int
	serverCount int
}

// New returns a world whose servers and daemons have been started.
func New(options Options) *World {
	w := &World{
		Timeline: vrtimeline.New(time.Unix(1_790_000_000, 0).UTC()),
		Options:  options, rng: rand.New(rand.NewPCG(options.Seed, 0x2545f4914f6cdd1d)),
		promptRng: rand.New(rand.NewPCG(options.Seed, 0x9e3779b97f4a7c15)),
		byAddress: make(map[string]*Server),
	}
	w.startedAt = w.Now()
	w.Store = newStore(w)
	w.Store.Publish(1)
	for i := range options.Engines {
		w.addServer(ServiceEngine, w.zone(i), "")
	}
	for i := range options.Apps {
		w.addServer(ServiceApp, w.zone(i), "")
		w.addServer(ServiceOther, w.zone(i+1), "")
	}
	for i := range options.Daemons {
		d := &Daemon{ID: vrid.DaemonID(fmt.Sprintf("d%02d", i)), Zone: w.zone(i), world: w, former: i < options.FormerDaemons}
		w.Daemons = append(w.Daemons, d)
		w.Store.peers = append(w.Store.peers, vrevent.Peer{Daemon: d.ID, Address: "peer:" + string(d.ID), Zone: d.Zone})
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

func (w *World) updateDigest(value uint64) {
	const prime = 1099511628211
	w.Digest = (w.Digest ^ value) * prime
}

// randomDuration returns a random duration in [low, high), or low if the range is empty.
func (w *World) randomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *World) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// Services of the deployment. Only ServiceEngine runs models.
const (
	ServiceApp    vrid.ServiceID = "app"
	ServiceOther  vrid.ServiceID = "other"
	ServiceEngine vrid.ServiceID = "lm"
)

// Routes of the deployment. RouteMoved goes to ServiceApp or ServiceOther, depending on the
// catalog version.
const (
	RouteRead   = "read"
	RouteOnce   = "once"
	RouteMoved  = "moved"
	RouteStream = "stream"
	RouteSingle = "single"
)

const (
	routeTimeout = 6 * time.Second
	// pauseTarget is the longest pause between two events that a route aims at, maxReservation the
	// longest time for which an engine reserves a place.
	pauseTarget    = 100 * time.Millisecond
	maxReservation = 2 * time.Second
	routeTarget    = 400 * time.Millisecond
	// LoadRate is the declared rate of loads from the weight store, in loads per second.
	LoadRate       = 1.0
	storeLoadTime  = 1500 * time.Millisecond
	diskLoadTime   = 800 * time.Millisecond
	memoryLoadTime = 300 * time.Millisecond
	// modelMemory is the memory of every model, so that an engine's memory can be given as a
	// number of models.
	modelMemory = 10 * vrid.GiB
	// MaxAdapters is the maximum number of adapters that an engine holds.
	MaxAdapters    = 2
	slotsPerServer = 8
)

// ModelName returns the id of the model with an index.
func ModelName(index int) vrid.ModelID { return vrid.ModelID(fmt.Sprintf("m%02d", index)) }

// NewCatalog returns a catalog with the given version. RouteMoved goes to ServiceApp in odd
// versions and to ServiceOther in even ones.
func NewCatalog(version vrid.ConfigVersion, options Options) *vrcatalog.Catalog {
	route := func(id vrcatalog.RouteID, kind vrcatalog.RouteKind, service vrid.ServiceID, resumable bool) vrcatalog.Route {
		return vrcatalog.Route{
			ID: id, Host: "h", Prefix: "/" + string(id) + "/", Kind: kind, Resumable: resumable, Timeout: routeTimeout,
			Target: routeTarget, PauseTarget: pauseTarget, MaxAttempts: 2, Services: []vrcatalog.Split{{Service: service, Weight: 1}},
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
			Slots: slotsPerServer, Memory: vrid.Bytes(options.ModelsPerEngine) * modelMemory, LoadRate: LoadRate, AdapterSlots: MaxAdapters, CacheTokens: 1 << 20,
			MaxReservation: maxReservation,
		}}},
	}
	engine := catalog.Services[2].Engine
	for i := range options.Models {
		engine.Models = append(engine.Models, vrcatalog.Model{
			ID: ModelName(i), Weights: modelMemory, StoreLoad: storeLoadTime, DiskLoad: diskLoadTime, MemoryLoad: memoryLoadTime,
		})
	}
	if err := catalog.Build(); err != nil {
		panic(err)
	}
	return catalog
}
