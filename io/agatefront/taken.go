package agatefront

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"agategate/core/agatepeer"
	"agategate/io/agatemetrics"
)

// Reasons for which a host declines a forwarded request, which was then not run. The
// values are stable.
const (
	declinedPlan  = "plan"    // the hosts apply different plans
	declinedBusy  = "busy"    // as many requests of other hosts are in progress as allowed, or no memory is left
	declinedLinks = "no link" // this host's links to the upstreams have failed, too
)

// takenLabel counts the forwarded requests that were not declined.
const takenLabel = "taken"

// peerHeaderBytes is the size of the headers that a forwarding host adds.
const peerHeaderBytes = 1 << 10

// readOrigin reads what the forwarding host says about the request: its origin, for
// how long the origin has had it, to how many upstreams it has been sent, and whether one
// of them may have run it. None of that is sent on to the upstream.
func (p *proxyRequest) readOrigin() {
	h := p.x.req.Header
	p.origin = h.Get(headerOrigin)
	p.originPlan = h.Get(headerPlan)
	if ms, err := strconv.ParseInt(h.Get(headerAge), 10, 64); err == nil && ms > 0 && ms < maxDeadlineMs {
		p.age = time.Duration(ms) * time.Millisecond
		p.x.received = p.x.received.Add(-p.age)
	}
	if tries, err := strconv.Atoi(h.Get(headerTries)); err == nil && tries > 0 {
		p.attempts = tries
	}
	p.mayHaveRun = h.Get(headerRan) == headerTrue
	for _, name := range []string{headerOrigin, headerPlan, headerTries, headerRan, headerAge} {
		h.Del(name)
	}
}

// decline returns why this host does not take a forwarded request, or "". identified
// states whether its route and workspace are known.
func (p *proxyRequest) decline(identified bool) string {
	switch {
	case p.originPlan != strconv.FormatUint(p.planVersion(), 10) || p.route == nil || !identified:
		return declinedPlan
	case !agatepeer.MayTake(int(p.f.forwardedRunning.Load())-1, int(p.f.ownRunning.Load())):
		return declinedBusy
	}
	p.setService()
	if p.linksDoubtful() {
		return declinedLinks
	}
	return ""
}

// declineReply counts a forwarded request and returns the reply to one that is declined.
func (p *proxyRequest) declineReply(identified bool) (reply, bool) {
	reason := p.decline(identified)
	if reason == "" {
		p.f.metrics.set.Counter(agatemetrics.Taken, takenLabel).Add(1)
		return reply{}, false
	}
	p.f.metrics.set.Counter(agatemetrics.Taken, reason).Add(1)
	r := reply{status: http.StatusServiceUnavailable, retryAfter: minRetryAfter, reason: "declined: " + reason}
	r.setExtra(headerDeclined, reason)
	return r, true
}

// markForPeer adds the headers by which the forwarding host tells what a reply is.
func (p *proxyRequest) markForPeer(r *reply) {
	// The pool of the other host expects an id in each reply on a connection or in none.
	r.setExtra(p.f.headers.RequestID, p.id)
	if r.header == nil {
		r.setExtra(headerReason, r.reason)
	}
}

// nameLeaving names the upstream of a response to the host that forwarded the request,
// if the response says that the upstream leaves.
func (p *proxyRequest) nameLeaving(r *reply) {
	if d := &p.lastDecision; p.c.peer && r.header.Get(p.f.headers.Leaving) == headerTrue {
		r.setExtra(headerUpstream, fmt.Sprintf("%s %d", d.Upstream, d.Basis.StartedAtMs()))
	}
}
