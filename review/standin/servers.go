package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// handlerFunc answers one request of a client at a server.
type handlerFunc func(s *server, w http.ResponseWriter, r *http.Request, body []byte)

// server is a stand-in for one server of a service. It rejects requests for another instance and
// answers its health check.
type server struct {
	id, service, address string
	handle               handlerFunc
	slots                int
	models               []string

	mu       sync.Mutex
	sequence int
	ran      map[string]int
	state    string
}

// startServer starts a server and registers it in the store, as a server with heartbeats does.
func startServer(s *store, id, service, zone string, slots int, models []string, handle handlerFunc) *server {
	l := listen()
	v := &server{
		id: id, service: service, address: l.Addr().String(), handle: handle, slots: slots, models: models,
		ran: make(map[string]int), state: "ready",
	}
	go func() { _ = http.Serve(l, v) }()
	born := time.Now().UnixMilli()
	register := func() {
		v.mu.Lock()
		v.sequence++
		loaded := []any{}
		for _, m := range v.models {
			loaded = append(loaded, map[string]any{"name": m, "version": 1, "adapters": []string{}})
		}
		spec := map[string]any{
			"service": service, "address": v.address, "zone": zone, "version": "v1", "slots": slots, "state": v.state,
			"cold_remaining_ms": 0, "sequence": v.sequence, "born": born,
		}
		if len(models) > 0 {
			spec["stage"], spec["models"] = "prefill_decode", loaded
		}
		v.mu.Unlock()
		s.put("servers", id, spec)
	}
	register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			register()
		}
	}()
	return v
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != v.id {
		w.Header().Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", v.id)
		return
	case "/report":
		v.report(w)
		return
	case "/order", "/hold-take":
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	body := make([]byte, 0, max(r.ContentLength, 0))
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buffer)
		body = append(body, buffer[:n]...)
		if err != nil {
			break
		}
	}
	v.handle(v, w, r, body)
}

func (v *server) report(w http.ResponseWriter) {
	loaded := []any{}
	for _, m := range v.models {
		loaded = append(loaded, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	reply(w, http.StatusOK, map[string]any{
		"stage": "prefill_decode", "models": loaded, "busy": false, "sequence": 0, "waiting": 0, "in_flight": 0,
		"kv_used": 0, "kv_total": 154135, "handles": 0,
	})
}

// run records that the server has begun to work on a request.
func (v *server) run(r *http.Request) string {
	id := r.Header.Get("Request-Id")
	v.mu.Lock()
	v.ran[id]++
	v.mu.Unlock()
	record("server %s runs %s", v.id, id)
	return id
}

// hasRun reports how often a server has run a request.
func (v *server) hasRun(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ran[id]
}

// answer writes a whole answer with the headers that a server sets.
func (v *server) answer(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%s.%d", v.id, id, status))
	w.Header().Set("Server-Load", fmt.Sprintf("1,0,%d", v.slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// dialer is used by clients.
var dialer = net.Dialer{Timeout: time.Second}
