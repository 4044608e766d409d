package agateentry

import (
	"sync/atomic"
	"time"

	"agategate/core/agateroute"
	"agategate/io/agatemetrics"
	"agategate/io/agateupstream"
)

// hedgeTimes are the answer times past which reads are hedged, by service.
// They are safe for concurrent use.
type hedgeTimes struct {
	times atomic.Pointer[map[string]time.Duration]
}

func (h *hedgeTimes) store(times map[string]time.Duration) { h.times.Store(&times) }

// load returns zero while the time is not known.
func (h *hedgeTimes) load(service string) time.Duration {
	if times := h.times.Load(); times != nil {
		return (*times)[service]
	}
	return 0
}

// metrics counts what an entry process does.
type metrics struct {
	set *agatemetrics.Set
}

func (m *metrics) beat(ok bool) {
	outcome := "failed"
	if ok {
		outcome = "answered"
	}
	m.set.Counter(agatemetrics.Beats, outcome).Add(1)
}

func (m *metrics) revision(n uint64) {
	m.set.Gauge(agatemetrics.Revision, "").Set(float64(n))
}

func (m *metrics) usage(used []agateroute.Usage) {
	for _, u := range used {
		m.set.Gauge(agatemetrics.Headroom, u.Service+"/"+u.Region).Set(u.Headroom)
	}
}

func (m *metrics) attempt(cl *call, a attempt) {
	if a.reply.Kind == agateupstream.Shed {
		m.set.Counter(agatemetrics.Refused, "shed").Add(1)
	}
}

// ended counts the final answer to a call.
func (m *metrics) ended(cl *call, rep reply, took time.Duration) {
	m.set.Counter(agatemetrics.Requests, cl.service).Add(1)
	switch {
	case rep.reason == "deadline":
		m.set.Counter(agatemetrics.Late, cl.service).Add(1)
	case rep.outcome == outcomeNotRun:
		m.set.Counter(agatemetrics.Refused, rep.reason).Add(1)
	case rep.outcome == outcomeUnknown:
		m.set.Counter(agatemetrics.Unknown, cl.service).Add(1)
	default:
		m.set.Counter(agatemetrics.Answered, cl.service).Add(1)
		m.set.Histogram(agatemetrics.Latency, cl.service).Record(took)
	}
}

func (m *metrics) lookup(service string) {
	m.set.Counter(agatemetrics.Lookups, service).Add(1)
}

func (m *metrics) drained(kind string, took time.Duration) {
	m.set.Histogram(agatemetrics.Drain, kind).Record(took)
}

func (m *metrics) shifted(service, from, to string) {
	m.set.Counter(agatemetrics.Shifted, service+"/"+from+"/"+to).Add(1)
}
