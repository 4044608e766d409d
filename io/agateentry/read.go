package agateentry

import (
	"context"
	"net/http"
	"time"

	"agategate/core/agateinventory"
	"agategate/core/agateroute"
	"agategate/core/agatesuspect"
	"agategate/io/agatelog"
	"agategate/io/agateupstream"
)

const (
	// silenceFactor times the 95th percentile of the latency is how long a
	// connection may be silent before it is considered dead.
	silenceFactor = 4
	// minSilenceTimeout is the lower bound of that time.
	minSilenceTimeout = 200 * time.Millisecond
)

// headerLeaving is "1" in the responses of an upstream that is about to stop.
const headerLeaving = "Agate-Leaving"

// attempt is one attempt of a call at one upstream.
type attempt struct {
	decision    agateroute.Decision
	result      agateupstream.Result
	observation agateroute.Observation
}

// serveCall answers a call within its deadline.
func (e *Entry) serveCall(ctx context.Context, cl *call) reply {
	if !cl.forwarded && !e.detours.allow(time.Now(), cl.service) {
		if rep, ok := e.forward(ctx, cl); ok {
			return rep
		}
	}
	if cl.class == agateinventory.Read {
		ctx, cancel := context.WithDeadline(ctx, cl.deadline)
		defer cancel()
		defer context.AfterFunc(e.ending, cancel)()
		return e.read(ctx, cl)
	}
	return e.runAction(ctx, cl)
}

// read runs a call that may run more than once.
func (e *Entry) read(ctx context.Context, cl *call) reply {
	f, refused := e.admitFingerprint(cl)
	if refused != nil {
		return *refused
	}
	req := cl.request()
	if f.suspect {
		return e.readIsolated(ctx, cl, req, f, false)
	}
	d := e.router.choose(ctx, req)
	e.logDecision(cl, agatelog.Route, d)
	if d.Verdict == agateroute.Refuse {
		if rep, ok := e.forwardRefused(ctx, cl); ok {
			return rep
		}
		return refusedReply(d, outcomeNotRun)
	}
	mayHaveRun := false
	for {
		a := e.attemptWithHedge(ctx, cl, &req, d, f)
		mayHaveRun = mayHaveRun || a.result.MayHaveRun
		if final, ok := e.finalReadReply(cl, a); ok {
			return final
		}
		switch e.suspects.check(f.fingerprint) {
		case agatesuspect.Refused:
			rep := *e.refuseFingerprint(cl)
			rep.outcome = outcomeUnknown
			return rep
		case agatesuspect.Suspect:
			// The upstream died with this request in flight. The isolated run
			// answers the requests that did not cause the death. The request
			// that caused it is refused after a second death.
			return e.readIsolated(ctx, cl, req, f, mayHaveRun)
		case agatesuspect.Clear:
		}
		d = e.router.retry(ctx, req, a.observation)
		e.logDecision(cl, agatelog.Retry, d)
		if d.Verdict == agateroute.Refuse {
			// What a peer has not run may have run here.
			if rep, ok := e.forwardRefused(ctx, cl); ok && !(mayHaveRun && rep.outcome == outcomeNotRun) {
				return rep
			}
			return failedReadReply(a, d, mayHaveRun)
		}
	}
}

// forwardRefused forwards a read that no upstream can be tried for any more, if the
// links of this host are the likely cause.
func (e *Entry) forwardRefused(ctx context.Context, cl *call) (reply, bool) {
	if cl.forwarded || !e.detours.open(cl.service) {
		return reply{}, false
	}
	return e.forward(ctx, cl)
}

// attemptWithHedge runs an attempt and, after the hedge delay, a second one at
// another upstream. It returns the first complete answer and cancels the other
// attempt. If no attempt is answered, it returns the last result.
func (e *Entry) attemptWithHedge(ctx context.Context, cl *call, req *agateroute.Request, d agateroute.Decision, f requestFingerprint) attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := make(chan attempt, 2)
	startAttempt := func(d agateroute.Decision) {
		req.Tried = append(req.Tried, d.Upstream)
		go func() { attempts <- e.attempt(ctx, cl, d, f) }()
	}
	start := time.Now()
	startAttempt(d)
	hedge := time.NewTimer(e.hedgeDelay(cl))
	defer hedge.Stop()
	pending := 1
	var last attempt
	for {
		select {
		case last = <-attempts:
			pending--
			if last.result.Kind == agateupstream.Answered || pending == 0 {
				return last
			}
		case <-hedge.C:
			second := e.router.hedge(ctx, *req, time.Since(start))
			if second.Verdict == agateroute.Send {
				e.logDecision(cl, agatelog.Hedge, second)
				pending++
				startAttempt(second)
			}
		}
	}
}

// hedgeDelay returns the time after which a read is hedged: the 95th percentile
// of the latency, or the time until the deadline if that is not known.
func (e *Entry) hedgeDelay(cl *call) time.Duration {
	if delay := e.hedgeDelays.load(cl.service); delay > 0 {
		return delay
	}
	return time.Until(cl.deadline)
}

// attempt sends a call to the chosen upstream and reports the result to the
// table.
func (e *Entry) attempt(ctx context.Context, cl *call, d agateroute.Decision, f requestFingerprint) attempt {
	done := e.suspects.trackInFlight(f, d.Upstream)
	defer done()
	r := e.pool.Do(ctx, agateupstream.Call{
		Upstream:        string(d.Upstream),
		Service:         cl.service,
		Address:         e.cfg.UpstreamAddr(d.Address),
		Method:          cl.method,
		Path:            cl.path,
		Header:          cl.header,
		Body:            cl.body,
		Charge:          cl.charge,
		Deadline:        e.beforeStop(cl.deadline),
		ReadIdleTimeout: e.silenceTimeout(cl),
		Connected:       func(time.Duration) { e.detours.reached(cl.service) },
	})
	e.detours.record(cl.service, d.Upstream, &r)
	a := attempt{decision: d, result: r, observation: e.observation(cl, d, r, f.suspect)}
	switch {
	case r.UpstreamDied:
		e.reportDeath(d.Upstream)
	case a.observation.Outcome == agateroute.Answered:
		e.suspects.markAnswered(f.fingerprint)
	}
	e.router.finish(d.Upstream, a.observation)
	e.shift.observeSize(cl.service, int(cl.body.Len()+r.Body.Len()))
	return a
}

// silenceTimeout returns how long a connection may be silent during a read. It
// is a multiple of the 95th percentile of the latency, so that an upstream with
// a queue is not mistaken for a dead connection. It is at most half of the time
// from arrival to deadline, so that a second attempt is in time even if the
// percentile is not known, or is too high because the upstreams were warming up
// when it was measured.
func (e *Entry) silenceTimeout(cl *call) time.Duration {
	limit := cl.deadline.Sub(cl.arrived) / 2
	if typical := e.hedgeDelays.load(cl.service); typical > 0 {
		limit = min(limit, silenceFactor*typical)
	}
	return max(minSilenceTimeout, limit)
}

// observation converts the result of an attempt for the table.
func (e *Entry) observation(cl *call, d agateroute.Decision, r agateupstream.Result, isolated bool) agateroute.Observation {
	return agateroute.Observation{
		Outcome:      routeOutcome(r),
		HomeRegion:   cl.homeRegion,
		Latency:      r.Elapsed,
		RTT:          r.RTT,
		Incarnation:  d.Incarnation,
		RetryAfter:   r.RetryAfter,
		Leaving:      r.Header.Get(headerLeaving) == "1",
		Suspect:      isolated,
		UpstreamDied: r.UpstreamDied,
	}
}

func routeOutcome(r agateupstream.Result) agateroute.Outcome {
	switch r.Kind {
	case agateupstream.Answered:
		if r.Status >= http.StatusInternalServerError {
			return agateroute.Failed
		}
		return agateroute.Answered
	case agateupstream.Shed, agateupstream.Busy:
		// Busy means that this host's share of connections is in use, which is
		// not a failure of the upstream.
		return agateroute.Shed
	case agateupstream.Refused, agateupstream.NotWritten:
		return agateroute.NotSent
	case agateupstream.TimedOut:
		return agateroute.TimedOut
	case agateupstream.Canceled:
		return agateroute.Canceled
	case agateupstream.Broken, agateupstream.Truncated, agateupstream.TooLarge:
		return agateroute.Failed
	}
	return agateroute.Failed
}

// finalReadReply returns the final answer if an attempt ends the call.
func (e *Entry) finalReadReply(cl *call, a attempt) (reply, bool) {
	r := a.result
	switch {
	case r.Kind == agateupstream.Answered && r.Status < http.StatusInternalServerError:
		return upstreamReply(r), true
	case r.Kind == agateupstream.TooLarge:
		return errorReply(http.StatusBadGateway, outcomeRun, "answer-too-large", 0), true
	case r.Kind == agateupstream.Canceled || !time.Now().Before(cl.deadline):
		return errorReply(http.StatusGatewayTimeout, outcomeUnknown, "deadline", minRetryAfter), true
	}
	return reply{}, false
}

// failedReadReply returns the final answer when no further attempt is made.
func failedReadReply(a attempt, d agateroute.Decision, mayHaveRun bool) reply {
	if a.result.Kind == agateupstream.Answered {
		return upstreamReply(a.result)
	}
	if !mayHaveRun {
		return refusedReply(d, outcomeNotRun)
	}
	return errorReply(http.StatusBadGateway, outcomeUnknown, a.result.Kind.String(), max(d.RetryAfter, minRetryAfter))
}

// upstreamReply returns an upstream's answer as the final answer.
func upstreamReply(r agateupstream.Result) reply {
	h := r.Header
	if h == nil {
		h = http.Header{}
	}
	return reply{status: r.Status, outcome: outcomeRun, header: h, body: r.Body}
}

// refusedReply returns the final answer to a request that the table refused.
func refusedReply(d agateroute.Decision, o outcome) reply {
	return errorReply(http.StatusServiceUnavailable, o, string(d.Reason), max(d.RetryAfter, minRetryAfter))
}
