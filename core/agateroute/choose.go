package agateroute

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxScanned limits the upstreams compared for one request, so that the cost
	// of a decision does not grow with the size of a region.
	maxScanned = 64

	// maxInFlightPerSlot limits the requests in flight at one upstream, over all
	// entry hosts, per slot. A value above 1 keeps slots busy during network round
	// trips, and lets any slot that becomes free start the next request. Under
	// sustained overload the limit falls gradually to overloadInFlightPerSlot,
	// because requests queued at upstreams then miss their deadlines and count as
	// load admitted beyond capacity.
	maxInFlightPerSlot      = 2.5
	overloadInFlightPerSlot = 1.6

	// overloadMinShare and overloadFullShare are the shares of requests refused
	// or shifted to another region at which the in-flight limit starts to fall
	// and reaches its minimum.
	overloadMinShare  = 0.02
	overloadFullShare = 0.1

	// overloadWindow is the number of requests over which the share is averaged.
	overloadWindow = 512

	// fairShareSlack is the factor by which an entry host may exceed its fair
	// share of the requests in flight before it must wait, although the total is
	// within the limit.
	fairShareSlack = 2.0

	// minSlowRatio is the ratio to the group's mean latency from which an
	// upstream counts as slower. Smaller differences are ignored as random
	// variation.
	minSlowRatio = 1.3

	// crossDomainCost is the cost of leaving the failure domain, in units of the
	// unloaded latency: a round trip of about 2 ms at a latency of 20 ms.
	crossDomainCost = 0.1

	// slownessDecay is the time without a response after which a slow upstream is
	// treated like the others again.
	slownessDecay = 2 * time.Second

	// remeasureInterval is the time without a response from a group after which a
	// request is sent although it is expected to be late, see Table.remeasure.
	remeasureInterval = time.Second

	// initialRTT is the assumed round-trip time to another region before the
	// first response from it.
	initialRTT = 40 * time.Millisecond

	// initialLatency is the assumed latency of a group before its first response.
	initialLatency = 5 * time.Millisecond
)

// candidate is an upstream that can take a request.
type candidate struct {
	upstream *upstream
	cost     float64
	inFlight float64
}

// selection is the result of comparing the upstreams of a group for a request.
type selection struct {
	best       *upstream
	cost       float64
	inFlight   float64 // requests in flight at best
	ranked     [maxCandidates]candidate
	considered int
	busy       int // without capacity: at the limit of in-flight requests, connections, ramp or fair share
	drained    int // excluded by staged drains
	excluded   int // already tried, ejected, failing, in Retry-After or running another suspect
}

// Choose decides how to handle a new request. After Send, the caller must call
// Start immediately. After Wait, a later call of Next returns the decision.
func (t *Table) Choose(now time.Time, r Request) Decision {
	s := t.services[r.Service]
	if s == nil {
		return Decision{Reason: ReasonUnknown, RetryAfter: t.cfg.AnnounceInterval}
	}
	r.HomeRegion = t.regionOf(&r)
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(s.deadline)
	}
	s.retryBudget.addRequest(now)
	home := t.homeGroup(s, r.HomeRegion)
	if home != nil {
		home.demand.add(now, 1)
	}
	d := t.admit(now, s, home, &r)
	if home != nil {
		home.recordOverload(d)
	}
	return d
}

// recordOverload updates the share of requests that the home region could not
// serve.
func (g *group) recordOverload(d Decision) {
	unserved := 1.0
	if d.Region == g.region && d.Reason != ReasonGrant {
		unserved = 0
	}
	g.unservedShare.add(unserved, overloadWindow)
}

// inFlightPerSlot returns the current limit of requests in flight per slot.
func (g *group) inFlightPerSlot() float64 {
	severity := (g.unservedShare.mean - overloadMinShare) / (overloadFullShare - overloadMinShare)
	return maxInFlightPerSlot - (maxInFlightPerSlot-overloadInFlightPerSlot)*min(1, max(0, severity))
}

// homeGroup returns the group of a service in a region, or nil. If the
// inventory lists the region, the group is created even without upstreams, so
// that demand is measured.
func (t *Table) homeGroup(s *service, region string) *group {
	if g := s.groups[region]; g != nil {
		return g
	}
	known := t.inv.Service(s.name)
	if known == nil || !slices.Contains(known.Regions, region) {
		return nil
	}
	return t.group(s, region)
}

// admit decides whether to send, queue or refuse a request.
func (t *Table) admit(now time.Time, s *service, home *group, r *Request) Decision {
	if !now.Before(r.Deadline) {
		return Decision{Reason: ReasonLate, RetryAfter: t.cfg.AnnounceInterval}
	}
	hash := xxhash.Sum64String(r.ID)
	var sel selection
	if home != nil {
		if home.queue.empty() || home.failing() || home.slots == 0 || r.Pinned != "" {
			sel = t.scan(now, home, r, hash)
		} else {
			sel.busy = len(home.upstreams)
		}
		if d, ok := t.trySend(now, home, r, sel, ReasonBest); ok {
			return d
		}
		// Prefer another region if it is expected to respond sooner.
		if t.remoteIsFaster(now, s, home, r, sel) {
			if d, ok := t.overflow(now, s, r, hash); ok {
				return d
			}
		}
		if d, ok := t.enqueue(now, home, r, sel); ok {
			return d
		}
	}
	if d, ok := t.overflow(now, s, r, hash); ok {
		return d
	}
	if home != nil {
		if d, ok := t.enqueueForGrant(now, home, r); ok {
			return d
		}
		if d, ok := t.remeasure(now, home, r, sel); ok {
			return d
		}
	}
	return t.refuse(now, home, r, sel)
}

// remeasure sends a request that would be refused as late, if no response has confirmed
// the latency of the group lately. An entry host that refuses all requests measures no
// latency, and would not notice that the upstreams have become faster.
func (t *Table) remeasure(now time.Time, g *group, r *Request, sel selection) (Decision, bool) {
	if sel.best == nil || now.Sub(g.measuredAt) < remeasureInterval {
		return Decision{}, false
	}
	g.measuredAt = now
	sel.best.remeasures = true
	return g.send(r, sel, ReasonBest), true
}

// trySend returns a Send decision if the selection has an upstream that is
// expected to respond before the deadline.
func (t *Table) trySend(now time.Time, g *group, r *Request, sel selection, reason Reason) (Decision, bool) {
	if sel.best == nil {
		return Decision{}, false
	}
	if g.expectedLatency(sel.best, sel.inFlight) > r.Deadline.Sub(now) {
		return Decision{}, false
	}
	return g.send(r, sel, reason), true
}

// send returns a Send decision for the best upstream of a selection.
func (g *group) send(r *Request, sel selection, reason Reason) Decision {
	if r.Pinned != "" {
		reason = ReasonPinned
	}
	if r.Suspect {
		sel.best.suspects++
	}
	return Decision{
		Verdict:         Send,
		Upstream:        sel.best.id,
		Address:         sel.best.addr,
		Incarnation:     sel.best.announcement.Incarnation,
		Region:          g.region,
		Reason:          reason,
		Considered:      sel.considered,
		Candidates:      sel.candidates(g),
		ExpectedLatency: g.expectedLatency(sel.best, sel.inFlight),
	}
}

// refuse returns a Refuse decision with the reason that no upstream was chosen.
func (t *Table) refuse(now time.Time, home *group, r *Request, sel selection) Decision {
	d := Decision{Reason: ReasonNone, Considered: sel.considered, RetryAfter: t.cfg.AnnounceInterval}
	switch {
	case home == nil:
	case sel.best != nil:
		d.Reason = ReasonLate
	case sel.busy > 0 && r.Pinned != "":
		d.Reason = ReasonBusy
	case sel.busy > 0 && home.queue.full():
		d.Reason = ReasonFull
		d.RetryAfter = home.retryAfter(now, r)
	case sel.busy > 0:
		d.Reason = ReasonAdmission
		d.RetryAfter = home.retryAfter(now, r)
	case sel.drained > 0:
		d.Reason = ReasonDrained
	}
	return d
}

// scan compares the upstreams of a group for a request.
func (t *Table) scan(now time.Time, g *group, r *Request, hash uint64) selection {
	view := t.loadView(now, g)
	sel := selection{cost: math.Inf(1)}
	n := len(g.upstreams)
	if n == 0 {
		return sel
	}
	// Start at a position that depends on the request, so that ties are spread
	// over all upstreams.
	index := int(hash % uint64(n))
	for i := 0; i < min(n, maxScanned); i++ {
		u := g.upstreams[index]
		index++
		if index == n {
			index = 0
		}
		if r.Pinned != "" && u.id != r.Pinned {
			continue
		}
		sel.consider(now, u, r, hash, &view)
	}
	return sel
}

// expectedLatency estimates the latency of a new request to an upstream that
// has the given number of requests in flight.
func (g *group) expectedLatency(u *upstream, inFlight float64) time.Duration {
	latency := g.latency.unloaded.mean
	if g.latency.unloaded.samples == 0 {
		return initialLatency
	}
	if u.latency.samples >= minMeanSamples {
		latency = u.latency.mean
	}
	return time.Duration(latency * max(1, (inFlight+1)/u.slots) * float64(time.Second))
}

// totalInFlight estimates the number of requests at the usable upstreams over
// all entry hosts.
func (g *group) totalInFlight() float64 {
	return float64(g.usableInFlight)*g.serviceTimeFraction + g.peerInFlight
}
