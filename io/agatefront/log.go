package agatefront

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"agategate/core/agateplan"
	"agategate/io/agatelog"
	"agategate/io/agatemetrics"
)

const (
	// routineLinesPerSecond limits log lines on requests that were answered
	// within their target at the first attempt, otherLinesPerSecond those on all
	// other requests. Lines above the limit are counted as skipped.
	routineLinesPerSecond = 200
	otherLinesPerSecond   = 1000
)

// rateLimit limits log lines per second. The zero value is ready to use. It is
// safe for concurrent use.
type rateLimit struct {
	mu          sync.Mutex
	windowStart time.Time
	lines       int
}

// allow reports whether one more line fits into the current second.
func (l *rateLimit) allow(now time.Time, maxLines int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart = now
		l.lines = 0
	}
	l.lines++
	return l.lines <= maxLines
}

// finish records a request in the metrics, retains its decision and writes its
// log line.
func (f *Front) finish(j *job) {
	r := &j.x.reply
	now := time.Now()
	took := now.Sub(j.x.received)
	f.metrics.reply(j.criteria.Service, r, took)
	f.cfg.Log.Keep(j.decision(r, took))
	if !f.shouldLog(j, r, now) {
		f.metrics.set.Counter(agatemetrics.Skipped, "").Add(1)
		return
	}
	f.log.Info("request", append(j.fields(now), "kind", "request", "outcome", r.status, "text", r.reason,
		"after", r.retryAfter.Round(time.Millisecond), "took", took.Round(time.Millisecond))...)
}

// shouldLog reports whether a request's log line is written. Only lines on
// requests that were answered at the first attempt and within the target of
// their route are sampled.
func (f *Front) shouldLog(j *job, r *reply, now time.Time) bool {
	late := !j.criteria.Target.IsZero() && now.After(j.criteria.Target)
	if r.status >= http.StatusBadRequest || j.attempts > 1 || late {
		return f.otherLimit.allow(now, otherLinesPerSecond)
	}
	return !f.cfg.Log.Skips(j.id) && f.routineLimit.allow(now, routineLinesPerSecond)
}

// logAttempt retains the decision on an attempt without a final reply and writes
// its log line.
func (j *job) logAttempt() {
	now := time.Now()
	took := now.Sub(j.x.received)
	d := j.decision(&reply{}, took)
	d.Kind, d.Outcome = agatelog.Retry, agatelog.Sent
	j.f.cfg.Log.Keep(d)
	if !j.f.otherLimit.allow(now, otherLinesPerSecond) {
		j.f.metrics.set.Counter(agatemetrics.Skipped, "").Add(1)
		return
	}
	j.f.log.Info("attempt", append(j.fields(now), "kind", "attempt", "took", took.Round(time.Millisecond))...)
}

// decision returns the last decision on a request as "agategate explain" prints
// it, with the same inputs as in the log line.
func (j *job) decision(r *reply, took time.Duration) *agatelog.Decision {
	d := &agatelog.Decision{
		Request:  strings.Clone(j.id), // does not keep the whole header in memory
		Service:  j.criteria.Service,
		Kind:     agatelog.Route,
		Action:   j.route != nil && j.route.Kind == agateplan.Unsafe,
		Choice:   j.lastDecision.Upstream,
		Compared: j.lastDecision.Considered,
		Outcome:  j.outcome(r),
		Took:     took,
	}
	if first := j.lastDecision.Best; first != "" {
		d.Considered = []agatelog.Candidate{{Name: first, Cost: j.lastDecision.ExpectedLatency}}
	}
	reason := r.reason
	if reason == "" {
		reason = string(j.lastDecision.Reason)
	}
	d.Reason = fmt.Sprintf("%s (plan %d, load %.1f reported %s ago, attempts %d, not sent %d, last end %q, status %d)",
		reason, j.planVersion(), j.lastDecision.Load, j.lastDecision.ReportAge.Round(time.Millisecond), j.attempts, j.unsent, j.lastResult, r.status)
	return d
}

// outcome returns the outcome that the reply states to the caller.
func (j *job) outcome(r *reply) agatelog.Outcome {
	switch {
	case r.header != nil:
		return agatelog.Run
	case meansNotRun(r.status):
		return agatelog.Refused
	case j.mayHaveRun:
		return agatelog.Unknown
	}
	return agatelog.NotRun
}

func (j *job) planVersion() uint64 {
	if j.plan == nil {
		return 0
	}
	return j.plan.Plan.Version
}

// fields returns the inputs of the last decision on a request as log fields.
func (j *job) fields(now time.Time) []any {
	name := ""
	if j.route != nil {
		name = j.route.Name
	}
	left := time.Duration(0)
	if !j.deadline.IsZero() {
		left = j.deadline.Sub(now).Round(time.Millisecond)
	}
	return []any{
		"req", j.id, "route", name, "version", j.planVersion(), "service", j.criteria.Service,
		"choice", j.lastDecision.Upstream, "first", j.lastDecision.Best, "reason", string(j.lastDecision.Reason), "considered", j.lastDecision.Considered,
		"expected", j.lastDecision.ExpectedLatency.Round(time.Millisecond), "load", strconv.FormatFloat(j.lastDecision.Load, 'f', 1, 64),
		"age", j.lastDecision.ReportAge.Round(time.Millisecond), "attempts", j.attempts, "unsent", j.unsent, "end", j.lastResult,
		"left", left,
	}
}
