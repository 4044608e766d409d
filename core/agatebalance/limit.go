package agatebalance

import (
	"time"

	"agategate/core/agatelimit"
)

const (
	// usableLimitShare is the fraction of an upstream's limit that the known hosts
	// use; the rest is reserved for hosts that this one does not know.
	usableLimitShare = 0.8
	// limitBurst and limitBurstPeriod bound the requests that all hosts together may
	// send to a limited upstream at once: limitBurst, and what the limit allows in
	// limitBurstPeriod.
	limitBurst       = 2.5
	limitBurstPeriod = time.Second
	// limitProbeInterval is the mean interval at which the hosts without a share of a
	// limit, all together, send a request that shows whether the limit is in force.
	limitProbeInterval = 4 * time.Second
	// limitRepeatInterval is the interval at which hosts tell each other that a limit
	// is still in force, and limitEndRepeat how long they repeat that it has ended.
	limitRepeatInterval = time.Second
	limitEndRepeat      = 10 * time.Second
)

// limitState is what a host knows about the limit of an upstream.
type limitState struct {
	limit agatelimit.Limit
	// statedAt is the time of the newest statement: when the response that named the
	// limit arrived, or when the request was sent whose response ended it.
	statedAt time.Time
	endedAt  time.Time
	// sharedAt is the time of the newest statement that this host has shared with the
	// others or received from them.
	sharedAt time.Time
	// bucket holds this host's share of the limit while one is named.
	bucket bucket
}

// setLimit applies a statement of an upstream, unless a newer one is known. It
// reports whether the limit changed.
func (t *Table) setLimit(now, at time.Time, u *upstream, limit agatelimit.Limit) (changed bool) {
	l := &u.limit
	if at.Before(l.statedAt) || !limit.Named && !l.limit.Named {
		return false
	}
	began := limit.Named && !l.limit.Named
	changed = l.limit != limit
	l.limit, l.statedAt = limit, at
	switch {
	case began:
		l.bucket = bucket{updatedAt: now}
		if !t.sharesLimit(u) {
			// Spreads the probes of the hosts over their interval.
			l.bucket.tokens = hashScore(u.info.ID, t.cfg.Host)
		}
	case !limit.Named:
		l.endedAt = at
	}
	return changed
}

// recordLimit records what a response says about the limit of an upstream, and
// reports whether it changed. Only a response from the upstream's own service can end
// a limit, and not if it may be older than the last one that named it.
func (t *Table) recordLimit(now time.Time, u *upstream, o *Observation) (changed bool) {
	at := now
	switch {
	case o.Outcome == WrongUpstream:
		return false
	case !o.Limit.Named && o.Outcome != Answered:
		return false
	case !o.Limit.Named:
		at = now.Add(-o.Latency)
	}
	changed = t.setLimit(now, at, u, o.Limit)
	repeat := o.Limit.Named || at.Sub(u.limit.endedAt) < limitEndRepeat
	if changed || repeat && at.Sub(u.limit.sharedAt) >= limitRepeatInterval {
		u.limit.sharedAt = at
		t.limits.Merge(now, []agatelimit.Report{{
			Upstream: u.info.ID, StartedAtMs: u.info.StartedAtMs, Value: o.Limit, Age: now.Sub(at),
		}})
	}
	return changed
}

// LimitReports returns the statements of upstreams that other hosts should know,
// recorded after a cursor, and the next cursor.
func (t *Table) LimitReports(now time.Time, cursor uint64) ([]agatelimit.Report, uint64) {
	return t.limits.Since(now, cursor)
}

// ApplyLimits applies statements that upstreams made to other hosts, and returns
// those that changed a limit.
func (t *Table) ApplyLimits(now time.Time, reports []agatelimit.Report) (changes []agatelimit.Report) {
	for _, r := range reports {
		u := t.upstreams[r.Upstream]
		if u == nil || u.info.StartedAtMs != r.StartedAtMs {
			continue
		}
		at := now.Add(-r.Age)
		if t.setLimit(now, at, u, r.Value) {
			changes = append(changes, r)
		}
		if at.After(u.limit.sharedAt) {
			u.limit.sharedAt = at
		}
	}
	return changes
}

// totalLimitBurst is the number of requests that all hosts together may send at once.
func totalLimitBurst(l agatelimit.Limit) float64 {
	return limitBurst + l.Rate*limitBurstPeriod.Seconds()
}

// limitHolders is the number of hosts that share an upstream's limit, so that each
// has a burst of at least one request.
func (t *Table) limitHolders(u *upstream) int {
	return min(t.numHosts(), int(totalLimitBurst(u.limit.limit)))
}

// sharesLimit reports whether this host has a share of an upstream's limit.
func (t *Table) sharesLimit(u *upstream) bool {
	return u.hostRank >= 0 && u.hostRank < t.limitHolders(u)
}

// limitShare is the rate, in requests per second, and the burst that this host may
// use of an upstream's limit. All hosts together stay below the limit as long as
// they know each other.
func (t *Table) limitShare(u *upstream) (rate, burst float64) {
	probeRate := 1 / (limitProbeInterval.Seconds() * float64(t.numHosts()))
	if !t.sharesLimit(u) {
		return probeRate, 1
	}
	holders := float64(t.limitHolders(u))
	limit := u.limit.limit
	return max(probeRate, usableLimitShare*limit.Rate/holders), totalLimitBurst(limit) / holders
}

// limitAllows reports whether this host may send one more request to an upstream
// that names a limit.
func (t *Table) limitAllows(now time.Time, u *upstream) bool {
	if !u.limit.limit.Named {
		return true
	}
	rate, burst := t.limitShare(u)
	u.limit.bucket.refill(now, rate, burst)
	return u.limit.bucket.tokens >= 1
}
