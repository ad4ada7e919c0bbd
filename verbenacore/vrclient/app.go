package vrclient

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"
	"unicode"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// DefaultLookUpTimeout bounds the question how a call ended.
const DefaultLookUpTimeout = 2 * time.Second

// AppOptions configures an App. Zero takes the default.
type AppOptions struct {
	// MaxBody is the largest answer.
	MaxBody vrid.Bytes
	// LookUpTimeout bounds LookUpOutcome.
	LookUpTimeout time.Duration
	// Dial replaces the dialer.
	Dial DialFunc
	// Metrics receives the counters; nil keeps them in a set of their own.
	Metrics *metrics.Set
}

// App calls application servers. It is safe for concurrent use.
type App struct {
	options  AppOptions
	pool     *pool
	counters *endpointCounters
}

// AppRequest is a caller's call to a plain service.
type AppRequest struct {
	Method string
	// Path starts with "/" and holds the query.
	Path        string
	ContentType string
	Body        []byte
	RequestID   vrid.RequestID
	// IdempotencyKey is empty for an idempotent call without one.
	IdempotencyKey vrid.IdempotencyKey
}

// AppResult is how a call to a service ended. Any status is an answer: a plain service
// has no agreed way to say that it did not run a call.
type AppResult struct {
	Result      vrevent.AttemptResult
	Status      int
	ContentType string
	Body        []byte
	Err         error
}

// OutcomeResult is what an application server knows about a key.
type OutcomeResult struct {
	// Known is false when the server gave no usable answer.
	Known bool
	// Found is false when the server knows that no call ran under the key.
	Found       bool
	Status      int
	ContentType string
	Body        []byte
	Err         error
}

// NewApp returns a client without connections.
func NewApp(options AppOptions) *App {
	if options.MaxBody <= 0 {
		options.MaxBody = vrid.MiB
	}
	fill(&options.LookUpTimeout, DefaultLookUpTimeout)
	connections := newPool(options.Dial)
	connections.rest = _appRest
	return &App{
		options:  options,
		pool:     connections,
		counters: newEndpointCounters(options.Metrics, callService, callOutcome),
	}
}

// Close closes idle connections.
func (a *App) Close() { a.pool.close() }

// Call sends a call once. The context's deadline bounds it.
func (a *App) Call(ctx context.Context, address string, call AppRequest) AppResult {
	result := a.do(ctx, address, call)
	a.counters.count(callService, result.Result)
	return result
}

// LookUpOutcome asks how the call with a key ended.
func (a *App) LookUpOutcome(ctx context.Context, address, outcomePath string, key vrid.IdempotencyKey) OutcomeResult {
	ctx, cancel := context.WithTimeout(ctx, a.options.LookUpTimeout)
	defer cancel()
	path := strings.TrimSuffix(outcomePath, "/") + "/" + url.PathEscape(string(key))
	result := a.do(ctx, address, AppRequest{Method: fasthttp.MethodGet, Path: path})
	a.counters.count(callOutcome, result.Result)
	outcome := OutcomeResult{Err: result.Err}
	switch {
	case result.Result != vrevent.AttemptAnswered:
	case result.Status == fasthttp.StatusOK:
		outcome.Known, outcome.Found = true, true
		outcome.Status, outcome.ContentType, outcome.Body = result.Status, result.ContentType, result.Body
	case result.Status == fasthttp.StatusNotFound:
		outcome.Known = true
	default:
		outcome.Err = &AttemptError{Address: address, Result: vrevent.AttemptBroken, Status: result.Status}
	}
	return outcome
}

func (a *App) do(ctx context.Context, address string, call AppRequest) AppResult {
	if err := call.validate(); err != nil {
		return AppResult{Result: vrevent.AttemptNotSent, Err: err}
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	call.fill(request, address)
	if failed := a.pool.roundTrip(ctx, address, request, response, int(a.options.MaxBody)); failed != nil {
		return AppResult{Result: failed.Result, Err: failed}
	}
	return AppResult{
		Result:      vrevent.AttemptAnswered,
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        append([]byte(nil), response.Body()...),
	}
}

func (r *AppRequest) fill(request *fasthttp.Request, address string) {
	header := &request.Header
	header.SetMethod(r.Method)
	header.SetHost(address)
	header.SetRequestURI(r.Path)
	if r.ContentType != "" {
		header.SetContentType(r.ContentType)
	}
	if r.RequestID != "" {
		header.Set(vrengine.HeaderRequestID, string(r.RequestID))
	}
	if r.IdempotencyKey != "" {
		header.Set(vrengine.HeaderIdempotencyKey, string(r.IdempotencyKey))
	}
	if len(r.Body) > 0 {
		request.SetBodyRaw(r.Body)
	}
}

// validate refuses text that would end its line of the header and start another one. It
// also keeps the library from removing such characters in silence, which would turn one
// idempotency key into another.
func (r *AppRequest) validate() error {
	if !strings.HasPrefix(r.Path, "/") {
		return &ProtocolError{What: "path", Problem: fmt.Sprintf("found %q, allowed is a path that starts with %q", r.Path, "/")}
	}
	if r.Method == "" {
		return &ProtocolError{What: "method", Problem: "is empty"}
	}
	texts := [...]struct {
		what, text string
		isRefused  func(rune) bool
	}{
		{"method", r.Method, isControlOrSpace},
		{"path", r.Path, isControlOrSpace},
		{"contentType", r.ContentType, unicode.IsControl},
		{"requestId", string(r.RequestID), unicode.IsControl},
		{"idempotencyKey", string(r.IdempotencyKey), unicode.IsControl},
	}
	for _, t := range texts {
		if strings.ContainsFunc(t.text, t.isRefused) || strings.TrimSpace(t.text) != t.text {
			return &ProtocolError{What: t.what, Problem: fmt.Sprintf("found %q, allowed is text that stays as it is in a header", t.text)}
		}
	}
	return nil
}

func isControlOrSpace(char rune) bool { return char == ' ' || unicode.IsControl(char) }
