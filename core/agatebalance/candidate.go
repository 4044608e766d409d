package agatebalance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// candidate is an upstream that is eligible for a request.
type candidate struct {
	u               *upstream
	rank            float64 // see search.rank
	load            float64 // estimated requests running or queued per slot, times slowness
	slowness        float64 // see slowness.value
	waiting         float64 // requests per slot that are ahead in the queue
	cost            float64 // load + costs of rank and fallback; the lowest is tried first
	expectedSeconds float64 // expected latency
	cachedSeconds   float64 // expected latency if the object were cached
	// rememberedSeconds is cachedSeconds with the load that loadMemory keeps.
	rememberedSeconds float64
	basis             Basis
	unhealthy         bool // failing, ejected, unresponsive or paused
	position          int  // number of healthy upstreams before it in the preference order
}

// usable reports whether an upstream may get the request, unless it has been tried.
func (x *search) usable(u *upstream) bool {
	return !u.draining() && !slices.Contains(x.t.evacuated, u.info.Domain) && x.r.Route.AllowsRegion(u.region) && x.r.Workspace.AllowsRegion(u.region)
}

// collectCandidates collects the usable upstreams that have not been tried, sorted
// by cost. It records a disruption of the service if a usable one is unresponsive.
func (x *search) collectCandidates() {
	x.candidates = make([]candidate, 0, len(x.s.upstreams))
	for _, u := range x.s.upstreams {
		if x.usable(u) {
			x.candidates = append(x.candidates, x.newCandidate(u))
		}
	}
	slices.SortFunc(x.candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	x.setMeanLoad()
	fallback := fallbackCost * x.missCost * max(0, 1-x.meanLoad)
	position := 0
	for i := range x.candidates {
		c := &x.candidates[i]
		c.position = position
		if position > 0 && x.r.AffinityKey != 0 {
			c.cost += fallback
		}
		if c.u.unresponsive(x.now) {
			x.s.disruptedAt = x.now
		}
		x.estimate(c)
		if x.home == "" && !x.t.down(x.now, c.u) {
			x.home = c.u.region
		}
		if !c.unhealthy {
			position++
		}
	}
	x.candidates = slices.DeleteFunc(x.candidates, func(c candidate) bool { return slices.Contains(x.r.Tried, c.u.info.ID) })
	slices.SortStableFunc(x.candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
}

// setMeanLoad computes the mean load per slot of the candidates.
func (x *search) setMeanLoad() {
	load, slots := 0.0, 0.0
	for i := range x.candidates {
		n := x.candidates[i].u.slots()
		load += x.candidates[i].load * n
		slots += n
	}
	x.meanLoad = load / max(1, slots)
}

func (x *search) newCandidate(u *upstream) candidate {
	c := candidate{u: u, load: u.load(x.now) / u.slots()}
	c.unhealthy = x.t.down(x.now, u) || u.paused(x.now) || u.decayedFailureRate(x.now) > maxFailureRate
	// A slow upstream has, in effect, fewer slots.
	c.slowness = u.slowness.value(x.now, &x.s.work)
	c.waiting = max(0, c.load+1/u.slots()-1)
	c.load *= c.slowness
	c.rank = x.rank(u)
	c.cost = c.load + max(minRankCost, rankCost*x.missCost)*c.rank
	return c
}

// estimate sets the expected latency of a candidate, whose position must be set.
func (x *search) estimate(c *candidate) {
	b := Basis{startedAtMs: c.u.info.StartedAtMs, affinityKey: x.r.AffinityKey, class: workOther, deadline: x.r.Deadline}
	switch {
	case x.r.AffinityKey == 0:
		b.class = workPlain
	case c.u.known.has(x.r.AffinityKey):
		b.class = workKnown
	case c.position == 0:
		b.class = workPreferred
	}
	b.serviceSeconds = x.s.work.seconds(b.class)
	b.waitSeconds = c.waiting * x.s.work.meanSeconds()
	c.basis = b
	c.expectedSeconds = c.u.rttSeconds() + c.slowness*(b.serviceSeconds+b.waitSeconds)
	cached := min(b.serviceSeconds, x.s.work.seconds(workKnown))
	c.cachedSeconds = c.u.rttSeconds() + c.slowness*(cached+b.waitSeconds)
	slots := c.u.slots()
	waiting := max(0, (c.u.decayedLoad(x.now, loadMemory)+1)/slots-1)
	c.rememberedSeconds = c.u.rttSeconds() + c.slowness*(cached+waiting*x.s.work.meanSeconds())
}

// rank estimates the rank of an upstream in the preference order of the request's
// object, less localBonus for local upstreams; it may be negative. For requests
// without an object, only the region counts.
func (x *search) rank(u *upstream) float64 {
	if x.r.AffinityKey == 0 {
		if u.local {
			return 0
		}
		return remoteRank
	}
	rank := u.score(x.r.AffinityKey) * float64(len(x.s.upstreams)+1)
	if u.local {
		rank -= x.localBonus
	}
	return rank
}

// hasRoom reports whether an upstream has room for the request and can respond in
// time. Otherwise it counts the cause.
func (x *search) hasRoom(c *candidate) bool {
	idle := c.load < 1
	switch {
	case c.u.paused(x.now):
		x.pausedCount++
	case !c.basis.remeasures && x.now.Add(seconds(c.expectedSeconds)).After(x.r.Deadline):
		x.lateCount++
	case !idle && (c.load+1/c.u.slots() > maxLoadPerSlot || c.cachedSeconds > x.maxSeconds()):
		x.countBusy(c)
	case x.r.AffinityKey != 0 && c.position >= preferredCount && (c.load > fallbackMaxLoad || x.meanLoad > fallbackMaxLoad):
		x.busyCount++
	case !x.t.warmupAllows(x.now, c.u, x.s):
		x.coldCount++
	case !x.t.limitAllows(x.now, c.u):
		x.limitedCount++
	default:
		return true
	}
	return false
}

// countBusy counts an upstream that has no room.
func (x *search) countBusy(c *candidate) {
	x.minBusySeconds = min(x.minBusySeconds, c.cachedSeconds)
	x.busyCount++
}

// maxSeconds is the largest expected latency of a request that is queued.
func (x *search) maxSeconds() float64 {
	if x.r.Target.IsZero() {
		return math.Inf(1)
	}
	return x.targetMultiple * x.r.Target.Sub(x.now).Seconds()
}

// rttSeconds is the round-trip time to the upstream in seconds, or a default if
// none has been measured yet.
func (u *upstream) rttSeconds() float64 {
	if u.rtt.samples > 0 {
		return u.rtt.mean
	}
	if u.local {
		return defaultLocalRTTSeconds
	}
	return defaultRemoteRTTSeconds
}

// warmupAllows reports whether this host may send one more request to an upstream.
// While the upstream is cold, the host is limited to its share of the warm-up rate.
func (t *Table) warmupAllows(now time.Time, u *upstream, s *service) bool {
	if !now.Before(u.coldUntil) {
		return true
	}
	rate, burst := t.coldLimit(u, s.name)
	if math.IsInf(rate, 1) {
		return true
	}
	if burst < 1 {
		return false
	}
	u.coldBucket.refill(now, rate, burst)
	return u.coldBucket.tokens >= 1
}

// coldLimit is this host's share of the request rate of a cold upstream, per
// second, and of the burst.
func (t *Table) coldLimit(u *upstream, name string) (rate, burst float64) {
	hosts := min(maxColdHosts, len(t.hosts.names))
	if u.hostRank < 0 || u.hostRank >= hosts || t.plan == nil {
		return 0, 0
	}
	s := t.plan.Service(name)
	if s == nil || s.WarmupRate <= 0 {
		return math.Inf(1), math.Inf(1)
	}
	// Hosts whose lists of hosts differ for a while may also send requests; half of
	// the burst is reserved for them.
	return s.WarmupRate / float64(hosts), max(1, t.cfg.WarmupBurst/2/float64(hosts))
}
