package vrgateway

import "verbenaroute.example/verbenacore/vrcatalog"

// needsKey reports whether a call needs an API key: the catalog lists tenants, and the route isn't public.
func (s *State) needsKey(c *call) bool {
	return s.catalog.HasTenants() && !c.route.Public
}

// findTenant returns the tenant of a call by the catalog in force, or nil if the call needs no API key or
// carries none that the catalog knows.
func (s *State) findTenant(c *call) *vrcatalog.Tenant {
	if !c.HasKey || !s.needsKey(c) {
		return nil
	}
	return s.catalog.TenantByKey(c.Key)
}
