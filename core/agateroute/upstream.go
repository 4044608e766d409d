package agateroute

import (
	"net/netip"
	"time"
)

// UpstreamID is the stable identity of an upstream.
type UpstreamID string

// State is the lifecycle state that an upstream announces.
type State uint8

// The states of an upstream. Only Up accepts new requests. Draining finishes the
// requests in flight, and Leaving is about to stop.
const (
	Up State = iota
	Draining
	Leaving
)

// String returns "up", "draining" or "leaving".
func (s State) String() string {
	switch s {
	case Draining:
		return "draining"
	case Leaving:
		return "leaving"
	}
	return "up"
}

// upstream is one row of the table.
type upstream struct {
	id           UpstreamID
	addr         netip.AddrPort
	group        *group
	announcement Announcement
	// announcedAt is when the upstream sent its last announcement, by the local
	// clock.
	announcedAt  time.Time
	version      uint64
	leaseExpired bool

	// ownInFlight is the number of requests in flight from this entry host.
	// peerInFlight is the number from the others at the upstream, as last
	// reported.
	ownInFlight  int
	peerInFlight float64
	maxConns     int // connections available to this entry host
	suspects     int // suspect requests in flight
	slots        float64
	countedSlots float64 // contribution to the slots of the group
	reportedLoad float64 // reported requests per slot

	latency      ewma // seconds per request, without the estimated queueing
	lastResponse time.Time
	remeasures   bool // the first response replaces the latencies of the group, see Table.remeasure

	ramp         ramp
	ejection     ejection
	ejected      bool // set by an ejection, cleared by the first Tick after its end
	failures     int
	nextProbe    time.Time
	pausedUntil  time.Time // no new requests before this time, see Observation.RetryAfter
	leaving      bool      // a response of this incarnation said so
	retired      bool
	sameDomain   bool // in the failure domain of this entry host
	stagedDrains []stagedDrain
	drainSince   time.Time // zero while no drain is in progress
	drainDone    bool
}

// stagedDrain is an operator's drain of a share of the requests.
type stagedDrain struct {
	share float64
	salt  uint64 // hash of Drain.Name, so that different drains exclude different requests
}

// excludes reports whether the drain excludes the request with the given hash.
// The decision depends only on the hash and on the salt and share of the drain, so
// all entry hosts agree, and the drain of a region excludes the same requests from
// each of its upstreams.
func (s stagedDrain) excludes(hash uint64) bool {
	// Multiplicative hashing. The upper 53 bits give a uniform value in [0, 1).
	mixed := (hash ^ s.salt) * 0x9e3779b97f4a7c15
	mixed ^= mixed >> 32
	mixed *= 0x9e3779b97f4a7c15
	return float64(mixed>>11)/(1<<53) < s.share
}

// ewma is an exponentially weighted moving average.
type ewma struct {
	mean    float64
	samples int
}

// add adds a value with weight 1/window, or 1/n for the first n < window values.
func (e *ewma) add(value float64, window int) {
	e.samples = min(e.samples+1, window)
	e.mean += (value - e.mean) / float64(e.samples)
}

// acceptsWork reports whether the upstream accepts new requests according to its
// announced state, its responses, its lease and the operators' rules, apart from staged drains.
func (u *upstream) acceptsWork() bool {
	return u.announcement.State == Up && !u.leaving && !u.retired && !u.leaseExpired && !u.fullyDrained()
}

// fullyDrained reports whether an operator drains the whole upstream.
func (u *upstream) fullyDrained() bool {
	for _, s := range u.stagedDrains {
		if s.share >= 1 {
			return true
		}
	}
	return false
}

// drainExcludes reports whether a staged drain excludes the request with the
// given hash.
func (u *upstream) drainExcludes(hash uint64) bool {
	for _, s := range u.stagedDrains {
		if s.excludes(hash) {
			return true
		}
	}
	return false
}

// paused reports whether the upstream wants no requests from this host.
func (u *upstream) paused(now time.Time) bool { return now.Before(u.pausedUntil) }

// clearFailures resets the consecutive failures.
func (u *upstream) clearFailures() {
	if u.failures > 0 {
		u.group.failedUpstreams--
	}
	u.failures = 0
	u.group.updateTotals(u)
}

// addFailure counts a consecutive failure.
func (u *upstream) addFailure() {
	if u.failures == 0 {
		u.group.failedUpstreams++
	}
	u.failures++
	u.group.updateTotals(u)
}
