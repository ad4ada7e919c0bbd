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
	// maxGroups bounds the memory of a grouped query: each group holds histograms of
	// about 20 KB.
	maxGroups    = 1000
	defaultSince = time.Hour
)

// plan is a query whose parts are checked.
type plan struct {
	target target
	where  *Or
	since  *Value
	until  *Value
	by     []Value
	// columns replace the table's standard columns.
	columns []Value
	per     time.Duration
	perAt   Value
	order   *Order
	limit   int
}

// target is a table that can be queried.
type target interface {
	// check finds mistakes in a plan that need no data.
	check(p *plan) error
	run(p *plan, r *runner) (*Table, error)
	// names lists the columns.
	names() []string
	// lookback is how far a query without since reads.
	lookback() time.Duration
	// readsRecord reports whether the table is made from the record.
	readsRecord() bool
}

// Targets lists the tables in the order in which help shows them.
func Targets() []string {
	return []string{
		"requests", "refused", "loads", "history", "gaps", "burn", "idle",
		"replicas", "servers", "daemons", "zones", "models", "ranks",
	}
}

// ColumnsOf lists the columns of a table, nil for an unknown one.
func ColumnsOf(name string) []string {
	found := targetOf(name)
	if found == nil {
		return nil
	}
	return found.names()
}

func (s *Show) plan() (*plan, error) {
	p := &plan{target: targetOf(s.Target.Text), limit: defaultLimit}
	if p.target == nil {
		return nil, expect(s.Target, "a table: %s", strings.Join(Targets(), ", "))
	}
	seen := make(map[string]bool)
	for _, clause := range s.Clauses {
		name, err := p.take(clause)
		if err != nil {
			return nil, err
		}
		if seen[name] {
			return nil, expect(Value{Pos: clause.Pos, Text: name}, "each clause once")
		}
		seen[name] = true
	}
	return p, p.target.check(p)
}

func (p *plan) take(clause *Clause) (name string, err error) {
	switch {
	case clause.Where != nil:
		p.where = clause.Where
		return "where", nil
	case clause.Columns != nil:
		p.columns = clause.Columns
		return "columns", nil
	case clause.Since != nil:
		p.since = clause.Since
		_, err = timeOf(*clause.Since, time.Time{})
		return "since", err
	case clause.Until != nil:
		p.until = clause.Until
		_, err = timeOf(*clause.Until, time.Time{})
		return "until", err
	case clause.By != nil:
		p.by = clause.By
		return "by", nil
	case clause.Per != nil:
		return "per", p.takePer(*clause.Per)
	case clause.Order != nil:
		p.order = clause.Order
		return "order", nil
	default:
		return "limit", p.takeLimit(*clause.Limit)
	}
}

func (p *plan) takePer(value Value) error {
	per, err := durationOf(value)
	if err == nil && per.Std() < time.Second {
		return expect(value, "1s or more")
	}
	p.per, p.perAt = per.Std(), value
	return err
}

func (p *plan) takeLimit(value Value) error {
	limit, err := countOf(value)
	if err != nil || limit < 1 || limit > maxLimit {
		return expect(value, "a whole number from 1 to %d", maxLimit)
	}
	p.limit = limit
	return nil
}

// Range is a span of time, From included and Until excluded.
type Range struct {
	From  time.Time
	Until time.Time
}

func (p *plan) timeRange(now time.Time) (Range, error) {
	r := Range{From: now.Add(-p.target.lookback()), Until: now}
	var err error
	if p.since != nil {
		r.From, err = timeOf(*p.since, now)
	}
	if err == nil && p.until != nil {
		r.Until, err = timeOf(*p.until, now)
	}
	if err != nil {
		return r, err
	}
	if !r.From.Before(r.Until) {
		at := cmp.Or(p.since, p.until, &Value{})
		return r, expect(*at, "a time range that ends after it begins")
	}
	return r, nil
}

// ReadsRecord reports whether the query reads record entries, and of which time.
func (s *Statement) ReadsRecord(now time.Time) (Range, bool, error) {
	if s.Show == nil {
		return Range{}, false, nil
	}
	p, err := s.Show.plan()
	if err != nil || !p.target.readsRecord() {
		return Range{}, false, locate(s.Text, err)
	}
	r, err := p.timeRange(now)
	return r, true, locate(s.Text, err)
}

// column is one column of a table over rows of type T.
type column[T any] struct {
	name string
	kind ColumnKind
	// allowed lists the possible texts of a column; empty allows any.
	allowed []string
	get     func(*T) Cell
}

// table is a target over rows of type T.
type table[T any] struct {
	columns []column[T]
	// standard names the columns of a query without by.
	standard []string
	// sums and spreads name the columns that a grouped query adds up and of which it
	// shows percentiles.
	sums    []string
	spreads []string
	// order is the default order.
	order string
	desc  bool
	back  time.Duration
	state bool
	rows  func(r *runner, yield func(*T) bool) error
}

func (t *table[T]) lookback() time.Duration { return t.back }

func (t *table[T]) readsRecord() bool { return !t.state }

func (t *table[T]) names() []string {
	names := make([]string, len(t.columns))
	for i, column := range t.columns {
		names[i] = column.name
	}
	return names
}

func (t *table[T]) find(name string) *column[T] {
	at := slices.IndexFunc(t.columns, func(c column[T]) bool { return c.name == name })
	if at < 0 {
		return nil
	}
	return &t.columns[at]
}

func (t *table[T]) column(value Value) (*column[T], error) {
	found := t.find(value.Text)
	if found == nil {
		return nil, expect(value, "a column: %s", strings.Join(t.names(), ", "))
	}
	return found, nil
}

func (t *table[T]) check(p *plan) error {
	if _, err := t.compile(p.where, time.Time{}); err != nil {
		return err
	}
	for _, named := range slices.Concat(p.by, p.columns) {
		if _, err := t.column(named); err != nil {
			return err
		}
	}
	if p.grouped() && len(p.columns) > 0 {
		return expect(p.columns[0], "no columns beside by or per: a grouped table has its own")
	}
	if p.per > 0 && t.find("time") == nil {
		return expect(p.perAt, "no per: the table has no column time")
	}
	if p.order == nil {
		return nil
	}
	heads := t.heads(p)
	if !slices.ContainsFunc(heads, func(c Column) bool { return c.Name == p.order.Column.Text }) && !t.ordersUngrouped(p) {
		names := make([]string, len(heads))
		for i, head := range heads {
			names[i] = head.Name
		}
		return expect(p.order.Column, "a column: %s", strings.Join(names, ", "))
	}
	return nil
}

// ordersUngrouped allows an order by a column that is not shown.
func (t *table[T]) ordersUngrouped(p *plan) bool {
	return !p.grouped() && t.find(p.order.Column.Text) != nil
}

// shown names the columns of a table that is not grouped.
func (t *table[T]) shown(p *plan) []string {
	if len(p.columns) == 0 {
		return t.standard
	}
	names := make([]string, len(p.columns))
	for i, column := range p.columns {
		names[i] = column.Text
	}
	return names
}

func (p *plan) grouped() bool { return len(p.by) > 0 || p.per > 0 }
