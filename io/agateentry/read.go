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
	// probeFactor times the 95th percentile of the answer times is how long a
	// connection may stay silent before it is taken for dead.
	probeFactor = 4
	// probeLeast is the shortest such time.
	probeLeast = 200 * time.Millisecond
)

// attempt is one try of a call at one upstream.
type attempt struct {
	decision agateroute.Decision
	reply    agateupstream.Result
	observed agateroute.Observation
}

// serveCall answers a call within its deadline.
func (e *Entry) serveCall(ctx context.Context, cl *call) reply {
	if cl.class == agateinventory.Read {
		ctx, cancel := context.WithDeadline(ctx, cl.deadline)
		defer cancel()
		return e.read(ctx, cl)
	}
	return e.act(ctx, cl)
}

// read runs a call that may repeat.
func (e *Entry) read(ctx context.Context, cl *call) reply {
	p, refused := e.admitPrint(cl)
	if refused != nil {
		return *refused
	}
	req := cl.request()
	if p.suspect {
		return e.readAlone(ctx, cl, req, p, false)
	}
	d := e.router.choose(ctx, req)
	e.logDecision(cl, agatelog.Route, d)
	if d.Verdict == agateroute.Refuse {
		return refuseDecision(d, outcomeNotRun)
	}
	started := false
	for {
		a := e.race(ctx, cl, &req, d, p)
		started = started || a.reply.MayHaveRun
		if final, ok := e.finalRead(cl, a); ok {
			return final
		}
		switch e.suspects.check(p.print) {
		case agatesuspect.Refused:
			rep := *e.refusePrint(cl)
			rep.outcome = outcomeUnknown
			return rep
		case agatesuspect.Suspect:
			// The upstream died. Innocent requests from it are answered this
			// way too; the one that killed it loses its second chance here.
			return e.readAlone(ctx, cl, req, p, started)
		case agatesuspect.Clear:
		}
		d = e.router.retry(ctx, req, a.observed)
		e.logDecision(cl, agatelog.Retry, d)
		if d.Verdict == agateroute.Refuse {
			return failedRead(a, d, started)
		}
	}
}

// race runs an attempt and, past the 95th percentile, a second one elsewhere.
// The first whole answer wins and the other attempt is cancelled.
func (e *Entry) race(ctx context.Context, cl *call, req *agateroute.Request, d agateroute.Decision, p printed) attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan attempt, 2)
	run := func(d agateroute.Decision) {
		req.Tried = append(req.Tried, d.Upstream)
		go func() { ended <- e.attempt(ctx, cl, d, p) }()
	}
	begun := time.Now()
	run(d)
	hedge := time.NewTimer(e.hedgeAfter(cl))
	defer hedge.Stop()
	open := 1
	var last attempt
	for {
		select {
		case last = <-ended:
			open--
			if last.reply.Kind == agateupstream.Answered || open == 0 {
				return last
			}
		case <-hedge.C:
			second := e.router.hedge(ctx, *req, time.Since(begun))
			if second.Verdict == agateroute.Send {
				e.logDecision(cl, agatelog.Hedge, second)
				open++
				run(second)
			}
		}
	}
}

// hedgeAfter is the time after which a read gets a second attempt, or the
// whole deadline while it is not known.
func (e *Entry) hedgeAfter(cl *call) time.Duration {
	if after := e.hedges.load(cl.service); after > 0 {
		return after
	}
	return time.Until(cl.deadline)
}

// attempt sends a call to the chosen upstream and tells the table how it
// ended.
func (e *Entry) attempt(ctx context.Context, cl *call, d agateroute.Decision, p printed) attempt {
	done := e.suspects.running(p, d.Upstream)
	defer done()
	r := e.pool.Do(ctx, agateupstream.Call{
		Upstream:        string(d.Upstream),
		Address:         d.Address,
		Method:          cl.method,
		Path:            cl.path,
		Header:          cl.header,
		Body:            cl.body,
		Deadline:        cl.deadline,
		ReadIdleTimeout: e.probeTime(cl),
	})
	a := attempt{decision: d, reply: r, observed: e.observation(cl, d, r, p.suspect)}
	switch {
	case r.UpstreamDied:
		e.reportDeath(d.Upstream)
	case a.observed.Outcome == agateroute.Answered:
		e.suspects.survived(p.print)
	}
	e.router.finish(d.Upstream, a.observed)
	e.shift.sized(cl.service, len(cl.body)+len(r.Body))
	return a
}

// probeTime is how long a connection may stay silent during a read: some times
// the usual answer time, since an upstream with a queue must not be taken for a
// silent connection, but at most half of the caller's whole time, so that a
// second attempt comes in time also while the usual time is not known or was
// measured during a slow start.
func (e *Entry) probeTime(cl *call) time.Duration {
	limit := cl.deadline.Sub(cl.arrived) / 2
	if usual := e.hedges.load(cl.service); usual > 0 {
		limit = min(limit, probeFactor*usual)
	}
	return max(probeLeast, limit)
}

// observation translates the end of an attempt for the table.
func (e *Entry) observation(cl *call, d agateroute.Decision, r agateupstream.Result, alone bool) agateroute.Observation {
	return agateroute.Observation{
		Outcome:      routeOutcome(r),
		Class:        cl.class,
		HomeRegion:   cl.home,
		Latency:      r.Elapsed,
		RTT:          r.RTT,
		RetryAfter:   r.RetryAfter,
		Suspect:      alone,
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
		// A share of connections that is in use says nothing against the
		// upstream.
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

// finalRead reports whether an attempt ends the call.
func (e *Entry) finalRead(cl *call, a attempt) (reply, bool) {
	r := a.reply
	switch {
	case r.Kind == agateupstream.Answered && r.Status < http.StatusInternalServerError:
		return answer(r), true
	case r.Kind == agateupstream.TooLarge:
		return refusal(http.StatusBadGateway, outcomeRun, "answer-too-large", 0), true
	case r.Kind == agateupstream.Canceled || !time.Now().Before(cl.deadline):
		return refusal(http.StatusGatewayTimeout, outcomeUnknown, "deadline", minRetryAfter), true
	}
	return reply{}, false
}

// failedRead is the final answer when no further attempt is made.
func failedRead(a attempt, d agateroute.Decision, started bool) reply {
	if a.reply.Kind == agateupstream.Answered {
		return answer(a.reply)
	}
	if !started {
		return refuseDecision(d, outcomeNotRun)
	}
	return refusal(http.StatusBadGateway, outcomeUnknown, a.reply.Kind.String(), max(d.RetryAfter, minRetryAfter))
}

// answer passes on an upstream's whole answer.
func answer(r agateupstream.Result) reply {
	h := r.Header
	if h == nil {
		h = http.Header{}
	}
	return reply{status: r.Status, outcome: outcomeRun, header: h, body: r.Body}
}

// refuseDecision is the answer to a request that the table refused.
func refuseDecision(d agateroute.Decision, o outcome) reply {
	return refusal(http.StatusServiceUnavailable, o, string(d.Reason), max(d.RetryAfter, minRetryAfter))
}
