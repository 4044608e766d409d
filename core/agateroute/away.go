package agateroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateinventory"
)

// shiftReserve is the ratio to the usual answer time of another region that
// must be left to a request when it waits for a grant.
const shiftReserve = 1.25

// away holds requests that can only be answered in another region, until the
// next grant. Grants come at a steady rate and requests do not, so a short
// wait uses grants that would otherwise end unused.
type away struct {
	queue queue
	taken rate // grants used
	usual ewma // seconds until the answer from another region
}

// used counts a grant.
func (a *away) used(now time.Time, expected time.Duration) {
	a.taken.add(now, 1)
	a.usual.add(expected.Seconds(), groupWindow)
}

// reserve is the time that must be left when a request is sent.
func (a *away) reserve() time.Duration {
	return time.Duration(a.usual.mean * shiftReserve * float64(time.Second))
}

// enqueueAway lets a request wait for a grant if one is expected in time.
func (t *Table) enqueueAway(now time.Time, g *group, r *Request) (Decision, bool) {
	a := &g.away
	taken := a.taken.value(now)
	if r.Pinned != "" || taken <= 0 || a.queue.full() {
		return Decision{}, false
	}
	wait := time.Duration(float64(a.queue.len()+1) / taken * float64(time.Second))
	if wait+a.reserve() > r.Deadline.Sub(now) {
		return Decision{}, false
	}
	a.queue.push(*r)
	return Decision{
		Verdict:  Wait,
		Reason:   ReasonGrant,
		Region:   g.region,
		Expected: wait + time.Duration(a.usual.mean*float64(time.Second)),
	}, true
}

// nextAway decides about requests that wait for a grant: by a grant, by room
// in the home region that nobody else waits for, or when it is too late.
func (t *Table) nextAway(now time.Time, g *group) (Request, Decision, bool) {
	a := &g.away
	if a.queue.empty() {
		return Request{}, Decision{}, false
	}
	if r, d, ok := a.queue.expire(now, a.reserve()); ok {
		d.RetryAfter = t.cfg.Interval
		return r, d, true
	}
	first := a.queue.first(true)
	for _, c := range [2]agateinventory.Class{first, 1 - first} {
		if len(a.queue.waiting[c]) == 0 {
			continue
		}
		r := &a.queue.waiting[c][0]
		if d, ok := t.sendAway(now, g, r); ok {
			a.queue.served(c)
			return a.queue.remove(c, 0), d, true
		}
	}
	return Request{}, Decision{}, false
}

// sendAway sends a request that waited for a grant.
func (t *Table) sendAway(now time.Time, g *group, r *Request) (Decision, bool) {
	hash := xxhash.Sum64String(r.ID)
	if g.queue.empty() {
		if d, ok := t.send(now, g, r, t.survey(now, g, r, hash), ReasonBest); ok {
			return d, true
		}
	}
	return t.overflow(now, g.service, r, hash)
}
