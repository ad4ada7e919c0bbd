package vrquery

import (
	"cmp"
	"slices"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// State is the live state as one daemon sees it.
type State struct {
	Fleet   *vrconfig.Fleet     `json:"fleet,omitempty"`
	Zones   []ZoneState         `json:"zones"`
	Daemons []DaemonState       `json:"daemons"`
	Servers []vrwire.ServerItem `json:"servers"`
}

// ZoneState is what is known of a zone.
type ZoneState struct {
	Zone   vrid.ZoneID        `json:"zone"`
	Owner  vrid.DaemonID      `json:"owner"`
	Epoch  vrid.Epoch         `json:"epoch"`
	Config vrid.ConfigVersion `json:"config"`
	// InForce is the version that all live members of the zone hold.
	InForce   vrid.ConfigVersion `json:"inForce"`
	Reachable bool               `json:"reachable"`
}

// DaemonState is one daemon.
type DaemonState struct {
	Zone   vrid.ZoneID        `json:"zone"`
	Member vrwire.MemberItem  `json:"member"`
	Config vrid.ConfigVersion `json:"config"`
}

func (s *State) fleet() *vrconfig.Fleet {
	if s == nil || s.Fleet == nil {
		return &vrconfig.Fleet{}
	}
	return s.Fleet
}

func (s *State) pool(id vrid.PoolID) *vrconfig.Pool {
	pools := s.fleet().Pools
	at := slices.IndexFunc(pools, func(p vrconfig.Pool) bool { return p.ID == id })
	if at < 0 {
		return nil
	}
	return &pools[at]
}

func sortedBurnKeys(counts map[burnKey][][2]burnCount) []burnKey {
	keys := make([]burnKey, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b burnKey) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.model, b.model))
	})
	return keys
}

var _serverStates = map[vrwire.ServerState]string{
	vrwire.ServerLive:        "live",
	vrwire.ServerLeaving:     "leaving",
	vrwire.ServerDrained:     "drained",
	vrwire.ServerUnreachable: "unreachable",
	vrwire.ServerGone:        "gone",
}

var _memberStates = map[vrwire.MemberState]string{
	vrwire.MemberAlive:   "alive",
	vrwire.MemberSuspect: "suspect",
	vrwire.MemberLeaving: "leaving",
	vrwire.MemberRemoved: "removed",
}

// stateTable is a table over the live state.
func stateTable[T any](columns []column[T], sums []string, list func(*State) []T) *table[T] {
	t := &table[T]{columns: columns, sums: sums, order: columns[0].name, state: true, back: defaultSince}
	t.standard = t.names()
	t.rows = func(r *runner, yield func(*T) bool) error {
		rows := list(r.state)
		for i := range rows {
			if !yield(&rows[i]) {
				break
			}
		}
		return nil
	}
	return t
}

func texts[T any, V ~string](name string, get func(*T) V) column[T] {
	return column[T]{name: name, kind: KindText, get: func(row *T) Cell { return textCell(get(row)) }}
}

func numbers[T any, V ~int | ~uint32 | ~uint64](name string, get func(*T) V) column[T] {
	return column[T]{name: name, kind: KindNumber, get: func(row *T) Cell { return numberCell(get(row)) }}
}

type replicaRow struct {
	server *vrwire.ServerItem
	item   *vrwire.ReplicaItem
}

var _replicaTable = stateTable([]column[replicaRow]{
	texts("model", func(r *replicaRow) vrid.ModelID { return r.item.Model }),
	texts("zone", func(r *replicaRow) vrid.ZoneID { return r.server.Zone }),
	texts("server", func(r *replicaRow) vrid.ServerID { return r.server.Server }),
	texts("state", func(r *replicaRow) string { return r.item.State.String() }),
	numbers("adapters", func(r *replicaRow) int { return len(r.item.Adapters) }),
	{name: "readyAt", kind: KindTime, get: func(r *replicaRow) Cell { return millisCell(r.item.ReadyAt) }},
}, nil, func(s *State) []replicaRow {
	var rows []replicaRow
	for i := range s.Servers {
		for j := range s.Servers[i].Replicas {
			rows = append(rows, replicaRow{server: &s.Servers[i], item: &s.Servers[i].Replicas[j]})
		}
	}
	return rows
})

var _serverTable = stateTable([]column[vrwire.ServerItem]{
	texts("server", func(s *vrwire.ServerItem) vrid.ServerID { return s.Server }),
	texts("pool", func(s *vrwire.ServerItem) vrid.PoolID { return s.Pool }),
	texts("zone", func(s *vrwire.ServerItem) vrid.ZoneID { return s.Zone }),
	texts("state", func(s *vrwire.ServerItem) string { return _serverStates[s.State] }),
	numbers("running", func(s *vrwire.ServerItem) uint32 { return s.Running }),
	numbers("waiting", func(s *vrwire.ServerItem) uint32 { return s.Waiting }),
	numbers("slots", func(s *vrwire.ServerItem) uint32 { return s.Slots }),
	numbers("replicas", func(s *vrwire.ServerItem) int { return len(s.Replicas) }),
	texts("address", func(s *vrwire.ServerItem) string { return s.Address }),
}, []string{"running", "waiting", "slots", "replicas"}, func(s *State) []vrwire.ServerItem { return s.Servers })

var _daemonTable = stateTable([]column[DaemonState]{
	texts("daemon", func(d *DaemonState) vrid.DaemonID { return d.Member.Daemon }),
	texts("zone", func(d *DaemonState) vrid.ZoneID { return d.Zone }),
	texts("state", func(d *DaemonState) string { return _memberStates[d.Member.State] }),
	numbers("config", func(d *DaemonState) vrid.ConfigVersion { return d.Config }),
	numbers("opened", func(d *DaemonState) uint64 { return d.Member.Opened }),
	texts("peer", func(d *DaemonState) string { return d.Member.Peer }),
	texts("boot", func(d *DaemonState) vrid.BootID { return d.Member.Boot }),
}, []string{"opened"}, func(s *State) []DaemonState { return s.Daemons })

var _zoneTable = stateTable([]column[ZoneState]{
	texts("zone", func(z *ZoneState) vrid.ZoneID { return z.Zone }),
	texts("owner", func(z *ZoneState) vrid.DaemonID { return z.Owner }),
	numbers("epoch", func(z *ZoneState) vrid.Epoch { return z.Epoch }),
	numbers("config", func(z *ZoneState) vrid.ConfigVersion { return z.Config }),
	numbers("inForce", func(z *ZoneState) vrid.ConfigVersion { return z.InForce }),
	texts("reachable", func(z *ZoneState) string { return yesNo(z.Reachable) }),
}, nil, func(s *State) []ZoneState { return s.Zones })

var _modelTable = stateTable([]column[vrconfig.Model]{
	texts("model", func(m *vrconfig.Model) vrid.ModelID { return m.ID }),
	texts("pool", func(m *vrconfig.Model) vrid.PoolID { return m.Pool }),
	texts("kind", func(m *vrconfig.Model) vrid.KindID { return m.Kind }),
	{name: "memory", kind: KindBytes, get: func(m *vrconfig.Model) Cell { return numberCell(int64(m.Memory)) }},
	{name: "load", kind: KindDuration, get: func(m *vrconfig.Model) Cell { return numberCell(m.LoadTime.Std().Seconds()) }},
	numbers("replicas", func(m *vrconfig.Model) int { return m.ReplicasPerZone }),
	texts("zones", func(m *vrconfig.Model) string { return joinIDs(m.Zones) }),
}, []string{"memory", "replicas"}, func(s *State) []vrconfig.Model { return s.fleet().Models })
