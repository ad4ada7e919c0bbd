package vrstandin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	_callDuration    = 5 * time.Millisecond
	_maxCallBody     = 1 << 20
	_stockCountLimit = 20
)

// Confirmation is the response to a non-idempotent call. The digest lets a caller
// verify that the response belongs to the body that it sent.
type Confirmation struct {
	Key    vrid.IdempotencyKey `json:"key"`
	Digest string              `json:"digest"`
	// Number is the run count of the service, which makes a second run visible.
	Number int `json:"number"`
}

// Stock is the response to a stock lookup.
type Stock struct {
	Item  string `json:"item"`
	Count int    `json:"count"`
}

// StockOf returns the expected response to a stock lookup of an item.
func StockOf(item string) Stock {
	return Stock{Item: item, Count: int(xxhash.Sum64String(item) % _stockCountLimit)}
}

// DigestOf returns the digest that a confirmation carries for a request body.
func DigestOf(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// serviceState is the state that all application servers of one pool share.
type serviceState struct {
	mu       sync.Mutex
	runs     int
	outcomes map[vrid.IdempotencyKey]Confirmation
}

// recordRun counts one run and stores the first outcome of each idempotency key.
func (s *serviceState) recordRun(key vrid.IdempotencyKey, digest string) Confirmation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	confirmation := Confirmation{Key: key, Digest: digest, Number: s.runs}
	if _, ok := s.outcomes[key]; !ok {
		s.outcomes[key] = confirmation
	}
	return confirmation
}

func (s *serviceState) outcome(key vrid.IdempotencyKey) (Confirmation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmation, ok := s.outcomes[key]
	return confirmation, ok
}

// appServer is a stand-in for one application server.
type appServer struct {
	server  vrid.ServerID
	zone    vrid.ZoneID
	journal *Journal
	state   *serviceState

	runThenClose  faultCounter
	refuse        faultCounter
	processCtx    context.Context
	cancelProcess context.CancelFunc
}

func newAppServer(server vrdeploy.Server, journal *Journal, state *serviceState) *appServer {
	a := &appServer{server: server.ID, zone: server.Zone, journal: journal, state: state}
	a.processCtx, a.cancelProcess = context.WithCancel(context.Background())
	return a
}

// ServeHTTP handles one call.
func (a *appServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && strings.HasPrefix(path, vrdeploy.PathStock):
		a.serveStock(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(path, vrdeploy.PathOutcomes+"/"):
		a.serveOutcome(w, vrid.IdempotencyKey(strings.TrimPrefix(path, vrdeploy.PathOutcomes+"/")))
	case r.Method == http.MethodPost && (path == vrdeploy.PathReservations || path == vrdeploy.PathOrders):
		a.serveRun(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (a *appServer) newEntry(kind EntryKind, r *http.Request) Entry {
	return Entry{
		Kind: kind, Server: a.server, Zone: a.zone,
		Request: vrid.RequestID(r.Header.Get(vrengine.HeaderRequestID)),
		Key:     vrid.IdempotencyKey(r.Header.Get(vrengine.HeaderIdempotencyKey)),
		Object:  r.URL.Path,
	}
}

func (a *appServer) serveStock(w http.ResponseWriter, r *http.Request) {
	if a.refusedByFault(w, r) || vrpause.For(r.Context(), _callDuration) != nil {
		return
	}
	a.journal.Add(a.newEntry(JournalRun, r))
	writeJSON(w, http.StatusOK, StockOf(strings.TrimPrefix(r.URL.Path, vrdeploy.PathStock)))
}

func (a *appServer) refusedByFault(w http.ResponseWriter, r *http.Request) bool {
	if !a.refuse.take() {
		return false
	}
	a.journal.Add(a.newEntry(JournalCallRefused, r))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// serveRun executes a call without checking whether its idempotency key ran before.
// Preventing duplicate runs is the responsibility of the daemons.
func (a *appServer) serveRun(w http.ResponseWriter, r *http.Request) {
	if a.refusedByFault(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, _maxCallBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A call that has started runs to completion even if its connection breaks.
	if vrpause.For(a.processCtx, _callDuration) != nil {
		panic(http.ErrAbortHandler)
	}
	entry := a.newEntry(JournalRun, r)
	entry.Bytes = vrid.Bytes(len(body))
	a.journal.Add(entry)
	confirmation := a.state.recordRun(entry.Key, DigestOf(body))
	if a.runThenClose.take() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, confirmation)
}

func (a *appServer) serveOutcome(w http.ResponseWriter, key vrid.IdempotencyKey) {
	confirmation, ok := a.state.outcome(key)
	a.journal.Add(Entry{Kind: JournalLookup, Server: a.server, Zone: a.zone, Key: key, Detail: fmt.Sprint(ok)})
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, confirmation)
}
