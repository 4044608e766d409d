package agatebalance

import "time"

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
func (u *upstream) recordLimit(now time.Time, o *Observation) bool {
	if o.Outcome == Answered || o.Limit.Named && o.Outcome != WrongUpstream {
		return u.limit.record(now, now.Add(-o.Latency), o.Limit)
	}
	return false
}
