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
	// routineLines is the number of lines a second on requests that were
	// answered in time at the first attempt; otherLines that on all other
	// requests. What is beyond is counted as skipped.
	routineLines = 200
	otherLines   = 1000
)

// limit bounds lines a second. The zero value is ready. It is safe for
// concurrent use.
type limit struct {
	mu    sync.Mutex
	begun time.Time
	n     int
}

// allow reports whether one more line fits into the current second.
func (l *limit) allow(now time.Time, most int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.begun) >= time.Second {
		l.begun = now
		l.n = 0
	}
	l.n++
	return l.n <= most
}

// finish counts a request, keeps its decision and writes its line.
func (f *Front) finish(j *job) {
	r := &j.x.reply
	now := time.Now()
	took := now.Sub(j.x.at)
	f.counts.answer(j.ask.Service, r, took)
	f.cfg.Log.Store(j.decision(r, took))
	if !f.writes(j, r, now) {
		f.counts.set.Counter(agatemetrics.SkippedLines, "").Add(1)
		return
	}
	f.log.Info("request", append(j.fields(now), "kind", "request", "outcome", r.status, "text", r.reason,
		"after", r.after.Round(time.Millisecond), "took", took.Round(time.Millisecond))...)
}

// writes reports whether a request's line is written. Only lines on requests
// that were answered at the first attempt and within the target of their route
// are sampled.
func (f *Front) writes(j *job, r *reply, now time.Time) bool {
	late := !j.ask.Target.IsZero() && now.After(j.ask.Target)
	if r.status >= http.StatusBadRequest || j.attempts > 1 || late {
		return f.others.allow(now, otherLines)
	}
	return !f.cfg.Log.SkipsRequest(j.id) && f.routine.allow(now, routineLines)
}

// logAttempt keeps the decision on an attempt that gave no answer, and writes
// its line.
func (j *job) logAttempt() {
	now := time.Now()
	took := now.Sub(j.x.at)
	d := j.decision(&reply{}, took)
	d.Kind, d.Outcome = agatelog.Retry, agatelog.Sent
	j.f.cfg.Log.Store(d)
	if !j.f.others.allow(now, otherLines) {
		j.f.counts.set.Counter(agatemetrics.SkippedLines, "").Add(1)
		return
	}
	j.f.log.Info("attempt", append(j.fields(now), "kind", "attempt", "took", took.Round(time.Millisecond))...)
}

// decision is the last decision about a request as "agategate explain" shows
// it, with the inputs that its line has.
func (j *job) decision(r *reply, took time.Duration) *agatelog.Decision {
	d := &agatelog.Decision{
		Request:        strings.Clone(j.id), // the header that it is part of is not kept
		Service:        j.ask.Service,
		Kind:           agatelog.Route,
		Action:         j.route != nil && j.route.Kind == agateplan.Unsafe,
		Choice:         j.last.Upstream,
		CandidateCount: j.last.Considered,
		Outcome:        j.outcome(r),
		Duration:       took,
	}
	if first := j.last.Best; first != "" {
		d.Candidates = []agatelog.Candidate{{Name: first, EstimatedLatency: j.last.ExpectedLatency}}
	}
	reason := r.reason
	if reason == "" {
		reason = string(j.last.Reason)
	}
	d.Reason = fmt.Sprintf("%s (plan %d, load %.1f reported %s ago, attempts %d, not sent %d, last end %q, status %d)",
		reason, j.version(), j.last.Load, j.last.ReportAge.Round(time.Millisecond), j.attempts, j.unsent, j.end, r.status)
	return d
}

// outcome says what the caller was told.
func (j *job) outcome(r *reply) agatelog.Outcome {
	switch {
	case r.header != nil:
		return agatelog.Responded
	case promises(r.status):
		return agatelog.Refused
	case j.ran:
		return agatelog.Unknown
	}
	return agatelog.NotRun
}

func (j *job) version() uint64 {
	if j.plan == nil {
		return 0
	}
	return j.plan.Plan.Version
}

// fields are the inputs of the last decision about a request.
func (j *job) fields(now time.Time) []any {
	name := ""
	if j.route != nil {
		name = j.route.Name
	}
	left := time.Duration(0)
	if !j.limit.IsZero() {
		left = j.limit.Sub(now).Round(time.Millisecond)
	}
	return []any{
		"req", j.id, "route", name, "version", j.version(), "service", j.ask.Service,
		"choice", j.last.Upstream, "first", j.last.Best, "reason", string(j.last.Reason), "considered", j.last.Considered,
		"expected", j.last.ExpectedLatency.Round(time.Millisecond), "load", strconv.FormatFloat(j.last.Load, 'f', 1, 64),
		"age", j.last.ReportAge.Round(time.Millisecond), "attempts", j.attempts, "unsent", j.unsent, "end", j.end,
		"left", left,
	}
}
