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

// poll is the polling of one server by this daemon.
type poll struct {
	waiting bool
	since   time.Time
	failed  uint32
	last    vrwire.LoadReport
	known   bool
}

const (
	// pollInterval is the pause between two reports of one server.
	pollInterval = time.Second
	// secondPollInterval notices a leaving server within 2 s when its first poller has
	// just died.
	secondPollInterval = 2 * time.Second
	// noticeTime is how long a notice outlasts what the view says.
	noticeTime = time.Minute
	// loadingPollInterval is used while a load is under way, so that waiting requests
	// go out soon after its end.
	loadingPollInterval = 100 * time.Millisecond
	// pollTimeout ends the wait for a lost answer.
	pollTimeout = 3 * time.Second
)

// tickPolls asks the servers that this daemon polls, and as the owner those that load.
func (s *State) tickPolls(now time.Time, out *vrevent.Effects) {
	view := s.membership.View()
	loading := make(map[vrid.ServerID]bool)
	if s.lease.Holding() {
		for _, id := range s.ledger.Loading() {
			loading[id] = true
		}
	}
	for _, id := range sortedKeys(view.Servers) {
		item := view.Servers[id]
		interval := s.pollEvery(view.Pollers(id), loading[id])
		if interval == 0 || item.State == vrwire.ServerGone || !s.reportsLoad(item) {
			delete(s.polls, id)
			continue
		}
		s.pollServer(now, item, interval, out)
	}
}

// pollEvery is the pause between two reports of a server to this daemon, 0 for none.
func (s *State) pollEvery(pollers vrmember.Pollers, loading bool) time.Duration {
	switch {
	case loading:
		return loadingPollInterval
	case pollers.First == s.opts.Daemon:
		return pollInterval
	case pollers.Second == s.opts.Daemon:
		return secondPollInterval
	}
	return 0
}

// reportsLoad is false for application servers: they have no report, so a poll would
// make them unreachable. They are judged by their calls and the platform's list.
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
	if p.waiting && now.Sub(p.since) < pollTimeout {
		return
	}
	if now.Sub(p.since) < interval {
		return
	}
	p.waiting = true
	p.since = now
	out.Add(vrevent.PollServer{Server: item.Server, Address: item.Address})
}

func (s *State) reportReceived(now time.Time, event vrevent.ReportReceived, out *vrevent.Effects) {
	p := s.polls[event.Server]
	if p == nil {
		return
	}
	p.waiting = false
	p.failed = 0
	report := loadReport(now, event.Server, event.Report)
	urgent := !p.known || p.last.Boot != report.Boot || p.last.Leaving != report.Leaving || p.last.Failed > 0 ||
		len(p.last.Models) != len(report.Models)
	if report.Leaving && (!p.known || !p.last.Leaving) {
		s.announceLeaving(now, event.Server, report.Boot, out)
	}
	p.last = report
	p.known = true
	if s.reports(event.Server) {
		s.membership.QueueReport(now, report, urgent)
	}
}

// reports is false for the second poller: its reports would only repeat the first one's.
func (s *State) reports(server vrid.ServerID) bool {
	return s.lease.Holding() || s.membership.View().Pollers(server).Second != s.opts.Daemon
}

// announceLeaving tells the members of the zone and the other zones' owners at once. The
// zone's owner would do it too, but it may just have died.
func (s *State) announceLeaving(now time.Time, server vrid.ServerID, boot vrid.BootID, out *vrevent.Effects) {
	s.zone.leavingNotices[server] = now
	s.tableSequence = 0
	notice := &vrwire.Envelope{ServerNotice: &vrwire.ServerNotice{Server: server, Boot: boot}}
	for _, id := range s.membership.View().Order() {
		s.send(s.peerOf(id), notice, out)
	}
	for _, zone := range sortedKeys(s.membership.View().Remote) {
		remote := s.membership.View().Remote[zone]
		s.send(vrmember.Peer{Daemon: remote.Owner, Address: remote.Peer}, notice, out)
	}
}

// serverNotice stops new work for a server that another daemon saw leaving. An owner
// passes word from another zone on to its members.
func (s *State) serverNotice(now time.Time, envelope *vrwire.Envelope, out *vrevent.Effects) {
	server := envelope.ServerNotice.Server
	if _, known := s.zone.leavingNotices[server]; known {
		return
	}
	s.zone.leavingNotices[server] = now
	s.tableSequence = 0
	if envelope.Zone == s.opts.Zone || !s.lease.Holding() {
		return
	}
	for _, id := range s.membership.View().Order() {
		s.send(s.peerOf(id), &vrwire.Envelope{ServerNotice: envelope.ServerNotice}, out)
	}
}

// hasLeavingNotice reports whether a notice says that the server leaves. The view takes over
// after a while, so that a server that stays after all is used again.
func (s *State) hasLeavingNotice(now time.Time, server vrid.ServerID) bool {
	at, known := s.zone.leavingNotices[server]
	if known && now.Sub(at) > noticeTime {
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
	p.waiting = false
	p.failed++
	report := p.last
	report.Server = event.Server
	report.Failed = p.failed
	p.last = report
	if s.reports(event.Server) {
		s.membership.QueueReport(now, report, p.failed == failedPollThreshold)
	}
}
