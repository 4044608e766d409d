package agateroute

import (
	"net/netip"
	"slices"
	"time"

	"agategate/core/agateinventory"
)

var simAddress = netip.MustParseAddrPort("10.0.0.1:80")

// simConn is one connection to an upstream.
type simConn struct {
	silent bool
}

// simHost is an entry host: a Table with the driver around it that io
// packages have in production.
type simHost struct {
	s      *sim
	name   string
	at     place
	table  *Table
	lost   bool
	sent   map[string]uint64 // table version last sent, by peer
	idle   map[UpstreamID][]*simConn
	busy   map[*simConn]bool
	order  []*simConn
	own    map[UpstreamID]int
	last   int // round-robin position
	wait   map[string]*simRequest
	report map[UpstreamID]simReport
}

// simReport is a load report as a baseline keeps it.
type simReport struct {
	held float64
	own  float64 // own requests in flight when it arrived
}

func newSimHost(s *sim, name string, at place, inv *agateinventory.Inventory) *simHost {
	h := &simHost{
		s: s, name: name, at: at,
		sent: map[string]uint64{}, idle: map[UpstreamID][]*simConn{}, busy: map[*simConn]bool{},
		own: map[UpstreamID]int{}, wait: map[string]*simRequest{}, report: map[UpstreamID]simReport{},
	}
	h.table = New(Config{
		Host: name, Region: regionName(at.region), Domain: domainName(at),
		AllowOverflow: func(_ time.Time, service, from, to string) bool {
			return s.grant(slices.Index(s.d.services, service), regionIndex(from), regionIndex(to))
		},
	})
	h.table.Configure(s.time(), inv)
	return h
}

func (h *simHost) announced(u *simUp, a Announcement) {
	if h.lost || h.s.muted {
		return
	}
	if h.table.Announce(h.s.time(), a) == Accepted {
		h.report[u.id] = simReport{held: a.Load * float64(a.Slots), own: float64(h.own[u.id])}
	}
	h.next()
}

// exchange sends what is new to all peers.
func (h *simHost) exchange() {
	if h.lost || h.s.muted {
		return
	}
	for _, to := range h.s.hosts {
		if to == h {
			continue
		}
		x := h.table.Export(h.s.time(), h.sent[to.name])
		h.sent[to.name] = x.Version
		x.Age = hop(h.at, to.at)
		for i := range x.Announcements {
			x.Announcements[i].Age += x.Age
		}
		h.s.at(x.Age, func() {
			if !to.lost {
				to.table.Merge(h.s.time(), x)
				to.next()
			}
		})
	}
}

// take decides about a new request.
func (h *simHost) take(r *simRequest) {
	r.host = h
	h.carryOut(r, h.choose(r))
}

func (h *simHost) choose(r *simRequest) Decision {
	if h.s.p.rule == nil {
		return h.table.Choose(h.s.time(), r.Request)
	}
	return h.baseline(r)
}

func (h *simHost) carryOut(r *simRequest, d Decision) {
	switch d.Verdict {
	case Send:
		h.send(r, h.s.byID[d.Upstream], d.Reason == ReasonHedge)
	case Wait:
		h.wait[r.ID] = r
	case Refuse:
		h.s.out.refused++
		h.s.out.reasons[d.Reason]++
		h.s.settle(r, false)
	}
}

// next carries out the decisions about waiting requests.
func (h *simHost) next() {
	if h.s.p.rule != nil || h.lost {
		return
	}
	for q, d, ok := h.table.Next(h.s.time()); ok; q, d, ok = h.table.Next(h.s.time()) {
		r := h.wait[q.ID]
		delete(h.wait, q.ID)
		h.carryOut(r, d)
	}
}

func (h *simHost) tick() {
	if h.lost {
		return
	}
	for _, e := range h.table.Tick(h.s.time()) {
		h.s.out.events[e.Kind]++
	}
	h.next()
}

// send writes the request to a connection of its own.
func (h *simHost) send(r *simRequest, u *simUp, hedge bool) {
	a := &attempt{r: r, up: u, sent: h.s.now, hedge: hedge}
	r.attempts = append(r.attempts, a)
	h.table.Start(h.s.time(), u.id)
	h.own[u.id]++
	delay := hop(h.at, u.at)
	if idle := h.idle[u.id]; len(idle) > 0 {
		a.conn = idle[len(idle)-1]
		h.idle[u.id] = idle[:len(idle)-1]
	} else {
		a.conn = &simConn{}
		delay += openTime
	}
	h.busy[a.conn] = true
	h.order = append(h.order, a.conn)
	if r.home != u.at.region {
		h.s.out.shifted(h.s, r, u)
	}
	if a.conn.silent || u.lost {
		h.s.at(silentTime, func() { h.ended(a, TimedOut) })
		return
	}
	h.s.at(delay, func() { u.arrive(a) })
	if h.s.p.rule == nil && r.Class == agateinventory.Read && !hedge {
		h.plan(a)
	}
	h.s.at(r.deadline-h.s.now, func() { h.ended(a, TimedOut) })
}

// plan hedges a read when it takes long.
func (h *simHost) plan(a *attempt) {
	after := h.table.HedgeDelay(a.r.Service, a.r.Region)
	if after == 0 {
		return
	}
	h.s.at(after, func() {
		if a.over || a.r.done || h.lost {
			return
		}
		q := a.r.Request
		q.Tried = append(slices.Clone(q.Tried), a.up.id)
		d := h.table.Hedge(h.s.time(), q, h.s.now-a.sent)
		if d.Verdict == Send {
			a.r.Tried = q.Tried
			h.s.out.hedges++
			h.send(a.r, h.s.byID[d.Upstream], true)
		}
	})
}

// ended learns how an attempt ended and goes on with the request.
func (h *simHost) ended(a *attempt, o Outcome) {
	if a.over || h.lost {
		return
	}
	a.over = true
	h.own[a.up.id]--
	h.release(a, o)
	seen := Observation{
		Outcome: o, Class: a.r.Class, HomeRegion: a.r.Region,
		Latency: h.s.now - a.sent, Isolated: a.r.Isolated,
		RTT: 2 * hop(h.at, a.up.at),
	}
	if o == Shed {
		seen.RetryAfter = 20 * time.Millisecond
	}
	h.table.Finish(h.s.time(), a.up.id, seen)
	h.follow(a, seen)
	h.next()
}

// release returns or closes the connection of an attempt.
func (h *simHost) release(a *attempt, o Outcome) {
	delete(h.busy, a.conn)
	if o == Answered || o == Shed {
		h.idle[a.up.id] = append(h.idle[a.up.id], a.conn)
		return
	}
	if o == TimedOut && h.s.p.rule == nil {
		// A connection that went silent makes the other idle ones suspect.
		h.idle[a.up.id] = nil
	}
	if a.arrived && o != Failed {
		h.s.at(hop(h.at, a.up.at), func() { a.up.cancel(a) })
	}
}

// follow answers the caller, retries, or gives up.
func (h *simHost) follow(a *attempt, o Observation) {
	r := a.r
	if r.done {
		return
	}
	if o.Outcome == Answered {
		for _, b := range r.attempts {
			if !b.over {
				h.ended(b, Canceled)
			}
		}
		h.s.settle(r, h.s.now <= r.deadline)
		return
	}
	if o.Outcome == Canceled || h.running(r) {
		return
	}
	if o.Outcome == Failed && h.s.p.rule == nil && !h.suspect(r) {
		return
	}
	h.retry(r, a, o)
}

// running reports whether another attempt is under way.
func (h *simHost) running(r *simRequest) bool {
	for _, b := range r.attempts {
		if !b.over {
			return true
		}
	}
	return false
}

// suspect is the stand-in for core/agatesuspect: after the first death a
// request runs alone, and after the second one it is refused.
func (h *simHost) suspect(r *simRequest) bool {
	r.deaths++
	r.Isolated = true
	if r.crash {
		h.s.out.deaths++
		if h.s.out.deaths >= 2 {
			h.s.settle(r, false)
			return false
		}
	}
	return true
}

func (h *simHost) retry(r *simRequest, a *attempt, o Observation) {
	r.Tried = append(slices.Clone(r.Tried), a.up.id)
	if h.s.p.rule == nil {
		d := h.table.Retry(h.s.time(), r.Request, o)
		if d.Verdict == Refuse {
			h.s.out.reasons[d.Reason]++
			h.s.settle(r, false)
			return
		}
		h.s.out.retries++
		h.carryOut(r, d)
		return
	}
	if h.s.now >= r.deadline || len(r.attempts) > 2 || (r.Class == agateinventory.Action && o.MayHaveExecuted()) {
		h.s.settle(r, false)
		return
	}
	h.s.out.retries++
	h.carryOut(r, h.baseline(r))
}

// baseline chooses by a simple rule among the upstreams that are up and were
// not tried, in the home region if it has any.
func (h *simHost) baseline(r *simRequest) Decision {
	s := h.table.services[r.Service]
	if s == nil {
		return Decision{Reason: ReasonUnknown}
	}
	groups := slices.Clone(s.groupOrder)
	slices.SortStableFunc(groups, func(a, b *group) int {
		return hopRank(a.region, r.Region) - hopRank(b.region, r.Region)
	})
	for _, g := range groups {
		var usable []*upstream
		for _, u := range g.upstreams {
			if u.acceptsWork() && !slices.Contains(r.Tried, u.id) {
				usable = append(usable, u)
			}
		}
		if len(usable) == 0 {
			continue
		}
		if g.region != r.Region && !h.mayShift(r, g) {
			continue
		}
		return Decision{Verdict: Send, Upstream: h.s.p.rule(h, usable).id}
	}
	return Decision{Reason: ReasonNone}
}

// mayShift holds baselines to the rules of the product for leaving a region.
func (h *simHost) mayShift(r *simRequest, g *group) bool {
	return h.table.utilisation(h.s.time(), g) < h.table.targetUtilisation() && g.totalInFlight() < g.slots &&
		h.s.grant(r.service, r.home, regionIndex(g.region))
}

func hopRank(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}
