// Package vrdialect holds what a gateway and a platform's adapter tell each other about the
// headers of requests and answers, without the platform's names.
package vrdialect

import (
	"time"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// Outgoing is what the system tells a server beside the client's own headers.
type Outgoing struct {
	Server vrid.ServerID
	// Left is the time that the server has.
	Left     time.Duration
	Priority int
	// LastEvent is set when a stream goes on at this server.
	LastEvent string
}

// Answer is what a server's answer says beside its body.
type Answer struct {
	// Request is the id of the request that the answer belongs to.
	Request vrid.RequestID
	// Signed is set when the answer is a server's own.
	Signed bool
	// NotRun is set when the server promises that it did not run the request.
	NotRun bool
	// OtherServer is set when the address belongs to another server now.
	OtherServer bool
	Load        *vrevent.ServerLoad
}
