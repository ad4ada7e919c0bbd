// Package vrchoice chooses the server for a request. The load pattern behind it: slots
// are plentiful and unevenly used, a few servers are slow or fail part of their requests,
// and crossing a region costs little time beside an answer.
package vrchoice

import (
	"math/rand/v2"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// Weights of the cost, which is the delay in seconds that a request is expected to meet.
const (
	// fullDelay is the delay at a server whose slots are all taken.
	fullDelay = 0.2
	// otherZoneDelay and otherRegionDelay keep requests near while servers are even: a
	// daemon knows most of what is sent to the servers of its own zone.
	otherZoneDelay   = 0.01
	otherRegionDelay = 0.03
	// paceMost bounds what a slow server's mean time to the first byte counts.
	paceMost = 0.5
	// failureDelay is the delay by a failed send.
	failureDelay = 1.0
	// spread is the random part, which keeps daemons with the same view from sending
	// everything to one server.
	spread = 0.01
)

// Need is what a request needs of a server.
type Need struct {
	Service vrid.ServiceID
	Model   vrid.ModelID
	Adapter vrid.AdapterID
	// Exclude are servers that this request has been sent to.
	Exclude []vrid.ServerID
}

// Lack says why no server was chosen.
type Lack uint8

// Reasons for no choice, the least hopeful first.
const (
	LackNone Lack = iota
	// LackServers: no server of the service takes work.
	LackServers
	// LackModel: no server holds the model.
	LackModel
	// LackAdapter: servers hold the model, none the adapter.
	LackAdapter
	// LackHealthy: all servers that could are set aside or were tried.
	LackHealthy
)

// Chooser chooses from one daemon's view.
type Chooser struct {
	Fleet  *vrfleet.Fleet
	Random *rand.Rand
	Zone   vrid.ZoneID
	// Regions maps each availability zone to its region.
	Regions map[vrid.ZoneID]vrid.RegionID
}

// Best returns the cheapest server, or what is lacking.
func (c *Chooser) Best(now time.Time, need Need) (*vrfleet.Server, Lack) {
	lack := LackServers
	var usable []*vrfleet.Server
	for _, server := range c.Fleet.Of(need.Service) {
		missing := c.lacks(now, server, &need)
		if missing == LackNone {
			usable = append(usable, server)
			continue
		}
		lack = max(lack, missing)
	}
	if len(usable) == 0 {
		return nil, lack
	}
	return c.cheapest(now, usable), LackNone
}

func (c *Chooser) lacks(now time.Time, server *vrfleet.Server, need *Need) Lack {
	switch {
	case !server.Takes():
		return LackServers
	case need.Model != "" && !server.Holds(now, need.Model):
		return LackModel
	case need.Adapter != "" && !server.HoldsAdapter(now, need.Model, need.Adapter):
		return LackAdapter
	case server.Aside(now), slices.Contains(need.Exclude, server.ID):
		return LackHealthy
	}
	return LackNone
}

func (c *Chooser) cheapest(now time.Time, usable []*vrfleet.Server) *vrfleet.Server {
	fastest := time.Duration(0)
	for _, server := range usable {
		if pace := server.Pace(); pace > 0 && (fastest == 0 || pace < fastest) {
			fastest = pace
		}
	}
	var best *vrfleet.Server
	lowest := 0.0
	for _, server := range usable {
		cost := c.cost(now, server, fastest)
		if best == nil || cost < lowest {
			best, lowest = server, cost
		}
	}
	return best
}

func (c *Chooser) cost(now time.Time, server *vrfleet.Server, fastest time.Duration) float64 {
	cost := fullDelay * float64(server.Busy(now)) / float64(max(server.Slots, 1))
	cost += c.Fleet.Backlog(server).Seconds()
	switch {
	case server.Zone == c.Zone:
	case c.Regions[server.Zone] == c.Regions[c.Zone]:
		cost += otherZoneDelay
	default:
		cost += otherRegionDelay
	}
	known := failureDelay * server.FailureRate()
	if pace := server.Pace(); fastest > 0 && pace > fastest {
		known += min((pace - fastest).Seconds(), paceMost)
	}
	return cost + known*server.Memory(now) + spread*c.Random.Float64()
}
