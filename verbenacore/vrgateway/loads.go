package vrgateway

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrfleet"
	"verbenaroute.example/verbenacore/vrid"
)

// ordersAdmission reports whether calls to a service are admitted in order and sent to the server with the
// least expected completion: the catalog lists tenants, or servers of the service share their machines.
func (s *State) ordersAdmission(service vrid.ServiceID) bool {
	return (s.catalog != nil && s.catalog.HasTenants()) || s.fleet.SharesMachines(service)
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
		server.ApplyLoadReport(now, vrfleet.LoadReport(e.Load))
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
