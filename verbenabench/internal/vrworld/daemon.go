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

// Daemon is an entry VM. Its process can be started again after it ended.
type Daemon struct {
	ID   vrid.DaemonID
	Zone vrid.ZoneID
	// Process is the current run of the daemon, or nil.
	Process *Process
	// Gone is set once the VM has been reclaimed.
	Gone  bool
	world *World
	vm    *vmEntry
}

// Process is one run of a daemon.
type Process struct {
	Daemon *Daemon
	Boot   vrid.BootID
	State  *vrreducer.State
	// Started is when the process was started. Ready and Stopped are the states that the
	// daemon shows to the outside; Shutdown is set once a shutdown was requested.
	Started  time.Time
	Ready    bool
	Stopped  bool
	Shutdown bool
	// Resumed is when the last pause ended, PausedFor the total duration of all pauses.
	Resumed   time.Time
	PausedFor time.Duration

	world    *World
	effects  vrevent.Effects
	dead     bool
	paused   bool
	pausedAt time.Time
	// pauseLength is the duration of the next pause.
	pauseLength time.Duration
	inbox       []vrevent.Event
	heldEffects []heldEffect
	// stopAfter is the number of effects, counted from the one that the trap finds, after
	// which the process stops, or -1 for none. The process dies or, if pauseOnStop is set, is
	// paused before it carries out the remaining effects.
	stopAfter   int
	pauseOnStop bool
	// trap selects the effect from which stopAfter counts.
	trap            Trap
	watchingHead    bool
	watchSequence   uint64
	seenHeadVersion vrid.ObjectVersion
	open            map[vrid.RequestID]*Call
	// OrderLag is the maximum delay of orders between the reducer and the network. Orders
	// that are still delayed when the process dies are lost.
	OrderLag time.Duration
	// proposals holds the configuration changes of operators by proposal number.
	proposals map[uint64]*Proposal
}

// Trap selects the event during which a process is killed or paused: the next one that
// has an effect of the given kind.
type Trap uint8

// Kinds of effects that a trap selects. TrapAny selects any effect, TrapLedger the writes
// of ledger objects. TrapCount is the number of kinds.
const (
	TrapAny Trap = iota
	TrapOrder
	TrapDispatch
	TrapWrite
	TrapLedger
	TrapCount
)

// find returns the index of the first effect that the trap selects, or -1.
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

// heldEffect is an effect that a paused process has not carried out yet; decided
// is when the reducer returned it.
type heldEffect struct {
	effect  vrevent.Effect
	decided time.Time
}

// Proposal is a configuration change that an operator proposed to a daemon.
type Proposal struct {
	Process   *Process
	Base      vrid.ConfigVersion
	Index     *vrconfig.Index
	Document  []byte
	Decision  vrevent.ConfigDecision
	DecidedAt time.Time
}

// AddDaemon adds an entry VM. The caller has to start its process.
func (w *World) AddDaemon(zone vrid.ZoneID) *Daemon {
	id := vrid.DaemonID(fmt.Sprintf("d%03d-%s", w.nextVMNumber(), zone))
	d := &Daemon{ID: id, Zone: zone, world: w}
	d.vm = w.Platform.addVM(vrplatform.VM{ID: vrid.VMID(id), Kind: vrplatform.VMDaemon, Zone: zone, Address: peerAddress(id)})
	w.Daemons = append(w.Daemons, d)
	w.byDaemon[id] = d
	return d
}

func peerAddress(id vrid.DaemonID) string { return "peer:" + string(id) }

// Start starts a new process on the VM, unless one runs or the VM is gone.
func (d *Daemon) Start() {
	if d.Process != nil || d.Gone {
		return
	}
	w := d.world
	p := &Process{
		Daemon: d, Boot: w.nextBootID(), Started: w.Now(), world: w, stopAfter: -1,
		open: make(map[vrid.RequestID]*Call), proposals: make(map[uint64]*Proposal),
	}
	p.State = vrreducer.New(vrreducer.Options{
		Daemon: d.ID, Boot: p.Boot, Zone: d.Zone, PeerAddress: peerAddress(d.ID),
		Seeds: w.seeds(d), RandomSeed: w.random.Uint64(), Baseline: w.Options.Baseline,
	})
	d.Process = p
	p.deliver(vrevent.Started{})
	w.After(w.randomDuration(0, vrevent.TickInterval), p.tick)
}

// seeds returns the other entry VMs of the daemon's zone.
func (w *World) seeds(d *Daemon) []vrsettings.Seed {
	var seeds []vrsettings.Seed
	for _, other := range w.Daemons {
		if other.Zone == d.Zone && other != d && !other.Gone {
			seeds = append(seeds, vrsettings.Seed{Daemon: other.ID, Address: peerAddress(other.ID)})
		}
	}
	return seeds
}

// tick delivers a Tick event every TickInterval while the process is not paused.
func (p *Process) tick() {
	if p.dead {
		return
	}
	if !p.paused {
		p.deliver(vrevent.Tick{})
	}
	p.world.After(vrevent.TickInterval, p.tick)
}

// Alive reports whether the process exists. A paused process is alive.
func (p *Process) Alive() bool { return p != nil && !p.dead }

// Paused reports whether the process is paused.
func (p *Process) Paused() bool { return p.paused }

// Open returns the number of calls that have not ended.
func (p *Process) Open() int { return len(p.open) }

// deliver passes an event to the reducer and carries out the effects. A paused process
// queues the event; a dead one drops it.
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
	w.updateDigest(uint64(w.Now().UnixNano()))
	w.updateDigest(uint64(len(p.effects.List)))
	if w.Options.Trace {
		w.trace(p, e)
	}
	list := p.effects.List
	selected := -1
	if p.stopAfter >= 0 {
		selected = p.trap.find(list)
	}
	stopping := selected >= 0
	if stopping {
		stop := min(selected+p.stopAfter, len(list))
		for _, effect := range list[stop:] {
			p.heldEffects = append(p.heldEffects, heldEffect{effect: effect, decided: w.Now()})
		}
		list = list[:stop]
	}
	for _, effect := range list {
		p.execute(effect, w.Now())
	}
	if w.Options.Observer != nil {
		w.Options.Observer.Reduced(p)
	}
	if !stopping {
		return
	}
	p.stopAfter = -1
	if p.pauseOnStop {
		p.pause()
		return
	}
	p.Daemon.Kill()
}

// Kill ends the process immediately.
func (d *Daemon) Kill() {
	p := d.Process
	if p == nil {
		return
	}
	p.dead = true
	d.Process = nil
	for _, id := range sortedCallIDs(p.open) {
		p.open[id].daemonDied()
	}
}

// KillAt kills the process during the next event that the trap selects, once it has
// carried out the given number of effects, counted from the selected one.
func (d *Daemon) KillAt(trap Trap, effects int) {
	if d.Process != nil {
		d.Process.trap, d.Process.stopAfter, d.Process.pauseOnStop = trap, effects, false
	}
}

// Pause pauses the process for the given length during the next event that the trap
// selects. The remaining effects are carried out when it resumes. If there is no such
// event within that length of time, nothing happens.
func (d *Daemon) Pause(trap Trap, effects int, length time.Duration) {
	p := d.Process
	if p == nil || p.paused {
		return
	}
	p.trap, p.stopAfter, p.pauseOnStop = trap, effects, true
	d.world.After(length, func() {
		if p.pauseOnStop && !p.paused {
			p.stopAfter, p.pauseOnStop = -1, false
		}
	})
	p.pauseLength = length
}

// pause stops the process until Resume is called, at the latest after pauseLength.
func (p *Process) pause() {
	p.paused = true
	p.pauseOnStop = false
	p.pausedAt = p.world.Now()
	p.world.After(p.pauseLength, p.Resume)
}

// Resume continues a paused process and cancels a pending Pause or KillAt.
func (p *Process) Resume() {
	p.stopAfter, p.pauseOnStop = -1, false
	if p.dead || !p.paused {
		return
	}
	p.paused = false
	p.Resumed = p.world.Now()
	p.PausedFor += p.world.Now().Sub(p.pausedAt)
	held := p.heldEffects
	p.heldEffects = nil
	for _, h := range held {
		p.execute(h.effect, h.decided)
	}
	inbox := p.inbox
	p.inbox = nil
	for _, e := range inbox {
		p.deliver(e)
	}
}

// Reclaim kills the process and removes the VM from the platform's list.
func (d *Daemon) Reclaim() {
	d.Kill()
	d.Gone = true
	d.vm.removed = d.world.Now()
}

// Stop requests a graceful shutdown of the process.
func (d *Daemon) Stop() {
	if d.Process == nil {
		return
	}
	d.Process.Shutdown = true
	d.Process.deliver(vrevent.ShutdownRequested{})
}

// Propose delivers an operator's change of the newest configuration that the daemon holds.
// It returns nil if the daemon is down or has no configuration.
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
		w.pollServer(p, e)
	case vrevent.SendOrder:
		w.sendOrder(p, e)
	case vrevent.Dispatch:
		w.dispatch(p, e, decided)
	case vrevent.LookUpOutcome:
		w.lookUpOutcome(p, e)
	case vrevent.Refuse, vrevent.Replay, vrevent.Complete:
		w.endCall(effect)
	case vrevent.CancelAttempt:
		w.cancel(e)
	case vrevent.ConfigDecided:
		p.recordDecision(e)
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

// Proposal returns the proposed change with the given number, or nil.
func (p *Process) Proposal(number uint64) *Proposal { return p.proposals[number] }

// Calls returns the calls that have not ended, ordered by request id.
func (p *Process) Calls() []*Call {
	calls := make([]*Call, 0, len(p.open))
	for _, id := range sortedCallIDs(p.open) {
		calls = append(calls, p.open[id])
	}
	return calls
}

// recordDecision records the decision on a proposed configuration change.
func (p *Process) recordDecision(e vrevent.ConfigDecided) {
	if proposal := p.proposals[e.Proposal]; proposal != nil {
		proposal.Decision = e.Decision
		proposal.DecidedAt = p.world.Now()
	}
}

// watch starts or ends the watch of the configuration head object.
func (p *Process) watch(on bool) {
	p.watchingHead = on
	p.watchSequence++
	if on {
		p.seenHeadVersion = 0
		p.pollHead(p.watchSequence)
	}
}

// pollHead answers the watch if the head has a new version, and retries after watchRetry
// if the platform is unreachable. It does nothing if the watch is no longer the current
// one.
func (p *Process) pollHead(watch uint64) {
	w := p.world
	if p.dead || !p.watchingHead || p.watchSequence != watch {
		return
	}
	if w.Platform.IsCut(p.Daemon.Zone) {
		w.After(watchRetry, func() { p.pollHead(watch) })
		return
	}
	value, version := w.Platform.Object(vrplatform.KeyConfigHead)
	if version == p.seenHeadVersion {
		return
	}
	w.Platform.Calls["watch"]++
	p.seenHeadVersion = version
	w.After(watchDelay, func() {
		p.deliver(vrevent.ConfigSeen{Index: w.configs.decode(value), Document: value, Confirmed: true})
	})
}

// notifyWatches answers the pending watches after the configuration head changed.
func (w *World) notifyWatches() {
	for _, d := range w.Daemons {
		if p := d.Process; p != nil && p.watchingHead {
			watch := p.watchSequence
			w.After(watchDelay, func() { p.pollHead(watch) })
		}
	}
}

// trace records an event and its effects as a line.
func (w *World) trace(p *Process, e vrevent.Event) {
	line := fmt.Sprintf("%s %s/%s %T%s ->", w.Now().Format("15:04:05.000000"), p.Daemon.ID, p.Boot, e, traceDetail(e))
	for _, effect := range p.effects.List {
		line += fmt.Sprintf(" %T%s", effect, traceDetail(effect))
	}
	w.Lines = append(w.Lines, line)
}

// traceDetail returns the fields of an event or effect that a trace line shows.
func traceDetail(x any) string {
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
		return fmt.Sprintf("{from %s %s}", e.Envelope.From, describeMessage(e.Envelope))
	case vrevent.SendPeer:
		return fmt.Sprintf("{to %s %s}", e.Peer, describeMessage(e.Envelope))
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

// describeMessage returns a short description of a peer message.
func describeMessage(e *vrwire.Envelope) string {
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
