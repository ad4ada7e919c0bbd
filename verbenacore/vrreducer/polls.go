package vrreducer

import (
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrmember"
	"verbenaroute.example/verbenacore/vrwire"
)

// poll is the state of this daemon's polling of one server.
type poll struct {
	inFlight   bool
	startedAt  time.Time
	failures   uint32
	lastReport vrwire.LoadReport
	reported   bool
}

const (
	// pollInterval is the pause between two polls of one server by its primary poller.
	pollInterval = time.Second
	// backupPollInterval is the pause between two polls by the backup poller. It
	// detects a leaving server within 2 s if the primary poller has just died.
	backupPollInterval = 2 * time.Second
	// leavingNoticeLifetime is how long a notice takes precedence over the view.
	leavingNoticeLifetime = time.Minute
	// loadingPollInterval is the pause between two polls while a load runs, so that
	// waiting requests are dispatched soon after its end.
	loadingPollInterval = 100 * time.Millisecond
	// pollTimeout is how long a missing answer blocks the next poll.
	pollTimeout = 3 * time.Second
)

// tickPolls polls the servers assigned to this daemon and, as the zone owner, those
// that are loading.
func (s *State) tickPolls(now time.Time, out *vrevent.Effects) {
	view := s.membership.View()
	loading := make(map[vrid.ServerID]bool)
	if s.lease.Holding() {
		for _, id := range s.ledger.BusyServers() {
			loading[id] = true
		}
	}
	for _, id := range sortedKeys(view.Servers) {
		item := view.Servers[id]
		interval := s.pollIntervalFor(view.Pollers(id), loading[id])
		if interval == 0 || item.State == vrwire.ServerGone || !s.reportsLoad(item) {
			delete(s.polls, id)
			continue
		}
		s.pollServer(now, item, interval, out)
	}
}

// pollIntervalFor returns the pause between this daemon's polls of a server, or 0 if it
// doesn't poll the server.
func (s *State) pollIntervalFor(pollers vrmember.Pollers, loading bool) time.Duration {
	switch {
	case loading:
		return loadingPollInterval
	case pollers.Primary == s.opts.Daemon:
		return pollInterval
	case pollers.Backup == s.opts.Daemon:
		return backupPollInterval
	}
	return 0
}

// reportsLoad returns false for application servers. They have no load report, so polls
// would mark them as unreachable. Their state comes from their calls and the platform's
// list.
func (s *State) reportsLoad(item vrwire.ServerItem) bool {
	index := s.configStore.Current()
	if index == nil {
		return true
	}
	pool := index.Pool(item.Pool)
	return pool == nil || pool.Kind != vrconfig.KindApplicationServer
}

func (s *State) pollServer(now time.Time, item vrwire.ServerItem, interval time.Duration, out *vrevent.Effects) {
	p := s.polls[item.Server]
	if p == nil {
		p = &poll{}
		s.polls[item.Server] = p
	}
	if p.inFlight && now.Sub(p.startedAt) < pollTimeout {
		return
	}
	if now.Sub(p.startedAt) < interval {
		return
	}
	p.inFlight = true
	p.startedAt = now
	out.Add(vrevent.PollServer{Server: item.Server, Address: item.Address})
}

func (s *State) reportReceived(now time.Time, event vrevent.ReportReceived, out *vrevent.Effects) {
	p := s.polls[event.Server]
	if p == nil {
		return
	}
	p.inFlight = false
	p.failures = 0
	report := loadReport(now, event.Server, event.Report)
	urgent := !p.reported || p.lastReport.Boot != report.Boot || p.lastReport.Leaving != report.Leaving || p.lastReport.FailedPolls > 0 ||
		len(p.lastReport.Models) != len(report.Models)
	if report.Leaving && (!p.reported || !p.lastReport.Leaving) {
		s.announceLeaving(now, event.Server, report.Boot, out)
	}
	p.lastReport = report
	p.reported = true
	if s.forwardsReports(event.Server) {
		s.membership.QueueReport(now, report, urgent)
	}
}

// forwardsReports returns false for the backup poller, whose reports would only repeat
// those of the primary one. The zone owner always forwards its reports.
func (s *State) forwardsReports(server vrid.ServerID) bool {
	return s.lease.Holding() || s.membership.View().Pollers(server).Backup != s.opts.Daemon
}

// announceLeaving sends a notice that a server is leaving to the zone's members and the
// other zones' owners immediately. The zone owner would do the same, but it may just
// have died.
func (s *State) announceLeaving(now time.Time, server vrid.ServerID, boot vrid.BootID, out *vrevent.Effects) {
	s.zone.leavingNotices[server] = now
	s.tableSequence = 0
	notice := &vrwire.Envelope{ServerNotice: &vrwire.ServerNotice{Server: server, Boot: boot}}
	for _, id := range s.membership.View().TreeOrder() {
		s.send(s.peerOf(id), notice, out)
	}
	for _, zone := range sortedKeys(s.membership.View().Remote) {
		remote := s.membership.View().Remote[zone]
		s.send(vrmember.Peer{Daemon: remote.Owner, Address: remote.Peer}, notice, out)
	}
}

// handleServerNotice stops new work for a server that another daemon saw leaving. An
// owner forwards a notice from another zone to its members.
func (s *State) handleServerNotice(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	server := envelope.ServerNotice.Server
	if _, known := s.zone.leavingNotices[server]; known {
		return
	}
	s.zone.leavingNotices[server] = now
	s.tableSequence = 0
	if envelope.Zone == s.opts.Zone || !s.lease.Holding() {
		return
	}
	for _, id := range s.membership.View().TreeOrder() {
		s.send(s.peerOf(id), &vrwire.Envelope{ServerNotice: envelope.ServerNotice}, out)
	}
}

// hasLeavingNotice reports whether a current notice says that the server is leaving.
// Notices expire, and then the view decides, so that a server that stays after all is
// used again.
func (s *State) hasLeavingNotice(now time.Time, server vrid.ServerID) bool {
	at, known := s.zone.leavingNotices[server]
	if known && now.Sub(at) > leavingNoticeLifetime {
		delete(s.zone.leavingNotices, server)
		return false
	}
	return known
}

func loadReport(now time.Time, server vrid.ServerID, report vrengine.Report) vrwire.LoadReport {
	result := vrwire.LoadReport{
		Server: server, Boot: report.Boot, Leaving: report.Leaving, Running: uint32(report.Running),
		Waiting: uint32(report.Waiting), Slots: uint32(report.Slots), MemoryUsed: report.MemoryUsed,
		AppliedOrders: report.AppliedOrders, HighestEpoch: report.HighestEpoch, Role: report.Role,
		CachedMemory: report.Cached.Memory, CachedDisk: report.Cached.Disk, TakenAt: now.UnixMilli(),
	}
	for _, model := range report.Models {
		result.Models = append(result.Models, vrwire.LoadedModel{
			Model: model.Model, State: modelState(model.State), Adapters: model.Adapters,
		})
	}
	return result
}

func modelState(state string) vrwire.ReplicaState {
	switch state {
	case vrengine.StateLoaded:
		return vrwire.ReplicaLoaded
	case vrengine.StateUnloading:
		return vrwire.ReplicaUnloading
	}
	return vrwire.ReplicaLoading
}

func (s *State) reportFailed(now time.Time, event vrevent.ReportFailed) {
	p := s.polls[event.Server]
	if p == nil {
		return
	}
	p.inFlight = false
	p.failures++
	report := p.lastReport
	report.Server = event.Server
	report.FailedPolls = p.failures
	p.lastReport = report
	if s.forwardsReports(event.Server) {
		s.membership.QueueReport(now, report, p.failures == failedPollThreshold)
	}
}
