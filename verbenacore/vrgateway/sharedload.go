package vrgateway

import "verbenaroute.example/verbenacore/vrid"

// sharedLoad reports whether ordered admission is active for a service: the catalog lists tenants, or a server
// of the service has stated its pace.
func (s *State) sharedLoad(service vrid.ServiceID) bool {
	return s.catalog != nil && (s.catalog.HasTenants() || s.fleet.SharesMachines(service))
}

// sharesLoad reports whether ordered admission is active for any service.
func (s *State) sharesLoad() bool {
	if s.catalog == nil {
		return false
	}
	for i := range s.catalog.Services {
		if s.sharedLoad(s.catalog.Services[i].ID) {
			return true
		}
	}
	return false
}
