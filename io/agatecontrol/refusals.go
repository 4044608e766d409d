package agatecontrol

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// refusalQuiet is the time without a refusal after which the next one for the same
	// writer and reason is logged again.
	refusalQuiet = 10 * time.Minute
	// maxRefusals bounds the writers and reasons that are recorded. The record is
	// cleared when it is full.
	maxRefusals = 1024
)

// refusals records whose announcements were refused, and why, so that each writer is
// logged once for a reason. The zero value has no records. It is safe for concurrent
// use.
type refusals struct {
	mu   sync.Mutex
	last map[refusal]time.Time
}

type refusal struct {
	writer netip.Addr
	reason string
}

// first records a refusal and reports whether it is to be logged.
func (r *refusals) first(writer netip.Addr, reason string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil || len(r.last) >= maxRefusals {
		r.last = make(map[refusal]time.Time)
	}
	key := refusal{writer, reason}
	last, known := r.last[key]
	r.last[key] = now
	return !known || now.Sub(last) > refusalQuiet
}
