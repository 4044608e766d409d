// Package agateclock provides a monotonic clock that keeps running while the
// host is suspended. Leases and deadlines need it: the ordinary monotonic
// clock stops during suspension, so they would expire later than other hosts
// expect. On systems other than Linux, this clock may stop too.
package agateclock

import "time"

var processStart = time.Now()
