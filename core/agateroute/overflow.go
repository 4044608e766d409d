package agateroute

import "time"

// remoteIsFaster reports whether the home region is so busy that a response is
// expected sooner from another region, including the round trip.
func (t *Table) remoteIsFaster(now time.Time, s *service, home *group, r *Request, sel selection) bool {
	if sel.busy == 0 || r.Pinned != "" {
		return false
	}
	g := t.leastUtilized(now, s, r.HomeRegion, -1)
	return g != nil && home.queueWait(now, r.Class)+home.meanLatency() > g.remoteLatency(home)
}

// remoteLatency returns the mean latency of another region, including the round
// trip. Before the first response it is an estimate, because without one an
// entry host would never send there.
func (g *group) remoteLatency(home *group) time.Duration {
	if g.latency.observed.samples == 0 {
		return home.meanLatency() + initialRTT
	}
	return g.meanLatency()
}

// overflow tries the other regions in order of increasing utilization.
// AllowOverflow is called last, because the call consumes a grant. For a pinned
// request only its upstream is tried, see choosePinned.
func (t *Table) overflow(now time.Time, s *service, r *Request, hash uint64) (Decision, bool) {
	if r.Pinned != "" {
		return t.choosePinned(now, s, r, hash)
	}
	minUtilization := -1.0
	for range s.groupOrder {
		g := t.leastUtilized(now, s, r.HomeRegion, minUtilization)
		if g == nil {
			break
		}
		minUtilization = t.utilization(now, g)
		if d, ok := t.shiftTo(now, g, r, hash); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// leastUtilized returns the group with the lowest utilization that accepts shifted
// requests, is below the target and is above minUtilization, or nil. A
// minUtilization of -1 means no lower bound.
func (t *Table) leastUtilized(now time.Time, s *service, home string, minUtilization float64) *group {
	var best *group
	lowest := t.targetUtilization()
	for _, g := range s.groupOrder {
		if g.region == home || !g.acceptsShift(now) {
			continue
		}
		if used := t.utilization(now, g); used < lowest && used > minUtilization {
			best, lowest = g, used
		}
	}
	return best
}

// shiftTo sends a request to another region if a grant is available.
func (t *Table) shiftTo(now time.Time, g *group, r *Request, hash uint64) (Decision, bool) {
	sel := t.scan(now, g, r, hash)
	d, ok := t.trySend(now, g, r, sel, ReasonOverflow)
	if !ok {
		return Decision{}, false
	}
	if !t.cfg.AllowOverflow(now, g.service.name, r.HomeRegion, g.region) {
		if r.Suspect {
			sel.best.suspects--
		}
		return Decision{}, false
	}
	g.shiftedInFlight++
	g.lastShift = now
	if home := g.service.groups[r.HomeRegion]; home != nil {
		home.grantQueue.recordGrant(now, d.ExpectedLatency)
	}
	return d, true
}

// choosePinned sends a pinned request to the region of its upstream. This needs
// no grant, since it is not an overflow.
func (t *Table) choosePinned(now time.Time, s *service, r *Request, hash uint64) (Decision, bool) {
	u := t.upstreams[r.Pinned]
	if u == nil || u.group.service != s {
		return Decision{}, false
	}
	d, ok := t.trySend(now, u.group, r, t.scan(now, u.group, r, hash), ReasonPinned)
	if ok && u.group.region != r.HomeRegion {
		u.group.shiftedInFlight++
	}
	return d, ok
}

// acceptsShift reports whether the region has usable slots and its cold-start ramp
// allows one more request from another region. It restarts the ramp if the region
// received none for shiftIdleTimeout.
func (g *group) acceptsShift(now time.Time) bool {
	if now.Sub(g.lastShift) > shiftIdleTimeout && g.shiftedInFlight == 0 {
		g.shiftRamp = ramp{limit: 1}
	}
	return g.slots > 0 && (g.shiftRamp.warm || float64(g.shiftedInFlight) < g.shiftRamp.limit)
}
