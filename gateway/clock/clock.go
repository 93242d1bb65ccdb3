// Package clock reads the clock that goes on while the machine is suspended. Ages
// that bound what may still be trusted are measured with it: after a suspension
// the usual monotonic clock would make old knowledge look fresh.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine's start, suspensions included. A kernel
// without this clock ends the process, as nothing could be trusted without it.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(now.Nano())
}
