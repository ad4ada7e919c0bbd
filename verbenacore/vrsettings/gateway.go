package vrsettings

import (
	"fmt"
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Gateway holds the settings of a daemon that stands before servers which register
// themselves in the platform's store.
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
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool          `json:"firstStart"`
	Memory     vrid.Bytes    `json:"memory"`
	Bounds     GatewayBounds `json:"bounds"`
}

// GatewayBounds are the figures that the deployment sets.
type GatewayBounds struct {
	// Lease is the least time between orders of two machines to one server.
	Lease vrid.Duration `json:"lease"`
	// Contact is the time after which a silent connection must have been noticed.
	Contact vrid.Duration `json:"contact"`
	// Drain is the time in which a leaving server has to be without new requests.
	Drain vrid.Duration `json:"drain"`
	// Grace is the time between the signal to stop and the end by force.
	Grace vrid.Duration `json:"grace"`
	// RetryRatio and RetrySlack bound the repeats in each RetryWindow.
	RetryRatio  float64       `json:"retryRatio"`
	RetrySlack  float64       `json:"retrySlack"`
	RetryWindow vrid.Duration `json:"retryWindow"`
	// CeilingFactor bounds the loads from the weight store in each CeilingWindow.
	CeilingFactor float64       `json:"ceilingFactor"`
	CeilingWindow vrid.Duration `json:"ceilingWindow"`
}

// Defaults of the bounds, for a deployment that does not set one: the strictest figures
// of the deployments known today.
const (
	defaultLease         = vrid.Duration(3 * time.Second)
	defaultContact       = vrid.Duration(3 * time.Second)
	defaultDrain         = vrid.Duration(2500 * time.Millisecond)
	defaultGrace         = vrid.Duration(8 * time.Second)
	defaultRetryRatio    = 0.2
	defaultRetryWindow   = vrid.Duration(10 * time.Second)
	defaultCeilingFactor = 1.1
	defaultCeilingWindow = vrid.Duration(5 * time.Second)
	defaultGatewayMemory = 256 * vrid.MiB
)

// WithDefaults returns a copy in which every bound that is zero has its default.
func (g *Gateway) WithDefaults() *Gateway {
	filled := *g
	fill(&filled.Bounds.Lease, defaultLease)
	fill(&filled.Bounds.Contact, defaultContact)
	fill(&filled.Bounds.Drain, defaultDrain)
	fill(&filled.Bounds.Grace, defaultGrace)
	fill(&filled.Bounds.RetryRatio, defaultRetryRatio)
	fill(&filled.Bounds.RetryWindow, defaultRetryWindow)
	fill(&filled.Bounds.CeilingFactor, defaultCeilingFactor)
	fill(&filled.Bounds.CeilingWindow, defaultCeilingWindow)
	fill(&filled.Memory, defaultGatewayMemory)
	return &filled
}

// Validate checks the settings as a whole and reports every mistake at once.
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
		"bounds.lease": b.Lease, "bounds.contact": b.Contact, "bounds.drain": b.Drain, "bounds.grace": b.Grace,
		"bounds.retryWindow": b.RetryWindow, "bounds.ceilingWindow": b.CeilingWindow,
	} {
		c.Require(value > 0, field, value, "a positive time")
	}
	c.Require(b.RetryRatio > 0, "bounds.retryRatio", b.RetryRatio, "a positive number")
	c.Require(b.RetrySlack >= 0, "bounds.retrySlack", b.RetrySlack, "0 or more")
	c.Require(b.CeilingFactor > 0, "bounds.ceilingFactor", b.CeilingFactor, "a positive number")
	return c.Err()
}
