package agatecontrol

import (
	"fmt"
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
	member := func(id string) agatestate.Member {
		return agatestate.Member{Upstream: agatestate.Upstream{ID: id}, Named: true}
	}
	old := []agatestate.Member{member("u1"), member("u2")}
	report := func(ids ...string) { h.recordRemote(ids, now) }
	for range 20 {
		report("u1", "u2")
		assert.Equal(t, len(h.expired(now, term, old)), 0)
		now = now.Add(upstreamCheckInterval)
	}
	withNew := append(old, member("u3"))
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
	deregistration := &agatestate.Upstream{ID: "u1", StartedAtMs: 5, Gone: true}
	assert.Assert(t, canLeave(expired, deregistration))
	gone := &agatestate.Upstream{ID: "u1", StartedAtMs: 5, Sequence: 9, Gone: true}
	assert.Assert(t, !canLeave(gone, deregistration))
	assert.Assert(t, canLeave(gone, &agatestate.Upstream{ID: "u1", StartedAtMs: 6, Gone: true}))
}

// Guards against upstreams that never expire because many others, of services that no plan
// names, have fallen silent, and against ones that expire because so many are recorded.
func TestManyUnnamedUpstreams(t *testing.T) {
	var h contactTimes
	now := time.Unix(1000, 0)
	const term = 3
	members := []agatestate.Member{
		{Upstream: agatestate.Upstream{ID: "live"}, Named: true}, {Upstream: agatestate.Upstream{ID: "silent"}, Named: true},
	}
	for i := range agatestate.MaxMembers - 2 {
		id := fmt.Sprint("x", i)
		h.recordLocal(id, 1, now)
		members = append(members, agatestate.Member{Upstream: agatestate.Upstream{ID: id}})
	}
	named := map[string]bool{}
	for range 20 {
		h.takeUnreported(now)
		h.recordLocal("live", 1, now)
		for _, up := range h.expired(now, term, members) {
			if up.Named {
				named[up.ID] = true
			}
		}
		now = now.Add(upstreamCheckInterval)
	}
	assert.DeepEqual(t, named, map[string]bool{"silent": true})
	assert.Assert(t, h.heardLocally("live", 1, now))
}
