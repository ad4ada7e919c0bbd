package vrquery

import (
	"cmp"
	"slices"
	"time"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// idleStep is the resolution of idle time. At design scale (6,100 servers, one day)
// the marks take 6.6 MB.
const idleStep = 10 * time.Second

// idleRow says how long a server's accelerators held a model without working.
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
	standard: []string{"server", "pool", "zone", "accelerators", "loadedHours", "busyHours", "idleHours"},
	sums:     []string{"accelerators", "loadedHours", "busyHours", "idleHours"},
	order:    "idleHours",
	desc:     true,
	back:     day,
	rows:     idleRows,
}

type loadChange struct {
	at    int64
	delta int
}

type serverUse struct {
	busy    []uint64
	changes []loadChange
}

const wordBits = 64

func (u *serverUse) mark(first, last int) {
	for step := first; step <= last; step++ {
		u.busy[step/wordBits] |= 1 << (step % wordBits)
	}
}

func (u *serverUse) isBusy(step int) bool { return u.busy[step/wordBits]&(1<<(step%wordBits)) != 0 }

// idleRows finds the time in which a server held a model and ran nothing. What was
// loaded before the range follows from the present replicas and the loads and unloads
// since.
func idleRows(r *runner, yield func(*idleRow) bool) error {
	steps := int(r.within.Until.Sub(r.within.From)/idleStep) + 1
	uses := make(map[vrid.ServerID]*serverUse)
	for i := range r.state.Servers {
		uses[r.state.Servers[i].Server] = &serverUse{busy: make([]uint64, steps/wordBits+1)}
	}
	err := r.source.Entries(r.within, func(entry *vrrecord.Entry) bool {
		use := uses[entry.Server]
		if use == nil {
			return true
		}
		switch entry.Kind {
		case vrrecord.EntryLoad:
			use.changes = append(use.changes, loadChange{at: entry.At, delta: 1})
		case vrrecord.EntryUnload:
			use.changes = append(use.changes, loadChange{at: entry.At, delta: -1})
		case vrrecord.EntryAnswered:
			ran := time.Duration(entry.Total-entry.Queued) * time.Microsecond
			last := r.step(time.UnixMilli(entry.At), steps)
			use.mark(r.step(time.UnixMilli(entry.At).Add(-ran), steps), last)
		default:
		}
		return true
	})
	for i := range r.state.Servers {
		if row, ok := r.idle(&r.state.Servers[i], uses[r.state.Servers[i].Server], steps); ok && !yield(row) {
			break
		}
	}
	return err
}

func (r *runner) step(at time.Time, steps int) int {
	return min(max(int(at.Sub(r.within.From)/idleStep), 0), steps-1)
}

func (r *runner) idle(server *vrwire.ServerItem, use *serverUse, steps int) (*idleRow, bool) {
	pool := r.state.pool(server.Pool)
	if pool == nil || pool.Accelerators == 0 {
		return nil, false
	}
	row := &idleRow{server: server.Server, pool: server.Pool, zone: server.Zone, accelerators: pool.Accelerators}
	slices.SortFunc(use.changes, func(a, b loadChange) int { return cmp.Compare(a.at, b.at) })
	held := loadedReplicas(server)
	for _, change := range use.changes {
		held -= change.delta
	}
	next := 0
	for step := range steps {
		end := r.within.From.Add(time.Duration(step+1) * idleStep).UnixMilli()
		for next < len(use.changes) && use.changes[next].at < end {
			held += use.changes[next].delta
			next++
		}
		switch {
		case use.isBusy(step):
			row.busy += idleStep
			row.loaded += idleStep
		case held > 0:
			row.idle += idleStep
			row.loaded += idleStep
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
