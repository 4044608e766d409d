package agateclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including time spent suspended. If the
// system has no such clock, it returns the time since the process started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
