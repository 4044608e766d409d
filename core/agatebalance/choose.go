package agatebalance

import (
	"math"
	"net/netip"
	"time"

	"agategate/core/agateplan"
)

const (
	// defaultLocalRTTSeconds and defaultRemoteRTTSeconds are the round-trip times
	// assumed for an upstream until a connection to it has been opened.
	defaultLocalRTTSeconds  = 0.004
	defaultRemoteRTTSeconds = 0.042
	// rankCost is the cost of one rank in an object's preference order, relative to
	// workTimes.missCost. Ranks are fractional, so that neighbors in the order may
	// differ by less than 1.
	rankCost = 1.2
	// minRankCost is the least cost of one rank, in load per slot. It keeps requests
	// in their region if caches save nothing.
	minRankCost = 0.5
	// maxMissCost bounds workTimes.missCost, which is a ratio of two estimates.
	maxMissCost = 6.0
	// remoteRank is the rank of upstreams in other regions for a request without an
	// object, see search.rank.
	remoteRank = 0.25
	// fallbackCost is the additional cost of all upstreams but the first in an
	// object's preference order while the upstreams are idle, relative to
	// workTimes.missCost. It does not depend on the difference in rank, which may be
	// almost nothing. It falls to 0 as the slots fill, since queue lengths matter
	// more then.
	fallbackCost = 1.2
	// preferredCount is the number of upstreams at the head of an object's
	// preference order to which fallbackMaxLoad does not apply. Others get its
	// requests only while neither they nor all upstreams on average have a higher load
	// per slot: an upstream that is sent many objects evicts them from its cache, and
	// each of them takes the time of several cached ones.
	preferredCount  = 2
	fallbackMaxLoad = 1.0
	// hitTargetMultiple and missTargetMultiple bound the expected latency of a request
	// that is queued, as if its object were cached. They are multiples of the time
	// left until Request.Target, when the upstreams run only cached objects and when
	// they run none. A queue of objects that are not cached shrinks once they are, and
	// to reject them would delay that. A queue of cached ones only makes all
	// responses late.
	hitTargetMultiple  = 0.9
	missTargetMultiple = 2.5
	// maxLoadPerSlot is the number of requests per slot up to which an upstream is
	// sent more. Above it, upstreams shed requests.
	maxLoadPerSlot = 3.5
	// maxFailureRate is the failure rate above which an upstream is skipped if
	// another one has room.
	maxFailureRate = 0.3
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter before jitter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// Request describes a request to Choose.
type Request struct {
	ID      string // seeds the jitter of Decision.RetryAfter
	Service string
	Route   *agateplan.Route // must not be nil
	// Workspace is that of the request's key. It is nil if the request needs none.
	Workspace *agateplan.Workspace
	// AffinityKey is a hash of the object that the request is about. Zero means
	// that the request has no object.
	AffinityKey uint64
	// Target is the time after which the response loses most of its value, or zero
	// if there is none. Deadline is the time after which it has no value.
	Target   time.Time
	Deadline time.Time
	// Tried are the IDs of upstreams that must not get the request again.
	Tried []string
}

// Reason states in logs why a decision was made. The values are stable.
type Reason string

// Reasons for decisions.
const (
	ReasonPreferred   Reason = "preferred" // the first healthy upstream in the object's preference order
	ReasonNext        Reason = "next"      // a later healthy one in the preference order
	ReasonLeastLoaded Reason = "least"     // the least loaded; the request has no object
	ReasonLastResort  Reason = "last"      // the upstream is unhealthy, but no healthy one has room
	ReasonNoUpstream  Reason = "none"      // no upstream is eligible
	ReasonBusy        Reason = "busy"      // none has room; at least one is full, too slow for the target, or excluded by a load or overflow limit
	ReasonCold        Reason = "cold"      // none has room; at least one is cold, none is busy
	ReasonLimited     Reason = "limit"     // none has room; at least one names a limit of which this host's share is used up, none is busy or cold
	ReasonPaused      Reason = "pause"     // none has room; at least one has asked this host for a pause, none is busy, cold or limited
	ReasonNoLink      Reason = "no link"   // this host has lost its links to all upstreams, or to those of the service
	ReasonDeadline    Reason = "late"      // no eligible upstream can respond before the deadline
	ReasonBudget      Reason = "budget"    // the retry budget is exhausted; set by callers of AllowRetry, not by Choose
)

// Decision is the result of Choose. If Upstream is empty, the request is rejected.
type Decision struct {
	Upstream string
	Address  netip.AddrPort
	Region   string
	Reason   Reason
	// Best is the upstream with the lowest cost, which may lack room.
	// ExpectedLatency, Load and ReportAge describe the chosen upstream, or Best if
	// there is none.
	Best string
	// ExpectedLatency is the expected time until the response.
	ExpectedLatency time.Duration
	// Load is the estimated number of requests running or queued per slot, times
	// the slowness of the upstream. ReportAge is the age of the load report
	// that it is based on, or zero if there is none.
	Load      float64
	ReportAge time.Duration
	// Considered is the number of upstreams that were compared.
	Considered int
	// RetryAfter is the time after which a rejected request may succeed.
	RetryAfter time.Duration
	// Basis is to be passed on to Finish with the observation of the attempt.
	Basis Basis
}

// search compares the upstreams for one request.
type search struct {
	t          *Table
	s          *service
	r          *Request
	now        time.Time
	localBonus float64 // of the upstreams of this region, in ranks
	meanLoad   float64 // mean load per slot of the candidates
	missCost   float64 // workTimes.missCost of the service
	// targetMultiple is the current bound between hitTargetMultiple and
	// missTargetMultiple.
	targetMultiple float64
	// urgentSeconds bounds the latency of a queue that the request may join, so that
	// more urgent ones find room. It is +Inf if there were none lately.
	urgentSeconds float64
	maxLoad       float64     // requests per slot of a queue that the request may join
	candidates    []candidate // by cost
	home          string      // region of the first upstream in the preference order that is not down, if any

	// The number of rejected candidates by cause. Those in busyCount are full, too
	// slow for the target, above fallbackMaxLoad, or excluded by the overflow limit.
	// Those in coldCount are cold, those in limitedCount have a limit of which this
	// host's share is used up, those in pausedCount have asked this host for a pause,
	// and those in lateCount are too slow for the deadline.
	busyCount    int
	coldCount    int
	limitedCount int
	pausedCount  int
	lateCount    int

	// minBusySeconds is the least cachedSeconds of the candidates that are full or too
	// slow for the target, or +Inf.
	minBusySeconds float64
}

// Choose selects an upstream for a request or rejects it.
func (t *Table) Choose(now time.Time, r *Request) Decision {
	s := t.service(r.Service)
	if t.linksDead(now) || s.links.lost {
		return Decision{Reason: ReasonNoLink, RetryAfter: minRetryAfter}
	}
	x := search{
		t: t, s: s, r: r, now: now, localBonus: t.localBonus(s), missCost: s.work.missCost(), minBusySeconds: math.Inf(1),
		urgentSeconds: math.Inf(1), maxLoad: maxLoadPerSlot,
		targetMultiple: hitTargetMultiple + (missTargetMultiple-hitTargetMultiple)*s.work.missShare(),
	}
	x.setUrgency()
	x.collectCandidates()
	c := x.choose()
	if c == nil {
		c = x.remeasure()
	}
	if c != nil && x.keepsRoom(c) {
		x.countBusy(c)
		c = nil
	}
	if c == nil {
		return x.reject()
	}
	s.overflow.record(x.leavesHome(c), x.retry())
	return x.accept(c)
}

// retry reports whether the request has been sent before.
func (x *search) retry() bool { return len(x.r.Tried) > 0 }

// choose selects a candidate within the limits on the movement of load between
// regions, or returns nil.
func (x *search) choose() *candidate {
	c := x.limitOverflow(x.first(func(*candidate) bool { return true }))
	homes := &x.s.homes
	switch {
	case x.home == "":
		return c
	case x.retry():
		if c == nil {
			homes.revoke(x.now, x.home)
		}
		return c
	}
	homes.arrive(x.now, x.home, c != nil)
	if c != nil && x.overflowLimited() && !homes.accept(x.home) {
		x.busyCount++
		return nil
	}
	return c
}

// remeasure returns a candidate for a request that is rejected only because all
// upstreams are expected to respond after its deadline, if no response confirms that.
// A host that rejects all requests measures no response, and would not notice that the
// upstreams have become faster.
func (x *search) remeasure() *candidate {
	if x.lateCount == 0 || x.busyCount+x.coldCount+x.limitedCount+x.pausedCount > 0 || x.retry() || !x.now.Before(x.r.Deadline) {
		return nil
	}
	late := x.lateCount
	for i := range x.candidates {
		b := &x.candidates[i].basis
		b.remeasures = x.s.work.outdated(x.now, b.class)
	}
	c := x.first(func(c *candidate) bool { return c.basis.remeasures && !(x.leavesHome(c) && x.overflowLimited()) })
	if c == nil {
		x.resetCounts()
		x.lateCount = late
		return nil
	}
	x.s.work.measuredAt[c.basis.class] = x.now
	return c
}

// limitOverflow replaces the cheapest candidate by one in the home region, or nil, if
// the share of requests that leave it would rise too fast.
func (x *search) limitOverflow(c *candidate) *candidate {
	limited := x.overflowLimited()
	o := &x.s.overflow
	o.advance(x.now, !limited)
	if c == nil {
		return nil
	}
	o.want(x.leavesHome(c))
	if !limited || !x.leavesHome(c) || o.mayLeave() {
		return c
	}
	local := x.first(func(c *candidate) bool { return !x.leavesHome(c) })
	if local == nil && x.coldCount+x.limitedCount+x.pausedCount > 0 {
		// The upstreams of the home region are cold, name a limit or ask for a pause,
		// which is a failure and no change of load.
		x.s.disruptedAt = x.now
		return c
	}
	return local
}

// first returns the candidate with the lowest cost that has room and that allowed
// permits, healthy ones first, or nil.
func (x *search) first(allowed func(c *candidate) bool) *candidate {
	x.resetCounts()
	if c := x.firstUnloaded(allowed); c != nil {
		return c
	}
	x.resetCounts()
	for _, unhealthy := range []bool{false, true} {
		for i := range x.candidates {
			c := &x.candidates[i]
			if c.unhealthy != unhealthy {
				continue
			}
			if !allowed(c) {
				x.busyCount++
				continue
			}
			if x.hasRoom(c) {
				return c
			}
		}
	}
	return nil
}

// resetCounts clears the counts of rejected candidates.
func (x *search) resetCounts() {
	x.busyCount, x.coldCount, x.limitedCount, x.pausedCount, x.lateCount = 0, 0, 0, 0, 0
}

// firstUnloaded is first among the healthy candidates at the head of the preference
// order whose remembered load lets them respond within the target.
func (x *search) firstUnloaded(allowed func(c *candidate) bool) *candidate {
	if x.r.AffinityKey == 0 || x.r.Target.IsZero() {
		return nil
	}
	for i := range x.candidates {
		c := &x.candidates[i]
		if !c.unhealthy && c.position < preferredCount && c.rememberedSeconds <= x.maxSeconds() && allowed(c) && x.hasRoom(c) {
			return c
		}
	}
	return nil
}

// leavesHome reports whether a candidate is outside the request's home region.
func (x *search) leavesHome(c *candidate) bool { return c.u.region != x.home }

// overflowLimited reports whether the share of requests that leave their home
// region may only rise slowly.
func (x *search) overflowLimited() bool {
	return x.home != "" && x.now.Sub(x.s.disruptedAt) > disruptionPeriod
}

func (x *search) accept(c *candidate) Decision {
	d := Decision{
		Upstream:   c.u.info.ID,
		Address:    c.u.info.Address,
		Region:     c.u.region,
		Reason:     ReasonNext,
		Considered: len(x.candidates),
		Basis:      c.basis,
	}
	x.addDetails(&d, c)
	switch {
	case c.unhealthy:
		d.Reason = ReasonLastResort
	case x.r.AffinityKey == 0:
		d.Reason = ReasonLeastLoaded
	case c.position == 0:
		d.Reason = ReasonPreferred
	}
	return d
}

// addDetails sets the fields of a decision that explain it.
func (x *search) addDetails(d *Decision, c *candidate) {
	d.Best = x.candidates[0].u.info.ID
	d.ExpectedLatency = seconds(c.expectedSeconds)
	d.Load = c.load
	if !c.u.loadReportedAt.IsZero() {
		d.ReportAge = x.now.Sub(c.u.loadReportedAt)
	}
}

func (x *search) reject() Decision {
	d := Decision{Reason: ReasonNoUpstream, Considered: len(x.candidates), RetryAfter: maxRetryAfter}
	if len(x.candidates) > 0 {
		x.addDetails(&d, &x.candidates[0])
	}
	switch {
	case x.busyCount > 0:
		d.Reason = ReasonBusy
		x.s.scarceAt = x.now
		// The time until the shortest full queue accepts requests again.
		d.RetryAfter = minRetryAfter
		if !math.IsInf(x.minBusySeconds, 1) {
			d.RetryAfter += seconds(max(0, x.minBusySeconds-x.maxSeconds()))
		}
	case x.coldCount > 0:
		d.Reason = ReasonCold
		d.RetryAfter = maxRetryAfter / 2
	case x.limitedCount > 0:
		d.Reason = ReasonLimited
		d.RetryAfter = maxRetryAfter / 2
	case x.pausedCount > 0:
		d.Reason = ReasonPaused
	case x.lateCount > 0:
		d.Reason = ReasonDeadline
		d.RetryAfter = minRetryAfter
	}
	d.RetryAfter = min(max(d.RetryAfter, minRetryAfter), maxRetryAfter)
	if d.Reason == ReasonPaused {
		d.RetryAfter = max(minRetryAfter, x.pauseLeft()) // an earlier return would be in vain
	}
	// Jitter, so that callers rejected together do not retry together.
	d.RetryAfter += time.Duration(hashScore(x.r.ID, "") * float64(min(d.RetryAfter, maxRetryAfter)))
	return d
}

// keyScore hashes an object and an upstream ID to a number in [0, 1). The lowest
// score comes first in the preference order. It is FNV-1a, seeded with the key,
// followed by a finalizer that distributes the scores of similar IDs evenly.
func keyScore(key uint64, id string) float64 {
	const fnvPrime64 = 0x100000001b3
	h := key
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * fnvPrime64
	}
	h ^= h >> 32
	h *= 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}
