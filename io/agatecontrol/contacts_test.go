package agatecontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatestate"
)

// Guards against an upstream that expires 0.3 s after its first announcement,
// or after its return, because the replica that received its heartbeat has not
// reported it to the leader yet. Its deregistration would then be ignored and
// hosts would keep using it (docs/incidents/2026-12-04-mix-418216111670.md).
func TestNewUpstreamDoesNotExpireEarly(t *testing.T) {
	var h contactTimes
	now := time.Unix(1000, 0)
	const term = 3
	old := []agatestate.Upstream{{ID: "u1"}, {ID: "u2"}}
	report := func(ids ...string) { h.recordRemote(ids, now) }
	for range 20 {
		report("u1", "u2")
		assert.Equal(t, len(h.expired(now, term, old)), 0)
		now = now.Add(upstreamCheckInterval)
	}
	withNew := append(old, agatestate.Upstream{ID: "u3"})
	report("u1", "u2")
	assert.Equal(t, len(h.expired(now, term, withNew)), 0, "no replica has reported it yet")
	for now = now.Add(upstreamCheckInterval); ; now = now.Add(upstreamCheckInterval) {
		report("u1", "u2")
		if len(h.expired(now, term, withNew)) > 0 {
			break
		}
		assert.Assert(t, now.Before(time.Unix(1060, 0)), "it never expires")
	}

	// It expires, and returns at a replica that is not the leader.
	assert.Equal(t, len(h.expired(now, term, old)), 0)
	now = now.Add(time.Minute)
	report("u1", "u2")
	assert.Equal(t, len(h.expired(now, term, old)), 0)
	assert.Equal(t, len(h.expired(now, term, withNew)), 0)
}

// Guards against a final announcement, by which an upstream leaves, that is
// acknowledged without being stored because the upstream has expired.
func TestFinalAnnouncementOfExpiredUpstream(t *testing.T) {
	expired := &agatestate.Upstream{ID: "u1", StartedAtMs: 5, Sequence: 9, Gone: true, Expired: true}
	assert.Assert(t, canLeave(expired))
	gone := &agatestate.Upstream{ID: "u1", StartedAtMs: 5, Sequence: 9, Gone: true}
	assert.Assert(t, !canLeave(gone))
}
