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

// handleService serves a call to an application service.
func (f *Front) handleService(c fiber.Ctx) error {
	ctx := c.RequestCtx()
	var in incomingRequest
	rejection := f.admit(ctx, &in)
	defer func() { in.release() }()
	if rejection != nil {
		f.rejectRequest(ctx, in.request, rejection)
		return nil
	}
	req, rejection := buildServiceRequest(ctx, &in)
	if rejection != nil {
		f.rejectRequest(ctx, in.request, rejection)
		return nil
	}
	f.inflight.add(req)
	f.options.Submitter.Submit(vrevent.RequestArrived{Request: req.request})
	f.waitForOutput(ctx, req)
	writeServiceAnswer(ctx, req)
	return nil
}

// buildServiceRequest finds the declared call that matches the request and validates the
// idempotency key.
func buildServiceRequest(ctx *fasthttp.RequestCtx, in *incomingRequest) (*inflightRequest, *RejectError) {
	service, path, ok := splitServicePath(string(ctx.Request.URI().Path()))
	if !ok {
		return nil, reject(vrwire.ReasonUnknownService, "the path names no service")
	}
	declared := in.index.Service(service)
	if declared == nil {
		return nil, reject(vrwire.ReasonUnknownService, "the service is not declared")
	}
	method := string(ctx.Method())
	call := declared.MatchCall(method, path)
	if call == nil {
		return nil, reject(vrwire.ReasonUnknownService, "the service declares no such call")
	}
	in.request.Service = service
	in.request.Idempotent = call.Idempotent
	in.request.OutcomePath = declared.OutcomePath
	if rejection := applyKind(ctx, in.index, &in.request, call.Kind); rejection != nil {
		return nil, rejection
	}
	key, rejection := idempotencyKey(ctx)
	if rejection != nil {
		return nil, rejection
	}
	if key == "" && !call.Idempotent {
		return nil, reject(vrwire.ReasonIdempotencyKeyMissing, "the call is not idempotent")
	}
	in.request.Key = key
	target := serviceTarget(path, string(ctx.URI().QueryString()))
	in.request.Digest = callDigest(method, target, in.body)
	req := newInflightRequest(in.request)
	req.call = &ServiceCall{
		Request:     in.request.ID,
		Method:      method,
		Target:      target,
		ContentType: string(ctx.Request.Header.ContentType()),
		Key:         key,
		Body:        in.body,
	}
	return req, nil
}

// splitServicePath splits a normalized path into service and path:
// "/v1/services/circles/join" is the path "/join" of the service "circles".
func splitServicePath(path string) (vrid.ServiceID, string, bool) {
	rest, ok := strings.CutPrefix(path, _servicePrefix)
	if !ok {
		return "", "", false
	}
	service, path, _ := strings.Cut(rest, "/")
	return vrid.ServiceID(service), "/" + path, service != ""
}

// serviceTarget re-escapes the decoded path and appends the query unchanged.
func serviceTarget(path, query string) string {
	target := (&url.URL{Path: path}).EscapedPath()
	if query == "" {
		return target
	}
	return target + "?" + query
}

// callDigest hashes a call, to detect that an idempotency key is reused for another call.
func callDigest(method, target string, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(method)
	_, _ = hash.WriteString("\n")
	_, _ = hash.WriteString(target)
	_, _ = hash.WriteString("\n")
	_, _ = hash.Write(body)
	return hash.Sum64()
}

func writeServiceAnswer(ctx *fasthttp.RequestCtx, req *inflightRequest) {
	_, terminal := req.state()
	switch e := terminal.(type) {
	case vrevent.Refuse:
		writeProblem(ctx, e)
	case vrevent.Replay:
		ctx.Response.Header.Set(vrwire.HeaderReplayed, "true")
		writeAnswer(ctx, ServiceAnswer{Status: e.Status, ContentType: e.ContentType, Body: e.Body})
	default:
		writeAnswer(ctx, req.answer)
	}
}

func writeAnswer(ctx *fasthttp.RequestCtx, answer ServiceAnswer) {
	ctx.SetStatusCode(answer.Status)
	if answer.ContentType != "" {
		ctx.SetContentType(answer.ContentType)
	}
	ctx.SetBody(answer.Body)
}
