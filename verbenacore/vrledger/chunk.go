package vrledger

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// retryDelay is the pause after a call to the platform that was not answered.
const retryDelay = 250 * time.Millisecond

// chunk is one ledger object. All changes that arrive while a write is in flight go
// into the next one.
type chunk struct {
	index   int
	version vrid.ObjectVersion
	// ready is set once the chunk was rewritten under this owner's epoch.
	ready bool
	// loaded is set once the chunk was read under this owner's epoch.
	loaded   bool
	dirty    bool
	revision uint64
	op       vrevent.Op
	// writing are the orders whose record is in the write that is in flight.
	writing []queuedOrder
	// revoked are models whose grants were removed since the last write, removing those
	// whose removal is in the write that is in flight.
	revoked  []vrid.ModelID
	removing []vrid.ModelID
	// queued are the orders whose record is not written yet.
	queued []queuedOrder
	// known are the attempts that are durable.
	known map[vrid.OrderID]bool
	// proposed are the attempts in the write that is in flight.
	proposed map[vrid.OrderID]bool
	// stale are entries of servers that the platform's list does not show yet.
	stale  []ServerLedger
	retry  time.Time
	reread bool
}

// queuedOrder is an order that waits for its record.
type queuedOrder struct {
	server  vrid.ServerID
	attempt vrid.OrderID
}

func newChunk(index int) *chunk { return &chunk{index: index, known: map[vrid.OrderID]bool{}} }

func (c *chunk) durable(order vrid.OrderID) bool { return c.known[order] }

func (l *Ledger) readChunk(c *chunk, out *vrevent.Effects) {
	c.op = l.opts.Ops.Next()
	out.Add(vrevent.ReadObject{Op: c.op, Key: vrplatform.LedgerKey(l.opts.Zone, c.index)})
}

// Owns reports whether an answer belongs to this ledger.
func (l *Ledger) Owns(op vrevent.Op) bool { return l.chunkByOp(op) != nil }

func (l *Ledger) chunkByOp(op vrevent.Op) *chunk {
	if op == 0 {
		return nil
	}
	for _, c := range l.chunks {
		if c.op == op {
			return c
		}
	}
	return nil
}

// HandleRead takes the answer to a chunk's read. It reports whether the chunk shows a
// newer owner.
func (l *Ledger) HandleRead(now time.Time, event vrevent.ObjectRead, out *vrevent.Effects) (superseded vrid.Epoch) {
	c := l.chunkByOp(event.Op)
	if c == nil {
		return 0
	}
	c.op = 0
	var value *Chunk
	switch event.Outcome {
	case vrplatform.OutcomeNotFound:
		value = &Chunk{}
	case vrplatform.OutcomeOK:
		decoded, err := vrwire.Unmarshal[Chunk](event.Value)
		if err != nil {
			out.Warn("ledger chunk is malformed", vrevent.Field("key", event.Key), vrevent.Field("error", err.Error()))
			c.retry = now.Add(retryDelay)
			return 0
		}
		value = decoded
	default:
		c.retry = now.Add(retryDelay)
		return 0
	}
	if value.Epoch > l.epoch {
		return value.Epoch
	}
	if c.ready || c.reread {
		return l.resolveWrite(now, c, value, event.Version, out)
	}
	c.version = event.Version
	c.loaded = true
	c.ready = vrfault.On(vrfault.SkipTakeoverWrite)
	c.dirty = !c.ready
	l.adoptChunk(now, c, value)
	return 0
}

// resolveWrite finds out whether a write whose answer was lost took effect.
func (l *Ledger) resolveWrite(now time.Time, c *chunk, value *Chunk, version vrid.ObjectVersion, out *vrevent.Effects) vrid.Epoch {
	c.reread = false
	mine := value.Epoch == l.epoch && value.Writer == l.opts.Daemon && value.Revision == c.revision
	if mine {
		l.written(c, version)
		l.sendOrders(now, c, out)
		return 0
	}
	// The write did not take effect: its changes go into the next one.
	c.version = version
	c.queued = append(c.writing, c.queued...)
	c.writing = nil
	c.dirty = true
	return 0
}

func (l *Ledger) adoptChunk(now time.Time, c *chunk, value *Chunk) {
	c.stale = nil
	for _, ledger := range value.Servers {
		c.stale = append(c.stale, ledger)
		for _, entry := range ledger.Entries {
			if entry.Adapter == "" {
				l.replicas[entry.Model]++
			}
		}
	}
	for id, s := range l.servers {
		if l.chunkOf(id) == c {
			// The former owner may have had answers that no report shows yet.
			s.settled = now
			s.adopted = now
			clear(s.entrySettled)
			l.adoptEntries(s, id)
		}
	}
	l.changed = true
}

// adoptEntries moves the entries that a former owner recorded to a server that is now
// known.
func (l *Ledger) adoptEntries(s *server, id vrid.ServerID) {
	c := l.chunkOf(id)
	if c == nil {
		return
	}
	for i, ledger := range c.stale {
		if ledger.Server != id {
			continue
		}
		for j := range ledger.Entries {
			entry := ledger.Entries[j]
			s.entries = append(s.entries, &entry)
		}
		c.stale = append(c.stale[:i], c.stale[i+1:]...)
		return
	}
}

// DropGoneServers forgets the entries of servers whose VMs the platform no longer lists.
func (l *Ledger) DropGoneServers(gone func(vrid.ServerID) bool) {
	for _, c := range l.chunks {
		if !c.ready {
			continue
		}
		kept := c.stale[:0]
		for _, ledger := range c.stale {
			if !gone(ledger.Server) {
				kept = append(kept, ledger)
				continue
			}
			for _, entry := range ledger.Entries {
				if entry.Adapter == "" {
					l.replicas[entry.Model]--
				}
			}
			c.dirty = true
		}
		c.stale = kept
	}
}

// Flush writes dirty chunks, one write in flight for each.
func (l *Ledger) Flush(now time.Time, out *vrevent.Effects) {
	if !l.active {
		return
	}
	for _, c := range l.chunks {
		if c.op != 0 || now.Before(c.retry) {
			continue
		}
		switch {
		case !c.loaded || c.reread:
			l.readChunk(c, out)
		case c.dirty:
			l.writeChunk(now, c, out)
		}
	}
}

func (l *Ledger) writeChunk(now time.Time, c *chunk, out *vrevent.Effects) {
	c.revision++
	value := Chunk{Epoch: l.epoch, Writer: l.opts.Daemon, Revision: c.revision}
	value.Servers = append(value.Servers, c.stale...)
	c.proposed = make(map[vrid.OrderID]bool)
	for _, id := range l.order {
		s := l.servers[id]
		if l.chunkOf(id) != c || len(s.entries) == 0 {
			continue
		}
		ledger := ServerLedger{Server: id}
		for _, entry := range s.entries {
			ledger.Entries = append(ledger.Entries, *entry)
			for _, attempt := range entry.Attempts {
				c.proposed[attempt.Order] = true
			}
		}
		value.Servers = append(value.Servers, ledger)
	}
	data, err := vrwire.Marshal(&value)
	if err != nil {
		out.Warn("ledger chunk can't be encoded", vrevent.Field("error", err.Error()))
		return
	}
	c.dirty = false
	c.removing = append(c.removing, c.revoked...)
	c.revoked = nil
	c.writing = c.queued
	c.queued = nil
	c.op = l.opts.Ops.Next()
	out.Add(vrevent.WriteObject{
		Op: c.op, Key: vrplatform.LedgerKey(l.opts.Zone, c.index), IfVersion: c.version, Value: data,
	})
	if vrfault.On(vrfault.SendBeforeDurable) {
		l.sendOrders(now, c, out)
	}
}

// HandleWritten takes the answer to a chunk's write. It reports whether another owner
// wrote the chunk.
func (l *Ledger) HandleWritten(now time.Time, event vrevent.ObjectWritten, out *vrevent.Effects) (conflict bool) {
	c := l.chunkByOp(event.Op)
	if c == nil {
		return false
	}
	c.op = 0
	switch event.Outcome {
	case vrplatform.OutcomeOK:
		l.written(c, event.Version)
		l.sendOrders(now, c, out)
		return false
	case vrplatform.OutcomeUnavailable:
		// Refused before it took effect: write again with whatever came since.
		c.queued = append(c.writing, c.queued...)
		c.writing = nil
		c.dirty = true
		c.retry = now.Add(retryDelay)
		return false
	default:
		// After a conflict or an unknown outcome only a read can tell what stands.
		if !c.ready {
			c.loaded = false
			l.forgetChunk(c)
			l.readChunk(c, out)
			return false
		}
		c.reread = true
		l.readChunk(c, out)
		return event.Outcome == vrplatform.OutcomeConflict
	}
}

// forgetChunk drops the entries of a chunk that is read again during a takeover.
func (l *Ledger) forgetChunk(c *chunk) {
	for id, s := range l.servers {
		if l.chunkOf(id) != c {
			continue
		}
		for len(s.entries) > 0 {
			l.removeEntry(s, s.entries[0])
		}
	}
	for _, ledger := range c.stale {
		for _, entry := range ledger.Entries {
			if entry.Adapter == "" {
				l.replicas[entry.Model]--
			}
		}
	}
	c.stale = nil
	c.queued = nil
	c.writing = nil
}

func (l *Ledger) written(c *chunk, version vrid.ObjectVersion) {
	c.version = version
	c.ready = true
	c.known = c.proposed
	for _, model := range c.removing {
		l.replicas[model]--
	}
	c.removing = nil
	l.changed = true
}

// sendOrders sends the orders whose record is now durable.
func (l *Ledger) sendOrders(now time.Time, c *chunk, out *vrevent.Effects) {
	orders := c.writing
	c.writing = nil
	for _, queued := range orders {
		s, ok := l.servers[queued.server]
		if !ok {
			continue
		}
		entry, attempt := s.findAttempt(queued.attempt)
		if entry == nil {
			continue
		}
		l.send(now, s, l.orderFor(entry, *attempt), out)
	}
}

func (s *server) findAttempt(order vrid.OrderID) (*Entry, *Attempt) {
	for _, entry := range s.entries {
		for i := range entry.Attempts {
			if entry.Attempts[i].Order == order {
				return entry, &entry.Attempts[i]
			}
		}
	}
	return nil, nil
}
