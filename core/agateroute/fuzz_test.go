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

// oracle is a simple model of a Table: it records all inputs and decisions, and
// computes the expected totals directly.
type oracle struct {
	t              *rapid.T
	table          *Table
	now            time.Time
	nextID         int
	upstreams      map[UpstreamID]*oracleUpstream
	waiting        map[string]Request
	requests       []time.Time
	secondAttempts []time.Time
	running        []oracleAttempt
	inv            *agateinventory.Inventory
}

type oracleUpstream struct {
	announcement Announcement
	announcedAt  time.Time
	inFlight     int
	pausedUntil  time.Time
	leaving      bool // a response of the present incarnation said so
	retired      bool
}

type oracleAttempt struct {
	request     Request
	upstream    UpstreamID
	incarnation uint64
}

const (
	fuzzHosts      = 3
	fuzzEjectShare = 0.34
)

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		t: t, now: epoch, upstreams: map[UpstreamID]*oracleUpstream{}, waiting: map[string]Request{},
		inv: &agateinventory.Inventory{MaxEjectedShare: fuzzEjectShare, Hosts: make([]agateinventory.Host, fuzzHosts)},
	}
	grant := func(now time.Time, _, from, to string) bool {
		return from != to && now.UnixMilli()%3 > 0
	}
	o.table = New(Config{Host: "e1", Region: "r0", QueueLimit: 8, AllowOverflow: grant})
	o.table.Configure(o.now, o.inv)
	return o
}

func (o *oracle) id() UpstreamID {
	return UpstreamID(fmt.Sprint("u", rapid.IntRange(0, 5).Draw(o.t, "upstream")))
}

// announce sends announcements in any order, including outdated ones.
func (o *oracle) announce(t *rapid.T) {
	id := o.id()
	a := Announcement{
		ID: id, Incarnation: rapid.Uint64Range(1, 3).Draw(t, "inc"), Sequence: rapid.Uint64Range(1, 60).Draw(t, "seq"),
		Service: "quotes", Region: fmt.Sprint("r", len(id)%2), Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Slots: 3, MaxConnections: rapid.SampledFrom([]int{6, 300}).Draw(t, "conns"),
		State: rapid.SampledFrom([]State{Up, Up, Up, Draining, Leaving}).Draw(t, "state"),
	}
	if id[1]%2 == 1 {
		a.Region = "r1"
	}
	k := o.upstreams[id]
	newer := k == nil || a.Incarnation > k.announcement.Incarnation ||
		(a.Incarnation == k.announcement.Incarnation && a.Sequence > k.announcement.Sequence)
	if got := o.table.Announce(o.now, a); (got == Accepted) != newer {
		t.Fatalf("announcement %+v: %v, known %+v", a, got, k)
	}
	if !newer {
		return
	}
	if k == nil {
		k = &oracleUpstream{}
		o.upstreams[id] = k
	}
	if a.Incarnation > k.announcement.Incarnation {
		k.pausedUntil, k.leaving = time.Time{}, false
	}
	k.announcement, k.announcedAt = a, o.now
}

// renewLeases renews all leases, so that no upstream is removed during a run.
func (o *oracle) renewLeases() {
	for _, k := range o.upstreams {
		k.announcement.Sequence++
		k.announcedAt = o.now
		if got := o.table.Announce(o.now, k.announcement); got != Accepted {
			o.t.Fatalf("announcement of %s to renew its lease: %v", k.announcement.ID, got)
		}
	}
}

func (o *oracle) choose(t *rapid.T) {
	o.nextID++
	r := Request{
		ID: fmt.Sprint("q", o.nextID), Service: "quotes", HomeRegion: "r0",
		Class:    rapid.SampledFrom([]agateinventory.Class{agateinventory.Action, agateinventory.Read}).Draw(t, "class"),
		Deadline: o.now.Add(time.Duration(rapid.IntRange(-5, 400).Draw(t, "left")) * time.Millisecond),
		Suspect:  rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}
	if rapid.IntRange(0, 4).Draw(t, "tried") == 0 {
		r.Tried = []UpstreamID{o.id()}
	}
	o.requests = append(o.requests, o.now)
	o.handle(r, o.table.Choose(o.now, r))
}

// handle checks a decision and applies it.
func (o *oracle) handle(r Request, d Decision) {
	switch d.Verdict {
	case Wait:
		o.waiting[r.ID] = r
		return
	case Refuse:
		return
	}
	k := o.upstreams[d.Upstream]
	switch {
	case k == nil:
		o.t.Fatalf("unknown upstream %s", d.Upstream)
	case !o.now.Before(r.Deadline):
		o.t.Fatalf("sent %s after its deadline", r.ID)
	case k.announcement.State != Up || k.retired:
		o.t.Fatalf("request sent to %s in state %v, retired %v", d.Upstream, k.announcement.State, k.retired)
	case k.leaving:
		o.t.Fatalf("request sent to %s, which said that it leaves", d.Upstream)
	case o.now.Before(k.pausedUntil):
		o.t.Fatalf("request sent to %s before its Retry-After ended", d.Upstream)
	case len(r.Tried) > 0 && r.Tried[0] == d.Upstream:
		o.t.Fatalf("request sent again to %s, which it had tried", d.Upstream)
	}
	if r.Suspect {
		o.checkSuspects(d.Upstream)
	}
	o.table.Start(o.now, d.Upstream)
	k.inFlight++
	o.running = append(o.running, oracleAttempt{request: r, upstream: d.Upstream, incarnation: k.announcement.Incarnation})
	if limit := max(1, k.announcement.MaxConnections/fuzzHosts); k.inFlight > limit {
		o.t.Fatalf("%d requests in flight at %s, limit of connections %d", k.inFlight, d.Upstream, limit)
	}
	if float64(k.inFlight) > (maxInFlightPerSlot+1)*float64(k.announcement.Slots) {
		o.t.Fatalf("%d requests in flight at %s with %d slots", k.inFlight, d.Upstream, k.announcement.Slots)
	}
}

func (o *oracle) checkSuspects(id UpstreamID) {
	for _, attempt := range o.running {
		if attempt.upstream == id && attempt.request.Suspect {
			o.t.Fatalf("two suspects at %s", id)
		}
	}
}

func (o *oracle) finish(t *rapid.T) {
	if len(o.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.running)-1).Draw(t, "which")
	attempt := o.running[i]
	o.running = append(o.running[:i], o.running[i+1:]...)
	obs := Observation{
		Outcome:    rapid.SampledFrom([]Outcome{Answered, Answered, Answered, Shed, NotSent, Failed, Failed, TimedOut, Canceled}).Draw(t, "outcome"),
		HomeRegion: "r0", Suspect: attempt.request.Suspect, Incarnation: attempt.incarnation,
		Latency: time.Duration(rapid.IntRange(1, 60).Draw(t, "latency")) * time.Millisecond,
	}
	k := o.upstreams[attempt.upstream]
	if obs.Outcome == Shed {
		obs.RetryAfter = rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 50 * time.Millisecond}).Draw(t, "retry-after")
		if until := o.now.Add(obs.RetryAfter); until.After(k.pausedUntil) && attempt.incarnation == k.announcement.Incarnation {
			k.pausedUntil = until
		}
	}
	obs.Leaving = rapid.IntRange(0, 19).Draw(t, "leaving") == 0
	if obs.Leaving && attempt.incarnation == k.announcement.Incarnation {
		k.leaving = true
	}
	k.inFlight--
	o.table.Finish(o.now, attempt.upstream, obs)
	if obs.Outcome != Answered && obs.Outcome != Canceled {
		o.retry(attempt, obs)
	}
}

func (o *oracle) retry(attempt oracleAttempt, obs Observation) {
	r := attempt.request
	r.Tried = []UpstreamID{attempt.upstream}
	d := o.table.Retry(o.now, r, obs)
	if d.Verdict == Refuse {
		return
	}
	if r.Class == agateinventory.Action && obs.MayHaveRun() {
		o.t.Fatalf("action sent again after outcome %v", obs.Outcome)
	}
	if obs.Outcome != NotSent {
		o.secondAttempts = append(o.secondAttempts, o.now)
		o.checkBudget()
	}
	o.handle(r, d)
}

func (o *oracle) drain(t *rapid.T) {
	inv := *o.inv
	inv.RetiredUpstreams = nil
	for _, k := range o.upstreams {
		k.retired = false
	}
	if rapid.Bool().Draw(t, "retire") {
		id := o.id()
		inv.RetiredUpstreams = []string{string(id)}
		if k := o.upstreams[id]; k != nil {
			k.retired = true
		}
	}
	for id, k := range o.upstreams {
		for _, x := range inv.RetiredUpstreams {
			k.retired = k.retired || x == string(id)
		}
	}
	o.table.Configure(o.now, &inv)
}

// mergePeer reports counts of a peer that are old or wrong.
func (o *oracle) mergePeer(t *rapid.T) {
	x := Exchange{Host: "e2", Age: time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Millisecond}
	x.InFlight = []InFlightCount{{ID: o.id(), InFlight: rapid.IntRange(0, 9).Draw(t, "count")}}
	o.table.Merge(o.now, x)
}

func (o *oracle) advance(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "pass")) * time.Millisecond)
	o.renewLeases()
	o.table.Tick(o.now)
}

// check processes the queue and checks the invariants.
func (o *oracle) check(*rapid.T) {
	for r, d, ok := o.table.Next(o.now); ok; r, d, ok = o.table.Next(o.now) {
		if _, known := o.waiting[r.ID]; !known {
			o.t.Fatalf("decision about %s, which is not waiting", r.ID)
		}
		delete(o.waiting, r.ID)
		if d.Verdict == Wait {
			o.t.Fatalf("Next returned Wait")
		}
		o.handle(r, d)
	}
	o.checkEjected()
	if s := o.table.services["quotes"]; s != nil {
		o.checkTotals(s)
	}
}

func (o *oracle) checkEjected() {
	for _, g := range o.table.groups {
		ejected := 0
		for _, u := range g.upstreams {
			if u.ejection.active(o.now) {
				ejected++
			}
		}
		if float64(ejected) > fuzzEjectShare*float64(len(g.upstreams)) {
			o.t.Fatalf("%d of %d ejected in %s", ejected, len(g.upstreams), g.region)
		}
	}
}

// checkBudget compares the second attempts of the last 10 s with the requests,
// at the time of a second attempt.
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
	if secondAttempts, requests := count(o.secondAttempts), count(o.requests); float64(secondAttempts) > RetryBudgetRatio*float64(requests) {
		o.t.Fatalf("%d second attempts for %d requests in 10 s", secondAttempts, requests)
	}
}

// checkTotals compares the table's totals with those of the model.
func (o *oracle) checkTotals(s *service) {
	for _, g := range s.groupOrder {
		inFlight, slots := 0, 0.0
		for _, u := range g.upstreams {
			inFlight += o.upstreams[u.id].inFlight
			if u.acceptsWork() && u.failures < failingThreshold && !u.ejected {
				slots += u.slots
			}
		}
		if g.ownInFlight != inFlight || g.slots != slots {
			o.t.Fatalf("%s: %d own requests in flight, want %d; slots %v, want %v", g.region, g.ownInFlight, inFlight, g.slots, slots)
		}
	}
}

// Guards the limits that must hold under any sequence of events: slots, share of
// connections, drains, deadlines, share of ejected upstreams and retry budget.
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
			"peers":    o.mergePeer,
			"pass":     o.advance,
			"":         o.check,
		})
	})
}
