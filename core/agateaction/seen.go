package agateaction

import (
	"sync"
	"time"
)

// If the caller of one copy of a request was told "not run", no other copy of
// it may run. A host therefore claims with a log index that it had learned
// SeenLag before its copy arrived, and the control group refuses the claim if a
// refusal has a higher index.
const (
	// SeenLag is how long before the arrival of a request a host must have
	// learned a log index for it to count as seen.
	SeenLag = 500 * time.Millisecond
	// MaxRefusalAge is the age at which a "not run" must be committed again
	// before the caller is told. The age counts from when the command was
	// returned to the owner. Copies that were sent before the reply and take
	// less than SeenLag - MaxRefusalAge from the caller to a host are then
	// refused too.
	MaxRefusalAge = 250 * time.Millisecond
	// sampleInterval bounds the number of samples that an IndexTracker keeps.
	sampleInterval = SeenLag / 16
)

// IndexTracker determines which log index counts as seen when a request
// arrives. The zero value has seen none: for SeenLag after a host has learned
// its first index, its claims are refused if anything was refused before. It is
// safe for concurrent use.
type IndexTracker struct {
	mu      sync.Mutex
	index   uint64
	samples []sample
}

// sample is the highest index that was learned until a point in time.
type sample struct {
	until time.Duration
	index uint64
}

// Observe records an applied log index from a result or a heartbeat. now is the
// time at which the response arrived.
func (t *IndexTracker) Observe(now time.Duration, index uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.samples)
	if n > 0 && index <= t.samples[n-1].index || index <= t.index {
		return
	}
	if n > 0 && now <= t.samples[n-1].until {
		t.samples[n-1].index = index
		return
	}
	t.samples = append(t.samples, sample{until: now + sampleInterval, index: index})
}

// At returns the log index that counts as seen by a request that arrives now.
func (t *IndexTracker) At(now time.Duration) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.samples) > 0 && t.samples[0].until+SeenLag <= now {
		t.index = t.samples[0].index
		t.samples = t.samples[1:]
	}
	return t.index
}
