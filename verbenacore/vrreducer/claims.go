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
	// claimTimeout is how long the owner of a shard may take before the claim is asked
	// for again, the second time by a direct write.
	claimTimeout = 500 * time.Millisecond
	// claimPoll is the pause before a key that another daemon holds is asked for again.
	claimPoll = 200 * time.Millisecond
	// outcomeRetry is the pause before an unacknowledged outcome is sent again.
	outcomeRetry = time.Second
	// lookUpGrace is how long after its deadline a caller may wait for a lookup: a call
	// that timed out can only be looked up then.
	lookUpGrace = 500 * time.Millisecond
	// lookUpTime bounds the lookup of one outcome at an application server.
	lookUpTime = 2 * time.Second
)

// claims is a daemon's part in idempotency keys: its own requests, the outcomes that
// are not durable yet, and the logs that it extends.
type claims struct {
	logs map[uint32]*vrclaim.Log
	// outcomes are ends of claimed calls that no log has acknowledged.
	outcomes map[vrid.RequestID]*outcome
}

type outcome struct {
	entry vrwire.ClaimEntry
	shard uint32
	sent  time.Time
	tries int
}

// claimWait is a request's wait for its key.
type claimWait struct {
	shard uint32
	// asked is when the claim was last asked for.
	asked time.Time
	// next is when it is asked for again.
	next time.Time
	// direct is set once the claim is written without the shard's owner.
	direct bool
	// granted is set once the claim is durable.
	granted bool
	// held is the standing entry of another request with the key.
	held *vrwire.ClaimEntry
	// servers are the application servers that were not asked for the outcome yet.
	servers []string
	asking  time.Time
	result  vrevent.AttemptEnded
}

func newClaims() claims {
	return claims{logs: make(map[uint32]*vrclaim.Log), outcomes: make(map[vrid.RequestID]*outcome)}
}

func (s *State) log(shard uint32) *vrclaim.Log {
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

// startClaim asks for the key of a call that may run only once.
func (s *State) startClaim(now time.Time, r *request, out *vrevent.Effects) {
	r.phase = phaseClaiming
	r.claim.shard = vrclaim.Shard(r.Service, r.Key, s.configStore.Current().Fleet.Claims.Shards)
	s.askClaim(now, r, out)
	if vrfault.On(vrfault.DispatchBeforeClaim) {
		r.claim.granted = true
		s.enqueue(now, r, out)
	}
}

func (s *State) askClaim(now time.Time, r *request, out *vrevent.Effects) {
	r.claim.asked = now
	r.claim.next = now.Add(claimTimeout)
	entry := s.claimEntry(r, vrwire.ClaimClaimed)
	owner, own := s.shardOwner(r.claim.shard)
	if own || r.claim.direct || owner.Address == "" {
		s.log(r.claim.shard).Claim(now, entry, s.opts.Daemon, r.Deadline)
		s.log(r.claim.shard).Tick(now, out)
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

// shardOwner returns the daemon that makes the batches of a shard, and whether it is
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

// tickClaims moves logs on, asks again for keys and resends outcomes.
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
			if now.Sub(r.claim.asking) > lookUpTime || !now.Before(r.Deadline.Add(lookUpGrace)) {
				s.nextLookUp(now, r, out)
			}
		case phaseQueued, phaseDispatched:
		}
	}
	for _, id := range sortedKeys(s.claims.outcomes) {
		o := s.claims.outcomes[id]
		if now.Sub(o.sent) >= outcomeRetry {
			s.sendOutcome(now, o, out)
		}
	}
}

func (s *State) tickClaiming(now time.Time, r *request, out *vrevent.Effects) {
	if !now.Before(r.Deadline) {
		s.claimDeadline(now, r, out)
		return
	}
	if now.Before(r.claim.next) {
		return
	}
	// The owner did not answer: write directly, the version keeps that correct.
	if r.claim.held == nil {
		r.claim.direct = true
	}
	s.askClaim(now, r, out)
}

// claimDeadline refuses a request whose key was not decided in time. It was never sent.
func (s *State) claimDeadline(now time.Time, r *request, out *vrevent.Effects) {
	if r.claim.held != nil {
		s.end(now, r, vrwire.ReasonOutcomeUnknown, vrrecord.RanUnknown, time.Second, out)
		return
	}
	s.refuse(now, r, vrwire.ReasonClaimUnavailable, time.Second, out)
}

// answerClaims passes on what the logs decided.
func (s *State) answerClaims(now time.Time, out *vrevent.Effects) {
	for _, shard := range sortedKeys(s.claims.logs) {
		for _, answer := range s.claims.logs[shard].TakeAnswers() {
			reply := &vrwire.ClaimReply{Shard: shard, Request: answer.Request, State: answer.State, Entry: answer.Entry}
			if answer.Entry != nil && answer.State == vrwire.ClaimClaimed {
				reply.HolderGone = s.runEnded(answer.Entry.Daemon, answer.Entry.Boot)
			}
			if answer.Daemon == s.opts.Daemon {
				s.claimReply(now, reply, out)
				continue
			}
			s.send(s.peerOf(answer.Daemon), &vrwire.Envelope{ClaimReply: reply}, out)
		}
	}
}

// claimRequested serves another daemon as the owner of a shard.
func (s *State) claimRequested(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	request := envelope.ClaimRequest
	log := s.log(request.Shard)
	log.Claim(now, request.Entry, envelope.From, time.UnixMilli(request.Deadline))
	log.Tick(now, out)
}

func (s *State) outcomeReported(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	log := s.log(envelope.OutcomeReport.Shard)
	for _, entry := range envelope.OutcomeReport.Entries {
		log.Report(now, entry, envelope.From)
	}
	log.Tick(now, out)
}

// claimReply takes the answer to a claim or to a reported outcome.
func (s *State) claimReply(now time.Time, reply *vrwire.ClaimReply, out *vrevent.Effects) {
	if o := s.claims.outcomes[reply.Request]; o != nil && o.entry.State == reply.State {
		delete(s.claims.outcomes, reply.Request)
		return
	}
	r := s.requests[reply.Request]
	if r == nil || r.phase != phaseClaiming {
		s.strayGrant(now, reply, out)
		return
	}
	switch reply.State {
	case vrwire.ClaimGranted:
		r.claim.granted = true
		r.claim.held = nil
		s.enqueue(now, r, out)
	case vrwire.ClaimDone:
		s.replay(now, r, reply.Entry, out)
	case vrwire.ClaimUnknown:
		r.claim.held = reply.Entry
		s.lookUp(now, r, vrevent.AttemptEnded{}, out)
	case vrwire.ClaimClaimed:
		r.claim.held = reply.Entry
		r.claim.next = now.Add(claimPoll)
		if reply.HolderGone {
			s.lookUp(now, r, vrevent.AttemptEnded{}, out)
		}
	case vrwire.ClaimMismatch:
		s.refuse(now, r, vrwire.ReasonIdempotencyKeyReused, 0, out)
	case vrwire.ClaimReleased, vrwire.ClaimUnavailable:
		r.claim.next = now.Add(claimPoll)
	}
}

// strayGrant gives a claim back whose request was refused before the claim was durable. A
// claim of an earlier run of this daemon is not its to give back: that run may have sent
// the call.
func (s *State) strayGrant(now time.Time, reply *vrwire.ClaimReply, out *vrevent.Effects) {
	stray := reply.State == vrwire.ClaimGranted && reply.Entry != nil && s.requests[reply.Request] == nil
	if !stray || reply.Entry.Daemon != s.opts.Daemon || reply.Entry.Boot != s.opts.Boot || s.claims.outcomes[reply.Request] != nil {
		return
	}
	entry := *reply.Entry
	entry.State = vrwire.ClaimReleased
	s.addOutcome(now, entry, reply.Shard, out)
}

// replay answers with the stored answer of the first call.
func (s *State) replay(now time.Time, r *request, stored *vrwire.ClaimEntry, out *vrevent.Effects) {
	out.Add(vrevent.Replay{
		Request: r.ID, Status: int(stored.Status), ContentType: stored.ContentType, Body: stored.Body,
	})
	entry := s.entry(now, r, "", vrrecord.RanYes)
	entry.Status = stored.Status
	entry.Text = "replayed " + string(stored.Request)
	s.finish(now, r, entry, out)
}

// claimOutcome notes how a claimed call ended.
func (s *State) claimOutcome(now time.Time, r *request, state vrwire.ClaimState, event vrevent.AttemptEnded, out *vrevent.Effects) {
	if !r.claim.granted {
		return
	}
	entry := s.claimEntry(r, state)
	if state == vrwire.ClaimDone {
		entry.Status = uint32(event.Status)
		entry.ContentType = event.ContentType
		entry.Body = vrclaim.TrimBody(event.Body)
	}
	s.addOutcome(now, entry, r.claim.shard, out)
}

// releaseClaim frees the key of a call that was provably not sent.
func (s *State) releaseClaim(now time.Time, r *request, out *vrevent.Effects) {
	if r.Service == "" || r.Idempotent || r.claim.held != nil || r.claim.asked.IsZero() {
		return
	}
	// The claim may still become durable; the release follows it in the same log.
	s.addOutcome(now, s.claimEntry(r, vrwire.ClaimReleased), r.claim.shard, out)
}

func (s *State) addOutcome(now time.Time, entry vrwire.ClaimEntry, shard uint32, out *vrevent.Effects) {
	o := &outcome{entry: entry, shard: shard}
	s.claims.outcomes[entry.Request] = o
	s.sendOutcome(now, o, out)
}

func (s *State) sendOutcome(now time.Time, o *outcome, out *vrevent.Effects) {
	o.sent = now
	o.tries++
	const ownerTries = 2
	owner, own := s.shardOwner(o.shard)
	if own || owner.Address == "" || o.tries > ownerTries {
		s.log(o.shard).Report(now, o.entry, s.opts.Daemon)
		return
	}
	s.send(owner, &vrwire.Envelope{OutcomeReport: &vrwire.OutcomeReport{
		Shard: o.shard, Entries: []vrwire.ClaimEntry{o.entry},
	}}, out)
}

// lookUp asks the application servers how a call with an unknown outcome ended.
func (s *State) lookUp(now time.Time, r *request, result vrevent.AttemptEnded, out *vrevent.Effects) {
	r.phase = phaseLookingUp
	r.claim.result = result
	r.claim.servers = nil
	if r.OutcomePath != "" {
		if service := s.configStore.Current().Service(r.Service); service != nil {
			r.claim.servers = s.routingTable.Addresses(service.Pool)
		}
	}
	s.nextLookUp(now, r, out)
}

func (s *State) nextLookUp(now time.Time, r *request, out *vrevent.Effects) {
	if len(r.claim.servers) == 0 || !now.Before(r.Deadline.Add(lookUpGrace)) {
		if r.claim.held == nil {
			s.claimOutcome(now, r, vrwire.ClaimUnknown, r.claim.result, out)
		}
		s.end(now, r, vrwire.ReasonOutcomeUnknown, vrrecord.RanUnknown, 0, out)
		return
	}
	address := r.claim.servers[0]
	r.claim.servers = r.claim.servers[1:]
	r.claim.asking = now
	out.Add(vrevent.LookUpOutcome{Request: r.ID, Address: address, Path: r.OutcomePath, Key: r.Key})
}

// outcomeLookedUp ends a request whose outcome was found. That nothing was found proves
// nothing: the call may still be on its way.
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
	if r.claim.held != nil {
		found = *r.claim.held
		found.State = vrwire.ClaimDone
	}
	found.Status = uint32(event.Status)
	found.ContentType = event.ContentType
	found.Body = vrclaim.TrimBody(event.Body)
	s.addOutcome(now, found, r.claim.shard, out)
	stored := found
	stored.Body = event.Body
	s.replay(now, r, &stored, out)
}

// pendingOutcomes is what a shutdown has to wait for.
func (s *State) pendingOutcomes() int {
	pending := len(s.claims.outcomes)
	for _, log := range s.claims.logs {
		if !log.Idle() {
			pending++
		}
	}
	return pending
}

// sortedKeys fixes the order in which maps are walked, so that a seed repeats a run.
func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
