package agateroute

import "time"

const (
	// failingFrom is the number of failures in a row from which an upstream
	// gets no more than one request per failingProbe.
	failingFrom  = 2
	failingProbe = 200 * time.Millisecond

	// failingDoublings is how often that time doubles: up to 1.6 s.
	failingDoublings = 3

	// groupFailing is the number of failures in a row, over all upstreams of a
	// service in a region, from which that holds for all of them together.
	groupFailing = 4
)

// ratioEnough is the number of answers from which a mean is trusted.
const ratioEnough = 8

// weigh takes one upstream into the comparison.
func (p *pick) weigh(now time.Time, u *upstream, r *Request, hash uint64, v *view) {
	if !u.working() {
		return
	}
	p.considered++
	if u.keptAway(hash) {
		p.away++
		return
	}
	if u.barred(now, r) {
		p.barred++
		return
	}
	n := v.inFlight(u)
	if !u.room(n, v) && !u.lastResort(r) {
		p.busy++
		return
	}
	c := u.cost(n, v)
	if c < p.cost {
		p.best, p.cost, p.held = u, c, n
	}
	p.rank(rival{u: u, cost: c, held: n})
}

// lastResort reports whether a second attempt may go to a cold upstream that
// has no request of this host, although peers' requests fill its ramp. Their
// counts are old, and while peers keep using it a retry would wait in vain.
func (u *upstream) lastResort(r *Request) bool {
	return len(r.Tried) > 0 && u.own == 0 && !u.ramp.warm
}

// rank keeps the rivals with the lowest costs in order.
func (p *pick) rank(r rival) {
	for i := range p.near {
		if p.near[i].u == nil || r.cost < p.near[i].cost {
			p.near[i], r = r, p.near[i]
		}
		if r.u == nil {
			return
		}
	}
}

// candidates names the rivals for the log.
func (p *pick) candidates(g *group) [maxBest]Candidate {
	var out [maxBest]Candidate
	for i, r := range p.near {
		if r.u != nil {
			out[i] = Candidate{ID: r.u.id, Expected: g.expected(r.u, r.held)}
		}
	}
	return out
}

// barred reports whether an upstream must not get this request now.
func (u *upstream) barred(now time.Time, r *Request) bool {
	if u.held(now, r.Class) || u.eject.active(now) || u.failing(now) || (r.Alone && u.alone > 0) {
		return true
	}
	for _, id := range r.Tried {
		if id == u.id {
			return true
		}
	}
	return false
}

// failing reports whether the upstream failed several times in a row and it is
// not yet time for the next probe. Unlike an ejection, this leaves a trickle
// of work, so it has no bound on the number of upstreams.
func (u *upstream) failing(now time.Time) bool {
	if u.failures >= failingFrom && (u.own > 0 || now.Before(u.probeAt)) {
		return true
	}
	g := u.group
	return g.failing() && (g.own > 0 || now.Before(g.probeAt))
}

// failing reports whether no upstream of the group answers, as far as they
// were tried: one upstream alone fails fast and often when it refuses
// connections.
func (g *group) failing() bool {
	return g.failures >= groupFailing && 4*g.failed >= 3*len(g.upstreams)
}

// room reports whether the upstream's slots, its ramp and the share of its
// connections leave room for one more request.
func (u *upstream) room(n float64, v *view) bool {
	if u.own >= u.share {
		return false
	}
	if !u.ramp.warm && float64(u.own)+u.peers+1 > u.ramp.open {
		return false
	}
	limit := u.slots * v.excess
	return (n+1 <= limit && !v.above) || (v.below && n+1 <= limit+u.slots)
}

// part is this host's part of the requests that may be in flight, by what it
// holds against what all hosts hold.
func (g *group) part() float64 {
	own := float64(g.live)*g.present + float64(g.queue.len()) + 1
	return g.slots * g.excess() * own / (own + g.peers + float64(g.peersWaiting))
}

// below reports whether this host has less than its part. Without this, a
// host with a long queue would wait for others with none.
func (g *group) below() bool {
	return float64(g.live)*g.present+1 <= g.part()
}

// above reports whether this host has more than its part while no slot is
// idle. Without this, hosts that all see the same old count fill the same gap.
// A group without slots has none to share: its upstreams fail and get probes.
func (g *group) above() bool {
	return g.slots > 0 && g.load() >= g.slots && float64(g.live)*g.present+1 > g.part()*partSlack
}

// cost is the expected time to answer in units of the group's usual latency.
func (u *upstream) cost(n float64, v *view) float64 {
	cost := u.ratio(v) * (n + 1) / u.slots
	if !u.near {
		cost += farCost
	}
	return cost
}

// ratio is how much slower than usual the upstream answers, or 1. It fades
// while no answer comes, or an upstream that was slow once would never be
// tried again.
func (u *upstream) ratio(v *view) float64 {
	if u.latency.n < ratioEnough || v.normal <= 0 {
		return 1
	}
	r := u.latency.mean / v.normal
	if r < slowFrom {
		return 1
	}
	idle := v.now.Sub(u.seen).Seconds() / slowForget.Seconds()
	return 1 + (r-1)*max(0, 1-idle)
}
