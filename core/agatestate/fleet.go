package agatestate

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxUpstreams bounds the upstreams of one Announce.
	MaxUpstreams = 4096
	// fleetRows bounds the upstreams that are remembered, gone ones included.
	fleetRows = 65536
	// goneAge is how long an upstream that left is remembered, so that a
	// delayed announcement does not bring it back.
	goneAge = 2 * time.Minute
	// returnCold is how long the upstreams of a failure domain count as cold
	// after its evacuation ended, unless they announce otherwise: three
	// heartbeats and a margin. They may have cooled down without a restart.
	returnCold = 5 * time.Second
)

// Upstream is what the group knows of one upstream.
type Upstream struct {
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Born is the start of the upstream's process in Unix milliseconds, by
	// its own clock. Together with Sequence it orders announcements.
	Born     int64
	Sequence uint64
	// Draining means that it takes no new work.
	Draining bool
	// Gone means that it left or was given up on. With Sequence 0 it ends the
	// process that is known; Born 0 then means whichever that is.
	Gone bool
	// Cold is how much longer it stays cold, counted from the command.
	Cold time.Duration
	// Lapsed, with Gone, means that it was given up on for its silence. Hosts
	// to which it still answers go on to use it, a later announcement of the
	// same process brings it back, and its last word ends it for good.
	Lapsed bool
}

// newer reports whether u was announced after old by the same upstream.
func (u *Upstream) newer(old *Upstream) bool {
	if u.Born != old.Born {
		return u.Born > old.Born
	}
	return u.Sequence > old.Sequence
}

// leaves reports whether u is the last word of a process, which comes without
// a sequence, and without the process's start from some upstreams.
func (u *Upstream) leaves() bool { return u.Gone && u.Sequence == 0 }

// Announce takes in announcements of upstreams. One that is not newer than
// what is known, or that names an address at which a later process started,
// changes nothing. Verdict: Accepted, with Count set to the number of rows
// that changed; Full, when some upstream found no room.
type Announce struct {
	Upstreams []Upstream
}

// Evacuate keeps new work away from a failure domain, or ends that. Verdict:
// Accepted.
type Evacuate struct {
	Domain string
	On     bool
}

// fleetRow is one upstream with the log index and state time of its last
// change.
type fleetRow struct {
	up    Upstream
	index uint64
	at    int64
}

// fleet is the upstreams and the failure domains that are evacuated.
type fleet struct {
	rows      map[string]*fleetRow
	addresses map[netip.AddrPort]*fleetRow // of rows that are not gone for good
	evacuated []string                     // sorted
	index     uint64                       // of the last change
	dropped   uint64                       // highest index of a forgotten row
}

func newFleet() fleet {
	return fleet{rows: map[string]*fleetRow{}, addresses: map[netip.AddrPort]*fleetRow{}}
}

// FleetDelta is what changed in the fleet after a log index.
type FleetDelta struct {
	// Index is the log index of the newest change.
	Index uint64
	// Whole means that Upstreams is the whole fleet.
	Whole bool
	// Upstreams has the rows that changed; Cold is what is left of it.
	Upstreams []Upstream
	// Evacuated is the whole list of evacuated failure domains.
	Evacuated []string
}

// Fleet returns what changed after a log index; 0 asks for everything.
func (m *Machine) Fleet(since uint64) FleetDelta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f := &m.fleet
	d := FleetDelta{Index: f.index, Evacuated: slices.Clone(f.evacuated)}
	d.Whole = since == 0 || since < f.dropped
	for _, row := range f.rows {
		if row.index <= since && !d.Whole {
			continue
		}
		d.Upstreams = append(d.Upstreams, m.aged(row))
	}
	return d
}

// FleetIndex returns the log index of the newest change of the fleet.
func (m *Machine) FleetIndex() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.fleet.index
}

// Upstream returns what is known of an upstream.
func (m *Machine) Upstream(id string) (Upstream, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	row := m.fleet.rows[id]
	if row == nil {
		return Upstream{}, false
	}
	return m.aged(row), true
}

// aged returns the row's upstream with what is left of its cold time.
func (m *Machine) aged(row *fleetRow) Upstream {
	up := row.up
	up.Cold = max(0, up.Cold-duration(m.now-row.at))
	return up
}

func (m *Machine) announce(c *Announce) Result {
	m.dropGone()
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
	if up.leaves() {
		if old == nil || (up.Born != 0 && up.Born < old.up.Born) {
			return false, true
		}
		if old.up.Gone && (!old.up.Lapsed || up.Lapsed) {
			return false, true
		}
		old.up.Gone = true
		old.up.Lapsed = up.Lapsed
		m.touch(old)
		return true, true
	}
	if old != nil && !up.newer(&old.up) {
		return false, true
	}
	if old != nil && old.up.Gone && !old.up.Lapsed && old.up.Born == up.Born {
		return false, true // a delayed announcement of a process that left
	}
	holder := f.addresses[up.Address]
	if !up.Gone && holder != nil && holder.up.ID != up.ID {
		if holder.up.Born > up.Born {
			return false, true // a later process has the address
		}
		holder.up.Gone = true
		holder.up.Lapsed = false
		m.touch(holder)
	}
	if old == nil {
		if len(f.rows) >= fleetRows {
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
	m.touch(old)
	return true, true
}

// touch marks a row as changed by the current command.
func (m *Machine) touch(row *fleetRow) {
	row.index = m.index
	row.at = m.now
	m.fleet.index = m.index
	if row.up.Gone && !row.up.Lapsed && m.fleet.addresses[row.up.Address] == row {
		delete(m.fleet.addresses, row.up.Address)
	}
}

// dropGone forgets upstreams that left long ago.
func (m *Machine) dropGone() {
	f := &m.fleet
	for id, row := range f.rows {
		if !row.up.Gone || m.now-row.at <= millis(goneAge) {
			continue
		}
		if row.up.Lapsed {
			row.up.Lapsed = false // hosts are told that it is gone for good
			m.touch(row)
		} else {
			f.dropped = max(f.dropped, row.index)
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
		m.cool(c.Domain)
	}
	return Result{Verdict: Accepted}
}

// cool takes the upstreams of a failure domain for cold.
func (m *Machine) cool(domain string) {
	for _, row := range m.fleet.rows {
		if row.up.Domain != domain || row.up.Gone {
			continue
		}
		row.up.Cold = max(returnCold, m.aged(row).Cold)
		m.touch(row)
	}
}

func (c *Announce) valid() bool {
	if len(c.Upstreams) == 0 || len(c.Upstreams) > MaxUpstreams {
		return false
	}
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		if !name(u.ID) || len(u.Service) > MaxName || len(u.Domain) > MaxName || u.Slots < 0 || u.Cold < 0 {
			return false
		}
		if !u.Gone && (!u.Address.IsValid() || u.Service == "") {
			return false
		}
	}
	return true
}

func (c *Evacuate) valid() bool { return name(c.Domain) }
