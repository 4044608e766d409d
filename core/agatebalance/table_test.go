package agatebalance_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
	"agategate/core/agateplan"
)

func row(id string) agatebalance.Row {
	return agatebalance.Row{
		ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "a-1", Slots: 4, Born: 1,
	}
}

func newTable() *agatebalance.Table {
	return agatebalance.New(agatebalance.Config{
		Host: "h1", Region: "a", Domain: "a-1", Regions: map[string]string{"a-1": "a", "b-1": "b"},
	})
}

// A list of the whole fleet that also names an upstream as gone once removed
// it twice, which ended the process.
func TestWholeFleetWithGoneRow(t *testing.T) {
	table, now := newTable(), time.Unix(1, 0)
	table.SetFleet(now, []agatebalance.Row{row("u1"), row("u2"), row("u3")}, true, nil)
	left := row("u2")
	left.Gone = true
	gone := table.SetFleet(now, []agatebalance.Row{row("u1"), left}, true, nil)
	assert.DeepEqual(t, gone, []string{"u2", "u3"})
	assert.Equal(t, table.Size(), 1)
	assert.DeepEqual(t, table.SetFleet(now, []agatebalance.Row{left}, false, nil), []string(nil))
}

func choose(table *agatebalance.Table, now time.Time, change func(*agatebalance.Request)) agatebalance.Decision {
	r := &agatebalance.Request{
		ID: "r", Service: "s", Route: &agateplan.Route{MaxAttempts: 2}, Key: 7,
		Target: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second),
	}
	if change != nil {
		change(r)
	}
	return table.Choose(now, r)
}

// Guards against work for upstreams that are leaving, evacuated, outside the
// route's regions, or were tried.
func TestUnusableUpstreams(t *testing.T) {
	now := time.Unix(1, 0)
	far := row("far")
	far.Domain = "b-1"
	draining := row("near")
	draining.Draining = true

	table := newTable()
	table.SetFleet(now, []agatebalance.Row{draining, far}, true, nil)
	assert.Equal(t, choose(table, now, nil).Upstream, "far")
	onlyA := func(r *agatebalance.Request) { r.Route = &agateplan.Route{MaxAttempts: 2, Regions: []string{"a"}} }
	d := choose(table, now, onlyA)
	assert.Equal(t, d.Upstream, "")
	assert.Equal(t, d.Reason, agatebalance.ReasonNone)
	assert.Assert(t, d.RetryAfter > 0)
	tried := func(r *agatebalance.Request) { r.Tried = []string{"far"} }
	assert.Equal(t, choose(table, now, tried).Upstream, "")

	table.SetFleet(now, nil, false, []string{"b-1"})
	assert.Equal(t, choose(table, now, nil).Upstream, "")
	table.SetFleet(now, nil, false, nil)
	assert.Equal(t, choose(table, now, nil).Upstream, "far")
}

// Guards against more requests a second for a cold upstream, from all hosts
// together, than it bears, at whatever moment they begin.
func TestColdUpstreamIsNotOverrun(t *testing.T) {
	plan := agateplan.NewIndex(&agateplan.Plan{Services: []agateplan.Service{{Name: "s", WarmupRate: 11}}})
	hosts := []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"}
	begin := time.Unix(1, 0)
	cold := row("u1")
	cold.Cold = 3 * time.Second
	var tables []*agatebalance.Table
	for _, h := range hosts {
		table := agatebalance.New(agatebalance.Config{
			Host: h, Region: "a", Domain: "a-1", Regions: map[string]string{"a-1": "a"}, ColdExcess: 5,
		})
		table.SetPlan(plan)
		table.SetHosts(hosts)
		table.SetFleet(begin, []agatebalance.Row{cold}, true, nil)
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
	// 11 a second, half as many again, and 5 at once.
	const allowed = 11*1.5 + 5
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		assert.Assert(t, float64(n) <= allowed, "%d requests in the second from %v", n, from.Sub(begin))
	}
	assert.Assert(t, len(sent) > 20, "only %d requests", len(sent))
}

// Guards against retries beyond the share and the slack that all hosts have
// together.
func TestRetryBudget(t *testing.T) {
	table := agatebalance.New(agatebalance.Config{
		Host: "h1", RetryShare: 0.1, RetrySlack: 56, RetryWindow: 10 * time.Second,
	})
	table.SetHosts([]string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"})
	begin := time.Unix(1, 0)
	requests, retries := 0, 0
	for at := begin; at.Before(begin.Add(10 * time.Second)); at = at.Add(50 * time.Millisecond) {
		table.Arrived(at, "s")
		requests++
		for table.Retry(at, "s") {
			retries++
		}
	}
	allowed := 0.2*float64(requests) + 56.0/8
	assert.Assert(t, float64(retries) <= allowed, "%d retries for %d requests", retries, requests)
	assert.Assert(t, retries >= 10, "%d retries", retries)
}

// Guards against an upstream that fails and goes on to get its requests, and
// against one that is never tried again.
func TestFailingUpstreamIsPassedOver(t *testing.T) {
	now := time.Unix(1, 0)
	table := newTable()
	table.SetFleet(now, []agatebalance.Row{row("u1"), row("u2")}, true, nil)
	first := choose(table, now, nil).Upstream
	for range 3 {
		table.Start(now, first)
		table.Finish(now, first, agatebalance.Observation{Outcome: agatebalance.Failed})
	}
	assert.Assert(t, choose(table, now, nil).Upstream != first)
	// With nothing else to use it is used all the same.
	other := choose(table, now, nil).Upstream
	d := choose(table, now, func(r *agatebalance.Request) { r.Tried = []string{other} })
	assert.Equal(t, d.Upstream, first)
	assert.Equal(t, d.Reason, agatebalance.ReasonLast)
}

// Guards against the loss of upstreams that are cut off from the control group
// only, and against requests that lose time on those that are dead.
func TestLapsedUpstreamIsUsedWhileItAnswers(t *testing.T) {
	now := time.Unix(1, 0)
	table := newTable()
	table.SetFleet(now, []agatebalance.Row{row("u1"), row("u2")}, true, nil)
	first := choose(table, now, nil).Upstream
	lapsed := row(first)
	lapsed.Lapsed = true
	answered := agatebalance.Observation{Outcome: agatebalance.Answered, Latency: 10 * time.Millisecond}
	table.Start(now, first)
	table.Finish(now, first, answered)
	table.SetFleet(now, []agatebalance.Row{lapsed}, false, nil)
	assert.Equal(t, choose(table, now.Add(time.Second), nil).Upstream, first)
	later := now.Add(10 * time.Second)
	assert.Assert(t, choose(table, later, nil).Upstream != first)
}

// Guards against an upstream that failed for a while and is never tried again.
func TestRecoveredUpstreamIsTriedAgain(t *testing.T) {
	now := time.Unix(1, 0)
	table := newTable()
	table.SetFleet(now, []agatebalance.Row{row("u1"), row("u2")}, true, nil)
	first := choose(table, now, nil).Upstream
	for range 20 {
		table.Start(now, first)
		table.Finish(now, first, agatebalance.Observation{Outcome: agatebalance.Failed})
	}
	assert.Assert(t, choose(table, now, nil).Upstream != first)
	// It is tried again within seconds, and one answer brings it back.
	later := now.Add(6 * time.Second)
	assert.Equal(t, choose(table, later, nil).Upstream, first)
	table.Start(later, first)
	table.Finish(later, first, agatebalance.Observation{Outcome: agatebalance.Answered, Latency: 10 * time.Millisecond})
	assert.Equal(t, choose(table, later, nil).Upstream, first)
	// One that goes on to fail is passed over again at once.
	table.Start(later, first)
	table.Finish(later, first, agatebalance.Observation{Outcome: agatebalance.Failed})
	table.Start(later, first)
	table.Finish(later, first, agatebalance.Observation{Outcome: agatebalance.Failed})
	table.Start(later, first)
	table.Finish(later, first, agatebalance.Observation{Outcome: agatebalance.Failed})
	assert.Assert(t, choose(table, later, nil).Upstream != first)
}
