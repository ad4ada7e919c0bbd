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

// Source provides the data that a query reads.
type Source interface {
	// Now returns the current time, to which relative times in since and until refer.
	Now() time.Time
	// State returns the live state.
	State() *State
	// Entries yields each record entry of a time range once, in no particular order. An
	// entry may be reused after yield returns.
	Entries(timeRange TimeRange, yield func(*vrrecord.Entry) bool) error
}

// TooManyGroupsError reports a query with too many groups.
type TooManyGroupsError struct{ Limit int }

func (e *TooManyGroupsError) Error() string {
	return fmt.Sprintf("the query has more than %d groups; narrow it with where, or group by fewer columns", e.Limit)
}

// Run executes a query. Its memory use is bounded by the maximum number of rows and
// groups, not by the number of entries.
func Run(query *Statement, source Source) (*Table, error) {
	if query.Show == nil {
		return nil, fmt.Errorf("%q is a command, not a query", query.Text)
	}
	p, err := query.Show.plan()
	if err != nil {
		return nil, addPosition(query.Text, err)
	}
	e := &execution{source: source, now: source.Now(), state: source.State(), by: p.by}
	if e.timeRange, err = p.timeRange(e.now); err != nil {
		return nil, addPosition(query.Text, err)
	}
	return p.target.run(p, e)
}

// execution is the execution of one query.
type execution struct {
	source    Source
	now       time.Time
	state     *State
	timeRange TimeRange
	// by is the grouping of the query. The plan that burnTarget runs has none.
	by []Value
}

func (t *table[T]) run(p *plan, e *execution) (*Table, error) {
	matches, err := t.compile(p.where, e.now)
	if err != nil {
		return nil, err
	}
	if p.isGrouped() {
		return t.runGrouped(p, e, matches)
	}
	return t.runUngrouped(p, e, matches)
}

// outputColumns returns the columns of the result.
func (t *table[T]) outputColumns(p *plan) []Column {
	var columns []Column
	if !p.isGrouped() {
		for _, name := range t.shownColumns(p) {
			columns = append(columns, Column{Name: name, Kind: t.columnByName(name).kind})
		}
		return columns
	}
	if p.per > 0 {
		columns = append(columns, Column{Name: "time", Kind: KindTime})
	}
	for _, by := range p.by {
		if found := t.columnByName(by.Text); found != nil {
			columns = append(columns, Column{Name: found.name, Kind: found.kind})
		}
	}
	columns = append(columns, Column{Name: "count", Kind: KindNumber})
	for _, name := range t.sumColumns {
		columns = append(columns, Column{Name: name, Kind: sumKind(t.columnByName(name).kind)})
	}
	for _, name := range t.percentileColumns {
		for _, percentile := range _percentiles {
			columns = append(columns, Column{Name: name + percentile.suffix, Kind: t.columnByName(name).kind})
		}
	}
	return columns
}

// sumKind returns the kind of the sum of a column. A sum over a yes/no column is a count.
func sumKind(kind ColumnKind) ColumnKind {
	if kind == KindText {
		return KindNumber
	}
	return kind
}

// topRows keeps the first limit rows of a sort order. It holds at most twice as many rows
// at a time.
type topRows struct {
	limit int
	desc  bool
	rows  []keyedRow
	// cutoff is the sort key of the last row that the latest truncation kept, nil before
	// the first one that dropped rows.
	cutoff *Cell
	// count is the number of rows that matched the query, set by the caller.
	count int
}

// keyedRow is an output row with the cell that it is sorted by.
type keyedRow struct {
	sortKey Cell
	cells   []Cell
}

func (t *topRows) compare(x, y keyedRow) int {
	order := x.sortKey.compare(y.sortKey)
	if t.desc {
		order = -order
	}
	return order
}

// accepts reports whether a row with the given sort key can be among the first rows.
func (t *topRows) accepts(key Cell) bool {
	return t.cutoff == nil || t.compare(keyedRow{sortKey: key}, keyedRow{sortKey: *t.cutoff}) < 0
}

func (t *topRows) add(row keyedRow) {
	t.rows = append(t.rows, row)
	if len(t.rows) >= 2*t.limit {
		t.truncate()
	}
}

func (t *topRows) truncate() {
	slices.SortStableFunc(t.rows, t.compare)
	if len(t.rows) > t.limit {
		clear(t.rows[t.limit:])
		t.rows = t.rows[:t.limit]
		cutoff := t.rows[t.limit-1].sortKey
		t.cutoff = &cutoff
	}
}

func (t *table[T]) runUngrouped(p *plan, e *execution, matches predicate[T]) (*Table, error) {
	result := &Table{Columns: t.outputColumns(p)}
	shown := make([]*column[T], len(result.Columns))
	for i, column := range result.Columns {
		shown[i] = t.columnByName(column.Name)
	}
	sortColumn, desc := t.columnByName(t.order), t.orderDesc
	if p.order != nil {
		sortColumn, desc = t.columnByName(p.order.Column.Text), p.order.Descending
	}
	top := &topRows{limit: p.limit, desc: desc}
	err := t.rows(e, func(row *T) bool {
		result.Scanned++
		if !matches(row) {
			return true
		}
		top.count++
		if sortKey := sortColumn.get(row); top.accepts(sortKey) {
			cells := make([]Cell, len(shown))
			for i, column := range shown {
				cells[i] = column.get(row)
			}
			top.add(keyedRow{sortKey: sortKey, cells: cells})
		}
		return true
	})
	top.truncate()
	for _, row := range top.rows {
		result.Rows = append(result.Rows, row.cells)
	}
	result.Truncated = top.count > len(result.Rows)
	return result, err
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
	// Percentiles are computed from histograms with a resolution of 0.1 ms, values up to
	// an hour and two significant digits.
	histogramStepsPerSecond = 10_000
	histogramMax            = 3600 * histogramStepsPerSecond
	histogramDigits         = 2
)

// group holds the aggregates of the rows that share the same group key.
type group struct {
	keys       []Cell
	count      int
	sums       []float64
	histograms []*hdrhistogram.Histogram
}

// aggregator groups rows and computes their aggregates.
type aggregator[T any] struct {
	plan              *plan
	timeColumn        *column[T]
	groupColumns      []*column[T]
	sumColumns        []*column[T]
	percentileColumns []*column[T]
	groups            map[string]*group
	// scratch and groupKey are buffers that are reused for each row.
	scratch  []Cell
	groupKey []byte
}

func (t *table[T]) newAggregator(p *plan) *aggregator[T] {
	a := &aggregator[T]{plan: p, timeColumn: t.columnByName("time"), groups: make(map[string]*group)}
	for _, by := range p.by {
		a.groupColumns = append(a.groupColumns, t.columnByName(by.Text))
	}
	for _, name := range t.sumColumns {
		a.sumColumns = append(a.sumColumns, t.columnByName(name))
	}
	for _, name := range t.percentileColumns {
		a.percentileColumns = append(a.percentileColumns, t.columnByName(name))
	}
	return a
}

// keys returns the group key cells of a row in the scratch buffer.
func (a *aggregator[T]) keys(row *T) []Cell {
	keys := a.scratch[:0]
	if a.plan.per > 0 {
		seconds := a.plan.per.Seconds()
		keys = append(keys, numberCell(math.Floor(a.timeColumn.get(row).Number/seconds)*seconds))
	}
	for _, column := range a.groupColumns {
		keys = append(keys, column.get(row))
	}
	a.scratch = keys
	return keys
}

// appendKey appends the map key that encodes the cells in keys.
func appendKey(buffer []byte, keys []Cell) []byte {
	for _, key := range keys {
		if key.IsNumber {
			buffer = strconv.AppendFloat(buffer, key.Number, 'g', -1, 64)
		}
		buffer = append(buffer, key.Text...)
		buffer = append(buffer, 0)
	}
	return buffer
}

func (a *aggregator[T]) add(row *T) error {
	keys := a.keys(row)
	a.groupKey = appendKey(a.groupKey[:0], keys)
	bucket := a.groups[string(a.groupKey)]
	if bucket == nil {
		if len(a.groups) == maxGroups {
			return &TooManyGroupsError{Limit: maxGroups}
		}
		bucket = &group{keys: slices.Clone(keys), sums: make([]float64, len(a.sumColumns))}
		for range a.percentileColumns {
			bucket.histograms = append(bucket.histograms, hdrhistogram.New(1, histogramMax, histogramDigits))
		}
		a.groups[string(a.groupKey)] = bucket
	}
	bucket.count++
	for i, column := range a.sumColumns {
		bucket.sums[i] += sumValue(column.get(row))
	}
	for i, column := range a.percentileColumns {
		if cell := column.get(row); cell.IsSet {
			_ = bucket.histograms[i].RecordValue(min(max(int64(cell.Number*histogramStepsPerSecond), 1), histogramMax))
		}
	}
	return nil
}

// sumValue returns what a cell adds to a sum: its number, or 1 for yes.
func sumValue(cell Cell) float64 {
	if cell.IsNumber {
		return cell.Number
	}
	if cell.Text == Yes {
		return 1
	}
	return 0
}

func (g *group) cells() []Cell {
	cells := append(slices.Clone(g.keys), numberCell(g.count))
	for _, sum := range g.sums {
		cells = append(cells, numberCell(sum))
	}
	for _, histogram := range g.histograms {
		for _, percentile := range _percentiles {
			cell := Cell{}
			if histogram.TotalCount() > 0 {
				cell = numberCell(float64(histogram.ValueAtPercentile(percentile.percent)) / histogramStepsPerSecond)
			}
			cells = append(cells, cell)
		}
	}
	return cells
}

func (t *table[T]) runGrouped(p *plan, e *execution, matches predicate[T]) (*Table, error) {
	result := &Table{Columns: t.outputColumns(p)}
	a := t.newAggregator(p)
	var groupErr error
	err := t.rows(e, func(row *T) bool {
		result.Scanned++
		if matches(row) {
			groupErr = a.add(row)
		}
		return groupErr == nil
	})
	if groupErr != nil {
		return nil, groupErr
	}
	for _, bucket := range a.groups {
		result.Rows = append(result.Rows, bucket.cells())
	}
	keyCount := len(result.Columns) - 1 - len(t.sumColumns) - len(_percentiles)*len(t.percentileColumns)
	result.sort(p.order, keyCount)
	if len(result.Rows) > p.limit {
		result.Rows = result.Rows[:p.limit]
		result.Truncated = true
	}
	return result, err
}

// sort sorts a grouped table by the order of the query, if any, and then by its first
// keyCount columns, the group keys.
func (t *Table) sort(order *Order, keyCount int) {
	slices.SortFunc(t.Rows, func(a, b []Cell) int {
		if order != nil {
			index := t.ColumnIndex(order.Column.Text)
			result := a[index].compare(b[index])
			if order.Descending {
				result = -result
			}
			if result != 0 {
				return result
			}
		}
		for i := range keyCount {
			if result := a[i].compare(b[i]); result != 0 {
				return result
			}
		}
		return cmp.Compare(len(a), len(b))
	})
}
