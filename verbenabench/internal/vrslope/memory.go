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

// MemoryOptions of the measurement of memory.
type MemoryOptions struct {
	// Declared are numbers of models and adapters together.
	Declared []int
	// Reducers is how many hold the same configuration at once, each its own copy.
	Reducers int
	Seed     uint64
	Out      io.Writer
}

// MemoryPoint is one size of the configuration.
type MemoryPoint struct {
	Declared int
	// Heap of one reducer, with its decoded configuration.
	Heap       vrid.Bytes
	Compressed vrid.Bytes
	Whole      vrid.Bytes
	// Decode is the median time to decode and check the document.
	Decode time.Duration
}

// Memory measures every size and prints a table and the lines.
func Memory(options MemoryOptions) ([]MemoryPoint, error) {
	fmt.Fprintf(options.Out, "mean of %d reducers, each with its own copy of the configuration\n%10s %12s %14s %12s %12s\n",
		options.Reducers, "declared", "heap bytes", "document", "compressed", "decode")
	var points []MemoryPoint
	for _, declared := range options.Declared {
		point, err := memoryPoint(options, declared)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(options.Out, "%10d %12d %14d %12d %12s\n", point.Declared, point.Heap, point.Whole, point.Compressed,
			point.Decode.Round(time.Microsecond))
		points = append(points, point)
	}
	const designDeclared = 8730
	by := vrstat.Axis[MemoryPoint]{Name: "declared", Value: func(p MemoryPoint) float64 { return float64(p.Declared) }}
	vrstat.PrintLines(options.Out, points, by, designDeclared, []vrstat.Axis[MemoryPoint]{
		{Name: "heap bytes of a reducer", Value: func(p MemoryPoint) float64 { return float64(p.Heap) }},
		{Name: "bytes of the document", Value: func(p MemoryPoint) float64 { return float64(p.Whole) }},
		{Name: "compressed bytes", Value: func(p MemoryPoint) float64 { return float64(p.Compressed) }},
		{Name: "ms to decode", Value: func(p MemoryPoint) float64 { return 1000 * p.Decode.Seconds() }},
	})
	return points, nil
}

func memoryPoint(options MemoryOptions, declared int) (MemoryPoint, error) {
	document, err := documentOf(declared)
	if err != nil {
		return MemoryPoint{}, err
	}
	plain, err := vrcodec.Decompress(document, vrcodec.MaxFleetBytes)
	if err != nil {
		return MemoryPoint{}, err
	}
	point := MemoryPoint{Declared: declared, Compressed: vrid.Bytes(len(document)), Whole: vrid.Bytes(len(plain))}
	// The first decoder keeps its buffers; they are not part of a reducer.
	if _, err := vrcodec.DecodeFleet(document); err != nil {
		return MemoryPoint{}, err
	}
	states := make([]*vrreducer.State, options.Reducers)
	times := make([]time.Duration, options.Reducers)
	before := heapInUse()
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
		states[i].Reduce(epoch, vrevent.Started{}, effects)
		states[i].Reduce(epoch, vrevent.ConfigSeen{Index: index, Document: bytes.Clone(document), Confirmed: true}, effects)
	}
	after := heapInUse()
	runtime.KeepAlive(states)
	point.Heap = vrid.Bytes((after - min(after, before)) / uint64(options.Reducers))
	slices.Sort(times)
	const median = 0.5
	point.Decode = vrstat.Quantile(times, median)
	return point, nil
}

// documentOf encodes a configuration with one model for each 15 adapters, as at the
// design scale.
func documentOf(declared int) ([]byte, error) {
	const modelPart = 16
	size := vrdeploy.Size{Models: max(declared/modelPart, 1)}
	size.Adapters = declared - size.Models
	deployment, err := vrdeploy.ByName(vrdeploy.Shuyuan, size)
	if err != nil {
		return nil, err
	}
	return vrcodec.EncodeFleet(&deployment.Fleet)
}

// heapInUse is the bytes of live objects. The second collection frees what finalizers
// of the first one released.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
