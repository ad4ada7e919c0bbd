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

// Generator sends the calls of one run and collects their results.
type Generator struct {
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
func New(options Options) *Generator {
	if options.Mix == nil {
		options.Mix = DefaultMix()
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: _maxInFlight,
		DisableCompression:  true,
	}
	g := &Generator{
		options:  options,
		client:   &http.Client{Transport: transport, Timeout: _callTimeout},
		inFlight: make(chan struct{}, _maxInFlight),
		down:     make(map[vrid.DaemonID]bool),
	}
	for i := range len(options.Daemons) {
		id := vrid.DaemonID(fmt.Sprintf("daemon-%d", i+1))
		if _, ok := options.Daemons[id]; ok {
			g.daemons = append(g.daemons, id)
		}
	}
	return g
}

// MarkDown removes a daemon from load balancing: callers choose it only if no other daemon
// is available. It doesn't affect the first attempt of a call that names the daemon.
func (g *Generator) MarkDown(daemon vrid.DaemonID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down[daemon] = true
}

// MarkUp adds a daemon to load balancing again.
func (g *Generator) MarkUp(daemon vrid.DaemonID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.down, daemon)
}

// Run plans the calls, sends each at its time, and returns when all of them have ended.
func (g *Generator) Run(ctx context.Context) []Result {
	g.SendPlan(ctx, Plan(g.options))
	return g.Wait()
}

// SendPlan sends each call at its time and returns after it has sent the last one. It sends no
// more calls once the context is done, but doesn't cancel calls in flight.
func (g *Generator) SendPlan(ctx context.Context, plan []PlannedCall) {
	start := time.Now()
	for _, planned := range plan {
		if vrpause.For(ctx, time.Until(start.Add(planned.At))) != nil {
			return
		}
		g.Start(ctx, planned.Call)
	}
}

// Start sends one call in the background. It blocks while _maxInFlight calls are in flight.
// The call isn't canceled with the context.
func (g *Generator) Start(ctx context.Context, call Call) {
	ctx = context.WithoutCancel(ctx)
	g.inFlight <- struct{}{}
	g.mu.Lock()
	g.sent++
	g.mu.Unlock()
	g.calls.Go(func() {
		defer func() { <-g.inFlight }()
		result := g.Do(ctx, call)
		g.mu.Lock()
		g.results = append(g.results, result)
		g.mu.Unlock()
	})
}

// Wait waits for all calls to end and returns their results.
func (g *Generator) Wait() []Result {
	g.calls.Wait()
	g.client.CloseIdleConnections()
	return g.Results()
}

// Results returns the results of the calls that have ended.
func (g *Generator) Results() []Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Result(nil), g.results...)
}

// AddResult adds the result of a call that was sent with Do.
func (g *Generator) AddResult(result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent++
	g.results = append(g.results, result)
}

// Progress returns the numbers of calls that were sent and that have ended.
func (g *Generator) Progress() (sent, ended int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sent, len(g.results)
}

// Do sends one call and waits for its end. If an attempt ends with a broken connection or
// another retryable failure, it retries at another daemon with the same idempotency key.
func (g *Generator) Do(ctx context.Context, call Call) Result {
	result := Result{Call: call}
	random := rand.New(rand.NewPCG(g.options.Seed, uint64(call.Number)))
	var previous vrid.DaemonID
	for i := range _maxAttempts {
		daemon := g.pickDaemon(random, previous, call.Daemon, i)
		attempt := g.attempt(ctx, daemon, call)
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
func (g *Generator) pickDaemon(random *rand.Rand, previous, preferred vrid.DaemonID, attempt int) vrid.DaemonID {
	g.mu.Lock()
	defer g.mu.Unlock()
	if preferred != "" && attempt == 0 {
		return preferred
	}
	var candidates []vrid.DaemonID
	for _, id := range g.daemons {
		if id != previous && !g.down[id] {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		candidates = g.daemons
	}
	return candidates[random.IntN(len(candidates))]
}
