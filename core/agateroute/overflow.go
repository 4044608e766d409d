package agateroute

import "time"

// soonerElsewhere reports whether the home region is so busy that the answer
// is expected sooner from another region, travel included.
func (t *Table) soonerElsewhere(now time.Time, s *service, home *group, r *Request, p pick) bool {
	if p.busy == 0 || r.Pinned != "" {
		return false
	}
	g := t.idlest(now, s, r.Region, -1)
	return g != nil && home.wait(now, r.Class)+home.usual() > g.remote(home)
}

// remote is the usual answer time of another region, travel included. Before
// the first answer it is a guess, or a host without any would never ask.
func (g *group) remote(home *group) time.Duration {
	if g.latency.whole.n == 0 {
		return home.usual() + firstTravel
	}
	return g.usual()
}

// overflow looks for an upstream in the other regions, the most idle first.
// The grant is asked for last, since asking uses it up.
func (t *Table) overflow(now time.Time, s *service, r *Request, hash uint64) (Decision, bool) {
	if r.Pinned != "" {
		return t.pinned(now, s, r, hash)
	}
	above := -1.0
	for range s.order {
		g := t.idlest(now, s, r.Region, above)
		if g == nil {
			break
		}
		above = t.utilisation(now, g)
		if d, ok := t.shiftTo(now, g, r, hash); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// idlest returns the region with the lowest utilisation above a bound that
// may take overflow.
func (t *Table) idlest(now time.Time, s *service, home string, above float64) *group {
	var best *group
	lowest := t.target()
	for _, g := range s.order {
		if g.region == home || !g.takesShift(now) {
			continue
		}
		if used := t.utilisation(now, g); used < lowest && used > above {
			best, lowest = g, used
		}
	}
	return best
}

// shiftTo sends a request to another region if it gets a grant.
func (t *Table) shiftTo(now time.Time, g *group, r *Request, hash uint64) (Decision, bool) {
	p := t.survey(now, g, r, hash)
	d, ok := t.send(now, g, r, p, ReasonOverflow)
	if !ok {
		return Decision{}, false
	}
	if !t.cfg.Overflow(now, g.service.name, r.Region, g.region) {
		if r.Alone {
			p.best.alone--
		}
		return Decision{}, false
	}
	g.shiftOwn++
	g.shiftAt = now
	if home := g.service.groups[r.Region]; home != nil {
		home.away.used(now, d.Expected)
	}
	return d, true
}

// pinned sends a pinned request to its upstream's region, which is not a
// shift of traffic.
func (t *Table) pinned(now time.Time, s *service, r *Request, hash uint64) (Decision, bool) {
	u := t.upstreams[r.Pinned]
	if u == nil || u.group.service != s {
		return Decision{}, false
	}
	d, ok := t.send(now, u.group, r, t.survey(now, u.group, r, hash), ReasonPinned)
	if ok && u.group.region != r.Region {
		u.group.shiftOwn++
	}
	return d, ok
}

// takesShift reports whether a cold region's ramp leaves room for one more
// request from another region.
func (g *group) takesShift(now time.Time) bool {
	if now.Sub(g.shiftAt) > shiftIdle && g.shiftOwn == 0 {
		g.shift = ramp{open: 1}
	}
	return g.slots > 0 && (g.shift.warm || float64(g.shiftOwn) < g.shift.open)
}
