package vrclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrplatform"
	"verbenaroute.example/verbenacore/vrsettings"
)

// Defaults of PlatformOptions.
const (
	// DefaultPlatformTimeout leaves a zone owner time for two more tries within its 3 s
	// lease.
	DefaultPlatformTimeout = time.Second
	// DefaultPlatformMaxTries is the maximum number of calls for one read, list or watch.
	DefaultPlatformMaxTries = 4
	// DefaultPlatformInitialBackoff is the maximum wait before the first retry. The maximum
	// doubles with each retry.
	DefaultPlatformInitialBackoff = 100 * time.Millisecond
)

const (
	// _maxBackoff is the maximum wait before any retry.
	_maxBackoff = 2 * time.Second
	// _maxListBytes limits the response to a list, a watch or VMs. A daemon has 256 MB of
	// memory and makes at most 4 calls at the same time.
	_maxListBytes = 16 << 20
)

// PlatformOptions configures a Platform. A zero field takes its default.
type PlatformOptions struct {
	// BaseURL is http:// or https:// with an IP address and a port.
	BaseURL string
	// Rate is the maximum number of calls per second, including retries. A burst may have
	// Concurrency calls.
	Rate int
	// Concurrency is the maximum number of calls in flight, including pending watches.
	Concurrency int
	// Timeout is the timeout of one call. For a watch it is added to the time to wait.
	Timeout time.Duration
	// MaxTries is the maximum number of calls for one read, list or watch. These are retried
	// after status 429 and 503.
	MaxTries uint
	// InitialBackoff is the maximum wait before the first retry.
	InitialBackoff time.Duration
	// TLS is used for https; nil takes the root certificates of the system.
	TLS *tls.Config
	// Dial replaces the default dialer. It returns a connection without TLS.
	Dial DialFunc
	// Metrics is where the counters are registered; nil keeps them in a private set.
	Metrics *metrics.Set
}

func (o PlatformOptions) withDefaults() PlatformOptions {
	setDefault(&o.Rate, vrsettings.DefaultPlatformCallRate)
	setDefault(&o.Concurrency, vrsettings.DefaultPlatformConcurrency)
	setDefault(&o.Timeout, DefaultPlatformTimeout)
	setDefault(&o.MaxTries, DefaultPlatformMaxTries)
	setDefault(&o.InitialBackoff, DefaultPlatformInitialBackoff)
	return o
}

// setDefault sets a field that is zero or negative to value.
func setDefault[T int | uint | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Platform is the client for all calls of a daemon to the platform, so that its limits
// apply to all of them together. It is safe for concurrent use.
type Platform struct {
	options PlatformOptions
	address string
	pool    *pool
	limiter *rate.Limiter
	// slots is a semaphore for all calls. watchSlots is one for pending watches; it has one
	// slot less (but at least 1), so that watches leave a slot for other calls.
	slots      chan struct{}
	watchSlots chan struct{}
	counters   *platformCounters
}

// NewPlatform checks the options and returns a client. It opens no connection before the
// first call.
func NewPlatform(options PlatformOptions) (*Platform, error) {
	options = options.withDefaults()
	base, err := url.Parse(options.BaseURL)
	if err != nil {
		return nil, &ProtocolError{Part: "platform URL", Problem: err.Error()}
	}
	if _, err := netip.ParseAddrPort(base.Host); err != nil {
		return nil, &ProtocolError{Part: "platform URL", Problem: err.Error()}
	}
	dial := options.Dial
	if base.Scheme == "https" {
		dial = tlsDial(dial, options.TLS)
	}
	return &Platform{
		options:    options,
		address:    base.Host,
		pool:       newPool(dial),
		limiter:    rate.NewLimiter(rate.Limit(options.Rate), options.Concurrency),
		slots:      make(chan struct{}, options.Concurrency),
		watchSlots: make(chan struct{}, max(1, options.Concurrency-1)),
		counters:   newPlatformCounters(options.Metrics),
	}, nil
}

// tlsDial returns a dialer that performs a TLS handshake on the connections of dial.
func tlsDial(dial DialFunc, config *tls.Config) DialFunc {
	if dial == nil {
		dialer := &tls.Dialer{Config: config}
		return func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		rawConn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(rawConn, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = rawConn.Close()
			return nil, err
		}
		return conn, nil
	}
}

// Close closes the idle connections.
func (p *Platform) Close() { p.pool.close() }

// Attempts returns the number of calls of a kind, including retries and calls for which no
// connection could be opened.
func (p *Platform) Attempts(kind CallKind) uint64 { return p.counters.attempts[kind].Get() }

// platformCall describes one call to the platform and limits its response.
type platformCall struct {
	kind      CallKind
	method    string
	uri       string
	body      []byte
	ifVersion *vrid.ObjectVersion
	timeout   time.Duration
	maxBytes  int
}

// platformResult is the result of a platformCall.
type platformResult struct {
	outcome vrplatform.Outcome
	version vrid.ObjectVersion
	body    []byte
	err     error
	// busy is set after status 429 and 503, when the platform did not execute the call.
	busy bool
}

func unavailableResult(err error) platformResult {
	return platformResult{outcome: vrplatform.OutcomeUnavailable, err: err}
}

// doWithRetry sends a call and retries it while the platform is busy (status 429 or 503).
func (p *Platform) doWithRetry(ctx context.Context, call platformCall) platformResult {
	retryBackOff := &backoff.ExponentialBackOff{
		// Full jitter: each wait is a random time between 0 and twice the interval.
		InitialInterval:     p.options.InitialBackoff / 2,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         _maxBackoff / 2,
	}
	result, _ := backoff.Retry(ctx, func() (platformResult, error) {
		result := p.attempt(ctx, call)
		if result.busy {
			return result, result.err
		}
		return result, nil
	}, backoff.WithBackOff(retryBackOff), backoff.WithMaxTries(p.options.MaxTries))
	p.counters.count(call.kind, result.outcome)
	return result
}

// doOnce sends a call once, for writes. A failed write may have taken effect, so whether to
// repeat it is up to the caller after it has read the object again.
func (p *Platform) doOnce(ctx context.Context, call platformCall) platformResult {
	result := p.attempt(ctx, call)
	p.counters.count(call.kind, result.outcome)
	return result
}

func (p *Platform) attempt(ctx context.Context, call platformCall) platformResult {
	release, err := p.acquireSlots(ctx, call.kind)
	if err != nil {
		return unavailableResult(err)
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	p.fillRequest(request, call)
	p.counters.attempts[call.kind].Inc()
	if attemptErr := p.pool.roundTrip(ctx, p.address, request, response, call.maxBytes); attemptErr != nil {
		if call.kind == CallWrite && !attemptErr.Result.ProvesNotRun() {
			return platformResult{outcome: vrplatform.OutcomeUnknown, err: attemptErr}
		}
		return unavailableResult(attemptErr)
	}
	return p.classifyResponse(call.kind, response)
}

// acquireSlots waits for a slot and then for the rate limiter. It returns a function that
// releases the slots.
func (p *Platform) acquireSlots(ctx context.Context, kind CallKind) (func(), error) {
	if kind == CallWatch {
		if err := acquireSlot(ctx, p.watchSlots); err != nil {
			return nil, err
		}
	}
	releaseWatch := func() {
		if kind == CallWatch {
			<-p.watchSlots
		}
	}
	if err := acquireSlot(ctx, p.slots); err != nil {
		releaseWatch()
		return nil, err
	}
	if err := p.limiter.Wait(ctx); err != nil {
		<-p.slots
		releaseWatch()
		return nil, err
	}
	return func() {
		<-p.slots
		releaseWatch()
	}, nil
}

func acquireSlot(ctx context.Context, slots chan struct{}) error {
	select {
	case slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Platform) fillRequest(request *fasthttp.Request, call platformCall) {
	request.Header.SetMethod(call.method)
	request.Header.SetHost(p.address)
	request.Header.SetRequestURI(call.uri)
	if call.ifVersion != nil {
		request.Header.Set(vrplatform.HeaderIfVersion, strconv.FormatUint(uint64(*call.ifVersion), 10))
	}
	if call.body != nil {
		request.Header.SetContentType("application/octet-stream")
		request.SetBodyRaw(call.body)
	}
}

// classifyResponse converts a complete response to a result.
func (p *Platform) classifyResponse(kind CallKind, response *fasthttp.Response) platformResult {
	status := response.StatusCode()
	attemptErr := &AttemptError{Address: p.address, Status: status}
	isWrite := kind == CallWrite
	switch {
	case status == fasthttp.StatusOK:
		return successResult(kind, response)
	case status == fasthttp.StatusNotFound && kind == CallRead:
		return platformResult{outcome: vrplatform.OutcomeNotFound}
	case status == fasthttp.StatusPreconditionFailed && isWrite:
		return conflictResult(response)
	case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable:
		result := unavailableResult(attemptErr)
		result.busy = true
		return result
	case status >= fasthttp.StatusInternalServerError && isWrite:
		return platformResult{outcome: vrplatform.OutcomeUnknown, err: attemptErr}
	default:
		return unavailableResult(attemptErr)
	}
}

func successResult(kind CallKind, response *fasthttp.Response) platformResult {
	result := platformResult{outcome: vrplatform.OutcomeOK}
	if kind == CallRead || kind == CallWrite {
		version, err := parseVersion(response)
		if err == nil && version == 0 {
			err = &ProtocolError{Part: vrplatform.HeaderVersion, Problem: "is 0 for an object that exists"}
		}
		switch {
		case err != nil && kind == CallWrite:
			return platformResult{outcome: vrplatform.OutcomeUnknown, err: err}
		case err != nil:
			return unavailableResult(err)
		}
		result.version = version
	}
	if kind != CallWrite {
		result.body = append([]byte(nil), response.Body()...)
	}
	return result
}

// conflictResult returns the current version of the object. Without that version the write
// is still known to have had no effect, but the caller can't tell what the object holds.
func conflictResult(response *fasthttp.Response) platformResult {
	version, err := parseVersion(response)
	if err != nil {
		return unavailableResult(err)
	}
	return platformResult{outcome: vrplatform.OutcomeConflict, version: version}
}

func parseVersion(response *fasthttp.Response) (vrid.ObjectVersion, error) {
	header := string(response.Header.Peek(vrplatform.HeaderVersion))
	version, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		return 0, &ProtocolError{Part: vrplatform.HeaderVersion, Problem: err.Error()}
	}
	return vrid.ObjectVersion(version), nil
}
