package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// store is a stand-in for the platform's metadata store: lists, watches, and conditional writes.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []storeEvent
	changed  chan struct{}
	address  string
	listener net.Listener
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
	Created  uint64 `json:"created,omitempty"`
}

type storeEvent struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

func newStore() *store {
	s := &store{revision: 100, objects: make(map[string]map[string]*object), changed: make(chan struct{})}
	s.listener = listen()
	s.address = s.listener.Addr().String()
	go func() { _ = http.Serve(s.listener, s) }()
	return s
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, data)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *o
	gone.Metadata.Revision = s.revision
	s.notify(kind, gone, true)
}

func (s *store) set(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	if old := s.objects[kind][name]; old != nil && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := &object{Metadata: metadata{Name: name, Revision: s.revision}, Spec: spec}
	s.objects[kind][name] = o
	s.notify(kind, *o, false)
	return o
}

func (s *store) notify(kind string, o object, deleted bool) {
	s.events = append(s.events, storeEvent{kind: kind, revision: s.revision, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.read(w, kind, name)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
}

func (s *store) read(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		reply(w, http.StatusOK, o)
		return
	}
	reply(w, http.StatusNotFound, map[string]any{})
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && old != nil:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && old == nil:
		reply(w, http.StatusNotFound, map[string]any{})
	case old != nil && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	default:
		reply(w, http.StatusOK, s.set(kind, name, o.Spec))
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// windowBytes and segmentBytes are the receive buffer and the largest segment of the stand-ins' connections.
// The users' links have small windows, and no link but the loopback one has segments of 64 KiB.
const (
	windowBytes  = 64 << 10
	segmentBytes = 1400
)

// listen returns a listener on a free loopback port.
func listen() net.Listener {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		unable("cannot listen: %v", err)
	}
	return l
}
