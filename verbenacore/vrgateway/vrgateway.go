// Package vrgateway decides for a daemon that stands before a fleet of servers which
// register themselves: the course of each client attempt, what waits and what is refused,
// and, as the fleet's placement owner, which models the servers hold. State takes one
// event with its time and returns effects as data; it does no I/O and reads no clock.
package vrgateway

import (
	"math/rand/v2"
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrchoice"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrretry"
)

// Bounds are the figures that a deployment sets.
type Bounds struct {
	// Lease is the least time between orders of two machines to one server.
	Lease time.Duration
	// Retries bounds the requests that are sent to a second server.
	Retries vrretry.Options
	// Ceiling bounds the loads that begin at the weight store.
	Ceiling vrresidence.Ceiling
}

// Options of a daemon's state.
type Options struct {
	Daemon  vrid.DaemonID
	Boot    vrid.BootID
	Address string
	Zone    vrid.ZoneID
	Regions map[vrid.ZoneID]vrid.RegionID
	Bounds  Bounds
	// Random seeds the generator.
	Random uint64
}

// State is one daemon.
type State struct {
	opts    Options
	random  *rand.Rand
	catalog *vrcatalog.Catalog
	fleet   *vrfleet.Fleet
	chooser *vrchoice.Chooser
	budget  *vrretry.Budget
	lease   *vrlease.Lease
	planner *vrresidence.Planner
	calls   map[vrevent.CallID]*call
	waits   map[target]*waitList
	store   storeHealth
	owner   ownerLink
	uses    map[target]*use
	running map[serverModel]uint32
	peers   []vrevent.Peer
	guide   guide
	beatAt  time.Time
	started time.Time
	// leaving is set when the daemon shuts down.
	leaving bool
	// closing is set when the time for the shutdown is nearly over: nothing is sent or
	// waits any more.
	closing bool
	counts  Counts
}

// Counts are totals for the metrics.
type Counts struct {
	Arrived, Sent, Resent, Resumed, Refused, Delivered, Broken, Left uint64
	Orders, OrdersUnknown                                            uint64
}

// New returns the state of a daemon that has just started.
func New(opts Options) *State {
	random := rand.New(rand.NewPCG(opts.Random, uint64(len(opts.Daemon))))
	fleet := vrfleet.New()
	lease := opts.Bounds.Lease
	return &State{
		opts: opts, random: random, fleet: fleet,
		chooser: &vrchoice.Chooser{Fleet: fleet, Random: random, Zone: opts.Zone, Regions: opts.Regions},
		budget:  vrretry.New(opts.Bounds.Retries),
		lease: vrlease.New(vrlease.Options{
			Key: vrplatform.KeyFleetLease, Daemon: opts.Daemon, Boot: opts.Boot, Peer: opts.Address,
			Ops: &vrevent.Ops{}, Random: random,
			Timing: vrlease.Timing{
				Duration: lease / 2, RenewInterval: lease / 5, ReadInterval: lease / 4, UnreachableDuration: lease / 2, QuietPeriod: lease,
			},
		}),
		planner: vrresidence.New(vrresidence.Options{Ceiling: opts.Bounds.Ceiling}),
		calls:   make(map[vrevent.CallID]*call),
		waits:   make(map[target]*waitList),
		uses:    make(map[target]*use),

		running: make(map[serverModel]uint32),
	}
}

// Catalog returns the catalog in force, or nil.
func (s *State) Catalog() *vrcatalog.Catalog { return s.catalog }

// Counts returns the totals so far.
func (s *State) Counts() Counts { return s.counts }

// Waiting is the number of calls that wait for a server.
func (s *State) Waiting() int {
	count := 0
	for _, list := range s.waits {
		count += len(list.calls)
	}
	return count
}

// Open is the number of calls that have not ended.
func (s *State) Open() int { return len(s.calls) }

// Owns reports whether this daemon is the fleet's placement owner.
func (s *State) Owns(now time.Time) bool { return s.lease.Confirmed(now) }

// Reduce takes one event.
func (s *State) Reduce(now time.Time, event vrevent.Event, out *vrevent.Effects) {
	if s.started.IsZero() {
		s.started = now
	}
	switch e := event.(type) {
	case vrevent.Tick:
		s.tick(now, out)
	case vrevent.CallArrived:
		s.arrive(now, e.Call, out)
	case vrevent.FirstByteReceived:
		s.sendBegan(e)
	case vrevent.SendEnded:
		s.sendEnded(now, e, out)
	case vrevent.ClientGone:
		s.callLeft(now, e, out)
	case vrevent.CatalogSeen:
		s.catalogSeen(e.Catalog, out)
	case vrevent.FleetListed:
		s.fleetListed(now, e, out)
	case vrevent.FleetChanged:
		s.fleetChanged(now, e, out)
	case vrevent.StoreLost:
		s.storeLost(now, e, out)
	case vrevent.StoreRecovered:
		s.storeBack(now, out)
	case vrevent.RetryOptionsChanged:
		s.budget.Bound(e.Options)
	case vrevent.GracePeriodEnding:
		s.graceEnds(now, out)
	case vrevent.PeersListed:
		s.peersListed(e, out)
	case vrevent.ObjectRead:
		s.leaseChanged(now, s.lease.HandleRead(now, e, out), out)
	case vrevent.ObjectWritten:
		s.leaseChanged(now, s.lease.HandleWritten(now, e, out), out)
	case vrevent.OrderEnded:
		s.orderEnded(now, e, out)
	case vrevent.StatusRead:
		s.planner.HandleStatusRead(now, e, s.fleet)
	case vrevent.PeerMessage:
		s.peerMessage(now, e.Envelope, out)
	case vrevent.PeerUnreachable:
		s.owner.lost(now, e.Peer)
	case vrevent.ShutdownRequested:
		s.leaving = true
		s.lease.Release(now, out)
	}
}

func (s *State) tick(now time.Time, out *vrevent.Effects) {
	s.tickStore(now, out)
	s.tickWaits(now, out)
	s.tickLease(now, out)
	s.tickWants(now, out)
	s.tickHeartbeat(now, out)
	s.plan(now, out)
}

// catalogSeen takes a newer catalog. A version never goes back.
func (s *State) catalogSeen(catalog *vrcatalog.Catalog, out *vrevent.Effects) {
	if s.catalog != nil && catalog.Version <= s.catalog.Version && !vrfault.On(vrfault.TakeOldCatalog) {
		return
	}
	s.catalog = catalog
	out.Info("catalog in force", number("version", uint64(catalog.Version)),
		number("routes", uint64(len(catalog.Routes))), number("services", uint64(len(catalog.Services))))
}
