// Package vrlease is the state machine of a lease that is one object of the
// platform. Safety of what the holder does never rests on the lease's time: each
// decision is a conditional update of an object that a successor rewrites first. The
// time only says when a successor may try.
package vrlease

import (
	"math/rand/v2"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrwire"
)

// Times of a lease.
const (
	// Duration is how long a holder counts as alive after its last renewal.
	Duration = 3 * time.Second
	// RenewInterval leaves two renewals that may fail before a lapse.
	RenewInterval = time.Second
	// suspectDuration replaces Duration when the holder can't be reached either: it spans
	// one renewal and its delays. A holder that lives renews meanwhile.
	suspectDuration = 1500 * time.Millisecond
	// readersAtOnce observers read as often as a single one would.
	readersAtOnce = 10
	// maxStagger spreads candidates so that mostly one tries.
	maxStagger = 300 * time.Millisecond
)

// Record is the value of the lease object.
type Record struct {
	Holder vrid.DaemonID `protobuf:"bytes,1,opt,name=holder,proto3"`
	Boot   vrid.BootID   `protobuf:"bytes,2,opt,name=boot,proto3"`
	Peer   string        `protobuf:"bytes,3,opt,name=peer,proto3"`
	Epoch  vrid.Epoch    `protobuf:"varint,4,opt,name=epoch,proto3"`
	// Renewal makes each write differ, so that observers see the version change.
	Renewal uint64 `protobuf:"varint,5,opt,name=renewal,proto3"`
	// Released is set when the holder gave the lease up; a successor need not wait.
	Released bool `protobuf:"varint,6,opt,name=released,proto3"`
	// Chunks is the number of ledger objects of the zone; it never changes.
	Chunks uint32 `protobuf:"varint,7,opt,name=chunks,proto3"`
	// Settled is set once the holder's machine may give orders: no other machine's orders
	// are as young as Quiet. A later run of the machine need not wait then.
	Settled bool `protobuf:"varint,8,opt,name=settled,proto3"`
}

// Validate checks that the holder is named.
func (r *Record) Validate() error {
	if r.Holder == "" || r.Boot == "" {
		return &vrwire.DecodeError{Message: "Lease", Field: "holder", Problem: "holder or boot id is empty"}
	}
	if r.Epoch == 0 {
		return &vrwire.DecodeError{Message: "Lease", Field: "epoch", Problem: "is zero"}
	}
	return nil
}

// Change is what an event did to this daemon's hold on the lease.
type Change uint8

// Changes of the hold.
const (
	ChangeNone Change = iota
	ChangeAcquired
	ChangeLost
)

// Timing sets the times of a lease.
type Timing struct {
	// Duration is how long a hold lasts after the sending of its last acknowledged write.
	Duration time.Duration
	// RenewInterval is the pause between renewals, shorter than Duration.
	RenewInterval time.Duration
	// ReadInterval is the pause between two readings of another's lease; zero takes Renew.
	ReadInterval time.Duration
	// UnreachableDuration replaces Duration for a holder that can't be reached.
	UnreachableDuration time.Duration
	// QuietPeriod is how long after the end of another machine's hold a new holder waits before
	// it gives orders, where servers accept no orders from two holders by turns.
	QuietPeriod time.Duration
}

// Options of a lease.
type Options struct {
	Key    string
	Daemon vrid.DaemonID
	Boot   vrid.BootID
	Peer   string
	Ops    *vrevent.Ops
	Random *rand.Rand
	// Timing may be zero; then the constants of this package apply.
	Timing Timing
}

// Lease is one daemon's view of a lease object.
type Lease struct {
	opts Options
	// known is the newest record seen; its epoch never decreases.
	known   Record
	version vrid.ObjectVersion
	seen    bool
	// changed is the local time at which the version was first seen.
	changed time.Time
	// readAt is when the object was last read or written.
	readAt  time.Time
	stagger time.Duration
	// holding is true from an acknowledged acquisition until a newer epoch is seen.
	holding bool
	// confirmed is when the last acknowledged write was sent.
	confirmed time.Time
	op        vrevent.Op
	opSent    time.Time
	proposed  Record
	nextRead  time.Time
	nextLook  time.Time
	releasing bool
	// reclaim is set when a read shows a record of this run that no acknowledged write
	// confirmed: a write of unknown outcome took effect. When is not known, so the hold
	// begins only with a renewal that is acknowledged.
	reclaim bool
	// othersEnd is when the last hold of another machine ended at the latest, zero where
	// none is known.
	othersEnd time.Time
	// formerEnd is the same for any other run, an earlier one of this machine included.
	formerEnd time.Time
}

// New returns a lease that has not been read yet.
func New(opts Options) *Lease {
	if opts.Timing == (Timing{}) {
		opts.Timing = Timing{Duration: Duration, RenewInterval: RenewInterval, UnreachableDuration: suspectDuration}
	}
	if opts.Timing.ReadInterval == 0 {
		opts.Timing.ReadInterval = opts.Timing.RenewInterval
	}
	return &Lease{opts: opts}
}

// ConfirmedAt is when the newest acknowledged write of a hold was sent.
func (l *Lease) ConfirmedAt() time.Time { return l.confirmed }

// ChangedAt is when the newest record was first seen.
func (l *Lease) ChangedAt() time.Time { return l.changed }

// ExpiresAt is when the hold ends unless it is renewed.
func (l *Lease) ExpiresAt() time.Time { return l.confirmed.Add(l.opts.Timing.Duration) }

// OrdersAllowedAt is when a holder may begin to give orders: when the hold of another machine,
// with its last orders, is Quiet ago.
func (l *Lease) OrdersAllowedAt() time.Time {
	if l.othersEnd.IsZero() || vrfault.On(vrfault.OrderAtOnce) {
		return time.Time{}
	}
	return l.othersEnd.Add(l.opts.Timing.QuietPeriod)
}

// OtherRunEnd is when the last order of another run may have been given, zero where no other
// run is known to have held the lease.
func (l *Lease) OtherRunEnd() time.Time { return l.formerEnd }

// noteOthers takes from a record that has just been seen how young the orders of other
// runs may be.
func (l *Lease) noteOthers(now time.Time, record *Record) {
	mine := record.Holder == l.opts.Daemon
	if mine && record.Boot == l.opts.Boot {
		return
	}
	// Who gives a lease up gives no order after it, and neither does a run that ended. Any
	// other holder may go on until its hold lapses.
	end := now
	if !mine && !record.Released {
		end = now.Add(l.opts.Timing.Duration)
	}
	if end.After(l.formerEnd) {
		l.formerEnd = end
	}
	// An earlier run of this machine that had not settled took the lease over a moment ago,
	// perhaps.
	if (!mine || !record.Settled) && end.After(l.othersEnd) {
		l.othersEnd = end
	}
}

// Latest returns the newest record seen, and whether there is one.
func (l *Lease) Latest() (Record, bool) { return l.known, l.seen && l.known.Holder != "" }

// Holding reports whether this daemon holds the lease as far as it knows.
func (l *Lease) Holding() bool { return l.holding }

// Confirmed reports whether the hold was acknowledged within the lease's duration.
func (l *Lease) Confirmed(now time.Time) bool {
	return l.holding && now.Before(l.ExpiresAt())
}

// Epoch returns the newest epoch seen.
func (l *Lease) Epoch() vrid.Epoch { return l.known.Epoch }

// TickParams says how this daemon takes part in the lease.
type TickParams struct {
	// Observe reads the object each RenewInterval.
	Observe bool
	// HolderUnreachable is set when the holder could not be reached a short time ago.
	HolderUnreachable bool
	// Candidate may acquire a free or lapsed lease.
	Candidate bool
	// Chunks is written into the first record.
	Chunks uint32
	// Readers is the number of daemons that observe the lease; more than a few observe it
	// less often each, since every reading has its price.
	Readers int
}

// Tick renews a held lease, reads an observed one and acquires a lapsed one.
func (l *Lease) Tick(now time.Time, request TickParams, out *vrevent.Effects) {
	if l.op != 0 {
		return
	}
	if l.holding {
		l.renew(now, out)
		return
	}
	if l.reclaim && !l.releasing {
		record := l.known
		record.Renewal++
		l.write(now, record, out)
		return
	}
	if l.free(now, request.HolderUnreachable) && request.Candidate && !l.releasing {
		if !l.lookedAgain(request.HolderUnreachable) {
			l.lookAgain(now, out)
			return
		}
		l.acquire(now, request.Chunks, out)
		return
	}
	if request.Observe && !now.Before(l.nextRead) {
		l.read(now, out)
		if many := request.Readers / readersAtOnce; many > 1 {
			l.nextRead = now.Add(l.opts.Timing.ReadInterval * time.Duration(many))
		}
	}
}

// free reports whether a candidate may try to acquire.
func (l *Lease) free(now time.Time, suspected bool) bool {
	if !l.seen {
		return false
	}
	if l.version == 0 || l.known.Released {
		return true
	}
	if l.known.Holder == l.opts.Daemon {
		// An earlier run of this machine held it and is gone.
		return true
	}
	return now.Sub(l.changed) >= l.lapse(suspected)+l.stagger
}

// lookedAgain reports whether the object was read since the lease could have lapsed. A
// reader that reads seldom has to look again before it takes a lease for lapsed.
func (l *Lease) lookedAgain(suspected bool) bool {
	if l.version == 0 || l.known.Released || l.known.Holder == l.opts.Daemon {
		return true
	}
	return l.readAt.Sub(l.changed) >= l.lapse(suspected)+l.stagger
}

// lapse is how long a record may stand unchanged.
func (l *Lease) lapse(suspected bool) time.Duration {
	if suspected {
		return l.opts.Timing.UnreachableDuration
	}
	return l.opts.Timing.Duration
}

func (l *Lease) renew(now time.Time, out *vrevent.Effects) {
	if now.Sub(l.confirmed) < l.opts.Timing.RenewInterval || now.Before(l.nextRead) {
		return
	}
	record := l.known
	record.Renewal++
	record.Released = l.releasing
	l.write(now, record, out)
}

func (l *Lease) acquire(now time.Time, chunks uint32, out *vrevent.Effects) {
	record := Record{
		Holder: l.opts.Daemon,
		Boot:   l.opts.Boot,
		Peer:   l.opts.Peer,
		Epoch:  l.known.Epoch + 1,
		Chunks: max(l.known.Chunks, 1),
	}
	if l.known.Chunks == 0 {
		record.Chunks = max(chunks, 1)
	}
	l.write(now, record, out)
}

// Release gives a held lease up, so that the next daemon need not wait for the lapse.
func (l *Lease) Release(now time.Time, out *vrevent.Effects) {
	l.releasing = true
	if !l.holding || l.op != 0 {
		return
	}
	record := l.known
	record.Renewal++
	record.Released = true
	l.write(now, record, out)
}

// ReadSoon lets an observer read the object with the next tick, because its holder said
// that it released it.
func (l *Lease) ReadSoon(now time.Time) { l.nextRead = now }

// Released reports whether a shutdown may go on.
func (l *Lease) Released() bool { return !l.holding && l.op == 0 }

func (l *Lease) write(now time.Time, record Record, out *vrevent.Effects) {
	record.Settled = !now.Before(l.OrdersAllowedAt())
	value, err := vrwire.Marshal(&record)
	if err != nil {
		out.Warn("lease record can't be encoded", vrevent.Field("error", err.Error()))
		return
	}
	l.op = l.opts.Ops.Next()
	l.opSent = now
	l.proposed = record
	out.Add(vrevent.WriteObject{Op: l.op, Key: l.opts.Key, IfVersion: l.version, Value: value})
}

// lookAgain reads the object as of now, at most once in an observer's pause: a read that
// may be old shows an older version while the store lags, and proves nothing.
func (l *Lease) lookAgain(now time.Time, out *vrevent.Effects) {
	if now.Before(l.nextLook) {
		return
	}
	l.nextLook = now.Add(l.opts.Timing.ReadInterval)
	l.op = l.opts.Ops.Next()
	l.opSent = now
	out.Add(vrevent.ReadObject{Op: l.op, Key: l.opts.Key, Fresh: true})
}

func (l *Lease) read(now time.Time, out *vrevent.Effects) {
	l.op = l.opts.Ops.Next()
	l.opSent = now
	l.nextRead = now.Add(l.opts.Timing.ReadInterval)
	out.Add(vrevent.ReadObject{Op: l.op, Key: l.opts.Key})
}

// Owns reports whether an answer belongs to this lease.
func (l *Lease) Owns(op vrevent.Op) bool { return op != 0 && op == l.op }

// HandleWritten takes the answer to a write.
func (l *Lease) HandleWritten(now time.Time, event vrevent.ObjectWritten, out *vrevent.Effects) Change {
	l.op = 0
	switch event.Outcome {
	case vrplatform.OutcomeOK:
		return l.accept(now, l.proposed, event.Version, true)
	case vrplatform.OutcomeConflict, vrplatform.OutcomeUnknown:
		if event.Outcome == vrplatform.OutcomeUnknown && vrfault.On(vrfault.TrustUnansweredLease) {
			return l.accept(now, l.proposed, l.version, true)
		}
		// A lost answer may hide a write that took effect: only a read can tell.
		l.read(now, out)
	default:
		l.nextRead = now.Add(l.opts.Timing.RenewInterval / 2)
	}
	return ChangeNone
}

// HandleRead takes the answer to a read.
func (l *Lease) HandleRead(now time.Time, event vrevent.ObjectRead, out *vrevent.Effects) Change {
	l.op = 0
	switch event.Outcome {
	case vrplatform.OutcomeNotFound:
		if l.version != 0 {
			// A stale read from before the object was created.
			return ChangeNone
		}
		l.seen = true
		l.version = 0
		return ChangeNone
	case vrplatform.OutcomeOK:
	default:
		return ChangeNone
	}
	record, err := vrwire.Unmarshal[Record](event.Value)
	if err != nil {
		out.Warn("lease record is malformed", vrevent.Field("key", l.opts.Key), vrevent.Field("error", err.Error()))
		return ChangeNone
	}
	return l.accept(now, *record, event.Version, false)
}

// accept takes a record that is known to stand at a version. Only an acknowledged write
// confirms a hold.
func (l *Lease) accept(now time.Time, record Record, version vrid.ObjectVersion, written bool) Change {
	if version < l.version {
		return ChangeNone
	}
	if version != l.version || !l.seen {
		l.changed = now
		l.stagger = time.Duration(l.opts.Random.Int64N(int64(maxStagger)))
	}
	l.seen = true
	l.readAt = now
	l.version = version
	l.known = record
	if l.changed.Equal(now) {
		l.noteOthers(now, &record)
	}
	mine := record.Holder == l.opts.Daemon && record.Boot == l.opts.Boot && !record.Released
	wasHolding := l.holding
	l.holding = mine && (written || wasHolding)
	l.reclaim = mine && !l.holding
	if written && mine {
		l.confirmed = l.opSent
	}
	if l.holding && !wasHolding {
		l.nextRead = time.Time{}
		return ChangeAcquired
	}
	if !l.holding && wasHolding {
		return ChangeLost
	}
	return ChangeNone
}

// HandleNewerEpoch takes word from a peer of a newer epoch: the holder steps down at once
// and reads the object to learn the rest.
func (l *Lease) HandleNewerEpoch(now time.Time, epoch vrid.Epoch) Change {
	if epoch <= l.known.Epoch {
		return ChangeNone
	}
	wasHolding := l.holding
	l.holding = false
	l.nextRead = now
	if wasHolding {
		return ChangeLost
	}
	return ChangeNone
}
