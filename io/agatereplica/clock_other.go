//go:build !linux

package agatereplica

import "time"

var processStart = time.Now()

// bootTime returns the time since the process started.
func bootTime() time.Duration { return time.Since(processStart) }
