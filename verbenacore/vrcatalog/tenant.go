package vrcatalog

import "verbenaroute.example/verbenacore/vrid"

// QuotaUnit is what a quota counts.
type QuotaUnit uint8

// Units of quotas.
const (
	UnitRequests QuotaUnit = iota
	UnitTokens
)

// Quota limits what the requests of a tenant may use over all daemons together, as a token bucket.
type Quota struct {
	Unit QuotaUnit
	// Rate is the credit that accrues per second, zero if there is no limit.
	Rate float64
	// Burst is the largest credit that accrues while a tenant sends nothing.
	Burst float64
	// DefaultCost is the cost of a request that declares no tokens, if the unit is UnitTokens.
	DefaultCost int64
}

// Tenant is a customer whose requests carry one of its API keys.
type Tenant struct {
	ID vrid.TenantID
	// Keys are the digests of the tenant's API keys.
	Keys []vrid.KeyDigest
	// Priority is the rank of the tenant's requests; 0 is the highest. It takes precedence over that of the
	// route.
	Priority int
	Quota    Quota
}

// Cost returns what a request counts towards the tenant's quota. declared says whether the request declares
// its tokens.
func (t *Tenant) Cost(promptTokens, outputTokens int, declared bool) int64 {
	switch {
	case t.Quota.Unit != UnitTokens:
		return 1
	case declared:
		return int64(promptTokens) + int64(outputTokens)
	default:
		return t.Quota.DefaultCost
	}
}

// HasTenants reports whether requests need an API key, apart from those of public routes.
func (c *Catalog) HasTenants() bool { return len(c.Tenants) > 0 }

// TenantByKey returns the tenant that holds the key with the digest, or nil.
func (c *Catalog) TenantByKey(key vrid.KeyDigest) *Tenant { return c.tenantsByKey[key] }

// Tenant returns the tenant with the id, or nil.
func (c *Catalog) Tenant(id vrid.TenantID) *Tenant { return c.tenantsByID[id] }

// indexTenants builds the indexes of the tenants. If two tenants hold the same key, it is the first one's.
func (c *Catalog) indexTenants() {
	c.tenantsByKey = make(map[vrid.KeyDigest]*Tenant)
	c.tenantsByID = make(map[vrid.TenantID]*Tenant, len(c.Tenants))
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		c.tenantsByID[tenant.ID] = tenant
		for _, key := range tenant.Keys {
			if c.tenantsByKey[key] == nil {
				c.tenantsByKey[key] = tenant
			}
		}
	}
}
