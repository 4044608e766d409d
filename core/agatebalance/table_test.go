package agatebalance_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
	"agategate/core/agateplan"
)

func newInfo(id string) agatebalance.UpstreamInfo {
	return agatebalance.UpstreamInfo{
		ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "a-1", Slots: 4, StartedAtMs: 1,
	}
}

func newTable() *agatebalance.Table {
	return agatebalance.New(agatebalance.Config{
		Host: "h1", Region: "a", Domain: "a-1", Regions: map[string]string{"a-1": "a", "b-1": "b"},
	})
}

// Guards against removing an upstream twice, which panics, if it is marked as
// removed in a full list.
func TestFullListWithDeregisteredUpstream(t *testing.T) {
	table, now := newTable(), time.Unix(1, 0)
	table.UpdateUpstreams(now, []agatebalance.UpstreamInfo{newInfo("u1"), newInfo("u2"), newInfo("u3")}, true, nil)
	removed := newInfo("u2")
	removed.Deregistered = true
	got := table.UpdateUpstreams(now, []agatebalance.UpstreamInfo{newInfo("u1"), removed}, true, nil)
	assert.DeepEqual(t, got, []string{"u2", "u3"})
	assert.Equal(t, table.Size(), 1)
	assert.DeepEqual(t, table.UpdateUpstreams(now, []agatebalance.UpstreamInfo{removed}, false, nil), []string(nil))
}

func choose(table *agatebalance.Table, now time.Time, change func(*agatebalance.Request)) agatebalance.Decision {
	r := &agatebalance.Request{
		ID: "r", Service: "s", Route: &agateplan.Route{MaxAttempts: 2}, AffinityKey: 7,
		Target: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second),
	}
	if change != nil {
		change(r)
	}
	return table.Choose(now, r)
}

// Guards against requests for upstreams that are draining, evacuated, outside the
// route's regions, or already tried.
func TestUnusableUpstreams(t *testing.T) {
	now := time.Unix(1, 0)
	far := newInfo("far")
	far.Domain = "b-1"
	draining := newInfo("near")
	draining.Draining = true

	table := newTable()
	table.UpdateUpstreams(now, []agatebalance.UpstreamInfo{draining, far}, true, nil)
	assert.Equal(t, choose(table, now, nil).Upstream, "far")
	onlyA := func(r *agatebalance.Request) { r.Route = &agateplan.Route{MaxAttempts: 2, Regions: []string{"a"}} }
	d := choose(table, now, onlyA)
	assert.Equal(t, d.Upstream, "")
	assert.Equal(t, d.Reason, agatebalance.ReasonNoUpstream)
	assert.Assert(t, d.RetryAfter > 0)
	tried := func(r *agatebalance.Request) { r.Tried = []string{"far"} }
	assert.Equal(t, choose(table, now, tried).Upstream, "")

	table.UpdateUpstreams(now, nil, false, []string{"b-1"})
	assert.Equal(t, choose(table, now, nil).Upstream, "")
	table.UpdateUpstreams(now, nil, false, nil)
	assert.Equal(t, choose(table, now, nil).Upstream, "far")
}

// Guards against overloading a cold upstream: within any second, all hosts
// together must not exceed its warm-up rate by more than allowed.
func TestColdUpstreamIsNotOverrun(t *testing.T) {
	plan := agateplan.NewIndex(&agateplan.Plan{Services: []agateplan.Service{{Name: "s", WarmupRate: 11}}})
	hosts := []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"}
	begin := time.Unix(1, 0)
	cold := newInfo("u1")
	cold.WarmupLeft = 3 * time.Second
	var tables []*agatebalance.Table
	for _, h := range hosts {
		table := agatebalance.New(agatebalance.Config{
			Host: h, Region: "a", Domain: "a-1", Regions: map[string]string{"a-1": "a"}, WarmupBurst: 5,
		})
		table.SetPlan(plan)
		table.SetHosts(begin, hosts)
		table.UpdateUpstreams(begin, []agatebalance.UpstreamInfo{cold}, true, nil)
		tables = append(tables, table)
	}
	var sent []time.Time
	for at := begin; at.Before(begin.Add(3 * time.Second)); at = at.Add(5 * time.Millisecond) {
		for _, table := range tables {
			if d := choose(table, at, nil); d.Upstream != "" {
				table.Start(at, d.Upstream)
				table.Finish(at, d.Upstream, agatebalance.Observation{Outcome: agatebalance.Answered, Latency: time.Millisecond})
				sent = append(sent, at)
			}
		}
	}
	// The warm-up rate of 11 per second with 50% tolerance, and the burst of 5.
	const allowed = 11*1.5 + 5
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		assert.Assert(t, float64(n) <= allowed, "%d requests in the second starting at %v", n, from.Sub(begin))
	}
	assert.Assert(t, len(sent) > 20, "only %d requests", len(sent))
}

// Guards against more retries than twice RetryRatio, which leaves some tolerance,
// plus this host's share of MinRetries.
func TestRetryBudget(t *testing.T) {
	table := agatebalance.New(agatebalance.Config{
		Host: "h1", RetryRatio: 0.1, MinRetries: 56, RetryWindow: 10 * time.Second,
	})
	table.SetHosts(time.Time{}, []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"})
	begin := time.Unix(1, 0)
	requests, retries := 0, 0
	for at := begin; at.Before(begin.Add(10 * time.Second)); at = at.Add(50 * time.Millisecond) {
		table.RecordRequest(at, "s")
		requests++
		for table.AllowRetry(at, "s") {
			retries++
		}
	}
	allowed := 0.2*float64(requests) + 56.0/8
	assert.Assert(t, float64(retries) <= allowed, "%d retries for %d requests", retries, requests)
	assert.Assert(t, retries >= 10, "%d retries", retries)
}

// Guards against a failing upstream that still gets requests while another one is
// healthy, and against requests that are rejected if only failing ones are left.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	now := time.Unix(1, 0)
	table := newTable()
	table.UpdateUpstreams(now, []agatebalance.UpstreamInfo{newInfo("u1"), newInfo("u2")}, true, nil)
	first := choose(table, now, nil).Upstream
	for range 3 {
		table.Start(now, first)
		table.Finish(now, first, agatebalance.Observation{Outcome: agatebalance.Failed})
	}
	assert.Assert(t, choose(table, now, nil).Upstream != first)
	// Without another upstream the failing one is used as a last resort.
	other := choose(table, now, nil).Upstream
	d := choose(table, now, func(r *agatebalance.Request) { r.Tried = []string{other} })
	assert.Equal(t, d.Upstream, first)
	assert.Equal(t, d.Reason, agatebalance.ReasonLastResort)
}

// Guards against not using upstreams that are only disconnected from the control
// group, and against sending requests to ones that are dead.
func TestExpiredUpstreamIsUsedWhileItResponds(t *testing.T) {
	now := time.Unix(1, 0)
	table := newTable()
	table.UpdateUpstreams(now, []agatebalance.UpstreamInfo{newInfo("u1"), newInfo("u2")}, true, nil)
	first := choose(table, now, nil).Upstream
	expired := newInfo(first)
	expired.Expired = true
	answered := agatebalance.Observation{Outcome: agatebalance.Answered, Latency: 10 * time.Millisecond}
	table.Start(now, first)
	table.Finish(now, first, answered)
	table.UpdateUpstreams(now, []agatebalance.UpstreamInfo{expired}, false, nil)
	assert.Equal(t, choose(table, now.Add(time.Second), nil).Upstream, first)
	later := now.Add(10 * time.Second)
	assert.Assert(t, choose(table, later, nil).Upstream != first)
}

// Guards against an upstream that is never tried again after a series of failures.
func TestRecoveredUpstreamIsTriedAgain(t *testing.T) {
	now := time.Unix(1, 0)
	table := newTable()
	table.UpdateUpstreams(now, []agatebalance.UpstreamInfo{newInfo("u1"), newInfo("u2")}, true, nil)
	first := choose(table, now, nil).Upstream
	for range 20 {
		table.Start(now, first)
		table.Finish(now, first, agatebalance.Observation{Outcome: agatebalance.Failed})
	}
	assert.Assert(t, choose(table, now, nil).Upstream != first)
	// It is tried again within seconds, and one response ends the ejection.
	later := now.Add(6 * time.Second)
	assert.Equal(t, choose(table, later, nil).Upstream, first)
	table.Start(later, first)
	table.Finish(later, first, agatebalance.Observation{Outcome: agatebalance.Answered, Latency: 10 * time.Millisecond})
	assert.Equal(t, choose(table, later, nil).Upstream, first)
	// After three more consecutive failures it is ejected again.
	table.Start(later, first)
	table.Finish(later, first, agatebalance.Observation{Outcome: agatebalance.Failed})
	table.Start(later, first)
	table.Finish(later, first, agatebalance.Observation{Outcome: agatebalance.Failed})
	table.Start(later, first)
	table.Finish(later, first, agatebalance.Observation{Outcome: agatebalance.Failed})
	assert.Assert(t, choose(table, later, nil).Upstream != first)
}

// Guards against an upstream that counts as slow because its first response was,
// for example because it opened a connection: the requests for its objects would
// go to upstreams that do not have them cached.
func TestSlowFirstResponse(t *testing.T) {
	table, now := newTable(), time.Unix(1, 0)
	table.UpdateUpstreams(now, []agatebalance.UpstreamInfo{newInfo("u1"), newInfo("u2")}, true, nil)
	preferred := choose(table, now, nil).Upstream
	other := map[string]string{"u1": "u2", "u2": "u1"}[preferred]
	respond := func(id string, latency time.Duration) {
		d := choose(table, now, func(r *agatebalance.Request) {
			r.Tried = slices.DeleteFunc([]string{"u1", "u2"}, func(other string) bool { return other == id })
		})
		assert.Equal(t, d.Upstream, id)
		table.Start(now, id)
		table.Finish(now, id, agatebalance.Observation{Outcome: agatebalance.Answered, Latency: latency, RTT: time.Microsecond, Basis: d.Basis})
	}
	for range 20 {
		respond(other, time.Millisecond)
	}
	respond(preferred, 27*time.Millisecond)
	for range 4 {
		respond(preferred, time.Millisecond)
	}
	idle := choose(table, now, nil)
	table.Start(now, preferred)
	d := choose(table, now, func(r *agatebalance.Request) { r.Tried = []string{other} })
	assert.Equal(t, idle.Load, 0.0)
	assert.Equal(t, d.Load, 0.25, "one request on four slots")
}

// Guards against requests that are rejected because of a region without any usable
// upstream: requests that no upstream could take must not count as a home region
// without room, and cold upstreams of one region must not stop the others.
func TestRegionOutage(t *testing.T) {
	for _, outage := range []string{"none", "cold"} {
		t.Run(outage, func(t *testing.T) {
			table, now := newTable(), time.Unix(1, 0)
			table.SetPlan(agateplan.NewIndex(&agateplan.Plan{Services: []agateplan.Service{{Name: "s", WarmupRate: 1}}}))
			table.SetHosts(now, []string{"h1"})
			far := newInfo("far")
			far.Domain = "b-1"
			near := newInfo("near")
			near.WarmupLeft = time.Minute
			if outage == "cold" {
				table.UpdateUpstreams(now, []agatebalance.UpstreamInfo{near, far}, true, nil)
			}
			for n := range 2000 {
				now = now.Add(time.Millisecond)
				if outage == "none" && n == 1000 {
					table.UpdateUpstreams(now, []agatebalance.UpstreamInfo{far}, true, nil)
				}
				d := choose(table, now, func(r *agatebalance.Request) { r.AffinityKey = uint64(n%50)*0x9e3779b97f4a7c15 + 1 })
				if d.Upstream == "" {
					assert.Assert(t, n < 1000, "request %d rejected: %s", n, d.Reason)
					continue
				}
				table.Start(now, d.Upstream)
				table.Finish(now, d.Upstream, agatebalance.Observation{Outcome: agatebalance.Answered, Latency: time.Millisecond, Basis: d.Basis})
			}
		})
	}
}
