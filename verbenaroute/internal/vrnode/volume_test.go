package vrnode_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/platform/vrstandin"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"

	"verbenaroute.example/verbenaroute/internal/vrlog"
	"verbenaroute.example/verbenaroute/internal/vrnode"
)

// countingOutput counts what is logged.
type countingOutput struct {
	mu    sync.Mutex
	bytes int
	lines int
}

func (o *countingOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bytes += len(p)
	o.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

func (o *countingOutput) read() (int, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes, o.lines
}

// Guards against logs whose volume at ten times the usual traffic is dropped or holds calls
// up. 50 calls a second at a daemon are the usual traffic of the deployments known today.
func TestLogVolumeAtTenTimesTheUsualTraffic(t *testing.T) {
	const (
		usual  = 50
		length = time.Second
		// bound is the volume in bytes a second that vrlog admits.
		bound = 1 << 20
	)
	backend := httptest.NewServer(&vrstandin.Server{Answer: "done"})
	t.Cleanup(backend.Close)
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, vrstandin.Route{Name: "read", Type: "idempotent"})
	store.Register("i-1", strings.TrimPrefix(backend.URL, "http://"), "ready", 1)
	settings := (&vrsettings.Gateway{
		Daemon: "edge-1", Zone: "z", Regions: map[vrid.ZoneID]vrid.RegionID{"z": "r"}, Callers: freeAddress(t),
		Readiness: freeAddress(t), Peers: freeAddress(t), Metrics: freeAddress(t),
		Store: strings.TrimPrefix(storeServer.URL, "http://"), Bounds: vrsettings.GatewayBounds{Grace: vrid.Duration(4 * time.Second)},
	}).WithDefaults()
	out := &countingOutput{}
	bounded := vrlog.NewBoundedWriter(out)
	node := vrnode.New(settings, vrlog.NewBoundedLogger(bounded), bounded.Dropped)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx) }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	number := 0
	call := func(id int) (int, time.Duration) {
		request, err := http.NewRequest(http.MethodGet, "http://"+settings.Callers+"/read/x", nil)
		if err != nil {
			return 0, 0
		}
		request.Host = "h.example"
		vrstandin.Declare(request.Header, fmt.Sprintf("r%d", id), 5*time.Second)
		begun := time.Now()
		answer, err := client.Do(request)
		if err != nil {
			return 0, 0
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		return answer.StatusCode, time.Since(begun)
	}
	require.Eventually(t, func() bool { number++; code, _ := call(number); return code == http.StatusOK }, 5*time.Second, 10*time.Millisecond)

	var mu sync.Mutex
	for _, rate := range []int{usual, 10 * usual} {
		before, linesBefore := out.read()
		var calls sync.WaitGroup
		slowest, failed := time.Duration(0), 0
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		for range int(length.Seconds() * float64(rate)) {
			<-ticker.C
			number++
			id := number
			calls.Go(func() {
				code, took := call(id)
				mu.Lock()
				defer mu.Unlock()
				slowest = max(slowest, took)
				if code != http.StatusOK {
					failed++
				}
			})
		}
		ticker.Stop()
		calls.Wait()
		time.Sleep(100 * time.Millisecond)
		after, linesAfter := out.read()
		t.Logf("%d calls/s: %d B/s, %d lines/s, slowest call %s", rate, after-before, linesAfter-linesBefore, slowest)
		require.Zero(t, failed)
		require.Less(t, after-before, bound)
	}
	require.Empty(t, bounded.Dropped())
	stop()
	require.NoError(t, <-stopped)
}
