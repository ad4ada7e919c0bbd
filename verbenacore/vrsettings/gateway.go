package vrsettings

import (
	"fmt"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Gateway holds the settings of a daemon that routes to servers which register themselves
// in the platform's store.
type Gateway struct {
	// Daemon is the id of the entry VM.
	Daemon vrid.DaemonID `json:"daemon"`
	Zone   vrid.ZoneID   `json:"zone"`
	// Regions maps each availability zone of the fleet to its region.
	Regions map[vrid.ZoneID]vrid.RegionID `json:"regions"`
	// Callers, Readiness, Peers and Metrics are IP addresses with ports to listen on.
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
	// Store is the IP address and port of the platform's store.
	Store string `json:"store"`
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool `json:"firstStart"`
	// CPU is the part of a core that the gateway may use.
	CPU float64 `json:"cpu"`
	// Memory is the memory that the gateway may use.
	Memory vrid.Bytes    `json:"memory"`
	Bounds GatewayBounds `json:"bounds"`
	Limits GatewayLimits `json:"limits"`
}

// GatewayLimits bound what the gateway reads from servers.
type GatewayLimits struct {
	// ResponseHead is the largest head of a server's response, together with the interim
	// responses before it. A longer one counts as a broken connection.
	ResponseHead vrid.Bytes `json:"responseHead"`
}

// GatewayBounds are the time limits and ratios that the deployment sets.
type GatewayBounds struct {
	// Lease is the minimum time between orders from two different machines to one server.
	Lease vrid.Duration `json:"lease"`
	// ContactTimeout is the time within which a connection that has gone silent must be
	// detected.
	ContactTimeout vrid.Duration `json:"contact"`
	// DrainTimeout is the time after which a leaving server must get no new requests.
	DrainTimeout vrid.Duration `json:"drain"`
	// GracePeriod is the time between the signal to stop and the forced termination.
	GracePeriod vrid.Duration `json:"grace"`
	// RetryRatio is the fraction of a service's requests that may be retried. RetrySlack
	// more retries are allowed in each RetryWindow, summed over all daemons.
	RetryRatio  float64       `json:"retryRatio"`
	RetrySlack  float64       `json:"retrySlack"`
	RetryWindow vrid.Duration `json:"retryWindow"`
	// CeilingFactor limits the loads from the weight store that may start in each
	// CeilingWindow, relative to the rate that a service declares.
	CeilingFactor float64       `json:"ceilingFactor"`
	CeilingWindow vrid.Duration `json:"ceilingWindow"`
	// Revocation is the time after which a request with a withdrawn API key must not run, at any daemon.
	// Zero means that there is no such limit.
	Revocation vrid.Duration `json:"revocation"`
	// CatalogApply is the time within which a new catalog must be in force.
	CatalogApply vrid.Duration `json:"catalogApply"`
	// In each QuotaWindow, a tenant may exceed its quota by the fraction QuotaOverrun and by QuotaSlack, in
	// the unit of the quota.
	QuotaWindow  vrid.Duration `json:"quotaWindow"`
	QuotaOverrun float64       `json:"quotaOverrun"`
	QuotaSlack   float64       `json:"quotaSlack"`
}

// Defaults of the bounds and the memory that a deployment does not set. The bounds are the
// strictest values of the currently known deployments.
const (
	defaultLease          = vrid.Duration(3 * time.Second)
	defaultContactTimeout = vrid.Duration(3 * time.Second)
	defaultDrainTimeout   = vrid.Duration(2500 * time.Millisecond)
	defaultGracePeriod    = vrid.Duration(8 * time.Second)
	defaultRetryRatio     = 0.2
	defaultRetryWindow    = vrid.Duration(10 * time.Second)
	defaultCeilingFactor  = 1.1
	defaultCeilingWindow  = vrid.Duration(5 * time.Second)
	defaultGatewayMemory  = 256 * vrid.MiB
	defaultResponseHead   = 64 * vrid.KiB
	defaultCPU            = 1.0
	defaultCatalogApply   = vrid.Duration(2500 * time.Millisecond)
	defaultQuotaWindow    = vrid.Duration(8 * time.Second)
)

// minResponseHead is the smallest limit for the head of a response. The heads of ordinary
// responses are a few hundred bytes.
const minResponseHead = vrid.KiB

// WithDefaults returns a copy in which the memory, every limit and every bound, except RetrySlack, are
// set to their default if they are zero.
func (g *Gateway) WithDefaults() *Gateway {
	completed := *g
	setDefault(&completed.Bounds.Lease, defaultLease)
	setDefault(&completed.Bounds.ContactTimeout, defaultContactTimeout)
	setDefault(&completed.Bounds.DrainTimeout, defaultDrainTimeout)
	setDefault(&completed.Bounds.GracePeriod, defaultGracePeriod)
	setDefault(&completed.Bounds.RetryRatio, defaultRetryRatio)
	setDefault(&completed.Bounds.RetryWindow, defaultRetryWindow)
	setDefault(&completed.Bounds.CeilingFactor, defaultCeilingFactor)
	setDefault(&completed.Bounds.CeilingWindow, defaultCeilingWindow)
	setDefault(&completed.Bounds.CatalogApply, defaultCatalogApply)
	setDefault(&completed.Bounds.QuotaWindow, defaultQuotaWindow)
	setDefault(&completed.CPU, defaultCPU)
	setDefault(&completed.Memory, defaultGatewayMemory)
	setDefault(&completed.Limits.ResponseHead, defaultResponseHead)
	return &completed
}

// Validate checks all settings and reports every invalid field at once.
func (g *Gateway) Validate() error {
	c := &vrconfig.Checker{}
	c.Require(g.Daemon != "", "daemon", "nothing", "the id of the entry VM")
	c.Require(g.Zone != "", "zone", "nothing", "an availability zone")
	c.Require(g.Regions[g.Zone] != "", "regions", fmt.Sprintf("no region of %q", g.Zone), "the region of each availability zone")
	for field, address := range map[string]string{
		"callers": g.Callers, "readiness": g.Readiness, "peers": g.Peers, "metrics": g.Metrics, "store": g.Store,
	} {
		checkAddress(c, field, address)
	}
	b := g.Bounds
	for field, value := range map[string]vrid.Duration{
		"bounds.lease": b.Lease, "bounds.contact": b.ContactTimeout, "bounds.drain": b.DrainTimeout, "bounds.grace": b.GracePeriod,
		"bounds.retryWindow": b.RetryWindow, "bounds.ceilingWindow": b.CeilingWindow,
		"bounds.catalogApply": b.CatalogApply, "bounds.quotaWindow": b.QuotaWindow,
	} {
		c.Require(value > 0, field, value, "a positive time")
	}
	c.Require(b.Revocation >= 0, "bounds.revocation", b.Revocation, "a time, or 0 for no limit")
	c.Require(b.QuotaOverrun >= 0, "bounds.quotaOverrun", b.QuotaOverrun, "0 or more")
	c.Require(b.QuotaSlack >= 0, "bounds.quotaSlack", b.QuotaSlack, "0 or more")
	c.Require(g.CPU > 0, "cpu", g.CPU, "a positive number of cores")
	c.Require(b.RetryRatio > 0, "bounds.retryRatio", b.RetryRatio, "a positive number")
	c.Require(b.RetrySlack >= 0, "bounds.retrySlack", b.RetrySlack, "0 or more")
	c.Require(g.Limits.ResponseHead >= minResponseHead, "limits.responseHead", g.Limits.ResponseHead, "1024 bytes or more")
	c.Require(b.CeilingFactor > 0, "bounds.ceilingFactor", b.CeilingFactor, "a positive number")
	return c.Err()
}
