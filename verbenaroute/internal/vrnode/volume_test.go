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

	"verbenaroute.example/verbenaroute/internal/vrlog"
	"verbenaroute.example/verbenaroute/internal/vrnode"
)

// countingOutput counts the bytes and lines that are logged.
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

// Guards against a log volume at ten times the usual traffic that exceeds the rate limit, so
// that lines are dropped, or delays calls. The usual traffic of a daemon in the deployments
// known today is 50 calls a second.
func TestLogVolumeAtTenTimesTheUsualTraffic(t *testing.T) {
	const (
		usualRate = 50
		duration  = time.Second
		// maxBytesPerSecond is the rate limit of vrlog.
		maxBytesPerSecond = 1 << 20
	)
	backend := httptest.NewServer(&vrstandin.Server{ResponseBody: "done"})
	t.Cleanup(backend.Close)
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, vrstandin.Route{Name: "read", Type: "idempotent"})
	store.Register("i-1", strings.TrimPrefix(backend.URL, "http://"), "ready", 1)
	settings := newSettings(t, storeServer.URL, 4*time.Second)
	out := &countingOutput{}
	bounded := vrlog.NewBoundedWriter(out)
	node := vrnode.New(settings, vrlog.NewBoundedLogger(bounded), bounded.Dropped)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx) }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	lastID := 0
	call := func(id int) (int, time.Duration) {
		request, err := http.NewRequest(http.MethodGet, "http://"+settings.Callers+"/read/x", nil)
		if err != nil {
			return 0, 0
		}
		request.Host = "h.example"
		vrstandin.SetClientHeaders(request.Header, fmt.Sprintf("r%d", id), 5*time.Second)
		startedAt := time.Now()
		response, err := client.Do(request)
		if err != nil {
			return 0, 0
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response.StatusCode, time.Since(startedAt)
	}
	require.Eventually(t, func() bool { lastID++; code, _ := call(lastID); return code == http.StatusOK }, 5*time.Second, 10*time.Millisecond)

	var mu sync.Mutex
	for _, rate := range []int{usualRate, 10 * usualRate} {
		bytesBefore, linesBefore := out.read()
		var calls sync.WaitGroup
		slowest, failed := time.Duration(0), 0
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		for range int(duration.Seconds() * float64(rate)) {
			<-ticker.C
			lastID++
			id := lastID
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
		bytesAfter, linesAfter := out.read()
		t.Logf("%d calls/s: %d B/s, %d lines/s, slowest call %s", rate, bytesAfter-bytesBefore, linesAfter-linesBefore, slowest)
		require.Zero(t, failed)
		require.Less(t, bytesAfter-bytesBefore, maxBytesPerSecond)
	}
	require.Empty(t, bounded.Dropped())
	stop()
	require.NoError(t, <-stopped)
}
