package agateroute

import (
	"net/netip"
	"slices"
	"time"

	"agategate/core/agateinventory"
)

var simAddress = netip.MustParseAddrPort("10.0.0.1:80")

// simConn is a connection to an upstream.
type simConn struct {
	silent bool
}

// simHost is an entry host: a Table and a simulation of the code that uses it.
type simHost struct {
	sim          *sim
	name         string
	location     location
	table        *Table
	unreachable  bool
	sentVersions map[string]uint64 // last table version sent, by peer
	idleConns    map[UpstreamID][]*simConn
	busyConns    map[*simConn]bool
	conns        []*simConn
	inFlight     map[UpstreamID]int
	nextIndex    int // round-robin position
	waiting      map[string]*simRequest
	reports      map[UpstreamID]simReport
}

// simReport is a load report as used by the baseline policies.
type simReport struct {
	load        float64
	ownInFlight float64 // own requests in flight on arrival of the report
}

func newSimHost(s *sim, name string, at location, inv *agateinventory.Inventory) *simHost {
	h := &simHost{
		sim: s, name: name, location: at,
		sentVersions: map[string]uint64{}, idleConns: map[UpstreamID][]*simConn{}, busyConns: map[*simConn]bool{},
		inFlight: map[UpstreamID]int{}, waiting: map[string]*simRequest{}, reports: map[UpstreamID]simReport{},
	}
	h.table = New(Config{
		Host: name, Region: regionName(at.region), Domain: domainName(at),
		AllowOverflow: func(_ time.Time, service, from, to string) bool {
			return s.grant(slices.Index(s.deployment.services, service), regionIndex(from), regionIndex(to))
		},
	})
	h.table.Configure(s.time(), inv)
	return h
}

func (h *simHost) receiveAnnouncement(u *simUpstream, a Announcement) {
	if h.unreachable || h.sim.controlLost {
		return
	}
	if h.table.Announce(h.sim.time(), a) == Accepted {
		h.reports[u.id] = simReport{load: a.Load * float64(a.Slots), ownInFlight: float64(h.inFlight[u.id])}
	}
	h.next()
}

// exchange sends state updates to all peers.
func (h *simHost) exchange() {
	if h.unreachable || h.sim.controlLost {
		return
	}
	for _, to := range h.sim.hosts {
		if to == h {
			continue
		}
		x := h.table.Export(h.sim.time(), h.sentVersions[to.name])
		h.sentVersions[to.name] = x.Version
		x.Age = networkLatency(h.location, to.location)
		for i := range x.Announcements {
			x.Announcements[i].Age += x.Age
		}
		h.sim.after(x.Age, func() {
			if !to.unreachable {
				to.table.Merge(h.sim.time(), x)
				to.next()
			}
		})
	}
}

// receive decides a new request.
func (h *simHost) receive(r *simRequest) {
	r.host = h
	h.handle(r, h.choose(r))
}

func (h *simHost) choose(r *simRequest) Decision {
	if h.sim.policy.choose == nil {
		return h.table.Choose(h.sim.time(), r.Request)
	}
	return h.baseline(r)
}

func (h *simHost) handle(r *simRequest, d Decision) {
	switch d.Verdict {
	case Send:
		h.send(r, h.sim.byID[d.Upstream], d.Reason == ReasonHedge)
	case Wait:
		h.waiting[r.ID] = r
	case Refuse:
		h.sim.result.refused++
		h.sim.result.reasons[d.Reason]++
		h.sim.complete(r, false)
	}
}

// next applies the decisions about waiting requests.
func (h *simHost) next() {
	if h.sim.policy.choose != nil || h.unreachable {
		return
	}
	for q, d, ok := h.table.Next(h.sim.time()); ok; q, d, ok = h.table.Next(h.sim.time()) {
		r := h.waiting[q.ID]
		delete(h.waiting, q.ID)
		h.handle(r, d)
	}
}

func (h *simHost) tick() {
	if h.unreachable {
		return
	}
	for _, e := range h.table.Tick(h.sim.time()) {
		h.sim.result.events[e.Kind]++
	}
	h.next()
}

// send sends a request on a connection of its own.
func (h *simHost) send(r *simRequest, u *simUpstream, hedge bool) {
	a := &attempt{request: r, upstream: u, sentAt: h.sim.now, hedge: hedge}
	r.attempts = append(r.attempts, a)
	h.table.Start(h.sim.time(), u.id)
	h.inFlight[u.id]++
	delay := networkLatency(h.location, u.location)
	if idle := h.idleConns[u.id]; len(idle) > 0 {
		a.conn = idle[len(idle)-1]
		h.idleConns[u.id] = idle[:len(idle)-1]
	} else {
		a.conn = &simConn{}
		delay += connectTime
	}
	h.busyConns[a.conn] = true
	h.conns = append(h.conns, a.conn)
	if r.home != u.location.region {
		h.sim.result.addShift(h.sim, r, u)
	}
	if a.conn.silent || u.unreachable {
		h.sim.after(deadConnTimeout, func() { h.attemptEnded(a, TimedOut) })
		return
	}
	h.sim.after(delay, func() { u.receive(a) })
	if h.sim.policy.choose == nil && r.Class == agateinventory.Read && !hedge {
		h.scheduleHedge(a)
	}
	h.sim.after(r.deadline-h.sim.now, func() { h.attemptEnded(a, TimedOut) })
}

// scheduleHedge hedges a read that takes long.
func (h *simHost) scheduleHedge(a *attempt) {
	after := h.table.HedgeDelay(a.request.Service, a.request.HomeRegion)
	if after == 0 {
		return
	}
	h.sim.after(after, func() {
		if a.finished || a.request.done || h.unreachable {
			return
		}
		q := a.request.Request
		q.Tried = append(slices.Clone(q.Tried), a.upstream.id)
		d := h.table.Hedge(h.sim.time(), q, h.sim.now-a.sentAt)
		if d.Verdict == Send {
			a.request.Tried = q.Tried
			h.sim.result.hedges++
			h.send(a.request, h.sim.byID[d.Upstream], true)
		}
	})
}

// attemptEnded records the end of an attempt and continues the request.
func (h *simHost) attemptEnded(a *attempt, o Outcome) {
	if a.finished || h.unreachable {
		return
	}
	a.finished = true
	h.inFlight[a.upstream.id]--
	h.releaseConn(a, o)
	obs := Observation{
		Outcome: o, HomeRegion: a.request.HomeRegion, Incarnation: a.upstream.incarnation,
		Latency: h.sim.now - a.sentAt, Suspect: a.request.Suspect,
		RTT: 2 * networkLatency(h.location, a.upstream.location),
	}
	if o == Shed {
		obs.RetryAfter = 20 * time.Millisecond
	}
	h.table.Finish(h.sim.time(), a.upstream.id, obs)
	h.afterAttempt(a, obs)
	h.next()
}

// releaseConn returns the connection of an attempt to the pool or closes it.
func (h *simHost) releaseConn(a *attempt, o Outcome) {
	delete(h.busyConns, a.conn)
	if o == Answered || o == Shed {
		h.idleConns[a.upstream.id] = append(h.idleConns[a.upstream.id], a.conn)
		return
	}
	if o == TimedOut && h.sim.policy.choose == nil {
		// After a timeout on one connection, the idle ones may be dead too.
		h.idleConns[a.upstream.id] = nil
	}
	if a.arrived && o != Failed {
		h.sim.after(networkLatency(h.location, a.upstream.location), func() { a.upstream.cancel(a) })
	}
}

// afterAttempt responds to the caller, retries or gives up.
func (h *simHost) afterAttempt(a *attempt, obs Observation) {
	r := a.request
	if r.done {
		return
	}
	if obs.Outcome == Answered {
		for _, b := range r.attempts {
			if !b.finished {
				h.attemptEnded(b, Canceled)
			}
		}
		h.sim.complete(r, h.sim.now <= r.deadline)
		return
	}
	if obs.Outcome == Canceled || h.hasRunningAttempt(r) {
		return
	}
	if obs.Outcome == Failed && h.sim.policy.choose == nil && !h.recordCrash(r) {
		return
	}
	h.retry(r, a, obs)
}

// hasRunningAttempt reports whether another attempt is in progress.
func (h *simHost) hasRunningAttempt(r *simRequest) bool {
	for _, b := range r.attempts {
		if !b.finished {
			return true
		}
	}
	return false
}

// recordCrash stands in for core/agatesuspect: a request becomes a suspect after a
// failed attempt, and the crashing request is refused after two crashes in
// total.
func (h *simHost) recordCrash(r *simRequest) bool {
	r.crashes++
	r.Suspect = true
	if r.crashesUpstream {
		h.sim.result.attributedCrashes++
		if h.sim.result.attributedCrashes >= 2 {
			h.sim.complete(r, false)
			return false
		}
	}
	return true
}

func (h *simHost) retry(r *simRequest, a *attempt, obs Observation) {
	r.Tried = append(slices.Clone(r.Tried), a.upstream.id)
	if h.sim.policy.choose == nil {
		d := h.table.Retry(h.sim.time(), r.Request, obs)
		if d.Verdict == Refuse {
			h.sim.result.reasons[d.Reason]++
			h.sim.complete(r, false)
			return
		}
		h.sim.result.retries++
		h.handle(r, d)
		return
	}
	if h.sim.now >= r.deadline || len(r.attempts) > 2 || (r.Class == agateinventory.Action && obs.MayHaveRun()) {
		h.sim.complete(r, false)
		return
	}
	h.sim.result.retries++
	h.handle(r, h.baseline(r))
}

// baseline applies a baseline policy to the upstreams that are up and were not
// tried, in the home region if it has any.
func (h *simHost) baseline(r *simRequest) Decision {
	s := h.table.services[r.Service]
	if s == nil {
		return Decision{Reason: ReasonUnknown}
	}
	groups := slices.Clone(s.groupOrder)
	slices.SortStableFunc(groups, func(a, b *group) int {
		return regionRank(a.region, r.HomeRegion) - regionRank(b.region, r.HomeRegion)
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
		if g.region != r.HomeRegion && !h.mayShift(r, g) {
			continue
		}
		return Decision{Verdict: Send, Upstream: h.sim.policy.choose(h, usable).id}
	}
	return Decision{Reason: ReasonNone}
}

// mayShift applies the rules of the Table for leaving a region to the baselines.
func (h *simHost) mayShift(r *simRequest, g *group) bool {
	return h.table.utilization(h.sim.time(), g) < h.table.targetUtilization() && g.totalInFlight() < g.slots &&
		h.sim.grant(r.service, r.home, regionIndex(g.region))
}

func regionRank(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}
