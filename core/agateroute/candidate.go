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
	if !u.hasCapacity(inFlight, view) && !u.mayExceedCapacity(r) {
		sel.busy++
		return
	}
	cost := u.cost(inFlight, view)
	if cost < sel.cost {
		sel.best, sel.cost, sel.inFlight = u, cost, inFlight
	}
	sel.rank(candidate{upstream: u, cost: cost, inFlight: inFlight})
}

// mayExceedCapacity reports whether a second attempt may go to a cold upstream
// that has no request of this host, although it appears full. The counts of peers
// are outdated, and a retry could wait as long as peers keep using the upstream.
func (u *upstream) mayExceedCapacity(r *Request) bool {
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
	if u.paused(now) || u.ejection.active(now) || u.inProbeBackoff(now) || (r.Suspect && u.suspects > 0) {
		return true
	}
	for _, id := range r.Tried {
		if id == u.id {
			return true
		}
	}
	return false
}

// inProbeBackoff reports whether the upstream or its group is failing and the next
// probe is not due yet or still in flight. Unlike ejection, this allows
// occasional requests, so the number of failing upstreams is not limited.
func (u *upstream) inProbeBackoff(now time.Time) bool {
	if u.failures >= failingThreshold && (u.ownInFlight > 0 || now.Before(u.nextProbe)) {
		return true
	}
	g := u.group
	return g.failing() && (g.ownInFlight > 0 || now.Before(g.nextProbe))
}

// failing reports whether the group failed groupFailingThreshold times in a row
// and the last request of at least three quarters of its upstreams failed. A
// single upstream is not enough, because one that refuses connections produces
// many failures in a short time.
func (g *group) failing() bool {
	return g.failures >= groupFailingThreshold && 4*g.failedUpstreams >= 3*len(g.upstreams)
}

// hasCapacity reports whether the upstream's slots, its ramp, its connections and
// this host's fair share allow one more request.
func (u *upstream) hasCapacity(inFlight float64, view *loadView) bool {
	if u.ownInFlight >= u.maxConns {
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
	ownDemand := float64(g.usableInFlight)*g.serviceTimeFraction + float64(g.queue.len()) + 1
	return g.slots * g.inFlightPerSlot() * ownDemand / (ownDemand + g.peerInFlight + float64(g.peerQueued))
}

// belowFairShare reports whether this host is below its fair share. Such a host
// may exceed the limit by one request per slot, because otherwise a host with a
// long queue would wait for hosts with none.
func (g *group) belowFairShare() bool {
	return float64(g.usableInFlight)*g.serviceTimeFraction+1 <= g.fairShare()
}

// aboveFairShare reports whether this host exceeds fairShareSlack times its fair
// share while the estimated total fills all slots. Without this check, hosts that
// see the same outdated count would all send to the same upstream. It does not
// apply to a group without slots, whose failing upstreams receive only probes.
func (g *group) aboveFairShare() bool {
	return g.slots > 0 && g.totalInFlight() >= g.slots && float64(g.usableInFlight)*g.serviceTimeFraction+1 > g.fairShare()*fairShareSlack
}

// cost returns the number of requests per slot including the new one, weighted by
// slowness, plus crossDomainCost outside the failure domain. A cost of 1
// corresponds to the unloaded latency of the group. The lowest cost wins.
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
