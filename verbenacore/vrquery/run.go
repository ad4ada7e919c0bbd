package vrquery

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"verbenaroute.example/verbenacore/vrrecord"
)

// Source is what a query reads.
type Source interface {
	// Now is the time that since and until count from.
	Now() time.Time
	// State is the live state.
	State() *State
	// Entries yields the record entries of a time range, in no particular order, each
	// once. An entry may be reused after yield returns.
	Entries(within Range, yield func(*vrrecord.Entry) bool) error
}

// GroupsError says that a query has too many groups.
type GroupsError struct{ Limit int }

func (e *GroupsError) Error() string {
	return fmt.Sprintf("the query has more than %d groups; narrow it with where, or group by fewer columns", e.Limit)
}

// Run answers a query. Its memory is bounded by the limit of rows and of groups, not
// by the number of entries.
func Run(query *Statement, source Source) (*Table, error) {
	if query.Show == nil {
		return nil, fmt.Errorf("%q is a command, not a query", query.Text)
	}
	p, err := query.Show.plan()
	if err != nil {
		return nil, locate(query.Text, err)
	}
	r := &runner{source: source, now: source.Now(), state: source.State(), by: p.by}
	if r.within, err = p.timeRange(r.now); err != nil {
		return nil, locate(query.Text, err)
	}
	return p.target.run(p, r)
}

// runner is one run of a query.
type runner struct {
	source Source
	now    time.Time
	state  *State
	within Range
	by     []Value
}

func (t *table[T]) run(p *plan, r *runner) (*Table, error) {
	matches, err := t.compile(p.where, r.now)
	if err != nil {
		return nil, err
	}
	if p.grouped() {
		return t.runGrouped(p, r, matches)
	}
	return t.runPlain(p, r, matches)
}

// heads returns the columns of the answer.
func (t *table[T]) heads(p *plan) []Column {
	var heads []Column
	if !p.grouped() {
		for _, name := range t.shown(p) {
			heads = append(heads, Column{Name: name, Kind: t.find(name).kind})
		}
		return heads
	}
	if p.per > 0 {
		heads = append(heads, Column{Name: "time", Kind: KindTime})
	}
	for _, by := range p.by {
		if found := t.find(by.Text); found != nil {
			heads = append(heads, Column{Name: found.name, Kind: found.kind})
		}
	}
	heads = append(heads, Column{Name: "count", Kind: KindNumber})
	for _, name := range t.sums {
		heads = append(heads, Column{Name: name, Kind: sumKind(t.find(name).kind)})
	}
	for _, name := range t.spreads {
		for _, percentile := range _percentiles {
			heads = append(heads, Column{Name: name + percentile.suffix, Kind: t.find(name).kind})
		}
	}
	return heads
}

// sumKind is the kind of a sum; the sum of a column of yes and no is a count.
func sumKind(kind ColumnKind) ColumnKind {
	if kind == KindText {
		return KindNumber
	}
	return kind
}

// best keeps the first rows of an order in bounded memory.
type best struct {
	limit int
	desc  bool
	rows  []keyedRow
	cut   *Cell
	count int
}

type keyedRow struct {
	key   Cell
	cells []Cell
}

func (b *best) compare(x, y keyedRow) int {
	order := x.key.compare(y.key)
	if b.desc {
		order = -order
	}
	return order
}

// wants reports whether a row with the key may be among the first.
func (b *best) wants(key Cell) bool {
	return b.cut == nil || b.compare(keyedRow{key: key}, keyedRow{key: *b.cut}) < 0
}

func (b *best) add(row keyedRow) {
	b.rows = append(b.rows, row)
	if len(b.rows) >= 2*b.limit {
		b.shrink()
	}
}

func (b *best) shrink() {
	slices.SortStableFunc(b.rows, b.compare)
	if len(b.rows) > b.limit {
		clear(b.rows[b.limit:])
		b.rows = b.rows[:b.limit]
		cut := b.rows[b.limit-1].key
		b.cut = &cut
	}
}

func (t *table[T]) runPlain(p *plan, r *runner, matches test[T]) (*Table, error) {
	answer := &Table{Columns: t.heads(p)}
	shown := make([]*column[T], len(answer.Columns))
	for i, head := range answer.Columns {
		shown[i] = t.find(head.Name)
	}
	key, desc := t.find(t.order), t.desc
	if p.order != nil {
		key, desc = t.find(p.order.Column.Text), p.order.Descending
	}
	kept := &best{limit: p.limit, desc: desc}
	err := t.rows(r, func(row *T) bool {
		answer.Scanned++
		if !matches(row) {
			return true
		}
		kept.count++
		if at := key.get(row); kept.wants(at) {
			cells := make([]Cell, len(shown))
			for i, column := range shown {
				cells[i] = column.get(row)
			}
			kept.add(keyedRow{key: at, cells: cells})
		}
		return true
	})
	kept.shrink()
	for _, row := range kept.rows {
		answer.Rows = append(answer.Rows, row.cells)
	}
	answer.Truncated = kept.count > len(answer.Rows)
	return answer, err
}

var _percentiles = []struct {
	suffix  string
	percent float64
}{
	{".p50", 50},
	{".p95", 95},
	{".p99", 99},
}

const (
	// Percentiles are kept in steps of 0.1 ms up to an hour, with two digits.
	spreadSteps  = 10_000
	spreadMax    = 3600 * spreadSteps
	spreadDigits = 2
)

type group struct {
	keys    []Cell
	count   int
	sums    []float64
	spreads []*hdrhistogram.Histogram
}

type grouping[T any] struct {
	p       *plan
	time    *column[T]
	by      []*column[T]
	sums    []*column[T]
	spreads []*column[T]
	groups  map[string]*group
	// scratch and name are reused from row to row.
	scratch []Cell
	name    []byte
}

func (t *table[T]) grouping(p *plan) *grouping[T] {
	g := &grouping[T]{p: p, time: t.find("time"), groups: make(map[string]*group)}
	for _, by := range p.by {
		g.by = append(g.by, t.find(by.Text))
	}
	for _, name := range t.sums {
		g.sums = append(g.sums, t.find(name))
	}
	for _, name := range t.spreads {
		g.spreads = append(g.spreads, t.find(name))
	}
	return g
}

// keys fills the scratch list with the keys of a row.
func (g *grouping[T]) keys(row *T) []Cell {
	keys := g.scratch[:0]
	if g.p.per > 0 {
		seconds := g.p.per.Seconds()
		keys = append(keys, numberCell(math.Floor(g.time.get(row).Number/seconds)*seconds))
	}
	for _, by := range g.by {
		keys = append(keys, by.get(row))
	}
	g.scratch = keys
	return keys
}

func appendKey(name []byte, keys []Cell) []byte {
	for _, key := range keys {
		if key.IsNumber {
			name = strconv.AppendFloat(name, key.Number, 'g', -1, 64)
		}
		name = append(name, key.Text...)
		name = append(name, 0)
	}
	return name
}

func (g *grouping[T]) add(row *T) error {
	keys := g.keys(row)
	g.name = appendKey(g.name[:0], keys)
	held := g.groups[string(g.name)]
	if held == nil {
		if len(g.groups) == maxGroups {
			return &GroupsError{Limit: maxGroups}
		}
		held = &group{keys: slices.Clone(keys), sums: make([]float64, len(g.sums))}
		for range g.spreads {
			held.spreads = append(held.spreads, hdrhistogram.New(1, spreadMax, spreadDigits))
		}
		g.groups[string(g.name)] = held
	}
	held.count++
	for i, column := range g.sums {
		held.sums[i] += summand(column.get(row))
	}
	for i, column := range g.spreads {
		if cell := column.get(row); cell.IsSet {
			_ = held.spreads[i].RecordValue(min(max(int64(cell.Number*spreadSteps), 1), spreadMax))
		}
	}
	return nil
}

func summand(cell Cell) float64 {
	if cell.IsNumber {
		return cell.Number
	}
	if cell.Text == Yes {
		return 1
	}
	return 0
}

func (h *group) cells() []Cell {
	cells := append(slices.Clone(h.keys), numberCell(h.count))
	for _, sum := range h.sums {
		cells = append(cells, numberCell(sum))
	}
	for _, spread := range h.spreads {
		for _, percentile := range _percentiles {
			cell := Cell{}
			if spread.TotalCount() > 0 {
				cell = numberCell(float64(spread.ValueAtPercentile(percentile.percent)) / spreadSteps)
			}
			cells = append(cells, cell)
		}
	}
	return cells
}

func (t *table[T]) runGrouped(p *plan, r *runner, matches test[T]) (*Table, error) {
	answer := &Table{Columns: t.heads(p)}
	g := t.grouping(p)
	var groupErr error
	err := t.rows(r, func(row *T) bool {
		answer.Scanned++
		if matches(row) {
			groupErr = g.add(row)
		}
		return groupErr == nil
	})
	if groupErr != nil {
		return nil, groupErr
	}
	for _, held := range g.groups {
		answer.Rows = append(answer.Rows, held.cells())
	}
	keyCount := len(answer.Columns) - 1 - len(t.sums) - len(_percentiles)*len(t.spreads)
	answer.sort(p.order, keyCount)
	if len(answer.Rows) > p.limit {
		answer.Rows = answer.Rows[:p.limit]
		answer.Truncated = true
	}
	return answer, err
}

// sort orders a grouped table by the asked column, then by its keys.
func (t *Table) sort(order *Order, keyCount int) {
	slices.SortFunc(t.Rows, func(a, b []Cell) int {
		if order != nil {
			at := t.Index(order.Column.Text)
			by := a[at].compare(b[at])
			if order.Descending {
				by = -by
			}
			if by != 0 {
				return by
			}
		}
		for i := range keyCount {
			if by := a[i].compare(b[i]); by != 0 {
				return by
			}
		}
		return cmp.Compare(len(a), len(b))
	})
}
