package vrclient

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"verbenaroute.example/verbenacore/vrengine"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
)

// Defaults of EngineOptions.
const (
	// DefaultEngineTimeout is the period of the reports.
	DefaultEngineTimeout = time.Second
	// DefaultOrderTimeout covers the load of a large model from a slow weight store.
	DefaultOrderTimeout = 10 * time.Minute
	// DefaultStall is the longest silence of a language server within an answer; the
	// target between two tokens is 75 ms.
	DefaultStall = 30 * time.Second
)

const (
	// _maxControl bounds the answers to reports, orders and cache events.
	_maxControl = 4 << 20
	// _maxKV bounds the cache of one request that moves between servers.
	_maxKV = 64 << 20
	// _maxProblem bounds the body of an error.
	_maxProblem = 64 << 10
)

// EngineOptions configures an Engine. Zero takes the default.
type EngineOptions struct {
	// Timeout bounds reports, cancellations and cache events.
	Timeout time.Duration
	// OrderTimeout bounds an order whose context has no earlier deadline.
	OrderTimeout time.Duration
	// Stall bounds the time between two pieces of an answer to Generate.
	Stall time.Duration
	// Dial replaces the dialer.
	Dial DialFunc
	// Metrics receives the counters; nil keeps them in a set of their own.
	Metrics *metrics.Set
}

// Engine calls language servers. It is safe for concurrent use.
type Engine struct {
	options  EngineOptions
	pool     *pool
	counters *endpointCounters
}

// NewEngine returns a client without connections.
func NewEngine(options EngineOptions) *Engine {
	fill(&options.Timeout, DefaultEngineTimeout)
	fill(&options.OrderTimeout, DefaultOrderTimeout)
	fill(&options.Stall, DefaultStall)
	return &Engine{
		options: options,
		pool:    newPool(options.Dial),
		counters: newEndpointCounters(options.Metrics,
			callGenerate, callReport, callOrder, callCacheEvents, callCancel, callKVExport, callKVImport),
	}
}

// Close closes idle connections.
func (e *Engine) Close() { e.pool.close() }

// engineCall is one call other than Generate.
type engineCall struct {
	call    endpointCall
	address string
	method  string
	uri     string
	body    any
	timeout time.Duration
	limit   int
}

// do sends a call once and returns its status and a copy of its body.
func (e *Engine) do(ctx context.Context, call engineCall) (status int, body []byte, err error) {
	defer func() { e.counters.count(call.call, resultOf(err)) }()
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.method)
	request.Header.SetHost(call.address)
	request.Header.SetRequestURI(call.uri)
	if call.body != nil {
		encoded, err := json.Marshal(call.body)
		if err != nil {
			return 0, nil, &AttemptError{Address: call.address, Result: vrevent.AttemptNotSent, Err: err}
		}
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(encoded)
	}
	if failed := e.pool.roundTrip(ctx, call.address, request, response, call.limit); failed != nil {
		return 0, nil, failed
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// okBody is do for calls of which only status 200 is a success.
func (e *Engine) okBody(ctx context.Context, call engineCall) ([]byte, error) {
	status, body, err := e.do(ctx, call)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, &AttemptError{Address: call.address, Result: vrevent.AttemptBroken, Status: status}
	}
	return body, nil
}

// Report returns a server's load report.
func (e *Engine) Report(ctx context.Context, address string) (*vrengine.Report, error) {
	body, err := e.okBody(ctx, engineCall{
		call: callReport, address: address, method: fasthttp.MethodGet, uri: vrengine.PathReport,
		timeout: e.options.Timeout, limit: _maxControl,
	})
	if err != nil {
		return nil, err
	}
	return decodeBody[vrengine.Report](body)
}

// CacheEvents returns the prefix-cache events after a number.
func (e *Engine) CacheEvents(ctx context.Context, address string, after uint64) (*vrengine.CacheEvents, error) {
	body, err := e.okBody(ctx, engineCall{
		call: callCacheEvents, address: address, method: fasthttp.MethodGet,
		uri:     vrengine.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10),
		timeout: e.options.Timeout, limit: _maxControl,
	})
	if err != nil {
		return nil, err
	}
	return decodeBody[vrengine.CacheEvents](body)
}

// Cancel tells a server to stop a request.
func (e *Engine) Cancel(ctx context.Context, address string, request vrid.RequestID) error {
	_, err := e.okBody(ctx, engineCall{
		call: callCancel, address: address, method: fasthttp.MethodPost, uri: vrengine.PathCancel,
		body: vrengine.CancelRequest{RequestID: request}, timeout: e.options.Timeout, limit: _maxControl,
	})
	return err
}

// ExportKV returns the cache of a request, to be moved to another server.
func (e *Engine) ExportKV(ctx context.Context, address string, request vrid.RequestID) ([]byte, error) {
	return e.okBody(ctx, engineCall{
		call: callKVExport, address: address, method: fasthttp.MethodPost, uri: vrengine.PathKVExport,
		body: vrengine.KVExport{RequestID: request}, timeout: e.options.Stall, limit: _maxKV,
	})
}

// ImportKV gives a server the cache of a request.
func (e *Engine) ImportKV(ctx context.Context, address string, request vrid.RequestID, data []byte) error {
	_, err := e.okBody(ctx, engineCall{
		call: callKVImport, address: address, method: fasthttp.MethodPost, uri: vrengine.PathKVImport,
		body: vrengine.KVImport{RequestID: request, Bytes: data}, timeout: e.options.Stall, limit: _maxControl,
	})
	return err
}

// OrderResult is how an order ended.
type OrderResult struct {
	Status vrengine.OrderStatus
	Answer vrengine.OrderAnswer
	// Attempt is AttemptNotSent when no copy of the order can be outstanding.
	Attempt vrevent.AttemptResult
	Err     error
}

// Order gives an order to a server, once.
func (e *Engine) Order(ctx context.Context, address string, order vrengine.Order) OrderResult {
	if err := order.Validate(); err != nil {
		return OrderResult{Status: vrengine.OrderOutcomeUnknown, Attempt: vrevent.AttemptNotSent, Err: err}
	}
	status, body, err := e.do(ctx, engineCall{
		call: callOrder, address: address, method: fasthttp.MethodPost, uri: vrengine.PathOrders,
		body: order, timeout: e.options.OrderTimeout, limit: _maxControl,
	})
	if err != nil {
		return OrderResult{Status: vrengine.OrderOutcomeUnknown, Attempt: resultOf(err), Err: err}
	}
	return orderResult(status, body)
}

// orderResult reads an answer. An answer that can't be read proves nothing, so the
// order counts as unanswered.
func orderResult(status int, body []byte) OrderResult {
	result := OrderResult{Status: orderStatus(status), Attempt: vrevent.AttemptAnswered}
	if result.Status == vrengine.OrderOutcomeUnknown {
		result.Err = &ProtocolError{What: "order", Problem: fmt.Sprintf("status %d", status)}
		return result
	}
	if err := json.Unmarshal(body, &result.Answer); err != nil {
		result.Status = vrengine.OrderOutcomeUnknown
		result.Err = &ProtocolError{What: "order", Problem: err.Error()}
	}
	return result
}

func orderStatus(status int) vrengine.OrderStatus {
	switch {
	case status == fasthttp.StatusOK:
		return vrengine.OrderDone
	case status == fasthttp.StatusConflict:
		return vrengine.OrderFenced
	case status == fasthttp.StatusInsufficientStorage:
		return vrengine.OrderNoMemory
	case status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError:
		return vrengine.OrderRefused
	default:
		return vrengine.OrderOutcomeUnknown
	}
}
