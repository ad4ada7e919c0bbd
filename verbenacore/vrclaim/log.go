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

// phase is how far a log knows its shard.
type phase uint8

const (
	phaseIdle phase = iota
	phaseListing
	phaseReady
)

// Log extends the segments of one shard.
type Log struct {
	shard     uint32
	retention time.Duration
	ops       *vrevent.Ops
	phase     phase
	// segment is the open one; every lower number is closed.
	segment uint64
	version vrid.ObjectVersion
	entries []vrwire.ClaimEntry
	size    int
	// index holds the newest durable entry of each key within the retention time.
	index map[name]*vrwire.ClaimEntry
	// pending are entries that the next write adds.
	pending []pendingEntry
	// writing are the entries of the write that is in flight.
	writing []pendingEntry
	closing bool
	op      vrevent.Op
	reread  bool
	retry   time.Time
	flushAt time.Time
	// pace bounds the writes; its time is that of the events.
	pace *rate.Limiter
	// stale is set when an answer rested on a claim that another daemon may have ended
	// in a write of its own.
	stale  bool
	synced time.Time
	// begun counts the reads of the log that were asked for, synchronized is the newest
	// of them that was answered.
	begun        uint64
	synchronized uint64
	// answers are ready to be taken.
	answers []Answer
	// closed are the versions of closed segments that are in the index.
	closed map[uint64]bool
}

type pendingEntry struct {
	entry vrwire.ClaimEntry
	// requester waits for the entry to be durable.
	requester vrid.DaemonID
	deadline  time.Time
	// reads is how many reads of the log had begun when the entry came.
	reads uint64
}

// NewLog returns a log that knows nothing of its shard yet.
func NewLog(shard uint32, retention time.Duration, ops *vrevent.Ops) *Log {
	return &Log{
		shard: shard, retention: retention, ops: ops, index: make(map[name]*vrwire.ClaimEntry), closed: make(map[uint64]bool),
		pace: rate.NewLimiter(writesPerSecond, writeBurst),
	}
}

// Owns reports whether an answer of the platform belongs to this log.
func (l *Log) Owns(op vrevent.Op) bool { return op != 0 && op == l.op }

// Idle reports whether nothing waits to become durable.
func (l *Log) Idle() bool { return len(l.pending) == 0 && len(l.writing) == 0 }

// Claim asks for a key. The answer comes through TakeAnswers once it is durable.
func (l *Log) Claim(now time.Time, entry vrwire.ClaimEntry, requester vrid.DaemonID, deadline time.Time) {
	entry.State = vrwire.ClaimClaimed
	entry.At = now.UnixMilli()
	l.pending = append(l.pending, pendingEntry{entry: entry, requester: requester, deadline: deadline})
	l.flushAt = now
}

// RecordOutcome notes how a claimed call ended.
func (l *Log) RecordOutcome(now time.Time, entry vrwire.ClaimEntry, requester vrid.DaemonID) {
	entry.At = now.UnixMilli()
	entry.Body = DropOversizedBody(entry.Body)
	l.pending = append(l.pending, pendingEntry{entry: entry, requester: requester, reads: l.begun})
	if l.flushAt.IsZero() {
		l.flushAt = now.Add(flushDelay)
	}
}

// TakeAnswers returns the answers that became ready.
func (l *Log) TakeAnswers() []Answer {
	answers := l.answers
	l.answers = nil
	return answers
}

// Tick starts what is due: the first listing, a write of pending entries, a re-read.
func (l *Log) Tick(now time.Time, out *vrevent.Effects) {
	l.expire(now)
	if l.op != 0 || now.Before(l.retry) {
		return
	}
	switch {
	case l.reread, l.stale && l.phase == phaseReady && now.Sub(l.synced) >= retryDelay:
		l.read(now, out)
	case l.phase == phaseIdle && len(l.pending) > 0:
		l.list(now, out)
	case l.phase == phaseReady && len(l.pending) > 0 && !now.Before(l.flushAt) && l.pace.TokensAt(now) >= 1:
		l.resolve()
		if l.reread {
			l.read(now, out)
			return
		}
		l.write(now, out)
	}
}

// expire answers the requests whose deadline passed before their claim was written.
// Requests of the write that is in flight stay: they may become durable.
func (l *Log) expire(now time.Time) {
	l.pending = slices.DeleteFunc(l.pending, func(p pendingEntry) bool {
		if p.deadline.IsZero() || now.Before(p.deadline) {
			return false
		}
		l.answer(p, vrwire.ClaimUnavailable, nil)
		return true
	})
}

func (l *Log) answer(p pendingEntry, state vrwire.ClaimState, entry *vrwire.ClaimEntry) {
	l.answers = append(l.answers, Answer{Request: p.entry.Request, Daemon: p.requester, State: state, Entry: entry})
}

func (l *Log) list(now time.Time, out *vrevent.Effects) {
	if vrfault.On(vrfault.ForgetClaims) {
		l.phase = phaseReady
		l.segment = uint64(now.UnixNano())
		return
	}
	l.op = l.ops.Next()
	l.begun++
	l.phase = phaseListing
	out.Add(vrevent.ListObjects{Op: l.op, Prefix: vrplatform.ClaimPrefix(l.shard), Values: true})
}

func (l *Log) read(now time.Time, out *vrevent.Effects) {
	l.op = l.ops.Next()
	l.begun++
	l.stale = false
	l.synced = now
	out.Add(vrevent.ReadObject{Op: l.op, Key: vrplatform.ClaimKey(l.shard, l.segment)})
}

// HandleListed rebuilds the index from every segment.
func (l *Log) HandleListed(now time.Time, event vrevent.ObjectsListed, out *vrevent.Effects) {
	l.op = 0
	if event.Outcome != vrplatform.OutcomeOK {
		l.phase = phaseIdle
		l.retry = now.Add(retryDelay)
		return
	}
	l.segment = 1
	l.version = 0
	l.entries = nil
	for _, item := range event.Items {
		segment, err := vrwire.Unmarshal[vrwire.ClaimSegment](item.Value)
		if err != nil {
			out.Warn("claim segment is malformed", vrevent.Field("key", item.Key), vrevent.Field("error", err.Error()))
			l.phase = phaseIdle
			l.retry = now.Add(retryDelay)
			return
		}
		number, ok := vrplatform.ClaimNumber(l.shard, item.Key)
		if !ok {
			continue
		}
		l.load(now, number, segment, item.Version)
	}
	l.phase = phaseReady
	l.synchronized = l.begun
	l.Tick(now, out)
}

// load takes a segment into the index; keys sort, so segments come in order.
func (l *Log) load(now time.Time, number uint64, segment *vrwire.ClaimSegment, version vrid.ObjectVersion) {
	horizon := now.Add(-l.retention).UnixMilli()
	for i := range segment.Entries {
		if segment.Entries[i].At >= horizon {
			l.index[nameOf(&segment.Entries[i])] = &segment.Entries[i]
		}
	}
	l.segment = number
	l.version = version
	l.entries = segment.Entries
	l.size = sizeOf(segment.Entries)
	if segment.Closed {
		l.closed[number] = true
		l.openNext()
	}
}

func (l *Log) openNext() {
	l.segment++
	l.version = 0
	l.entries = nil
	l.size = 0
}

func sizeOf(entries []vrwire.ClaimEntry) int {
	const overhead = 80
	size := 0
	for i := range entries {
		size += overhead + len(entries[i].Key) + len(entries[i].Body)
	}
	return size
}

// resolve answers the pending claims that the index already decides.
func (l *Log) resolve() {
	claimed := make(map[name]*vrwire.ClaimEntry)
	l.pending = slices.DeleteFunc(l.pending, func(p pendingEntry) bool {
		standing := claimed[nameOf(&p.entry)]
		if standing == nil {
			standing = l.index[nameOf(&p.entry)]
		}
		if p.entry.State != vrwire.ClaimClaimed {
			return l.resolveReport(p, standing)
		}
		if standing != nil && standing.State == vrwire.ClaimReleased && standing.Request == p.entry.Request {
			// A late copy of a claim that its request has given up: nobody would use it.
			l.answer(p, vrwire.ClaimReleased, standing)
			return true
		}
		if standing == nil || standing.State == vrwire.ClaimReleased {
			entry := p.entry
			claimed[nameOf(&p.entry)] = &entry
			return false
		}
		if claimed[nameOf(&p.entry)] != nil {
			// Another claim of the same key is part of this write: wait for it.
			if standing.Request == p.entry.Request {
				return true
			}
			return false
		}
		l.answerStanding(p, standing)
		return true
	})
}

// resolveReport decides whether a report is left out of the next write: when the key is
// held by another call, or its end is durable already. The claim may stand in a write of
// another daemon that this log has not read, so it reads before it drops a report.
func (l *Log) resolveReport(p pendingEntry, standing *vrwire.ClaimEntry) bool {
	own := standing != nil && standing.Request == p.entry.Request
	if own && (standing.State == vrwire.ClaimClaimed || standing.State == vrwire.ClaimUnknown && p.entry.State == vrwire.ClaimDone) {
		return false
	}
	if !own && l.synchronized <= p.reads {
		l.reread = true
		return false
	}
	if standing == nil {
		// The claim is on its way to another log, or past the retention time. The entry
		// keeps a late claim of the same request from holding the key.
		return false
	}
	l.answer(p, p.entry.State, nil)
	return true
}

func (l *Log) answerStanding(p pendingEntry, standing *vrwire.ClaimEntry) {
	if standing.Digest != p.entry.Digest {
		l.answer(p, vrwire.ClaimMismatch, standing)
		return
	}
	if standing.State == vrwire.ClaimClaimed && standing.Request == p.entry.Request &&
		standing.Daemon == p.entry.Daemon && standing.Boot == p.entry.Boot {
		l.answer(p, vrwire.ClaimGranted, standing)
		return
	}
	l.stale = l.stale || standing.State == vrwire.ClaimClaimed
	l.answer(p, standing.State, standing)
}

func (l *Log) write(now time.Time, out *vrevent.Effects) {
	l.flushAt = time.Time{}
	if len(l.pending) == 0 {
		return
	}
	segment := vrwire.ClaimSegment{Entries: slices.Clone(l.entries)}
	l.writing = nil
	var later []pendingEntry
	taken := make(map[name]bool)
	for _, p := range l.pending {
		if p.entry.State == vrwire.ClaimClaimed && taken[nameOf(&p.entry)] {
			later = append(later, p)
			continue
		}
		taken[nameOf(&p.entry)] = true
		l.writing = append(l.writing, p)
		segment.Entries = append(segment.Entries, p.entry)
	}
	l.pending = later
	if len(later) > 0 {
		l.flushAt = now
	}
	segment.Closed = len(segment.Entries) >= segmentEntries || sizeOf(segment.Entries) >= segmentBytes
	l.closing = segment.Closed
	value, err := vrwire.Marshal(&segment)
	if err != nil {
		out.Warn("claim segment can't be encoded", vrevent.Field("error", err.Error()))
		return
	}
	l.op = l.ops.Next()
	l.pace.AllowN(now, 1)
	out.Add(vrevent.WriteObject{Op: l.op, Key: vrplatform.ClaimKey(l.shard, l.segment), IfVersion: l.version, Value: value})
}

// HandleWritten takes the answer to a write.
func (l *Log) HandleWritten(now time.Time, event vrevent.ObjectWritten, out *vrevent.Effects) {
	l.op = 0
	switch event.Outcome {
	case vrplatform.OutcomeOK:
		l.written(event.Version)
		l.Tick(now, out)
	case vrplatform.OutcomeUnavailable:
		l.rewind(now)
		l.retry = now.Add(retryDelay)
	default:
		// The write may have taken effect, or another daemon wrote: read what stands.
		l.reread = true
		l.read(now, out)
	}
}

// rewind makes the entries of a write that did not take effect pending again.
func (l *Log) rewind(now time.Time) {
	l.pending = append(l.writing, l.pending...)
	l.writing = nil
	l.flushAt = now
}

func (l *Log) written(version vrid.ObjectVersion) {
	l.version = version
	for i := range l.writing {
		entry := l.writing[i].entry
		l.entries = append(l.entries, entry)
		l.index[nameOf(&entry)] = &entry
		state := entry.State
		if state == vrwire.ClaimClaimed {
			state = vrwire.ClaimGranted
		}
		l.answer(l.writing[i], state, &entry)
	}
	l.size = sizeOf(l.entries)
	l.writing = nil
	if l.closing {
		l.closed[l.segment] = true
		l.openNext()
	}
}

// HandleRead takes the open segment after a conflict or an unknown outcome. Pending
// entries are resolved against it again; those that stand in it were written.
func (l *Log) HandleRead(now time.Time, event vrevent.ObjectRead, out *vrevent.Effects) {
	l.op = 0
	switch event.Outcome {
	case vrplatform.OutcomeNotFound:
		l.reread = false
		l.synchronized = l.begun
		l.rewind(now)
		l.version = 0
		l.entries = nil
	case vrplatform.OutcomeOK:
		segment, err := vrwire.Unmarshal[vrwire.ClaimSegment](event.Value)
		if err != nil {
			l.retry = now.Add(retryDelay)
			return
		}
		l.reread = segment.Closed
		if !segment.Closed {
			l.synchronized = l.begun
		}
		l.rewind(now)
		l.load(now, l.segment, segment, event.Version)
	default:
		l.retry = now.Add(retryDelay)
		return
	}
	l.Tick(now, out)
}
