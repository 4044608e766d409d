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
	// defaultTime is the time of a request for which neither the caller nor
	// its route names one.
	defaultTime = 30 * time.Second
	// answerGrace is how long after the end of a request's time an upstream's
	// own answer is still awaited: the way there and back between regions.
	answerGrace = 100 * time.Millisecond
	// unsentMost is the number of attempts of a request that reached no
	// upstream; they do not count as attempts of the route.
	unsentMost = 3
	// leastLeft is the time left below which no attempt is worth a start.
	leastLeft = 5 * time.Millisecond
	// planAgain is when a caller may come back to a host without a plan.
	planAgain = 500 * time.Millisecond
)

// reasonTimeout is the reason of an answer to a request whose time passed
// while an upstream may still be at work.
const reasonTimeout = "timeout"

// job is one request in progress.
type job struct {
	f     *Front
	c     *conn
	x     *exchange
	id    string
	path  string // with the query
	limit time.Time
	print agatesuspect.Fingerprint

	plan  *agateplan.Index
	route *agateplan.Route
	ask   agatebalance.Request

	attempts int // that reached an upstream
	unsent   int
	// ran means that some attempt may have run the request.
	ran bool
	// failure is an upstream's own answer that may be passed on.
	failure *reply
	// last is the last decision, for the log.
	last agatebalance.Decision
	end  string // how the last attempt ended
}

// run answers one request.
func (f *Front) run(c *conn, x *exchange) {
	defer close(x.done)
	j := &job{f: f, c: c, x: x, id: x.req.Header.Get(f.words.Request), path: requestPath(x.req)}
	x.reply = j.answer()
	f.finish(j)
}

// requestPath is the path with the query as the caller sent it.
func requestPath(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// match finds the request's route in the newest plan. It reports false with
// the answer when there is none.
func (j *job) match() (reply, bool) {
	j.plan = j.f.plan.Load()
	if j.plan == nil {
		return reply{status: http.StatusServiceUnavailable, after: planAgain, reason: "no plan", elsewhere: true}, false
	}
	path, _, _ := strings.Cut(j.path, "?")
	j.route = j.plan.Match(j.x.req.Host, path)
	switch {
	case j.route != nil:
		return reply{}, true
	case j.ran:
		return reply{status: http.StatusBadGateway, reason: "route removed"}, false
	case !j.f.link.fresh():
		// The route may be in a plan that this host has not heard of.
		return reply{status: http.StatusServiceUnavailable, after: planAgain, reason: "plan may be old", elsewhere: true}, false
	}
	return reply{status: http.StatusNotFound, reason: "no route"}, false
}

// answer decides about the request until it has an answer.
func (j *job) answer() reply {
	if r, ok := j.match(); !ok {
		return r
	}
	if j.id == "" {
		return reply{status: http.StatusBadRequest, reason: "request has no id"}
	}
	j.setTime()
	if j.route.Kind == agateplan.Unsafe && !j.waitTurn() {
		return reply{status: http.StatusServiceUnavailable, after: planAgain, reason: "caller left", close: true}
	}
	j.print = agatesuspect.NewFingerprint("", j.x.req.Method, j.path, "", j.x.body)
	if after := j.f.suspects.refused(time.Now(), j.print); after > 0 {
		return reply{status: http.StatusServiceUnavailable, after: after, reason: "crashes upstreams"}
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
		if r, final := j.again(); final {
			return r
		}
	}
}

// waitTurn holds a request that must not repeat until those before it on its
// connection are answered: behind an answer that closes the connection it
// would count as not read.
func (j *job) waitTurn() bool {
	select {
	case <-j.x.before:
		return j.c.ctx.Err() == nil
	case <-j.c.ctx.Done():
		return false
	}
}

// setTime sets the time of the request by the caller's deadline and the
// route's timeout.
func (j *job) setTime() {
	left := time.Duration(0)
	if ms, err := strconv.ParseFloat(j.x.req.Header.Get(j.f.words.Deadline), 64); err == nil && ms >= 0 && ms < 1e9 {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	switch {
	case left == 0 && j.route.Timeout > 0:
		left = j.route.Timeout
	case left == 0:
		left = defaultTime
	case j.route.Timeout > 0:
		left = min(left, j.route.Timeout)
	}
	j.limit = j.x.at.Add(left)
	j.ask.ID = j.id
	j.ask.Deadline = j.limit
	if key := j.x.req.Header.Get(j.f.words.Object); key != "" && j.route.Sticky {
		j.ask.AffinityKey = xxhash.Sum64String(key) | 1
	}
}

// choose asks the table for an upstream and notes the attempt there.
func (j *job) choose(first bool) agatebalance.Decision {
	f := j.f
	j.ask.Route = j.route
	j.ask.Service = j.route.Pick(draw(j.id))
	if j.route.Target > 0 {
		j.ask.Target = j.x.at.Add(j.route.Target)
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if first {
		f.table.RecordRequest(now, j.ask.Service)
	}
	j.last = f.table.Choose(now, &j.ask)
	return j.last
}

// draw is a hash of a request's id, from 0 up to 1.
func draw(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// giveUp answers a request for which there is no upstream, or no other one.
func (j *job) giveUp(d agatebalance.Decision) reply {
	switch {
	case j.failure != nil && (j.ran || j.route.Kind == agateplan.Safe):
		return *j.failure
	case j.ran && !time.Now().Before(j.limit):
		return reply{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	case j.ran:
		return reply{status: http.StatusBadGateway, reason: "answer lost"}
	}
	return reply{status: http.StatusServiceUnavailable, after: max(d.RetryAfter, 50*time.Millisecond), reason: string(d.Reason)}
}

// attempt sends the request to one upstream. It is final when the answer is
// the caller's or when the caller has left.
func (j *job) attempt(d agatebalance.Decision) (reply, bool) {
	f := j.f
	begun := time.Now()
	f.mu.Lock()
	f.table.Start(begun, d.Upstream)
	f.mu.Unlock()
	done := f.suspects.running(j.print, d.Upstream)
	got := f.pool.Do(j.context(), j.call(d))
	if got.Kind == agateupstream.Answered {
		f.suspects.survived(j.print)
	}
	if got.UpstreamDied {
		f.report(d.Upstream)
	}
	done()
	o := f.observe(&got)
	f.mu.Lock()
	f.table.Finish(time.Now(), d.Upstream, o)
	f.mu.Unlock()
	j.ask.Tried = append(j.ask.Tried, d.Upstream)
	j.end = got.Kind.String()
	return j.judge(&got)
}

// context ends with the caller's connection, but for a request that must not
// repeat: once sent, giving it up would only lose its answer.
func (j *job) context() context.Context {
	if j.route.Kind == agateplan.Safe {
		return j.c.ctx
	}
	return j.f.ctx
}

// call is the request to an upstream.
func (j *job) call(d agatebalance.Decision) agateupstream.Call {
	h := j.x.req.Header.Clone()
	h.Set(j.f.words.Expect, d.Upstream)
	return agateupstream.Call{
		Upstream:    d.Upstream,
		Address:     d.Address,
		Host:        j.x.req.Host,
		Method:      j.x.req.Method,
		Path:        j.path,
		Header:      h,
		Body:        j.x.body,
		Action:      j.route.Kind == agateplan.Unsafe,
		Deadline:    j.limit,
		Grace:       answerGrace,
		BeforeWrite: func() bool { return j.c.ctx.Err() == nil },
	}
}

// judge turns the end of an attempt into an answer, or leaves the request for
// another attempt.
func (j *job) judge(got *agateupstream.Reply) (reply, bool) {
	switch got.Kind {
	case agateupstream.Answered:
		return j.judgeAnswer(got)
	case agateupstream.Shed:
		j.attempts++
		return reply{}, false
	case agateupstream.Refused, agateupstream.NotWritten, agateupstream.Busy:
		j.unsent++
		return reply{}, false
	case agateupstream.Cancelled:
		return reply{status: http.StatusBadGateway, reason: "caller left", close: true}, true
	}
	if got.MayHaveRun {
		j.attempts++
		j.ran = true
	} else {
		j.unsent++
	}
	return reply{}, false
}

// judgeAnswer passes on an upstream's answer, unless it is a failure that
// another upstream may mend.
func (j *job) judgeAnswer(got *agateupstream.Reply) (reply, bool) {
	j.attempts++
	j.ran = true
	j.end = strconv.Itoa(got.Status)
	stamp := j.f.words.Stamp
	if stamp != "" && got.Status < 300 && got.Header.Get(stamp) == "" {
		j.end = "unstamped"
		return reply{}, false // no upstream's answer
	}
	r := reply{status: got.Status, header: got.Header, body: got.Body}
	if got.Status < 500 && !promises(got.Status) {
		return r, true
	}
	if j.route.Kind == agateplan.Unsafe {
		if promises(got.Status) {
			// The upstream does not say that it did not run the request, so
			// the status must not say so.
			return reply{status: http.StatusBadGateway, reason: "unproved refusal"}, true
		}
		return r, true
	}
	j.failure = &r
	return reply{}, false
}

// promises reports whether a status tells callers that the request has not
// run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// again decides whether the request is tried once more. It is final when it
// is not.
func (j *job) again() (reply, bool) {
	now := time.Now()
	switch {
	case j.c.ctx.Err() != nil:
		return reply{status: http.StatusBadGateway, reason: "caller left", close: true}, true
	case j.ran && j.route.Kind == agateplan.Unsafe:
		if !now.Before(j.limit) {
			return reply{status: http.StatusGatewayTimeout, reason: reasonTimeout}, true
		}
		return reply{status: http.StatusBadGateway, reason: "answer lost"}, true
	case j.limit.Sub(now) < leastLeft:
		return j.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonDeadline}), true
	case j.attempts >= j.route.MaxAttempts:
		return j.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonBusy}), true
	case j.unsent >= unsentMost:
		// Several upstreams in a row could not be reached, so the fault may be
		// this host's own, such as a link that is full.
		r := j.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonBusy})
		r.elsewhere = true
		return r, true
	case j.f.suspects.refused(now, j.print) > 0:
		return j.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonNoUpstream}), true
	case j.attempts > 0 && !j.budget(now):
		return j.giveUp(agatebalance.Decision{Reason: agatebalance.ReasonBudget}), true
	}
	j.f.counts.retried(j.ask.Service)
	return reply{}, false
}

func (j *job) budget(now time.Time) bool {
	j.f.mu.Lock()
	defer j.f.mu.Unlock()
	return j.f.table.AllowRetry(now, j.ask.Service)
}

// observe translates the end of an attempt for the table.
func (f *Front) observe(got *agateupstream.Reply) agatebalance.Observation {
	o := agatebalance.Observation{Latency: got.Elapsed, RTT: got.RTT, Died: got.UpstreamDied}
	o.Running, o.Waiting, o.Reported = loadOf(got.Header.Get(f.words.Load))
	switch got.Kind {
	case agateupstream.Answered:
		o.Outcome = agatebalance.Answered
		unstamped := f.words.Stamp != "" && got.Status < 300 && got.Header.Get(f.words.Stamp) == ""
		if got.Status >= 500 || unstamped {
			o.Outcome = agatebalance.Failed
		}
	case agateupstream.Shed:
		o.Outcome = agatebalance.Shed
		if got.Status == http.StatusMisdirectedRequest {
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

// loadOf reads "running,waiting,slots".
func loadOf(text string) (running, waiting int, ok bool) {
	first, rest, _ := strings.Cut(text, ",")
	second, _, _ := strings.Cut(rest, ",")
	running, err1 := strconv.Atoi(strings.TrimSpace(first))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(second))
	return running, waiting, err1 == nil && err2 == nil && running >= 0 && waiting >= 0
}
