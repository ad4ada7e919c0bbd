package vrnode

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time since the boot of the machine (CLOCK_BOOTTIME). Unlike the monotonic
// clock it also advances while the machine is suspended, and unlike the wall clock it never
// jumps, so the age of a lease that is measured with it is always correct.
type Clock struct{}

// Now returns the time since boot as a time after the Unix epoch. Only differences between
// two values are meaningful.
func (Clock) Now() time.Time {
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		return time.Now()
	}
	return time.Unix(sinceBoot.Sec, sinceBoot.Nsec)
}
