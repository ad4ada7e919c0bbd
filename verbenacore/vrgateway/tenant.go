package vrgateway

import (
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrwire"
)

// Each daemon decides by its own catalog which API keys are valid. An operator who withdraws a key relies on
// that no daemon runs a request with it once Bounds.Revocation has passed, so a key is accepted only as long as
// the catalog is proved to have been the newest within that time (see proof.go). A call is judged at its
// arrival and again directly before each send, because it may wait for long in between and the machine may be
// suspended meanwhile.

const (
	// acceptMargin is how long before the end of Bounds.Revocation a key is accepted for the last time, and
	// sendMargin how long before it a request with the key is written for the last time. The time between the
	// two is that of a connection to the server.
	acceptMargin = 500 * time.Millisecond
	sendMargin   = 100 * time.Millisecond
	// unknownMargin is how long before the end of Bounds.CatalogApply a key counts as unknown for the last
	// time. A newer catalog may have added it.
	unknownMargin = 500 * time.Millisecond
	// maxProofWait is how long a call waits for a proof of its key, if that is less than half of the route's
	// latency target. A reply of another region takes 20 ms, and three queries fit in the time.
	maxProofWait = 250 * time.Millisecond
	// lostStoreRetryAfter is the Retry-After of a call whose key can't be verified while the store is
	// unavailable.
	lostStoreRetryAfter = time.Second
)

// keyVerdict says whether a call may run by its API key.
type keyVerdict uint8

// Verdicts about the API key of a call.
const (
	// keyAccepted: the call needs no key, or its key is valid.
	keyAccepted keyVerdict = iota + 1
	// keyUnknown: the call has no key, or one that no tenant holds.
	keyUnknown
	// keyUnverified: a newer catalog may say otherwise.
	keyUnverified
)

// needsKey reports whether a call needs an API key: the catalog lists tenants, and the route isn't public.
func (s *State) needsKey(c *call) bool {
	return s.catalog.HasTenants() && !c.route.Public
}

// findTenant returns the tenant of a call by the catalog in force, or nil if the call needs no API key or
// carries none that the catalog knows.
func (s *State) findTenant(c *call) *vrcatalog.Tenant {
	if !c.HasKey || !s.needsKey(c) {
		return nil
	}
	return s.catalog.TenantByKey(c.Key)
}

// judgeKey judges a call by its API key and sets its tenant if the key is accepted.
func (s *State) judgeKey(now time.Time, c *call) keyVerdict {
	tenant := s.findTenant(c)
	switch {
	case !s.needsKey(c) || (tenant != nil && s.provesKnown(now)):
		s.changeTenant(c, tenant)
		return keyAccepted
	case tenant == nil && s.provesUnknown(now):
		return keyUnknown
	default:
		return keyUnverified
	}
}

// changeTenant sets the tenant of a call by the catalog in force. Credit of another tenant does not count for it.
func (s *State) changeTenant(c *call, tenant *vrcatalog.Tenant) {
	if c.tenant != nil && (tenant == nil || tenant.ID != c.tenant.ID) {
		s.leaveQuota(c)
		c.quota.charged = false
	}
	c.tenant = tenant
}

// provesKnown reports whether the catalog in force proves that its keys are valid.
func (s *State) provesKnown(now time.Time) bool {
	revocation := s.opts.Bounds.Revocation
	return revocation <= 0 || s.proof.age(now) <= revocation-acceptMargin
}

// provesUnknown reports whether the catalog in force proves that no other key is valid. Without a limit of the
// revocation no proofs are collected, and the daemon relies on its contact with the store.
func (s *State) provesUnknown(now time.Time) bool {
	if s.opts.Bounds.Revocation <= 0 {
		return !s.store.lost
	}
	return s.proof.age(now) <= s.opts.Bounds.CatalogApply-unknownMargin
}

// setTenant sets what a send says about the tenant of its call, which was judged at this time.
func (s *State) setTenant(c *call, effect *vrevent.SendCall) {
	effect.HasTenants = s.catalog.HasTenants()
	if c.tenant == nil {
		return
	}
	effect.Tenant = c.tenant.ID
	if revocation := s.opts.Bounds.Revocation; revocation > 0 {
		effect.AuthorizedUntil = s.proof.at.Add(revocation - sendMargin)
	}
}

// authorize reports whether a call may run by its API key. If not, it ends the call or makes it wait for a
// proof.
func (s *State) authorize(now time.Time, c *call, out *vrevent.Effects) bool {
	switch s.judgeKey(now, c) {
	case keyAccepted:
		s.stopVerifying(c)
		c.unverifiedSince = time.Time{}
		s.countDemandArrival(c)
		return true
	case keyUnknown:
		s.endUnknownKey(now, c, out)
	default:
		s.awaitProof(now, c, out)
	}
	return false
}

// endUnknownKey ends a call whose API key no tenant holds: as any call that fails if it may have run.
func (s *State) endUnknownKey(now time.Time, c *call, out *vrevent.Effects) {
	if c.possibleRuns > 0 || c.responseStarted {
		s.endFailedCall(now, c, out)
		return
	}
	s.refuse(now, c, vrwire.ReasonTenantUnknown, 0, out)
}

// awaitProof makes a call wait for a proof of its API key, or ends it if it has waited for long enough or no
// proof can be expected. A stream that has begun waits in any case, because its client can't be refused.
func (s *State) awaitProof(now time.Time, c *call, out *vrevent.Effects) {
	if c.unverifiedSince.IsZero() {
		c.unverifiedSince = now
	}
	if now.Sub(c.unverifiedSince) >= c.proofWait() || (!c.responseStarted && !s.expectsProof(now)) {
		s.endUnverified(now, c, out)
		return
	}
	if !c.unverified {
		c.unverified = true
		s.unverified = append(s.unverified, c)
	}
}

// proofWait returns how long the call waits for a proof of its API key. The client of a stream that has begun
// can't be refused any more, so the stream waits for longer.
func (c *call) proofWait() time.Duration {
	switch {
	case c.responseStarted:
		return c.patience() / 2
	case c.route.Target > 0:
		return min(maxProofWait, c.route.Target/2)
	default:
		return maxProofWait
	}
}

// endUnverified ends a call whose API key can't be verified: as any call that fails if it may have run.
func (s *State) endUnverified(now time.Time, c *call, out *vrevent.Effects) {
	if c.possibleRuns > 0 || c.responseStarted {
		s.endFailedCall(now, c, out)
		return
	}
	retryAfter := shortRetryAfter
	if s.store.lost {
		retryAfter = lostStoreRetryAfter
	}
	s.refuse(now, c, vrwire.ReasonKeyUnverified, retryAfter, out)
}

// stopVerifying removes a call from those that wait for a proof of their API key.
func (s *State) stopVerifying(c *call) {
	if !c.unverified {
		return
	}
	c.unverified = false
	s.unverified = slices.DeleteFunc(s.unverified, func(other *call) bool { return other == c })
}

// dispatchUnverified dispatches the calls for whose API keys there is a proof now, and ends those that have
// waited for too long.
func (s *State) dispatchUnverified(now time.Time, out *vrevent.Effects) {
	for _, c := range slices.Clone(s.unverified) {
		switch {
		case s.isPastDeadline(now, c):
			s.endPastDeadline(now, c, out)
		case s.judgeKey(now, c) == keyUnverified:
			s.awaitProof(now, c, out)
		default:
			s.stopVerifying(c)
			s.dispatch(now, c, out)
		}
	}
}

// tickKeys dispatches or ends the calls that wait for a proof and, after a change of the catalog, ends the
// other waiting calls whose keys it has dropped. They would be refused before they are sent, but only then.
func (s *State) tickKeys(now time.Time, out *vrevent.Effects) {
	s.dispatchUnverified(now, out)
	if s.catalog == nil || s.judgedVersion == s.catalog.Version || !s.provesUnknown(now) {
		return
	}
	s.judgedVersion = s.catalog.Version
	waiting := slices.Clone(s.quarantine.held)
	for _, key := range s.waitingTargets() {
		waiting = append(waiting, s.waitLists[key].calls...)
	}
	for _, c := range waiting {
		if s.judgeKey(now, c) == keyUnknown {
			s.endUnknownKey(now, c, out)
		}
	}
}
