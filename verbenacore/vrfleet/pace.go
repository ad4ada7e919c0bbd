package vrfleet

import "verbenaroute.example/verbenacore/vrid"

// RecordPace records the pace that a server states in a load report, in percent of the usual time, or zero if
// it states none.
func (f *Fleet) RecordPace(server *Server, pace int) {
	if pace > 0 {
		f.sharing[server.Service] = true
	}
}

// SharesMachines reports whether a server of the service has stated its pace, which servers do that share
// their machines with others. It stays set when that server restarts or leaves, because the others of its
// service run on such machines too.
func (f *Fleet) SharesMachines(service vrid.ServiceID) bool { return f.sharing[service] }
