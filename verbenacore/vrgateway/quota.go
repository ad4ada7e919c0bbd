package vrgateway

import (
	"iter"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrquota"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// minQuotaWait is how long a call waits for credit: for the answers of two allocators, or for its latency target
	// up to maxQuotaWait. After a start, or a change of the allocator, credit accrues from nothing.
	minQuotaWait = 2 * vrquota.AnswerTimeout
	maxQuotaWait = 2 * time.Second
	// maxQuotaPolls limits the requests of one event if this daemon is its own allocator: one to learn its
	// time, one to delegate its part, and one for what the calls need that its answer lets be sent.
	maxQuotaPolls = 3
	// maxReportedQuotas limits the tenants whose credit the metrics show.
	maxReportedQuotas = 32
)

// quotaState holds this daemon's part of the quotas, and the calls that wait for credit.
type quotaState struct {
	// active is set while the catalog limits a tenant. daemon and allocator are nil before the first catalog.
	active    bool
	daemon    *vrquota.Daemon
	allocator *vrquota.Allocator
	// waiting are the calls that wait for credit, in the order of their arrival.
	waiting []*call
	// needs yields the tenant and the cost of each of them.
	needs iter.Seq2[vrid.TenantID, int64]
	// polling is set while requests are made or calls get credit, so that a call that has to wait meanwhile
	// makes no request of its own.
	polling bool
	refused uint64
}

// callQuota is the credit of a call.
type callQuota struct {
	// tried is set once the call has asked for credit, charged while it has it.
	tried, charged bool
	charge         vrquota.Charge
	// waiting is set while the call waits for credit, since waitingSince.
	waiting      bool
	waitingSince time.Time
	// refused is set if the call was refused because its tenant has reached its limit.
	refused bool
}

// QuotaCredit is the credit of a tenant at this daemon as an allocator.
type QuotaCredit struct {
	Tenant vrid.TenantID
	Credit float64
}

// QuotaCounts holds the running totals of quotas for the metrics.
type QuotaCounts struct {
	// Grants and Denials count this daemon's answers as an allocator.
	Grants, Denials uint64
	// Expired counts the grants to this daemon of which a part was not spent in time.
	Expired uint64
	// Refused counts the calls that this daemon refused because of a quota.
	Refused uint64
}

// QuotaCounts returns the running totals of quotas.
func (s *State) QuotaCounts() QuotaCounts {
	q := &s.quota
	if q.daemon == nil {
		return QuotaCounts{}
	}
	counts := q.allocator.Counts()
	return QuotaCounts{Grants: counts.Grants, Denials: counts.Denials, Expired: q.daemon.Counts().Expired, Refused: q.refused}
}

// QuotaCredits returns the credit of the first tenants with a quota, if parts are delegated to this daemon.
func (s *State) QuotaCredits(now time.Time) []QuotaCredit {
	if s.quota.allocator == nil {
		return nil
	}
	var credits []QuotaCredit
	s.quota.allocator.Credit(now, func(tenant vrid.TenantID, credit float64) bool {
		credits = append(credits, QuotaCredit{Tenant: tenant, Credit: credit})
		return len(credits) < maxReportedQuotas
	})
	return credits
}

// QuotaShare returns the share of all quotas that is delegated to this daemon.
func (s *State) QuotaShare(now time.Time) float64 {
	if s.quota.allocator == nil {
		return 0
	}
	return s.quota.allocator.Share(now)
}

// setQuotaCatalog applies the quotas of the catalog in force. Calls that wait for credit go on waiting or, if
// their tenant has no limit any more, are dispatched by the next tick.
func (s *State) setQuotaCatalog(now time.Time) {
	q := &s.quota
	q.active = false
	for i := range s.catalog.Tenants {
		q.active = q.active || s.catalog.Tenants[i].Quota.Rate > 0
	}
	if q.daemon == nil {
		bounds := vrquota.Bounds{Window: s.opts.Bounds.QuotaWindow, Overrun: s.opts.Bounds.QuotaOverrun, Slack: s.opts.Bounds.QuotaSlack}
		q.daemon = vrquota.NewDaemon(s.startedAt, s.opts.Daemon, s.opts.Boot, bounds)
		if !s.opts.FirstStart {
			q.daemon.MarkFleetKnown()
		}
		q.allocator = vrquota.NewAllocator(now, s.opts.Boot, bounds)
		q.needs = s.waitingNeeds()
		s.setQuotaDaemons(now)
	}
	q.daemon.SetCatalog(s.catalog)
	q.allocator.SetCatalog(now, s.catalog)
}

// setQuotaDaemons records the registered daemons.
func (s *State) setQuotaDaemons(now time.Time) {
	if s.quota.daemon == nil || len(s.peers) == 0 {
		return
	}
	ids := make([]vrid.DaemonID, len(s.peers))
	for i, peer := range s.peers {
		ids[i] = peer.Daemon
	}
	s.quota.daemon.SetDaemons(now, ids)
	s.quota.allocator.SetDaemons(now, len(ids))
}

// cost returns what the call counts towards its tenant's quota. Clients may declare any number of tokens.
func (c *call) cost() int64 {
	return min(c.tenant.Cost(c.PromptTokens, c.OutputTokens, c.DeclaresTokens), vrwire.MaxQuotaAmount)
}

// refuseOverQuota refuses a call on its arrival if its tenant is known to have reached its limit.
func (s *State) refuseOverQuota(now time.Time, c *call, out *vrevent.Effects) bool {
	if !s.quota.active || c.tenant == nil {
		return false
	}
	wait := s.quota.daemon.Check(now, c.tenant.ID, c.cost())
	if wait <= 0 {
		return false
	}
	s.endOverQuota(now, c, wait, out)
	return true
}

// endOverQuota refuses a call whose tenant has reached its limit. wait is when the first of its calls can have credit.
func (s *State) endOverQuota(now time.Time, c *call, wait time.Duration, out *vrevent.Effects) {
	retryAfter := s.quota.daemon.Refuse(now, c.tenant.ID, c.cost(), wait)
	s.quota.refused++
	c.quota.refused = true
	s.endCall(now, c, vrwire.ReasonQuotaExceeded, retryAfter, out)
}

// takeQuota takes the credit for a call directly before it is sent, and reports whether it may be sent now.
// Otherwise the call waits for credit and is then dispatched anew, or was refused. What may have run already
// is sent again without credit, as is what was charged so recently that the bound holds if it runs now.
func (s *State) takeQuota(now time.Time, c *call, out *vrevent.Effects) bool {
	if !s.quota.active || c.tenant == nil || c.possibleRuns > 0 || c.responseStarted {
		return true
	}
	if c.quota.charged && now.Before(c.quota.charge.SendUntil) {
		return true
	}
	verdict, charge, wait := s.quota.daemon.Take(now, c.tenant.ID, c.cost(), !c.quota.tried)
	c.quota.tried = true
	switch verdict {
	case vrquota.Charged:
		s.leaveQuota(c)
		c.quota.charge, c.quota.charged = charge, !charge.SendUntil.IsZero()
		if s.quota.daemon.AsksAhead() {
			s.pollQuota(now, out)
		}
		return true
	case vrquota.Denied:
		s.endOverQuota(now, c, wait, out)
	case vrquota.Unknown:
		s.waitForQuota(now, c)
		s.pollQuota(now, out)
	}
	return false
}

// waitForQuota adds a call to those that wait for credit.
func (s *State) waitForQuota(now time.Time, c *call) {
	if c.quota.waiting {
		return
	}
	c.quota.waiting, c.quota.waitingSince, c.quota.charged = true, now, false
	s.quota.waiting = append(s.quota.waiting, c)
}

// leaveQuota removes a call from those that wait for credit.
func (s *State) leaveQuota(c *call) {
	if !c.quota.waiting {
		return
	}
	c.quota.waiting = false
	s.quota.waiting = slices.DeleteFunc(s.quota.waiting, func(other *call) bool { return other == c })
}

// endQuota ends the use of credit by a call that ends, and takes it back if the call certainly did not run.
func (s *State) endQuota(now time.Time, c *call) {
	s.leaveQuota(c)
	if c.quota.charged && c.possibleRuns == 0 && c.server == nil && c.hedge == nil {
		s.quota.daemon.Return(now, c.tenant.ID, c.quota.charge)
	}
	c.quota.charged = false
}

// quotaFields returns the log fields of a call that was refused because of a quota.
func (s *State) quotaFields(c *call) []vrevent.LogField {
	if !c.quota.refused {
		return nil
	}
	return []vrevent.LogField{decimal("limit", c.tenant.Quota.Rate)}
}

// waitingNeeds yields the tenant and the cost of each call that waits for credit.
func (s *State) waitingNeeds() iter.Seq2[vrid.TenantID, int64] {
	return func(yield func(vrid.TenantID, int64) bool) {
		for _, c := range s.quota.waiting {
			if !yield(c.tenant.ID, c.cost()) {
				return
			}
		}
	}
}

// pollQuota sends the requests that are due. If this daemon is its own allocator, it answers itself.
func (s *State) pollQuota(now time.Time, out *vrevent.Effects) {
	q := &s.quota
	if q.polling {
		return
	}
	q.polling = true
	defer func() { q.polling = false }()
	for range maxQuotaPolls {
		answered := false
		for _, message := range q.daemon.Poll(now, s.owner.daemon, q.needs) {
			if message.To != s.opts.Daemon {
				s.sendQuota(message.To, &vrwire.Notices{QuotaRequest: message.Request}, out)
				continue
			}
			reply := q.allocator.Handle(now, s.opts.Daemon, s.opts.Boot, message.Request)
			if reply != nil && q.daemon.HandleReply(now, s.opts.Daemon, s.opts.Boot, reply) {
				s.dispatchCharged(now, out)
			}
			answered = true
		}
		if !answered {
			return
		}
	}
}

// sendQuota sends a message to another daemon, if its address is known.
func (s *State) sendQuota(to vrid.DaemonID, notices *vrwire.Notices, out *vrevent.Effects) {
	for i := range s.peers {
		if s.peers[i].Daemon == to {
			out.Add(vrevent.SendPeer{Peer: to, Address: s.peers[i].Address, Envelope: &vrwire.Envelope{Notices: notices}})
			return
		}
	}
	s.quota.daemon.MarkUnreachable(to)
}

// markQuotaUnreachable asks another allocator at once if the present one can't be reached.
func (s *State) markQuotaUnreachable(now time.Time, peer vrid.DaemonID, out *vrevent.Effects) {
	if !s.quota.active {
		return
	}
	s.quota.daemon.MarkUnreachable(peer)
	s.pollQuota(now, out)
}

// dispatchCharged dispatches the calls for which there is credit, and refuses those that are denied it.
func (s *State) dispatchCharged(now time.Time, out *vrevent.Effects) {
	for _, c := range slices.Clone(s.quota.waiting) {
		if c.quota.waiting && s.quota.daemon.Decides(now, c.tenant.ID, c.cost()) {
			s.dispatch(now, c, out)
		}
	}
}

// handleQuotaMessage handles a message about quotas and reports whether it was one.
func (s *State) handleQuotaMessage(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) bool {
	notices, q := envelope.Notices, &s.quota
	if notices == nil || (notices.QuotaRequest == nil && notices.QuotaReply == nil) {
		return false
	}
	if q.daemon == nil {
		return true
	}
	if request := notices.QuotaRequest; request != nil {
		if reply := q.allocator.Handle(now, envelope.From, envelope.Boot, request); reply != nil {
			s.sendQuota(envelope.From, &vrwire.Notices{QuotaReply: reply}, out)
		}
	}
	if reply := notices.QuotaReply; reply != nil {
		if q.daemon.HandleReply(now, envelope.From, envelope.Boot, reply) {
			q.polling = true
			s.dispatchCharged(now, out)
			q.polling = false
		}
		if q.active {
			s.pollQuota(now, out)
		}
	}
	return true
}

// tickQuota sends the requests that are due and ends the wait of the calls that had no answer in time.
func (s *State) tickQuota(now time.Time, out *vrevent.Effects) {
	q := &s.quota
	if q.daemon == nil || (!q.active && len(q.waiting) == 0) {
		return
	}
	for _, c := range slices.Clone(q.waiting) {
		switch {
		case !c.quota.waiting:
			// A call before it was sent with credit that this one waited for, or refused, too.
		case s.isPastDeadline(now, c):
			s.endPastDeadline(now, c, out)
		case !q.active || !q.daemon.IsLimited(c.tenant.ID):
			s.leaveQuota(c)
			s.dispatch(now, c, out)
		case now.Sub(c.quota.waitingSince) >= min(max(c.route.Target, minQuotaWait), maxQuotaWait):
			s.endCall(now, c, vrwire.ReasonNoReplica, shortRetryAfter, out)
		}
	}
	if q.active {
		s.pollQuota(now, out)
	}
}

// endQuotaWaits refuses the calls that wait for credit, because the daemon stops.
func (s *State) endQuotaWaits(now time.Time, out *vrevent.Effects) {
	for _, c := range slices.Clone(s.quota.waiting) {
		s.endCall(now, c, vrwire.ReasonShuttingDown, shortRetryAfter, out)
	}
}
