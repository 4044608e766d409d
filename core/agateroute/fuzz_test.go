package agateroute

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agategate/core/agateinventory"
)

// oracle keeps plain sums of what a Table was told and what it decided.
type oracle struct {
	t        *rapid.T
	table    *Table
	now      time.Time
	next     int
	known    map[UpstreamID]*oracleUpstream
	waiting  map[string]Request
	requests []time.Time
	seconds  []time.Time
	running  []oracleRun
	inv      *agateinventory.Inventory
}

type oracleUpstream struct {
	a       Announcement
	heard   time.Time
	own     int
	holdTo  [2]time.Time
	retired bool
}

type oracleRun struct {
	r Request
	u UpstreamID
}

const (
	fuzzHosts = 3
	fuzzEject = 0.34
)

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		t: t, now: epoch, known: map[UpstreamID]*oracleUpstream{}, waiting: map[string]Request{},
		inv: &agateinventory.Inventory{MaxEjectedShare: fuzzEject, Hosts: make([]agateinventory.Host, fuzzHosts)},
	}
	grant := func(now time.Time, _, from, to string) bool {
		return from != to && now.UnixMilli()%3 > 0
	}
	o.table = New(Config{Host: "e1", Region: "r0", Queue: 8, Overflow: grant})
	o.table.Configure(o.now, o.inv)
	return o
}

func (o *oracle) id() UpstreamID {
	return UpstreamID(fmt.Sprint("u", rapid.IntRange(0, 5).Draw(o.t, "upstream")))
}

// announce sends announcements in any order, old ones too.
func (o *oracle) announce(t *rapid.T) {
	id := o.id()
	a := Announcement{
		ID: id, Incarnation: rapid.Uint64Range(1, 3).Draw(t, "inc"), Sequence: rapid.Uint64Range(1, 60).Draw(t, "seq"),
		Service: "quotes", Region: fmt.Sprint("r", len(id)%2), Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Slots: 3, Connections: rapid.SampledFrom([]int{6, 300}).Draw(t, "conns"),
		State: rapid.SampledFrom([]State{Up, Up, Up, Draining, Leaving}).Draw(t, "state"),
	}
	if id[1]%2 == 1 {
		a.Region = "r1"
	}
	k := o.known[id]
	newer := k == nil || a.Incarnation > k.a.Incarnation ||
		(a.Incarnation == k.a.Incarnation && a.Sequence > k.a.Sequence)
	if got := o.table.Announce(o.now, a); (got == Accepted) != newer {
		t.Fatalf("announcement %+v: %v, known %+v", a, got, k)
	}
	if !newer {
		return
	}
	if k == nil {
		k = &oracleUpstream{}
		o.known[id] = k
	}
	if a.Incarnation > k.a.Incarnation {
		k.holdTo = [2]time.Time{}
	}
	k.a, k.heard = a, o.now
}

// refresh keeps all leases, so that rows stay while a run goes on.
func (o *oracle) refresh() {
	for _, k := range o.known {
		k.a.Sequence++
		k.heard = o.now
		if got := o.table.Announce(o.now, k.a); got != Accepted {
			o.t.Fatalf("refresh of %s: %v", k.a.ID, got)
		}
	}
}

func (o *oracle) choose(t *rapid.T) {
	o.next++
	r := Request{
		ID: fmt.Sprint("q", o.next), Service: "quotes", Region: "r0",
		Class:    rapid.SampledFrom([]agateinventory.Class{agateinventory.Action, agateinventory.Read}).Draw(t, "class"),
		Deadline: o.now.Add(time.Duration(rapid.IntRange(-5, 400).Draw(t, "left")) * time.Millisecond),
		Alone:    rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}
	if rapid.IntRange(0, 4).Draw(t, "tried") == 0 {
		r.Tried = []UpstreamID{o.id()}
	}
	o.requests = append(o.requests, o.now)
	o.follow(r, o.table.Choose(o.now, r))
}

// follow checks a decision and carries it out.
func (o *oracle) follow(r Request, d Decision) {
	switch d.Verdict {
	case Wait:
		o.waiting[r.ID] = r
		return
	case Refuse:
		return
	}
	k := o.known[d.Upstream]
	switch {
	case k == nil:
		o.t.Fatalf("unknown upstream %s", d.Upstream)
	case !o.now.Before(r.Deadline):
		o.t.Fatalf("sent %s after its deadline", r.ID)
	case k.a.State != Up || k.retired:
		o.t.Fatalf("new work on %s, which is %v, retired %v", d.Upstream, k.a.State, k.retired)
	case o.now.Before(k.holdTo[r.Class]):
		o.t.Fatalf("new work on %s before its Retry-After ended", d.Upstream)
	case len(r.Tried) > 0 && r.Tried[0] == d.Upstream:
		o.t.Fatalf("%s was tried before", d.Upstream)
	}
	if r.Alone {
		o.checkAlone(d.Upstream)
	}
	o.table.Start(o.now, d.Upstream)
	k.own++
	o.running = append(o.running, oracleRun{r: r, u: d.Upstream})
	if share := max(1, k.a.Connections/fuzzHosts); k.own > share {
		o.t.Fatalf("%d requests on %s, share of connections %d", k.own, d.Upstream, share)
	}
	if float64(k.own) > (excess+1)*float64(k.a.Slots) {
		o.t.Fatalf("%d requests on %s with %d slots", k.own, d.Upstream, k.a.Slots)
	}
}

func (o *oracle) checkAlone(id UpstreamID) {
	for _, run := range o.running {
		if run.u == id && run.r.Alone {
			o.t.Fatalf("two suspects on %s", id)
		}
	}
}

func (o *oracle) finish(t *rapid.T) {
	if len(o.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.running)-1).Draw(t, "which")
	run := o.running[i]
	o.running = append(o.running[:i], o.running[i+1:]...)
	seen := Observation{
		Outcome: rapid.SampledFrom([]Outcome{Answered, Answered, Answered, Shed, Unstarted, Failed, Failed, TimedOut, Canceled}).Draw(t, "outcome"),
		Class:   run.r.Class, Home: "r0", Alone: run.r.Alone,
		Latency: time.Duration(rapid.IntRange(1, 60).Draw(t, "latency")) * time.Millisecond,
	}
	k := o.known[run.u]
	if seen.Outcome == Shed {
		seen.RetryAfter = 50 * time.Millisecond
		k.holdTo[run.r.Class] = o.now.Add(seen.RetryAfter)
	}
	k.own--
	o.table.Finish(o.now, run.u, seen)
	if seen.Outcome != Answered && seen.Outcome != Canceled {
		o.retry(run, seen)
	}
}

func (o *oracle) retry(run oracleRun, seen Observation) {
	r := run.r
	r.Tried = []UpstreamID{run.u}
	d := o.table.Retry(o.now, r, seen)
	if d.Verdict == Refuse {
		return
	}
	if r.Class == agateinventory.Action && seen.Started() {
		o.t.Fatalf("action sent again after %v", seen.Outcome)
	}
	if seen.Outcome != Unstarted {
		o.seconds = append(o.seconds, o.now)
		o.checkBudget()
	}
	o.follow(r, d)
}

func (o *oracle) drain(t *rapid.T) {
	inv := *o.inv
	inv.RetiredUpstreams = nil
	for _, k := range o.known {
		k.retired = false
	}
	if rapid.Bool().Draw(t, "retire") {
		id := o.id()
		inv.RetiredUpstreams = []string{string(id)}
		if k := o.known[id]; k != nil {
			k.retired = true
		}
	}
	for id, k := range o.known {
		for _, x := range inv.RetiredUpstreams {
			k.retired = k.retired || x == string(id)
		}
	}
	o.table.Configure(o.now, &inv)
}

// peers reports counts that are old or wrong.
func (o *oracle) peers(t *rapid.T) {
	x := Exchange{Host: "e2", Age: time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Millisecond}
	x.InFlight = []Count{{ID: o.id(), InFlight: rapid.IntRange(0, 9).Draw(t, "count")}}
	o.table.Merge(o.now, x)
}

func (o *oracle) pass(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "pass")) * time.Millisecond)
	o.refresh()
	o.table.Tick(o.now)
}

// check drains the queue and checks what holds at any time.
func (o *oracle) check(*rapid.T) {
	for r, d, ok := o.table.Next(o.now); ok; r, d, ok = o.table.Next(o.now) {
		if _, known := o.waiting[r.ID]; !known {
			o.t.Fatalf("decision about %s, which does not wait", r.ID)
		}
		delete(o.waiting, r.ID)
		if d.Verdict == Wait {
			o.t.Fatalf("a waiting request was told to wait")
		}
		o.follow(r, d)
	}
	o.checkEjected()
	if own := o.table.services["quotes"]; own != nil {
		o.checkSums(own)
	}
}

func (o *oracle) checkEjected() {
	for _, g := range o.table.groups {
		out := 0
		for _, u := range g.upstreams {
			if u.eject.active(o.now) {
				out++
			}
		}
		if float64(out) > fuzzEject*float64(len(g.upstreams)) {
			o.t.Fatalf("%d of %d ejected in %s", out, len(g.upstreams), g.region)
		}
	}
}

// checkBudget compares second attempts with requests over the last 10 s, at
// the time of a second attempt.
func (o *oracle) checkBudget() {
	count := func(times []time.Time) int {
		n := 0
		for _, at := range times {
			if o.now.Sub(at) < budgetWindow {
				n++
			}
		}
		return n
	}
	if s, r := count(o.seconds), count(o.requests); float64(s) > DefaultBudget*float64(r) {
		o.t.Fatalf("%d second attempts for %d requests", s, r)
	}
}

// checkSums compares the table's sums with plain ones.
func (o *oracle) checkSums(s *service) {
	for _, g := range s.order {
		own, slots := 0, 0.0
		for _, u := range g.upstreams {
			own += o.known[u.id].own
			if u.working() && u.failures < failingFrom && !u.ejected {
				slots += u.slots
			}
		}
		if g.own != own || g.slots != slots {
			o.t.Fatalf("%s: own %d, want %d; slots %v, want %v", g.region, g.own, own, g.slots, slots)
		}
	}
}

// Guards the bounds that must hold under any sequence of events: slots, share
// of connections, drains, deadlines, ejected fraction and retry budget.
func TestTableAgainstOracle(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "20261203"))
	assert.NilError(t, flag.Set("rapid.checks", "400"))
	assert.NilError(t, flag.Set("rapid.steps", "200"))
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"announce": o.announce,
			"choose":   o.choose,
			"choose2":  o.choose,
			"choose3":  o.choose,
			"finish":   o.finish,
			"finish2":  o.finish,
			"drain":    o.drain,
			"peers":    o.peers,
			"pass":     o.pass,
			"":         o.check,
		})
	})
}
