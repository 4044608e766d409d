package agatebalance

import (
	"maps"
	"slices"
	"time"
)

// serviceLinks is what this host knows about its links to the upstreams of one
// service. They may fail while those to other services work.
type serviceLinks struct {
	// lost means that no upstream of the service responds or accepts a connection.
	lost bool
	// suspectAt is the time since which failures are attributed to the links, and
	// backAt when they were last found to be back after a loss.
	suspectAt, backAt time.Time
	// aliveAt is when an upstream last responded or accepted a connection.
	aliveAt time.Time
	// suspectedAt is when the links were last suspected, see Table.SuspectLinks, and
	// confirmAt when that counts unless a probe has opened.
	suspectedAt, confirmAt time.Time
	// announced is set once TakeDoubtful has returned the service.
	announced bool
	silence   time.Duration // current value between minSilence and maxSilence
	probedAt  time.Time
}

// ServiceProbe names upstreams of a service to which the caller should open a
// connection. The result is to be passed to RecordServiceProbe.
type ServiceProbe struct {
	Service string
	Targets []UpstreamInfo
}

// ServiceProbes returns the services whose links must be checked: no upstream has
// responded or accepted a connection for a while in which several could not be
// connected to, or the links are lost.
func (t *Table) ServiceProbes(now time.Time) (probes []ServiceProbe) {
	if t.links.lost {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		l := &s.links
		if s.suspicion(now) {
			continue // SuspectLinks has returned its probes
		}
		if l.lost && now.Sub(l.probedAt) < linkProbeInterval || !l.lost && !t.unconnected(now, s) {
			continue
		}
		t.suspect(now, s)
		l.probedAt = now
		probes = append(probes, ServiceProbe{Service: name, Targets: t.probeTargets(s.upstreams)})
	}
	return probes
}

// unconnected reports whether connections to several upstreams of a service failed
// since any was last alive.
func (t *Table) unconnected(now time.Time, s *service) bool {
	l := &s.links
	l.silence = max(minSilence, l.silence)
	if now.Sub(l.aliveAt) < l.silence {
		return false
	}
	usable, failed := t.numUsable(s), 0
	for _, u := range s.upstreams {
		if u.unconnectedAt.After(l.aliveAt) {
			failed++
		}
	}
	return usable >= 2 && failed >= min(minSilentUpstreams, usable)
}

// RecordServiceProbe records how many upstreams of a ServiceProbe accepted a
// connection. The links are lost if none did, unless the host is saturated, and those
// to all upstreams are lost with the links to the last service. It reports whether that
// changed.
func (t *Table) RecordServiceProbe(now time.Time, name string, reached int, saturated bool) (changed bool) {
	s := t.service(name)
	l := &s.links
	switch {
	case reached > 0:
		changed = s.alive(now)
		fallthrough
	case saturated:
		l.suspectedAt = time.Time{}
		l.silence = min(maxSilence, 2*max(minSilence, l.silence))
	case !l.lost && !l.aliveAt.After(l.probedAt):
		l.lost = true
		l.suspectAt = now.Add(-maxSilence)
		if t.allServicesLost() {
			t.lose(now)
		}
		return true
	}
	return changed
}

// allServicesLost reports whether the links to each service with upstreams are lost.
func (t *Table) allServicesLost() bool {
	for _, s := range t.services {
		if len(s.upstreams) > 0 && !s.links.lost {
			return false
		}
	}
	return true
}

// alive records that an upstream of the service responded or accepted a connection. If
// the links were lost, they are back, which it reports, and the failures are discarded
// that were attributed to upstreams meanwhile.
func (s *service) alive(now time.Time) (back bool) {
	l := &s.links
	l.aliveAt = now
	if !l.lost {
		return false
	}
	l.lost, l.announced = false, false
	l.backAt = now
	for _, u := range s.upstreams {
		if u.lastFailureAt.After(l.suspectAt) {
			u.recordSuccess()
			u.failureRate = ewma{}
		}
	}
	return true
}
