package vrquota

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// AnswerTimeout is how long a daemon waits for an allocator's answer.
	AnswerTimeout = 150 * time.Millisecond
	// silenceTimeout is how long an allocator may leave requests unanswered before another one is chosen. A
	// daemon with a fifth of a core may answer late under load, and a change gains nothing sooner: the part
	// is not free before activeTerm has passed.
	silenceTimeout = 450 * time.Millisecond
	// activeTerm is the duration of a delegation by a daemon with demand, which renews it at activeInterval,
	// and idleTerm and idleInterval are those without demand. A daemon that starts waits for idleTerm, and a fleet
	// that has lost all power serves no limited tenant meanwhile: with 2.4 s, the two worst seconds of a day with
	// such a loss fell from 0.43 to 0.05.
	activeTerm     = 900 * time.Millisecond
	activeInterval = 300 * time.Millisecond
	idleTerm       = vrwire.MaxQuotaTerm * time.Millisecond
	idleInterval   = 500 * time.Millisecond
	// renewalMargin is how long before its end a delegation is renewed ahead of the interval. It ends early if
	// the answer of the last renewal was late, because the next one named an old echo.
	renewalMargin = 250 * time.Millisecond
	// activeSpan is how long a daemon counts as having demand after a call.
	activeSpan = 2 * time.Second
	// termMargin covers the difference of the speed of two clocks during a delegation.
	termMargin = 10 * time.Millisecond
	// startDelay is how long a daemon that starts delegates nothing. Its former run may have delegated the
	// part until idleTerm after its end.
	startDelay = idleTerm + 100*time.Millisecond
	// settleDelay is how long a daemon that starts has to know the same number of daemons before it delegates
	// its part: at the first start of a fleet the daemons register one after another.
	settleDelay = 3 * time.Second
	// probeInterval is how often an allocator that did not answer is asked whether it answers again. It is
	// shorter than a delegation, because credit is lost if the part moves to another allocator after a
	// connection has broken for a moment.
	probeInterval = 400 * time.Millisecond
	// askAgainDelay is the pause after an answer without credit and without a verdict.
	askAgainDelay = 50 * time.Millisecond
)

// Daemon is a daemon's own part of all quotas, and the credit that it was granted.
type Daemon struct {
	id        vrid.DaemonID
	boot      vrid.BootID
	startedAt time.Time
	bounds    Bounds
	catalog   *vrcatalog.Catalog
	size      fleetSize
	// order lists the registered daemons in the order in which they are chosen as allocators. listedAt is
	// when their number last changed.
	order    []vrid.DaemonID
	listedAt time.Time
	// orderProbedAt is when a daemon of the order was last asked whether it answers again.
	orderProbedAt time.Time
	// settled is set once the daemon may delegate its part. fleetKnown is set if all daemons had registered
	// before it started.
	settled    bool
	fleetKnown bool
	allocators map[vrid.DaemonID]*allocatorView
	part       part
	// number is that of the last request.
	number uint64
	// pending is the last request if its answer is awaited, late the one before it if it had no answer in time.
	pending, late pendingRequest
	// askAt is when the waiting calls may ask again after an answer without a verdict.
	askAt time.Time
	// usedAt is when a call last asked for credit, renewedAt when the last request was sent.
	usedAt, renewedAt time.Time
	accounts          map[vrid.TenantID]*account
	// listed holds the accounts of the next request.
	listed []*account
	counts DaemonCounts
}

// DaemonCounts holds the running totals of a daemon.
type DaemonCounts struct {
	// Expired counts the grants of which a part was not spent in time.
	Expired uint64
}

// part says where the daemon's own part is.
type part struct {
	// at and boot are the run of the allocator that the part was last delegated to, empty for none.
	at   vrid.DaemonID
	boot vrid.BootID
	// freeAt is when the part may be delegated elsewhere.
	freeAt time.Time
	// release is the number of the request that ends the delegation, zero if none was sent.
	release uint64
}

// allocatorView is what a daemon knows of an allocator.
type allocatorView struct {
	// boot and time are those of its latest reply, which was received at receivedAt.
	boot       vrid.BootID
	time       int64
	receivedAt time.Time
	// silentSince is when the first request without an answer was sent, zero if there is none. down is set
	// while the allocator does not answer, askedAt is when it was last asked then.
	silentSince time.Time
	down        bool
	askedAt     time.Time
}

// pendingRequest is the request whose answer is awaited. to is empty if there is none.
type pendingRequest struct {
	to     vrid.DaemonID
	number uint64
	sentAt time.Time
}

// Message is a request and its receiver, which may be the daemon itself.
type Message struct {
	To      vrid.DaemonID
	Request *vrwire.QuotaRequest
}

// NewDaemon returns the state of a daemon that started at the given time.
func NewDaemon(startedAt time.Time, id vrid.DaemonID, boot vrid.BootID, bounds Bounds) *Daemon {
	return &Daemon{
		id: id, boot: boot, startedAt: startedAt, bounds: bounds,
		allocators: make(map[vrid.DaemonID]*allocatorView), accounts: make(map[vrid.TenantID]*account),
	}
}

// SetCatalog applies the quotas of a catalog.
func (d *Daemon) SetCatalog(catalog *vrcatalog.Catalog) {
	d.catalog = catalog
	for id, p := range d.accounts {
		tenant := catalog.Tenant(id)
		if tenant == nil || tenant.Quota.Rate <= 0 {
			d.listed = slices.DeleteFunc(d.listed, func(other *account) bool { return other == p })
			delete(d.accounts, id)
			continue
		}
		p.limit = NewLimit(tenant.Quota, d.bounds)
		p.denied = denial{}
	}
}

// SetDaemons records the registered daemons. A daemon that is not among them has no part.
func (d *Daemon) SetDaemons(now time.Time, ids []vrid.DaemonID) {
	if len(ids) != len(d.order) {
		d.listedAt = now
	}
	d.size.setListed(now, uint32(len(ids)))
	d.order = slices.Clone(ids)
	slices.SortFunc(d.order, func(a, b vrid.DaemonID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	for id := range d.allocators {
		if id != d.id && id != d.part.at && !slices.Contains(ids, id) {
			delete(d.allocators, id)
		}
	}
}

// Counts returns the running totals.
func (d *Daemon) Counts() DaemonCounts { return d.counts }

func (d *Daemon) allocator(id vrid.DaemonID) *allocatorView {
	v := d.allocators[id]
	if v == nil {
		v = &allocatorView{}
		d.allocators[id] = v
	}
	return v
}

// MarkUnreachable records that a message to a daemon could not be delivered.
func (d *Daemon) MarkUnreachable(id vrid.DaemonID) {
	v := d.allocators[id]
	if v == nil || id == d.id {
		return
	}
	v.down = true
	if d.pending.to == id {
		d.pending = pendingRequest{}
	}
}

// choose returns the allocator of this daemon: the preferred one while it answers, else the first daemon of
// the order that does, else this one.
func (d *Daemon) choose(preferred vrid.DaemonID) vrid.DaemonID {
	if preferred != "" && !d.allocator(preferred).down {
		return preferred
	}
	for _, id := range d.order {
		if v := d.allocators[id]; id == d.id || v == nil || !v.down {
			return id
		}
	}
	return d.id
}

// MarkFleetKnown records that the daemons of the fleet had registered before this one started.
func (d *Daemon) MarkFleetKnown() { d.fleetKnown = true }

// maySettle reports whether the daemon may delegate its part at all.
func (d *Daemon) maySettle(now time.Time) bool {
	if !d.settled {
		d.settled = len(d.order) > 0 && now.Sub(d.startedAt) >= startDelay && (d.fleetKnown || now.Sub(d.listedAt) >= settleDelay)
	}
	return d.settled && slices.Contains(d.order, d.id)
}

// Poll returns the requests that are due. preferred is the allocator that all daemons prefer, empty if it is
// not known. waiting yields the tenant and the cost of each call whose verdict is Unknown.
func (d *Daemon) Poll(now time.Time, preferred vrid.DaemonID, waiting iter.Seq2[vrid.TenantID, int64]) []Message {
	if d.pending.to != "" {
		if now.Sub(d.pending.sentAt) < AnswerTimeout {
			return nil
		}
		if v := d.allocator(d.pending.to); now.Sub(v.silentSince) >= silenceTimeout && d.pending.to != d.id {
			v.down = true
		}
		d.late, d.pending = d.pending, pendingRequest{}
	}
	to := d.choose(preferred)
	messages := d.probe(now, preferred, to)
	if m, ok := d.release(now, to); ok {
		messages = append(messages, m)
	}
	asks := (len(d.listed) > 0 || !isEmpty(waiting)) && !now.Before(d.askAt)
	if !asks && !d.renewalDue(now, to) {
		return messages
	}
	request := d.newRequest(now, to)
	if asks {
		d.addNeeds(now, request, waiting)
	}
	return append(messages, Message{To: to, Request: request})
}

func isEmpty(waiting iter.Seq2[vrid.TenantID, int64]) bool {
	for range waiting {
		return false
	}
	return true
}

// probe asks whether allocators that are preferred to the chosen one answer again: the one that all daemons
// prefer, and in turn those before the chosen one in the order. Without the latter, a daemon that was cut off
// while the preferred allocator was down stayed with an allocator that no other daemon chose.
func (d *Daemon) probe(now time.Time, preferred, chosen vrid.DaemonID) []Message {
	if chosen == preferred {
		return nil
	}
	var messages []Message
	if d.isDown(preferred) && now.Sub(d.allocator(preferred).askedAt) >= probeInterval {
		messages = append(messages, d.newProbe(now, preferred))
	}
	if now.Sub(d.orderProbedAt) < probeInterval {
		return messages
	}
	var next vrid.DaemonID
	for _, id := range d.order {
		if id == chosen {
			break
		}
		if id != preferred && d.isDown(id) && (next == "" || d.allocator(id).askedAt.Before(d.allocator(next).askedAt)) {
			next = id
		}
	}
	if next != "" {
		d.orderProbedAt = now
		messages = append(messages, d.newProbe(now, next))
	}
	return messages
}

// isDown reports whether another daemon does not answer.
func (d *Daemon) isDown(id vrid.DaemonID) bool {
	v := d.allocators[id]
	return id != d.id && v != nil && v.down
}

// newProbe returns a request that asks whether an allocator answers again.
func (d *Daemon) newProbe(now time.Time, to vrid.DaemonID) Message {
	d.allocator(to).askedAt = now
	d.number++
	request := &vrwire.QuotaRequest{Number: d.number, Registered: d.size.listed}
	d.keepDelegation(now, to, request)
	return Message{To: to, Request: request}
}

// keepDelegation repeats the delegation to an allocator in a request without prolonging it. A request without a
// delegation would end it, and with it the credit of an allocator that was only late.
func (d *Daemon) keepDelegation(now time.Time, to vrid.DaemonID, request *vrwire.QuotaRequest) {
	p, v := &d.part, d.allocator(to)
	term := p.freeAt.Add(-termMargin).Sub(v.receivedAt)
	if p.at != to || p.boot != v.boot || p.release != 0 || !now.Before(p.freeAt) || term <= 0 || !d.maySettle(now) {
		return
	}
	request.EchoBoot, request.Echo, request.Term = v.boot, v.time, term.Milliseconds()
	request.Daemons = d.size.parts(now)
}

// release ends the delegation to a former allocator that still answers, so that the part need not stay idle
// until its end. The allocator ignores earlier requests once it has this one.
func (d *Daemon) release(now time.Time, to vrid.DaemonID) (Message, bool) {
	p := &d.part
	if p.at == "" || p.at == to || !now.Before(p.freeAt) || p.release != 0 || d.allocator(p.at).down {
		return Message{}, false
	}
	d.number++
	p.release = d.number
	return Message{To: p.at, Request: &vrwire.QuotaRequest{Number: d.number, Registered: d.size.listed}}, true
}

// renewalDue reports whether the delegation has to be renewed, or the allocator's time is needed for one.
func (d *Daemon) renewalDue(now time.Time, to vrid.DaemonID) bool {
	interval := idleInterval
	if now.Sub(d.usedAt) < activeSpan && !d.usedAt.IsZero() {
		interval = activeInterval
	}
	if !d.hasRecentEcho(now, to) {
		// Another allocator is preferred. The part can move to it once its time is known.
		interval = min(interval, AnswerTimeout)
	}
	if d.maySettle(now) && d.mayMove(now, to) && d.hasRecentEcho(now, to) {
		endsSoon := d.part.freeAt.Sub(now) < renewalMargin && !d.allocator(to).receivedAt.Before(d.renewedAt)
		if d.part.at != to || endsSoon {
			return true
		}
	}
	return d.renewedAt.IsZero() || now.Sub(d.renewedAt) >= interval
}

// mayMove reports whether the part may be delegated to the present run of an allocator.
func (d *Daemon) mayMove(now time.Time, to vrid.DaemonID) bool {
	return d.part.at == "" || (d.part.at == to && d.part.boot == d.allocator(to).boot) || !now.Before(d.part.freeAt)
}

func (d *Daemon) hasRecentEcho(now time.Time, to vrid.DaemonID) bool {
	v := d.allocator(to)
	return v.boot != "" && now.Sub(v.receivedAt) < activeTerm
}

// newRequest returns a request to the allocator without needs and makes it the pending one.
func (d *Daemon) newRequest(now time.Time, to vrid.DaemonID) *vrwire.QuotaRequest {
	d.number++
	d.renewedAt = now
	d.pending = pendingRequest{to: to, number: d.number, sentAt: now}
	if v := d.allocator(to); v.silentSince.IsZero() {
		v.silentSince = now
	}
	request := &vrwire.QuotaRequest{Number: d.number, Registered: d.size.listed}
	d.delegate(now, to, request)
	return request
}

// addNeeds asks for what the waiting calls cost, and for what the listed accounts need in advance. What does not
// fit into the request is asked for by the next one.
func (d *Daemon) addNeeds(now time.Time, request *vrwire.QuotaRequest, waiting iter.Seq2[vrid.TenantID, int64]) {
	for _, p := range d.listed {
		p.urgent, p.least = 0, 0
	}
	for id, cost := range waiting {
		d.addWaiting(id, cost)
	}
	count := min(len(d.listed), vrwire.MaxQuotaItems)
	for _, p := range d.listed[:count] {
		p.listed = false
		if need, ok := p.need(now); ok {
			p.recordAsk(request.Number)
			request.Needs = append(request.Needs, need)
		}
	}
	d.listed = append(d.listed[:0], d.listed[count:]...)
}

// addWaiting adds a waiting call to the needs of its tenant.
func (d *Daemon) addWaiting(id vrid.TenantID, cost int64) {
	p := d.account(id)
	if p == nil {
		return
	}
	if !p.listed {
		p.listed, p.urgent, p.least = true, 0, 0
		d.listed = append(d.listed, p)
	}
	p.urgent += cost
	if p.least == 0 || cost < p.least {
		p.least = cost
	}
}

// need returns what a account needs beyond its credit.
func (p *account) need(now time.Time) (vrwire.QuotaNeed, bool) {
	ahead := p.ahead(now)
	need := vrwire.QuotaNeed{Tenant: p.tenant}
	if p.urgent > 0 {
		// The credit is less than the cheapest waiting call costs, because that call would have it otherwise.
		credit := p.credit()
		need.Urgent = min(max(p.urgent-credit, 1), vrwire.MaxQuotaAmount)
		need.Least = min(max(p.least-credit, 1), need.Urgent)
	}
	need.Amount = min(need.Urgent+ahead, vrwire.MaxQuotaAmount)
	return need, need.Amount > 0
}

// delegate adds the delegation to a request, if the part may be delegated to the allocator.
func (d *Daemon) delegate(now time.Time, to vrid.DaemonID, request *vrwire.QuotaRequest) {
	v := d.allocator(to)
	term := activeTerm
	if now.Sub(d.usedAt) >= activeSpan || now.Sub(v.receivedAt) > activeTerm/2 {
		term = idleTerm
	}
	until := v.receivedAt.Add(term)
	if v.boot == "" || !until.After(now) || !d.maySettle(now) || !d.mayMove(now, to) {
		return
	}
	request.EchoBoot, request.Echo, request.Term = v.boot, v.time, term.Milliseconds()
	request.Daemons = d.size.parts(now)
	if d.part.at != to || d.part.boot != v.boot {
		d.part = part{at: to, boot: v.boot}
	}
	d.part.release = 0
	d.part.freeAt = later(d.part.freeAt, until.Add(termMargin))
}

// HandleReply applies an allocator's answer and reports whether waiting calls may have credit or a denial now.
func (d *Daemon) HandleReply(now time.Time, from vrid.DaemonID, boot vrid.BootID, reply *vrwire.QuotaReply) bool {
	if reply.To != d.boot || reply.Number > d.number {
		return false
	}
	v := d.allocator(from)
	if v.boot != boot || reply.Time > v.time {
		v.boot, v.time, v.receivedAt = boot, reply.Time, now
	}
	v.down, v.silentSince = false, time.Time{}
	d.size.observe(now, reply.Daemons)
	if p := &d.part; p.release == reply.Number && p.at == from && p.boot == boot {
		d.part = part{}
	}
	if d.pending.to == from && d.pending.number > reply.Number {
		// The answer of an earlier request leaves the pending one unanswered since its sending.
		v.silentSince = d.pending.sentAt
	}
	var sentAt time.Time
	switch {
	case d.pending.to == from && d.pending.number == reply.Number:
		sentAt, d.pending = d.pending.sentAt, pendingRequest{}
	case d.late.to == from && d.late.number == reply.Number:
		sentAt, d.late = d.late.sentAt, pendingRequest{}
	default:
		return false
	}
	for i := range reply.Grants {
		d.applyGrant(now, sentAt, reply.Number, &reply.Grants[i])
	}
	return len(reply.Grants) > 0
}

// applyGrant adds granted credit, which counts from the sending of the request: however late the answer is,
// the credit is not spent later than its life after the allocator has granted it.
func (d *Daemon) applyGrant(now, sentAt time.Time, number uint64, grant *vrwire.QuotaGrant) {
	p := d.accounts[grant.Tenant]
	if p == nil {
		return
	}
	if until := sentAt.Add(p.limit.Life); now.Before(until) {
		p.decay(now)
		p.granted += float64(grant.Granted)
		p.add(grant.Granted, until)
	} else if grant.Granted > 0 {
		d.counts.Expired++
	}
	least := p.leastAsked(number)
	switch {
	case grant.RetryAfter > 0 && least > 0:
		p.denied = denial{until: now.Add(time.Duration(grant.RetryAfter) * time.Millisecond), need: least}
	case grant.Granted > 0:
		p.denied = denial{}
	case least > 0:
		// What is denied in advance says nothing about the waiting calls.
		d.askAt = now.Add(askAgainDelay)
	}
}
