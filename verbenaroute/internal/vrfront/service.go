package vrfront

import (
	"net/url"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

const _servicePrefix = "/v1/services/"

// handleService carries a call to a plain service.
func (f *Front) handleService(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	var a arrival
	cause := f.admit(ctx, &a)
	defer func() { a.release() }()
	if cause != nil {
		f.refuse(ctx, a.request, cause)
		return nil
	}
	flight, cause := buildServiceFlight(ctx, &a)
	if cause != nil {
		f.refuse(ctx, a.request, cause)
		return nil
	}
	f.flights.add(flight)
	f.options.Submitter.Submit(vrevent.RequestArrived{Request: flight.request})
	f.wait(ctx, flight)
	answerService(ctx, flight)
	return nil
}

// buildServiceFlight finds the declared call and checks its key.
func buildServiceFlight(ctx *fasthttp.RequestCtx, a *arrival) (*flight, *RejectError) {
	service, path, ok := splitServicePath(string(ctx.Request.URI().Path()))
	if !ok {
		return nil, reject(vrwire.ReasonUnknownService, "the path names no service")
	}
	declared := a.index.Service(service)
	if declared == nil {
		return nil, reject(vrwire.ReasonUnknownService, "the service is not declared")
	}
	method := string(ctx.Method())
	call := declared.MatchCall(method, path)
	if call == nil {
		return nil, reject(vrwire.ReasonUnknownService, "the service declares no such call")
	}
	a.request.Service = service
	a.request.Idempotent = call.Idempotent
	a.request.OutcomePath = declared.OutcomePath
	if cause := applyKind(ctx, a.index, &a.request, call.Kind); cause != nil {
		return nil, cause
	}
	key, cause := idempotencyKey(ctx)
	if cause != nil {
		return nil, cause
	}
	if key == "" && !call.Idempotent {
		return nil, reject(vrwire.ReasonIdempotencyKeyMissing, "the call is not idempotent")
	}
	a.request.Key = key
	target := serviceTarget(path, string(ctx.URI().QueryString()))
	a.request.Digest = digest(method, target, a.body)
	flight := newFlight(a.request)
	flight.call = &ServiceCall{
		Request:     a.request.ID,
		Method:      method,
		Target:      target,
		ContentType: string(ctx.Request.Header.ContentType()),
		Key:         key,
		Body:        a.body,
	}
	return flight, nil
}

// splitServicePath takes the normalized path apart: "/v1/services/circles/join" is
// the path "/join" of the service "circles".
func splitServicePath(path string) (vrid.ServiceID, string, bool) {
	rest, ok := strings.CutPrefix(path, _servicePrefix)
	if !ok {
		return "", "", false
	}
	service, path, _ := strings.Cut(rest, "/")
	return vrid.ServiceID(service), "/" + path, service != ""
}

// serviceTarget escapes the decoded path again and adds the query as it came.
func serviceTarget(path, query string) string {
	target := (&url.URL{Path: path}).EscapedPath()
	if query == "" {
		return target
	}
	return target + "?" + query
}

// digest tells two calls under one key apart.
func digest(method, target string, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(method)
	_, _ = hash.WriteString("\n")
	_, _ = hash.WriteString(target)
	_, _ = hash.WriteString("\n")
	_, _ = hash.Write(body)
	return hash.Sum64()
}

func answerService(ctx *fasthttp.RequestCtx, flight *flight) {
	_, terminal := flight.state()
	switch e := terminal.(type) {
	case vrevent.Refuse:
		writeProblem(ctx, e)
	case vrevent.Replay:
		ctx.Response.Header.Set(vrwire.HeaderReplayed, "true")
		writeAnswer(ctx, ServiceAnswer{Status: e.Status, ContentType: e.ContentType, Body: e.Body})
	default:
		writeAnswer(ctx, flight.answer)
	}
}

func writeAnswer(ctx *fasthttp.RequestCtx, answer ServiceAnswer) {
	ctx.SetStatusCode(answer.Status)
	if answer.ContentType != "" {
		ctx.SetContentType(answer.ContentType)
	}
	ctx.SetBody(answer.Body)
}
