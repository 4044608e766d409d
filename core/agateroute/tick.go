package agateroute

import "time"

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	EventRemoved       EventKind = "lapsed"         // an upstream was removed for lack of announcements; Duration is the age of the last one
	EventFailStatic    EventKind = "fail-static"    // leases of a service are ignored from now on
	EventRecovered     EventKind = "recovered"      // leases of a service apply again
	EventDrain         EventKind = "drain"          // an upstream began to drain
	EventDrained       EventKind = "drained"        // the last request of a drain finished after Duration
	EventEjectFailures EventKind = "eject-failures" // ejected for Duration after failures
	EventEjectSlow     EventKind = "eject-slow"     // ejected for Duration as too slow
)

// Event is a change in the table for the caller to log.
type Event struct {
	Kind     EventKind
	Service  string
	Region   string
	Upstream UpstreamID
	// Duration depends on Kind. It is zero if Kind does not mention it.
	Duration time.Duration
}

func (t *Table) addEvent(e Event) {
	t.events = append(t.events, e)
}

// Tick expires leases and drops silent peers. It returns the events since the
// last call.
func (t *Table) Tick(now time.Time) []Event {
	for _, s := range t.serviceOrder {
		t.checkLeases(now, s)
	}
	t.dropSilentPeers(now)
	t.pruneTombstones(now)
	events := t.events
	t.events = nil
	return events
}

// checkLeases expires leases, or enters fail static if the announcements
// themselves seem to be lost: more than half of the leases expire within one
// lease duration while responses still arrive. Fail static does not keep an
// upstream whose requests fail.
func (t *Table) checkLeases(now time.Time, s *service) {
	lease := t.cfg.leaseDuration()
	expiring, total := 0, 0
	for _, g := range s.groupOrder {
		for _, u := range g.upstreams {
			if u.failures >= failingThreshold {
				continue
			}
			age := now.Sub(u.announcedAt)
			// A lease that expired more than one lease duration ago belongs to an
			// earlier failure, unless fail static has been in force since then.
			// Leases whose announcements stop at the same moment expire spread over
			// one interval. Counting leases one interval before they expire keeps
			// the first of them from expiring alone.
			if age > lease-t.cfg.AnnounceInterval && (s.failStatic || age <= 2*lease) {
				expiring++
			}
			if age <= 2*lease || s.failStatic {
				total++
			}
		}
	}
	responding := !s.lastResponse.IsZero() && now.Sub(s.lastResponse) <= lease
	// Fail static stays in force without requests too.
	t.setFailStatic(s, 2*expiring > total && (responding || s.failStatic))
	for _, g := range s.groupOrder {
		t.expireLeases(now, g, lease)
	}
}

// setFailStatic enters or leaves fail static for a service.
func (t *Table) setFailStatic(s *service, on bool) {
	if s.failStatic == on {
		return
	}
	s.failStatic = on
	kind := EventRecovered
	if on {
		kind = EventFailStatic
	}
	t.addEvent(Event{Kind: kind, Service: s.name})
}

// expireLeases marks the upstreams of a group with an expired lease and removes
// those whose lease expired more than a lease duration ago.
func (t *Table) expireLeases(now time.Time, g *group, lease time.Duration) {
	for i := len(g.upstreams) - 1; i >= 0; i-- {
		u := g.upstreams[i]
		age := now.Sub(u.announcedAt)
		expired := age > lease && (!g.service.failStatic || u.failures >= failingThreshold)
		u.leaseExpired = expired
		u.ejected = u.ejection.active(now)
		g.updateTotals(u)
		if expired && age > 2*lease && u.ownInFlight == 0 {
			t.removeUpstream(now, u)
		}
	}
}

// removeUpstream removes a row and keeps a tombstone of its last announcement.
func (t *Table) removeUpstream(now time.Time, u *upstream) {
	t.addEvent(u.newEvent(EventRemoved, now.Sub(u.announcedAt)))
	t.tombstones[u.id] = tombstone{incarnation: u.announcement.Incarnation, sequence: u.announcement.Sequence, removedAt: now}
	u.group.remove(u)
	delete(t.upstreams, u.id)
	for i, v := range t.upstreamOrder {
		if v == u {
			t.upstreamOrder = append(t.upstreamOrder[:i], t.upstreamOrder[i+1:]...)
			break
		}
	}
}

// pruneTombstones removes tombstones older than tombstoneTTL.
func (t *Table) pruneTombstones(now time.Time) {
	for id, ts := range t.tombstones {
		if now.Sub(ts.removedAt) > tombstoneTTL {
			delete(t.tombstones, id)
		}
	}
}

// tombstoneTTL is how long the last announcement of a removed upstream is kept,
// so that a delayed one does not restore the upstream. It must exceed the lease
// duration. Older announcements are rejected by their age, so no tombstone is
// needed after that.
const tombstoneTTL = time.Minute

func (u *upstream) newEvent(kind EventKind, d time.Duration) Event {
	return Event{
		Kind:     kind,
		Service:  u.group.service.name,
		Region:   u.group.region,
		Upstream: u.id,
		Duration: d,
	}
}

// updateDrain records the start of a drain, and its end when the last request in
// flight has finished.
func (t *Table) updateDrain(now time.Time, u *upstream) {
	draining := u.announcement.State != Up || u.leaving || u.retired || u.fullyDrained()
	switch {
	case !draining:
		u.drainSince = time.Time{}
		u.drainDone = false
	case u.drainSince.IsZero():
		u.drainSince = now
		t.addEvent(u.newEvent(EventDrain, 0))
	}
	if draining && !u.drainDone && u.ownInFlight == 0 {
		u.drainDone = true
		t.addEvent(u.newEvent(EventDrained, now.Sub(u.drainSince)))
	}
}
