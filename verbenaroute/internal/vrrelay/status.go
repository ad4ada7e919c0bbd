package vrrelay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// maxFinalStatus is the largest status that RFC 9110 defines.
const maxFinalStatus = 599

// StatusRangeError reports a response whose status can't be that of a final response, nor that of an
// interim one that the gateway expects. Nothing that the response states is believed.
type StatusRangeError struct{ Status int }

func (e *StatusRangeError) Error() string {
	return fmt.Sprintf("response has the invalid status %03d", e.Status)
}

// checkStatus reports whether a response is a final one. It returns an error unless the response is a final
// or an expected interim one. The gateway never asks for another protocol, so status 101 is not expected.
func checkStatus(status int) (final bool, err error) {
	switch {
	case status >= http.StatusOK && status <= maxFinalStatus:
		return true, nil
	case status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols:
		return false, nil
	default:
		return false, &StatusRangeError{Status: status}
	}
}

// errInvalidStatusBehindRefusal ends a send whose server has sent a response with an invalid status behind a
// refusal. The refusal then doesn't prove that the request did not run.
var errInvalidStatusBehindRefusal = errors.New("refusal is followed by a response with an invalid status")

// The start of a status line has the form "HTTP/1.1 200".
const (
	statusLineStart  = "HTTP/"
	statusLinePrefix = len("HTTP/1.1 ")
	statusLineLength = len("HTTP/1.1 200")
)

// hasInvalidStatus reports whether the next bytes are the start of a response whose status is none. It
// tells a response that http.ReadResponse can't parse from other bytes.
func hasInvalidStatus(reader *bufio.Reader) bool {
	line, err := reader.Peek(statusLineLength)
	if err != nil || !bytes.HasPrefix(line, []byte(statusLineStart)) {
		return false
	}
	status := 0
	for _, digit := range line[statusLinePrefix:] {
		if digit < '0' || digit > '9' {
			return true
		}
		status = status*10 + int(digit-'0')
	}
	_, err = checkStatus(status)
	return err != nil
}
