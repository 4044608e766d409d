package agatebalance

import "time"

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
)

// Limit is the request rate that an upstream takes from all hosts together, as it
// names it in its responses. The zero value is no limit.
type Limit struct {
	Named bool
	Rate  float64 // requests per second, at least 0
}

// limitState is what a host knows about the limit of an upstream.
type limitState struct {
	limit Limit
	// namedAt is when the last response that named a limit arrived.
	namedAt time.Time
	// bucket holds this host's share of the limit while one is named.
	bucket bucket
}

// record applies the statement of a response to a request that was sent at sentAt.
// A response without a limit ends it, unless it may be older than the last response
// that named one. record reports whether the limit changed.
func (l *limitState) record(now, sentAt time.Time, limit Limit) bool {
	if limit.Named {
		l.namedAt = now
	} else if sentAt.Before(l.namedAt) {
		return false
	}
	changed := l.limit != limit
	l.limit = limit
	return changed
}

// recordLimit records the limit that a response names, and reports whether it
// changed. Only a response from the upstream's own service can end a limit.
func (t *Table) recordLimit(now time.Time, u *upstream, o *Observation) bool {
	if o.Outcome != Answered && !o.Limit.Named || o.Outcome == WrongUpstream {
		return false
	}
	began := o.Limit.Named && !u.limit.limit.Named
	changed := u.limit.record(now, now.Add(-o.Latency), o.Limit)
	if began {
		u.limit.bucket = bucket{updatedAt: now}
		if !t.sharesLimit(u) {
			// Spreads the probes of the hosts over their interval.
			u.limit.bucket.tokens = hashScore(u.info.ID, t.cfg.Host)
		}
	}
	return changed
}

// burst is the number of requests that all hosts together may send at once.
func (l Limit) burst() float64 { return limitBurst + l.Rate*limitBurstPeriod.Seconds() }

// limitHolders is the number of hosts that share an upstream's limit, so that each
// has a burst of at least one request.
func (t *Table) limitHolders(u *upstream) int {
	return min(max(1, len(t.hosts)), int(u.limit.limit.burst()))
}

// sharesLimit reports whether this host has a share of an upstream's limit.
func (t *Table) sharesLimit(u *upstream) bool {
	return u.hostRank >= 0 && u.hostRank < t.limitHolders(u)
}

// limitShare is the rate, in requests per second, and the burst that this host may
// use of an upstream's limit. All hosts together stay below the limit as long as
// they know each other.
func (t *Table) limitShare(u *upstream) (rate, burst float64) {
	probeRate := 1 / (limitProbeInterval.Seconds() * float64(max(1, len(t.hosts))))
	if !t.sharesLimit(u) {
		return probeRate, 1
	}
	holders := float64(t.limitHolders(u))
	limit := u.limit.limit
	return max(probeRate, usableLimitShare*limit.Rate/holders), limit.burst() / holders
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
