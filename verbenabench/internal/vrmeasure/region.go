package vrmeasure

import (
	"time"

	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenacore/vrid"
)

const _crossRegionLength = 2 * time.Minute

// crossRegion measures the billed cross-region bytes of a mixed load that could be served
// without other regions, and how saving them affects the latency of urgent requests.
func crossRegion(options Options, policy Policy) (Run, error) {
	s, err := newSimulation(options, policy)
	if err != nil {
		return Run{}, err
	}
	for _, l := range []requestLoad{
		{rank: vrid.RankUrgent, modelCount: _urgentModels, fraction: 0.3},
		{rank: vrid.RankNormal, modelCount: _normalModels, fraction: 0.1},
		{rank: vrid.RankDeferred, modelCount: _deferredModels, fraction: 0.1},
	} {
		s.startLoad(l, _steadyLength+_crossRegionLength)
	}
	s.Advance(_steadyLength)
	start, before := s.Now(), s.billedBytes()
	s.Advance(_crossRegionLength)
	end, after := s.Now(), s.billedBytes()
	s.Advance(_drainTime)
	run := Run{}
	total := vrid.Bytes(0)
	for _, rank := range vrid.Ranks() {
		total += after[rank] - before[rank]
	}
	urgent := s.summarize(vrid.RankUrgent, start, end)
	run.add("billed bytes", "MiB", float64(total)/float64(vrid.MiB), atMostRelative(1))
	run.add("billed bytes of urgent work", "MiB", float64(after[vrid.RankUrgent]-before[vrid.RankUrgent])/float64(vrid.MiB), nil)
	run.add("urgent p95 to the first token", "s", vrstat.Quantile(urgent.firstTokenTimes, 0.95), atMostRelative(1))
	run.add("urgent in target", "part", fraction(urgent.inTarget, urgent.sent), nil)
	run.Curves = []Curve{distribution("urgent", urgent.firstTokenTimes)}
	return run, nil
}

// billedBytes returns the sum of the daemons' cross-region byte counters by rank.
func (s *simulation) billedBytes() [vrid.RankCount]vrid.Bytes {
	var sum [vrid.RankCount]vrid.Bytes
	for _, d := range s.Daemons {
		if d.Process == nil {
			continue
		}
		for rank, bytes := range d.Process.State.CrossRegionBytes() {
			sum[rank] += bytes
		}
	}
	return sum
}
