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
	// retryPause is the pause before a step that met a conflict is tried again.
	retryPause = 120 * time.Millisecond
	// statusPause is how long after an order a report shows it: reports lag by some
	// hundred milliseconds.
	statusPause = 450 * time.Millisecond
	// unreachedPause is how long a server gets no order after one could not be given.
	unreachedPause = 700 * time.Millisecond
	// conflictsMost conflicts of one step end its work.
	conflictsMost = 60
	// adapterTime is the expected time of an adapter load, of the order of ten
	// milliseconds while few are in transit.
	adapterTime = 15 * time.Millisecond
	// lateOrder is how long an unanswered order may still be carried out.
	lateOrder = 13 * time.Second
	// overdue is how long after its expected end an accepted load is given up on, in
	// expected times.
	overdue = 4
)

// tier is where the nearest copy of a model's weights is.
type tier uint8

const (
	tierMemory tier = iota
	tierDisk
	tierStore
)

func (t tier) String() string {
	return [...]string{"memory", "disk", "store"}[t]
}

// phase is where a server's work stands.
type phase uint8

const (
	// phaseDue: the present step has to be ordered.
	phaseDue phase = iota
	// phaseSent: it was ordered and not answered yet.
	phaseSent
	// phaseAccepted: the server carries it out.
	phaseAccepted
	// phaseDropped: the work ended.
	phaseDropped
)

// step is one order of a server's work.
type step struct {
	kind    vrevent.OrderKind
	model   vrid.ModelID
	adapter vrid.AdapterID
}

// work is a chain of orders to one server: what makes room, then the load.
type work struct {
	service vrid.ServiceID
	born    int64
	steps   []step
	phase   phase
	sentAt  time.Time
	retryAt time.Time
	// expected is the count that the present order was sent with.
	expected  uint64
	conflicts int
	// begunSteps counts the steps that were accepted.
	begunSteps int
	reading    bool
	from       tier
	// begun is when the load was accepted, eta how long it is expected to take, beside
	// how many others from the weight store.
	begun   time.Time
	decided time.Time
	eta     time.Duration
	beside  int
}

func (w *work) load() step { return w.steps[len(w.steps)-1] }

// stuckConflicts is from how many conflicts on a load counts as held up by an unload
// that waits for long requests; another server may then load the model.
const stuckConflicts = 8

func (w *work) stuck() bool { return w.phase == phaseDue && w.conflicts >= stuckConflicts }

// left is how long the load is expected to take from now.
func (w *work) left(now time.Time) time.Duration {
	if w.phase != phaseAccepted {
		return w.eta
	}
	return max(w.eta-now.Sub(w.begun), 0)
}

// next goes on to the following step or ends the work.
func (w *work) next(now time.Time) {
	w.steps = w.steps[1:]
	w.begunSteps++
	w.conflicts = 0
	w.phase = phaseDue
	w.retryAt = now
	if len(w.steps) == 0 {
		w.phase = phaseDropped
	}
}

// due returns the orders that are to be given now.
func (p *Planner) due(now time.Time, view PlanInput, decided *Decision) {
	for _, id := range p.workers() {
		w := p.work[id]
		server := view.Fleet.Server(id)
		if server == nil || server.Born != w.born || !server.Takes() {
			delete(p.work, id)
			continue
		}
		p.settle(now, server, w, decided)
		if p.work[id] == nil || w.phase != phaseDue || now.Before(w.retryAt) || w.reading {
			continue
		}
		p.order(now, server, w, decided)
	}
}

func (p *Planner) workers() []vrid.ServerID {
	ids := make([]vrid.ServerID, 0, len(p.work))
	for id := range p.work {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (p *Planner) order(now time.Time, server *vrfleet.Server, w *work, decided *Decision) {
	current := w.steps[0]
	if current.kind == vrevent.OrderLoad && current.adapter == "" && w.from == tierStore && !p.store(w.service).begin(now, p.former) {
		w.retryAt = now.Add(retryPause)
		return
	}
	w.phase = phaseSent
	w.sentAt = now
	known := p.ledgers[server.ID]
	if known == nil || known.born != server.Born {
		delete(p.work, server.ID)
		return
	}
	w.expected = known.orders
	decided.Orders = append(decided.Orders, vrevent.PlacementOrder{
		Server: server.ID, Address: server.Address, Kind: current.kind,
		Model: current.model, Adapter: current.adapter, ExpectedOrders: w.expected,
	})
	if current.kind == vrevent.OrderUnload {
		decided.Notices = append(decided.Notices, Notice{Notice: vrwire.Notice{
			Kind: vrwire.NoticeLosing, Service: w.service, Model: current.model, Adapter: current.adapter, Server: server.ID,
		}})
	}
}

// settle ends an accepted step that the server's entry shows as done, and gives up on one
// that is long overdue.
func (p *Planner) settle(now time.Time, server *vrfleet.Server, w *work, decided *Decision) {
	if w.phase != phaseAccepted {
		return
	}
	current := w.steps[0]
	if current.kind == vrevent.OrderLoad && hasModel(server, current.model) {
		if w.from == tierStore {
			p.store(w.service).ended(now.Sub(w.begun), w)
		}
		p.held[resident{server.ID, current.model}] = now
		decided.EndedLoads = append(decided.EndedLoads, w.ended(now, server.ID, true))
		p.served(key{service: w.service, model: current.model})
		decided.Notices = append(decided.Notices, Notice{Notice: vrwire.Notice{
			Kind: vrwire.NoticeHeld, Service: w.service, Model: current.model, Server: server.ID,
		}})
		delete(p.work, server.ID)
		return
	}
	if now.Sub(w.begun) > overdue*w.eta+time.Second {
		if w.from == tierStore {
			p.store(w.service).ended(now.Sub(w.begun), w)
		}
		decided.EndedLoads = append(decided.EndedLoads, w.ended(now, server.ID, false))
		// Whether it is still under way is for the server's report to say.
		delete(p.work, server.ID)
		delete(p.ledgers, server.ID)
	}
}

func (w *work) ended(now time.Time, server vrid.ServerID, held bool) LoadEnd {
	return LoadEnd{
		Server: server, Model: w.load().model, Source: w.from.String(), Waited: w.begun.Sub(w.decided), Took: now.Sub(w.begun),
		ExpectedTime: w.eta, Succeeded: held,
	}
}

func hasModel(server *vrfleet.Server, model vrid.ModelID) bool {
	return slices.ContainsFunc(server.Holdings(), func(h vrfleet.Holding) bool { return h.Model == model })
}

// HandleOrderEnded takes the end of an order and returns word for the daemons.
func (p *Planner) HandleOrderEnded(now time.Time, e vrevent.OrderEnded, fleet *vrfleet.Fleet) []Notice {
	w := p.work[e.Order.Server]
	server := fleet.Server(e.Order.Server)
	if w == nil || server == nil || w.phase != phaseSent || w.born != server.Born || w.expected != e.Order.ExpectedOrders {
		return nil
	}
	current := w.steps[0]
	switch e.Outcome {
	case vrevent.OrderAccepted, vrevent.OrderHolds:
		known := p.ledgers[server.ID]
		if known == nil || known.born != server.Born || known.orders != w.expected {
			delete(p.work, server.ID)
			return nil
		}
		known.apply(current)
		if e.Outcome == vrevent.OrderHolds && current.kind == vrevent.OrderLoad {
			// Whether an order that changes nothing counts is not known.
			delete(p.ledgers, server.ID)
		}
		return p.accepted(now, server, w, current)
	case vrevent.OrderConflict:
		p.conflict(now, w)
	case vrevent.OrderUnknown:
		// The same order with the same count is safe to send again: whichever comes first
		// is accepted, the other one meets another count.
		w.phase, w.retryAt = phaseDue, now.Add(statusPause)
		w.conflicts++
		w.reading = w.conflicts > 1
	case vrevent.OrderNotGiven:
		// The server is not reached; another one is chosen.
		delete(p.work, server.ID)
		p.cool[server.ID] = now.Add(unreachedPause)
	default:
		delete(p.work, server.ID)
		p.cool[server.ID] = now.Add(time.Second)
	}
	if w.conflicts > conflictsMost {
		delete(p.work, server.ID)
		p.cool[server.ID] = now.Add(time.Second)
	}
	return nil
}

// conflict tries again shortly while an earlier order is under way, and reads the
// server's report when its count may differ.
func (p *Planner) conflict(now time.Time, w *work) {
	w.conflicts++
	w.phase, w.retryAt = phaseDue, now.Add(retryPause)
	// The server refuses while it waits for the end of requests whose model it drops; that
	// is expected after a step of this work.
	readEach := 4
	if w.begunSteps > 0 {
		readEach = 20
	}
	if w.conflicts%readEach == 0 {
		w.reading = true
		w.retryAt = now
	}
}

func (p *Planner) accepted(now time.Time, server *vrfleet.Server, w *work, current step) []Notice {
	switch {
	case current.kind == vrevent.OrderUnload:
		if current.adapter != "" {
			server.Displace(current.model, current.adapter)
		} else {
			server.Missing(now, current.model, "")
			delete(p.held, resident{server.ID, current.model})
		}
		w.next(now)
		return nil
	case current.adapter != "":
		server.Place(now.Add(adapterTime), current.model, current.adapter)
		delete(p.work, server.ID)
		k := key{service: w.service, model: current.model, adapter: current.adapter}
		notice := Notice{
			Notice: vrwire.Notice{
				Kind: vrwire.NoticeComing, Service: w.service, Model: current.model, Adapter: current.adapter,
				Server: server.ID, In: adapterTime.Milliseconds(),
			},
			To: p.askers(now, k, 0),
		}
		p.served(k)
		return []Notice{notice}
	}
	w.phase, w.begun = phaseAccepted, now
	k := key{service: w.service, model: current.model}
	return []Notice{{
		Notice: vrwire.Notice{
			Kind: vrwire.NoticeComing, Service: w.service, Model: current.model, Server: server.ID,
			In: w.eta.Milliseconds(),
		},
		To: p.askers(now, k, 0),
	}}
}
