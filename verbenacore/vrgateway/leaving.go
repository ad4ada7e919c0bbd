package vrgateway

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrwire"
)

// leavingCause says from whom this daemon learned that a server leaves.
type leavingCause string

const (
	leavingByResponse leavingCause = "response"
	leavingByDaemon   leavingCause = "daemon"
)

// handleServerLeaving handles a response by which a server states that it leaves. A daemon other than the
// placement owner tells the owner, which tells all daemons and brings the server's models elsewhere.
func (s *State) handleServerLeaving(now time.Time, e vrevent.ServerLeaving, out *vrevent.Effects) {
	if !s.fleet.RecordLeavingResponse(e.Server, e.Born) {
		return
	}
	s.reportLeavingServer(e.Server, leavingByResponse, out)
	notice := vrwire.Notice{Kind: vrwire.NoticeLeaving, Server: e.Server, Born: e.Born}
	switch {
	case s.lease.Holding():
		s.announceLeaving(now, notice, out)
	case s.owner.address != "" && s.owner.daemon != s.opts.Daemon:
		// The epoch is zero because this daemon is not the owner.
		out.Add(vrevent.SendPeer{Peer: s.owner.daemon, Address: s.owner.address, Envelope: &vrwire.Envelope{
			Notices: &vrwire.Notices{Items: []vrwire.Notice{notice}},
		}})
	}
	s.dispatchWaiting(now, out)
}

// handleLeavingReports applies another daemon's report of servers whose responses state that they leave.
// The owner's own notices carry its epoch.
func (s *State) handleLeavingReports(now time.Time, notices *vrwire.Notices, out *vrevent.Effects) {
	if notices.Epoch != 0 {
		return
	}
	for _, notice := range notices.Items {
		if notice.Kind != vrwire.NoticeLeaving || !s.markLeaving(notice.Server, notice.Born, out) {
			continue
		}
		if s.lease.Holding() {
			s.announceLeaving(now, notice, out)
		}
		s.dispatchWaiting(now, out)
	}
}

// announceLeaving tells all daemons, as the placement owner, that a server leaves, and plans soon.
func (s *State) announceLeaving(now time.Time, notice vrwire.Notice, out *vrevent.Effects) {
	s.sendNotices(now, []vrresidence.Notice{{Notice: notice}}, out)
	s.expeditePlan()
}

// markLeaving records that a process of a server takes no new work, as another daemon states. It reports
// whether that was not known before.
func (s *State) markLeaving(id vrid.ServerID, born int64, out *vrevent.Effects) bool {
	if !s.fleet.MarkLeaving(id, born) {
		return false
	}
	s.reportLeavingServer(id, leavingByDaemon, out)
	return true
}

// reportLeavingServer logs and counts a leaving server, and drops the ready times of what it was to load,
// at which the calls that wait would be told to return.
func (s *State) reportLeavingServer(id vrid.ServerID, cause leavingCause, out *vrevent.Effects) {
	if cause == leavingByResponse {
		s.counts.LeavingByResponse++
	} else {
		s.counts.LeavingByDaemon++
	}
	out.Warn("server leaving", text("server", id), text("cause", cause))
	for _, list := range s.waitLists {
		if list.loadingServer == id {
			list.readyAt, list.loadingServer = time.Time{}, ""
		}
	}
}

// leavingCheckInterval is the interval at which a server that may be leaving is asked. The answer takes
// a few milliseconds, and calls can't use the server meanwhile.
const leavingCheckInterval = 500 * time.Millisecond

// tickLeavingChecks asks the servers that may be leaving. A response that stated it was to a request for an
// earlier process of the server, and may have been of the present one.
func (s *State) tickLeavingChecks(now time.Time, out *vrevent.Effects) {
	for _, server := range s.fleet.InDoubt() {
		if now.Sub(server.LeavingChecked) < leavingCheckInterval {
			continue
		}
		server.LeavingChecked = now
		out.Add(vrevent.CheckLeaving{Server: server.ID, Address: server.Address, Born: server.Born})
		out.Info("server may be leaving, asking it", text("server", server.ID), number("born", uint64(server.Born)))
	}
}

// handleLeavingChecked uses a server again that has answered without stating that it leaves.
func (s *State) handleLeavingChecked(now time.Time, e vrevent.LeavingChecked, out *vrevent.Effects) {
	if s.fleet.ResolveDoubt(e.Server, e.Born) {
		out.Info("server is not leaving", text("server", e.Server))
		s.dispatchWaiting(now, out)
	}
}
