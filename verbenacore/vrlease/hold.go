package vrlease

import (
	"time"

	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
)

// orderDelivery is how long after the end of a process its last order may reach a server. The kernel goes on
// sending for 800 ms what the process has written, see vradapter.NewEngine. That time may count from the first
// retransmission, which a slow path delays by up to 400 ms, and the last one is on its way for 60 ms.
const orderDelivery = 1300 * time.Millisecond

// holderRun is one run of another daemon that holds or held the lease.
type holderRun struct {
	daemon vrid.DaemonID
	boot   vrid.BootID
	// ordersEnd is the latest time at which the run may give an order.
	ordersEnd time.Time
	// endedAt is when this daemon learned that the run has ended, zero if it has not.
	endedAt time.Time
}

// is reports whether a record names the run as its holder.
func (r *holderRun) is(record *Record) bool {
	return r.daemon != "" && r.daemon == record.Holder && r.boot == record.Boot
}

// ExpiresAt returns when this daemon's lease expires unless it is renewed.
func (l *Lease) ExpiresAt() time.Time { return l.expiresAt }

// OrdersAllowedAt returns when the holder may begin to give orders: Timing.QuietPeriod after
// the lease of another daemon, and with it that daemon's last orders, ended. It is zero if
// no other holder is known.
func (l *Lease) OrdersAllowedAt() time.Time {
	end := later(l.otherDaemonEnd, l.holder.ordersEnd)
	if end.IsZero() || vrfault.On(vrfault.OrderAtOnce) {
		return time.Time{}
	}
	return end.Add(l.opts.Timing.QuietPeriod)
}

// OtherRunEnd returns the latest time at which another run may have given an order, zero if
// no other run is known to have held the lease.
func (l *Lease) OtherRunEnd() time.Time { return later(l.otherRunEnd, l.holder.ordersEnd) }

// HoldsLong reports whether the holder of the newest record may act for longer than Timing.Duration.
func (l *Lease) HoldsLong() bool { return l.latest.Hold > 0 }

// HolderGone reports whether the holder of the newest record has released the lease or its run has ended.
func (l *Lease) HolderGone() bool {
	return l.observed && (l.latest.Released || (!l.holder.endedAt.IsZero() && l.holder.is(&l.latest)))
}

// Unrenewed reports whether reads have shown the newest record of another daemon for longer than
// Timing.Duration, so that its holder is late to renew it.
func (l *Lease) Unrenewed() bool {
	return l.observed && !l.holding && l.readAt.Sub(l.changedAt) >= l.opts.Timing.Duration
}

// holdOf returns how long after a write of the record its holder may act.
func (l *Lease) holdOf(record *Record) time.Duration {
	return max(l.opts.Timing.Duration, milliseconds(record.Hold))
}

// setHold sets the fields of a record to be written that say how long this daemon and former holders may
// act. A holder that may not give orders yet needs no long hold. It must not have one either: if a late
// write of a former holder replaced its record after a restore of the store, it could go on until its orders
// are allowed.
func (l *Lease) setHold(now time.Time, record *Record) {
	statesEnd := l.longHolds || l.latest.Hold > 0
	record.Hold, record.FormerHold, record.OrdersEnded = 0, 0, 0
	switch {
	case record.Released && statesEnd:
		ended := time.Duration(0)
		if !l.ordersEndedAt.IsZero() {
			ended = min(max(0, now.Sub(l.ordersEndedAt)), maxHold)
		}
		record.OrdersEnded = uint64(ended.Milliseconds()) + 1
	case record.Released:
	case record.OrdersAllowed && l.holdLong:
		record.Hold = uint64(min(l.opts.Timing.LongHold, maxHold).Milliseconds())
	}
	if former := later(l.otherDaemonEnd, l.holder.ordersEnd).Sub(now); !record.OrdersAllowed && former > l.opts.Timing.Duration {
		record.FormerHold = uint64(min(former+time.Millisecond-1, maxHold).Milliseconds())
	}
}

// SetOrdersEnded states that no order of this run was carried out later than at a time, and none will be. The
// record of a release then says so, and a successor's quiet period counts from there.
func (l *Lease) SetOrdersEnded(at time.Time) { l.ordersEndedAt = at }

// HolderEnded records a proof that a run of another daemon has ended: it gives no further orders, and its
// lease may be acquired. The proof must have been begun after this daemon had seen a record of that run. It
// reports whether the run is the holder and that was not known.
func (l *Lease) HolderEnded(now time.Time, daemon vrid.DaemonID, boot vrid.BootID) bool {
	if !l.holder.is(&l.latest) || l.holder.daemon != daemon || l.holder.boot != boot || !l.holder.endedAt.IsZero() {
		return false
	}
	l.holder.endedAt = now
	// It may have renewed its lease until now without this daemon having seen it.
	l.holder.ordersEnd = now.Add(orderDelivery)
	return true
}

// trackOtherHolders updates the latest time at which other runs may have given orders from
// a record that this daemon has just seen for the first time.
func (l *Lease) trackOtherHolders(now time.Time, record *Record) {
	l.longestHold = max(l.longestHold, l.holdOf(record), milliseconds(record.FormerHold))
	if record.Era < l.version.Era() || record.Holder == "" {
		l.assumeOtherHolder(now)
		return
	}
	mine := record.Holder == l.opts.Daemon
	if mine && record.Boot == l.opts.Boot {
		return
	}
	if !l.holder.is(record) {
		l.replaceHolder(now, record)
	}
	// A holder gives no orders after it released the lease, and neither does a run that has
	// ended. Any other holder may give orders until its lease expires.
	switch {
	case mine:
		l.otherRunEnd = later(l.otherRunEnd, now)
	case !record.Released:
		if l.holder.endedAt.IsZero() {
			hold := l.holdOf(record)
			if vrfault.On(vrfault.IgnoreHold) {
				hold = l.opts.Timing.Duration
			}
			l.holder.ordersEnd = later(l.holder.ordersEnd, now.Add(hold))
		}
	case record.OrdersEnded > 0:
		l.holder.ordersEnd = now.Add(-milliseconds(record.OrdersEnded - 1))
	default:
		l.holder.ordersEnd = later(l.holder.ordersEnd, now)
	}
	if record.OrdersAllowed {
		return
	}
	// An earlier run of this daemon that was not allowed to give orders yet may have taken the
	// lease over from another daemon only a moment ago. Any holder may have acquired it just after a
	// restore of the store, and then the holder of the former era may still give orders.
	end := now
	if l.version.Era() > 0 {
		end = now.Add(max(l.opts.Timing.Duration, milliseconds(record.FormerHold)))
	}
	l.otherRunEnd, l.otherDaemonEnd = later(l.otherRunEnd, end), later(l.otherDaemonEnd, end)
}

// replaceHolder makes the run that a record names the known holder. A run of the same daemon proves that the
// one before it has ended.
func (l *Lease) replaceHolder(now time.Time, record *Record) {
	end := l.holder.ordersEnd
	if l.holder.daemon == record.Holder && !end.IsZero() {
		end = earlier(end, now.Add(l.opts.Timing.Duration))
	}
	l.otherRunEnd, l.otherDaemonEnd = later(l.otherRunEnd, end), later(l.otherDaemonEnd, end)
	l.holder = holderRun{}
	if record.Holder != l.opts.Daemon {
		l.holder = holderRun{daemon: record.Holder, boot: record.Boot}
	}
}

// assumeOtherHolder records that another daemon may have acquired or renewed the lease until now. A
// restored store does not show who did, and for how long.
func (l *Lease) assumeOtherHolder(now time.Time) {
	if vrfault.On(vrfault.TrustRestoredLease) {
		return
	}
	l.unknownHolderAt = now
	l.trackUnknownHolder()
}

// trackUnknownHolder counts the last possible order of an unknown holder by the longest hold known. A daemon
// that has just started may read the lease before it learns that holders use the long hold.
func (l *Lease) trackUnknownHolder() {
	if l.unknownHolderAt.IsZero() {
		return
	}
	hold := l.longestHold
	if l.longHolds {
		hold = max(hold, l.opts.Timing.LongHold)
	}
	end := l.unknownHolderAt.Add(hold)
	l.otherRunEnd, l.otherDaemonEnd = later(l.otherRunEnd, end), later(l.otherDaemonEnd, end)
}

// acquirableAt returns when a candidate may try to acquire the lease of another daemon.
func (l *Lease) acquirableAt(holderUnreachable bool) time.Time {
	expired := l.changedAt.Add(l.expiryDelay(holderUnreachable) + l.jitter)
	if endedAt := l.holder.endedAt; !endedAt.IsZero() && l.holder.is(&l.latest) {
		return earlier(expired, endedAt.Add(l.jitter))
	}
	return expired
}

// expiryDelay returns how long a record may stay unchanged before its lease has expired.
func (l *Lease) expiryDelay(holderUnreachable bool) time.Duration {
	switch {
	case l.latest.Hold > 0 && !vrfault.On(vrfault.IgnoreHold):
		return l.holdOf(&l.latest)
	case holderUnreachable:
		return l.opts.Timing.UnreachableDuration
	default:
		return l.opts.Timing.Duration
	}
}

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
