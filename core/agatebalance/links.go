package agatebalance

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minSilence is the time without a response of any upstream, or without a
	// connection to any, after which failures make this host check its own links. It
	// doubles with each check that finds them intact, up to maxSilence, until the next
	// response.
	minSilence = 400 * time.Millisecond
	maxSilence = 3200 * time.Millisecond
	// minSilentUpstreams is the number of upstreams that must have failed, or all that
	// take requests if there are fewer. The failure of a single one does not tell
	// whether it or the link is at fault.
	minSilentUpstreams = 3
	// linkProbeInterval is the interval of probes while the links are lost, and
	// maxLinkProbes the number of upstreams that are probed at a time.
	linkProbeInterval = 250 * time.Millisecond
	maxLinkProbes     = 4
)

// links is what this host knows about its own network links to the upstreams. If
// they fail, all upstreams seem to fail at once, and only this host is affected.
type links struct {
	// lost means that no upstream accepts a new connection. Open ones may live on.
	lost bool
	// suspectAt is the time since which failures are attributed to the links.
	suspectAt time.Time
	// heardAt is when an upstream last responded, and connectedAt when one last
	// accepted a connection.
	heardAt, connectedAt time.Time
	// backAt is when the links were last found to be back after a loss.
	backAt time.Time
	// silence is the current value between minSilence and maxSilence.
	silence  time.Duration
	probedAt time.Time
	probes   int // number of calls of probeTargets
}

// LinksLost reports whether this host cannot open connections to any upstream.
func (t *Table) LinksLost() bool { return t.links.lost }

// linksDead reports whether the links are lost and open connections carry no
// responses either.
func (t *Table) linksDead(now time.Time) bool {
	return t.links.lost && now.Sub(t.links.heardAt) >= minSilence
}

// heard records a response of an upstream.
func (t *Table) heard(now time.Time, u *upstream) {
	u.unansweredSince = now
	t.links.heardAt = now
	t.links.silence = minSilence
	s := t.service(u.info.Service)
	s.alive(now)
	s.links.silence = minSilence
	t.domainHeard(u)
}

// connected records that an upstream accepted a connection. If the links were lost,
// they are back, and the failures are discarded that were attributed to upstreams
// meanwhile.
func (t *Table) connected(now time.Time) {
	l := &t.links
	l.connectedAt = now
	if !l.lost {
		return
	}
	l.lost = false
	l.backAt = now
	for _, d := range t.domains {
		d.heard()
	}
	for _, u := range t.upstreams {
		if u.lastFailureAt.After(l.suspectAt) {
			u.recordSuccess()
			u.failureRate = ewma{}
		}
	}
}

// LinkProbes returns upstreams to which the caller should open a connection, to tell
// a failure of this host's links from one of the upstreams. It returns none unless
// no upstream has responded, or accepted a connection, for a while in which several
// failed, or the links are lost. The result of the probes is to be passed to
// RecordProbes.
func (t *Table) LinkProbes(now time.Time) []UpstreamInfo {
	l := &t.links
	due := l.lost && now.Sub(l.probedAt) >= linkProbeInterval || !l.lost && t.suspicious(now)
	if !due {
		return nil
	}
	if !l.lost {
		t.suspectSilent(now)
	}
	l.probedAt = now
	return t.ProbeTargets()
}

// suspicious reports whether several upstreams have failed since any last responded,
// or since any last accepted a connection.
func (t *Table) suspicious(now time.Time) bool {
	l := &t.links
	l.silence = max(minSilence, l.silence)
	silent := now.Sub(l.heardAt) >= l.silence
	refused := now.Sub(l.connectedAt) >= l.silence
	if !silent && !refused {
		return false
	}
	usable, unanswered, unconnected := 0, 0, 0
	for _, u := range t.upstreams {
		if t.takesRequests(u) {
			usable++
		}
		if u.lastFailureAt.After(l.heardAt) || u.inFlight > 0 && now.Sub(u.unansweredSince) >= l.silence {
			unanswered++
		}
		if u.unconnectedAt.After(l.connectedAt) {
			unconnected++
		}
	}
	enough := min(minSilentUpstreams, usable)
	return usable >= 2 && (silent && unanswered >= enough || refused && unconnected >= enough)
}

// takesRequests reports whether an upstream is neither draining nor evacuated.
func (t *Table) takesRequests(u *upstream) bool {
	return !u.draining() && !slices.Contains(t.evacuated, u.info.Domain)
}

// HeardSince reports whether an upstream has responded, or accepted a connection,
// after a time.
func (t *Table) HeardSince(at time.Time) bool {
	return t.links.heardAt.After(at) || t.links.connectedAt.After(at)
}

// LinkEvidence returns when an upstream last responded, and when one last accepted a
// connection, or zero times if none has.
func (t *Table) LinkEvidence() (heard, connected time.Time) {
	return t.links.heardAt, t.links.connectedAt
}

// ProbeTargets returns up to maxLinkProbes upstreams: the one that responded last,
// and others of different failure domains, if there are that many, which change with
// each call.
func (t *Table) ProbeTargets() []UpstreamInfo {
	return t.probeTargets(slices.Collect(maps.Values(t.upstreams)))
}

// probeTargets is ProbeTargets for some of the upstreams.
func (t *Table) probeTargets(upstreams []*upstream) []UpstreamInfo {
	t.links.probes++
	var out []UpstreamInfo
	if u := lastAnswered(upstreams); u != nil {
		out = append(out, u.info)
	}
	for len(out) < min(maxLinkProbes, len(upstreams)) {
		out = append(out, t.nextProbeTarget(upstreams, out).info)
	}
	return out
}

// lastAnswered returns the upstream that responded last, or nil.
func lastAnswered(upstreams []*upstream) (last *upstream) {
	for _, u := range upstreams {
		if !u.lastAnsweredAt.IsZero() && (last == nil || u.lastAnsweredAt.After(last.lastAnsweredAt)) {
			last = u
		}
	}
	return last
}

// nextProbeTarget returns an upstream that is not among the chosen ones, if possible
// of a failure domain of which none is.
func (t *Table) nextProbeTarget(upstreams []*upstream, chosen []UpstreamInfo) (next *upstream) {
	best := math.Inf(1)
	for _, u := range upstreams {
		if slices.ContainsFunc(chosen, func(c UpstreamInfo) bool { return c.ID == u.info.ID }) {
			continue
		}
		score := keyScore(uint64(t.links.probes), u.info.ID)
		if slices.ContainsFunc(chosen, func(c UpstreamInfo) bool { return c.Domain == u.info.Domain }) {
			score++
		}
		if score < best {
			next, best = u, score
		}
	}
	return next
}

// RecordProbes records how many of the upstreams that LinkProbes returned accepted a
// connection. The links are lost if none did, unless the host is saturated: then the
// host or its network interface is overloaded, and connections to anything are slow.
func (t *Table) RecordProbes(now time.Time, reached int, saturated bool) {
	l := &t.links
	switch {
	case reached > 0:
		t.connected(now)
		fallthrough
	case saturated:
		l.silence = min(maxSilence, 2*max(minSilence, l.silence))
	case !l.lost && !l.connectedAt.After(l.probedAt):
		t.lose(now)
	}
}

// lose records that no upstream accepts a new connection.
func (t *Table) lose(now time.Time) {
	t.links.lost = true
	t.links.suspectAt = now.Add(-maxSilence)
}
