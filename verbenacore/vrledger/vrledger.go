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

// Options of a zone's ledgers.
type Options struct {
	Zone   vrid.ZoneID
	Daemon vrid.DaemonID
	Boot   vrid.BootID
	Ops    *vrevent.Ops
}

// server is the owner's knowledge of one server.
type server struct {
	info    ServerInfo
	entries []*Entry
	boot    vrid.BootID
	// bootTaken is when the newest report of the run with this boot id was taken.
	bootTaken time.Time
	report    *vrwire.LoadReport
	// reported is the owner's time of the newest report.
	reported time.Time
	// settled is the time of the newest answer to an order; older reports don't show it.
	settled time.Time
	// adopted is when this owner learned of the server or took its entries over.
	adopted time.Time
	// entrySettled is the time of the newest answer to an order for each entry.
	entrySettled map[entryName]time.Time
	// fenced is set when an engine that honours fencing acknowledged the epoch.
	fenced bool
	// inFlight are this owner's orders that were sent and not answered yet.
	inFlight map[vrid.OrderID]inFlight
	// lost is when an order of this run ended without an answer.
	lost     map[vrid.OrderID]time.Time
	fence    vrid.OrderID
	fenceAt  time.Time
	resendAt time.Time
}

type inFlight struct {
	order   vrengine.Order
	adapter bool
	sent    time.Time
}

// Ledger holds the ledgers of a zone while this daemon is the zone's owner.
type Ledger struct {
	opts     Options
	epoch    vrid.Epoch
	sequence uint64
	active   bool
	chunks   []*chunk
	servers  map[vrid.ServerID]*server
	order    []vrid.ServerID
	// replicas counts the entries of base models by model.
	replicas map[vrid.ModelID]int
	// outstanding counts the orders of all servers that were sent and not answered.
	outstanding int
	// lostAt is when an order of any server last ended without an answer.
	lostAt time.Time
	// issued is set once this run made an attempt: it may be on the platform although it
	// was never sent.
	issued bool
	// changed is set when the replicas in the zone view are out of date.
	changed bool
}

// New returns an inactive ledger.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:     opts,
		servers:  make(map[vrid.ServerID]*server),
		replicas: make(map[vrid.ModelID]int),
	}
}

// Activate starts the takeover under a new epoch: every chunk is read and rewritten
// before anything is decided on it.
func (l *Ledger) Activate(now time.Time, epoch vrid.Epoch, chunks uint32, out *vrevent.Effects) {
	l.active = true
	l.epoch = epoch
	l.chunks = make([]*chunk, max(chunks, 1))
	l.replicas = make(map[vrid.ModelID]int)
	for _, s := range l.servers {
		s.entries = nil
		s.fenced = false
		s.fence = ""
	}
	for i := range l.chunks {
		l.chunks[i] = newChunk(i)
		l.readChunk(l.chunks[i], out)
	}
	l.changed = true
}

// Deactivate drops all rights after the lease was lost. Orders that are in flight are
// still counted, see Outstanding.
func (l *Ledger) Deactivate() {
	l.active = false
	l.chunks = nil
	l.changed = true
	for _, s := range l.servers {
		s.entries = nil
		s.fenced = false
		s.fence = ""
	}
	l.replicas = make(map[vrid.ModelID]int)
}

// Outstanding is the number of this daemon's orders that were sent and not answered.
func (l *Ledger) Outstanding() int { return l.outstanding }

// Quiesced reports whether no order of this run can still arrive anywhere: only then may
// an EpochAck be sent.
func (l *Ledger) Quiesced(now time.Time) bool {
	if vrfault.On(vrfault.AckWithOrders) {
		return true
	}
	return l.outstanding == 0 && now.Sub(l.lostAt) > orderTail
}

// HasIssued reports whether this run ever made an attempt, so that a successor may wait for
// its acknowledgement.
func (l *Ledger) HasIssued() bool { return l.issued }

// Active reports whether this daemon is the zone's owner.
func (l *Ledger) Active() bool { return l.active }

// Ready reports whether every chunk was taken over.
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

// TakeChanged reports whether replicas changed since the last call.
func (l *Ledger) TakeChanged() bool {
	changed := l.changed
	l.changed = false
	return changed
}

// SetServer adds a server or updates what is known of it.
func (l *Ledger) SetServer(now time.Time, info ServerInfo) {
	s, ok := l.servers[info.ID]
	if !ok {
		s = &server{inFlight: make(map[vrid.OrderID]inFlight), lost: make(map[vrid.OrderID]time.Time), settled: now, adopted: now, entrySettled: make(map[entryName]time.Time)}
		l.servers[info.ID] = s
		l.order = append(l.order, info.ID)
		sort.Slice(l.order, func(i, j int) bool { return l.order[i] < l.order[j] })
		l.adoptEntries(s, info.ID)
	}
	if s.info != info {
		l.changed = true
	}
	s.info = info
}

// RemoveServer forgets a server whose VM is gone: nothing runs there any more.
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
	l.order = deleteID(l.order, id)
	l.touch(id)
}

func deleteID(ids []vrid.ServerID, id vrid.ServerID) []vrid.ServerID {
	for i, candidate := range ids {
		if candidate == id {
			return append(ids[:i], ids[i+1:]...)
		}
	}
	return ids
}

// chunkOf returns the chunk of a server; it depends only on the id and the number of
// chunks, so that every owner agrees.
func (l *Ledger) chunkOf(id vrid.ServerID) *chunk {
	if len(l.chunks) == 0 {
		return nil
	}
	return l.chunks[xxhash.Sum64String(string(id))%uint64(len(l.chunks))]
}

func (l *Ledger) touch(id vrid.ServerID) {
	l.changed = true
	if c := l.chunkOf(id); c != nil {
		c.dirty = true
	}
}

// Reserved returns the bytes of all entries of a server.
func (l *Ledger) Reserved(id vrid.ServerID) vrid.Bytes {
	s, ok := l.servers[id]
	if !ok {
		return 0
	}
	return s.reserved()
}

func (s *server) reserved() vrid.Bytes {
	var sum vrid.Bytes
	for _, entry := range s.entries {
		if vrfault.On(vrfault.IgnoreMemory) && len(entry.Attempts) > 0 {
			continue
		}
		sum += entry.Bytes
	}
	return sum
}

// Replicas returns the decided replicas of a model in the zone.
func (l *Ledger) Replicas(model vrid.ModelID) int { return l.replicas[model] }

func (s *server) find(model vrid.ModelID, adapter vrid.AdapterID) *Entry {
	for _, entry := range s.entries {
		if entry.Model == model && entry.Adapter == adapter {
			return entry
		}
	}
	return nil
}

func (l *Ledger) addEntry(s *server, entry *Entry) {
	s.entries = append(s.entries, entry)
	if entry.Adapter == "" {
		l.replicas[entry.Model]++
	}
}

func (l *Ledger) removeEntry(s *server, entry *Entry) {
	delete(s.entrySettled, nameOf(entry))
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

// CheckAction says why an action can't be taken now, or RefusalNone.
func (l *Ledger) CheckAction(action Action) Refusal {
	c := l.chunkOf(action.Server)
	if !l.active || c == nil || !c.ready {
		return RefusalNotOwner
	}
	s, ok := l.servers[action.Server]
	if !ok {
		return RefusalUnknownServer
	}
	entry := s.find(action.Model, action.Adapter)
	switch action.Kind {
	case ActionLoad:
		return l.allowedLoad(s, entry, action)
	case ActionGrant:
		if entry != nil {
			return RefusalPresent
		}
		return l.allowedLoad(s, nil, action)
	case ActionUnload:
		return allowedUnload(s, entry)
	case ActionRevoke:
		if entry == nil || entry.State != vrwire.ReplicaGranted {
			return RefusalAbsent
		}
		if len(entry.Attempts) == 0 || !l.ownUnsent(s, entry) {
			// A former owner's grant may have been used before its issuer was proved silent;
			// a report tells.
			return RefusalPinned
		}
	}
	return RefusalNone
}

func (l *Ledger) allowedLoad(s *server, entry *Entry, action Action) Refusal {
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
		base := s.find(action.Model, "")
		if base == nil || base.State != vrwire.ReplicaLoaded {
			return RefusalBaseMissing
		}
	} else if l.replicas[action.Model] >= action.Cap && !vrfault.On(vrfault.IgnoreCap) {
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

func allowedUnload(s *server, entry *Entry) Refusal {
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

// orderConflict keeps load, unload and change of role on one server apart; only
// adapter loads may run beside each other.
func (s *server) orderConflict(adapterLoad bool) Refusal {
	for _, entry := range s.entries {
		moving := entry.State == vrwire.ReplicaLoading || entry.State == vrwire.ReplicaUnloading
		beside := adapterLoad && entry.Adapter != "" && entry.State == vrwire.ReplicaLoading
		if moving && !beside {
			return RefusalBusy
		}
	}
	return RefusalNone
}

// needsFence reports whether an order of an earlier epoch could still be obeyed by an
// engine that honours fencing numbers.
func (s *server) needsFence() bool {
	return s.info.HonorsFencing && !s.fenced
}

// ownUnsent reports whether every attempt of a grant is this owner's own and was never
// sent.
func (l *Ledger) ownUnsent(s *server, entry *Entry) bool {
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

// Apply records an action. The order goes out when the record is durable.
func (l *Ledger) Apply(action Action) Refusal {
	if refusal := l.CheckAction(action); refusal != RefusalNone {
		return refusal
	}
	s := l.servers[action.Server]
	entry := s.find(action.Model, action.Adapter)
	switch action.Kind {
	case ActionLoad:
		if entry == nil {
			entry = &Entry{Model: action.Model, Adapter: action.Adapter, Bytes: action.Bytes, Source: action.Source}
			l.addEntry(s, entry)
		}
		entry.State = vrwire.ReplicaLoading
		if l.ownUnsent(s, entry) {
			// An engine that honours fencing refuses the number of a grant that is older than
			// another order to it. That attempt was never sent, so a new one replaces it.
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
	l.touch(action.Server)
	return RefusalNone
}

// revoke removes a grant. It counts as a replica until its removal is durable: a
// successor that still reads the grant could load it beside a replica elsewhere.
func (l *Ledger) revoke(s *server, entry *Entry) {
	l.removeEntry(s, entry)
	if entry.Adapter != "" {
		return
	}
	l.replicas[entry.Model]++
	c := l.chunkOf(s.info.ID)
	c.revoked = append(c.revoked, entry.Model)
}

// UseGrant sends the load of a grant that is durable, without a further write: this is
// what a zone may still load while the platform does not answer.
func (l *Ledger) UseGrant(now time.Time, id vrid.ServerID, model vrid.ModelID, out *vrevent.Effects) bool {
	s, ok := l.servers[id]
	if !ok || !l.active {
		return false
	}
	entry := s.find(model, "")
	c := l.chunkOf(id)
	if entry == nil || entry.State != vrwire.ReplicaGranted || len(entry.Attempts) != 1 || !l.ownUnsent(s, entry) {
		return false
	}
	if c == nil || !c.ready || !c.durable(entry.Attempts[0].Order) || s.orderConflict(false) != RefusalNone {
		return false
	}
	if s.info.State != vrwire.ServerLive {
		return false
	}
	entry.State = vrwire.ReplicaLoading
	l.touch(id)
	l.send(now, s, l.orderFor(entry, entry.Attempts[0]), out)
	return true
}

func (l *Ledger) addAttempt(s *server, entry *Entry) {
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

// queueOrder lets the newest attempt go out once its record is durable.
func (l *Ledger) queueOrder(s *server, entry *Entry) {
	c := l.chunkOf(s.info.ID)
	attempt := entry.Attempts[len(entry.Attempts)-1]
	c.queued = append(c.queued, queuedOrder{server: s.info.ID, attempt: attempt.Order})
}

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

func (l *Ledger) send(now time.Time, s *server, order vrengine.Order, out *vrevent.Effects) {
	s.inFlight[order.OrderID] = inFlight{order: order, adapter: order.Adapter != "", sent: now}
	l.outstanding++
	out.Add(vrevent.SendOrder{Server: s.info.ID, Address: s.info.Address, Order: order})
}
