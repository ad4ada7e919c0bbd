package vrcampaign

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// Kind is the kind of an action.
type Kind interface {
	~uint8
	fmt.Stringer
}

// Action is one random step of a plan. A, B and C select its target and its severity.
type Action[K Kind] struct {
	Kind    K
	A, B, C int
	// Lasts is the duration of a fault, Wait the time until the next action.
	Lasts time.Duration
	Wait  time.Duration
}

// String returns the line that a trace shows for the action.
func (a Action[K]) String() string {
	return fmt.Sprintf("%s %d %d %d lasts %s, wait %s", a.Kind, a.A, a.B, a.C, a.Lasts, a.Wait)
}

// ActionGenerator configures the generation of random actions.
type ActionGenerator[K Kind] struct {
	// Kinds lists the kinds to draw from. A kind that is listed more often is drawn more often.
	Kinds []K
	// LastUnmuted is the last kind that is never muted. Replacement replaces the muted kinds.
	LastUnmuted, Replacement K
	// Durations lists the durations of faults to draw from.
	Durations []time.Duration
}

// ExpandWeights lists each kind below count as many times as its weight. The weights have to keep the
// daemons busy with requests and let faults overlap.
func ExpandWeights[K Kind](count K, weights map[K]int) []K {
	var kinds []K
	for kind := range count {
		for range weights[kind] {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// _selectors is a slice because rapid samples a slice evenly, while its integer ranges prefer
// small numbers. Its length has many divisors, so that modulo the number of targets every
// target is selected equally often.
var _selectors = func() []int {
	selectors := make([]int, 5040)
	for i := range selectors {
		selectors[i] = i
	}
	return selectors
}()

var _waits = []time.Duration{
	0, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond,
}

// Actions returns a generator of single actions. muted is a bit mask of kinds; those above
// Calm are replaced by Instead, because plans with few kinds of faults reach other states
// than plans with all of them. The selectors are later reduced modulo the number of targets.
func (d ActionGenerator[K]) Actions(muted uint64) *rapid.Generator[Action[K]] {
	return rapid.Custom(func(t *rapid.T) Action[K] {
		kind := rapid.SampledFrom(d.Kinds).Draw(t, "kind")
		if kind > d.LastUnmuted && muted&(1<<kind) != 0 {
			kind = d.Replacement
		}
		return Action[K]{
			Kind:  kind,
			A:     rapid.SampledFrom(_selectors).Draw(t, "a"),
			B:     rapid.SampledFrom(_selectors).Draw(t, "b"),
			C:     rapid.SampledFrom(_selectors[:10]).Draw(t, "c"),
			Lasts: rapid.SampledFrom(d.Durations).Draw(t, "lasts"),
			Wait:  rapid.SampledFrom(_waits).Draw(t, "wait"),
		}
	})
}

// DrawMuted draws the bit mask of the kinds that a plan mutes: none, a random subset, or all but
// up to three.
func (d ActionGenerator[K]) DrawMuted(t *rapid.T) uint64 {
	randomMask := rapid.Uint64().Draw(t, "some")
	switch rapid.IntRange(0, 3).Draw(t, "themes") {
	case 0:
		return 0
	case 1:
		return randomMask
	default:
		included := uint64(0)
		for range 3 {
			included |= 1 << rapid.SampledFrom(d.Kinds).Draw(t, "kept")
		}
		return ^included
	}
}

// Pick returns the target that a selector selects, or false if there are no targets.
func Pick[T any](from []T, selector int) (T, bool) {
	if len(from) == 0 {
		var none T
		return none, false
	}
	return from[selector%len(from)], true
}
