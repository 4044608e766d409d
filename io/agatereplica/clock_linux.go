package agatereplica

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// bootTime returns the time since boot, including the time for which the host
// was suspended: a lease must not outlive a suspension.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
