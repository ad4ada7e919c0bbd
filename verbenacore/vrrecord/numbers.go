package vrrecord

import (
	"slices"
	"sort"
)

// Span is a range of entry numbers, both ends included.
type Span struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// Len returns the number of entry numbers in the span.
func (s Span) Len() uint64 { return s.Last - s.First + 1 }

// NumberSet is a set of entry numbers, stored as sorted spans that are neither adjacent
// nor overlapping. Entry numbers arrive nearly in order, so a few spans hold millions of
// them.
type NumberSet struct {
	spans []Span
}

// Add adds the numbers from first to last to the set.
func (n *NumberSet) Add(first, last uint64) {
	if last < first {
		return
	}
	from := sort.Search(len(n.spans), func(i int) bool { return n.spans[i].Last+1 >= first })
	to := from
	merged := Span{First: first, Last: last}
	for to < len(n.spans) && n.spans[to].First <= last+1 {
		merged.First = min(merged.First, n.spans[to].First)
		merged.Last = max(merged.Last, n.spans[to].Last)
		to++
	}
	n.spans = slices.Replace(n.spans, from, to, merged)
}

// Has reports whether every number from first to last is in the set.
func (n *NumberSet) Has(first, last uint64) bool {
	i := sort.Search(len(n.spans), func(i int) bool { return n.spans[i].Last >= last })
	return i < len(n.spans) && n.spans[i].First <= first
}

// Missing returns the numbers from first to last that are not in the set.
func (n *NumberSet) Missing(first, last uint64) []Span {
	var missing []Span
	next := first
	for _, span := range n.spans {
		if span.Last < next {
			continue
		}
		if span.First > last {
			break
		}
		if span.First > next {
			missing = append(missing, Span{First: next, Last: span.First - 1})
		}
		next = span.Last + 1
	}
	if next <= last {
		missing = append(missing, Span{First: next, Last: last})
	}
	return missing
}

// Spans returns the set's spans in order. The slice must not be changed.
func (n *NumberSet) Spans() []Span { return n.spans }

// LastContiguous returns the last number of the contiguous range that begins at after+1,
// or after if the set does not have after+1.
func (n *NumberSet) LastContiguous(after uint64) uint64 {
	for _, span := range n.spans {
		if span.First <= after+1 && span.Last > after {
			return span.Last
		}
	}
	return after
}

// Last returns the highest number, or 0 if the set is empty.
func (n *NumberSet) Last() uint64 {
	if len(n.spans) == 0 {
		return 0
	}
	return n.spans[len(n.spans)-1].Last
}
