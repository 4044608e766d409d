package agatebalance

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"agategate/core/agateplan"
)

const (
	// localBonus is what the hash of an upstream in this region counts less
	// when an object's preferred upstream is found: objects stay near where
	// that is cheap, and a region with few upstreams still shares its objects
	// with others.
	localBonus = 0.25
	// nearBonus prefers the same failure domain a little.
	nearBonus = 0.02
	// firstWork stands in for the work time of a service, in seconds, and
	// firstGain for the share of it that an upstream which knows the object
	// needs, before there are answers.
	firstWork = 0.25
	firstGain = 0.35
	// localTravel and farTravel stand in for the way to an upstream and back,
	// in seconds, before a connection was opened.
	localTravel = 0.004
	farTravel   = 0.042
	// failCost is the cost of a sure failure, in seconds.
	failCost = 0.5
	// sureKnown, likelyKnown and hardlyKnown are the chances that an upstream
	// knows an object: this host sent it there lately; it is the object's
	// preferred upstream; neither.
	sureKnown   = 0.95
	likelyKnown = 0.85
	hardlyKnown = 0.1
	// lateBy is the multiple of the target time up to which an answer that
	// takes a queue is worth a place there.
	lateBy = 1.5
	// queueMost is the number of requests for each slot up to which an
	// upstream is sent more. Beyond it, upstreams refuse.
	queueMost = 3.0
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
	ReasonKnown     Reason = "known"     // another one that knows the object
	ReasonBest      Reason = "best"      // least expected time
	ReasonLast      Reason = "last"      // all others are ejected
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
	// Load is the estimated load of the chosen upstream, ReportAge how old the
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
	cost  float64 // seconds
	load  float64
}

// search compares upstreams for one request.
type search struct {
	t          *Table
	s          *service
	r          *Request
	now        time.Time
	considered int
	busy, cold int
	late       int
	soonest    float64 // least expected time of those with no room
	best       candidate
	last       candidate // best of the ejected ones
	first      *upstream // the object's preferred upstream
}

// Choose decides about a request.
func (t *Table) Choose(now time.Time, r *Request) Decision {
	s := t.service(r.Service)
	x := search{t: t, s: s, r: r, now: now, soonest: math.Inf(1)}
	x.best.cost = math.Inf(1)
	x.last.cost = math.Inf(1)
	x.first = x.preferred()
	for _, u := range s.upstreams {
		x.weigh(u)
	}
	switch {
	case x.best.u != nil:
		return x.send(x.best, "")
	case x.last.u != nil:
		return x.send(x.last, ReasonLast)
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

// preferred returns the first upstream in the order of the request's object.
func (x *search) preferred() *upstream {
	var first *upstream
	least := math.Inf(1)
	for _, u := range x.s.upstreams {
		if !x.usable(u) {
			continue
		}
		if o := x.order(u); o < least {
			first, least = u, o
		}
	}
	return first
}

// order is the place of an upstream in the order of the request's object.
func (x *search) order(u *upstream) float64 {
	if x.r.Key == 0 {
		return 0
	}
	o := keyScore(x.r.Key, u.row.ID)
	if u.local {
		o -= localBonus
	}
	if u.near {
		o -= nearBonus
	}
	return o
}

func (x *search) weigh(u *upstream) {
	if !x.usable(u) {
		return
	}
	x.considered++
	c := candidate{u: u, load: u.load(x.now)}
	c.cost = x.cost(u, c.load)
	slots := float64(max(1, u.row.Slots))
	idle := c.load < slots
	switch {
	case !idle && c.load+1 > slots*queueMost:
		x.busy++
		x.soonest = min(x.soonest, c.cost)
		return
	case x.now.Add(seconds(c.cost)).After(x.r.Deadline):
		x.late++
		return
	case !idle && !x.r.Target.IsZero() && c.cost > lateBy*x.r.Target.Sub(x.now).Seconds():
		x.busy++
		x.soonest = min(x.soonest, c.cost)
		return
	case !x.t.admitsCold(x.now, u, x.s):
		x.cold++
		return
	}
	into := &x.best
	if x.now.Before(u.ejectedUntil) {
		into = &x.last
	}
	if c.cost < into.cost {
		*into = c
	}
}

// cost is the expected time to the answer, in seconds.
func (x *search) cost(u *upstream, load float64) float64 {
	slots := float64(max(1, u.row.Slots))
	work := x.s.work(x.chance(u))
	slow := u.slowness(x.now)
	if x.now.Before(u.coldUntil) && u.ratio.n < 3 {
		slow = max(slow, 2) // cold upstreams are slow, see the plan's warm time
	}
	wait := max(0, load+1-slots) / slots * x.s.mean() * slow
	return u.way() + wait + work*slow + u.failing.mean*failCost
}

// chance is the chance that an upstream knows the request's object.
func (x *search) chance(u *upstream) float64 {
	switch {
	case x.r.Key == 0:
		return 0.5
	case u.knows(x.now, x.r.Key):
		return sureKnown
	case u == x.first:
		return likelyKnown
	}
	// The next in the order of the object are the likelier ones.
	return hardlyKnown * (1 - keyScore(x.r.Key, u.row.ID))
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

// work is the expected work time in seconds for a chance that the object is
// known.
func (s *service) work(chance float64) float64 {
	cold := firstWork
	if s.cold.n > 0 {
		cold = s.cold.mean
	}
	warm := cold * firstGain
	if s.warm.n > 0 {
		warm = min(s.warm.mean, cold)
	}
	return chance*warm + (1-chance)*cold
}

// mean is the mean work time in seconds.
func (s *service) mean() float64 {
	if s.all.n > 0 {
		return s.all.mean
	}
	return firstWork * firstGain
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

func (x *search) send(c candidate, why Reason) Decision {
	d := Decision{
		Upstream:   c.u.row.ID,
		Address:    c.u.row.Address,
		Region:     c.u.region,
		Reason:     why,
		Expected:   seconds(c.cost),
		Load:       c.load,
		Considered: x.considered,
	}
	if !c.u.reportAt.IsZero() {
		d.ReportAge = x.now.Sub(c.u.reportAt)
	}
	switch {
	case why != "":
	case x.r.Key != 0 && c.u == x.first:
		d.Reason = ReasonPreferred
	case x.r.Key != 0 && c.u.knows(x.now, x.r.Key):
		d.Reason = ReasonKnown
	default:
		d.Reason = ReasonBest
	}
	return d
}

func (x *search) refuse() Decision {
	d := Decision{Reason: ReasonNone, Considered: x.considered, RetryAfter: retryMost}
	switch {
	case x.busy > 0:
		d.Reason = ReasonBusy
		// The queue is served down to what is worth waiting for.
		over := x.soonest - lateBy*x.r.Target.Sub(x.now).Seconds()
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
