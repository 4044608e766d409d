package agatebalance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
)

// Guards against requests for an upstream that has said in a response that it leaves,
// also after heartbeats that do not say so, and against giving up its next process for
// that, or the upstream for which another one answered.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	table, now := newTable(), time.Unix(1000, 0)
	infos := []agatebalance.UpstreamInfo{newInfo("u1")}
	table.UpdateUpstreams(now, infos, true, nil)
	send := func() agatebalance.Decision {
		d := choose(table, now, nil)
		table.Start(now, d.Upstream)
		return d
	}
	finish := func(d agatebalance.Decision, outcome agatebalance.Outcome) agatebalance.Changes {
		return table.Finish(now, d.Upstream, agatebalance.Observation{Outcome: outcome, Leaving: true, Basis: d.Basis})
	}
	assert.Assert(t, !finish(send(), agatebalance.WrongUpstream).Leaving)
	now = now.Add(10 * time.Second) // the ejection has ended

	first, late := send(), send()
	assert.Equal(t, first.Upstream, "u1")
	assert.Assert(t, finish(first, agatebalance.Answered).Leaving)
	assert.Equal(t, choose(table, now, nil).Reason, agatebalance.ReasonNoUpstream)
	assert.Check(t, !table.AllowHedge(now, "u1"))
	table.UpdateUpstreams(now, infos, true, nil)
	assert.Equal(t, choose(table, now, nil).Reason, agatebalance.ReasonNoUpstream)

	infos[0].StartedAtMs++
	table.UpdateUpstreams(now, infos, true, nil)
	assert.Assert(t, !finish(late, agatebalance.Answered).Leaving)
	assert.Equal(t, choose(table, now, nil).Upstream, "u1")
}
