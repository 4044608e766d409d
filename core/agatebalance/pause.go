package agatebalance

import "time"

// stated reports whether the response to an attempt is a statement of the upstream's
// present process, and not of an earlier one or of another upstream at its address.
func (u *upstream) stated(o *Observation) bool {
	return o.Outcome != WrongUpstream && o.Basis.startedAtMs == u.info.StartedAtMs
}

// recordPause records the time for which an upstream wants no requests from this host.
// The longest one counts: responses to requests that arrived together may name
// different times.
func (u *upstream) recordPause(now time.Time, o *Observation) {
	if until := now.Add(o.Pause); o.Pause > 0 && until.After(u.pausedUntil) {
		u.pausedUntil = until
	}
}

// paused reports whether the upstream wants no requests from this host.
func (u *upstream) paused(now time.Time) bool { return now.Before(u.pausedUntil) }

// MaySend reports whether a request that was started for an upstream may still be
// written to it. The upstream may have asked for a pause since, while a connection was
// being opened.
func (t *Table) MaySend(now time.Time, id string) bool {
	u := t.upstreams[id]
	return u == nil || !u.paused(now)
}

// pauseLeft is the time until the first pause of the candidates ends.
func (x *search) pauseLeft() time.Duration {
	left := time.Duration(0)
	for i := range x.candidates {
		if u := x.candidates[i].u; u.paused(x.now) {
			if d := u.pausedUntil.Sub(x.now); left == 0 || d < left {
				left = d
			}
		}
	}
	return left
}
