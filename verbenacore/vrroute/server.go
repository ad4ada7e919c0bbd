package vrroute

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// ejectAfter consecutive failures set a server aside.
	ejectAfter = 3
	// ejectFor is how long it stays aside before one request probes it.
	ejectFor = 2 * time.Second
	// busyPause is how long a server that refused a request as full gets no other.
	busyPause = 100 * time.Millisecond
	// otherZoneCost and otherRegionCost are added to the load of servers further away,
	// in requests.
	otherZoneCost   = 0.5
	otherRegionCost = 4
	// idlePart is the free part of a server beyond which urgent requests may exceed the
	// daemon's share, each daemon by idleShare of what is free.
	idlePart  = 0.5
	idleShare = 0.25
	// affinityGain is how much fuller, as a part of its slots, a server with the
	// prompt's prefix in its cache may be than the other choice.
	affinityGain = 0.25
)

// fillLimit is how far a rank may fill a server, as a part of its slots. The reserve lets
// an urgent request start without waiting for a lower one to end. Engines queue by
// priority, so urgent work beyond the slots would hold back what a floor is due.
func fillLimit(rank vrid.Rank, due bool) float64 {
	const urgent, normal, deferred, floor = 1.0, 1.0, 0.9, 1.1
	switch {
	case due:
		return floor
	case rank == vrid.RankUrgent:
		return urgent
	case rank == vrid.RankNormal:
		return normal
	}
	return deferred
}

// plainLimit is how far the plain policy fills a server.
const plainLimit = 1.25

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
	Share float64
	// lower counts the requests in flight below urgent priority. Urgent work may exceed a
	// share by one beside them: a share of one or two slots leaves no room for a reserve, and
	// the engine serves it first. What is due to a floor has urgent priority and does not
	// count, or a flood of urgent work would take the floor's time.
	lower int
	// rounding lies between 0 and 1 and differs by server and daemon, so that the parts of
	// slots that shares leave are used once in sum.
	rounding float64
	// since is the change of this daemon's own requests since the newest report.
	since    int
	sequence uint64
	models   []vrwire.ReplicaItem
	failures int
	// busy is until when a server that refused a request as full gets none.
	busy      time.Time
	ejected   time.Time
	probing   bool
	latency   smoothed
	latencies *poolLatency
}

func (s *Server) apply(update Update) {
	item := update.Item
	s.Pool = item.Pool
	s.Zone = item.Zone
	s.Address = item.Address
	s.Distance = update.Distance
	s.State = item.State
	s.Slots = int(item.Slots)
	reported := int(item.Running + item.Waiting)
	if reported != s.Reported || item.Sequence != s.sequence {
		s.since = 0
	}
	s.sequence = item.Sequence
	s.Reported = reported
	s.Share = update.Share
	s.models = item.Replicas
}

func (s *Server) holdsAdapter(model vrid.ModelID, adapter vrid.AdapterID) bool {
	for i := range s.models {
		if s.models[i].Model == model {
			return slices.Contains(s.models[i].Adapters, adapter)
		}
	}
	return false
}

// load estimates the requests at a server: the report with what this daemon sent and
// got back since, and never less than its own requests in flight.
func (s *Server) load() float64 {
	return float64(max(s.Reported+s.since, s.InFlight))
}

func (s *Server) plainLoad() int { return max(s.Reported, s.InFlight) }

func (s *Server) plainFull() bool {
	return float64(s.plainLoad()) >= float64(s.Slots)*plainLimit
}

// full reports whether the server has no place for this daemon's request.
func (s *Server) full(query *Query) bool {
	places := float64(s.Slots) * fillLimit(query.Rank, query.BelowFloor)
	if s.Share <= 0 {
		return s.load() >= places
	}
	// Shares add up to the whole server. The report lags by more than a request lasts, so
	// a limit on it would let all daemons stop and start at the same time.
	places = s.Share*places + s.rounding
	if free := float64(s.Slots) - s.load(); query.Rank == vrid.RankUrgent && free > float64(s.Slots)*idlePart {
		places += free * idleShare
	}
	limit := max(1, int(places))
	if query.Rank == vrid.RankUrgent {
		limit += min(s.lower, 1)
	}
	return s.InFlight >= limit
}

func (s *Server) cost() float64 {
	slots := float64(max(s.Slots, 1))
	cost := s.load() / slots
	switch s.Distance {
	case SameRegion:
		cost += otherZoneCost / slots
	case OtherRegion:
		cost += otherRegionCost / slots
	case SameZone:
	}
	return cost
}

// ejectedNow reports whether the server is set aside; after its time it gets one probe.
func (s *Server) ejectedNow(now time.Time) bool {
	return s.failures >= ejectAfter && (s.probing || now.Sub(s.ejected) < ejectFor)
}

// usable reports whether the server may get a request now.
func (s *Server) usable(now time.Time, query *Query) bool {
	return !s.full(query) && !s.ejectedNow(now) && !now.Before(s.busy)
}

// smoothed is an exponentially weighted mean of times.
type smoothed struct {
	mean    time.Duration
	samples int
}

func (m *smoothed) add(value time.Duration) {
	const weight = 8
	if m.samples == 0 {
		m.mean = value
	}
	m.samples++
	m.mean += (value - m.mean) / weight
}

// poolLatency is the time to the first token over a whole pool.
type poolLatency struct {
	smoothed
}

// slow reports whether the server is much slower than its pool.
func (s *Server) slow() bool {
	const samples, factor, least = 8, 4, 250 * time.Millisecond
	return s.latency.samples >= samples && s.latency.mean > least && s.latency.mean > factor*s.latencies.mean
}
