package agateroute

import "time"

// EventKind says what happened to the table.
type EventKind string

// The kinds of events.
const (
	EventLapsed        EventKind = "lapsed"         // an upstream's lease ended
	EventFailStatic    EventKind = "fail-static"    // leases of a service are ignored
	EventRecovered     EventKind = "recovered"      // leases count again
	EventDrain         EventKind = "drain"          // a drain began
	EventDrained       EventKind = "drained"        // the last request of a drain is done, after Time
	EventEjectFailures EventKind = "eject-failures" // ejected for Time
	EventEjectSlow     EventKind = "eject-slow"     // ejected for Time
)

// Event is something that the caller logs.
type Event struct {
	Kind     EventKind
	Service  string
	Region   string
	Upstream UpstreamID
	Time     time.Duration
}

func (t *Table) note(e Event) {
	t.events = append(t.events, e)
}

// Tick ends leases and forgets silent peers. It returns the events since the
// last call.
func (t *Table) Tick(now time.Time) []Event {
	for _, s := range t.serviceOrder {
		t.checkLeases(now, s)
	}
	t.forget(now)
	t.forgetGone(now)
	events := t.events
	t.events = nil
	return events
}

// checkLeases takes upstreams without a lease out of use, unless the
// announcements themselves are at fault: more than half of the leases end
// within one lease time while answers still arrive. An upstream that also
// fails by own evidence is not kept by that.
func (t *Table) checkLeases(now time.Time, s *service) {
	lease := t.cfg.lease()
	ended, total := 0, 0
	for _, g := range s.order {
		for _, u := range g.upstreams {
			if u.failures >= failingFrom {
				continue
			}
			silent := now.Sub(u.heard)
			// A lease that ended more than one lease time ago is another fault,
			// unless this one has lasted since then. Announcements that stop
			// together are spread over an interval: counting the last one
			// before its lease ends keeps the first leases from ending alone.
			if silent > lease-t.cfg.Interval && (s.fault || silent <= 2*lease) {
				ended++
			}
			if silent <= 2*lease || s.fault {
				total++
			}
		}
	}
	answering := !s.answered.IsZero() && now.Sub(s.answered) <= lease
	// Once in force, a service without requests keeps its state too.
	t.setFault(s, 2*ended > total && (answering || s.fault))
	for _, g := range s.order {
		t.lapse(now, g, lease)
	}
}

// setFault notes the beginning and the end of fail static.
func (t *Table) setFault(s *service, on bool) {
	if s.fault == on {
		return
	}
	s.fault = on
	kind := EventRecovered
	if on {
		kind = EventFailStatic
	}
	t.note(Event{Kind: kind, Service: s.name})
}

// lapse marks the upstreams of a group whose lease is over, and removes those
// that have been without one for another lease time.
func (t *Table) lapse(now time.Time, g *group, lease time.Duration) {
	for i := len(g.upstreams) - 1; i >= 0; i-- {
		u := g.upstreams[i]
		silent := now.Sub(u.heard)
		lapsed := silent > lease && (!g.service.fault || u.failures >= failingFrom)
		u.lapsed = lapsed
		u.ejected = u.eject.active(now)
		g.recount(u)
		if lapsed && silent > 2*lease && u.own == 0 {
			t.drop(now, u)
		}
	}
}

// drop removes a row, but remembers its last announcement.
func (t *Table) drop(now time.Time, u *upstream) {
	t.note(u.event(EventLapsed, now.Sub(u.heard)))
	t.gone[u.id] = mark{incarnation: u.last.Incarnation, sequence: u.last.Sequence, at: now}
	u.group.remove(u)
	delete(t.upstreams, u.id)
	for i, v := range t.order {
		if v == u {
			t.order = append(t.order[:i], t.order[i+1:]...)
			break
		}
	}
}

// forgetGone drops marks of removed upstreams. An announcement older than the
// lease is not accepted, so the mark is needed for no longer than that.
func (t *Table) forgetGone(now time.Time) {
	for id, m := range t.gone {
		if now.Sub(m.at) > goneKeep {
			delete(t.gone, id)
		}
	}
}

// goneKeep is how long the last announcement of a removed upstream is
// remembered, so that a delayed one does not bring it back.
const goneKeep = time.Minute

func (u *upstream) event(kind EventKind, d time.Duration) Event {
	return Event{
		Kind:     kind,
		Service:  u.group.service.name,
		Region:   u.group.region,
		Upstream: u.id,
		Time:     d,
	}
}

// noteDrain notes the beginning of a drain, and its end with the time that it
// took from there to the last request in flight.
func (t *Table) noteDrain(now time.Time, u *upstream) {
	draining := u.last.State != Up || u.retired || u.ordered()
	switch {
	case !draining:
		u.drainSince = time.Time{}
		u.drainDone = false
	case u.drainSince.IsZero():
		u.drainSince = now
		t.note(u.event(EventDrain, 0))
	}
	if draining && !u.drainDone && u.own == 0 {
		u.drainDone = true
		t.note(u.event(EventDrained, now.Sub(u.drainSince)))
	}
}
