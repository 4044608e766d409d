package agatefront

import (
	"sync"
	"time"
)

// conns is the set of open caller connections. It is safe for concurrent use.
type conns struct {
	mu  sync.Mutex
	all map[*conn]struct{}
}

func (s *conns) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[*conn]struct{})
	}
	s.all[c] = struct{}{}
}

func (s *conns) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, c)
}

func (s *conns) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

func (s *conns) list() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.all))
	for c := range s.all {
		out = append(out, c)
	}
	return out
}

// displace closes the connection that has had no request for the longest time: a crowd of
// idle or slow callers must not keep others out. It reports false if all connections have
// requests in progress.
func (s *conns) displace() bool {
	var oldest *conn
	var since time.Time
	for _, c := range s.list() {
		c.mu.Lock()
		if c.quiet() && (oldest == nil || c.quietSince.Before(since)) {
			oldest, since = c, c.quietSince
		}
		c.mu.Unlock()
	}
	return oldest != nil && oldest.closeQuiet()
}

// numInFlight returns the number of requests in flight on all connections.
func (s *conns) numInFlight() int {
	n := 0
	for _, c := range s.list() {
		n += c.numInFlight()
	}
	return n
}

// closeIdle begins to close connections without a request in progress and
// returns the number of connections that were open.
func (s *conns) closeIdle() int {
	list := s.list()
	for _, c := range list {
		c.mu.Lock()
		if c.inFlight == 0 {
			c.closing = true
			_ = c.nc.SetReadDeadline(time.Now()) // wakes the reader
		}
		c.mu.Unlock()
	}
	return len(list)
}

func (s *conns) closeAll() {
	for _, c := range s.list() {
		c.stop()
		_ = c.nc.Close() // an error has no consequence: the host is stopping
	}
}
