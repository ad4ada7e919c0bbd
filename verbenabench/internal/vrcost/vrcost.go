// Package vrcost measures the control-plane overhead of idle daemons: messages, bytes,
// platform calls and CPU time at several fleet sizes. It runs the daemons' own reducers in
// virtual time, fits a line through the points and extrapolates to the size that the
// system is designed for. It also measures real idle daemons and the propagation of
// configuration changes.
package vrcost

import (
	"fmt"
	"io"
	"syscall"
	"time"

	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenabench/internal/vrworld"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Options configures a measurement.
type Options struct {
	// Daemons lists the numbers of daemons to measure with in one zone, each with
	// ServersPerDaemon servers.
	Daemons          []int
	ServersPerDaemon int
	// Zones lists the numbers of zones to measure with, each zone with three daemons and
	// three servers.
	Zones []int
	// For is the duration of the measured part of a run, in virtual time.
	For  time.Duration
	Seed uint64
	Out  io.Writer
}

// Point is the result of one run.
type Point struct {
	Daemons int `json:"daemons"`
	Servers int `json:"servers"`
	Zones   int `json:"zones"`
	// OwnerBytes, InnerBytes and LeafBytes are bytes sent and received per second by a
	// daemon. OwnerBytes is the maximum over the daemons that hold a zone's lease,
	// InnerBytes the maximum over the other daemons with children in the heartbeat tree,
	// and LeafBytes the mean over the rest.
	OwnerBytes float64 `json:"ownerBytes"`
	InnerBytes float64 `json:"innerBytes"`
	LeafBytes  float64 `json:"leafBytes"`
	// Messages is the number of messages sent and received per second and daemon.
	Messages float64 `json:"messages"`
	// Reads and Writes are the platform reads and writes per second of all daemons.
	// Watches is the number of daemons with an open configuration watch.
	Reads   float64 `json:"reads"`
	Writes  float64 `json:"writes"`
	Watches int     `json:"watches"`
	// Polls is the number of server polls per second and daemon.
	Polls float64 `json:"polls"`
	// CPU is the fraction of a core used per daemon. It includes the CPU time of the
	// simulated platform, network and servers.
	CPU float64 `json:"cpu"`
}

// counter is a vrworld.Observer that counts the effects of the daemons. It counts only
// while active, except for watches, which it always tracks: a watch that was opened before
// the measurement stays open during it.
type counter struct {
	active      bool
	sent        map[vrid.DaemonID]float64
	received    map[vrid.DaemonID]float64
	hasChildren map[vrid.DaemonID]bool
	watches     map[vrid.DaemonID]bool
	messages    float64
	reads       float64
	writes      float64
	polls       float64
}

// Loading is not counted.
func (c *counter) Loading(*vrworld.Engine, vrid.ModelID, vrid.AdapterID) {}

// Written is not counted.
func (c *counter) Written(string, []byte) {}

// Ran is not counted.
func (c *counter) Ran(*vrworld.Call, vrid.ServerID) {}

// Dispatched is not counted.
func (c *counter) Dispatched(*vrworld.Process, *vrworld.Call, vrid.ServerID, time.Time) {}

// Reduced is not counted.
func (c *counter) Reduced(*vrworld.Process) {}

func newCounter() *counter {
	return &counter{
		sent:        make(map[vrid.DaemonID]float64),
		received:    make(map[vrid.DaemonID]float64),
		hasChildren: make(map[vrid.DaemonID]bool),
		watches:     make(map[vrid.DaemonID]bool),
	}
}

// frameHeader is the size in bytes of an envelope's length prefix and of the yamux header.
const frameHeader = 4 + 12

// FrameSize returns the number of bytes that an envelope takes on a session between daemons.
func FrameSize(envelope *vrwire.Envelope) (float64, error) {
	data, err := vrwire.Marshal(envelope)
	return float64(len(data) + frameHeader), err
}

// Effect counts an effect of a daemon.
func (c *counter) Effect(p *vrworld.Process, effect vrevent.Effect) {
	if watch, ok := effect.(vrevent.WatchConfig); ok {
		c.watches[p.Daemon.ID] = watch.On
	}
	if !c.active {
		return
	}
	switch e := effect.(type) {
	case vrevent.SendPeer:
		c.countMessage(p.Daemon.ID, e)
	case vrevent.ReadObject, vrevent.ListObjects, vrevent.ListVMs:
		c.reads++
	case vrevent.WriteObject:
		c.writes++
	case vrevent.PollServer:
		c.polls++
	}
}

// countMessage adds the size of a peer message to the totals of its sender and receiver. A
// sender of heartbeat replies has children.
func (c *counter) countMessage(from vrid.DaemonID, effect vrevent.SendPeer) {
	// A daemon sets these fields when it sends the envelope. They count toward its size.
	envelope := *effect.Envelope
	envelope.From, envelope.Boot, envelope.Zone = from, "00000000000000000000000000", "tw-north-a"
	size, err := FrameSize(&envelope)
	if err != nil {
		return
	}
	c.sent[from] += size
	c.received[effect.Peer] += size
	c.messages += 2
	if effect.Envelope.HeartbeatReply != nil {
		c.hasChildren[from] = true
	}
}

// settleTime is the time until leases, views and reports reach a steady state.
const settleTime = 15 * time.Second

// measure runs an idle fleet in virtual time and counts its effects after settleTime.
func measure(options Options, zones, daemons, servers int) Point {
	effects := newCounter()
	world := vrworld.New(vrworld.Options{
		Seed: options.Seed, Zones: zones, DaemonsPerZone: daemons, ServersPerZone: servers, Observer: effects,
	})
	world.Advance(settleTime)
	effects.active = true
	before := cpuTime()
	world.Advance(options.For)
	cpu := cpuTime() - before
	return effects.point(world, options.For.Seconds(), cpu)
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// point converts the counts into rates.
func (c *counter) point(world *vrworld.World, seconds float64, cpu time.Duration) Point {
	total := float64(len(world.Daemons))
	point := Point{
		Daemons: len(world.Daemons), Servers: len(world.Engines), Zones: world.Options.Zones,
		Messages: c.messages / total / seconds, Reads: c.reads / seconds, Writes: c.writes / seconds,
		Polls: c.polls / total / seconds, CPU: cpu.Seconds() / total / seconds,
	}
	leaves := 0.0
	for _, daemon := range world.Daemons {
		byteRate := (c.sent[daemon.ID] + c.received[daemon.ID]) / seconds
		if c.watches[daemon.ID] {
			point.Watches++
		}
		switch {
		case daemon.Process.State.Status().Holding:
			point.OwnerBytes = max(point.OwnerBytes, byteRate)
		case c.hasChildren[daemon.ID]:
			point.InnerBytes = max(point.InnerBytes, byteRate)
		default:
			leaves++
			point.LeafBytes += byteRate
		}
	}
	if leaves > 0 {
		point.LeafBytes /= leaves
	}
	return point
}

// Run measures at every size and prints the tables and the fitted lines.
func Run(options Options) []Point {
	var points []Point
	fmt.Fprintf(options.Out, "one zone, %d servers per daemon, idle, %s of virtual time, seed %d\n",
		options.ServersPerDaemon, options.For, options.Seed)
	printHeader(options.Out)
	for _, daemons := range options.Daemons {
		point := measure(options, 1, daemons, daemons*options.ServersPerDaemon)
		printRow(options.Out, point)
		points = append(points, point)
	}
	const designDaemons = 100
	printFit(options.Out, points, "daemons in the zone", designDaemons, func(p Point) float64 { return float64(p.Daemons) })
	fmt.Fprintf(options.Out, "\nzones of three daemons and three servers\n")
	printHeader(options.Out)
	var byZones []Point
	for _, zones := range options.Zones {
		point := measure(options, zones, 3, 3)
		printRow(options.Out, point)
		byZones = append(byZones, point)
	}
	const designZones = 21
	printFit(options.Out, byZones, "zones", designZones, func(p Point) float64 { return float64(p.Zones) })
	return append(points, byZones...)
}

func printHeader(out io.Writer) {
	fmt.Fprintf(out, "%8s %8s %6s %10s %10s %10s %8s %8s %8s %8s %8s %8s\n", "daemons", "servers", "zones",
		"owner B/s", "inner B/s", "leaf B/s", "msg/s", "reads/s", "writes/s", "watches", "polls/s", "core %")
}

func printRow(out io.Writer, p Point) {
	const percent = 100
	fmt.Fprintf(out, "%8d %8d %6d %10.0f %10.0f %10.0f %8.2f %8.2f %8.2f %8d %8.2f %8.3f\n", p.Daemons, p.Servers, p.Zones,
		p.OwnerBytes, p.InnerBytes, p.LeafBytes, p.Messages, p.Reads, p.Writes, p.Watches, p.Polls, percent*p.CPU)
}

// printFit prints, for each column, the line fitted through the points and its value at
// the target size.
func printFit(out io.Writer, points []Point, axis string, target float64, x func(Point) float64) {
	const percent = 100
	vrstat.PrintLines(out, points, vrstat.Axis[Point]{Name: axis, Value: x}, target, []vrstat.Axis[Point]{
		{Name: "owner bytes/s", Value: func(p Point) float64 { return p.OwnerBytes }},
		{Name: "inner bytes/s", Value: func(p Point) float64 { return p.InnerBytes }},
		{Name: "leaf bytes/s", Value: func(p Point) float64 { return p.LeafBytes }},
		{Name: "messages/s per daemon", Value: func(p Point) float64 { return p.Messages }},
		{Name: "platform reads/s", Value: func(p Point) float64 { return p.Reads }},
		{Name: "platform writes/s", Value: func(p Point) float64 { return p.Writes }},
		{Name: "open watches", Value: func(p Point) float64 { return float64(p.Watches) }},
		{Name: "core % per daemon", Value: func(p Point) float64 { return percent * p.CPU }},
	})
}
