package agatecontrol

import (
	"sync"
	"time"
)

// stateTime is the leader's reading of state time. A new leader continues
// from the time that the state machine has reached and adds what passes on
// its own monotonic clock, so that a control host with a wrong wall clock
// cannot end records early. While no replica leads, state time stands still,
// which only keeps records for longer.
type stateTime struct {
	mu   sync.Mutex
	term uint64
	base time.Time
	at   time.Time
}

// now returns state time in a term. reached is the state machine's time; its
// zero value starts from the wall clock.
func (s *stateTime) now(term uint64, reached time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	clock := time.Now()
	if term != s.term {
		s.term = term
		s.at = clock
		s.base = reached
		if reached.UnixMilli() <= 0 {
			s.base = clock
		}
	}
	return s.base.Add(clock.Sub(s.at))
}
