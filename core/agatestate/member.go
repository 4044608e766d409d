package agatestate

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Announcements carry no proof of who sent them: another writer may copy the id, the
// address, the start time and the sequence of an upstream. Machine.judge therefore
// decides what an announcement may change, by one rule: a member loses its place by its
// own word, by its silence, or by an operator's order. docs/design/membership.md has the
// table.

const (
	// claimDelay is how long the sender of announcements that contradict a member must
	// go on until these are believed, if nobody speaks for the member meanwhile: the
	// member itself, or a replica that has heard it of late. It leaves the replicas the
	// time to learn of the claim and to answer it.
	claimDelay = time.Second
	// defenceWindow is how long a contested announcement with the id of a member, from
	// the member's address, keeps other ids from taking the address. It is longer than a
	// heartbeat interval and its jitter.
	defenceWindow = 2 * time.Second
	// rejoinDelay is the same for a process that has deregistered. It may go on to
	// serve, and to announce itself, for many seconds after that.
	rejoinDelay = 20 * time.Second
	// claimRetention is how long a claim is kept after its last announcement.
	claimRetention = 30 * time.Second
	// maxClaims bounds the claims that are kept.
	maxClaims = 1024
	// coldTolerance is the difference between the announced and the known warm-up time
	// of an upstream from which the announcement counts as a change. State time advances
	// in steps of up to one second.
	coldTolerance = 1500 * time.Millisecond
)

// Standing is what an announcement means for the fleet.
type Standing uint8

const (
	// Changing means that the announcement adds a member or changes it.
	Changing Standing = iota
	// Confirming means that the announcement is of a member and changes nothing.
	Confirming
	// Contested means that the announcement contradicts a member, or a process that has
	// ended. It changes nothing unless its sender goes on while the member is silent.
	Contested
	// Rejected means that the announcement contradicts what is kept, and is for a service
	// that the configuration does not name: it changes nothing, however long its sender
	// goes on.
	Rejected
)

// judgement is the decision on one announcement.
type judgement struct {
	standing Standing
	// reason says what the announcement contradicts, if it is contested.
	reason string
	// holders are the live members that it contradicts, delay the time for which they
	// must be silent.
	holders []*fleetEntry
	delay   time.Duration
	// suspends is set if the announcement is of a process that seems to run in place of
	// the member with the same id: the member gets no new requests until it announces
	// itself again, because the process might run them.
	suspends bool
}

func (j *judgement) contest(reason string, holders ...*fleetEntry) {
	if j.standing != Contested {
		j.standing, j.reason, j.delay = Contested, reason, claimDelay
	}
	for _, h := range holders {
		if !h.upstream.Gone {
			j.holders = append(j.holders, h)
		}
	}
}

// Claims returns the number of claims, answered or not.
func (m *Machine) Claims() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.fleet.claims)
}

// ClaimedMembers returns the members against which there are claims that nobody has
// answered. A replica that has heard one of them of late answers for it by announcing it
// once more, unchanged.
func (m *Machine) ClaimedMembers() []Upstream {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if len(m.fleet.claims) == 0 {
		return nil
	}
	var out []Upstream
	for _, e := range m.fleet.upstreams {
		if !e.upstream.Gone && m.claimed(e) {
			out = append(out, m.withWarmupLeft(e))
		}
	}
	return out
}

// Judge returns the standing of an announcement, and what it contradicts if it is
// contested. A member's announcement that confirms it must still be applied if it
// answers a claim; settles reports that.
func (m *Machine) Judge(up *Upstream) (s Standing, reason string, settles bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	j := m.judge(up)
	return j.standing, j.reason, j.standing == Confirming && m.claimed(m.fleet.upstreams[up.ID])
}

// judge decides what an announcement that does not end its process may change.
func (m *Machine) judge(up *Upstream) judgement {
	f := &m.fleet
	var j judgement
	known := f.upstreams[up.ID]
	if owner := f.addresses[up.Address]; owner != nil && owner != known {
		m.judgeAddress(&j, owner, up)
	}
	if known != nil {
		m.judgeID(&j, known, up)
	}
	if j.standing == Contested && !m.names(up.Service) {
		j.standing = Rejected
	}
	return j
}

// judgeAddress decides on an announcement at the address of a process with another id.
func (m *Machine) judgeAddress(j *judgement, owner *fleetEntry, up *Upstream) {
	o := &owner.upstream
	r, ofOwner := m.rankOfAnnouncement(up), m.rankOf(owner)
	switch {
	case r > ofOwner:
		// The owner holds no place against it.
	case !o.Gone, r < ofOwner:
		j.contest("address in use", owner)
	case o.StartedAtMs > up.StartedAtMs:
		j.contest("address of a later process")
	}
}

// judgeID decides on an announcement whose id is known.
func (m *Machine) judgeID(j *judgement, known *fleetEntry, up *Upstream) {
	k := &known.upstream
	r, ofKnown := m.rankOfAnnouncement(up), m.rankOf(known)
	switch {
	case k.Service == "":
		judgeEnded(j, known, up)
	case r > ofKnown:
		// The process with its id holds no place against it.
	case r < ofKnown:
		j.contest("id in use", known)
	case known.displaced && up.newer(k):
		// It was there before the process that has taken its address.
	case up.StartedAtMs == k.StartedAtMs:
		m.judgeProcess(j, known, up)
	case up.StartedAtMs < k.StartedAtMs:
		j.contest("id of a later process", known)
	case k.Gone, k.samePlace(up) && !up.Draining:
		// A restart after the end of the process, or in place.
	default:
		j.contest("id in use", known)
		j.suspends = k.Address == up.Address && m.names(up.Service)
	}
}

// judgeEnded decides on an announcement whose id is known only by a deregistration. One
// that does not tell its start time is of any process without one.
func judgeEnded(j *judgement, ended *fleetEntry, up *Upstream) {
	switch start := ended.upstream.StartedAtMs; {
	case up.StartedAtMs > start:
		// A later process.
	case up.StartedAtMs < start:
		j.contest("id of a later process", ended)
	default:
		j.contest("deregistered")
		j.delay = rejoinDelay
	}
}

// judgeProcess decides on an announcement of the process that is known by its id and
// start time.
func (m *Machine) judgeProcess(j *judgement, known *fleetEntry, up *Upstream) {
	k := m.withWarmupLeft(known)
	later := up.Sequence > k.Sequence
	switch {
	case k.Gone && !k.Expired && !known.displaced:
		j.contest("deregistered")
		j.delay = rejoinDelay
	case k.Gone && later:
		// It was only silent.
	case !k.Gone && later && k.samePlace(up):
		if k.sameState(up) {
			j.standing = Confirming
		}
	case !k.Gone && !later && k.samePlace(up) && k.sameState(up):
		j.standing = Confirming // a late or repeated announcement
	case later:
		j.contest("process elsewhere", known)
	default:
		j.contest("older than the last announcement", known)
	}
}

// samePlace reports whether both are at the same address for the same service.
func (u *Upstream) samePlace(other *Upstream) bool {
	return u.Address == other.Address && u.Service == other.Service && u.Domain == other.Domain
}

// sameState reports whether both accept the same requests.
func (u *Upstream) sameState(other *Upstream) bool {
	if u.Slots != other.Slots || u.Draining != other.Draining || u.Gone != other.Gone {
		return false
	}
	cold := other.WarmupLeft - u.WarmupLeft
	return cold.Abs() <= coldTolerance && (other.WarmupLeft == 0 || u.WarmupLeft > 0)
}

// claimKey identifies the announcements of one sender that contradict a member.
type claimKey struct {
	ID          string
	Address     netip.AddrPort
	Service     string
	StartedAtMs int64
}

func (k claimKey) compare(other claimKey) int {
	return cmp.Or(cmp.Compare(k.ID, other.ID), k.Address.Compare(other.Address),
		cmp.Compare(k.Service, other.Service), cmp.Compare(k.StartedAtMs, other.StartedAtMs))
}

// claim is a series of contested announcements.
type claim struct {
	key      claimKey
	sequence uint64 // of the last announcement
	// since is the time of the first announcement after the last one of a member that
	// it contradicts, or 0 if there was none since. lastAt is that of the last one.
	since  int64
	lastAt int64
}

// press records a contested announcement. It reports whether the announcement is to be
// believed: its sender has gone on for the delay, and no member that it contradicts
// has announced itself meanwhile.
func (m *Machine) press(up *Upstream, j *judgement) bool {
	f := &m.fleet
	key := claimKey{up.ID, up.Address, up.Service, up.StartedAtMs}
	c := f.claims[key]
	switch {
	case c == nil && len(f.claims) >= maxClaims:
		return false
	case c == nil:
		f.claims[key] = &claim{key: key, sequence: up.Sequence, since: m.now, lastAt: m.now}
		if j.suspends {
			m.suspend(j.holders)
		}
		return false
	case up.Sequence <= c.sequence:
		return false // a copy
	}
	c.sequence, c.lastAt = up.Sequence, m.now
	if c.since == 0 {
		c.since = m.now
	}
	if m.now-c.since < millis(j.delay) || m.defended(j.holders, up.ID) {
		return false
	}
	delete(f.claims, key)
	return true
}

// defended reports whether a process with the id of one of the members has announced
// itself at that member's address of late, though not in a way that was believed.
func (m *Machine) defended(members []*fleetEntry, claimant string) bool {
	return slices.ContainsFunc(members, func(e *fleetEntry) bool {
		return e.upstream.ID != claimant && e.defendedAt > 0 && m.now-e.defendedAt < millis(defenceWindow)
	})
}

// suspend keeps new requests away from members until they announce themselves again.
func (m *Machine) suspend(members []*fleetEntry) {
	for _, e := range members {
		e.upstream.Draining = true
		m.markChanged(e)
	}
}

// settle ends the claims that a member contradicts by announcing itself. One whose service
// is not named contradicts none.
func (m *Machine) settle(e *fleetEntry) {
	if !m.names(e.upstream.Service) {
		return
	}
	for _, c := range m.fleet.claims {
		if c.against(e) {
			c.since = 0
		}
	}
}

// restartClaims lets the delays of the claims to an id begin anew.
func (f *fleet) restartClaims(id string) {
	for _, c := range f.claims {
		if c.key.ID == id {
			c.since = 0
		}
	}
}

// defend records that a process with the id of a member has announced itself at that
// member's address, whichever of the processes with that id it is.
func (m *Machine) defend(member *fleetEntry, up *Upstream) {
	if member != nil && !member.upstream.Gone && member.upstream.Address == up.Address {
		member.defendedAt = m.now
	}
}

// claimed reports whether there is a claim that a member has not answered.
func (m *Machine) claimed(e *fleetEntry) bool {
	if e == nil || !m.names(e.upstream.Service) {
		return false
	}
	for _, c := range m.fleet.claims {
		if c.since != 0 && c.against(e) {
			return true
		}
	}
	return false
}

func (c *claim) against(e *fleetEntry) bool {
	return c.key.ID == e.upstream.ID || c.key.Address == e.upstream.Address
}

// expireClaims drops the claims whose sender has stopped.
func (m *Machine) expireClaims() {
	for key, c := range m.fleet.claims {
		if m.now-c.lastAt > millis(claimRetention) {
			delete(m.fleet.claims, key)
		}
	}
}

// sortedClaims returns the claims in the order of their keys.
func (f *fleet) sortedClaims() []*claim {
	out := make([]*claim, 0, len(f.claims))
	for _, c := range f.claims {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *claim) int { return a.key.compare(b.key) })
	return out
}
