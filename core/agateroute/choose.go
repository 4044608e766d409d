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
	excessLeast = 1.6

	// pressureFrom and pressureFull are the shares of requests, refused or
	// shifted, from which and at which overload counts as lasting.
	pressureFrom = 0.02
	pressureFull = 0.1

	// pressureWindow is the number of requests over which they are measured.
	pressureWindow = 512

	// partSlack is how much a host may exceed its part of the requests in
	// flight while the total is within the limit.
	partSlack = 2.0

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

// rival is an upstream that could take a request, with its cost and the
// requests in flight there.
type rival struct {
	u    *upstream
	cost float64
	held float64
}

// pick is the result of comparing the upstreams of one group.
type pick struct {
	best       *upstream
	cost       float64
	held       float64 // requests in flight at the best
	near       [maxBest]rival
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
		return Decision{Reason: ReasonLate, RetryAfter: t.cfg.Interval}
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
		Best:       p.candidates(g),
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

// load is the number of requests at the upstreams over all entry hosts as
// known.
func (g *group) load() float64 {
	return float64(g.live)*g.present + g.peers
}
