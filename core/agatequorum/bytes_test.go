package agatequorum_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
)

// newByteGroup returns a group of three with LogBytes of 8,000 and its leader.
func newByteGroup(t *testing.T) (*sim, *simNode) {
	s := newSim(t, 1)
	s.logBytes, s.commandBytes, s.messageBytes, s.maxInFlight = 8000, 468, 100, 64
	s.snapshotEvery, s.catchUpEntries = 4096, 4096
	s.startGroup(3)
	s.advance(2 * time.Second)
	l := s.leader()
	assert.Assert(t, l != nil)
	return s, l
}

// Guards against a leader without a majority that keeps any number of large commands, and
// against one that refuses a command because it is large.
func TestUncommittedBytes(t *testing.T) {
	s, l := newByteGroup(t)
	s.partition(l.id)
	accepted := 0
	for l.propose() == agatequorum.Accepted {
		accepted++
	}
	assert.Equal(t, accepted, 4*8000/500)

	s, l = newByteGroup(t)
	s.commandBytes = 100_000
	assert.Equal(t, l.propose(), agatequorum.Accepted)
	assert.Equal(t, l.propose(), agatequorum.Unavailable)
	s.advance(time.Second)
	assert.Equal(t, l.ackedCount, 1)
	assert.Equal(t, l.propose(), agatequorum.Accepted)
}

// Guards against a replica that does not answer and is sent the whole log at once.
func TestInFlightBytes(t *testing.T) {
	s, l := newByteGroup(t)
	silent := l.id%3 + 1
	s.blocked[[2]uint64{silent, l.id}] = true
	before := s.sentBytes[silent]
	for range 50 {
		assert.Equal(t, l.propose(), agatequorum.Accepted)
	}
	s.advance(20 * time.Millisecond)
	got := s.sentBytes[silent] - before
	assert.Assert(t, got <= 8000/8+500, "%d bytes in flight", got)
}

// Guards against chunks of a snapshot that arrive in another order and are asked for
// again, each after the retry time.
func TestSnapshotChunksOutOfOrder(t *testing.T) {
	s, l := newByteGroup(t)
	s.stateBytes, s.maxJitter = 40_000, 40*time.Millisecond
	lag := l.id%3 + 1
	s.partition(lag)
	for range 400 {
		l.propose()
		s.advance(20 * time.Millisecond)
	}
	s.healNetwork()
	before := s.sentBytes[lag]
	ok := s.runUntil(s.now+5*time.Second, func() bool { return s.nodes[lag].applied >= s.oracle.ackedIndex })
	assert.Assert(t, ok)
	got := s.sentBytes[lag] - before
	assert.Assert(t, got <= 3*40_000, "%d bytes for a state of 40,000", got)
}
