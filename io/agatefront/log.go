package agatefront

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"agategate/core/agatebalance"
	"agategate/core/agatelimit"
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

// finish records a request and its reply in the metrics, retains its decision and writes its
// log line.
func (f *Front) finish(p *proxyRequest, r *reply) {
	now := time.Now()
	took := now.Sub(p.x.received)
	f.metrics.reply(p.criteria.Service, r, took)
	if w := p.workspaceName(); w != "" {
		f.metrics.workspace(w, r)
	}
	f.cfg.Log.Store(p.decision(r, took))
	if !f.shouldLog(p, r, now) {
		f.metrics.set.Counter(agatemetrics.SkippedLines, "").Add(1)
		return
	}
	f.log.Info("request", append(p.fields(now), "kind", "request", "outcome", r.status, "text", r.reason,
		"after", r.retryAfter.Round(time.Millisecond), "took", took.Round(time.Millisecond))...)
}

// shouldLog reports whether a request's log line is written. Only lines on
// requests that were answered at the first attempt and within the target of their
// route, without a copy or another host, are sampled.
func (f *Front) shouldLog(p *proxyRequest, r *reply, now time.Time) bool {
	missedTarget := !p.criteria.Target.IsZero() && now.After(p.criteria.Target)
	if r.status >= http.StatusBadRequest || p.attempts > 1 || p.hedged || p.via != "" || missedTarget {
		return f.otherLimit.allow(now, otherLinesPerSecond)
	}
	return !f.cfg.Log.SkipsRequest(p.id) && f.routineLimit.allow(now, routineLinesPerSecond)
}

// logAttempt retains the decision on an attempt without a final reply and writes
// its log line.
func (p *proxyRequest) logAttempt() {
	now := time.Now()
	took := now.Sub(p.x.received)
	d := p.decision(&reply{}, took)
	d.Kind, d.Outcome = agatelog.Retry, agatelog.Sent
	p.f.cfg.Log.Store(d)
	if !p.f.otherLimit.allow(now, otherLinesPerSecond) {
		p.f.metrics.set.Counter(agatemetrics.SkippedLines, "").Add(1)
		return
	}
	p.f.log.Info("attempt", append(p.fields(now), "kind", "attempt", "took", took.Round(time.Millisecond))...)
}

// logDomains writes log lines on failure domains that are suspected from now on, or no
// longer, after the result of a request or of a probe without one.
func (f *Front) logDomains(request string, changes []agatebalance.DomainChange) {
	for _, c := range changes {
		f.log.Info("failure domain", "kind", "domain", "req", request, "choice", c.Domain, "suspected", c.Suspected)
	}
}

// logLimit writes a log line on a change of an upstream's limit, which the response
// to the request names or, if it names none, ends.
func (p *proxyRequest) logLimit(limit agatelimit.Limit) {
	if !p.f.otherLimit.allow(time.Now(), otherLinesPerSecond) {
		p.f.metrics.set.Counter(agatemetrics.SkippedLines, "").Add(1)
		return
	}
	p.f.log.Info("upstream limit", "kind", "limit", "req", p.id, "service", p.criteria.Service, "choice", p.lastDecision.Upstream,
		"named", limit.Named, "limit", formatRate(limit.Rate))
}

// logLeaving logs that a response says that its upstream is about to stop.
func (p *proxyRequest) logLeaving(upstream string) {
	p.f.log.Info("upstream leaves", "kind", "upstream", "req", p.id, "service", p.criteria.Service, "choice", upstream)
}

// formatRate formats requests per second for the log.
func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'f', 2, 64) }

// formatObject formats the hash of an object for the log, or "" if there is none.
func formatObject(key uint64) string {
	if key == 0 {
		return ""
	}
	return strconv.FormatUint(key, 16)
}

// decision returns the last decision on a request as "agategate explain" prints
// it, with the same inputs as in the log line.
func (p *proxyRequest) decision(r *reply, took time.Duration) *agatelog.Decision {
	d := &agatelog.Decision{
		Request:        strings.Clone(p.id), // does not keep the whole header in memory
		Service:        p.criteria.Service,
		Kind:           agatelog.Route,
		Action:         p.route != nil && !p.route.Kind.Idempotent(),
		Choice:         cmp.Or(p.via, p.lastDecision.Upstream),
		CandidateCount: p.lastDecision.Considered,
		Outcome:        p.outcome(r),
		Duration:       took,
	}
	if best := p.lastDecision.Best; best != "" {
		d.Candidates = []agatelog.Candidate{{Name: best, ExpectedLatency: p.lastDecision.ExpectedLatency}}
	}
	reason := r.reason
	if reason == "" {
		reason = string(p.lastDecision.Reason)
	}
	d.Reason = fmt.Sprintf("%s (plan %d, load %.1f reported %s ago, attempts %d, not sent %d, last end %q, status %d)",
		reason, p.planVersion(), p.lastDecision.Load, p.lastDecision.ReportAge.Round(time.Millisecond), p.attempts, p.unsent, p.lastResult, r.status)
	return d
}

// outcome returns the outcome that the reply states to the caller.
func (p *proxyRequest) outcome(r *reply) agatelog.Outcome {
	switch {
	case r.header != nil:
		return agatelog.Responded
	case meansNotRun(r.status):
		return agatelog.Refused
	case p.mayHaveRun:
		return agatelog.Unknown
	}
	return agatelog.NotRun
}

func (p *proxyRequest) planVersion() uint64 {
	if p.plan == nil {
		return 0
	}
	return p.plan.Plan.Version
}

// fields returns the inputs of the last decision on a request as log fields.
func (p *proxyRequest) fields(now time.Time) []any {
	name := ""
	if p.route != nil {
		name = p.route.Name
	}
	left := time.Duration(0)
	if !p.deadline.IsZero() {
		left = p.deadline.Sub(now).Round(time.Millisecond)
	}
	fields := []any{
		"req", p.id, "route", name, "version", p.planVersion(), "service", p.criteria.Service, "object", formatObject(p.criteria.AffinityKey),
		"choice", p.lastDecision.Upstream, "first", p.lastDecision.Best, "reason", string(p.lastDecision.Reason), "considered", p.lastDecision.Considered,
		"expected", p.lastDecision.ExpectedLatency.Round(time.Millisecond), "load", strconv.FormatFloat(p.lastDecision.Load, 'f', 1, 64),
		"age", p.lastDecision.ReportAge.Round(time.Millisecond), "attempts", p.attempts, "unsent", p.unsent, "end", p.lastResult, "pause", p.lastPause,
		"left", left, "origin", p.origin, "via", p.via, "hedged", p.hedged, "copy", p.copyAnswered,
	}
	if w := p.workspaceName(); w != "" {
		fields = append(fields, "workspace", w)
	}
	return fields
}
