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
	// maxLots limits the grants that a pot keeps apart.
	maxLots = 8
)

// lot is granted credit that may be spent until a time.
type lot struct {
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

// pot is a daemon's credit of one tenant, and what it needs.
type pot struct {
	tenant vrid.TenantID
	limit  Limit
	lots   []lot
	denied denial
	// urgent is what the waiting calls cost, least the cost of the cheapest of them.
	urgent, least int64
	// asked holds the last two requests for credit, whose answers may be awaited, the later one first.
	asked [2]ask
	// demand is the decaying sum of the costs of the calls up to demandAt, and calls that of their number.
	demand, calls float64
	demandAt      time.Time
	// listed is set while the pot is among those of the next request.
	listed bool
}

// expire drops lots that may not be spent any more and reports their number.
func (p *pot) expire(now time.Time) uint64 {
	kept := p.lots[:0]
	expired := uint64(0)
	for _, l := range p.lots {
		if now.Before(l.until) {
			kept = append(kept, l)
		} else {
			expired++
		}
	}
	p.lots = kept
	return expired
}

// credit returns the credit of a pot without expired lots.
func (p *pot) credit() int64 {
	total := int64(0)
	for _, l := range p.lots {
		total += l.amount
	}
	return total
}

// add adds credit. Among too many lots, the one that ends first is added to, which shortens the use of the
// new one.
func (p *pot) add(amount int64, until time.Time) {
	if amount <= 0 {
		return
	}
	first := 0
	for i := range p.lots {
		if p.lots[i].until.Equal(until) {
			p.lots[i].amount += amount
			return
		}
		if p.lots[i].until.Before(p.lots[first].until) {
			first = i
		}
	}
	if len(p.lots) < maxLots {
		p.lots = append(p.lots, lot{amount: amount, until: until})
		return
	}
	p.lots[first].amount += amount
	if until.Before(p.lots[first].until) {
		p.lots[first].until = until
	}
}

// spend takes an amount that the pot has from the lots that end first, and returns the earliest end.
func (p *pot) spend(amount int64) time.Time {
	var until time.Time
	for amount > 0 {
		first := -1
		for i := range p.lots {
			if p.lots[i].amount > 0 && (first < 0 || p.lots[i].until.Before(p.lots[first].until)) {
				first = i
			}
		}
		l := &p.lots[first]
		taken := min(amount, l.amount)
		l.amount -= taken
		amount -= taken
		if until.IsZero() {
			until = l.until
		}
	}
	kept := p.lots[:0]
	for _, l := range p.lots {
		if l.amount > 0 {
			kept = append(kept, l)
		}
	}
	p.lots = kept
	return until
}

// recordAsk records that a request asks for what the pot needs.
func (p *pot) recordAsk(number uint64) {
	p.asked = [2]ask{{number: number, least: p.least}, p.asked[0]}
}

// leastAsked returns the cost of the cheapest call that a request asked for, or zero. The answer of an earlier
// request says nothing about cheaper calls that have come since.
func (p *pot) leastAsked(number uint64) int64 {
	for _, a := range p.asked {
		if a.number == number {
			return a.least
		}
	}
	return 0
}

// recordDemand counts the first attempt of a call to take credit.
func (p *pot) recordDemand(now time.Time, cost int64) {
	p.decay(now)
	p.demand += float64(cost)
	p.calls++
}

func (p *pot) decay(now time.Time) {
	if age := now.Sub(p.demandAt); age > 0 {
		factor := math.Exp(-age.Seconds() / demandSpan.Seconds())
		p.demand *= factor
		p.calls *= factor
		p.demandAt = now
	}
}

// ahead returns what to ask for in advance: what the demand of the next aheadSpan needs if it is at least
// one call, and the credit is less than half of that.
func (p *pot) ahead(now time.Time) int64 {
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
