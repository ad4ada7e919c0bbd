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

// Latencies and limits of the platform.
const (
	_platformDelay = 2 * time.Millisecond
	// _platformRate is the limit in calls per second, reads and writes together: the
	// limit that the design states for the fleet, scaled down to nine daemons.
	_platformRate = 400
	_maxWatch     = time.Minute
	_vmListLag    = time.Second
)

// CallKind is a kind of call to the platform, for the counters.
type CallKind string

// Kinds of calls to the platform.
const (
	CallGet    CallKind = "get"
	CallPut    CallKind = "put"
	CallDelete CallKind = "delete"
	CallList   CallKind = "list"
	CallWatch  CallKind = "watch"
	CallVMs    CallKind = "vms"
	// CallRefused counts the calls that failed with 429 or 503 or were cut off.
	CallRefused CallKind = "refused"
)

// Platform is a stand-in for the platform's object store and list of VMs.
type Platform struct {
	store       *store
	journal     *Journal
	limiter     *rate.Limiter
	outage      window
	slow        window
	zoneCuts    map[vrid.ZoneID]*window
	lostAnswers faultCounter

	mu               sync.Mutex
	extraDelay       time.Duration
	lostAnswerPrefix string
	vms              []vrplatform.VM
	// visibleVMs is the list as callers see it, up to _vmListLag older than vms.
	visibleVMs []vrplatform.VM
	visibleAt  time.Time
	counters   map[CallKind]uint64
}

func newPlatform(journal *Journal, zones []vrid.ZoneID) *Platform {
	p := &Platform{
		store:    newStore(),
		journal:  journal,
		limiter:  rate.NewLimiter(_platformRate, _platformRate),
		zoneCuts: make(map[vrid.ZoneID]*window),
		counters: make(map[CallKind]uint64),
	}
	for _, zone := range zones {
		p.zoneCuts[zone] = &window{}
	}
	return p
}

// zoneContextKey is the context key of the zone that a call comes from.
type zoneContextKey struct{}

// ForZone returns the handler for calls of the daemons in one zone. Each zone has its
// own port, because a call does not carry the zone that it comes from.
func (p *Platform) ForZone(zone vrid.ZoneID) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), zoneContextKey{}, zone)))
	})
}

func requestZone(r *http.Request) vrid.ZoneID {
	zone, _ := r.Context().Value(zoneContextKey{}).(vrid.ZoneID)
	return zone
}

// ServeHTTP handles one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, handle := p.route(r)
	if handle == nil {
		http.NotFound(w, r)
		return
	}
	p.count(kind)
	if cut := p.zoneCuts[requestZone(r)]; cut != nil && cut.active() {
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
	if vrpause.For(r.Context(), p.callDelay()) != nil {
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
			return CallDelete, p.delete
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

// Counters returns the number of calls of each kind.
func (p *Platform) Counters() map[CallKind]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counters := make(map[CallKind]uint64, len(p.counters))
	for kind, count := range p.counters {
		counters[kind] = count
	}
	return counters
}

func (p *Platform) callDelay() time.Duration {
	if !p.slow.active() {
		return _platformDelay
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return _platformDelay + p.extraDelay
}

func objectKey(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, vrplatform.PathObjects) }

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	item, ok := p.store.get(objectKey(r))
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
	p.write(w, r, func(precondition condition) (vrid.ObjectVersion, bool) {
		return p.store.put(objectKey(r), value, precondition)
	}, value)
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	p.write(w, r, func(precondition condition) (vrid.ObjectVersion, bool) {
		return p.store.delete(objectKey(r), precondition)
	}, nil)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, apply func(condition) (vrid.ObjectVersion, bool), value []byte) {
	precondition, err := parseCondition(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := objectKey(r)
	version, ok := apply(precondition)
	if ok {
		entry := Entry{
			Kind: JournalWrite, Zone: requestZone(r),
			Object: key, Version: version, Bytes: vrid.Bytes(len(value)), Detail: r.Method,
		}
		if strings.HasPrefix(key, vrplatform.PrefixLedgers) {
			entry.Value = value
		}
		p.journal.Add(entry)
	}
	if p.takeLostAnswer(key) {
		panic(http.ErrAbortHandler)
	}
	setVersion(w, version)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// takeLostAnswer reports whether the response to a write of the key is lost, and if so counts
// it.
func (p *Platform) takeLostAnswer(key string) bool {
	p.mu.Lock()
	prefix := p.lostAnswerPrefix
	p.mu.Unlock()
	return strings.HasPrefix(key, prefix) && p.lostAnswers.take()
}

func parseCondition(r *http.Request) (condition, error) {
	text := r.Header.Get(vrplatform.HeaderIfVersion)
	if text == "" {
		return condition{}, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return condition{conditional: true, version: vrid.ObjectVersion(version)}, err
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
	after, err := strconv.ParseUint(zeroIfEmpty(query.Get("after")), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.Atoi(zeroIfEmpty(query.Get("waitMs")))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, _maxWatch)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	found := p.store.watch(ctx, query.Get("prefix"), vrid.ObjectVersion(after))
	if cut := p.zoneCuts[requestZone(r)]; cut != nil && cut.active() {
		panic(http.ErrAbortHandler)
	}
	if p.outage.active() {
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, found)
}

func zeroIfEmpty(text string) string {
	if text == "" {
		return "0"
	}
	return text
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, vrplatform.VMList{VMs: p.laggedVMs()})
}

func (p *Platform) laggedVMs() []vrplatform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.visibleAt.IsZero() || now.Sub(p.visibleAt) >= _vmListLag {
		p.visibleVMs = append([]vrplatform.VM{}, p.vms...)
		p.visibleAt = now
	}
	return p.visibleVMs
}

// SetVMs replaces the list of VMs; callers see the change immediately.
func (p *Platform) SetVMs(vms []vrplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append([]vrplatform.VM{}, vms...)
	p.visibleAt = time.Time{}
}

// changeVMs updates the list of VMs; callers see the change after up to _vmListLag.
func (p *Platform) changeVMs(change func([]vrplatform.VM) []vrplatform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = change(append([]vrplatform.VM{}, p.vms...))
}

func (p *Platform) applyFault(fault Fault) error {
	switch fault.Kind {
	case FaultPlatformOutage:
		p.outage.start(fault.For.Std())
	case FaultPlatformSlow:
		p.mu.Lock()
		p.extraDelay = fault.Delay.Std()
		p.mu.Unlock()
		p.slow.start(fault.For.Std())
	case FaultPlatformLoseAnswers:
		p.mu.Lock()
		p.lostAnswerPrefix = fault.Prefix
		p.mu.Unlock()
		p.lostAnswers.set(fault.hits())
	case FaultPlatformRateLimit:
		p.limiter.SetLimit(rate.Limit(fault.Rate))
		p.limiter.SetBurst(max(int(fault.Rate), 1))
	case FaultZoneCut:
		cut, ok := p.zoneCuts[fault.Zone]
		if !ok {
			return &FaultError{Kind: fault.Kind, Problem: "zone " + string(fault.Zone) + " does not exist"}
		}
		cut.start(fault.For.Std())
	default:
		return &FaultError{Kind: fault.Kind, Problem: "not supported by the platform"}
	}
	return nil
}

func (p *Platform) clearFaults() {
	p.outage.stop()
	p.slow.stop()
	p.lostAnswers.set(0)
	p.limiter.SetLimit(_platformRate)
	p.limiter.SetBurst(_platformRate)
	for _, cut := range p.zoneCuts {
		cut.stop()
	}
}

// Objects returns the objects with a prefix and their values, bypassing all faults.
func (p *Platform) Objects(prefix string) []vrplatform.Item { return p.store.list(prefix, true) }

// Put writes an object unconditionally, bypassing all faults.
func (p *Platform) Put(key string, value []byte) {
	version, _ := p.store.put(key, value, condition{})
	p.journal.Add(Entry{Kind: JournalWrite, Object: key, Version: version, Bytes: vrid.Bytes(len(value)), Detail: http.MethodPut})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller disconnected, so it can't be reported.
	_ = json.NewEncoder(w).Encode(body)
}

func (p *Platform) currentVMs() []vrplatform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]vrplatform.VM{}, p.vms...)
}
