package vrquery

import (
	"slices"
	"strings"
	"time"
)

// predicate reports whether a row matches a condition.
type predicate[T any] func(*T) bool

// compile turns a condition into a predicate. A nil condition matches every row. Times
// in the condition can be relative to now.
func (t *table[T]) compile(where *Or, now time.Time) (predicate[T], error) {
	if where == nil {
		return func(*T) bool { return true }, nil
	}
	return t.compileOr(where, now)
}

func (t *table[T]) compileOr(where *Or, now time.Time) (predicate[T], error) {
	parts := make([]predicate[T], len(where.Parts))
	for i, part := range where.Parts {
		var err error
		if parts[i], err = t.compileAnd(part, now); err != nil {
			return nil, err
		}
	}
	return func(row *T) bool {
		return slices.ContainsFunc(parts, func(part predicate[T]) bool { return part(row) })
	}, nil
}

func (t *table[T]) compileAnd(and *And, now time.Time) (predicate[T], error) {
	parts := make([]predicate[T], len(and.Parts))
	for i, part := range and.Parts {
		var err error
		if parts[i], err = t.compileTerm(part, now); err != nil {
			return nil, err
		}
	}
	return func(row *T) bool {
		return !slices.ContainsFunc(parts, func(part predicate[T]) bool { return !part(row) })
	}, nil
}

func (t *table[T]) compileTerm(term *Term, now time.Time) (predicate[T], error) {
	switch {
	case term.Not != nil:
		inner, err := t.compileTerm(term.Not, now)
		if err != nil {
			return nil, err
		}
		return func(row *T) bool { return !inner(row) }, nil
	case term.Group != nil:
		return t.compileOr(term.Group, now)
	default:
		return t.compileComparison(term.Comparison, now)
	}
}

func (t *table[T]) compileComparison(c *Comparison, now time.Time) (predicate[T], error) {
	column, err := t.resolveColumn(c.Column)
	if err != nil {
		return nil, err
	}
	get := column.get
	if len(c.In) > 0 {
		return t.compileIn(column, c.In, now)
	}
	if c.Op == "~" {
		substring := strings.ToLower(c.Value.Text)
		if column.kind != KindText {
			return nil, expectedError(c.Column, "a column of texts before ~")
		}
		return func(row *T) bool { return strings.Contains(strings.ToLower(get(row).Text), substring) }, nil
	}
	want, err := column.parseCell(*c.Value, now)
	if err != nil {
		return nil, err
	}
	// Cells without a value sort first, so < and <= have to exclude them.
	switch c.Op {
	case "=":
		return func(row *T) bool { return get(row) == want }, nil
	case "!=":
		return func(row *T) bool { return get(row) != want }, nil
	case "<":
		return func(row *T) bool { return isSet(get(row)) && get(row).compare(want) < 0 }, nil
	case "<=":
		return func(row *T) bool { return isSet(get(row)) && get(row).compare(want) <= 0 }, nil
	case ">":
		return func(row *T) bool { return get(row).compare(want) > 0 }, nil
	default:
		return func(row *T) bool { return get(row).compare(want) >= 0 }, nil
	}
}

func isSet(cell Cell) bool { return cell.IsSet }

func (t *table[T]) compileIn(column *column[T], values []Value, now time.Time) (predicate[T], error) {
	wanted := make([]Cell, len(values))
	for i, value := range values {
		var err error
		if wanted[i], err = column.parseCell(value, now); err != nil {
			return nil, err
		}
	}
	get := column.get
	return func(row *T) bool { return slices.Contains(wanted, get(row)) }, nil
}

// parseCell parses a value of a statement as a cell of the column.
func (c *column[T]) parseCell(value Value, now time.Time) (Cell, error) {
	switch c.kind {
	case KindNumber:
		number, err := parseNumber(value)
		return numberCell(number), err
	case KindDuration:
		duration, err := parseDuration(value)
		return numberCell(duration.Std().Seconds()), err
	case KindBytes:
		amount, err := parseBytes(value)
		return numberCell(int64(amount)), err
	case KindTime:
		parsed, err := parseTime(value, now)
		return millisCell(parsed.UnixMilli()), err
	case KindText:
	}
	if len(c.allowed) > 0 && !slices.Contains(c.allowed, value.Text) && value.Text != "" {
		return Cell{}, expectedError(value, "one of %s", strings.Join(c.allowed, ", "))
	}
	return textCell(value.Text), nil
}
