package agatefront

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatesuspect"
	"agategate/io/agatewire"
)

func fingerprint(b byte) agatesuspect.Fingerprint {
	var p agatesuspect.Fingerprint
	p[0] = b
	return p
}

// record is a reply with one fingerprint.
func record(index uint64, p agatesuspect.Fingerprint, deaths uint32) *agatewire.WatchReply {
	return &agatewire.WatchReply{
		Index:    index,
		Suspects: []*agatewire.Suspect{{Print: p[:], Deaths: deaths, Index: index}},
	}
}

// Guards against the refusal of a request that upstreams answer: a frequent
// one is in flight whenever an upstream dies, and was refused by hosts that
// had just started (soak seed 145).
func TestAnsweredRequestIsNotRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	p := fingerprint(1)

	fresh := newSuspects()
	assert.Equal(t, len(fresh.merge(now, record(5, p, 2))), 0)
	assert.Assert(t, fresh.refused(now, p) > 0)

	old := newSuspects()
	old.survived(p)
	assert.Equal(t, len(old.merge(now, record(5, p, 2))), 1, "the group must be told that the request is harmless")
	assert.Equal(t, len(old.merge(now, record(6, p, 2))), 0, "once is enough for a while")
	assert.Equal(t, old.refused(now, p), time.Duration(0))

	// The group's answer reaches the fresh host.
	fresh.merge(now, record(7, p, 0))
	assert.Equal(t, fresh.refused(now, p), time.Duration(0))
}

// Guards against a request that is refused for good although nobody is left
// who saw it answered, and against a time to come back that is not true.
func TestRefusalEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	p := fingerprint(2)
	s := newSuspects()
	for _, upstream := range []string{"u1", "u2"} {
		s.running(p, upstream)
		assert.Equal(t, len(s.died(now, upstream)), 1)
	}
	after := s.refused(now.Add(10*time.Second), p)
	assert.Equal(t, after, refusedFor-10*time.Second)
	assert.Equal(t, s.refused(now.Add(10*time.Second+after), p), time.Duration(0))
	// The next death counts anew.
	later := now.Add(refusedFor + time.Second)
	s.running(p, "u3")
	s.died(later, "u3")
	assert.Equal(t, s.refused(later, p), refusedFor)
}
