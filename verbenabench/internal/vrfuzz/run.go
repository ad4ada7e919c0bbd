package vrfuzz

import (
	"fmt"
	"time"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrlease"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	warmUpTime = 6 * time.Second
	// settleTime is how long the system may take to settle after the faults end, and
	// probeTimeout how long until every kind of request must be served again.
	settleTime    = 45 * time.Second
	probeTimeout  = 60 * time.Second
	probeInterval = time.Second
	checkInterval = 500 * time.Millisecond
)

// runner runs a plan in a world and checks it with an oracle.
type runner struct {
	world        *vrworld.World
	oracle       *oracle
	reservations []reservation
	sequence     int
}

// reservation is a non-idempotent call, which must not run twice.
type reservation struct {
	service vrid.ServiceID
	key     vrid.IdempotencyKey
	digest  uint64
}

// Run performs the actions of a plan and stops at the first violation.
func Run(plan Plan, trace bool) vrcampaign.Result {
	o := newOracle()
	options := plan.World
	options.Trace = trace
	options.Observer = o
	r := &runner{oracle: o}
	r.world = newWorld(options, o)
	r.advance(warmUpTime)
	performed := 0
	for _, action := range plan.Actions {
		if o.violation != nil {
			break
		}
		performed++
		r.perform(action)
		r.advance(action.Wait)
	}
	if o.violation == nil {
		r.settle()
	}
	if trace {
		r.traceState()
	}
	return vrcampaign.Result{Violation: o.violation, Actions: performed, Events: r.world.Steps, Digest: r.world.Digest, Lines: r.world.Lines}
}

func newWorld(options vrworld.Options, o *oracle) *vrworld.World {
	fleet := vrworld.DefaultFleet(options)
	options.Fleet = fleet
	o.world = nil
	w := vrworld.New(options)
	o.attach(w)
	return w
}

// advance lets virtual time pass and checks the waiting requests every checkInterval.
func (r *runner) advance(duration time.Duration) {
	for duration > 0 && r.oracle.violation == nil {
		step := min(duration, checkInterval)
		r.world.Advance(step)
		r.oracle.checkWaitingTimes()
		duration -= step
	}
}

// runningDaemons returns the daemons with a process that is not shutting down.
func (r *runner) runningDaemons() []*vrworld.Daemon {
	var running []*vrworld.Daemon
	for _, d := range r.world.Daemons {
		if d.Process != nil && !d.Process.Shutdown {
			running = append(running, d)
		}
	}
	return running
}

// owner returns the running daemon named by the zone's lease object, or nil if there is none.
func (r *runner) owner(zone int) *vrworld.Daemon {
	value, _ := r.world.Platform.Object(vrplatform.LeaseKey(r.zone(zone)))
	record, err := vrwire.Unmarshal[vrlease.Record](value)
	if err != nil {
		return nil
	}
	for _, d := range r.world.Daemons {
		if d.ID == record.Holder && d.Process != nil {
			return d
		}
	}
	return nil
}

func (r *runner) zone(selector int) vrid.ZoneID {
	return vrworld.ZoneName(selector % r.world.Options.Zones)
}

func (r *runner) presentEngines() []*vrworld.Engine {
	var engines []*vrworld.Engine
	for _, e := range r.world.Engines {
		if !e.Gone {
			engines = append(engines, e)
		}
	}
	return engines
}

func (r *runner) presentApps() []*vrworld.App {
	var apps []*vrworld.App
	for _, a := range r.world.Apps {
		if !a.Gone {
			apps = append(apps, a)
		}
	}
	return apps
}

// perform performs one action.
func (r *runner) perform(a Action) {
	switch a.Kind {
	case ActWait, actCount:
	case ActRequest, ActBurst, ActReserve, ActRetryKey, ActReuseKey, ActHangUp:
		r.sendCalls(a)
	case ActKill, ActKillMid, ActReclaim, ActPause, ActPauseOwner, ActKillOwner, ActStop, ActReplaceZone, ActOrderLag:
		r.injectDaemonFault(a)
	case ActLoss, ActCrossing, ActPartition, ActCutPlatform, ActPlatformDown, ActLostAnswers, ActSlowPlatform, ActLateWrites:
		r.injectNetworkFault(a)
	case ActPropose, ActRace, ActDrain:
		r.proposeConfig(a)
	case ActStrand:
		r.strandOrder(a)
	default:
		r.injectServerFault(a)
	}
}

var _requestKinds = []vrid.KindID{vrworld.KindUrgent, vrworld.KindNormal, vrworld.KindDeferred}

func (r *runner) modelRequest(a Action, offset int) vrevent.Request {
	request := vrevent.Request{
		Kind: _requestKinds[a.C%len(_requestKinds)], Model: vrworld.ModelName((a.B + offset) % r.world.Options.Models),
		MaxTokens: 1 + (a.B+offset*7)%60, Caller: vrid.CallerID(fmt.Sprintf("c%d", a.B%3)), Size: vrid.KiB,
	}
	if a.C == 9 {
		index := (a.B + offset) % r.world.Options.Adapters
		request.Adapter, request.Model = vrworld.AdapterName(index), vrworld.ModelName(index)
	}
	return request
}

func (r *runner) sendCalls(a Action) {
	d, ok := vrcampaign.Pick(r.runningDaemons(), a.A)
	if !ok {
		return
	}
	switch a.Kind {
	case ActRequest:
		if a.C == 8 {
			r.world.Send(d, vrevent.Request{Kind: vrworld.KindNormal, Service: vrworld.Stock, Idempotent: true})
			return
		}
		r.world.Send(d, r.modelRequest(a, 0))
	case ActBurst:
		// Half of the bursts request a single model, more often than one replica can serve
		// concurrently.
		models := 1 + 2*(a.A%2)
		for i := range 3 + 3*a.C {
			if d, ok := vrcampaign.Pick(r.runningDaemons(), a.A+i); ok {
				r.world.Send(d, r.modelRequest(a, i%models))
			}
		}
	case ActReserve:
		r.sequence++
		service := vrworld.Orders
		if a.C%2 == 0 {
			service = vrworld.Bookings
		}
		key := vrid.IdempotencyKey(fmt.Sprintf("k%04d", r.sequence))
		r.reservations = append(r.reservations, reservation{service: service, key: key, digest: uint64(r.sequence)})
		r.reserve(d, r.reservations[len(r.reservations)-1])
	case ActRetryKey, ActReuseKey:
		r.resendKey(a, d)
	default:
		if call, ok := vrcampaign.Pick(d.Process.Calls(), a.B); ok {
			call.HangUp()
		}
	}
}

// resendKey sends a call with one of the last recentKeys idempotency keys, mostly to another
// daemon. ActReuseKey sends a different call with that key.
func (r *runner) resendKey(a Action, d *vrworld.Daemon) {
	const recentKeys = 4
	res, ok := vrcampaign.Pick(r.reservations[max(0, len(r.reservations)-recentKeys):], a.B)
	if !ok {
		return
	}
	if a.Kind == ActReuseKey {
		res.digest += 1 << 32
	}
	r.reserve(d, res)
}

func (r *runner) reserve(d *vrworld.Daemon, res reservation) *vrworld.Call {
	request := vrevent.Request{
		Kind: vrworld.KindNormal, Service: res.service, Key: res.key, Digest: res.digest, Size: vrid.KiB,
	}
	if res.service == vrworld.Bookings {
		request.OutcomePath = "/outcomes"
	}
	return r.world.Send(d, request)
}

func (r *runner) injectDaemonFault(a Action) {
	d, ok := vrcampaign.Pick(r.runningDaemons(), a.A)
	if a.Kind == ActPauseOwner || a.Kind == ActKillOwner || a.Kind == ActOrderLag {
		d = r.owner(a.A)
		ok = d != nil
	}
	if !ok {
		return
	}
	r.oracle.noteFault(a.Lasts + 4*time.Second)
	switch a.Kind {
	case ActKill:
		d.Kill()
		r.world.After(a.Lasts, d.Start)
	case ActKillMid, ActKillOwner:
		d.KillAt(trapFor(a), a.C%4)
		r.world.After(a.Lasts+100*time.Millisecond, d.Start)
	case ActReclaim:
		r.replaceVM(d, a.Lasts)
	case ActPause, ActPauseOwner:
		r.oracle.noteFault(2 * a.Lasts)
		d.Pause(trapFor(a), a.C%4, a.Lasts)
	case ActOrderLag:
		p := d.Process
		p.OrderLag = a.Lasts
		r.world.After(a.Lasts, func() { p.OrderLag = 0 })
	case ActStop:
		r.oracle.noteFault(20 * time.Second)
		d.Stop()
		r.world.After(20*time.Second, d.Start)
	default:
		for _, other := range r.world.Daemons {
			if other.Zone == d.Zone && !other.Gone {
				r.replaceVM(other, a.Lasts)
			}
		}
	}
}

// strandOrder pauses a zone owner with an unsent order, an unsent ledger write or a delayed
// order, for longer than a successor needs to take over. Meanwhile it requests one model
// after another from the other daemons, so that the successor has to evict.
func (r *runner) strandOrder(a Action) {
	const (
		pauseTime     = 25 * time.Second
		requestRounds = 14
	)
	d := r.owner(a.A)
	if d == nil {
		return
	}
	r.oracle.noteFault(pauseTime + faultGrace)
	switch p := d.Process; a.C % 3 {
	case 0:
		d.Pause(vrworld.TrapOrder, 0, pauseTime)
	case 1:
		d.Pause(vrworld.TrapLedger, 0, pauseTime)
	default:
		// The order is in transit, and the daemon that sent it soon learns of its successor.
		const leaseLapse = 5 * time.Second
		p.OrderLag = pauseTime
		d.Pause(vrworld.TrapOrder, 1, leaseLapse)
		r.world.After(leaseLapse, func() { p.OrderLag = 0 })
	}
	for round := range requestRounds {
		r.world.After(time.Duration(round)*pauseTime/requestRounds, func() {
			for _, other := range r.runningDaemons() {
				if other.Zone == d.Zone && other != d {
					r.world.Send(other, r.modelRequest(Action{B: a.B, C: 0}, round))
				}
			}
		})
	}
}

// trapFor returns the kind of effect at which a daemon is killed or paused.
func trapFor(a Action) vrworld.Trap { return vrworld.Trap(a.B % int(vrworld.TrapCount)) }

// replaceVM reclaims the VM of a daemon, and adds one with another id after the delay.
func (r *runner) replaceVM(d *vrworld.Daemon, delay time.Duration) {
	d.Reclaim()
	r.world.After(delay, func() { r.world.AddDaemon(d.Zone).Start() })
}

func (r *runner) injectNetworkFault(a Action) {
	w := r.world
	r.oracle.noteFault(a.Lasts)
	undoLater := func(undo func()) { w.After(a.Lasts, undo) }
	const probabilityStep = 0.1
	probability := probabilityStep * float64(1+a.C%4)
	switch a.Kind {
	case ActLoss:
		w.Net.Loss = probability
		undoLater(func() { w.Net.Loss = 0 })
	case ActCrossing:
		w.Net.Duplicate, w.Net.MaxExtraDelay = probability, time.Duration(1+a.C)*100*time.Millisecond
		undoLater(func() { w.Net.Duplicate, w.Net.MaxExtraDelay = 0, 0 })
	case ActPartition:
		zoneA, zoneB := r.zone(a.A), r.zone(a.A+1+a.B%2)
		w.Net.SetCut(zoneA, zoneB, true)
		undoLater(func() { w.Net.SetCut(zoneA, zoneB, false) })
	case ActCutPlatform:
		zone := r.zone(a.A)
		w.Platform.Cut(zone, true)
		undoLater(func() { w.Platform.Cut(zone, false) })
	case ActPlatformDown:
		w.Platform.Down = true
		undoLater(func() { w.Platform.Down = false })
	case ActLostAnswers:
		w.Platform.LoseAnswers = probability
		undoLater(func() { w.Platform.LoseAnswers = 0 })
	case ActSlowPlatform:
		w.Platform.Slow = time.Duration(1+a.C) * 300 * time.Millisecond
		undoLater(func() { w.Platform.Slow = 0 })
	default:
		w.Platform.LateWrites = probability
		undoLater(func() { w.Platform.LateWrites = 0 })
	}
}

func (r *runner) injectServerFault(a Action) {
	w := r.world
	engine, _ := vrcampaign.Pick(r.presentEngines(), a.A)
	app, _ := vrcampaign.Pick(r.presentApps(), a.A)
	if engine == nil || app == nil {
		return
	}
	const failureProbability = 0.5
	switch a.Kind {
	case ActSlowWeights:
		w.Weights.Slowdown = float64(2 + a.C)
		w.After(a.Lasts, func() { w.Weights.Slowdown = 1 })
	case ActEngineRestart:
		engine.Restart(a.Lasts)
	case ActEngineReclaim:
		engine.Reclaim(a.Lasts)
	case ActEngineLeave:
		engine.Leave()
		w.After(4*time.Second+a.Lasts, func() { engine.Reclaim(time.Second) })
	case ActLostOrderAnswers:
		engine.LoseAnswers = failureProbability
		if a.C%2 == 0 {
			engine.LateOrders = failureProbability
		}
		w.After(a.Lasts, func() { engine.LoseAnswers, engine.LateOrders = 0, 0 })
	case ActReportLag:
		engine.ReportLag = a.Lasts
		w.After(2*a.Lasts, func() { engine.ReportLag = 0 })
	case ActAppRestart:
		app.Restart(a.Lasts)
	case ActAppLeave:
		app.Leave()
		w.After(5*time.Second, func() { app.Reclaim(time.Second) })
	default:
		app.Break = failureProbability
		w.After(a.Lasts, func() { app.Break = 0 })
	}
}

// proposeConfig proposes a configuration change. ActRace proposes a second one, on the same
// base version.
func (r *runner) proposeConfig(a Action) {
	change := func(fleet *vrconfig.Fleet) {
		model := &fleet.Models[a.B%len(fleet.Models)]
		model.ReplicasPerZone = a.C % 3
	}
	if a.Kind == ActDrain {
		if engine, ok := vrcampaign.Pick(r.presentEngines(), a.B); ok {
			change = func(fleet *vrconfig.Fleet) {
				fleet.Drained = []vrid.ServerID{engine.ID}
				if a.C < 5 {
					fleet.Drained = nil
				}
			}
		}
	}
	running := r.runningDaemons()
	if d, ok := vrcampaign.Pick(running, a.A); ok {
		d.Propose(change)
	}
	if a.Kind != ActRace {
		return
	}
	if d, ok := vrcampaign.Pick(running, a.A+1+a.B); ok {
		d.Propose(func(fleet *vrconfig.Fleet) {
			fleet.Models[(a.B+1)%len(fleet.Models)].ReplicasPerZone = 1
		})
	}
}
