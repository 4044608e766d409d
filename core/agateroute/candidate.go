package agateroute

import "time"

const (
	// failingThreshold is the number of consecutive failures from which an
	// upstream receives at most one request per probeInterval.
	failingThreshold = 2
	probeInterval    = 200 * time.Millisecond

	// maxProbeDoublings limits the doublings of probeInterval, to 1.6 s.
	maxProbeDoublings = 3

	// groupFailingThreshold is the number of consecutive failures over all
	// upstreams of a group from which the group as a whole is probed.
	groupFailingThreshold = 4
)

// minMeanSamples is the number of responses from which a mean is used.
const minMeanSamples = 8

// consider adds one upstream to the comparison.
func (sel *selection) consider(now time.Time, u *upstream, r *Request, hash uint64, view *loadView) {
	if !u.acceptsWork() {
		return
	}
	sel.considered++
	if u.drainExcludes(hash) {
		sel.drained++
		return
	}
	if u.excluded(now, r) {
		sel.excluded++
		return
	}
	inFlight := view.inFlight(u)
	if !u.hasCapacity(inFlight, view) && !u.lastResort(r) {
		sel.busy++
		return
	}
	cost := u.cost(inFlight, view)
	if cost < sel.cost {
		sel.best, sel.cost, sel.inFlight = u, cost, inFlight
	}
	sel.rank(candidate{upstream: u, cost: cost, inFlight: inFlight})
}

// lastResort reports whether a second attempt may go to a cold upstream that has
// no request of this host, although requests of peers use up its ramp. The
// peers' counts are old, and a retry would wait as long as peers keep using it.
func (u *upstream) lastResort(r *Request) bool {
	return len(r.Tried) > 0 && u.ownInFlight == 0 && !u.ramp.warm
}

// rank keeps the candidates with the lowest costs in order.
func (sel *selection) rank(c candidate) {
	for i := range sel.ranked {
		if sel.ranked[i].upstream == nil || c.cost < sel.ranked[i].cost {
			sel.ranked[i], c = c, sel.ranked[i]
		}
		if c.upstream == nil {
			return
		}
	}
}

// candidates returns the ranked candidates for the decision log.
func (sel *selection) candidates(g *group) [maxCandidates]Candidate {
	var out [maxCandidates]Candidate
	for i, c := range sel.ranked {
		if c.upstream != nil {
			out[i] = Candidate{ID: c.upstream.id, ExpectedLatency: g.expectedLatency(c.upstream, c.inFlight)}
		}
	}
	return out
}

// excluded reports whether an upstream must not receive this request now.
func (u *upstream) excluded(now time.Time, r *Request) bool {
	if u.inRetryAfter(now, r.Class) || u.ejection.active(now) || u.failing(now) || (r.Isolated && u.isolated > 0) {
		return true
	}
	for _, id := range r.Tried {
		if id == u.id {
			return true
		}
	}
	return false
}

// failing reports whether the upstream or its group failed several times in a
// row and the next probe is not due yet. Unlike ejection, this still allows
// occasional requests, so the number of failing upstreams is not limited.
func (u *upstream) failing(now time.Time) bool {
	if u.failures >= failingThreshold && (u.ownInFlight > 0 || now.Before(u.nextProbe)) {
		return true
	}
	g := u.group
	return g.failing() && (g.ownInFlight > 0 || now.Before(g.nextProbe))
}

// failing reports whether no upstream of the group responds. Most upstreams must
// have failed, because a single one that refuses connections produces many
// failures in a short time.
func (g *group) failing() bool {
	return g.failures >= groupFailingThreshold && 4*g.failedUpstreams >= 3*len(g.upstreams)
}

// hasCapacity reports whether the upstream's slots, its ramp and its connections
// allow one more request.
func (u *upstream) hasCapacity(inFlight float64, view *loadView) bool {
	if u.ownInFlight >= u.connLimit {
		return false
	}
	if !u.ramp.warm && float64(u.ownInFlight)+u.peerInFlight+1 > u.ramp.limit {
		return false
	}
	limit := u.slots * view.inFlightPerSlot
	return (inFlight+1 <= limit && !view.aboveFairShare) || (view.belowFairShare && inFlight+1 <= limit+u.slots)
}

// fairShare returns this host's share of the allowed requests in flight, in
// proportion to its demand (in flight and queued) among all entry hosts.
func (g *group) fairShare() float64 {
	ownDemand := float64(g.usableInFlight)*g.serviceFraction + float64(g.queue.len()) + 1
	return g.slots * g.inFlightPerSlot() * ownDemand / (ownDemand + g.peerInFlight + float64(g.peerQueued))
}

// belowFairShare reports whether this host is below its fair share. Such a host
// may exceed the limit by one request per slot, because otherwise a host with a
// long queue would wait for hosts with none.
func (g *group) belowFairShare() bool {
	return float64(g.usableInFlight)*g.serviceFraction+1 <= g.fairShare()
}

// aboveFairShare reports whether this host exceeds its fair share while no slot
// is idle. Without this check, hosts that see the same outdated count would all
// fill the same free slot. It does not apply to a group without slots, whose
// failing upstreams receive only probes.
func (g *group) aboveFairShare() bool {
	return g.slots > 0 && g.totalInFlight() >= g.slots && float64(g.usableInFlight)*g.serviceFraction+1 > g.fairShare()*fairShareSlack
}

// cost returns the expected latency relative to the unloaded latency of the group.
func (u *upstream) cost(inFlight float64, view *loadView) float64 {
	cost := u.slowness(view) * (inFlight + 1) / u.slots
	if !u.sameDomain {
		cost += crossDomainCost
	}
	return cost
}

// slowness returns the latency of the upstream relative to the group, or 1. It
// decays while no response arrives, because otherwise an upstream that was slow
// once would never be tried again.
func (u *upstream) slowness(view *loadView) float64 {
	if u.latency.samples < minMeanSamples || view.unloadedLatency <= 0 {
		return 1
	}
	ratio := u.latency.mean / view.unloadedLatency
	if ratio < minSlowRatio {
		return 1
	}
	staleness := view.now.Sub(u.lastResponse).Seconds() / slownessDecay.Seconds()
	return 1 + (ratio-1)*max(0, 1-staleness)
}
