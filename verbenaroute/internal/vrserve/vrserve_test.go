package vrserve

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrclient"
	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

func TestMain(m *testing.M) {
	// Initialize the codec's shared encoder and decoder outside of any synctest bubble:
	// their channels must not belong to the bubble of one test.
	_, _ = vrcodec.DecodeFleet(fleetDocument(1))
	goleak.VerifyTestMain(m,
		// fasthttp keeps one goroutine that updates the date, and others that end by
		// themselves up to 10 s after their server or their last connection.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// fakeReducer records the events and calls a function that adds the effects.
type fakeReducer struct {
	store  vrconfig.Store
	events []vrevent.Event
	decide func(event vrevent.Event, effects *vrevent.Effects)
}

// Reduce implements Reducer.
func (r *fakeReducer) Reduce(_ time.Time, event vrevent.Event, effects *vrevent.Effects) {
	if _, tick := event.(vrevent.Tick); !tick {
		r.events = append(r.events, event)
	}
	if seen, ok := event.(vrevent.ConfigSeen); ok {
		r.store.Advance(seen.Index)
	}
	if r.decide != nil {
		r.decide(event, effects)
	}
}

// Configuration implements Reducer.
func (r *fakeReducer) Configuration() *vrconfig.Index { return r.store.Current() }

// fakePlatform answers reads after a delay and watches through a function.
type fakePlatform struct {
	Platform
	readDelay time.Duration
	watch     func(ctx context.Context, after vrid.ObjectVersion) vrclient.WatchResult

	mu         sync.Mutex
	running    int
	maxRunning int
}

// Read implements Platform.
func (p *fakePlatform) Read(context.Context, string) vrclient.ReadResult {
	p.mu.Lock()
	p.running++
	p.maxRunning = max(p.maxRunning, p.running)
	p.mu.Unlock()
	advance(p.readDelay)
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
	return vrclient.ReadResult{Outcome: vrplatform.OutcomeOK, Version: 7}
}

// Watch implements Platform.
func (p *fakePlatform) Watch(ctx context.Context, _ string, after vrid.ObjectVersion, _ time.Duration) vrclient.WatchResult {
	return p.watch(ctx, after)
}

// advance waits in the virtual time of the synctest bubble.
func advance(d time.Duration) { <-time.After(d) }

type fakeEngines struct{}

// Report implements Engines.
func (fakeEngines) Report(_ context.Context, address string) (*vrengine.Report, error) {
	if address == "panics" {
		panic("malformed")
	}
	return nil, errors.New("no report")
}

// Order implements Engines.
func (fakeEngines) Order(context.Context, string, vrengine.Order) vrclient.OrderResult {
	return vrclient.OrderResult{Status: vrengine.OrderDone}
}

// recorder implements Observer, RequestHandler and Peers and records what it receives.
type recorder struct {
	mu      sync.Mutex
	dropped map[string]int
	panics  int
	version vrid.ConfigVersion
	ready   bool
	entries []vrrecord.Entry
	sent    []*vrwire.Envelope
}

func (r *recorder) CountEntry(entry *vrrecord.Entry, _ time.Duration) {
	r.entries = append(r.entries, *entry)
}
func (r *recorder) SetConfigVersion(version vrid.ConfigVersion) { r.version = version }
func (r *recorder) SetReady(ready bool, _ string)               { r.ready = ready }
func (r *recorder) Handle(vrevent.Effect) bool                  { return false }
func (r *recorder) Send(_ vrid.DaemonID, _ string, envelope *vrwire.Envelope) {
	r.sent = append(r.sent, envelope)
}
func (r *recorder) EffectDropped(kind string) { r.mu.Lock(); r.dropped[kind]++; r.mu.Unlock() }
func (r *recorder) EffectPanicked()           { r.mu.Lock(); r.panics++; r.mu.Unlock() }

// testEnv is a Runtime with fakes for all of its dependencies.
type testEnv struct {
	runtime  *Runtime
	reducer  *fakeReducer
	platform *fakePlatform
	recorder *recorder
}

func newTestEnv() *testEnv {
	env := &testEnv{reducer: &fakeReducer{}, platform: &fakePlatform{readDelay: time.Second}, recorder: &recorder{dropped: make(map[string]int)}}
	env.runtime = New(Options{
		Reducer: env.reducer, Platform: env.platform, Engines: fakeEngines{}, Peers: env.recorder, Requests: env.recorder,
		Observer: env.recorder, Log: zap.NewNop(),
	})
	return env
}

// countEvents returns the number of events of one type.
func countEvents[T vrevent.Event](events []vrevent.Event) (n int) {
	for _, event := range events {
		if _, ok := event.(T); ok {
			n++
		}
	}
	return n
}

// Guards against more concurrent platform calls than the limit, and against a rejected
// effect for which the reducer gets no answer.
func TestPlatformCallLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv()
		const reads = _platformQueueSize + 100
		env.reducer.decide = func(event vrevent.Event, effects *vrevent.Effects) {
			if _, ok := event.(vrevent.Started); !ok {
				return
			}
			for i := range reads {
				effects.Add(vrevent.ReadObject{Op: vrevent.Op(i + 1), Key: "leases/z"})
			}
		}
		env.runtime.Start()
		advance(2 * time.Minute)
		env.runtime.Close()
		require.Equal(t, 4, env.platform.maxRunning)
		require.Equal(t, reads, countEvents[vrevent.ObjectRead](env.reducer.events))
		require.Equal(t, reads-_platformQueueSize-4, env.recorder.dropped["readObject"])
	})
}

// Guards against a daemon that crashes because an effect panicked.
func TestPanicInEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv()
		env.reducer.decide = func(event vrevent.Event, effects *vrevent.Effects) {
			if _, ok := event.(vrevent.Started); ok {
				effects.Add(vrevent.PollServer{Server: "a", Address: "panics"})
				effects.Add(vrevent.PollServer{Server: "b", Address: "refuses"})
			}
		}
		env.runtime.Start()
		advance(time.Second)
		env.runtime.Close()
		require.Equal(t, 1, env.recorder.panics)
		require.Equal(t, 1, countEvents[vrevent.ReportFailed](env.reducer.events))
	})
}

// Guards against a panic of the reducer that leaves the runtime's lock held.
func TestPanicInReducer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv()
		env.reducer.decide = func(event vrevent.Event, _ *vrevent.Effects) {
			if _, ok := event.(vrevent.Started); ok {
				panic("index out of range")
			}
		}
		env.runtime.Start()
		env.runtime.Submit(vrevent.CallerGone{Request: "r"})
		env.runtime.Close()
		require.Equal(t, 1, env.recorder.panics)
		require.Equal(t, 1, countEvents[vrevent.CallerGone](env.reducer.events))
	})
}

func fleetDocument(version vrid.ConfigVersion) []byte {
	second := vrid.Duration(time.Second)
	fleet := &vrconfig.Fleet{
		Version: version, Deployment: "test",
		Regions:     []vrconfig.Region{{ID: "r", Zones: []vrid.ZoneID{"z"}}},
		WeightStore: vrconfig.WeightStore{Slots: 4, AdapterSlots: 32},
		Claims:      vrconfig.Claims{Shards: 1, Retention: second},
		Record:      vrconfig.Record{Retention: second},
	}
	for _, rank := range vrid.Ranks() {
		fleet.Ranks = append(fleet.Ranks, vrconfig.RankPolicy{
			Rank: rank, Target: second, Deadline: second, Weight: 1, Objective: 0.9, CallerShare: 1,
		})
	}
	encoded, err := vrcodec.EncodeFleet(fleet)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Guards against two overlapping watches, a watch that continues after it was stopped,
// and a configuration head that is not submitted.
func TestWatchConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv()
		head := fleetDocument(3)
		var mu sync.Mutex
		watches := 0
		env.platform.watch = func(ctx context.Context, after vrid.ObjectVersion) vrclient.WatchResult {
			mu.Lock()
			watches++
			require.Equal(t, 1, watches)
			mu.Unlock()
			defer func() {
				mu.Lock()
				watches--
				mu.Unlock()
			}()
			if after == 0 {
				return vrclient.WatchResult{Outcome: vrplatform.OutcomeOK, Revision: 9, Items: []vrplatform.Item{{Key: "config/ack/z", Version: 8}, {Key: vrplatform.KeyConfigHead, Version: 9, Value: head}}}
			}
			<-ctx.Done()
			return vrclient.WatchResult{Outcome: vrplatform.OutcomeUnavailable}
		}
		enabled := true
		env.reducer.decide = func(event vrevent.Event, effects *vrevent.Effects) {
			if _, ok := event.(vrevent.DrainServer); ok {
				effects.Add(vrevent.WatchConfig{On: enabled})
			}
		}
		env.runtime.Start()
		for range 5 {
			env.runtime.Submit(vrevent.DrainServer{})
			enabled = !enabled
			env.runtime.Submit(vrevent.DrainServer{})
			enabled = !enabled
		}
		env.runtime.Submit(vrevent.DrainServer{})
		advance(time.Second)
		require.Equal(t, vrid.ConfigVersion(3), env.runtime.Configs().Version())
		require.Equal(t, vrid.ConfigVersion(3), env.recorder.version)
		env.runtime.Close()
	})
}

// Guards against an offered configuration that is not decoded, and against a malformed
// one that crashes the daemon.
func TestPeerMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv()
		var queries []*vrwire.Envelope
		env.runtime.Start()
		env.runtime.OnQuery(func(envelope *vrwire.Envelope) { queries = append(queries, envelope) })
		env.runtime.HandlePeerMessage(&vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{Version: 5, Document: fleetDocument(5)}})
		env.runtime.HandlePeerMessage(&vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{Version: 6, Document: []byte("x")}})
		env.runtime.HandlePeerMessage(&vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{Version: 4, Document: fleetDocument(4)}})
		env.runtime.HandlePeerMessage(&vrwire.Envelope{EpochAck: &vrwire.EpochAck{Epoch: 1}})
		env.runtime.HandlePeerMessage(&vrwire.Envelope{QueryRequest: &vrwire.QueryRequest{Query: "show"}})
		synctest.Wait()
		env.runtime.Close()
		require.Equal(t, vrid.ConfigVersion(5), env.runtime.Configs().Version())
		require.Equal(t, 1, countEvents[vrevent.ConfigSeen](env.reducer.events))
		require.Equal(t, 1, countEvents[vrevent.PeerMessage](env.reducer.events))
		require.Len(t, queries, 1)
	})
}

// Guards against a Propose call that never returns, or that gets the decision on another
// change.
func TestPropose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv()
		env.reducer.decide = func(event vrevent.Event, effects *vrevent.Effects) {
			if e, ok := event.(vrevent.ConfigProposed); ok && e.Base > 0 {
				effects.Add(vrevent.ConfigDecided{Proposal: e.Proposal, Decision: vrevent.ConfigAccepted, Version: e.Base + 1})
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Equal(t, vrevent.ConfigUndecided, env.runtime.Propose(ctx, vrevent.ConfigProposed{}).Decision)
		for base := vrid.ConfigVersion(1); base < 4; base++ {
			decided := env.runtime.Propose(t.Context(), vrevent.ConfigProposed{Base: base})
			require.Equal(t, vrevent.ConfigAccepted, decided.Decision)
			require.Equal(t, base+1, decided.Version)
		}
		require.Empty(t, env.runtime.proposals.pending)
		env.runtime.Close()
	})
}

// Guards against tasks that run out of order, above the limit or after close.
func TestWorkerPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newWorkerPool(workerPoolOptions{Workers: 1, Queue: 3, OnPanic: func(*panics.Recovered) {}})
		var order []int
		accepted := 0
		for i := range 6 {
			if pool.submit(func() { advance(time.Second); order = append(order, i) }) {
				accepted++
			}
		}
		require.Equal(t, 4, accepted)
		advance(10 * time.Second)
		pool.close()
		require.Equal(t, []int{0, 1, 2, 3}, order)
		require.False(t, pool.submit(func() {}))
	})
}
