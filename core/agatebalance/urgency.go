package agatebalance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateplan"
)

const (
	// urgentMemory is how long a service keeps room for requests of an urgency after the
	// last one.
	urgentMemory = 3 * time.Second
	// urgentShare is the part of the queue of the more urgent requests that less urgent
	// ones may join, so that they are refused first when it grows.
	urgentShare = 0.75
	// exemptShare is the part of the less urgent requests that may join the queue like
	// the more urgent ones, so that no kind and no workspace starves.
	exemptShare = 0.05
	// maxUrgencies bounds the urgencies that a service remembers.
	maxUrgencies = 64
)

// urgency orders requests when not all fit: by the priority of their workspace, then by
// that of their route. Lower values go first.
type urgency struct {
	workspace, route int
}

func newUrgency(r *Request) urgency {
	return urgency{workspace: r.Workspace.Priority, route: r.Route.Priority}
}

// before reports whether requests of urgency u go before those of another one.
func (u urgency) before(other urgency) bool {
	if u.workspace != other.workspace {
		return u.workspace < other.workspace
	}
	return u.route < other.route
}

// urgencies are those of the requests that a service has had lately, with the least
// target of each. It answers loads in which kinds with different targets share the
// upstreams of a service: without it, a kind with a long target fills the queues until
// a more urgent one with a short target finds none in which it would be in time.
type urgencies struct {
	recent map[urgency]*urgentTarget
}

type urgentTarget struct {
	target time.Duration
	route  string // name of the route that has the least target
	seenAt time.Time
}

// record records a request.
func (l *urgencies) record(now time.Time, u urgency, r *agateplan.Route) {
	if r.Target <= 0 {
		return
	}
	if l.recent == nil {
		l.recent = map[urgency]*urgentTarget{}
	}
	t := l.recent[u]
	switch {
	case t == nil && len(l.recent) >= maxUrgencies:
		return
	case t == nil || now.Sub(t.seenAt) > urgentMemory || r.Target < t.target || t.route == r.Name:
		l.recent[u] = &urgentTarget{target: r.Target, route: r.Name, seenAt: now}
	default:
		t.seenAt = now
	}
}

// target returns the least target of the requests that go before those of urgency u, or
// 0 if there were none lately. It forgets urgencies of which there were none.
func (l *urgencies) target(now time.Time, u urgency) time.Duration {
	least := time.Duration(0)
	for other, t := range l.recent {
		switch {
		case now.Sub(t.seenAt) > urgentMemory:
			delete(l.recent, other)
		case other.before(u) && (least == 0 || t.target < least):
			least = t.target
		}
	}
	return least
}

// setUrgency bounds the latency and the length of a queue for the request so that more
// urgent requests can still join it. Requests without a workspace have no such bound:
// their plan states no order of workspaces.
func (x *search) setUrgency() {
	if x.r.Workspace == nil {
		return
	}
	u := newUrgency(x.r)
	x.s.urgencies.record(x.now, u, x.r.Route)
	target := x.s.urgencies.target(x.now, u)
	if target == 0 {
		return
	}
	share := urgentShare
	if exempt(x.r.ID) {
		share = 1
	}
	x.urgentSeconds = share * x.targetMultiple * target.Seconds()
	x.maxLoad = share * maxLoadPerSlot
}

// keepsRoom reports whether the room at the chosen upstream is kept for more urgent
// requests. The request is then rejected, and not sent to another upstream: that one
// does not have its object cached, and would take longer for it.
func (x *search) keepsRoom(c *candidate) bool {
	if c.load < 1 {
		return false // a slot is free
	}
	return c.load+1/c.u.slots() > x.maxLoad || c.cachedSeconds > x.urgentSeconds
}

// exempt selects a fixed part of all requests by their ids.
func exempt(id string) bool {
	return float64(xxhash.Sum64String(id)%1000) < 1000*exemptShare
}
