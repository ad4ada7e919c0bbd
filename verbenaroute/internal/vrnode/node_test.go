package vrnode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrsettings"

	"verbenaroute.example/verbenaroute/internal/vrnode"
)

// standIn is a small store of the platform: objects by kind and name, lists, and watches
// that end when something changed or after their wait.
type standIn struct {
	mu       sync.Mutex
	revision int
	objects  map[string]map[string]any
	changes  map[string]int
	writes   []string
}

func (s *standIn) put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, spec)
}

func (s *standIn) set(kind, name string, spec any) map[string]any {
	s.revision++
	object := map[string]any{"metadata": map[string]any{"name": name, "revision": s.revision}, "spec": spec}
	s.objects[kind+"/"+name] = object
	s.changes[kind] = s.revision
	return object
}

func (s *standIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if watch := r.URL.Query().Get("watch"); watch != "" {
		s.watch(w, r, kind, watch)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && name == "":
		_ = json.NewEncoder(w).Encode(map[string]any{"items": s.list(kind), "as_of": s.revision})
	case r.Method == http.MethodGet:
		object, ok := s.objects[kind+"/"+name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(object)
	default:
		s.write(w, r, kind)
	}
}

func (s *standIn) list(kind string) []any {
	items := []any{}
	for key, object := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			items = append(items, object)
		}
	}
	return items
}

func (s *standIn) write(w http.ResponseWriter, r *http.Request, kind string) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int    `json:"revision"`
		} `json:"metadata"`
		Spec any `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	held, exists := s.objects[kind+"/"+body.Metadata.Name]
	if r.Method == http.MethodPost && exists {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if exists && body.Metadata.Revision != 0 && held["metadata"].(map[string]any)["revision"] != body.Metadata.Revision {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.writes = append(s.writes, r.Method+" "+kind+"/"+body.Metadata.Name)
	_ = json.NewEncoder(w).Encode(s.set(kind, body.Metadata.Name, body.Spec))
}

func (s *standIn) watch(w http.ResponseWriter, r *http.Request, kind, watch string) {
	var after int
	_, _ = fmt.Sscan(watch, &after)
	deadline := time.After(200 * time.Millisecond)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		changed := s.changes[kind] > after
		if changed {
			var events []any
			for _, object := range s.list(kind) {
				events = append(events, map[string]any{"object": object, "deleted": false})
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": s.revision})
		}
		s.mu.Unlock()
		if changed {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-deadline:
			_, _ = fmt.Fprintf(w, `{"events":[],"as_of":%d}`, after)
			return
		}
	}
}

// freeAddress is an address that nobody listens on at this moment.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	return listener.Addr().String()
}

func route(name, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": 3000,
		"target_latency_ms": 200, "service": "app", "max_attempts": 2,
	}
}

// From a client's request through the store's configuration and list of servers to a
// server's bytes; then a new route comes into force, the server leaves, and the daemon
// stops in order.
func TestWholePath(t *testing.T) {
	var served sync.Map
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		served.Store(r.Header.Get("Request-Id"), r.Method+" "+r.RequestURI+" "+string(body)+" "+r.Header.Get("Expected-Instance"))
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Signature", "sig")
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(backend.Close)
	store := &standIn{objects: make(map[string]map[string]any), changes: make(map[string]int)}
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	config := map[string]any{
		"version": 3, "routes": []any{route("once", "non_idempotent")}, "services": []any{map[string]any{"name": "app"}},
		"limits": map[string]any{"max_body_bytes": 1 << 20},
	}
	store.put("config", "main", config)
	entry := map[string]any{
		"service": "app", "address": strings.TrimPrefix(backend.URL, "http://"), "zone": "z", "slots": 4, "state": "ready", "sequence": 1,
	}
	store.put("servers", "i-1", entry)
	store.put("servers", "i-bad", "unreadable")

	settings := (&vrsettings.Gateway{
		Daemon: "edge-1", Zone: "z", Regions: map[vrid.ZoneID]vrid.RegionID{"z": "r"}, Callers: freeAddress(t),
		Readiness: freeAddress(t), Peers: freeAddress(t), Metrics: freeAddress(t),
		Store: strings.TrimPrefix(storeServer.URL, "http://"), Bounds: vrsettings.GatewayBounds{Grace: vrid.Duration(4 * time.Second)},
	}).WithDefaults()
	require.NoError(t, settings.Validate())
	node := vrnode.New(settings, zap.NewNop(), func() uint64 { return 0 })
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- node.Run(ctx) }()

	status := func(address, path string) int {
		answer, err := http.Get("http://" + address + path)
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		return answer.StatusCode
	}
	call := func(id, path string) (int, string) {
		request, err := http.NewRequest(http.MethodPost, "http://"+settings.Callers+path, strings.NewReader("body"))
		require.NoError(t, err)
		request.Host = "h.example"
		request.Header.Set("Request-Id", id)
		request.Header.Set("Deadline-Ms", "2000")
		answer, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		data, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		_ = answer.Body.Close()
		return answer.StatusCode, string(data)
	}
	const patience, step = 5 * time.Second, 10 * time.Millisecond
	require.Eventually(t, func() bool { return status(settings.Readiness, "/readyz") == http.StatusOK }, patience, step)

	code, body := call("r1", "/once/x?y=1")
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, "done", body)
	seen, _ := served.Load("r1")
	require.Equal(t, "POST /once/x?y=1 body i-1", seen)
	code, _ = call("r2", "/later/x")
	require.Equal(t, http.StatusNotFound, code)

	config["version"], config["routes"] = 9, []any{route("once", "non_idempotent"), route("later", "idempotent")}
	store.put("config", "main", config)
	require.Eventually(t, func() bool { code, _ := call("r3", "/later/x"); return code == http.StatusOK }, patience, step)

	entry["state"], entry["sequence"] = "draining", 2
	store.put("servers", "i-1", entry)
	require.Eventually(t, func() bool { code, _ := call("r4", "/once/x"); return code == http.StatusServiceUnavailable }, patience, step)
	require.Equal(t, http.StatusOK, status(settings.Metrics, "/metrics"))

	store.mu.Lock()
	require.Contains(t, store.writes, "POST daemons/edge-1")
	store.mu.Unlock()
	stop()
	require.Eventually(t, func() bool { return status(settings.Readiness, "/readyz") != http.StatusOK }, patience, step)
	require.NoError(t, <-stopped)
}
