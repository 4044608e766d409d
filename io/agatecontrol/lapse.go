package agatecontrol

import (
	"context"
	"sync"
	"time"

	"agategate/core/agatestate"
	"agategate/io/agatewire"
)

const (
	// lapseEvery is how often replicas tell the leader whom they heard, and how
	// often it looks for upstreams that fell silent.
	lapseEvery = time.Second
	// lapseAfter is how long an upstream must be silent to be given up on: more
	// than four heartbeats, and the change of the leader.
	lapseAfter = 7 * time.Second
	// aliveWithin and aliveShare guard against silence that is the group's own:
	// nobody is given up on unless this share was heard within this time.
	aliveWithin = 4 * time.Second
	aliveShare  = 0.5
	// heardMost bounds the upstreams that are remembered.
	heardMost = 65536
)

// heardTimes remembers when upstreams were last heard by any replica. It is
// safe for concurrent use.
type heardTimes struct {
	mu    sync.Mutex
	last  map[string]time.Time
	fresh map[string]bool // heard here since the leader was last told
	// live is the upstreams of the last look for silent ones.
	live  map[string]bool
	term  uint64
	since time.Time // when silence was first looked for in this term
}

// note takes a heartbeat that came here.
func (h *heardTimes) note(id string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.set(id, now)
	if h.fresh == nil {
		h.fresh = make(map[string]bool)
	}
	h.fresh[id] = true
}

// told takes what another replica heard.
func (h *heardTimes) told(ids []string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		h.set(id, now)
	}
}

func (h *heardTimes) set(id string, now time.Time) {
	if h.last == nil || len(h.last) >= heardMost {
		h.last = make(map[string]time.Time)
	}
	h.last[id] = now
}

// take returns whom this replica heard since the last call.
func (h *heardTimes) take() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]string, 0, len(h.fresh))
	for id := range h.fresh {
		out = append(out, id)
	}
	h.fresh = nil
	return out
}

// silent returns the upstreams that were not heard for lapseAfter. A new
// leader waits as long before it gives up on anyone. An upstream that is new or
// back counts as heard: the replica that heard it may not have told yet.
func (h *heardTimes) silent(now time.Time, term uint64, ups []agatestate.Upstream) []agatestate.Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != term {
		h.term, h.since = term, now
	}
	live := make(map[string]bool, len(ups))
	for _, up := range ups {
		live[up.ID] = true
		if !h.live[up.ID] {
			h.set(up.ID, now)
		}
	}
	h.live = live
	if now.Sub(h.since) < lapseAfter {
		return nil
	}
	var out []agatestate.Upstream
	alive := 0
	for _, up := range ups {
		quiet := now.Sub(h.last[up.ID])
		if quiet <= aliveWithin {
			alive++
		}
		if quiet > lapseAfter {
			out = append(out, up)
		}
	}
	if float64(alive) < aliveShare*float64(len(ups)) {
		return nil
	}
	return out
}

// lapse tells the leader whom this replica heard. The leader gives up on
// upstreams that nobody heard for long.
func (c *Control) lapse(ctx context.Context) {
	if !c.leads() {
		c.tellHeard(ctx, c.heardUp.take())
		return
	}
	c.heardUp.take()
	var live []agatestate.Upstream
	for _, up := range c.machine.Fleet(0).Upstreams {
		if !up.Gone {
			live = append(live, up)
		}
	}
	silent := c.heardUp.silent(time.Now(), c.replica.Load().Status().Term, live)
	if len(silent) == 0 {
		return
	}
	cmd := &agatestate.Announce{}
	for _, up := range silent {
		cmd.Upstreams = append(cmd.Upstreams, agatestate.Upstream{ID: up.ID, StartMs: up.StartMs, Gone: true, TimedOut: true})
	}
	_, err := c.propose(ctx, agatestate.Command{Announce: cmd})
	for _, up := range silent {
		c.log.Warn("upstream silent", "kind", "upstream", "choice", up.ID, "service", up.Service, "address", up.Address, "error", err)
	}
}

// tellHeard tells the leader whom this replica heard. What is lost with an
// error is heard again with the next heartbeats.
func (c *Control) tellHeard(ctx context.Context, ids []string) {
	addr, ok := c.Leader()
	if len(ids) == 0 || !ok {
		return
	}
	conn, err := c.dialer.Conn(addr)
	if err != nil {
		c.log.Warn("leader not told whom this replica heard", "kind", "upstream", "choice", addr, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTime)
	defer cancel()
	_, err = agatewire.NewControlClient(conn).Heard(ctx, &agatewire.HeardAsk{Sender: c.identity(), Upstreams: ids})
	c.dialer.Report(addr, err)
}

// Heard takes what another replica heard.
func (s *controlService) Heard(_ context.Context, ask *agatewire.HeardAsk) (*agatewire.HeardReply, error) {
	s.c.heardUp.told(ask.Upstreams, time.Now())
	return &agatewire.HeardReply{}, nil
}
