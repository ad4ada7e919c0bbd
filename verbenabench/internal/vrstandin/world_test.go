package vrstandin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// recordedResponse is what a handler wrote; broken means that the handler aborted the
// connection.
type recordedResponse struct {
	status  int
	version string
	body    string
	broken  bool
}

// serve invokes a handler without a network, so that virtual time applies.
func serve(handler http.Handler, method, target, body string, headers ...string) (result recordedResponse) {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	defer func() {
		if recovered := recover(); recovered != nil {
			err, ok := recovered.(error)
			if !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(recovered)
			}
			result.broken = true
			result.body = recorder.Body.String()
		}
	}()
	handler.ServeHTTP(recorder, request)
	return recordedResponse{
		status:  recorder.Code,
		version: recorder.Header().Get(vrplatform.HeaderVersion),
		body:    recorder.Body.String(),
	}
}

// inWorld runs a test in virtual time on a small deployment that does not listen on
// ports.
func inWorld(t *testing.T, name string, test func(t *testing.T, w *World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		deployment, err := vrdeploy.ByName(name, vrdeploy.Size{})
		require.NoError(t, err)
		test(t, newWorld(Options{Deployment: deployment}))
	})
}

// sleep advances virtual time by a duration.
func sleep(duration time.Duration) { _ = vrpause.For(context.Background(), duration) }

const (
	_fencedServer   = vrid.ServerID("lm-serve-1")
	_unfencedServer = vrid.ServerID("fit-assist-1")
)

func (w *World) sendOrder(server vrid.ServerID, order vrengine.Order) recordedResponse {
	data, err := json.Marshal(order)
	if err != nil {
		panic(err)
	}
	return serve(w.engines[server], http.MethodPost, vrengine.PathOrders, string(data))
}

func (w *World) model(index int) vrid.ModelID { return w.deployment.Fleet.Models[index].ID }

// loadOrder returns a load order with an id that is unique within the test.
func (w *World) loadOrder(index int, epoch vrid.Epoch, sequence uint64) vrengine.Order {
	model := w.model(index)
	return vrengine.Order{
		OrderID: vrid.OrderID(string(model) + "#" + time.Now().String()), Epoch: epoch, Sequence: sequence,
		Kind: vrengine.OrderLoad, Model: model, Source: sourceRemote,
	}
}

func (w *World) countEntries(kind EntryKind) int {
	count := 0
	for _, entry := range w.Journal.After(0) {
		if entry.Kind == kind {
			count++
		}
	}
	return count
}

// TestConditionalUpdates guards against a store that accepts a write conditional on a
// stale version, or reuses a version after a deletion.
func TestConditionalUpdates(t *testing.T) {
	inWorld(t, vrdeploy.Shuyuan, func(t *testing.T, w *World) {
		put := func(value, ifVersion string) recordedResponse {
			return serve(w.Platform, http.MethodPut, "/v1/objects/leases/a", value, vrplatform.HeaderIfVersion, ifVersion)
		}
		require.Equal(t, recordedResponse{status: 200, version: "1"}, put("one", "0"))
		require.Equal(t, recordedResponse{status: 412, version: "1"}, put("again", "0"))
		require.Equal(t, recordedResponse{status: 200, version: "2"}, put("two", "1"))
		require.Equal(t, recordedResponse{status: 412, version: "2"}, put("late", "1"))
		require.Equal(t, recordedResponse{status: 200, version: "2", body: "two"}, serve(w.Platform, http.MethodGet, "/v1/objects/leases/a", ""))
		gone := serve(w.Platform, http.MethodDelete, "/v1/objects/leases/a", "", vrplatform.HeaderIfVersion, "2")
		require.Equal(t, recordedResponse{status: 200, version: "3"}, gone)
		require.Equal(t, 404, serve(w.Platform, http.MethodGet, "/v1/objects/leases/a", "").status)
		require.Equal(t, recordedResponse{status: 200, version: "4"}, put("new", "0"))
		require.Equal(t, recordedResponse{status: 200, version: "5"}, serve(w.Platform, http.MethodPut, "/v1/objects/leases/a", "any"))
	})
}

// TestLostAnswer guards against a fault that loses the write together with its response.
func TestLostAnswer(t *testing.T) {
	inWorld(t, vrdeploy.Shuyuan, func(t *testing.T, w *World) {
		require.NoError(t, w.Apply(Fault{Kind: FaultPlatformLoseAnswers, Prefix: "ledgers/"}))
		require.Equal(t, 200, serve(w.Platform, http.MethodPut, "/v1/objects/leases/a", "x").status)
		require.True(t, serve(w.Platform, http.MethodPut, "/v1/objects/ledgers/a/0", "chunk").broken)
		require.Equal(t, "chunk", serve(w.Platform, http.MethodGet, "/v1/objects/ledgers/a/0", "").body)
		require.Equal(t, 200, serve(w.Platform, http.MethodPut, "/v1/objects/ledgers/a/0", "next").status)
	})
}

// TestWatch guards against a watch that misses a change, wakes for another prefix or
// never ends.
func TestWatch(t *testing.T) {
	inWorld(t, vrdeploy.Shuyuan, func(t *testing.T, w *World) {
		watch := func() (time.Duration, vrplatform.Watch) {
			start := time.Now()
			response := serve(w.Platform, http.MethodGet, "/v1/watch?prefix=config/&after=0&waitMs=5000", "")
			var found vrplatform.Watch
			require.NoError(t, json.Unmarshal([]byte(response.body), &found))
			return time.Since(start), found
		}
		waited, found := watch()
		require.Equal(t, 5*time.Second+_platformDelay, waited)
		require.Empty(t, found.Items)
		go func() {
			sleep(time.Second)
			w.Platform.Put("leases/a", nil)
			sleep(time.Second)
			w.Platform.Put("config/head", []byte("v1"))
		}()
		waited, found = watch()
		require.Equal(t, 2*time.Second, waited)
		require.Equal(t, vrplatform.Watch{Revision: 2, Items: []vrplatform.Item{{Key: "config/head", Version: 2, Value: []byte("v1")}}}, found)
	})
}

// TestPlatformFaults guards against an outage, cut or rate limit that lets calls
// through, and against one that does not end.
func TestPlatformFaults(t *testing.T) {
	inWorld(t, vrdeploy.Shuyuan, func(t *testing.T, w *World) {
		get := func(zone vrid.ZoneID) recordedResponse {
			return serve(w.Platform.ForZone(zone), http.MethodGet, "/v1/list?prefix=config/", "")
		}
		require.NoError(t, w.Apply(Fault{Kind: FaultPlatformOutage, For: vrid.Duration(time.Second)}))
		require.Equal(t, 503, get("tw-north-a").status)
		require.NoError(t, w.Apply(Fault{Kind: FaultZoneCut, Zone: "tw-north-a"}))
		sleep(time.Second)
		require.True(t, get("tw-north-a").broken)
		require.Equal(t, 200, get("tw-south-a").status)
		require.NoError(t, w.Apply(Fault{Kind: FaultPlatformRateLimit, Rate: 1}))
		sleep(time.Second)
		require.Equal(t, 200, get("tw-south-a").status)
		require.Equal(t, 429, get("tw-south-a").status)
		require.NoError(t, w.Apply(Fault{Kind: FaultClear}))
		sleep(time.Second)
		require.Equal(t, 200, get("tw-north-a").status)
		require.Equal(t, uint64(6), w.Platform.Counters()[CallList])
		require.Equal(t, uint64(3), w.Platform.Counters()[CallRefused])
	})
}

// TestFencing guards against an engine that is configured to honor fencing but executes
// a stale order, and against one that is configured to ignore fencing but refuses it.
func TestFencing(t *testing.T) {
	cases := []struct {
		name, deployment string
		server           vrid.ServerID
		status           int
		models           int
	}{
		{"honored", vrdeploy.Shuyuan, _fencedServer, http.StatusConflict, 0},
		{"ignored", vrdeploy.Hayabusa, _unfencedServer, http.StatusOK, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, c.deployment, func(t *testing.T, w *World) {
				fence := vrengine.Order{OrderID: "fence", Epoch: 2, Kind: vrengine.OrderFence}
				require.Equal(t, 200, w.sendOrder(c.server, fence).status)
				require.Equal(t, c.status, w.sendOrder(c.server, w.loadOrder(0, 1, 9)).status)
				require.Len(t, w.engines[c.server].replicas, c.models)
				require.Equal(t, 200, w.sendOrder(c.server, w.loadOrder(1, 2, 1)).status)
				sleep(_reportLag)
				require.Equal(t, vrid.Epoch(2), w.engines[c.server].report().HighestEpoch)
			})
		})
	}
}

// TestHeldOrder guards against a held order that is delivered early, twice, or after a
// restart of the engine ended its connection.
func TestHeldOrder(t *testing.T) {
	inWorld(t, vrdeploy.Hayabusa, func(t *testing.T, w *World) {
		hold := Fault{Kind: FaultHoldOrders, Server: _unfencedServer, Order: vrengine.OrderLoad}
		release := Fault{Kind: FaultReleaseOrders, Server: _unfencedServer}
		require.NoError(t, w.Apply(hold))
		require.True(t, w.sendOrder(_unfencedServer, w.loadOrder(0, 1, 1)).broken)
		require.Empty(t, w.engines[_unfencedServer].replicas)
		require.NoError(t, w.Apply(release))
		require.NoError(t, w.Apply(release))
		require.Equal(t, 1, w.countEntries(JournalLoaded))
		require.NoError(t, w.Apply(hold))
		require.True(t, w.sendOrder(_unfencedServer, w.loadOrder(1, 1, 2)).broken)
		require.NoError(t, w.Apply(Fault{Kind: FaultEngineRestart, Server: _unfencedServer}))
		require.NoError(t, w.Apply(release))
		require.Equal(t, 1, w.countEntries(JournalLoaded))
		require.Equal(t, vrid.BootID("fit-assist-1/2"), w.engines[_unfencedServer].report().Boot)
	})
}

// TestMemoryRefusal guards against an engine that uses more than its memory, or that
// changes state when a loaded model is loaded again.
func TestMemoryRefusal(t *testing.T) {
	inWorld(t, vrdeploy.Shuyuan, func(t *testing.T, w *World) {
		loaded := 0
		for i := range w.deployment.Fleet.Models {
			if w.sendOrder(_fencedServer, w.loadOrder(i, 1, uint64(i))).status != http.StatusOK {
				break
			}
			loaded++
		}
		used := w.engines[_fencedServer].memoryUsed
		require.Equal(t, 1, w.countEntries(JournalOvercommit))
		require.LessOrEqual(t, used, w.engines[_fencedServer].Pool.Memory)
		again := w.sendOrder(_fencedServer, w.loadOrder(0, 1, 99))
		require.JSONEq(t, `{"state":"loaded"}`, again.body)
		require.Equal(t, used, w.engines[_fencedServer].memoryUsed)
		require.Equal(t, 1, w.countEntries(JournalLoadRepeated))
		require.Equal(t, 507, w.sendOrder(_fencedServer, w.loadOrder(loaded, 1, 100)).status)
		unload := w.loadOrder(0, 1, 101)
		unload.Kind = vrengine.OrderUnload
		require.Equal(t, 200, w.sendOrder(_fencedServer, unload).status)
		require.Equal(t, used-w.deployment.Fleet.Models[0].Memory, w.engines[_fencedServer].memoryUsed)
	})
}

// TestRestartLosesLoad guards against a load that survives a restart of the engine.
func TestRestartLosesLoad(t *testing.T) {
	inWorld(t, vrdeploy.Shuyuan, func(t *testing.T, w *World) {
		restarted := make(chan struct{})
		go func() {
			defer close(restarted)
			sleep(50 * time.Millisecond)
			w.engines[_fencedServer].restart()
		}()
		require.Equal(t, 503, w.sendOrder(_fencedServer, w.loadOrder(0, 1, 1)).status)
		// The order is refused once the process has stopped, before the next one starts.
		<-restarted
		require.Equal(t, 1, w.countEntries(JournalLoadLost))
		require.Equal(t, 0, w.countEntries(JournalLoaded))
		require.Zero(t, w.engines[_fencedServer].memoryUsed)
	})
}
