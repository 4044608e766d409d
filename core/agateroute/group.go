package agateroute

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"agategate/core/agateinventory"
)

// service is the state of one service over all regions.
type service struct {
	name         string
	deadline     time.Duration
	groups       map[string]*group
	groupOrder   []*group
	retryBudget  retryBudget
	lastResponse time.Time // of any upstream
	failStatic   bool      // leases are ignored
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

// group is the state of one service in one region.
type group struct {
	service              *service
	region               string
	upstreams            []*upstream
	ownInFlight          int     // requests in flight from this entry host
	usableInFlight       int     // part of ownInFlight at usable upstreams
	peerInFlight         float64 // requests of other entry hosts at usable upstreams, as reported
	serviceTimeFraction  float64 // service time / latency, for requests from this entry host
	peerQueued           int     // requests in the queues of other entry hosts
	slots                float64 // sum over usable upstreams
	latency              latency
	measuredAt           time.Time // of the last response, or of the last request that remeasure sent
	rtt                  ewma      // seconds
	queue                queue
	grantQueue           grantQueue
	demand               rate
	unservedShare        ewma      // share of requests refused, shifted to another region or waiting for an overflow grant
	failures             int       // consecutive failures over all upstreams
	failedUpstreams      int       // upstreams with consecutive failures
	nextProbe            time.Time // earliest time of the next request while failing
	responseRate         decayingRate
	peerResponseRate     float64       // responses per second of the other entry hosts
	peerServiceTimeSum   time.Duration // sum of the service times reported by entry hosts of the region
	peerServiceTimeCount int           // number of these reports
	shiftRamp            ramp          // bounds requests shifted from other regions
	shiftedInFlight      int
	lastShift            time.Time
}

func newGroup(s *service, region string, queueLimit int) *group {
	return &group{
		service:             s,
		region:              region,
		queue:               newQueue(queueLimit),
		grantQueue:          grantQueue{queue: newQueue(queueLimit)},
		latency:             newLatency(),
		shiftRamp:           ramp{limit: 1},
		serviceTimeFraction: 1,
	}
}

func (g *group) add(u *upstream) {
	u.group = g
	g.upstreams = append(g.upstreams, u)
	g.ownInFlight += u.ownInFlight
}

func (g *group) remove(u *upstream) {
	for i, v := range g.upstreams {
		if v == u {
			g.upstreams = append(g.upstreams[:i], g.upstreams[i+1:]...)
			break
		}
	}
	g.ownInFlight -= u.ownInFlight
	u.clearFailures()
	g.setCountedSlots(u, 0)
}

// updateTotals adjusts the totals over usable upstreams after a change of one.
func (g *group) updateTotals(u *upstream) {
	slots := 0.0
	if u.acceptsWork() && u.failures < failingThreshold && !u.ejected {
		slots = u.slots
	}
	g.setCountedSlots(u, slots)
}

// setCountedSlots sets the slots that an upstream contributes to the group
// totals. Zero excludes the upstream from them.
func (g *group) setCountedSlots(u *upstream, slots float64) {
	switch {
	case u.countedSlots == 0 && slots > 0:
		g.usableInFlight += u.ownInFlight
		g.peerInFlight += u.peerInFlight
	case u.countedSlots > 0 && slots == 0:
		g.usableInFlight -= u.ownInFlight
		g.peerInFlight -= u.peerInFlight
	}
	g.slots += slots - u.countedSlots
	u.countedSlots = slots
}

// addInFlight adds to the requests in flight at an upstream.
func (u *upstream) addInFlight(own int, peer float64) {
	u.ownInFlight += own
	u.peerInFlight += peer
	u.group.ownInFlight += own
	if u.countedSlots > 0 {
		u.group.usableInFlight += own
		u.group.peerInFlight += peer
	}
}

// Parameters of the latency histograms. Bounds are in microseconds.
const (
	minLatencyUs             = 1
	maxLatencyUs             = 60_000_000
	latencySignificantDigits = 2
	latencyRotation          = 5 * time.Second
	quantileRefreshSamples   = 64
	quantileMinSamples       = 32
)

// latency holds the latency distribution of a group in two histograms, which are
// rotated every 5 s. With steady traffic they cover the last 5 to 10 s. The
// quantiles are those of the histogram with more samples.
type latency struct {
	recent       *hdrhistogram.Histogram
	older        *hdrhistogram.Histogram
	rotated      time.Time
	sinceRefresh int
	p50, p95     time.Duration // zero until enough samples are known
	unloaded     ewma          // seconds per request, without the estimated queueing at upstreams
	observed     ewma          // seconds per request
}

func newLatency() latency {
	return latency{
		recent: hdrhistogram.New(minLatencyUs, maxLatencyUs, latencySignificantDigits),
		older:  hdrhistogram.New(minLatencyUs, maxLatencyUs, latencySignificantDigits),
	}
}

// record adds the latency of one response.
func (l *latency) record(now time.Time, d time.Duration) {
	if now.Sub(l.rotated) > latencyRotation {
		l.recent, l.older = l.older, l.recent
		l.recent.Reset()
		l.rotated = now
	}
	// RecordValue fails only above the upper bound, which is applied here.
	_ = l.recent.RecordValue(min(max(d.Microseconds(), minLatencyUs), maxLatencyUs))
	l.sinceRefresh++
	if l.sinceRefresh >= quantileRefreshSamples || (l.p50 == 0 && l.sinceRefresh >= quantileMinSamples) {
		l.refresh()
	}
}

// refresh updates the quantiles from the histogram with more samples.
func (l *latency) refresh() {
	l.sinceRefresh = 0
	h := l.recent
	if h.TotalCount() < l.older.TotalCount() {
		h = l.older
	}
	l.p50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	l.p95 = time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
}

// rate measures events per second in windows of at least one second. A window
// ends with the first call after rateWindow.
type rate struct {
	start    time.Time
	count    float64
	previous float64 // events per second in the previous window, or 0 if that was over 10 s long
}

const rateWindow = time.Second

// add records n events.
func (r *rate) add(now time.Time, n float64) {
	r.advance(now)
	r.count += n
}

func (r *rate) advance(now time.Time) {
	elapsed := now.Sub(r.start)
	if elapsed < rateWindow {
		return
	}
	r.previous = r.count / elapsed.Seconds()
	if elapsed > 10*rateWindow {
		r.previous = 0
	}
	r.start, r.count = now, 0
}

// value returns the rate per second.
func (r *rate) value(now time.Time) float64 {
	r.advance(now)
	return r.previous
}

// rateTimeConstant is the time constant over which the response rate is
// averaged. Utilization is derived from the response rate, because the number of
// requests in flight varies by a third within one response time and includes
// requests that queue at upstreams.
const rateTimeConstant = 500 * time.Millisecond

// decayingRate measures events per second with exponential decay.
type decayingRate struct {
	updated time.Time
	rate    float64
}

// value returns the rate per second.
func (r *decayingRate) value(now time.Time) float64 {
	elapsed := now.Sub(r.updated)
	if elapsed > 0 {
		r.rate *= math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
		r.updated = now
	}
	return r.rate
}

// add records one event.
func (r *decayingRate) add(now time.Time) {
	r.rate = r.value(now) + 1/rateTimeConstant.Seconds()
}

// utilization estimates the share of a group's slots that all entry hosts keep
// busy: response rate times service time, per slot.
func (t *Table) utilization(now time.Time, g *group) float64 {
	if g.slots <= 0 {
		return 0
	}
	return (g.responseRate.value(now) + g.peerResponseRate) * t.serviceTime(g) / g.slots
}

// serviceTime returns the time in seconds that a request takes at an upstream of
// a group. Entry hosts of the same region measure it best, since most of the
// latency from another region is network time.
func (t *Table) serviceTime(g *group) float64 {
	own := t.localServiceTime(g)
	sum, n := g.peerServiceTimeSum+own, g.peerServiceTimeCount
	if own > 0 {
		n++
	}
	switch {
	case n > 0:
		return sum.Seconds() / float64(n)
	case g.latency.unloaded.samples > 0:
		return g.latency.unloaded.mean * g.serviceTimeFraction
	}
	return t.localLatency(g)
}

// localServiceTime returns the service time of a group as measured by this entry
// host, or zero if it is in another region or has too few responses.
func (t *Table) localServiceTime(g *group) time.Duration {
	if g.region != t.cfg.Region || g.latency.unloaded.samples < minMeanSamples {
		return 0
	}
	return time.Duration(g.latency.unloaded.mean * g.serviceTimeFraction * float64(time.Second))
}
