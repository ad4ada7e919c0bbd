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
	// _balancerLag is how long the callers' load balancer still offers a killed daemon.
	_balancerLag = time.Second
)

// downDaemon is the state of a killed daemon that is not ready again yet.
type downDaemon struct {
	startAt time.Time
	started bool
}

// killer kills daemons at random and restarts them. It is used by a single goroutine.
type killer struct {
	testbed *testbed
	load    *vrload.Generator
	random  *rand.Rand
	// interval is the mean time between two kills.
	interval time.Duration
	nextKill time.Time
	down     map[vrid.DaemonID]*downDaemon
	kills    int
	// maxStartup is the longest time from a start to readiness.
	maxStartup time.Duration
	failure    error
}

func newKiller(s *testbed, load *vrload.Generator, interval time.Duration) *killer {
	const stream = 0x6b696c6c
	return &killer{
		testbed: s, load: load, interval: interval, down: make(map[vrid.DaemonID]*downDaemon),
		random: rand.New(rand.NewPCG(s.options.Seed, stream)),
	}
}

// run kills daemons until the context is cancelled. Then it waits, at most _readyTimeout,
// until every daemon is ready again.
func (k *killer) run(ctx context.Context) {
	k.scheduleKill(time.Now())
	for k.failure == nil && vrpause.For(ctx, _pollInterval) == nil {
		k.step(time.Now(), true)
	}
	end := time.Now().Add(_readyTimeout)
	for k.failure == nil && len(k.down) > 0 && time.Now().Before(end) {
		_ = vrpause.For(context.WithoutCancel(ctx), _pollInterval)
		k.step(time.Now(), false)
	}
}

// scheduleKill draws the time of the next kill.
func (k *killer) scheduleKill(now time.Time) {
	k.nextKill = now.Add(time.Duration((0.5 + k.random.Float64()) * float64(k.interval)))
}

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

func (k *killer) kill(now time.Time, daemon vrid.DaemonID) {
	if _, recorded := k.testbed.evidence.Killed[daemon]; !recorded {
		k.testbed.evidence.Killed[daemon] = now
	}
	if k.failure = k.testbed.fleet.Kill(daemon); k.failure != nil {
		return
	}
	k.kills++
	downtime := _minDowntime + time.Duration(k.random.Int64N(int64(_maxDowntime-_minDowntime)))
	k.down[daemon] = &downDaemon{startAt: now.Add(downtime)}
}

// restart starts a killed daemon when its downtime is over, and marks it up for callers
// once it is ready. It marks it down _balancerLag after the kill.
func (k *killer) restart(now time.Time, daemon vrid.DaemonID, state *downDaemon) {
	if now.Sub(k.testbed.evidence.Killed[daemon]) >= _balancerLag {
		k.load.MarkDown(daemon)
	}
	switch {
	case now.Before(state.startAt):
	case !state.started:
		state.started = true
		k.failure = k.testbed.fleet.Start(daemon)
	case k.testbed.fleet.Ready(daemon):
		k.maxStartup = max(k.maxStartup, now.Sub(state.startAt))
		k.load.MarkUp(daemon)
		delete(k.down, daemon)
	}
}
