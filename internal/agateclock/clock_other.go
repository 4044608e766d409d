//go:build !linux

package agateclock

import "time"

// Now returns the time since the process started.
func Now() time.Duration { return time.Since(processStart) }
