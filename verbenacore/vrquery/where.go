package vrquery

import (
	"slices"
	"strings"
	"time"
)

type test[T any] func(*T) bool

// compile turns a condition into a function. A nil condition is always true.
func (t *table[T]) compile(where *Or, now time.Time) (test[T], error) {
	if where == nil {
		return func(*T) bool { return true }, nil
	}
	return t.or(where, now)
}

func (t *table[T]) or(where *Or, now time.Time) (test[T], error) {
	parts := make([]test[T], len(where.Parts))
	for i, part := range where.Parts {
		var err error
		if parts[i], err = t.and(part, now); err != nil {
			return nil, err
		}
	}
	return func(row *T) bool {
		return slices.ContainsFunc(parts, func(part test[T]) bool { return part(row) })
	}, nil
}

func (t *table[T]) and(and *And, now time.Time) (test[T], error) {
	parts := make([]test[T], len(and.Parts))
	for i, part := range and.Parts {
		var err error
		if parts[i], err = t.term(part, now); err != nil {
			return nil, err
		}
	}
	return func(row *T) bool {
		return !slices.ContainsFunc(parts, func(part test[T]) bool { return !part(row) })
	}, nil
}

func (t *table[T]) term(term *Term, now time.Time) (test[T], error) {
	switch {
	case term.Not != nil:
		inner, err := t.term(term.Not, now)
		if err != nil {
			return nil, err
		}
		return func(row *T) bool { return !inner(row) }, nil
	case term.Group != nil:
		return t.or(term.Group, now)
	default:
		return t.comparison(term.Comparison, now)
	}
}

func (t *table[T]) comparison(c *Comparison, now time.Time) (test[T], error) {
	column, err := t.column(c.Column)
	if err != nil {
		return nil, err
	}
	get := column.get
	if len(c.In) > 0 {
		return t.in(column, c.In, now)
	}
	if c.Op == "~" {
		part := strings.ToLower(c.Value.Text)
		if column.kind != KindText {
			return nil, expect(c.Column, "a column of texts before ~")
		}
		return func(row *T) bool { return strings.Contains(strings.ToLower(get(row).Text), part) }, nil
	}
	want, err := column.read(*c.Value, now)
	if err != nil {
		return nil, err
	}
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

func (t *table[T]) in(column *column[T], values []Value, now time.Time) (test[T], error) {
	wanted := make([]Cell, len(values))
	for i, value := range values {
		var err error
		if wanted[i], err = column.read(value, now); err != nil {
			return nil, err
		}
	}
	get := column.get
	return func(row *T) bool { return slices.Contains(wanted, get(row)) }, nil
}

// read turns a written value into a cell of the column.
func (c *column[T]) read(value Value, now time.Time) (Cell, error) {
	switch c.kind {
	case KindNumber:
		number, err := numberOf(value)
		return numberCell(number), err
	case KindDuration:
		duration, err := durationOf(value)
		return numberCell(duration.Std().Seconds()), err
	case KindBytes:
		amount, err := bytesOf(value)
		return numberCell(int64(amount)), err
	case KindTime:
		at, err := timeOf(value, now)
		return millisCell(at.UnixMilli()), err
	case KindText:
	}
	if len(c.allowed) > 0 && !slices.Contains(c.allowed, value.Text) && value.Text != "" {
		return Cell{}, expect(value, "one of %s", strings.Join(c.allowed, ", "))
	}
	return textCell(value.Text), nil
}
