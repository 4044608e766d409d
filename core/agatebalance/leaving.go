package agatebalance

import "time"

// recordLeaving records that an upstream has said in a response that it is about to
// stop, and reports whether that is new. It holds for the rest of the upstream's
// process: heartbeats that say otherwise may be older.
func (t *Table) recordLeaving(now time.Time, u *upstream, o *Observation) (changed bool) {
	if !o.Leaving || u.leaving {
		return false
	}
	u.leaving = true
	s := t.service(u.info.Service)
	s.localBonusValid = false
	if !u.info.Draining {
		s.disruptedAt = now
	}
	return true
}

// RecordLeaving records that an upstream, whose process started at startedAtMs, has
// said in a response to another host that it is about to stop.
func (t *Table) RecordLeaving(now time.Time, id string, startedAtMs int64) (changed bool) {
	u := t.upstreams[id]
	if u == nil || u.info.StartedAtMs != startedAtMs {
		return false
	}
	return t.recordLeaving(now, u, &Observation{Leaving: true})
}

// draining reports whether the upstream takes no new requests, as the control group or
// one of its own responses says.
func (u *upstream) draining() bool { return u.info.Draining || u.leaving }
