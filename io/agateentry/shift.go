package agateentry

import (
	"sync"
	"time"

	"agategate/core/agateshift"
	"agategate/io/agatewire"
)

const (
	// rateMargin is the factor by which the requested rate exceeds the demand,
	// so that growing overflow does not have to wait for the next heartbeat.
	rateMargin = 1.25
	// minRequestRate is the lowest rate that is requested, in requests per
	// second.
	minRequestRate = 2.0
	// demandDecay limits the decrease of a demand: its rate falls at most by
	// this factor per update.
	demandDecay = 0.5
	// defaultSize is the size in bytes assumed for a request and its answer
	// before any was measured.
	defaultSize = 4096.0
	// sizeMargin is the factor by which the requested maximum size exceeds the
	// mean size, because the mean may grow before the next grant request.
	sizeMargin = 2.0
	// sizeWeight is the weight of a new size in the moving average.
	sizeWeight = 0.05
	// triggerInterval is the shortest interval of heartbeats that are caused by
	// missing grants, and of the measurement of a demand.
	triggerInterval = 100 * time.Millisecond
)

// shift admits overflow to other regions within this host's grants and requests
// new grants. It is safe for concurrent use.
type shift struct {
	e      *Entry
	holder *agateshift.Holder

	mu          sync.Mutex
	demands     map[flow]*demand
	sizes       map[string]float64 // mean bytes of a request and its answer, by service
	lastTrigger time.Time
}

// flow identifies the traffic of a service from one region to another. from is
// the region of the callers. It is not this host's region if the entry hosts of
// the callers' region have failed.
type flow struct {
	service string
	from    string
	to      string
}

// demand is the measured overflow of a flow.
type demand struct {
	count int // requests since the last update
	since time.Time
	rate  float64 // requests per second
}

func newShift(e *Entry) *shift {
	return &shift{
		e:       e,
		holder:  agateshift.NewHolder(agateshift.HolderConfig{Host: e.cfg.Settings.Name, Epoch: e.epoch}),
		demands: make(map[flow]*demand),
		sizes:   make(map[string]float64),
	}
}

// allow reports whether one request may leave its region now, and takes it from
// the grant. The router calls it immediately before it sends the request.
func (s *shift) allow(now time.Time, service, from, to string) bool {
	size := s.recordDemand(now, flow{service, from, to})
	if s.holder.Take(now, service, from, to, size) {
		s.e.metrics.shifted(service, from, to)
		return true
	}
	s.triggerHeartbeat(now)
	return false
}

// recordDemand counts an overflow request and returns its expected size in
// bytes.
func (s *shift) recordDemand(now time.Time, f flow) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.demands[f]
	if d == nil {
		d = &demand{since: now}
		s.demands[f] = d
	}
	d.count++
	return int64(s.requestSize(f.service))
}

func (s *shift) requestSize(service string) float64 {
	if size, ok := s.sizes[service]; ok {
		return size
	}
	return defaultSize
}

// triggerHeartbeat requests a heartbeat, which carries the grant requests.
func (s *shift) triggerHeartbeat(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastTrigger) < triggerInterval {
		return
	}
	s.lastTrigger = now
	s.e.heartbeats.trigger()
}

// observeSize records the size in bytes of a request and its answer.
func (s *shift) observeSize(service string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.requestSize(service)
	s.sizes[service] = old + sizeWeight*(float64(bytes)-old)
}

// grantRequests returns grant requests for the measured overflow.
func (s *shift) grantRequests(now time.Time) []*agatewire.GrantAsk {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*agatewire.GrantAsk
	for f, d := range s.demands {
		d.update(now)
		if d.rate == 0 {
			delete(s.demands, f)
			continue
		}
		rate := max(minRequestRate, d.rate*rateMargin)
		a := s.holder.NewGrantRequest(now, f.service, f.from, f.to, rate, rate*s.requestSize(f.service), int64(sizeMargin*s.requestSize(f.service)))
		out = append(out, &agatewire.GrantAsk{
			Id:       a.ID,
			Service:  a.Service,
			From:     a.From,
			To:       a.To,
			Requests: a.RequestRate,
			Bytes:    a.ByteRate,
			Size:     a.MaxRequestBytes,
		})
	}
	return out
}

// update computes the rate from the requests since the last update.
func (d *demand) update(now time.Time) {
	elapsed := max(now.Sub(d.since).Seconds(), triggerInterval.Seconds())
	measured := float64(d.count) / elapsed
	d.rate = max(measured, d.rate*demandDecay)
	// A demand far below the lowest rate that is requested is dropped.
	if d.rate < minRequestRate/4 {
		d.rate = 0
	}
	d.count = 0
	d.since = now
}

// accept applies the grants of a heartbeat reply.
func (s *shift) accept(now time.Time, reply *agatewire.BeatReply) {
	for _, g := range reply.Grants {
		s.holder.Accept(now, agateshift.Grant{
			Term:        g.Term,
			Host:        s.e.cfg.Settings.Name,
			Epoch:       s.e.epoch,
			RequestID:   g.Ask,
			Service:     g.Service,
			From:        g.From,
			To:          g.To,
			RequestRate: g.Requests,
			ByteRate:    g.Bytes,
			Duration:    time.Duration(g.Duration),
			Reason:      g.Reason,
		})
	}
}
