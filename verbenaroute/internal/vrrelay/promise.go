package vrrelay

import (
	"encoding/json"
	"fmt"
	"net/http"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// ReplacedStatus describes a server's response in place of which the client got one of the gateway.
type ReplacedStatus struct {
	Request vrid.RequestID
	Server  vrid.ServerID
	// Status is that of the server, Sent the one that the client got.
	Status, Sent int
}

// clientStatus decides with which status a server's final response may leave the proxy. Statuses 429, 503, 408
// and 421 promise a client that its request has not run and never will. For a request that may run at most once, such a status of a server is not passed on: clients would
// send a request again that may have run. A response that proves that the request did not run doesn't get here,
// because the reducer decides on the call then.
func clientStatus(send *vrevent.SendCall, status int) int {
	if !send.AtMostOnce {
		return status
	}
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return http.StatusBadGateway
	}
	return status
}

// replaceResponse gives the client a response of the gateway in place of one whose status may not leave the
// proxy. The rest of that response is read only to keep the connection.
func (a *sendAttempt) replaceResponse(response *http.Response, status int) {
	a.reusable = a.drain(response) == nil && allowsReuse(response)
	detail := fmt.Sprintf("the server answered with status %d, which doesn't prove that the request has not run", response.StatusCode)
	data := marshalProblem(vrwire.ReasonOutcomeUnknown, status, false, a.handler.call.Request, detail)
	a.deliver(&bufferedResponse{status: status, header: http.Header{"Content-Type": {vrwire.ContentTypeProblem}}, body: data})
	if notify := a.handler.proxy.opts.OnStatusReplaced; notify != nil && a.result.Result != vrevent.AttemptSuperseded {
		notify(ReplacedStatus{Request: a.handler.call.Request, Server: a.send.Server, Status: response.StatusCode, Sent: status})
	}
}

// marshalProblem returns the body of a response of the gateway itself.
func marshalProblem(reason vrwire.Reason, status int, notRun bool, request vrid.RequestID, detail string) []byte {
	ran := vrrecord.RanUnknown
	if notRun {
		ran = vrrecord.RanNo
	}
	data, err := json.Marshal(vrwire.Problem{
		Type: "about:blank", Title: reason.Title(), Status: status, Detail: detail, Reason: reason, Ran: ran.String(), NotRun: notRun,
		RequestID: request, Error: vrwire.NewProblemError(reason),
	})
	if err != nil {
		return nil
	}
	return data
}
