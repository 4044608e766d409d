package agatecontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatestate"
)

// Guards against an upstream that is given up on 0.3 s after its first
// announcement, or after it came back, because the replica that heard it has
// not told the leader yet (day mix 418216111670 on tq-portes: it then left and
// was still used).
func TestNewUpstreamIsNotSilent(t *testing.T) {
	var h heardTimes
	now := time.Unix(1000, 0)
	const term = 3
	old := []agatestate.Upstream{{ID: "u1"}, {ID: "u2"}}
	tell := func(ids ...string) { h.told(ids, now) }
	for range 20 {
		tell("u1", "u2")
		assert.Equal(t, len(h.silent(now, term, old)), 0)
		now = now.Add(lapseEvery)
	}
	fresh := append(old, agatestate.Upstream{ID: "u3"})
	tell("u1", "u2")
	assert.Equal(t, len(h.silent(now, term, fresh)), 0, "nobody told of it yet")
	for now = now.Add(lapseEvery); ; now = now.Add(lapseEvery) {
		tell("u1", "u2")
		if len(h.silent(now, term, fresh)) > 0 {
			break
		}
		assert.Assert(t, now.Before(time.Unix(1060, 0)), "it is never given up on")
	}

	// It is given up on, and comes back at a replica that does not lead.
	assert.Equal(t, len(h.silent(now, term, old)), 0)
	now = now.Add(time.Minute)
	tell("u1", "u2")
	assert.Equal(t, len(h.silent(now, term, old)), 0)
	assert.Equal(t, len(h.silent(now, term, fresh)), 0)
}

// Guards against a last word that is acknowledged without being stored.
func TestLastWordOfSilentUpstream(t *testing.T) {
	lapsed := &agatestate.Upstream{ID: "u1", StartMs: 5, Sequence: 9, Gone: true, TimedOut: true}
	leaves := &agatestate.Upstream{ID: "u1", StartMs: 5, Gone: true}
	assert.Assert(t, changed(lapsed, leaves))
	gone := &agatestate.Upstream{ID: "u1", StartMs: 5, Sequence: 9, Gone: true}
	assert.Assert(t, !changed(gone, leaves))
}
