// Package agateclock reads a clock that goes on while the host is suspended.
// Leases and deadlines need it: the ordinary monotonic clock stands still
// then, so they would last for longer than other hosts count them.
package agateclock

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Now returns the time since boot, the time of suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
