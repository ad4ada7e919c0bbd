// Package vrdialect defines the contents of request and response headers independently of the
// platform. A platform's adapter translates them to and from the platform's header names.
package vrdialect

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// RequestInfo holds the contents of the request headers that the gateway adds to the client's
// own.
type RequestInfo struct {
	Server vrid.ServerID
	// Remaining is the time remaining until the response has to be complete.
	Remaining time.Duration
	Priority  int
	// LastEvent is the id of the last event that the client has received. It is set if this
	// server is to resume a stream.
	LastEvent string
	// Reservation is the place that this server reserved for the request, or empty.
	Reservation vrid.ReservationID
	// HasTenants is set if the catalog has tenants. Tenant is that of the request, empty for a public route.
	HasTenants bool
	Tenant     vrid.TenantID
}

// ResponseInfo holds the contents of the headers of a server's response.
type ResponseInfo struct {
	// Request is the id of the request that the response belongs to.
	Request vrid.RequestID
	// Signed is set if the response carries a server's signature, which shows that no
	// intermediary produced it.
	Signed bool
	// NotRun is set if the server guarantees that it did not run the request.
	NotRun bool
	// OtherServer is set if the address now belongs to another server.
	OtherServer bool
	// Leaving is set if the server takes no new work from now on.
	Leaving bool
	// Load is the server's load report, nil if the response has none.
	Load *vrevent.ServerLoad
}
