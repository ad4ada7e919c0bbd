package vrledger

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Options configures a Ledger.
type Options struct {
	Zone   vrid.ZoneID
	Daemon vrid.DaemonID
	Boot   vrid.BootID
	Ops    *vrevent.Ops
}

// serverState is the owner's state of one server.
type serverState struct {
	info    ServerInfo
	entries []*Entry
	// boot is the boot id of the server's current run, or "" before the first report.
	boot vrid.BootID
	// bootReportTakenAt is when the latest report of the run with this boot id was taken.
	bootReportTakenAt time.Time
	report            *vrwire.LoadReport
	// reportedAt is when the owner received the latest report.
	reportedAt time.Time
	// answeredAt is when an order to the server was last answered, or when this owner added the
	// server or took over its entries. Reports taken earlier may not show the effect of every
	// answered order.
	answeredAt time.Time
	// adoptedAt is when this owner added the server or took over its entries.
	adoptedAt time.Time
	// entryAnsweredAt is when an order for each entry was last answered.
	entryAnsweredAt map[entryKey]time.Time
	// removedAnsweredAt is when an order for a removed entry was last answered, usually its unload.
	// A report that may be older does not show the state of a later entry of the same key.
	removedAnsweredAt map[entryKey]time.Time
	// fenced is set when an engine that honours fencing tokens has acknowledged this epoch.
	fenced bool
	// inFlight holds this owner's orders that were sent and not answered yet.
	inFlight map[vrid.OrderID]inFlightOrder
	// unansweredAt is when the connection of each order of this run that got no answer ended.
	unansweredAt map[vrid.OrderID]time.Time
	// fenceOrder is the fence order that is in flight, or "".
	fenceOrder   vrid.OrderID
	nextFenceAt  time.Time
	nextResendAt time.Time
}

// inFlightOrder is an order that was sent and not answered yet.
type inFlightOrder struct {
	order   vrengine.Order
	adapter bool
	sentAt  time.Time
}

// Ledger holds the ledgers of a zone's servers. They are loaded only while this daemon is
// the zone's owner.
type Ledger struct {
	opts     Options
	epoch    vrid.Epoch
	sequence uint64
	active   bool
	chunks   []*chunkState
	servers  map[vrid.ServerID]*serverState
	// serverIDs holds the ids of all servers in ascending order.
	serverIDs []vrid.ServerID
	// replicas counts the entries of base models by model.
	replicas map[vrid.ModelID]int
	// outstanding counts the orders to all servers that were sent and not answered.
	outstanding int
	// lastUnansweredAt is when an order to any server last ended without an answer.
	lastUnansweredAt time.Time
	// issued is set once this run created an attempt. The attempt may be recorded on the
	// platform even if it was never sent.
	issued bool
	// changed is set when servers or replicas have changed since the last TakeChanged.
	changed bool
}

// New returns an inactive Ledger.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:     opts,
		servers:  make(map[vrid.ServerID]*serverState),
		replicas: make(map[vrid.ModelID]int),
	}
}

// Activate starts the takeover under a new epoch: every chunk is read and rewritten
// before any action on its servers is allowed.
func (l *Ledger) Activate(now time.Time, epoch vrid.Epoch, chunks uint32, out *vrevent.Effects) {
	l.active = true
	l.epoch = epoch
	l.chunks = make([]*chunkState, max(chunks, 1))
	l.replicas = make(map[vrid.ModelID]int)
	for _, s := range l.servers {
		s.entries = nil
		s.fenced = false
		s.fenceOrder = ""
	}
	for i := range l.chunks {
		l.chunks[i] = newChunkState(i)
		l.readChunk(l.chunks[i], out)
	}
	l.changed = true
}

// Deactivate drops all entries after the lease was lost. Orders that are in flight are
// still counted, see Outstanding.
func (l *Ledger) Deactivate() {
	l.active = false
	l.chunks = nil
	l.changed = true
	for _, s := range l.servers {
		s.entries = nil
		s.fenced = false
		s.fenceOrder = ""
	}
	l.replicas = make(map[vrid.ModelID]int)
}

// Outstanding returns the number of this daemon's orders that were sent and not answered.
func (l *Ledger) Outstanding() int { return l.outstanding }

// Quiesced reports whether no order of this run can still reach a server. An EpochAck may be
// sent only then.
func (l *Ledger) Quiesced(now time.Time) bool {
	if vrfault.On(vrfault.AckWithOrders) {
		return true
	}
	return l.outstanding == 0 && now.Sub(l.lastUnansweredAt) > lateOrderWindow
}

// HasIssued reports whether this run has created an attempt, so that a successor may be
// waiting for its EpochAck.
func (l *Ledger) HasIssued() bool { return l.issued }

// Active reports whether this daemon is the zone's owner.
func (l *Ledger) Active() bool { return l.active }

// Ready reports whether this daemon is the owner and has taken over every chunk.
func (l *Ledger) Ready() bool {
	if !l.active {
		return false
	}
	for _, c := range l.chunks {
		if !c.ready {
			return false
		}
	}
	return true
}

// TakeChanged reports whether servers or replicas changed since the last call.
func (l *Ledger) TakeChanged() bool {
	changed := l.changed
	l.changed = false
	return changed
}

// SetServer adds a server or updates its description.
func (l *Ledger) SetServer(now time.Time, info ServerInfo) {
	s, ok := l.servers[info.ID]
	if !ok {
		s = &serverState{
			inFlight: make(map[vrid.OrderID]inFlightOrder), unansweredAt: make(map[vrid.OrderID]time.Time),
			answeredAt: now, adoptedAt: now, entryAnsweredAt: make(map[entryKey]time.Time),
			removedAnsweredAt: make(map[entryKey]time.Time),
		}
		l.servers[info.ID] = s
		l.serverIDs = append(l.serverIDs, info.ID)
		sort.Slice(l.serverIDs, func(i, j int) bool { return l.serverIDs[i] < l.serverIDs[j] })
		l.adoptEntries(s, info.ID)
	}
	if s.info != info {
		l.changed = true
	}
	s.info = info
}

// RemoveServer removes a server whose VM is gone, with its entries and orders in flight:
// nothing runs on it any more.
func (l *Ledger) RemoveServer(id vrid.ServerID) {
	s, ok := l.servers[id]
	if !ok {
		return
	}
	for len(s.entries) > 0 {
		l.removeEntry(s, s.entries[0])
	}
	l.outstanding -= len(s.inFlight)
	delete(l.servers, id)
	l.serverIDs = deleteID(l.serverIDs, id)
	l.markDirty(id)
}

func deleteID(ids []vrid.ServerID, id vrid.ServerID) []vrid.ServerID {
	for i, candidate := range ids {
		if candidate == id {
			return append(ids[:i], ids[i+1:]...)
		}
	}
	return ids
}

// chunkOf returns the chunk of a server. It depends only on the id and the number of
// chunks, so that every owner computes the same one.
func (l *Ledger) chunkOf(id vrid.ServerID) *chunkState {
	if len(l.chunks) == 0 {
		return nil
	}
	return l.chunks[xxhash.Sum64String(string(id))%uint64(len(l.chunks))]
}

// markDirty schedules a write of a server's chunk and an update of the zone view.
func (l *Ledger) markDirty(id vrid.ServerID) {
	l.changed = true
	if c := l.chunkOf(id); c != nil {
		c.dirty = true
	}
}

// Reserved returns the memory that the entries of a server reserve.
func (l *Ledger) Reserved(id vrid.ServerID) vrid.Bytes {
	s, ok := l.servers[id]
	if !ok {
		return 0
	}
	return s.reserved()
}

func (s *serverState) reserved() vrid.Bytes {
	var sum vrid.Bytes
	for _, entry := range s.entries {
		if vrfault.On(vrfault.IgnoreMemory) && len(entry.Attempts) > 0 {
			continue
		}
		sum += entry.Bytes
	}
	return sum
}

// Replicas returns the number of entries of a base model in the zone, in any state. A
// revoked grant counts until its removal is durable.
func (l *Ledger) Replicas(model vrid.ModelID) int { return l.replicas[model] }

func (s *serverState) findEntry(model vrid.ModelID, adapter vrid.AdapterID) *Entry {
	for _, entry := range s.entries {
		if entry.Model == model && entry.Adapter == adapter {
			return entry
		}
	}
	return nil
}

func (l *Ledger) addEntry(s *serverState, entry *Entry) {
	s.entries = append(s.entries, entry)
	if entry.Adapter == "" {
		l.replicas[entry.Model]++
	}
}

func (l *Ledger) removeEntry(s *serverState, entry *Entry) {
	if at, known := s.entryAnsweredAt[keyOf(entry)]; known {
		s.removedAnsweredAt[keyOf(entry)] = at
		delete(s.entryAnsweredAt, keyOf(entry))
	}
	for i, candidate := range s.entries {
		if candidate == entry {
			s.entries = append(s.entries[:i], s.entries[i+1:]...)
			break
		}
	}
	if entry.Adapter == "" {
		l.replicas[entry.Model]--
	}
}

// CheckAction returns the reason why an action can't be taken now, or RefusalNone.
func (l *Ledger) CheckAction(action Action) Refusal {
	c := l.chunkOf(action.Server)
	if !l.active || c == nil || !c.ready {
		return RefusalNotOwner
	}
	s, ok := l.servers[action.Server]
	if !ok {
		return RefusalUnknownServer
	}
	entry := s.findEntry(action.Model, action.Adapter)
	switch action.Kind {
	case ActionLoad:
		return l.checkLoad(s, entry, action)
	case ActionGrant:
		if entry != nil {
			return RefusalPresent
		}
		return l.checkLoad(s, nil, action)
	case ActionUnload:
		return checkUnload(s, entry)
	case ActionRevoke:
		if entry == nil || entry.State != vrwire.ReplicaGranted {
			return RefusalAbsent
		}
		if len(entry.Attempts) == 0 || !l.ownAttemptsUnsent(s, entry) {
			// A former owner may have used its grant before it stopped sending. Only a report
			// shows whether it did.
			return RefusalPinned
		}
	}
	return RefusalNone
}

func (l *Ledger) checkLoad(s *serverState, entry *Entry, action Action) Refusal {
	if s.info.State != vrwire.ServerLive {
		return RefusalServerNotLive
	}
	if s.needsFence() {
		return RefusalNotFenced
	}
	if entry != nil {
		if entry.State == vrwire.ReplicaGranted {
			return s.orderConflict(action.Adapter != "")
		}
		return RefusalPresent
	}
	if action.Adapter != "" {
		base := s.findEntry(action.Model, "")
		if base == nil || base.State != vrwire.ReplicaLoaded {
			return RefusalBaseMissing
		}
	} else if l.replicas[action.Model] >= action.MaxReplicas && !vrfault.On(vrfault.IgnoreCap) {
		return RefusalReplicaCap
	}
	if s.reserved()+action.Bytes > s.info.Memory {
		return RefusalMemory
	}
	if action.Kind == ActionGrant {
		return RefusalNone
	}
	return s.orderConflict(action.Adapter != "")
}

func checkUnload(s *serverState, entry *Entry) Refusal {
	if entry == nil {
		return RefusalAbsent
	}
	if entry.State != vrwire.ReplicaLoaded {
		return RefusalBusy
	}
	if len(entry.Attempts) > 0 && !vrfault.On(vrfault.IgnorePin) {
		return RefusalPinned
	}
	if s.needsFence() {
		return RefusalNotFenced
	}
	if entry.Adapter == "" {
		for _, other := range s.entries {
			if other.Model == entry.Model && other.Adapter != "" {
				return RefusalBusy
			}
		}
	}
	return s.orderConflict(false)
}

// orderConflict returns RefusalBusy while another load or unload runs on the server. Only
// adapter loads may run concurrently, and only with each other.
func (s *serverState) orderConflict(adapterLoad bool) Refusal {
	for _, entry := range s.entries {
		changing := entry.State == vrwire.ReplicaLoading || entry.State == vrwire.ReplicaUnloading
		concurrent := adapterLoad && entry.Adapter != "" && entry.State == vrwire.ReplicaLoading
		if changing && !concurrent {
			return RefusalBusy
		}
	}
	return RefusalNone
}

// needsFence reports whether the server's engine honours fencing tokens but has not
// acknowledged this epoch yet, so that it could still execute an order of an earlier epoch.
func (s *serverState) needsFence() bool {
	return s.info.HonorsFencing && !s.fenced
}

// ownAttemptsUnsent reports whether every attempt of an entry was created by this run in this
// epoch and none of them is in flight. For a granted entry this means that none was sent.
func (l *Ledger) ownAttemptsUnsent(s *serverState, entry *Entry) bool {
	for _, attempt := range entry.Attempts {
		if attempt.Issuer != l.opts.Daemon || attempt.Boot != l.opts.Boot || attempt.Epoch != l.epoch {
			return false
		}
		if _, sent := s.inFlight[attempt.Order]; sent {
			return false
		}
	}
	return true
}

// Apply records an action. Its order is sent once the record is durable.
func (l *Ledger) Apply(action Action) Refusal {
	if refusal := l.CheckAction(action); refusal != RefusalNone {
		return refusal
	}
	s := l.servers[action.Server]
	entry := s.findEntry(action.Model, action.Adapter)
	switch action.Kind {
	case ActionLoad:
		if entry == nil {
			entry = &Entry{Model: action.Model, Adapter: action.Adapter, Bytes: action.Bytes, Source: action.Source}
			l.addEntry(s, entry)
		}
		entry.State = vrwire.ReplicaLoading
		if l.ownAttemptsUnsent(s, entry) {
			// An engine that honours fencing tokens refuses the attempt of the grant if it has
			// accepted a later order. The attempt was never sent, so a new one replaces it.
			entry.Attempts = nil
		}
		l.addAttempt(s, entry)
		l.queueOrder(s, entry)
	case ActionUnload:
		entry.State = vrwire.ReplicaUnloading
		l.addAttempt(s, entry)
		l.queueOrder(s, entry)
	case ActionGrant:
		entry = &Entry{
			Model: action.Model, Adapter: action.Adapter, Bytes: action.Bytes,
			State: vrwire.ReplicaGranted, Source: action.Source,
		}
		l.addEntry(s, entry)
		l.addAttempt(s, entry)
	case ActionRevoke:
		l.revoke(s, entry)
	}
	l.markDirty(action.Server)
	return RefusalNone
}

// revoke removes a grant. It counts as a replica until its removal is durable: otherwise
// the model could be loaded on another server while a successor that still reads the grant
// loads it on this one.
func (l *Ledger) revoke(s *serverState, entry *Entry) {
	l.removeEntry(s, entry)
	if entry.Adapter != "" {
		return
	}
	l.replicas[entry.Model]++
	c := l.chunkOf(s.info.ID)
	c.revokedModels = append(c.revokedModels, entry.Model)
}

// UseGrant sends the load order of a durable grant without another write. Grants are the
// only loads that a zone can start while the platform does not answer. It reports whether
// the order was sent.
func (l *Ledger) UseGrant(now time.Time, id vrid.ServerID, model vrid.ModelID, out *vrevent.Effects) bool {
	s, ok := l.servers[id]
	if !ok || !l.active {
		return false
	}
	entry := s.findEntry(model, "")
	c := l.chunkOf(id)
	if entry == nil || entry.State != vrwire.ReplicaGranted || len(entry.Attempts) != 1 || !l.ownAttemptsUnsent(s, entry) {
		return false
	}
	if c == nil || !c.ready || !c.isDurable(entry.Attempts[0].Order) || s.orderConflict(false) != RefusalNone {
		return false
	}
	if s.info.State != vrwire.ServerLive {
		return false
	}
	entry.State = vrwire.ReplicaLoading
	l.markDirty(id)
	l.sendOrder(now, s, l.orderFor(entry, entry.Attempts[0]), out)
	return true
}

// addAttempt adds an attempt of this run to an entry.
func (l *Ledger) addAttempt(s *serverState, entry *Entry) {
	l.sequence++
	l.issued = true
	entry.Attempts = append(entry.Attempts, Attempt{
		Order:      vrid.OrderID(fmt.Sprintf("%s-%s-%d-%d", l.opts.Daemon, l.opts.Boot, l.epoch, l.sequence)),
		Issuer:     l.opts.Daemon,
		Boot:       l.opts.Boot,
		Epoch:      l.epoch,
		Sequence:   l.sequence,
		ServerBoot: s.boot,
	})
}

// queueOrder queues the entry's latest attempt to be sent once its record is durable.
func (l *Ledger) queueOrder(s *serverState, entry *Entry) {
	c := l.chunkOf(s.info.ID)
	attempt := entry.Attempts[len(entry.Attempts)-1]
	c.queuedOrders = append(c.queuedOrders, queuedOrder{server: s.info.ID, order: attempt.Order})
}

// orderFor returns the order of an entry's attempt. Its kind follows from the entry's state.
func (l *Ledger) orderFor(entry *Entry, attempt Attempt) vrengine.Order {
	order := vrengine.Order{
		OrderID:  attempt.Order,
		Epoch:    attempt.Epoch,
		Sequence: attempt.Sequence,
		Model:    entry.Model,
		Adapter:  entry.Adapter,
		Bytes:    entry.Bytes,
		Source:   entry.Source,
	}
	unloading := entry.State == vrwire.ReplicaUnloading
	switch {
	case entry.Adapter == "" && unloading:
		order.Kind = vrengine.OrderUnload
	case entry.Adapter == "":
		order.Kind = vrengine.OrderLoad
	case unloading:
		order.Kind = vrengine.OrderUnloadAdapter
	default:
		order.Kind = vrengine.OrderLoadAdapter
	}
	return order
}

func (l *Ledger) sendOrder(now time.Time, s *serverState, order vrengine.Order, out *vrevent.Effects) {
	s.inFlight[order.OrderID] = inFlightOrder{order: order, adapter: order.Adapter != "", sentAt: now}
	l.outstanding++
	out.Add(vrevent.SendOrder{Server: s.info.ID, Address: s.info.Address, Order: order})
}
