// Package bootclock reads the time since boot, which unlike the steady clock of
// the runtime goes on while the VM is suspended. Ages that bound a lease are
// measured with it.
package bootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot.
func Now() time.Duration { return read(unix.CLOCK_BOOTTIME) }

// Steady returns the time since boot without the time that the VM was suspended.
func Monotonic() time.Duration { return read(unix.CLOCK_MONOTONIC) }

// Suspended returns for how long the VM was suspended since boot.
func Suspended() time.Duration { return read(unix.CLOCK_BOOTTIME) - read(unix.CLOCK_MONOTONIC) }

func read(clock int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		panic(fmt.Sprintf("clock %d cannot be read: %v", clock, err))
	}
	return time.Duration(ts.Nano())
}
