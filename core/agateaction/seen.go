package agateaction

import (
	"sync"
	"time"
)

// Copies of one request may reach several hosts. "Not run" about one of
// them holds for the others because a claim is refused if its host had not
// known the refusal for as long as a request takes from caller to host.
const (
	// SeenLag is how long a host must have known a log index before a
	// request arrived for it to count as seen.
	SeenLag = 500 * time.Millisecond
	// Fresh is the age at which a committed "not run" must be renewed before
	// it is told. Requests that take less than SeenLag - Fresh from caller
	// to host are then refused too if they were sent before the caller was
	// told.
	Fresh = 250 * time.Millisecond
	// seenStep bounds the number of samples that a Seen keeps.
	seenStep = SeenLag / 16
)

// Seen tells which log index counts as seen when a request arrives. The
// zero value knows nothing; a host that just started and learned an index
// has its claims refused for SeenLag if anything was refused before. It is
// safe for concurrent use.
type Seen struct {
	mu      sync.Mutex
	index   uint64
	samples []sample
}

// sample is the highest index that was learned up to a time.
type sample struct {
	until time.Duration
	index uint64
}

// Learn notes an applied log index that the host learned now, from a result
// or a heartbeat. now is the time at which the answer arrived.
func (s *Seen) Learn(now time.Duration, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.samples)
	if n > 0 && index <= s.samples[n-1].index || index <= s.index {
		return
	}
	if n > 0 && now <= s.samples[n-1].until {
		s.samples[n-1].index = index
		return
	}
	s.samples = append(s.samples, sample{until: now + seenStep, index: index})
}

// At returns the index that counts as seen by a request that arrives now.
func (s *Seen) At(now time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.samples) > 0 && s.samples[0].until+SeenLag <= now {
		s.index = s.samples[0].index
		s.samples = s.samples[1:]
	}
	return s.index
}
