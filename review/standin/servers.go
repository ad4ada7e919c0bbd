package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is the part that the stand-ins for all servers have in common: the entry in the store with its
// heartbeats, the health check, and the refusal of requests for another instance.
type server struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	handler                    http.Handler
	listener                   net.Listener
	// announced is the address in the entry, if it is another one than the server's own.
	announced string
	store     *store
	// models lists the loaded models of a language server; it is nil for others.
	models func() []any
	// available lists its copies of weights.
	available func() map[string]any

	mu    sync.Mutex
	beat  int
	ran   map[string]int
	state string
}

func newServer(id, service, zone string, slots int, handler http.Handler) *server {
	l := listen()
	return &server{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, handler: handler, listener: l,
		ran: make(map[string]int), state: "ready", born: time.Now().UnixMilli(),
	}
}

// start serves, and registers the server in the store every heartbeat.
func (v *server) start(s *store) {
	v.store = s
	go func() { _ = http.Serve(v.listener, v) }()
	v.register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			v.register()
		}
	}()
}

func (v *server) register() {
	spec := map[string]any{
		"service": v.service, "address": cmp.Or(v.announced, v.address), "zone": v.zone, "version": "v1", "slots": v.slots, "cold_remaining_ms": 0, "born": v.born,
	}
	if v.models != nil {
		spec["stage"], spec["models"] = "prefill_decode", v.models()
		spec["available"] = v.available()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.beat++
	spec["state"], spec["sequence"] = v.state, v.beat
	v.store.put("servers", v.id, spec)
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != v.id {
		w.Header().Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", v.id)
		return
	}
	v.handler.ServeHTTP(w, r)
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

// appServer is a stand-in for a server of the ordering application.
type appServer struct {
	*server
	handle func(v *appServer, w http.ResponseWriter, r *http.Request, body []byte)
}

func startApp(s *store, id, zone string, handle func(*appServer, http.ResponseWriter, *http.Request, []byte)) *appServer {
	v := &appServer{handle: handle}
	v.server = newServer(id, appService, zone, 6, v)
	v.server.start(s)
	return v
}

func (v *appServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	v.handle(v, w, r, body)
}
