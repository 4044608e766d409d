package agatebalance

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"agategate/core/agateplan"
)

const (
	// localBonus is what the hash of an upstream in this region counts less in
	// the order of an object's upstreams: objects stay near where that is
	// cheap, and a region with few upstreams still shares its objects with
	// others.
	localBonus = 0.25
	// nearBonus prefers the same failure domain a little.
	nearBonus = 0.02
	// localTravel and farTravel stand in for the way to an upstream and back,
	// in seconds, before a connection was opened.
	localTravel = 0.004
	farTravel   = 0.042
	// fullAt is the load in units of the slots up to which an object's first
	// upstream is never passed over: a queue as long as its slots costs one
	// work time, much less than work on an upstream that does not know the
	// object. The second one is asked up to secondAt, any other only while
	// more than half of it is idle, up to idleAt: the work on an object that
	// is not known there must not take the place of that on known ones.
	fullAt   = 2.0
	secondAt = 1.0
	idleAt   = 0.5
	// fullShare is the multiple of the mean load from which an upstream is
	// passed over when all are loaded. While all are loaded alike, objects
	// stay where they are known; moving them would cost work that nobody has.
	fullShare = 1.5
	// lateBy is the multiple of the target time up to which an answer that
	// takes a queue is worth a place there.
	lateBy = 1.5
	// queueMost is the number of requests for each slot up to which an
	// upstream is sent more. Beyond it, upstreams refuse.
	queueMost = 3.5
	// failSkip is the share of failed attempts from which an upstream is
	// passed over, if another one has room.
	failSkip = 0.3
	// retryLeast is the shortest time to come back that a refused caller is
	// told, and retryMost the longest.
	retryLeast = 100 * time.Millisecond
	retryMost  = time.Second
)

// Request is what Choose needs to know about a request.
type Request struct {
	ID      string
	Service string
	Route   *agateplan.Route
	// Key hashes the object that the request is about; zero means none.
	Key uint64
	// Target is when the answer loses most of its worth, Deadline when all.
	Target   time.Time
	Deadline time.Time
	// Tried are upstreams that must not get the request again.
	Tried []string
}

// Reason is a short stable word that explains a decision in logs.
type Reason string

// Reasons of decisions.
const (
	ReasonPreferred Reason = "preferred" // the object's preferred upstream
	ReasonNext      Reason = "next"      // the next in the object's order, as those before it are full
	ReasonLeast     Reason = "least"     // least loaded; the request has no object
	ReasonLast      Reason = "last"      // all others fail or are ejected
	ReasonNone      Reason = "none"      // no upstream is usable
	ReasonBusy      Reason = "busy"      // every usable upstream is full
	ReasonCold      Reason = "cold"      // only cold ones have room
	ReasonLate      Reason = "late"      // no answer in time is possible
	ReasonBudget    Reason = "budget"    // the retry budget is used up
)

// Decision is the answer to a Request. Without an Upstream the request is
// refused.
type Decision struct {
	Upstream string
	Address  netip.AddrPort
	Region   string
	Reason   Reason
	// Expected is the expected time to the answer.
	Expected time.Duration
	// Load is the estimated load of the chosen upstream per slot, ReportAge how old the
	// report behind it is; zero means that there is none.
	Load      float64
	ReportAge time.Duration
	// Considered is the number of upstreams that were compared.
	Considered int
	// RetryAfter is when a refused request may succeed.
	RetryAfter time.Duration
}

// candidate is an upstream that could take a request.
type candidate struct {
	u     *upstream
	order float64 // place in the order of the object's upstreams
	load  float64 // requests running or waiting there, per slot
	cost  float64 // expected time to the answer in seconds
	bad   bool    // it fails or is ejected
}

// search compares upstreams for one request.
type search struct {
	t     *Table
	s     *service
	r     *Request
	now   time.Time
	list  []candidate // in the order of the request's object
	mean  float64     // load of the usable upstreams
	busy  int
	cold  int
	late  int
	least float64 // least expected time of those with no room
}

// Choose decides about a request.
func (t *Table) Choose(now time.Time, r *Request) Decision {
	s := t.service(r.Service)
	x := search{t: t, s: s, r: r, now: now, least: math.Inf(1)}
	x.collect()
	for _, pass := range []Reason{ReasonPreferred, ReasonNext, ReasonLast} {
		place := 0
		for i := range x.list {
			c := &x.list[i]
			if x.takes(c, pass, place) {
				return x.send(c, place, pass)
			}
			if !c.bad {
				place++
			}
		}
	}
	return x.refuse()
}

// usable reports whether an upstream may get the request at all.
func (x *search) usable(u *upstream) bool {
	if u.row.Draining || slices.Contains(x.t.evacuated, u.row.Domain) || !x.r.Route.Allows(u.region) {
		return false
	}
	return !slices.Contains(x.r.Tried, u.row.ID)
}

// collect lists the usable upstreams in the order of the request's object, or
// by load if it has none.
func (x *search) collect() {
	x.list = make([]candidate, 0, len(x.s.upstreams))
	slots, load := 0.0, 0.0
	for _, u := range x.s.upstreams {
		if !x.usable(u) {
			continue
		}
		c := x.candidate(u)
		x.list = append(x.list, c)
		if !x.now.Before(u.ejectedUntil) {
			slots += u.slots()
			load += c.load * u.slots()
		}
	}
	if slots > 0 {
		x.mean = load / slots
	}
	slices.SortFunc(x.list, func(a, b candidate) int {
		switch {
		case a.order < b.order:
			return -1
		case a.order > b.order:
			return 1
		}
		return 0
	})
}

func (x *search) candidate(u *upstream) candidate {
	c := candidate{u: u, load: u.load(x.now) / u.slots()}
	c.bad = x.now.Before(u.ejectedUntil) || u.failing.mean > failSkip
	slow := u.slowness(x.now, x.s)
	// A slow upstream has, in effect, fewer slots.
	c.load *= slow
	c.cost = u.way() + x.s.work.value*(slow+max(0, c.load-1))
	if x.r.Key == 0 {
		c.order = c.load
		if !u.local {
			c.order += localBonus
		}
		return c
	}
	c.order = keyScore(x.r.Key, u.row.ID)
	if u.local {
		c.order -= localBonus
	}
	if u.near {
		c.order -= nearBonus
	}
	return c
}

// limit is the load up to which the upstream at a place in the object's order
// gets a request while others are less loaded.
func (x *search) limit(place int) float64 {
	switch {
	case x.r.Key == 0 || place == 0:
		return max(fullAt, fullShare*x.mean)
	case place == 1:
		return max(secondAt, x.mean)
	}
	return idleAt
}

// takes reports whether an upstream gets the request in a pass over the list:
// first those that are not fuller than others, then the first two of the
// object's order if they have any room, at last those that fail.
func (x *search) takes(c *candidate, pass Reason, place int) bool {
	u := c.u
	if c.bad && pass != ReasonLast {
		return false
	}
	if pass == ReasonPreferred && c.load > x.limit(place) {
		return false
	}
	if pass == ReasonNext && x.r.Key != 0 && place > 1 {
		return false
	}
	if pass == ReasonLast && !c.bad {
		return false
	}
	count := func(n *int) bool {
		if pass != ReasonPreferred {
			*n++
		}
		return false
	}
	idle := c.load < 1
	target := lateBy * x.r.Target.Sub(x.now).Seconds()
	switch {
	case x.now.Add(seconds(c.cost)).After(x.r.Deadline):
		return count(&x.late)
	case !idle && c.load+1/u.slots() > queueMost, !idle && !x.r.Target.IsZero() && c.cost > target:
		x.least = min(x.least, c.cost)
		return count(&x.busy)
	case !x.t.admitsCold(x.now, u, x.s):
		return count(&x.cold)
	}
	return true
}

// way is the time to an upstream and back, in seconds.
func (u *upstream) way() float64 {
	if u.travel.n > 0 {
		return u.travel.mean
	}
	if u.local {
		return localTravel
	}
	return farTravel
}

// admitsCold reports whether a cold upstream can take one more request from
// this host within its part of what the upstream bears.
func (t *Table) admitsCold(now time.Time, u *upstream, s *service) bool {
	if !now.Before(u.coldUntil) {
		return true
	}
	rate, size := t.coldPart(u, s.name)
	if math.IsInf(rate, 1) {
		return true
	}
	if size < 1 {
		return false
	}
	u.coldTake.fill(now, rate, size)
	return u.coldTake.level >= 1
}

// coldPart is this host's part of the requests a second that a cold upstream
// bears, and of those that may come at once.
func (t *Table) coldPart(u *upstream, name string) (rate, size float64) {
	hosts := min(coldHosts, len(t.hosts))
	if u.coldRank < 0 || u.coldRank >= hosts || t.plan == nil {
		return 0, 0
	}
	s := t.plan.Service(name)
	if s == nil || s.WarmRate <= 0 {
		return math.Inf(1), math.Inf(1)
	}
	// Half of the excess is left for hosts that disagree about the others.
	return s.WarmRate / float64(hosts), max(1, t.cfg.ColdExcess/2/float64(hosts))
}

func (x *search) send(c *candidate, place int, pass Reason) Decision {
	d := Decision{
		Upstream:   c.u.row.ID,
		Address:    c.u.row.Address,
		Region:     c.u.region,
		Reason:     pass,
		Expected:   seconds(c.cost),
		Load:       c.load,
		Considered: len(x.list),
	}
	if !c.u.reportAt.IsZero() {
		d.ReportAge = x.now.Sub(c.u.reportAt)
	}
	switch {
	case pass == ReasonLast:
	case x.r.Key == 0:
		d.Reason = ReasonLeast
	case place > 0:
		d.Reason = ReasonNext
	}
	return d
}

func (x *search) refuse() Decision {
	d := Decision{Reason: ReasonNone, Considered: len(x.list), RetryAfter: retryMost}
	switch {
	case x.busy > 0:
		d.Reason = ReasonBusy
		// The queue is served down to what is worth waiting for.
		over := x.least - lateBy*x.r.Target.Sub(x.now).Seconds()
		d.RetryAfter = seconds(max(over, 0)) + retryLeast
	case x.cold > 0:
		d.Reason = ReasonCold
		d.RetryAfter = retryMost / 2
	case x.late > 0:
		d.Reason = ReasonLate
		d.RetryAfter = retryLeast
	}
	d.RetryAfter = min(max(d.RetryAfter, retryLeast), retryMost)
	// Callers that are refused together do not come back together.
	d.RetryAfter += time.Duration(score(x.r.ID, "") * float64(d.RetryAfter))
	return d
}

// keyScore is the hash of an object and an upstream, from 0 up to 1.
func keyScore(key uint64, id string) float64 {
	h := key
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 0x100000001b3
	}
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}
