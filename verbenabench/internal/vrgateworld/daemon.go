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
	// unreachableAfter is when the sender of a message learns that it was not delivered.
	unreachableAfter = 600 * time.Millisecond
	// orderWrite is the longest time from a decision to the write of its order.
	orderWrite = 10 * time.Millisecond
	// answerTime before the end of the grace, open calls get their final answers.
	answerTime = 900 * time.Millisecond
)

// Daemon is an entry VM.
type Daemon struct {
	ID      vrid.DaemonID
	Zone    vrid.ZoneID
	Process *Process
	// DisturbedUntil is when the last disruption of this daemon ended.
	DisturbedUntil time.Time
	// SlowDial is the longest time until a connection for an order opens.
	SlowDial time.Duration
	world    *World
}

// Process is one run of a daemon.
type Process struct {
	Daemon  *Daemon
	State   *vrgateway.State
	Started time.Time
	// Stopping is set once the daemon was asked to stop.
	Stopping bool
	// ThawedAt is when the process last went on after a suspension, PausedFor the sum of
	// all suspensions.
	ThawedAt  time.Time
	PausedFor time.Duration

	world   *World
	boot    vrid.BootID
	effects vrevent.Effects
	dead    bool
	paused  bool
	since   time.Time
	held    []func()
	calls   map[vrevent.CallID]*Call
	next    vrevent.CallID
}

// Disturb notes a disruption that lasts for a while.
func (d *Daemon) Disturb(lasts time.Duration) {
	if until := d.world.Now().Add(lasts); until.After(d.DisturbedUntil) {
		d.DisturbedUntil = until
	}
}

// InTouch reports whether rules with a time bound hold for the daemon since a moment.
func (d *Daemon) InTouch(since time.Time) bool {
	p := d.Process
	return p != nil && !p.paused && !since.Before(d.DisturbedUntil.Add(Contact)) && !since.Before(p.Started.Add(Contact))
}

// Start runs the daemon's program, unless it runs.
func (d *Daemon) Start() {
	if d.Process != nil {
		return
	}
	w := d.world
	w.boots++
	p := &Process{
		Daemon: d, Started: w.Now(), world: w, boot: vrid.BootID(fmt.Sprintf("b%04d", w.boots)),
		calls: make(map[vrevent.CallID]*Call),
	}
	p.State = vrgateway.New(vrgateway.Options{
		Daemon: d.ID, Boot: p.boot, Address: "peer:" + string(d.ID), Zone: d.Zone, Regions: w.regions(),
		Bounds: vrgateway.Bounds{Lease: Lease, Retries: retries(), Ceiling: ceiling()}, Seed: w.random.Uint64(),
	})
	d.Process = p
	d.Disturb(0)
	p.follow()
	p.tick()
}

// Kill ends the process at once; its clients' connections break.
func (d *Daemon) Kill() {
	p := d.Process
	if p == nil {
		return
	}
	d.Process = nil
	p.dead = true
	d.Disturb(0)
	p.closeCalls()
}

// closeCalls ends what a dead process leaves: the connections of clients and servers.
func (p *Process) closeCalls() {
	for _, call := range p.openCalls() {
		if a := call.attempt; a != nil && a.server != nil {
			p.world.After(cancelTime, func() { a.server.drop(a) })
		}
		call.end(EndLost)
	}
}

// Stop asks the process to end within the grace.
func (d *Daemon) Stop() {
	p := d.Process
	if p == nil || p.Stopping {
		return
	}
	p.Stopping = true
	p.deliver(vrevent.ShutdownRequested{})
	p.after(Grace-answerTime, func() {
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
		if p.paused {
			// It is ended by force in its suspension; a call that another one leaves open is a
			// fault that the oracle sees.
			p.closeCalls()
		}
	})
}

// Pause suspends the process for a while.
func (d *Daemon) Pause(lasts time.Duration) {
	p := d.Process
	if p == nil || p.paused {
		return
	}
	p.paused, p.since = true, p.world.Now()
	p.world.After(lasts, p.thaw)
}

func (p *Process) thaw() {
	if p.dead || !p.paused {
		return
	}
	p.paused = false
	p.ThawedAt = p.world.Now()
	p.PausedFor += p.ThawedAt.Sub(p.since)
	held := p.held
	p.held = nil
	for _, run := range held {
		p.run(run)
	}
}

// run does something in the process: at once, when it goes on, or never.
func (p *Process) run(what func()) {
	switch {
	case p.dead:
	case p.paused:
		p.held = append(p.held, what)
	default:
		what()
	}
}

func (p *Process) after(delay time.Duration, what func()) {
	p.world.After(delay, func() { p.run(what) })
}

// deliver lets the reducer take an event as soon as the process runs.
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

// reduce takes an event and carries out its effects.
func (p *Process) reduce(event vrevent.Event) {
	w := p.world
	p.effects.Reset()
	p.State.Reduce(w.Now(), event, &p.effects)
	list := append([]vrevent.Effect(nil), p.effects.List...)
	w.Steps++
	w.fold(uint64(w.Now().UnixNano()))
	w.fold(uint64(len(list)))
	w.trace(p, event, list)
	for _, effect := range list {
		w.Options.Watch.Effect(p, effect)
		p.execute(effect)
	}
	w.Options.Watch.Reduced(p)
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
		p.after(p.world.spread(0, orderWrite+p.Daemon.SlowDial), func() { p.giveOrder(e.Order) })
	case vrevent.ReadStatus:
		p.readStatus(e)
	case vrevent.SendCall:
		p.calls[e.Call].send(&e)
	case vrevent.RefuseCall:
		p.calls[e.Call].refuse(&e)
	case vrevent.ForwardFailure:
		p.calls[e.Call].end(EndFailed)
	case vrevent.AbortCall:
		p.calls[e.Call].end(EndBroken)
	}
}

// giveOrder writes an order if the right to it has not ended.
func (p *Process) giveOrder(order vrevent.PlacementOrder) {
	w := p.world
	answer := func(outcome vrevent.OrderOutcome) {
		p.deliver(vrevent.OrderEnded{Order: order, Outcome: outcome})
	}
	if !w.Now().Before(order.LeaseExpiresAt) {
		answer(vrevent.OrderNotSent)
		return
	}
	server := w.byAddress[order.Address]
	if server == nil || server.CutFrom[p.Daemon.ID] {
		w.After(unreachableAfter, func() { answer(vrevent.OrderNotSent) })
		return
	}
	w.After(peerDelay, func() {
		if !server.Alive {
			answer(vrevent.OrderUnknown)
			return
		}
		w.Options.Watch.Ordered(server, p, order)
		server.order(order, func(outcome vrevent.OrderOutcome) { w.After(peerDelay, func() { answer(outcome) }) })
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

func (p *Process) sendPeer(e vrevent.SendPeer) {
	w := p.world
	var to *Daemon
	for _, d := range w.Daemons {
		if d.ID == e.Peer {
			to = d
		}
	}
	if to == nil || to.Process == nil || w.chance(w.Loss) {
		w.After(unreachableAfter, func() { p.deliver(vrevent.PeerUnreachable{Peer: e.Peer}) })
		return
	}
	envelope := *e.Envelope
	envelope.From, envelope.Boot, envelope.Zone = p.Daemon.ID, p.boot, p.Daemon.Zone
	data, err := vrwire.Marshal(&envelope)
	if err != nil {
		panic(err)
	}
	w.After(peerDelay+w.spread(0, w.Extra), func() {
		received, err := vrwire.Unmarshal[vrwire.Envelope](data)
		if err != nil {
			panic(err)
		}
		if to.Process != nil {
			to.Process.deliver(vrevent.PeerMessage{Envelope: received})
		}
	})
}
