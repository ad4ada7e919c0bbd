package vrreducer

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfault"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// shutdownAcceptPeriod is how long new requests are still accepted after the start
	// of a shutdown, until the load balancer has seen that the daemon is not ready.
	shutdownAcceptPeriod = 3 * time.Second
	// leaseReleaseDelay is how long after the start of a shutdown an owner releases its
	// lease.
	leaseReleaseDelay = 500 * time.Millisecond
	// recordGroupSize is the number of daemons that share a record writer.
	recordGroupSize = 5
	// recordFlushTimeout limits how long a shutdown waits for claim outcomes and the
	// record while the platform doesn't answer.
	recordFlushTimeout = 10 * time.Second
)

// tickReady tells the load balancer whether this daemon accepts requests.
func (s *State) tickReady(now time.Time, out *vrevent.Effects) {
	reason := s.notReadyReason(now)
	if ready := reason == ""; ready != s.ready {
		s.ready = ready
		out.Add(vrevent.SetReady{Ready: ready, Reason: reason})
	}
}

func (s *State) notReadyReason(now time.Time) string {
	switch {
	case s.shutdown.requested:
		return "shutting down"
	case s.configStore.Current() == nil:
		return "no configuration"
	case s.membership.View().Epoch == 0:
		return "no zone view"
	case !s.configConfirmed && now.Sub(s.startedAt) < configConfirmTimeout:
		return "configuration not confirmed by the platform"
	}
	return ""
}

// tickRecord updates this daemon's record writer and drives the journal.
func (s *State) tickRecord(now time.Time, out *vrevent.Effects) {
	writer, writers := s.recordWriter()
	s.journal.SetOpened(s.requestsOpened)
	s.journal.SetWriterCount(writers)
	s.journal.SetWriter(writer, s.peerOf(writer).Address)
	s.journal.Tick(now, out)
}

// recordWriter returns the first member of this daemon's group in the dissemination
// order, and the number of groups in the zone.
func (s *State) recordWriter() (writer vrid.DaemonID, groups int) {
	order := s.membership.View().TreeOrder()
	groups = (len(order) + recordGroupSize - 1) / recordGroupSize
	for i, id := range order {
		if id == s.opts.Daemon {
			return order[i-i%recordGroupSize], groups
		}
	}
	return s.opts.Daemon, groups
}

// shutdownRequested starts a graceful shutdown.
func (s *State) shutdownRequested(now time.Time, out *vrevent.Effects) {
	if s.shutdown.requested {
		return
	}
	s.shutdown = shutdownState{requested: true, requestedAt: now}
	s.membership.Leave()
	s.tickReady(now, out)
}

// tickShutdown hands over what this daemon owns, and stops when nothing is left to do.
func (s *State) tickShutdown(now time.Time, out *vrevent.Effects) {
	if !s.shutdown.requested || s.shutdown.stopped {
		return
	}
	if s.lease.Holding() {
		s.shutdown.handoverEpoch = s.lease.Epoch()
		if now.Sub(s.shutdown.requestedAt) >= leaseReleaseDelay && s.ledger.Outstanding() == 0 {
			s.lease.Release(now, out)
		}
		return
	}
	s.announceHandover(out)
	if now.Sub(s.shutdown.requestedAt) < shutdownAcceptPeriod || (len(s.requests) > 0 && !vrfault.On(vrfault.StopEarly)) || s.ledger.Outstanding() > 0 {
		return
	}
	if !s.shutdown.callersClosed {
		// A request that is refused after the last flush would have no entry in the
		// record.
		if !s.shutdown.closingCallers {
			s.shutdown.closingCallers = true
			out.Add(vrevent.CloseCallers{})
		}
		return
	}
	overdue := now.Sub(s.shutdown.requestedAt) > shutdownAcceptPeriod+recordFlushTimeout
	if s.pendingClaimWork() > 0 && !overdue {
		return
	}
	s.journal.Flush(now, out)
	if s.journal.Pending() > 0 && !overdue {
		return
	}
	s.shutdown.stopped = true
	out.Add(vrevent.Stopped{})
}

// announceHandover tells the other members that the lease is free, so that a candidate
// doesn't have to wait until it next reads the lease.
func (s *State) announceHandover(out *vrevent.Effects) {
	if s.shutdown.handoverEpoch == 0 {
		return
	}
	epoch := s.shutdown.handoverEpoch
	s.shutdown.handoverEpoch = 0
	for _, id := range s.membership.View().TreeOrder() {
		s.send(s.peerOf(id), &vrwire.Envelope{Handover: &vrwire.Handover{Epoch: epoch}}, out)
	}
}

// Status is a snapshot of a daemon's state for operators.
type Status struct {
	Daemon   vrid.DaemonID        `json:"daemon"`
	Boot     vrid.BootID          `json:"boot"`
	Zone     vrid.ZoneID          `json:"zone"`
	Owner    vrid.DaemonID        `json:"owner"`
	Epoch    vrid.Epoch           `json:"epoch"`
	Holding  bool                 `json:"holding"`
	Config   vrid.ConfigVersion   `json:"config"`
	Queued   [vrid.RankCount]int  `json:"queued"`
	Requests int                  `json:"requests"`
	Members  []vrwire.MemberItem  `json:"members"`
	Servers  []vrwire.ServerItem  `json:"servers"`
	Remote   []vrwire.ZoneSummary `json:"remote"`
}

// Status returns a snapshot of this daemon's state.
func (s *State) Status() Status {
	status := Status{
		Daemon: s.opts.Daemon, Boot: s.opts.Boot, Zone: s.opts.Zone, Config: s.configStore.Version(),
		Holding: s.lease.Holding(), Requests: len(s.requests),
	}
	for _, rank := range vrid.Ranks() {
		status.Queued[rank] = s.queue.Waiting(rank)
	}
	if s.membership == nil {
		return status
	}
	view := s.membership.View()
	status.Owner = view.Owner
	status.Epoch = view.Epoch
	for _, id := range sortedKeys(view.Members) {
		status.Members = append(status.Members, view.Members[id])
	}
	for _, id := range sortedKeys(view.Servers) {
		status.Servers = append(status.Servers, view.Servers[id])
	}
	for _, zone := range sortedKeys(view.Remote) {
		status.Remote = append(status.Remote, view.Remote[zone])
	}
	return status
}
