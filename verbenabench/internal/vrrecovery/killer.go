package vrrecovery

import (
	"context"
	"math/rand/v2"
	"time"

	"verbenaroute.example/verbenabench/internal/vrload"
	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenacore/vrid"
)

const (
	// _maxDown is the maximum number of daemons down at once. It leaves most daemons up,
	// so that callers find one.
	_maxDown = 2
	// _minDowntime and _maxDowntime bound how long a killed daemon stays down.
	_minDowntime = 500 * time.Millisecond
	_maxDowntime = 3 * time.Second
	// _balancerLag is how long the callers' load balancer still picks a killed daemon.
	_balancerLag = time.Second
)

// downDaemon is a killed daemon that is not ready again yet.
type downDaemon struct {
	// startAt is when the daemon is started again.
	startAt time.Time
	started bool
}

// killer kills daemons at random and restarts them. It is used by a single goroutine.
type killer struct {
	testbed   *testbed
	generator *vrload.Generator
	random    *rand.Rand
	// interval is the mean time between two kills.
	interval time.Duration
	nextKill time.Time
	down     map[vrid.DaemonID]*downDaemon
	kills    int
	// maxStartup is the longest time from a scheduled start to readiness.
	maxStartup time.Duration
	// runErr is the error that ended the run, if any.
	runErr error
}

func newKiller(tb *testbed, generator *vrload.Generator, interval time.Duration) *killer {
	// "kill" in ASCII: a PCG stream of its own, so that the killer does not repeat the
	// random choices of other users of the seed.
	const stream = 0x6b696c6c
	return &killer{
		testbed: tb, generator: generator, interval: interval, down: make(map[vrid.DaemonID]*downDaemon),
		random: rand.New(rand.NewPCG(tb.options.Seed, stream)),
	}
}

// run kills daemons until the context is cancelled. Then it waits, at most _readyTimeout,
// until every daemon is ready again.
func (k *killer) run(ctx context.Context) {
	k.scheduleKill(time.Now())
	for k.runErr == nil && vrpause.For(ctx, _pollInterval) == nil {
		k.step(time.Now(), true)
	}
	end := time.Now().Add(_readyTimeout)
	for k.runErr == nil && len(k.down) > 0 && time.Now().Before(end) {
		_ = vrpause.For(context.WithoutCancel(ctx), _pollInterval)
		k.step(time.Now(), false)
	}
}

// scheduleKill draws the time of the next kill: between 0.5 and 1.5 intervals from now.
func (k *killer) scheduleKill(now time.Time) {
	k.nextKill = now.Add(time.Duration((0.5 + k.random.Float64()) * float64(k.interval)))
}

// step advances the restarts and, if killing is set and a kill is due, kills a random
// daemon. A daemon that is already down is not killed, and its turn is skipped.
func (k *killer) step(now time.Time, killing bool) {
	for daemon, state := range k.down {
		k.restart(now, daemon, state)
	}
	if !killing || now.Before(k.nextKill) || len(k.down) >= _maxDown {
		return
	}
	k.scheduleKill(now)
	daemons := k.testbed.fleet.Deployment.Daemons
	daemon := daemons[k.random.IntN(len(daemons))].ID
	if k.down[daemon] == nil {
		k.kill(now, daemon)
	}
}

// kill kills a daemon and draws its downtime. The evidence keeps the daemon's first kill,
// since the invariant checks excuse broken connections from then on.
func (k *killer) kill(now time.Time, daemon vrid.DaemonID) {
	if _, recorded := k.testbed.evidence.Killed[daemon]; !recorded {
		k.testbed.evidence.Killed[daemon] = now
	}
	if k.runErr = k.testbed.fleet.Kill(daemon); k.runErr != nil {
		return
	}
	k.kills++
	downtime := _minDowntime + time.Duration(k.random.Int64N(int64(_maxDowntime-_minDowntime)))
	k.down[daemon] = &downDaemon{startAt: now.Add(downtime)}
}

// restart marks a killed daemon down for callers, starts it when its downtime is over and
// marks it up once it is ready. It marks it down _balancerLag after the daemon's first
// kill, and therefore at once after a later one.
func (k *killer) restart(now time.Time, daemon vrid.DaemonID, state *downDaemon) {
	if now.Sub(k.testbed.evidence.Killed[daemon]) >= _balancerLag {
		k.generator.MarkDown(daemon)
	}
	switch {
	case now.Before(state.startAt):
	case !state.started:
		state.started = true
		k.runErr = k.testbed.fleet.Start(daemon)
	case k.testbed.fleet.Ready(daemon):
		k.maxStartup = max(k.maxStartup, now.Sub(state.startAt))
		k.generator.MarkUp(daemon)
		delete(k.down, daemon)
	}
}
