package vrrelay

import (
	"slices"
	"sync"
	"time"
)

const (
	// fullClaimTime is how long a body that has begun is expected to arrive whole, and arrivalHorizon the
	// time ahead for which its speed since then tells what else arrives. Without the first, bodies that
	// begin together would all be begun and most of them be stopped in the middle.
	fullClaimTime  = 100 * time.Millisecond
	arrivalHorizon = time.Second
	// claimsInterval is the interval at which waiting bodies are considered again while nothing is released:
	// other bodies may turn out to arrive slowly.
	claimsInterval = 50 * time.Millisecond
	// departureInterval is the interval at which a waiting body checks whether its client has left.
	departureInterval = 200 * time.Millisecond
	// A body of at most the limit divided by smallBodyDivisor needn't wait behind larger ones while the limit
	// divided by smallBodyFreeDivisor stays free. Otherwise many large bodies that have yet to arrive would have
	// small ones refused while hardly any memory is held.
	smallBodyDivisor     = 64
	smallBodyFreeDivisor = 2
)

// bodyBudget limits the memory that the bodies of all requests take together. Memory is taken in steps as
// bytes arrive. A body begins if the memory that is left suffices for all of it besides what is expected to
// arrive of the others; bodies begin in the order of their arrival, but small ones may pass. A body that has begun gets its next step
// if all bodies that have begun can then be completed, one after the other, so that they never wait for each
// other.
type bodyBudget struct {
	limit int64

	mu   sync.Mutex
	held int64
	// claims are the bodies that have begun and are not released.
	claims map[*bodyClaim]struct{}
	// entering are the bodies that wait to begin, continuing those that wait for another step, both in the
	// order of their arrival.
	entering, continuing []*bodyClaim
	lastNumber           uint64
	// ticking is set while a call of tick is planned.
	ticking bool
	// aborted is set once no body may wait anymore.
	aborted bool
	stats   bodyStats
}

// bodyStats counts what happened to bodies since the start.
type bodyStats struct {
	peak                    int64
	waited, refused, served uint64
}

// bodyClaim is the part of one body in the budget. Its fields are protected by the budget's mutex.
type bodyClaim struct {
	number uint64
	// held is what the body has taken, need what it may take in the end, at least held.
	held, need int64
	begun      bool
	// whole is set once the body has arrived.
	whole bool
	// beganAt is when the body began, moved by the time that it has waited since.
	beganAt time.Time
	// step is the size that the body waits for. granted receives whether it got it.
	step    int64
	granted chan bool
	// hasLeft reports whether the client of the body has left. It may be nil.
	hasLeft func() bool
	// left is set once a wait ended because the client had left. Only the goroutine of the body uses it.
	left bool
}

func newBodyBudget(limit int64) *bodyBudget {
	return &bodyBudget{limit: limit, claims: make(map[*bodyClaim]struct{})}
}

// newClaim returns the claim of a body that takes up to need bytes.
func (b *bodyBudget) newClaim(need int64) *bodyClaim {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastNumber++
	return &bodyClaim{number: b.lastNumber, need: need, granted: make(chan bool, 1)}
}

// take takes a step from the budget for a body. It waits for up to maxWait until there is room, and returns how
// long it has waited and whether the step was taken.
func (b *bodyBudget) take(claim *bodyClaim, step int64, maxWait time.Duration) (waited time.Duration, ok bool) {
	start := time.Now()
	b.mu.Lock()
	claim.step = step
	queue := &b.entering
	if claim.begun {
		queue = &b.continuing
	}
	if (claim.begun || len(b.entering)+len(b.continuing) == 0 || b.mayPass(claim)) && b.grant(start, claim) {
		b.mu.Unlock()
		return 0, true
	}
	if b.aborted || maxWait <= 0 {
		b.stats.refused++
		b.mu.Unlock()
		return 0, false
	}
	b.stats.waited++
	insertByNumber(queue, claim)
	b.planTick()
	b.mu.Unlock()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	ticker := time.NewTicker(departureInterval)
	defer ticker.Stop()
	for waiting := true; waiting; {
		select {
		case ok = <-claim.granted:
			waiting = false
		case <-timer.C:
			ok, waiting = b.stopWaiting(queue, claim), false
		case <-ticker.C:
			if claim.hasLeft != nil && claim.hasLeft() {
				claim.left, waiting = true, false
				ok = b.stopWaiting(queue, claim)
			}
		}
	}
	waited = time.Since(start)
	if ok {
		b.mu.Lock()
		claim.beganAt = claim.beganAt.Add(min(waited, time.Since(claim.beganAt)))
		b.mu.Unlock()
	}
	return waited, ok
}

// stopWaiting removes a claim whose time has passed or whose client has left from a queue. It returns true if the step was granted
// meanwhile.
func (b *bodyBudget) stopWaiting(queue *[]*bodyClaim, claim *bodyClaim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(*queue, claim); i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
		if !claim.left {
			b.stats.refused++
		}
		b.dispatch(time.Now())
		return false
	}
	return <-claim.granted
}

func insertByNumber(queue *[]*bodyClaim, claim *bodyClaim) {
	i, _ := slices.BinarySearchFunc(*queue, claim.number, func(c *bodyClaim, number uint64) int {
		if c.number < number {
			return -1
		}
		return 1
	})
	*queue = slices.Insert(*queue, i, claim)
}

// grant takes the step of a claim if there is room. The caller holds the mutex.
func (b *bodyBudget) grant(now time.Time, claim *bodyClaim) bool {
	if !b.fits(now, claim) {
		return false
	}
	if !claim.begun {
		claim.begun, claim.beganAt = true, now
		b.claims[claim] = struct{}{}
	}
	claim.held += claim.step
	claim.need = max(claim.need, claim.held)
	b.held += claim.step
	b.stats.peak = max(b.stats.peak, b.held)
	return true
}

// fits reports whether a claim may take its step.
func (b *bodyBudget) fits(now time.Time, claim *bodyClaim) bool {
	free := b.limit - b.held
	if free < claim.step {
		return false
	}
	if claim.begun {
		return b.canComplete(claim, free-claim.step)
	}
	if b.mayPass(claim) {
		return true
	}
	for other := range b.claims {
		free -= other.expected(now)
	}
	return free >= claim.need
}

// mayPass reports whether a body that has not begun is small enough to begin before others. It can then be
// completed first, so that the others can be completed as before.
func (b *bodyBudget) mayPass(claim *bodyClaim) bool {
	return !claim.begun && claim.need <= b.limit/smallBodyDivisor && b.limit-b.held-claim.need >= b.limit/smallBodyFreeDivisor
}

// canComplete reports whether all bodies that have begun can be completed one after the other if a claim has
// taken its step and free bytes are left.
func (b *bodyBudget) canComplete(claim *bodyClaim, free int64) bool {
	var open []*bodyClaim
	largest := int64(0)
	for other := range b.claims {
		if other.whole {
			// Its call ends by its deadline.
			free += other.held
			continue
		}
		open = append(open, other)
		largest = max(largest, other.remaining(claim))
	}
	if free >= largest {
		return true
	}
	slices.SortFunc(open, func(x, y *bodyClaim) int { return int(x.remaining(claim) - y.remaining(claim)) })
	for _, other := range open {
		if other.remaining(claim) > free {
			return false
		}
		free += other.held
		if other == claim {
			free += claim.step
		}
	}
	return true
}

// remaining returns what a claim may take yet, after the step if it is the one that takes it.
func (c *bodyClaim) remaining(taking *bodyClaim) int64 {
	if c == taking {
		return max(c.need-c.held-c.step, 0)
	}
	return c.need - c.held
}

// expected returns how much a body that has begun will take soon.
func (c *bodyClaim) expected(now time.Time) int64 {
	switch age := now.Sub(c.beganAt); {
	case c.whole:
		return 0
	case age < fullClaimTime:
		return c.need - c.held
	default:
		return min(c.need-c.held, int64(float64(c.held)*arrivalHorizon.Seconds()/age.Seconds()))
	}
}

// complete notes that a body has arrived, and that it takes nothing more.
func (b *bodyBudget) complete(claim *bodyClaim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	claim.whole = true
	b.stats.served++
	b.dispatch(time.Now())
}

// release returns what a body has taken.
func (b *bodyBudget) release(claim *bodyClaim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= claim.held
	claim.held = 0
	delete(b.claims, claim)
	b.dispatch(time.Now())
}

// dispatch grants the steps that fit, first to bodies that have begun. The caller holds the mutex.
func (b *bodyBudget) dispatch(now time.Time) {
	b.continuing = slices.DeleteFunc(b.continuing, func(claim *bodyClaim) bool {
		granted := b.grant(now, claim)
		if granted {
			claim.granted <- true
		}
		return granted
	})
	for len(b.continuing) == 0 && len(b.entering) > 0 && b.grant(now, b.entering[0]) {
		b.entering[0].granted <- true
		b.entering = slices.Delete(b.entering, 0, 1)
	}
	b.entering = slices.DeleteFunc(b.entering, func(claim *bodyClaim) bool {
		passes := b.mayPass(claim) && b.grant(now, claim)
		if passes {
			claim.granted <- true
		}
		return passes
	})
}

// planTick plans the next call of tick if bodies wait. The caller holds the mutex.
func (b *bodyBudget) planTick() {
	if b.ticking || len(b.entering)+len(b.continuing) == 0 {
		return
	}
	b.ticking = true
	time.AfterFunc(claimsInterval, b.tick)
}

func (b *bodyBudget) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ticking = false
	b.dispatch(time.Now())
	b.planTick()
}

// abortWaits refuses the bodies that wait, and those that would have to wait from now on.
func (b *bodyBudget) abortWaits() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.aborted = true
	for _, claim := range slices.Concat(b.entering, b.continuing) {
		b.stats.refused++
		claim.granted <- false
	}
	b.entering, b.continuing = nil, nil
}

// read returns the bytes held, the number of bodies that wait and the counts.
func (b *bodyBudget) read() (held int64, waiting int, stats bodyStats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, len(b.entering) + len(b.continuing), b.stats
}
