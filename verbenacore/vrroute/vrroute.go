// Package vrroute chooses the replica for a request from the zone view, the daemon's
// own requests in flight and what recent attempts showed.
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

// Options of a table.
type Options struct {
	Random *rand.Rand
	// LeastLoaded is the plain way: the least loaded replica by its report, wherever it
	// stands, without shares, reserves, affinity or ejection of slow servers.
	LeastLoaded bool
}

// Query is what a request needs.
type Query struct {
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	// Pool is set instead of Model for plain services.
	Pool    vrid.PoolID
	Exclude vrid.ServerID
	Rank    vrid.Rank
	// BelowFloor is set when the rank is below its floor: the reserve of the ranks above it
	// does not hold it back.
	BelowFloor bool
	// Prefix is a hash of the first part of the prompt, or 0.
	Prefix uint64
	// CrossRegion allows servers of other regions.
	CrossRegion bool
}

// Table holds the back ends.
type Table struct {
	opts    Options
	servers map[vrid.ServerID]*Server
	// byModel and byPool list the servers that may serve a query. Idle models have no
	// entry, so a choice costs the same with many of them.
	byModel  map[vrid.ModelID][]*Server
	byPool   map[vrid.PoolID][]*Server
	pools    map[vrid.PoolID]*poolLatency
	prefixes prefixes
	// changed lists the models whose servers may have room since the last TakeChanged.
	changed []vrid.ModelID
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts:     opts,
		servers:  make(map[vrid.ServerID]*Server),
		byModel:  make(map[vrid.ModelID][]*Server),
		byPool:   make(map[vrid.PoolID][]*Server),
		pools:    make(map[vrid.PoolID]*poolLatency),
		prefixes: newPrefixes(),
	}
}

// Update is one server of a new view.
type Update struct {
	Item     vrwire.ServerItem
	Distance Distance
	Share    float64
}

// SetServers replaces the back ends and keeps what is known of those that stay.
func (t *Table) SetServers(updates []Update) {
	seen := make(map[vrid.ServerID]bool, len(updates))
	for model, servers := range t.byModel {
		t.byModel[model] = servers[:0]
	}
	clear(t.byPool)
	for _, update := range updates {
		seen[update.Item.Server] = true
		server := t.servers[update.Item.Server]
		if server == nil {
			server = &Server{ID: update.Item.Server, rounding: t.opts.Random.Float64()}
			t.servers[server.ID] = server
		}
		server.apply(update)
		server.latencies = t.poolLatency(server.Pool)
		t.byPool[server.Pool] = append(t.byPool[server.Pool], server)
		for _, replica := range server.models {
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
		if !seen[id] && server.InFlight == 0 {
			delete(t.servers, id)
		} else if !seen[id] {
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

// Server returns a back end or nil.
func (t *Table) Server(id vrid.ServerID) *Server { return t.servers[id] }

// Loaded reports whether any server may hold the model, full or not. One that failed
// repeatedly does not count: it may be gone, and a load should start before the view
// says so. It counts again when its probe is due, as a request that is refused as cold
// would never probe it.
func (t *Table) Loaded(now time.Time, query Query) bool {
	for _, server := range t.candidates(query) {
		if server.eligible(&query) && (t.opts.LeastLoaded || !server.ejectedNow(now)) {
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

// Choose returns the better of two random usable servers of the nearest zone that has
// one, or nil. It allocates nothing.
func (t *Table) Choose(now time.Time, query Query) *Server {
	candidates := t.candidates(query)
	if len(candidates) == 0 {
		return nil
	}
	if t.opts.LeastLoaded {
		return leastLoaded(now, &query, candidates)
	}
	best := t.better(now, &query, candidates)
	if best == nil || query.Prefix == 0 {
		return best
	}
	if warm := t.servers[t.prefixes.find(query.Model, query.Prefix)]; warm != nil && warm != best {
		usable := warm.eligible(&query) && warm.usable(now, &query) && t.holds(warm, query)
		if usable && warm.cost() <= best.cost()+affinityGain {
			return warm
		}
	}
	return best
}

// better returns the better of two random usable servers.
func (t *Table) better(now time.Time, query *Query, candidates []*Server) *Server {
	first := t.pick(now, query, candidates, nil)
	if first == nil {
		return nil
	}
	second := t.pick(now, query, candidates, first)
	if second != nil && second.cost() < first.cost() {
		return second
	}
	return first
}

func (t *Table) holds(server *Server, query Query) bool {
	return slices.Contains(t.candidates(query), server)
}

// pick returns the first usable server from a random place on, nearer servers first.
func (t *Table) pick(now time.Time, query *Query, candidates []*Server, not *Server) *Server {
	start := t.opts.Random.IntN(len(candidates))
	var far *Server
	for i := range candidates {
		server := candidates[(start+i)%len(candidates)]
		if server == not || !server.eligible(query) || !server.usable(now, query) {
			continue
		}
		if server.Distance == SameZone {
			return server
		}
		if far == nil || server.Distance < far.Distance {
			far = server
		}
	}
	return far
}

func leastLoaded(now time.Time, query *Query, candidates []*Server) *Server {
	var best *Server
	for _, server := range candidates {
		if !server.eligible(query) || server.plainFull() || server.ejectedNow(now) {
			continue
		}
		if best == nil || server.plainLoad() < best.plainLoad() {
			best = server
		}
	}
	return best
}

// Start notes a dispatch.
func (t *Table) Start(server *Server) {
	server.InFlight++
	server.since++
	if server.failures >= ejectAfter {
		server.probing = true
	}
}

// AddNonUrgent notes the start (1) or end (-1) of a request below urgent priority.
func (t *Table) AddNonUrgent(id vrid.ServerID, change int) {
	if server := t.servers[id]; server != nil {
		server.lower = max(0, server.lower+change)
	}
}

// RecordPrefix notes the prefix that a server now has in its cache.
func (t *Table) RecordPrefix(server *Server, model vrid.ModelID, prefix uint64) {
	if prefix != 0 && !t.opts.LeastLoaded {
		t.prefixes.put(model, prefix, server.ID)
	}
}

// End notes the end of a dispatch.
func (t *Table) End(now time.Time, id vrid.ServerID, ok bool) {
	server := t.servers[id]
	if server == nil {
		return
	}
	server.InFlight = max(0, server.InFlight-1)
	server.since--
	server.probing = false
	for i := range server.models {
		t.changed = append(t.changed, server.models[i].Model)
	}
	if ok {
		server.failures = 0
		return
	}
	server.failures++
	server.ejected = now
}

// RecordBusy notes that a server took no more requests; it gets none until it worked off some.
func (t *Table) RecordBusy(now time.Time, id vrid.ServerID) {
	if server := t.servers[id]; server != nil {
		server.busy = now.Add(busyPause)
	}
}

// TakeChanged returns the models whose servers may have room since the last call; the
// slice is valid until the next End.
func (t *Table) TakeChanged() []vrid.ModelID {
	changed := t.changed
	t.changed = t.changed[:0]
	return changed
}

// RecordFirstToken notes the time from a dispatch to its first token. A server that is much
// slower than its pool is set aside and probed like a failing one.
func (t *Table) RecordFirstToken(now time.Time, id vrid.ServerID, elapsed time.Duration) {
	server := t.servers[id]
	if server == nil || server.latencies == nil || t.opts.LeastLoaded {
		return
	}
	server.latencies.add(elapsed)
	server.latency.add(elapsed)
	if !server.slow() || t.setAside(now, server.Pool) {
		return
	}
	server.failures = ejectAfter
	server.ejected = now
	server.latency = smoothed{}
}

// setAside reports whether a third of the pool is set aside already; slowness of most
// servers is load and no fault.
func (t *Table) setAside(now time.Time, pool vrid.PoolID) bool {
	const part = 3
	aside := 0
	for _, server := range t.byPool[pool] {
		if server.failures >= ejectAfter && now.Sub(server.ejected) < ejectFor {
			aside++
		}
	}
	return (aside+1)*part > len(t.byPool[pool])
}

// InFlightInZone returns the number of this daemon's requests in flight in its own zone.
func (t *Table) InFlightInZone() int {
	near := 0
	for _, server := range t.servers {
		if server.Distance == SameZone {
			near += server.InFlight
		}
	}
	return near
}

// RemoveReplica notes that a server does not hold a model although the view says so.
func (t *Table) RemoveReplica(id vrid.ServerID, model vrid.ModelID) {
	t.byModel[model] = slices.DeleteFunc(t.byModel[model], func(s *Server) bool { return s.ID == id })
}

// Addresses lists the servers of a pool that are not gone, the nearest first.
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

// FreeRemoteSlots returns the free places of the servers in other zones that may serve a query.
func (t *Table) FreeRemoteSlots(query Query) int {
	places := 0
	for _, server := range t.candidates(query) {
		if server.Distance != SameZone && server.eligible(&query) && server.failures < ejectAfter {
			places += max(0, server.Slots-int(server.load()))
		}
	}
	return places
}

// eligible reports whether a server may serve the query at all.
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
