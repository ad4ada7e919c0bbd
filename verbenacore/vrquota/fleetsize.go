package vrquota

import "time"

// sizeHold is how long the larger number of daemons stays in use after the number has fallen. Daemons list
// each other every 7.5 s at most, and those with the larger number own smaller parts meanwhile.
const sizeHold = 30 * time.Second

// fleetSize is the number of parts that a quota is divided into: the largest number of registered daemons
// that was known within sizeHold. With a smaller one the parts of daemons that do not know yet of a change
// would add up to more than the quota.
type fleetSize struct {
	// listed is the number in the last list, held the largest one, which was known last at heldAt.
	listed, held uint32
	heldAt       time.Time
}

// setListed records the number of daemons in a list.
func (f *fleetSize) setListed(now time.Time, count uint32) {
	if f.listed >= f.held {
		// The former list was in force until now.
		f.held, f.heldAt = f.listed, now
	}
	f.listed = count
	f.observe(now, count)
}

// observe records a number that another daemon has listed.
func (f *fleetSize) observe(now time.Time, count uint32) {
	if count >= f.held {
		f.held, f.heldAt = count, now
	}
}

// parts returns the number of parts.
func (f *fleetSize) parts(now time.Time) uint32 {
	if f.held > f.listed && now.Sub(f.heldAt) > sizeHold {
		f.held, f.heldAt = f.listed, now
	}
	return max(f.held, f.listed)
}
