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
	// demands holds the latest grant request of each process.
	demands map[processKey]*processDemand
	// usages holds the grants of each process that are still counted.
	usages map[processKey]*processUsage
	// expiryQueue holds the same grants in the order of their expiry.
	expiryQueue []*issuedGrant
	// grantedRequests and grantedBytes are the sums of usages, per second.
	grantedRequests float64
	grantedBytes    float64
}

// processDemand is the latest grant request of one process, with its claims in
// the allocations.
type processDemand struct {
	receivedAt      time.Time
	requests        claim
	bytes           claim
	maxRequestBytes float64
}

// minByteUsage returns the smallest usage in bytes that is granted on the flow:
// a burst of one request of the largest size, and a quarter of that as rate.
func (f *flow) minByteUsage() float64 {
	largest := 0.0
	for _, d := range f.demands {
		largest = max(largest, d.maxRequestBytes)
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

// issuedGrant is one grant as usage per second. It is counted until
// countedUntil.
type issuedGrant struct {
	process      processKey
	countedUntil time.Time
	requests     float64
	bytes        float64
}

// link is the connection between two regions.
type link struct {
	byteCap      float64
	grantedBytes float64
	flows        []*flow
	allocatedAt  time.Time
}

// recordRequest stores a grant request. It reports whether the allocations must
// be recomputed.
func (f *flow) recordRequest(now time.Time, req GrantRequest) (*processDemand, bool) {
	p := processKey{req.Host, req.Epoch}
	d := f.demands[p]
	isNew := d == nil
	if isNew {
		d = &processDemand{}
		f.demands[p] = d
	}
	order := xxhash.Sum64String(req.Host) ^ uint64(now.Unix()/int64(rotationPeriod/time.Second))*0x9e3779b97f4a7c15
	d.receivedAt = now
	requests := min(maxPerSecond(validRate(req.RequestRate), minRequestBurst), unlimited)
	bytes := min(maxPerSecond(validRate(req.ByteRate), validRate(req.MaxRequestBytes)), unlimited)
	d.maxRequestBytes = validRate(req.MaxRequestBytes)
	changed := exceedsHysteresis(d.requests.requested, requests) || exceedsHysteresis(d.bytes.requested, bytes)
	d.requests.requested, d.requests.order = requests, order
	d.bytes.requested, d.bytes.order = bytes, order
	return d, isNew || changed
}

// exceedsHysteresis reports whether current differs from old by more than the
// hysteresis.
func exceedsHysteresis(old, current float64) bool {
	return current < old*(1-hysteresis) || current > old*(1+hysteresis)
}

// dropStaleRequests drops the grant requests received before a time.
func (f *flow) dropStaleRequests(before time.Time) {
	for p, d := range f.demands {
		if d.receivedAt.Before(before) {
			delete(f.demands, p)
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
