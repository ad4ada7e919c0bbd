package vrquota

import (
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// Verdict says whether a call may be sent.
type Verdict uint8

// Verdicts.
const (
	// Charged: the call has its credit.
	Charged Verdict = iota + 1
	// Denied: the tenant has reached its limit.
	Denied
	// Unknown: the allocator has to be asked.
	Unknown
)

// Charge is the credit of a call.
type Charge struct {
	Amount int64
	// Until is when the credit may no longer be spent, and SendUntil when a call that did not run may no
	// longer be sent with it. Both are zero if the tenant has no limit.
	Until, SendUntil time.Time
}

// IsLimited reports whether the tenant has a limit.
func (d *Daemon) IsLimited(id vrid.TenantID) bool { return d.account(id) != nil }

// account returns the account of a tenant, or nil if it has no limit.
func (d *Daemon) account(id vrid.TenantID) *account {
	if p := d.accounts[id]; p != nil {
		return p
	}
	if d.catalog == nil {
		return nil
	}
	tenant := d.catalog.Tenant(id)
	if tenant == nil || tenant.Quota.Rate <= 0 {
		return nil
	}
	p := &account{tenant: id, limit: NewLimit(tenant.Quota, d.bounds)}
	d.accounts[id] = p
	return p
}

// Limit returns the limit of a tenant.
func (d *Daemon) Limit(id vrid.TenantID) Limit {
	if p := d.account(id); p != nil {
		return p.limit
	}
	return Limit{}
}

// Check reports how long a call has to wait that would be denied now, or zero.
func (d *Daemon) Check(now time.Time, id vrid.TenantID, cost int64) time.Duration {
	p := d.account(id)
	if p == nil || !now.Before(p.denied.until) || cost < p.denied.need {
		return 0
	}
	d.counts.Expired += p.expire(now)
	if p.credit() >= cost {
		return 0
	}
	return p.retryAfter(now, cost)
}

// retryAfter returns when a call can have credit after a denial of one that costs no more.
func (p *account) retryAfter(now time.Time, cost int64) time.Duration {
	if float64(cost) > p.limit.Depth {
		return maxRetryAfter
	}
	wait := p.denied.until.Sub(now) + seconds(float64(cost-p.denied.need)/p.limit.Rate)
	return min(wait, maxRetryAfter)
}

// Take takes the credit for a call. first is set at the call's first attempt. If the verdict is Denied, it
// returns the time until the call can have credit.
func (d *Daemon) Take(now time.Time, id vrid.TenantID, cost int64, first bool) (Verdict, Charge, time.Duration) {
	p := d.account(id)
	if p == nil || cost <= 0 {
		return Charged, Charge{}, 0
	}
	d.usedAt = now
	if first {
		p.recordDemand(now, cost)
	}
	d.counts.Expired += p.expire(now)
	if p.credit() >= cost {
		until := p.spend(cost)
		d.listAhead(now, p)
		return Charged, Charge{Amount: cost, Until: until, SendUntil: now.Add(p.limit.Life)}, 0
	}
	if now.Before(p.denied.until) && cost >= p.denied.need {
		return Denied, Charge{}, p.retryAfter(now, cost)
	}
	return Unknown, Charge{}, 0
}

// Refuse records that a call was refused that can have credit after the wait, and returns when its client should
// return: after those that were refused before it. If all returned when the first credit is there, most of them
// would be refused again.
func (d *Daemon) Refuse(now time.Time, id vrid.TenantID, cost int64, wait time.Duration) time.Duration {
	p := d.account(id)
	if p == nil {
		return wait
	}
	return min(wait+p.recordRefusal(now, cost), maxRetryAfter)
}

// Decides reports whether Take would charge or deny a call.
func (d *Daemon) Decides(now time.Time, id vrid.TenantID, cost int64) bool {
	p := d.account(id)
	if p == nil || (now.Before(p.denied.until) && cost >= p.denied.need) {
		return true
	}
	d.counts.Expired += p.expire(now)
	return p.credit() >= cost
}

// AsksAhead reports whether the next request asks for credit in advance.
func (d *Daemon) AsksAhead() bool { return len(d.listed) > 0 }

// listAhead makes the next request ask for the credit that the tenant's regular demand needs. A daemon that is
// its own allocator has the answer at once.
func (d *Daemon) listAhead(now time.Time, p *account) {
	if d.part.at != d.id && !p.listed && !now.Before(p.denied.until) && p.ahead(now) > 0 {
		p.listed = true
		d.listed = append(d.listed, p)
	}
}

// Return takes back the credit of a call that certainly did not run.
func (d *Daemon) Return(now time.Time, id vrid.TenantID, charge Charge) {
	if p := d.accounts[id]; p != nil && now.Before(charge.Until) {
		p.expire(now)
		p.add(charge.Amount, charge.Until)
	}
}
