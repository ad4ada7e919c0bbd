package vrclaim

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// phase is the state of loading a shard's segments.
type phase uint8

const (
	phaseIdle phase = iota
	phaseListing
	phaseReady
)

// Log is the claim log of one shard. It batches entries and appends them to the shard's
// open segment on the platform. An entry of state ClaimClaimed is a claim; one of any other
// state is the outcome of a claimed call.
type Log struct {
	shard     uint32
	retention time.Duration
	ops       *vrevent.Ops
	phase     phase
	// openSegment is the number of the segment that is written to; every lower number is
	// closed.
	openSegment uint64
	version     vrid.ObjectVersion
	entries     []vrwire.ClaimEntry
	size        int
	// index holds the latest durable entry of each key. Entries that were older than the
	// retention time when their segment was loaded are left out.
	index map[claimKey]*vrwire.ClaimEntry
	// pending holds the entries that wait for a write.
	pending []pendingEntry
	// inFlight holds the entries of the write that is in flight.
	inFlight []pendingEntry
	// closesSegment is set when the write that is in flight closes its segment.
	closesSegment bool
	// inFlightOp is the platform call that is in flight, or 0.
	inFlightOp vrevent.Op
	// needsReread is set when the open segment has to be read again before the next write.
	needsReread bool
	retryAt     time.Time
	// flushAt is when the pending entries are due to be written.
	flushAt time.Time
	// writeLimiter limits the rate of writes. Its clock is the time of the events.
	writeLimiter *rate.Limiter
	// stale is set when an answer was based on a claim whose outcome another daemon may
	// have written since. The open segment is then read again.
	stale bool
	// lastReadAt is when the last read of the open segment was started.
	lastReadAt time.Time
	// readsStarted counts the platform calls that list the segments or read the open one;
	// completedRead is the number of the latest one after which the index was complete.
	readsStarted  uint64
	completedRead uint64
	// answers holds the answers that TakeAnswers returns next.
	answers []Answer
	// closedSegments holds the numbers of the closed segments that are in the index.
	closedSegments map[uint64]bool
}

// pendingEntry is a claim or an outcome that is not known to be durable.
type pendingEntry struct {
	entry vrwire.ClaimEntry
	// requester is the daemon that waits until the entry is durable.
	requester vrid.DaemonID
	// deadline is when a claim that was not written is answered as unavailable, or zero for
	// an outcome.
	deadline time.Time
	// readsStarted is Log.readsStarted at the time when the entry was received.
	readsStarted uint64
}

// NewLog returns a log that has not loaded its shard yet.
func NewLog(shard uint32, retention time.Duration, ops *vrevent.Ops) *Log {
	return &Log{
		shard: shard, retention: retention, ops: ops,
		index: make(map[claimKey]*vrwire.ClaimEntry), closedSegments: make(map[uint64]bool),
		writeLimiter: rate.NewLimiter(writesPerSecond, writeBurst),
	}
}

// Owns reports whether op is this log's platform call in flight.
func (l *Log) Owns(op vrevent.Op) bool { return op != 0 && op == l.inFlightOp }

// Idle reports whether every entry is durable.
func (l *Log) Idle() bool { return len(l.pending) == 0 && len(l.inFlight) == 0 }

// Claim queues the claim of a key. Once the claim is durable, refused or past its deadline,
// TakeAnswers returns its answer.
func (l *Log) Claim(now time.Time, entry vrwire.ClaimEntry, requester vrid.DaemonID, deadline time.Time) {
	entry.State = vrwire.ClaimClaimed
	entry.At = now.UnixMilli()
	l.pending = append(l.pending, pendingEntry{entry: entry, requester: requester, deadline: deadline})
	l.flushAt = now
}

// RecordOutcome queues the outcome of a claimed call. Once it is durable or dropped,
// TakeAnswers returns its answer.
func (l *Log) RecordOutcome(now time.Time, entry vrwire.ClaimEntry, requester vrid.DaemonID) {
	entry.At = now.UnixMilli()
	entry.Body = DropOversizedBody(entry.Body)
	l.pending = append(l.pending, pendingEntry{entry: entry, requester: requester, readsStarted: l.readsStarted})
	if l.flushAt.IsZero() {
		l.flushAt = now.Add(flushDelay)
	}
}

// TakeAnswers returns the answers that became ready since the last call.
func (l *Log) TakeAnswers() []Answer {
	answers := l.answers
	l.answers = nil
	return answers
}

// Tick starts the platform call that is due: listing the segments for the first time,
// writing the pending entries or reading the open segment again.
func (l *Log) Tick(now time.Time, out *vrevent.Effects) {
	l.expirePending(now)
	if l.inFlightOp != 0 || now.Before(l.retryAt) {
		return
	}
	switch {
	case l.needsReread, l.stale && l.phase == phaseReady && now.Sub(l.lastReadAt) >= retryDelay:
		l.readOpenSegment(now, out)
	case l.phase == phaseIdle && len(l.pending) > 0:
		l.listSegments(now, out)
	case l.phase == phaseReady && len(l.pending) > 0 && !now.Before(l.flushAt) && l.writeLimiter.TokensAt(now) >= 1:
		l.resolvePending()
		if l.needsReread {
			l.readOpenSegment(now, out)
			return
		}
		l.writeSegment(now, out)
	}
}

// expirePending answers the claims whose deadline passed before they were written. Claims in
// the write that is in flight are kept, because they may become durable.
func (l *Log) expirePending(now time.Time) {
	l.pending = slices.DeleteFunc(l.pending, func(p pendingEntry) bool {
		if p.deadline.IsZero() || now.Before(p.deadline) {
			return false
		}
		l.addAnswer(p, vrwire.ClaimUnavailable, nil)
		return true
	})
}

func (l *Log) addAnswer(p pendingEntry, state vrwire.ClaimState, entry *vrwire.ClaimEntry) {
	l.answers = append(l.answers, Answer{Request: p.entry.Request, Daemon: p.requester, State: state, Entry: entry})
}

func (l *Log) listSegments(now time.Time, out *vrevent.Effects) {
	if vrfault.On(vrfault.ForgetClaims) {
		l.phase = phaseReady
		l.openSegment = uint64(now.UnixNano())
		return
	}
	l.inFlightOp = l.ops.Next()
	l.readsStarted++
	l.phase = phaseListing
	out.Add(vrevent.ListObjects{Op: l.inFlightOp, Prefix: vrplatform.ClaimPrefix(l.shard), Values: true})
}

func (l *Log) readOpenSegment(now time.Time, out *vrevent.Effects) {
	l.inFlightOp = l.ops.Next()
	l.readsStarted++
	l.stale = false
	l.lastReadAt = now
	out.Add(vrevent.ReadObject{Op: l.inFlightOp, Key: vrplatform.ClaimKey(l.shard, l.openSegment)})
}

// HandleListed handles the list of the shard's segments and adds them to the index.
func (l *Log) HandleListed(now time.Time, event vrevent.ObjectsListed, out *vrevent.Effects) {
	l.inFlightOp = 0
	if event.Outcome != vrplatform.OutcomeOK {
		l.phase = phaseIdle
		l.retryAt = now.Add(retryDelay)
		return
	}
	l.openSegment = 1
	l.version = 0
	l.entries = nil
	for _, item := range event.Items {
		segment, err := vrwire.Unmarshal[vrwire.ClaimSegment](item.Value)
		if err != nil {
			out.Warn("claim segment is malformed", vrevent.Field("key", item.Key), vrevent.Field("error", err.Error()))
			l.phase = phaseIdle
			l.retryAt = now.Add(retryDelay)
			return
		}
		number, ok := vrplatform.ParseClaimKey(l.shard, item.Key)
		if !ok {
			continue
		}
		l.loadSegment(now, number, segment, item.Version)
	}
	l.phase = phaseReady
	l.completedRead = l.readsStarted
	l.Tick(now, out)
}

// loadSegment adds a segment to the index. Callers load segments in ascending order, as
// the sorted object keys list them.
func (l *Log) loadSegment(now time.Time, number uint64, segment *vrwire.ClaimSegment, version vrid.ObjectVersion) {
	cutoff := now.Add(-l.retention).UnixMilli()
	for i := range segment.Entries {
		if segment.Entries[i].At >= cutoff {
			l.index[keyOf(&segment.Entries[i])] = &segment.Entries[i]
		}
	}
	l.openSegment = number
	l.version = version
	l.entries = segment.Entries
	l.size = estimateSize(segment.Entries)
	if segment.Closed {
		l.closedSegments[number] = true
		l.openNextSegment()
	}
}

// openNextSegment starts an empty segment after the open one was closed.
func (l *Log) openNextSegment() {
	l.openSegment++
	l.version = 0
	l.entries = nil
	l.size = 0
}

// estimateSize estimates the encoded size of entries in bytes.
func estimateSize(entries []vrwire.ClaimEntry) int {
	const entryOverhead = 80
	size := 0
	for i := range entries {
		size += entryOverhead + len(entries[i].Key) + len(entries[i].Body)
	}
	return size
}

// resolvePending answers and removes the pending entries whose result the index already
// determines.
func (l *Log) resolvePending() {
	// claimed holds the claims that stay pending for the next write.
	claimed := make(map[claimKey]*vrwire.ClaimEntry)
	l.pending = slices.DeleteFunc(l.pending, func(p pendingEntry) bool {
		current := claimed[keyOf(&p.entry)]
		if current == nil {
			current = l.index[keyOf(&p.entry)]
		}
		if p.entry.State != vrwire.ClaimClaimed {
			return l.resolveOutcome(p, current)
		}
		if current != nil && current.State == vrwire.ClaimReleased && current.Request == p.entry.Request {
			// A delayed duplicate of a claim that its request has released: granting it would
			// hold the key with no call to use it.
			l.addAnswer(p, vrwire.ClaimReleased, current)
			return true
		}
		if current == nil || current.State == vrwire.ClaimReleased {
			entry := p.entry
			claimed[keyOf(&p.entry)] = &entry
			return false
		}
		if claimed[keyOf(&p.entry)] != nil {
			// The next write contains an earlier claim of the same key. Its answer also serves a
			// duplicate of the same request; another request waits for the result.
			if current.Request == p.entry.Request {
				return true
			}
			return false
		}
		l.answerFromEntry(p, current)
		return true
	})
}

// resolveOutcome reports whether an outcome is answered and left out of the next write. It is
// left out when another request holds the key or when an outcome of its request is already
// durable. Another daemon may have written the claim without this log having read it, so the
// log reads the segment again before it drops an outcome of a request that does not hold the
// key.
func (l *Log) resolveOutcome(p pendingEntry, current *vrwire.ClaimEntry) bool {
	sameRequest := current != nil && current.Request == p.entry.Request
	if sameRequest && (current.State == vrwire.ClaimClaimed || current.State == vrwire.ClaimUnknown && p.entry.State == vrwire.ClaimDone) {
		return false
	}
	if !sameRequest && l.completedRead <= p.readsStarted {
		l.needsReread = true
		return false
	}
	if current == nil {
		// The claim was sent to another daemon's log and is not written yet, or it is older
		// than the retention time. Writing the outcome keeps a delayed claim of the same
		// request from holding the key.
		return false
	}
	l.addAnswer(p, p.entry.State, nil)
	return true
}

// answerFromEntry answers a claim of a key that has a durable entry.
func (l *Log) answerFromEntry(p pendingEntry, current *vrwire.ClaimEntry) {
	if current.Digest != p.entry.Digest {
		l.addAnswer(p, vrwire.ClaimMismatch, current)
		return
	}
	if current.State == vrwire.ClaimClaimed && current.Request == p.entry.Request &&
		current.Daemon == p.entry.Daemon && current.Boot == p.entry.Boot {
		l.addAnswer(p, vrwire.ClaimGranted, current)
		return
	}
	l.stale = l.stale || current.State == vrwire.ClaimClaimed
	l.addAnswer(p, current.State, current)
}

func (l *Log) writeSegment(now time.Time, out *vrevent.Effects) {
	l.flushAt = time.Time{}
	if len(l.pending) == 0 {
		return
	}
	segment := vrwire.ClaimSegment{Entries: slices.Clone(l.entries)}
	l.inFlight = nil
	var deferred []pendingEntry
	keysInWrite := make(map[claimKey]bool)
	for _, p := range l.pending {
		if p.entry.State == vrwire.ClaimClaimed && keysInWrite[keyOf(&p.entry)] {
			deferred = append(deferred, p)
			continue
		}
		keysInWrite[keyOf(&p.entry)] = true
		l.inFlight = append(l.inFlight, p)
		segment.Entries = append(segment.Entries, p.entry)
	}
	l.pending = deferred
	if len(deferred) > 0 {
		l.flushAt = now
	}
	segment.Closed = len(segment.Entries) >= maxSegmentEntries || estimateSize(segment.Entries) >= maxSegmentBytes
	l.closesSegment = segment.Closed
	value, err := vrwire.Marshal(&segment)
	if err != nil {
		out.Warn("cannot encode claim segment", vrevent.Field("error", err.Error()))
		return
	}
	l.inFlightOp = l.ops.Next()
	l.writeLimiter.AllowN(now, 1)
	out.Add(vrevent.WriteObject{Op: l.inFlightOp, Key: vrplatform.ClaimKey(l.shard, l.openSegment), IfVersion: l.version, Value: value})
}

// HandleWritten handles the result of a segment write.
func (l *Log) HandleWritten(now time.Time, event vrevent.ObjectWritten, out *vrevent.Effects) {
	l.inFlightOp = 0
	switch event.Outcome {
	case vrplatform.OutcomeOK:
		l.commitWrite(event.Version)
		l.Tick(now, out)
	case vrplatform.OutcomeUnavailable:
		l.requeueInFlight(now)
		l.retryAt = now.Add(retryDelay)
	default:
		// The write may have taken effect, or another daemon wrote the segment: read it.
		l.needsReread = true
		l.readOpenSegment(now, out)
	}
}

// requeueInFlight moves the entries of the write in flight back to the front of pending.
func (l *Log) requeueInFlight(now time.Time) {
	l.pending = append(l.inFlight, l.pending...)
	l.inFlight = nil
	l.flushAt = now
}

// commitWrite adds the entries of the write in flight to the index and answers them after
// the write succeeded.
func (l *Log) commitWrite(version vrid.ObjectVersion) {
	l.version = version
	for i := range l.inFlight {
		entry := l.inFlight[i].entry
		l.entries = append(l.entries, entry)
		l.index[keyOf(&entry)] = &entry
		state := entry.State
		if state == vrwire.ClaimClaimed {
			state = vrwire.ClaimGranted
		}
		l.addAnswer(l.inFlight[i], state, &entry)
	}
	l.size = estimateSize(l.entries)
	l.inFlight = nil
	if l.closesSegment {
		l.closedSegments[l.openSegment] = true
		l.openNextSegment()
	}
}

// HandleRead handles the result of reading the open segment again. The entries of a write
// whose outcome was a conflict or unknown become pending again and are resolved against the
// segment: those that it contains were written.
func (l *Log) HandleRead(now time.Time, event vrevent.ObjectRead, out *vrevent.Effects) {
	l.inFlightOp = 0
	switch event.Outcome {
	case vrplatform.OutcomeNotFound:
		l.needsReread = false
		l.completedRead = l.readsStarted
		l.requeueInFlight(now)
		l.version = 0
		l.entries = nil
	case vrplatform.OutcomeOK:
		segment, err := vrwire.Unmarshal[vrwire.ClaimSegment](event.Value)
		if err != nil {
			l.retryAt = now.Add(retryDelay)
			return
		}
		l.needsReread = segment.Closed
		if !segment.Closed {
			l.completedRead = l.readsStarted
		}
		l.requeueInFlight(now)
		l.loadSegment(now, l.openSegment, segment, event.Version)
	default:
		l.retryAt = now.Add(retryDelay)
		return
	}
	l.Tick(now, out)
}
