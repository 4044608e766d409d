package agatefront

import (
	"net/http"
	"sync"
	"time"

	"agategate/core/agatebalance"
	"agategate/io/agatemetrics"
)

// metrics records the host's requests, retries and refusals.
type metrics struct {
	set        *agatemetrics.Set
	workspaces *workspaceLabels
}

// maxWorkspaceLabels is the number of workspaces that have counters of their own.
const maxWorkspaceLabels = 200

// workspaceLabels bounds the number of workspaces with counters of their own. It is safe
// for concurrent use.
type workspaceLabels struct {
	mu    sync.Mutex
	names map[string]bool
}

// label returns the name of a workspace, or "other" if there are too many.
func (l *workspaceLabels) label(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.names[name]:
	case len(l.names) >= maxWorkspaceLabels:
		return "other"
	default:
		l.names[name] = true
	}
	return name
}

// newMetrics declares the metrics of an entry host. Gauges of its state are
// computed when they are read.
func newMetrics(f *Front) metrics {
	set := f.cfg.Metrics
	if set == nil {
		set = agatemetrics.New(agatemetrics.Config{})
	}
	set.Declare("entry")
	set.Func(agatemetrics.CallerConnections, func() any { return f.conns.len() })
	set.Func(agatemetrics.BufferedBytes, func() any {
		bytes, _ := f.account.Usage()
		return bytes
	})
	set.Func(agatemetrics.ConfigRevision, func() any { return f.control.revision() })
	set.Func(agatemetrics.Upstreams, func() any { return f.sumUpstreams(func(agatebalance.UpstreamStatus) int { return 1 }) })
	set.Func(agatemetrics.InFlight, func() any { return f.sumUpstreams(func(u agatebalance.UpstreamStatus) int { return u.InFlight }) })
	set.Func(agatemetrics.LimitedUpstreams, func() any { return f.sumUpstreams(limited) })
	set.Func(agatemetrics.LinksLost, func() any { return toInt(f.linksLost.Load()) })
	set.Func(agatemetrics.Peers, func() any { return f.peers.countByDomain() })
	return metrics{set: set, workspaces: &workspaceLabels{names: map[string]bool{}}}
}

// limited is 1 for an upstream that names a limit.
func limited(u agatebalance.UpstreamStatus) int { return toInt(u.Limit.Named) }

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// sumUpstreams sums a value over the upstreams of each service, without those
// that expired.
func (f *Front) sumUpstreams(value func(u agatebalance.UpstreamStatus) int) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for _, v := range f.table.Status(time.Now()) {
		if v.Info.Expired {
			continue
		}
		out[v.Info.Service] += value(v)
	}
	return out
}

// retry counts one more attempt of a request.
func (m metrics) retry(service string) { m.set.Counter(agatemetrics.Retries, service).Add(1) }

// refused counts a refused connection, or a request that was rejected before it
// was read completely.
func (m metrics) refused(reason string) { m.set.Counter(agatemetrics.Refused, reason).Add(1) }

// workspace counts the end of a request of a workspace.
func (m metrics) workspace(name string, r *reply) {
	end := "failed"
	switch {
	case r.status == http.StatusTooManyRequests:
		end = "limited"
	case r.status < http.StatusBadRequest:
		end = "served"
	case meansNotRun(r.status):
		end = "refused"
	}
	m.set.Counter(agatemetrics.Workspaces, m.workspaces.label(name)+"/"+end).Add(1)
}

// reply counts one reply and records its latency unless it is a refusal.
func (m metrics) reply(service string, r *reply, took time.Duration) {
	if service == "" {
		service = "none"
	}
	m.set.Counter(agatemetrics.Requests, service).Add(1)
	switch {
	case meansNotRun(r.status) || (r.header == nil && r.status < 500):
		m.set.Counter(agatemetrics.Refused, r.reason).Add(1)
		return
	case r.reason == reasonTimeout:
		m.set.Counter(agatemetrics.DeadlineExceeded, service).Add(1)
	case r.header == nil:
		m.set.Counter(agatemetrics.UnknownOutcomes, service).Add(1)
	default:
		m.set.Counter(agatemetrics.Answered, service).Add(1)
	}
	m.set.Histogram(agatemetrics.Latency, service).Record(took)
}
