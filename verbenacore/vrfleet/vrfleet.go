// Package vrfleet tracks what a daemon knows about the servers: their registrations, the models
// they have loaded, their load, and the outcomes of the requests that this daemon sent them.
package vrfleet

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
)

// State says whether a server accepts new work.
type State uint8

// Server states.
const (
	StateReady State = iota + 1
	// StateDraining servers finish their running requests and then shut down.
	StateDraining
)

// LoadedModel is a model that a server has loaded into the memory of its
// accelerators, with the adapters loaded for it.
type LoadedModel struct {
	Model    vrid.ModelID
	Version  int64
	Adapters []vrid.AdapterID
}

// Entry is a server's registration in the platform's store, as written by the server.
type Entry struct {
	ID      vrid.ServerID
	Service vrid.ServiceID
	Address string
	Zone    vrid.ZoneID
	Slots   int
	State   State
	// Born is the start time of the server process in Unix milliseconds. It distinguishes
	// processes, because a server that restarts may keep its id.
	Born int64
	// Beat counts the registrations since Born, which heartbeats repeat. An entry with a lower
	// count is older.
	Beat uint64
	// Holds lists the loaded models.
	Holds []LoadedModel
	// InHost and OnDisk are the models whose weights are cached in the server's host
	// memory and on its disk.
	InHost []vrid.ModelID
	OnDisk []vrid.ModelID
	// Leaving is how long a server that is being removed keeps running.
	Leaving time.Duration
}

// Server is one server's registration with this daemon's own observations of it.
type Server struct {
	Entry
	// Running and Waiting are the request counts of the server's newest load report, which
	// was received at LoadReportedAt.
	Running, Waiting int
	LoadReportedAt   time.Time
	// StatedSlots is the number of slots of the newest load report that states one, or zero.
	StatedSlots int
	// room is shared with the former record of the same process, if it was registered again while requests to it
	// were in flight.
	room *room
	// InFlight counts this daemon's own unfinished requests at the server,
	// SentSinceReport those of them sent after LoadReportedAt.
	InFlight, SentSinceReport int
	// PendingPromptTokens counts the prompt tokens of this daemon's requests that
	// have not yet produced their first event.
	PendingPromptTokens int
	// Gone is set once the registration was removed. Requests that are still running at the
	// server may finish.
	Gone bool
	// EntryAt is when the entry was last received.
	EntryAt time.Time
	// SeenAt is when this daemon first saw this process of the server (see Born).
	SeenAt time.Time
	// Restarted is set if an earlier process with the same id was known.
	Restarted bool
	// LeavingChecked is when it was last asked whether a process in doubt leaves.
	LeavingChecked time.Time

	// statedLeaving is set once a response stated that this process leaves, inDoubt while it is not known
	// whether a response that stated so was of this process or of an earlier one with the same id.
	statedLeaving, inDoubt bool

	health health
	load   loadState
	// missingUntil holds the models that are not loaded although the server's entry lists
	// them, and until when to assume so.
	missingUntil map[vrid.ModelID]time.Time
	// adapterReadyAt is when adapters are expected to be loaded. It overrides the server's
	// entry.
	adapterReadyAt map[adapterKey]time.Time
}

type adapterKey struct {
	model   vrid.ModelID
	adapter vrid.AdapterID
}

// Fleet holds all known servers, and the prompt rate measured across them.
type Fleet struct {
	servers map[vrid.ServerID]*Server
	// byService lists the servers with Gone unset, ordered by id.
	byService map[vrid.ServiceID][]*Server
	// doubted holds the last entry that was ignored of each server because it states an earlier start
	// than the known one.
	doubted map[vrid.ServerID]renewal
	// removed remembers the servers whose registrations were removed.
	removed removedServers
	// sharedServices holds the services for which SharesMachines holds.
	sharedServices map[vrid.ServiceID]bool
	// serviceTimes are the smoothed times of requests by service, see RecordServiceTime.
	serviceTimes map[vrid.ServiceID]serviceTime
	// meanRequests are the smoothed numbers of requests at a server by service.
	meanRequests map[vrid.ServiceID]float64
	// promptRate is the smoothed number of prompt tokens that one server processes per
	// second, zero before the first measurement.
	promptRate float64
}

// renewal identifies a registration among those of a server's processes.
type renewal struct {
	born int64
	beat uint64
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		servers: make(map[vrid.ServerID]*Server), byService: make(map[vrid.ServiceID][]*Server), doubted: make(map[vrid.ServerID]renewal),
		removed: removedServers{last: make(map[vrid.ServerID]removedServer)}, sharedServices: make(map[vrid.ServiceID]bool),
		serviceTimes: make(map[vrid.ServiceID]serviceTime), meanRequests: make(map[vrid.ServiceID]float64),
	}
}

// Server returns the server with the id, or nil if it is unknown.
func (f *Fleet) Server(id vrid.ServerID) *Server { return f.servers[id] }

// ServersOf returns the registered servers of a service, ordered by id.
func (f *Fleet) ServersOf(service vrid.ServiceID) []*Server { return f.byService[service] }

// Len returns the number of registered servers.
func (f *Fleet) Len() int {
	count := 0
	for _, servers := range f.byService {
		count += len(servers)
	}
	return count
}

// Change says how Put changed a server.
type Change uint8

// Results of Put.
const (
	ChangeNone Change = iota
	ChangeAdded
	// ChangeRestarted: the server restarted under the same id.
	ChangeRestarted
	ChangeState
	ChangeUpdated
	// ChangeOutdated: the registration was ignored because it is of a former process of the server, or
	// of one whose registration was removed.
	ChangeOutdated
)

// Put applies a registration and returns what it changed.
func (f *Fleet) Put(now time.Time, entry Entry) Change {
	server := f.servers[entry.ID]
	switch {
	case server == nil || server.Gone:
		admitted, told := f.removed.admit(&entry)
		if !admitted {
			return ChangeOutdated
		}
		added := &Server{Entry: entry, EntryAt: now, SeenAt: now, room: &room{}, statedLeaving: told && entry.State == StateDraining}
		added.inDoubt = told && !added.statedLeaving
		if server != nil {
			added.InFlight = server.InFlight
			added.Restarted = server.Born != entry.Born
			if !added.Restarted {
				added.room, added.StatedSlots = server.room, server.StatedSlots
			}
		}
		f.servers[entry.ID] = added
		f.reindex()
		return ChangeAdded
	case entry.Born < server.Born && !f.renews(&entry):
		return ChangeOutdated
	case server.Born != entry.Born:
		delete(f.doubted, entry.ID)
		*server = Server{
			Entry: entry, EntryAt: now, SeenAt: now, room: &room{}, Restarted: true, InFlight: server.InFlight, inDoubt: server.statedLeaving || server.inDoubt,
		}
		f.reindex()
		return ChangeRestarted
	}
	if entry.Beat < server.Beat && !vrfault.On(vrfault.TrustCopies) {
		// An older copy of the entry, for example from a stale read.
		return ChangeNone
	}
	if server.State == StateDraining && !vrfault.On(vrfault.TrustCopies) {
		// A draining server only ever shuts down. An entry in which it is ready was written before, or
		// repeats one that was.
		entry.State = StateDraining
	}
	change := ChangeUpdated
	if server.State != entry.State {
		change = ChangeState
	}
	serviceChanged := server.Service != entry.Service
	server.Entry, server.EntryAt = entry, now
	clear(server.missingUntil)
	server.expireAdapterReadiness(now)
	if serviceChanged {
		f.reindex()
	}
	return change
}

// renews reports whether an entry that states an earlier start than the known one is of a live process
// nevertheless, whose machine's clock was set back: its count of renewals rises. An entry from a copy
// of the store is never renewed.
func (f *Fleet) renews(entry *Entry) bool {
	doubted, known := f.doubted[entry.ID]
	if known && doubted.born == entry.Born && entry.Beat > doubted.beat {
		return true
	}
	if !known || doubted.born != entry.Born {
		f.doubted[entry.ID] = renewal{born: entry.Born, beat: entry.Beat}
	}
	return false
}

// Remove applies the end of a registration. It reports whether the server was registered.
func (f *Fleet) Remove(id vrid.ServerID) bool {
	server := f.servers[id]
	if server == nil || server.Gone {
		return false
	}
	server.Gone = true
	delete(f.doubted, id)
	f.removed.add(server)
	if server.InFlight == 0 {
		delete(f.servers, id)
	}
	f.reindex()
	return true
}

// IDs returns the ids of the registered servers, sorted.
func (f *Fleet) IDs() []vrid.ServerID {
	var ids []vrid.ServerID
	for id, server := range f.servers {
		if !server.Gone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// reindex rebuilds byService.
func (f *Fleet) reindex() {
	clear(f.byService)
	for _, server := range f.servers {
		if !server.Gone {
			f.byService[server.Service] = append(f.byService[server.Service], server)
		}
	}
	for _, servers := range f.byService {
		slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// AcceptsWork reports whether the server may be sent new requests.
func (s *Server) AcceptsWork() bool {
	return !s.Gone && ((s.State == StateReady && !s.inDoubt) || vrfault.On(vrfault.SendToLeaving))
}

// HasModel reports whether the server has a model loaded.
func (s *Server) HasModel(now time.Time, model vrid.ModelID) bool {
	if until, ok := s.missingUntil[model]; ok && now.Before(until) {
		return false
	}
	return s.loadedModel(model) != nil
}

// loadedModel returns the entry's record of a loaded model, or nil.
func (s *Server) loadedModel(model vrid.ModelID) *LoadedModel {
	for i := range s.Holds {
		if s.Holds[i].Model == model {
			return &s.Holds[i]
		}
	}
	return nil
}

// LoadedModels returns the models that the server has loaded.
func (s *Server) LoadedModels() []LoadedModel { return s.Holds }

// HasAdapter reports whether the server has an adapter of a model loaded.
func (s *Server) HasAdapter(now time.Time, model vrid.ModelID, adapter vrid.AdapterID) bool {
	loaded := s.loadedModel(model)
	if loaded == nil {
		return false
	}
	if ready, ok := s.adapterReadyAt[adapterKey{model, adapter}]; ok && now.Sub(ready) <= adapterReadyTTL {
		return !now.Before(ready)
	}
	return slices.Contains(loaded.Adapters, adapter)
}

// missingTTL is how long a server's response that it lacks a model or adapter overrides its
// entry. The entry is updated with the server's next heartbeat.
const missingTTL = 1500 * time.Millisecond

// MarkMissing records that the server does not have a model or adapter loaded, whatever its
// entry says. It applies to the model if adapter is empty.
func (s *Server) MarkMissing(now time.Time, model vrid.ModelID, adapter vrid.AdapterID) {
	if adapter != "" {
		s.SetAdapterReady(now.Add(missingTTL), model, adapter)
		return
	}
	if s.missingUntil == nil {
		s.missingUntil = make(map[vrid.ModelID]time.Time)
	}
	s.missingUntil[model] = now.Add(missingTTL)
}

// SetAdapterReady records that an adapter will be loaded at the time ready, ahead of the
// server's entry.
func (s *Server) SetAdapterReady(ready time.Time, model vrid.ModelID, adapter vrid.AdapterID) {
	if s.adapterReadyAt == nil {
		s.adapterReadyAt = make(map[adapterKey]time.Time)
	}
	s.adapterReadyAt[adapterKey{model, adapter}] = ready
}

// RemoveAdapter records that an adapter is no longer loaded, ahead of the server's entry.
func (s *Server) RemoveAdapter(model vrid.ModelID, adapter vrid.AdapterID) {
	delete(s.adapterReadyAt, adapterKey{model, adapter})
	if loaded := s.loadedModel(model); loaded != nil {
		loaded.Adapters = slices.DeleteFunc(slices.Clone(loaded.Adapters), func(a vrid.AdapterID) bool { return a == adapter })
	}
}

// adapterReadyTTL is how long a recorded adapter load is kept if the server's entry does
// not confirm it: two heartbeats.
const adapterReadyTTL = 3 * time.Second

// expireAdapterReadiness drops the recorded adapter loads that are older than adapterReadyTTL.
func (s *Server) expireAdapterReadiness(now time.Time) {
	for key, ready := range s.adapterReadyAt {
		if now.Sub(ready) > adapterReadyTTL {
			delete(s.adapterReadyAt, key)
		}
	}
}

// RecordSend records that this daemon sent the server a request.
func (s *Server) RecordSend() {
	s.InFlight++
	s.SentSinceReport++
}

// RecordEnd records that a request of this daemon to the server has ended.
func (f *Fleet) RecordEnd(server *Server) {
	server.InFlight = max(0, server.InFlight-1)
	server.SentSinceReport = max(0, server.SentSinceReport-1)
	if server.Gone && server.InFlight == 0 && f.servers[server.ID] == server {
		delete(f.servers, server.ID)
	}
}

// SetLoad applies a load report of the server.
func (s *Server) SetLoad(now time.Time, running, waiting int) {
	s.Running, s.Waiting, s.LoadReportedAt, s.SentSinceReport = running, waiting, now, 0
	s.room.recordReport()
	s.load.includedUntil = now
}

// loadReportTTL is how long a server's load report is used.
const loadReportTTL = 2 * time.Second

// EstimatedRequests estimates the number of requests at the server, running and waiting,
// from all daemons. Without a recent load report it counts this daemon's own and those known of other daemons.
func (s *Server) EstimatedRequests(now time.Time) int {
	known := s.InFlight + s.othersRequests(now)
	if now.Sub(s.LoadReportedAt) > loadReportTTL {
		return known
	}
	return max(s.Running+s.Waiting+s.SentSinceReport, known)
}

// MarkDraining records that a process of the server accepts no new work, ahead of its entry. It has
// no effect on a process that started at another time than born, in Unix milliseconds. A born of zero
// stands for the current process.
func (s *Server) MarkDraining(born int64) {
	if born == 0 || born == s.Born {
		s.State = StateDraining
	}
}

// MarkLeaving records that a process of a server accepts no new work, whatever its entries say. As for
// Server.MarkDraining, it has no effect on another process, and a born of zero stands for the last known
// one. It reports whether that was not known before.
func (f *Fleet) MarkLeaving(id vrid.ServerID, born int64) bool {
	server := f.servers[id]
	if server == nil || server.Gone {
		return f.removed.markDraining(id, born)
	}
	wasReady := server.State != StateDraining
	server.MarkDraining(born)
	return wasReady && server.State == StateDraining
}

// RecordLeavingResponse records that a response to a request of this daemon stated that its server leaves.
// born is the process that the daemon knew when it sent the request. A later process with the same id may
// have answered, so the one that is known now, or the next one, is in doubt until ResolveDoubt. It reports
// whether it was not known that the process of born leaves.
func (f *Fleet) RecordLeavingResponse(id vrid.ServerID, born int64) bool {
	isNew := f.MarkLeaving(id, born)
	server := f.servers[id]
	switch {
	case server == nil || server.Gone:
		f.removed.recordLeavingResponse(id)
	case born == 0 || born == server.Born:
		server.statedLeaving = true
	case server.State == StateReady:
		server.inDoubt = true
	}
	return isNew
}

// InDoubt returns the registered servers that may be leaving, ordered by id.
func (f *Fleet) InDoubt() []*Server {
	var servers []*Server
	for _, server := range f.servers {
		if server.inDoubt && !server.Gone && server.State == StateReady {
			servers = append(servers, server)
		}
	}
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// ResolveDoubt records that a process of a server has answered without stating that it leaves. It reports
// whether the process was in doubt.
func (f *Fleet) ResolveDoubt(id vrid.ServerID, born int64) bool {
	server := f.servers[id]
	if server == nil || server.Born != born || !server.inDoubt {
		return false
	}
	server.inDoubt = false
	return true
}

// AddModel records that the server has a model loaded, ahead of its entry.
func (s *Server) AddModel(model vrid.ModelID) {
	delete(s.missingUntil, model)
	if s.loadedModel(model) == nil {
		s.Holds = append(slices.Clone(s.Holds), LoadedModel{Model: model})
	}
}

// ReplaceModels replaces the server's loaded and cached models with those of its status
// report, which is newer than its entry.
func (s *Server) ReplaceModels(loaded []LoadedModel, inHost, onDisk []vrid.ModelID) {
	s.Holds, s.InHost, s.OnDisk = loaded, inHost, onDisk
	clear(s.missingUntil)
	clear(s.adapterReadyAt)
}
