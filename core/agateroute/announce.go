package agateroute

import (
	"net/netip"
	"time"
)

// Announcement is the state that an upstream reports about itself.
type Announcement struct {
	ID UpstreamID
	// Incarnation increases with each start of the upstream process. Sequence
	// starts at 1 and increases with each announcement of one incarnation.
	Incarnation uint64
	Sequence    uint64
	Service     string
	Region      string
	Domain      string
	Address     netip.AddrPort
	// Slots is the number of requests that the upstream executes concurrently.
	Slots int
	// MaxConnections is the number of connections that the upstream accepts from
	// all entry hosts together.
	MaxConnections int
	// Load is the number of requests at the upstream, executing and queued,
	// divided by Slots.
	Load  float64
	State State
	// Age is the time since the upstream sent the announcement. Zero means that
	// it was sent now.
	Age time.Duration
}

// AnnounceResult is the outcome of Table.Announce.
type AnnounceResult uint8

// The results of Table.Announce. Only Accepted changes the table.
const (
	Accepted AnnounceResult = iota
	OldIncarnation
	OldSequence
	Expired // older than the lease duration
	Invalid // a required field is missing or out of range
)

// String returns a short, stable name for logs and replies.
func (r AnnounceResult) String() string {
	switch r {
	case OldIncarnation:
		return "old-incarnation"
	case OldSequence:
		return "old-sequence"
	case Expired:
		return "expired"
	case Invalid:
		return "invalid"
	}
	return "accepted"
}

func (a Announcement) valid() bool {
	return a.ID != "" && a.Service != "" && a.Region != "" && a.Address.IsValid() &&
		a.Slots > 0 && a.MaxConnections > 0 && a.State <= Leaving && a.Load >= 0 && a.Age >= 0
}

// Announce applies an announcement received from an upstream or relayed by a
// peer. Announcements are ordered by (incarnation, sequence), regardless of
// the order of arrival.
func (t *Table) Announce(now time.Time, a Announcement) AnnounceResult {
	if !a.valid() {
		return Invalid
	}
	if a.Age > t.cfg.leaseDuration() {
		return Expired
	}
	u := t.upstreams[a.ID]
	if r := t.checkOrder(u, a); r != Accepted {
		return r
	}
	t.version++
	if u == nil {
		u = t.insert(a)
	}
	t.apply(now, u, a)
	return Accepted
}

// checkOrder reports whether an announcement is newer than the last one applied
// for the same upstream, including one that has been removed.
func (t *Table) checkOrder(u *upstream, a Announcement) AnnounceResult {
	known := t.tombstones[a.ID]
	if u != nil {
		known = tombstone{incarnation: u.announcement.Incarnation, sequence: u.announcement.Sequence}
	} else if known.removedAt.IsZero() {
		return Accepted
	}
	if a.Incarnation < known.incarnation {
		return OldIncarnation
	}
	if a.Incarnation == known.incarnation && a.Sequence <= known.sequence {
		return OldSequence
	}
	return Accepted
}

// insert adds an empty row for a new upstream.
func (t *Table) insert(a Announcement) *upstream {
	u := &upstream{id: a.ID}
	t.upstreams[a.ID] = u
	t.upstreamOrder = append(t.upstreamOrder, u)
	delete(t.tombstones, a.ID)
	for _, p := range t.peers {
		u.peerInFlight += p.counts[a.ID] // added to the group's total once the upstream is usable
	}
	return u
}

// apply overwrites a row with a newer announcement.
func (t *Table) apply(now time.Time, u *upstream, a Announcement) {
	restarted := a.Incarnation > u.announcement.Incarnation || u.announcement.ID == ""
	if restarted {
		u.reset(a)
	}
	t.assignGroup(u, a)
	u.announcement = a
	u.announcement.Age = 0
	u.announcedAt = now.Add(-a.Age)
	u.addr = a.Address
	u.slots = float64(a.Slots)
	u.reportedLoad = a.Load
	u.version = t.version
	u.leaseExpired = false
	t.applyRules(u)
	t.updateDrain(now, u)
}

// assignGroup moves a row to the group of its service and region.
func (t *Table) assignGroup(u *upstream, a Announcement) {
	g := t.group(t.service(a.Service), a.Region)
	if u.group == g {
		return
	}
	if u.group != nil {
		u.group.remove(u)
	}
	g.add(u)
}

// reset clears the measurements of the previous incarnation. Requests in flight
// stay counted until they finish.
func (u *upstream) reset(a Announcement) {
	u.latency, u.remeasures = ewma{}, false
	if u.group != nil {
		u.clearFailures()
	}
	u.ejection = ejection{}
	u.pausedUntil = time.Time{}
	u.leaving = false
	u.drainSince = time.Time{}
	u.drainDone = false
	u.ramp.start(a.Sequence)
}
