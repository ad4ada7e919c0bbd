// Package vrcost measures what control costs a daemon: messages, bytes, calls of the
// platform and processor time, at several sizes of a zone, with the daemons' own
// reducers in virtual time. It fits a line through the points and extrapolates.
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

// Options of a measurement.
type Options struct {
	// Daemons are the sizes of one zone; each has ServersPerDaemon servers a daemon.
	Daemons          []int
	ServersPerDaemon int
	// Zones are the numbers of zones with three daemons and servers each.
	Zones []int
	// For is the virtual time of a run after its start.
	For  time.Duration
	Seed uint64
	Out  io.Writer
}

// Point is one run.
type Point struct {
	Daemons int `json:"daemons"`
	Servers int `json:"servers"`
	Zones   int `json:"zones"`
	// OwnerBytes, InnerBytes and LeafBytes are received and sent bytes a second of the
	// zone's owner, of the busiest daemon with children, and of the mean of the others.
	OwnerBytes float64 `json:"ownerBytes"`
	InnerBytes float64 `json:"innerBytes"`
	LeafBytes  float64 `json:"leafBytes"`
	// Messages a second of one daemon, sent and received.
	Messages float64 `json:"messages"`
	// Reads and Writes of the platform a second by all daemons; Watches wait.
	Reads   float64 `json:"reads"`
	Writes  float64 `json:"writes"`
	Watches int     `json:"watches"`
	// Polls a second of one daemon.
	Polls float64 `json:"polls"`
	// CPU is the part of a core for one daemon, with the fakes' own time in it.
	CPU float64 `json:"cpu"`
}

// counter counts the effects of each daemon.
type counter struct {
	active   bool
	sent     map[vrid.DaemonID]float64
	received map[vrid.DaemonID]float64
	parents  map[vrid.DaemonID]bool
	watches  map[vrid.DaemonID]bool
	messages float64
	reads    float64
	writes   float64
	polls    float64
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
		sent:     make(map[vrid.DaemonID]float64),
		received: make(map[vrid.DaemonID]float64),
		parents:  make(map[vrid.DaemonID]bool),
		watches:  make(map[vrid.DaemonID]bool),
	}
}

// frameHeader is the length that precedes each envelope, and yamux' own header.
const frameHeader = 4 + 12

// FrameSize is what an envelope takes on a session between daemons.
func FrameSize(envelope *vrwire.Envelope) (float64, error) {
	data, err := vrwire.Marshal(envelope)
	return float64(len(data) + frameHeader), err
}

// Effect counts one effect.
func (c *counter) Effect(p *vrworld.Process, effect vrevent.Effect) {
	if watch, ok := effect.(vrevent.WatchConfig); ok {
		c.watches[p.Daemon.ID] = watch.On
	}
	if !c.active {
		return
	}
	switch e := effect.(type) {
	case vrevent.SendPeer:
		c.message(p.Daemon.ID, e)
	case vrevent.ReadObject, vrevent.ListObjects, vrevent.ListVMs:
		c.reads++
	case vrevent.WriteObject:
		c.writes++
	case vrevent.PollServer:
		c.polls++
	}
}

func (c *counter) message(from vrid.DaemonID, effect vrevent.SendPeer) {
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
		c.parents[from] = true
	}
}

// settleTime is the virtual time until leases, views and reports are steady.
const settleTime = 15 * time.Second

// measure runs an idle deployment and counts.
func measure(options Options, zones, daemons, servers int) Point {
	count := newCounter()
	world := vrworld.New(vrworld.Options{
		Seed: options.Seed, Zones: zones, DaemonsPerZone: daemons, ServersPerZone: servers, Observer: count,
	})
	world.Advance(settleTime)
	count.active = true
	before := processorTime()
	world.Advance(options.For)
	used := processorTime() - before
	return count.point(world, options.For.Seconds(), used)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (c *counter) point(world *vrworld.World, seconds float64, used time.Duration) Point {
	total := float64(len(world.Daemons))
	point := Point{
		Daemons: len(world.Daemons), Servers: len(world.Engines), Zones: world.Options.Zones,
		Messages: c.messages / total / seconds, Reads: c.reads / seconds, Writes: c.writes / seconds,
		Polls: c.polls / total / seconds, CPU: used.Seconds() / total / seconds,
	}
	leaves := 0.0
	for _, daemon := range world.Daemons {
		bytes := (c.sent[daemon.ID] + c.received[daemon.ID]) / seconds
		if c.watches[daemon.ID] {
			point.Watches++
		}
		switch {
		case daemon.Process.State.Status().Holding:
			point.OwnerBytes = max(point.OwnerBytes, bytes)
		case c.parents[daemon.ID]:
			point.InnerBytes = max(point.InnerBytes, bytes)
		default:
			leaves++
			point.LeafBytes += bytes
		}
	}
	if leaves > 0 {
		point.LeafBytes /= leaves
	}
	return point
}

// Run measures every point, prints the tables and the fitted lines.
func Run(options Options) []Point {
	var points []Point
	fmt.Fprintf(options.Out, "one zone, %d servers a daemon, idle, %s of virtual time, seed %d\n",
		options.ServersPerDaemon, options.For, options.Seed)
	header(options.Out)
	for _, daemons := range options.Daemons {
		point := measure(options, 1, daemons, daemons*options.ServersPerDaemon)
		row(options.Out, point)
		points = append(points, point)
	}
	const designDaemons = 100
	fit(options.Out, points, "daemons in the zone", designDaemons, func(p Point) float64 { return float64(p.Daemons) })
	fmt.Fprintf(options.Out, "\nzones of three daemons and three servers\n")
	header(options.Out)
	var zoned []Point
	for _, zones := range options.Zones {
		point := measure(options, zones, 3, 3)
		row(options.Out, point)
		zoned = append(zoned, point)
	}
	const designZones = 21
	fit(options.Out, zoned, "zones", designZones, func(p Point) float64 { return float64(p.Zones) })
	return append(points, zoned...)
}

func header(out io.Writer) {
	fmt.Fprintf(out, "%8s %8s %6s %10s %10s %10s %8s %8s %8s %8s %8s %8s\n", "daemons", "servers", "zones",
		"owner B/s", "inner B/s", "leaf B/s", "msg/s", "reads/s", "writes/s", "watches", "polls/s", "core %")
}

func row(out io.Writer, p Point) {
	const percent = 100
	fmt.Fprintf(out, "%8d %8d %6d %10.0f %10.0f %10.0f %8.2f %8.2f %8.2f %8d %8.2f %8.3f\n", p.Daemons, p.Servers, p.Zones,
		p.OwnerBytes, p.InnerBytes, p.LeafBytes, p.Messages, p.Reads, p.Writes, p.Watches, p.Polls, percent*p.CPU)
}

// fit prints the line through the points of each column and its value at a size.
func fit(out io.Writer, points []Point, by string, at float64, x func(Point) float64) {
	const percent = 100
	vrstat.PrintLines(out, points, vrstat.Axis[Point]{Name: by, Value: x}, at, []vrstat.Axis[Point]{
		{Name: "owner bytes/s", Value: func(p Point) float64 { return p.OwnerBytes }},
		{Name: "inner bytes/s", Value: func(p Point) float64 { return p.InnerBytes }},
		{Name: "leaf bytes/s", Value: func(p Point) float64 { return p.LeafBytes }},
		{Name: "messages/s a daemon", Value: func(p Point) float64 { return p.Messages }},
		{Name: "platform reads/s", Value: func(p Point) float64 { return p.Reads }},
		{Name: "platform writes/s", Value: func(p Point) float64 { return p.Writes }},
		{Name: "waiting watches", Value: func(p Point) float64 { return float64(p.Watches) }},
		{Name: "core % a daemon", Value: func(p Point) float64 { return percent * p.CPU }},
	})
}
