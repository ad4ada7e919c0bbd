package vrcaller

import (
	"errors"
	"net"
)

// isDialError reports whether a call failed before a connection was established, so that nothing
// was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
