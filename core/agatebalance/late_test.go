package agatebalance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
)

// lateHost sends requests without an object to a table of three upstreams.
type lateHost struct {
	table    *agatebalance.Table
	now      time.Time
	deadline time.Duration // of each request, from its start
}

func newLateHost() *lateHost {
	h := &lateHost{table: newTable(), now: time.Unix(1000, 0), deadline: 900 * time.Millisecond}
	h.table.UpdateUpstreams(h.now, []agatebalance.UpstreamInfo{newInfo("u1"), newInfo("u2"), newInfo("u3")}, true, nil)
	return h
}

func (h *lateHost) choose() agatebalance.Decision {
	return choose(h.table, h.now, func(r *agatebalance.Request) {
		r.AffinityKey, r.Target, r.Deadline = 0, time.Time{}, h.now.Add(h.deadline)
	})
}

// finish ends a request after the given time from its start.
func (h *lateHost) finish(d agatebalance.Decision, took, rtt time.Duration) {
	h.table.Finish(h.now, d.Upstream, agatebalance.Observation{Outcome: agatebalance.Answered, Latency: took, RTT: rtt, Basis: d.Basis})
}

// serve sends a request that is answered after 20 ms, and reports whether it was sent.
func (h *lateHost) serve() bool {
	d := h.choose()
	if d.Upstream == "" {
		return false
	}
	h.table.Start(h.now, d.Upstream)
	h.now = h.now.Add(20 * time.Millisecond)
	h.finish(d, 20*time.Millisecond, 2*time.Millisecond)
	return true
}

// suspend sends n requests, whose responses are read after the host has been suspended
// for the given time. The connections were opened meanwhile, too.
func (h *lateHost) suspend(n int, d time.Duration) {
	var decisions []agatebalance.Decision
	for range n {
		if c := h.choose(); c.Upstream != "" {
			h.table.Start(h.now, c.Upstream)
			decisions = append(decisions, c)
		}
	}
	h.now = h.now.Add(d)
	for _, c := range decisions {
		h.finish(c, d, d)
	}
}

// Guards against a host that refuses all requests as late after it was suspended,
// because the responses that it read afterwards count as slow.
func TestSuspendedHostServes(t *testing.T) {
	for _, before := range []int{0, 1, 10, 200} {
		for _, inFlight := range []int{1, 3, 12} {
			t.Run(fmt.Sprintf("before=%d/inFlight=%d", before, inFlight), func(t *testing.T) {
				h := newLateHost()
				for range before {
					assert.Assert(t, h.serve())
				}
				h.suspend(inFlight, 10*time.Second)
				for i := range 100 {
					assert.Assert(t, h.serve(), "request %d after the suspension", i)
				}
			})
		}
	}
}

// Guards against a host that refuses all requests as late for good, as it measures no
// response time while it refuses them: the upstreams were slow, or it was suspended for
// less than the deadline, and the deadlines of later requests are shorter.
func TestLateEstimateIsMeasuredAgain(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newLateHost()
		h.deadline = 5 * time.Second
		for range rng.IntN(100) {
			h.serve()
		}
		for range 1 + rng.IntN(4) {
			h.suspend(1+rng.IntN(12), time.Duration(1+rng.IntN(4900))*time.Millisecond)
		}
		h.deadline = time.Duration(100+rng.IntN(900)) * time.Millisecond
		end := h.now.Add(5 * time.Second)
		for h.now.Before(end) {
			h.serve()
			h.now = h.now.Add(10 * time.Millisecond)
		}
		for i := range 100 {
			assert.Assert(t, h.serve(), "seed %d: request %d, 5 s after the upstreams are fast again", seed, i)
		}
	}
}

// Guards against load without use: requests that cannot be answered in time are refused,
// but for one a second, and for all while others measure the response time.
func TestLateRequestsAreRefused(t *testing.T) {
	h := newLateHost()
	slow := func() {
		d := h.choose()
		assert.Assert(t, d.Upstream != "")
		h.table.Start(h.now, d.Upstream)
		h.finish(d, 800*time.Millisecond, 2*time.Millisecond)
	}
	for range 100 {
		slow()
	}
	sent := 0
	for range 100 {
		h.deadline = 300 * time.Millisecond
		if d := h.choose(); d.Upstream != "" {
			sent++
			h.table.Start(h.now, d.Upstream)
			h.table.Finish(h.now, d.Upstream, agatebalance.Observation{Outcome: agatebalance.TimedOut, Latency: 300 * time.Millisecond, Basis: d.Basis})
		} else {
			assert.Equal(t, d.Reason, agatebalance.ReasonDeadline)
		}
		h.now = h.now.Add(100 * time.Millisecond)
	}
	assert.Check(t, sent > 0 && sent <= 10, "%d of 100 requests in 10 s were sent", sent)

	for range 100 {
		h.deadline = 900 * time.Millisecond
		slow()
		h.deadline = 300 * time.Millisecond
		h.now = h.now.Add(100 * time.Millisecond)
		assert.Equal(t, h.choose().Reason, agatebalance.ReasonDeadline)
	}
}
