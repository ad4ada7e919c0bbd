package vrquery

import (
	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
)

// Diff returns the differences between two configurations, described as in the changes of
// a command.
func Diff(before, after *vrconfig.Fleet) []Change {
	var changes []Change
	changes = append(changes, diffList("region", before.Regions, after.Regions, func(r *vrconfig.Region) string { return string(r.ID) }, _regionAttributes)...)
	changes = append(changes, diffList("pool", before.Pools, after.Pools, func(p *vrconfig.Pool) string { return string(p.ID) }, _poolAttributes)...)
	changes = append(changes, diffList("model", before.Models, after.Models, func(m *vrconfig.Model) string { return string(m.ID) }, _modelAttributes)...)
	changes = append(changes, diffList("adapter", before.Adapters, after.Adapters, func(a *vrconfig.Adapter) string { return string(a.ID) }, _adapterAttributes)...)
	changes = append(changes, diffList("service", before.Services, after.Services, func(s *vrconfig.Service) string { return string(s.ID) }, _serviceAttributes)...)
	changes = append(changes, diffList("kind", before.Kinds, after.Kinds, func(k *vrconfig.Kind) string { return string(k.ID) }, _kindAttributes)...)
	changes = append(changes, diffList("rank", before.Ranks, after.Ranks, func(r *vrconfig.RankPolicy) string { return r.Rank.String() }, _rankAttributes)...)
	changes = append(changes, diffList("caller", before.Callers, after.Callers, func(c *vrconfig.Caller) string { return string(c.ID) }, _callerAttributes)...)
	changes = append(changes, diffAttributes("weightStore", _weightStoreAttributes, &before.WeightStore, &after.WeightStore)...)
	changes = append(changes, diffAttributes("budget crossRegion", _budgetAttributes, &before.CrossRegion, &after.CrossRegion)...)
	changes = append(changes, diffAttributes("claims", _claimsAttributes, &before.Claims, &after.Claims)...)
	changes = append(changes, diffAttributes("record", _recordAttributes, &before.Record, &after.Record)...)
	return append(changes, diffDrained(before.Drained, after.Drained)...)
}

func diffList[T any](noun string, before, after []T, id func(*T) string, schema []attribute[T]) []Change {
	var changes []Change
	previous := make(map[string]*T, len(before))
	for i := range before {
		previous[id(&before[i])] = &before[i]
	}
	for i := range after {
		name := id(&after[i])
		changes = append(changes, diffAttributes(noun+" "+name, schema, previous[name], &after[i])...)
		delete(previous, name)
	}
	for i := range before {
		if name := id(&before[i]); previous[name] != nil {
			changes = append(changes, diffAttributes(noun+" "+name, schema, &before[i], nil)...)
		}
	}
	return changes
}

func diffDrained(before, after []vrid.ServerID) []Change {
	var changes []Change
	previous := make(map[vrid.ServerID]bool, len(before))
	for _, server := range before {
		previous[server] = true
	}
	for _, server := range after {
		if !previous[server] {
			changes = append(changes, Change{Path: "server " + string(server), After: "drained"})
		}
		delete(previous, server)
	}
	for _, server := range before {
		if previous[server] {
			changes = append(changes, Change{Path: "server " + string(server), Before: "drained"})
		}
	}
	return changes
}
