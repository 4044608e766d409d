//go:build !linux

package agateclock

import "time"

// Now returns the time since the process started. It may exclude time spent
// suspended.
func Now() time.Duration { return time.Since(processStart) }
