// Package vrworld runs the reducers of several daemons in virtual time, with small
// fakes of the platform, the language servers, the application servers, the network
// and the callers. A seed repeats a run exactly. It models effects at the interfaces
// only: nothing of the hardware behind them.
package vrworld

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"verbenaroute.example/verbenabench/internal/vrtimeline"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// Options describe a deployment and its pace. Zero values take defaults.
type Options struct {
	// Seed repeats a run.
	Seed uint64
	// Zones, each in a region of its own (3).
	Zones int
	// DaemonsPerZone (3), ServersPerZone (3) and AppServersPerZone (1).
	DaemonsPerZone    int
	ServersPerZone    int
	AppServersPerZone int
	// Models (12) and Adapters (6); the first adapters stand on the first models.
	Models   int
	Adapters int
	// ServerMemory is that of one language server (40 GiB); a model takes 9 GiB.
	ServerMemory vrid.Bytes
	// HonorsFencing is the declaration of the language servers.
	HonorsFencing bool
	// Fleet replaces the default configuration.
	Fleet *vrconfig.Fleet
	// VMLag is how old the platform's list of VMs is (2s).
	VMLag time.Duration
	// Pace replaces the plain timing of the language servers.
	Pace *Pace
	// Baseline runs the daemons with the plain policy.
	Baseline bool
	// Trace keeps a line for each event of a daemon.
	Trace bool
	// Observer is told of everything that an oracle needs.
	Observer Observer
}

// Observer sees what happens outside the reducers.
type Observer interface {
	// Loading is called when an engine starts to hold a model or an adapter.
	Loading(engine *Engine, model vrid.ModelID, adapter vrid.AdapterID)
	// Written is called after a write took effect on the platform.
	Written(key string, value []byte)
	// Ran is called when a back end starts a request.
	Ran(call *Call, server vrid.ServerID)
	// Dispatched is called when a daemon sends a request to a back end.
	Dispatched(p *Process, call *Call, server vrid.ServerID, decided time.Time)
	// Effect is called for each effect that a daemon carries out.
	Effect(p *Process, effect vrevent.Effect)
	// Reduced is called after each event.
	Reduced(p *Process)
}

func (o Options) withDefaults() Options {
	o.Zones = cmp.Or(o.Zones, 3)
	o.DaemonsPerZone = cmp.Or(o.DaemonsPerZone, 3)
	o.ServersPerZone = cmp.Or(o.ServersPerZone, 3)
	o.AppServersPerZone = cmp.Or(o.AppServersPerZone, 1)
	o.Models = cmp.Or(o.Models, 12)
	o.Adapters = cmp.Or(o.Adapters, 6)
	o.ServerMemory = cmp.Or(o.ServerMemory, serverMemory)
	o.VMLag = cmp.Or(o.VMLag, 2*time.Second)
	if o.Fleet == nil {
		o.Fleet = DefaultFleet(o)
	}
	return o
}

// World is a deployment in virtual time. It is not safe for concurrent use.
type World struct {
	vrtimeline.Timeline
	Options  Options
	Platform *Platform
	Net      *Network
	Daemons  []*Daemon
	Engines  []*Engine
	Apps     []*App
	Weights  *WeightStore
	Calls    map[vrid.RequestID]*Call
	// Steps counts the events that reducers took.
	Steps uint64
	// Digest folds every event and effect; two runs of a seed have the same.
	Digest uint64
	Lines  []string

	random   *rand.Rand
	byDaemon map[vrid.DaemonID]*Daemon
	byEngine map[vrid.ServerID]*Engine
	byApp    map[vrid.ServerID]*App
	boots    uint64
	vms      uint64
	calls    uint64
	configs  configCache
}

// New returns a world whose daemons start at once.
func New(options Options) *World {
	options = options.withDefaults()
	w := &World{
		Options:  options,
		Calls:    make(map[vrid.RequestID]*Call),
		Timeline: vrtimeline.New(time.Unix(1_790_000_000, 0).UTC()),
		random:   rand.New(rand.NewPCG(options.Seed, 0x9e3779b97f4a7c15)),
		byDaemon: make(map[vrid.DaemonID]*Daemon),
		byEngine: make(map[vrid.ServerID]*Engine),
		byApp:    make(map[vrid.ServerID]*App),
		configs:  make(configCache),
	}
	w.Net = newNetwork(w)
	w.Weights = newWeightStore(w, options.Fleet.WeightStore)
	w.Platform = newPlatform(w)
	w.Platform.install(options.Fleet)
	for z := range options.Zones {
		w.addZone(ZoneName(z))
	}
	for _, d := range w.Daemons {
		d.Start()
	}
	return w
}

// ZoneName is the id of a zone.
func ZoneName(index int) vrid.ZoneID { return vrid.ZoneID(fmt.Sprintf("z%d", index)) }

func (w *World) addZone(zone vrid.ZoneID) {
	for range w.Options.ServersPerZone {
		w.addEngine(zone)
	}
	for range w.Options.AppServersPerZone {
		w.addApp(zone)
	}
	for range w.Options.DaemonsPerZone {
		w.AddDaemon(zone)
	}
}

func (w *World) vmNumber() uint64 {
	w.vms++
	return w.vms
}

func (w *World) nextBoot() vrid.BootID {
	w.boots++
	return vrid.BootID(fmt.Sprintf("b%08d", w.boots))
}

// Random is the world's generator, for callers that add load of their own.
func (w *World) Random() *rand.Rand { return w.random }

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

// Decode returns the configuration of a document.
func (w *World) Decode(document []byte) *vrconfig.Index { return w.configs.decode(document) }

// LeavingSince is when a server first said that it leaves, or zero.
func (w *World) LeavingSince(id vrid.ServerID) time.Time {
	if e := w.byEngine[id]; e != nil {
		return e.LeavingSince
	}
	if a := w.byApp[id]; a != nil {
		return a.LeavingSince
	}
	return time.Time{}
}
