package vrcaller

import (
	"errors"
	"net"
)

// isNotSent reports whether the connection was never made, so that nothing was sent.
func isNotSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
