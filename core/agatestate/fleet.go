package agatestate

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxUpstreams bounds the upstreams of one Announce.
	MaxUpstreams = 4096
	// MaxMembers bounds the upstreams that are kept, including those that are gone.
	MaxMembers = 65536
	// goneRetention is how long an upstream that left is kept, so that a
	// delayed announcement does not add it again.
	goneRetention = 2 * time.Minute
	// coldAfterEvacuation is how long the upstreams of a failure domain count
	// as cold after its evacuation ended, unless they announce otherwise.
	// Without traffic they may have become cold without a restart. It lasts
	// three heartbeat intervals and a margin, so that the upstreams can
	// announce their own value before it ends.
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
	// StartedAtMs is the start time of the upstream's process in Unix
	// milliseconds, by its own clock. Announcements are ordered by StartedAtMs
	// and then by Sequence. It is not the Incarnation of Death and Probe.
	StartedAtMs int64
	Sequence    uint64
	// Draining means that the upstream accepts no new requests.
	Draining bool
	// Gone means that the process deregistered or expired. An announcement with
	// Gone and Sequence 0 is not ordered by Sequence: it ends the known process
	// unless that started after StartedAtMs; StartedAtMs 0 ends any process.
	Gone bool
	// WarmupLeft is how long the upstream stays cold, counted from the command. A
	// cold upstream is not warmed up yet and gets requests at a limited rate.
	WarmupLeft time.Duration
	// Expired is set only with Gone and means that the upstream expired: the
	// control group received no heartbeat from it for agatecontrol's
	// upstreamTimeout. Hosts that still get answers from it continue to use it.
	// Within goneRetention, a later announcement of the same process brings it
	// back. After that, or by deregistration, it is permanently gone.
	Expired bool
	// Ordinal is the position of the upstream among those of its service in its failure
	// domain, from 1, or 0 if the configuration does not ask for ordinals. The state
	// machine assigns it; that of a command is ignored.
	Ordinal int
}

// newer reports whether the same upstream announced u after old.
func (u *Upstream) newer(old *Upstream) bool {
	if u.StartedAtMs != old.StartedAtMs {
		return u.StartedAtMs > old.StartedAtMs
	}
	return u.Sequence > old.Sequence
}

// endsProcess reports whether u announces that a process deregistered or
// expired. Such an announcement has no Sequence, and StartedAtMs 0 stands for any
// process.
func (u *Upstream) endsProcess() bool { return u.Gone && u.Sequence == 0 }

// Announce applies announcements of upstreams. Verdicts: Accepted, with Count set to
// the number of upstreams that changed; Disputed if some announcement contradicts a
// member and has no effect; Full if there was no room for some upstream.
type Announce struct {
	Upstreams []Upstream
}

// Evacuate starts or ends the evacuation of a failure domain, which keeps new
// requests away from it. Verdict: Accepted.
type Evacuate struct {
	Domain string
	On     bool
}

// fleetEntry is one upstream with the log index and the state time of its last
// change.
type fleetEntry struct {
	upstream  Upstream
	index     uint64
	changedAt int64 // state time, Unix ms
	// displaced is set if the process is Gone because another one has its address. It
	// may come back elsewhere, or if that one falls silent.
	displaced bool
	// defendedAt is the state time of the last contested announcement with the id of
	// this member from its address, or 0.
	defendedAt int64
}

// fleet holds the upstreams and the evacuated failure domains.
type fleet struct {
	upstreams    map[string]*fleetEntry
	addresses    map[netip.AddrPort]*fleetEntry // those that are not Gone, and the Expired ones
	unlisted     map[string]*fleetEntry         // those of which hosts are not told
	gone         map[string]*fleetEntry         // those that are Gone
	evacuated    []string                       // sorted
	claims       map[claimKey]*claim
	index        uint64 // of the last change
	droppedIndex uint64 // highest index of a deleted entry
}

func newFleet() fleet {
	return fleet{
		upstreams: map[string]*fleetEntry{}, addresses: map[netip.AddrPort]*fleetEntry{},
		unlisted: map[string]*fleetEntry{}, gone: map[string]*fleetEntry{}, claims: map[claimKey]*claim{},
	}
}

// FleetDelta holds the changes of the fleet after a log index.
type FleetDelta struct {
	// Index is the log index of the newest change.
	Index uint64
	// Full means that Upstreams lists the whole fleet.
	Full bool
	// Upstreams lists the upstreams that changed; WarmupLeft is the time
	// remaining at the call.
	Upstreams []Upstream
	// Evacuated always lists all evacuated failure domains.
	Evacuated []string
}

// isUnlisted reports whether hosts are not told of an upstream.
func (f *fleet) isUnlisted(e *fleetEntry) bool { return f.unlisted[e.upstream.ID] == e }

// Fleet returns the changes after a log index; 0 returns the whole fleet. Upstreams of
// services that no plan has named yet are left out.
func (m *Machine) Fleet(since uint64) FleetDelta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f := &m.fleet
	d := FleetDelta{Index: f.index, Evacuated: slices.Clone(f.evacuated)}
	d.Full = since == 0 || since < f.droppedIndex
	for _, e := range f.upstreams {
		if f.isUnlisted(e) || (e.index <= since && !d.Full) {
			continue
		}
		d.Upstreams = append(d.Upstreams, m.withWarmupLeft(e))
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
	e := m.fleet.upstreams[id]
	if e == nil {
		return Upstream{}, false
	}
	return m.withWarmupLeft(e), true
}

// withWarmupLeft returns the upstream of an entry with its remaining warm-up
// time.
func (m *Machine) withWarmupLeft(e *fleetEntry) Upstream {
	up := e.upstream
	up.WarmupLeft = max(0, up.WarmupLeft-duration(m.now-e.changedAt))
	return up
}

func (m *Machine) announce(c *Announce) Result {
	m.expireGone()
	m.expireClaims()
	r := Result{Verdict: Accepted}
	for i := range c.Upstreams {
		changed, verdict := m.announceOne(&c.Upstreams[i])
		if changed {
			r.Count++
		}
		if verdict != Accepted {
			r.Verdict = verdict
		}
	}
	return r
}

// announceOne applies one announcement and reports whether the state changed.
func (m *Machine) announceOne(up *Upstream) (changed bool, v Verdict) {
	if up.endsProcess() {
		return m.endProcess(up), Accepted
	}
	f := &m.fleet
	known := f.upstreams[up.ID]
	j := m.judge(up)
	if j.standing == Rejected {
		return false, Disputed
	}
	if j.standing == Contested && !m.press(up, &j) {
		m.defend(known, up)
		return false, Disputed
	}
	if known == nil && !m.makeRoom(up) {
		return false, Full
	}
	if j.standing == Confirming {
		// The sequence stays that of the last change: a copy with a high one must not
		// make the upstream's next change look old.
		m.settle(known)
		return false, Accepted
	}
	m.place(known, up)
	return true, Accepted
}

// endProcess marks an upstream as gone that deregistered or expired, and reports whether
// the state changed.
func (m *Machine) endProcess(up *Upstream) bool {
	old := m.fleet.upstreams[up.ID]
	if old == nil {
		m.rememberEnded(up)
		return false
	}
	if up.StartedAtMs != 0 && up.StartedAtMs < old.upstream.StartedAtMs {
		return false
	}
	later := !up.Expired && up.StartedAtMs > old.upstream.StartedAtMs
	if !up.Expired {
		old.displaced = false // by its own word it does not come back
		m.fleet.restartClaims(up.ID)
	}
	if old.upstream.Gone && (!old.upstream.Expired || up.Expired) && !later {
		return false
	}
	if later { // a process that was contested
		old.upstream.StartedAtMs = up.StartedAtMs
	}
	old.upstream.Gone = true
	old.upstream.Expired = up.Expired
	m.markChanged(old)
	return true
}

// rememberEnded keeps the id of a process that deregistered before it was a member, so that
// an announcement that was held up, or was contested until then, does not add it.
func (m *Machine) rememberEnded(up *Upstream) {
	f := &m.fleet
	if up.Expired {
		return
	}
	f.restartClaims(up.ID)
	if m.config.current.Revision > 0 { // before the first plan, all may be needed
		f.trimUnlisted(maxUnlisted - 1)
	}
	if len(f.upstreams) >= MaxMembers {
		return
	}
	e := &fleetEntry{upstream: Upstream{ID: up.ID, StartedAtMs: up.StartedAtMs, Gone: true}}
	f.upstreams[up.ID] = e
	f.unlisted[up.ID] = e
	m.markChanged(e)
}

// place puts an upstream at its address, in place of the process that is there.
func (m *Machine) place(old *fleetEntry, up *Upstream) {
	f := &m.fleet
	if owner := f.addresses[up.Address]; !up.Gone && owner != nil && owner != old {
		owner.upstream.Gone = true
		owner.upstream.Expired = false
		owner.displaced = true
		m.markChanged(owner)
	}
	ordinal := 0
	if old == nil {
		old = &fleetEntry{}
		f.upstreams[up.ID] = old
		f.unlisted[up.ID] = old
	} else {
		if f.addresses[old.upstream.Address] == old {
			delete(f.addresses, old.upstream.Address)
		}
		if old.upstream.Service == up.Service && old.upstream.Domain == up.Domain {
			ordinal = old.upstream.Ordinal
		}
	}
	old.upstream = *up
	if m.names(up.Service) {
		delete(f.unlisted, up.ID)
	}
	old.displaced = false
	old.defendedAt = 0
	m.assignOrdinal(old, ordinal)
	if !up.Gone {
		f.addresses[up.Address] = old
	}
	m.markChanged(old)
	m.settle(old)
}

// markChanged marks an entry as changed by the current command.
func (m *Machine) markChanged(e *fleetEntry) {
	e.index = m.index
	e.changedAt = m.now
	if !m.fleet.isUnlisted(e) {
		m.fleet.index = m.index
	}
	m.fleet.recordGone(e)
	if e.upstream.Gone && !e.upstream.Expired && m.fleet.addresses[e.upstream.Address] == e {
		delete(m.fleet.addresses, e.upstream.Address)
	}
}

// recordGone keeps the set of the upstreams that are Gone.
func (f *fleet) recordGone(e *fleetEntry) {
	if e.upstream.Gone {
		f.gone[e.upstream.ID] = e
	} else {
		delete(f.gone, e.upstream.ID)
	}
}

// expireGone deletes upstreams that became permanently gone more than goneRetention
// ago. An upstream that expired that long ago is marked as permanently gone, and is
// deleted goneRetention later.
func (m *Machine) expireGone() {
	f := &m.fleet
	for _, e := range f.gone {
		if m.now-e.changedAt <= millis(goneRetention) {
			continue
		}
		if e.upstream.Expired {
			e.upstream.Expired = false // report it as permanently gone first
			m.markChanged(e)
		} else {
			if !f.isUnlisted(e) {
				f.droppedIndex = max(f.droppedIndex, e.index)
			}
			f.remove(e)
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
	for _, e := range m.fleet.upstreams {
		if e.upstream.Domain != domain || e.upstream.Gone {
			continue
		}
		e.upstream.WarmupLeft = max(coldAfterEvacuation, m.withWarmupLeft(e).WarmupLeft)
		m.markChanged(e)
	}
}

func (c *Announce) valid() bool {
	if len(c.Upstreams) == 0 || len(c.Upstreams) > MaxUpstreams {
		return false
	}
	for i := range c.Upstreams {
		u := &c.Upstreams[i]
		if !validName(u.ID) || len(u.Service) > MaxNameLen || len(u.Domain) > MaxNameLen || u.Slots < 0 || u.WarmupLeft < 0 {
			return false
		}
		if !u.Gone && (!u.Address.IsValid() || u.Service == "") {
			return false
		}
	}
	return true
}

func (c *Evacuate) valid() bool { return validName(c.Domain) }
