package vrgateway

import (
	"time"

	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// A daemon that the store rejects and that gets no heartbeats of the placement owner asks other daemons for a
// proof that its catalog is the newest. The proof counts from the time at which the query was sent by the clock
// of the asking daemon, which goes on while the machine is suspended, so neither a late reply nor a clock that
// differs makes it look younger. Only proofs that a daemon has from the store or the owner are passed on.

const (
	// catalogQueryInterval is the interval between two rounds of queries. A round goes to catalogQueryPeers
	// daemons and the placement owner, so a fleet of 65 daemons without any proof sends at most 490 small
	// messages per second.
	catalogQueryInterval = 400 * time.Millisecond
	catalogQueryPeers    = 2
	// proofWaitLimit is how long a daemon that asks for a proof lets calls wait for it. Afterwards they are
	// refused at once.
	proofWaitLimit = time.Second
	// maxReplyCatalog is the maximum size of the catalog in a reply, in bytes. It leaves room for the rest of
	// the envelope.
	maxReplyCatalog = vrwire.MaxFrameBytes - 4<<10
)

// proofState holds the proofs that the catalog in force is the newest, and the queries for them.
type proofState struct {
	// at is the latest time at which the store is known to have had no newer catalog, zero if there is none.
	at time.Time
	// own is the newest proof that this daemon has from the store or the placement owner.
	own catalogProof
	// queriedAt is when other daemons were last asked, askingSince when the first of these rounds was.
	queriedAt, askingSince time.Time
	// unreachableAt is when messages to other daemons last could not be delivered.
	unreachableAt map[vrid.DaemonID]time.Time
	// expired is set while no key is accepted for lack of a proof.
	expired bool
	// encoded is the catalog in force as it is sent to other daemons, nil if it was not encoded yet, and empty
	// if it is too large.
	encoded []byte
}

// age returns the age of the newest proof. Without any, it is longer than every limit.
func (p *proofState) age(now time.Time) time.Duration { return now.Sub(p.at) }

// record records a proof of any source.
func (p *proofState) record(at time.Time) { p.at = later(p.at, at) }

// recordOwn records a proof of the store or the placement owner.
func (p *proofState) recordOwn(proof catalogProof) {
	if proof.at.After(p.own.at) {
		p.own = proof
	}
	p.record(proof.at)
}

// forget drops the proofs after a restore of the store.
func (p *proofState) forget() { p.at, p.own = time.Time{}, catalogProof{} }

// markUnreachable records that a message to a daemon could not be delivered.
func (p *proofState) markUnreachable(now time.Time, peer vrid.DaemonID) {
	if p.unreachableAt == nil {
		p.unreachableAt = make(map[vrid.DaemonID]time.Time)
	}
	p.unreachableAt[peer] = now
}

// unreachable reports whether a message to a daemon recently could not be delivered.
func (p *proofState) unreachable(now time.Time, peer vrid.DaemonID) bool {
	at, failed := p.unreachableAt[peer]
	if failed && now.Sub(at) >= unreachableTTL {
		delete(p.unreachableAt, peer)
		return false
	}
	return failed
}

// noteHeartbeatProof records the proof in the last heartbeat of the placement owner if the catalog in force is
// the one that it names.
func (s *State) noteHeartbeatProof() {
	h := &s.heartbeat
	if s.catalog != nil && !h.provedAt.IsZero() && s.catalog.Version >= h.catalogVersion {
		s.proof.recordOwn(catalogProof{at: h.provedAt, era: h.era})
	}
}

// RequiresProof reports whether the API keys of the catalog in force are accepted only with a recent proof
// that it is the newest.
func (s *State) RequiresProof() bool {
	return s.opts.Bounds.Revocation > 0 && s.catalog != nil && s.catalog.HasTenants()
}

// CatalogProofAge returns the age of the newest proof that the catalog in force is the newest, at most an
// hour, and zero if none is required.
func (s *State) CatalogProofAge(now time.Time) time.Duration {
	if !s.RequiresProof() {
		return 0
	}
	return min(s.proof.age(now), maxReportedAge)
}

// maxReportedAge limits the age in logs and metrics, because there may be no proof.
const maxReportedAge = time.Hour

// logProof logs when keys are no longer accepted for lack of a proof, and when they are again.
func (s *State) logProof(now time.Time, out *vrevent.Effects) {
	expired := s.RequiresProof() && !s.provesKnown(now)
	if expired == s.proof.expired {
		return
	}
	s.proof.expired = expired
	if expired {
		out.Warn("catalog proof expired", millis("ageMs", s.CatalogProofAge(now)), boolean("storeLost", s.store.lost))
		return
	}
	out.Info("catalog proved again", millis("ageMs", s.proof.age(now)), number("version", uint64(s.catalog.Version)))
}

// lacksProof reports whether this daemon has to ask other daemons for a proof, or for a catalog if it has none
// or can't read the one that the placement owner names.
func (s *State) lacksProof(now time.Time) bool {
	if s.catalog == nil {
		return s.opts.Bounds.Revocation > 0
	}
	behind := s.store.lost && s.heartbeat.catalogVersion > s.catalog.Version
	return s.RequiresProof() && (behind || s.proof.age(now) > maxProofAge)
}

// expectsProof reports whether a proof may arrive soon: other daemons were asked only just, or were not asked yet
// and the store or one of them can be reached.
func (s *State) expectsProof(now time.Time) bool {
	if s.opts.Bounds.Revocation <= 0 {
		return false
	}
	if now.Sub(s.proof.queriedAt) < proofWaitLimit {
		return now.Sub(s.proof.askingSince) < proofWaitLimit
	}
	return !s.store.lost || len(s.queryTargets(now)) > 0
}

// tickCatalogProof asks other daemons for a proof, or for the catalog, if this daemon lacks one.
func (s *State) tickCatalogProof(now time.Time, out *vrevent.Effects) {
	s.logProof(now, out)
	sentAt := now.Sub(s.startedAt).Milliseconds()
	if sentAt <= 0 || now.Sub(s.proof.queriedAt) < catalogQueryInterval || !s.lacksProof(now) {
		return
	}
	targets := s.queryTargets(now)
	if len(targets) == 0 {
		return
	}
	if now.Sub(s.proof.queriedAt) >= proofWaitLimit {
		s.proof.askingSince = now
	}
	s.proof.queriedAt = now
	query := &vrwire.CatalogQuery{Era: s.store.era, SentAt: sentAt}
	if s.catalog != nil {
		query.Version = s.catalog.Version
	}
	for _, peer := range targets {
		out.Add(vrevent.SendPeer{Peer: peer.Daemon, Address: peer.Address, Envelope: &vrwire.Envelope{
			Notices: &vrwire.Notices{CatalogQuery: query},
		}})
	}
}

// queryTargets returns the daemons to ask: a random one of the own zone, random ones of other zones, because
// the store may reject a whole zone, and the placement owner.
func (s *State) queryTargets(now time.Time) []vrevent.Peer {
	var near, far []vrevent.Peer
	var owner *vrevent.Peer
	for i := range s.peers {
		peer := &s.peers[i]
		switch {
		case peer.Daemon == s.opts.Daemon || s.proof.unreachable(now, peer.Daemon):
		case peer.Daemon == s.owner.daemon:
			owner = peer
		case peer.Zone == s.opts.Zone:
			near = append(near, *peer)
		default:
			far = append(far, *peer)
		}
	}
	s.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	s.random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	fromNear := min(len(near), max(1, catalogQueryPeers-len(far)))
	targets := near[:fromNear:fromNear]
	targets = append(targets, far[:min(len(far), catalogQueryPeers-fromNear)]...)
	if owner != nil {
		targets = append(targets, *owner)
	}
	return targets
}

// handleCatalogMessages handles a query for a proof or a reply to one.
func (s *State) handleCatalogMessages(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	if query := envelope.Notices.CatalogQuery; query != nil {
		s.answerCatalogQuery(now, envelope.From, envelope.Boot, query, out)
	}
	if reply := envelope.Notices.CatalogReply; reply != nil {
		s.handleCatalogReply(now, reply, out)
	}
}

// answerCatalogQuery answers another daemon's query if this daemon has a recent proof of its own, and the
// newest catalog if the other one lacks it. Where no catalog lists tenants, daemons take catalogs from the store
// only, so a daemon without any gets no answer then.
func (s *State) answerCatalogQuery(now time.Time, from vrid.DaemonID, boot vrid.BootID, query *vrwire.CatalogQuery, out *vrevent.Effects) {
	own := s.proof.own
	age := now.Sub(own.at)
	if s.catalog == nil || s.opts.Bounds.Revocation <= 0 || age > maxProofAge || own.era < query.Era {
		return
	}
	if query.Version == 0 && !s.catalog.HasTenants() {
		return
	}
	reply := &vrwire.CatalogReply{
		Boot: boot, SentAt: query.SentAt, Version: s.catalog.Version, Era: own.era,
		ProofAge: (age + time.Millisecond - 1).Milliseconds(),
	}
	if reply.Version > query.Version {
		if reply.Catalog = s.encodedCatalog(out); len(reply.Catalog) == 0 {
			return
		}
	}
	for i := range s.peers {
		if peer := &s.peers[i]; peer.Daemon == from {
			out.Add(vrevent.SendPeer{Peer: from, Address: peer.Address, Envelope: &vrwire.Envelope{Notices: &vrwire.Notices{CatalogReply: reply}}})
		}
	}
}

// encodedCatalog returns the catalog in force as it is sent to other daemons, or nothing if it is too large.
func (s *State) encodedCatalog(out *vrevent.Effects) []byte {
	if s.proof.encoded != nil {
		return s.proof.encoded
	}
	data, err := vrcodec.EncodeCatalog(s.catalog)
	if err != nil || len(data) > maxReplyCatalog {
		out.Warn("catalog is too large for other daemons", number("version", uint64(s.catalog.Version)), number("bytes", uint64(len(data))))
		data = []byte{}
	}
	s.proof.encoded = data
	return data
}

// handleCatalogReply applies another daemon's proof, and its catalog if that is newer. A reply of a former era
// of the store or to a former run of this daemon proves nothing.
func (s *State) handleCatalogReply(now time.Time, reply *vrwire.CatalogReply, out *vrevent.Effects) {
	sentAt := s.startedAt.Add(time.Duration(reply.SentAt) * time.Millisecond)
	if reply.Boot != s.opts.Boot || reply.Era < s.store.era || sentAt.After(now) {
		return
	}
	if s.catalog == nil || reply.Version > s.catalog.Version {
		if len(reply.Catalog) == 0 {
			return
		}
		catalog, err := vrcodec.DecodeCatalog(reply.Catalog)
		if err != nil {
			out.Warn("catalog of another daemon is malformed", text("error", err.Error()))
			return
		}
		if catalog.Version != reply.Version {
			return
		}
		s.applyCatalog(now, vrevent.CatalogSeen{Catalog: catalog, Read: vrevent.CatalogRead{Call: "peer"}}, out)
	}
	s.proof.record(sentAt.Add(-time.Duration(reply.ProofAge) * time.Millisecond))
	s.dispatchUnverified(now, out)
}
