package vrquery

import (
	"cmp"
	"slices"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// State is the live state of the fleet as seen by one daemon.
type State struct {
	Fleet   *vrconfig.Fleet     `json:"fleet,omitempty"`
	Zones   []ZoneState         `json:"zones"`
	Daemons []DaemonState       `json:"daemons"`
	Servers []vrwire.ServerItem `json:"servers"`
}

// ZoneState is the state of a zone: its placement owner, the owner's epoch and its
// configuration version.
type ZoneState struct {
	Zone   vrid.ZoneID        `json:"zone"`
	Owner  vrid.DaemonID      `json:"owner"`
	Epoch  vrid.Epoch         `json:"epoch"`
	Config vrid.ConfigVersion `json:"config"`
	// InForce is the configuration version that all live members of the zone hold.
	InForce   vrid.ConfigVersion `json:"inForce"`
	Reachable bool               `json:"reachable"`
}

// DaemonState is the membership state and the configuration version of one daemon.
type DaemonState struct {
	Zone   vrid.ZoneID        `json:"zone"`
	Member vrwire.MemberItem  `json:"member"`
	Config vrid.ConfigVersion `json:"config"`
}

// fleet returns the configuration, or an empty one if none is known.
func (s *State) fleet() *vrconfig.Fleet {
	if s == nil || s.Fleet == nil {
		return &vrconfig.Fleet{}
	}
	return s.Fleet
}

func (s *State) pool(id vrid.PoolID) *vrconfig.Pool {
	pools := s.fleet().Pools
	index := slices.IndexFunc(pools, func(p vrconfig.Pool) bool { return p.ID == id })
	if index < 0 {
		return nil
	}
	return &pools[index]
}

func sortedBurnKeys(counts map[burnKey][][2]requestCounts) []burnKey {
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

// stateTable returns a table over the live state, sorted by its first column.
func stateTable[T any](columns []column[T], sums []string, list func(*State) []T) *table[T] {
	t := &table[T]{columns: columns, sumColumns: sums, order: columns[0].name, isLive: true, defaultLookback: defaultLookback}
	t.defaultColumns = t.columnNames()
	t.rows = func(e *execution, yield func(*T) bool) error {
		rows := list(e.state)
		for i := range rows {
			if !yield(&rows[i]) {
				break
			}
		}
		return nil
	}
	return t
}

func textColumn[T any, V ~string](name string, get func(*T) V) column[T] {
	return column[T]{name: name, kind: KindText, get: func(row *T) Cell { return textCell(get(row)) }}
}

func numberColumn[T any, V ~int | ~uint32 | ~uint64](name string, get func(*T) V) column[T] {
	return column[T]{name: name, kind: KindNumber, get: func(row *T) Cell { return numberCell(get(row)) }}
}

// replicaRow is a replica and the server that holds it.
type replicaRow struct {
	server *vrwire.ServerItem
	item   *vrwire.ReplicaItem
}

var _replicaTable = stateTable([]column[replicaRow]{
	textColumn("model", func(r *replicaRow) vrid.ModelID { return r.item.Model }),
	textColumn("zone", func(r *replicaRow) vrid.ZoneID { return r.server.Zone }),
	textColumn("server", func(r *replicaRow) vrid.ServerID { return r.server.Server }),
	textColumn("state", func(r *replicaRow) string { return r.item.State.String() }),
	numberColumn("adapters", func(r *replicaRow) int { return len(r.item.Adapters) }),
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
	textColumn("server", func(s *vrwire.ServerItem) vrid.ServerID { return s.Server }),
	textColumn("pool", func(s *vrwire.ServerItem) vrid.PoolID { return s.Pool }),
	textColumn("zone", func(s *vrwire.ServerItem) vrid.ZoneID { return s.Zone }),
	textColumn("state", func(s *vrwire.ServerItem) string { return _serverStates[s.State] }),
	numberColumn("running", func(s *vrwire.ServerItem) uint32 { return s.Running }),
	numberColumn("waiting", func(s *vrwire.ServerItem) uint32 { return s.Waiting }),
	numberColumn("slots", func(s *vrwire.ServerItem) uint32 { return s.Slots }),
	numberColumn("replicas", func(s *vrwire.ServerItem) int { return len(s.Replicas) }),
	textColumn("address", func(s *vrwire.ServerItem) string { return s.Address }),
}, []string{"running", "waiting", "slots", "replicas"}, func(s *State) []vrwire.ServerItem { return s.Servers })

var _daemonTable = stateTable([]column[DaemonState]{
	textColumn("daemon", func(d *DaemonState) vrid.DaemonID { return d.Member.Daemon }),
	textColumn("zone", func(d *DaemonState) vrid.ZoneID { return d.Zone }),
	textColumn("state", func(d *DaemonState) string { return _memberStates[d.Member.State] }),
	numberColumn("config", func(d *DaemonState) vrid.ConfigVersion { return d.Config }),
	numberColumn("opened", func(d *DaemonState) uint64 { return d.Member.Opened }),
	textColumn("peer", func(d *DaemonState) string { return d.Member.Peer }),
	textColumn("boot", func(d *DaemonState) vrid.BootID { return d.Member.Boot }),
}, []string{"opened"}, func(s *State) []DaemonState { return s.Daemons })

var _zoneTable = stateTable([]column[ZoneState]{
	textColumn("zone", func(z *ZoneState) vrid.ZoneID { return z.Zone }),
	textColumn("owner", func(z *ZoneState) vrid.DaemonID { return z.Owner }),
	numberColumn("epoch", func(z *ZoneState) vrid.Epoch { return z.Epoch }),
	numberColumn("config", func(z *ZoneState) vrid.ConfigVersion { return z.Config }),
	numberColumn("inForce", func(z *ZoneState) vrid.ConfigVersion { return z.InForce }),
	textColumn("reachable", func(z *ZoneState) string { return formatBool(z.Reachable) }),
}, nil, func(s *State) []ZoneState { return s.Zones })

var _modelTable = stateTable([]column[vrconfig.Model]{
	textColumn("model", func(m *vrconfig.Model) vrid.ModelID { return m.ID }),
	textColumn("pool", func(m *vrconfig.Model) vrid.PoolID { return m.Pool }),
	textColumn("kind", func(m *vrconfig.Model) vrid.KindID { return m.Kind }),
	{name: "memory", kind: KindBytes, get: func(m *vrconfig.Model) Cell { return numberCell(int64(m.Memory)) }},
	{name: "load", kind: KindDuration, get: func(m *vrconfig.Model) Cell { return numberCell(m.LoadTime.Std().Seconds()) }},
	numberColumn("replicas", func(m *vrconfig.Model) int { return m.ReplicasPerZone }),
	textColumn("zones", func(m *vrconfig.Model) string { return joinIDs(m.Zones) }),
}, []string{"memory", "replicas"}, func(s *State) []vrconfig.Model { return s.fleet().Models })
