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
	// DefaultEngineTimeout is as long as the interval between two polls for a load report.
	DefaultEngineTimeout = time.Second
	// DefaultOrderTimeout is long enough to load a large model from a slow weight store.
	DefaultOrderTimeout = 10 * time.Minute
	// DefaultStallTimeout ends a response that has stopped. The target time between two
	// tokens is 75 ms.
	DefaultStallTimeout = 30 * time.Second
)

const (
	// _maxControlBytes limits the responses to all calls except Generate and ExportKV.
	_maxControlBytes = 4 << 20
	// _maxKVBytes limits the KV cache of one request that moves between servers.
	_maxKVBytes = 64 << 20
	// _maxErrorBytes limits the body of an error response to Generate.
	_maxErrorBytes = 64 << 10
)

// EngineOptions configures an Engine. A zero field takes its default.
type EngineOptions struct {
	// Timeout is the timeout of Report, Cancel and CacheEvents.
	Timeout time.Duration
	// OrderTimeout is the timeout of Order.
	OrderTimeout time.Duration
	// StallTimeout is the maximum wait for the header of a response to Generate and for each
	// read of its body, and the timeout of ExportKV and ImportKV.
	StallTimeout time.Duration
	// Dial replaces the default dialer.
	Dial DialFunc
	// Metrics is where the counters are registered; nil keeps them in a private set.
	Metrics *metrics.Set
}

// Engine calls language servers. It is safe for concurrent use.
type Engine struct {
	options  EngineOptions
	pool     *pool
	counters *endpointCounters
}

// NewEngine returns a client. It opens no connection before the first call.
func NewEngine(options EngineOptions) *Engine {
	setDefault(&options.Timeout, DefaultEngineTimeout)
	setDefault(&options.OrderTimeout, DefaultOrderTimeout)
	setDefault(&options.StallTimeout, DefaultStallTimeout)
	return &Engine{
		options: options,
		pool:    newPool(options.Dial),
		counters: newEndpointCounters(options.Metrics,
			callGenerate, callReport, callOrder, callCacheEvents, callCancel, callKVExport, callKVImport),
	}
}

// Close closes the idle connections.
func (e *Engine) Close() { e.pool.close() }

// engineCall describes a call other than Generate.
type engineCall struct {
	kind     endpointCallKind
	address  string
	method   string
	uri      string
	body     any
	timeout  time.Duration
	maxBytes int
}

// do sends a call once and returns its status and a copy of its body.
func (e *Engine) do(ctx context.Context, call engineCall) (status int, body []byte, err error) {
	defer func() { e.counters.count(call.kind, resultOf(err)) }()
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
	if attemptErr := e.pool.roundTrip(ctx, call.address, request, response, call.maxBytes); attemptErr != nil {
		return 0, nil, attemptErr
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// doExpectOK is do for calls that succeed only with status 200.
func (e *Engine) doExpectOK(ctx context.Context, call engineCall) ([]byte, error) {
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
	body, err := e.doExpectOK(ctx, engineCall{
		kind: callReport, address: address, method: fasthttp.MethodGet, uri: vrengine.PathReport,
		timeout: e.options.Timeout, maxBytes: _maxControlBytes,
	})
	if err != nil {
		return nil, err
	}
	return decodeBody[vrengine.Report](body)
}

// CacheEvents returns a server's prefix cache events with a number above after.
func (e *Engine) CacheEvents(ctx context.Context, address string, after uint64) (*vrengine.CacheEvents, error) {
	body, err := e.doExpectOK(ctx, engineCall{
		kind: callCacheEvents, address: address, method: fasthttp.MethodGet,
		uri:     vrengine.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10),
		timeout: e.options.Timeout, maxBytes: _maxControlBytes,
	})
	if err != nil {
		return nil, err
	}
	return decodeBody[vrengine.CacheEvents](body)
}

// Cancel asks a server to stop the generation for a request.
func (e *Engine) Cancel(ctx context.Context, address string, requestID vrid.RequestID) error {
	_, err := e.doExpectOK(ctx, engineCall{
		kind: callCancel, address: address, method: fasthttp.MethodPost, uri: vrengine.PathCancel,
		body: vrengine.CancelRequest{RequestID: requestID}, timeout: e.options.Timeout, maxBytes: _maxControlBytes,
	})
	return err
}

// ExportKV returns the KV cache of a request, so that it can be moved to another server.
func (e *Engine) ExportKV(ctx context.Context, address string, requestID vrid.RequestID) ([]byte, error) {
	return e.doExpectOK(ctx, engineCall{
		kind: callKVExport, address: address, method: fasthttp.MethodPost, uri: vrengine.PathKVExport,
		body: vrengine.KVExportRequest{RequestID: requestID}, timeout: e.options.StallTimeout, maxBytes: _maxKVBytes,
	})
}

// ImportKV sends the KV cache of a request to a server.
func (e *Engine) ImportKV(ctx context.Context, address string, requestID vrid.RequestID, data []byte) error {
	_, err := e.doExpectOK(ctx, engineCall{
		kind: callKVImport, address: address, method: fasthttp.MethodPost, uri: vrengine.PathKVImport,
		body: vrengine.KVImportRequest{RequestID: requestID, Bytes: data}, timeout: e.options.StallTimeout, maxBytes: _maxControlBytes,
	})
	return err
}

// OrderResult is the result of Order.
type OrderResult struct {
	Status vrengine.OrderStatus
	Answer vrengine.OrderAnswer
	// Attempt is how the HTTP call ended. After AttemptNotSent no copy of the order can be in
	// flight, although Status is OrderOutcomeUnknown.
	Attempt vrevent.AttemptResult
	Err     error
}

// Order sends an order to a server once.
func (e *Engine) Order(ctx context.Context, address string, order vrengine.Order) OrderResult {
	if err := order.Validate(); err != nil {
		return OrderResult{Status: vrengine.OrderOutcomeUnknown, Attempt: vrevent.AttemptNotSent, Err: err}
	}
	status, body, err := e.do(ctx, engineCall{
		kind: callOrder, address: address, method: fasthttp.MethodPost, uri: vrengine.PathOrders,
		body: order, timeout: e.options.OrderTimeout, maxBytes: _maxControlBytes,
	})
	if err != nil {
		return OrderResult{Status: vrengine.OrderOutcomeUnknown, Attempt: resultOf(err), Err: err}
	}
	return parseOrderResponse(status, body)
}

// parseOrderResponse converts a response to a result. A body that can't be decoded doesn't
// prove what happened, so its status is OrderOutcomeUnknown.
func parseOrderResponse(status int, body []byte) OrderResult {
	result := OrderResult{Status: orderStatusOf(status), Attempt: vrevent.AttemptAnswered}
	if result.Status == vrengine.OrderOutcomeUnknown {
		result.Err = &ProtocolError{Part: "order", Problem: fmt.Sprintf("status %d", status)}
		return result
	}
	if err := json.Unmarshal(body, &result.Answer); err != nil {
		result.Status = vrengine.OrderOutcomeUnknown
		result.Err = &ProtocolError{Part: "order", Problem: err.Error()}
	}
	return result
}

func orderStatusOf(status int) vrengine.OrderStatus {
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
