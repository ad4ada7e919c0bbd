// Package vrlease implements the state machine of a lease that is stored as one object
// on the platform. The safety of the holder's actions never depends on the lease's
// expiry time: each decision is a conditional update of an object that a successor
// rewrites first. The expiry time only says when a successor may try to acquire.
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

// Default times of a lease.
const (
	// Duration is how long a lease stays valid after its last renewal.
	Duration = 3 * time.Second
	// RenewInterval is the time between renewals. Two renewals in a row may fail before
	// the lease expires.
	RenewInterval = time.Second
	// unreachableDuration replaces Duration when the holder is unreachable. It covers one
	// renewal with its delays, so a live holder renews within it.
	unreachableDuration = 1500 * time.Millisecond
	// fullRateReaders is the number of observers that each read the lease at the full rate.
	// With n times as many (n rounded down), each reads at n times the interval, so that
	// the total number of reads stays about the same.
	fullRateReaders = 10
	// maxJitter is the upper bound of the random delay before a candidate acquires an
	// expired lease, so that usually only one candidate tries.
	maxJitter = 300 * time.Millisecond
	// maxHold is the longest hold that a record may state. A holder whose hold had no end could not be
	// replaced.
	maxHold = time.Minute
	// eraEpochBits is the number of bits of an epoch below the store's era: the largest era that an
	// ObjectVersion holds and 2^37 revisions fit into 2^53, up to which JSON numbers are exact.
	eraEpochBits = 37
)

// Record is the stored value of the lease object.
type Record struct {
	Holder vrid.DaemonID `protobuf:"bytes,1,opt,name=holder,proto3"`
	Boot   vrid.BootID   `protobuf:"bytes,2,opt,name=boot,proto3"`
	Peer   string        `protobuf:"bytes,3,opt,name=peer,proto3"`
	Epoch  vrid.Epoch    `protobuf:"varint,4,opt,name=epoch,proto3"`
	// Renewal counts the renewals. It makes each written value differ, so that observers
	// see the version change.
	Renewal uint64 `protobuf:"varint,5,opt,name=renewal,proto3"`
	// Released is set when the holder has released the lease, so that a successor need not
	// wait for its expiry.
	Released bool `protobuf:"varint,6,opt,name=released,proto3"`
	// Chunks is the number of objects that store the zone's ledger. It never changes.
	Chunks uint32 `protobuf:"varint,7,opt,name=chunks,proto3"`
	// OrdersAllowed is set once the holder may give orders: every order of another daemon is
	// at least Timing.QuietPeriod old. A later run of the same daemon then need not wait.
	OrdersAllowed bool `protobuf:"varint,8,opt,name=settled,proto3"`
	// Era is the era of the store in which the record was written. If the store is in a later one,
	// the record shows what was before a restore. Former builds write 0.
	Era vrid.StoreEra `protobuf:"varint,9,opt,name=era,proto3"`
	// Hold is how long after this write its holder may act without another one, in milliseconds. It is zero
	// for Timing.Duration, and in records of former builds.
	Hold uint64 `protobuf:"varint,10,opt,name=hold,proto3"`
	// FormerHold is how long after this write another daemon may still act as the holder, in milliseconds.
	// It is zero if that is no longer than Timing.Duration, and once OrdersAllowed is set.
	FormerHold uint64 `protobuf:"varint,11,opt,name=formerHold,proto3"`
	// OrdersEnded is set in a released record whose holder gives no orders once it has sent the write. It is
	// one more than the time from its last order until then, in milliseconds, of which maxHold at most counts.
	OrdersEnded uint64 `protobuf:"varint,12,opt,name=ordersEnded,proto3"`
}

// Validate checks that the record names its holder, that the epoch is not zero and that the hold has an end.
func (r *Record) Validate() error {
	if r.Holder == "" || r.Boot == "" {
		return &vrwire.DecodeError{Message: "Lease", Field: "holder", Problem: "holder or boot id is empty"}
	}
	if r.Epoch == 0 {
		return &vrwire.DecodeError{Message: "Lease", Field: "epoch", Problem: "is zero"}
	}
	if limit := uint64(maxHold.Milliseconds()); r.Hold > limit || r.FormerHold > limit || r.OrdersEnded > limit+1 {
		return &vrwire.DecodeError{Message: "Lease", Field: "hold", Problem: "is too long"}
	}
	return nil
}

// source says how this daemon learned of a version of the object.
type source uint8

// Values of source. An ordinary read may be stale.
const (
	sourceRead source = iota
	sourceFreshRead
	sourceWrite
)

// Change says whether an event made this daemon acquire or lose the lease.
type Change uint8

// Values of Change.
const (
	ChangeNone Change = iota
	ChangeAcquired
	ChangeLost
)

// Timing holds the durations and intervals of a lease.
type Timing struct {
	// Duration is how long the lease is held after its last acknowledged write was sent.
	Duration time.Duration
	// RenewInterval is the interval between renewals. It is shorter than Duration.
	RenewInterval time.Duration
	// ReadInterval is the interval between reads of a lease that another daemon holds; zero
	// means RenewInterval.
	ReadInterval time.Duration
	// UnreachableDuration replaces Duration for a holder that is unreachable.
	UnreachableDuration time.Duration
	// QuietPeriod is how long a new holder waits after another daemon's lease has ended
	// before it gives orders. It is needed where servers must not get orders from two
	// holders alternately.
	QuietPeriod time.Duration
	// LongHold replaces Duration where TickParams.HoldLong is set. It is at most a minute.
	LongHold time.Duration
}

// Options configures a Lease.
type Options struct {
	Key    string
	Daemon vrid.DaemonID
	Boot   vrid.BootID
	Peer   string
	Ops    *vrevent.Ops
	Random *rand.Rand
	// ReplaceMalformed lets a candidate replace a record that can't be decoded once that has stayed
	// unchanged for the duration of a lease. The number of chunks in it is lost.
	ReplaceMalformed bool
	// Timing defaults to the constants of this package if it is zero.
	Timing Timing
}

// Lease is one daemon's view of a lease object.
type Lease struct {
	opts Options
	// latest is the newest record seen. Its epoch decreases only after a restore of the store.
	latest  Record
	version vrid.ObjectVersion
	// verified is set if version is from an acknowledged write or a fresh read.
	verified bool
	// highestEpoch is the highest epoch seen in any record.
	highestEpoch vrid.Epoch
	// observed is set once the object's state is known, which may be that it does not exist.
	observed bool
	// changedAt is the local time at which this daemon first saw version.
	changedAt time.Time
	// readAt is when the object was last read or written.
	readAt time.Time
	// jitter is this candidate's random delay before it acquires the lease once it expired.
	jitter time.Duration
	// holding is set from an acknowledged acquisition until a newer epoch is seen.
	holding bool
	// confirmedAt is when the last acknowledged write was sent.
	confirmedAt time.Time
	// expiresAt is the end of the hold that the acknowledged writes give. It is never later than the end of
	// the hold of a later write, whose outcome may be unknown.
	expiresAt time.Time
	// longHolds and holdLong are those of the last tick's TickParams.
	longHolds, holdLong bool
	// longestHold is the longest hold of any record seen or written, at least Timing.Duration.
	longestHold time.Duration
	// confirmedEra and heldEpoch are the era and the epoch of that write.
	confirmedEra vrid.StoreEra
	heldEpoch    vrid.Epoch
	// pendingOp is the read or write that is not answered yet, zero if there is none.
	pendingOp     vrevent.Op
	pendingSentAt time.Time
	// pendingFresh is set if pendingOp is a fresh read.
	pendingFresh bool
	// proposed is the record of the newest write.
	proposed Record
	// nextReadAt is when the next ordinary read is due. The holder does not renew before it.
	nextReadAt time.Time
	// nextFreshReadAt is the earliest time of the next fresh read.
	nextFreshReadAt time.Time
	// releasing is set once Release was called. The lease is then not acquired again.
	releasing bool
	// unconfirmed is set when a read shows a record of this run that no acknowledged write
	// confirmed: a write of unknown outcome took effect. The time at which it did is
	// unknown, so the lease is held only from the next acknowledged renewal.
	unconfirmed bool
	// otherDaemonEnd is the latest time at which another daemon may have held the lease,
	// zero if no other holder is known.
	otherDaemonEnd time.Time
	// otherRunEnd is the same for every other run, including earlier runs of this daemon.
	otherRunEnd time.Time
	// holder is the last known run of another daemon that held the lease. otherDaemonEnd and otherRunEnd
	// don't cover it.
	holder holderRun
	// unknownHolderAt is when this daemon last learned that an unknown daemon may hold the lease, zero if
	// never.
	unknownHolderAt time.Time
	// ordersEndedAt is when the last order of this run was carried out, see SetOrdersEnded.
	ordersEndedAt time.Time
	// freshReadDue is set by ReadFreshSoon.
	freshReadDue bool
}

// New returns a lease whose object has not been read yet.
func New(opts Options) *Lease {
	if opts.Timing == (Timing{}) {
		opts.Timing = Timing{Duration: Duration, RenewInterval: RenewInterval, UnreachableDuration: unreachableDuration}
	}
	if opts.Timing.ReadInterval == 0 {
		opts.Timing.ReadInterval = opts.Timing.RenewInterval
	}
	return &Lease{opts: opts, longestHold: opts.Timing.Duration}
}

// ConfirmedAt returns when this daemon sent its newest acknowledged write as the holder.
func (l *Lease) ConfirmedAt() time.Time { return l.confirmedAt }

// ChangedAt returns when this daemon first saw the newest version of the record.
func (l *Lease) ChangedAt() time.Time { return l.changedAt }

// Latest returns the newest record seen and whether there is one.
func (l *Lease) Latest() (Record, bool) { return l.latest, l.observed && l.latest.Holder != "" }

// Holding reports whether this daemon holds the lease as far as it knows.
func (l *Lease) Holding() bool { return l.holding }

// Confirmed reports whether this daemon holds the lease and the hold of its newest acknowledged write
// has not ended.
func (l *Lease) Confirmed(now time.Time) bool {
	return l.holding && now.Before(l.ExpiresAt())
}

// Epoch returns the newest epoch seen.
func (l *Lease) Epoch() vrid.Epoch { return l.latest.Epoch }

// TickParams says how this daemon takes part in the lease.
type TickParams struct {
	// Observe makes the daemon read the object once per Timing.ReadInterval.
	Observe bool
	// HolderUnreachable is set when the holder was recently unreachable.
	HolderUnreachable bool
	// Candidate lets the daemon acquire a free or expired lease.
	Candidate bool
	// Chunks is the value that the first record of the lease gets.
	Chunks uint32
	// Readers is the number of daemons that observe the lease. If they are many, each reads
	// it less often, since every read has a cost.
	Readers int
	// LongHolds is set where holders may act for Timing.LongHold after a write.
	LongHolds bool
	// HoldLong lets this daemon do so as the holder. It must be set only if every daemon that may acquire the
	// lease knows Record.Hold: a former build acquires it after Timing.Duration.
	HoldLong bool
}

// Tick renews the lease if it is held, acquires it if it is free or expired, and otherwise
// reads it at intervals.
func (l *Lease) Tick(now time.Time, params TickParams, out *vrevent.Effects) {
	l.longHolds = params.LongHolds && l.opts.Timing.LongHold > 0
	l.holdLong = params.HoldLong && l.longHolds
	l.trackUnknownHolder()
	if l.pendingOp != 0 {
		return
	}
	if l.holding {
		l.renew(now, out)
		return
	}
	if l.unconfirmed && !l.releasing {
		record := l.latest
		record.Renewal++
		l.write(now, record, out)
		return
	}
	if l.acquirable(now, params.HolderUnreachable) && params.Candidate && !l.releasing {
		if !l.readSinceExpiry(params.HolderUnreachable) {
			l.readFresh(now, out)
			return
		}
		l.acquire(now, params.Chunks, out)
		return
	}
	if l.freshReadDue && params.Observe {
		l.freshReadDue = false
		l.readFresh(now, out)
		return
	}
	if params.Observe && !now.Before(l.nextReadAt) {
		l.read(now, out)
		if factor := params.Readers / fullRateReaders; factor > 1 {
			l.nextReadAt = now.Add(l.opts.Timing.ReadInterval * time.Duration(factor))
		}
	}
}

// acquirable reports whether a candidate may try to acquire the lease.
func (l *Lease) acquirable(now time.Time, holderUnreachable bool) bool {
	if !l.observed {
		return false
	}
	if l.version.Revision() == 0 || l.latest.Released {
		return true
	}
	if l.latest.Holder == l.opts.Daemon {
		// An earlier run of this daemon held it and has ended.
		return true
	}
	return !now.Before(l.acquirableAt(holderUnreachable))
}

// readSinceExpiry reports whether the object was read after the lease could have expired.
// A daemon that reads seldom has to read again before it treats the lease as expired.
func (l *Lease) readSinceExpiry(holderUnreachable bool) bool {
	if l.version.Revision() == 0 || l.latest.Released || l.latest.Holder == l.opts.Daemon {
		return true
	}
	return !l.readAt.Before(l.acquirableAt(holderUnreachable))
}

func (l *Lease) renew(now time.Time, out *vrevent.Effects) {
	releaseAtOnce := l.releasing && l.longHolds
	if (now.Sub(l.confirmedAt) < l.opts.Timing.RenewInterval && !releaseAtOnce) || now.Before(l.nextReadAt) {
		return
	}
	record := l.latest
	record.Renewal++
	record.Released = l.releasing
	l.write(now, record, out)
}

func (l *Lease) acquire(now time.Time, chunks uint32, out *vrevent.Effects) {
	record := Record{
		Holder: l.opts.Daemon,
		Boot:   l.opts.Boot,
		Peer:   l.opts.Peer,
		Epoch:  l.nextEpoch(),
		Chunks: max(l.latest.Chunks, 1),
	}
	if l.latest.Chunks == 0 {
		record.Chunks = max(chunks, 1)
	}
	l.write(now, record, out)
}

// nextEpoch returns the epoch of an acquisition. A restored store may have lost the record with the
// highest epoch, and a late write of a former era may replace it, so the epoch is also above all that
// were given out in former eras and on lower revisions of this era. Only one write succeeds on a
// revision.
func (l *Lease) nextEpoch() vrid.Epoch {
	if vrfault.On(vrfault.ReuseEpochs) {
		return l.latest.Epoch + 1
	}
	epoch := l.highestEpoch + 1
	if l.opts.ReplaceMalformed && l.latest.Holder == "" {
		// The record that a malformed one replaced is unknown. Each epoch took at least one write, so
		// none of them is above the revision.
		epoch = max(epoch, vrid.Epoch(l.version.Revision())+1)
	}
	if era := l.version.Era(); era > 0 {
		epoch = max(epoch, vrid.Epoch(era)<<eraEpochBits+vrid.Epoch(l.version.Revision())+1)
	}
	return epoch
}

// Release releases a held lease, so that the next holder need not wait for its expiry.
func (l *Lease) Release(now time.Time, out *vrevent.Effects) {
	l.releasing = true
	if !l.holding || l.pendingOp != 0 {
		return
	}
	record := l.latest
	record.Renewal++
	record.Released = true
	l.write(now, record, out)
}

// ReadSoon makes the next tick of an observer read the object, because the holder has
// announced that it released the lease.
func (l *Lease) ReadSoon(now time.Time) { l.nextReadAt = now }

// ReadFreshSoon makes the next tick of an observer read the object's current value, because the holder has
// told this daemon alone that it released the lease.
func (l *Lease) ReadFreshSoon() { l.freshReadDue, l.nextFreshReadAt = true, time.Time{} }

// Released reports whether a shutdown may continue: the lease is not held and no read or
// write of it is unanswered.
func (l *Lease) Released() bool { return !l.holding && l.pendingOp == 0 }

// write sends a conditional write. An ordinary read may show an object from before a restore and state
// the new era all the same, so in a store with eras only a verified version is written on.
func (l *Lease) write(now time.Time, record Record, out *vrevent.Effects) {
	if l.version.Era() > 0 && l.version.Revision() != 0 && !l.verified {
		l.readFresh(now, out)
		return
	}
	record.Era = l.version.Era()
	record.OrdersAllowed = !now.Before(l.OrdersAllowedAt())
	l.setHold(now, &record)
	value, err := vrwire.Marshal(&record)
	if err != nil {
		out.Warn("cannot encode lease record", vrevent.Field("error", err.Error()))
		return
	}
	l.pendingOp = l.opts.Ops.Next()
	l.pendingSentAt = now
	l.proposed = record
	// Should the answer be lost, the others may count from this write. This also binds a run that has lost the
	// lease, whose orders may still be on their way.
	l.expiresAt = earlier(l.expiresAt, now.Add(l.holdOf(&record)))
	out.Add(vrevent.WriteObject{Op: l.pendingOp, Key: l.opts.Key, IfVersion: l.version, Value: value})
}

// readFresh reads the current value of the object, at most once per Timing.ReadInterval. An
// ordinary read may return an older version while the store lags, so it can't prove that
// the lease has expired.
func (l *Lease) readFresh(now time.Time, out *vrevent.Effects) {
	if now.Before(l.nextFreshReadAt) {
		return
	}
	l.nextFreshReadAt = now.Add(l.opts.Timing.ReadInterval)
	l.pendingOp = l.opts.Ops.Next()
	l.pendingSentAt = now
	l.pendingFresh = true
	out.Add(vrevent.ReadObject{Op: l.pendingOp, Key: l.opts.Key, Fresh: true})
}

func (l *Lease) read(now time.Time, out *vrevent.Effects) {
	l.pendingOp = l.opts.Ops.Next()
	l.pendingSentAt = now
	l.nextReadAt = now.Add(l.opts.Timing.ReadInterval)
	out.Add(vrevent.ReadObject{Op: l.pendingOp, Key: l.opts.Key})
}

// Owns reports whether op is this lease's unanswered read or write.
func (l *Lease) Owns(op vrevent.Op) bool { return op != 0 && op == l.pendingOp }

// HandleWritten handles the answer to a write.
func (l *Lease) HandleWritten(now time.Time, event vrevent.ObjectWritten, out *vrevent.Effects) Change {
	l.pendingOp = 0
	switch event.Outcome {
	case vrplatform.OutcomeOK:
		return l.apply(now, l.proposed, event.Version, sourceWrite)
	case vrplatform.OutcomeConflict, vrplatform.OutcomeUnknown:
		if event.Outcome == vrplatform.OutcomeUnknown && vrfault.On(vrfault.TrustUnansweredLease) {
			return l.apply(now, l.proposed, l.version, sourceWrite)
		}
		// A write whose answer was lost may have taken effect; only a read can tell.
		l.read(now, out)
	default:
		l.nextReadAt = now.Add(l.opts.Timing.RenewInterval / 2)
	}
	return ChangeNone
}

// HandleRead handles the answer to a read.
func (l *Lease) HandleRead(now time.Time, event vrevent.ObjectRead, out *vrevent.Effects) Change {
	l.pendingOp = 0
	source := sourceRead
	if l.pendingFresh {
		source = sourceFreshRead
	}
	l.pendingFresh = false
	switch event.Outcome {
	case vrplatform.OutcomeNotFound:
		return l.applyAbsence(now, event.Version, source)
	case vrplatform.OutcomeOK:
	default:
		return ChangeNone
	}
	record, err := vrwire.Unmarshal[Record](event.Value)
	if err != nil {
		out.Warn("lease record is malformed", vrevent.Field("key", l.opts.Key), vrevent.Field("error", err.Error()))
		if !l.opts.ReplaceMalformed {
			return ChangeNone
		}
		// It may have replaced the record of any holder, so it counts as one of an unknown daemon.
		return l.apply(now, Record{Chunks: l.latest.Chunks}, event.Version, source)
	}
	return l.apply(now, *record, event.Version, source)
}

// applyAbsence updates the lease after a read that found no object. version is of the era in which
// it did not exist. In the era of a known object, and in former ones, that is a stale read, which
// shows the state from before the object was created.
func (l *Lease) applyAbsence(now time.Time, version vrid.ObjectVersion, source source) Change {
	if l.observed && (version == l.version || l.isOutdated(version, source)) {
		return ChangeNone
	}
	wasHolding := l.holding
	l.observed = true
	l.version = version
	l.latest = Record{}
	l.holding, l.unconfirmed = false, false
	if version.Era() > 0 {
		l.assumeOtherHolder(now)
	}
	if wasHolding {
		return ChangeLost
	}
	return ChangeNone
}

// isOutdated reports whether a version is older than the known one. A fresh read is never outdated
// within an era: it disproves an ordinary read from before the restore that stated the new era.
func (l *Lease) isOutdated(version vrid.ObjectVersion, source source) bool {
	if source == sourceFreshRead && version.Era() > 0 && version.Era() == l.version.Era() {
		return false
	}
	return version < l.version
}

// apply updates the lease with the record that the object has at version. Only an acknowledged
// write of this daemon confirms that the lease is held.
func (l *Lease) apply(now time.Time, record Record, version vrid.ObjectVersion, source source) Change {
	if l.isOutdated(version, source) {
		return ChangeNone
	}
	// A read from before a restore may have stated the revision of another record in the new era.
	differs := version.Era() > 0 && record != l.latest
	changed := version != l.version || !l.observed || differs
	l.verified = source != sourceRead || (l.verified && !changed)
	restored := l.observed && version.Era() > l.version.Era()
	holdsOn := l.holdsAcrossRestore(now, &record, version)
	if changed {
		l.changedAt = now
		l.jitter = time.Duration(l.opts.Random.Int64N(int64(maxJitter)))
	}
	l.observed = true
	l.readAt = now
	l.version = version
	l.latest = record
	l.highestEpoch = max(l.highestEpoch, record.Epoch)
	if restored && !holdsOn {
		l.assumeOtherHolder(now)
	}
	if changed && !holdsOn {
		l.trackOtherHolders(now, &record)
	}
	mine := l.isOwn(&record)
	// A write of a former era may be carried out in this one if the object has the expected revision
	// again, or if a restore has removed the object. What it replaced is unknown.
	written := source == sourceWrite && record.Era == version.Era()
	wasHolding := l.holding
	l.holding = mine && (written || (wasHolding && (!changed || holdsOn || record.Era == version.Era())))
	// In a store with eras, a run that has lost the lease acquires it again with a new epoch. Another
	// daemon may have acquired it meanwhile with a higher one, which a late write has replaced.
	again := version.Era() > 0 && record.Epoch <= l.heldEpoch
	l.unconfirmed = mine && !l.holding && record.Era == version.Era() && !again
	if written && mine {
		l.confirmedAt = l.pendingSentAt
		l.expiresAt = l.confirmedAt.Add(l.holdOf(&record))
		l.confirmedEra = version.Era()
		l.heldEpoch = record.Epoch
	}
	if l.holding && !wasHolding {
		l.nextReadAt = time.Time{}
		return ChangeAcquired
	}
	if !l.holding && wasHolding {
		return ChangeLost
	}
	return ChangeNone
}

// isOwn reports whether a record says that this run holds the lease.
func (l *Lease) isOwn(record *Record) bool {
	return record.Holder == l.opts.Daemon && record.Boot == l.opts.Boot && !record.Released
}

// holdsAcrossRestore reports whether a record of the former era shows that this daemon still is the
// holder. A daemon that acquires the lease in the new era waits for longer than the lease of this
// one lasts, so while that is valid nobody else has given orders.
func (l *Lease) holdsAcrossRestore(now time.Time, record *Record, version vrid.ObjectVersion) bool {
	return l.Confirmed(now) && record.Era < version.Era() && version.Era() == l.confirmedEra+1 &&
		l.isOwn(record) && record.Epoch == l.latest.Epoch
}

// HandleNewerEpoch handles a peer's message about a newer epoch: the holder steps down at once
// and reads the object with the next tick.
func (l *Lease) HandleNewerEpoch(now time.Time, epoch vrid.Epoch) Change {
	if epoch <= l.latest.Epoch {
		return ChangeNone
	}
	wasHolding := l.holding
	l.holding = false
	l.nextReadAt = now
	if wasHolding {
		return ChangeLost
	}
	return ChangeNone
}
