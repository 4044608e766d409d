package agateroute

import (
	"time"
)

const (
	// upstreamLatencyWindow and groupLatencyWindow are the numbers of responses
	// over which the latencies of one upstream and of a group are averaged.
	upstreamLatencyWindow = 32
	groupLatencyWindow    = 256

	// minServiceTimeFraction is a lower bound on service time / latency. It
	// limits the part of the latency that counts as network time.
	minServiceTimeFraction = 0.1
)

// Start records that a request is about to be sent to an upstream.
func (t *Table) Start(now time.Time, id UpstreamID) {
	u := t.upstreams[id]
	if u == nil {
		return
	}
	u.addInFlight(1, 0)
}

// Finish records the end of an attempt counted by Start and updates latency,
// failure and ramp state from it.
func (t *Table) Finish(now time.Time, id UpstreamID, obs Observation) {
	u := t.upstreams[id]
	if u == nil || u.ownInFlight == 0 {
		return
	}
	inFlight := t.upstreamInFlight(now, u)
	u.addInFlight(-1, 0)
	if obs.Suspect && u.suspects > 0 {
		u.suspects--
	}
	if obs.HomeRegion != "" && obs.HomeRegion != u.group.region {
		u.group.shiftedInFlight = max(0, u.group.shiftedInFlight-1)
		u.group.lastShift = now
	}
	if obs.Incarnation == u.announcement.Incarnation {
		u.recordStatements(now, &obs)
	}
	switch obs.Outcome {
	case Answered:
		t.recordResponse(now, u, obs, inFlight)
	case Failed, TimedOut, NotSent:
		t.recordFailure(now, u, obs)
	}
	t.updateDrain(now, u)
}

// recordStatements records what the response to a request of this incarnation says
// about the upstream.
func (u *upstream) recordStatements(now time.Time, obs *Observation) {
	if until := now.Add(obs.RetryAfter); obs.RetryAfter > 0 && until.After(u.pausedUntil) {
		u.pausedUntil = until
	}
	if obs.Leaving && !u.leaving {
		u.leaving = true
		u.group.updateTotals(u)
	}
}

// upstreamInFlight estimates the requests at an upstream over all entry hosts.
func (t *Table) upstreamInFlight(now time.Time, u *upstream) float64 {
	v := t.loadView(now, u.group)
	return v.inFlight(u)
}

// recordResponse updates the state of an upstream and its group after a
// complete response.
func (t *Table) recordResponse(now time.Time, u *upstream, obs Observation, inFlight float64) {
	g := u.group
	g.service.lastResponse = now
	g.responseRate.add(now)
	u.lastResponse = now
	u.clearFailures()
	g.failures = 0
	g.measuredAt = now
	if u.remeasures {
		g.resetLatency()
	}
	seconds := obs.Latency.Seconds()
	// At an upstream with more requests than slots, requests queue. The latency
	// without queueing is shorter by that ratio, apart from the round trip.
	rtt := min(obs.RTT.Seconds(), seconds)
	unloaded := rtt + (seconds-rtt)*min(1, u.slots/max(inFlight, 1))
	fast := g.latency.unloaded.samples == 0 || unloaded <= rampSlowRatio*g.latency.unloaded.mean
	u.latency.add(unloaded, upstreamLatencyWindow)
	if u.ramp.warm {
		g.latency.unloaded.add(unloaded, groupLatencyWindow)
		g.latency.observed.add(seconds, groupLatencyWindow)
		g.latency.record(now, obs.Latency)
	}
	t.updateServiceTimeFraction(g, obs)
	u.ramp.recordResponse(fast, u.slots)
	if obs.HomeRegion != "" && obs.HomeRegion != g.region {
		g.shiftRamp.recordResponse(fast, g.slots)
	}
	t.ejectIfSlow(now, u)
}

// resetLatency clears the latencies of a group and of its upstreams.
func (g *group) resetLatency() {
	g.latency = newLatency()
	for _, u := range g.upstreams {
		u.latency, u.remeasures = ewma{}, false
	}
}

// recordFailure updates the state of an upstream and its group after a failed
// attempt. A timeout counts only if the upstream has answered no request since
// this one was sent. Otherwise the upstream is alive, and the request queued for
// too long or its connection was lost silently.
func (t *Table) recordFailure(now time.Time, u *upstream, obs Observation) {
	if obs.Outcome == TimedOut && u.lastResponse.After(now.Add(-obs.Latency)) {
		return
	}
	u.addFailure()
	u.group.failures++
	u.nextProbe = now.Add(probeBackoff(u.failures - failingThreshold))
	u.group.nextProbe = now.Add(probeBackoff(u.group.failures - groupFailingThreshold))
	if !u.ramp.warm {
		u.ramp.recordFailure()
	}
	if u.failures >= ejectFailureThreshold {
		t.eject(now, u, EventEjectFailures)
	}
}

// probeBackoff returns the delay before the next probe, given the number of
// failures beyond the threshold.
func probeBackoff(excessFailures int) time.Duration {
	return probeInterval << min(max(excessFailures, 0), maxProbeDoublings)
}

// updateServiceTimeFraction estimates the part of the latency that a request
// spends at an upstream of the group. The rest is network time: the observed RTT
// or, if none is known, the difference to the latency in the region of this entry
// host.
func (t *Table) updateServiceTimeFraction(g *group, obs Observation) {
	latency := g.latency.unloaded.mean
	if latency <= 0 {
		return
	}
	if obs.RTT > 0 {
		g.rtt.add(obs.RTT.Seconds(), groupLatencyWindow)
	}
	serviceTime := latency - g.rtt.mean
	if g.rtt.samples == 0 {
		serviceTime = t.localLatency(g)
	}
	g.serviceTimeFraction = min(1, max(minServiceTimeFraction, serviceTime/latency))
}

// localLatency returns the unloaded latency, in seconds, of the service of g in
// the region of this entry host, or that of g itself if too few responses are
// known there.
func (t *Table) localLatency(g *group) float64 {
	local := g.service.groups[t.cfg.Region]
	if local == nil || local.latency.unloaded.samples < minMeanSamples {
		local = g
	}
	return local.latency.unloaded.mean
}
