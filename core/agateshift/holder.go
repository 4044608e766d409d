package agateshift

import (
	"sync"
	"time"
)

// stepBack is how far time may run backwards before it is taken for a step of
// the clock instead of a late call. The ends of grants are then in doubt.
const stepBack = time.Second

// maxPending is the number of unanswered asks that are remembered for one
// service and pair of regions.
const maxPending = 64

// HolderConfig holds the settings of a Holder.
type HolderConfig struct {
	// Host is the name of the entry host in the inventory.
	Host string
	// Epoch differs from that of every earlier process of the host.
	Epoch uint64
}

// Holder spends grants at one entry host. It is safe for concurrent use. The
// times that are passed in must have a monotonic reading, as those of time.Now
// do.
type Holder struct {
	cfg HolderConfig

	mu     sync.Mutex
	next   uint64
	term   uint64
	latest time.Time
	flows  map[flowKey]*held
}

// held is what a Holder has for one service and pair of regions.
type held struct {
	// pending holds when each ask was made that is newer than the last one
	// that was answered.
	pending map[uint64]time.Time
	// ends is when the grant ends, by this host's clock.
	ends     time.Time
	requests bucket
	bytes    bucket
}

// NewHolder returns a Holder without grants.
func NewHolder(cfg HolderConfig) *Holder {
	return &Holder{cfg: cfg, flows: map[flowKey]*held{}}
}

// Ask returns an ask for rates of requests and bytes per second, under which
// requests of up to size bytes must get through. A larger size takes more of
// what there is: it is kept free in each second. A grant counts from the time of its ask, so the ask should be sent at once.
func (h *Holder) Ask(now time.Time, service, from, to string, requests, bytes float64, size int64) Ask {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = h.clock(now)
	h.next++
	k := flowKey{service, from, to}
	l := h.flows[k]
	if l == nil {
		l = &held{pending: map[uint64]time.Time{}}
		h.flows[k] = l
	}
	delete(l.pending, h.next-maxPending)
	l.pending[h.next] = now
	return Ask{
		Host: h.cfg.Host, Epoch: h.cfg.Epoch, ID: h.next,
		Service: service, From: from, To: to, Requests: requests, Bytes: bytes, Size: float64(size),
	}
}

// Accept takes a grant. It ignores a grant that is for another process, that
// answers no open ask, that is older than one it has, or that has ended.
func (h *Holder) Accept(now time.Time, g Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = h.clock(now)
	if g.Host != h.cfg.Host || g.Epoch != h.cfg.Epoch || g.Term < h.term {
		return
	}
	l := h.flows[flowKey{g.Service, g.From, g.To}]
	if l == nil {
		return
	}
	asked, open := l.pending[g.Ask]
	if !open {
		return
	}
	h.term = g.Term
	l.accept(now, asked, g)
}

func (l *held) accept(now, asked time.Time, g Grant) {
	for id := range l.pending {
		if id <= g.Ask {
			delete(l.pending, id)
		}
	}
	if !now.Before(l.ends) {
		l.requests, l.bytes = bucket{}, bucket{}
	}
	l.ends = asked.Add(lifetime(g.Duration))
	l.requests.set(now, rate(g.Requests), oneRequest)
	l.bytes.set(now, rate(g.Bytes), rate(g.Size))
}

// lifetime returns how long a grant may be used by a clock that may be slower
// than the granter's.
func lifetime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - Drift))
}

// Take reports whether one request of a size in bytes may be sent now, and
// spends it. Both come from one grant. The request must be sent at once, so
// Take is called right before the first byte.
func (h *Holder) Take(now time.Time, service, from, to string, bytes int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = h.clock(now)
	l := h.flows[flowKey{service, from, to}]
	if l == nil || !now.Before(l.ends) {
		return false
	}
	l.requests.refill(now)
	l.bytes.refill(now)
	size := max(float64(bytes), 0)
	if l.requests.level < 1 || l.bytes.level < size {
		return false
	}
	l.requests.level--
	l.bytes.level -= size
	return true
}

// Left returns the rates of the current grant and when it ends, for status.
func (h *Holder) Left(now time.Time, service, from, to string) (requests, bytes float64, ends time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = h.clock(now)
	l := h.flows[flowKey{service, from, to}]
	if l == nil || !now.Before(l.ends) {
		return 0, 0, time.Time{}
	}
	return l.requests.rate, l.bytes.rate, l.ends
}

// clock returns the latest time seen. If time went back by more than calls can
// overtake each other, all grants end.
func (h *Holder) clock(now time.Time) time.Time {
	if h.latest.Sub(now) > stepBack {
		h.flows = map[flowKey]*held{}
		h.latest = now
	}
	if now.After(h.latest) {
		h.latest = now
	}
	return h.latest
}

// bucket is a token bucket.
type bucket struct {
	rate  float64
	least float64
	level float64
	at    time.Time
}

// set changes the rate. Tokens stay, within the new size, so that a renewed
// grant brings no new burst; a first grant starts without tokens.
func (b *bucket) set(now time.Time, rate, least float64) {
	b.refill(now)
	b.rate, b.least = rate, least
	b.level = min(b.level, burst(rate, least))
}

func (b *bucket) refill(now time.Time) {
	b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), burst(b.rate, b.least))
	b.at = now
}
