package agateshift

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// unlimited stands for a rate or pool without a limit. It is finite so that
// sums and differences of it stay numbers.
const unlimited = 1e12

// leastRequests is the least use per second that is granted: one request of
// burst and a rate of one request in 4 s.
const leastRequests = 1.25

// turnTime is how long the hosts that share too small a pool keep their turn.
const turnTime = 10 * time.Second

// processKey names one process of an entry host.
type processKey struct {
	host  string
	epoch uint64
}

// flow is the traffic of one service from one region to another.
type flow struct {
	key  flowKey
	dest *dest
	link *link
	// allow, requests and bytes are the rule.
	allow    bool
	requests float64
	bytes    float64
	// asks holds the latest ask of each process.
	asks map[processKey]*asked
	// held holds what is granted and has not surely ended.
	held map[processKey]*holding
	// queue holds the same grants in the order in which they end.
	queue []*given
	// usedRequests and usedBytes sum held.
	usedRequests float64
	usedBytes    float64
}

// asked is the latest ask of one process, with its part in the divisions.
type asked struct {
	at       time.Time
	requests claim
	bytes    claim
	// size is the largest request in bytes.
	size float64
}

// leastBytes is the least use of bytes that is granted to anyone on the flow:
// one request of the largest size as burst, and a quarter of that as rate.
func (l *flow) leastBytes() float64 {
	size := 0.0
	for _, s := range l.asks {
		size = max(size, s.size)
	}
	return size * leastRequests
}

// holding is what one process may hold: the highest of its grants, because a
// later grant replaces an earlier one once it arrives, if it does.
type holding struct {
	grants   []*given
	requests float64
	bytes    float64
	// last is the latest grant.
	last *given
}

// given is one grant, in use per second.
type given struct {
	process  processKey
	until    time.Time
	requests float64
	bytes    float64
}

// link is the connection between two regions.
type link struct {
	bytes float64
	used  float64
	flows []*flow
	at    time.Time
}

// record notes an ask. It reports whether the divisions must be redone.
func (l *flow) record(now time.Time, a Ask) (*asked, bool) {
	p := processKey{a.Host, a.Epoch}
	s := l.asks[p]
	isNew := s == nil
	if isNew {
		s = &asked{}
		l.asks[p] = s
	}
	turn := xxhash.Sum64String(a.Host) ^ uint64(now.Unix()/int64(turnTime/time.Second))*0x9e3779b97f4a7c15
	s.at = now
	requests := min(perSecond(rate(a.Requests), oneRequest), unlimited)
	bytes := min(perSecond(rate(a.Bytes), rate(a.Size)), unlimited)
	s.size = rate(a.Size)
	moved := differs(s.requests.want, requests) || differs(s.bytes.want, bytes)
	s.requests.want, s.requests.turn = requests, turn
	s.bytes.want, s.bytes.turn = bytes, turn
	return s, isNew || moved
}

// differs reports whether two figures differ by more than the hysteresis.
func differs(old, now float64) bool {
	return now < old*(1-hysteresis) || now > old*(1+hysteresis)
}

// forget drops asks that were not renewed.
func (l *flow) forget(before time.Time) {
	for p, s := range l.asks {
		if s.at.Before(before) {
			delete(l.asks, p)
		}
	}
}

// give counts a new grant.
func (l *flow) give(g *given) {
	h := l.held[g.process]
	if h == nil {
		h = &holding{}
		l.held[g.process] = h
	}
	h.last = g
	h.grants = append(h.grants, g)
	l.queue = append(l.queue, g)
	l.recount(h)
}

// expire stops counting the grants that have surely ended.
func (l *flow) expire(now time.Time) {
	for len(l.queue) > 0 && !now.Before(l.queue[0].until) {
		g := l.queue[0]
		l.queue = l.queue[1:]
		h := l.held[g.process]
		h.grants = h.grants[1:]
		l.recount(h)
		if len(h.grants) == 0 {
			delete(l.held, g.process)
		}
	}
}

// recount updates the sums after the grants of a holding changed.
func (l *flow) recount(h *holding) {
	requests, bytes := 0.0, 0.0
	for _, g := range h.grants {
		requests = max(requests, g.requests)
		bytes = max(bytes, g.bytes)
	}
	l.add(requests-h.requests, bytes-h.bytes)
	h.requests, h.bytes = requests, bytes
}

func (l *flow) add(requests, bytes float64) {
	l.usedRequests += requests
	l.dest.used += requests
	l.usedBytes += bytes
	l.link.used += bytes
}
