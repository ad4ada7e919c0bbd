// Package vrload is the load generator of the bench. It sends mixed traffic to the daemons
// as callers do, and compares each answer with the tokens that the stand-ins generate.
package vrload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Options configures one run of the load generator.
type Options struct {
	Fleet *vrconfig.Fleet
	// Daemons maps each daemon to the address that it listens on for callers.
	Daemons map[vrid.DaemonID]string
	Seed    uint64
	// Rate is the mean number of calls per second, without the bursts.
	Rate float64
	// Duration is the time over which calls are sent.
	Duration time.Duration
	// BurstEvery is the mean time between bursts, each of which goes to one idle model. Zero
	// disables bursts.
	BurstEvery time.Duration
	// BurstSize is the number of calls per burst.
	BurstSize int
	// Mix holds the weights of the call types; nil selects DefaultMix.
	Mix Mix
}

// Limits of the load generator.
const (
	_maxInFlight = 600
	_maxAttempts = 4
	// _callTimeout is longer than every deadline of the two deployments.
	_callTimeout  = 45 * time.Second
	_retryBackoff = 200 * time.Millisecond
)

// Load sends the calls of one run and collects their results.
type Load struct {
	options  Options
	client   *http.Client
	inFlight chan struct{}
	calls    conc.WaitGroup

	mu      sync.Mutex
	daemons []vrid.DaemonID
	down    map[vrid.DaemonID]bool
	results []Result
	sent    int
}

// New prepares a run without sending anything.
func New(options Options) *Load {
	if options.Mix == nil {
		options.Mix = DefaultMix()
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: _maxInFlight,
		DisableCompression:  true,
	}
	load := &Load{
		options:  options,
		client:   &http.Client{Transport: transport, Timeout: _callTimeout},
		inFlight: make(chan struct{}, _maxInFlight),
		down:     make(map[vrid.DaemonID]bool),
	}
	for i := range len(options.Daemons) {
		id := vrid.DaemonID(fmt.Sprintf("daemon-%d", i+1))
		if _, ok := options.Daemons[id]; ok {
			load.daemons = append(load.daemons, id)
		}
	}
	return load
}

// MarkDown removes a daemon from load balancing: callers choose it only if no other daemon
// is available. It doesn't affect the first attempt of a call that names the daemon.
func (l *Load) MarkDown(daemon vrid.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down[daemon] = true
}

// MarkUp adds a daemon to load balancing again.
func (l *Load) MarkUp(daemon vrid.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.down, daemon)
}

// Run plans the calls, sends each at its time, and returns when all of them have ended.
func (l *Load) Run(ctx context.Context) []Result {
	l.Play(ctx, Plan(l.options))
	return l.Wait()
}

// Play sends each call at its time and returns after it has sent the last one. It sends no
// more calls once the context is done, but doesn't cancel calls in flight.
func (l *Load) Play(ctx context.Context, plan []PlannedCall) {
	start := time.Now()
	for _, planned := range plan {
		if vrpause.For(ctx, time.Until(start.Add(planned.At))) != nil {
			return
		}
		l.Start(ctx, planned.Call)
	}
}

// Start sends one call in the background. It blocks while _maxInFlight calls are in flight.
// The call isn't canceled with the context.
func (l *Load) Start(ctx context.Context, call Call) {
	ctx = context.WithoutCancel(ctx)
	l.inFlight <- struct{}{}
	l.mu.Lock()
	l.sent++
	l.mu.Unlock()
	l.calls.Go(func() {
		defer func() { <-l.inFlight }()
		result := l.Do(ctx, call)
		l.mu.Lock()
		l.results = append(l.results, result)
		l.mu.Unlock()
	})
}

// Wait waits for all calls to end and returns their results.
func (l *Load) Wait() []Result {
	l.calls.Wait()
	l.client.CloseIdleConnections()
	return l.Results()
}

// Results returns the results of the calls that have ended.
func (l *Load) Results() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Result(nil), l.results...)
}

// AddResult adds the result of a call that was sent with Do.
func (l *Load) AddResult(result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.results = append(l.results, result)
}

// Progress returns the numbers of calls that were sent and that have ended.
func (l *Load) Progress() (sent, ended int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent, len(l.results)
}

// Do sends one call and waits for its end. If an attempt ends with a broken connection or
// another retryable failure, it retries at another daemon with the same idempotency key.
func (l *Load) Do(ctx context.Context, call Call) Result {
	result := Result{Call: call}
	random := rand.New(rand.NewPCG(l.options.Seed, uint64(call.Number)))
	var previous vrid.DaemonID
	for i := range _maxAttempts {
		daemon := l.pickDaemon(random, previous, call.Daemon, i)
		attempt := l.attempt(ctx, daemon, call)
		result.Attempts = append(result.Attempts, attempt)
		if !attempt.shouldRetry(call) {
			break
		}
		previous = daemon
		if vrpause.For(ctx, _retryBackoff) != nil {
			break
		}
	}
	return result
}

// pickDaemon returns the preferred daemon, if any, for the first attempt. Otherwise it returns
// a random daemon that is up and isn't the previous one, or any daemon if there is none.
func (l *Load) pickDaemon(random *rand.Rand, previous, preferred vrid.DaemonID, attempt int) vrid.DaemonID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if preferred != "" && attempt == 0 {
		return preferred
	}
	var candidates []vrid.DaemonID
	for _, id := range l.daemons {
		if id != previous && !l.down[id] {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		candidates = l.daemons
	}
	return candidates[random.IntN(len(candidates))]
}
