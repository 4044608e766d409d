package agateroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateinventory"
)

const (
	// While both classes wait, they share a cycle of turnCycle turns. readTurn
	// belongs to reads, deadlineTurn to the request with the earlier deadline
	// (under sustained overload, to actions), and the others to actions. Reads
	// get at least one quarter of the turns and actions at least one half.
	// Being the last turn, readTurn is also the maximum number of actions served
	// per read.
	turnCycle    = 4
	readTurn     = 3
	deadlineTurn = 1

	// lookAhead is the number of requests of a class examined at the head of its
	// queue. A request is passed over if drains or other rules, and not only
	// load, keep it from some upstream.
	lookAhead = 8
)

// queue holds the waiting requests of one group, by class.
type queue struct {
	waiting          [2][]Request // by class
	limit            int
	turn             int
	earliestDeadline time.Time // lower bound over all waiting requests
}

func newQueue(limit int) queue {
	return queue{limit: limit}
}

func (q *queue) len() int {
	return len(q.waiting[0]) + len(q.waiting[1])
}

func (q *queue) empty() bool {
	return q.len() == 0
}

func (q *queue) full() bool {
	return q.len() >= q.limit
}

func (q *queue) push(r Request) {
	if q.empty() || r.Deadline.Before(q.earliestDeadline) {
		q.earliestDeadline = r.Deadline
	}
	// The mask keeps an invalid class within the bounds of the array.
	q.waiting[r.Class&1] = append(q.waiting[r.Class&1], r)
}

// remove removes and returns the request at index i of a class.
func (q *queue) remove(c agateinventory.Class, i int) Request {
	waiting := q.waiting[c]
	r := waiting[i]
	copy(waiting[i:], waiting[i+1:])
	waiting[len(waiting)-1] = Request{}
	q.waiting[c] = waiting[:len(waiting)-1]
	return r
}

// nextClass returns the class whose turn it is.
func (q *queue) nextClass(overload bool) agateinventory.Class {
	switch turn := q.turn % turnCycle; {
	case turn == readTurn:
		return agateinventory.Read
	case turn == deadlineTurn && !overload:
		return q.earliestClass()
	}
	return agateinventory.Action
}

// earliestClass returns the class whose first request has the earlier deadline.
func (q *queue) earliestClass() agateinventory.Class {
	actions, reads := q.waiting[agateinventory.Action], q.waiting[agateinventory.Read]
	if len(reads) > 0 && len(actions) > 0 && reads[0].Deadline.Before(actions[0].Deadline) {
		return agateinventory.Read
	}
	return agateinventory.Action
}

// advanceTurn counts a turn used by class c. Turns count only while both classes
// wait.
func (q *queue) advanceTurn(c agateinventory.Class) {
	if len(q.waiting[1-c]) > 0 {
		q.turn++
	}
}

// enqueue queues a request for a busy group if a response is expected in time.
func (t *Table) enqueue(now time.Time, g *group, r *Request, sel selection) (Decision, bool) {
	if sel.best != nil || sel.busy == 0 || g.failing() || r.Pinned != "" || g.queue.full() || g.slots == 0 {
		return Decision{}, false
	}
	wait := g.queueWait(now, r.Class)
	if wait+g.minRemaining() > r.Deadline.Sub(now) {
		return Decision{}, false
	}
	g.queue.push(*r)
	return Decision{
		Verdict:         Wait,
		Reason:          ReasonBusy,
		Region:          g.region,
		Considered:      sel.considered,
		ExpectedLatency: wait + g.meanLatency(),
	}, true
}

// queueWait estimates the queueing time of one more request of a class.
func (g *group) queueWait(now time.Time, c agateinventory.Class) time.Duration {
	latency := g.meanLatency()
	actions := len(g.queue.waiting[agateinventory.Action])
	reads := len(g.queue.waiting[agateinventory.Read])
	ahead := actions + min(reads, actions/readTurn)
	if c == agateinventory.Read {
		ahead = reads + min(actions, readTurn*(reads+1))
	}
	// By Little's law, the response rate is requests in flight / latency.
	return latency * time.Duration(ahead+1) / time.Duration(max(1, g.ownInFlight))
}

// meanLatency returns the mean observed latency, including queueing at upstreams.
func (g *group) meanLatency() time.Duration {
	if g.latency.observed.samples == 0 {
		return initialLatency
	}
	return time.Duration(g.latency.observed.mean * float64(time.Second))
}

// minRemaining returns the time that must remain until the deadline when a
// request is sent, so that most responses arrive in time. The 95th percentile
// alone would refuse requests during short bursts that can be answered.
func (g *group) minRemaining() time.Duration {
	return min((g.latency.p50+g.latency.p95)/2, g.service.deadline/2)
}

// retryAfter estimates when a refused request could be admitted.
func (g *group) retryAfter(now time.Time, r *Request) time.Duration {
	excess := g.queueWait(now, r.Class) + g.minRemaining() - r.Deadline.Sub(now)
	return roundUpToMillisecond(max(excess, g.meanLatency()))
}

func roundUpToMillisecond(d time.Duration) time.Duration {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond)
}

// Next returns a waiting request that can be decided now: Send if an upstream
// has room, or Refuse if it can no longer be answered in time. The caller calls
// Next until ok is false.
func (t *Table) Next(now time.Time) (r Request, d Decision, ok bool) {
	for range t.groups {
		if t.nextGroup >= len(t.groups) {
			t.nextGroup = 0
		}
		g := t.groups[t.nextGroup]
		if r, d, ok = t.nextQueued(now, g); ok {
			return r, d, true
		}
		if r, d, ok = t.nextForGrant(now, g); ok {
			return r, d, true
		}
		t.nextGroup++
	}
	return Request{}, Decision{}, false
}

// nextQueued decides one request in the queue of a group.
func (t *Table) nextQueued(now time.Time, g *group) (Request, Decision, bool) {
	if g.queue.empty() {
		return Request{}, Decision{}, false
	}
	if g.failing() || g.slots == 0 {
		return t.redispatch(now, g)
	}
	// The remaining time must cover the median latency.
	if r, d, ok := g.queue.expire(now, g.latency.p50); ok {
		d.RetryAfter = roundUpToMillisecond(g.meanLatency())
		return r, d, true
	}
	preferred := g.queue.nextClass(g.unservedShare.mean > overloadMinShare)
	for _, c := range [2]agateinventory.Class{preferred, 1 - preferred} {
		if r, d, ok := t.serveClass(now, g, c); ok {
			return r, d, true
		}
	}
	return Request{}, Decision{}, false
}

// redispatch decides the requests queued for a group that is failing or has no
// usable slots. Those that can wait for a grant move to the grant queue.
func (t *Table) redispatch(now time.Time, g *group) (Request, Decision, bool) {
	for !g.queue.empty() {
		c := agateinventory.Action
		if len(g.queue.waiting[c]) == 0 {
			c = agateinventory.Read
		}
		r := g.queue.remove(c, 0)
		if d := t.admit(now, g.service, g, &r); d.Verdict != Wait {
			return r, d, true
		}
	}
	return Request{}, Decision{}, false
}

// expire refuses the first request whose remaining time is at most minRemaining.
// If there is none, it recomputes earliestDeadline.
func (q *queue) expire(now time.Time, minRemaining time.Duration) (Request, Decision, bool) {
	limit := now.Add(minRemaining)
	if q.earliestDeadline.After(limit) {
		return Request{}, Decision{}, false
	}
	earliest := time.Time{}
	for c := range q.waiting {
		for i, r := range q.waiting[c] {
			if !r.Deadline.After(limit) {
				r = q.remove(agateinventory.Class(c), i)
				return r, Decision{Reason: ReasonLate}, true
			}
			if earliest.IsZero() || r.Deadline.Before(earliest) {
				earliest = r.Deadline
			}
		}
	}
	q.earliestDeadline = earliest
	return Request{}, Decision{}, false
}

// serveClass sends the first request of a class that has an upstream with room.
func (t *Table) serveClass(now time.Time, g *group, c agateinventory.Class) (Request, Decision, bool) {
	waiting := g.queue.waiting[c]
	for i := 0; i < min(len(waiting), lookAhead); i++ {
		sel := t.scan(now, g, &waiting[i], xxhash.Sum64String(waiting[i].ID))
		d, ok := t.trySend(now, g, &waiting[i], sel, ReasonBest)
		if ok {
			g.queue.advanceTurn(c)
			return g.queue.remove(c, i), d, true
		}
		if sel.busy == sel.considered {
			return Request{}, Decision{}, false
		}
	}
	return Request{}, Decision{}, false
}
