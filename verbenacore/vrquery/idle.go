package vrquery

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// idleResolution is the length of a time step in which a server counts as busy or not. At
// design scale (6,100 servers, one day) the bitmaps take 6.6 MB.
const idleResolution = 10 * time.Second

// idleRow holds how long a server had a model loaded, and how much of that time it was
// busy or idle.
type idleRow struct {
	server       vrid.ServerID
	pool         vrid.PoolID
	zone         vrid.ZoneID
	accelerators int
	loaded       time.Duration
	busy         time.Duration
	idle         time.Duration
}

func (i *idleRow) acceleratorHours(d time.Duration) Cell {
	return numberCell(d.Hours() * float64(i.accelerators))
}

var _idleTable = &table[idleRow]{
	columns: []column[idleRow]{
		{name: "server", kind: KindText, get: func(i *idleRow) Cell { return textCell(i.server) }},
		{name: "pool", kind: KindText, get: func(i *idleRow) Cell { return textCell(i.pool) }},
		{name: "zone", kind: KindText, get: func(i *idleRow) Cell { return textCell(i.zone) }},
		{name: "accelerators", kind: KindNumber, get: func(i *idleRow) Cell { return numberCell(i.accelerators) }},
		{name: "loadedHours", kind: KindNumber, get: func(i *idleRow) Cell { return i.acceleratorHours(i.loaded) }},
		{name: "busyHours", kind: KindNumber, get: func(i *idleRow) Cell { return i.acceleratorHours(i.busy) }},
		{name: "idleHours", kind: KindNumber, get: func(i *idleRow) Cell { return i.acceleratorHours(i.idle) }},
	},
	defaultColumns:  []string{"server", "pool", "zone", "accelerators", "loadedHours", "busyHours", "idleHours"},
	sumColumns:      []string{"accelerators", "loadedHours", "busyHours", "idleHours"},
	order:           "idleHours",
	orderDesc:       true,
	defaultLookback: day,
	rows:            idleRows,
}

// loadChange is a change of the number of loaded replicas at a Unix time in milliseconds.
type loadChange struct {
	at    int64
	delta int
}

// serverUsage is the activity of a server in the time range of a query.
type serverUsage struct {
	// busy is a bitmap with one bit for each time step.
	busy    []uint64
	changes []loadChange
}

const bitsPerWord = 64

func (u *serverUsage) markBusy(first, last int) {
	for step := first; step <= last; step++ {
		u.busy[step/bitsPerWord] |= 1 << (step % bitsPerWord)
	}
}

func (u *serverUsage) isBusy(step int) bool {
	return u.busy[step/bitsPerWord]&(1<<(step%bitsPerWord)) != 0
}

// idleRows computes the time in which a server had a model loaded and served no request.
// The replicas at the start of the time range are derived from the current replicas and
// the loads and unloads recorded since.
func idleRows(e *execution, yield func(*idleRow) bool) error {
	steps := int(e.timeRange.Until.Sub(e.timeRange.From)/idleResolution) + 1
	usages := make(map[vrid.ServerID]*serverUsage)
	for i := range e.state.Servers {
		usages[e.state.Servers[i].Server] = &serverUsage{busy: make([]uint64, steps/bitsPerWord+1)}
	}
	err := e.source.Entries(e.timeRange, func(entry *vrrecord.Entry) bool {
		usage := usages[entry.Server]
		if usage == nil {
			return true
		}
		switch entry.Kind {
		case vrrecord.EntryLoad:
			usage.changes = append(usage.changes, loadChange{at: entry.At, delta: 1})
		case vrrecord.EntryUnload:
			usage.changes = append(usage.changes, loadChange{at: entry.At, delta: -1})
		case vrrecord.EntryAnswered:
			ran := time.Duration(entry.Total-entry.Queued) * time.Microsecond
			last := e.stepAt(time.UnixMilli(entry.At), steps)
			usage.markBusy(e.stepAt(time.UnixMilli(entry.At).Add(-ran), steps), last)
		default:
		}
		return true
	})
	for i := range e.state.Servers {
		if row, ok := e.newIdleRow(&e.state.Servers[i], usages[e.state.Servers[i].Server], steps); ok && !yield(row) {
			break
		}
	}
	return err
}

// stepAt returns the time step that contains at, limited to the range of the query.
func (e *execution) stepAt(at time.Time, steps int) int {
	return min(max(int(at.Sub(e.timeRange.From)/idleResolution), 0), steps-1)
}

// newIdleRow sums the steps in which a server was busy or idle with a model loaded. It
// returns false for a server without accelerators.
func (e *execution) newIdleRow(server *vrwire.ServerItem, usage *serverUsage, steps int) (*idleRow, bool) {
	pool := e.state.pool(server.Pool)
	if pool == nil || pool.Accelerators == 0 {
		return nil, false
	}
	row := &idleRow{server: server.Server, pool: server.Pool, zone: server.Zone, accelerators: pool.Accelerators}
	slices.SortFunc(usage.changes, func(a, b loadChange) int { return cmp.Compare(a.at, b.at) })
	replicas := loadedReplicas(server)
	for _, change := range usage.changes {
		replicas -= change.delta
	}
	nextChange := 0
	for step := range steps {
		end := e.timeRange.From.Add(time.Duration(step+1) * idleResolution).UnixMilli()
		for nextChange < len(usage.changes) && usage.changes[nextChange].at < end {
			replicas += usage.changes[nextChange].delta
			nextChange++
		}
		switch {
		case usage.isBusy(step):
			row.busy += idleResolution
			row.loaded += idleResolution
		case replicas > 0:
			row.idle += idleResolution
			row.loaded += idleResolution
		}
	}
	return row, true
}

func loadedReplicas(server *vrwire.ServerItem) int {
	count := 0
	for _, replica := range server.Replicas {
		if replica.State == vrwire.ReplicaLoaded {
			count++
		}
	}
	return count
}
