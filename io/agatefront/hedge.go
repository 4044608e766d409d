package agatefront

import (
	"context"
	"sync/atomic"
	"time"

	"agategate/core/agatebalance"
	"agategate/io/agatemetrics"
	"agategate/io/agateupstream"
)

// attempt is one copy of a request on its way to an upstream.
type attempt struct {
	p *proxyRequest
	d agatebalance.Decision
	// startedAt is when the original was started, also for a copy, and begunAt when
	// this one was.
	startedAt, begunAt time.Time
	// way is claimed immediately before the first byte is written, see wayOpen.
	way    atomic.Int32
	detour *detour
	// hedge is nil if no copy of the request may be sent.
	hedge  *hedge
	isCopy bool
}

// hedge sends a copy of a request whose response takes long, see
// agatebalance.Table.HedgeDelay. The first answer counts; the other one is canceled.
type hedge struct {
	original       *attempt
	cancelOriginal context.CancelFunc
	copyContext    context.Context
	cancelCopy     context.CancelFunc
	sent           atomic.Bool
	answered       atomic.Bool   // one of both is answered
	done           chan struct{} // closed when the copy has ended or will not be sent
	result         agateupstream.Result
}

// send sends the request to the chosen upstream and returns the result. If the request
// was forwarded meanwhile, and the upstream brought no answer, it returns the result of
// that as well.
func (p *proxyRequest) send(d agatebalance.Decision) (agateupstream.Result, *forwardResult) {
	a := &attempt{p: p, d: d, startedAt: time.Now()}
	ctx, cancel := context.WithCancel(p.context())
	defer cancel()
	a.detour = newDetour(a, cancel)
	res := a.runHedged(ctx)
	if out, forwarded := a.detour.end(usable(&res) || p.streamedBy.Load() != nil); forwarded {
		return res, &out
	}
	return res, nil
}

// runHedged sends the request, and a copy of it if the response takes long.
func (a *attempt) runHedged(ctx context.Context) agateupstream.Result {
	p := a.p
	delay, ok := p.hedgeDelay(&a.d)
	if !ok {
		return a.run(ctx)
	}
	originalContext, cancel := context.WithCancel(ctx)
	defer cancel()
	copyContext, cancelCopy := context.WithCancel(ctx)
	defer cancelCopy()
	h := &hedge{original: a, cancelOriginal: cancel, copyContext: copyContext, cancelCopy: cancelCopy, done: make(chan struct{})}
	a.hedge = h
	timer := time.AfterFunc(delay, h.sendCopy)
	res := a.run(originalContext)
	if timer.Stop() {
		return res
	}
	if usable(&res) && p.mayAnswer(a) {
		cancelCopy()
	}
	<-h.done
	p.hedged = h.sent.Load()
	if p.hedged && (!usable(&res) || !p.mayAnswer(a)) && usable(&h.result) {
		p.copyAnswered = true
		return h.result
	}
	return res
}

// mayAnswer reports whether the response of an attempt may become the reply, because
// that of no other one is being passed on.
func (p *proxyRequest) mayAnswer(a *attempt) bool {
	by := p.streamedBy.Load()
	return by == nil || by == a
}

// cancelOther cancels the original if a is the copy, and the copy if it is the original.
func (h *hedge) cancelOther(a *attempt) {
	if a.isCopy {
		h.cancelOriginal()
		return
	}
	h.cancelCopy()
}

// hedgeDelay returns the delay after which a copy may be sent, or false if the request
// must not be sent twice.
func (p *proxyRequest) hedgeDelay(d *agatebalance.Decision) (time.Duration, bool) {
	if !p.route.Kind.Idempotent() {
		return 0, false
	}
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	return p.f.table.HedgeDelay(time.Now(), &p.criteria, d)
}

// sendCopy sends the copy unless the original has not been written: then its
// connection is slow and not the upstream.
func (h *hedge) sendCopy() {
	defer close(h.done)
	a := h.original
	if a.way.Load() != wayUpstream || !a.p.f.allowHedge(a.d.Upstream) {
		return
	}
	h.sent.Store(true)
	a.p.f.metrics.hedge(a.p.criteria.Service)
	c := &attempt{p: a.p, d: a.d, startedAt: a.startedAt, hedge: h, isCopy: true, detour: a.detour}
	h.result = c.run(h.copyContext)
	if usable(&h.result) && a.p.mayAnswer(c) {
		h.cancelOriginal()
	}
}

// allowHedge reports whether a copy may be sent to an upstream, and records there that
// it is.
func (f *Front) allowHedge(upstream string) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.table.AllowHedge(now, upstream) {
		return false
	}
	f.table.Start(now, upstream)
	return true
}

// usable reports whether a result is the answer to the caller.
func usable(res *agateupstream.Result) bool {
	return res.Kind == agateupstream.Answered && res.Status < 500 && !meansNotRun(res.Status)
}

// run sends the request and records the result.
func (a *attempt) run(ctx context.Context) agateupstream.Result {
	p, f := a.p, a.p.f
	process := upstreamProcess{a.d.Upstream, a.d.Basis.StartedAtMs()}
	done := f.suspects.start(p.fingerprint, process)
	defer done()
	call := p.call(a.d)
	call.Connected = a.recordConnection
	if p.streams() {
		call.Stream = a.stream
	}
	a.begunAt = time.Now()
	late := time.AfterFunc(f.connectTime(a.d.Upstream), func() { a.detour.connectionLate(a) })
	call.BeforeWrite = func() bool {
		late.Stop()
		if p.c.ctx.Err() != nil || !f.maySend(a.d.Upstream) || !a.way.CompareAndSwap(wayOpen, wayUpstream) {
			return false
		}
		f.waiting.add(a)
		return true
	}
	defer f.waiting.remove(a)
	defer late.Stop()
	res := f.pool.Do(ctx, call)
	if res.Kind == agateupstream.Answered {
		f.suspects.recordAnswer(p.fingerprint)
	}
	failedAt := time.Now()
	o := a.observation(&res)
	f.mu.Lock()
	changes := f.table.Finish(time.Now(), a.d.Upstream, o)
	domainChanges := f.table.TakeDomainChanges()
	f.mu.Unlock()
	f.logDomains(p.id, domainChanges)
	if res.UpstreamDied && f.linksIntact(failedAt) {
		f.reportCrash(process)
	}
	if changes.Leaving {
		p.logLeaving(a.d.Upstream)
	}
	if changes.Limit {
		p.logLimit(o.Limit)
		f.control.requestHeartbeats() // other hosts learn of it
	}
	return res
}

// connectTime returns the time within which a connection to an upstream usually opens.
func (f *Front) connectTime(upstream string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.ConnectTime(upstream)
}

// maySend reports whether an upstream still takes a request that was started for it.
func (f *Front) maySend(upstream string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.MaySend(time.Now(), upstream)
}

// recordConnection records that a new connection was opened for the attempt.
func (a *attempt) recordConnection(took time.Duration) {
	a.p.f.connected(a.d.Upstream, a.p.id, took)
}

// connected records that a connection to an upstream was opened for a request, or as a
// probe without one.
func (f *Front) connected(upstream, request string, took time.Duration) {
	f.mu.Lock()
	f.table.Connected(time.Now(), upstream, took)
	linksChanged := f.updateLinksLost()
	domainChanges := f.table.TakeDomainChanges()
	f.mu.Unlock()
	f.logDomains(request, domainChanges)
	if linksChanged {
		f.log.Info("links found", "kind", "links", "req", request, "lost", f.linksLost.Load(), "choice", upstream)
		f.control.requestHeartbeats()
	}
}

// observation converts the result for the load-balancing table.
func (a *attempt) observation(res *agateupstream.Result) agatebalance.Observation {
	o := a.p.f.observation(res)
	o.Basis = a.d.Basis
	h := a.hedge
	if h == nil || !usable(res) {
		return o
	}
	first := !h.answered.Swap(true)
	o.Hedged = first && h.sent.Load()
	o.CopyAnswered = first && a.isCopy
	if o.CopyAnswered {
		o.Latency = time.Since(a.startedAt)
	}
	return o
}

// hedge counts a copy of a request.
func (m metrics) hedge(service string) { m.set.Counter(agatemetrics.Hedges, service).Add(1) }
