package vrstandin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

// Behavior of the platform.
const (
	_platformDelay = 2 * time.Millisecond
	// _platformRate is the limit of calls a second that the design gives the fleet for
	// reads and writes together, scaled down to nine daemons.
	_platformRate = 400
	_maxWatch     = time.Minute
	_vmListLag    = time.Second
)

// CallKind is a kind of call to the platform, for the counters.
type CallKind string

// Kinds of calls.
const (
	CallGet    CallKind = "get"
	CallPut    CallKind = "put"
	CallDelete CallKind = "delete"
	CallList   CallKind = "list"
	CallWatch  CallKind = "watch"
	CallVMs    CallKind = "vms"
	// CallRefused counts the calls that got 429 or 503 or were cut off.
	CallRefused CallKind = "refused"
)

// Platform is the stand-in of the platform's object store and list of VMs.
type Platform struct {
	store   *store
	journal *Journal
	limiter *rate.Limiter
	outage  window
	slow    window
	cuts    map[vrid.ZoneID]*window
	lose    budget

	mu         sync.Mutex
	slowBy     time.Duration
	losePrefix string
	vms        []vrplatform.VM
	// shown is the list as callers see it, older than vms by up to _vmListLag.
	shown    []vrplatform.VM
	shownAt  time.Time
	counters map[CallKind]uint64
}

func newPlatform(journal *Journal, zones []vrid.ZoneID) *Platform {
	p := &Platform{
		store:    newStore(),
		journal:  journal,
		limiter:  rate.NewLimiter(_platformRate, _platformRate),
		cuts:     make(map[vrid.ZoneID]*window),
		counters: make(map[CallKind]uint64),
	}
	for _, zone := range zones {
		p.cuts[zone] = &window{}
	}
	return p
}

// zoneContext is the key of a call's zone in its context.
type zoneContext struct{}

// ForZone returns the platform as the daemons of one zone reach it. Each zone has a
// port of its own, because a call does not say where it comes from.
func (p *Platform) ForZone(zone vrid.ZoneID) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), zoneContext{}, zone)))
	})
}

func zoneOf(r *http.Request) vrid.ZoneID {
	zone, _ := r.Context().Value(zoneContext{}).(vrid.ZoneID)
	return zone
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, handle := p.route(r)
	if handle == nil {
		http.NotFound(w, r)
		return
	}
	p.count(kind)
	if cut := p.cuts[zoneOf(r)]; cut != nil && cut.active() {
		p.count(CallRefused)
		panic(http.ErrAbortHandler)
	}
	if p.outage.active() {
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	if !p.limiter.Allow() {
		p.refuse(w, http.StatusTooManyRequests)
		return
	}
	if vrpause.For(r.Context(), p.delay()) != nil {
		return
	}
	handle(w, r)
}

func (p *Platform) route(r *http.Request) (CallKind, http.HandlerFunc) {
	switch {
	case strings.HasPrefix(r.URL.Path, vrplatform.PathObjects):
		switch r.Method {
		case http.MethodGet:
			return CallGet, p.get
		case http.MethodPut:
			return CallPut, p.put
		case http.MethodDelete:
			return CallDelete, p.remove
		}
	case r.URL.Path == vrplatform.PathList:
		return CallList, p.list
	case r.URL.Path == vrplatform.PathWatch:
		return CallWatch, p.watch
	case r.URL.Path == vrplatform.PathVMs:
		return CallVMs, p.listVMs
	}
	return "", nil
}

func (p *Platform) refuse(w http.ResponseWriter, status int) {
	p.count(CallRefused)
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(status)
}

func (p *Platform) count(kind CallKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters[kind]++
}

// Counters returns how many calls of each kind came.
func (p *Platform) Counters() map[CallKind]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counters := make(map[CallKind]uint64, len(p.counters))
	for kind, count := range p.counters {
		counters[kind] = count
	}
	return counters
}

func (p *Platform) delay() time.Duration {
	if !p.slow.active() {
		return _platformDelay
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return _platformDelay + p.slowBy
}

func keyOf(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, vrplatform.PathObjects) }

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	item, ok := p.store.get(keyOf(r))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	setVersion(w, item.Version)
	_, _ = w.Write(item.Value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, vrplatform.MaxValueBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.write(w, r, func(want condition) (vrid.ObjectVersion, bool) {
		return p.store.put(keyOf(r), value, want)
	}, value)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.write(w, r, func(want condition) (vrid.ObjectVersion, bool) {
		return p.store.remove(keyOf(r), want)
	}, nil)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, apply func(condition) (vrid.ObjectVersion, bool), value []byte) {
	want, err := conditionOf(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := keyOf(r)
	version, ok := apply(want)
	if ok {
		entry := Entry{
			Kind: JournalWrite, Zone: zoneOf(r),
			Object: key, Version: version, Bytes: vrid.Bytes(len(value)), Detail: r.Method,
		}
		if strings.HasPrefix(key, vrplatform.PrefixLedgers) {
			entry.Value = value
		}
		p.journal.Add(entry)
	}
	if p.losesAnswer(key) {
		panic(http.ErrAbortHandler)
	}
	setVersion(w, version)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) losesAnswer(key string) bool {
	p.mu.Lock()
	prefix := p.losePrefix
	p.mu.Unlock()
	return strings.HasPrefix(key, prefix) && p.lose.take()
}

func conditionOf(r *http.Request) (condition, error) {
	text := r.Header.Get(vrplatform.HeaderIfVersion)
	if text == "" {
		return condition{}, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return condition{set: true, version: vrid.ObjectVersion(version)}, err
}

func setVersion(w http.ResponseWriter, version vrid.ObjectVersion) {
	w.Header().Set(vrplatform.HeaderVersion, strconv.FormatUint(uint64(version), 10))
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	writeJSON(w, http.StatusOK, vrplatform.List{Items: p.store.list(query.Get("prefix"), query.Get("values") == "true")})
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(orZero(query.Get("after")), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.Atoi(orZero(query.Get("waitMs")))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, _maxWatch)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	found := p.store.watch(ctx, query.Get("prefix"), vrid.ObjectVersion(after))
	if cut := p.cuts[zoneOf(r)]; cut != nil && cut.active() {
		panic(http.ErrAbortHandler)
	}
	if p.outage.active() {
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, found)
}

func orZero(text string) string {
	if text == "" {
		return "0"
	}
	return text
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, vrplatform.VMList{VMs: p.shownVMs()})
}

func (p *Platform) shownVMs() []vrplatform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.shownAt.IsZero() || now.Sub(p.shownAt) >= _vmListLag {
		p.shown = append([]vrplatform.VM{}, p.vms...)
		p.shownAt = now
	}
	return p.shown
}

// SetVMs replaces the list of VMs at once, without its lag.
func (p *Platform) SetVMs(vms []vrplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append([]vrplatform.VM{}, vms...)
	p.shownAt = time.Time{}
}

// changeVMs replaces the list; callers see it after the lag.
func (p *Platform) changeVMs(change func([]vrplatform.VM) []vrplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = change(append([]vrplatform.VM{}, p.vms...))
}

func (p *Platform) apply(fault Fault) error {
	switch fault.Kind {
	case FaultPlatformOutage:
		p.outage.start(fault.For.Std())
	case FaultPlatformSlow:
		p.mu.Lock()
		p.slowBy = fault.Delay.Std()
		p.mu.Unlock()
		p.slow.start(fault.For.Std())
	case FaultPlatformLoseAnswers:
		p.mu.Lock()
		p.losePrefix = fault.Prefix
		p.mu.Unlock()
		p.lose.set(fault.count())
	case FaultPlatformRateLimit:
		p.limiter.SetLimit(rate.Limit(fault.Rate))
		p.limiter.SetBurst(max(int(fault.Rate), 1))
	case FaultZoneCut:
		cut, ok := p.cuts[fault.Zone]
		if !ok {
			return &FaultError{Kind: fault.Kind, Problem: "zone " + string(fault.Zone) + " is unknown"}
		}
		cut.start(fault.For.Std())
	default:
		return &FaultError{Kind: fault.Kind, Problem: "is no fault of the platform"}
	}
	return nil
}

func (p *Platform) clear() {
	p.outage.stop()
	p.slow.stop()
	p.lose.set(0)
	p.limiter.SetLimit(_platformRate)
	p.limiter.SetBurst(_platformRate)
	for _, cut := range p.cuts {
		cut.stop()
	}
}

// Objects returns the objects with a prefix and their values, past every fault.
func (p *Platform) Objects(prefix string) []vrplatform.Item { return p.store.list(prefix, true) }

// Put writes an object unconditionally, past every fault.
func (p *Platform) Put(key string, value []byte) {
	version, _ := p.store.put(key, value, condition{})
	p.journal.Add(Entry{Kind: JournalWrite, Object: key, Version: version, Bytes: vrid.Bytes(len(value)), Detail: http.MethodPut})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func (p *Platform) currentVMs() []vrplatform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]vrplatform.VM{}, p.vms...)
}
