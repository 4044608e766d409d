package agatecontrol

import (
	"sync"
	"time"
)

// memberTimes remembers when replicas were last heard. It is safe for
// concurrent use.
type memberTimes struct {
	mu    sync.Mutex
	last  map[uint64]time.Time
	term  uint64
	since time.Time // when silent was first asked in this term
	led   time.Time // when this replica last knew a leader
}

// heard notes a message of a replica.
func (t *memberTimes) heard(id uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last == nil {
		t.last = make(map[uint64]time.Time)
	}
	t.last[id] = now
}

// silent reports whether a replica sent nothing for d. A new leader waits for
// d before it takes anyone for silent.
func (t *memberTimes) silent(now time.Time, term, id uint64, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != term {
		t.term, t.since = term, now
	}
	return now.Sub(t.since) > d && now.Sub(t.last[id]) > d
}

// followed notes that a leader is known.
func (t *memberTimes) followed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.led = now
}

// lostFor reports whether no leader was known for d, and begins to count with
// the first call.
func (t *memberTimes) lostFor(now time.Time, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.led.IsZero() {
		t.led = now
	}
	return now.Sub(t.led) > d
}
