package agatefront

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"agategate/core/agatepeer"
	"agategate/core/agateplan"
	"agategate/internal/agatebuffer"
	"agategate/io/agatemetrics"
	"agategate/io/agateupstream"
)

// Headers of requests that entry hosts forward to each other.
const (
	headerOrigin = "Agate-Origin" // name of the host that forwards the request
	headerPlan   = "Agate-Plan"   // version of the plan that it applies
	headerTries  = "Agate-Tries"  // number of upstreams to which the request has been sent
	headerRan    = "Agate-Ran"    // "1" if one of them may have run it
	headerAge    = "Agate-Age"    // milliseconds since the host received the request
)

// Headers of the replies to forwarded requests.
const (
	headerDeclined = "Agate-Declined" // the peer did not take the request, for this reason
	headerReason   = "Agate-Reason"   // text of a reply that is not an upstream's response
	headerUpstream = "Agate-Upstream" // ID and process start of the upstream, if its response says that it leaves
)

const (
	// maxForwards is the number of peers to which one request is forwarded. Most of
	// those that fail decline at once.
	maxForwards = 4
	// peerConnectTimeout covers several round trips between regions.
	peerConnectTimeout = 250 * time.Millisecond
	// peerGrace is how long after the upstream's deadline the reply of a peer may still
	// arrive, which itself waits for responseGrace.
	peerGrace = 2 * responseGrace
	// peerIdleTimeout is how long connections to peers are kept. Peers keep those of
	// other hosts longer.
	peerIdleTimeout = 8 * time.Second
	// maxPeerConns is the maximum number of connections to one peer.
	maxPeerConns = 32
)

// newPeerPool returns the pool of connections to peers.
func newPeerPool(headers *Headers, account *agatebuffer.Account) *agateupstream.Pool {
	return agateupstream.New(agateupstream.Config{
		Account:           account,
		IdleTimeout:       peerIdleTimeout,
		ActionIdleTimeout: peerIdleTimeout / 2,
		MaxConns:          maxPeerConns,
		ConnectTimeout:    peerConnectTimeout,
		DeadlineHeader:    headers.Deadline,
		RequestHeader:     headers.RequestID,
		NotRun:            func(_ int, h http.Header) bool { return h.Get(headerDeclined) != "" },
	})
}

// forwardResult is the result of forwarding a request.
type forwardResult struct {
	// reply is what peer has to say to the caller, if replied is set.
	reply   reply
	replied bool
	peer    string
	// written is the number of peers that may have received the request and gave no
	// reply. The request may have run at as many upstreams.
	written int
}

// answered reports whether a peer brought a response that a caller can use.
func (out *forwardResult) answered() bool {
	return out.replied && out.reply.header != nil && out.reply.status < 500 && !meansNotRun(out.reply.status)
}

// forward sends the request to peers until one of them carries it. tries is the number
// of upstreams to which it has been sent, and ran tells whether one may have run it.
func (p *proxyRequest) forward(ctx context.Context, tries int, ran bool) (out forwardResult) {
	regions, ok := agateplan.HomeRegions(p.route, p.criteria.Workspace)
	if !ok {
		return out
	}
	query := agatepeer.Query{Request: p.id, Service: p.criteria.Service, Regions: regions}
	for range maxForwards {
		start := time.Now()
		if p.deadline.Sub(start) < minAttemptTime {
			return out
		}
		peer, ok := p.f.peers.start(start, query)
		if !ok {
			return out
		}
		res := p.f.peerPool.Do(ctx, p.peerCall(peer, tries, ran))
		outcome := forwardOutcome(&res)
		p.f.peers.finish(time.Now(), peer.Name, query.Service, outcome)
		p.logForward(peer.Name, &res, outcome, time.Since(start))
		query.Tried = append(query.Tried, peer.Name)
		switch {
		case outcome == agatepeer.Replied:
			out.replied, out.peer, out.reply = true, peer.Name, p.peerReply(&res)
			return out
		case res.MayHaveRun:
			out.written++
			tries++
			ran = true
			if ctx.Err() != nil || !p.route.Kind.Idempotent() || tries >= p.route.MaxAttempts || !p.allowRetry(time.Now()) {
				return out
			}
		case ctx.Err() != nil:
			return out
		}
	}
	return out
}

// peerCall returns the call that forwards the request to a peer.
func (p *proxyRequest) peerCall(peer agatepeer.Peer, tries int, ran bool) agateupstream.Call {
	h := p.x.req.Header.Clone()
	p.setWorkspace(h)
	h.Set(headerOrigin, p.f.cfg.Name)
	h.Set(headerPlan, strconv.FormatUint(p.planVersion(), 10))
	h.Set(headerTries, strconv.Itoa(tries))
	h.Del(headerRan)
	if ran {
		h.Set(headerRan, headerTrue)
	}
	h.Set(headerAge, strconv.FormatInt(time.Since(p.x.received).Milliseconds(), 10))
	return agateupstream.Call{
		Upstream:    peer.Name,
		Service:     p.criteria.Service,
		Address:     peer.Address,
		Host:        p.x.req.Host,
		Method:      p.x.req.Method,
		Path:        p.path,
		Header:      h,
		Body:        p.x.body,
		Charge:      p.x.charge,
		Action:      !p.route.Kind.Idempotent(),
		Deadline:    p.workDeadline,
		Grace:       peerGrace,
		BeforeWrite: func() bool { return p.c.ctx.Err() == nil },
	}
}

// forwardOutcome tells what the result of a call says about the peer.
func forwardOutcome(res *agateupstream.Result) agatepeer.Outcome {
	switch res.Kind {
	case agateupstream.Answered:
		return agatepeer.Replied
	case agateupstream.Shed:
		return agatepeer.Declined
	case agateupstream.Canceled, agateupstream.Busy:
		return agatepeer.Canceled
	case agateupstream.TimedOut:
		if res.MayHaveRun {
			return agatepeer.Canceled // its upstream may be slow
		}
	}
	return agatepeer.Unreachable
}

// peerReply returns the reply to the caller from the one of a peer.
func (p *proxyRequest) peerReply(res *agateupstream.Result) reply {
	p.recordPeerLeaving(res.Header.Get(headerUpstream))
	res.Header.Del(headerUpstream)
	if reason := res.Header.Get(headerReason); reason != "" {
		return reply{status: res.Status, retryAfter: res.RetryAfter, reason: reason}
	}
	return reply{status: res.Status, header: res.Header, body: res.Body}
}

// recordPeerLeaving records that an upstream has told a peer that it leaves.
func (p *proxyRequest) recordPeerLeaving(text string) {
	id, born, _ := strings.Cut(text, " ")
	startedAtMs, err := strconv.ParseInt(born, 10, 64)
	if err != nil {
		return // the reply names no upstream
	}
	p.f.mu.Lock()
	changed := p.f.table.RecordLeaving(time.Now(), id, startedAtMs)
	p.f.mu.Unlock()
	if changed {
		p.logLeaving(id)
	}
}

// forwardAround forwards the request if the links to its upstreams are lost or
// suspected. The reply is final if it is to be sent to the caller.
func (p *proxyRequest) forwardAround() (r reply, final bool) {
	if p.c.peer {
		return reply{}, false
	}
	if !p.route.Kind.Idempotent() {
		// It must not be written to a connection that may have fallen silent.
		p.awaitSuspicion(p.c.ctx)
	}
	if !p.linksDoubtful() {
		return reply{}, false
	}
	out := p.forward(p.context(), p.attempts, p.mayHaveRun)
	if r, replied := p.recordForward(out); replied {
		return r, true
	}
	if out.written > 0 {
		return p.checkRetry()
	}
	return reply{}, false
}

// recordForward takes over the result of forwarding the request. If a peer replied, it
// returns the reply to send to the caller.
func (p *proxyRequest) recordForward(out forwardResult) (r reply, replied bool) {
	p.attempts += out.written
	p.mayHaveRun = p.mayHaveRun || out.written > 0
	if !out.replied {
		return reply{}, false
	}
	p.via = out.peer
	out.reply.preferOtherHost = p.f.linksLost.Load()
	return out.reply, true
}

func (p *proxyRequest) linksDoubtful() bool {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	return p.f.table.LinksDoubtful(time.Now(), p.criteria.Service)
}

// logForward records the end of a forwarded request and writes its log line.
func (p *proxyRequest) logForward(peer string, res *agateupstream.Result, o agatepeer.Outcome, took time.Duration) {
	m := p.f.metrics.set
	m.Counter(agatemetrics.Forwarded, o.String()).Add(1)
	if o == agatepeer.Replied {
		m.Histogram(agatemetrics.ForwardLatency, p.criteria.Service).Record(took)
	}
	if !p.f.otherLimit.allow(time.Now(), otherLinesPerSecond) {
		m.Counter(agatemetrics.SkippedLines, "").Add(1)
		return
	}
	p.f.log.Info("request forwarded", "kind", "forward", "req", p.id, "service", p.criteria.Service, "choice", peer,
		"outcome", o.String(), "end", res.Kind.String(), "status", res.Status, "declined", res.Header.Get(headerDeclined),
		"took", took.Round(time.Millisecond))
}
