package vrreducer

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrledger"
	"verbenaroute.example/verbenacore/vrplace"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrroute"
	"verbenaroute.example/verbenacore/vrwire"
)

// plan decides on loads and unloads as the zone owner.
func (s *State) plan(now time.Time, out *vrevent.Effects) {
	index := s.configStore.Current()
	if index == nil || !s.ledger.Ready() || now.Sub(s.zone.plannedAt) < planInterval {
		return
	}
	s.zone.plannedAt = now
	if !s.lease.Confirmed(now) {
		s.useLoadGrants(now, out)
		return
	}
	s.decideLoads(now, out)
	s.fleet.planning = true
	s.requestSlots(now, out)
	s.fleet.planning = false
	if s.zone.plannedAt.IsZero() {
		// Slots that this daemon granted to itself are used immediately. Further
		// changes wait for the next plan, because each plan can change which slots are
		// requested.
		s.zone.plannedAt = now
		s.decideLoads(now, out)
	}
}

func (s *State) decideLoads(now time.Time, out *vrevent.Effects) {
	for _, action := range s.planner.Plan(now, s.planInput(now)) {
		if s.ledger.Apply(action) == vrledger.RefusalNone {
			s.loadStarted(now, action)
		}
	}
	s.ledger.Flush(now, out)
}

func (s *State) planInput(now time.Time) vrplace.Input {
	index := s.configStore.Current()
	zones := max(len(index.Fleet.Zones()), 1)
	store := index.Fleet.WeightStore
	input := vrplace.Input{
		Index: index, Servers: s.ledger.Snapshots(), Replicas: s.ledger.Replicas, Zone: s.opts.Zone,
		LoadSlots: zoneSlotShare(store.Slots, zones), AdapterSlots: zoneSlotShare(store.AdapterSlots, zones),
	}
	if s.opts.Baseline {
		// The baseline has no fleet-wide order of loads: each zone uses every slot.
		input.LoadSlots, input.AdapterSlots = store.Slots, store.AdapterSlots
	}
	if s.opts.Baseline {
		return input
	}
	input.GrantInAdvance = true
	input.Revocable = func(server vrid.ServerID, model vrid.ModelID) bool {
		return s.ledger.CheckAction(vrledger.Action{Kind: vrledger.ActionRevoke, Server: server, Model: model}) == vrledger.RefusalNone
	}
	input.RemoteSlots = func(model vrid.ModelID, rank vrid.Rank) int { return s.remoteSlots(now, model, rank) }
	if s.fleetCoordinated(now) {
		input.SlotGranted = s.slotGranted
	}
	return input
}

// remoteSlots counts the slots at other zones' replicas of a model that requests of a
// rank may use.
func (s *State) remoteSlots(now time.Time, model vrid.ModelID, rank vrid.Rank) int {
	return s.routingTable.FreeRemoteSlots(vrroute.Query{Model: model, Rank: rank, CrossRegion: s.mayCrossRegion(now, rank)})
}

// zoneSlotShare is a zone's share of the weight store's slots when no fleet owner
// assigns them.
func zoneSlotShare(slots, zones int) int { return max(1, slots/zones) }

// useLoadGrants starts loads whose grants were stored in advance. While the platform
// doesn't answer, no other load can start.
func (s *State) useLoadGrants(now time.Time, out *vrevent.Effects) {
	for _, model := range s.planner.WaitingModels(now) {
		for _, snapshot := range s.ledger.Snapshots() {
			if s.ledger.UseGrant(now, snapshot.Info.ID, model, out) {
				break
			}
		}
	}
}

// reportModelDemand reports demand for a model that isn't loaded to the zone owner,
// unless that was done within demandInterval.
func (s *State) reportModelDemand(now time.Time, r *request, out *vrevent.Effects) {
	if r.Model == "" || s.modelLoaded(now, r) {
		return
	}
	key := demandKey{model: r.Model, adapter: r.Adapter, rank: r.Rank}
	if now.Sub(s.zone.demandSentAt[key]) < demandInterval {
		return
	}
	s.zone.demandSentAt[key] = now
	demand := vrwire.ModelDemand{
		Model: r.Model, Adapter: r.Adapter, Rank: r.Rank, Waiting: 1, Arrived: s.zone.arrivalCounts[key],
		Deadline: r.attemptDeadline.UnixMilli(), Daemon: s.opts.Daemon,
	}
	delete(s.zone.arrivalCounts, key)
	s.sendDemand(now, demand, out)
}

// sendDemand reports demand to the zone owner, which may be this daemon.
func (s *State) sendDemand(now time.Time, demand vrwire.ModelDemand, out *vrevent.Effects) {
	if s.lease.Holding() {
		s.planner.RecordDemand(now, demand)
		if demand.Waiting > 0 {
			s.planner.RecordMissingReplica(now, demand)
			s.zone.plannedAt = time.Time{}
		}
		return
	}
	s.send(s.membership.Owner(), &vrwire.Envelope{Demand: &vrwire.Demand{Demands: []vrwire.ModelDemand{demand}}}, out)
}

// repeatDemand reports all waiting requests to a new owner immediately. What the former
// owner knew is lost, and the next heartbeats would bring it up to 2 s later.
func (s *State) repeatDemand(now time.Time, out *vrevent.Effects) {
	owner, epoch := s.membership.Owner().Daemon, s.membership.View().Epoch
	if s.lease.Holding() {
		owner, epoch = s.opts.Daemon, s.lease.Epoch()
	}
	if owner == s.zone.demandOwner && epoch == s.zone.demandEpoch {
		return
	}
	s.zone.demandOwner, s.zone.demandEpoch = owner, epoch
	for _, backlog := range s.queue.Backlogs() {
		if backlog.Target.Model == "" {
			continue
		}
		s.sendDemand(now, vrwire.ModelDemand{
			Model: backlog.Target.Model, Adapter: backlog.Target.Adapter, Rank: backlog.Rank, Waiting: uint32(backlog.Count),
			Deadline: backlog.Deadline.UnixMilli(), Daemon: s.opts.Daemon,
		}, out)
	}
}

// countArrival counts a request for the next demand message.
func (z *zoneState) countArrival(r *request) {
	z.arrivalCounts[demandKey{model: r.Model, adapter: r.Adapter, rank: r.Rank}]++
}

// queueDemandReport adds arrived, running and waiting requests to the next heartbeat.
func (s *State) queueDemandReport(now time.Time) {
	if now.Sub(s.zone.demandQueuedAt) < demandInterval {
		return
	}
	s.zone.demandQueuedAt = now
	reported := make(map[demandKey]bool)
	for _, backlog := range s.queue.Backlogs() {
		if backlog.Target.Model == "" {
			continue
		}
		key := demandKey{model: backlog.Target.Model, adapter: backlog.Target.Adapter, rank: backlog.Rank}
		reported[key] = true
		s.membership.QueueDemand(vrwire.ModelDemand{
			Model: key.model, Adapter: key.adapter, Rank: key.rank, Waiting: uint32(backlog.Count),
			Arrived: s.zone.arrivalCounts[key], Deadline: backlog.Deadline.UnixMilli(), Daemon: s.opts.Daemon,
			Running: s.zone.inFlight[key],
		})
		s.zone.demandSentAt[key] = now
		delete(s.zone.arrivalCounts, key)
	}
	s.queueUsageReport(reported)
	clear(s.zone.arrivalCounts)
	for key, at := range s.zone.demandSentAt {
		if now.Sub(at) > 2*demandInterval {
			delete(s.zone.demandSentAt, key)
		}
	}
}

// queueUsageReport reports the arrived and running requests of models for which no
// request waits.
func (s *State) queueUsageReport(reported map[demandKey]bool) {
	var keys []demandKey
	for key := range s.zone.arrivalCounts {
		keys = append(keys, key)
	}
	for key := range s.zone.inFlight {
		if s.zone.arrivalCounts[key] == 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, demandKey.compare)
	for _, key := range keys {
		if reported[key] || key.model == "" {
			continue
		}
		s.membership.QueueDemand(vrwire.ModelDemand{
			Model: key.model, Adapter: key.adapter, Rank: key.rank, Arrived: s.zone.arrivalCounts[key],
			Running: s.zone.inFlight[key], Daemon: s.opts.Daemon,
		})
	}
}

func (k demandKey) compare(other demandKey) int {
	return cmp.Or(
		cmp.Compare(k.model, other.model), cmp.Compare(k.adapter, other.adapter), cmp.Compare(k.rank, other.rank),
	)
}

// countStarted and countEnded count the requests in flight.
func (z *zoneState) countStarted(r *request) { z.inFlight[r.demandKey()]++ }

func (z *zoneState) countEnded(r *request) {
	key := r.demandKey()
	z.inFlight[key]--
	if z.inFlight[key] == 0 {
		delete(z.inFlight, key)
	}
}

func (r *request) demandKey() demandKey {
	return demandKey{model: r.Model, adapter: r.Adapter, rank: r.Rank}
}

// recordOrder writes an entry for an ended load or unload.
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
	case vrengine.OrderOutcomeUnknown:
		entry.Ran = vrrecord.RanUnknown
	default:
		entry.Ran = vrrecord.RanNo
		entry.Text = event.Answer.Error
		s.planner.RecordLoadFailure(now, event.Order.Model, event.Order.Adapter)
	}
	s.appendSystemEntry(now, entry, out)
}

// appendSystemEntry adds an entry that belongs to no request to the record.
func (s *State) appendSystemEntry(now time.Time, entry vrrecord.Entry, out *vrevent.Effects) {
	entry.Daemon = s.opts.Daemon
	entry.Boot = s.opts.Boot
	entry.Zone = s.opts.Zone
	entry.At = now.UnixMilli()
	entry.Config = s.configStore.Version()
	s.journal.Append(entry)
	out.Add(vrevent.AppendEntry{Entry: entry})
}
