package vrreducer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrclaim"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// claimReplyTimeout is how long a shard's owner may take to answer a claim. After
	// that, this daemon writes the claim itself, unless the key is known to be held.
	claimReplyTimeout = 500 * time.Millisecond
	// claimPollInterval is the pause before a key that another daemon holds is
	// requested again.
	claimPollInterval = 200 * time.Millisecond
	// outcomeResendInterval is the pause before an unacknowledged outcome is sent
	// again.
	outcomeResendInterval = time.Second
	// lookUpGrace is how long after its deadline a request may wait for an outcome
	// lookup: a call that timed out can only be looked up after its deadline.
	lookUpGrace = 500 * time.Millisecond
	// lookUpTimeout limits the lookup of an outcome at one application server.
	lookUpTimeout = 2 * time.Second
)

// claimState is a daemon's state of idempotency keys: the outcomes of its own requests
// that are not durable yet, and the claim logs that it writes.
type claimState struct {
	logs map[uint32]*vrclaim.Log
	// outcomes are the outcomes of claimed calls that no log has acknowledged.
	outcomes map[vrid.RequestID]*unackedOutcome
}

type unackedOutcome struct {
	entry  vrwire.ClaimEntry
	shard  uint32
	sentAt time.Time
	sends  int
}

// keyClaim is the state of a request's claim on its idempotency key.
type keyClaim struct {
	shard uint32
	// requestedAt is when the claim was last requested.
	requestedAt time.Time
	// retryAt is when it is requested again.
	retryAt time.Time
	// directWrite is set once the claim is written by this daemon instead of the
	// shard's owner.
	directWrite bool
	// granted is set once the claim is durable.
	granted bool
	// existing is the log's entry for another request with the same key.
	existing *vrwire.ClaimEntry
	// lookUpServers are the addresses of the application servers that have not been
	// asked for the outcome yet.
	lookUpServers   []string
	lookUpStartedAt time.Time
	attemptEnd      vrevent.AttemptEnded
}

func newClaimState() claimState {
	return claimState{logs: make(map[uint32]*vrclaim.Log), outcomes: make(map[vrid.RequestID]*unackedOutcome)}
}

func (s *State) claimLog(shard uint32) *vrclaim.Log {
	log := s.claims.logs[shard]
	if log == nil {
		retention := 24 * time.Hour
		if index := s.configStore.Current(); index != nil {
			retention = index.Fleet.Claims.Retention.Std()
		}
		log = vrclaim.NewLog(shard, retention, s.ops)
		s.claims.logs[shard] = log
	}
	return log
}

// startClaim requests the key of a call that may run only once.
func (s *State) startClaim(now time.Time, r *request, out *vrevent.Effects) {
	r.phase = phaseClaiming
	r.claim.shard = vrclaim.Shard(r.Service, r.Key, s.configStore.Current().Fleet.Claims.Shards)
	s.requestClaim(now, r, out)
	if vrfault.On(vrfault.DispatchBeforeClaim) {
		r.claim.granted = true
		s.enqueue(now, r, out)
	}
}

func (s *State) requestClaim(now time.Time, r *request, out *vrevent.Effects) {
	r.claim.requestedAt = now
	r.claim.retryAt = now.Add(claimReplyTimeout)
	entry := s.claimEntry(r, vrwire.ClaimClaimed)
	owner, local := s.shardOwner(r.claim.shard)
	if local || r.claim.directWrite || owner.Address == "" {
		s.claimLog(r.claim.shard).Claim(now, entry, s.opts.Daemon, r.Deadline)
		s.claimLog(r.claim.shard).Tick(now, out)
		return
	}
	s.send(owner, &vrwire.Envelope{ClaimRequest: &vrwire.ClaimRequest{
		Shard: r.claim.shard, Entry: entry, Deadline: r.Deadline.UnixMilli(),
	}}, out)
}

func (s *State) claimEntry(r *request, state vrwire.ClaimState) vrwire.ClaimEntry {
	return vrwire.ClaimEntry{
		Service: r.Service, Key: r.Key, State: state, Daemon: s.opts.Daemon, Boot: s.opts.Boot,
		Request: r.ID, Digest: r.Digest,
	}
}

// shardOwner returns the daemon that writes the batches of a shard, and whether it is
// this one.
func (s *State) shardOwner(shard uint32) (vrmember.Peer, bool) {
	home := vrclaim.HomeZone(shard, s.configStore.Current().Fleet.Zones())
	if home == s.opts.Zone {
		if s.lease.Holding() {
			return vrmember.Peer{}, true
		}
		return s.membership.Owner(), false
	}
	remote, ok := s.membership.View().Remote[home]
	if !ok {
		return vrmember.Peer{}, false
	}
	return vrmember.Peer{Daemon: remote.Owner, Address: remote.Peer}, false
}

// tickClaims drives the claim logs, requests unanswered claims again and resends
// outcomes.
func (s *State) tickClaims(now time.Time, out *vrevent.Effects) {
	for _, shard := range sortedKeys(s.claims.logs) {
		s.claims.logs[shard].Tick(now, out)
	}
	for _, id := range sortedKeys(s.requests) {
		r := s.requests[id]
		if r == nil {
			continue
		}
		switch r.phase {
		case phaseClaiming:
			s.tickClaiming(now, r, out)
		case phaseLookingUp:
			if now.Sub(r.claim.lookUpStartedAt) > lookUpTimeout || !now.Before(r.Deadline.Add(lookUpGrace)) {
				s.nextLookUp(now, r, out)
			}
		case phaseQueued, phaseDispatched:
		}
	}
	for _, id := range sortedKeys(s.claims.outcomes) {
		o := s.claims.outcomes[id]
		if now.Sub(o.sentAt) >= outcomeResendInterval {
			s.sendOutcome(now, o, out)
		}
	}
}

func (s *State) tickClaiming(now time.Time, r *request, out *vrevent.Effects) {
	if !now.Before(r.Deadline) {
		s.claimDeadlinePassed(now, r, out)
		return
	}
	if now.Before(r.claim.retryAt) {
		return
	}
	// The owner did not answer. A direct write is safe because it depends on the
	// object's version.
	if r.claim.existing == nil {
		r.claim.directWrite = true
	}
	s.requestClaim(now, r, out)
}

// claimDeadlinePassed refuses a request whose claim was not decided in time. This
// request was never dispatched.
func (s *State) claimDeadlinePassed(now time.Time, r *request, out *vrevent.Effects) {
	if r.claim.existing != nil {
		s.refuseWithRan(now, r, vrwire.ReasonOutcomeUnknown, vrrecord.RanUnknown, time.Second, out)
		return
	}
	s.refuse(now, r, vrwire.ReasonClaimUnavailable, time.Second, out)
}

// deliverClaimAnswers passes the logs' decisions to the daemons that requested them.
func (s *State) deliverClaimAnswers(now time.Time, out *vrevent.Effects) {
	for _, shard := range sortedKeys(s.claims.logs) {
		for _, answer := range s.claims.logs[shard].TakeAnswers() {
			reply := &vrwire.ClaimReply{Shard: shard, Request: answer.Request, State: answer.State, Entry: answer.Entry}
			if answer.Entry != nil && answer.State == vrwire.ClaimClaimed {
				reply.HolderGone = s.runEnded(answer.Entry.Daemon, answer.Entry.Boot)
			}
			if answer.Daemon == s.opts.Daemon {
				s.handleClaimReply(now, reply, out)
				continue
			}
			s.send(s.peerOf(answer.Daemon), &vrwire.Envelope{ClaimReply: reply}, out)
		}
	}
}

// handleClaimRequest serves another daemon's claim as the owner of a shard.
func (s *State) handleClaimRequest(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	request := envelope.ClaimRequest
	log := s.claimLog(request.Shard)
	log.Claim(now, request.Entry, envelope.From, time.UnixMilli(request.Deadline))
	log.Tick(now, out)
}

func (s *State) handleOutcomeReport(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	log := s.claimLog(envelope.OutcomeReport.Shard)
	for _, entry := range envelope.OutcomeReport.Entries {
		log.RecordOutcome(now, entry, envelope.From)
	}
	log.Tick(now, out)
}

// handleClaimReply handles the answer to a claim or to a reported outcome.
func (s *State) handleClaimReply(now time.Time, reply *vrwire.ClaimReply, out *vrevent.Effects) {
	if o := s.claims.outcomes[reply.Request]; o != nil && o.entry.State == reply.State {
		delete(s.claims.outcomes, reply.Request)
		return
	}
	r := s.requests[reply.Request]
	if r == nil || r.phase != phaseClaiming {
		s.releaseOrphanedClaim(now, reply, out)
		return
	}
	switch reply.State {
	case vrwire.ClaimGranted:
		r.claim.granted = true
		r.claim.existing = nil
		s.enqueue(now, r, out)
	case vrwire.ClaimDone:
		s.replayAnswer(now, r, reply.Entry, out)
	case vrwire.ClaimUnknown:
		r.claim.existing = reply.Entry
		s.startLookUp(now, r, vrevent.AttemptEnded{}, out)
	case vrwire.ClaimClaimed:
		r.claim.existing = reply.Entry
		r.claim.retryAt = now.Add(claimPollInterval)
		if reply.HolderGone {
			s.startLookUp(now, r, vrevent.AttemptEnded{}, out)
		}
	case vrwire.ClaimMismatch:
		s.refuse(now, r, vrwire.ReasonIdempotencyKeyReused, 0, out)
	case vrwire.ClaimReleased, vrwire.ClaimUnavailable:
		r.claim.retryAt = now.Add(claimPollInterval)
	}
}

// releaseOrphanedClaim releases a claim whose request was refused before the claim was
// durable. It leaves the claims of an earlier run of this daemon alone, because that
// run may have sent the call.
func (s *State) releaseOrphanedClaim(now time.Time, reply *vrwire.ClaimReply, out *vrevent.Effects) {
	unrequested := reply.State == vrwire.ClaimGranted && reply.Entry != nil && s.requests[reply.Request] == nil
	if !unrequested || reply.Entry.Daemon != s.opts.Daemon || reply.Entry.Boot != s.opts.Boot || s.claims.outcomes[reply.Request] != nil {
		return
	}
	entry := *reply.Entry
	entry.State = vrwire.ClaimReleased
	s.addOutcome(now, entry, reply.Shard, out)
}

// replayAnswer answers a request with the stored answer of the first call.
func (s *State) replayAnswer(now time.Time, r *request, stored *vrwire.ClaimEntry, out *vrevent.Effects) {
	out.Add(vrevent.Replay{
		Request: r.ID, Status: int(stored.Status), ContentType: stored.ContentType, Body: stored.Body,
	})
	entry := s.terminalEntry(now, r, "", vrrecord.RanYes)
	entry.Status = stored.Status
	entry.Text = "replayed " + string(stored.Request)
	s.finish(now, r, entry, out)
}

// recordClaimOutcome reports how a claimed call ended.
func (s *State) recordClaimOutcome(now time.Time, r *request, state vrwire.ClaimState, event vrevent.AttemptEnded, out *vrevent.Effects) {
	if !r.claim.granted {
		return
	}
	entry := s.claimEntry(r, state)
	if state == vrwire.ClaimDone {
		entry.Status = uint32(event.Status)
		entry.ContentType = event.ContentType
		entry.Body = vrclaim.DropOversizedBody(event.Body)
	}
	s.addOutcome(now, entry, r.claim.shard, out)
}

// releaseClaim releases the key of a call that was provably not sent.
func (s *State) releaseClaim(now time.Time, r *request, out *vrevent.Effects) {
	if r.Service == "" || r.Idempotent || r.claim.existing != nil || r.claim.requestedAt.IsZero() {
		return
	}
	// The claim may still become durable later; the release comes after it in the same
	// log.
	s.addOutcome(now, s.claimEntry(r, vrwire.ClaimReleased), r.claim.shard, out)
}

func (s *State) addOutcome(now time.Time, entry vrwire.ClaimEntry, shard uint32, out *vrevent.Effects) {
	o := &unackedOutcome{entry: entry, shard: shard}
	s.claims.outcomes[entry.Request] = o
	s.sendOutcome(now, o, out)
}

// sendOutcome sends an outcome to the shard's owner. If the owner's address is unknown or
// it has not acknowledged the outcome after maxOwnerSends, this daemon writes it itself.
func (s *State) sendOutcome(now time.Time, o *unackedOutcome, out *vrevent.Effects) {
	o.sentAt = now
	o.sends++
	const maxOwnerSends = 2
	owner, local := s.shardOwner(o.shard)
	if local || owner.Address == "" || o.sends > maxOwnerSends {
		s.claimLog(o.shard).RecordOutcome(now, o.entry, s.opts.Daemon)
		return
	}
	s.send(owner, &vrwire.Envelope{OutcomeReport: &vrwire.OutcomeReport{
		Shard: o.shard, Entries: []vrwire.ClaimEntry{o.entry},
	}}, out)
}

// startLookUp asks the service's application servers, one after the other, how a call
// with an unknown outcome ended.
func (s *State) startLookUp(now time.Time, r *request, result vrevent.AttemptEnded, out *vrevent.Effects) {
	r.phase = phaseLookingUp
	r.claim.attemptEnd = result
	r.claim.lookUpServers = nil
	if r.OutcomePath != "" {
		if service := s.configStore.Current().Service(r.Service); service != nil {
			r.claim.lookUpServers = s.routingTable.Addresses(service.Pool)
		}
	}
	s.nextLookUp(now, r, out)
}

func (s *State) nextLookUp(now time.Time, r *request, out *vrevent.Effects) {
	if len(r.claim.lookUpServers) == 0 || !now.Before(r.Deadline.Add(lookUpGrace)) {
		if r.claim.existing == nil {
			s.recordClaimOutcome(now, r, vrwire.ClaimUnknown, r.claim.attemptEnd, out)
		}
		s.refuseWithRan(now, r, vrwire.ReasonOutcomeUnknown, vrrecord.RanUnknown, 0, out)
		return
	}
	address := r.claim.lookUpServers[0]
	r.claim.lookUpServers = r.claim.lookUpServers[1:]
	r.claim.lookUpStartedAt = now
	out.Add(vrevent.LookUpOutcome{Request: r.ID, Address: address, Path: r.OutcomePath, Key: r.Key})
}

// outcomeLookedUp finishes a request whose outcome was found. A server that doesn't
// know the call proves nothing, since the call may still be on its way.
func (s *State) outcomeLookedUp(now time.Time, event vrevent.OutcomeLookedUp, out *vrevent.Effects) {
	r := s.requests[event.Request]
	if r == nil || r.phase != phaseLookingUp {
		return
	}
	if !event.Found {
		s.nextLookUp(now, r, out)
		return
	}
	found := s.claimEntry(r, vrwire.ClaimDone)
	if r.claim.existing != nil {
		found = *r.claim.existing
		found.State = vrwire.ClaimDone
	}
	found.Status = uint32(event.Status)
	found.ContentType = event.ContentType
	found.Body = vrclaim.DropOversizedBody(event.Body)
	s.addOutcome(now, found, r.claim.shard, out)
	stored := found
	stored.Body = event.Body
	s.replayAnswer(now, r, &stored, out)
}

// pendingClaimWork counts the unacknowledged outcomes and the busy logs, for which a
// shutdown has to wait.
func (s *State) pendingClaimWork() int {
	pending := len(s.claims.outcomes)
	for _, log := range s.claims.logs {
		if !log.Idle() {
			pending++
		}
	}
	return pending
}

// sortedKeys returns a map's keys in sorted order, so that a run with the same seed
// repeats exactly.
func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
