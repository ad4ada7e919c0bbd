package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in for a model server. Its connections are handled by serve, apart from calls of the system.
type server struct {
	id, service, zone string
	born              int64
	store             *store
	listener          net.Listener
	models            []map[string]any

	mu       sync.Mutex
	beats    uint64
	state    string
	conns    map[net.Conn]bool
	requests func(c net.Conn, r *http.Request) (keep bool)
	stop     chan struct{}
	stopped  bool
}

func newServer(s *store, id, service, zone string, models []string, requests func(c net.Conn, r *http.Request) bool) *server {
	v := newRegistration(s, id, service, zone, models...)
	v.requests = requests
	go v.accept()
	return v
}

// newRegistration returns a server that is registered and listens, but accepts no connection.
func newRegistration(s *store, id, service, zone string, models ...string) *server {
	listener, err := net.Listen("tcp", newMachine()+":0")
	check(err)
	v := &server{
		id: id, service: service, zone: zone, born: time.Now().UnixMilli(), store: s, listener: listener, state: "ready",
		conns: make(map[net.Conn]bool), stop: make(chan struct{}),
	}
	for _, name := range models {
		v.models = append(v.models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	v.beat()
	go v.beatOn()
	return v
}

func (v *server) beat() {
	v.mu.Lock()
	v.beats++
	spec := map[string]any{
		"service": v.service, "address": v.listener.Addr().String(), "zone": v.zone, "version": "v1", "slots": 64, "state": v.state,
		"cold_remaining_ms": 0, "sequence": v.beats, "born": v.born, "stage": "prefill_decode", "models": v.models,
		"available": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
	}
	v.mu.Unlock()
	v.store.put("servers", v.id, spec)
}

func (v *server) beatOn() {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-v.stop:
			return
		case <-ticker.C:
			v.beat()
		}
	}
}

func (v *server) accept() {
	for {
		c, err := v.listener.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		v.conns[c] = true
		v.mu.Unlock()
		go v.serve(c)
	}
}

func (v *server) serve(c net.Conn) {
	defer func() {
		v.mu.Lock()
		delete(v.conns, c)
		v.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		switch {
		case r.URL.Path == "/report":
			v.report(c)
		case r.URL.Path == "/order", r.URL.Path == "/hold-take":
			_ = body
			// No order fits: the server has what it shall hold, and reserves nothing.
			writeJSON(c, http.StatusServiceUnavailable, map[string]any{})
		case r.Header.Get("Expected-Instance") != v.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", v.id)
		default:
			if !v.requests(c, r) {
				return
			}
		}
	}
}

func (v *server) report(c net.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	writeJSON(c, http.StatusOK, map[string]any{
		"stage": "prefill_decode", "models": v.models, "busy": false, "sequence": 0, "waiting": 0, "in_flight": 0, "kv_used": 0,
		"kv_total": 150000, "handles": 0, "born": v.born, "available": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
		"pending": []string{},
	})
}

func writeJSON(c net.Conn, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(data), data)
}

// crash ends the server: its connections are reset, and nothing listens at its address any more.
func (v *server) crash() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return
	}
	v.stopped = true
	close(v.stop)
	_ = v.listener.Close()
	for c := range v.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
