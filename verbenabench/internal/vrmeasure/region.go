package vrmeasure

import (
	"time"

	"verbenaroute.example/verbenabench/internal/vrstat"
	"verbenaroute.example/verbenacore/vrid"
)

const _crossLength = 2 * time.Minute

// crossRegion measures the billed bytes of a mixed load that needs no other region, and
// what urgent requests pay for the saving.
func crossRegion(options Options, policy Policy) (Run, error) {
	s, err := newSetting(options, policy)
	if err != nil {
		return Run{}, err
	}
	for _, l := range []load{
		{rank: vrid.RankUrgent, many: _manyUrgent, part: 0.3},
		{rank: vrid.RankNormal, many: _manyNormal, part: 0.1},
		{rank: vrid.RankDeferred, many: _manyDeferred, part: 0.1},
	} {
		s.stream(l, _calm+_crossLength)
	}
	s.Advance(_calm)
	from, before := s.Now(), s.billed()
	s.Advance(_crossLength)
	to, after := s.Now(), s.billed()
	s.Advance(_floodDrain)
	run := Run{}
	total := vrid.Bytes(0)
	for _, rank := range vrid.Ranks() {
		total += after[rank] - before[rank]
	}
	urgent := s.serviceOf(vrid.RankUrgent, from, to)
	run.add("billed bytes", "MiB", float64(total)/float64(vrid.MiB), relative(1))
	run.add("billed bytes of urgent work", "MiB", float64(after[vrid.RankUrgent]-before[vrid.RankUrgent])/float64(vrid.MiB), nil)
	run.add("urgent p95 to the first token", "s", vrstat.Quantile(urgent.firsts, 0.95), relative(1))
	run.add("urgent in target", "part", part(urgent.inTarget, urgent.sent), nil)
	run.Curves = []Curve{distribution("urgent", urgent.firsts)}
	return run, nil
}

// billed adds up what the daemons counted.
func (s *setting) billed() [vrid.RankCount]vrid.Bytes {
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
