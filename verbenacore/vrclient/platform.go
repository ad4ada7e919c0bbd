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
	// DefaultPlatformTimeout leaves a zone owner two more tries within the 3 s of its
	// lease.
	DefaultPlatformTimeout = time.Second
	// DefaultPlatformTries bounds the calls that one read can cost.
	DefaultPlatformTries = 4
	// DefaultPlatformBackoff bounds the first wait between two tries; it doubles.
	DefaultPlatformBackoff = 100 * time.Millisecond
)

const (
	_maxBackoff = 2 * time.Second
	// _maxList bounds a list with values. A daemon has 256 MB and makes at most 4
	// calls at once.
	_maxList = 16 << 20
)

// PlatformOptions configures a Platform. Zero takes the default.
type PlatformOptions struct {
	// BaseURL is http:// or https:// with an IP address and a port.
	BaseURL string
	// Rate is the largest number of calls a second, repeated ones included.
	Rate int
	// Concurrency is the largest number of calls at once; a pending watch counts.
	Concurrency int
	// Timeout bounds one call. A watch has it in addition to its wait.
	Timeout time.Duration
	// Tries bounds the calls of one read that is answered with 429 or 503.
	Tries uint
	// Backoff is the longest first wait between two tries.
	Backoff time.Duration
	// TLS is used for https; nil takes the system's authorities.
	TLS *tls.Config
	// Dial replaces the dialer; it returns a plain connection.
	Dial DialFunc
	// Metrics receives the counters; nil keeps them in a set of their own.
	Metrics *metrics.Set
}

func (o PlatformOptions) withDefaults() PlatformOptions {
	fill(&o.Rate, vrsettings.DefaultPlatformCalls)
	fill(&o.Concurrency, vrsettings.DefaultPlatformConcurrency)
	fill(&o.Timeout, DefaultPlatformTimeout)
	fill(&o.Tries, DefaultPlatformTries)
	fill(&o.Backoff, DefaultPlatformBackoff)
	return o
}

func fill[T int | uint | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Platform is the only way of a daemon to the platform, so that its limits hold for
// everything that the daemon does. It is safe for concurrent use.
type Platform struct {
	options PlatformOptions
	address string
	pool    *pool
	limiter *rate.Limiter
	// slots bounds all calls, watches bounds pending watches so that one slot is left.
	slots    chan struct{}
	watches  chan struct{}
	counters *platformCounters
}

// NewPlatform checks the options and returns a client without connections.
func NewPlatform(options PlatformOptions) (*Platform, error) {
	options = options.withDefaults()
	base, err := url.Parse(options.BaseURL)
	if err != nil {
		return nil, &ProtocolError{What: "platform URL", Problem: err.Error()}
	}
	if _, err := netip.ParseAddrPort(base.Host); err != nil {
		return nil, &ProtocolError{What: "platform URL", Problem: err.Error()}
	}
	dial := options.Dial
	if base.Scheme == "https" {
		dial = tlsDial(dial, options.TLS)
	}
	return &Platform{
		options:  options,
		address:  base.Host,
		pool:     newPool(dial),
		limiter:  rate.NewLimiter(rate.Limit(options.Rate), options.Concurrency),
		slots:    make(chan struct{}, options.Concurrency),
		watches:  make(chan struct{}, max(1, options.Concurrency-1)),
		counters: newPlatformCounters(options.Metrics),
	}, nil
}

func tlsDial(dial DialFunc, config *tls.Config) DialFunc {
	if dial == nil {
		dialer := &tls.Dialer{Config: config}
		return func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		plain, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(plain, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, err
		}
		return conn, nil
	}
}

// Close closes idle connections.
func (p *Platform) Close() { p.pool.close() }

// Attempts returns how many calls of a kind were sent, repeated ones included.
func (p *Platform) Attempts(kind CallKind) uint64 { return p.counters.attempts[kind].Get() }

// platformCall is what one call sends and accepts.
type platformCall struct {
	kind    CallKind
	method  string
	uri     string
	body    []byte
	version *vrid.ObjectVersion
	timeout time.Duration
	limit   int
}

// platformAnswer is how one call ended.
type platformAnswer struct {
	outcome vrplatform.Outcome
	version vrid.ObjectVersion
	body    []byte
	err     error
	// busy is set after 429 and 503, when the platform did nothing.
	busy bool
}

func unavailable(err error) platformAnswer {
	return platformAnswer{outcome: vrplatform.OutcomeUnavailable, err: err}
}

// read repeats a call that the platform was too busy for.
func (p *Platform) read(ctx context.Context, call platformCall) platformAnswer {
	waits := &backoff.ExponentialBackOff{
		// Full jitter: each wait is drawn from 0 to twice the interval.
		InitialInterval:     p.options.Backoff / 2,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         _maxBackoff / 2,
	}
	answer, _ := backoff.Retry(ctx, func() (platformAnswer, error) {
		answer := p.attempt(ctx, call)
		if answer.busy {
			return answer, answer.err
		}
		return answer, nil
	}, backoff.WithBackOff(waits), backoff.WithMaxTries(p.options.Tries))
	p.counters.count(call.kind, answer.outcome)
	return answer
}

// write sends a call once: repeating one that may have taken effect is the caller's
// decision after it has read the object again.
func (p *Platform) write(ctx context.Context, call platformCall) platformAnswer {
	answer := p.attempt(ctx, call)
	p.counters.count(call.kind, answer.outcome)
	return answer
}

func (p *Platform) attempt(ctx context.Context, call platformCall) platformAnswer {
	release, err := p.acquire(ctx, call.kind)
	if err != nil {
		return unavailable(err)
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	p.fillRequest(request, call)
	p.counters.attempts[call.kind].Inc()
	if failed := p.pool.roundTrip(ctx, p.address, request, response, call.limit); failed != nil {
		if call.kind == CallWrite && !failed.Result.ProvesNotRun() {
			return platformAnswer{outcome: vrplatform.OutcomeUnknown, err: failed}
		}
		return unavailable(failed)
	}
	return p.judge(call.kind, response)
}

// acquire waits for a slot and then for the rate limit.
func (p *Platform) acquire(ctx context.Context, kind CallKind) (func(), error) {
	if kind == CallWatch {
		if err := take(ctx, p.watches); err != nil {
			return nil, err
		}
	}
	release := func() {
		if kind == CallWatch {
			<-p.watches
		}
	}
	if err := take(ctx, p.slots); err != nil {
		release()
		return nil, err
	}
	if err := p.limiter.Wait(ctx); err != nil {
		<-p.slots
		release()
		return nil, err
	}
	return func() {
		<-p.slots
		release()
	}, nil
}

func take(ctx context.Context, slots chan struct{}) error {
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
	if call.version != nil {
		request.Header.Set(vrplatform.HeaderIfVersion, strconv.FormatUint(uint64(*call.version), 10))
	}
	if call.body != nil {
		request.Header.SetContentType("application/octet-stream")
		request.SetBodyRaw(call.body)
	}
}

// judge turns a whole answer into an outcome.
func (p *Platform) judge(kind CallKind, response *fasthttp.Response) platformAnswer {
	status := response.StatusCode()
	failed := &AttemptError{Address: p.address, Status: status}
	isWrite := kind == CallWrite
	switch {
	case status == fasthttp.StatusOK:
		return succeeded(kind, response)
	case status == fasthttp.StatusNotFound && kind == CallRead:
		return platformAnswer{outcome: vrplatform.OutcomeNotFound}
	case status == fasthttp.StatusPreconditionFailed && isWrite:
		return conflict(response)
	case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable:
		answer := unavailable(failed)
		answer.busy = true
		return answer
	case status >= fasthttp.StatusInternalServerError && isWrite:
		return platformAnswer{outcome: vrplatform.OutcomeUnknown, err: failed}
	default:
		return unavailable(failed)
	}
}

func succeeded(kind CallKind, response *fasthttp.Response) platformAnswer {
	answer := platformAnswer{outcome: vrplatform.OutcomeOK}
	if kind == CallRead || kind == CallWrite {
		version, err := versionOf(response)
		if err == nil && version == 0 {
			err = &ProtocolError{What: vrplatform.HeaderVersion, Problem: "is 0 for an object that exists"}
		}
		switch {
		case err != nil && kind == CallWrite:
			return platformAnswer{outcome: vrplatform.OutcomeUnknown, err: err}
		case err != nil:
			return unavailable(err)
		}
		answer.version = version
	}
	if kind != CallWrite {
		answer.body = append([]byte(nil), response.Body()...)
	}
	return answer
}

// conflict reads the standing version. Without it the write is still known to have had
// no effect, but the caller can't tell what stands there.
func conflict(response *fasthttp.Response) platformAnswer {
	version, err := versionOf(response)
	if err != nil {
		return unavailable(err)
	}
	return platformAnswer{outcome: vrplatform.OutcomeConflict, version: version}
}

func versionOf(response *fasthttp.Response) (vrid.ObjectVersion, error) {
	text := string(response.Header.Peek(vrplatform.HeaderVersion))
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &ProtocolError{What: vrplatform.HeaderVersion, Problem: err.Error()}
	}
	return vrid.ObjectVersion(version), nil
}
