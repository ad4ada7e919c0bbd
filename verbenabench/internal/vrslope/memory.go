package vrslope

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"verbenaroute.example/verbenabench/internal/vrdeploy"
	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenacore/vrcodec"
	"verbenaroute.example/verbenacore/vrevent"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrreducer"
)

// MemoryOptions configures the measurement of reducer memory.
type MemoryOptions struct {
	// Declared are the numbers of models and adapters together, one run for each.
	Declared []int
	// Reducers is the number of reducers held at once, each with its own copy of the
	// configuration.
	Reducers int
	Seed     uint64
	Out      io.Writer
}

// MemoryPoint is the result for one size of the configuration.
type MemoryPoint struct {
	Declared int
	// HeapBytes is the live heap of one reducer with its decoded configuration.
	// CompressedBytes and DocumentBytes are the size of the document before and after
	// decompression.
	HeapBytes       vrid.Bytes
	CompressedBytes vrid.Bytes
	DocumentBytes   vrid.Bytes
	// Decode is the median time to decode and validate the document.
	Decode time.Duration
}

// Memory measures every size and prints a table and the fitted lines.
func Memory(options MemoryOptions) ([]MemoryPoint, error) {
	fmt.Fprintf(options.Out, "mean of %d reducers, each with its own copy of the configuration\n%10s %12s %14s %12s %12s\n",
		options.Reducers, "declared", "heap bytes", "document", "compressed", "decode")
	var points []MemoryPoint
	for _, declared := range options.Declared {
		point, err := measureMemory(options, declared)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(options.Out, "%10d %12d %14d %12d %12s\n", point.Declared, point.HeapBytes, point.DocumentBytes, point.CompressedBytes,
			point.Decode.Round(time.Microsecond))
		points = append(points, point)
	}
	const designDeclared = 8730
	xAxis := vrstat.Axis[MemoryPoint]{Name: "declared", Value: func(p MemoryPoint) float64 { return float64(p.Declared) }}
	vrstat.PrintLines(options.Out, points, xAxis, designDeclared, []vrstat.Axis[MemoryPoint]{
		{Name: "heap bytes of a reducer", Value: func(p MemoryPoint) float64 { return float64(p.HeapBytes) }},
		{Name: "bytes of the document", Value: func(p MemoryPoint) float64 { return float64(p.DocumentBytes) }},
		{Name: "compressed bytes", Value: func(p MemoryPoint) float64 { return float64(p.CompressedBytes) }},
		{Name: "ms to decode", Value: func(p MemoryPoint) float64 { return 1000 * p.Decode.Seconds() }},
	})
	return points, nil
}

func measureMemory(options MemoryOptions, declared int) (MemoryPoint, error) {
	document, err := encodeDeployment(declared)
	if err != nil {
		return MemoryPoint{}, err
	}
	plain, err := vrcodec.Decompress(document, vrcodec.MaxFleetBytes)
	if err != nil {
		return MemoryPoint{}, err
	}
	point := MemoryPoint{Declared: declared, CompressedBytes: vrid.Bytes(len(document)), DocumentBytes: vrid.Bytes(len(plain))}
	// Decode once before the measurement: the first decoder keeps its buffers, which are
	// not part of a reducer.
	if _, err := vrcodec.DecodeFleet(document); err != nil {
		return MemoryPoint{}, err
	}
	states := make([]*vrreducer.State, options.Reducers)
	times := make([]time.Duration, options.Reducers)
	before := liveHeapBytes()
	for i := range states {
		started := time.Now()
		index, err := vrcodec.DecodeFleet(document)
		if err != nil {
			return MemoryPoint{}, err
		}
		times[i] = time.Since(started)
		states[i] = vrreducer.New(vrreducer.Options{
			Daemon: vrid.DaemonID(fmt.Sprintf("daemon-%d", i+1)), Boot: "01J00000000000000000000000", Zone: measuredZone,
			PeerAddress: "127.0.0.1:1", RandomSeed: options.Seed,
		})
		effects := &vrevent.Effects{}
		states[i].Reduce(startTime, vrevent.Started{}, effects)
		states[i].Reduce(startTime, vrevent.ConfigSeen{Index: index, Document: bytes.Clone(document), Confirmed: true}, effects)
	}
	after := liveHeapBytes()
	runtime.KeepAlive(states)
	point.HeapBytes = vrid.Bytes((after - min(after, before)) / uint64(options.Reducers))
	slices.Sort(times)
	const median = 0.5
	point.Decode = vrstat.Quantile(times, median)
	return point, nil
}

// encodeDeployment encodes a configuration with 15 adapters for each model, the ratio of
// the design scale.
func encodeDeployment(declared int) ([]byte, error) {
	const declaredPerModel = 16
	size := vrdeploy.Size{Models: max(declared/declaredPerModel, 1)}
	size.Adapters = declared - size.Models
	deployment, err := vrdeploy.ByName(vrdeploy.Shuyuan, size)
	if err != nil {
		return nil, err
	}
	return vrcodec.EncodeFleet(&deployment.Fleet)
}

// liveHeapBytes returns the size of the live objects. The second collection frees what
// the finalizers of the first one released.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
