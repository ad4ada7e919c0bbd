package vrplace

import "time"

const (
	// regularHalfLife is how fast the memory of regular use fades.
	regularHalfLife = 10 * time.Second
	// regularPause separates two uses that count; requests of one moment are one use.
	regularPause = 500 * time.Millisecond
	// regularGuard is the regularity from which a lower rank can't evict a replica. A
	// single burst stays below it, and use in each second holds for 25 s.
	regularGuard = 2.5
)

// regularity counts separate uses, fading with time. A flood of a lower rank would turn
// warm urgent models into cold ones without it.
type regularity struct {
	uses float64
	at   time.Time
}

func (r *regularity) now(now time.Time) float64 {
	return r.uses * exp2(-float64(now.Sub(r.at))/float64(regularHalfLife))
}

func (r *regularity) note(now time.Time) {
	if !r.at.IsZero() && now.Sub(r.at) < regularPause {
		return
	}
	if !r.at.IsZero() {
		r.uses = r.now(now)
	}
	r.uses++
	r.at = now
}

// guards reports whether the use is too regular for an eviction by a lower rank.
func (r *regularity) guards(now time.Time) bool {
	return !r.at.IsZero() && r.now(now) >= regularGuard
}
