// Package vrclient holds the HTTP clients of a daemon: the platform, the language
// servers and the application servers. Every call is written to a connection at most
// once, and each result says whether the other side can have seen it.
package vrclient

import (
	"errors"
	"fmt"
	"os"

	"verbenaroute.example/verbenacore/vrevent"
)

// AttemptError says how a call failed and whether it can have run.
type AttemptError struct {
	Address string
	// Result is AttemptNotSent only when no byte of the request left this process.
	Result vrevent.AttemptResult
	// Status is the HTTP status, or 0 when no answer came.
	Status int
	// Code is the back end's error code, if it sent one.
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

// ProtocolError says what is wrong with an answer.
type ProtocolError struct {
	// What names the part of the answer, for example "offset".
	What    string
	Problem string
}

func (e *ProtocolError) Error() string { return fmt.Sprintf("%s: %s", e.What, e.Problem) }

// resultOf returns the classification of an error of this package.
func resultOf(err error) vrevent.AttemptResult {
	var attempt *AttemptError
	switch {
	case err == nil:
		return vrevent.AttemptAnswered
	case errors.As(err, &attempt):
		return attempt.Result
	default:
		return vrevent.AttemptBroken
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
