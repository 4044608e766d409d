package agateshift

import (
	"sync"
	"time"
)

// clockStepThreshold is how far time may go back between two calls before it is
// treated as a clock step instead of concurrent calls out of order. After a
// clock step the expiry times of grants cannot be trusted. Times with a monotonic
// reading do not step; this protects against times without one.
const clockStepThreshold = time.Second

// maxPendingRequests bounds the unanswered grant requests of a flow: a new request
// drops the request of the same flow whose ID is lower by maxPendingRequests. All
// flows of a holder share the IDs, so the bound is strict only in a holder with
// one flow.
const maxPendingRequests = 64

// HolderConfig holds the settings of a Holder.
type HolderConfig struct {
	// Host is the name of the entry host in the inventory.
	Host string
	// Epoch differs from that of every earlier process of the host.
	Epoch uint64
}

// Holder enforces the grants of one entry host. It is safe for concurrent use.
// The times passed to its methods must have a monotonic clock reading, as those
// from time.Now do.
type Holder struct {
	cfg HolderConfig

	mu         sync.Mutex
	lastID     uint64
	latestTerm uint64
	latestTime time.Time
	flows      map[flowKey]*flowState
}

// flowState holds the outstanding grant requests of one flow, and the current
// grant, if any, with its token buckets.
type flowState struct {
	// pending maps the ID of each outstanding grant request to its creation
	// time. Requests up to that of the last accepted grant are removed.
	pending map[uint64]time.Time
	// expiresAt is by this host's clock.
	expiresAt time.Time
	requests  bucket
	bytes     bucket
}

// NewHolder returns a Holder without grants.
func NewHolder(cfg HolderConfig) *Holder {
	return &Holder{cfg: cfg, flows: map[flowKey]*flowState{}}
}

// NewGrantRequest returns a grant request for rates of requests and bytes per
// second under which requests of up to maxRequestBytes must be admitted. A
// larger maxRequestBytes takes up more of the shared limits, because a burst of
// that size is reserved in each second. The duration of the grant starts now, so
// the grant request should be sent immediately.
func (h *Holder) NewGrantRequest(now time.Time, service, from, to string, requestRate, byteRate float64, maxRequestBytes int64) GrantRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = h.advanceClock(now)
	h.lastID++
	k := flowKey{service, from, to}
	state := h.flows[k]
	if state == nil {
		state = &flowState{pending: map[uint64]time.Time{}}
		h.flows[k] = state
	}
	delete(state.pending, h.lastID-maxPendingRequests)
	state.pending[h.lastID] = now
	return GrantRequest{
		Host: h.cfg.Host, Epoch: h.cfg.Epoch, ID: h.lastID,
		Service: service, From: from, To: to, RequestRate: requestRate, ByteRate: byteRate, MaxRequestBytes: float64(maxRequestBytes),
	}
}

// Accept puts a grant into effect. It ignores a grant that is for another
// process, that does not match an outstanding grant request, or that is older
// than the current one. A grant that has expired admits nothing.
func (h *Holder) Accept(now time.Time, g Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = h.advanceClock(now)
	if g.Host != h.cfg.Host || g.Epoch != h.cfg.Epoch || g.Term < h.latestTerm {
		return
	}
	state := h.flows[flowKey{g.Service, g.From, g.To}]
	if state == nil {
		return
	}
	requestedAt, pending := state.pending[g.RequestID]
	if !pending {
		return
	}
	h.latestTerm = g.Term
	state.accept(now, requestedAt, g)
}

func (s *flowState) accept(now, requestedAt time.Time, g Grant) {
	for id := range s.pending {
		if id <= g.RequestID {
			delete(s.pending, id)
		}
	}
	if !now.Before(s.expiresAt) {
		s.requests, s.bytes = bucket{}, bucket{}
	}
	s.expiresAt = requestedAt.Add(usableDuration(g.Duration))
	s.requests.set(now, sanitize(g.RequestRate), minRequestBurst)
	s.bytes.set(now, sanitize(g.ByteRate), sanitize(g.MaxRequestBytes))
}

// usableDuration returns how long a holder may use a grant, given that its clock
// may be slower than the granter's.
func usableDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - MaxClockDrift))
}

// Take reports whether one request of a size in bytes may be sent now and, if
// so, takes its tokens from both buckets of the grant. The request must be sent
// immediately, so call Take right before writing the first byte.
func (h *Holder) Take(now time.Time, service, from, to string, bytes int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = h.advanceClock(now)
	state := h.flows[flowKey{service, from, to}]
	if state == nil || !now.Before(state.expiresAt) {
		return false
	}
	state.requests.refill(now)
	state.bytes.refill(now)
	size := max(float64(bytes), 0)
	if state.requests.tokens < 1 || state.bytes.tokens < size {
		return false
	}
	state.requests.tokens--
	state.bytes.tokens -= size
	return true
}

// Current returns the rates per second of the current grant and its expiry time
// for status output, or zeros if there is no valid grant.
func (h *Holder) Current(now time.Time, service, from, to string) (requestRate, byteRate float64, expiresAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now = h.advanceClock(now)
	state := h.flows[flowKey{service, from, to}]
	if state == nil || !now.Before(state.expiresAt) {
		return 0, 0, time.Time{}
	}
	return state.requests.rate, state.bytes.rate, state.expiresAt
}

// advanceClock returns the latest time seen. If the time went back by more than
// clockStepThreshold, it drops all grants and restarts from now.
func (h *Holder) advanceClock(now time.Time) time.Time {
	if h.latestTime.Sub(now) > clockStepThreshold {
		h.flows = map[flowKey]*flowState{}
		h.latestTime = now
	}
	if now.After(h.latestTime) {
		h.latestTime = now
	}
	return h.latestTime
}

// bucket is a token bucket for requests or bytes. The rate is in tokens per
// second, and the size is burst(rate, minBurst).
type bucket struct {
	rate       float64
	minBurst   float64
	tokens     float64
	refilledAt time.Time
}

// set changes the rate and keeps the tokens up to the new size, so that a
// renewed grant allows no additional burst. A first grant starts without tokens.
func (b *bucket) set(now time.Time, rate, minBurst float64) {
	b.refill(now)
	b.rate, b.minBurst = rate, minBurst
	b.tokens = min(b.tokens, burst(rate, minBurst))
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.tokens+b.rate*now.Sub(b.refilledAt).Seconds(), burst(b.rate, b.minBurst))
	b.refilledAt = now
}
