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

const (
	// ejectAfter consecutive failures set a server aside.
	ejectAfter = 3
	// ejectFor is how long it stays aside before one request probes it.
	ejectFor = 2 * time.Second
	// otherZoneCost and otherRegionCost are added to the load of servers further away,
	// in requests.
	otherZoneCost   = 0.5
	otherRegionCost = 4
	// overload is how far past its slots a server may be filled: engines queue by
	// priority, and a short queue keeps the batch full.
	overload = 1.25
)

// Distance is how far a server is.
type Distance uint8

// Distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Server is one back end as the router sees it.
type Server struct {
	ID       vrid.ServerID
	Pool     vrid.PoolID
	Zone     vrid.ZoneID
	Address  string
	Distance Distance
	State    vrwire.ServerState
	Slots    int
	// Reported is the load of the newest report, which lags.
	Reported int
	// InFlight counts this daemon's own requests.
	InFlight int
	// Share is the part of the slots that this daemon may use.
	Share    float64
	models   []vrwire.ReplicaItem
	failures int
	ejected  time.Time
	probing  bool
}

// Query is what a request needs.
type Query struct {
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	// Pool is set instead of Model for plain services.
	Pool    vrid.PoolID
	Exclude vrid.ServerID
	// CrossRegion allows servers of other regions.
	CrossRegion bool
}

// Table holds the back ends.
type Table struct {
	servers map[vrid.ServerID]*Server
	// byModel and byPool list the servers that may serve a query. Idle models have no
	// entry, so a choice costs the same with many of them.
	byModel map[vrid.ModelID][]*Server
	byPool  map[vrid.PoolID][]*Server
	random  *rand.Rand
}

// New returns an empty table.
func New(random *rand.Rand) *Table {
	return &Table{
		servers: make(map[vrid.ServerID]*Server),
		byModel: make(map[vrid.ModelID][]*Server),
		byPool:  make(map[vrid.PoolID][]*Server),
		random:  random,
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
	clear(t.byModel)
	clear(t.byPool)
	for _, update := range updates {
		seen[update.Item.Server] = true
		server := t.servers[update.Item.Server]
		if server == nil {
			server = &Server{ID: update.Item.Server}
			t.servers[server.ID] = server
		}
		server.apply(update)
		t.byPool[server.Pool] = append(t.byPool[server.Pool], server)
		for _, replica := range server.models {
			if replica.State == vrwire.ReplicaLoaded {
				t.byModel[replica.Model] = append(t.byModel[replica.Model], server)
			}
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

func (s *Server) apply(update Update) {
	item := update.Item
	s.Pool = item.Pool
	s.Zone = item.Zone
	s.Address = item.Address
	s.Distance = update.Distance
	s.State = item.State
	s.Slots = int(item.Slots)
	s.Reported = int(item.Running + item.Waiting)
	s.Share = update.Share
	s.models = item.Replicas
}

// Server returns a back end or nil.
func (t *Table) Server(id vrid.ServerID) *Server { return t.servers[id] }

// Loaded reports whether any server may hold the model, full or not.
func (t *Table) Loaded(query Query) bool {
	for _, server := range t.candidates(query) {
		if server.eligible(query) {
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

func (s *Server) eligible(query Query) bool {
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

func (s *Server) holdsAdapter(model vrid.ModelID, adapter vrid.AdapterID) bool {
	for i := range s.models {
		if s.models[i].Model == model {
			return slices.Contains(s.models[i].Adapters, adapter)
		}
	}
	return false
}

// load estimates the requests at a server. The report lags, so the daemon's own count
// is used when it is higher.
func (s *Server) load() float64 {
	return float64(max(s.Reported, s.InFlight))
}

// full reports whether the server has no place for this daemon.
func (s *Server) full() bool {
	if s.load() >= float64(s.Slots)*overload {
		return true
	}
	return s.Share > 0 && float64(s.InFlight) >= max(1, s.Share*float64(s.Slots)*overload)
}

func (s *Server) cost() float64 {
	cost := s.load() / float64(max(s.Slots, 1))
	switch s.Distance {
	case SameRegion:
		cost += otherZoneCost / float64(max(s.Slots, 1))
	case OtherRegion:
		cost += otherRegionCost / float64(max(s.Slots, 1))
	case SameZone:
	}
	return cost
}

// usable reports whether the server may get a request now; an ejected server gets one
// probe after its time.
func (s *Server) usable(now time.Time) bool {
	if s.full() {
		return false
	}
	if s.failures < ejectAfter {
		return true
	}
	return !s.probing && now.Sub(s.ejected) >= ejectFor
}

// Choose returns the better of two random usable servers, or nil. It allocates nothing.
func (t *Table) Choose(now time.Time, query Query) *Server {
	candidates := t.candidates(query)
	if len(candidates) == 0 {
		return nil
	}
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

// pick returns the first usable server from a random place on.
func (t *Table) pick(now time.Time, query Query, candidates []*Server, not *Server) *Server {
	start := t.random.IntN(len(candidates))
	for i := range candidates {
		server := candidates[(start+i)%len(candidates)]
		if server != not && server.eligible(query) && server.usable(now) {
			return server
		}
	}
	return nil
}

// Start notes a dispatch.
func (t *Table) Start(server *Server) {
	server.InFlight++
	if server.failures >= ejectAfter {
		server.probing = true
	}
}

// End notes the end of a dispatch.
func (t *Table) End(now time.Time, id vrid.ServerID, ok bool) {
	server := t.servers[id]
	if server == nil {
		return
	}
	server.InFlight = max(0, server.InFlight-1)
	server.probing = false
	if ok {
		server.failures = 0
		return
	}
	server.failures++
	server.ejected = now
}

// Missing notes that a server does not hold a model although the view says so.
func (t *Table) Missing(id vrid.ServerID, model vrid.ModelID) {
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
