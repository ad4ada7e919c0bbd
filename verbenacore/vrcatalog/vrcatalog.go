// Package vrcatalog holds what operators publish for the whole fleet: routes by host and
// path, the services behind them, and the models of language services. A Catalog is
// immutable once it is built; a newer version replaces it as a whole.
package vrcatalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"verbenaroute.example/verbenacore/vrid"
)

// RouteID names a route.
type RouteID string

// RouteKind says what may be repeated on a route.
type RouteKind uint8

// Kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = iota + 1
	// RouteOnce requests run at most once.
	RouteOnce
	// RouteStream requests are answered by a series of events.
	RouteStream
)

// Split is one of several services that share a route's requests.
type Split struct {
	Service vrid.ServiceID
	// Weight is relative to the sum over the route; zero takes no request.
	Weight float64
}

// Route sends the requests of a host below a path to a service.
type Route struct {
	ID   RouteID
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable streams may go on at another server after the last event, and may be
	// run again.
	Resumable bool
	// Services holds at least one entry with a positive weight.
	Services []Split
	// Timeout is the longest time from arrival to the end of the answer.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event, for full credit.
	Target time.Duration
	// PauseTarget is the longest pause between two events for full credit; zero where
	// the route declares none.
	PauseTarget time.Duration
	// Priority is the rank of the route's requests; 0 is served first.
	Priority int
	// MaxAttempts is the largest number of servers for one client attempt, at least 1.
	MaxAttempts int
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// Service is a set of interchangeable servers.
type Service struct {
	ID vrid.ServiceID
	// MaxConnections is what one server accepts from all callers.
	MaxConnections int
	// Engine is set for language services.
	Engine *Engine
}

// Engine describes the language servers of a service.
type Engine struct {
	Slots  int
	Models []Model
	// Memory is what a server has for weights and adapters.
	Memory vrid.Bytes
	// AdapterPlaces is the number of adapters that a server holds at once.
	AdapterPlaces int
	// CacheTokens is the memory of a server for prompts and running requests.
	CacheTokens int
	// LoadRate bounds the loads from the weight store that begin each second, over all
	// servers.
	LoadRate float64
	models   map[vrid.ModelID]*Model
}

// Model returns a declared model or nil.
func (e *Engine) Model(id vrid.ModelID) *Model { return e.models[id] }

// Model is one declared model.
type Model struct {
	ID      vrid.ModelID
	Weights vrid.Bytes
	// AdapterSize is the memory of one adapter.
	AdapterSize vrid.Bytes
	// StoreLoad, DiskLoad and MemoryLoad are the times of a load by where the nearest copy is.
	StoreLoad, DiskLoad, MemoryLoad time.Duration
}

// Limits bound what a client may send.
type Limits struct {
	Header        int
	Body          int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one published version.
type Catalog struct {
	Version  vrid.ConfigVersion
	Routes   []Route
	Services []Service
	Limits   Limits
	services map[vrid.ServiceID]*Service
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
}

// RouteError says what makes a route unusable.
type RouteError struct {
	Route   RouteID
	Problem string
}

func (e *RouteError) Error() string { return fmt.Sprintf("route %q: %s", e.Route, e.Problem) }

// Build indexes the catalog and checks it. It returns a *RouteError for the first route
// that can't be used.
func (c *Catalog) Build() error {
	c.services = make(map[vrid.ServiceID]*Service, len(c.Services))
	for i := range c.Services {
		service := &c.Services[i]
		c.services[service.ID] = service
		if service.Engine != nil {
			service.Engine.index()
		}
	}
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		route := &c.Routes[i]
		if err := c.checkRoute(route); err != nil {
			return err
		}
		host := strings.ToLower(route.Host)
		c.hosts[host] = append(c.hosts[host], route)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return nil
}

func (e *Engine) index() {
	e.models = make(map[vrid.ModelID]*Model, len(e.Models))
	for i := range e.Models {
		e.models[e.Models[i].ID] = &e.Models[i]
	}
}

func (c *Catalog) checkRoute(route *Route) error {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return &RouteError{Route: route.ID, Problem: fmt.Sprintf("prefix %q does not begin and end with a slash", route.Prefix)}
	}
	if route.Kind == 0 {
		return &RouteError{Route: route.ID, Problem: "has no known type"}
	}
	total := 0.0
	for _, split := range route.Services {
		if c.services[split.Service] == nil {
			return &RouteError{Route: route.ID, Problem: fmt.Sprintf("service %q is not declared", split.Service)}
		}
		total += max(split.Weight, 0)
	}
	if total <= 0 {
		return &RouteError{Route: route.ID, Problem: "no service takes its requests"}
	}
	return nil
}

// Service returns a declared service or nil.
func (c *Catalog) Service(id vrid.ServiceID) *Service { return c.services[id] }

// Match returns the route of a host with the longest prefix of the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	for _, route := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Pick returns the service for a draw between 0 and 1.
func (r *Route) Pick(draw float64) vrid.ServiceID {
	total := 0.0
	for _, split := range r.Services {
		total += max(split.Weight, 0)
	}
	rest := draw * total
	for _, split := range r.Services {
		rest -= max(split.Weight, 0)
		if rest < 0 && split.Weight > 0 {
			return split.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
