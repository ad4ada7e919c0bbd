// Package vrroute chooses the server for a request from the zone view, this daemon's requests
// in flight and the results of recent attempts.
package vrroute

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Options configures a Table.
type Options struct {
	// Random is the source of the random choices.
	Random *rand.Rand
	// LeastLoaded selects the baseline policy: the replica with the lowest reported load at any
	// distance, without shares, reserves, prefix affinity or ejection of slow servers.
	LeastLoaded bool
}

// Query describes what a request needs from a server.
type Query struct {
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	// Pool is set instead of Model for plain services.
	Pool vrid.PoolID
	// Exclude is a server that must not be chosen, or "".
	Exclude vrid.ServerID
	Rank    vrid.Rank
	// BelowFloor is set when the rank is below its floor: it may then use the reserve of higher ranks.
	BelowFloor bool
	// Prefix is the hash of the first part of the prompt, or 0.
	Prefix uint64
	// CrossRegion allows servers in other regions.
	CrossRegion bool
}

// Table holds the servers that this daemon may send requests to.
type Table struct {
	opts    Options
	servers map[vrid.ServerID]*Server
	// byModel and byPool list the servers that may serve a query. Models that are not loaded
	// have no entry, so the cost of a choice does not depend on their number.
	byModel  map[vrid.ModelID][]*Server
	byPool   map[vrid.PoolID][]*Server
	pools    map[vrid.PoolID]*poolLatency
	prefixes prefixIndex
	// freedModels lists the models whose servers may have free slots since the last
	// TakeFreedModels.
	freedModels []vrid.ModelID
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts:     opts,
		servers:  make(map[vrid.ServerID]*Server),
		byModel:  make(map[vrid.ModelID][]*Server),
		byPool:   make(map[vrid.PoolID][]*Server),
		pools:    make(map[vrid.PoolID]*poolLatency),
		prefixes: newPrefixIndex(),
	}
}

// Update is one server of a new zone view.
type Update struct {
	Item     vrwire.ServerItem
	Distance Distance
	Share    float64
}

// SetServers replaces the servers, and keeps the state of those that are listed again or have
// requests in flight.
func (t *Table) SetServers(updates []Update) {
	listed := make(map[vrid.ServerID]bool, len(updates))
	for model, servers := range t.byModel {
		t.byModel[model] = servers[:0]
	}
	clear(t.byPool)
	for _, update := range updates {
		listed[update.Item.Server] = true
		server := t.servers[update.Item.Server]
		if server == nil {
			server = &Server{ID: update.Item.Server, shareRounding: t.opts.Random.Float64()}
			t.servers[server.ID] = server
		}
		server.apply(update)
		server.poolLatency = t.poolLatency(server.Pool)
		t.byPool[server.Pool] = append(t.byPool[server.Pool], server)
		for _, replica := range server.replicas {
			if replica.State == vrwire.ReplicaLoaded {
				t.byModel[replica.Model] = append(t.byModel[replica.Model], server)
			}
		}
	}
	for model, servers := range t.byModel {
		if len(servers) == 0 {
			delete(t.byModel, model)
		}
	}
	for id, server := range t.servers {
		if !listed[id] && server.InFlight == 0 {
			delete(t.servers, id)
		} else if !listed[id] {
			server.State = vrwire.ServerGone
		}
	}
}

func (t *Table) poolLatency(pool vrid.PoolID) *poolLatency {
	latency := t.pools[pool]
	if latency == nil {
		latency = &poolLatency{}
		t.pools[pool] = latency
	}
	return latency
}

// Server returns a server, or nil if it is not known.
func (t *Table) Server(id vrid.ServerID) *Server { return t.servers[id] }

// Loaded reports whether any server has loaded what the query needs and may serve it, full or not.
// An ejected server does not count: it may be gone, and a load should start before the view says
// so. It counts again when its probe is due, because requests that are refused while no replica
// is loaded would never probe it.
func (t *Table) Loaded(now time.Time, query Query) bool {
	for _, server := range t.candidates(query) {
		if server.eligible(&query) && (t.opts.LeastLoaded || !server.isEjected(now)) {
			return true
		}
	}
	return false
}

func (t *Table) candidates(query Query) []*Server {
	if query.Pool != "" {
		return t.byPool[query.Pool]
	}
	return t.byModel[query.Model]
}

// Choose returns the server with the lower cost of two random usable ones, preferring near ones, or
// nil if none is usable. A usable server that has the prefix of the prompt in its cache comes
// first unless its cost is more than affinityTolerance higher. Choose does not allocate.
func (t *Table) Choose(now time.Time, query Query) *Server {
	candidates := t.candidates(query)
	if len(candidates) == 0 {
		return nil
	}
	if t.opts.LeastLoaded {
		return leastLoaded(now, &query, candidates)
	}
	best := t.chooseOfTwo(now, &query, candidates)
	if best == nil || query.Prefix == 0 {
		return best
	}
	if cached := t.servers[t.prefixes.lookup(query.Model, query.Prefix)]; cached != nil && cached != best {
		usable := cached.eligible(&query) && cached.usable(now, &query) && t.isCandidate(cached, query)
		if usable && cached.cost() <= best.cost()+affinityTolerance {
			return cached
		}
	}
	return best
}

// chooseOfTwo returns the server with the lower cost of two random usable ones.
func (t *Table) chooseOfTwo(now time.Time, query *Query, candidates []*Server) *Server {
	first := t.pickRandom(now, query, candidates, nil)
	if first == nil {
		return nil
	}
	second := t.pickRandom(now, query, candidates, first)
	if second != nil && second.cost() < first.cost() {
		return second
	}
	return first
}

func (t *Table) isCandidate(server *Server, query Query) bool {
	return slices.Contains(t.candidates(query), server)
}

// pickRandom returns the first usable server after a random position, preferring near ones, or nil.
func (t *Table) pickRandom(now time.Time, query *Query, candidates []*Server, excluded *Server) *Server {
	offset := t.opts.Random.IntN(len(candidates))
	var remote *Server
	for i := range candidates {
		server := candidates[(offset+i)%len(candidates)]
		if server == excluded || !server.eligible(query) || !server.usable(now, query) {
			continue
		}
		if server.Distance == SameZone {
			return server
		}
		if remote == nil || server.Distance < remote.Distance {
			remote = server
		}
	}
	return remote
}

func leastLoaded(now time.Time, query *Query, candidates []*Server) *Server {
	var best *Server
	for _, server := range candidates {
		if !server.eligible(query) || server.baselineFull() || server.isEjected(now) {
			continue
		}
		if best == nil || server.baselineLoad() < best.baselineLoad() {
			best = server
		}
	}
	return best
}

// Start records that a request was dispatched to a server.
func (t *Table) Start(server *Server) {
	server.InFlight++
	server.inFlightDelta++
	if server.consecutiveFailures >= ejectThreshold {
		server.probing = true
	}
}

// AddNonUrgent records the start (1) or end (-1) of a request below urgent priority.
func (t *Table) AddNonUrgent(id vrid.ServerID, change int) {
	if server := t.servers[id]; server != nil {
		server.nonUrgentInFlight = max(0, server.nonUrgentInFlight+change)
	}
}

// RecordPrefix records that a server now has a prompt's prefix in its cache.
func (t *Table) RecordPrefix(server *Server, model vrid.ModelID, prefix uint64) {
	if prefix != 0 && !t.opts.LeastLoaded {
		t.prefixes.put(model, prefix, server.ID)
	}
}

// End records that a dispatched request ended, and whether the server was healthy.
func (t *Table) End(now time.Time, id vrid.ServerID, ok bool) {
	server := t.servers[id]
	if server == nil {
		return
	}
	server.InFlight = max(0, server.InFlight-1)
	server.inFlightDelta--
	server.probing = false
	for i := range server.replicas {
		t.freedModels = append(t.freedModels, server.replicas[i].Model)
	}
	if ok {
		server.consecutiveFailures = 0
		return
	}
	server.consecutiveFailures++
	server.ejectedAt = now
}

// RecordBusy records that a server refused a request because it is full. It gets no requests for
// busyBackoff.
func (t *Table) RecordBusy(now time.Time, id vrid.ServerID) {
	if server := t.servers[id]; server != nil {
		server.busyUntil = now.Add(busyBackoff)
	}
}

// TakeFreedModels returns the models whose servers may have free slots since the last call. The
// slice is valid until the next End.
func (t *Table) TakeFreedModels() []vrid.ModelID {
	freed := t.freedModels
	t.freedModels = t.freedModels[:0]
	return freed
}

// RecordFirstToken records the time from a dispatch to the first token. A server that is much
// slower than its pool is ejected and probed like a failing one.
func (t *Table) RecordFirstToken(now time.Time, id vrid.ServerID, elapsed time.Duration) {
	server := t.servers[id]
	if server == nil || server.poolLatency == nil || t.opts.LeastLoaded {
		return
	}
	server.poolLatency.add(elapsed)
	server.firstTokenLatency.add(elapsed)
	if !server.isSlow() || t.tooManyEjected(now, server.Pool) {
		return
	}
	server.consecutiveFailures = ejectThreshold
	server.ejectedAt = now
	server.firstTokenLatency = movingAverage{}
}

// tooManyEjected reports whether more than a third of the pool would be ejected with one more
// server: if most servers are slow, the cause is load and not a fault, and ejecting them would
// make the load on the others worse.
func (t *Table) tooManyEjected(now time.Time, pool vrid.PoolID) bool {
	const poolDivisor = 3
	ejected := 0
	for _, server := range t.byPool[pool] {
		if server.consecutiveFailures >= ejectThreshold && now.Sub(server.ejectedAt) < ejectDuration {
			ejected++
		}
	}
	return (ejected+1)*poolDivisor > len(t.byPool[pool])
}

// InFlightInZone returns the number of requests in flight from this daemon to servers of its zone.
func (t *Table) InFlightInZone() int {
	inFlight := 0
	for _, server := range t.servers {
		if server.Distance == SameZone {
			inFlight += server.InFlight
		}
	}
	return inFlight
}

// RemoveReplica records that a server does not hold a model although the view says so.
func (t *Table) RemoveReplica(id vrid.ServerID, model vrid.ModelID) {
	t.byModel[model] = slices.DeleteFunc(t.byModel[model], func(s *Server) bool { return s.ID == id })
}

// Addresses returns the addresses of the servers of a pool that are not gone, nearest first.
func (t *Table) Addresses(pool vrid.PoolID) []string {
	servers := slices.Clone(t.byPool[pool])
	slices.SortStableFunc(servers, func(a, b *Server) int {
		if a.Distance != b.Distance {
			return int(a.Distance) - int(b.Distance)
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	var addresses []string
	for _, server := range servers {
		if server.State != vrwire.ServerGone {
			addresses = append(addresses, server.Address)
		}
	}
	return addresses
}

// FreeRemoteSlots returns the number of free slots of the servers in other zones that may serve a
// query.
func (t *Table) FreeRemoteSlots(query Query) int {
	slots := 0
	for _, server := range t.candidates(query) {
		if server.Distance != SameZone && server.eligible(&query) && server.consecutiveFailures < ejectThreshold {
			slots += max(0, server.Slots-int(server.load()))
		}
	}
	return slots
}

// eligible reports whether a server may serve the query at all, full or not.
func (s *Server) eligible(query *Query) bool {
	if s.State != vrwire.ServerLive && !vrfault.On(vrfault.RouteToLeaving) {
		return false
	}
	if s.ID == query.Exclude {
		return false
	}
	if s.Distance == OtherRegion && !query.CrossRegion {
		return false
	}
	return query.Adapter == "" || s.holdsAdapter(query.Model, query.Adapter)
}
