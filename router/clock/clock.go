// Package clock reads a clock that also counts the time in which the machine was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Func returns the time since an arbitrary start. The time of day may jump and
// Go's monotonic clock stands still while a machine is suspended, so neither
// can prove how old a fact is.
type Func func() time.Duration

// Boot reads CLOCK_BOOTTIME.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had the clock since 2.6.39; without it no age can be proved.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
