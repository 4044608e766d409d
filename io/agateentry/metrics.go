package agateentry

import (
	"net/http"
	"sync/atomic"
	"time"

	"agategate/core/agateroute"
	"agategate/io/agatelog"
	"agategate/io/agatemetrics"
)

// hedgeDelays holds the latency from which reads are hedged, by service. It is
// safe for concurrent use.
type hedgeDelays struct {
	delays atomic.Pointer[map[string]time.Duration]
}

func (h *hedgeDelays) store(delays map[string]time.Duration) { h.delays.Store(&delays) }

// load returns the hedge delay of a service, or zero if it is not known.
func (h *hedgeDelays) load(service string) time.Duration {
	if delays := h.delays.Load(); delays != nil {
		return (*delays)[service]
	}
	return 0
}

// registerMetrics registers the metrics that are computed when they are read.
func (e *Entry) registerMetrics() {
	set := e.metrics.set
	set.Declare("entry")
	set.Func(agatemetrics.Upstreams, func() any { return e.upstreamsUp() })
	set.Func(agatemetrics.BufferedBytes, func() any {
		bytes, _ := e.account.Usage()
		return bytes
	})
	set.Func(agatemetrics.CallerConnections, func() any { return e.caller.OpenConns() })
	set.Func(agatemetrics.DroppedItems, func() any { return map[string]uint64{"route": e.router.tasks.Rejected()} })
	set.Func(agatemetrics.SuspectRequests, func() any { return e.suspects.count() })
	set.Func(agatemetrics.SkippedLines, func() any { return e.cfg.Log.Skipped() })
}

// upstreamsUp counts the upstreams in state Up, by service.
func (e *Entry) upstreamsUp() map[string]int {
	up := make(map[string]int)
	e.router.do(func(now time.Time) {
		for _, a := range e.router.table.Export(now, 0).Announcements {
			if a.State == agateroute.Up {
				up[a.Service]++
			}
		}
	})
	return up
}

// metrics records the metrics of an entry process.
type metrics struct {
	set *agatemetrics.Set
}

func (m *metrics) heartbeat(ok bool) {
	outcome := "failed"
	if ok {
		outcome = "answered"
	}
	m.set.Counter(agatemetrics.Heartbeats, outcome).Add(1)
}

func (m *metrics) revision(n uint64) {
	m.set.Gauge(agatemetrics.ConfigRevision, "").Set(float64(n))
}

func (m *metrics) usage(usage []agateroute.Usage) {
	inFlight, queue := make(map[string]int), make(map[string]int)
	for _, u := range usage {
		m.set.Gauge(agatemetrics.Headroom, u.Service+"/"+u.Region).Set(u.Headroom)
		inFlight[u.Service] += u.OwnInFlight
		queue[u.Service] += u.Queued
	}
	for service := range inFlight {
		m.set.Gauge(agatemetrics.InFlight, service).Set(float64(inFlight[service]))
		m.set.Gauge(agatemetrics.QueueLength, service).Set(float64(queue[service]))
	}
}

// extraAttempt counts a decision that sends a retry or a hedge.
func (m *metrics) extraAttempt(service string, kind agatelog.Kind, d agateroute.Decision) {
	switch {
	case d.Verdict != agateroute.Send:
	case kind == agatelog.Retry:
		m.set.Counter(agatemetrics.Retries, service).Add(1)
	case kind == agatelog.Hedge:
		m.set.Counter(agatemetrics.Hedges, service).Add(1)
	}
}

// announced counts an announcement of an upstream by its receipt.
func (m *metrics) announced(verdict string) {
	m.set.Counter(agatemetrics.Announcements, verdict).Add(1)
}

// refused counts a request that was refused without being run, by reason.
func (m *metrics) refused(reason string) {
	m.set.Counter(agatemetrics.Refused, reason).Add(1)
}

// callEnded counts the final answer to a call.
func (m *metrics) callEnded(cl *call, rep reply, took time.Duration) {
	m.set.Counter(agatemetrics.Requests, cl.service).Add(1)
	switch {
	case rep.status == http.StatusGatewayTimeout && (rep.reason == "deadline" || rep.reason == "late"):
		m.set.Counter(agatemetrics.DeadlineExceeded, cl.service).Add(1)
	case rep.outcome == outcomeNotRun:
		m.refused(rep.reason)
	case rep.outcome == outcomeUnknown:
		m.set.Counter(agatemetrics.UnknownOutcomes, cl.service).Add(1)
	default:
		m.set.Counter(agatemetrics.Answered, cl.service).Add(1)
		m.set.Histogram(agatemetrics.Latency, cl.service).Record(took)
	}
}

func (m *metrics) lookup(service string) {
	m.set.Counter(agatemetrics.Lookups, service).Add(1)
}

func (m *metrics) drained(kind string, took time.Duration) {
	m.set.Histogram(agatemetrics.DrainTime, kind).Record(took)
}

func (m *metrics) shifted(service, from, to string) {
	m.set.Counter(agatemetrics.OverflowRequests, service+"/"+from+"/"+to).Add(1)
}
