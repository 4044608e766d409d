package agateroute

import (
	"time"
)

const (
	// upstreamWindow is the number of answers over which the latency of one
	// upstream is averaged, and groupWindow that of a group.
	upstreamWindow = 32
	groupWindow    = 256

	// leastPresent bounds the part of an answer time that counts as travel.
	leastPresent = 0.1
)

// Start counts a request that is about to be sent.
func (t *Table) Start(now time.Time, id UpstreamID) {
	u := t.upstreams[id]
	if u == nil {
		return
	}
	u.change(1, 0)
}

// Finish counts the end of a request that Start counted, and learns from it.
func (t *Table) Finish(now time.Time, id UpstreamID, o Observation) {
	u := t.upstreams[id]
	if u == nil || u.own == 0 {
		return
	}
	held := t.load(now, u)
	u.change(-1, 0)
	if o.Alone && u.alone > 0 {
		u.alone--
	}
	if o.Home != "" && o.Home != u.group.region {
		u.group.shiftOwn = max(0, u.group.shiftOwn-1)
		u.group.shiftAt = now
	}
	if o.RetryAfter > 0 {
		u.hold[o.Class&1] = now.Add(o.RetryAfter)
	}
	switch o.Outcome {
	case Answered:
		t.answered(now, u, o, held)
	case Failed, TimedOut, Unstarted:
		t.failed(now, u, o)
	}
	t.noteDrain(now, u)
}

// load is the estimate of the requests at an upstream over all entry hosts.
func (t *Table) load(now time.Time, u *upstream) float64 {
	v := t.view(now, u.group)
	return v.inFlight(u)
}

// answered learns from an answer.
func (t *Table) answered(now time.Time, u *upstream, o Observation, held float64) {
	g := u.group
	g.service.answered = now
	g.answers.add(now)
	u.seen = now
	u.clearFailures()
	g.failures = 0
	seconds := o.Latency.Seconds()
	// An upstream with more requests than slots makes them queue, so the time
	// there of a request alone is shorter by that ratio.
	travel := min(o.Travel.Seconds(), seconds)
	alone := travel + (seconds-travel)*min(1, u.slots/max(held, 1))
	intime := g.latency.normal.n == 0 || alone <= rampSlow*g.latency.normal.mean
	u.latency.add(alone, upstreamWindow)
	if u.ramp.warm {
		g.latency.normal.add(alone, groupWindow)
		g.latency.whole.add(seconds, groupWindow)
		g.latency.record(now, o.Latency)
	}
	t.measurePresent(g, o)
	u.ramp.answered(intime, u.slots)
	if o.Home != "" && o.Home != g.region {
		g.shift.answered(intime, g.slots)
	}
	t.ejectSlow(now, u)
}

// failed learns from a failure. A timeout counts only if the upstream has
// answered nothing since the request was sent: otherwise it is alive, and the
// request queued for too long or its connection went silent.
func (t *Table) failed(now time.Time, u *upstream, o Observation) {
	if o.Outcome == TimedOut && u.seen.After(now.Add(-o.Latency)) {
		return
	}
	u.addFailure()
	u.group.failures++
	u.probeAt = now.Add(backoff(u.failures - failingFrom))
	u.group.probeAt = now.Add(backoff(u.group.failures - groupFailing))
	if !u.ramp.warm {
		u.ramp.failed()
	}
	if u.failures >= ejectFailures {
		t.eject(now, u, EventEjectFailures)
	}
}

// backoff is the time to the next probe after so many failed ones.
func backoff(failed int) time.Duration {
	return failingProbe << min(max(failed, 0), failingDoublings)
}

// measurePresent estimates how much of the answer time the upstreams of a
// group are in use. The rest is travel: as observed, or else what another
// region takes longer than the home region.
func (t *Table) measurePresent(g *group, o Observation) {
	normal := g.latency.normal.mean
	if normal <= 0 {
		return
	}
	if o.Travel > 0 {
		g.travel.add(o.Travel.Seconds(), groupWindow)
	}
	service := normal - g.travel.mean
	if g.travel.n == 0 {
		service = t.homeNormal(g)
	}
	g.present = min(1, max(leastPresent, service/normal))
}

// homeNormal is the usual latency of the same service in the home region, if
// it is known and g is another region, or that of g.
func (t *Table) homeNormal(g *group) float64 {
	home := g.service.groups[t.cfg.Region]
	if home == nil || home.latency.normal.n < ratioEnough {
		home = g
	}
	return home.latency.normal.mean
}
