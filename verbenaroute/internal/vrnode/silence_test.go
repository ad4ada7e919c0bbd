package vrnode_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/platform/vrstandin"
)

// A sound server may be silent in the middle of a stream, for example while a preempted request is
// read anew. Its stream must not be cut if no other server then takes the request: the answer of the
// silent one is the only one that the client can get (LOST on hfw-fit-grown).
func TestSilentStreamIsKeptWhenNoOtherServerTakesIt(t *testing.T) {
	const (
		pauseTarget = 500 * time.Millisecond
		// A stream counts as stalled after four pause targets. Its client leaves after eight.
		silence     = 3 * time.Second
		lastMoment  = 3800 * time.Millisecond
		first       = "id: 1\ndata: a\n\n"
		second      = "id: 2\ndata: b\n\n"
		maxAttempts = 20
	)
	for _, test := range []struct {
		name       string
		retryRatio float64
		silence    time.Duration
	}{
		{"the other server is full", 1, silence},
		{"the other server is full, until the client nearly leaves", 1, lastMoment},
		{"the retry budget is spent", 0.001, silence},
	} {
		t.Run(test.name, func(t *testing.T) {
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if vrstandin.IsResumed(r) {
					vrstandin.RefuseNotRun(w, r)
					return
				}
				vrstandin.SetAnswerHeaders(w.Header(), r)
				_, _ = io.WriteString(w, first)
				_ = http.NewResponseController(w).Flush()
				select {
				case <-time.After(test.silence):
				case <-r.Context().Done():
				}
				_, _ = io.WriteString(w, second)
			}))
			t.Cleanup(backend.Close)
			callers := startNodeWithTwoServers(t, backend.URL, vrstandin.Route{
				Name: "stream", Type: "streaming", Resumable: true, PauseTarget: pauseTarget, Timeout: time.Minute,
			}, test.retryRatio)

			var response *http.Response
			// On a busy machine a request may be refused before its stream has begun.
			for attempt := 0; response == nil; attempt++ {
				request, err := http.NewRequest(http.MethodPost, "http://"+callers+"/stream/x", strings.NewReader("body"))
				require.NoError(t, err)
				request.Host = "h.example"
				vrstandin.SetClientHeaders(request.Header, fmt.Sprint("r", attempt), time.Minute)
				response, err = http.DefaultClient.Do(request)
				require.NoError(t, err)
				if response.StatusCode != http.StatusOK && attempt < maxAttempts {
					require.NoError(t, response.Body.Close())
					response = nil
				}
			}
			body, err := io.ReadAll(response.Body)
			require.NoError(t, response.Body.Close())
			require.NoError(t, err, "received %q", body)
			require.Equal(t, first+second, string(body))
		})
	}
}

// A sound server that is slow to its first byte must not be given up if the retry budget is spent or no
// other server then takes the request: its answer is the only one that the client can get. Clients got
// 502 for requests that their servers were at work on.
func TestSlowServerIsKept(t *testing.T) {
	const (
		// The gateway gives a server up after 2.5 latency targets of 200 ms.
		silence = 1500 * time.Millisecond
		event   = "id: 1\ndata: a\n\n"
	)
	for _, test := range []struct {
		name, kind string
		retryRatio float64
	}{
		{"stream, budget spent", "streaming", 0.001},
		{"idempotent, budget spent", "idempotent", 0.001},
		{"stream, other full", "streaming", 1},
		{"idempotent, other full", "idempotent", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var arrivals atomic.Int64
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if arrivals.Add(1) > 1 {
					vrstandin.RefuseNotRun(w, r)
					return
				}
				select {
				case <-time.After(silence):
				case <-r.Context().Done():
				}
				vrstandin.SetAnswerHeaders(w.Header(), r)
				_, _ = io.WriteString(w, event)
			}))
			t.Cleanup(backend.Close)
			callers := startNodeWithTwoServers(t, backend.URL, vrstandin.Route{
				Name: "slow", Type: test.kind, Resumable: true, PauseTarget: 50 * time.Millisecond, Timeout: time.Minute,
			}, test.retryRatio)

			// A request that no server has seen may be refused on a busy machine.
			for attempt := 0; ; attempt++ {
				request, err := http.NewRequest(http.MethodPost, "http://"+callers+"/slow/x", strings.NewReader("body"))
				require.NoError(t, err)
				request.Host = "h.example"
				vrstandin.SetClientHeaders(request.Header, fmt.Sprint("r", attempt), time.Minute)
				response, err := http.DefaultClient.Do(request)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				if arrivals.Load() == 0 && attempt < 20 {
					continue
				}
				require.Equal(t, http.StatusOK, response.StatusCode, "%s", body)
				require.Equal(t, event, string(body))
				break
			}
		})
	}
}

// A stream whose server hangs for good must go on at another server before its client gives up, also if
// servers reserve no places: the client leaves after eight pause targets. Such streams were held until
// then since they are moved only to a reserved place.
func TestStreamOfHungServerIsRescuedWithoutReservations(t *testing.T) {
	const (
		pauseTarget   = 500 * time.Millisecond
		patience      = 8 * pauseTarget
		first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		vrstandin.SetAnswerHeaders(w.Header(), r)
		if vrstandin.IsResumed(r) {
			_, _ = io.WriteString(w, second)
			return
		}
		_, _ = io.WriteString(w, first)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(backend.Close)
	callers := startNodeWithTwoServers(t, backend.URL, vrstandin.Route{
		Name: "stream", Type: "streaming", Resumable: true, PauseTarget: pauseTarget, Timeout: time.Minute,
	}, 1)

	for attempt := 0; ; attempt++ {
		request, err := http.NewRequest(http.MethodPost, "http://"+callers+"/stream/x", strings.NewReader("body"))
		require.NoError(t, err)
		request.Host = "h.example"
		vrstandin.SetClientHeaders(request.Header, fmt.Sprint("r", attempt), time.Minute)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		if response.StatusCode != http.StatusOK && attempt < 20 {
			require.NoError(t, response.Body.Close())
			continue
		}
		leave := time.AfterFunc(patience, func() { _ = response.Body.Close() })
		body, err := io.ReadAll(response.Body)
		leave.Stop()
		require.NoError(t, err, "received %q", body)
		require.Equal(t, first+second, string(body))
		require.NoError(t, response.Body.Close())
		return
	}
}
