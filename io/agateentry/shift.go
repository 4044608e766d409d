package agateentry

import (
	"sync"
	"time"

	"agategate/core/agateshift"
	"agategate/io/agatewire"
)

const (
	// askMargin is how much more than the last need is asked for, so that
	// growing overflow need not wait for the next heartbeat.
	askMargin = 1.25
	// askLeast is the least rate asked for, in requests per second.
	askLeast = 2.0
	// needDecay is the part of the last need that remains when there was none
	// in an interval.
	needDecay = 0.5
	// firstBytes is the size assumed for a request and its answer while none
	// was measured.
	firstBytes = 4096.0
	// sizeSlack is how much larger than the mean of now a request may count
	// before the next ask.
	sizeSlack = 2.0
	// bytesWeight is the weight of a new size in the mean.
	bytesWeight = 0.05
	// kickEvery bounds the heartbeats that a missing grant causes.
	kickEvery = 100 * time.Millisecond
)

// shift spends this host's grants of overflow and asks for new ones. It is
// safe for concurrent use.
type shift struct {
	e      *Entry
	holder *agateshift.Holder

	mu     sync.Mutex
	needs  map[lane]*need
	bytes  map[string]float64 // mean size of a request and its answer, by service
	kicked time.Time
}

// lane is a service's traffic from one region to another. From is the
// callers' region, which is not this host's when their own entry hosts are
// gone.
type lane struct {
	service string
	from    string
	to      string
}

// need is how much overflow was wanted.
type need struct {
	wanted int // since the last ask
	since  time.Time
	rate   float64 // requests per second
}

func newShift(e *Entry) *shift {
	return &shift{
		e:      e,
		holder: agateshift.NewHolder(agateshift.HolderConfig{Host: e.cfg.Settings.Name, Epoch: e.epoch}),
		needs:  make(map[lane]*need),
		bytes:  make(map[string]float64),
	}
}

// take reports whether one request may leave its region now. The routing duty
// asks right before it sends the request.
func (s *shift) take(now time.Time, service, from, to string) bool {
	size := s.want(now, lane{service, from, to})
	if s.holder.Take(now, service, from, to, size) {
		s.e.metrics.shifted(service, from, to)
		return true
	}
	s.kick(now)
	return false
}

// want counts a wish and returns the size expected of the request.
func (s *shift) want(now time.Time, l lane) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.needs[l]
	if n == nil {
		n = &need{since: now}
		s.needs[l] = n
	}
	n.wanted++
	return int64(s.size(l.service))
}

func (s *shift) size(service string) float64 {
	if size, ok := s.bytes[service]; ok {
		return size
	}
	return firstBytes
}

// kick makes a heartbeat with the asks due.
func (s *shift) kick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.kicked) < kickEvery {
		return
	}
	s.kicked = now
	s.e.beats.kick()
}

// sized learns the size of a request and its answer.
func (s *shift) sized(service string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.size(service)
	s.bytes[service] = old + bytesWeight*(float64(bytes)-old)
}

// asks returns what to ask for: grants for the overflow that was wanted.
func (s *shift) asks(now time.Time) []*agatewire.GrantAsk {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*agatewire.GrantAsk
	for l, n := range s.needs {
		n.roll(now)
		if n.rate == 0 {
			delete(s.needs, l)
			continue
		}
		rate := max(askLeast, n.rate*askMargin)
		a := s.holder.NewGrantRequest(now, l.service, l.from, l.to, rate, rate*s.size(l.service), int64(sizeSlack*s.size(l.service)))
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

// roll turns the wishes since the last ask into a rate.
func (n *need) roll(now time.Time) {
	past := max(now.Sub(n.since).Seconds(), kickEvery.Seconds())
	measured := float64(n.wanted) / past
	n.rate = max(measured, n.rate*needDecay)
	if n.rate < askLeast/4 {
		n.rate = 0
	}
	n.wanted = 0
	n.since = now
}

// accept takes the grants of a heartbeat's reply.
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
