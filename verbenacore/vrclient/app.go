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

// DefaultLookUpTimeout is the default of AppOptions.LookUpTimeout.
const DefaultLookUpTimeout = 2 * time.Second

// AppOptions configures an App. A zero field takes its default.
type AppOptions struct {
	// MaxBody is the maximum size of a response body. The default is 1 MiB.
	MaxBody vrid.Bytes
	// LookUpTimeout is the timeout of LookUpOutcome.
	LookUpTimeout time.Duration
	// Dial replaces the default dialer.
	Dial DialFunc
	// Metrics is where the counters are registered; nil keeps them in a private set.
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
	// Path starts with "/" and includes the query string.
	Path        string
	ContentType string
	Body        []byte
	RequestID   vrid.RequestID
	// IdempotencyKey is the caller's key, by which the service recognizes a repeated call. It
	// may be empty if the call is idempotent.
	IdempotencyKey vrid.IdempotencyKey
}

// AppResult is the result of a call to a service. A response with any status counts as
// AttemptAnswered, because a plain service has no agreed way to say that it did not run a
// call.
type AppResult struct {
	Result      vrevent.AttemptResult
	Status      int
	ContentType string
	Body        []byte
	Err         error
}

// OutcomeResult is what an application server has stored under an idempotency key.
type OutcomeResult struct {
	// Known is false when there was no usable response.
	Known bool
	// Found is false when the server reported that no call ran with this key. It means
	// something only when Known is set.
	Found       bool
	Status      int
	ContentType string
	Body        []byte
	Err         error
}

// NewApp returns a client. It opens no connection before the first call.
func NewApp(options AppOptions) *App {
	if options.MaxBody <= 0 {
		options.MaxBody = vrid.MiB
	}
	setDefault(&options.LookUpTimeout, DefaultLookUpTimeout)
	connPool := newPool(options.Dial)
	connPool.reuseDelay = _appReuseDelay
	return &App{
		options:  options,
		pool:     connPool,
		counters: newEndpointCounters(options.Metrics, callService, callLookUpOutcome),
	}
}

// Close closes the idle connections.
func (a *App) Close() { a.pool.close() }

// Call sends a call once. The deadline of ctx limits it.
func (a *App) Call(ctx context.Context, address string, call AppRequest) AppResult {
	result := a.do(ctx, address, call)
	a.counters.count(callService, result.Result)
	return result
}

// LookUpOutcome asks an application server what it has stored for the call with a key.
func (a *App) LookUpOutcome(ctx context.Context, address, outcomePath string, key vrid.IdempotencyKey) OutcomeResult {
	ctx, cancel := context.WithTimeout(ctx, a.options.LookUpTimeout)
	defer cancel()
	path := strings.TrimSuffix(outcomePath, "/") + "/" + url.PathEscape(string(key))
	result := a.do(ctx, address, AppRequest{Method: fasthttp.MethodGet, Path: path})
	a.counters.count(callLookUpOutcome, result.Result)
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
	call.fillRequest(request, address)
	if attemptErr := a.pool.roundTrip(ctx, address, request, response, int(a.options.MaxBody)); attemptErr != nil {
		return AppResult{Result: attemptErr.Result, Err: attemptErr}
	}
	return AppResult{
		Result:      vrevent.AttemptAnswered,
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        append([]byte(nil), response.Body()...),
	}
}

func (r *AppRequest) fillRequest(request *fasthttp.Request, address string) {
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

// validate checks that the method and the path are set and rejects control characters and
// surrounding spaces. A line break could start another header (header injection), and the
// HTTP library would silently change such a value and so turn one idempotency key into
// another.
func (r *AppRequest) validate() error {
	if !strings.HasPrefix(r.Path, "/") {
		return &ProtocolError{Part: "path", Problem: fmt.Sprintf("%q is not a path that starts with %q", r.Path, "/")}
	}
	if r.Method == "" {
		return &ProtocolError{Part: "method", Problem: "is empty"}
	}
	fields := [...]struct {
		name, value string
		isForbidden func(rune) bool
	}{
		{"method", r.Method, isControlOrSpace},
		{"path", r.Path, isControlOrSpace},
		{"contentType", r.ContentType, unicode.IsControl},
		{"requestId", string(r.RequestID), unicode.IsControl},
		{"idempotencyKey", string(r.IdempotencyKey), unicode.IsControl},
	}
	for _, field := range fields {
		if strings.ContainsFunc(field.value, field.isForbidden) || strings.TrimSpace(field.value) != field.value {
			return &ProtocolError{Part: field.name, Problem: fmt.Sprintf("%q contains a control character, or a space where none is allowed", field.value)}
		}
	}
	return nil
}

func isControlOrSpace(char rune) bool { return char == ' ' || unicode.IsControl(char) }
