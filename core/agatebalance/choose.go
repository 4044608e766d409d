package agatebalance

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"agategate/core/agateplan"
)

const (
	// localTravel and farTravel stand in for the way to an upstream and back,
	// in seconds, before a connection was opened.
	localTravel = 0.004
	farTravel   = 0.042
	// placeCost is what a place in an object's order costs on average, in load
	// per slot: work on an object that is not known takes the place of several
	// on known ones. Upstreams whose hashes are close stand closer.
	placeCost = 2.0
	// farCost is what another region costs a request without an object.
	farCost = 0.25
	// moveCost is what leaving an object's first upstream costs while all are
	// idle, in load per slot, however near the next one is in the order: about
	// the work on an object that is not known, which the first such request
	// takes. It falls to nothing as the slots fill, when every queue counts.
	moveCost = 2.0
	// spread is the number of upstreams of an object's order that are sent its
	// requests whatever their load. Others get them only up to the load
	// idleAt: an upstream that many objects reach forgets them in turn.
	spread = 2
	idleAt = 1.0
	// lateBy is the multiple of the target time up to which an answer that
	// takes a queue is worth a place there.
	lateBy = 2.5
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
	// First is the upstream that costs least, which is the chosen one if it has
	// room. The next three fields describe the chosen one, or First without one.
	First string
	// Expected is the expected time to the answer.
	Expected time.Duration
	// Load is the estimated load per slot, ReportAge how old the report behind
	// it is; zero means that there is none.
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
	cost  float64 // order and load together
	time  float64 // expected time to the answer in seconds
	bad   bool    // it fails or is ejected
	place int     // number of sound upstreams before it in the order
}

// search compares upstreams for one request.
type search struct {
	t     *Table
	s     *service
	r     *Request
	now   time.Time
	bonus float64     // of the upstreams of this region, in places
	list  []candidate // by cost
	local bool        // some sound upstream is in this region
	busy  int
	cold  int
	late  int
	least float64 // least expected time of those with no room
}

// Choose decides about a request.
func (t *Table) Choose(now time.Time, r *Request) Decision {
	s := t.service(r.Service)
	x := search{t: t, s: s, r: r, now: now, bonus: t.bonus(s), least: math.Inf(1)}
	x.collect()
	t.overflow.fill(now, !x.bounded())
	if c := x.elsewhere(); c != nil {
		return x.send(c)
	}
	for _, last := range []bool{false, true} {
		for i := range x.list {
			if c := &x.list[i]; c.bad == last && x.stays(c) && x.admits(c) {
				return x.send(c)
			}
		}
	}
	return x.refuse()
}

// elsewhere returns an upstream of another region if the overflow fell too
// fast and one there has room.
func (x *search) elsewhere() *candidate {
	if !x.bounded() || !x.t.overflow.lacking() {
		return nil
	}
	for i := range x.list {
		if c := &x.list[i]; !c.u.local && !c.bad && c.load < 1 && x.admits(c) {
			return c
		}
	}
	return nil
}

// bounded reports whether the overflow into other regions changes slowly.
func (x *search) bounded() bool {
	return x.local && x.t.overflow.settled(x.now) && x.now.Sub(x.s.failedAt) > quietAfter
}

// stays reports whether the overflow leaves room for an upstream.
func (x *search) stays(c *candidate) bool {
	if c.u.local || !x.bounded() || !x.t.overflow.full() {
		return true
	}
	x.busy++
	return false
}

// usable reports whether an upstream may get the request at all.
func (x *search) usable(u *upstream) bool {
	if u.row.Draining || slices.Contains(x.t.evacuated, u.row.Domain) || !x.r.Route.AllowsRegion(u.region) {
		return false
	}
	return !slices.Contains(x.r.Tried, u.row.ID)
}

// collect lists the usable upstreams by their cost for the request.
func (x *search) collect() {
	x.list = make([]candidate, 0, len(x.s.upstreams))
	for _, u := range x.s.upstreams {
		if x.usable(u) {
			x.list = append(x.list, x.candidate(u))
		}
	}
	slices.SortFunc(x.list, func(a, b candidate) int { return cmp.Compare(a.order, b.order) })
	move := moveCost * max(0, 1-x.mean())
	place := 0
	for i := range x.list {
		c := &x.list[i]
		c.place = place
		if place > 0 && x.r.Key != 0 {
			c.cost += move
		}
		if c.u.silent(x.now) {
			x.s.failedAt = x.now
		}
		if c.bad {
			continue
		}
		x.local = x.local || c.u.local
		place++
	}
	slices.SortStableFunc(x.list, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
}

// mean is the mean load of the usable upstreams per slot.
func (x *search) mean() float64 {
	load, slots := 0.0, 0.0
	for i := range x.list {
		n := x.list[i].u.slots()
		load += x.list[i].load * n
		slots += n
	}
	return load / max(1, slots)
}

func (x *search) candidate(u *upstream) candidate {
	c := candidate{u: u, load: u.load(x.now) / u.slots()}
	c.bad = x.now.Before(u.ejectedUntil) || u.failShare(x.now) > failSkip || u.silent(x.now)
	slow := u.slowness(x.now, x.s)
	// A slow upstream has, in effect, fewer slots.
	c.load *= slow
	c.time = u.way() + x.s.work.value*(slow+max(0, c.load-1))
	c.order = x.order(u)
	c.cost = c.load + placeCost*c.order
	return c
}

// order is the place of an upstream among those of the request's object, in
// places on average. For requests without an object only its region counts.
func (x *search) order(u *upstream) float64 {
	if x.r.Key == 0 {
		if u.local {
			return 0
		}
		return farCost
	}
	order := keyScore(x.r.Key, u.row.ID) * float64(len(x.s.upstreams)+1)
	if u.local {
		order -= x.bonus
	}
	return order
}

// admits reports whether an upstream has room for the request.
func (x *search) admits(c *candidate) bool {
	idle := c.load < 1
	target := lateBy * x.r.Target.Sub(x.now).Seconds()
	switch {
	case x.now.Add(seconds(c.time)).After(x.r.Deadline):
		x.late++
	case !idle && c.load+1/c.u.slots() > queueMost, !idle && !x.r.Target.IsZero() && c.time > target:
		x.least = min(x.least, c.time)
		x.busy++
	case x.r.Key != 0 && c.place >= spread && c.load > idleAt:
		x.busy++
	case !x.t.admitsCold(x.now, c.u, x.s):
		x.cold++
	default:
		return true
	}
	return false
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
	if s == nil || s.WarmupRate <= 0 {
		return math.Inf(1), math.Inf(1)
	}
	// Half of the excess is left for hosts that disagree about the others.
	return s.WarmupRate / float64(hosts), max(1, t.cfg.ColdExcess/2/float64(hosts))
}

func (x *search) send(c *candidate) Decision {
	d := Decision{
		Upstream:   c.u.row.ID,
		Address:    c.u.row.Address,
		Region:     c.u.region,
		Reason:     ReasonNext,
		Considered: len(x.list),
	}
	x.explain(&d, c)
	x.t.overflow.note(!c.u.local)
	switch {
	case c.bad:
		d.Reason = ReasonLast
	case x.r.Key == 0:
		d.Reason = ReasonLeast
	case c.place == 0:
		d.Reason = ReasonPreferred
	}
	return d
}

// explain notes the evidence behind a decision.
func (x *search) explain(d *Decision, c *candidate) {
	d.First = x.list[0].u.row.ID
	d.Expected = seconds(c.time)
	d.Load = c.load
	if !c.u.reportAt.IsZero() {
		d.ReportAge = x.now.Sub(c.u.reportAt)
	}
}

func (x *search) refuse() Decision {
	d := Decision{Reason: ReasonNone, Considered: len(x.list), RetryAfter: retryMost}
	if len(x.list) > 0 {
		x.explain(&d, &x.list[0])
	}
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
