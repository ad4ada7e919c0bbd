// Package vrslope measures how the cost of keeping things grows: the record with the
// requests, the claims with the calls that must not run twice, the memory with the
// declarations. It fits lines and extends them to the design scale.
package vrslope

import (
	"fmt"
	"io"
	"time"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenacore/vrjournal"
)

// RecordOptions of the measurement of the record.
type RecordOptions struct {
	// Rates are requests a second at one daemon.
	Rates []int
	// Periods are the ages at which a writer closes a block.
	Periods []time.Duration
	For     time.Duration
	Seed    uint64
	Out     io.Writer
}

// RecordPoint is one run of a group.
type RecordPoint struct {
	Rate     float64
	Period   time.Duration
	Requests int
	// Writes a second of the writer, and Stored bytes a second in its blocks.
	Writes float64
	Stored float64
	// Daemon and Writer are the sent and received bytes a second on sessions of the mean
	// daemon that is no writer, and of the writer.
	Daemon float64
	Writer float64
}

// Record measures every rate with every period, prints a table, the lines, and what the
// periods mean for the fleet.
func Record(options RecordOptions) ([]RecordPoint, error) {
	fmt.Fprintf(options.Out, "%d daemons and their writer, %s of virtual time, platform answers in %s, seed %d\n",
		groupSize, options.For, platformDelay, options.Seed)
	var all []RecordPoint
	for _, period := range options.Periods {
		points, err := recordPeriod(options, period)
		if err != nil {
			return nil, err
		}
		all = append(all, points...)
	}
	claims, err := designClaimWrites(options.Seed)
	if err != nil {
		return nil, err
	}
	printFleet(options, all, claims)
	return all, nil
}

func recordPeriod(options RecordOptions, period time.Duration) ([]RecordPoint, error) {
	fmt.Fprintf(options.Out, "\na block each %s\n%10s %10s %12s %12s %12s %12s %12s %12s\n", period,
		"req/s", "requests", "writes/1000", "bytes/1000", "writes/s", "blocks B/s", "daemon B/s", "writer B/s")
	var points []RecordPoint
	for _, rate := range options.Rates {
		point, err := recordPoint(options, rate, period)
		if err != nil {
			return nil, err
		}
		perSecond := point.Rate * groupSize
		fmt.Fprintf(options.Out, "%10.1f %10d %12.2f %12.0f %12.3f %12.0f %12.0f %12.0f\n", point.Rate, point.Requests,
			thousand*point.Writes/perSecond, thousand*point.Stored/perSecond, point.Writes, point.Stored, point.Daemon, point.Writer)
		points = append(points, point)
	}
	vrstat.PrintLines(options.Out, points, recordRate, designDaemonRate, []vrstat.Axis[RecordPoint]{
		{Name: "writes/s of a writer", Value: writesOf},
		{Name: "bytes/s in blocks", Value: func(p RecordPoint) float64 { return p.Stored }},
		{Name: "bytes/s at a daemon", Value: func(p RecordPoint) float64 { return p.Daemon }},
		{Name: "bytes/s at a writer", Value: func(p RecordPoint) float64 { return p.Writer }},
	})
	return points, nil
}

var recordRate = vrstat.Axis[RecordPoint]{Name: "req/s a daemon", Value: func(p RecordPoint) float64 { return p.Rate }}

func writesOf(p RecordPoint) float64 { return p.Writes }

func recordPoint(options RecordOptions, rate int, period time.Duration) (RecordPoint, error) {
	const models, adapters = 530, 8200
	traffic, err := NewTraffic(options.Seed, vrdeploy.Size{Models: models, Adapters: adapters})
	if err != nil {
		return RecordPoint{}, err
	}
	g := newGroup(options.Seed, traffic, period)
	g.run(rate, options.For)
	seconds := options.For.Seconds()
	point := RecordPoint{
		Rate: float64(g.requests) / groupSize / seconds, Period: period, Requests: g.requests,
		Writes: float64(g.writes) / seconds, Stored: float64(g.stored) / seconds,
		Writer: g.members[0].peerBytes / seconds,
	}
	for _, m := range g.members[1:] {
		point.Daemon += m.peerBytes / seconds / (groupSize - 1)
	}
	return point, g.err
}

// printFleet adds up the fleet's writes for each period.
func printFleet(options RecordOptions, points []RecordPoint, claims float64) {
	fmt.Fprintf(options.Out, "\nthe fleet at %.0f requests/s, %.0f daemons, %.0f writers, %.0f%% of the requests with a claim\n",
		designRate, designDaemons, designWriters, 100*designUnrepeatable)
	fmt.Fprintf(options.Out, "%8s %16s %10s %10s %12s\n", "period", "record writes/s", "leases/s", "claims/s", "together/s")
	for _, period := range options.Periods {
		var held []RecordPoint
		for _, p := range points {
			if p.Period == period {
				held = append(held, p)
			}
		}
		record := designWriters * vrstat.Fit(held, recordRate.Value, writesOf).At(designDaemonRate)
		fmt.Fprintf(options.Out, "%8s %16.0f %10.0f %10.0f %12.0f\n", period, record, designLeases, claims, record+designLeases+claims)
	}
	fmt.Fprintf(options.Out, "the rule of vrjournal.BlockAge: %d writers in a zone %s, %d writers %s, %d writers %s\n",
		1, vrjournal.BlockAge(1), designZoneWriters/2, vrjournal.BlockAge(designZoneWriters/2),
		designZoneWriters, vrjournal.BlockAge(designZoneWriters))
}
