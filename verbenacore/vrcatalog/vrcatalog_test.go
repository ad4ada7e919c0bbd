package vrcatalog_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"verbenaroute.example/verbenacore/vrcatalog"
	"verbenaroute.example/verbenacore/vrid"
)

func route(id vrcatalog.RouteID, host, prefix string) vrcatalog.Route {
	return vrcatalog.Route{
		ID: id, Host: host, Prefix: prefix, Kind: vrcatalog.RouteAtMostOnce,
		Services: []vrcatalog.Split{{Service: "app", Weight: 1}},
	}
}

func build(t *testing.T, routes ...vrcatalog.Route) *vrcatalog.Catalog {
	catalog := &vrcatalog.Catalog{Routes: routes, Services: []vrcatalog.Service{{ID: "app"}}}
	require.NoError(t, catalog.Build())
	return catalog
}

func matched(c *vrcatalog.Catalog, host, path string) vrcatalog.RouteID {
	if found := c.Match(host, path); found != nil {
		return found.ID
	}
	return ""
}

// A wrong match would send a request to the services of another route or host.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	catalog := build(t, route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/"))
	for _, test := range []struct {
		host, path string
		want       vrcatalog.RouteID
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.example:80", "/x/y/1", "long"},
		{"a.example", "/x", ""},
		{"b.example", "/x/y/1", "other"},
		{"c.example", "/x/1", ""},
	} {
		require.Equal(t, test.want, matched(catalog, test.host, test.path), "%s %s", test.host, test.path)
	}
}

// A route without a usable service would have no destination for its requests, or would send
// them to a service that the operator removed.
func TestBuildRefusesUnusableRoutes(t *testing.T) {
	unknown := route("r", "a", "/x/")
	unknown.Services = []vrcatalog.Split{{Service: "gone", Weight: 1}}
	unweighted := route("r", "a", "/x/")
	unweighted.Services = []vrcatalog.Split{{Service: "app"}}
	for _, bad := range []vrcatalog.Route{unknown, unweighted, route("r", "a", "x/"), route("r", "a", "/x")} {
		catalog := &vrcatalog.Catalog{Routes: []vrcatalog.Route{bad}, Services: []vrcatalog.Service{{ID: "app"}}}
		var routeErr *vrcatalog.RouteError
		require.True(t, errors.As(catalog.Build(), &routeErr))
	}
}

// A service with weight zero must get no requests, also for draws at the ends of the range.
func TestPickFollowsTheWeights(t *testing.T) {
	r := vrcatalog.Route{Services: []vrcatalog.Split{{Service: "off"}, {Service: "most", Weight: 9}, {Service: "few", Weight: 1}}}
	for draw, want := range map[float64]vrid.ServiceID{0: "most", 0.89: "most", 0.91: "few", 0.9999: "few"} {
		require.Equal(t, want, r.Pick(draw), "draw %v", draw)
	}
}
