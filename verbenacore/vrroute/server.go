package vrroute

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// ejectThreshold is the number of consecutive failures after which a server is ejected,
	// which means that it gets no requests for a while.
	ejectThreshold = 3
	// ejectDuration is how long a server stays ejected before one request probes it.
	ejectDuration = 2 * time.Second
	// busyBackoff is how long a server that refused a request because it is full gets no other.
	busyBackoff = 100 * time.Millisecond
	// otherZoneCost and otherRegionCost are added to the load of servers in other zones and
	// regions, in requests.
	otherZoneCost   = 0.5
	otherRegionCost = 4
	// idleFraction is the fraction of free slots above which a server counts as idle: urgent
	// requests of each daemon may then exceed its share by idleBurstFraction of the free slots.
	idleFraction      = 0.5
	idleBurstFraction = 0.25
	// affinityTolerance is how much higher the cost of a server with the prompt's prefix in
	// its cache may be than that of the other choice, as a fraction of its slots.
	affinityTolerance = 0.25
)

// maxFillRatio is the maximum ratio of requests to slots up to which a rank may fill a server.
// The reserve above a lower rank lets an urgent request start without waiting for a lower one
// to end. Engines queue by priority, so urgent requests beyond the slots would delay the requests
// that the floor of a lower rank guarantees.
func maxFillRatio(rank vrid.Rank, belowFloor bool) float64 {
	const urgent, normal, deferred, floor = 1.0, 1.0, 0.9, 1.1
	switch {
	case belowFloor:
		return floor
	case rank == vrid.RankUrgent:
		return urgent
	case rank == vrid.RankNormal:
		return normal
	}
	return deferred
}

// baselineFillRatio is the same for the baseline policy, which Options.LeastLoaded selects.
const baselineFillRatio = 1.25

// Distance is how far a server is from this daemon.
type Distance uint8

// Distances, from near to far.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Server is the state of one back end as this daemon sees it.
type Server struct {
	ID       vrid.ServerID
	Pool     vrid.PoolID
	Zone     vrid.ZoneID
	Address  string
	Distance Distance
	State    vrwire.ServerState
	Slots    int
	// ReportedLoad is the number of running and waiting requests in the latest report, which lags.
	ReportedLoad int
	// InFlight counts the requests in flight that this daemon sent.
	InFlight int
	// Share is the fraction of the slots that this daemon may use.
	Share float64
	// nonUrgentInFlight counts the requests in flight below urgent priority. Beside them, urgent
	// requests may exceed the share by one: a share of one or two slots leaves no room for a
	// reserve, and the engine runs the urgent request first. Requests that a floor guarantees
	// have urgent priority and do not count, or a flood of urgent requests would take the time
	// that the floor guarantees.
	nonUrgentInFlight int
	// shareRounding is a random number between 0 and 1, added to the share's slots before they
	// are rounded down. It differs by server and daemon, so that the fractions of slots in the
	// shares of all daemons are on average used once in total.
	shareRounding float64
	// inFlightDelta is the change of this daemon's requests in flight since the latest report.
	inFlightDelta       int
	reportSequence      uint64
	replicas            []vrwire.ReplicaItem
	consecutiveFailures int
	// busyUntil is when a server that refused a request because it was full gets requests again.
	busyUntil         time.Time
	ejectedAt         time.Time
	probing           bool
	firstTokenLatency movingAverage
	poolLatency       *poolLatency
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
	if reported != s.ReportedLoad || item.Sequence != s.reportSequence {
		s.inFlightDelta = 0
	}
	s.reportSequence = item.Sequence
	s.ReportedLoad = reported
	s.Share = update.Share
	s.replicas = item.Replicas
}

func (s *Server) holdsAdapter(model vrid.ModelID, adapter vrid.AdapterID) bool {
	for i := range s.replicas {
		if s.replicas[i].Model == model {
			return slices.Contains(s.replicas[i].Adapters, adapter)
		}
	}
	return false
}

// load estimates the number of requests at a server: the reported one plus what this daemon
// started and finished since, and at least this daemon's requests in flight.
func (s *Server) load() float64 {
	return float64(max(s.ReportedLoad+s.inFlightDelta, s.InFlight))
}

func (s *Server) baselineLoad() int { return max(s.ReportedLoad, s.InFlight) }

func (s *Server) baselineFull() bool {
	return float64(s.baselineLoad()) >= float64(s.Slots)*baselineFillRatio
}

// full reports whether the server has no free slot for a request of this daemon.
func (s *Server) full(query *Query) bool {
	capacity := float64(s.Slots) * maxFillRatio(query.Rank, query.BelowFloor)
	if s.Share <= 0 {
		return s.load() >= capacity
	}
	// Shares add up to the whole server. The report lags by more than the duration of a request,
	// so with a limit on the reported load all daemons would stop and start at the same time.
	capacity = s.Share*capacity + s.shareRounding
	if free := float64(s.Slots) - s.load(); query.Rank == vrid.RankUrgent && free > float64(s.Slots)*idleFraction {
		capacity += free * idleBurstFraction
	}
	limit := max(1, int(capacity))
	if query.Rank == vrid.RankUrgent {
		limit += min(s.nonUrgentInFlight, 1)
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

// isEjected reports whether the server is ejected. After ejectDuration it gets one probe.
func (s *Server) isEjected(now time.Time) bool {
	return s.consecutiveFailures >= ejectThreshold && (s.probing || now.Sub(s.ejectedAt) < ejectDuration)
}

// usable reports whether the server may get a request now.
func (s *Server) usable(now time.Time, query *Query) bool {
	return !s.full(query) && !s.isEjected(now) && !now.Before(s.busyUntil)
}

// movingAverage is an exponentially weighted moving average of durations.
type movingAverage struct {
	mean    time.Duration
	samples int
}

func (m *movingAverage) add(value time.Duration) {
	const smoothing = 8
	if m.samples == 0 {
		m.mean = value
	}
	m.samples++
	m.mean += (value - m.mean) / smoothing
}

// poolLatency is the average time to the first token over all servers of a pool.
type poolLatency struct {
	movingAverage
}

// isSlow reports whether the server's average time to the first token is much longer than that of
// its pool.
func (s *Server) isSlow() bool {
	const minSamples, factor, minMean = 8, 4, 250 * time.Millisecond
	return s.firstTokenLatency.samples >= minSamples && s.firstTokenLatency.mean > minMean && s.firstTokenLatency.mean > factor*s.poolLatency.mean
}
