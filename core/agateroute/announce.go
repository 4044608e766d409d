package agateroute

import (
	"net/netip"
	"time"
)

// Announcement is what an upstream says about itself.
type Announcement struct {
	ID UpstreamID
	// Incarnation grows with each start of the upstream, and Sequence, from
	// 1, with each announcement of one incarnation.
	Incarnation uint64
	Sequence    uint64
	Service     string
	Region      string
	Domain      string
	Address     netip.AddrPort
	// Slots is the number of requests that the upstream executes at once.
	Slots int
	// Connections is the number that it accepts from all entry hosts.
	Connections int
	// Load is the number of requests that it holds per slot.
	Load  float64
	State State
	// Age is how long ago the upstream sent it. Zero means now.
	Age time.Duration
}

// Receipt says what became of an announcement.
type Receipt uint8

// The receipts. Only Accepted changes the table.
const (
	Accepted Receipt = iota
	OldIncarnation
	OldSequence
	Expired // older than the lease
	Invalid // no identity, service, region, address, slots or connections
)

// String returns a short stable word.
func (r Receipt) String() string {
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
		a.Slots > 0 && a.Connections > 0 && a.State <= Leaving && a.Load >= 0 && a.Age >= 0
}

// Announce takes an announcement from an upstream or by way of a peer. Order
// is by (incarnation, sequence), whatever the order of arrival.
func (t *Table) Announce(now time.Time, a Announcement) Receipt {
	if !a.valid() {
		return Invalid
	}
	if a.Age > t.cfg.lease() {
		return Expired
	}
	u := t.upstreams[a.ID]
	if r := t.compare(u, a); r != Accepted {
		return r
	}
	t.version++
	if u == nil {
		u = t.insert(a)
	}
	t.accept(now, u, a)
	return Accepted
}

// compare tells an announcement that is news from one that is not.
func (t *Table) compare(u *upstream, a Announcement) Receipt {
	known := t.gone[a.ID]
	if u != nil {
		known = mark{incarnation: u.last.Incarnation, sequence: u.last.Sequence}
	} else if known.at.IsZero() {
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

// insert adds a row without contents.
func (t *Table) insert(a Announcement) *upstream {
	u := &upstream{id: a.ID}
	t.upstreams[a.ID] = u
	t.order = append(t.order, u)
	delete(t.gone, a.ID)
	for _, p := range t.peers {
		u.peers += p.counts[a.ID] // not counted in the group until it is usable
	}
	return u
}

// accept replaces the contents of a row.
func (t *Table) accept(now time.Time, u *upstream, a Announcement) {
	restarted := a.Incarnation > u.last.Incarnation || u.last.ID == ""
	if restarted {
		u.restart(a)
	}
	t.place(u, a)
	u.last = a
	u.last.Age = 0
	u.heard = now.Add(-a.Age)
	u.addr = a.Address
	u.slots = float64(a.Slots)
	u.report = a.Load
	u.version = t.version
	u.lapsed = false
	t.applyRules(u)
	t.noteDrain(now, u)
}

// place moves a row to the group of its service and region.
func (t *Table) place(u *upstream, a Announcement) {
	g := t.group(t.service(a.Service), a.Region)
	if u.group == g {
		return
	}
	if u.group != nil {
		u.group.remove(u)
	}
	g.add(u)
}

// restart forgets what was measured of an earlier incarnation. Requests in
// flight stay counted until they are finished.
func (u *upstream) restart(a Announcement) {
	u.latency = ewma{}
	if u.group != nil {
		u.clearFailures()
	}
	u.eject = ejection{}
	u.hold = [2]time.Time{}
	u.drainSince = time.Time{}
	u.drainDone = false
	u.ramp.start(a.Sequence)
}
