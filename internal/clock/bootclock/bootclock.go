// Package bootclock reads the time since boot. Unlike the monotonic clock that
// the Go runtime uses, it keeps counting while the VM is suspended. Ages that
// bound a lease are measured with it.
package bootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including time in suspend.
func Now() time.Duration { return readClock(unix.CLOCK_BOOTTIME) }

// Monotonic returns the time since boot, excluding time in suspend.
func Monotonic() time.Duration { return readClock(unix.CLOCK_MONOTONIC) }

// Suspended returns how long the VM has been suspended since boot.
func Suspended() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
}

func readClock(clock int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		panic(fmt.Sprintf("clock %d cannot be read: %v", clock, err))
	}
	return time.Duration(ts.Nano())
}
