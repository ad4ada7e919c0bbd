package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: objects by kind and name, conditional writes, lists and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]*object
	history  []event
	changed  chan struct{}
	// loseWrites, if set, decides for each write whether it is done without an answer.
	loseWrites func(kind string) bool
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
	kind     string
}

type event struct {
	revision uint64
	kind     string
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]*object{}, changed: make(chan struct{})}
}

// commit records a change. The caller holds the mutex.
func (s *store) commit(o *object, deleted bool) {
	s.revision++
	o.Metadata.Revision = s.revision
	s.history = append(s.history, event{revision: s.revision, kind: o.kind, Object: *o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object whatever its revision, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	o := s.objects[key]
	if o == nil {
		o = &object{kind: kind, Metadata: metadata{Name: name, Created: s.revision + 1, Finalizers: []string{}}}
	}
	next := *o
	next.Spec = data
	s.objects[key] = &next
	s.commit(&next, false)
}

func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	o := s.objects[key]
	if o == nil {
		return false
	}
	delete(s.objects, key)
	gone := *o
	s.commit(&gone, true)
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/objects/")
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.objects[kind+"/"+name]
		s.mu.Unlock()
		if o == nil {
			writeJSON(w, http.StatusNotFound, map[string]string{"error": "not found"})
			return
		}
		writeJSON(w, http.StatusOK, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	default:
		writeJSON(w, http.StatusMethodNotAllowed, nil)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []*object{}
	for _, o := range s.objects {
		if o.kind == kind {
			items = append(items, o)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.revision > after && e.kind == kind {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	key := kind + "/" + name
	o := s.objects[key]
	status := http.StatusOK
	switch {
	case r.Method == http.MethodPost && o != nil, r.Method == http.MethodPut && o != nil && in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		status = http.StatusConflict
	case r.Method == http.MethodPut && o == nil:
		status = http.StatusNotFound
	default:
		if o == nil {
			o = &object{kind: kind, Metadata: metadata{Name: name, Created: s.revision + 1, Finalizers: []string{}}}
		}
		next := *o
		next.Spec = in.Spec
		s.objects[key] = &next
		s.commit(&next, false)
		o = &next
	}
	lose := s.loseWrites != nil && s.loseWrites(kind)
	s.mu.Unlock()
	if lose {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, o)
}
