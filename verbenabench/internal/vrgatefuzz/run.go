package vrgatefuzz

import (
	"time"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenabench/internal/vrgateworld"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	warmUp = 8 * time.Second
	// settleTime is the time to recover once the faults have ended. It suffices for late orders
	// and writes to take effect, a shutdown to complete and a lease to change its holder.
	settleTime = 30 * time.Second
	// probeTimeout is the time within which each kind of request has to be served again.
	probeTimeout  = 30 * time.Second
	probeInterval = time.Second
	checkInterval = 200 * time.Millisecond
	// moderateFault is the probability of most faults.
	moderateFault = 0.5
	// severeFault is the probability that makes a server practically unavailable.
	severeFault = 0.9
)

// runner executes a plan.
type runner struct {
	world  *vrgateworld.World
	oracle *oracle
}

// Run executes a plan and stops at the first violation.
func Run(plan Plan, trace bool) vrcampaign.Result {
	o := newOracle()
	options := plan.World
	options.Trace = trace
	options.Observer = o
	o.options = options
	r := &runner{oracle: o}
	r.world = vrgateworld.New(options)
	o.world = r.world
	r.advance(warmUp)
	executed := 0
	for _, action := range plan.Actions {
		if o.violation != nil {
			break
		}
		executed++
		r.execute(action)
		r.advance(action.Wait)
	}
	if o.violation == nil {
		r.settle()
	}
	return vrcampaign.Result{
		Violation: o.violation, Actions: executed, Events: r.world.Steps, Digest: r.world.Digest, Lines: r.world.Lines,
	}
}

// advance advances virtual time and checks the open calls every checkInterval.
func (r *runner) advance(duration time.Duration) {
	for duration > 0 && r.oracle.violation == nil {
		step := min(duration, checkInterval)
		r.world.Advance(step)
		r.oracle.checkOpen()
		duration -= step
	}
}

func (r *runner) running() []*vrgateworld.Daemon {
	var running []*vrgateworld.Daemon
	for _, d := range r.world.Daemons {
		if d.Process != nil && !d.Process.Stopping {
			running = append(running, d)
		}
	}
	return running
}

// owner returns the first running daemon that considers itself the placement owner.
func (r *runner) owner() (*vrgateworld.Daemon, bool) {
	for _, d := range r.running() {
		if d.Process.State.IsPlacementOwner(r.world.Now()) {
			return d, true
		}
	}
	return nil, false
}

func (r *runner) servers(service vrid.ServiceID) []*vrgateworld.Server {
	var servers []*vrgateworld.Server
	for _, s := range r.world.Servers {
		if s.Alive && (service == "" || s.Service == service) {
			servers = append(servers, s)
		}
	}
	return servers
}

// execute executes one action.
func (r *runner) execute(a Action) {
	switch a.Kind {
	case ActWait, actCount:
	case ActRequest, ActBurst, ActLeave, ActPublish:
		r.clientAction(a)
	case ActKill, ActKillOwner, ActKillAll, ActPause, ActPauseOwner, ActStop, ActLoss:
		r.disturbDaemon(a)
	case ActStrandOwner:
		r.strandOwner(a)
	case ActStrandOrders:
		r.strandOrders(a)
	case ActRestore:
		r.restore(a)
	case ActOddEntry:
		r.oddEntry(a)
	case ActMuteCatalog:
		r.muteCatalog(a)
	case ActServerLeaves:
		r.serverLeaves(a)
	case ActLoseHolder:
		r.loseHolder(a)
	case ActStoreDown, ActStoreCut, ActStoreSlow, ActLostAnswers, ActLateWrites:
		r.disturbStore(a)
	default:
		r.disturbServer(a)
	}
}

var _requestRoutes = []string{
	vrgateworld.RouteStream, vrgateworld.RouteSingle, vrgateworld.RouteStream, vrgateworld.RouteRead,
	vrgateworld.RouteOnce, vrgateworld.RouteMoved, vrgateworld.RouteOnce,
}

func (r *runner) request(d *vrgateworld.Daemon, a Action, index int) {
	route, _ := vrcampaign.Pick(_requestRoutes, a.B+index)
	model, adapter := vrid.ModelID(""), vrid.AdapterID("")
	if route == vrgateworld.RouteStream || route == vrgateworld.RouteSingle {
		model = vrgateworld.ModelName((a.B/7 + index*a.C) % r.world.Options.Models)
		if a.C > 6 {
			adapter = vrid.AdapterID([]string{"a0", "a1", "a2"}[(a.B+index)%3])
		}
	}
	r.world.Request(d, route, model, adapter)
}

func (r *runner) clientAction(a Action) {
	switch a.Kind {
	case ActLeave:
		if d, ok := vrcampaign.Pick(r.running(), a.A); ok {
			var open []*vrgateworld.Call
			for _, call := range r.world.Calls {
				if call.End == vrgateworld.EndOpen && call.Process == d.Process {
					open = append(open, call)
				}
			}
			if call, ok := vrcampaign.Pick(open, a.B); ok {
				call.Disconnect()
			}
		}
	case ActPublish:
		w := r.world
		if w.Store.Up() {
			w.Store.Publish(w.Store.Wanted() + 1)
		}
	default:
		count := 1
		if a.Kind == ActBurst {
			count = 3 + 2*a.C
		}
		for i := range count {
			if d, ok := vrcampaign.Pick(r.running(), a.A+i); ok {
				r.request(d, a, i)
			}
		}
	}
}

func (r *runner) disturbDaemon(a Action) {
	w := r.world
	d, ok := vrcampaign.Pick(r.running(), a.A)
	if a.Kind == ActKillOwner || a.Kind == ActPauseOwner {
		d, ok = r.owner()
	}
	if !ok {
		return
	}
	d.Disturb(a.Lasts)
	switch a.Kind {
	case ActPause, ActPauseOwner:
		d.Pause(a.Lasts)
	case ActStop:
		d.Disturb(vrgateworld.Grace + a.Lasts)
		d.Stop()
		w.After(vrgateworld.Grace+a.Lasts, d.Start)
	case ActLoss:
		probability := 0.1 * float64(1+a.C%5)
		for _, other := range w.Daemons {
			other.Disturb(a.Lasts)
		}
		w.PeerLossRate, w.MaxPeerDelay = probability, time.Duration(a.C)*100*time.Millisecond
		w.After(a.Lasts, func() { w.PeerLossRate, w.MaxPeerDelay = 0, 0 })
	case ActKillAll:
		for _, other := range w.Daemons {
			other.Disturb(a.Lasts)
			other.Kill()
			w.After(a.Lasts, other.Start)
		}
	default:
		d.Kill()
		w.After(a.Lasts, d.Start)
	}
}

// demand requests one model after the other, spread over a duration.
func (r *runner) demand(a Action, duration time.Duration) {
	const rounds = 20
	for round := range rounds {
		r.world.After(duration*time.Duration(round)/rounds, func() {
			d, ok := vrcampaign.Pick(r.running(), a.A+round)
			if !ok {
				return
			}
			adapter := vrid.AdapterID("")
			if round == 2 || round == 3 {
				adapter = "a0"
			}
			model := vrgateworld.ModelName((a.B + round/4) % r.world.Options.Models)
			r.world.Request(d, vrgateworld.RouteStream, model, adapter)
		})
	}
}

// strandOwner delays the placement owner's orders so that they may be sent after another
// daemon has taken over its lease: the owner can't reach the store, or its writes take effect
// after their timeout.
func (r *runner) strandOwner(a Action) {
	const (
		duration = 12 * time.Second
		slowDial = 6 * time.Second
	)
	d, ok := r.owner()
	if !ok {
		return
	}
	w := r.world
	d.Disturb(duration)
	d.SlowDial = slowDial
	w.After(duration, func() { d.SlowDial = 0 })
	if a.C%2 == 0 {
		w.Store.CutDaemon(d, true)
		w.After(a.Lasts, func() { w.Store.CutDaemon(d, false) })
	} else {
		w.Store.Disturb(a.Lasts)
		w.Store.LateWriteRate = moderateFault
		w.After(a.Lasts, func() { w.Store.LateWriteRate = 0 })
	}
	r.demand(a, duration)
}

// strandOrders delays the orders that a server executes and restarts it meanwhile, so that
// they become due in its next incarnation.
func (r *runner) strandOrders(a Action) {
	const (
		restartDelay = 3 * time.Second
		duration     = 12 * time.Second
	)
	s, ok := vrcampaign.Pick(r.servers(vrgateworld.ServiceEngine), a.A)
	if !ok {
		return
	}
	w := r.world
	w.After(a.Lasts/4, func() { s.LateOrderRate = 2 * moderateFault })
	w.After(restartDelay, func() {
		s.LateOrderRate = 0
		s.Restart(a.Lasts / 4)
	})
	r.demand(a, duration)
}

func (r *runner) disturbStore(a Action) {
	w := r.world
	w.Store.Disturb(a.Lasts)
	probability := 0.1 * float64(1+a.C%7)
	switch a.Kind {
	case ActStoreDown:
		w.Store.SetDown(true)
		w.After(a.Lasts, func() { w.Store.SetDown(false) })
	case ActStoreCut:
		d := w.Daemons[a.A%len(w.Daemons)]
		for _, other := range w.Daemons {
			if other.Zone == d.Zone {
				other.Disturb(a.Lasts)
			}
		}
		w.Store.Cut(d.Zone, true)
		w.After(a.Lasts, func() { w.Store.Cut(d.Zone, false) })
	case ActStoreSlow:
		w.Store.MaxExtraDelay = time.Duration(1+a.C) * 200 * time.Millisecond
		w.After(a.Lasts, func() { w.Store.MaxExtraDelay = 0 })
	case ActLostAnswers:
		w.Store.LostAnswerRate = probability
		w.After(a.Lasts, func() { w.Store.LostAnswerRate = 0 })
	default:
		w.Store.LateWriteRate = probability
		w.After(a.Lasts, func() { w.Store.LateWriteRate = 0 })
	}
}

func (r *runner) disturbServer(a Action) {
	w := r.world
	service := vrid.ServiceID("")
	if a.Kind == ActLateOrders || a.Kind == ActLostOrders || a.B%2 == 0 {
		service = vrgateworld.ServiceEngine
	}
	s, ok := vrcampaign.Pick(r.servers(service), a.A)
	if !ok {
		return
	}
	switch a.Kind {
	case ActLateOrders:
		s.LateOrderRate = moderateFault
		w.After(a.Lasts, func() { s.LateOrderRate = 0 })
	case ActLostOrders:
		s.LostAnswerRate = moderateFault
		w.After(a.Lasts, func() { s.LostAnswerRate = 0 })
	case ActServerCut:
		if d, ok := vrcampaign.Pick(w.Daemons, a.B); ok {
			d.Disturb(a.Lasts)
			s.CutFrom[d.ID] = true
			w.After(a.Lasts, func() { delete(s.CutFrom, d.ID) })
		}
	case ActServerDrain:
		s.Drain()
		w.After(4*time.Second+a.Lasts, func() { s.Replace(time.Second, a.C%2 == 0) })
	case ActServerDie:
		s.Replace(a.Lasts, false)
	case ActServerRestart:
		s.Restart(a.Lasts)
	case ActServerReuse:
		s.Replace(a.Lasts, true)
	case ActServerBreaks, ActServerErrors:
		servers := []*vrgateworld.Server{s}
		if a.C%2 == 0 {
			servers = r.servers(s.Service)
		}
		for _, s := range servers {
			rate := &s.BreakRate
			if a.Kind == ActServerErrors {
				rate = &s.ErrorRate
			}
			*rate = moderateFault
			if a.C > 5 {
				*rate = severeFault
			}
			w.After(a.Lasts, func() { *rate = 0 })
		}
	default:
		s.Slowdown = float64(1 + a.C)
		w.After(a.Lasts, func() { s.Slowdown = 0 })
	}
}

// settle ends all faults and checks that every kind of request is served again.
func (r *runner) settle() {
	w := r.world
	w.Store.Heal()
	w.PeerLossRate, w.MaxPeerDelay = 0, 0
	for _, s := range r.servers("") {
		s.LateOrderRate, s.LostAnswerRate, s.BreakRate, s.ErrorRate, s.Slowdown = 0, 0, 0, 0, 0
		clear(s.CutFrom)
		if s.Draining {
			s.Replace(time.Second, false)
		}
	}
	const restartDelay = vrgateworld.Grace + time.Second
	for _, d := range w.Daemons {
		d.SlowDial = 0
		d.Start()
		w.After(restartDelay, d.Start)
	}
	r.advance(settleTime)
	r.probe()
}

// probe sends each kind of request to each running daemon until it is answered, and reports a
// violation of RECOVER if that takes longer than probeTimeout.
func (r *runner) probe() {
	type kind struct {
		route string
		model vrid.ModelID
	}
	kinds := []kind{{route: vrgateworld.RouteRead}, {route: vrgateworld.RouteOnce}, {route: vrgateworld.RouteMoved}}
	for i := range min(r.world.Options.Models, 3) {
		kinds = append(kinds, kind{route: vrgateworld.RouteStream, model: vrgateworld.ModelName(i)})
	}
	for _, d := range r.running() {
		for _, k := range kinds {
			var call *vrgateworld.Call
			for waited := time.Duration(0); waited < probeTimeout && r.oracle.violation == nil; waited += probeInterval {
				if call == nil || call.End != vrgateworld.EndOpen {
					call = r.world.Request(d, k.route, k.model, "")
				}
				r.advance(probeInterval)
				if call.End == vrgateworld.EndAnswered {
					break
				}
			}
			if call != nil && call.End != vrgateworld.EndAnswered {
				r.oracle.fail("RECOVER", "%s does not serve %s %s again within %s, last outcome %d", d.ID, k.route, k.model, probeTimeout, call.End)
			}
		}
	}
}
