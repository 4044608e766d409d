// Package agateclock reads a clock that goes on while the host is suspended.
// Leases and deadlines need it: the ordinary monotonic clock stands still
// then, so they would last for longer than other hosts count them.
package agateclock

import "time"

var processStart = time.Now()
