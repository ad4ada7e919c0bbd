package vrquery

import (
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// serviceLevels holds the latency target and the service level objective of each rank.
type serviceLevels struct {
	targets    [vrid.RankCount]time.Duration
	objectives [vrid.RankCount]float64
}

func newServiceLevels(state *State) *serviceLevels {
	l := &serviceLevels{}
	if state == nil || state.Fleet == nil {
		return l
	}
	for _, policy := range state.Fleet.Ranks {
		if policy.Rank.Valid() {
			l.targets[policy.Rank] = policy.Target.Std()
			l.objectives[policy.Rank] = policy.Objective
		}
	}
	return l
}

// _callerErrors are refusal reasons caused by the caller. They don't count towards the
// service level.
var _callerErrors = map[string]bool{
	string(vrwire.ReasonInvalidRequest):        true,
	string(vrwire.ReasonIdempotencyKeyMissing): true,
	string(vrwire.ReasonIdempotencyKeyReused):  true,
	string(vrwire.ReasonUnauthorized):          true,
	string(vrwire.ReasonUnknownModel):          true,
	string(vrwire.ReasonUnknownService):        true,
	string(vrwire.ReasonBodyTooLarge):          true,
	string(vrwire.ReasonCallerGone):            true,
}

// includes reports whether an entry counts towards the service level.
func (l *serviceLevels) includes(entry *vrrecord.Entry) bool {
	return entry.Kind.Terminal() && entry.Rank.Valid() && !_callerErrors[entry.Reason]
}

// isBad reports whether the request violates its service level: it was refused for a
// reason other than a caller error, or answered later than the target of its rank. The
// latency is the time to the first token if there is one, else the total time.
func (l *serviceLevels) isBad(entry *vrrecord.Entry) bool {
	if !l.includes(entry) {
		return false
	}
	if entry.Kind == vrrecord.EntryRefused {
		return true
	}
	latency := entry.FirstToken
	if latency == 0 {
		latency = entry.Total
	}
	target := l.targets[entry.Rank]
	return target > 0 && time.Duration(latency)*time.Microsecond > target
}

// BurnWindowPair is a multiwindow burn rate condition: the error budget counts as burning if
// the burn rate exceeds Threshold in both windows. The long window shows that the burn is
// significant, the short one that it is still going on.
type BurnWindowPair struct {
	Name      string
	Short     time.Duration
	Long      time.Duration
	Threshold float64
}

// BurnWindowPairs returns the window pairs, from the shortest to the longest. Burning at the
// thresholds spends 2%, 5%, 10% and 10% of a 30-day error budget within the long window.
func BurnWindowPairs() []BurnWindowPair {
	return []BurnWindowPair{
		{Name: "5m/1h", Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
		{Name: "30m/6h", Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
		{Name: "2h/1d", Short: 2 * time.Hour, Long: day, Threshold: 3},
		{Name: "6h/3d", Short: 6 * time.Hour, Long: 3 * day, Threshold: 1},
	}
}

const longestBurnWindow = 3 * day

type requestCounts struct {
	requests int
	bad      int
}

// burnRate returns the fraction of bad requests divided by the fraction that the
// objective allows.
func (c requestCounts) burnRate(objective float64) float64 {
	if c.requests == 0 || objective <= 0 || objective >= 1 {
		return 0
	}
	return float64(c.bad) / float64(c.requests) / (1 - objective)
}

type burnKey struct {
	rank  vrid.Rank
	model vrid.ModelID
}

type burnRow struct {
	burnKey
	pair      BurnWindowPair
	objective float64
	short     requestCounts
	long      requestCounts
}

func (b *burnRow) isBurning() bool {
	return b.short.burnRate(b.objective) > b.pair.Threshold && b.long.burnRate(b.objective) > b.pair.Threshold
}

// burnTarget is the table burn, with one row for each rank and pair of windows. Grouping by
// model splits these rows rather than aggregating them, because burn rates can't be summed.
type burnTarget struct {
	*table[burnRow]
	byModel *table[burnRow]
}

var _burnTarget = burnTarget{table: _burnTable, byModel: newBurnByModelTable()}

func newBurnByModelTable() *table[burnRow] {
	t := *_burnTable
	t.defaultColumns = append([]string{"rank", "model"}, t.defaultColumns[1:]...)
	return &t
}

// resolve returns the table for the grouping of p, and p without its grouping. A plan that
// groups by other columns is returned unchanged.
func (b burnTarget) resolve(p *plan) (*table[burnRow], *plan) {
	selected := b.table
	for _, by := range p.by {
		switch by.Text {
		case "rank":
		case "model":
			selected = b.byModel
		default:
			return b.table, p
		}
	}
	ungrouped := *p
	ungrouped.by = nil
	return selected, &ungrouped
}

func (b burnTarget) check(p *plan) error {
	selected, ungrouped := b.resolve(p)
	return selected.check(ungrouped)
}

func (b burnTarget) run(p *plan, e *execution) (*Table, error) {
	selected, ungrouped := b.resolve(p)
	return selected.run(ungrouped, e)
}

var _burnTable = &table[burnRow]{
	columns: []column[burnRow]{
		{name: "rank", kind: KindText, allowed: rankNames(), get: func(b *burnRow) Cell { return textCell(b.rank.String()) }},
		{name: "model", kind: KindText, get: func(b *burnRow) Cell { return textCell(b.model) }},
		{name: "windows", kind: KindText, get: func(b *burnRow) Cell { return textCell(b.pair.Name) }},
		{name: "shortBurn", kind: KindNumber, get: func(b *burnRow) Cell { return numberCell(b.short.burnRate(b.objective)) }},
		{name: "longBurn", kind: KindNumber, get: func(b *burnRow) Cell { return numberCell(b.long.burnRate(b.objective)) }},
		{name: "threshold", kind: KindNumber, get: func(b *burnRow) Cell { return numberCell(b.pair.Threshold) }},
		{name: "burning", kind: KindText, allowed: []string{Yes, No}, get: func(b *burnRow) Cell { return boolCell(b.isBurning()) }},
		{name: "requests", kind: KindNumber, get: func(b *burnRow) Cell { return numberCell(b.long.requests) }},
		{name: "bad", kind: KindNumber, get: func(b *burnRow) Cell { return numberCell(b.long.bad) }},
	},
	defaultColumns:  []string{"rank", "windows", "shortBurn", "longBurn", "threshold", "burning", "requests", "bad"},
	order:           "rank",
	sumColumns:      []string{"burning", "requests", "bad"},
	defaultLookback: longestBurnWindow,
	rows:            burnRows,
}

// burnRows counts requests in windows that end at the end of the time range. Requests are
// counted per model only if the query groups by model.
func burnRows(e *execution, yield func(*burnRow) bool) error {
	levels := newServiceLevels(e.state)
	byModel := false
	for _, by := range e.by {
		byModel = byModel || by.Text == "model"
	}
	pairs := BurnWindowPairs()
	counts := make(map[burnKey][][2]requestCounts)
	for _, rank := range vrid.Ranks() {
		if !byModel {
			counts[burnKey{rank: rank}] = make([][2]requestCounts, len(pairs))
		}
	}
	err := e.source.Entries(e.timeRange, func(entry *vrrecord.Entry) bool {
		if !levels.includes(entry) {
			return true
		}
		key := burnKey{rank: entry.Rank}
		if byModel {
			key.model = entry.Model
		}
		if counts[key] == nil {
			if len(counts) == maxGroups {
				return true
			}
			counts[key] = make([][2]requestCounts, len(pairs))
		}
		age := e.timeRange.Until.Sub(time.UnixMilli(entry.At))
		countInWindows(counts[key], pairs, age, levels.isBad(entry))
		return true
	})
	for _, key := range sortedBurnKeys(counts) {
		for i, pair := range pairs {
			row := burnRow{burnKey: key, pair: pair, objective: levels.objectives[key.rank], short: counts[key][i][0], long: counts[key][i][1]}
			if !yield(&row) {
				return err
			}
		}
	}
	return err
}

// countInWindows adds a request of the given age to every window that contains it.
func countInWindows(counts [][2]requestCounts, pairs []BurnWindowPair, age time.Duration, bad bool) {
	for i, pair := range pairs {
		for j, window := range [2]time.Duration{pair.Short, pair.Long} {
			if age > window {
				continue
			}
			counts[i][j].requests++
			if bad {
				counts[i][j].bad++
			}
		}
	}
}

var _rankTable = &table[vrconfig.RankPolicy]{
	columns: []column[vrconfig.RankPolicy]{
		{name: "rank", kind: KindText, allowed: rankNames(), get: func(p *vrconfig.RankPolicy) Cell { return textCell(p.Rank.String()) }},
		{name: "target", kind: KindDuration, get: func(p *vrconfig.RankPolicy) Cell { return numberCell(p.Target.Std().Seconds()) }},
		{name: "deadline", kind: KindDuration, get: func(p *vrconfig.RankPolicy) Cell { return numberCell(p.Deadline.Std().Seconds()) }},
		{name: "worth", kind: KindNumber, get: func(p *vrconfig.RankPolicy) Cell { return numberCell(p.Weight) }},
		{name: "floor", kind: KindNumber, get: func(p *vrconfig.RankPolicy) Cell { return numberCell(p.Floor) }},
		{name: "objective", kind: KindNumber, get: func(p *vrconfig.RankPolicy) Cell { return numberCell(p.Objective) }},
		{name: "callerShare", kind: KindNumber, get: func(p *vrconfig.RankPolicy) Cell { return numberCell(p.CallerShare) }},
	},
	defaultColumns:  []string{"rank", "target", "deadline", "worth", "floor", "objective", "callerShare"},
	order:           "worth",
	orderDesc:       true,
	defaultLookback: defaultLookback,
	isLive:          true,
	rows: func(e *execution, yield func(*vrconfig.RankPolicy) bool) error {
		for _, policy := range e.state.fleet().Ranks {
			if !yield(&policy) {
				break
			}
		}
		return nil
	},
}
