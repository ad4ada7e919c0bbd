package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	kind, name string
	revision   uint64
	created    uint64
	spec       json.RawMessage
	deleted    bool
}

func (o *object) body() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": nil,
	}
}

// store is a stand-in for the platform's store: linearizable, with a single revision counter.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	objects  map[string]*object
	history  []object
	listener net.Listener
	// onWrite is called with each write of a daemon, before it is answered. It may be nil.
	onWrite func(kind, name string, spec json.RawMessage)
}

func newStore() *store {
	s := &store{revision: 10, objects: make(map[string]*object)}
	s.changed = sync.NewCond(&s.mu)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.listener = listener
	go func() { _ = http.Serve(listener, s) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object as the operator or a server.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	if o == nil {
		return
	}
	delete(s.objects, kind+"/"+name)
	s.revision++
	gone := *o
	gone.revision, gone.deleted = s.revision, true
	s.history = append(s.history, gone)
	s.changed.Broadcast()
}

func (s *store) write(kind, name string, spec json.RawMessage) uint64 {
	s.revision++
	created := s.revision
	if old := s.objects[kind+"/"+name]; old != nil {
		created = old.created
	}
	o := &object{kind: kind, name: name, revision: s.revision, created: created, spec: spec}
	s.objects[kind+"/"+name] = o
	s.history = append(s.history, *o)
	s.changed.Broadcast()
	return s.revision
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind+"/"+name]
		s.mu.Unlock()
		if o == nil {
			respond(w, http.StatusNotFound, map[string]any{})
			return
		}
		respond(w, http.StatusOK, o.body())
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []map[string]any{}
	names := []string{}
	for _, o := range s.objects {
		if o.kind == kind && o.name > r.URL.Query().Get("after") {
			names = append(names, o.name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		items = append(items, s.objects[kind+"/"+name].body())
	}
	asOf := s.revision
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	timer := time.AfterFunc(time.Until(deadline), s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	var events []map[string]any
	for {
		events = []map[string]any{}
		for i := range s.history {
			if o := &s.history[i]; o.kind == kind && o.revision > after {
				events = append(events, map[string]any{"object": o.body(), "deleted": o.deleted})
			}
		}
		if len(events) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			break
		}
		s.changed.Wait()
	}
	asOf := s.revision
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		respond(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && old != nil:
		respond(w, http.StatusConflict, old.body())
		return
	case r.Method == http.MethodPut && old == nil:
		respond(w, http.StatusNotFound, map[string]any{})
		return
	case r.Method == http.MethodPut && body.Metadata.Revision != 0 && body.Metadata.Revision != old.revision:
		respond(w, http.StatusConflict, old.body())
		return
	case r.Method != http.MethodPost && r.Method != http.MethodPut:
		respond(w, http.StatusBadRequest, map[string]any{"error": fmt.Sprint("method ", r.Method)})
		return
	}
	if s.onWrite != nil {
		s.onWrite(kind, name, body.Spec)
	}
	s.write(kind, name, body.Spec)
	respond(w, http.StatusOK, s.objects[kind+"/"+name].body())
}
