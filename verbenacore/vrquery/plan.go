package vrquery

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	defaultLimit = 100
	maxLimit     = 10_000
	// maxGroups limits the memory of a grouped query: each group holds histograms of
	// about 20 KB.
	maxGroups       = 1000
	defaultLookback = time.Hour
)

// plan is a validated query.
type plan struct {
	target queryTarget
	where  *Or
	since  *Value
	until  *Value
	by     []Value
	// columns replaces the table's default columns.
	columns []Value
	// per is the width of the time buckets, 0 if the query has none. perValue is its source
	// text.
	per      time.Duration
	perValue Value
	order    *Order
	limit    int
}

// queryTarget is a table that can be queried.
type queryTarget interface {
	// check validates a plan as far as possible without data.
	check(p *plan) error
	run(p *plan, e *execution) (*Table, error)
	// columnNames returns the names of all columns.
	columnNames() []string
	// lookback is how far back a query without since reads.
	lookback() time.Duration
	// readsRecord reports whether the rows come from the record rather than the live state.
	readsRecord() bool
}

// TableNames returns the names of the tables in the order in which the help shows them.
func TableNames() []string {
	return []string{
		"requests", "refused", "loads", "history", "gaps", "burn", "idle",
		"replicas", "servers", "daemons", "zones", "models", "ranks",
	}
}

// ColumnNames returns the column names of a table, or nil if the table is unknown.
func ColumnNames(name string) []string {
	found := findTarget(name)
	if found == nil {
		return nil
	}
	return found.columnNames()
}

func (s *Show) plan() (*plan, error) {
	p := &plan{target: findTarget(s.Target.Text), limit: defaultLimit}
	if p.target == nil {
		return nil, expectedError(s.Target, "a table: %s", strings.Join(TableNames(), ", "))
	}
	seen := make(map[string]bool)
	for _, clause := range s.Clauses {
		name, err := p.addClause(clause)
		if err != nil {
			return nil, err
		}
		if seen[name] {
			return nil, expectedError(Value{Pos: clause.Pos, Text: name}, "each clause once")
		}
		seen[name] = true
	}
	return p, p.target.check(p)
}

// addClause adds a clause to the plan and returns its keyword.
func (p *plan) addClause(clause *Clause) (name string, err error) {
	switch {
	case clause.Where != nil:
		p.where = clause.Where
		return "where", nil
	case clause.Columns != nil:
		p.columns = clause.Columns
		return "columns", nil
	case clause.Since != nil:
		p.since = clause.Since
		_, err = parseTime(*clause.Since, time.Time{})
		return "since", err
	case clause.Until != nil:
		p.until = clause.Until
		_, err = parseTime(*clause.Until, time.Time{})
		return "until", err
	case clause.By != nil:
		p.by = clause.By
		return "by", nil
	case clause.Per != nil:
		return "per", p.setPer(*clause.Per)
	case clause.Order != nil:
		p.order = clause.Order
		return "order", nil
	default:
		return "limit", p.setLimit(*clause.Limit)
	}
}

func (p *plan) setPer(value Value) error {
	per, err := parseDuration(value)
	if err == nil && per.Std() < time.Second {
		return expectedError(value, "1s or more")
	}
	p.per, p.perValue = per.Std(), value
	return err
}

func (p *plan) setLimit(value Value) error {
	limit, err := parseCount(value)
	if err != nil || limit < 1 || limit > maxLimit {
		return expectedError(value, "a whole number from 1 to %d", maxLimit)
	}
	p.limit = limit
	return nil
}

// TimeRange is a half-open time range: From is included, Until is not.
type TimeRange struct {
	From  time.Time
	Until time.Time
}

func (p *plan) timeRange(now time.Time) (TimeRange, error) {
	r := TimeRange{From: now.Add(-p.target.lookback()), Until: now}
	var err error
	if p.since != nil {
		r.From, err = parseTime(*p.since, now)
	}
	if err == nil && p.until != nil {
		r.Until, err = parseTime(*p.until, now)
	}
	if err != nil {
		return r, err
	}
	if !r.From.Before(r.Until) {
		value := cmp.Or(p.since, p.until, &Value{})
		return r, expectedError(*value, "a time range that ends after it begins")
	}
	return r, nil
}

// RecordTimeRange returns the time range of the record entries that the query reads, and
// whether it reads any.
func (s *Statement) RecordTimeRange(now time.Time) (TimeRange, bool, error) {
	if s.Show == nil {
		return TimeRange{}, false, nil
	}
	p, err := s.Show.plan()
	if err != nil || !p.target.readsRecord() {
		return TimeRange{}, false, addPosition(s.Text, err)
	}
	r, err := p.timeRange(now)
	return r, true, addPosition(s.Text, err)
}

// column is one column of a table over rows of type T.
type column[T any] struct {
	name string
	kind ColumnKind
	// allowed lists the allowed texts; if it is empty, any text is allowed.
	allowed []string
	get     func(*T) Cell
}

// table is a queryTarget with rows of type T.
type table[T any] struct {
	columns []column[T]
	// defaultColumns names the columns that an ungrouped query shows by default.
	defaultColumns []string
	// sumColumns names the columns that a grouped query sums. percentileColumns names
	// those of which it computes percentiles.
	sumColumns        []string
	percentileColumns []string
	// order names the column that rows are sorted by unless the query has an order.
	order     string
	orderDesc bool
	// defaultLookback is how far back a query without since reads.
	defaultLookback time.Duration
	// isLive is set if the rows come from the live state rather than the record.
	isLive bool
	rows   func(e *execution, yield func(*T) bool) error
}

func (t *table[T]) lookback() time.Duration { return t.defaultLookback }

func (t *table[T]) readsRecord() bool { return !t.isLive }

func (t *table[T]) columnNames() []string {
	names := make([]string, len(t.columns))
	for i, column := range t.columns {
		names[i] = column.name
	}
	return names
}

// columnByName returns the column with the given name, or nil.
func (t *table[T]) columnByName(name string) *column[T] {
	index := slices.IndexFunc(t.columns, func(c column[T]) bool { return c.name == name })
	if index < 0 {
		return nil
	}
	return &t.columns[index]
}

// resolveColumn returns the column that value names, or an error that lists the columns.
func (t *table[T]) resolveColumn(value Value) (*column[T], error) {
	found := t.columnByName(value.Text)
	if found == nil {
		return nil, expectedError(value, "a column: %s", strings.Join(t.columnNames(), ", "))
	}
	return found, nil
}

func (t *table[T]) check(p *plan) error {
	if _, err := t.compile(p.where, time.Time{}); err != nil {
		return err
	}
	for _, value := range slices.Concat(p.by, p.columns) {
		if _, err := t.resolveColumn(value); err != nil {
			return err
		}
	}
	if p.isGrouped() && len(p.columns) > 0 {
		return expectedError(p.columns[0], "no columns beside by or per: a grouped table has its own")
	}
	if p.per > 0 && t.columnByName("time") == nil {
		return expectedError(p.perValue, "no per: the table has no column time")
	}
	if p.order == nil {
		return nil
	}
	columns := t.outputColumns(p)
	if !slices.ContainsFunc(columns, func(c Column) bool { return c.Name == p.order.Column.Text }) && !t.ordersByHiddenColumn(p) {
		names := make([]string, len(columns))
		for i, column := range columns {
			names[i] = column.Name
		}
		return expectedError(p.order.Column, "a column: %s", strings.Join(names, ", "))
	}
	return nil
}

// ordersByHiddenColumn reports whether an ungrouped query is sorted by a column of the
// table, which need not be shown.
func (t *table[T]) ordersByHiddenColumn(p *plan) bool {
	return !p.isGrouped() && t.columnByName(p.order.Column.Text) != nil
}

// shownColumns returns the names of the columns that an ungrouped query shows.
func (t *table[T]) shownColumns(p *plan) []string {
	if len(p.columns) == 0 {
		return t.defaultColumns
	}
	names := make([]string, len(p.columns))
	for i, column := range p.columns {
		names[i] = column.Text
	}
	return names
}

func (p *plan) isGrouped() bool { return len(p.by) > 0 || p.per > 0 }
