package agatebalance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
)

// Guards against a pause that a shorter one ends, one that a response of an earlier
// process of the upstream starts, and requests that are written although the upstream
// asked for a pause while they waited for a connection.
func TestPauseIsKept(t *testing.T) {
	table, begin := newTable(), time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	table.UpdateUpstreams(begin, []agatebalance.UpstreamInfo{newInfo("u1")}, true, nil)
	d := choose(table, begin, nil)
	assert.Equal(t, d.Upstream, "u1")
	for range 3 {
		table.Start(begin, "u1")
	}
	shed := agatebalance.Observation{Outcome: agatebalance.Shed, Reported: true, Running: 5, Basis: d.Basis}
	finish := func(now time.Time, pause time.Duration) {
		shed.Pause = pause
		table.Finish(now, "u1", shed)
	}
	finish(at(0), 3*time.Second)
	finish(at(time.Millisecond), 100*time.Millisecond)
	for _, after := range []time.Duration{time.Millisecond, time.Second, 2900 * time.Millisecond} {
		d := choose(table, at(after), nil)
		assert.Equal(t, d.Reason, agatebalance.ReasonPaused, "after %v", after)
		assert.Check(t, d.RetryAfter >= 3*time.Second-after, "to come back after %v is in vain", d.RetryAfter)
		assert.Check(t, d.RetryAfter <= 4*time.Second-after, "room is there before %v", d.RetryAfter)
		assert.Check(t, !table.MaySend(at(after), "u1"))
		assert.Check(t, !table.AllowHedge(at(after), "u1"))
	}
	assert.Equal(t, choose(table, at(3*time.Second), nil).Upstream, "u1")
	assert.Check(t, table.MaySend(at(3*time.Second), "u1"))

	restarted := newInfo("u1")
	restarted.StartedAtMs++
	table.UpdateUpstreams(at(4*time.Second), []agatebalance.UpstreamInfo{restarted}, true, nil)
	finish(at(4*time.Second), 3*time.Second)
	assert.Equal(t, choose(table, at(4*time.Second), nil).Upstream, "u1")
}
