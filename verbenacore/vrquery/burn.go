package vrquery

import (
	"time"

	"verbenaroute.example/verbenacore/vrconfig"
	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrrecord"
	"verbenaroute.example/verbenacore/vrwire"
)

// levels tells good service from bad by the ranks' policies.
type levels struct {
	targets    [vrid.RankCount]time.Duration
	objectives [vrid.RankCount]float64
}

func newLevels(state *State) *levels {
	l := &levels{}
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

// _callerFaults are refusals that say nothing about the service.
var _callerFaults = map[string]bool{
	string(vrwire.ReasonInvalidRequest):        true,
	string(vrwire.ReasonIdempotencyKeyMissing): true,
	string(vrwire.ReasonIdempotencyKeyReused):  true,
	string(vrwire.ReasonUnauthorized):          true,
	string(vrwire.ReasonUnknownModel):          true,
	string(vrwire.ReasonUnknownService):        true,
	string(vrwire.ReasonBodyTooLarge):          true,
	string(vrwire.ReasonCallerGone):            true,
}

// counts reports whether an entry counts for service levels.
func (l *levels) counts(entry *vrrecord.Entry) bool {
	return entry.Kind.Terminal() && entry.Rank.Valid() && !_callerFaults[entry.Reason]
}

// bad reports whether the request was refused for a reason other than the caller's
// own fault, or answered after the target of its rank.
func (l *levels) bad(entry *vrrecord.Entry) bool {
	if !l.counts(entry) {
		return false
	}
	if entry.Kind == vrrecord.EntryRefused {
		return true
	}
	spent := entry.FirstToken
	if spent == 0 {
		spent = entry.Total
	}
	target := l.targets[entry.Rank]
	return target > 0 && time.Duration(spent)*time.Microsecond > target
}

// BurnPair is a pair of windows that must both burn faster than Threshold before it
// counts: the long one shows that it matters, the short one that it still goes on.
type BurnPair struct {
	Name      string
	Short     time.Duration
	Long      time.Duration
	Threshold float64
}

// BurnPairs returns the pairs, the fastest first. The thresholds spend 2%, 5%, 10% and
// 10% of a budget of 30 days within the long window.
func BurnPairs() []BurnPair {
	return []BurnPair{
		{Name: "5m/1h", Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
		{Name: "30m/6h", Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
		{Name: "2h/1d", Short: 2 * time.Hour, Long: day, Threshold: 3},
		{Name: "6h/3d", Short: 6 * time.Hour, Long: 3 * day, Threshold: 1},
	}
}

const longestBurn = 3 * day

type burnCount struct {
	requests int
	bad      int
}

// rate is the part of bad requests divided by the part that the objective allows.
func (c burnCount) rate(objective float64) float64 {
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
	pair      BurnPair
	objective float64
	short     burnCount
	long      burnCount
}

func (b *burnRow) burning() bool {
	return b.short.rate(b.objective) > b.pair.Threshold && b.long.rate(b.objective) > b.pair.Threshold
}

// burnTarget shows one line for each pair of windows. Grouping by rank or model adds
// lines and keeps the rates, which can't be added up.
type burnTarget struct {
	*table[burnRow]
	byModel *table[burnRow]
}

var _burn = burnTarget{table: _burnTable, byModel: burnByModel()}

func burnByModel() *table[burnRow] {
	t := *_burnTable
	t.standard = append([]string{"rank", "model"}, t.standard[1:]...)
	return &t
}

func (b burnTarget) plan(p *plan) (*table[burnRow], *plan) {
	chosen := b.table
	for _, by := range p.by {
		switch by.Text {
		case "rank":
		case "model":
			chosen = b.byModel
		default:
			return b.table, p
		}
	}
	plain := *p
	plain.by = nil
	return chosen, &plain
}

func (b burnTarget) check(p *plan) error {
	chosen, plain := b.plan(p)
	return chosen.check(plain)
}

func (b burnTarget) run(p *plan, r *runner) (*Table, error) {
	chosen, plain := b.plan(p)
	return chosen.run(plain, r)
}

var _burnTable = &table[burnRow]{
	columns: []column[burnRow]{
		{name: "rank", kind: KindText, allowed: rankNames(), get: func(b *burnRow) Cell { return textCell(b.rank.String()) }},
		{name: "model", kind: KindText, get: func(b *burnRow) Cell { return textCell(b.model) }},
		{name: "windows", kind: KindText, get: func(b *burnRow) Cell { return textCell(b.pair.Name) }},
		{name: "shortBurn", kind: KindNumber, get: func(b *burnRow) Cell { return numberCell(b.short.rate(b.objective)) }},
		{name: "longBurn", kind: KindNumber, get: func(b *burnRow) Cell { return numberCell(b.long.rate(b.objective)) }},
		{name: "threshold", kind: KindNumber, get: func(b *burnRow) Cell { return numberCell(b.pair.Threshold) }},
		{name: "burning", kind: KindText, allowed: []string{Yes, No}, get: func(b *burnRow) Cell { return truthCell(b.burning()) }},
		{name: "requests", kind: KindNumber, get: func(b *burnRow) Cell { return numberCell(b.long.requests) }},
		{name: "bad", kind: KindNumber, get: func(b *burnRow) Cell { return numberCell(b.long.bad) }},
	},
	standard: []string{"rank", "windows", "shortBurn", "longBurn", "threshold", "burning", "requests", "bad"},
	order:    "rank",
	sums:     []string{"burning", "requests", "bad"},
	back:     longestBurn,
	rows:     burnRows,
}

// burnRows counts over the windows that end at the end of the range. Models are only
// told apart when the query groups by them.
func burnRows(r *runner, yield func(*burnRow) bool) error {
	l := newLevels(r.state)
	byModel := false
	for _, by := range r.by {
		byModel = byModel || by.Text == "model"
	}
	pairs := BurnPairs()
	counts := make(map[burnKey][][2]burnCount)
	for _, rank := range vrid.Ranks() {
		if !byModel {
			counts[burnKey{rank: rank}] = make([][2]burnCount, len(pairs))
		}
	}
	err := r.source.Entries(r.within, func(entry *vrrecord.Entry) bool {
		if !l.counts(entry) {
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
			counts[key] = make([][2]burnCount, len(pairs))
		}
		age := r.within.Until.Sub(time.UnixMilli(entry.At))
		addBurn(counts[key], pairs, age, l.bad(entry))
		return true
	})
	for _, key := range sortedBurnKeys(counts) {
		for i, pair := range pairs {
			row := burnRow{burnKey: key, pair: pair, objective: l.objectives[key.rank], short: counts[key][i][0], long: counts[key][i][1]}
			if !yield(&row) {
				return err
			}
		}
	}
	return err
}

func addBurn(counts [][2]burnCount, pairs []BurnPair, age time.Duration, bad bool) {
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
		{name: "worth", kind: KindNumber, get: func(p *vrconfig.RankPolicy) Cell { return numberCell(p.Worth) }},
		{name: "floor", kind: KindNumber, get: func(p *vrconfig.RankPolicy) Cell { return numberCell(p.Floor) }},
		{name: "objective", kind: KindNumber, get: func(p *vrconfig.RankPolicy) Cell { return numberCell(p.Objective) }},
		{name: "callerShare", kind: KindNumber, get: func(p *vrconfig.RankPolicy) Cell { return numberCell(p.CallerShare) }},
	},
	standard: []string{"rank", "target", "deadline", "worth", "floor", "objective", "callerShare"},
	order:    "worth",
	desc:     true,
	back:     defaultSince,
	state:    true,
	rows: func(r *runner, yield func(*vrconfig.RankPolicy) bool) error {
		for _, policy := range r.state.fleet().Ranks {
			if !yield(&policy) {
				break
			}
		}
		return nil
	},
}
