// Package vrworld simulates a deployment: it runs the reducers of several daemons in
// virtual time against small fakes of the platform, the language servers, the application
// servers, the network and the callers. Runs with the same seed are identical. The fakes
// model behavior at the interfaces only, not the hardware behind them.
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

// Options describe the simulated deployment and its timing. A zero value selects the
// default given in parentheses.
type Options struct {
	// Seed initializes the random generator; runs with the same seed are identical.
	Seed uint64
	// Zones is the number of zones (3). Each is in a region of its own.
	Zones int
	// DaemonsPerZone (3), ServersPerZone (3) and AppServersPerZone (1) are the number of
	// daemons, language servers and application servers in each zone.
	DaemonsPerZone    int
	ServersPerZone    int
	AppServersPerZone int
	// Models (12) and Adapters (6) are counts. Adapter i has model i as its base, modulo
	// the number of models.
	Models   int
	Adapters int
	// ServerMemory is the memory of one language server (40 GiB). A model takes 9 GiB.
	ServerMemory vrid.Bytes
	// HonorsFencing is whether the pool of language servers is declared to reject orders
	// with an outdated fencing token.
	HonorsFencing bool
	// Fleet replaces the default configuration.
	Fleet *vrconfig.Fleet
	// VMLag is the age of the VM list that the platform returns (2s).
	VMLag time.Duration
	// Pace replaces the default timing model of the language servers.
	Pace *Pace
	// Baseline runs the daemons with the reducer's baseline policy.
	Baseline bool
	// Trace records a line in World.Lines for each event of a daemon.
	Trace bool
	// Observer is the observer that receives everything an oracle checks.
	Observer Observer
}

// Observer is notified of what happens outside the reducers.
type Observer interface {
	// Loading is called when an engine reserves memory for a model or an adapter and starts
	// to load it.
	Loading(engine *Engine, model vrid.ModelID, adapter vrid.AdapterID)
	// Written is called after a write has taken effect on the platform.
	Written(key string, value []byte)
	// Ran is called when a back end starts to execute a request.
	Ran(call *Call, server vrid.ServerID)
	// Dispatched is called when a daemon sends a request to a back end. decided is when the
	// reducer returned the effect.
	Dispatched(p *Process, call *Call, server vrid.ServerID, decided time.Time)
	// Effect is called before a daemon carries out an effect.
	Effect(p *Process, effect vrevent.Effect)
	// Reduced is called after the reducer has processed an event and the effects were carried
	// out, except those that a kill or a pause cut off.
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

// World is a simulated deployment in virtual time. It is not safe for concurrent use.
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
	// Steps counts the events that the reducers processed.
	Steps uint64
	// Digest is a hash over the time of each event and the number of its effects. Runs with
	// the same seed have the same digest.
	Digest uint64
	// Lines is the trace, if Options.Trace is set.
	Lines []string

	random    *rand.Rand
	byDaemon  map[vrid.DaemonID]*Daemon
	byEngine  map[vrid.ServerID]*Engine
	byApp     map[vrid.ServerID]*App
	bootCount uint64
	vmCount   uint64
	sequence  uint64
	configs   configCache
}

// New returns a world and starts all its daemons.
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
	w.Platform.installConfig(options.Fleet)
	for z := range options.Zones {
		w.addZone(ZoneName(z))
	}
	for _, d := range w.Daemons {
		d.Start()
	}
	return w
}

// ZoneName returns the id of the zone with the given index.
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

func (w *World) nextVMNumber() uint64 {
	w.vmCount++
	return w.vmCount
}

func (w *World) nextBootID() vrid.BootID {
	w.bootCount++
	return vrid.BootID(fmt.Sprintf("b%08d", w.bootCount))
}

// Random returns the world's random generator, for code that adds load of its own.
func (w *World) Random() *rand.Rand { return w.random }

// updateDigest mixes a value into the digest as FNV-1a does, but with words of 64 bits.
func (w *World) updateDigest(value uint64) {
	const prime = 1099511628211
	w.Digest = (w.Digest ^ value) * prime
}

// randomDuration returns a random duration in [low, high), or low if the interval is empty.
func (w *World) randomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// chance returns true with probability p.
func (w *World) chance(p float64) bool { return p > 0 && w.random.Float64() < p }

// Decode returns the configuration that a document encodes.
func (w *World) Decode(document []byte) *vrconfig.Index { return w.configs.decode(document) }

// LeavingSince returns when a server announced that it leaves, or the zero time.
func (w *World) LeavingSince(id vrid.ServerID) time.Time {
	if e := w.byEngine[id]; e != nil {
		return e.LeavingSince
	}
	if a := w.byApp[id]; a != nil {
		return a.LeavingSince
	}
	return time.Time{}
}
