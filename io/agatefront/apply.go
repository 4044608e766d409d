package agatefront

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"agategate/core/agatebalance"
	"agategate/core/agateplan"
	"agategate/io/agateclient"
	"agategate/io/agatewire"
)

// handleReply applies a reply of a replica. Only a synced replica changes the
// state of the host.
func (l *controlLink) handleReply(now time.Time, w *watch, reply *agatewire.WatchReply, first bool, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.lastReply = now
	w.synced = reply.Synced
	w.run = reply.Sender.GetEpoch()
	l.applyQuotas(w, reply)
	if reply.Partial {
		return
	}
	if first {
		w.rtt = now.Sub(start)
	}
	if !reply.Synced {
		return
	}
	l.lastSynced = now
	l.setMembers(reply.Replicas)
	if len(reply.Hosts) > 0 {
		l.setHosts(reply.Hosts)
	}
	if len(reply.Peers) > 0 {
		l.f.setPeers(reply.Peers)
	}
	l.f.clearSuspects(l.f.suspects.merge(now, reply))
	if reply.Delta && (reply.Fleet > l.fleetIndex || !l.hasFleet) {
		l.setFleet(now, reply)
	}
	l.f.applyLimits(now, w.addr, reply.Limits)
	l.f.applyLoads(now, reply.Loads)
	if !l.hasFleet && !w.follow && now.Sub(l.fleetRequested) > fleetTimeout {
		l.fleetRequested = now
		w.follow = true
		w.requestHeartbeat()
	}
	if reply.Sender.GetRevision() > l.planRevision && !l.fetchingPlan {
		l.fetchingPlan = true
		l.f.wg.Go(func() { l.updatePlan(w.addr) })
	}
}

// applyLoads applies what upstreams told other hosts about their load.
func (f *Front) applyLoads(now time.Time, rows []*agatewire.LoadRow) {
	if len(rows) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.ApplyLoads(now, agateclient.FromWireLoads(rows))
}

// applyLimits applies what upstreams told other hosts about their limits.
func (f *Front) applyLimits(now time.Time, from netip.AddrPort, rows []*agatewire.LimitRow) {
	if len(rows) == 0 {
		return
	}
	f.mu.Lock()
	changes := f.table.ApplyLimits(now, agateclient.FromWireLimits(rows))
	f.mu.Unlock()
	for _, r := range changes {
		f.log.Info("upstream limit", "kind", "limit", "from", from, "choice", r.Upstream, "named", r.Value.Named,
			"limit", formatRate(r.Value.Rate), "age", r.Age.Round(time.Millisecond))
	}
}

func (l *controlLink) setMembers(list []string) {
	var members []netip.AddrPort
	for _, text := range list {
		if addr := parseAddr(text); addr.IsValid() {
			members = append(members, addr)
		}
	}
	if len(members) > 0 {
		l.members = members
	}
}

func (l *controlLink) setHosts(names []string) {
	f := l.f
	if slices.Equal(names, l.hosts) {
		return
	}
	l.hosts = names
	f.mu.Lock()
	f.table.SetHosts(time.Now(), names)
	f.mu.Unlock()
	f.setMaxConns()
}

// expireHosts removes hosts that have been missing from the lists of hosts for long.
func (f *Front) expireHosts(now time.Time) {
	f.mu.Lock()
	changed := f.table.ExpireHosts(now)
	f.mu.Unlock()
	if changed {
		f.setMaxConns()
	}
}

// setMaxConns limits the connections to each upstream.
func (f *Front) setMaxConns() {
	f.mu.Lock()
	limits := f.table.MaxConns()
	f.mu.Unlock()
	for id, n := range limits {
		f.pool.SetMaxConns(id, n)
	}
}

func (l *controlLink) setFleet(now time.Time, reply *agatewire.WatchReply) {
	f := l.f
	rows := make([]agatebalance.UpstreamInfo, 0, len(reply.Upstreams))
	for _, u := range reply.Upstreams {
		rows = append(rows, agatebalance.UpstreamInfo{
			ID:           u.Id,
			Service:      u.Service,
			Address:      parseAddr(u.Address),
			Domain:       u.Domain,
			Slots:        int(u.Slots),
			Draining:     u.Draining,
			Deregistered: u.Gone,
			Expired:      u.Lapsed,
			WarmupLeft:   time.Duration(u.Cold) * time.Millisecond,
			StartedAtMs:  u.Born,
			Ordinal:      int(u.Ordinal),
		})
		if l.hasFleet {
			f.log.Info("upstream", "kind", "upstream", "choice", u.Id, "service", u.Service, "address", u.Address,
				"draining", u.Draining, "gone", u.Gone, "lapsed", u.Lapsed, "cold", u.Cold, "index", reply.Fleet)
		}
	}
	f.mu.Lock()
	removed := f.table.UpdateUpstreams(now, rows, reply.Whole, reply.Evacuated)
	f.mu.Unlock()
	for _, id := range removed {
		f.pool.Remove(id)
	}
	f.setMaxConns()
	l.fleetIndex = reply.Fleet
	if !l.hasFleet {
		f.log.Info("fleet received", "kind", "upstream", "upstreams", len(rows), "index", reply.Fleet)
	}
	l.hasFleet = true
}

// updatePlan fetches the plan from a replica and applies it if it is newer.
func (l *controlLink) updatePlan(addr netip.AddrPort) {
	f := l.f
	ctx, cancel := context.WithTimeout(f.ctx, planTimeout)
	defer cancel()
	plan, rev, err := l.fetchPlan(ctx, addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fetchingPlan = false
	if err != nil {
		f.log.Warn("plan fetch failed", "kind", "plan", "from", addr, "error", err)
		return
	}
	if rev <= l.planRevision {
		return
	}
	index := agateplan.NewIndex(plan)
	f.mu.Lock()
	f.table.SetPlan(index)
	f.plan.Store(index)
	f.mu.Unlock()
	f.setMaxConns()
	f.setQuotas(index.HasLimits())
	l.planRevision = rev
	f.log.Info("plan in force", "kind", "plan", "choice", plan.Version, "revision", rev, "from", addr)
	for _, w := range l.watches {
		w.requestHeartbeat()
	}
}

func (l *controlLink) fetchPlan(ctx context.Context, addr netip.AddrPort) (*agateplan.Plan, uint64, error) {
	conn, err := l.f.dialer.Conn(addr)
	if err != nil {
		return nil, 0, err
	}
	reply, err := agatewire.NewControlClient(conn).Plan(ctx, &agatewire.PlanAsk{Sender: l.f.sender()})
	l.f.dialer.Report(addr, err)
	if err != nil || reply.Revision == 0 {
		return nil, 0, err
	}
	plan, err := agateplan.Unpack(reply.Packed)
	return plan, reply.Revision, err
}

// parseAddr returns the zero value if text is not a valid address.
func parseAddr(text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return addr
}
