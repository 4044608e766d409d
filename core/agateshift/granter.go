package agateshift

import (
	"slices"
	"time"

	"agategate/core/agateinventory"
)

const (
	// hysteresis is the part by which a grant must change for the change to be
	// made. It keeps noise in the asks from moving everyone's grants.
	hysteresis = 0.1
	// refreshTime is how long a division holds unless an ask changed.
	refreshTime = 50 * time.Millisecond
)

// Config holds the settings of a Granter.
type Config struct {
	// Now is when the granter was elected.
	Now time.Time
	// Term rises with each granter.
	Term uint64
	// Duration is the length of a grant; default 2 s. It must not be longer
	// than that of earlier granters, unless Wait is set accordingly.
	Duration time.Duration
	// Wait is the time without grants from Now on. The default is the length
	// of a grant, the drift, and one second more in which what was sent under
	// the last grants still counts.
	Wait time.Duration
	// MaxAge is how old a report may be before its host counts as unknown;
	// default 1.5 s.
	MaxAge time.Duration
}

// Granter divides overflow among the entry hosts. It is not safe for
// concurrent use. A process that loses the lead must stop calling it, and the
// lease must be checked right before each call of Grant.
type Granter struct {
	cfg    Config
	ready  time.Time
	latest time.Time
	inv    *agateinventory.Inventory
	hosts  hosts
	flows  map[flowKey]*flow
	dests  map[destKey]*dest
	links  map[[2]string]*link
}

// hosts is what the inventory says about entry hosts.
type hosts struct {
	region map[string]string
	count  map[string]int
}

// NewGranter returns a Granter that grants nothing until Wait has passed and
// Configure was called.
func NewGranter(cfg Config) *Granter {
	if cfg.Duration <= 0 {
		cfg.Duration = DefaultDuration
	}
	if cfg.Wait <= 0 {
		cfg.Wait = time.Duration(float64(cfg.Duration)*(1+Drift)) + window
	}
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = DefaultMaxAge
	}
	return &Granter{
		cfg:    cfg,
		ready:  cfg.Now.Add(cfg.Wait),
		latest: cfg.Now,
		inv:    &agateinventory.Inventory{},
		flows:  map[flowKey]*flow{},
		dests:  map[destKey]*dest{},
		links:  map[[2]string]*link{},
	}
}

// Configure puts an inventory in force. Grants that have not ended still
// count.
func (g *Granter) Configure(now time.Time, inv *agateinventory.Inventory) {
	g.clock(now)
	g.inv = inv
	g.hosts = hosts{region: map[string]string{}, count: map[string]int{}}
	for _, h := range inv.Hosts {
		g.hosts.region[h.Name] = h.Region
		g.hosts.count[h.Region]++
	}
	for _, l := range g.flows {
		l.allow = false
	}
	g.prune(inv)
	for _, s := range inv.Shifts {
		l := g.flow(flowKey{s.Service, s.From, s.To})
		l.allow = s.Allow && s.From != s.To
		l.requests = rate(s.Requests)
		l.bytes = unlimited
		if s.Bytes > 0 {
			l.bytes = s.Bytes
		}
	}
	for _, l := range g.links {
		l.bytes = unlimited
	}
	for _, l := range inv.Links {
		g.link(l.From, l.To).bytes = rate(l.Bytes)
	}
	g.dirty()
}

// prune drops the flows without a rule whose grants have all ended.
func (g *Granter) prune(inv *agateinventory.Inventory) {
	for k, l := range g.flows {
		l.expire(g.latest)
		if len(l.held) > 0 || inv.Shift(k.service, k.from, k.to) != nil {
			continue
		}
		delete(g.flows, k)
		l.dest.flows = without(l.dest.flows, l)
		l.link.flows = without(l.link.flows, l)
		if len(l.dest.flows) == 0 {
			delete(g.dests, l.dest.key)
		}
		if len(l.link.flows) == 0 {
			delete(g.links, [2]string{k.from, k.to})
		}
	}
}

func without(flows []*flow, l *flow) []*flow {
	return slices.DeleteFunc(flows, func(other *flow) bool { return other == l })
}

// dirty has all figures and divisions made again before they are used.
func (g *Granter) dirty() {
	for _, d := range g.dests {
		d.at = time.Time{}
	}
	for _, l := range g.links {
		l.at = time.Time{}
	}
}

func (g *Granter) flow(k flowKey) *flow {
	l := g.flows[k]
	if l == nil {
		l = &flow{
			key:  k,
			dest: g.dest(destKey{k.service, k.to}),
			link: g.link(k.from, k.to),
			asks: map[processKey]*asked{},
			held: map[processKey]*holding{},
		}
		l.dest.flows = append(l.dest.flows, l)
		l.link.flows = append(l.link.flows, l)
		g.flows[k] = l
	}
	return l
}

func (g *Granter) dest(k destKey) *dest {
	d := g.dests[k]
	if d == nil {
		d = &dest{key: k, reports: map[string]*report{}}
		g.dests[k] = d
	}
	return d
}

func (g *Granter) link(from, to string) *link {
	l := g.links[[2]string{from, to}]
	if l == nil {
		l = &link{bytes: unlimited}
		g.links[[2]string{from, to}] = l
	}
	return l
}

// clock returns the latest time seen. Time that seems to run backwards only
// makes grants count for longer.
func (g *Granter) clock(now time.Time) time.Time {
	if now.After(g.latest) {
		g.latest = now
	}
	return g.latest
}

// Report notes the demand that an entry host reports. Demands that are not
// valid rates are left out, so they count as unknown. Reports about services
// and regions that no shift leads to are not kept.
func (g *Granter) Report(now time.Time, host string, list []Demand) {
	now = g.clock(now)
	for _, m := range list {
		known := m.Capacity == rate(m.Capacity) || m.Capacity == Unknown
		if !known || m.Own != rate(m.Own) {
			continue
		}
		if d := g.dests[destKey{m.Service, m.Region}]; d != nil {
			d.report(now, host, m)
		}
	}
}

// Grant answers an ask. A grant of 0 has the reason why. The grant counts as
// used until it has surely ended, whether it arrives or not.
func (g *Granter) Grant(now time.Time, a Ask) Grant {
	now = g.clock(now)
	out := Grant{
		Term: g.cfg.Term, Host: a.Host, Epoch: a.Epoch, Ask: a.ID,
		Service: a.Service, From: a.From, To: a.To, Duration: g.cfg.Duration,
	}
	l := g.flows[flowKey{a.Service, a.From, a.To}]
	switch {
	case l == nil || !l.allow:
		out.Reason = "no-rule"
	case now.Before(g.ready):
		out.Reason = "new-granter"
	default:
		g.grant(now, l, a, &out)
	}
	return out
}

func (g *Granter) grant(now time.Time, l *flow, a Ask, out *Grant) {
	for _, other := range l.dest.flows {
		other.expire(now)
	}
	for _, other := range l.link.flows {
		other.expire(now)
	}
	asked, moved := l.record(now, a)
	g.divideRequests(now, l.dest, moved)
	g.divideBytes(now, l.link, moved)

	p := processKey{a.Host, a.Epoch}
	mine, last := l.holds(p)
	room, reason := l.dest.headroom(now, g.target(l.key.to))
	freeRequests := min(l.requests-l.usedRequests, room-l.dest.used) + mine.requests
	freeBytes := min(l.bytes-l.usedBytes, l.link.bytes-l.link.used) + mine.bytes
	requests := settle(asked.requests, last.requests, freeRequests)
	bytes := settle(asked.bytes, last.bytes, freeBytes)
	if l.bytes >= unlimited && l.link.bytes >= unlimited {
		bytes = unlimited
	}
	byteRate := rateFor(bytes, asked.size)
	if requests < leastRequests || byteRate <= 0 {
		out.Reason = l.limit(room, reason, byteRate)
		return
	}
	out.Requests, out.Bytes, out.Size = rateFor(requests, oneRequest), byteRate, asked.size
	out.Reason = "granted"
	l.give(&given{process: p, until: now.Add(g.cfg.Duration + window), requests: requests, bytes: bytes})
}

// holds returns what a process may hold, and its latest grant.
func (l *flow) holds(p processKey) (holding, given) {
	h := l.held[p]
	if h == nil {
		return holding{}, given{}
	}
	return *h, *h.last
}

// limit names what left too little for a grant.
func (l *flow) limit(room float64, reason string, bytes float64) string {
	switch {
	case bytes <= 0:
		return "bytes"
	case l.requests < room:
		return "cap"
	}
	return reason
}

// settle returns the grant for a claim: its part of the division, but never
// more than is free. If what is wanted is about what was granted last, that
// stays.
func settle(c claim, last, free float64) float64 {
	if last > 0 && last <= free && !differs(last, c.want) && !differs(last, c.got) {
		return last
	}
	return max(min(c.got, free), 0)
}

// target returns the utilisation of a region that overflow may cause.
func (g *Granter) target(region string) float64 {
	target := g.inv.Target
	if target <= 0 {
		target = agateinventory.DefaultTarget
	}
	for _, d := range g.inv.Drains {
		if d.Kind == agateinventory.DrainRegion && d.Name == region {
			target *= 1 - drainShare(d.Share)
		}
	}
	return target
}

func drainShare(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return min(share, 1)
}

// divideRequests divides the caps of the flows to a destination among those
// who asked, and then its headroom among all of them.
func (g *Granter) divideRequests(now time.Time, d *dest, moved bool) {
	if !moved && now.Sub(d.at) < refreshTime {
		return
	}
	d.at = now
	d.refresh(now, &g.hosts, g.cfg.MaxAge)
	room, _ := d.headroom(now, g.target(d.key.region))
	var all []*claim
	for _, l := range d.flows {
		l.forget(now.Add(-g.cfg.Duration))
		own := make([]*claim, 0, len(l.asks))
		for _, s := range l.asks {
			own = append(own, &s.requests)
		}
		all = append(all, stage(own, l.requests, leastRequests)...)
	}
	divideAgain(all, room, leastRequests)
}

// divideBytes does the same for the bytes on a link.
func (g *Granter) divideBytes(now time.Time, k *link, moved bool) {
	if !moved && now.Sub(k.at) < refreshTime {
		return
	}
	k.at = now
	var all []*claim
	least := 0.0
	for _, l := range k.flows {
		own := make([]*claim, 0, len(l.asks))
		for _, s := range l.asks {
			own = append(own, &s.bytes)
		}
		all = append(all, stage(own, l.bytes, l.leastBytes())...)
		least = max(least, l.leastBytes())
	}
	divideAgain(all, k.bytes, least)
}

// stage divides one flow's cap.
func stage(claims []*claim, pool, least float64) []*claim {
	divide(claims, pool, least)
	return claims
}

// divideAgain divides a pool among claims that want no more than they got.
func divideAgain(claims []*claim, pool, least float64) {
	wants := make([]float64, len(claims))
	order := append([]*claim(nil), claims...)
	for i, c := range claims {
		wants[i] = c.want
		c.want = c.got
	}
	divide(order, max(pool, 0), least)
	for i, c := range claims {
		c.want = wants[i]
	}
}
