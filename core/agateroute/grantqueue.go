package agateroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateinventory"
)

// minRemainingRatio is the minimum time left until the deadline of a request that
// waits for a grant, as a multiple of the mean latency of other regions.
const minRemainingRatio = 1.25

// grantQueue holds requests that only another region can answer. They wait for the
// next overflow grant. Grants come at a steady rate and requests do not, so a
// short wait uses grants that would otherwise expire.
type grantQueue struct {
	queue     queue
	grantRate rate // grants used per second
	latency   ewma // seconds until the response from another region
}

func (q *grantQueue) recordGrant(now time.Time, expected time.Duration) {
	q.grantRate.add(now, 1)
	q.latency.add(expected.Seconds(), groupLatencyWindow)
}

// minRemaining returns the time that must remain until the deadline when a
// request is sent.
func (q *grantQueue) minRemaining() time.Duration {
	return time.Duration(q.latency.mean * minRemainingRatio * float64(time.Second))
}

// enqueueForGrant queues a request if a grant is expected in time.
func (t *Table) enqueueForGrant(now time.Time, g *group, r *Request) (Decision, bool) {
	q := &g.grantQueue
	rate := q.grantRate.value(now)
	if r.Pinned != "" || rate <= 0 || q.queue.full() {
		return Decision{}, false
	}
	wait := time.Duration(float64(q.queue.len()+1) / rate * float64(time.Second))
	if wait+q.minRemaining() > r.Deadline.Sub(now) {
		return Decision{}, false
	}
	q.queue.push(*r)
	return Decision{
		Verdict:         Wait,
		Reason:          ReasonGrant,
		Region:          g.region,
		ExpectedLatency: wait + time.Duration(q.latency.mean*float64(time.Second)),
	}, true
}

// nextForGrant decides one request that waits for a grant: it is sent with a
// grant or to free capacity of the home region, or refused when it can no longer
// be answered in time. The home region's own queue has precedence.
func (t *Table) nextForGrant(now time.Time, g *group) (Request, Decision, bool) {
	q := &g.grantQueue
	if q.queue.empty() {
		return Request{}, Decision{}, false
	}
	if r, d, ok := q.queue.expire(now, q.minRemaining()); ok {
		d.RetryAfter = t.cfg.AnnounceInterval
		return r, d, true
	}
	preferred := q.queue.nextClass(true)
	for _, c := range [2]agateinventory.Class{preferred, 1 - preferred} {
		if len(q.queue.waiting[c]) == 0 {
			continue
		}
		r := &q.queue.waiting[c][0]
		if d, ok := t.trySendQueued(now, g, r); ok {
			q.queue.advanceTurn(c)
			return q.queue.remove(c, 0), d, true
		}
	}
	return Request{}, Decision{}, false
}

// trySendQueued tries to send a request that waits for a grant.
func (t *Table) trySendQueued(now time.Time, g *group, r *Request) (Decision, bool) {
	hash := xxhash.Sum64String(r.ID)
	if g.queue.empty() {
		if d, ok := t.trySend(now, g, r, t.scan(now, g, r, hash), ReasonBest); ok {
			return d, true
		}
	}
	return t.overflow(now, g.service, r, hash)
}
