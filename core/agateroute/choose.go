package agateroute

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// scanLimit bounds the upstreams compared for one request, so that the
	// cost of a choice does not grow with the size of a region.
	scanLimit = 64

	// excess is the number of requests per slot that may be in flight at one
	// upstream over all entry hosts. Above 1, slots stay busy while answers
	// travel and one free slot serves whoever comes first. Under lasting
	// overload it falls to excessLeast: what queues at upstreams then is late
	// and counts as admitted beyond the capacity.
	excess      = 2.5
	excessLeast = 1.8

	// pressureFrom and pressureFull are the shares of requests, refused or
	// shifted, from which and at which overload counts as lasting.
	pressureFrom = 0.02
	pressureFull = 0.1

	// pressureWindow is the number of requests over which they are measured.
	pressureWindow = 512

	// partSlack is how much a host may exceed its part of the requests in
	// flight while the total is within the limit.
	partSlack = 1.5

	// slowFrom is the ratio to the usual latency from which an upstream counts
	// as slower. Below it, the difference is within the noise of the mean.
	slowFrom = 1.3

	// farCost is the cost of leaving the failure domain, in units of the usual
	// latency: about 2 ms of 20 ms for the way there and back.
	farCost = 0.1

	// slowForget is the time without an answer after which a slow upstream is
	// tried like the others.
	slowForget = 2 * time.Second

	// firstTravel stands in for the way to another region and back before the
	// first answer from there.
	firstTravel = 40 * time.Millisecond

	// firstExpected stands in for the latency before the first answer.
	firstExpected = 5 * time.Millisecond
)

// pick is the result of comparing the upstreams of one group.
type pick struct {
	best       *upstream
	cost       float64
	held       float64 // requests in flight at the best
	considered int
	busy       int // at their limit
	away       int // kept away by drains
	barred     int // tried before, ejected, held, failing or running a suspect
}

// Choose decides about a new request. After Send, the caller calls Start at
// once. After Wait, Next returns the decision later.
func (t *Table) Choose(now time.Time, r Request) Decision {
	s := t.services[r.Service]
	if s == nil {
		return Decision{Reason: ReasonUnknown, RetryAfter: t.cfg.Interval}
	}
	r.Region = t.regionOf(&r)
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(s.deadline)
	}
	s.budget.request(now)
	home := t.home(s, r.Region)
	if home != nil {
		home.demand.add(now, 1)
	}
	d := t.admit(now, s, home, &r)
	if home != nil {
		home.press(d)
	}
	return d
}

// press counts a decision towards lasting overload.
func (g *group) press(d Decision) {
	x := 1.0
	if d.Region == g.region && d.Reason != ReasonGrant {
		x = 0
	}
	g.pressure.add(x, pressureWindow)
}

// excess is the number of requests per slot that may be in flight now.
func (g *group) excess() float64 {
	full := (g.pressure.mean - pressureFrom) / (pressureFull - pressureFrom)
	return excess - (excess-excessLeast)*min(1, max(0, full))
}

// home returns the group of a service in a region. It exists also without
// upstreams if the inventory lists the region, so that demand is counted.
func (t *Table) home(s *service, region string) *group {
	if g := s.groups[region]; g != nil {
		return g
	}
	known := t.inv.Service(s.name)
	if known == nil || !slices.Contains(known.Regions, region) {
		return nil
	}
	return t.group(s, region)
}

// admit sends the request, lets it wait, or refuses it.
func (t *Table) admit(now time.Time, s *service, home *group, r *Request) Decision {
	if !now.Before(r.Deadline) {
		return Decision{Reason: ReasonLate}
	}
	hash := xxhash.Sum64String(r.ID)
	var p pick
	if home != nil {
		if home.queue.empty() || home.failing() || home.slots == 0 || r.Pinned != "" {
			p = t.survey(now, home, r, hash)
		} else {
			p.busy = len(home.upstreams)
		}
		if d, ok := t.send(now, home, r, p, ReasonBest); ok {
			return d
		}
		// Another region is asked first when it answers sooner.
		if t.soonerElsewhere(now, s, home, r, p) {
			if d, ok := t.overflow(now, s, r, hash); ok {
				return d
			}
		}
		if d, ok := t.enqueue(now, home, r, p); ok {
			return d
		}
	}
	if d, ok := t.overflow(now, s, r, hash); ok {
		return d
	}
	if home != nil {
		if d, ok := t.enqueueAway(now, home, r); ok {
			return d
		}
	}
	return t.refuse(now, home, r, p)
}

// soonerElsewhere reports whether the home region is so busy that the answer
// is expected sooner from another region, travel included.
func (t *Table) soonerElsewhere(now time.Time, s *service, home *group, r *Request, p pick) bool {
	if p.busy == 0 || r.Pinned != "" {
		return false
	}
	g := t.idlest(now, s, r.Region, -1)
	return g != nil && home.wait(now, r.Class)+home.usual() > g.remote(home)
}

// remote is the usual answer time of another region, travel included. Before
// the first answer it is a guess, or a host without any would never ask.
func (g *group) remote(home *group) time.Duration {
	if g.latency.whole.n == 0 {
		return home.usual() + firstTravel
	}
	return g.usual()
}

// send turns a comparison into a decision, if it found an upstream that can
// answer in time.
func (t *Table) send(now time.Time, g *group, r *Request, p pick, why Reason) (Decision, bool) {
	if p.best == nil {
		return Decision{}, false
	}
	expected := g.expected(p.best, p.held)
	if expected > r.Deadline.Sub(now) {
		return Decision{}, false
	}
	if r.Pinned != "" {
		why = ReasonPinned
	}
	if r.Alone {
		p.best.alone++
	}
	return Decision{
		Verdict:    Send,
		Upstream:   p.best.id,
		Address:    p.best.addr,
		Region:     g.region,
		Reason:     why,
		Considered: p.considered,
		Expected:   expected,
	}, true
}

// refuse explains why a request gets no upstream.
func (t *Table) refuse(now time.Time, home *group, r *Request, p pick) Decision {
	d := Decision{Reason: ReasonNone, Considered: p.considered, RetryAfter: t.cfg.Interval}
	switch {
	case home == nil:
	case p.best != nil:
		d.Reason = ReasonLate
	case p.busy > 0 && r.Pinned != "":
		d.Reason = ReasonBusy
	case p.busy > 0 && home.queue.full():
		d.Reason = ReasonFull
		d.RetryAfter = home.retryAfter(now, r)
	case p.busy > 0:
		d.Reason = ReasonAdmission
		d.RetryAfter = home.retryAfter(now, r)
	case p.away > 0:
		d.Reason = ReasonDrained
	}
	return d
}

// overflow looks for an upstream in the other regions, the most idle first.
// The grant is asked for last, since asking uses it up.
func (t *Table) overflow(now time.Time, s *service, r *Request, hash uint64) (Decision, bool) {
	if r.Pinned != "" {
		return t.pinned(now, s, r, hash)
	}
	above := -1.0
	for range s.order {
		g := t.idlest(now, s, r.Region, above)
		if g == nil {
			break
		}
		above = g.used.mean
		if d, ok := t.shiftTo(now, g, r, hash); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// idlest returns the region with the lowest utilisation above a bound that
// may take overflow.
func (t *Table) idlest(now time.Time, s *service, home string, above float64) *group {
	var best *group
	lowest := t.target()
	for _, g := range s.order {
		if g.region == home || !g.takesShift(now) {
			continue
		}
		g.note(now)
		if g.used.mean < lowest && g.used.mean > above {
			best, lowest = g, g.used.mean
		}
	}
	return best
}

// shiftTo sends a request to another region if it gets a grant.
func (t *Table) shiftTo(now time.Time, g *group, r *Request, hash uint64) (Decision, bool) {
	p := t.survey(now, g, r, hash)
	d, ok := t.send(now, g, r, p, ReasonOverflow)
	if !ok {
		return Decision{}, false
	}
	if !t.cfg.Overflow(now, g.service.name, r.Region, g.region) {
		if r.Alone {
			p.best.alone--
		}
		return Decision{}, false
	}
	g.shiftOwn++
	g.shiftAt = now
	if home := g.service.groups[r.Region]; home != nil {
		home.away.used(now, d.Expected)
	}
	return d, true
}

// pinned sends a pinned request to its upstream's region, which is not a
// shift of traffic.
func (t *Table) pinned(now time.Time, s *service, r *Request, hash uint64) (Decision, bool) {
	u := t.upstreams[r.Pinned]
	if u == nil || u.group.service != s {
		return Decision{}, false
	}
	return t.send(now, u.group, r, t.survey(now, u.group, r, hash), ReasonPinned)
}

// survey compares the upstreams of a group for a request.
func (t *Table) survey(now time.Time, g *group, r *Request, hash uint64) pick {
	v := t.view(now, g)
	p := pick{cost: math.Inf(1)}
	n := len(g.upstreams)
	if n == 0 {
		return p
	}
	// The start depends on the request, so that ties do not favour anyone.
	at := int(hash % uint64(n))
	for i := 0; i < min(n, scanLimit); i++ {
		u := g.upstreams[at]
		at++
		if at == n {
			at = 0
		}
		if r.Pinned != "" && u.id != r.Pinned {
			continue
		}
		p.weigh(now, u, r, hash, &v)
	}
	return p
}

// weigh takes one upstream into the comparison.
func (p *pick) weigh(now time.Time, u *upstream, r *Request, hash uint64, v *view) {
	if !u.working() {
		return
	}
	p.considered++
	if u.keptAway(hash) {
		p.away++
		return
	}
	if u.barred(now, r) {
		p.barred++
		return
	}
	n := v.inFlight(u)
	if !u.room(n, v) {
		p.busy++
		return
	}
	if c := u.cost(n, v); c < p.cost {
		p.best, p.cost, p.held = u, c, n
	}
}

// barred reports whether an upstream must not get this request now.
func (u *upstream) barred(now time.Time, r *Request) bool {
	if u.held(now, r.Class) || u.eject.active(now) || u.failing(now) || (r.Alone && u.alone > 0) {
		return true
	}
	for _, id := range r.Tried {
		if id == u.id {
			return true
		}
	}
	return false
}

// failing reports whether the upstream failed several times in a row and it is
// not yet time for the next probe. Unlike an ejection, this leaves a trickle
// of work, so it has no bound on the number of upstreams.
func (u *upstream) failing(now time.Time) bool {
	if u.failures >= failingFrom && (u.own > 0 || now.Before(u.probeAt)) {
		return true
	}
	g := u.group
	return g.failing() && (g.own > 0 || now.Before(g.probeAt))
}

// failing reports whether no upstream of the group answers, as far as they
// were tried: one upstream alone fails fast and often when it refuses
// connections.
func (g *group) failing() bool {
	return g.failures >= groupFailing && 4*g.failed >= 3*len(g.upstreams)
}

// room reports whether the upstream's slots, its ramp and the share of its
// connections leave room for one more request.
func (u *upstream) room(n float64, v *view) bool {
	if u.own >= u.share {
		return false
	}
	if !u.ramp.warm && float64(u.own)+u.peers+1 > u.ramp.open {
		return false
	}
	limit := u.slots * v.excess
	return (n+1 <= limit && !v.above) || (v.below && n+1 <= limit+u.slots)
}

// part is this host's part of the requests that may be in flight, by what it
// holds against what all hosts hold.
func (g *group) part() float64 {
	own := float64(g.live)*g.present + float64(g.queue.len()) + 1
	return g.slots * g.excess() * own / (own + g.peers + float64(g.peersWaiting))
}

// below reports whether this host has less than its part. Without this, a
// host with a long queue would wait for others with none.
func (g *group) below() bool {
	return float64(g.live)*g.present+1 <= g.part()
}

// above reports whether this host has more than its part while no slot is
// idle. Without this, hosts that all see the same old count fill the same gap.
func (g *group) above() bool {
	return g.load() >= g.slots && float64(g.live)*g.present+1 > g.part()*partSlack
}

// cost is the expected time to answer in units of the group's usual latency.
func (u *upstream) cost(n float64, v *view) float64 {
	cost := u.ratio(v) * (n + 1) / u.slots
	if !u.near {
		cost += farCost
	}
	return cost
}

// ratio is how much slower than usual the upstream answers, or 1. It fades
// while no answer comes, or an upstream that was slow once would never be
// tried again.
func (u *upstream) ratio(v *view) float64 {
	if u.latency.n < ratioEnough || v.normal <= 0 {
		return 1
	}
	r := u.latency.mean / v.normal
	if r < slowFrom {
		return 1
	}
	idle := v.now.Sub(u.seen).Seconds() / slowForget.Seconds()
	return 1 + (r-1)*max(0, 1-idle)
}

const (
	// failingFrom is the number of failures in a row from which an upstream
	// gets no more than one request per failingProbe.
	failingFrom  = 2
	failingProbe = 200 * time.Millisecond

	// failingDoublings is how often that time doubles: up to 1.6 s.
	failingDoublings = 3

	// groupFailing is the number of failures in a row, over all upstreams of a
	// service in a region, from which that holds for all of them together.
	groupFailing = 4
)

// ratioEnough is the number of answers from which a mean is trusted.
const ratioEnough = 8

// expected is the expected time to the answer of an upstream that already has
// n requests in flight.
func (g *group) expected(u *upstream, n float64) time.Duration {
	usual := g.latency.normal.mean
	if g.latency.normal.n == 0 {
		return firstExpected
	}
	if u.latency.n >= ratioEnough {
		usual = u.latency.mean
	}
	return time.Duration(usual * max(1, (n+1)/u.slots) * float64(time.Second))
}

// takesShift reports whether a cold region's ramp leaves room for one more
// request from another region.
func (g *group) takesShift(now time.Time) bool {
	if now.Sub(g.shiftAt) > shiftIdle && g.shiftOwn == 0 {
		g.shift = ramp{open: 1}
	}
	return g.slots > 0 && (g.shift.warm || float64(g.shiftOwn) < g.shift.open)
}

// load is the number of requests at the upstreams over all entry hosts as
// known.
func (g *group) load() float64 {
	return float64(g.live)*g.present + g.peers
}
