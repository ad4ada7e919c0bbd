package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/platform/vrstandin"
)

// _commandEnv makes the test binary run the command, so that tests can send it signals.
const _commandEnv = "VERBENAROUTE_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(_commandEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// writeGatewaySettings writes the settings of a gateway that listens on free addresses. It returns
// the path of the file and the addresses for callers and readiness checks.
func writeGatewaySettings(t *testing.T, storeURL string) (path, callers, readiness string) {
	addresses := make([]string, 4)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addresses[i] = listener.Addr().String()
		defer func() { require.NoError(t, listener.Close()) }()
	}
	data, err := json.Marshal(map[string]any{
		"daemon": "edge-1", "zone": "z", "regions": map[string]string{"z": "r"}, "callers": addresses[0], "readiness": addresses[1],
		"peers": addresses[2], "metrics": addresses[3], "store": strings.TrimPrefix(storeURL, "http://"),
		"bounds": map[string]any{"grace": "20s"},
	})
	require.NoError(t, err)
	path = filepath.Join(t.TempDir(), "gateway.json")
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path, addresses[0], addresses[1]
}

// A settings change that is signaled while the gateway stops must not end the process: every open
// call would be cut without an answer.
func TestHangupDuringShutdownKeepsOpenCalls(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	standin := &vrstandin.Server{ResponseBody: "done"}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		select {
		case <-release:
		case <-r.Context().Done():
		}
		standin.ServeHTTP(w, r)
	}))
	t.Cleanup(backend.Close)
	store := vrstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Configure(3, vrstandin.Route{Name: "once", Type: "non_idempotent", Timeout: time.Minute})
	store.Register("i-1", strings.TrimPrefix(backend.URL, "http://"), "ready", 1)
	path, callers, readiness := writeGatewaySettings(t, storeServer.URL)

	executable, err := os.Executable()
	require.NoError(t, err)
	gateway := exec.Command(executable, "gateway", "--settings", path)
	gateway.Env = append(os.Environ(), _commandEnv+"=1")
	require.NoError(t, gateway.Start())
	t.Cleanup(func() { _ = gateway.Process.Kill() })
	ready := func() int {
		response, err := http.Get("http://" + readiness + "/readyz")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	const timeout, interval = 30 * time.Second, 10 * time.Millisecond
	require.Eventually(t, func() bool { return ready() == http.StatusOK }, timeout, interval)

	type answer struct {
		status int
		body   string
		err    error
	}
	answers := make(chan answer, 1)
	go func() {
		request, err := http.NewRequest(http.MethodPost, "http://"+callers+"/once/x", strings.NewReader("body"))
		if err != nil {
			panic(err)
		}
		request.Host = "h.example"
		vrstandin.SetClientHeaders(request.Header, "r1", time.Minute)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			answers <- answer{err: err}
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		answers <- answer{status: response.StatusCode, body: string(body), err: err}
	}()
	<-arrived
	require.NoError(t, gateway.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return ready() != http.StatusOK }, timeout, interval)
	// Several, because the gateway may not have handled the first signal everywhere yet.
	for range 20 {
		_ = gateway.Process.Signal(syscall.SIGHUP)
		<-time.After(interval)
	}
	close(release)
	received := <-answers
	require.NoError(t, received.err)
	require.Equal(t, http.StatusOK, received.status)
	require.Equal(t, "done", received.body)
	require.NoError(t, gateway.Wait())
}
