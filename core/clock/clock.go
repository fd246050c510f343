// Package clock reads a monotonic clock that also counts the time in which the machine was
// suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Func returns the time since an arbitrary fixed start. It is used for the age of data:
// the time of day may jump, and Go's monotonic clock stands still while the machine is
// suspended, so an age by either may be too small.
type Func func() time.Duration

// Boot reads CLOCK_BOOTTIME, the time since the machine was booted. It panics if the
// system lacks that clock.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had the clock since 2.6.39. Without it no age can be computed safely.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
