package vrgateway

import (
	"maps"
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// In a large fleet, store calls that every daemon makes are expensive, so the placement owner tells the
// other daemons which catalog is the newest. It proves that by a response of the store about the catalog:
// while its reads of the catalog hang, it may still renew its lease on another connection. How old the
// proof is when a heartbeat arrives can't be told from the owner's clock, so each heartbeat repeats the
// receiver's last demand report, which the receiver has sent at a time of its own clock.
const (
	heartbeatInterval = 800 * time.Millisecond
	// maxSmallFleet is the number of daemons up to which a fleet is small: the owner sends no heartbeats.
	maxSmallFleet = 12
	// maxStoreAge is the maximum age of the store's proof when the owner sends a heartbeat.
	maxStoreAge = time.Second
	// maxProofAge is the maximum age of the store's proof while a daemon relies on it. It leaves a daemon
	// that then reads the catalog itself half a second of the shortest time within which a new catalog has
	// to be in force (2.5 s). When the owner's word counted for up to 3.3 s, a catalog with 1,696 more
	// routes came into force too late at one of 295 daemons (CONFIG on trouble-2 of the large site).
	maxProofAge = 2 * time.Second
	// heartbeatTTL is how long after its receipt a heartbeat shows that the owner is alive.
	heartbeatTTL = 1200 * time.Millisecond
	// reportInterval is the interval at which a daemon without demand sends its report nevertheless, so
	// that the owner can repeat it. It bounds what the clocks of two machines drift apart since.
	reportInterval = 10 * time.Second
)

// catalogProof is the newest proof of the store that this daemon's catalog is the newest.
type catalogProof struct {
	// at is when the call that brought it was sent, zero if there is none.
	at  time.Time
	era vrid.StoreEra
}

// ownerHeartbeat is the last heartbeat received from the placement owner.
type ownerHeartbeat struct {
	receivedAt time.Time
	// provedAt is the latest time at which catalogVersion is known to have been the newest, zero if that
	// is unknown.
	provedAt       time.Time
	catalogVersion vrid.ConfigVersion
	era            vrid.StoreEra
}

// age returns the time since the heartbeat was received, zero if there was none.
func (h *ownerHeartbeat) age(now time.Time) time.Duration {
	if h.receivedAt.IsZero() {
		return 0
	}
	return now.Sub(h.receivedAt)
}

// receivedReport is the last demand report of a daemon that this daemon has received.
type receivedReport struct {
	boot       vrid.BootID
	sentAt     int64
	receivedAt time.Time
}

// inLargeFleet reports whether there are too many daemons for each to call the store often.
func (s *State) inLargeFleet() bool { return len(s.peers) > maxSmallFleet }

// VouchesForCatalog reports whether other daemons rely on this one for the newest catalog, as the
// placement owner of a large fleet.
func (s *State) VouchesForCatalog() bool {
	return s.inLargeFleet() && s.lease.Holding()
}

// handleCatalogChecked records a proof of the store that this daemon's catalog is the newest. One from
// before a restore of the store says nothing about the restored one.
func (s *State) handleCatalogChecked(e vrevent.CatalogChecked) {
	if e.Era >= s.store.era && e.At.After(s.catalogProof.at) {
		s.catalogProof = catalogProof{at: e.At, era: e.Era}
		s.proof.recordOwn(s.catalogProof)
	}
}

// tickHeartbeat sends heartbeats to all other daemons if this daemon is the placement owner and has a
// recent proof that its catalog is the newest.
func (s *State) tickHeartbeat(now time.Time, out *vrevent.Effects) {
	if !s.VouchesForCatalog() || s.catalog == nil || !s.lease.Confirmed(now) || now.Sub(s.heartbeatSentAt) < heartbeatInterval {
		return
	}
	provedAt := earlier(s.catalogProof.at, s.lease.ConfirmedAt())
	if vrfault.On(vrfault.VouchByLease) {
		provedAt = s.lease.ConfirmedAt()
	}
	if provedAt.IsZero() || now.Sub(provedAt) > maxStoreAge {
		return
	}
	s.heartbeatSentAt = now
	sums := s.sumRequests(now)
	for _, peer := range s.peers {
		if peer.Daemon == s.opts.Daemon {
			continue
		}
		notices := &vrwire.Notices{
			Epoch: s.lease.Epoch(), CatalogVersion: s.catalog.Version, StoreAge: now.Sub(provedAt).Milliseconds(),
			QuarantineVersion: s.quarantine.parts.Version(), Era: s.catalogProof.era,
		}
		if report, ok := s.reports[peer.Daemon]; ok {
			notices.ReportBoot, notices.ReportSentAt, notices.ReportAge = report.boot, report.sentAt, now.Sub(report.receivedAt).Milliseconds()
		}
		s.addLoads(notices, peer.Daemon, sums)
		out.Add(vrevent.SendPeer{Peer: peer.Daemon, Address: peer.Address, Envelope: &vrwire.Envelope{Notices: notices}})
	}
}

// recordReport records the receipt of a demand report, for the heartbeats to its sender.
func (s *State) recordReport(now time.Time, envelope *vrwire.Envelope) {
	if sentAt := envelope.PlacementDemand.SentAt; sentAt > 0 {
		s.reports[envelope.From] = receivedReport{boot: envelope.Boot, sentAt: sentAt, receivedAt: now}
	}
}

// forgetReports drops the reports of daemons that are no longer registered.
func (s *State) forgetReports() {
	registered := make(map[vrid.DaemonID]bool, len(s.peers))
	for _, peer := range s.peers {
		registered[peer.Daemon] = true
	}
	maps.DeleteFunc(s.reports, func(daemon vrid.DaemonID, _ receivedReport) bool { return !registered[daemon] })
}

// recordHeartbeat records a heartbeat, unless it was sent before a restore that this daemon knows of.
func (s *State) recordHeartbeat(now time.Time, notices *vrwire.Notices) {
	if notices.Era < s.store.era || notices.CatalogVersion == 0 {
		return
	}
	s.heartbeat = ownerHeartbeat{receivedAt: now, catalogVersion: notices.CatalogVersion, era: notices.Era}
	if notices.ReportBoot != s.opts.Boot || notices.ReportSentAt <= 0 {
		return
	}
	sentAfter := s.startedAt.Add(time.Duration(notices.ReportSentAt+notices.ReportAge) * time.Millisecond)
	s.heartbeat.provedAt = earlier(sentAfter, now).Add(-time.Duration(notices.StoreAge) * time.Millisecond)
	s.noteHeartbeatProof()
	if s.catalog != nil {
		s.applyLoads(earlier(sentAfter, now), notices)
	}
}

// needsReport reports whether the owner needs a report of this daemon to repeat, because its heartbeats
// prove nothing or repeat an old one.
func (s *State) needsReport(now time.Time) bool {
	return s.inLargeFleet() && now.Sub(s.reportSentAt) >= s.reportPause(now)
}

// reportPause returns the time between two reports of a daemon without demand.
func (s *State) reportPause(now time.Time) time.Duration {
	if fresh, _ := s.HeartbeatStatus(now); fresh {
		return reportInterval
	}
	return demandInterval
}

// HeartbeatStatus reports whether the last heartbeat of the placement owner proves what the newest catalog
// is (fresh), so that this daemon need not watch the catalog itself, and if so, whether the catalog in
// force is as new (current).
func (s *State) HeartbeatStatus(now time.Time) (fresh, current bool) {
	if s.heartbeat.provedAt.IsZero() || now.Sub(s.heartbeat.provedAt) > maxProofAge || s.catalog == nil {
		return false, false
	}
	return true, s.catalog.Version >= s.heartbeat.catalogVersion
}

// ownerAlive reports whether the last heartbeat of another owner is still valid, so that this
// daemon need not try to acquire the lease.
func (s *State) ownerAlive(now time.Time) bool {
	return !s.heartbeat.receivedAt.IsZero() && now.Sub(s.heartbeat.receivedAt) <= heartbeatTTL && !s.lease.Holding()
}
