package vrnode_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"verbenaroute.example/platform/vrstandin"
	"verbenaroute.example/verbenacore/vrsettings"

	"verbenaroute.example/verbenaroute/internal/vrnode"
)

// startStoppableNode runs a gateway and returns once it is ready. stop requests its shutdown, whose result
// comes from stopped.
func startStoppableNode(t *testing.T, settings *vrsettings.Gateway) (stop context.CancelFunc, stopped <-chan error) {
	const readyTimeout = 5 * time.Second
	node := vrnode.New(settings, zap.NewNop(), func() map[string]uint64 { return nil })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + settings.Readiness + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, readyTimeout, 10*time.Millisecond)
	return stop, ended
}

// Requests that were accepted shortly before a planned stop, while the balancer still sends new
// connections, or on connections that were open before, must all be answered in full. Operators of
// similar systems saw requests that had just been accepted cut off without an answer.
func TestStopUnderLoadAnswersEveryAcceptedRequest(t *testing.T) {
	const (
		clients     = 24
		serviceTime = 300 * time.Millisecond
		// The balancer sends new connections until it has seen two failed checks.
		balancerLag = 2 * time.Second
		grace       = 12 * time.Second
	)
	answer := strings.Repeat("a", 20_000)
	standin := &vrstandin.Server{ResponseBody: answer}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-time.After(serviceTime)
		standin.ServeHTTP(w, r)
	}))
	t.Cleanup(backend.Close)
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent"})
	store.Register("i-1", strings.TrimPrefix(backend.URL, "http://"), "ready", 1)
	settings := newSettings(t, storeServer.URL, grace)
	stop, stopped := startStoppableNode(t, settings)
	var mu sync.Mutex
	var faults []string
	answered := 0
	ended := make(chan struct{})
	call := func(client *http.Client, id string) {
		request, err := http.NewRequest(http.MethodPost, "http://"+settings.Callers+"/once/x", bytes.NewReader([]byte("body")))
		if err != nil {
			panic(err)
		}
		request.Host = "h.example"
		vrstandin.SetClientHeaders(request.Header, id, 8*time.Second)
		response, err := client.Do(request)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			faults = append(faults, id+": "+err.Error())
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || string(body) != answer {
			faults = append(faults, fmt.Sprint(id, ": status ", response.StatusCode, ", ", len(body), " bytes, ", err))
			return
		}
		answered++
	}
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			// Every other client opens a connection for each request, as the balancer's do.
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				default:
					call(client, fmt.Sprintf("r%d-%d", i, n))
				}
			}
		})
	}
	time.AfterFunc(time.Second, stop)
	time.AfterFunc(time.Second+balancerLag, func() { close(ended) })
	running.Wait()
	require.NoError(t, <-stopped)
	require.Empty(t, faults[:min(len(faults), 5)], "%d requests in all", len(faults))
	require.Greater(t, answered, clients)
}

// Guards against a request that comes late in the grace of a planned stop and is passed on to a server
// although it can't be answered in time: it would be cut after the server has begun it.
func TestLateRequestInGraceIsNotBegun(t *testing.T) {
	const (
		grace = 4 * time.Second
		// The balancer may still send connections then. The request may take three seconds.
		sentAfter = 2 * time.Second
	)
	var begun atomic.Bool
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun.Store(true)
		select {
		case <-r.Context().Done():
		case <-time.After(grace):
		}
	}))
	t.Cleanup(backend.Close)
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent"})
	store.Register("i-1", strings.TrimPrefix(backend.URL, "http://"), "ready", 1)
	settings := newSettings(t, storeServer.URL, grace)
	stop, stopped := startStoppableNode(t, settings)
	stop()
	connection, err := net.Dial("tcp", settings.Callers)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	time.Sleep(sentAfter)
	request, err := http.NewRequest(http.MethodPost, "http://h.example/once/x", strings.NewReader("body"))
	require.NoError(t, err)
	vrstandin.SetClientHeaders(request.Header, "late", 10*time.Second)
	require.NoError(t, request.Write(connection))
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.False(t, begun.Load(), "the request was passed on")
	require.NoError(t, <-stopped)
}
