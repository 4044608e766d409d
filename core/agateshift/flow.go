package agateshift

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// unlimited stands for a rate or pool without a limit. It is finite because
// the difference of two infinities is NaN.
const unlimited = 1e12

// minRequestUsage is the smallest usage that is granted, in requests: a burst of
// one request and a rate of one request in 4 s.
const minRequestUsage = 1.25

// rotationPeriod is how long the same hosts get the shares of a pool that is too
// small for all of them. Then the order of the claims changes.
const rotationPeriod = 10 * time.Second

// processKey identifies one process of an entry host.
type processKey struct {
	host  string
	epoch uint64
}

// flow is the traffic of one service from one region to another.
type flow struct {
	key         flowKey
	destination *destination
	link        *link
	// allowed, requestCap and byteCap are the shift rule; the caps are per
	// second.
	allowed    bool
	requestCap float64
	byteCap    float64
	// requests holds the latest grant request of each process.
	requests map[processKey]*processRequest
	// usages holds the grants of each process that are still counted.
	usages map[processKey]*processUsage
	// expiryQueue holds the same grants in the order of their expiry.
	expiryQueue []*issuedGrant
	// grantedRequests and grantedBytes are the sums of usages, per second.
	grantedRequests float64
	grantedBytes    float64
}

// processRequest is the latest grant request of one process, with its claims in
// the allocations.
type processRequest struct {
	receivedAt      time.Time
	requests        claim
	bytes           claim
	maxRequestBytes float64
}

// minByteUsage returns the smallest usage in bytes that is granted on the flow:
// a burst of one request of the largest size, and a quarter of that as rate.
func (f *flow) minByteUsage() float64 {
	largest := 0.0
	for _, r := range f.requests {
		largest = max(largest, r.maxRequestBytes)
	}
	return largest * minRequestUsage
}

// processUsage is the usage that is accounted to one process: the maximum over
// its grants, because a later grant replaces an earlier one only if the process
// receives it.
type processUsage struct {
	grants   []*issuedGrant
	requests float64
	bytes    float64
	latest   *issuedGrant
}

// issuedGrant is a grant with its usage (see the package comment) in requests
// and bytes per second. It counts against the limits until countedUntil.
type issuedGrant struct {
	process      processKey
	countedUntil time.Time
	requests     float64
	bytes        float64
}

// link is the network connection from one region to another.
type link struct {
	byteCap      float64
	grantedBytes float64
	flows        []*flow
	allocatedAt  time.Time
}

// recordRequest stores a grant request. It reports whether the allocations must
// be recomputed.
func (f *flow) recordRequest(now time.Time, req GrantRequest) (*processRequest, bool) {
	p := processKey{req.Host, req.Epoch}
	r := f.requests[p]
	isNew := r == nil
	if isNew {
		r = &processRequest{}
		f.requests[p] = r
	}
	// Rank the hosts by a hash that changes every rotationPeriod.
	order := xxhash.Sum64String(req.Host) ^ uint64(now.Unix()/int64(rotationPeriod/time.Second))*0x9e3779b97f4a7c15
	r.receivedAt = now
	requests := min(maxPerSecond(sanitize(req.RequestRate), minRequestBurst), unlimited)
	bytes := min(maxPerSecond(sanitize(req.ByteRate), sanitize(req.MaxRequestBytes)), unlimited)
	r.maxRequestBytes = sanitize(req.MaxRequestBytes)
	changed := exceedsHysteresis(r.requests.requested, requests) || exceedsHysteresis(r.bytes.requested, bytes)
	r.requests.requested, r.requests.order = requests, order
	r.bytes.requested, r.bytes.order = bytes, order
	return r, isNew || changed
}

// exceedsHysteresis reports whether a value differs from a reference by more than
// the hysteresis.
func exceedsHysteresis(reference, value float64) bool {
	return value < reference*(1-hysteresis) || value > reference*(1+hysteresis)
}

// dropStaleRequests drops the grant requests received before a time.
func (f *flow) dropStaleRequests(before time.Time) {
	for p, r := range f.requests {
		if r.receivedAt.Before(before) {
			delete(f.requests, p)
		}
	}
}

// issue adds a new grant to the usage of its process.
func (f *flow) issue(g *issuedGrant) {
	u := f.usages[g.process]
	if u == nil {
		u = &processUsage{}
		f.usages[g.process] = u
	}
	u.latest = g
	u.grants = append(u.grants, g)
	f.expiryQueue = append(f.expiryQueue, g)
	f.recalculateUsage(u)
}

// expire removes the grants that are no longer counted.
func (f *flow) expire(now time.Time) {
	for len(f.expiryQueue) > 0 && !now.Before(f.expiryQueue[0].countedUntil) {
		g := f.expiryQueue[0]
		f.expiryQueue = f.expiryQueue[1:]
		u := f.usages[g.process]
		u.grants = u.grants[1:]
		f.recalculateUsage(u)
		if len(u.grants) == 0 {
			delete(f.usages, g.process)
		}
	}
}

// recalculateUsage updates the sums after the grants of a process changed.
func (f *flow) recalculateUsage(u *processUsage) {
	requests, bytes := 0.0, 0.0
	for _, g := range u.grants {
		requests = max(requests, g.requests)
		bytes = max(bytes, g.bytes)
	}
	f.addUsage(requests-u.requests, bytes-u.bytes)
	u.requests, u.bytes = requests, bytes
}

func (f *flow) addUsage(requests, bytes float64) {
	f.grantedRequests += requests
	f.destination.granted += requests
	f.grantedBytes += bytes
	f.link.grantedBytes += bytes
}
