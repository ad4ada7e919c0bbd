// Package vrload sends mixed traffic to the daemons as callers do, and checks each
// answer against the tokens that the stand-ins generate.
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

// Options bound one run of the load.
type Options struct {
	Fleet *vrconfig.Fleet
	// Daemons are the callers' addresses.
	Daemons map[vrid.DaemonID]string
	Seed    uint64
	// Rate is the mean number of calls a second beside the bursts.
	Rate float64
	For  time.Duration
	// BurstEvery is the mean time between two bursts to an idle model; zero sends none.
	BurstEvery time.Duration
	// BurstSize is the number of calls of a burst.
	BurstSize int
	// Mix weighs the sorts of calls; nil takes DefaultMix.
	Mix Mix
}

// Limits of the callers.
const (
	_maxInFlight = 600
	_maxAttempts = 4
	// _callTimeout is beyond every deadline of the two deployments.
	_callTimeout = 45 * time.Second
	_retryPause  = 200 * time.Millisecond
)

// Load is the traffic of one run.
type Load struct {
	options Options
	client  *http.Client
	places  chan struct{}
	calls   conc.WaitGroup

	mu      sync.Mutex
	daemons []vrid.DaemonID
	down    map[vrid.DaemonID]bool
	views   []View
	sent    int
}

// New prepares a run.
func New(options Options) *Load {
	if options.Mix == nil {
		options.Mix = DefaultMix()
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: _maxInFlight,
		DisableCompression:  true,
	}
	load := &Load{
		options: options,
		client:  &http.Client{Transport: transport, Timeout: _callTimeout},
		places:  make(chan struct{}, _maxInFlight),
		down:    make(map[vrid.DaemonID]bool),
	}
	for i := range len(options.Daemons) {
		id := vrid.DaemonID(fmt.Sprintf("daemon-%d", i+1))
		if _, ok := options.Daemons[id]; ok {
			load.daemons = append(load.daemons, id)
		}
	}
	return load
}

// MarkDown tells the callers' balancer that a daemon takes no new calls.
func (l *Load) MarkDown(daemon vrid.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down[daemon] = true
}

// MarkUp undoes MarkDown.
func (l *Load) MarkUp(daemon vrid.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.down, daemon)
}

// Run sends the planned calls at their times and returns when each one has ended.
func (l *Load) Run(ctx context.Context) []View {
	l.Play(ctx, Plan(l.options))
	return l.Wait()
}

// Play sends calls at their times and returns after the last one was sent. When the
// context ends no further call is sent; those under way end by themselves.
func (l *Load) Play(ctx context.Context, plan []PlannedCall) {
	began := time.Now()
	for _, planned := range plan {
		if vrpause.For(ctx, time.Until(began.Add(planned.At))) != nil {
			return
		}
		l.Start(ctx, planned.Call)
	}
}

// Start sends one call in the background. It ends by itself, not with the context.
func (l *Load) Start(ctx context.Context, call Call) {
	ctx = context.WithoutCancel(ctx)
	l.places <- struct{}{}
	l.mu.Lock()
	l.sent++
	l.mu.Unlock()
	l.calls.Go(func() {
		defer func() { <-l.places }()
		view := l.Do(ctx, call)
		l.mu.Lock()
		l.views = append(l.views, view)
		l.mu.Unlock()
	})
}

// Wait returns the views of all calls when each one has ended.
func (l *Load) Wait() []View {
	l.calls.Wait()
	l.client.CloseIdleConnections()
	return l.Views()
}

// Views returns the views of the calls that have ended.
func (l *Load) Views() []View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]View(nil), l.views...)
}

// Keep adds a view of a call that Do made.
func (l *Load) Keep(view View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.views = append(l.views, view)
}

// Progress returns how many calls were sent and how many have ended.
func (l *Load) Progress() (sent, ended int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent, len(l.views)
}

// Do makes one call and repeats it with the same key at another daemon when its
// connection broke.
func (l *Load) Do(ctx context.Context, call Call) View {
	view := View{Call: call}
	choice := rand.New(rand.NewPCG(l.options.Seed, uint64(call.Number)))
	var last vrid.DaemonID
	for attempt := range _maxAttempts {
		daemon := l.pick(choice, last, call.Daemon, attempt)
		done := l.attempt(ctx, daemon, call)
		view.Attempts = append(view.Attempts, done)
		if !done.retry(call) {
			break
		}
		last = daemon
		if vrpause.For(ctx, _retryPause) != nil {
			break
		}
	}
	return view
}

// pick returns the wanted daemon first, and another one after a broken connection.
func (l *Load) pick(choice *rand.Rand, last, wanted vrid.DaemonID, attempt int) vrid.DaemonID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if wanted != "" && attempt == 0 {
		return wanted
	}
	var open []vrid.DaemonID
	for _, id := range l.daemons {
		if id != last && !l.down[id] {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		open = l.daemons
	}
	return open[choice.IntN(len(open))]
}
