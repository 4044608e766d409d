package agatefront

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agatebalance"
	"agategate/core/agateplan"
	"agategate/core/agatesuspect"
	"agategate/io/agateupstream"
)

const (
	// defaultTimeout applies to a request if neither the caller nor its route
	// sets a timeout.
	defaultTimeout = 30 * time.Second
	// responseGrace is how long after a request's deadline the host still waits
	// for the upstream's response: one round trip between regions.
	responseGrace = 100 * time.Millisecond
	// maxUnsent is the maximum number of attempts of a request that reach no
	// upstream. They do not count towards the route's maximum.
	maxUnsent = 3
	// minAttemptTime is the minimum time before the deadline at which another
	// attempt is started.
	minAttemptTime = 5 * time.Millisecond
	// planRetryAfter is the Retry-After time of a host without a current plan.
	planRetryAfter = 500 * time.Millisecond
)

// reasonTimeout is the reason of the reply to a request whose deadline passed
// while an upstream may still be processing it.
const reasonTimeout = "timeout"

// job is one request in progress.
type job struct {
	f           *Front
	c           *conn
	x           *exchange
	id          string
	path        string // including the query
	deadline    time.Time
	fingerprint agatesuspect.Fingerprint

	plan     *agateplan.Index
	route    *agateplan.Route
	criteria agatebalance.Request

	attempts int // attempts that reached an upstream
	unsent   int // attempts that did not
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// lastFailure is the last error response of an upstream. It is relayed if
	// no further attempt is possible.
	lastFailure  *reply
	lastDecision agatebalance.Decision
	// lastResult is the status code or kind of the last attempt's result, for
	// the log.
	lastResult string
}

// run processes one request and sets its reply.
func (f *Front) run(c *conn, x *exchange) {
	defer close(x.done)
	j := &job{f: f, c: c, x: x, id: x.req.Header.Get(f.headers.RequestID), path: requestPath(x.req)}
	x.reply = j.serve()
	f.finish(j)
}

// requestPath returns the path and query as sent by the caller.
func requestPath(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// match looks up the request's route in the current plan. If there is none, it
// returns the reply to send and false.
func (j *job) match() (reply, bool) {
	j.plan = j.f.plan.Load()
	if j.plan == nil {
		return reply{status: http.StatusServiceUnavailable, retryAfter: planRetryAfter, reason: "no plan", preferOtherHost: true}, false
	}
	path, _, _ := strings.Cut(j.path, "?")
	j.route = j.plan.Match(j.x.req.Host, path)
	switch {
	case j.route != nil:
		return reply{}, true
	case j.mayHaveRun:
		return reply{status: http.StatusBadGateway, reason: "route removed"}, false
	case !j.f.control.fresh():
		// The route may be in a newer plan that this host has not received.
		return reply{status: http.StatusServiceUnavailable, retryAfter: planRetryAfter, reason: "plan may be old", preferOtherHost: true}, false
	}
	return reply{status: http.StatusNotFound, reason: "no route"}, false
}

// serve attempts the request on one upstream after another until it has a
// reply.
func (j *job) serve() reply {
	if r, ok := j.match(); !ok {
		return r
	}
	if j.id == "" {
		return reply{status: http.StatusBadRequest, reason: "request has no id"}
	}
	j.setDeadline()
	if j.route.Kind == agateplan.Unsafe && !j.waitForPrevious() {
		return reply{status: http.StatusServiceUnavailable, retryAfter: planRetryAfter, reason: "caller left", close: true}
	}
	j.fingerprint = agatesuspect.NewFingerprint("", j.x.req.Method, j.path, "", j.x.body)
	if after := j.f.suspects.refused(time.Now(), j.fingerprint); after > 0 {
		return reply{status: http.StatusServiceUnavailable, retryAfter: after, reason: "crashes upstreams"}
	}
	for first := true; ; first = false {
		if !first {
			if r, ok := j.match(); !ok {
				return r
			}
		}
		d := j.choose(first)
		if d.Upstream == "" {
			return j.giveUp(d)
		}
		r, final := j.attempt(d)
		if final {
			return r
		}
		j.logAttempt()
		if r, final := j.checkRetry(); final {
			return r
		}
	}
}

// waitForPrevious waits until the earlier requests on the connection are
// answered, so that an unsafe request does not run if one of their responses
// closes the connection: callers count a request after the last response as not
// read and may send it again. It reports false if the caller has disconnected.
func (j *job) waitForPrevious() bool {
	select {
	case <-j.x.previous:
		return j.c.ctx.Err() == nil
	case <-j.c.ctx.Done():
		return false
	}
}

// setDeadline sets the deadline of the request to the earlier of the caller's
// deadline and the route's timeout. It also sets the affinity key.
func (j *job) setDeadline() {
	left := time.Duration(0)
	if ms, err := strconv.ParseFloat(j.x.req.Header.Get(j.f.headers.Deadline), 64); err == nil && ms >= 0 && ms < 1e9 {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	switch {
	case left == 0 && j.route.Timeout > 0:
		left = j.route.Timeout
	case left == 0:
		left = defaultTimeout
	case j.route.Timeout > 0:
		left = min(left, j.route.Timeout)
	}
	j.deadline = j.x.received.Add(left)
	j.criteria.ID = j.id
	j.criteria.Deadline = j.deadline
	if key := j.x.req.Header.Get(j.f.headers.AffinityKey); key != "" && j.route.Sticky {
		j.criteria.AffinityKey = xxhash.Sum64String(key) | 1
	}
}

// choose selects an upstream by the load-balancing table. The first call for a
// request records the request there.
func (j *job) choose(first bool) agatebalance.Decision {
	f := j.f
	j.criteria.Route = j.route
	j.criteria.Service = j.route.Pick(hashFraction(j.id))
	if j.route.Target > 0 {
		j.criteria.Target = j.x.received.Add(j.route.Target)
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if first {
		f.table.RecordRequest(now, j.criteria.Service)
	}
	j.lastDecision = f.table.Choose(now, &j.criteria)
	return j.lastDecision
}

// hashFraction maps a request id to a number in [0, 1) by its hash.
func hashFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// giveUp returns the reply to a request that cannot be attempted, or cannot be
// attempted again.
func (j *job) giveUp(d agatebalance.Decision) reply {
	switch {
	case j.lastFailure != nil && (j.mayHaveRun || j.route.Kind == agateplan.Safe):
		return *j.lastFailure
	case j.mayHaveRun && !time.Now().Before(j.deadline):
		return reply{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	case j.mayHaveRun:
		return reply{status: http.StatusBadGateway, reason: "answer lost"}
	}
	return reply{status: http.StatusServiceUnavailable, retryAfter: max(d.RetryAfter, 50*time.Millisecond), reason: string(d.Reason)}
}

// attempt sends the request to one upstream. The reply is final if it is to be
// sent to the caller or if the caller has disconnected.
func (j *job) attempt(d agatebalance.Decision) (reply, bool) {
	f := j.f
	start := time.Now()
	f.mu.Lock()
	f.table.Start(start, d.Upstream)
	f.mu.Unlock()
	done := f.suspects.start(j.fingerprint, d.Upstream)
	res := f.pool.Do(j.context(), j.call(d))
	if res.Kind == agateupstream.Answered {
		f.suspects.recordAnswer(j.fingerprint)
	}
	if res.UpstreamDied {
		f.reportDeath(d.Upstream)
	}
	done()
	o := f.observation(&res)
	f.mu.Lock()
	f.table.Finish(time.Now(), d.Upstream, o)
	f.mu.Unlock()
	j.criteria.Tried = append(j.criteria.Tried, d.Upstream)
	j.lastResult = res.Kind.String()
	return j.handleResult(&res)
}

// context returns the context of the call to the upstream. It is cancelled when
// the caller disconnects, unless the request is unsafe: after it is sent,
// cancelling it would only lose its response.
func (j *job) context() context.Context {
	if j.route.Kind == agateplan.Safe {
		return j.c.ctx
	}
	return j.f.ctx
}

// call returns the request to send to the chosen upstream.
func (j *job) call(d agatebalance.Decision) agateupstream.Call {
	h := j.x.req.Header.Clone()
	h.Set(j.f.headers.ExpectUpstream, d.Upstream)
	return agateupstream.Call{
		Upstream:    d.Upstream,
		Address:     d.Address,
		Host:        j.x.req.Host,
		Method:      j.x.req.Method,
		Path:        j.path,
		Header:      h,
		Body:        j.x.body,
		Action:      j.route.Kind == agateplan.Unsafe,
		Deadline:    j.deadline,
		Grace:       responseGrace,
		BeforeWrite: func() bool { return j.c.ctx.Err() == nil },
	}
}

// handleResult evaluates the result of an attempt. It returns the final reply
// to the caller and true, or false if another attempt may follow.
func (j *job) handleResult(res *agateupstream.Reply) (reply, bool) {
	switch res.Kind {
	case agateupstream.Answered:
		return j.handleResponse(res)
	case agateupstream.Shed:
		j.attempts++
		return reply{}, false
	case agateupstream.Refused, agateupstream.NotWritten, agateupstream.Busy:
		j.unsent++
		return reply{}, false
	case agateupstream.Cancelled:
		return reply{status: http.StatusBadGateway, reason: "caller left", close: true}, true
	}
	if res.MayHaveRun {
		j.attempts++
		j.mayHaveRun = true
	} else {
		j.unsent++
	}
	return reply{}, false
}

// handleResponse relays an upstream's response, unless it is an error that a
// retry on another upstream may avoid.
func (j *job) handleResponse(res *agateupstream.Reply) (reply, bool) {
	j.attempts++
	j.mayHaveRun = true
	j.lastResult = strconv.Itoa(res.Status)
	stamp := j.f.headers.Stamp
	if stamp != "" && res.Status < 300 && res.Header.Get(stamp) == "" {
		j.lastResult = "unstamped"
		return reply{}, false // not sent by an upstream
	}
	r := reply{status: res.Status, header: res.Header, body: res.Body}
	if res.Status < 500 && !meansNotRun(res.Status) {
		return r, true
	}
	if j.route.Kind == agateplan.Unsafe {
		if meansNotRun(res.Status) {
			// Without the upstream's statement that it did not run the request,
			// the caller must not receive a status that implies it.
			return reply{status: http.StatusBadGateway, reason: "unproved refusal"}, true
		}
		return r, true
	}
	j.lastFailure = &r
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
func (j *job) checkRetry() (reply, bool) {
	now := time.Now()
	switch {
	case j.c.ctx.Err() != nil:
		return reply{status: http.StatusBadGateway, reason: "caller left", close: true}, true
	case j.mayHaveRun && j.route.Kind == agateplan.Unsafe:
		if !now.Before(j.deadline) {
			return reply{status: http.StatusGatewayTimeout, reason: reasonTimeout}, true
		}
		return reply{status: http.StatusBadGateway, reason: "answer lost"}, true
	case j.deadline.Sub(now) < minAttemptTime:
		return j.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonDeadline}), true
	case j.attempts >= j.route.MaxAttempts:
		return j.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonBusy}), true
	case j.unsent >= maxUnsent:
		// Several upstreams in a row were unreachable, so the fault may be on
		// this host's side, such as a saturated network link.
		r := j.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonBusy})
		r.preferOtherHost = true
		return r, true
	case j.f.suspects.refused(now, j.fingerprint) > 0:
		return j.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonNoUpstream}), true
	case j.attempts > 0 && !j.allowRetry(now):
		return j.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonBudget}), true
	}
	j.f.metrics.retry(j.criteria.Service)
	return reply{}, false
}

func (j *job) allowRetry(now time.Time) bool {
	j.f.mu.Lock()
	defer j.f.mu.Unlock()
	return j.f.table.AllowRetry(now, j.criteria.Service)
}

// observation converts the result of an attempt for the load-balancing table.
func (f *Front) observation(res *agateupstream.Reply) agatebalance.Observation {
	o := agatebalance.Observation{Latency: res.Elapsed, RTT: res.RTT, Died: res.UpstreamDied}
	o.Running, o.Waiting, o.Reported = parseLoad(res.Header.Get(f.headers.Load))
	switch res.Kind {
	case agateupstream.Answered:
		o.Outcome = agatebalance.Answered
		unstamped := f.headers.Stamp != "" && res.Status < 300 && res.Header.Get(f.headers.Stamp) == ""
		if res.Status >= 500 || unstamped {
			o.Outcome = agatebalance.Failed
		}
	case agateupstream.Shed:
		o.Outcome = agatebalance.Shed
		if res.Status == http.StatusMisdirectedRequest {
			o.Outcome = agatebalance.WrongUpstream
		}
	case agateupstream.Refused, agateupstream.NotWritten:
		o.Outcome = agatebalance.Unreachable
	case agateupstream.Busy, agateupstream.Cancelled:
		o.Outcome = agatebalance.Canceled
	case agateupstream.TimedOut:
		o.Outcome = agatebalance.TimedOut
	default:
		o.Outcome = agatebalance.Failed
	}
	return o
}

// parseLoad parses a load header of the form "running,waiting,slots" and ignores
// the slots.
func parseLoad(text string) (running, waiting int, ok bool) {
	first, rest, _ := strings.Cut(text, ",")
	second, _, _ := strings.Cut(rest, ",")
	running, err1 := strconv.Atoi(strings.TrimSpace(first))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(second))
	return running, waiting, err1 == nil && err2 == nil && running >= 0 && waiting >= 0
}
