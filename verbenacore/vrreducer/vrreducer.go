// Package vrreducer makes every decision of a daemon. State holds all that a daemon
// knows; Reduce applies one event and its time to the state and returns effects as
// data. The package does no I/O, reads no clock and draws its random numbers from a
// seeded generator, so that a run can be repeated exactly.
package vrreducer

import (
	"math/rand/v2"
	"time"

	"verbenaroute.example/verbenacore/vradmit"
	"verbenaroute.example/verbenacore/vrclaim"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrjournal"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrplace"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrroute"
	"verbenaroute.example/verbenacore/vrsettings"
	"verbenaroute.example/verbenacore/vrwire"
)

// Options are the settings of a daemon's state.
type Options struct {
	Daemon      vrid.DaemonID
	Boot        vrid.BootID
	Zone        vrid.ZoneID
	PeerAddress string
	Seeds       []vrsettings.Seed
	// RandomSeed seeds the random generator. Two runs with the same seed and the same
	// events are identical.
	RandomSeed uint64
	// MaxQueued and MaxQueueMemory limit the number and the total size of the queued requests.
	MaxQueued      int
	MaxQueueMemory vrid.Bytes
	// Baseline replaces the scheduling policy by the one that measurements compare it
	// with: first come, first served, least-loaded replica, no fleet-wide order of
	// loads, fixed keep-alive.
	Baseline bool
}

// Default limits of the queue.
const (
	defaultMaxQueued      = 10_000
	defaultMaxQueueMemory = 64 * vrid.MiB
)

// startupJitter is the longest random delay before a starting daemon's first call to
// the platform. Without it, all daemons of a zone that is replaced at once would call
// at the same moment.
const startupJitter = 2 * time.Second

// State is the complete state of one daemon.
type State struct {
	opts        Options
	ops         *vrevent.Ops
	random      *rand.Rand
	configStore vrconfig.Store
	// configDocument is the compressed form of the current configuration.
	configDocument []byte
	// configConfirmed is set when the platform has confirmed the current configuration.
	configConfirmed bool

	membership   *vrmember.Membership
	lease        *vrlease.Lease
	ledger       *vrledger.Ledger
	planner      *vrplace.Planner
	queue        *vradmit.Queue
	routingTable *vrroute.Table
	journal      *vrjournal.Journal

	requests      map[vrid.RequestID]*request
	claims        claimState
	zone          zoneState
	configCommits configCommits
	polls         map[vrid.ServerID]*poll

	// requestsOpened counts the requests that this run has received, so that the record
	// can account for those whose entries are lost with the daemon.
	requestsOpened    uint64
	startedAt         time.Time
	firstPlatformCall time.Time
	ready             bool
	shutdown          shutdownState
	// tableEpoch, tableSequence and tableConfig identify the zone view and the
	// configuration from which the routing table was built. A tableSequence of 0 forces
	// a rebuild.
	tableEpoch    vrid.Epoch
	tableSequence uint64
	tableConfig   vrid.ConfigVersion
	crossRegion   crossRegionBudget
	loadSlowdown  slowdown
	fleet         fleetState
	shares        shareState
}

type shutdownState struct {
	requested   bool
	requestedAt time.Time
	stopped     bool
	// closingCallers is set once the runtime was told to close the callers' port,
	// callersClosed once the port is closed.
	closingCallers bool
	callersClosed  bool
	// handoverEpoch is the epoch of the zone lease that this daemon gives up.
	handoverEpoch vrid.Epoch
}

// New returns the state of a daemon that has just started.
func New(opts Options) *State {
	if opts.MaxQueued == 0 {
		opts.MaxQueued = defaultMaxQueued
	}
	if opts.MaxQueueMemory == 0 {
		opts.MaxQueueMemory = defaultMaxQueueMemory
	}
	s := &State{
		opts:     opts,
		ops:      &vrevent.Ops{},
		random:   rand.New(rand.NewPCG(opts.RandomSeed, uint64(len(opts.Daemon)))),
		planner:  vrplace.New(vrplace.Options{Baseline: opts.Baseline}),
		requests: make(map[vrid.RequestID]*request),
		claims:   newClaimState(),
		polls:    make(map[vrid.ServerID]*poll),
		zone:     newZoneState(),
		shares:   newShareState(),
	}
	s.queue = vradmit.New(vradmit.Options{MaxRequests: opts.MaxQueued, MaxMemory: opts.MaxQueueMemory, FIFO: opts.Baseline})
	s.routingTable = vrroute.New(vrroute.Options{Random: s.random, LeastLoaded: opts.Baseline})
	s.lease = vrlease.New(vrlease.Options{
		Key: vrplatform.LeaseKey(opts.Zone), Daemon: opts.Daemon, Boot: opts.Boot,
		Peer: opts.PeerAddress, Ops: s.ops, Random: s.random,
	})
	s.fleet = newFleetState(vrlease.New(vrlease.Options{
		Key: vrplatform.KeyFleetLease, Daemon: opts.Daemon, Boot: opts.Boot,
		Peer: opts.PeerAddress, Ops: s.ops, Random: s.random,
	}))
	s.ledger = vrledger.New(vrledger.Options{Zone: opts.Zone, Daemon: opts.Daemon, Boot: opts.Boot, Ops: s.ops})
	s.journal = vrjournal.New(vrjournal.Options{
		Daemon: opts.Daemon, Boot: opts.Boot, Zone: opts.Zone, Ops: s.ops, Random: s.random,
	})
	return s
}

// Reduce applies one event to the state and adds the resulting effects to out.
func (s *State) Reduce(now time.Time, event vrevent.Event, out *vrevent.Effects) {
	if s.membership == nil {
		s.start(now)
	}
	switch e := event.(type) {
	case vrevent.Started:
		out.Info("daemon started", vrevent.Field("daemon", s.opts.Daemon), vrevent.Field("zone", s.opts.Zone))
	case vrevent.Tick:
		s.tick(now, out)
	case vrevent.RequestArrived:
		s.requestArrived(now, e.Request, out)
	case vrevent.RequestRejected:
		s.requestRejected(now, e, out)
	case vrevent.FirstToken:
		s.firstToken(now, e)
	case vrevent.AttemptEnded:
		s.attemptEnded(now, e, out)
	case vrevent.OutcomeLookedUp:
		s.outcomeLookedUp(now, e, out)
	case vrevent.CallerGone:
		s.callerGone(now, e, out)
	case vrevent.ObjectRead:
		s.objectRead(now, e, out)
	case vrevent.ObjectWritten:
		s.objectWritten(now, e, out)
	case vrevent.ObjectsListed:
		s.objectsListed(now, e, out)
	case vrevent.VMsListed:
		s.vmsListed(now, e, out)
	case vrevent.ConfigSeen:
		s.configSeen(now, e, out)
	case vrevent.ConfigProposed:
		s.configProposed(now, e, out)
	case vrevent.ReportReceived:
		s.reportReceived(now, e, out)
	case vrevent.ReportFailed:
		s.reportFailed(now, e)
	case vrevent.OrderAnswered:
		s.orderAnswered(now, e, out)
	case vrevent.PeerMessage:
		s.peerMessage(now, e.Envelope, out)
	case vrevent.PeerUnreachable:
		s.peerUnreachable(now, e.Peer, out)
	case vrevent.DrainServer:
		s.zone.drainedServers[e.Server] = true
	case vrevent.CacheEventsReceived:
		s.routingTable.ApplyCacheEvents(e.Server, e.Events)
	case vrevent.ShutdownRequested:
		s.shutdownRequested(now, out)
	case vrevent.CallersClosed:
		s.shutdown.callersClosed = true
	}
	s.flush(now, out)
}

func (s *State) start(now time.Time) {
	s.startedAt = now
	s.firstPlatformCall = now.Add(time.Duration(s.random.Int64N(int64(startupJitter))))
	s.membership = vrmember.New(now, vrmember.Options{
		Daemon: s.opts.Daemon, Boot: s.opts.Boot, Zone: s.opts.Zone, PeerAddress: s.opts.PeerAddress, Random: s.random,
	})
	var seeds []vrmember.Peer
	for _, seed := range s.opts.Seeds {
		seeds = append(seeds, vrmember.Peer{Daemon: seed.Daemon, Address: seed.Address})
	}
	s.membership.SetSeeds(seeds)
}

// flush does the work that an event made possible, such as dispatching queued requests,
// so that nothing waits for the next tick.
func (s *State) flush(now time.Time, out *vrevent.Effects) {
	s.refreshRoutingTable(now)
	for _, model := range s.routingTable.TakeFreedModels() {
		s.queue.Wake(model)
	}
	s.dispatchQueued(now, out)
	s.deliverClaimAnswers(now, out)
	s.membership.Flush(now, out)
}

func (s *State) tick(now time.Time, out *vrevent.Effects) {
	s.tickZone(now, out)
	s.tickPolls(now, out)
	s.membership.SetOpened(s.requestsOpened)
	s.membership.SetLocalInFlight(s.routingTable.InFlightInZone())
	s.membership.Tick(now, out)
	s.tickConfig(now, out)
	s.tickClaims(now, out)
	// Floors and probes of ejected servers depend on the time as well, so every waiting
	// target is tried again.
	s.queue.WakeAll()
	s.tickRequests(now, out)
	s.tickRecord(now, out)
	s.tickReady(now, out)
	s.tickShutdown(now, out)
}

// Configuration returns the current configuration, or nil.
func (s *State) Configuration() *vrconfig.Index { return s.configStore.Current() }

// objectRead passes the result of a read to the component that asked for it.
func (s *State) objectRead(now time.Time, event vrevent.ObjectRead, out *vrevent.Effects) {
	switch {
	case s.lease.Owns(event.Op):
		s.leaseChanged(now, s.lease.HandleRead(now, event, out), out)
	case s.fleet.lease.Owns(event.Op):
		s.fleetLeaseChanged(s.fleet.lease.HandleRead(now, event, out), out)
	case s.ledger.Owns(event.Op):
		if epoch := s.ledger.HandleRead(now, event, out); epoch > 0 {
			s.superseded(now, epoch, out)
		}
	case s.configCommits.owns(event.Op):
		s.commitRead(now, event, out)
	default:
		if log := s.claims.logByOp(event.Op); log != nil {
			log.HandleRead(now, event, out)
		}
	}
}

func (s *State) objectWritten(now time.Time, event vrevent.ObjectWritten, out *vrevent.Effects) {
	switch {
	case s.lease.Owns(event.Op):
		s.leaseChanged(now, s.lease.HandleWritten(now, event, out), out)
	case s.fleet.lease.Owns(event.Op):
		s.fleetLeaseChanged(s.fleet.lease.HandleWritten(now, event, out), out)
	case s.ledger.Owns(event.Op):
		s.ledger.HandleWritten(now, event, out)
	case s.configCommits.owns(event.Op):
		s.commitWritten(now, event, out)
	case s.zone.configAckOp == event.Op && event.Op != 0:
		s.configAckWritten(now, event)
	case s.journal.HandleWritten(now, event, out):
	default:
		if log := s.claims.logByOp(event.Op); log != nil {
			log.HandleWritten(now, event, out)
		}
	}
}

func (s *State) objectsListed(now time.Time, event vrevent.ObjectsListed, out *vrevent.Effects) {
	if s.zone.leaseListOp == event.Op && event.Op != 0 {
		s.leasesListed(now, event)
		return
	}
	if log := s.claims.logByOp(event.Op); log != nil {
		log.HandleListed(now, event, out)
	}
}

func (s *State) send(to vrmember.Peer, envelope *vrwire.Envelope, out *vrevent.Effects) {
	if to.Daemon == "" || to.Address == "" || to.Daemon == s.opts.Daemon {
		return
	}
	out.Add(vrevent.SendPeer{Peer: to.Daemon, Address: to.Address, Envelope: envelope})
}

// logByOp returns the claim log that waits for the result of a platform operation, or
// nil.
func (c *claimState) logByOp(op vrevent.Op) *vrclaim.Log {
	for _, log := range c.logs {
		if log.Owns(op) {
			return log
		}
	}
	return nil
}
