package vrledger

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// retryDelay is the pause after a platform call without a usable result.
const retryDelay = 250 * time.Millisecond

// chunkState is the owner's state of one Chunk. Changes that are made while a write is in
// flight go into the next write.
type chunkState struct {
	index   int
	version vrid.ObjectVersion
	// ready is set once the chunk was rewritten under this owner's epoch.
	ready bool
	// wasRead is set once the chunk was read under this owner's epoch.
	wasRead bool
	// dirty is set when the stored value is out of date.
	dirty    bool
	revision uint64
	// inFlightOp is the platform call that is in flight, or 0.
	inFlightOp vrevent.Op
	// inFlightOrders holds the orders whose record is in the write that is in flight.
	inFlightOrders []queuedOrder
	// revokedModels holds the models whose grants were removed since the last write, and
	// inFlightRevoked those whose removal is in the write that is in flight.
	revokedModels   []vrid.ModelID
	inFlightRevoked []vrid.ModelID
	// queuedOrders holds the orders whose record goes into the next write.
	queuedOrders []queuedOrder
	// durableAttempts holds the order ids of the attempts in the stored value.
	durableAttempts map[vrid.OrderID]bool
	// inFlightAttempts holds the order ids of the attempts in the write that is in flight.
	inFlightAttempts map[vrid.OrderID]bool
	// unadopted holds the recorded ledgers of servers that SetServer has not added yet.
	unadopted []ServerLedger
	retryAt   time.Time
	// needsReread is set while it is unknown whether the last write took effect.
	needsReread bool
}

// queuedOrder is an order that is sent once its record is durable.
type queuedOrder struct {
	server vrid.ServerID
	order  vrid.OrderID
}

func newChunkState(index int) *chunkState {
	return &chunkState{index: index, durableAttempts: map[vrid.OrderID]bool{}}
}

func (c *chunkState) isDurable(order vrid.OrderID) bool { return c.durableAttempts[order] }

func (l *Ledger) readChunk(c *chunkState, out *vrevent.Effects) {
	c.inFlightOp = l.opts.Ops.Next()
	out.Add(vrevent.ReadObject{Op: c.inFlightOp, Key: vrplatform.LedgerKey(l.opts.Zone, c.index)})
}

// Owns reports whether op is a platform call of this ledger that is in flight.
func (l *Ledger) Owns(op vrevent.Op) bool { return l.chunkByOp(op) != nil }

func (l *Ledger) chunkByOp(op vrevent.Op) *chunkState {
	if op == 0 {
		return nil
	}
	for _, c := range l.chunks {
		if c.inFlightOp == op {
			return c
		}
	}
	return nil
}

// HandleRead handles the result of reading a chunk. It returns the chunk's epoch if that is
// higher than this owner's, and otherwise 0.
func (l *Ledger) HandleRead(now time.Time, event vrevent.ObjectRead, out *vrevent.Effects) (newerEpoch vrid.Epoch) {
	c := l.chunkByOp(event.Op)
	if c == nil {
		return 0
	}
	c.inFlightOp = 0
	var value *Chunk
	switch event.Outcome {
	case vrplatform.OutcomeNotFound:
		value = &Chunk{}
	case vrplatform.OutcomeOK:
		decoded, err := vrwire.Unmarshal[Chunk](event.Value)
		if err != nil {
			out.Warn("ledger chunk is malformed", vrevent.Field("key", event.Key), vrevent.Field("error", err.Error()))
			c.retryAt = now.Add(retryDelay)
			return 0
		}
		value = decoded
	default:
		c.retryAt = now.Add(retryDelay)
		return 0
	}
	if value.Epoch > l.epoch {
		return value.Epoch
	}
	if c.ready || c.needsReread {
		return l.resolveWrite(now, c, value, event.Version, out)
	}
	c.version = event.Version
	c.wasRead = true
	c.ready = vrfault.On(vrfault.SkipTakeoverWrite)
	c.dirty = !c.ready
	l.adoptChunk(now, c, value)
	return 0
}

// resolveWrite determines from a chunk's stored value whether a write whose result was lost
// took effect.
func (l *Ledger) resolveWrite(now time.Time, c *chunkState, value *Chunk, version vrid.ObjectVersion, out *vrevent.Effects) vrid.Epoch {
	c.needsReread = false
	ownWrite := value.Epoch == l.epoch && value.Writer == l.opts.Daemon && value.Revision == c.revision
	if ownWrite {
		l.commitWrite(c, version)
		l.sendOrders(now, c, out)
		return 0
	}
	// The write did not take effect: its changes go into the next one.
	c.version = version
	c.queuedOrders = append(c.inFlightOrders, c.queuedOrders...)
	c.inFlightOrders = nil
	c.dirty = true
	return 0
}

// adoptChunk takes over the entries that a former owner recorded in a chunk.
func (l *Ledger) adoptChunk(now time.Time, c *chunkState, value *Chunk) {
	c.unadopted = nil
	for _, ledger := range value.Servers {
		c.unadopted = append(c.unadopted, ledger)
		for _, entry := range ledger.Entries {
			if entry.Adapter == "" {
				l.replicas[entry.Model]++
			}
		}
	}
	for id, s := range l.servers {
		if l.chunkOf(id) == c {
			// The former owner may have received answers that no report shows yet.
			s.answeredAt = now
			s.adoptedAt = now
			clear(s.entryAnsweredAt)
			l.adoptEntries(s, id)
		}
	}
	l.changed = true
}

// adoptEntries moves the entries that a former owner recorded to a server that was added.
func (l *Ledger) adoptEntries(s *serverState, id vrid.ServerID) {
	c := l.chunkOf(id)
	if c == nil {
		return
	}
	for i, ledger := range c.unadopted {
		if ledger.Server != id {
			continue
		}
		for j := range ledger.Entries {
			entry := ledger.Entries[j]
			s.entries = append(s.entries, &entry)
		}
		c.unadopted = append(c.unadopted[:i], c.unadopted[i+1:]...)
		return
	}
}

// DropGoneServers removes the recorded entries of unadopted servers for which gone returns
// true: their VMs are no longer in the platform's list.
func (l *Ledger) DropGoneServers(gone func(vrid.ServerID) bool) {
	for _, c := range l.chunks {
		if !c.ready {
			continue
		}
		remaining := c.unadopted[:0]
		for _, ledger := range c.unadopted {
			if !gone(ledger.Server) {
				remaining = append(remaining, ledger)
				continue
			}
			for _, entry := range ledger.Entries {
				if entry.Adapter == "" {
					l.replicas[entry.Model]--
				}
			}
			c.dirty = true
		}
		c.unadopted = remaining
	}
}

// Flush starts the read or write that is due for each chunk, with at most one platform call
// in flight per chunk.
func (l *Ledger) Flush(now time.Time, out *vrevent.Effects) {
	if !l.active {
		return
	}
	for _, c := range l.chunks {
		if c.inFlightOp != 0 || now.Before(c.retryAt) {
			continue
		}
		switch {
		case !c.wasRead || c.needsReread:
			l.readChunk(c, out)
		case c.dirty:
			l.writeChunk(now, c, out)
		}
	}
}

func (l *Ledger) writeChunk(now time.Time, c *chunkState, out *vrevent.Effects) {
	c.revision++
	value := Chunk{Epoch: l.epoch, Writer: l.opts.Daemon, Revision: c.revision}
	value.Servers = append(value.Servers, c.unadopted...)
	c.inFlightAttempts = make(map[vrid.OrderID]bool)
	for _, id := range l.serverIDs {
		s := l.servers[id]
		if l.chunkOf(id) != c || len(s.entries) == 0 {
			continue
		}
		ledger := ServerLedger{Server: id}
		for _, entry := range s.entries {
			ledger.Entries = append(ledger.Entries, *entry)
			for _, attempt := range entry.Attempts {
				c.inFlightAttempts[attempt.Order] = true
			}
		}
		value.Servers = append(value.Servers, ledger)
	}
	data, err := vrwire.Marshal(&value)
	if err != nil {
		out.Warn("cannot encode ledger chunk", vrevent.Field("error", err.Error()))
		return
	}
	c.dirty = false
	c.inFlightRevoked = append(c.inFlightRevoked, c.revokedModels...)
	c.revokedModels = nil
	c.inFlightOrders = c.queuedOrders
	c.queuedOrders = nil
	c.inFlightOp = l.opts.Ops.Next()
	out.Add(vrevent.WriteObject{
		Op: c.inFlightOp, Key: vrplatform.LedgerKey(l.opts.Zone, c.index), IfVersion: c.version, Value: data,
	})
	if vrfault.On(vrfault.SendBeforeDurable) {
		l.sendOrders(now, c, out)
	}
}

// HandleWritten handles the result of writing a chunk. It reports whether the write failed
// because another owner has written the chunk since this owner took it over.
func (l *Ledger) HandleWritten(now time.Time, event vrevent.ObjectWritten, out *vrevent.Effects) (conflict bool) {
	c := l.chunkByOp(event.Op)
	if c == nil {
		return false
	}
	c.inFlightOp = 0
	switch event.Outcome {
	case vrplatform.OutcomeOK:
		l.commitWrite(c, event.Version)
		l.sendOrders(now, c, out)
		return false
	case vrplatform.OutcomeUnavailable:
		// The write did not take effect: its changes go into the next one.
		c.queuedOrders = append(c.inFlightOrders, c.queuedOrders...)
		c.inFlightOrders = nil
		c.dirty = true
		c.retryAt = now.Add(retryDelay)
		return false
	default:
		// After a conflict or an unknown outcome, read the chunk to find its stored value.
		if !c.ready {
			c.wasRead = false
			l.dropChunkEntries(c)
			l.readChunk(c, out)
			return false
		}
		c.needsReread = true
		l.readChunk(c, out)
		return event.Outcome == vrplatform.OutcomeConflict
	}
}

// dropChunkEntries removes the entries of a chunk that is read again during a takeover.
func (l *Ledger) dropChunkEntries(c *chunkState) {
	for id, s := range l.servers {
		if l.chunkOf(id) != c {
			continue
		}
		for len(s.entries) > 0 {
			l.removeEntry(s, s.entries[0])
		}
	}
	for _, ledger := range c.unadopted {
		for _, entry := range ledger.Entries {
			if entry.Adapter == "" {
				l.replicas[entry.Model]--
			}
		}
	}
	c.unadopted = nil
	c.queuedOrders = nil
	c.inFlightOrders = nil
}

// commitWrite marks the chunk's attempts durable and its revoked grants removed, after a
// write succeeded.
func (l *Ledger) commitWrite(c *chunkState, version vrid.ObjectVersion) {
	c.version = version
	c.ready = true
	c.durableAttempts = c.inFlightAttempts
	for _, model := range c.inFlightRevoked {
		l.replicas[model]--
	}
	c.inFlightRevoked = nil
	l.changed = true
}

// sendOrders sends the orders whose record the last write made durable.
func (l *Ledger) sendOrders(now time.Time, c *chunkState, out *vrevent.Effects) {
	orders := c.inFlightOrders
	c.inFlightOrders = nil
	for _, queued := range orders {
		s, ok := l.servers[queued.server]
		if !ok {
			continue
		}
		entry, attempt := s.findAttempt(queued.order)
		if entry == nil {
			continue
		}
		l.sendOrder(now, s, l.orderFor(entry, *attempt), out)
	}
}

func (s *serverState) findAttempt(order vrid.OrderID) (*Entry, *Attempt) {
	for _, entry := range s.entries {
		for i := range entry.Attempts {
			if entry.Attempts[i].Order == order {
				return entry, &entry.Attempts[i]
			}
		}
	}
	return nil, nil
}
