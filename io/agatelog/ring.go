package agatelog

import (
	"slices"
	"sync"
	"time"
)

// ring keeps the newest decisions. Routine decisions have their own ring, so
// that they do not displace refusals and actions.
type ring struct {
	mu    sync.Mutex
	slots []Decision
	next  int
	full  bool
}

func newRing(size int) *ring { return &ring{slots: make([]Decision, size)} }

// maxConsidered bounds the candidates that a slot keeps.
const maxConsidered = 32

// add copies a decision into the oldest slot and reuses that slot's memory.
func (r *ring) add(d *Decision, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slot := &r.slots[r.next]
	list := slot.Considered[:0]
	*slot = *d
	slot.Time = at
	slot.Considered = append(list, d.Considered[:min(len(d.Considered), maxConsidered)]...)
	r.next++
	if r.next == len(r.slots) {
		r.next, r.full = 0, true
	}
}

// find returns copies of a request's decisions, the oldest first.
func (r *ring) find(request string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Decision
	if r.full {
		list = appendOf(list, r.slots[r.next:], request)
	}
	return appendOf(list, r.slots[:r.next], request)
}

func appendOf(list, slots []Decision, request string) []Decision {
	for i := range slots {
		if slots[i].Request != request {
			continue
		}
		d := slots[i]
		d.Considered = slices.Clone(d.Considered)
		list = append(list, d)
	}
	return list
}
