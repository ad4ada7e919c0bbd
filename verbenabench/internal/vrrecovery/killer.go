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
	// _mostDown leaves most daemons up, so that callers find one.
	_mostDown = 2
	// _shortestDown and _longestDown bound how long a killed daemon stays away.
	_shortestDown = 500 * time.Millisecond
	_longestDown  = 3 * time.Second
	// _balancerLag is how long the callers' balancer still names a killed daemon.
	_balancerLag = time.Second
)

// life is what the killer knows of one daemon that is not up.
type life struct {
	startAt time.Time
	started bool
}

// killer ends daemons at random and starts them again. One goroutine runs it.
type killer struct {
	site   *site
	load   *vrload.Load
	random *rand.Rand
	// gap is the mean time between two kills.
	gap   time.Duration
	next  time.Time
	down  map[vrid.DaemonID]*life
	kills int
	// slowest is the longest time from a start to ready.
	slowest time.Duration
	failure error
}

func newKiller(s *site, load *vrload.Load, gap time.Duration) *killer {
	const stream = 0x6b696c6c
	return &killer{
		site: s, load: load, gap: gap, down: make(map[vrid.DaemonID]*life),
		random: rand.New(rand.NewPCG(s.options.Seed, stream)),
	}
}

// run kills until the context ends and then waits until every daemon is up again.
func (k *killer) run(ctx context.Context) {
	k.plan(time.Now())
	for k.failure == nil && vrpause.For(ctx, _pollEvery) == nil {
		k.step(time.Now(), true)
	}
	end := time.Now().Add(_readyBound)
	for k.failure == nil && len(k.down) > 0 && time.Now().Before(end) {
		_ = vrpause.For(context.WithoutCancel(ctx), _pollEvery)
		k.step(time.Now(), false)
	}
}

// plan draws the time of the next kill.
func (k *killer) plan(now time.Time) {
	k.next = now.Add(time.Duration((0.5 + k.random.Float64()) * float64(k.gap)))
}

func (k *killer) step(now time.Time, killing bool) {
	for daemon, held := range k.down {
		k.revive(now, daemon, held)
	}
	if !killing || now.Before(k.next) || len(k.down) >= _mostDown {
		return
	}
	k.plan(now)
	daemons := k.site.fleet.Deployment.Daemons
	daemon := daemons[k.random.IntN(len(daemons))].ID
	if k.down[daemon] == nil {
		k.kill(now, daemon)
	}
}

func (k *killer) kill(now time.Time, daemon vrid.DaemonID) {
	if _, before := k.site.evidence.Killed[daemon]; !before {
		k.site.evidence.Killed[daemon] = now
	}
	if k.failure = k.site.fleet.Kill(daemon); k.failure != nil {
		return
	}
	k.kills++
	away := _shortestDown + time.Duration(k.random.Int64N(int64(_longestDown-_shortestDown)))
	k.down[daemon] = &life{startAt: now.Add(away)}
}

// revive starts a killed daemon in its time and lets callers reach it when it is ready.
func (k *killer) revive(now time.Time, daemon vrid.DaemonID, held *life) {
	if now.Sub(k.site.evidence.Killed[daemon]) >= _balancerLag {
		k.load.MarkDown(daemon)
	}
	switch {
	case now.Before(held.startAt):
	case !held.started:
		held.started = true
		k.failure = k.site.fleet.Start(daemon)
	case k.site.fleet.Ready(daemon):
		k.slowest = max(k.slowest, now.Sub(held.startAt))
		k.load.MarkUp(daemon)
		delete(k.down, daemon)
	}
}
