package agatecontrol

import (
	"sync"
	"time"
)

// stateTime is the leader's clock for state time. A new leader continues from
// the time of the state machine and adds the time that passes on its own
// monotonic clock, so that a wrong wall clock of a control host cannot expire
// records early. While there is no leader, state time stands still, which only
// keeps records for longer.
type stateTime struct {
	mu        sync.Mutex
	term      uint64
	base      time.Time
	baseClock time.Time
}

// now returns the state time in a term. machineTime is the time of the state
// machine; if it is zero, state time starts from the wall clock.
func (s *stateTime) now(term uint64, machineTime time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	clock := time.Now()
	if term != s.term {
		s.term = term
		s.baseClock = clock
		s.base = machineTime
		if machineTime.UnixMilli() <= 0 {
			s.base = clock
		}
	}
	return s.base.Add(clock.Sub(s.baseClock))
}
