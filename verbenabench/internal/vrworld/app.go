package vrworld

import (
	"fmt"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

const (
	appSlots    = 32
	appWorkLow  = 5 * time.Millisecond
	appWorkHigh = 30 * time.Millisecond
	// lateRun is the longest time after which a call whose connection broke still runs.
	lateRun = 3 * time.Second
	// lookUpTimeout is when a lookup counts as failed.
	lookUpTimeout = time.Second
)

// App is an application server with a journal of what it ran.
type App struct {
	ID           vrid.ServerID
	Zone         vrid.ZoneID
	Boot         vrid.BootID
	Alive        bool
	Gone         bool
	Leaving      bool
	LeavingSince time.Time
	// Break is the probability that a connection ends before the answer; half of these
	// calls run, some of them late.
	Break   float64
	world   *World
	vm      *vm
	running int
	// outcomes are the ends of calls by key, for lookups. They outlive a restart.
	outcomes map[string][]byte
	attempts map[*attempt]bool
}

func (w *World) addApp(zone vrid.ZoneID) {
	id := vrid.ServerID(fmt.Sprintf("a%03d-%s", w.vmNumber(), zone))
	a := &App{ID: id, Zone: zone, world: w, outcomes: make(map[string][]byte)}
	a.vm = w.Platform.addVM(vrplatform.VM{
		ID: vrid.VMID(id), Kind: vrplatform.VMApplicationServer, Pool: AppPool, Zone: zone, Address: serverAddress(id),
	})
	a.start()
	w.Apps = append(w.Apps, a)
	w.byApp[id] = a
}

func (a *App) start() {
	a.Boot = a.world.nextBoot()
	a.Alive = true
	a.Leaving = false
	a.LeavingSince = time.Time{}
	a.running = 0
	a.attempts = make(map[*attempt]bool)
}

// Restart ends the server and runs it again after a while.
func (a *App) Restart(after time.Duration) {
	a.Alive = false
	for _, open := range sortedAttempts(a.attempts) {
		open.breakOff()
	}
	a.world.After(after, func() {
		if !a.Alive && !a.Gone {
			a.start()
		}
	})
}

// Reclaim takes the VM away; a new one with another id comes instead. What it ran can be
// looked up there, as services keep their outcomes in a store of their own.
func (a *App) Reclaim(replaced time.Duration) {
	if a.Gone {
		return
	}
	a.Alive = false
	a.Gone = true
	a.vm.removed = a.world.Now()
	for _, open := range sortedAttempts(a.attempts) {
		open.breakOff()
	}
	a.world.After(replaced, func() {
		a.world.addApp(a.Zone)
		a.world.Apps[len(a.world.Apps)-1].outcomes = a.outcomes
	})
}

// Leave makes the server say that it takes no new work.
func (a *App) Leave() {
	if !a.Alive || a.Leaving {
		return
	}
	a.Leaving = true
	a.LeavingSince = a.world.Now()
	a.vm.leaving = a.world.Now()
}

func outcomeKey(service vrid.ServiceID, key vrid.IdempotencyKey) string {
	return string(service) + "/" + string(key)
}

// take runs a call that arrived over a connection.
func (a *App) take(at *attempt) {
	switch {
	case !a.Alive:
		at.finish(vrevent.AttemptNotSent, nil)
		return
	case a.Leaving:
		at.finish(vrevent.AttemptLeaving, nil)
		return
	}
	w := a.world
	if w.chance(a.Break) {
		a.breakCall(at)
		return
	}
	body := a.run(at.call)
	boot := a.Boot
	a.running++
	a.attempts[at] = true
	w.After(w.spread(appWorkLow, appWorkHigh), func() {
		delete(a.attempts, at)
		if a.Boot != boot || !a.Alive {
			return
		}
		a.running--
		if at.ended {
			return
		}
		w.After(w.Net.delay(a.Zone, at.process.Daemon.Zone), func() { at.finish(vrevent.AttemptAnswered, body) })
	})
}

// breakCall ends the connection; the call runs at once, later or never.
func (a *App) breakCall(at *attempt) {
	w := a.world
	switch w.random.IntN(3) {
	case 0:
		a.run(at.call)
	case 1:
		w.After(w.spread(0, lateRun), func() { a.run(at.call) })
	}
	at.finish(vrevent.AttemptBroken, nil)
}

// run journals one run of a call and returns its answer.
func (a *App) run(call *Call) []byte {
	call.Runs++
	body := answerOf(call)
	if call.Request.Key != "" {
		key := outcomeKey(call.Request.Service, call.Request.Key)
		if a.outcomes[key] == nil {
			a.outcomes[key] = body
		}
	}
	if a.world.Options.Observer != nil {
		a.world.Options.Observer.Ran(call, a.ID)
	}
	return body
}

// answerOf is the body that only a run of this call has.
func answerOf(call *Call) []byte {
	return fmt.Appendf(nil, "%s/%s/%x", call.Request.Service, call.Request.Key, call.Request.Digest)
}

func (w *World) lookUp(p *Process, effect vrevent.LookUpOutcome) {
	call := w.Calls[effect.Request]
	var server *App
	for _, a := range w.Apps {
		if serverAddress(a.ID) == effect.Address {
			server = a
		}
	}
	if server == nil || !server.Alive || w.Net.IsCut(p.Daemon.Zone, server.Zone) {
		w.After(lookUpTimeout, func() { p.deliver(vrevent.OutcomeLookedUp{Request: effect.Request}) })
		return
	}
	w.After(2*w.Net.delay(p.Daemon.Zone, server.Zone), func() {
		body := server.outcomes[outcomeKey(call.Request.Service, effect.Key)]
		p.deliver(vrevent.OutcomeLookedUp{Request: effect.Request, Found: body != nil, Status: 200, Body: body})
	})
}
