package agatestate

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxUpstreams bounds the upstreams of one Announce.
	MaxUpstreams = 4096
	// maxFleetRows bounds the upstreams that are kept, including those that are
	// gone.
	maxFleetRows = 65536
	// goneRetention is how long an upstream that left is kept, so that a
	// delayed announcement does not add it again.
	goneRetention = 2 * time.Minute
	// coldAfterEvacuation is how long the upstreams of a failure domain count
	// as cold after its evacuation ended, unless they announce otherwise: three
	// heartbeats and a margin. Without traffic they may have become cold
	// without a restart.
	coldAfterEvacuation = 5 * time.Second
)

// Upstream is the state of one upstream as known to the control group.
type Upstream struct {
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// StartMs is the start time of the upstream's process in Unix milliseconds,
	// by its own clock. Announcements are ordered by StartMs and then by
	// Sequence.
	StartMs  int64
	Sequence uint64
	// Draining means that the upstream accepts no new requests.
	Draining bool
	// Gone means that the upstream left or that its heartbeats timed out. With
	// Sequence 0 it ends the known process; StartMs 0 then matches any process.
	Gone bool
	// ColdFor is how long the upstream stays cold, counted from the command.
	ColdFor time.Duration
	// Lapsed, together with Gone, means that the heartbeats of the upstream
	// timed out. Hosts that still get answers from it continue to use it. A
	// later announcement of the same process brings it back, and a departure
	// message removes it permanently.
	Lapsed bool
}

// newer reports whether the same upstream announced u after old.
func (u *Upstream) newer(old *Upstream) bool {
	if u.StartMs != old.StartMs {
		return u.StartMs > old.StartMs
	}
	return u.Sequence > old.Sequence
}

// isDeparture reports whether u is the departure message of a process. It has
// no sequence, and from some upstreams no start time.
func (u *Upstream) isDeparture() bool { return u.Gone && u.Sequence == 0 }

// Announce applies announcements of upstreams. An announcement that is not
// newer than the known state, or whose address belongs to a process that
// started later, has no effect. Verdicts: Accepted, with Count set to the
// number of rows that changed; Full if there was no room for some upstream.
type Announce struct {
	Upstreams []Upstream
}

// Evacuate starts or ends the evacuation of a failure domain, which keeps new
// requests away from it. Verdict: Accepted.
type Evacuate struct {
	Domain string
	On     bool
}

// fleetRow is one upstream with the log index and the state time of its last
// change.
type fleetRow struct {
	up        Upstream
	index     uint64
	changedAt int64
}

// fleet holds the upstreams and the evacuated failure domains.
type fleet struct {
	rows         map[string]*fleetRow
	addresses    map[netip.AddrPort]*fleetRow // rows that are not gone, or lapsed
	evacuated    []string                     // sorted
	index        uint64                       // of the last change
	droppedIndex uint64                       // highest index of a deleted row
}

func newFleet() fleet {
	return fleet{rows: map[string]*fleetRow{}, addresses: map[netip.AddrPort]*fleetRow{}}
}

// FleetDelta holds the changes of the fleet after a log index.
type FleetDelta struct {
	// Index is the log index of the newest change.
	Index uint64
	// Full means that Upstreams lists the whole fleet.
	Full bool
	// Upstreams lists the rows that changed; ColdFor is the remaining time.
	Upstreams []Upstream
	// Evacuated always lists all evacuated failure domains.
	Evacuated []string
}

// Fleet returns the changes after a log index; 0 returns the whole fleet.
func (m *Machine) Fleet(since uint64) FleetDelta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f := &m.fleet
	d := FleetDelta{Index: f.index, Evacuated: slices.Clone(f.evacuated)}
	d.Full = since == 0 || since < f.droppedIndex
	for _, row := range f.rows {
		if row.index <= since && !d.Full {
			continue
		}
		d.Upstreams = append(d.Upstreams, m.withColdLeft(row))
	}
	return d
}

// FleetIndex returns the log index of the newest change of the fleet.
func (m *Machine) FleetIndex() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.fleet.index
}

// Upstream returns the state of an upstream and whether it is known.
func (m *Machine) Upstream(id string) (Upstream, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	row := m.fleet.rows[id]
	if row == nil {
		return Upstream{}, false
	}
	return m.withColdLeft(row), true
}

// withColdLeft returns the upstream of a row with its remaining cold time.
func (m *Machine) withColdLeft(row *fleetRow) Upstream {
	up := row.up
	up.ColdFor = max(0, up.ColdFor-duration(m.now-row.changedAt))
	return up
}

func (m *Machine) announce(c *Announce) Result {
	m.expireGone()
	r := Result{Verdict: Accepted}
	for i := range c.Upstreams {
		changed, room := m.announceOne(&c.Upstreams[i])
		if changed {
			r.Count++
		}
		if !room {
			r.Verdict = Full
		}
	}
	return r
}

func (m *Machine) announceOne(up *Upstream) (changed, room bool) {
	f := &m.fleet
	old := f.rows[up.ID]
	if up.isDeparture() {
		if old == nil || (up.StartMs != 0 && up.StartMs < old.up.StartMs) {
			return false, true
		}
		if old.up.Gone && (!old.up.Lapsed || up.Lapsed) {
			return false, true
		}
		old.up.Gone = true
		old.up.Lapsed = up.Lapsed
		m.markChanged(old)
		return true, true
	}
	if old != nil && !up.newer(&old.up) {
		return false, true
	}
	if old != nil && old.up.Gone && !old.up.Lapsed && old.up.StartMs == up.StartMs {
		return false, true // a delayed announcement of a process that left
	}
	owner := f.addresses[up.Address]
	if !up.Gone && owner != nil && owner.up.ID != up.ID {
		if owner.up.StartMs > up.StartMs {
			return false, true // the address belongs to a process that started later
		}
		owner.up.Gone = true
		owner.up.Lapsed = false
		m.markChanged(owner)
	}
	if old == nil {
		if len(f.rows) >= maxFleetRows {
			return false, false
		}
		old = &fleetRow{}
		f.rows[up.ID] = old
	} else if f.addresses[old.up.Address] == old {
		delete(f.addresses, old.up.Address)
	}
	old.up = *up
	if !up.Gone {
		f.addresses[up.Address] = old
	}
	m.markChanged(old)
	return true, true
}

// markChanged marks a row as changed by the current command.
func (m *Machine) markChanged(row *fleetRow) {
	row.index = m.index
	row.changedAt = m.now
	m.fleet.index = m.index
	if row.up.Gone && !row.up.Lapsed && m.fleet.addresses[row.up.Address] == row {
		delete(m.fleet.addresses, row.up.Address)
	}
}

// expireGone deletes upstreams that left more than goneRetention ago. Lapsed
// ones first become permanently gone.
func (m *Machine) expireGone() {
	f := &m.fleet
	for id, row := range f.rows {
		if !row.up.Gone || m.now-row.changedAt <= millis(goneRetention) {
			continue
		}
		if row.up.Lapsed {
			row.up.Lapsed = false // report it as permanently gone first
			m.markChanged(row)
		} else {
			f.droppedIndex = max(f.droppedIndex, row.index)
			delete(f.rows, id)
		}
	}
}

func (m *Machine) evacuate(c *Evacuate) Result {
	f := &m.fleet
	i, found := slices.BinarySearch(f.evacuated, c.Domain)
	switch {
	case c.On && !found:
		f.evacuated = slices.Insert(f.evacuated, i, c.Domain)
		f.index = m.index
	case !c.On && found:
		f.evacuated = slices.Delete(f.evacuated, i, i+1)
		f.index = m.index
		m.markCold(c.Domain)
	}
	return Result{Verdict: Accepted}
}

// markCold marks the upstreams of a failure domain as cold.
func (m *Machine) markCold(domain string) {
	for _, row := range m.fleet.rows {
		if row.up.Domain != domain || row.up.Gone {
			continue
		}
		row.up.ColdFor = max(coldAfterEvacuation, m.withColdLeft(row).ColdFor)
		m.markChanged(row)
	}
}

func (c *Announce) valid() bool {
	if len(c.Upstreams) == 0 || len(c.Upstreams) > MaxUpstreams {
		return false
	}
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		if !validName(u.ID) || len(u.Service) > MaxNameLen || len(u.Domain) > MaxNameLen || u.Slots < 0 || u.ColdFor < 0 {
			return false
		}
		if !u.Gone && (!u.Address.IsValid() || u.Service == "") {
			return false
		}
	}
	return true
}

func (c *Evacuate) valid() bool { return validName(c.Domain) }
