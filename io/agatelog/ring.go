package agatelog

import (
	"slices"
	"sync"
	"time"
)

// ring is a ring buffer of the most recent decisions. Routine decisions have a
// separate ring, so that they do not displace refusals and actions.
type ring struct {
	mu       sync.Mutex
	slots    []Decision
	nextSlot int
	full     bool
}

func newRing(size int) *ring { return &ring{slots: make([]Decision, size)} }

// maxStoredCandidates limits the candidates stored per decision.
const maxStoredCandidates = 32

// add copies a decision into the oldest slot and reuses the slot's candidate
// slice, so that it does not allocate once the slice has grown.
func (r *ring) add(d *Decision, t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slot := &r.slots[r.nextSlot]
	list := slot.Candidates[:0]
	*slot = *d
	slot.Time = t
	slot.Candidates = append(list, d.Candidates[:min(len(d.Candidates), maxStoredCandidates)]...)
	r.nextSlot++
	if r.nextSlot == len(r.slots) {
		r.nextSlot, r.full = 0, true
	}
}

// find returns copies of the decisions of a request in the order of recording.
func (r *ring) find(request string) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Decision
	if r.full {
		list = appendMatching(list, r.slots[r.nextSlot:], request)
	}
	return appendMatching(list, r.slots[:r.nextSlot], request)
}

func appendMatching(list, slots []Decision, request string) []Decision {
	for i := range slots {
		if slots[i].Request != request {
			continue
		}
		d := slots[i]
		d.Candidates = slices.Clone(d.Candidates)
		list = append(list, d)
	}
	return list
}
