package agateroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateinventory"
)

const (
	// turnCycle is the number of turns in a cycle while both classes wait.
	// readTurn belongs to reads, openTurn to the request with the earlier
	// deadline unless overload lasts, and the others to actions: reads get at least one quarter,
	// actions at least one half.
	turnCycle = 4
	readTurn  = 3
	openTurn  = 1

	// lookAhead is how many waiting requests of a class may be passed by one
	// behind them when rules bar their upstreams.
	lookAhead = 8
)

// queue holds the requests of one group that wait, by class.
type queue struct {
	waiting  [2][]Request
	bound    int
	turn     int
	earliest time.Time // no waiting request has a deadline before it
}

func newQueue(bound int) queue {
	return queue{bound: bound}
}

func (q *queue) len() int {
	return len(q.waiting[0]) + len(q.waiting[1])
}

func (q *queue) empty() bool {
	return q.len() == 0
}

func (q *queue) full() bool {
	return q.len() >= q.bound
}

func (q *queue) push(r Request) {
	if q.empty() || r.Deadline.Before(q.earliest) {
		q.earliest = r.Deadline
	}
	q.waiting[r.Class&1] = append(q.waiting[r.Class&1], r)
}

// remove takes the request at a position out of its class.
func (q *queue) remove(c agateinventory.Class, i int) Request {
	w := q.waiting[c]
	r := w[i]
	copy(w[i:], w[i+1:])
	w[len(w)-1] = Request{}
	q.waiting[c] = w[:len(w)-1]
	return r
}

// first is the class whose turn it is. Under lasting overload the open turn
// belongs to actions.
func (q *queue) first(overload bool) agateinventory.Class {
	switch turn := q.turn % turnCycle; {
	case turn == readTurn:
		return agateinventory.Read
	case turn == openTurn && !overload:
		return q.urgent()
	}
	return agateinventory.Action
}

// urgent is the class whose first request has the earlier deadline.
func (q *queue) urgent() agateinventory.Class {
	actions, reads := q.waiting[agateinventory.Action], q.waiting[agateinventory.Read]
	if len(reads) > 0 && len(actions) > 0 && reads[0].Deadline.Before(actions[0].Deadline) {
		return agateinventory.Read
	}
	return agateinventory.Action
}

// served counts a turn, which matters only while both classes wait.
func (q *queue) served(c agateinventory.Class) {
	if len(q.waiting[1-c]) > 0 {
		q.turn++
	}
}

// enqueue lets a request wait for a busy group if it can be answered in time.
func (t *Table) enqueue(now time.Time, g *group, r *Request, p pick) (Decision, bool) {
	if p.best != nil || p.busy == 0 || g.failing() || r.Pinned != "" || g.queue.full() || g.slots == 0 {
		return Decision{}, false
	}
	wait := g.wait(now, r.Class)
	if wait+g.reserve() > r.Deadline.Sub(now) {
		return Decision{}, false
	}
	g.queue.push(*r)
	return Decision{
		Verdict:    Wait,
		Reason:     ReasonBusy,
		Region:     g.region,
		Considered: p.considered,
		Expected:   wait + g.usual(),
	}, true
}

// wait is the expected time in the queue of one more request of a class.
func (g *group) wait(now time.Time, c agateinventory.Class) time.Duration {
	usual := g.usual()
	actions := len(g.queue.waiting[agateinventory.Action])
	reads := len(g.queue.waiting[agateinventory.Read])
	ahead := actions + min(reads, actions/readTurn)
	if c == agateinventory.Read {
		ahead = reads + min(actions, readTurn*(reads+1))
	}
	// By Little's law, answers come back at in flight / latency.
	return usual * time.Duration(ahead+1) / time.Duration(max(1, g.own))
}

// usual is the mean answer time as measured.
func (g *group) usual() time.Duration {
	if g.latency.whole.n == 0 {
		return firstExpected
	}
	return time.Duration(g.latency.whole.mean * float64(time.Second))
}

// reserve is the time that must be left when a request is sent for the answer
// to arrive in time in most cases. The 95th percentile alone refused requests
// during short bursts that could have been answered.
func (g *group) reserve() time.Duration {
	return min((g.latency.p50+g.latency.p95)/2, g.service.deadline/2)
}

// retryAfter estimates when a refused request could be taken.
func (g *group) retryAfter(now time.Time, r *Request) time.Duration {
	over := g.wait(now, r.Class) + g.reserve() - r.Deadline.Sub(now)
	return roundUp(max(over, g.usual()))
}

// roundUp returns whole milliseconds.
func roundUp(d time.Duration) time.Duration {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond)
}

// Next returns the decision for a waiting request that can be made now: Send
// when there is room, or Refuse when the request can no longer be answered in
// time. The caller calls it until ok is false.
func (t *Table) Next(now time.Time) (r Request, d Decision, ok bool) {
	for range t.groups {
		if t.turn >= len(t.groups) {
			t.turn = 0
		}
		g := t.groups[t.turn]
		if r, d, ok = t.next(now, g); ok {
			return r, d, true
		}
		if r, d, ok = t.nextAway(now, g); ok {
			return r, d, true
		}
		t.turn++
	}
	return Request{}, Decision{}, false
}

// next serves the queue of one group.
func (t *Table) next(now time.Time, g *group) (Request, Decision, bool) {
	if g.queue.empty() {
		return Request{}, Decision{}, false
	}
	if g.failing() || g.slots == 0 {
		return t.evacuate(now, g)
	}
	// What is left must allow for the faster half of the answers.
	if r, d, ok := g.queue.expire(now, g.latency.p50); ok {
		d.RetryAfter = roundUp(g.usual())
		return r, d, true
	}
	first := g.queue.first(g.pressure.mean > pressureFrom)
	for _, c := range [2]agateinventory.Class{first, 1 - first} {
		if r, d, ok := t.serve(now, g, c); ok {
			return r, d, true
		}
	}
	return Request{}, Decision{}, false
}

// evacuate decides at once about requests that wait for upstreams that do not
// answer any more. Those that may wait for a grant stay undecided.
func (t *Table) evacuate(now time.Time, g *group) (Request, Decision, bool) {
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

// expire refuses the first request that has no more time left than this.
// Without one, it renews the bound on the deadlines.
func (q *queue) expire(now time.Time, need time.Duration) (Request, Decision, bool) {
	limit := now.Add(need)
	if q.earliest.After(limit) {
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
	q.earliest = earliest
	return Request{}, Decision{}, false
}

// serve sends the first request of a class that has an upstream with room.
func (t *Table) serve(now time.Time, g *group, c agateinventory.Class) (Request, Decision, bool) {
	waiting := g.queue.waiting[c]
	for i := 0; i < min(len(waiting), lookAhead); i++ {
		p := t.survey(now, g, &waiting[i], xxhash.Sum64String(waiting[i].ID))
		d, ok := t.send(now, g, &waiting[i], p, ReasonBest)
		if ok {
			g.queue.served(c)
			return g.queue.remove(c, i), d, true
		}
		if p.busy == p.considered {
			return Request{}, Decision{}, false
		}
	}
	return Request{}, Decision{}, false
}
