package agatefront

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agatebalance"
	"agategate/core/agateplan"
	"agategate/core/agatequota"
	"agategate/core/agatesuspect"
	"agategate/io/agateupstream"
)

const (
	// defaultTimeout applies to a request if neither the caller nor its route
	// sets a timeout.
	defaultTimeout = 30 * time.Second
	// workGrace is how long after the route's timeout an upstream may still end its
	// run: a run that is stopped just before its end is lost, and often runs again.
	workGrace = 150 * time.Millisecond
	// responseGrace is how long after the upstream's deadline the host still waits
	// for its response: one round trip between regions.
	responseGrace = 100 * time.Millisecond
	// maxUnsent is the maximum number of attempts of a request that reach no
	// upstream. They do not count towards the route's maximum.
	maxUnsent = 3
	// minSuspectUnsent is the number of attempts of one request that reach no upstream
	// after which the fault may be on this host's side. A single upstream may have
	// failed.
	minSuspectUnsent = 2
	// minAttemptTime is the minimum time before the deadline at which another
	// attempt is started.
	minAttemptTime = 5 * time.Millisecond
	// defaultRetryAfter is the Retry-After time of a host without a current plan.
	defaultRetryAfter = 500 * time.Millisecond
	minRetryAfter     = 50 * time.Millisecond
	// maxDeadlineMs is the limit above which a caller's deadline is ignored.
	maxDeadlineMs = 1e9
)

// headerTrue is the value of a header that states a condition.
const headerTrue = "1"

// reasonTimeout is the reason of the reply to a request whose deadline passed
// while an upstream may still be processing it.
const reasonTimeout = "timeout"

// proxyRequest is the state of one request in progress.
type proxyRequest struct {
	f  *Front
	c  *conn
	x  *exchange
	id string
	// origin is the entry host that forwarded the request, or "". originPlan is the
	// version of its plan, and age the time for which it had the request.
	origin, originPlan string
	age                time.Duration
	// via is the entry host that carried the request instead of this one, or "".
	via      string
	path     string // including the query
	deadline time.Time
	// workDeadline is the deadline of upstreams: workGrace after deadline, but not
	// after the caller's own deadline.
	workDeadline time.Time
	fingerprint  agatesuspect.Fingerprint

	plan     *agateplan.Index
	route    *agateplan.Route
	criteria agatebalance.Request
	// answered is claimed by the attempt whose response is passed on while it arrives,
	// or by a forwarded request that was answered. streamedBy is that attempt.
	answered   atomic.Bool
	streamedBy atomic.Pointer[attempt]
	// token is that of the workspace's limit, or nil if it has none.
	token *agatequota.Ticket

	begunAt  time.Time // when the first attempt began
	attempts int       // attempts that reached an upstream
	unsent   int       // attempts that did not
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// lastFailure is the last error response of an upstream. It is relayed if
	// no further attempt is possible.
	lastFailure  *reply
	lastDecision agatebalance.Decision
	// lastResult is the status code or kind of the last attempt's result, for
	// the log.
	lastResult string
	// lastPause is the Retry-After time of the last attempt's response, for the log.
	lastPause time.Duration
	// hedged is set if a copy was sent in the last attempt, and copyAnswered if it was
	// answered first.
	hedged, copyAnswered bool
}

// handle processes one request and sets its reply.
func (f *Front) handle(c *conn, x *exchange) {
	p := &proxyRequest{f: f, c: c, x: x, id: x.req.Header.Get(f.headers.RequestID), path: requestPath(x.req)}
	running := &f.ownRunning
	if c.peer {
		running = &f.forwardedRunning
		p.readOrigin()
	}
	running.Add(1)
	defer running.Add(-1)
	r := p.reply()
	f.finish(p, &r) // before the caller has the reply, and may ask for the decisions on it
	if p.streamedBy.Load() == nil {
		x.reply = r
		close(x.done)
	}
}

// reply returns the reply to the request.
func (p *proxyRequest) reply() reply {
	if p.x.rejected != nil {
		return *p.x.rejected
	}
	r := p.serve()
	if p.c.peer {
		p.markForPeer(&r)
	}
	return r
}

// requestPath returns the path and query as sent by the caller.
func requestPath(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// match looks up the request's route in the current plan, and the workspace of its key.
// If there is none, it returns the reply to send and false.
func (p *proxyRequest) match() (reply, bool) {
	p.plan = p.f.plan.Load()
	if p.plan == nil {
		return reply{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, reason: "no plan", preferOtherHost: true}, false
	}
	path, _, _ := strings.Cut(p.path, "?")
	p.route = p.plan.Match(p.x.req.Host, path)
	switch {
	case p.route != nil:
		return p.identify()
	case p.mayHaveRun:
		return reply{status: http.StatusBadGateway, reason: "route removed"}, false
	case !p.f.control.fresh():
		// The route may be in a newer plan that this host has not received.
		return reply{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, reason: reasonOldPlan, preferOtherHost: true}, false
	}
	return reply{status: http.StatusNotFound, reason: "no route"}, false
}

// serve attempts the request on one upstream after another until it has a
// reply.
func (p *proxyRequest) serve() reply {
	r, ok := p.match()
	if p.c.peer {
		if r, declined := p.declineReply(ok); declined {
			return r
		}
	}
	if !ok {
		return r
	}
	if p.id == "" {
		return reply{status: http.StatusBadRequest, reason: "request has no id"}
	}
	p.setCriteria()
	if !p.route.Kind.Idempotent() && !p.waitForPrevious() {
		return reply{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, reason: "caller left", close: true}
	}
	p.fingerprint = agatesuspect.NewFingerprint("", p.x.req.Method, p.path, "", p.x.body.Blocks()...)
	if after := p.f.suspects.refusedFor(time.Now(), p.fingerprint); after > 0 {
		return reply{status: http.StatusServiceUnavailable, retryAfter: after, reason: "crashes upstreams"}
	}
	if r, ok := p.takeToken(); !ok {
		return r
	}
	defer p.refundToken()
	p.setService()
	p.recordRequest()
	f := p.f
	p.begunAt = time.Now()
	for first := true; ; first = false {
		if !first {
			if r, ok := p.match(); !ok {
				return r
			}
			p.setService()
		}
		p.limitToStop()
		if r, final := p.forwardAround(); final {
			return r
		}
		d := p.choose()
		if d.Upstream == "" {
			return p.giveUp(d)
		}
		r, final := p.attempt(d)
		if final {
			return r
		}
		p.logAttempt()
		if p.unsent >= minSuspectUnsent {
			f.suspectLinks(p.begunAt, d.Upstream)
			p.awaitSuspicion(p.c.ctx)
			f.forwardWaiting()
		}
		if r, final := p.checkRetry(); final {
			return r
		}
	}
}

// waitForPrevious waits until the earlier requests on the connection are
// answered, so that an unsafe request does not run if one of their responses
// closes the connection: callers count a request after the last response as not
// read and may send it again. It reports false if the caller has disconnected.
func (p *proxyRequest) waitForPrevious() bool {
	select {
	case <-p.x.previous:
		return p.c.ctx.Err() == nil
	case <-p.c.ctx.Done():
		return false
	}
}

// setCriteria sets the deadline of the request, its id and its affinity key. The
// request times out after the shorter of the caller's deadline and the route's
// timeout, or after defaultTimeout if neither is set, counted from its receipt.
func (p *proxyRequest) setCriteria() {
	left := time.Duration(0)
	if ms, err := strconv.ParseFloat(p.x.req.Header.Get(p.f.headers.Deadline), 64); err == nil && ms >= 0 && ms < maxDeadlineMs {
		left = time.Duration(ms*float64(time.Millisecond)) + p.age
	}
	if left == 0 && p.route.Timeout == 0 {
		left = defaultTimeout
	}
	workTime := left
	if timeout := p.route.Timeout; timeout > 0 && (left == 0 || left > timeout) {
		workTime = timeout + workGrace
		if left > 0 {
			workTime = min(workTime, left)
		}
		left = timeout
	}
	p.deadline = p.x.received.Add(left)
	p.workDeadline = p.x.received.Add(workTime)
	p.criteria.ID = p.id
	if key := p.x.req.Header.Get(p.f.headers.AffinityKey); key != "" && p.route.Sticky {
		p.criteria.AffinityKey = xxhash.Sum64String(key) | 1 // never 0, which means no key
	}
}

// limitToStop ends the request before the end of a planned stop, which may have begun
// since the request was read: an upstream gets no more time than the host has.
func (p *proxyRequest) limitToStop() {
	if end := p.f.stopEnd.Load(); end != nil {
		// The response must be back before the host closes the connection.
		p.deadline = earlier(p.deadline, *end)
		p.workDeadline = earlier(p.workDeadline, end.Add(-responseGrace))
	}
	p.criteria.Deadline = p.workDeadline
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// setService selects the service of the request's route.
func (p *proxyRequest) setService() {
	p.criteria.Route = p.route
	p.criteria.Service = p.route.Pick(hashFraction(p.id))
}

// recordRequest adds the request to the retry budget of its service, unless the host
// that forwarded it has done so.
func (p *proxyRequest) recordRequest() {
	if p.c.peer {
		return
	}
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	p.f.table.RecordRequest(time.Now(), p.criteria.Service)
}

// choose selects an upstream by the load-balancing table and records there that the
// request is sent to it.
func (p *proxyRequest) choose() agatebalance.Decision {
	f := p.f
	if p.route.Target > 0 {
		p.criteria.Target = p.x.received.Add(p.route.Target)
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	p.lastDecision = f.table.Choose(now, &p.criteria)
	if p.lastDecision.Upstream != "" {
		// In the same critical section, so that concurrent requests cannot exceed the
		// rate of a cold or limited upstream.
		f.table.Start(now, p.lastDecision.Upstream)
	}
	return p.lastDecision
}

// hashFraction maps a request id to a number in [0, 1) by its hash.
func hashFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// giveUp returns the reply to a request that cannot be attempted, or cannot be
// attempted again. A host without links sends the caller to another one.
func (p *proxyRequest) giveUp(d agatebalance.Decision) reply {
	r := p.failure(d)
	r.preferOtherHost = p.f.linksLost.Load() || d.Reason == agatebalance.ReasonNoLink
	return r
}

// failure returns the reply to a request that ends without a success.
func (p *proxyRequest) failure(d agatebalance.Decision) reply {
	switch {
	case p.lastFailure != nil && (p.mayHaveRun || p.route.Kind.Idempotent()):
		return *p.lastFailure
	case p.mayHaveRun && !time.Now().Before(p.deadline):
		return reply{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	case p.mayHaveRun:
		return reply{status: http.StatusBadGateway, reason: "answer lost"}
	}
	return reply{status: http.StatusServiceUnavailable, retryAfter: max(d.RetryAfter, minRetryAfter), reason: string(d.Reason)}
}

// attempt sends the request to one upstream. The reply is final if it is to be
// sent to the caller or if the caller has disconnected.
func (p *proxyRequest) attempt(d agatebalance.Decision) (reply, bool) {
	res, forwarded := p.send(d)
	if r, streamed := p.endStream(&res); streamed {
		return r, true
	}
	if forwarded != nil {
		if r, replied := p.recordForward(*forwarded); replied {
			return r, true
		}
	}
	p.criteria.Tried = append(p.criteria.Tried, d.Upstream)
	p.lastResult = res.Kind.String()
	p.lastPause = res.RetryAfter
	return p.handleResult(&res)
}

// context returns the context of the call to the upstream. It is canceled when
// the caller disconnects, unless the request is unsafe: after it is sent,
// cancelling it would only lose its response.
func (p *proxyRequest) context() context.Context {
	if p.route.Kind.Idempotent() {
		return p.c.ctx
	}
	return p.f.ctx
}

// call returns the request to send to the chosen upstream.
func (p *proxyRequest) call(d agatebalance.Decision) agateupstream.Call {
	h := p.x.req.Header.Clone()
	h.Set(p.f.headers.ExpectUpstream, d.Upstream)
	p.setWorkspace(h)
	return agateupstream.Call{
		Upstream: d.Upstream,
		Service:  p.criteria.Service,
		Address:  p.f.cfg.UpstreamAddr(d.Address),
		Host:     p.x.req.Host,
		Method:   p.x.req.Method,
		Path:     p.path,
		Header:   h,
		Body:     p.x.body,
		Charge:   p.x.charge,
		Action:   !p.route.Kind.Idempotent(),
		Deadline: p.workDeadline,
		Grace:    responseGrace,
	}
}

// handleResult evaluates the result of an attempt. It returns the final reply
// to the caller and true, or false if another attempt may follow.
func (p *proxyRequest) handleResult(res *agateupstream.Result) (reply, bool) {
	switch res.Kind {
	case agateupstream.Answered:
		return p.handleResponse(res)
	case agateupstream.Shed:
		p.attempts++
		return reply{}, false
	case agateupstream.Refused, agateupstream.NotWritten, agateupstream.Busy:
		p.unsent++
		return reply{}, false
	case agateupstream.Canceled:
		return reply{status: http.StatusBadGateway, reason: "caller left", close: true}, true
	}
	if res.MayHaveRun {
		p.attempts++
		p.mayHaveRun = true
	} else {
		p.unsent++
	}
	return reply{}, false
}

// handleResponse relays an upstream's response, unless it is an error that a
// retry on another upstream may avoid.
func (p *proxyRequest) handleResponse(res *agateupstream.Result) (reply, bool) {
	p.attempts++
	p.mayHaveRun = true
	p.lastResult = strconv.Itoa(res.Status)
	stamp := p.f.headers.Stamp
	if stamp != "" && res.Status < 300 && res.Header.Get(stamp) == "" {
		p.lastResult = "unstamped"
		return reply{}, false // not sent by an upstream
	}
	r := reply{status: res.Status, header: res.Header, body: res.Body}
	p.nameLeaving(&r)
	if res.Status < 500 && !meansNotRun(res.Status) {
		return r, true
	}
	if !p.route.Kind.Idempotent() {
		if meansNotRun(res.Status) {
			// Without the upstream's statement that it did not run the request,
			// the caller must not receive a status that implies it.
			return reply{status: http.StatusBadGateway, reason: "unproved refusal"}, true
		}
		return r, true
	}
	p.lastFailure = &r
	return reply{}, false
}

// meansNotRun reports whether callers take a status as a statement that the
// request was not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkRetry decides whether the request is attempted again. If not, it returns
// the reply to the caller and true.
func (p *proxyRequest) checkRetry() (reply, bool) {
	now := time.Now()
	switch {
	case p.c.ctx.Err() != nil:
		return reply{status: http.StatusBadGateway, reason: "caller left", close: true}, true
	case p.mayHaveRun && !p.route.Kind.Idempotent():
		if !now.Before(p.deadline) {
			return reply{status: http.StatusGatewayTimeout, reason: reasonTimeout}, true
		}
		return reply{status: http.StatusBadGateway, reason: "answer lost"}, true
	case p.deadline.Sub(now) < minAttemptTime:
		return p.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonDeadline}), true
	case p.attempts >= p.route.MaxAttempts:
		return p.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonBusy}), true
	case p.unsent >= maxUnsent:
		// Several attempts reached no upstream, so the fault may be on this
		// host's side, such as a saturated network link.
		r := p.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonBusy})
		r.preferOtherHost = true
		return r, true
	case p.f.suspects.refusedFor(now, p.fingerprint) > 0:
		return p.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonNoUpstream}), true
	case p.attempts > 0 && !p.allowRetry(now):
		return p.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonBudget}), true
	}
	p.f.metrics.retry(p.criteria.Service)
	return reply{}, false
}

func (p *proxyRequest) allowRetry(now time.Time) bool {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	return p.f.table.AllowRetry(now, p.criteria.Service)
}
