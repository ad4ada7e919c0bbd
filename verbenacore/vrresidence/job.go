package vrresidence

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// conflictRetryDelay is the delay before a step is retried after a conflict.
	conflictRetryDelay = 120 * time.Millisecond
	// statusDelay is the time after an order until a status report reflects it. Status reports
	// lag by a few hundred milliseconds.
	statusDelay = 450 * time.Millisecond
	// unreachableCooldown is how long a server gets no further loads after an order could not be
	// sent to it.
	unreachableCooldown = 700 * time.Millisecond
	// maxConflicts is the number of conflicts of one step after which its job is dropped.
	maxConflicts = 60
	// stuckConflicts is the number of conflicts or unanswered orders from which a load counts as stuck.
	stuckConflicts = 8
	// adapterLoadTime is the expected time of an adapter load, which takes on the order of ten
	// milliseconds while few adapters are being transferred.
	adapterLoadTime = 15 * time.Millisecond
	// maxOrderDelay is how long after it was sent an unanswered order may still be carried out.
	maxOrderDelay = 13 * time.Second
	// overdueFactor is the multiple of its expected time after which the planner gives up on an
	// accepted load.
	overdueFactor = 4
)

// tier is the kind of storage that a model's weights are loaded from, the fastest first.
type tier uint8

const (
	tierMemory tier = iota
	tierDisk
	tierStore
)

func (t tier) String() string {
	return [...]string{"memory", "disk", "store"}[t]
}

// phase is the state of a job's current step.
type phase uint8

const (
	// phasePending: the order of the current step has to be sent.
	phasePending phase = iota
	// phaseSent: the order was sent and has not been answered yet.
	phaseSent
	// phaseAccepted: the server carries the order out.
	phaseAccepted
	// phaseEnded: the job has ended.
	phaseEnded
)

// step is one order of a job.
type step struct {
	kind    vrevent.OrderKind
	model   vrid.ModelID
	adapter vrid.AdapterID
}

// job is a sequence of orders to one server: the unloads that free memory, then the load.
type job struct {
	service vrid.ServiceID
	// startedAt identifies the run of the server, as in ledger.
	startedAt int64
	steps     []step
	phase     phase
	sentAt    time.Time
	retryAt   time.Time
	// expectedOrders is the order count that the current order was sent with.
	expectedOrders uint64
	conflicts      int
	drain          drain
	// acceptedSteps is the number of steps that the server has accepted.
	acceptedSteps int
	// awaitingStatus is set while the job waits for the server's status report.
	awaitingStatus bool
	// source is the tier that the weights are loaded from.
	source tier
	// acceptedAt is when the server accepted the load, plannedAt when it was planned, and
	// expectedTime how long it is expected to take after acceptance.
	acceptedAt   time.Time
	plannedAt    time.Time
	expectedTime time.Duration
	// concurrentLoads is the number of loads from the weight store when the load was planned,
	// including this one.
	concurrentLoads int
}

// blockedFor returns how much longer the job is expected to keep its server from another order. An
// order without an answer may still be carried out until maxOrderDelay after it was sent.
func (j *job) blockedFor(now time.Time) time.Duration {
	if j.phase == phaseSent && now.Sub(j.sentAt) > statusDelay {
		return max(j.expectedTime, maxOrderDelay-now.Sub(j.sentAt))
	}
	return j.remaining(now)
}

// loadStep returns the last step, which is the load.
func (j *job) loadStep() step { return j.steps[len(j.steps)-1] }

// remaining returns how much longer the load is expected to take.
func (j *job) remaining(now time.Time) time.Duration {
	if j.phase != phaseAccepted {
		return j.expectedTime
	}
	return max(j.expectedTime-now.Sub(j.acceptedAt), 0)
}

// advance moves to the next step or ends the job.
func (j *job) advance(now time.Time) {
	j.steps = j.steps[1:]
	j.acceptedSteps++
	j.conflicts = 0
	j.drain = drain{}
	j.phase = phasePending
	j.retryAt = now
	if len(j.steps) == 0 {
		j.phase = phaseEnded
	}
}

// issueOrders adds the orders that are due to the decision.
func (p *Planner) issueOrders(now time.Time, input PlanInput, decision *Decision) {
	for _, id := range p.serversWithJobs() {
		j := p.jobs[id]
		server := input.Fleet.Server(id)
		if server == nil || server.Born != j.startedAt || !server.AcceptsWork() {
			delete(p.jobs, id)
			continue
		}
		p.requestCompletion(now, id, j, decision)
		p.checkCompletion(now, server, j, decision)
		if stale := p.isStale(now, server, decision); stale && p.jobs[id] != nil && j.phase == phasePending {
			// The report shows whether the job still fits.
			j.awaitingStatus = true
		}
		if p.jobs[id] == nil || !p.isDue(now, id, j) {
			continue
		}
		service := input.Catalog.Service(j.service)
		if service == nil || service.Engine == nil {
			delete(p.jobs, id)
			continue
		}
		p.issueOrder(capacity{now: now, engine: service.Engine}, server, j, decision)
	}
}

// serversWithJobs returns the servers that have a job, in order.
func (p *Planner) serversWithJobs() []vrid.ServerID {
	ids := make([]vrid.ServerID, 0, len(p.jobs))
	for id := range p.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// issueOrder adds the order of a job's current step to the decision, unless the step is a load that does not fit,
// or one from the weight store that would exceed the ceiling.
func (p *Planner) issueOrder(c capacity, server *vrfleet.Server, j *job, decision *Decision) {
	now, current := c.now, j.steps[0]
	l := p.ledgers[server.ID]
	if l == nil || l.startedAt != server.Born {
		delete(p.jobs, server.ID)
		return
	}
	if !c.fits(server, l, current) {
		// The plan has made room for the load, so this is the last defence against a fault in it, or the
		// catalog has changed since.
		decision.Unfit = append(decision.Unfit, UnfitLoad{
			Server: server.ID, Model: current.model, Adapter: current.adapter,
			FreeMemory: c.freeMemory(server, l), FreeAdapterSlots: c.freeAdapterSlots(server, l),
		})
		delete(p.jobs, server.ID)
		p.cooldownUntil[server.ID] = now.Add(unreachableCooldown)
		return
	}
	if current.kind == vrevent.OrderLoad && current.adapter == "" && j.source == tierStore && !p.store(j.service).tryStart(now) {
		j.retryAt = now.Add(conflictRetryDelay)
		return
	}
	j.phase = phaseSent
	j.sentAt = now
	j.expectedOrders = l.orders
	decision.Orders = append(decision.Orders, vrevent.PlacementOrder{
		Server: server.ID, Address: server.Address, Kind: current.kind,
		Model: current.model, Adapter: current.adapter, ExpectedOrders: j.expectedOrders,
	})
	if current.kind == vrevent.OrderUnload {
		decision.Notices = append(decision.Notices, Notice{Notice: vrwire.Notice{
			Kind: vrwire.NoticeUnloading, Service: j.service, Model: current.model, Adapter: current.adapter, Server: server.ID,
		}})
	}
}

// checkCompletion ends an accepted load that the server's entry shows as done, and gives up on
// one that is long overdue.
func (p *Planner) checkCompletion(now time.Time, server *vrfleet.Server, j *job, decision *Decision) {
	if j.phase != phaseAccepted {
		return
	}
	current := j.steps[0]
	if current.kind == vrevent.OrderLoad && hasModel(server, current.model) {
		if j.source == tierStore {
			p.store(j.service).loadEnded(now.Sub(j.acceptedAt), j)
		}
		p.loadedAt[serverModel{server.ID, current.model}] = now
		decision.EndedLoads = append(decision.EndedLoads, j.loadEnd(now, server.ID, true))
		p.clearWaiting(target{service: j.service, model: current.model})
		decision.Notices = append(decision.Notices, Notice{Notice: vrwire.Notice{
			Kind: vrwire.NoticeLoaded, Service: j.service, Model: current.model, Server: server.ID,
		}})
		delete(p.jobs, server.ID)
		return
	}
	if now.Sub(j.acceptedAt) > overdueFactor*j.expectedTime+time.Second {
		if j.source == tierStore {
			p.store(j.service).loadEnded(now.Sub(j.acceptedAt), j)
		}
		decision.EndedLoads = append(decision.EndedLoads, j.loadEnd(now, server.ID, false))
		// Only the server's status report can tell whether the load is still in progress.
		delete(p.jobs, server.ID)
		delete(p.ledgers, server.ID)
	}
}

// loadEnd describes the end of the job's load.
func (j *job) loadEnd(now time.Time, server vrid.ServerID, succeeded bool) LoadEnd {
	return LoadEnd{
		Server: server, Model: j.loadStep().model, Source: j.source.String(), Waited: j.acceptedAt.Sub(j.plannedAt), Took: now.Sub(j.acceptedAt),
		ExpectedTime: j.expectedTime, Succeeded: succeeded,
	}
}

// hasModel reports whether the server's entry lists a model.
func hasModel(server *vrfleet.Server, model vrid.ModelID) bool {
	return slices.ContainsFunc(server.LoadedModels(), func(h vrfleet.LoadedModel) bool { return h.Model == model })
}

// HandleOrderEnded handles the end of an order and returns the notices to daemons.
func (p *Planner) HandleOrderEnded(now time.Time, e vrevent.OrderEnded, fleet *vrfleet.Fleet) []Notice {
	j := p.jobs[e.Order.Server]
	server := fleet.Server(e.Order.Server)
	if j == nil || server == nil || j.phase != phaseSent || j.startedAt != server.Born || j.expectedOrders != e.Order.ExpectedOrders {
		return nil
	}
	current := j.steps[0]
	switch e.Outcome {
	case vrevent.OrderAccepted, vrevent.OrderAlreadyApplied:
		l := p.ledgers[server.ID]
		if l == nil || l.startedAt != server.Born || l.orders != j.expectedOrders {
			delete(p.jobs, server.ID)
			return nil
		}
		l.apply(now, current, e.Outcome == vrevent.OrderAlreadyApplied)
		if e.Outcome == vrevent.OrderAlreadyApplied && current.kind == vrevent.OrderLoad {
			// It is unknown whether the server counts an order that changes nothing.
			delete(p.ledgers, server.ID)
		}
		return p.handleAccepted(now, server, j, current)
	case vrevent.OrderConflict:
		p.handleConflict(now, server.ID, j)
	case vrevent.OrderUnknown:
		// It is safe to send the same order with the same count again: the server accepts
		// whichever arrives first and refuses the other, whose count is then wrong.
		j.phase, j.retryAt = phasePending, now.Add(statusDelay)
		if current.kind == vrevent.OrderUnload {
			p.doubtfulRuns[server.ID] = server.Born
		}
		j.conflicts++
		j.awaitingStatus = j.conflicts > 1
	case vrevent.OrderNotSent:
		// The server is unreachable, so another one is chosen.
		delete(p.jobs, server.ID)
		p.cooldownUntil[server.ID] = now.Add(unreachableCooldown)
	default:
		delete(p.jobs, server.ID)
		p.cooldownUntil[server.ID] = now.Add(time.Second)
	}
	if j.conflicts > maxConflicts || j.blockedTime(now) > maxBlocked {
		delete(p.jobs, server.ID)
		p.cooldownUntil[server.ID] = now.Add(time.Second)
	}
	return nil
}

// handleConflict retries the step shortly afterwards, in case an earlier order is still in
// progress, and requests the server's status report after every few conflicts, in case its
// order count differs.
func (p *Planner) handleConflict(now time.Time, server vrid.ServerID, j *job) {
	j.conflicts++
	j.phase, j.retryAt = phasePending, now.Add(j.retryBlocked(now))
	// A server refuses orders while an unload waits for the running requests of its model.
	// After a step of this job was accepted, such conflicts are expected.
	const conflictsPerRead = 2
	readStatus := j.conflicts%conflictsPerRead == 0
	if j.acceptedSteps > 0 {
		readStatus = now.Sub(later(j.drain.blockedSince, p.statusRequestedAt[server])) >= blockedStatusInterval
	}
	if readStatus {
		j.awaitingStatus = true
		j.retryAt = now
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// handleAccepted applies an accepted step and returns the notices to daemons.
func (p *Planner) handleAccepted(now time.Time, server *vrfleet.Server, j *job, current step) []Notice {
	switch {
	case current.kind == vrevent.OrderUnload:
		if current.adapter != "" {
			server.RemoveAdapter(current.model, current.adapter)
			if p.ledgers[server.ID].awaitUnload(modelAdapter{current.model, current.adapter}, j.loadStep()) {
				// The load is planned anew once there is room for it, here or at another server.
				delete(p.jobs, server.ID)
				return nil
			}
		} else {
			server.MarkMissing(now, current.model, "")
			delete(p.loadedAt, serverModel{server.ID, current.model})
		}
		j.advance(now)
		if current.adapter == "" && j.phase == phasePending {
			p.beginDrain(now, server.ID, j, current.model)
		}
		return nil
	case current.adapter != "":
		server.SetAdapterReady(now.Add(adapterLoadTime), current.model, current.adapter)
		delete(p.jobs, server.ID)
		k := target{service: j.service, model: current.model, adapter: current.adapter}
		notice := Notice{
			Notice: vrwire.Notice{
				Kind: vrwire.NoticeLoading, Service: j.service, Model: current.model, Adapter: current.adapter,
				Server: server.ID, Delay: adapterLoadTime.Milliseconds(),
			},
			To: p.daemonsToNotify(now, k, 0),
		}
		p.clearWaiting(k)
		return []Notice{notice}
	}
	j.phase, j.acceptedAt = phaseAccepted, now
	k := target{service: j.service, model: current.model}
	return []Notice{{
		Notice: vrwire.Notice{
			Kind: vrwire.NoticeLoading, Service: j.service, Model: current.model, Server: server.ID,
			Delay: j.expectedTime.Milliseconds(),
		},
		To: p.daemonsToNotify(now, k, 0),
	}}
}
