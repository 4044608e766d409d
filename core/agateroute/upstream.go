package agateroute

import (
	"net/netip"
	"time"

	"agategate/core/agateinventory"
)

// UpstreamID is the stable identity of an upstream.
type UpstreamID string

// State is what an upstream says about itself.
type State uint8

// The states of an upstream.
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
	id    UpstreamID
	addr  netip.AddrPort
	group *group
	last  Announcement
	// heard is when the last announcement left the upstream, by this clock.
	heard   time.Time
	version uint64
	lapsed  bool

	// own is the number of requests in flight from this entry host, and peers
	// that of the others that are at the upstream as last reported.
	own     int
	peers   float64
	share   int // connections of this entry host
	alone   int // suspects in flight
	slots   float64
	counted float64 // part of the group's slots
	report  float64 // reported requests per slot

	latency ewma // seconds per answer, corrected for queueing
	seen    time.Time

	ramp       ramp
	eject      ejection
	ejected    bool // as of the last tick
	failures   int
	probeAt    time.Time
	hold       [2]time.Time // by class: no new work until then
	retired    bool
	near       bool // in the failure domain of this entry host
	drains     []staged
	drainSince time.Time // zero while no drain runs
	drainDone  bool
}

// staged is an operator's drain of a share of the requests.
type staged struct {
	share float64
	salt  uint64
}

// keeps reports whether the drain keeps the request with this hash away. The
// hash decides alone, so every entry host agrees, and a drain of a region
// keeps the same requests from each of its upstreams.
func (s staged) keeps(hash uint64) bool {
	mixed := (hash ^ s.salt) * 0x9e3779b97f4a7c15
	mixed ^= mixed >> 32
	mixed *= 0x9e3779b97f4a7c15
	return float64(mixed>>11)/(1<<53) < s.share
}

// ewma is an exponentially weighted mean.
type ewma struct {
	mean float64
	n    int
}

// add weighs x with 1/window, or with 1/n for the first answers.
func (e *ewma) add(x float64, window int) {
	e.n = min(e.n+1, window)
	e.mean += (x - e.mean) / float64(e.n)
}

// working reports whether the upstream takes new work by its own word and by
// the rules, apart from staged drains.
func (u *upstream) working() bool {
	return u.last.State == Up && !u.retired && !u.lapsed && !u.ordered()
}

// ordered reports whether an operator drains the upstream completely.
func (u *upstream) ordered() bool {
	for _, s := range u.drains {
		if s.share >= 1 {
			return true
		}
	}
	return false
}

// keptAway reports whether a staged drain keeps a request from the upstream.
func (u *upstream) keptAway(hash uint64) bool {
	for _, s := range u.drains {
		if s.keeps(hash) {
			return true
		}
	}
	return false
}

// held reports whether the upstream's Retry-After forbids this class now.
func (u *upstream) held(now time.Time, c agateinventory.Class) bool {
	return now.Before(u.hold[c&1])
}

// clearFailures forgets failures in a row.
func (u *upstream) clearFailures() {
	if u.failures > 0 {
		u.group.failed--
	}
	u.failures = 0
	u.group.recount(u)
}

// addFailure counts a failure.
func (u *upstream) addFailure() {
	if u.failures == 0 {
		u.group.failed++
	}
	u.failures++
	u.group.recount(u)
}
