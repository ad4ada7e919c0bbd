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
	_callTime    = 5 * time.Millisecond
	_callBody    = 1 << 20
	_stockSpread = 20
)

// Confirmation is the answer to a call that must not be repeated. The digest lets a
// caller see that the answer belongs to its own body.
type Confirmation struct {
	Key    vrid.IdempotencyKey `json:"key"`
	Digest string              `json:"digest"`
	// Number counts the runs of the service, so that a second run shows.
	Number int `json:"number"`
}

// Stock is the answer to a lookup.
type Stock struct {
	Item  string `json:"item"`
	Count int    `json:"count"`
}

// StockOf returns the answer to a lookup of an item.
func StockOf(item string) Stock {
	return Stock{Item: item, Count: int(xxhash.Sum64String(item) % _stockSpread)}
}

// DigestOf is the digest of a body in a confirmation.
func DigestOf(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// ledgerBook is the data that the servers of one service share.
type ledgerBook struct {
	mu       sync.Mutex
	runs     int
	outcomes map[vrid.IdempotencyKey]Confirmation
}

// run counts one run and keeps the first outcome of each key.
func (b *ledgerBook) run(key vrid.IdempotencyKey, digest string) Confirmation {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs++
	confirmation := Confirmation{Key: key, Digest: digest, Number: b.runs}
	if _, ok := b.outcomes[key]; !ok {
		b.outcomes[key] = confirmation
	}
	return confirmation
}

func (b *ledgerBook) outcome(key vrid.IdempotencyKey) (Confirmation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	confirmation, ok := b.outcomes[key]
	return confirmation, ok
}

// appServer is the stand-in of one application server.
type appServer struct {
	server  vrid.ServerID
	zone    vrid.ZoneID
	journal *Journal
	book    *ledgerBook

	runThenClose budget
	refuse       budget
	life         context.Context
	end          context.CancelFunc
}

func newAppServer(server vrdeploy.Server, journal *Journal, book *ledgerBook) *appServer {
	a := &appServer{server: server.ID, zone: server.Zone, journal: journal, book: book}
	a.life, a.end = context.WithCancel(context.Background())
	return a
}

// ServeHTTP answers one call.
func (a *appServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && strings.HasPrefix(path, vrdeploy.PathStock):
		a.stock(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(path, vrdeploy.PathOutcomes+"/"):
		a.lookUp(w, vrid.IdempotencyKey(strings.TrimPrefix(path, vrdeploy.PathOutcomes+"/")))
	case r.Method == http.MethodPost && (path == vrdeploy.PathReservations || path == vrdeploy.PathOrders):
		a.run(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (a *appServer) entry(kind EntryKind, r *http.Request) Entry {
	return Entry{
		Kind: kind, Server: a.server, Zone: a.zone,
		Request: vrid.RequestID(r.Header.Get(vrengine.HeaderRequestID)),
		Key:     vrid.IdempotencyKey(r.Header.Get(vrengine.HeaderIdempotencyKey)),
		Object:  r.URL.Path,
	}
}

func (a *appServer) stock(w http.ResponseWriter, r *http.Request) {
	if a.refused(w, r) || vrpause.For(r.Context(), _callTime) != nil {
		return
	}
	a.journal.Add(a.entry(JournalRun, r))
	writeJSON(w, http.StatusOK, StockOf(strings.TrimPrefix(r.URL.Path, vrdeploy.PathStock)))
}

func (a *appServer) refused(w http.ResponseWriter, r *http.Request) bool {
	if !a.refuse.take() {
		return false
	}
	a.journal.Add(a.entry(JournalCallRefused, r))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// run carries a call out and does not look whether its key ran before: that is the
// duty of the daemons.
func (a *appServer) run(w http.ResponseWriter, r *http.Request) {
	if a.refused(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, _callBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A call that has begun ends even when its connection breaks.
	if vrpause.For(a.life, _callTime) != nil {
		panic(http.ErrAbortHandler)
	}
	entry := a.entry(JournalRun, r)
	entry.Bytes = vrid.Bytes(len(body))
	a.journal.Add(entry)
	confirmation := a.book.run(entry.Key, DigestOf(body))
	if a.runThenClose.take() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, confirmation)
}

func (a *appServer) lookUp(w http.ResponseWriter, key vrid.IdempotencyKey) {
	confirmation, ok := a.book.outcome(key)
	a.journal.Add(Entry{Kind: JournalLookup, Server: a.server, Zone: a.zone, Key: key, Detail: fmt.Sprint(ok)})
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, confirmation)
}
