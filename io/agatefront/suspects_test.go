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

// record returns a reply with one suspect.
func record(index uint64, p agatesuspect.Fingerprint, deaths uint32) *agatewire.WatchReply {
	return &agatewire.WatchReply{
		Index:    index,
		Suspects: []*agatewire.Suspect{{Print: p[:], Deaths: deaths, Index: index}},
	}
}

// Guards against the refusal of a request that upstreams answer. A frequent
// request is in flight at most crashes, and a host that has just started does not
// know that it is harmless (seed 145 of TestSoak).
func TestAnsweredRequestIsNotRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	p := fingerprint(1)

	fresh := newSuspects()
	assert.Equal(t, len(fresh.merge(now, record(5, p, 2))), 0)
	assert.Assert(t, fresh.refusedFor(now, p) > 0)

	old := newSuspects()
	old.recordAnswer(p)
	assert.Equal(t, len(old.merge(now, record(5, p, 2))), 1, "the control group must be asked to clear the request")
	assert.Equal(t, len(old.merge(now, record(6, p, 2))), 0, "the request must not be cleared twice within clearInterval")
	assert.Equal(t, old.refusedFor(now, p), time.Duration(0))

	// The control group's update reaches the fresh host.
	fresh.merge(now, record(7, p, 0))
	assert.Equal(t, fresh.refusedFor(now, p), time.Duration(0))
}

// Guards against a harmless request that hosts without an answer to it refuse, because it
// crashed again, apparently, within clearInterval, or because its clearing was lost.
func TestClearingIsRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	p := fingerprint(3)
	s := newSuspects()
	s.recordAnswer(p)
	assert.Equal(t, len(s.merge(now, record(5, p, 2))), 1)
	assert.Equal(t, len(s.merge(now.Add(time.Second), record(7, p, 1))), 0)
	heartbeat := &agatewire.WatchReply{}
	later := now.Add(clearInterval + time.Second)
	assert.Equal(t, len(s.merge(later, heartbeat)), 1, "the record at index 7 is not sent again")
	assert.Equal(t, len(s.merge(later, heartbeat)), 0)
	s.merge(later, record(8, p, 0))
	s.merge(later, record(6, p, 2)) // from a replica that lags behind
	assert.Equal(t, len(s.merge(later.Add(2*clearInterval), heartbeat)), 0, "it has been cleared")
}

// Guards against a request that is refused for ever because no host that saw it
// answered is left, and against a wrong Retry-After time.
func TestRefusalEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	p := fingerprint(2)
	s := newSuspects()
	for _, upstream := range []string{"u1", "u2"} {
		s.start(p, upstream)
		assert.Equal(t, len(s.recordCrash(now, upstream)), 1)
	}
	after := s.refusedFor(now.Add(10*time.Second), p)
	assert.Equal(t, after, refusalPeriod-10*time.Second)
	assert.Equal(t, s.refusedFor(now.Add(10*time.Second+after), p), time.Duration(0))
	// The next crash starts a new refusal period.
	later := now.Add(refusalPeriod + time.Second)
	s.start(p, "u3")
	s.recordCrash(later, "u3")
	assert.Equal(t, s.refusedFor(later, p), refusalPeriod)
}
