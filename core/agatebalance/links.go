package agatebalance

import (
	"math"
	"slices"
	"time"
)

const (
	// minSilence is the time without a response of any upstream after which this
	// host checks its own links. It doubles with each check that finds them intact,
	// up to maxSilence, until the next response.
	minSilence = 400 * time.Millisecond
	maxSilence = 3200 * time.Millisecond
	// minSilentUpstreams is the number of upstreams that must have left a request
	// unanswered, or all that take requests if there are fewer. A single one does not
	// tell its own failure from one of the links.
	minSilentUpstreams = 3
	// linkProbeInterval is the interval of probes while the links are lost, and
	// maxLinkProbes the number of upstreams that are probed at a time.
	linkProbeInterval = 250 * time.Millisecond
	maxLinkProbes     = 4
)

// links is what this host knows about its own network links to the upstreams. If
// they fail, all upstreams seem to fail at once, and only this host is affected.
type links struct {
	lost bool
	// heardAt is when an upstream last responded or accepted a connection.
	heardAt time.Time
	// silence is the current value between minSilence and maxSilence.
	silence  time.Duration
	probedAt time.Time
	probes   int // number of calls of ProbeTargets
}

// LinksLost reports whether this host has lost its links to all upstreams.
func (t *Table) LinksLost() bool { return t.links.lost }

// heard records a response of an upstream.
func (t *Table) heard(now time.Time, u *upstream) {
	u.unansweredSince = now
	t.links.silence = minSilence
	t.setLinksLost(now, false)
}

// setLinksLost records whether upstreams can be reached. When the links are back, it
// discards the failures that were attributed to upstreams meanwhile.
func (t *Table) setLinksLost(now time.Time, lost bool) {
	l := &t.links
	if l.lost && !lost {
		for _, u := range t.upstreams {
			if u.lastFailureAt.After(l.heardAt) {
				u.recordSuccess()
				u.failureRate = ewma{}
			}
		}
	}
	l.lost = lost
	if !lost {
		l.heardAt = now
	}
}

// LinkProbes returns upstreams to which the caller should open a connection, to tell
// a failure of this host's links from one of the upstreams. It returns none unless
// no upstream has responded for a while and several have left requests unanswered,
// or the links are lost. The result of the probes is to be passed to RecordProbes.
func (t *Table) LinkProbes(now time.Time) []UpstreamInfo {
	l := &t.links
	due := l.lost && now.Sub(l.probedAt) >= linkProbeInterval || !l.lost && t.silent(now)
	if !due {
		return nil
	}
	l.probedAt = now
	return t.ProbeTargets()
}

// silent reports whether no upstream has responded lately although several were sent
// requests.
func (t *Table) silent(now time.Time) bool {
	l := &t.links
	l.silence = max(minSilence, l.silence)
	if now.Sub(l.heardAt) < l.silence {
		return false
	}
	usable, count := 0, 0
	for _, u := range t.upstreams {
		if !u.info.Draining && !slices.Contains(t.evacuated, u.info.Domain) {
			usable++
		}
		if u.lastFailureAt.After(l.heardAt) || u.inFlight > 0 && now.Sub(u.unansweredSince) >= l.silence {
			count++
		}
	}
	return usable >= 2 && count >= min(minSilentUpstreams, usable)
}

// HeardSince reports whether an upstream has responded, or accepted a probe, after a
// time.
func (t *Table) HeardSince(at time.Time) bool { return t.links.heardAt.After(at) }

// ProbeTargets returns up to maxLinkProbes upstreams of different failure domains, if
// there are that many, which change with each call.
func (t *Table) ProbeTargets() []UpstreamInfo {
	t.links.probes++
	var out []UpstreamInfo
	taken := map[string]bool{}
	for len(out) < min(maxLinkProbes, len(t.upstreams)) {
		best, score := (*upstream)(nil), math.Inf(1)
		for _, u := range t.upstreams {
			if taken[u.info.ID] {
				continue
			}
			s := keyScore(uint64(t.links.probes), u.info.ID)
			if taken[u.info.Domain] {
				s++
			}
			if s < score {
				best, score = u, s
			}
		}
		taken[best.info.ID], taken[best.info.Domain] = true, true
		out = append(out, best.info)
	}
	return out
}

// RecordProbes records how many of the upstreams that LinkProbes returned accepted a
// connection. The links are lost if none did and none responded meanwhile.
func (t *Table) RecordProbes(now time.Time, reached int) {
	l := &t.links
	if reached == 0 && l.heardAt.After(l.probedAt) {
		return
	}
	if reached > 0 {
		l.silence = min(maxSilence, 2*max(minSilence, l.silence))
	}
	t.setLinksLost(now, reached == 0)
}
