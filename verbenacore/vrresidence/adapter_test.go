package vrresidence_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrwire"
)

// carryOutAdapter executes an order about an adapter. As the platform's servers do, it drops an
// adapter in use only once that has ended, and crashes if there are more adapters than slots, or more weights than
// memory.
func (f *fakeServer) carryOutAdapter(order vrevent.PlacementOrder, engine *vrcatalog.Engine) vrevent.OrderOutcome {
	if order.Kind == vrevent.OrderLoad {
		used, count := vrid.Bytes(0), 0
		for i := range f.holds {
			held, model := &f.holds[i], engine.Model(f.holds[i].Model)
			if held.Model == order.Model {
				held.Adapters = append(slices.Clone(held.Adapters), order.Adapter)
			}
			used += model.Weights + vrid.Bytes(len(held.Adapters))*model.AdapterSize
			count += len(held.Adapters)
		}
		f.crashed = f.crashed || count > engine.AdapterSlots || used > engine.Memory
		return vrevent.OrderAccepted
	}
	if f.repeats && f.unloading[order.Adapter] {
		return vrevent.OrderAlreadyApplied
	}
	if f.inUse[order.Adapter] {
		f.unloading[order.Adapter] = true
		return vrevent.OrderAccepted
	}
	f.drop(order.Adapter)
	return vrevent.OrderAlreadyApplied
}

func (f *fakeServer) drop(adapter vrid.AdapterID) {
	for i := range f.holds {
		f.holds[i].Adapters = slices.DeleteFunc(slices.Clone(f.holds[i].Adapters), func(a vrid.AdapterID) bool { return a == adapter })
	}
}

// endUse ends the requests for an adapter.
func (f *fakeServer) endUse(adapter vrid.AdapterID) {
	delete(f.inUse, adapter)
	if f.unloading[adapter] {
		delete(f.unloading, adapter)
		f.drop(adapter)
	}
}

// newAdapterSimulation returns servers that hold the model m0 with the adapters a and b, which are in use.
func newAdapterSimulation(t *testing.T, servers int) *simulation {
	s := newSimulation(t, 1, servers)
	for _, server := range s.servers {
		server.holds = []vrfleet.LoadedModel{{Model: "m0", Adapters: []vrid.AdapterID{"a", "b"}}}
		server.inUse, server.unloading = map[vrid.AdapterID]bool{"a": true, "b": true}, make(map[vrid.AdapterID]bool)
	}
	return s
}

// reportAdapter reports a daemon's requests for an adapter.
func (s *simulation) reportAdapter(daemon vrid.DaemonID, model vrid.ModelID, adapter vrid.AdapterID, waiting, running uint32) {
	s.planner.HandleDemand(s.now, daemon, &vrwire.PlacementDemand{Full: true, Items: []vrwire.PlacementDemandItem{{
		Service: "lm", Model: model, Adapter: adapter, Waiting: waiting, WithinTarget: waiting, Running: running, LongestRemaining: 15_000,
	}}})
}

// wantAdapter runs the simulation while a daemon's request waits for an adapter, until it is held or the time is
// over, and returns the server that holds it.
func (s *simulation) wantAdapter(adapter vrid.AdapterID, d time.Duration) *fakeServer {
	for until := s.now.Add(d); s.now.Before(until); s.step(50 * time.Millisecond) {
		s.reportAdapter("d", "m0", adapter, 1, 0)
		for _, server := range s.servers {
			if slices.ContainsFunc(server.holds, func(h vrfleet.LoadedModel) bool { return slices.Contains(h.Adapters, adapter) }) {
				return server
			}
		}
	}
	return nil
}

// Guards against a ninth adapter at a server with eight slots: an accepted unload of an adapter in use counted as
// done, and the load that followed at once crashed the server with all its streams (review case 3).
func TestAcceptedUnloadOfAdapterFreesNothing(t *testing.T) {
	s := newAdapterSimulation(t, 1)
	server := s.servers["s0"]
	require.Nil(t, s.wantAdapter("c", 5*time.Second))
	require.Len(t, server.unloading, 1, "one adapter is unloaded, and its slot is awaited")
	s.requireNoCrash()
	for adapter := range server.unloading {
		server.endUse(adapter)
	}
	require.NotNil(t, s.wantAdapter("c", 2*time.Second), "a report shows that the slot is free")
	s.requireNoCrash()
}

// Guards against adapters that count as idle because the daemon that uses them has not reported: it may be frozen, and
// its streams go on (review case 3).
func TestAdapterOfSilentDaemonIsNotUnloaded(t *testing.T) {
	s := newAdapterSimulation(t, 1)
	s.run(2 * time.Second)
	for _, adapter := range []vrid.AdapterID{"a", "b"} {
		s.reportAdapter(vrid.DaemonID("user-of-"+adapter), "m0", adapter, 0, 1)
	}
	require.Nil(t, s.wantAdapter("c", 4*time.Second))
	require.Empty(t, s.servers["s0"].unloading)
	// A report without the adapter shows that its requests have ended.
	s.servers["s0"].endUse("a")
	s.reportAdapter("user-of-a", "m0", "x", 0, 1)
	require.NotNil(t, s.wantAdapter("c", 3*time.Second))
	require.Equal(t, []vrid.AdapterID{"b", "c"}, s.servers["s0"].holds[0].Adapters)
}

// Guards against a successor or a lost answer that makes a waiting unload look done: the server answers a second
// unload of the same adapter that it holds already, while the first one waits.
func TestRepeatedUnloadIsNoProof(t *testing.T) {
	for name, prepare := range map[string]func(s *simulation){
		"former owner": func(s *simulation) {
			server := s.servers["s0"]
			server.orders, server.unloading["a"], server.unloading["b"] = 7, true, true
		},
		"lost answer": func(s *simulation) { s.answersToLose = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			s := newAdapterSimulation(t, 1)
			server := s.servers["s0"]
			server.repeats = true
			prepare(s)
			require.Nil(t, s.wantAdapter("c", 5*time.Second))
			s.requireNoCrash()
			server.endUse("a")
			server.endUse("b")
			require.NotNil(t, s.wantAdapter("c", 4*time.Second))
			s.requireNoCrash()
		})
	}
}

// Guards against unloads at one server after the other for one request, while the first accepted one waits, and
// against a wait for it although another server has room.
func TestOtherServersGoOnWhileAnUnloadWaits(t *testing.T) {
	s := newAdapterSimulation(t, 3)
	require.Nil(t, s.wantAdapter("c", 2*time.Second))
	unloading := 0
	for _, server := range s.servers {
		unloading += len(server.unloading)
	}
	require.LessOrEqual(t, unloading, 1, "the first second of the wait")
	s.servers["s2"].inUse, s.servers["s2"].holds[0].Adapters = nil, nil
	s.planner.ForgetServer("s2")
	require.Same(t, s.servers["s2"], s.wantAdapter("c", time.Second))
	s.requireNoCrash()
}

// Guards against a load that is ordered although it does not fit any more: the last check before the order refuses
// it.
func TestLoadThatDoesNotFitIsNotOrdered(t *testing.T) {
	s := newSimulation(t, 4, 1)
	server := s.servers["s0"]
	server.holds = []vrfleet.LoadedModel{{Model: "m0"}, {Model: "m1"}}
	server.slowUnloads = true
	server.entry.OnDisk = []vrid.ModelID{"m2"}
	s.reportWaiting(2, 3)
	for !server.unloadPending {
		s.step(50 * time.Millisecond)
	}
	// Meanwhile a catalog states that the model is larger than the memory that the unload frees.
	s.catalog.Services[0].Engine.Models[2].Weights = 2 * weights
	server.unloadPending = false
	s.run(3 * time.Second)
	require.Empty(t, s.loads)
	require.Positive(t, s.unfit)
}

// Guards against an adapter that makes way for a larger one although that does not free enough memory: 12 MB were
// unloaded for an adapter of 66 MB with 50 MB free, and the server crashed (review case 4).
func TestVictimsFreeEnoughForAdapter(t *testing.T) {
	const large = 30 * vrid.GiB
	for _, test := range []struct {
		name string
		// free is the memory beside the two models.
		free vrid.Bytes
		// small are the adapters of 10 GiB that the server holds, the least recently used first, kept those that
		// stay, and refused whether the callers are told that there will be no load.
		small, kept []vrid.AdapterID
		refused     bool
	}{
		{"room", 60 * vrid.GiB, []vrid.AdapterID{"a", "b", "c"}, []vrid.AdapterID{"a", "b", "c"}, false},
		{"one", 60 * vrid.GiB, []vrid.AdapterID{"a", "b", "c", "d"}, []vrid.AdapterID{"b", "c", "d"}, false},
		{"two", 60 * vrid.GiB, []vrid.AdapterID{"a", "b", "c", "d", "e"}, []vrid.AdapterID{"c", "d", "e"}, false},
		{"none is enough", 25 * vrid.GiB, []vrid.AdapterID{"a"}, []vrid.AdapterID{"a"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(t, 2, 1)
			engine := s.catalog.Services[0].Engine
			engine.Memory, engine.AdapterSlots = 2*weights+test.free, 8
			engine.Models[0].AdapterSize, engine.Models[1].AdapterSize = large, 10*vrid.GiB
			server := s.servers["s0"]
			server.holds = []vrfleet.LoadedModel{{Model: "m0"}, {Model: "m1", Adapters: test.small}}
			for _, adapter := range test.small {
				s.step(100 * time.Millisecond)
				s.reportAdapter("u", "m1", adapter, 0, 1)
			}
			s.reportAdapter("u", "m1", "", 0, 0)
			refused := false
			s.onNotice = func(n vrresidence.Notice) { refused = refused || n.Kind == vrwire.NoticeRefused }
			require.Equal(t, !test.refused, s.wantAdapter("large", 4*time.Second) != nil)
			require.Equal(t, test.kept, server.holds[1].Adapters)
			require.Equal(t, test.refused, refused)
			require.Zero(t, s.unfit)
			s.requireNoCrash()
		})
	}
}
