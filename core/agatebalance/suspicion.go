package agatebalance

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// A connection usually opens within connectRTTs round-trip times and
	// connectDeviations mean deviations from one, but not faster than minConnectTime
	// on a busy host. maxConnectTime is half of the time after which the attempt is
	// given up.
	connectRTTs       = 2.0
	connectDeviations = 4.0
	minConnectTime    = 60 * time.Millisecond
	maxConnectTime    = 250 * time.Millisecond
	// connectWindow is the number of connections over which their deviation is
	// averaged.
	connectWindow = 16
	// suspicionPeriod is how long links stay suspected without a verdict: the time that
	// probes take, and a margin.
	suspicionPeriod = 900 * time.Millisecond
	// suspicionInterval is the least time between two suspicions that single late
	// connections cause, as each opens several others.
	suspicionInterval = time.Second
)

// ConnectTime returns the time within which a connection to an upstream usually opens,
// learned from earlier ones.
func (t *Table) ConnectTime(id string) time.Duration {
	u := t.upstreams[id]
	if u == nil || t.connectDeviation.samples == 0 {
		return maxConnectTime
	}
	usual := seconds(connectRTTs*u.rttSeconds() + connectDeviations*t.connectDeviation.mean)
	return min(max(usual, minConnectTime), maxConnectTime)
}

// recordConnectTime updates the deviation of the time in which connections open.
func (t *Table) recordConnectTime(u *upstream, took time.Duration) {
	deviation := took.Seconds() - u.rttSeconds()
	t.connectDeviation.add(max(deviation, -deviation), connectWindow)
}

// SuspectLinks is to be called when a connection to an upstream, whose opening began at
// startedAt, has not opened within ConnectTime, or when several have failed since. It
// returns probes for each service of which no upstream has been heard since, unless it
// has only one; their results are to be passed to RecordServiceProbe. The links are
// suspected once the probes have not opened in the usual time either: a single late
// connection may be the fault of its upstream.
func (t *Table) SuspectLinks(now, startedAt time.Time, id string) (probes []ServiceProbe) {
	u := t.upstreams[id]
	if u == nil || t.links.lost || !t.service(u.info.Service).silentSince(startedAt) {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		l := &s.links
		if !s.silentSince(startedAt) || now.Sub(l.probedAt) < suspicionInterval || !t.suspect(now, s) {
			continue
		}
		targets := t.probeTargets(s.upstreams)
		for _, target := range targets {
			l.confirmAt = later(l.confirmAt, now.Add(t.ConnectTime(target.ID)))
		}
		l.probedAt = now
		probes = append(probes, ServiceProbe{Service: name, Targets: targets})
	}
	return probes
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// silentSince reports whether no upstream of the service has responded or accepted a
// connection since a time.
func (s *service) silentSince(at time.Time) bool { return !s.links.aliveAt.After(at) }

// suspect marks the links to a service as suspected from now on. It reports false if
// they are already, are known to be lost, or were probed in vain a short time ago.
func (t *Table) suspect(now time.Time, s *service) bool {
	l := &s.links
	l.silence = max(minSilence, l.silence)
	if l.lost || s.suspicion(now) || now.Sub(l.probedAt) < l.silence || t.numUsable(s) < 2 {
		return false
	}
	l.suspectedAt, l.confirmAt, l.announced = now, now, false
	return true
}

// suspectSilent marks the links to each service as suspected that has not been heard
// for minSilence.
func (t *Table) suspectSilent(now time.Time) {
	for _, s := range t.services {
		if s.silentSince(now.Add(-minSilence)) {
			t.suspect(now, s)
		}
	}
}

// suspicion reports whether the links were suspected a short time ago and nothing has
// been heard since.
func (s *service) suspicion(now time.Time) bool {
	l := &s.links
	return !l.suspectedAt.IsZero() && s.silentSince(l.suspectedAt) && now.Sub(l.suspectedAt) < suspicionPeriod
}

// suspected reports whether the links are suspected and no probe has opened in time.
func (s *service) suspected(now time.Time) bool {
	return s.suspicion(now) && !now.Before(s.links.confirmAt)
}

// SuspicionPending reports whether it will show in a moment whether the links to a
// service are suspected.
func (t *Table) SuspicionPending(now time.Time, name string) bool {
	s := t.service(name)
	return !t.links.lost && !s.links.lost && s.suspicion(now) && now.Before(s.links.confirmAt)
}

// numUsable is the number of upstreams of a service that take requests.
func (t *Table) numUsable(s *service) (n int) {
	for _, u := range s.upstreams {
		if t.takesRequests(u) {
			n++
		}
	}
	return n
}

// LinksDoubtful reports whether the links to a service are lost or suspected, so that
// its requests should take another way if there is one.
func (t *Table) LinksDoubtful(now time.Time, name string) bool {
	s := t.service(name)
	return t.linksDead(now) || s.links.lost || s.suspected(now)
}

// ServiceLinksLost reports whether the links to a service are lost.
func (t *Table) ServiceLinksLost(name string) bool { return t.service(name).links.lost }

// TakeDoubtful returns the services whose links have become suspected or lost since the
// last call. Responses to requests that were sent before may be lost.
func (t *Table) TakeDoubtful(now time.Time) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		l := &t.services[name].links
		if !l.announced && (l.lost || t.services[name].suspected(now)) {
			l.announced = true
			names = append(names, name)
		}
	}
	return names
}

// copyBudget limits the copies of requests whose responses lost links may have carried.
// A host needs many at once and seldom, so it saves for them: half of RetryRatio for each
// request, which is forgotten over RetryWindow.
type copyBudget struct {
	tokens float64
	at     time.Time
}

// forget removes what is older than the window.
func (b *copyBudget) forget(now time.Time, window time.Duration) {
	if !b.at.IsZero() {
		b.tokens *= math.Exp(-now.Sub(b.at).Seconds() / window.Seconds())
	}
	b.at = now
}

// AllowLinkCopy reports whether a copy of a request may be sent on another way, as its
// response may have been lost with the links to its service, and consumes it from the
// budget, or from that of retries if it is used up.
func (t *Table) AllowLinkCopy(now time.Time, name string) bool {
	s := t.service(name)
	b := &s.copies
	b.forget(now, t.cfg.RetryWindow)
	if b.tokens < 1 {
		return t.takeRetry(now, s)
	}
	b.tokens--
	return true
}
