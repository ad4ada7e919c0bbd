package vrworld

import (
	"fmt"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
)

const (
	appSlots   = 32
	appWorkMin = 5 * time.Millisecond
	appWorkMax = 30 * time.Millisecond
	// maxLateRunDelay is the maximum delay until a call whose connection broke still runs.
	maxLateRunDelay = 3 * time.Second
	// lookUpTimeout is how long a lookup of an outcome waits before it fails.
	lookUpTimeout = time.Second
)

// App simulates an application server that remembers the outcomes of the calls it ran.
type App struct {
	ID           vrid.ServerID
	Zone         vrid.ZoneID
	Boot         vrid.BootID
	Alive        bool
	Gone         bool
	Leaving      bool
	LeavingSince time.Time
	// BreakProbability is the probability that a connection breaks before the answer. A call whose
	// connection broke runs at once, runs late or never runs, with equal probability.
	BreakProbability float64
	world            *World
	vm               *vmEntry
	running          int
	// outcomes holds the answers of calls by outcomeKey, for lookups. It survives a restart.
	outcomes map[string][]byte
	attempts map[*attempt]bool
}

func (w *World) addApp(zone vrid.ZoneID) {
	id := vrid.ServerID(fmt.Sprintf("a%03d-%s", w.nextVMNumber(), zone))
	a := &App{ID: id, Zone: zone, world: w, outcomes: make(map[string][]byte)}
	a.vm = w.Platform.addVM(vrplatform.VM{
		ID: vrid.VMID(id), Kind: vrplatform.VMApplicationServer, Pool: AppPool, Zone: zone, Address: serverAddress(id),
	})
	a.start()
	w.Apps = append(w.Apps, a)
	w.byApp[id] = a
}

func (a *App) start() {
	a.Boot = a.world.nextBootID()
	a.Alive = true
	a.Leaving = false
	a.LeavingSince = time.Time{}
	a.running = 0
	a.attempts = make(map[*attempt]bool)
}

// Restart stops the server, which breaks its connections, and starts it after a delay.
func (a *App) Restart(delay time.Duration) {
	a.Alive = false
	for _, open := range sortedAttempts(a.attempts) {
		open.breakConnection()
	}
	a.world.After(delay, func() {
		if !a.Alive && !a.Gone {
			a.start()
		}
	})
}

// Reclaim removes the VM. A VM with another id replaces it after a delay and inherits the
// outcomes, because services keep their outcomes in a store of their own.
func (a *App) Reclaim(replacementDelay time.Duration) {
	if a.Gone {
		return
	}
	a.Alive = false
	a.Gone = true
	a.vm.removed = a.world.Now()
	for _, open := range sortedAttempts(a.attempts) {
		open.breakConnection()
	}
	a.world.After(replacementDelay, func() {
		a.world.addApp(a.Zone)
		a.world.Apps[len(a.world.Apps)-1].outcomes = a.outcomes
	})
}

// Leave makes the server announce that it accepts no new work.
func (a *App) Leave() {
	if !a.Alive || a.Leaving {
		return
	}
	a.Leaving = true
	a.LeavingSince = a.world.Now()
	a.vm.leaving = a.world.Now()
}

// outcomeKey returns the key of App.outcomes.
func outcomeKey(service vrid.ServiceID, key vrid.IdempotencyKey) string {
	return string(service) + "/" + string(key)
}

// accept runs a call that arrived over a connection, or rejects it if the server is down or
// leaving.
func (a *App) accept(at *attempt) {
	switch {
	case !a.Alive:
		at.finish(vrevent.AttemptNotSent, nil)
		return
	case a.Leaving:
		at.finish(vrevent.AttemptLeaving, nil)
		return
	}
	w := a.world
	if w.chance(a.BreakProbability) {
		a.breakConnection(at)
		return
	}
	body := a.run(at.call)
	boot := a.Boot
	a.running++
	a.attempts[at] = true
	w.After(w.randomDuration(appWorkMin, appWorkMax), func() {
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

// breakConnection breaks the connection of a call. The call itself runs at once, late or
// never.
func (a *App) breakConnection(at *attempt) {
	w := a.world
	switch w.random.IntN(3) {
	case 0:
		a.run(at.call)
	case 1:
		w.After(w.randomDuration(0, maxLateRunDelay), func() { a.run(at.call) })
	}
	at.finish(vrevent.AttemptBroken, nil)
}

// run executes a call, stores its outcome if the call has an idempotency key and no
// outcome yet, and returns the answer.
func (a *App) run(call *Call) []byte {
	call.AppRuns++
	body := expectedBody(call)
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

// expectedBody returns the body of a correct answer, which is specific to the request.
func expectedBody(call *Call) []byte {
	return fmt.Appendf(nil, "%s/%s/%x", call.Request.Service, call.Request.Key, call.Request.Digest)
}

// lookUpOutcome answers a daemon's query for the outcome of a call at an application server.
func (w *World) lookUpOutcome(p *Process, effect vrevent.LookUpOutcome) {
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
