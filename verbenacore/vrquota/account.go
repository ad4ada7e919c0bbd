package vrquota

import (
	"math"
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

const (
	// aheadSpan is the time for whose demand a daemon asks in advance. The answer takes 16 ms at most.
	aheadSpan = 150 * time.Millisecond
	// aheadFraction is the largest part of a bucket that one daemon asks for in advance.
	aheadFraction = 0.1
	// demandSpan is the time over which demand is averaged.
	demandSpan = time.Second
	// maxBacklogDelay limits how much later than the first credit a refused call is told to return. Clients do not
	// wait for longer than a part of their deadlines.
	maxBacklogDelay = 4 * time.Second
	// maxGrants limits the grants that a account keeps apart.
	maxGrants = 8
)

// grantedCredit is granted credit that may be spent until a time.
type grantedCredit struct {
	amount int64
	until  time.Time
}

// denial is what the allocator has told of a tenant that has reached its limit.
type denial struct {
	// until is when a call that costs need can have credit.
	until time.Time
	need  int64
}

// ask is a request for credit.
type ask struct {
	number uint64
	// least is the cost of the cheapest waiting call, zero if there was none.
	least int64
}

// account is a daemon's credit of one tenant, and what it needs.
type account struct {
	tenant vrid.TenantID
	limit  Limit
	grants []grantedCredit
	denied denial
	// urgent is what the waiting calls cost, least the cost of the cheapest of them.
	urgent, least int64
	// asked holds the last two requests for credit, whose answers may be awaited, the later one first.
	asked [2]ask
	// demand is the decaying sum of the costs of the calls up to demandAt, and calls that of their number.
	demand, calls float64
	demandAt      time.Time
	// granted is the decaying sum of the credit granted up to demandAt, and backlog the cost of the refused calls
	// for which there has been no credit since. Calls that were told to return are served at the rate of the grants.
	granted, backlog float64
	// listed is set while the account is among those of the next request.
	listed bool
}

// expire drops grants that may not be spent any more and reports their number.
func (p *account) expire(now time.Time) uint64 {
	kept := p.grants[:0]
	expired := uint64(0)
	for _, l := range p.grants {
		if now.Before(l.until) {
			kept = append(kept, l)
		} else {
			expired++
		}
	}
	p.grants = kept
	return expired
}

// credit returns the credit of a account without expired grants.
func (p *account) credit() int64 {
	total := int64(0)
	for _, l := range p.grants {
		total += l.amount
	}
	return total
}

// add adds credit. Among too many grants, the one that ends first is added to, which shortens the use of the
// new one.
func (p *account) add(amount int64, until time.Time) {
	if amount <= 0 {
		return
	}
	first := 0
	for i := range p.grants {
		if p.grants[i].until.Equal(until) {
			p.grants[i].amount += amount
			return
		}
		if p.grants[i].until.Before(p.grants[first].until) {
			first = i
		}
	}
	if len(p.grants) < maxGrants {
		p.grants = append(p.grants, grantedCredit{amount: amount, until: until})
		return
	}
	p.grants[first].amount += amount
	if until.Before(p.grants[first].until) {
		p.grants[first].until = until
	}
}

// spend takes an amount that the account has from the grants that end first, and returns the earliest end.
func (p *account) spend(amount int64) time.Time {
	var until time.Time
	for amount > 0 {
		first := -1
		for i := range p.grants {
			if p.grants[i].amount > 0 && (first < 0 || p.grants[i].until.Before(p.grants[first].until)) {
				first = i
			}
		}
		l := &p.grants[first]
		taken := min(amount, l.amount)
		l.amount -= taken
		amount -= taken
		if until.IsZero() {
			until = l.until
		}
	}
	kept := p.grants[:0]
	for _, l := range p.grants {
		if l.amount > 0 {
			kept = append(kept, l)
		}
	}
	p.grants = kept
	return until
}

// recordAsk records that a request asks for what the account needs.
func (p *account) recordAsk(number uint64) {
	p.asked = [2]ask{{number: number, least: p.least}, p.asked[0]}
}

// leastAsked returns the cost of the cheapest call that a request asked for, or zero. The answer of an earlier
// request says nothing about cheaper calls that have come since.
func (p *account) leastAsked(number uint64) int64 {
	for _, a := range p.asked {
		if a.number == number {
			return a.least
		}
	}
	return 0
}

// recordDemand counts the first attempt of a call to take credit.
func (p *account) recordDemand(now time.Time, cost int64) {
	p.decay(now)
	p.demand += float64(cost)
	p.calls++
}

func (p *account) decay(now time.Time) {
	if age := now.Sub(p.demandAt); age > 0 {
		factor := math.Exp(-age.Seconds() / demandSpan.Seconds())
		p.backlog = max(0, p.backlog-p.granted/demandSpan.Seconds()*age.Seconds())
		p.demand *= factor
		p.calls *= factor
		p.granted *= factor
		p.demandAt = now
	}
}

// recordRefusal counts a refused call and returns how long the calls that were refused before it need, at the rate
// of the grants of late.
func (p *account) recordRefusal(now time.Time, cost int64) time.Duration {
	p.decay(now)
	rate := p.granted / demandSpan.Seconds()
	if rate <= 0 {
		return 0
	}
	delay := min(seconds(p.backlog/rate), maxBacklogDelay)
	p.backlog = min(p.backlog+float64(cost), rate*maxBacklogDelay.Seconds())
	return delay
}

// ahead returns what to ask for in advance: what the demand of the next aheadSpan needs if it is at least
// one call, and the credit is less than half of that.
func (p *account) ahead(now time.Time) int64 {
	p.decay(now)
	share := aheadSpan.Seconds() / demandSpan.Seconds()
	if p.calls*share < 1 {
		return 0
	}
	target := int64(min(p.demand*share, p.limit.Depth*aheadFraction))
	if credit := p.credit(); credit < target/2 {
		return target - credit
	}
	return 0
}
