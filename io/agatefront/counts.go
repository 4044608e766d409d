package agatefront

import (
	"time"

	"agategate/io/agatemetrics"
)

// counts publishes what the host does.
type counts struct {
	set *agatemetrics.Set
}

// newCounts declares the metrics of an entry host. Those of its state are
// computed when they are read.
func newCounts(f *Front) counts {
	set := f.cfg.Metrics
	if set == nil {
		set = agatemetrics.New(agatemetrics.Config{})
	}
	set.Declare("entry")
	set.Func(agatemetrics.CallerConnections, func() any { return f.conns.len() })
	set.Func(agatemetrics.ConfigRevision, func() any { return f.link.revision() })
	set.Func(agatemetrics.Upstreams, func() any { return f.upstreams(func(n *int, _ int) { *n++ }) })
	set.Func(agatemetrics.InFlight, func() any { return f.upstreams(func(n *int, own int) { *n += own }) })
	return counts{set: set}
}

// upstreams adds something up over the upstreams of each service.
func (f *Front) upstreams(add func(n *int, inflight int)) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for _, v := range f.table.Status(time.Now()) {
		if v.Info.Lapsed {
			continue
		}
		n := out[v.Info.Service]
		add(&n, v.InFlight)
		out[v.Info.Service] = n
	}
	return out
}

// retried counts a second attempt.
func (c counts) retried(service string) { c.set.Counter(agatemetrics.Retries, service).Add(1) }

// turned counts a request or connection that was refused unread.
func (c counts) turned(reason string) { c.set.Counter(agatemetrics.Refused, reason).Add(1) }

// answer counts one answer.
func (c counts) answer(service string, r *reply, took time.Duration) {
	if service == "" {
		service = "none"
	}
	c.set.Counter(agatemetrics.Requests, service).Add(1)
	switch {
	case promises(r.status) || (r.header == nil && r.status < 500):
		c.set.Counter(agatemetrics.Refused, r.reason).Add(1)
		return
	case r.reason == reasonTimeout:
		c.set.Counter(agatemetrics.DeadlineExceeded, service).Add(1)
	case r.header == nil:
		c.set.Counter(agatemetrics.UnknownOutcomes, service).Add(1)
	default:
		c.set.Counter(agatemetrics.Answered, service).Add(1)
	}
	c.set.Histogram(agatemetrics.Latency, service).Record(took)
}
