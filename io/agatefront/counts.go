package agatefront

import (
	"sync/atomic"
	"time"

	"agategate/io/agatemetrics"
)

// counts are the host's counters since its start.
type counts struct {
	requests   atomic.Int64
	retries    atomic.Int64
	unreadable atomic.Int64
	turned     atomic.Int64 // connections beyond the bound
	served     atomic.Int64
	refused    atomic.Int64
	failed     atomic.Int64
}

func (c *counts) publish(*agatemetrics.Set) {}

// answer counts one answer.
func (c *counts) answer(r *reply, _ time.Duration) {
	switch {
	case r.status < 400:
		c.served.Add(1)
	case promises(r.status):
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}
