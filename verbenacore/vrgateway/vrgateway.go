// Package vrgateway implements the decision logic of a gateway daemon in front of a fleet of
// servers that register themselves. It decides where each client attempt is sent, which calls
// wait or are refused, and, on the daemon that is the fleet's placement owner, which models the
// servers load. State.Reduce takes one event with its time and returns effects as data; it does
// no I/O and reads no clock.
package vrgateway

import (
	"math/rand/v2"
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrchoice"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrfeed"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrquarantine"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrretry"
	"verbenaroute.example/verbenacore/vrwire"
)

// Bounds are the limits that a deployment configures.
type Bounds struct {
	// Lease is the minimum time between placement orders that two different daemons give to
	// the same server.
	Lease time.Duration
	// Retries is the budget for requests that are sent to another server after a failure.
	Retries vrretry.Options
	// Ceiling limits the rate of model loads from the weight store.
	Ceiling vrresidence.Ceiling
	// Revocation is the time after which a request with a withdrawn API key must not run, zero if there is no
	// such limit. CatalogApply is the time within which a new key has to be accepted.
	Revocation, CatalogApply time.Duration
	// In each QuotaWindow, a tenant may exceed its quota by the fraction QuotaOverrun and by QuotaSlack, in
	// the unit of the quota.
	QuotaWindow              time.Duration
	QuotaOverrun, QuotaSlack float64
}

// Options configures a State.
type Options struct {
	Daemon vrid.DaemonID
	Boot   vrid.BootID
	// Address is where other daemons reach this one.
	Address string
	Zone    vrid.ZoneID
	// Regions maps each availability zone to its region.
	Regions map[vrid.ZoneID]vrid.RegionID
	Bounds  Bounds
	// CPU is the part of a core that the daemon may use.
	CPU float64
	// FirstStart is set when the whole fleet starts for the first time, so that daemons are still registering.
	FirstStart bool
	// Seed seeds the random number generator.
	Seed uint64
}

// State is the state of one daemon.
type State struct {
	opts        Options
	random      *rand.Rand
	catalog     *vrcatalog.Catalog
	fleet       *vrfleet.Fleet
	chooser     *vrchoice.Chooser
	retryBudget *vrretry.Budget
	lease       *vrlease.Lease
	planner     *vrresidence.Planner
	calls       map[vrevent.CallID]*call
	waitLists   map[target]*waitList
	store       storeHealth
	owner       ownerState
	orders      orderLog
	// ownerDialedAt is when this daemon last dialled the owner, see dialOwner.
	ownerDialedAt time.Time
	// demand counts the calls for each target: those that arrived since the last demand
	// report, and those open.
	demand map[target]*targetDemand
	// inFlight counts the calls that were sent and have not ended, by server and model.
	inFlight map[serverModel]uint32
	// unloading holds the models that servers are about to unload while calls of this daemon are in flight for
	// them. reportedInFlight lists the calls in flight of the last full demand report.
	unloading        map[serverModel]bool
	reportedInFlight []vrwire.ServerInFlight
	peers            []vrevent.Peer
	feed             *vrfeed.Feed
	// feedDaemons is the number of daemons that the feeder of the zone knows.
	feedDaemons     int
	quarantine      quarantineState
	heartbeat       ownerHeartbeat
	heartbeatSentAt time.Time
	catalogProof    catalogProof
	proof           proofState
	// unverified are the calls that wait for a proof of their API key, in the order of their arrival.
	// judgedVersion is the version of the catalog by which all waiting calls were judged.
	unverified    []*call
	judgedVersion vrid.ConfigVersion
	// reports holds the last demand report that was received from each daemon. reportSentAt is when this
	// daemon last sent one that the owner repeats.
	reports      map[vrid.DaemonID]receivedReport
	reportSentAt time.Time
	startedAt    time.Time
	shutdown     shutdownState
	quota        quotaState
	// durations are those of the calls of each route.
	durations map[vrcatalog.RouteID]*callDurations
	admission admission
	counts    Counts
}

// Counts holds the running totals for the metrics.
type Counts struct {
	Arrived, Sent, Resent, Resumed, Refused, Delivered, Broken, CallerGone uint64
	Orders, OrdersUnknown                                                  uint64
	// UnfitLoads counts the loads that the placement owner planned and did not order, because the server had no
	// room for them.
	UnfitLoads uint64
	// Plans counts the placement plans, ServersExamined how often they examined a server for the load of a model.
	Plans, ServersExamined uint64
	// LeavingByResponse and LeavingByDaemon count the servers of which this daemon first learned that they
	// leave from a response, or from another daemon.
	LeavingByResponse, LeavingByDaemon uint64
}

// New returns the state of a daemon that has just started.
func New(opts Options) *State {
	random := rand.New(rand.NewPCG(opts.Seed, uint64(len(opts.Daemon))))
	fleet := vrfleet.New()
	lease := opts.Bounds.Lease
	s := &State{
		opts: opts, random: random, fleet: fleet,
		chooser:     &vrchoice.Chooser{Fleet: fleet, Random: random, Zone: opts.Zone, Regions: opts.Regions},
		retryBudget: vrretry.New(opts.Bounds.Retries),
		lease: vrlease.New(vrlease.Options{
			Key: vrplatform.KeyFleetLease, Daemon: opts.Daemon, Boot: opts.Boot, Peer: opts.Address,
			Ops: &vrevent.Ops{}, Random: random, ReplaceMalformed: true,
			Timing: vrlease.Timing{
				Duration: lease / 2, RenewInterval: lease / 5, ReadInterval: lease / 4, UnreachableDuration: lease / 2, QuietPeriod: lease,
				LongHold: longHold,
			},
		}),
		planner:   vrresidence.New(vrresidence.Options{Ceiling: opts.Bounds.Ceiling}),
		calls:     make(map[vrevent.CallID]*call),
		waitLists: make(map[target]*waitList),
		demand:    make(map[target]*targetDemand),

		inFlight:  make(map[serverModel]uint32),
		unloading: make(map[serverModel]bool),
		feed:      vrfeed.New(opts.Daemon),
		durations: make(map[vrcatalog.RouteID]*callDurations),
		reports:   make(map[vrid.DaemonID]receivedReport),

		quarantine: quarantineState{parts: vrquarantine.New(opts.Daemon)},
	}
	s.initAdmission()
	return s
}

// Catalog returns the catalog in force, or nil.
func (s *State) Catalog() *vrcatalog.Catalog { return s.catalog }

// Counts returns the running totals.
func (s *State) Counts() Counts { return s.counts }

// WaitingCalls returns the number of calls that wait for a server, for the clearance of their
// prompt, for a proof of their API key or for credit.
func (s *State) WaitingCalls() int {
	count := len(s.quarantine.held) + len(s.unverified) + len(s.quota.waiting)
	for _, list := range s.waitLists {
		count += len(list.calls)
	}
	return count
}

// OpenCalls returns the number of calls that have not ended.
func (s *State) OpenCalls() int { return len(s.calls) }

// IsPlacementOwner reports whether this daemon is the placement owner of the fleet.
func (s *State) IsPlacementOwner(now time.Time) bool { return s.lease.Confirmed(now) }

// Reduce applies one event to the state and appends the resulting effects to out.
func (s *State) Reduce(now time.Time, event vrevent.Event, out *vrevent.Effects) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	switch e := event.(type) {
	case vrevent.Tick:
		s.tick(now, out)
	case vrevent.CallArrived:
		s.handleArrival(now, e.Call, out)
	case vrevent.FirstByteReceived:
		s.handleFirstByte(now, e)
	case vrevent.SendEnded:
		s.handleSendResult(now, e, out)
	case vrevent.SendStalled:
		s.handleSendStalled(now, e, out)
	case vrevent.LoadReported:
		s.handleLoadReported(now, e)
	case vrevent.ServerLeaving:
		s.handleServerLeaving(now, e, out)
	case vrevent.LeavingChecked:
		s.handleLeavingChecked(now, e, out)
	case vrevent.PlaceReserved:
		s.handlePlaceReserved(now, e, out)
	case vrevent.ClientGone:
		s.handleClientGone(now, e, out)
	case vrevent.CatalogSeen:
		s.applyCatalog(now, e, out)
	case vrevent.CatalogChecked:
		s.handleCatalogChecked(e)
		s.dispatchUnverified(now, out)
	case vrevent.FleetListed:
		s.applyFleetList(now, e, out)
	case vrevent.FleetChanged:
		s.applyFleetChanges(now, e, out)
	case vrevent.StoreLost:
		s.handleStoreLost(now, e, out)
	case vrevent.StoreRecovered:
		s.handleStoreRecovered(now, out)
	case vrevent.StoreRestored:
		s.handleStoreRestored(now, e, out)
	case vrevent.RetryOptionsChanged:
		s.retryBudget.SetOptions(e.Options)
	case vrevent.GracePeriodEnding:
		s.handleGraceExpired(now, out)
	case vrevent.PeersListed:
		s.applyPeerList(now, e, out)
	case vrevent.ObjectRead:
		if e.Key == vrplatform.KeyQuarantine {
			s.handleQuarantineRead(now, e, out)
			return
		}
		s.handleLeaseChange(now, s.lease.HandleRead(now, e, out), out)
	case vrevent.ObjectWritten:
		if e.Key == vrplatform.KeyQuarantine {
			s.handleQuarantineWritten(e)
			return
		}
		s.handleLeaseChange(now, s.lease.HandleWritten(now, e, out), out)
	case vrevent.OrderEnded:
		s.handleOrderResult(now, e, out)
	case vrevent.StatusRead:
		s.planner.HandleStatusRead(now, e, s.fleet)
	case vrevent.PeerMessage:
		s.handlePeerMessage(now, e.Envelope, out)
	case vrevent.PeerUnreachable:
		s.handlePeerUnreachable(now, e, out)
		s.proof.markUnreachable(now, e.Peer)
		s.markQuotaUnreachable(now, e.Peer, out)
	case vrevent.PeerDialed:
		s.handlePeerDialed(now, e, out)
	case vrevent.ShutdownRequested:
		s.handleShutdown(now, e, out)
	}
	s.dispatchFreed(now, out)
}

func (s *State) tick(now time.Time, out *vrevent.Effects) {
	s.tickCatalogProof(now, out)
	s.tickKeys(now, out)
	s.tickAbsentServers(now, out)
	s.tickLeavingChecks(now, out)
	s.tickWaits(now, out)
	s.tickQuota(now, out)
	s.tickLease(now, out)
	s.tickDemand(now, out)
	s.tickHeartbeat(now, out)
	s.tickQuarantine(now, out)
	s.plan(now, out)
}

// applyCatalog adopts a newer catalog. Older versions are ignored.
func (s *State) applyCatalog(now time.Time, e vrevent.CatalogSeen, out *vrevent.Effects) {
	catalog := e.Catalog
	if s.catalog != nil && catalog.Version <= s.catalog.Version && !vrfault.On(vrfault.TakeOldCatalog) {
		return
	}
	s.catalog = catalog
	s.proof.encoded = nil
	s.noteHeartbeatProof()
	s.forgetDurations()
	s.resetQueue(now)
	s.setQuotaCatalog(now)
	out.Info("catalog adopted", number("version", uint64(catalog.Version)),
		number("routes", uint64(len(catalog.Routes))), number("services", uint64(len(catalog.Services))),
		text("call", e.Read.Call), millis("receivingMs", e.Read.Receiving), boolean("owner", s.lease.Holding()),
		millis("heartbeatMs", s.heartbeat.age(now)))
}
