package agatecontrol

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"agategate/core/agatestate"
	"agategate/io/agatewire"
)

const (
	// upstreamCheckInterval is how often replicas report upstream heartbeats to
	// the leader, and how often the leader looks for expired upstreams.
	upstreamCheckInterval = time.Second
	// upstreamTimeout is the time without a heartbeat after which an upstream
	// expires. It covers more than four heartbeats and a change of the leader.
	upstreamTimeout = 7 * time.Second
	// aliveWindow and minAliveShare guard against failures of the control group
	// itself: no upstream expires unless this share of all upstreams sent a
	// heartbeat within this time.
	aliveWindow   = 4 * time.Second
	minAliveShare = 0.5
	// vouchWindow is the time after a heartbeat for which a replica speaks for the
	// upstream. It is longer than a heartbeat interval and its jitter, and not longer
	// than the time after which an address may pass to another upstream.
	vouchWindow = 2 * time.Second
	// contactRetention is how long a contact is recorded. It is longer than
	// upstreamTimeout, after which nobody needs it.
	contactRetention = 2 * upstreamTimeout
	// maxContacts bounds the number of recorded upstreams. Only members are recorded;
	// half of it is room for those that have left and are not deleted yet.
	maxContacts = 2 * agatestate.MaxMembers
)

// contactTimes records when any replica last received a heartbeat of each
// upstream. It is safe for concurrent use.
type contactTimes struct {
	mu          sync.Mutex
	lastContact map[string]time.Time
	// lastLocal holds the contacts of this replica only.
	lastLocal  map[string]localContact
	unreported map[string]bool // received here since the last report to the leader
	// registered holds the upstreams that the last call of expired was given.
	registered map[string]bool
	term       uint64
	termSince  time.Time // time of the first check in this term
}

// localContact is the last heartbeat of an upstream that this replica received.
type localContact struct {
	startedAtMs int64
	at          time.Time
}

// recordLocal records a heartbeat of a process that was received by this replica.
func (h *contactTimes) recordLocal(id string, startedAtMs int64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set(id, now)
	if h.lastLocal == nil {
		h.lastLocal = make(map[string]localContact)
	}
	if _, known := h.lastLocal[id]; known || len(h.lastLocal) < maxContacts {
		h.lastLocal[id] = localContact{startedAtMs, now}
	}
	if h.unreported == nil {
		h.unreported = make(map[string]bool)
	}
	h.unreported[id] = true
}

// heardLocally reports whether this replica has received a heartbeat of a process within
// vouchWindow.
func (h *contactTimes) heardLocally(id string, startedAtMs int64, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, ok := h.lastLocal[id]
	return ok && last.startedAtMs == startedAtMs && now.Sub(last.at) <= vouchWindow
}

// recordRemote records heartbeats received by another replica.
func (h *contactTimes) recordRemote(ids []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		h.set(id, now)
	}
}

func (h *contactTimes) set(id string, now time.Time) {
	if h.lastContact == nil {
		h.lastContact = make(map[string]time.Time)
	}
	if _, known := h.lastContact[id]; known || len(h.lastContact) < maxContacts {
		h.lastContact[id] = now
	}
}

// takeUnreported returns the upstreams whose heartbeats this replica received
// since the last call. It deletes the records of those that have expired.
func (h *contactTimes) takeUnreported(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.lastContact, func(_ string, at time.Time) bool { return now.Sub(at) > contactRetention })
	maps.DeleteFunc(h.lastLocal, func(_ string, l localContact) bool { return now.Sub(l.at) > contactRetention })
	out := make([]string, 0, len(h.unreported))
	for id := range h.unreported {
		out = append(out, id)
	}
	h.unreported = nil
	return out
}

// expired returns the upstreams without a heartbeat for upstreamTimeout. A new
// leader waits that long before it expires any. An upstream that is new or back
// counts as just contacted, since the replica that received its heartbeat may
// not have reported it yet.
//
// Only upstreams of services that the configuration names count towards minAliveShare:
// those of others, which may be many, neither keep them nor let them expire.
func (h *contactTimes) expired(now time.Time, term uint64, ups []agatestate.Member) []agatestate.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != term {
		h.term, h.termSince = term, now
	}
	live := make(map[string]bool, len(ups))
	for _, up := range ups {
		live[up.ID] = true
		if !h.registered[up.ID] {
			h.set(up.ID, now)
		}
	}
	h.registered = live
	if now.Sub(h.termSince) < upstreamTimeout {
		return nil
	}
	var out []agatestate.Member
	named, alive := 0, 0
	for _, up := range ups {
		elapsed := now.Sub(h.lastContact[up.ID])
		if up.Named {
			named++
		}
		if up.Named && elapsed <= aliveWindow {
			alive++
		}
		if elapsed > upstreamTimeout {
			out = append(out, up)
		}
	}
	if float64(alive) < minAliveShare*float64(named) {
		return slices.DeleteFunc(out, func(up agatestate.Member) bool { return up.Named })
	}
	return out
}

// checkUpstreams reports the heartbeats received by this replica to the leader.
// The leader marks upstreams as expired if no replica received a heartbeat from
// them for upstreamTimeout.
func (c *Control) checkUpstreams(ctx context.Context) {
	if !c.isLeader() {
		c.reportContacts(ctx, c.contacts.takeUnreported(time.Now()))
		return
	}
	c.contacts.takeUnreported(time.Now()) // the leader reports to nobody
	var live []agatestate.Member
	for _, up := range c.machine.Members() {
		if !up.Gone {
			live = append(live, up)
		}
	}
	expired := c.contacts.expired(time.Now(), c.replica.Load().Status().Term, live)
	if len(expired) == 0 {
		return
	}
	cmd := &agatestate.Announce{}
	for _, up := range expired {
		cmd.Upstreams = append(cmd.Upstreams, agatestate.Upstream{ID: up.ID, StartedAtMs: up.StartedAtMs, Gone: true, Expired: true})
	}
	_, err := c.propose(ctx, agatestate.Command{Announce: cmd})
	for _, up := range expired {
		c.log.Warn("upstream expired", "kind", "upstream", "choice", up.ID, "service", up.Service, "address", up.Address, "error", err)
	}
}

// reportContacts reports received heartbeats to the leader. A failed report is
// not repeated, since the next heartbeats are reported anyway.
func (c *Control) reportContacts(ctx context.Context, ids []string) {
	addr, ok := c.Leader()
	if len(ids) == 0 || !ok {
		return
	}
	conn, err := c.dialer.Conn(addr)
	if err != nil {
		c.log.Warn("upstream heartbeats not reported to the leader", "kind", "upstream", "choice", addr, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err = agatewire.NewControlClient(conn).Heard(ctx, &agatewire.HeardAsk{Sender: c.identity(), Upstreams: ids})
	c.dialer.Report(addr, err)
}

// Heard records the upstream heartbeats received by another replica.
func (s *controlService) Heard(_ context.Context, req *agatewire.HeardAsk) (*agatewire.HeardReply, error) {
	s.c.contacts.recordRemote(req.Upstreams, time.Now())
	return &agatewire.HeardReply{}, nil
}
