package vrrecovery

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"verbenaroute.example/verbenabench/internal/vrpause"
	"verbenaroute.example/verbenabench/internal/vrstandin"
)

// Kinds of platform calls, as the virtual and the stand-in platform count them. The
// virtual one appends the object type, for example "read leases".
const (
	_kindRead  = "read"
	_kindWrite = "write"
	_kindList  = "list"
	_kindVMs   = "vms"
	_kindWatch = "watch"
	// _kindRefused counts refused calls, which also count under the kind of the call.
	_kindRefused = "refused"
)

// callSamples holds cumulative counts of platform calls, sampled at a fixed interval.
type callSamples struct {
	interval time.Duration
	counts   []map[string]int
}

// total returns the number of calls of each kind between the first and the last sample.
func (s *callSamples) total() map[string]int {
	return subtractCounts(s.counts[0], s.counts[len(s.counts)-1])
}

// peakPerSecond returns the highest number of calls within one second, for each kind and
// for all kinds together.
func (s *callSamples) peakPerSecond() (byKind map[string]int, all int) {
	byKind = make(map[string]int)
	second := int(time.Second / s.interval)
	for i := range s.counts {
		end := min(i+second, len(s.counts)-1)
		sum := 0
		for kind, count := range subtractCounts(s.counts[i], s.counts[end]) {
			byKind[kind] = max(byKind[kind], count)
			sum += count
		}
		all = max(all, sum)
	}
	return byKind, all
}

// maxPerSecond returns the highest number of calls of one kind within one second, for all
// object types together.
func (s *callSamples) maxPerSecond(kind string) int {
	second := int(time.Second / s.interval)
	worst := 0
	for i := range s.counts {
		sum := 0
		for name, count := range subtractCounts(s.counts[i], s.counts[min(i+second, len(s.counts)-1)]) {
			if first, _, _ := strings.Cut(name, " "); first == kind {
				sum += count
			}
		}
		worst = max(worst, sum)
	}
	return worst
}

// subtractCounts returns the calls counted between two samples, without the kinds that had
// none.
func subtractCounts(before, after map[string]int) map[string]int {
	counts := make(map[string]int, len(after))
	for kind, count := range after {
		if count > before[kind] {
			counts[kind] = count - before[kind]
		}
	}
	return counts
}

func formatCounts(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, counts[kind]))
	}
	return strings.Join(parts, ", ")
}

// callCounts returns the number of calls of each kind to the stand-in platform so far.
func (tb *testbed) callCounts() map[string]int {
	names := map[vrstandin.CallKind]string{
		vrstandin.CallGet: _kindRead, vrstandin.CallPut: _kindWrite, vrstandin.CallDelete: _kindWrite,
		vrstandin.CallList: _kindList, vrstandin.CallVMs: _kindVMs, vrstandin.CallWatch: _kindWatch,
		vrstandin.CallRefused: _kindRefused,
	}
	counts := make(map[string]int)
	for kind, count := range tb.fleet.World.Platform.Counters() {
		counts[names[kind]] += int(count)
	}
	return counts
}

// sampleCalls samples the stand-in platform's call counts for the given duration.
func (tb *testbed) sampleCalls(ctx context.Context, length time.Duration) *callSamples {
	samples := &callSamples{interval: _pollInterval, counts: []map[string]int{tb.callCounts()}}
	for end := time.Now().Add(length); time.Now().Before(end) && vrpause.For(ctx, samples.interval) == nil; {
		samples.counts = append(samples.counts, tb.callCounts())
	}
	return samples
}
