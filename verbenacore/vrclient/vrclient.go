// Package vrclient holds a daemon's HTTP clients for the platform, the language servers and
// the application servers. A request is written to a connection at most once per attempt, and
// each result says whether the server can have received it.
package vrclient

import (
	"errors"
	"fmt"
	"os"

	"verbenaroute.example/verbenacore/vrevent"
)

// AttemptError reports how a call failed and whether the server can have run it.
type AttemptError struct {
	Address string
	// Result is AttemptNotSent only when no byte of the request left this process.
	Result vrevent.AttemptResult
	// Status is the HTTP status if the response itself reports the failure, and 0 if the
	// exchange failed before the response was complete.
	Status int
	// Code is the error code that a language server returned, if any.
	Code string
	Err  error
}

func (e *AttemptError) Error() string {
	switch {
	case e.Code != "":
		return fmt.Sprintf("%s: status %d, error %s", e.Address, e.Status, e.Code)
	case e.Status != 0 && e.Err == nil:
		return fmt.Sprintf("%s: status %d", e.Address, e.Status)
	default:
		return fmt.Sprintf("%s: %v", e.Address, e.Err)
	}
}

func (e *AttemptError) Unwrap() error { return e.Err }

// ProtocolError reports an invalid part of a response, a request or an option.
type ProtocolError struct {
	// Part names what is invalid: a field, a header, an object key, an option or the kind of
	// message.
	Part    string
	Problem string
}

func (e *ProtocolError) Error() string { return fmt.Sprintf("%s: %s", e.Part, e.Problem) }

// resultOf returns the result that an AttemptError carries. Any other error counts as
// AttemptBroken.
func resultOf(err error) vrevent.AttemptResult {
	var attemptErr *AttemptError
	switch {
	case err == nil:
		return vrevent.AttemptAnswered
	case errors.As(err, &attemptErr):
		return attemptErr.Result
	default:
		return vrevent.AttemptBroken
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
