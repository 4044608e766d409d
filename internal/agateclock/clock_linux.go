package agateclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, the time of suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
