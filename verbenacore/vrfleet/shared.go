package vrfleet

import "verbenaroute.example/verbenacore/vrid"

// RecordStated records the slots and the pace that a load report of a server states, each zero if it does not.
func (f *Fleet) RecordStated(server *Server, slots, pace int) {
	if slots > 0 {
		server.StatedSlots = slots
	}
	if pace > 0 {
		f.sharedServices[server.Service] = true
	}
}

// SharesMachines reports whether a server of the service has stated its pace. Such servers share their machines
// with other work, which slows them down.
func (f *Fleet) SharesMachines(service vrid.ServiceID) bool { return f.sharedServices[service] }
