// Package vrslope measures how costs scale: record writes with the request rate, claim
// writes with the rate of calls that must not run twice, and reducer memory with the
// number of declared models and adapters. It fits lines to the results and extrapolates
// them to the design scale.
package vrslope

import (
	"fmt"
	"io"
	"time"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenacore/vrjournal"
)

// RecordOptions configures the measurement of record costs.
type RecordOptions struct {
	// Rates are the numbers of requests a second at one daemon, one run for each.
	Rates []int
	// Periods are the ages at which a writer closes a block.
	Periods []time.Duration
	// Duration is the virtual time of each run.
	Duration time.Duration
	Seed     uint64
	Out      io.Writer
}

// RecordPoint is the result of one run of a group.
type RecordPoint struct {
	Rate     float64
	Period   time.Duration
	Requests int
	// Writes is the platform writes a second of the writer, and BlockBytes the bytes a
	// second in its blocks.
	Writes     float64
	BlockBytes float64
	// DaemonBytes and WriterBytes are the bytes a second sent to and received from peers:
	// DaemonBytes is the mean of the daemons other than the writer, WriterBytes that of the
	// writer.
	DaemonBytes float64
	WriterBytes float64
}

// Record measures every rate with every period, and prints a table, the fitted lines and
// the fleet's writes for each period.
func Record(options RecordOptions) ([]RecordPoint, error) {
	fmt.Fprintf(options.Out, "%d daemons and their writer, %s of virtual time, platform answers in %s, seed %d\n",
		groupSize, options.Duration, platformLatency, options.Seed)
	var all []RecordPoint
	for _, period := range options.Periods {
		points, err := measurePeriod(options, period)
		if err != nil {
			return nil, err
		}
		all = append(all, points...)
	}
	claims, err := designClaimWrites(options.Seed)
	if err != nil {
		return nil, err
	}
	printFleetWrites(options, all, claims)
	return all, nil
}

func measurePeriod(options RecordOptions, period time.Duration) ([]RecordPoint, error) {
	fmt.Fprintf(options.Out, "\na block each %s\n%10s %10s %12s %12s %12s %12s %12s %12s\n", period,
		"req/s", "requests", "writes/1000", "bytes/1000", "writes/s", "blocks B/s", "daemon B/s", "writer B/s")
	var points []RecordPoint
	for _, rate := range options.Rates {
		point, err := measureRecord(options, rate, period)
		if err != nil {
			return nil, err
		}
		perSecond := point.Rate * groupSize
		fmt.Fprintf(options.Out, "%10.1f %10d %12.2f %12.0f %12.3f %12.0f %12.0f %12.0f\n", point.Rate, point.Requests,
			thousand*point.Writes/perSecond, thousand*point.BlockBytes/perSecond, point.Writes, point.BlockBytes, point.DaemonBytes, point.WriterBytes)
		points = append(points, point)
	}
	vrstat.PrintLines(options.Out, points, requestRateAxis, designDaemonRate, []vrstat.Axis[RecordPoint]{
		{Name: "writes/s of a writer", Value: recordWrites},
		{Name: "bytes/s in blocks", Value: func(p RecordPoint) float64 { return p.BlockBytes }},
		{Name: "bytes/s at a daemon", Value: func(p RecordPoint) float64 { return p.DaemonBytes }},
		{Name: "bytes/s at a writer", Value: func(p RecordPoint) float64 { return p.WriterBytes }},
	})
	return points, nil
}

var requestRateAxis = vrstat.Axis[RecordPoint]{Name: "req/s a daemon", Value: func(p RecordPoint) float64 { return p.Rate }}

func recordWrites(p RecordPoint) float64 { return p.Writes }

func measureRecord(options RecordOptions, rate int, period time.Duration) (RecordPoint, error) {
	const models, adapters = 530, 8200
	traffic, err := NewTraffic(options.Seed, vrdeploy.Size{Models: models, Adapters: adapters})
	if err != nil {
		return RecordPoint{}, err
	}
	g := newGroup(options.Seed, traffic, period)
	g.run(rate, options.Duration)
	seconds := options.Duration.Seconds()
	point := RecordPoint{
		Rate: float64(g.endedRequests) / groupSize / seconds, Period: period, Requests: g.endedRequests,
		Writes: float64(g.writes) / seconds, BlockBytes: float64(g.blockBytes) / seconds,
		WriterBytes: g.members[0].peerBytes / seconds,
	}
	for _, m := range g.members[1:] {
		point.DaemonBytes += m.peerBytes / seconds / (groupSize - 1)
	}
	return point, g.err
}

// printFleetWrites prints the fleet's platform writes at the design scale for each period.
func printFleetWrites(options RecordOptions, points []RecordPoint, claims float64) {
	fmt.Fprintf(options.Out, "\nthe fleet at %.0f requests/s, %.0f daemons, %.0f writers, %.0f%% of the requests with a claim\n",
		designRate, designDaemons, designWriters, 100*designClaimFraction)
	fmt.Fprintf(options.Out, "%8s %16s %10s %10s %12s\n", "period", "record writes/s", "leases/s", "claims/s", "together/s")
	for _, period := range options.Periods {
		var samePeriod []RecordPoint
		for _, p := range points {
			if p.Period == period {
				samePeriod = append(samePeriod, p)
			}
		}
		record := designWriters * vrstat.Fit(samePeriod, requestRateAxis.Value, recordWrites).At(designDaemonRate)
		fmt.Fprintf(options.Out, "%8s %16.0f %10.0f %10.0f %12.0f\n", period, record, designLeaseWrites, claims, record+designLeaseWrites+claims)
	}
	fmt.Fprintf(options.Out, "the rule of vrjournal.BlockAge: %d writers in a zone %s, %d writers %s, %d writers %s\n",
		1, vrjournal.BlockAge(1), designWritersPerZone/2, vrjournal.BlockAge(designWritersPerZone/2),
		designWritersPerZone, vrjournal.BlockAge(designWritersPerZone))
}
