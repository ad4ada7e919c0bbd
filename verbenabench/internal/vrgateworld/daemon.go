package vrgateworld

import (
	"fmt"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrgateway"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	tickInterval = 25 * time.Millisecond
	peerDelay    = 2 * time.Millisecond
	// unreachableAfter is the time until the sender of a message learns that it was not
	// delivered.
	unreachableAfter = 600 * time.Millisecond
	// maxOrderWriteDelay is the maximum time from the decision to send an order until it is
	// written to the connection.
	maxOrderWriteDelay = 10 * time.Millisecond
	// finalAnswerTime is how long before the end of the grace period all open calls expire, so
	// that they still get an answer.
	finalAnswerTime = 900 * time.Millisecond
)

// Daemon is the gateway daemon of an entry VM. Process is nil while it does not run.
type Daemon struct {
	ID      vrid.DaemonID
	Zone    vrid.ZoneID
	Process *Process
	// DisturbedUntil is the end of this daemon's last disruption; it is in the future during
	// one.
	DisturbedUntil time.Time
	// SlowDial is the maximum additional time to open a connection for an order.
	SlowDial time.Duration
	// CatalogMuteUntil is the end of a time in which the daemon's reads of the catalog bring nothing, while
	// its other calls to the store are answered.
	CatalogMuteUntil time.Time
	world            *World
	// former is set while the daemon's version does not know the hold of the lease.
	former bool
}

// Process is one run of a daemon's program.
type Process struct {
	Daemon  *Daemon
	State   *vrgateway.State
	Started time.Time
	// Stopping is set once the process was asked to shut down.
	Stopping bool
	// ResumedAt is when the process last resumed after a suspension, PausedFor the total time
	// of all suspensions.
	ResumedAt time.Time
	PausedFor time.Duration

	world    *World
	boot     vrid.BootID
	effects  vrevent.Effects
	dead     bool
	paused   bool
	pausedAt time.Time
	deferred []func()
	calls    map[vrevent.CallID]*Call
	lastCall vrevent.CallID
	store    storeView
	// ordersStopped is set once no order may be written any more.
	ordersStopped bool
}

// Disturb records a disruption that lasts for a duration from now.
func (d *Daemon) Disturb(duration time.Duration) {
	if until := d.world.Now().Add(duration); until.After(d.DisturbedUntil) {
		d.DisturbedUntil = until
	}
}

// StableAt reports whether rules with a time bound apply to the daemon at the given time: it
// runs, is not suspended, and neither a disruption nor its start was less than the bound
// Contact before that time.
func (d *Daemon) StableAt(since time.Time) bool {
	p := d.Process
	return p != nil && !p.paused && !since.Before(d.DisturbedUntil.Add(Contact)) && !since.Before(p.Started.Add(Contact))
}

// Start starts the daemon's process unless it is running.
func (d *Daemon) Start() {
	if d.Process != nil {
		return
	}
	w := d.world
	w.bootCount++
	p := &Process{
		Daemon: d, Started: w.Now(), world: w, boot: vrid.BootID(fmt.Sprintf("b%04d", w.bootCount)),
		calls: make(map[vrevent.CallID]*Call),
	}
	p.State = vrgateway.New(vrgateway.Options{
		Daemon: d.ID, Boot: p.boot, Address: "peer:" + string(d.ID), Zone: d.Zone, Regions: w.regions(),
		Bounds: vrgateway.Bounds{Lease: Lease, Retries: retries(), Ceiling: ceiling()}, Seed: w.rng.Uint64(),
	})
	d.Process = p
	w.Store.registerVersion(d)
	d.Disturb(0)
	p.registerDaemon()
	p.startPolling()
	p.tick()
}

// Kill ends the process at once, which breaks its clients' connections.
func (d *Daemon) Kill() {
	p := d.Process
	if p == nil {
		return
	}
	d.Process = nil
	d.former = false
	p.dead = true
	d.Disturb(0)
	p.closeCalls()
}

// closeCalls closes the connections of a dead process to its clients and servers.
func (p *Process) closeCalls() {
	for _, call := range p.openCalls() {
		call.end(EndLost)
	}
}

// Stop asks the process to shut down within the bound Grace.
func (d *Daemon) Stop() {
	p := d.Process
	if p == nil || p.Stopping {
		return
	}
	p.Stopping = true
	p.deliver(vrevent.ShutdownRequested{AnswerBy: p.world.Now().Add(Grace - finalAnswerTime)})
	p.after(Grace-finalAnswerTime, func() {
		p.reduce(vrevent.GracePeriodEnding{})
		for _, call := range p.openCalls() {
			call.expire()
		}
	})
	p.world.After(Grace, func() {
		if d.Process != p {
			return
		}
		p.dead = true
		d.Process = nil
		d.former = false
		if p.paused {
			// A suspended process is killed, so its connections break. A process that runs has to
			// end its calls itself; the oracle reports those that it leaves open.
			p.closeCalls()
		}
	})
}

// Pause suspends the process for a duration.
func (d *Daemon) Pause(duration time.Duration) {
	p := d.Process
	if p == nil || p.paused {
		return
	}
	p.paused, p.pausedAt = true, p.world.Now()
	p.world.After(duration, p.resume)
}

func (p *Process) resume() {
	if p.dead || !p.paused {
		return
	}
	p.paused = false
	p.ResumedAt = p.world.Now()
	p.PausedFor += p.ResumedAt.Sub(p.pausedAt)
	deferred := p.deferred
	p.deferred = nil
	for _, run := range deferred {
		p.run(run)
	}
}

// run calls fn in the process: at once, or when the process resumes if it is suspended, or
// never if it is dead.
func (p *Process) run(fn func()) {
	switch {
	case p.dead:
	case p.paused:
		p.deferred = append(p.deferred, fn)
	default:
		fn()
	}
}

func (p *Process) after(delay time.Duration, fn func()) {
	p.world.After(delay, func() { p.run(fn) })
}

// deliver passes an event to the reducer, as soon as the process is not suspended.
func (p *Process) deliver(event vrevent.Event) { p.run(func() { p.reduce(event) }) }

func (p *Process) tick() {
	if p.dead {
		return
	}
	if !p.paused {
		p.reduce(vrevent.Tick{})
	}
	p.world.After(tickInterval, p.tick)
}

// reduce passes an event to the reducer and executes the effects that it returns.
func (p *Process) reduce(event vrevent.Event) {
	w := p.world
	p.effects.Reset()
	p.State.Reduce(w.Now(), event, &p.effects)
	list := append([]vrevent.Effect(nil), p.effects.List...)
	w.Steps++
	w.updateDigest(uint64(w.Now().UnixNano()))
	w.updateDigest(uint64(len(list)))
	w.trace(p, event, list)
	for _, effect := range list {
		w.Options.Observer.Effect(p, effect)
		p.execute(effect)
	}
	w.Options.Observer.Reduced(p)
}

func (w *World) trace(p *Process, event vrevent.Event, list []vrevent.Effect) {
	_, isTick := event.(vrevent.Tick)
	if !w.Options.Trace || (isTick && len(list) == 0) {
		return
	}
	line := fmt.Sprintf("%s %s/%s %T%+v", w.Now().Format("15:04:05.000"), p.Daemon.ID, p.boot, event, event)
	for _, effect := range list {
		line += fmt.Sprintf("\n    -> %T%+v", effect, effect)
	}
	w.Lines = append(w.Lines, line)
}

func (p *Process) execute(effect vrevent.Effect) {
	switch e := effect.(type) {
	case vrevent.SendPeer:
		p.sendPeer(e)
	case vrevent.ReadObject:
		p.world.Store.read(p, e)
	case vrevent.WriteObject:
		p.world.Store.write(p, e)
	case vrevent.SendPlacementOrder:
		p.after(p.world.randomDuration(0, maxOrderWriteDelay+p.Daemon.SlowDial), func() { p.sendOrder(e.Order) })
	case vrevent.StopOrders:
		p.ordersStopped = true
	case vrevent.DialPeer:
		p.dialPeer(e)
	case vrevent.ReadStatus:
		p.readStatus(e)
	case vrevent.CheckLeaving:
		p.checkLeaving(e)
	case vrevent.SendCall:
		p.calls[e.Call].send(&e)
	case vrevent.ReservePlace:
		p.reservePlace(e)
	case vrevent.RefuseCall:
		p.calls[e.Call].refuse(&e)
	case vrevent.ForwardFailure:
		p.calls[e.Call].end(EndFailed)
	case vrevent.AbortCall:
		p.calls[e.Call].end(EndBroken)
	}
}

// sendOrder sends an order to its server if the lease that permits it has not expired.
func (p *Process) sendOrder(order vrevent.PlacementOrder) {
	w := p.world
	reply := func(outcome vrevent.OrderOutcome) {
		p.deliver(vrevent.OrderEnded{Order: order, Outcome: outcome})
	}
	if !w.Now().Before(order.LeaseExpiresAt) || p.ordersStopped || !p.State.PermitsOrders(w.Now()) {
		reply(vrevent.OrderNotSent)
		return
	}
	server := w.byAddress[order.Address]
	if server == nil || server.CutFrom[p.Daemon.ID] {
		w.After(unreachableAfter, func() { reply(vrevent.OrderNotSent) })
		return
	}
	w.After(peerDelay, func() {
		if !server.Alive {
			reply(vrevent.OrderUnknown)
			return
		}
		w.Options.Observer.Ordered(server, p, order)
		server.order(order, func(outcome vrevent.OrderOutcome) { w.After(peerDelay, func() { reply(outcome) }) })
	})
}

func (p *Process) readStatus(e vrevent.ReadStatus) {
	w := p.world
	server := w.byAddress[e.Address]
	if server == nil || server.CutFrom[p.Daemon.ID] {
		w.After(unreachableAfter, func() { p.deliver(vrevent.StatusRead{Server: e.Server}) })
		return
	}
	w.After(peerDelay, func() {
		status := server.report()
		w.After(peerDelay, func() { p.deliver(vrevent.StatusRead{Server: e.Server, Status: status}) })
	})
}

// checkLeaving asks the server at an address whether it leaves. It is not asked for by id.
func (p *Process) checkLeaving(e vrevent.CheckLeaving) {
	w := p.world
	server := w.byAddress[e.Address]
	if server == nil || server.CutFrom[p.Daemon.ID] {
		return
	}
	w.After(peerDelay, func() {
		if !server.Alive || server.Born != e.Born {
			return
		}
		leaving := server.Leaving
		w.After(peerDelay, func() {
			if leaving {
				p.deliver(vrevent.ServerLeaving{Server: e.Server, Born: e.Born})
				return
			}
			p.deliver(vrevent.LeavingChecked{Server: e.Server, Born: e.Born})
		})
	})
}

func (p *Process) sendPeer(e vrevent.SendPeer) {
	w := p.world
	receiver := w.daemon(e.Peer)
	if receiver == nil || receiver.Process == nil || w.chance(w.PeerLossRate) {
		refused := receiver != nil && receiver.Process == nil
		w.After(unreachableAfter, func() { p.deliver(vrevent.PeerUnreachable{Peer: e.Peer, Refused: refused}) })
		return
	}
	envelope := *e.Envelope
	envelope.From, envelope.Boot, envelope.Zone = p.Daemon.ID, p.boot, p.Daemon.Zone
	data, err := vrwire.Marshal(&envelope)
	if err != nil {
		panic(err)
	}
	w.After(peerDelay+w.randomDuration(0, w.MaxPeerDelay), func() {
		received, err := vrwire.Unmarshal[vrwire.Envelope](data)
		if err != nil {
			panic(err)
		}
		if receiver.Process != nil {
			receiver.Process.deliver(vrevent.PeerMessage{Envelope: received})
		}
	})
}
