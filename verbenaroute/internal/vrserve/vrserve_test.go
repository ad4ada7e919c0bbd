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
	// The codec's shared encoder and decoder hold channels that must not belong to the
	// bubble of one test.
	_, _ = vrcodec.DecodeFleet(document(1))
	goleak.VerifyTestMain(m,
		// The library keeps one goroutine for the date, and others that end by themselves
		// up to 10 s after their server or their last connection.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// fakeReducer notes events and decides by a function.
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

// fakePlatform answers after a while, or watches by a function.
type fakePlatform struct {
	Platform
	wait  time.Duration
	watch func(ctx context.Context, after vrid.ObjectVersion) vrclient.WatchResult

	mu      sync.Mutex
	running int
	most    int
}

// Read implements Platform.
func (p *fakePlatform) Read(context.Context, string) vrclient.ReadResult {
	p.mu.Lock()
	p.running++
	p.most = max(p.most, p.running)
	p.mu.Unlock()
	pass(p.wait)
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
	return vrclient.ReadResult{Outcome: vrplatform.OutcomeOK, Version: 7}
}

// Watch implements Platform.
func (p *fakePlatform) Watch(ctx context.Context, _ string, after vrid.ObjectVersion, _ time.Duration) vrclient.WatchResult {
	return p.watch(ctx, after)
}

// pass waits in the bubble's virtual time.
func pass(d time.Duration) { <-time.After(d) }

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

type fakeSink struct {
	mu      sync.Mutex
	dropped map[string]int
	panics  int
	version vrid.ConfigVersion
	ready   bool
	entries []vrrecord.Entry
	sent    []*vrwire.Envelope
}

func (s *fakeSink) Entry(entry *vrrecord.Entry, _ time.Duration) {
	s.entries = append(s.entries, *entry)
}
func (s *fakeSink) ConfigVersion(version vrid.ConfigVersion) { s.version = version }
func (s *fakeSink) Ready(ready bool, _ string)               { s.ready = ready }
func (s *fakeSink) Handle(vrevent.Effect) bool               { return false }
func (s *fakeSink) Send(_ vrid.DaemonID, _ string, envelope *vrwire.Envelope) {
	s.sent = append(s.sent, envelope)
}
func (s *fakeSink) EffectDropped(kind string) { s.mu.Lock(); s.dropped[kind]++; s.mu.Unlock() }
func (s *fakeSink) EffectPanicked()           { s.mu.Lock(); s.panics++; s.mu.Unlock() }

type bed struct {
	runtime  *Runtime
	reducer  *fakeReducer
	platform *fakePlatform
	sink     *fakeSink
}

func newBed() *bed {
	b := &bed{reducer: &fakeReducer{}, platform: &fakePlatform{wait: time.Second}, sink: &fakeSink{dropped: make(map[string]int)}}
	b.runtime = New(Options{
		Reducer: b.reducer, Platform: b.platform, Engines: fakeEngines{}, Peers: b.sink, Requests: b.sink,
		Observer: b.sink, Log: zap.NewNop(),
	})
	return b
}

func count[T vrevent.Event](events []vrevent.Event) (n int) {
	for _, event := range events {
		if _, ok := event.(T); ok {
			n++
		}
	}
	return n
}

// Guards against more platform calls at once than the limit, and against an effect
// whose answer never comes.
func TestPlatformCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		const reads = _platformQueue + 100
		b.reducer.decide = func(event vrevent.Event, effects *vrevent.Effects) {
			if _, ok := event.(vrevent.Started); !ok {
				return
			}
			for i := range reads {
				effects.Add(vrevent.ReadObject{Op: vrevent.Op(i + 1), Key: "leases/z"})
			}
		}
		b.runtime.Start()
		pass(2 * time.Minute)
		b.runtime.Close()
		require.Equal(t, 4, b.platform.most)
		require.Equal(t, reads, count[vrevent.ObjectRead](b.reducer.events))
		require.Equal(t, reads-_platformQueue-4, b.sink.dropped["readObject"])
	})
}

// Guards against a panic in an effect that ends the daemon.
func TestPanicInEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.reducer.decide = func(event vrevent.Event, effects *vrevent.Effects) {
			if _, ok := event.(vrevent.Started); ok {
				effects.Add(vrevent.PollServer{Server: "a", Address: "panics"})
				effects.Add(vrevent.PollServer{Server: "b", Address: "refuses"})
			}
		}
		b.runtime.Start()
		pass(time.Second)
		b.runtime.Close()
		require.Equal(t, 1, b.sink.panics)
		require.Equal(t, 1, count[vrevent.ReportFailed](b.reducer.events))
	})
}

// Guards against a panic of the reducer that keeps the lock.
func TestPanicInReducer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.reducer.decide = func(event vrevent.Event, _ *vrevent.Effects) {
			if _, ok := event.(vrevent.Started); ok {
				panic("index out of range")
			}
		}
		b.runtime.Start()
		b.runtime.Submit(vrevent.CallerGone{Request: "r"})
		b.runtime.Close()
		require.Equal(t, 1, b.sink.panics)
		require.Equal(t, 1, count[vrevent.CallerGone](b.reducer.events))
	})
}

func document(version vrid.ConfigVersion) []byte {
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

// Guards against two watches at once, a watch that goes on after it was stopped, and a
// head that is not seen.
func TestWatchConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		head := document(3)
		var mu sync.Mutex
		watches := 0
		b.platform.watch = func(ctx context.Context, after vrid.ObjectVersion) vrclient.WatchResult {
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
		on := true
		b.reducer.decide = func(event vrevent.Event, effects *vrevent.Effects) {
			if _, ok := event.(vrevent.DrainServer); ok {
				effects.Add(vrevent.WatchConfig{On: on})
			}
		}
		b.runtime.Start()
		for range 5 {
			b.runtime.Submit(vrevent.DrainServer{})
			on = !on
			b.runtime.Submit(vrevent.DrainServer{})
			on = !on
		}
		b.runtime.Submit(vrevent.DrainServer{})
		pass(time.Second)
		require.Equal(t, vrid.ConfigVersion(3), b.runtime.Configs().Version())
		require.Equal(t, vrid.ConfigVersion(3), b.sink.version)
		b.runtime.Close()
	})
}

// Guards against an offered configuration that is not decoded, and against a malformed
// one that ends the daemon.
func TestPeerMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		var queries []*vrwire.Envelope
		b.runtime.Start()
		b.runtime.OnQuery(func(envelope *vrwire.Envelope) { queries = append(queries, envelope) })
		b.runtime.HandlePeer(&vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{Version: 5, Document: document(5)}})
		b.runtime.HandlePeer(&vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{Version: 6, Document: []byte("x")}})
		b.runtime.HandlePeer(&vrwire.Envelope{ConfigOffer: &vrwire.ConfigOffer{Version: 4, Document: document(4)}})
		b.runtime.HandlePeer(&vrwire.Envelope{EpochAck: &vrwire.EpochAck{Epoch: 1}})
		b.runtime.HandlePeer(&vrwire.Envelope{QueryRequest: &vrwire.QueryRequest{Query: "show"}})
		synctest.Wait()
		b.runtime.Close()
		require.Equal(t, vrid.ConfigVersion(5), b.runtime.Configs().Version())
		require.Equal(t, 1, count[vrevent.ConfigSeen](b.reducer.events))
		require.Equal(t, 1, count[vrevent.PeerMessage](b.reducer.events))
		require.Len(t, queries, 1)
	})
}

// Guards against an operator's call that waits for ever, or that gets the decision on
// another change.
func TestPropose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed()
		b.reducer.decide = func(event vrevent.Event, effects *vrevent.Effects) {
			if e, ok := event.(vrevent.ConfigProposed); ok && e.Base > 0 {
				effects.Add(vrevent.ConfigDecided{Proposal: e.Proposal, Decision: vrevent.ConfigAccepted, Version: e.Base + 1})
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Equal(t, vrevent.ConfigUndecided, b.runtime.Propose(ctx, vrevent.ConfigProposed{}).Decision)
		for base := vrid.ConfigVersion(1); base < 4; base++ {
			decided := b.runtime.Propose(t.Context(), vrevent.ConfigProposed{Base: base})
			require.Equal(t, vrevent.ConfigAccepted, decided.Decision)
			require.Equal(t, base+1, decided.Version)
		}
		require.Empty(t, b.runtime.proposals.waiting)
		b.runtime.Close()
	})
}

// Guards against tasks that run out of order, beyond the limit or after close.
func TestLane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLane(laneOptions{Workers: 1, Queue: 3, OnPanic: func(*panics.Recovered) {}})
		var order []int
		taken := 0
		for i := range 6 {
			if l.submit(func() { pass(time.Second); order = append(order, i) }) {
				taken++
			}
		}
		require.Equal(t, 4, taken)
		pass(10 * time.Second)
		l.close()
		require.Equal(t, []int{0, 1, 2, 3}, order)
		require.False(t, l.submit(func() {}))
	})
}
