package vrstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// TestWeightSharing guards against a weight store that is faster than its slots allow,
// or that does not speed up again when loads complete.
func TestWeightSharing(t *testing.T) {
	cases := []struct {
		name  string
		loads int
		slow  float64
		want  time.Duration
	}{
		{"within the slots", 4, 1, time.Second},
		{"twice the slots", 8, 1, 2 * time.Second},
		{"slow store", 4, 3, 3 * time.Second},
		{"slow store, 1.5 times the slots", 6, 2, 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newWeights(4)
				store.SetFactor(c.slow)
				start := time.Now()
				done := make(chan time.Duration, c.loads)
				for range c.loads {
					go func() {
						_ = store.Load(context.Background(), time.Second)
						done <- time.Since(start)
					}()
				}
				for range c.loads {
					require.InDelta(t, c.want.Seconds(), (<-done).Seconds(), 1e-3)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		store := newWeights(1)
		start := time.Now()
		long := make(chan time.Duration)
		go func() {
			_ = store.Load(context.Background(), 2*time.Second)
			long <- time.Since(start)
		}()
		synctest.Wait()
		require.NoError(t, store.Load(context.Background(), time.Second))
		require.InDelta(t, 2, time.Since(start).Seconds(), 1e-3)
		require.InDelta(t, 3, (<-long).Seconds(), 1e-3)
	})
}

func (w *World) generate(server vrid.ServerID, request vrengine.GenerateRequest) recordedResponse {
	data, err := json.Marshal(request)
	if err != nil {
		panic(err)
	}
	return serve(w.engines[server], http.MethodPost, vrengine.PathGenerate, string(data))
}

func decodeLines(t *testing.T, body string) []vrengine.Token {
	t.Helper()
	var tokens []vrengine.Token
	for _, line := range strings.Split(strings.TrimSpace(body), "\n") {
		var token vrengine.Token
		require.NoError(t, json.Unmarshal([]byte(line), &token))
		tokens = append(tokens, token)
	}
	return tokens
}

// joinTokens joins the tokens of a request as a client has to, ignoring lines of other
// requests and duplicate lines.
func joinTokens(tokens []vrengine.Token, request vrid.RequestID, offset int) string {
	var text strings.Builder
	for _, line := range tokens {
		if line.RequestID == request && !line.Done && line.Offset == offset {
			text.WriteString(line.Token)
			offset++
		}
	}
	return text.String()
}

// TestGenerate guards against an answer that depends on more than model, adapter and
// prompt, and against a resumed answer that repeats or skips a token.
func TestGenerate(t *testing.T) {
	inWorld(t, vrdeploy.Shuyuan, func(t *testing.T, w *World) {
		request := vrengine.GenerateRequest{RequestID: "r1", Model: w.model(0), Prompt: "user: [[chapter 3]]\n", MaxTokens: 20}
		refused := w.generate(_fencedServer, request)
		require.Equal(t, http.StatusConflict, refused.status)
		require.Equal(t, vrengine.ErrorNotLoaded, decodeLines(t, refused.body)[0].Error)
		require.Equal(t, 200, w.sendOrder(_fencedServer, w.loadOrder(0, 1, 1)).status)
		complete := Answer{Model: request.Model, Prompt: "[[chapter 3]]"}.Text(20)
		require.Equal(t, complete, joinTokens(decodeLines(t, w.generate(_fencedServer, request).body), "r1", 0))
		request.ResumeFrom = 5
		tail := joinTokens(decodeLines(t, w.generate(_fencedServer, request).body), "r1", 5)
		require.True(t, strings.HasSuffix(complete, tail))
		require.Equal(t, 5, strings.Count(strings.TrimSuffix(complete, tail), " "))
		request.ResumeFrom = 0
		require.NoError(t, w.Apply(Fault{Kind: FaultEngineCross, Server: _fencedServer}))
		crossed := decodeLines(t, w.generate(_fencedServer, request).body)
		require.Equal(t, complete, joinTokens(crossed, "r1", 0))
		require.Contains(t, fmt.Sprint(crossed), "crossed")
	})
}

// TestAdapterNeedsBase guards against an adapter that loads or is served without its
// base model.
func TestAdapterNeedsBase(t *testing.T) {
	inWorld(t, vrdeploy.Shuyuan, func(t *testing.T, w *World) {
		adapter := w.deployment.Fleet.Adapters[0]
		order := vrengine.Order{OrderID: "a", Kind: vrengine.OrderLoadAdapter, Model: adapter.Base, Adapter: adapter.ID}
		require.Equal(t, 400, w.sendOrder(_fencedServer, order).status)
		base := w.loadOrder(0, 0, 0)
		base.Model = adapter.Base
		require.Equal(t, 200, w.sendOrder(_fencedServer, base).status)
		request := vrengine.GenerateRequest{RequestID: "r", Model: adapter.Base, Adapter: adapter.ID, Prompt: "p", MaxTokens: 3}
		require.Equal(t, 409, w.generate(_fencedServer, request).status)
		require.Equal(t, 200, w.sendOrder(_fencedServer, order).status)
		require.Equal(t, Answer{Model: adapter.Base, Adapter: adapter.ID, Prompt: "p"}.Text(3), joinTokens(decodeLines(t, w.generate(_fencedServer, request).body), "r", 0))
	})
}

// TestPriorityQueue guards against granting a slot to a deferred request while an urgent
// one waits.
func TestPriorityQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := &slotQueue{free: 1}
		_, ok := queue.acquire(context.Background(), 0)
		require.True(t, ok)
		order := make(chan int, 3)
		for _, priority := range []int{2, 1, 0} {
			go func() {
				queue.acquire(context.Background(), priority)
				order <- priority
				queue.release()
			}()
			synctest.Wait()
		}
		queue.release()
		require.Equal(t, []int{0, 1, 2}, []int{<-order, <-order, <-order})
		synctest.Wait()
		require.Equal(t, 1, queue.free)
	})
}

// TestUnloadBreaksStream guards against a stream that ends as if it were complete when
// its model is unloaded.
func TestUnloadBreaksStream(t *testing.T) {
	inWorld(t, vrdeploy.Shuyuan, func(t *testing.T, w *World) {
		require.Equal(t, 200, w.sendOrder(_fencedServer, w.loadOrder(0, 1, 1)).status)
		go func() {
			sleep(60 * time.Millisecond)
			unload := w.loadOrder(0, 1, 2)
			unload.Kind = vrengine.OrderUnload
			w.sendOrder(_fencedServer, unload)
		}()
		response := w.generate(_fencedServer, vrengine.GenerateRequest{RequestID: "r", Model: w.model(0), Prompt: "p"})
		require.True(t, response.broken)
		require.NotContains(t, response.body, `"done":true`)
	})
}

// TestReservations guards against an application server that hides a second run or
// loses the outcome of a call whose connection it closed.
func TestReservations(t *testing.T) {
	inWorld(t, vrdeploy.Shuyuan, func(t *testing.T, w *World) {
		reserve := func(server vrid.ServerID) recordedResponse {
			return serve(w.apps[server], http.MethodPost, vrdeploy.PathReservations, `{"copy":7}`, vrwire.HeaderIdempotencyKey, "k1")
		}
		outcome := func() recordedResponse { return serve(w.apps["circle-app-2"], http.MethodGet, "/outcomes/k1", "") }
		require.NoError(t, w.Apply(Fault{Kind: FaultAppRefuse, Server: "circle-app-1"}))
		require.Equal(t, 503, reserve("circle-app-1").status)
		require.Equal(t, 404, outcome().status)
		require.NoError(t, w.Apply(Fault{Kind: FaultAppRunThenClose, Server: "circle-app-1"}))
		require.True(t, reserve("circle-app-1").broken)
		want, err := json.Marshal(Confirmation{Key: "k1", Digest: DigestOf([]byte(`{"copy":7}`)), Number: 1})
		require.NoError(t, err)
		require.JSONEq(t, string(want), outcome().body)
		require.Equal(t, 200, reserve("circle-app-3").status)
		require.Equal(t, 2, w.countEntries(JournalRun))
		require.JSONEq(t, string(want), outcome().body)
	})
}

// TestVMListLags guards against a VM list that shows a change without the delay.
func TestVMListLags(t *testing.T) {
	inWorld(t, vrdeploy.Shuyuan, func(t *testing.T, w *World) {
		w.Platform.SetVMs(w.deployment.VMs(nil))
		state := func() string { return vmState(t, w, "lm-serve-1") }
		require.Equal(t, vrplatform.VMLive, state())
		require.NoError(t, w.Apply(Fault{Kind: FaultVMLeaving, VM: vrplatform.VM{ID: "lm-serve-1"}}))
		require.Equal(t, vrplatform.VMLive, state())
		sleep(_vmListLag)
		require.Equal(t, vrplatform.VMLeaving, state())
		require.NoError(t, w.Apply(Fault{Kind: FaultVMRemove, VM: vrplatform.VM{ID: "lm-serve-1"}}))
		sleep(_vmListLag)
		require.Empty(t, state())
	})
}

func vmState(t *testing.T, w *World, id vrid.VMID) string {
	t.Helper()
	var list vrplatform.VMList
	require.NoError(t, json.Unmarshal([]byte(serve(w.Platform, http.MethodGet, vrplatform.PathVMs, "").body), &list))
	for _, vm := range list.VMs {
		if vm.ID == id {
			return vm.State
		}
	}
	return ""
}

// TestOverNetwork guards against stand-ins whose ports, configuration object or control
// port do not work outside virtual time.
func TestOverNetwork(t *testing.T) {
	deployment, err := vrdeploy.ByName(vrdeploy.Hayabusa, vrdeploy.Size{})
	require.NoError(t, err)
	world, err := Start(Options{Deployment: deployment, Speed: 10})
	require.NoError(t, err)
	defer world.Close()
	get := func(url string) int {
		response, err := http.Get(url)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	platform := world.Addresses.Platforms["fukuoka-a"]
	require.Equal(t, 200, get(platform+"/v1/objects/config/history/000000000001"))
	require.Equal(t, 200, get(platform+"/v1/objects/config/head"))
	require.Equal(t, 200, get(world.Addresses.Control+PathJournal+"?after=1"))
	require.Equal(t, 200, get("http://"+world.Addresses.Servers["fit-assist-1"]+"/v1/report"))
	response, err := http.Post(world.Addresses.Control+PathFault, "application/json", strings.NewReader(`{"kind":"platformOutage"}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, 503, get(platform+"/v1/vms"))
}
