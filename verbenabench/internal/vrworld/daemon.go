package vrworld

import (
	"fmt"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrreducer"
	"verbenaroute.example/verbenacore/vrsettings"
	"verbenaroute.example/verbenacore/vrwire"
)

// Daemon is an entry VM. It outlives the runs of its process.
type Daemon struct {
	ID   vrid.DaemonID
	Zone vrid.ZoneID
	// Process is the present run, or nil.
	Process *Process
	// Gone is set once the VM was reclaimed.
	Gone  bool
	world *World
	vm    *vm
}

// Process is one run of a daemon.
type Process struct {
	Daemon *Daemon
	Boot   vrid.BootID
	State  *vrreducer.State
	// Started, Ready and Stopped as the outside sees them.
	Started  time.Time
	Ready    bool
	Stopped  bool
	Shutdown bool
	// Resumed is when the last pause ended; the total is in PausedFor.
	Resumed   time.Time
	PausedFor time.Duration

	world   *World
	effects vrevent.Effects
	dead    bool
	paused  bool
	since   time.Time
	// pauseFor is the length of the next pause.
	pauseFor time.Duration
	inbox    []vrevent.Event
	held     []heldEffect
	// cutAt counts the effects of the next event after which the process stops: it dies
	// or, if holds is set, is paused before it carried out the rest.
	cutAt int
	holds bool
	// trap chooses the effect from which the cut is counted.
	trap     Trap
	watching bool
	watched  uint64
	seenHead vrid.ObjectVersion
	open     map[vrid.RequestID]*Call
	// OrderLag delays orders between the reducer and the network.
	OrderLag time.Duration
	// inFlight are orders on their way: they are lost with the process.
	proposals map[uint64]*Proposal
}

// Trap chooses the event in which a process stops: the next one with an effect of a kind.
type Trap uint8

// Traps.
const (
	TrapAny Trap = iota
	TrapOrder
	TrapDispatch
	TrapWrite
	TrapLedger
	TrapCount
)

// find returns the place of the first effect that the trap is for, or -1.
func (t Trap) find(effects []vrevent.Effect) int {
	for i, effect := range effects {
		found := t == TrapAny
		switch e := effect.(type) {
		case vrevent.SendOrder:
			found = found || t == TrapOrder
		case vrevent.Dispatch:
			found = found || t == TrapDispatch
		case vrevent.WriteObject:
			found = found || t == TrapWrite || t == TrapLedger && strings.HasPrefix(e.Key, vrplatform.PrefixLedgers)
		}
		if found {
			return i
		}
	}
	return -1
}

// heldEffect is an effect that a paused process has not carried out yet.
type heldEffect struct {
	effect vrevent.Effect
	at     time.Time
}

// Proposal is an operator's change.
type Proposal struct {
	Process   *Process
	Base      vrid.ConfigVersion
	Index     *vrconfig.Index
	Document  []byte
	Decision  vrevent.ConfigDecision
	DecidedAt time.Time
}

// AddDaemon adds an entry VM; its process is started by the caller.
func (w *World) AddDaemon(zone vrid.ZoneID) *Daemon {
	id := vrid.DaemonID(fmt.Sprintf("d%03d-%s", w.vmNumber(), zone))
	d := &Daemon{ID: id, Zone: zone, world: w}
	d.vm = w.Platform.addVM(vrplatform.VM{ID: vrid.VMID(id), Kind: vrplatform.VMDaemon, Zone: zone, Address: peerAddress(id)})
	w.Daemons = append(w.Daemons, d)
	w.byDaemon[id] = d
	return d
}

func peerAddress(id vrid.DaemonID) string { return "peer:" + string(id) }

// Start runs a new process on the VM.
func (d *Daemon) Start() {
	if d.Process != nil || d.Gone {
		return
	}
	w := d.world
	p := &Process{
		Daemon: d, Boot: w.nextBoot(), Started: w.Now(), world: w, cutAt: -1,
		open: make(map[vrid.RequestID]*Call), proposals: make(map[uint64]*Proposal),
	}
	p.State = vrreducer.New(vrreducer.Options{
		Daemon: d.ID, Boot: p.Boot, Zone: d.Zone, PeerAddress: peerAddress(d.ID),
		Seeds: w.seeds(d), RandomSeed: w.random.Uint64(), Baseline: w.Options.Baseline,
	})
	d.Process = p
	p.deliver(vrevent.Started{})
	w.After(w.spread(0, vrevent.TickInterval), p.tick)
}

// seeds are the VMs of the zone.
func (w *World) seeds(d *Daemon) []vrsettings.Seed {
	var seeds []vrsettings.Seed
	for _, other := range w.Daemons {
		if other.Zone == d.Zone && other != d && !other.Gone {
			seeds = append(seeds, vrsettings.Seed{Daemon: other.ID, Address: peerAddress(other.ID)})
		}
	}
	return seeds
}

func (p *Process) tick() {
	if p.dead {
		return
	}
	if !p.paused {
		p.deliver(vrevent.Tick{})
	}
	p.world.After(vrevent.TickInterval, p.tick)
}

// Alive reports whether the process runs; a paused one does.
func (p *Process) Alive() bool { return p != nil && !p.dead }

// Paused reports whether the process does nothing at the moment.
func (p *Process) Paused() bool { return p.paused }

// Open is the number of calls that wait for an end.
func (p *Process) Open() int { return len(p.open) }

// deliver gives an event to the reducer and carries out its effects.
func (p *Process) deliver(e vrevent.Event) {
	if p.dead {
		return
	}
	if p.paused {
		p.inbox = append(p.inbox, e)
		return
	}
	w := p.world
	w.Steps++
	p.effects.Reset()
	p.State.Reduce(w.Now(), e, &p.effects)
	w.fold(uint64(w.Now().UnixNano()))
	w.fold(uint64(len(p.effects.List)))
	if w.Options.Trace {
		w.trace(p, e)
	}
	list := p.effects.List
	first := -1
	if p.cutAt >= 0 {
		first = p.trap.find(list)
	}
	cut := first >= 0
	if cut {
		at := min(first+p.cutAt, len(list))
		for _, effect := range list[at:] {
			p.held = append(p.held, heldEffect{effect: effect, at: w.Now()})
		}
		list = list[:at]
	}
	for _, effect := range list {
		p.execute(effect, w.Now())
	}
	if w.Options.Observer != nil {
		w.Options.Observer.Reduced(p)
	}
	if !cut {
		return
	}
	p.cutAt = -1
	if p.holds {
		p.pause()
		return
	}
	p.Daemon.Kill()
}

// Kill ends the process at once.
func (d *Daemon) Kill() {
	p := d.Process
	if p == nil {
		return
	}
	p.dead = true
	d.Process = nil
	for _, id := range sortedCalls(p.open) {
		p.open[id].broken()
	}
}

// KillAt ends the process in the middle of the next event that fits the trap, after the
// given number of effects from there.
func (d *Daemon) KillAt(trap Trap, effects int) {
	if d.Process != nil {
		d.Process.trap, d.Process.cutAt, d.Process.holds = trap, effects, false
	}
}

// Pause stops the process for a while in the middle of the next event that fits the trap:
// the rest of the effects are carried out when it goes on. Without such an event within
// the time nothing happens.
func (d *Daemon) Pause(trap Trap, effects int, length time.Duration) {
	p := d.Process
	if p == nil || p.paused {
		return
	}
	p.trap, p.cutAt, p.holds = trap, effects, true
	d.world.After(length, func() {
		if p.holds && !p.paused {
			p.cutAt, p.holds = -1, false
		}
	})
	p.pauseFor = length
}

func (p *Process) pause() {
	p.paused = true
	p.holds = false
	p.since = p.world.Now()
	p.world.After(p.pauseFor, p.Resume)
}

// Resume lets a paused process go on, and forgets a pause or a death that was to come.
func (p *Process) Resume() {
	p.cutAt, p.holds = -1, false
	if p.dead || !p.paused {
		return
	}
	p.paused = false
	p.Resumed = p.world.Now()
	p.PausedFor += p.world.Now().Sub(p.since)
	held := p.held
	p.held = nil
	for _, h := range held {
		p.execute(h.effect, h.at)
	}
	inbox := p.inbox
	p.inbox = nil
	for _, e := range inbox {
		p.deliver(e)
	}
}

// Reclaim ends the process and takes the VM out of the platform's list.
func (d *Daemon) Reclaim() {
	d.Kill()
	d.Gone = true
	d.vm.removed = d.world.Now()
}

// Stop asks for a graceful shutdown.
func (d *Daemon) Stop() {
	if d.Process == nil {
		return
	}
	d.Process.Shutdown = true
	d.Process.deliver(vrevent.ShutdownRequested{})
}

// Propose makes an operator's change of the newest configuration that the daemon holds.
func (d *Daemon) Propose(change func(*vrconfig.Fleet)) *Proposal {
	p := d.Process
	if p == nil || p.State.Configuration() == nil {
		return nil
	}
	w := d.world
	held := p.State.Configuration().Fleet
	fleet := *held
	fleet.Models = append([]vrconfig.Model(nil), held.Models...)
	fleet.Drained = append([]vrid.ServerID(nil), held.Drained...)
	fleet.Version = held.Version + 1
	change(&fleet)
	index, document := w.configs.encode(&fleet)
	proposal := &Proposal{Process: p, Base: held.Version, Index: index, Document: document}
	number := uint64(len(p.proposals) + 1)
	p.proposals[number] = proposal
	p.deliver(vrevent.ConfigProposed{
		Proposal: number, Base: held.Version, Index: index, Document: document,
		Operator: string(d.ID), Command: "change",
	})
	return proposal
}

// execute carries out one effect. decided is when the reducer returned it.
func (p *Process) execute(effect vrevent.Effect, decided time.Time) {
	w := p.world
	if w.Options.Observer != nil {
		w.Options.Observer.Effect(p, effect)
	}
	switch e := effect.(type) {
	case vrevent.ReadObject:
		w.Platform.read(p, e)
	case vrevent.WriteObject:
		w.Platform.write(p, e)
	case vrevent.ListObjects:
		w.Platform.list(p, e)
	case vrevent.ListVMs:
		w.Platform.listVMs(p)
	case vrevent.WatchConfig:
		p.watch(e.On)
	case vrevent.SendPeer:
		w.sendPeer(p, e)
	case vrevent.PollServer:
		w.poll(p, e)
	case vrevent.SendOrder:
		w.sendOrder(p, e)
	case vrevent.Dispatch:
		w.dispatch(p, e, decided)
	case vrevent.LookUpOutcome:
		w.lookUp(p, e)
	case vrevent.Refuse, vrevent.Replay, vrevent.Complete:
		w.end(effect)
	case vrevent.CancelAttempt:
		w.cancel(e)
	case vrevent.ConfigDecided:
		p.decided(e)
	case vrevent.SetReady:
		p.Ready = e.Ready
	case vrevent.CloseCallers:
		w.After(0, func() { p.deliver(vrevent.CallersClosed{}) })
	case vrevent.Stopped:
		p.Stopped = true
		p.Ready = false
	case vrevent.AppendEntry, vrevent.Log:
	}
	if p.Stopped && !p.dead {
		w.After(0, func() {
			if p.Daemon.Process == p {
				p.Daemon.Kill()
			}
		})
	}
}

// Proposal returns an operator's change that the process was given.
func (p *Process) Proposal(number uint64) *Proposal { return p.proposals[number] }

// Calls are the calls that wait for an end, in order.
func (p *Process) Calls() []*Call {
	calls := make([]*Call, 0, len(p.open))
	for _, id := range sortedCalls(p.open) {
		calls = append(calls, p.open[id])
	}
	return calls
}

func (p *Process) decided(e vrevent.ConfigDecided) {
	if proposal := p.proposals[e.Proposal]; proposal != nil {
		proposal.Decision = e.Decision
		proposal.DecidedAt = p.world.Now()
	}
}

// watch keeps a pending watch of the configuration's head.
func (p *Process) watch(on bool) {
	p.watching = on
	p.watched++
	if on {
		p.seenHead = 0
		p.pollHead(p.watched)
	}
}

// pollHead answers the watch when there is something new, and tries again later when
// the platform can't be reached.
func (p *Process) pollHead(watch uint64) {
	w := p.world
	if p.dead || !p.watching || p.watched != watch {
		return
	}
	if w.Platform.IsCut(p.Daemon.Zone) {
		w.After(watchRetry, func() { p.pollHead(watch) })
		return
	}
	value, version := w.Platform.Object(vrplatform.KeyConfigHead)
	if version == p.seenHead {
		return
	}
	w.Platform.Calls["watch"]++
	p.seenHead = version
	w.After(watchDelay, func() {
		p.deliver(vrevent.ConfigSeen{Index: w.configs.decode(value), Document: value, Confirmed: true})
	})
}

// notifyWatches answers the pending watches after the head changed.
func (w *World) notifyWatches() {
	for _, d := range w.Daemons {
		if p := d.Process; p != nil && p.watching {
			watch := p.watched
			w.After(watchDelay, func() { p.pollHead(watch) })
		}
	}
}

func (w *World) trace(p *Process, e vrevent.Event) {
	line := fmt.Sprintf("%s %s/%s %T%s ->", w.Now().Format("15:04:05.000000"), p.Daemon.ID, p.Boot, e, detail(e))
	for _, effect := range p.effects.List {
		line += fmt.Sprintf(" %T%s", effect, detail(effect))
	}
	w.Lines = append(w.Lines, line)
}

// detail is the part of an event or effect that a reader of a trace needs.
func detail(x any) string {
	switch e := x.(type) {
	case vrevent.Tick:
		return ""
	case vrevent.ObjectRead:
		return fmt.Sprintf("{%d %s %s v%d}", e.Op, e.Key, e.Outcome, e.Version)
	case vrevent.ObjectWritten:
		return fmt.Sprintf("{%d %s %s v%d}", e.Op, e.Key, e.Outcome, e.Version)
	case vrevent.WriteObject:
		return fmt.Sprintf("{%d %s if v%d}", e.Op, e.Key, e.IfVersion)
	case vrevent.ConfigSeen:
		return fmt.Sprintf("{%d %t}", e.Index.Fleet.Version, e.Confirmed)
	case vrevent.ConfigProposed:
		return fmt.Sprintf("{%d on %d}", e.Proposal, e.Base)
	case vrevent.PeerMessage:
		return fmt.Sprintf("{from %s %s}", e.Envelope.From, messageName(e.Envelope))
	case vrevent.SendPeer:
		return fmt.Sprintf("{to %s %s}", e.Peer, messageName(e.Envelope))
	case vrevent.ReportReceived:
		return fmt.Sprintf("{%s %s %v %v}", e.Server, e.Report.Boot, e.Report.Models, e.Report.AppliedOrders)
	case vrevent.AppendEntry:
		return fmt.Sprintf("{%s %s %s}", e.Entry.Kind, e.Entry.Request, e.Entry.Reason)
	case vrevent.ObjectsListed:
		return fmt.Sprintf("{%d %s %s %d}", e.Op, e.Prefix, e.Outcome, len(e.Items))
	case vrevent.VMsListed:
		return fmt.Sprintf("{%s %d}", e.Outcome, len(e.VMs))
	case vrevent.AttemptEnded:
		return fmt.Sprintf("{%s %d %s %d tokens %d}", e.Request, e.Attempt, e.Server, e.Result, e.Tokens)
	default:
		return fmt.Sprintf("%+v", x)
	}
}

func messageName(e *vrwire.Envelope) string {
	switch {
	case e.Heartbeat != nil:
		return fmt.Sprintf("heartbeat view %d.%d config %d demands %v", e.Heartbeat.ViewEpoch, e.Heartbeat.ViewSequence, e.Heartbeat.Config, e.Heartbeat.Demands)
	case e.HeartbeatReply != nil:
		return fmt.Sprintf("reply removed %t delta %t", e.HeartbeatReply.Removed, e.HeartbeatReply.Delta != nil)
	case e.ViewDelta != nil:
		return fmt.Sprintf("view %d.%d from %d", e.ViewDelta.Epoch, e.ViewDelta.Sequence, e.ViewDelta.Base)
	case e.Demand != nil:
		return fmt.Sprintf("demand %v", e.Demand.Demands)
	case e.ClaimRequest != nil:
		return fmt.Sprintf("claim %s for %s", e.ClaimRequest.Entry.Key, e.ClaimRequest.Entry.Request)
	case e.ClaimReply != nil:
		return fmt.Sprintf("claim reply %s %s gone %t", e.ClaimReply.Request, e.ClaimReply.State, e.ClaimReply.HolderGone)
	case e.OutcomeReport != nil:
		return fmt.Sprintf("outcome %s %s", e.OutcomeReport.Entries[0].Request, e.OutcomeReport.Entries[0].State)
	case e.ConfigOffer != nil:
		return fmt.Sprintf("offer %d", e.ConfigOffer.Version)
	case e.EpochAck != nil:
		return fmt.Sprintf("epoch ack %d", e.EpochAck.Epoch)
	case e.ZoneSummary != nil:
		return fmt.Sprintf("summary %s %d", e.ZoneSummary.Zone, e.ZoneSummary.Epoch)
	}
	return "other"
}
