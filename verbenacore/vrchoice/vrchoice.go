// Package vrchoice selects the server for a request, by the lowest expected delay. It is
// designed for this workload: slots are plentiful and unevenly used, a few servers are slow
// or fail some of their requests, and the latency between regions is small compared with the
// time of a response.
package vrchoice

import (
	"math/rand/v2"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// Terms of a server's cost, which is the expected delay of a request in seconds.
const (
	// fullSlotsDelay is the delay at a server whose slots are all in use. Partial use costs
	// proportionally less.
	fullSlotsDelay = 0.2
	// otherZoneDelay and otherRegionDelay prefer nearby servers when the other costs are
	// equal, because a daemon knows most of the requests sent to the servers of its own
	// availability zone.
	otherZoneDelay   = 0.01
	otherRegionDelay = 0.03
	// maxLatencyPenalty limits the cost of a server's slower time to the first byte.
	maxLatencyPenalty = 0.5
	// failurePenalty is the delay caused by a failed send; it is weighted by the failure rate.
	failurePenalty = 1.0
	// costJitter is the size of the random term, which keeps daemons with the same view
	// from sending everything to one server.
	costJitter = 0.01
)

// Requirements describes the servers that a request can be sent to.
type Requirements struct {
	Service vrid.ServiceID
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	// Exclude lists the servers that the request was already sent to.
	Exclude []vrid.ServerID
	// Room is what the request needs of a server's capacity.
	Room vrfleet.RoomNeed
	// ByCompletion selects the server with the least expected completion, see completion.go. PromptTokens is
	// the length of the request's prompt.
	ByCompletion bool
	PromptTokens int
}

// Missing says why no server could be selected.
type Missing uint8

// Reasons why no server was selected. Best returns the highest that applies to any server
// of the service, which is the one closest to being resolved.
const (
	MissingNone Missing = iota
	// MissingServer: no server of the service accepts work.
	MissingServer
	// MissingModel: no server has the model loaded.
	MissingModel
	// MissingAdapter: servers have the model loaded, but none has the adapter.
	MissingAdapter
	// MissingHealthyServer: all servers that have the model and adapter are ejected or
	// excluded.
	MissingHealthyServer
	// MissingRoom: all healthy servers that have the model and adapter are full.
	MissingRoom
)

// Chooser selects servers from one daemon's view of the fleet.
type Chooser struct {
	Fleet  *vrfleet.Fleet
	Random *rand.Rand
	Zone   vrid.ZoneID
	// Regions maps each availability zone to its region.
	Regions map[vrid.ZoneID]vrid.RegionID
	// usable is reused by Best, so that a choice allocates nothing.
	usable []*vrfleet.Server

	// candidates is reused by leastCompletion.
	candidates []candidate
}

// Best returns the server with the lowest cost, or nil and the reason why there is none.
func (c *Chooser) Best(now time.Time, need Requirements) (*vrfleet.Server, Missing) {
	if need.ByCompletion {
		return c.leastCompletion(now, &need)
	}
	missing := MissingServer
	usable := c.usable[:0]
	for _, server := range c.Fleet.ServersOf(need.Service) {
		serverMissing := c.missingFrom(now, server, &need)
		if serverMissing == MissingNone {
			usable = append(usable, server)
			continue
		}
		missing = max(missing, serverMissing)
	}
	c.usable = usable
	if len(usable) == 0 {
		return nil, missing
	}
	return c.cheapest(now, usable), MissingNone
}

// FreeTokens returns the largest number of tokens that a server with a slot has free for a request, or -1 and why
// there is none. need.Room.Tokens does not count.
func (c *Chooser) FreeTokens(now time.Time, need *Requirements) (int, Missing) {
	need.Room.Tokens = 0
	free, missing := -1, MissingServer
	for _, server := range c.Fleet.ServersOf(need.Service) {
		serverMissing := c.missingFrom(now, server, need)
		if serverMissing == MissingNone {
			free = max(free, server.FreeTokens(now, &need.Room))
		}
		missing = max(missing, serverMissing)
	}
	if free >= 0 {
		return free, MissingNone
	}
	return free, missing
}

// FreeTokensAt returns how many tokens a server has free for a request, or -1 if it can't serve it.
// need.Room.Tokens does not count.
func (c *Chooser) FreeTokensAt(now time.Time, server *vrfleet.Server, need *Requirements) int {
	need.Room.Tokens = 0
	if server.Service != need.Service || c.missingFrom(now, server, need) != MissingNone {
		return -1
	}
	return server.FreeTokens(now, &need.Room)
}

// CanServe reports whether the server accepts work and has what the request needs. An ejected, excluded or
// full server may still serve a request for which it has reserved a place.
func (c *Chooser) CanServe(now time.Time, server *vrfleet.Server, need Requirements) bool {
	missing := c.missingFrom(now, server, &need)
	return missing == MissingNone || missing == MissingHealthyServer || missing == MissingRoom
}

// missingFrom returns the first requirement that the server does not meet.
func (c *Chooser) missingFrom(now time.Time, server *vrfleet.Server, need *Requirements) Missing {
	switch {
	case !server.AcceptsWork():
		return MissingServer
	case need.Model != "" && !server.HasModel(now, need.Model):
		return MissingModel
	case need.Adapter != "" && !server.HasAdapter(now, need.Model, need.Adapter):
		return MissingAdapter
	case server.Ejected(now), slices.Contains(need.Exclude, server.ID):
		return MissingHealthyServer
	case !server.HasRoom(now, &need.Room):
		return MissingRoom
	}
	return MissingNone
}

func (c *Chooser) cheapest(now time.Time, usable []*vrfleet.Server) *vrfleet.Server {
	fastest := time.Duration(0)
	for _, server := range usable {
		if latency := server.FirstByteLatency(); latency > 0 && (fastest == 0 || latency < fastest) {
			fastest = latency
		}
	}
	var best *vrfleet.Server
	lowestCost := 0.0
	for _, server := range usable {
		cost := c.cost(now, server, fastest)
		if best == nil || cost < lowestCost {
			best, lowestCost = server, cost
		}
	}
	return best
}

// cost returns the expected delay of a request at the server, in seconds. fastest is the lowest
// time to the first byte of the usable servers, zero if none was measured.
func (c *Chooser) cost(now time.Time, server *vrfleet.Server, fastest time.Duration) float64 {
	cost := fullSlotsDelay * float64(server.EstimatedRequests(now)) / float64(max(server.Slots, 1))
	cost += c.Fleet.Backlog(server).Seconds()
	switch {
	case server.Zone == c.Zone:
	case c.Regions[server.Zone] == c.Regions[c.Zone]:
		cost += otherZoneDelay
	default:
		cost += otherRegionDelay
	}
	penalty := failurePenalty * server.FailureRate()
	if latency := server.FirstByteLatency(); fastest > 0 && latency > fastest {
		penalty += min((latency - fastest).Seconds(), maxLatencyPenalty)
	}
	return cost + penalty*server.OutcomeWeight(now) + costJitter*c.Random.Float64()
}
