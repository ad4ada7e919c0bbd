package vrfront

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// _problemType is the prefix of the type field, followed by the reason.
const _problemType = "urn:verbenaroute:problem:"

// RejectError is a refusal that the Front decides before a request reaches the reducer.
type RejectError struct {
	Reason vrwire.Reason
	Detail string
	// RetryAfter is zero if retrying does not help.
	RetryAfter time.Duration
}

func (e *RejectError) Error() string { return string(e.Reason) + ": " + e.Detail }

// reject returns a RejectError without RetryAfter.
func reject(reason vrwire.Reason, detail string) *RejectError {
	return &RejectError{Reason: reason, Detail: detail}
}

// newProblem returns the problem document of a refusal.
func newProblem(e vrevent.Refuse) vrwire.Problem {
	return vrwire.Problem{
		Type:      _problemType + string(e.Reason),
		Title:     e.Reason.Title(),
		Status:    e.Reason.Status(),
		Detail:    e.Detail,
		Reason:    e.Reason,
		Ran:       e.Ran.String(),
		NotRun:    e.Ran == vrrecord.RanNo,
		RequestID: e.Request,
		Error:     vrwire.NewProblemError(e.Reason),
	}
}

// appendProblem appends the JSON form of a refusal.
func appendProblem(out []byte, e vrevent.Refuse) []byte {
	// Marshaling a struct of strings, a number and a bool can't fail.
	data, _ := json.Marshal(newProblem(e))
	return append(out, data...)
}

// writeProblem writes a refusal as the response.
func writeProblem(ctx *fasthttp.RequestCtx, e vrevent.Refuse) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(e.Reason.Status())
	ctx.SetContentType(vrwire.ContentTypeProblem)
	ctx.Response.Header.Set(vrwire.HeaderRequestID, string(e.Request))
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	if e.Reason == vrwire.ReasonUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	ctx.SetBody(appendProblem(nil, e))
}

// rejectRequest answers a request that did not reach the reducer with a problem document,
// and submits the rejection for the record.
func (f *Front) rejectRequest(ctx *fasthttp.RequestCtx, request vrevent.Request, rejection *RejectError) {
	f.options.Submitter.Submit(vrevent.RequestRejected{Request: request, Reason: rejection.Reason})
	writeProblem(ctx, vrevent.Refuse{
		Request:    request.ID,
		Reason:     rejection.Reason,
		Detail:     rejection.Detail,
		Ran:        vrrecord.RanNo,
		RetryAfter: rejection.RetryAfter,
	})
}

// newUnparsedRequest returns a request of which only the id is known. Its rank is normal,
// because no declared kind sets another one yet.
func newUnparsedRequest() vrevent.Request {
	return vrevent.Request{ID: newRequestID(), Rank: vrid.RankNormal}
}

// handleProtocolError rejects a request that could not be read as HTTP.
func (f *Front) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	f.rejectRequest(ctx, newUnparsedRequest(), protocolRejection(err))
}

// protocolRejection returns the rejection for an error of the HTTP server.
func protocolRejection(err error) *RejectError {
	var bufferErr *fasthttp.ErrSmallBuffer
	var timeoutErr interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return reject(vrwire.ReasonBodyTooLarge, "the body is larger than the limit")
	case errors.As(err, &bufferErr):
		return reject(vrwire.ReasonInvalidRequest, "the header is larger than 16 KiB")
	case errors.As(err, &timeoutErr) && timeoutErr.Timeout():
		return reject(vrwire.ReasonInvalidRequest, "the request did not arrive in time")
	}
	return reject(vrwire.ReasonInvalidRequest, "the request is not well-formed HTTP")
}

// handleRouteError rejects a request whose path or method has no handler.
func (f *Front) handleRouteError(c fiber.Ctx, err error) error {
	detail := "the path does not exist"
	var routeErr *fiber.Error
	if errors.As(err, &routeErr) && routeErr.Code == fiber.StatusMethodNotAllowed {
		detail = "the path does not take this method"
	}
	ctx := c.RequestCtx()
	ctx.SetConnectionClose()
	f.rejectRequest(ctx, newUnparsedRequest(), reject(vrwire.ReasonInvalidRequest, detail))
	return nil
}

// wrapHandler answers requests whose handler panicked, and closes connections after
// DisableKeepAlives.
func (f *Front) wrapHandler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			f.panics.Add(1)
			f.options.Log.Error("handler panicked", zap.Any("cause", cause), zap.Stack("stack"))
			ctx.SetConnectionClose()
			writeProblem(ctx, vrevent.Refuse{
				Request: newRequestID(),
				Reason:  vrwire.ReasonBackendFailed,
				Detail:  "the daemon failed while it handled the request",
				Ran:     vrrecord.RanUnknown,
			})
		}()
		next(ctx)
		if f.keepAlivesDisabled.Load() {
			ctx.SetConnectionClose()
		}
	}
}
