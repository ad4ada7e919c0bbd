package vrnode

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time since the boot of the machine. Unlike the steady clock it counts
// while the machine is suspended, and unlike the time of day it never jumps, so a lease
// that is checked with it looks as old as it is.
type Clock struct{}

// Now returns the time since boot as a time after the epoch; only differences count.
func (Clock) Now() time.Time {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return time.Now()
	}
	return time.Unix(at.Sec, at.Nsec)
}
