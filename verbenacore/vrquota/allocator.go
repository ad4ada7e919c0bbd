package vrquota

import (
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// wholeUnits is the sum of all parts. Parts are whole numbers of units, so that sums are exact.
	wholeUnits = 1 << 40
	// verdictShare is the share of the parts that an allocator needs to tell that a tenant has reached its
	// limit, and verdictDelay how long it needs them before: its buckets are empty at first. In a partition,
	// only one side can have more than half of the parts.
	verdictShare = wholeUnits/2 + 1
	verdictDelay = time.Second
	// halfFull is the fraction of its depth that a bucket keeps for waiting calls.
	halfFull = 0.5
	// minRetryAfter limits how often a denied daemon asks again. With 20 ms, 65 daemons with one tenant beyond its
	// limit kept an allocator on a fifth of a core from answering the calls of all other tenants in time.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the answer to a need that no bucket can ever cover.
	maxRetryAfter = 8 * time.Second
	// maxRecords limits the runs of daemons that an allocator remembers, recordTTL is how long it does so
	// without a message. It is longer than a delegation, so that no earlier one can count again.
	maxRecords = 4096
	recordTTL  = time.Minute
)

// Allocator grants credit from the parts that are delegated to this daemon.
type Allocator struct {
	boot      vrid.BootID
	startedAt time.Time
	bounds    Bounds
	catalog   *vrcatalog.Catalog
	size      fleetSize
	daemons   map[daemonRun]*delegation
	// buckets holds one bucket for each tenant with a limit while parts are delegated. They are made
	// together, because a bucket that is made later would begin empty.
	buckets map[vrid.TenantID]*bucket
	// units is the sum of the delegated parts, at most wholeUnits. accrued is the integral of the share over
	// time in seconds, up to advancedAt.
	units      uint64
	accrued    float64
	advancedAt time.Time
	// nextEnd is not later than the end of any delegation that counts.
	nextEnd time.Time
	// verdictsFrom is when denials begin to say that a tenant has reached its limit, zero while the share is
	// too small.
	verdictsFrom time.Time
	counts       AllocatorCounts
}

// AllocatorCounts holds the running totals of an allocator.
type AllocatorCounts struct {
	// Grants and Denials count the answers to needs, Denials those without credit.
	Grants, Denials uint64
}

// daemonRun is one run of a daemon. Each has a record of its own: with one for all runs, a delayed request of a
// former run made the allocator confirm a release by the present run without ending its delegation.
type daemonRun struct {
	daemon vrid.DaemonID
	boot   vrid.BootID
}

// delegation is what an allocator knows of a run of a daemon.
type delegation struct {
	number uint64
	// units is the part, zero if it is not delegated. It counts until the time until.
	units  uint64
	until  time.Time
	seenAt time.Time
}

// bucket is the token bucket of a tenant.
type bucket struct {
	limit Limit
	level float64
	// accrued is the value of Allocator.accrued up to which level is computed.
	accrued float64
}

// NewAllocator returns an allocator without parts. Its times begin at now.
func NewAllocator(now time.Time, boot vrid.BootID, bounds Bounds) *Allocator {
	return &Allocator{boot: boot, startedAt: now, advancedAt: now, bounds: bounds, daemons: make(map[daemonRun]*delegation)}
}

// SetCatalog applies the quotas of a catalog. Credit above a lower limit is dropped. A tenant that is new or
// had no limit begins with an empty bucket.
func (a *Allocator) SetCatalog(now time.Time, catalog *vrcatalog.Catalog) {
	a.advance(now)
	a.catalog = catalog
	if a.buckets != nil {
		a.makeBuckets()
	}
}

// makeBuckets makes the buckets of the catalog, and keeps the credit of those that exist.
func (a *Allocator) makeBuckets() {
	former := a.buckets
	a.buckets = make(map[vrid.TenantID]*bucket)
	if a.catalog == nil {
		return
	}
	for i := range a.catalog.Tenants {
		tenant := &a.catalog.Tenants[i]
		limit := NewLimit(tenant.Quota, a.bounds)
		if limit.Rate == 0 {
			continue
		}
		b := &bucket{limit: limit, accrued: a.accrued}
		if old := former[tenant.ID]; old != nil {
			a.settle(old)
			b.level = min(old.level, limit.Depth*a.share())
		}
		a.buckets[tenant.ID] = b
	}
}

// SetDaemons records the number of registered daemons.
func (a *Allocator) SetDaemons(now time.Time, count int) { a.size.setListed(now, uint32(count)) }

// share returns the delegated share of all quotas.
func (a *Allocator) share() float64 { return float64(a.units) / wholeUnits }

// Share returns the share of all quotas that is delegated to this daemon.
func (a *Allocator) Share(now time.Time) float64 {
	a.advance(now)
	return a.share()
}

// Counts returns the running totals.
func (a *Allocator) Counts() AllocatorCounts { return a.counts }

// Credit calls yield with the credit of each tenant that has a limit, until yield returns false.
func (a *Allocator) Credit(now time.Time, yield func(vrid.TenantID, float64) bool) {
	a.advance(now)
	if a.catalog == nil {
		return
	}
	for i := range a.catalog.Tenants {
		id := a.catalog.Tenants[i].ID
		b := a.buckets[id]
		if b == nil {
			continue
		}
		a.settle(b)
		if !yield(id, b.level) {
			return
		}
	}
}

// settle adds what a bucket has accrued since it was last settled, during which the share did not change.
func (a *Allocator) settle(b *bucket) {
	b.level = min(b.level+b.limit.Rate*(a.accrued-b.accrued), b.limit.Depth*a.share())
	b.accrued = a.accrued
}

func (a *Allocator) settleAll() {
	for _, b := range a.buckets {
		a.settle(b)
	}
}

// setUnits changes the sum of the delegated parts. A lower share reduces the credit of every bucket at once:
// the daemon whose part is gone delegates it to another allocator, where it accrues anew.
func (a *Allocator) setUnits(now time.Time, units uint64) {
	units = min(units, wholeUnits)
	if units == a.units {
		return
	}
	switch {
	case a.units == 0:
		a.makeBuckets()
	case units > a.units:
		// What accrued until now is limited by the share until now.
		a.settleAll()
	}
	decreased := units < a.units
	a.units = units
	switch {
	case units == 0:
		a.buckets = nil
	case decreased:
		a.settleAll()
	}
	if units < verdictShare {
		a.verdictsFrom = time.Time{}
	} else if a.verdictsFrom.IsZero() {
		a.verdictsFrom = now.Add(verdictDelay)
	}
}

// sum returns the sum of the parts that are delegated.
func (a *Allocator) sum() uint64 {
	total := uint64(0)
	for _, d := range a.daemons {
		total += d.units
	}
	return total
}

// advance accrues credit up to a time, each part for as long as it was delegated.
func (a *Allocator) advance(now time.Time) {
	if !now.After(a.advancedAt) {
		return
	}
	for a.units > 0 && !a.nextEnd.After(now) {
		end := a.endOfFirst()
		if end.After(now) {
			a.nextEnd = end
			break
		}
		a.accrue(end)
		for _, d := range a.daemons {
			if d.units > 0 && !d.until.After(end) {
				d.units = 0
			}
		}
		a.setUnits(end, a.sum())
	}
	a.accrue(now)
}

func (a *Allocator) accrue(until time.Time) {
	if until.After(a.advancedAt) {
		a.accrued += until.Sub(a.advancedAt).Seconds() * a.share()
		a.advancedAt = until
	}
}

// endOfFirst returns the earliest end of a delegation.
func (a *Allocator) endOfFirst() time.Time {
	var first time.Time
	for _, d := range a.daemons {
		if d.units > 0 && (first.IsZero() || d.until.Before(first)) {
			first = d.until
		}
	}
	return first
}

// Handle applies a request and returns the answer, or nil if it is a former one.
func (a *Allocator) Handle(now time.Time, from vrid.DaemonID, boot vrid.BootID, request *vrwire.QuotaRequest) *vrwire.QuotaReply {
	a.advance(now)
	d := a.daemon(now, daemonRun{daemon: from, boot: boot})
	if d == nil || request.Number <= d.number {
		return nil
	}
	a.size.observe(now, request.Registered)
	a.delegate(now, d, request)
	d.number, d.seenAt = request.Number, now
	reply := &vrwire.QuotaReply{To: boot, Number: request.Number, Time: now.Sub(a.startedAt).Milliseconds(), Daemons: a.size.parts(now)}
	if len(request.Needs) > 0 {
		reply.Grants = make([]vrwire.QuotaGrant, len(request.Needs))
	}
	for i := range request.Needs {
		reply.Grants[i] = a.grant(now, &request.Needs[i])
	}
	return reply
}

// daemon returns the record of a run of a daemon, or nil if there are too many.
func (a *Allocator) daemon(now time.Time, id daemonRun) *delegation {
	if d := a.daemons[id]; d != nil {
		return d
	}
	if len(a.daemons) >= maxRecords {
		for other, d := range a.daemons {
			if d.units == 0 && now.Sub(d.seenAt) > recordTTL {
				delete(a.daemons, other)
			}
		}
		if len(a.daemons) >= maxRecords {
			return nil
		}
	}
	d := &delegation{}
	a.daemons[id] = d
	return d
}

// delegate applies the delegation of a request. A new run of the daemon does not end the delegation of the
// former run: it delegates only after that has ended by itself.
func (a *Allocator) delegate(now time.Time, d *delegation, request *vrwire.QuotaRequest) {
	until := a.startedAt.Add(time.Duration(request.Echo+request.Term) * time.Millisecond)
	counts := request.Daemons > 0 && request.EchoBoot == a.boot && until.After(now) &&
		!a.startedAt.Add(time.Duration(request.Echo)*time.Millisecond).After(now)
	units := d.units
	switch {
	case counts && d.units > 0:
		units = wholeUnits / uint64(request.Daemons)
		d.until = later(d.until, until)
	case counts:
		units = wholeUnits / uint64(request.Daemons)
		d.until = until
	case request.Daemons == 0:
		units = 0
	}
	if units != d.units {
		d.units = units
		a.setUnits(now, a.sum())
	}
	if units > 0 && (a.nextEnd.IsZero() || d.until.Before(a.nextEnd) || !a.nextEnd.After(now)) {
		a.nextEnd = a.endOfFirst()
	}
}

// grant answers a need. What is asked for in advance is granted only from a bucket that is well filled.
func (a *Allocator) grant(now time.Time, need *vrwire.QuotaNeed) vrwire.QuotaGrant {
	answer := vrwire.QuotaGrant{Tenant: need.Tenant}
	b := a.buckets[need.Tenant]
	if b == nil {
		a.counts.Denials++
		return answer
	}
	a.settle(b)
	// Levels are rounded down, because amounts are whole numbers.
	level := int64(b.level)
	switch {
	case level >= need.Amount && b.level-float64(need.Amount) >= halfFull*b.limit.Depth*a.share():
		answer.Granted = need.Amount
	case need.Least > 0 && level >= need.Least:
		answer.Granted = min(level, need.Urgent)
	}
	b.level -= float64(answer.Granted)
	if answer.Granted < need.Urgent && !a.verdictsFrom.IsZero() && !now.Before(a.verdictsFrom) {
		answer.RetryAfter = a.retryAfter(b, need.Least).Milliseconds()
	}
	if answer.Granted > 0 {
		a.counts.Grants++
	} else {
		a.counts.Denials++
	}
	return answer
}

// retryAfter returns the time until a bucket holds an amount.
func (a *Allocator) retryAfter(b *bucket, amount int64) time.Duration {
	if float64(amount) > b.limit.Depth*a.share() {
		return maxRetryAfter
	}
	wait := seconds((float64(amount) - b.level) / (b.limit.Rate * a.share()))
	// The time is rounded up to milliseconds on the wire.
	return min(max(wait+time.Millisecond, minRetryAfter), maxRetryAfter)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
