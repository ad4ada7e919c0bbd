package vrserve

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrclient"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"

	"verbenaroute.example/verbenaroute/internal/vrfront"
)

// generateWithoutDelay is the handler of an engine that generates without delay.
func generateWithoutDelay(w http.ResponseWriter, r *http.Request) {
	var request vrengine.GenerateRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return
	}
	const tokens = 8
	for offset := range tokens {
		fmt.Fprintf(w, `{"requestId":%q,"offset":%d,"token":"word "}`+"\n", request.RequestID, offset)
		w.(http.Flusher).Flush()
	}
	fmt.Fprintf(w, `{"requestId":%q,"offset":%d,"done":true,"finishReason":"stop"}`+"\n", request.RequestID, tokens)
}

// engineReducer stands in for the reducer and dispatches every request to one engine.
type engineReducer struct {
	front   *vrfront.Front
	address string
}

// Submit implements vrfront.Submitter.
func (r *engineReducer) Submit(event vrevent.Event) {
	switch e := event.(type) {
	case vrevent.RequestArrived:
		r.front.Handle(vrevent.Dispatch{
			Request: e.Request.ID, Attempt: 1, Address: r.address, Model: e.Request.Model, Deadline: e.Request.Deadline,
		})
	case vrevent.AttemptEnded:
		r.front.Handle(vrevent.Complete{Request: e.Request})
	}
}

// BenchmarkPath measures the time to the first byte of calls made directly to an engine
// and of the same calls made through the front, alternating between the two. Both run
// over loopback and without the reducer.
func BenchmarkPath(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(generateWithoutDelay))
	defer engine.Close()
	configs := &vrconfig.Store{}
	configs.Advance(vrconfig.NewIndex(&vrconfig.Fleet{
		Version: 1, Models: []vrconfig.Model{{ID: "m@1", Kind: "k"}}, Kinds: []vrconfig.Kind{{ID: "k"}},
		Ranks: []vrconfig.RankPolicy{{Rank: vrid.RankUrgent, Deadline: vrid.Duration(time.Minute)}},
	}))
	client := vrclient.NewEngine(vrclient.EngineOptions{})
	defer client.Close()
	reducer := &engineReducer{address: engine.Listener.Addr().String()}
	reducer.front = vrfront.New(vrfront.Options{
		Submitter: reducer, Configs: configs, Backends: &backends{engine: client}, Log: zap.NewNop(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = reducer.front.Serve(listener) }()
	direct := firstByteTimer(b, engine.URL+"/v1/generate", `{"requestId":"r","model":"m@1","prompt":"Hi","maxTokens":8}`)
	viaFront := firstByteTimer(b, "http://"+listener.Addr().String()+"/v1/chat/completions",
		`{"model":"m@1","stream":true,"messages":[{"role":"user","content":"Hi"}]}`)
	var times [2][]time.Duration
	for b.Loop() {
		times[0] = append(times[0], direct())
		times[1] = append(times[1], viaFront())
	}
	for i, name := range []string{"direct", "through"} {
		slices.Sort(times[i])
		b.ReportMetric(float64(times[i][len(times[i])/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(times[i][len(times[i])*99/100].Microseconds()), name+"-p99-us")
	}
	http.DefaultClient.CloseIdleConnections()
	require.NoError(b, reducer.front.Shutdown(context.Background()))
	reducer.front.Close()
}

// firstByteTimer returns a function that makes a call and measures the time to the first
// byte of the body.
func firstByteTimer(b *testing.B, url, body string) func() time.Duration {
	return func() time.Duration {
		start := time.Now()
		response, err := http.Post(url, "application/json", strings.NewReader(body))
		require.NoError(b, err)
		defer func() { _ = response.Body.Close() }()
		var first [1]byte
		_, err = io.ReadFull(response.Body, first[:])
		require.NoError(b, err)
		elapsed := time.Since(start)
		remainder, err := io.ReadAll(response.Body)
		require.NoError(b, err)
		require.True(b, bytes.Contains(remainder, []byte("[DONE]")) || bytes.Contains(remainder, []byte(`"done":true`)))
		return elapsed
	}
}
