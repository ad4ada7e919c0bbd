package vrreducer

import (
	"time"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplace"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrroute"
	"verbenaroute.example/verbenacore/vrwire"
)

// plan decides loads and unloads as the zone's owner.
func (s *State) plan(now time.Time, out *vrevent.Effects) {
	index := s.store.Current()
	if index == nil || !s.ledger.Ready() || now.Sub(s.zone.planAt) < planInterval {
		return
	}
	s.zone.planAt = now
	if !s.lease.Confirmed(now) {
		s.useGrants(now, out)
		return
	}
	for _, action := range s.planner.Plan(now, s.planInput(now)) {
		s.ledger.Apply(action)
	}
	s.ledger.Flush(now, out)
	s.askSlots(now, out)
}

func (s *State) planInput(now time.Time) vrplace.Input {
	index := s.store.Current()
	zones := max(len(index.Fleet.Zones()), 1)
	store := index.Fleet.WeightStore
	input := vrplace.Input{
		Index: index, Servers: s.ledger.Snapshots(), Replicas: s.ledger.Replicas, Zone: s.opts.Zone,
		LoadSlots: slotShare(store.Slots, zones), AdapterSlots: slotShare(store.AdapterSlots, zones),
	}
	if s.opts.Plain {
		// The plain way knows no order over the fleet: each zone uses every place.
		input.LoadSlots, input.AdapterSlots = store.Slots, store.AdapterSlots
	}
	if s.opts.Plain {
		return input
	}
	input.Elsewhere = func(model vrid.ModelID, rank vrid.Rank) int { return s.elsewhere(now, model, rank) }
	if s.coordinated(now) {
		input.Granted = s.slotGranted
	}
	return input
}

// elsewhere counts the places at other zones' replicas of a model that requests of a
// rank may use.
func (s *State) elsewhere(now time.Time, model vrid.ModelID, rank vrid.Rank) int {
	return s.table.FarSlots(vrroute.Query{Model: model, Rank: rank, CrossRegion: s.mayCross(now, rank)})
}

// slotShare is a zone's part of the weight store when no fleet owner shares it out.
func slotShare(slots, zones int) int { return max(1, slots/zones) }

// useGrants loads what was granted beforehand while the platform does not answer.
func (s *State) useGrants(now time.Time, out *vrevent.Effects) {
	for _, want := range s.planner.Waiting(now) {
		for _, snapshot := range s.ledger.Snapshots() {
			if s.ledger.UseGrant(now, snapshot.Info.ID, want, out) {
				break
			}
		}
	}
}

// wantModel sends demand for a model at once when the last message is old.
func (s *State) wantModel(now time.Time, r *request, out *vrevent.Effects) {
	if r.Model == "" || s.loaded(now, r) {
		return
	}
	key := demandKey{model: r.Model, adapter: r.Adapter, rank: r.Rank}
	if now.Sub(s.zone.wanted[key]) < demandInterval {
		return
	}
	s.zone.wanted[key] = now
	demand := vrwire.ModelDemand{
		Model: r.Model, Adapter: r.Adapter, Rank: r.Rank, Waiting: 1, Arrived: s.zone.arrivals[key],
		Deadline: r.until.UnixMilli(), Daemon: s.opts.Daemon,
	}
	delete(s.zone.arrivals, key)
	s.sendDemand(now, demand, out)
}

func (s *State) sendDemand(now time.Time, demand vrwire.ModelDemand, out *vrevent.Effects) {
	if s.lease.Holding() {
		s.planner.Want(now, demand)
		if demand.Waiting > 0 {
			s.zone.planAt = time.Time{}
		}
		return
	}
	s.send(s.member.Owner(), &vrwire.Envelope{Demand: &vrwire.Demand{Demands: []vrwire.ModelDemand{demand}}}, out)
}

// arrived counts a request for the next message of demand.
func (z *zone) arrived(r *request) {
	z.arrivals[demandKey{model: r.Model, adapter: r.Adapter, rank: r.Rank}]++
}

// sendArrivals puts use and waiting requests into the next heartbeat.
func (s *State) sendArrivals(now time.Time) {
	if now.Sub(s.zone.arrivalsAt) < demandInterval {
		return
	}
	s.zone.arrivalsAt = now
	for _, wait := range s.queue.Waits() {
		if wait.Target.Model == "" {
			continue
		}
		key := demandKey{model: wait.Target.Model, adapter: wait.Target.Adapter, rank: wait.Rank}
		s.member.QueueDemand(vrwire.ModelDemand{
			Model: key.model, Adapter: key.adapter, Rank: key.rank, Waiting: uint32(wait.Count),
			Arrived: s.zone.arrivals[key], Deadline: wait.Deadline.UnixMilli(), Daemon: s.opts.Daemon,
		})
		s.zone.wanted[key] = now
		delete(s.zone.arrivals, key)
	}
	for key, arrived := range s.zone.arrivals {
		s.member.QueueDemand(vrwire.ModelDemand{
			Model: key.model, Adapter: key.adapter, Rank: key.rank, Arrived: arrived, Daemon: s.opts.Daemon,
		})
	}
	clear(s.zone.arrivals)
	for key, at := range s.zone.wanted {
		if now.Sub(at) > 2*demandInterval {
			delete(s.zone.wanted, key)
		}
	}
}

// recordOrder puts ended loads and unloads into the record.
func (s *State) recordOrder(now time.Time, event vrevent.OrderAnswered, out *vrevent.Effects) {
	entry := vrrecord.Entry{
		Model: event.Order.Model, Adapter: event.Order.Adapter, Server: event.Server,
		Order: event.Order.OrderID, Epoch: event.Order.Epoch, Ran: vrrecord.RanYes,
	}
	switch event.Order.Kind {
	case vrengine.OrderLoad, vrengine.OrderLoadAdapter:
		entry.Kind = vrrecord.EntryLoad
	case vrengine.OrderUnload, vrengine.OrderUnloadAdapter:
		entry.Kind = vrrecord.EntryUnload
	default:
		return
	}
	switch event.Status {
	case vrengine.OrderDone:
	case vrengine.OrderUnanswered:
		entry.Ran = vrrecord.RanUnknown
	default:
		entry.Ran = vrrecord.RanNo
		entry.Text = event.Answer.Error
		s.planner.Failed(now, event.Order.Model, event.Order.Adapter)
	}
	s.appendOwn(now, entry, out)
}

// appendOwn adds an entry that belongs to no request.
func (s *State) appendOwn(now time.Time, entry vrrecord.Entry, out *vrevent.Effects) {
	entry.Daemon = s.opts.Daemon
	entry.Boot = s.opts.Boot
	entry.Zone = s.opts.Zone
	entry.At = now.UnixMilli()
	entry.Config = s.store.Version()
	s.journal.Append(entry)
	out.Add(vrevent.AppendEntry{Entry: entry})
}

// poll is the polling of one server by this daemon.
type poll struct {
	next    time.Time
	waiting bool
	since   time.Time
	failed  uint32
	last    vrwire.LoadReport
	known   bool
}

const (
	// pollInterval is the pause between two reports of one server.
	pollInterval = time.Second
	// loadingPollInterval is used while a load is under way, so that waiting requests
	// go out soon after its end.
	loadingPollInterval = 100 * time.Millisecond
	// pollTimeout ends the wait for a lost answer.
	pollTimeout = 3 * time.Second
)

// tickPolls asks the servers that this daemon polls, and as the owner those that load.
func (s *State) tickPolls(now time.Time, out *vrevent.Effects) {
	view := s.member.View()
	loading := make(map[vrid.ServerID]bool)
	if s.lease.Holding() {
		for _, id := range s.ledger.Loading() {
			loading[id] = true
		}
	}
	for _, id := range sortedKeys(view.Servers) {
		item := view.Servers[id]
		if item.State == vrwire.ServerGone || (!loading[id] && view.Poller(id) != s.opts.Daemon) {
			delete(s.polls, id)
			continue
		}
		s.pollServer(now, item, loading[id], out)
	}
}

func (s *State) pollServer(now time.Time, item vrwire.ServerItem, loading bool, out *vrevent.Effects) {
	p := s.polls[item.Server]
	if p == nil {
		p = &poll{}
		s.polls[item.Server] = p
	}
	if p.waiting && now.Sub(p.since) < pollTimeout {
		return
	}
	if loading {
		soon := now.Add(loadingPollInterval)
		if p.next.After(soon) {
			p.next = soon
		}
	}
	if now.Before(p.next) {
		return
	}
	p.waiting = true
	p.since = now
	p.next = now.Add(pollInterval)
	if loading {
		p.next = now.Add(loadingPollInterval)
	}
	out.Add(vrevent.PollServer{Server: item.Server, Address: item.Address})
}

func (s *State) reportReceived(now time.Time, event vrevent.ReportReceived) {
	p := s.polls[event.Server]
	if p == nil {
		return
	}
	p.waiting = false
	p.failed = 0
	report := loadReport(now, event.Server, event.Report)
	urgent := !p.known || p.last.Boot != report.Boot || p.last.Leaving != report.Leaving || p.last.Failed > 0 ||
		len(p.last.Models) != len(report.Models)
	p.last = report
	p.known = true
	s.member.QueueReport(now, report, urgent)
}

func loadReport(now time.Time, server vrid.ServerID, report vrengine.Report) vrwire.LoadReport {
	result := vrwire.LoadReport{
		Server: server, Boot: report.Boot, Leaving: report.Leaving, Running: uint32(report.Running),
		Waiting: uint32(report.Waiting), Slots: uint32(report.Slots), MemoryUsed: report.MemoryUsed,
		AppliedOrders: report.AppliedOrders, HighestEpoch: report.HighestEpoch, Role: report.Role,
		CachedMemory: report.Cached.Memory, CachedDisk: report.Cached.Disk, TakenAt: now.UnixMilli(),
	}
	for _, model := range report.Models {
		result.Models = append(result.Models, vrwire.LoadedModel{
			Model: model.Model, State: modelState(model.State), Adapters: model.Adapters,
		})
	}
	return result
}

func modelState(state string) vrwire.ReplicaState {
	switch state {
	case vrengine.StateLoaded:
		return vrwire.ReplicaLoaded
	case vrengine.StateUnloading:
		return vrwire.ReplicaUnloading
	}
	return vrwire.ReplicaLoading
}

func (s *State) reportFailed(now time.Time, event vrevent.ReportFailed) {
	p := s.polls[event.Server]
	if p == nil {
		return
	}
	p.waiting = false
	p.failed++
	report := p.last
	report.Server = event.Server
	report.Failed = p.failed
	p.last = report
	s.member.QueueReport(now, report, p.failed == failedPolls)
}
