package agatefront

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"agategate/io/agatemetrics"
)

const (
	// routineLines is the number of lines a second on requests that were
	// answered at the first attempt; otherLines that on all other requests.
	// What is beyond is counted as skipped.
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

// finish counts a request and writes its line.
func (f *Front) finish(j *job) {
	r := &j.x.reply
	now := time.Now()
	took := now.Sub(j.x.at)
	f.counts.answer(j.ask.Service, r, took)
	fits := false
	if r.status < http.StatusBadRequest && j.attempts <= 1 {
		fits = f.routine.allow(now, routineLines)
	} else {
		fits = f.others.allow(now, otherLines)
	}
	if !fits {
		f.counts.set.Counter(agatemetrics.Skipped, "").Add(1)
		return
	}
	f.log.Info("request", append(j.fields(now), "kind", "request", "outcome", r.status, "text", r.reason,
		"after", r.after.Round(time.Millisecond), "took", took.Round(time.Millisecond))...)
}

// logAttempt writes the line of an attempt that gave no answer.
func (j *job) logAttempt() {
	now := time.Now()
	if !j.f.others.allow(now, otherLines) {
		j.f.counts.set.Counter(agatemetrics.Skipped, "").Add(1)
		return
	}
	j.f.log.Info("attempt", append(j.fields(now), "kind", "attempt", "took", now.Sub(j.x.at).Round(time.Millisecond))...)
}

// fields are the inputs of the last decision about a request.
func (j *job) fields(now time.Time) []any {
	name, version := "", uint64(0)
	if j.route != nil {
		name = j.route.Name
	}
	if j.plan != nil {
		version = j.plan.Plan.Version
	}
	return []any{
		"req", j.id, "route", name, "version", version, "service", j.ask.Service,
		"choice", j.last.Upstream, "first", j.last.First, "reason", string(j.last.Reason), "considered", j.last.Considered,
		"expected", j.last.Expected.Round(time.Millisecond), "load", strconv.FormatFloat(j.last.Load, 'f', 1, 64),
		"age", j.last.ReportAge.Round(time.Millisecond), "attempts", j.attempts, "unsent", j.unsent, "end", j.end,
		"left", j.limit.Sub(now).Round(time.Millisecond),
	}
}
