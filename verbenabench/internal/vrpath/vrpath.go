// Package vrpath measures the latency that the daemon adds to a request: in one run, the
// same requests go to a stand-in engine both directly and through one daemon. It also
// measures the memory that a query over many entries needs and how much the query slows
// down the daemon's callers.
package vrpath

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrfleet"
	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenacore/vrid"
)

// Options configures a measurement.
type Options struct {
	// Deployment is the name of a deployment of vrdeploy.
	Deployment string
	// DeclaredCounts lists the numbers of declared models and adapters to measure with.
	DeclaredCounts []int
	// Rate is the number of requests per second through the daemon; as many go to the engine directly.
	Rate int
	// For is the duration of the traffic in each run.
	For time.Duration
	// Speed is the speedup factor of the stand-in engine. At a high factor the engine
	// answers at once. At a low one its own timers, which fire up to a millisecond late,
	// mask the latency that the daemon adds.
	Speed float64
	Out   io.Writer
}

// Point is the result for one number of declared models and adapters.
type Point struct {
	Declared int
	Stream   bool
	// Direct and Through are the times to the first byte of a stream, or to the end of a
	// response without streaming, of requests that go directly to the engine and through
	// the daemon.
	Direct  vrstat.Quantiles
	Through vrstat.Quantiles
	// Failed is the number of failed requests on both paths.
	Failed int
	// Allocated is the number of bytes that the daemon allocated per request.
	Allocated float64
	// IdleMemory is the daemon's resident memory at the end of idleTime, before any traffic.
	IdleMemory vrid.Bytes
	// IdleCPU is the daemon's CPU time per second during idleTime.
	IdleCPU time.Duration
}

const (
	startTimeout = 30 * time.Second
	// idleTime is how long the daemon is measured without traffic.
	idleTime = 5 * time.Second
	// warmUpRequests is the number of initial requests on each path whose latency is not
	// counted.
	warmUpRequests = 200
	// engineSpeed is the speedup factor of the stand-in engine in the query measurement,
	// for model loads and for answers.
	engineSpeed = 50
)

// Run measures with each number of declared models and adapters and prints a table.
func Run(ctx context.Context, options Options) ([]Point, error) {
	program, dir, remove, err := vrfleet.BuildTemporary(ctx, false)
	if err != nil {
		return nil, err
	}
	defer remove()
	var points []Point
	for _, declared := range options.DeclaredCounts {
		measured, err := measure(ctx, options, program, dir, declared)
		if err != nil {
			return nil, fmt.Errorf("%d declared: %w", declared, err)
		}
		points = append(points, measured...)
	}
	printTable(options.Out, points)
	return points, nil
}

// measure runs one daemon against the stand-ins of a deployment with the given number of
// declared models and adapters.
func measure(ctx context.Context, options Options, program, dir string, declared int) ([]Point, error) {
	const declaredPerModel = 16 // a model and its 15 adapters, as in the design target
	size := vrdeploy.Size{Models: max(declared/declaredPerModel, 1)}
	size.Adapters = declared - size.Models
	deployment, err := vrdeploy.ByName(options.Deployment, size)
	if err != nil {
		return nil, err
	}
	for i := range deployment.Fleet.Pools {
		// Enough slots that no request waits for one.
		deployment.Fleet.Pools[i].Slots = 4096
	}
	fleet, err := vrfleet.New(vrfleet.Options{
		Deployment: deployment, Program: program, Dir: fmt.Sprintf("%s/%d", dir, declared), Speed: options.Speed,
	})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	daemon := deployment.Daemons[0].ID
	if err := fleet.Start(daemon); err != nil {
		return nil, err
	}
	if err := fleet.WaitReady(ctx, daemon, startTimeout); err != nil {
		return nil, err
	}
	s := newSession(fleet, daemon, deployment)
	before := s.processUsage()
	if err := vrpause.For(ctx, idleTime); err != nil {
		return nil, err
	}
	afterIdle := s.processUsage()
	if err := s.loadModel(ctx); err != nil {
		return nil, err
	}
	var points []Point
	for _, stream := range []bool{true, false} {
		point := s.compare(ctx, options, stream)
		point.Declared = declared
		point.IdleMemory = afterIdle.Memory
		point.IdleCPU = (afterIdle.CPU - before.CPU) / (idleTime / time.Second)
		points = append(points, point)
	}
	return points, fleet.StopAll()
}

// compare sends each request both directly and through the daemon, concurrently.
func (s *session) compare(ctx context.Context, options Options, stream bool) Point {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var direct, through []time.Duration
	point := Point{Stream: stream}
	total := int(options.For.Seconds() * float64(options.Rate))
	ticker := time.NewTicker(time.Second / time.Duration(options.Rate))
	defer ticker.Stop()
	record := func(samples *[]time.Duration, index int, latency callLatency, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			point.Failed++
			return
		}
		if index < warmUpRequests {
			return
		}
		// The engine always streams. A daemon that answers without streaming sends its first
		// byte only when the generation has ended, so the total times are compared.
		if stream {
			*samples = append(*samples, latency.firstByte)
		} else {
			*samples = append(*samples, latency.total)
		}
	}
	before := s.processUsage()
	for i := 0; i < total && ctx.Err() == nil; i++ {
		<-ticker.C
		wg.Add(2)
		go func() {
			defer wg.Done()
			latency, err := s.callEngine(ctx, i)
			record(&direct, i, latency, err)
		}()
		go func() {
			defer wg.Done()
			latency, err := s.callDaemon(ctx, stream)
			record(&through, i, latency, err)
		}()
	}
	wg.Wait()
	after := s.processUsage()
	point.Allocated = (after.Allocated - before.Allocated) / float64(max(total, 1))
	point.Direct = vrstat.QuantilesOf(direct)
	point.Through = vrstat.QuantilesOf(through)
	return point
}

// printTable prints one row per point. Its "added p99" is the difference of the two paths'
// 99th percentiles.
func printTable(out io.Writer, points []Point) {
	fmt.Fprintf(out, "%-9s %-7s %28s %28s %9s %7s %10s %9s %9s\n",
		"declared", "stream", "direct p50/p95/p99", "through p50/p95/p99", "added p99", "failed", "bytes/req", "idle MiB", "idle CPU")
	for _, p := range points {
		fmt.Fprintf(out, "%-9d %-7t %28s %28s %9s %7d %10.0f %9.1f %8.2f%%\n",
			p.Declared, p.Stream, p.Direct, p.Through, (p.Through.P99 - p.Direct.P99).Round(time.Microsecond),
			p.Failed, p.Allocated, float64(p.IdleMemory)/float64(vrid.MiB), 100*p.IdleCPU.Seconds())
	}
}
