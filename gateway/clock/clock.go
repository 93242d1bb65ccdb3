// Package clock reads the monotonic clock that continues while the machine is suspended. It
// measures ages that decide whether state may still be trusted: after a suspension, the
// usual monotonic clock would make stale state look fresh.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine booted, including suspensions. It panics if the
// kernel lacks this clock, as no age could be trusted without it.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(now.Nano())
}
