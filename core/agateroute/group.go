package agateroute

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"agategate/core/agateinventory"
)

// service is what is known of one service in all regions.
type service struct {
	name     string
	deadline time.Duration
	groups   map[string]*group
	order    []*group
	budget   budget
	answered time.Time // when the last answer arrived
	fault    bool      // fail static is in force
}

func newService(name string) *service {
	return &service{
		name:   name,
		groups: map[string]*group{},
	}
}

func (s *service) configure(inv *agateinventory.Inventory) {
	s.deadline = agateinventory.DefaultDeadline
	if known := inv.Service(s.name); known != nil && known.Deadline > 0 {
		s.deadline = known.Deadline
	}
}

// group is one service in one region.
type group struct {
	service      *service
	region       string
	upstreams    []*upstream
	own          int     // in flight from this entry host
	live         int     // those of them at usable upstreams
	peers        float64 // at usable upstreams from the others as reported
	present      float64 // part of the answer time that own requests are at upstreams
	peersWaiting int     // in the queues of the others
	slots        float64 // of the usable upstreams
	latency      latency
	travel       ewma // seconds of network per answer
	queue        queue
	away         away
	demand       rate
	pressure     ewma      // share of requests that the region could not take
	failures     int       // in a row, without an answer from any upstream
	failed       int       // upstreams whose last request failed
	probeAt      time.Time // when the next request may be sent while failing
	answers      meter
	peersAnswers float64       // per second, of the other entry hosts
	localTime    time.Duration // sum of service times by entry hosts of the region
	localHosts   int           // number of them
	shift        ramp          // overflow that comes in from other regions
	shiftOwn     int
	shiftAt      time.Time
}

func newGroup(s *service, region string, bound int) *group {
	return &group{
		service: s,
		region:  region,
		queue:   newQueue(bound),
		away:    away{queue: newQueue(bound)},
		latency: newLatency(),
		shift:   ramp{open: 1},
		present: 1,
	}
}

func (g *group) add(u *upstream) {
	u.group = g
	g.upstreams = append(g.upstreams, u)
	g.own += u.own
}

func (g *group) remove(u *upstream) {
	for i, v := range g.upstreams {
		if v == u {
			g.upstreams = append(g.upstreams[:i], g.upstreams[i+1:]...)
			break
		}
	}
	g.own -= u.own
	u.clearFailures()
	g.count(u, 0)
}

// recount keeps the sums over usable upstreams after a change of one.
func (g *group) recount(u *upstream) {
	slots := 0.0
	if u.working() && u.failures < failingFrom && !u.ejected {
		slots = u.slots
	}
	g.count(u, slots)
}

// count lets an upstream count with some slots, or not at all.
func (g *group) count(u *upstream, slots float64) {
	switch {
	case u.counted == 0 && slots > 0:
		g.live += u.own
		g.peers += u.peers
	case u.counted > 0 && slots == 0:
		g.live -= u.own
		g.peers -= u.peers
	}
	g.slots += slots - u.counted
	u.counted = slots
}

// change adds to the requests in flight at an upstream.
func (u *upstream) change(own int, peers float64) {
	u.own += own
	u.peers += peers
	u.group.own += own
	if u.counted > 0 {
		u.group.live += own
		u.group.peers += peers
	}
}

// Bounds of the latency histograms, in microseconds.
const (
	latencyLowest  = 1
	latencyHighest = 60_000_000
	latencyDigits  = 2
	latencyRotate  = 5 * time.Second
	latencyRefresh = 64
	latencyEnough  = 32
)

// latency is the distribution of a service's answer times over the last 5 to
// 10 s.
type latency struct {
	recent   *hdrhistogram.Histogram
	older    *hdrhistogram.Histogram
	rotated  time.Time
	fresh    int
	p50, p95 time.Duration // zero while unknown
	normal   ewma          // seconds per answer, corrected for queueing
	whole    ewma          // seconds per answer
}

func newLatency() latency {
	return latency{
		recent: hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits),
		older:  hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits),
	}
}

// record adds one answer.
func (l *latency) record(now time.Time, d time.Duration) {
	if now.Sub(l.rotated) > latencyRotate {
		l.recent, l.older = l.older, l.recent
		l.recent.Reset()
		l.rotated = now
	}
	// The only error is a value above the highest, which is capped here.
	_ = l.recent.RecordValue(min(max(d.Microseconds(), latencyLowest), latencyHighest))
	l.fresh++
	if l.fresh >= latencyRefresh || (l.p50 == 0 && l.fresh >= latencyEnough) {
		l.refresh()
	}
}

// refresh reads the quantiles from the fuller histogram.
func (l *latency) refresh() {
	l.fresh = 0
	h := l.recent
	if h.TotalCount() < l.older.TotalCount() {
		h = l.older
	}
	l.p50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	l.p95 = time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
}

// rate counts events per second over the last one to two seconds.
type rate struct {
	start    time.Time
	count    float64
	previous float64 // per second
}

const rateWindow = time.Second

// add counts n events.
func (r *rate) add(now time.Time, n float64) {
	r.roll(now)
	r.count += n
}

func (r *rate) roll(now time.Time) {
	past := now.Sub(r.start)
	if past < rateWindow {
		return
	}
	r.previous = r.count / past.Seconds()
	if past > 10*rateWindow {
		r.previous = 0
	}
	r.start, r.count = now, 0
}

// value is the rate per second.
func (r *rate) value(now time.Time) float64 {
	r.roll(now)
	return r.previous
}

// meterTime is the time over which answers are averaged. Requests in flight
// vary by a third within one answer time, and include those that queue at
// upstreams, so they say less of the utilisation.
const meterTime = 500 * time.Millisecond

// meter measures events per second, weighted towards now.
type meter struct {
	at   time.Time
	rate float64
}

// value is the rate per second.
func (m *meter) value(now time.Time) float64 {
	past := now.Sub(m.at)
	if past > 0 {
		m.rate *= math.Exp(-past.Seconds() / meterTime.Seconds())
		m.at = now
	}
	return m.rate
}

// add counts one event.
func (m *meter) add(now time.Time) {
	m.rate = m.value(now) + 1/meterTime.Seconds()
}

// utilisation is the share of the slots of a group that all entry hosts keep
// busy: answers per second times service time.
func (t *Table) utilisation(now time.Time, g *group) float64 {
	if g.slots <= 0 {
		return 0
	}
	return (g.answers.value(now) + g.peersAnswers) * t.serviceTime(g) / g.slots
}

// serviceTime is the time in seconds that a request takes at an upstream of a
// group. Entry hosts of that region measure it best, since most of the answer
// time from another region is travel.
func (t *Table) serviceTime(g *group) float64 {
	own := t.measured(g)
	sum, n := g.localTime+own, g.localHosts
	if own > 0 {
		n++
	}
	switch {
	case n > 0:
		return sum.Seconds() / float64(n)
	case g.latency.normal.n > 0:
		return g.latency.normal.mean * g.present
	}
	return t.homeNormal(g)
}

// measured is the service time of a group if this entry host is in its
// region and has enough answers, or zero.
func (t *Table) measured(g *group) time.Duration {
	if g.region != t.cfg.Region || g.latency.normal.n < ratioEnough {
		return 0
	}
	return time.Duration(g.latency.normal.mean * g.present * float64(time.Second))
}
