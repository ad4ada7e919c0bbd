package vrgateway

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrresidence"
	"verbenaroute.example/verbenacore/vrwire"
)

const (
	// maxLoads bounds the servers in a heartbeat: heartbeats go to every daemon, and the smallest owner has
	// 10 Mbit/s.
	maxLoads = 64
	// minLoadShare is the share of its slots that a server's requests have to take to be in a heartbeat. An
	// emptier one is no worse a choice for what other daemons have sent.
	minLoadShare = 0.5
	// statusServerError is the lowest HTTP status of an error of the server.
	statusServerError = 500
)

// ordersAdmission reports whether calls to a service are admitted in order and sent to the server with the
// least expected completion: the catalog lists tenants, or servers of the service share their machines.
func (s *State) ordersAdmission(service vrid.ServiceID) bool {
	return (s.catalog != nil && s.catalog.HasTenants()) || s.fleet.SharesMachines(service)
}

// sharesLoad reports whether ordered admission is active for any service.
func (s *State) sharesLoad() bool {
	return s.catalog != nil && slices.ContainsFunc(s.catalog.Services, func(service vrcatalog.Service) bool {
		return s.ordersAdmission(service.ID)
	})
}

// handleLoadReported applies the load in the head of a response. A service without ordered admission takes it
// from the end of the send.
func (s *State) handleLoadReported(now time.Time, e vrevent.LoadReported) {
	server := s.fleet.Server(e.Server)
	if server == nil || (e.Born != 0 && e.Born != server.Born) {
		return
	}
	if e.Load.Pace > 0 {
		s.fleet.MarkSharesMachines(server.Service)
	}
	if s.ordersAdmission(server.Service) {
		s.fleet.ApplyLoadReport(now, server, vrfleet.LoadReport(e.Load))
		s.recordRoom(server)
	}
}

// recordRequestEnd ends the count of a send at its server. ran is false if the server has certainly not run
// the call.
func (s *State) recordRequestEnd(a *attempt, ran bool) {
	if s.ordersAdmission(a.server.Service) {
		s.fleet.RecordRequestEnd(a.server, a.sentAt, ran)
		return
	}
	s.fleet.RecordEnd(a.server)
}

// sumRequests adds up the requests in flight of all daemons at the servers of services with ordered admission,
// as the placement owner. It returns nil if there are none.
func (s *State) sumRequests(now time.Time) *vrresidence.RequestSums {
	for i := range s.catalog.Services {
		if service := &s.catalog.Services[i]; service.Engine != nil && s.ordersAdmission(service.ID) {
			sums := s.planner.SumRequests(now)
			return &sums
		}
	}
	return nil
}

// addLoads adds the requests of all daemons but the receiver to a heartbeat, for the servers that have most of
// them.
func (s *State) addLoads(notices *vrwire.Notices, receiver vrid.DaemonID, sums *vrresidence.RequestSums) {
	if sums == nil {
		return
	}
	own := sums.ByDaemon[receiver]
	for id, total := range sums.Total {
		server, others := s.fleet.Server(id), total-own[id]
		if server != nil && s.ordersAdmission(server.Service) && float64(others) >= minLoadShare*float64(server.SlotCount()) {
			notices.Loads = append(notices.Loads, vrwire.ServerRequests{Server: id, Requests: uint32(others)})
		}
	}
	slices.SortFunc(notices.Loads, func(a, b vrwire.ServerRequests) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Server, b.Server))
	})
	notices.Loads = notices.Loads[:min(len(notices.Loads), maxLoads)]
	notices.LoadsAge = sums.Age.Milliseconds()
}

// applyLoads applies the sums of a heartbeat that was sent no earlier than sentAt. A server that it does not list
// has few requests, unless the list is full. Then nothing is known of it: if those left out counted as empty, they
// would draw nearly all calls.
func (s *State) applyLoads(sentAt time.Time, notices *vrwire.Notices) {
	at := sentAt.Add(-time.Duration(max(0, notices.LoadsAge)) * time.Millisecond)
	for i := range s.catalog.Services {
		service := s.catalog.Services[i].ID
		if !s.ordersAdmission(service) {
			continue
		}
		for _, server := range s.fleet.ServersOf(service) {
			index := slices.IndexFunc(notices.Loads, func(load vrwire.ServerRequests) bool { return load.Server == server.ID })
			switch {
			case index >= 0:
				server.SetOthersRequests(at, int(notices.Loads[index].Requests))
			case len(notices.Loads) < maxLoads:
				server.SetOthersRequests(at, 0)
			}
		}
	}
}

// silenceFails reports whether the silence of a send since a time counts as a failure of its server. A server on a
// slow machine has longer, but not time after time.
func (s *State) silenceFails(now time.Time, server *vrfleet.Server, since time.Time) bool {
	silence := now.Sub(since)
	if !s.ordersAdmission(server.Service) || silence < minFirstByteTimeout {
		return silence >= minFirstByteTimeout
	}
	if silence >= time.Duration(float64(minFirstByteTimeout)*server.SlowestPace(now)) {
		return true
	}
	return !server.ExcuseSilence(now, since)
}

// recordAnswer records the answer of a server. Where admission is ordered, an error is no success of the server, and
// the time of an answer counts as its service time. Of a stream, the time to the first event counts as that of its
// prompt, because it includes the wait for a slot.
func (s *State) recordAnswer(now time.Time, c *call, a *attempt, e *vrevent.SendEnded) {
	if s.ordersAdmission(c.service) {
		if e.Status >= statusServerError {
			a.server.RecordError(now)
			return
		}
		elapsed := now.Sub(a.sentAt)
		if c.route.Kind == vrcatalog.RouteStream {
			elapsed -= max(0, e.TimeToFirstByte-s.fleet.PromptTime(c.PromptTokens))
		}
		s.fleet.RecordServiceTime(a.server, elapsed)
	}
	a.server.RecordSuccess(now, e.TimeToFirstByte)
}

// soonerServer returns the server for a hedge of a send that has been silent, or nil. Where admission is ordered,
// it has to be expected to answer sooner than the present one, which is expected to stay silent for as long as it
// has been, or as its load tells.
func (s *State) soonerServer(now time.Time, c *call, silence time.Duration, exclude ...vrid.ServerID) *vrfleet.Server {
	server := s.otherServer(now, c, exclude...)
	if server == nil || !s.ordersAdmission(c.service) {
		return server
	}
	need := s.requirements(c)
	present := max(silence, s.chooser.ExpectedAnswer(now, c.server, &need)-silence)
	if s.chooser.ExpectedAnswer(now, server, &need) >= present {
		return nil
	}
	return server
}
