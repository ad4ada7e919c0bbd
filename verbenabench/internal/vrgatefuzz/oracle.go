package vrgatefuzz

import (
	"fmt"
	"slices"
	"time"

	"verbenaroute.example/verbenabench/internal/vrcampaign"
	"verbenaroute.example/verbenabench/internal/vrgateworld"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	// maxOverrun is how long after its deadline a call may end.
	maxOverrun = 500 * time.Millisecond
	// resumeGrace is how long after its sender resumed from a suspension an order is ignored by
	// the check ONE.
	resumeGrace = 500 * time.Millisecond
	// maxSendAfterClose is how long after its client closed the connection a call may still be
	// sent.
	maxSendAfterClose = 500 * time.Millisecond
)

// oracle checks the platform's invariants. Apart from each process's catalog version, it uses
// only what servers, the store and clients observe.
type oracle struct {
	options   vrgateworld.Options
	world     *vrgateworld.World
	violation *vrcampaign.Violation
	// lastOrders holds the last order that reached each engine.
	lastOrders map[vrid.ServerID]receivedOrder
	// loadStarts lists when loads from the weight store started within the last window.
	loadStarts []time.Time
	// firstArrivals holds for each service the times at which calls arrived first,
	// repeatArrivals the times of their later arrivals.
	firstArrivals, repeatArrivals map[vrid.ServiceID][]time.Time
	// arrivedCalls holds the calls of which a send has reached a server.
	arrivedCalls map[*vrgateworld.Call]bool
	// catalogVersions holds the version of each process's catalog.
	catalogVersions map[*vrgateworld.Process]vrid.ConfigVersion
	// lateDeadly counts the requests with the deadly part that reached engines when it had to be
	// known.
	lateDeadly int
}

type receivedOrder struct {
	holder vrid.DaemonID
	epoch  vrid.Epoch
	at     time.Time
}

func newOracle() *oracle {
	return &oracle{
		lastOrders: make(map[vrid.ServerID]receivedOrder), firstArrivals: make(map[vrid.ServiceID][]time.Time),
		repeatArrivals: make(map[vrid.ServiceID][]time.Time), arrivedCalls: make(map[*vrgateworld.Call]bool), catalogVersions: make(map[*vrgateworld.Process]vrid.ConfigVersion),
	}
}

func (o *oracle) fail(invariant, format string, args ...any) {
	if o.violation == nil {
		o.violation = &vrcampaign.Violation{Invariant: invariant, At: o.world.Now(), Problem: fmt.Sprintf(format, args...)}
	}
}

// Ordered checks ONE: orders of two daemons never reach the same server within the lease
// duration of each other or with the same fencing token, and fencing tokens never decrease.
func (o *oracle) Ordered(server *vrgateworld.Server, p *vrgateworld.Process, order vrevent.PlacementOrder) {
	now := o.world.Now()
	if server.ID != order.Server || now.Sub(p.ResumedAt) < resumeGrace {
		return
	}
	last, known := o.lastOrders[server.ID]
	o.lastOrders[server.ID] = receivedOrder{holder: p.Daemon.ID, epoch: order.Epoch, at: now}
	if !known {
		return
	}
	holderChanged := last.holder != p.Daemon.ID
	switch {
	case holderChanged && now.Sub(last.at) < vrgateworld.Lease:
		o.fail("ONE", "%s sent an order to %s %s after %s did", p.Daemon.ID, server.ID, now.Sub(last.at), last.holder)
	case holderChanged && last.epoch == order.Epoch:
		o.fail("ONE", "%s and %s sent orders to %s with the same fencing token %d", last.holder, p.Daemon.ID, server.ID, order.Epoch)
	case order.Epoch < last.epoch:
		o.fail("ONE", "%s sent an order to %s with fencing token %d after %d", p.Daemon.ID, server.ID, order.Epoch, last.epoch)
	}
}

// Accepted checks LIMIT, the capacity of a server, and CEILING, the rate of loads, when a
// server starts to execute an order.
func (o *oracle) Accepted(server *vrgateworld.Server, order vrevent.PlacementOrder, fromStore bool) {
	if server.Models() > o.options.ModelsPerEngine {
		o.fail("LIMIT", "%s holds %d models after loading %s, but has memory for %d", server.ID, server.Models(), order.Model, o.options.ModelsPerEngine)
	}
	if server.Adapters() > vrgateworld.MaxAdapters {
		o.fail("LIMIT", "%s holds %d adapters after loading %s", server.ID, server.Adapters(), order.Adapter)
	}
	if fromStore {
		o.recordLoad()
	}
}

func (o *oracle) recordLoad() {
	now := o.world.Now()
	if !o.world.Store.Stable() {
		return
	}
	o.loadStarts = append(dropOld(o.loadStarts, now, vrgateworld.CeilingWindow), now)
	limit := vrgateworld.LoadRate*vrgateworld.CeilingWindow.Seconds()*vrgateworld.CeilingFactor + vrgateworld.CeilingExtra
	if float64(len(o.loadStarts)) > limit {
		o.fail("CEILING", "%d loads from the weight store within %s, at most %.1f are allowed", len(o.loadStarts), vrgateworld.CeilingWindow, limit)
	}
}

// dropOld removes the times that are older than a window.
func dropOld(times []time.Time, now time.Time, window time.Duration) []time.Time {
	return slices.DeleteFunc(times, func(at time.Time) bool { return now.Sub(at) > window })
}

// Arrived checks DRAIN, GONE, ORDER, MIXED and the retry budget when a request reaches a server.
func (o *oracle) Arrived(server *vrgateworld.Server, a *vrgateworld.Attempt) {
	call, now := a.Call, o.world.Now()
	d := call.Process.Daemon
	if server.ID != a.Send.Server {
		return
	}
	if !server.LeaveRecordedAt.IsZero() && server.Draining && d.StableAt(server.LeaveRecordedAt) && d.StableAt(now) && o.world.Store.Stable() &&
		now.Sub(server.LeaveRecordedAt) > vrgateworld.Drain {
		o.fail("DRAIN", "%s sends %s to %s %s after the server started to drain", d.ID, call.Request, server.ID, now.Sub(server.LeaveRecordedAt))
	}
	if server.Draining && server.KnownDraining(call.Process) && a.SentAt.Sub(server.LeaveRecordedAt) > vrgateworld.Drain {
		o.fail("DRAIN", "%s sends %s to %s although it knew that the server drains", d.ID, call.Request, server.ID)
	}
	if told := server.ToldLeaving(call.Process); !told.IsZero() && call.Sent.Sub(told) > vrgateworld.Drain && call.Process.ResumedAt.Before(told) {
		o.fail("DRAIN", "%s sends %s to %s %s after an answer stated that it leaves", d.ID, call.Request, server.ID, now.Sub(told))
	}
	if !call.DisconnectedAt.IsZero() && a.SentAt.Sub(call.DisconnectedAt) > maxSendAfterClose {
		o.fail("GONE", "%s sends %s %s after its client closed the connection", d.ID, call.Request, a.SentAt.Sub(call.DisconnectedAt))
	}
	o.checkDeadly(a)
	if call.PartForwarded {
		o.fail("MIXED", "%s sends %s again after part of a body reached the client", d.ID, call.Request)
	}
	if !call.PartForwarded && (a.EventsBefore > 0) != a.Send.Resume {
		o.fail("ORDER", "%s sends %s after %d events with resume set to %t", d.ID, call.Request, a.EventsBefore, a.Send.Resume)
	}
	if !o.arrivedCalls[call] {
		// Sends that never arrived don't count, so this is the call's first arrival.
		o.arrivedCalls[call] = true
		o.firstArrivals[server.Service] = append(o.firstArrivals[server.Service], now)
		return
	}
	o.repeatArrivals[server.Service] = append(dropOld(o.repeatArrivals[server.Service], now, vrgateworld.RetryWindow), now)
	o.checkBudget(server.Service)
}

// checkDeadly checks that at most maxLateDeadly requests with the deadly part reach engines later than
// the bound Contact after crashesToLearn crashes.
func (o *oracle) checkDeadly(a *vrgateworld.Attempt) {
	const crashesToLearn, maxLateDeadly = 5, 3
	crashes := o.world.Crashes
	if !a.Call.Deadly() || len(crashes) < crashesToLearn {
		return
	}
	known := crashes[crashesToLearn-1].Add(vrgateworld.Contact)
	if a.SentAt.Before(known) || !a.Call.Process.Daemon.StableAt(a.SentAt) || !o.world.Store.Stable() {
		return
	}
	if o.lateDeadly++; o.lateDeadly > maxLateDeadly {
		o.fail("BUDGET", "%s is request %d with the deadly part that reaches a server after %d crashes", a.Call.Request, o.lateDeadly, len(crashes))
	}
}

// checkBudget checks the repeats in the current window against the budget. The budget is
// taken from the window with the most first arrivals: the current one, the one before it, or
// the one half a window before it.
func (o *oracle) checkBudget(service vrid.ServiceID) {
	now, window := o.world.Now(), vrgateworld.RetryWindow
	maxArrivals := 0
	for _, offset := range []time.Duration{0, window / 2, window} {
		end, count := now.Add(-offset), 0
		for _, at := range o.firstArrivals[service] {
			if !at.After(end) && end.Sub(at) <= window {
				count++
			}
		}
		maxArrivals = max(maxArrivals, count)
	}
	limit := vrgateworld.RetryRatio*float64(maxArrivals) + vrgateworld.RetrySlack
	if repeats := len(o.repeatArrivals[service]); float64(repeats) > limit {
		o.fail("BUDGET", "%d repeats for %s within %s, at most %.1f are allowed", repeats, service, window, limit)
	}
}

// Ran checks TWICE, REFUSED, ROUTE, CONFIG and the maximum number of attempts when a server
// starts to run a request.
func (o *oracle) Ran(server *vrgateworld.Server, a *vrgateworld.Attempt) {
	call := a.Call
	if !call.Repeatable() && len(call.Runs) > 1 {
		o.fail("TWICE", "%s was started %d times, last on %s", call.Request, len(call.Runs), server.ID)
	}
	if call.Refusal != nil && call.Refusal.NotRun {
		o.fail("REFUSED", "%s was started on %s after it was refused as not run", call.Request, server.ID)
	}
	if servers := liveServers(call.Runs); servers > 2 {
		o.fail("BUDGET", "%s was started on %d servers", call.Request, servers)
	}
	o.checkService(server, call)
}

// liveServers counts the distinct servers that are still alive.
func liveServers(runs []*vrgateworld.Server) int {
	seen := make(map[vrid.ServerID]bool)
	for _, server := range runs {
		if server.Alive {
			seen[server.ID] = true
		}
	}
	return len(seen)
}

func (o *oracle) checkService(server *vrgateworld.Server, call *vrgateworld.Call) {
	d := call.Process.Daemon
	allowed, current := false, false
	for i, published := range o.world.Store.Catalogs {
		if published.Catalog.Match(call.Host, call.Path).Services[0].Service != server.Service {
			continue
		}
		allowed = true
		catalogs := o.world.Store.Catalogs
		if i+1 == len(catalogs) || call.Sent.Sub(catalogs[i+1].At) <= vrgateworld.Apply {
			current = true
		}
	}
	if !allowed {
		o.fail("ROUTE", "%s was started on %s of service %s, which no catalog allows", call.Request, server.ID, server.Service)
	}
	if !current && d.StableAt(call.Sent) && o.world.Store.Stable() && call.Sent.After(o.world.Store.DisturbedUntil.Add(vrgateworld.Contact)) {
		o.fail("CONFIG", "%s sends %s to %s, which only an old catalog allows", d.ID, call.Request, server.Service)
	}
}

// Effect checks that calls are sent with a valid priority.
func (o *oracle) Effect(_ *vrgateworld.Process, effect vrevent.Effect) {
	if send, ok := effect.(vrevent.SendCall); ok && send.Priority < 0 {
		o.fail("ORDER", "call %d has priority %d", send.Call, send.Priority)
	}
}

// Ended checks REFUSED and MIXED against the answer that a client received.
func (o *oracle) Ended(call *vrgateworld.Call) {
	switch {
	case call.Truncated:
		o.fail("MIXED", "%s was answered as complete although the connection of its answer was reset", call.Request)
	case call.End == vrgateworld.EndRefused && call.Refusal.NotRun && len(call.Runs) > 0:
		o.fail("REFUSED", "%s was refused as not run after it was started on %s", call.Request, call.Runs[0].ID)
	case call.End == vrgateworld.EndRefused && call.Events > 0:
		o.fail("MIXED", "%s was refused after %d events", call.Request, call.Events)
	}
}

// Reduced checks that a process never returns to an older catalog, and never plans a load for which there is no
// room.
func (o *oracle) Reduced(p *vrgateworld.Process) {
	if unfit := p.State.Counts().UnfitLoads; unfit > 0 {
		o.fail("LIMIT", "%s planned %d loads that do not fit", p.Daemon.ID, unfit)
	}
	catalog := p.State.Catalog()
	if catalog == nil {
		return
	}
	if catalog.Version < o.catalogVersions[p] {
		o.fail("CONFIG", "%s returned from catalog %d to %d", p.Daemon.ID, o.catalogVersions[p], catalog.Version)
	}
	o.catalogVersions[p] = catalog.Version
}

// checkOpen checks that calls end by their deadlines and that none outlives its process.
func (o *oracle) checkOpen() {
	now := o.world.Now()
	for _, call := range o.world.Calls {
		p := call.Process
		if call.End != vrgateworld.EndOpen || p.Paused() {
			continue
		}
		if overrun := now.Sub(call.Deadline) - p.PausedFor; overrun > maxOverrun {
			o.fail("CONFIG", "%s is still open %s after its deadline", call.Request, overrun)
		}
		if p.Daemon.Process != p {
			o.fail("LOST", "%s is still open after its daemon stopped", call.Request)
		}
	}
}
