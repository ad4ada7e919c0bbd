// Package vrcatalog defines the configuration that operators publish for the whole fleet: routes
// by host and path, the services that serve them, and the models of language services. A
// Catalog is immutable once it is built; a newer version replaces it as a whole.
package vrcatalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// RouteID identifies a route.
type RouteID string

// RouteKind says whether the requests of a route may be repeated, and how they are answered.
type RouteKind uint8

// Kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = iota + 1
	// RouteAtMostOnce requests run at most once.
	RouteAtMostOnce
	// RouteStream requests are answered by a stream of events.
	RouteStream
)

// Split assigns a share of a route's requests to a service.
type Split struct {
	Service vrid.ServiceID
	// Weight is the service's share, relative to the sum of the route's weights. A service
	// with weight zero gets no requests.
	Weight float64
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	ID   RouteID
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable streams may be continued at another server after the last delivered event,
	// and may be run again.
	Resumable bool
	// Services holds at least one entry with a positive weight.
	Services []Split
	// Timeout is the maximum time from a request's arrival to the end of its response.
	Timeout time.Duration
	// Target is the latency target: the maximum time to the response, or to the first event
	// of a stream, for which the request gets full credit.
	Target time.Duration
	// PauseTarget is the longest pause between two events of a stream for which it gets full
	// credit, zero if the route declares none.
	PauseTarget time.Duration
	// Priority is the rank of the route's requests; 0 is the highest and is served first.
	Priority int
	// MaxAttempts is the maximum number of servers that one client attempt may run on, at
	// least 1.
	MaxAttempts int
	// Public routes need no API key in a catalog with tenants.
	Public bool
}

// Repeatable reports whether a request may be sent again although it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// Service is a set of interchangeable servers.
type Service struct {
	ID vrid.ServiceID
	// MaxConnections is the number of connections that one server accepts from all callers.
	MaxConnections int
	// Engine is set for language services, nil for others.
	Engine *Engine
}

// Engine describes the language servers of a service.
type Engine struct {
	// Slots is the number of requests that a server runs at once.
	Slots  int
	Models []Model
	// Memory is the memory of a server for weights and adapters.
	Memory vrid.Bytes
	// AdapterSlots is the number of adapters that a server can have loaded at once.
	AdapterSlots int
	// CacheTokens is the capacity of a server's KV cache for prompts and running requests,
	// in tokens.
	CacheTokens int
	// LoadRate is the maximum number of model loads from the weight store that may begin
	// per second, over all servers.
	LoadRate float64
	// MaxReservation is the longest time for which a server reserves a place for a request. It is
	// zero if servers reserve none.
	MaxReservation time.Duration
	modelsByID     map[vrid.ModelID]*Model
}

// Model returns the declared model with the id, or nil.
func (e *Engine) Model(id vrid.ModelID) *Model { return e.modelsByID[id] }

// Model describes a model that a language service offers.
type Model struct {
	ID vrid.ModelID
	// Weights is the size of the model's weights.
	Weights vrid.Bytes
	// AdapterSize is the memory that one adapter of the model takes.
	AdapterSize vrid.Bytes
	// StoreLoad, DiskLoad and MemoryLoad are the times that loading the model takes from the
	// weight store, from the server's disk and from its host memory.
	StoreLoad, DiskLoad, MemoryLoad time.Duration
}

// Limits bound the requests that clients may send. Sizes are in bytes.
type Limits struct {
	Header        int
	Body          int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one published version of the configuration.
type Catalog struct {
	Version  vrid.ConfigVersion
	Routes   []Route
	Services []Service
	Limits   Limits
	// Tenants is empty if requests need no API key.
	Tenants      []Tenant
	tenantsByKey map[vrid.KeyDigest]*Tenant
	tenantsByID  map[vrid.TenantID]*Tenant
	servicesByID map[vrid.ServiceID]*Service
	// routesByHost holds the routes of each lower-case host name, the longest prefix first.
	routesByHost map[string][]*Route
}

// RouteError reports why a route is invalid.
type RouteError struct {
	Route   RouteID
	Problem string
}

func (e *RouteError) Error() string { return fmt.Sprintf("route %q: %s", e.Route, e.Problem) }

// Build validates and indexes the catalog. It returns a *RouteError for the first invalid
// route.
func (c *Catalog) Build() error {
	c.servicesByID = make(map[vrid.ServiceID]*Service, len(c.Services))
	for i := range c.Services {
		service := &c.Services[i]
		c.servicesByID[service.ID] = service
		if service.Engine != nil {
			service.Engine.index()
		}
	}
	c.indexTenants()
	c.routesByHost = make(map[string][]*Route)
	for i := range c.Routes {
		route := &c.Routes[i]
		if err := c.checkRoute(route); err != nil {
			return err
		}
		host := strings.ToLower(route.Host)
		c.routesByHost[host] = append(c.routesByHost[host], route)
	}
	for _, routes := range c.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return nil
}

func (e *Engine) index() {
	e.modelsByID = make(map[vrid.ModelID]*Model, len(e.Models))
	for i := range e.Models {
		e.modelsByID[e.Models[i].ID] = &e.Models[i]
	}
}

// checkRoute returns a *RouteError if the route is invalid.
func (c *Catalog) checkRoute(route *Route) error {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return &RouteError{Route: route.ID, Problem: fmt.Sprintf("prefix %q does not begin and end with a slash", route.Prefix)}
	}
	if route.Kind == 0 {
		return &RouteError{Route: route.ID, Problem: "type is unknown"}
	}
	total := 0.0
	for _, split := range route.Services {
		if c.servicesByID[split.Service] == nil {
			return &RouteError{Route: route.ID, Problem: fmt.Sprintf("service %q is not declared", split.Service)}
		}
		total += max(split.Weight, 0)
	}
	if total <= 0 {
		return &RouteError{Route: route.ID, Problem: "no service has a positive weight"}
	}
	return nil
}

// Service returns the declared service with the id, or nil.
func (c *Catalog) Service(id vrid.ServiceID) *Service { return c.servicesByID[id] }

// Match returns the host's route with the longest prefix that matches the path, or nil. A
// port in host is ignored.
func (c *Catalog) Match(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	for _, route := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Pick selects a service by weight. draw is a random number in [0, 1).
func (r *Route) Pick(draw float64) vrid.ServiceID {
	total := 0.0
	for _, split := range r.Services {
		total += max(split.Weight, 0)
	}
	remaining := draw * total
	for _, split := range r.Services {
		remaining -= max(split.Weight, 0)
		if remaining < 0 && split.Weight > 0 {
			return split.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
