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
	_kindRead    = "read"
	_kindWrite   = "write"
	_kindList    = "list"
	_kindVMs     = "vms"
	_kindWatch   = "watch"
	_kindRefused = "refused"
)

// meter holds cumulative counts of platform calls, sampled at a fixed interval.
type meter struct {
	interval time.Duration
	samples  []map[string]int
}

// total returns the number of calls of each kind.
func (m *meter) total() map[string]int { return difference(m.samples[0], m.samples[len(m.samples)-1]) }

// peak returns the highest number of calls within one second, by kind and over all kinds.
func (m *meter) peak() (byKind map[string]int, all int) {
	byKind = make(map[string]int)
	second := int(time.Second / m.interval)
	for i := range m.samples {
		end := min(i+second, len(m.samples)-1)
		sum := 0
		for kind, count := range difference(m.samples[i], m.samples[end]) {
			byKind[kind] = max(byKind[kind], count)
			sum += count
		}
		all = max(all, sum)
	}
	return byKind, all
}

// maxPerSecond returns the highest number of calls of one kind within one second, for all
// object types together.
func (m *meter) maxPerSecond(kind string) int {
	second := int(time.Second / m.interval)
	worst := 0
	for i := range m.samples {
		sum := 0
		for name, count := range difference(m.samples[i], m.samples[min(i+second, len(m.samples)-1)]) {
			if first, _, _ := strings.Cut(name, " "); first == kind {
				sum += count
			}
		}
		worst = max(worst, sum)
	}
	return worst
}

func difference(before, after map[string]int) map[string]int {
	counts := make(map[string]int, len(after))
	for kind, count := range after {
		if count > before[kind] {
			counts[kind] = count - before[kind]
		}
	}
	return counts
}

func describe(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, counts[kind]))
	}
	return strings.Join(parts, ", ")
}

// counters returns the number of calls of each kind to the stand-in platform so far.
func (s *testbed) counters() map[string]int {
	names := map[vrstandin.CallKind]string{
		vrstandin.CallGet: _kindRead, vrstandin.CallPut: _kindWrite, vrstandin.CallDelete: _kindWrite,
		vrstandin.CallList: _kindList, vrstandin.CallVMs: _kindVMs, vrstandin.CallWatch: _kindWatch,
		vrstandin.CallRefused: _kindRefused,
	}
	counts := make(map[string]int)
	for kind, count := range s.fleet.World.Platform.Counters() {
		counts[names[kind]] += int(count)
	}
	return counts
}

// measure samples the platform's counters for the given duration.
func (s *testbed) measure(ctx context.Context, length time.Duration) *meter {
	m := &meter{interval: _pollInterval, samples: []map[string]int{s.counters()}}
	for end := time.Now().Add(length); time.Now().Before(end) && vrpause.For(ctx, m.interval) == nil; {
		m.samples = append(m.samples, s.counters())
	}
	return m
}
