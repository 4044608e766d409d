package agatebalance

import "time"

const (
	// hedgeMultiple is the multiple of the usual response time of a cached object
	// after which a request is hedged.
	hedgeMultiple = 1.6
	// Requests for objects that this host does not know at the upstream are hedged early
	// from a share of misses among them of scarceMissShare, if the retry budget is used
	// up, to plentyMissShare, if it is full.
	scarceMissShare = 0.5
	plentyMissShare = 0.15
	// copyMargin is how much longer than usual a copy may take that is sent early
	// enough to be answered within the target.
	copyMargin = 1.3
	// minHedgeDelay is the time that the first of two requests for an object has to
	// reach the upstream before the second.
	minHedgeDelay = 50 * time.Millisecond
	// missMultiple is the multiple of the service time of cached objects from which a
	// response counts as one for an object that was not cached.
	missMultiple = 1.8
	// initialHitTargetShare is the response time assumed for cached objects, as a share
	// of the target, until there are responses.
	initialHitTargetShare = 0.5
	// missWindow and copyWindow are the numbers of responses over which the share of
	// misses and that of useful copies are averaged. The share of misses falls within
	// seconds after a start, in which one of many hosts gets few responses.
	missWindow = 12
	copyWindow = 32
	// minUsefulCopies is the share of copies that must be answered before the original
	// for more to be sent, from minJudgedCopies on. While it is less, one in
	// copyTrialInterval is still sent to find out whether that has changed.
	minUsefulCopies   = 0.3
	minJudgedCopies   = 4
	copyTrialInterval = 32
)

// hedging is what a host knows about hedges of a service's requests. A request for an
// object that its upstream has not cached takes several times as long as the next one
// for the same object, also if that is sent while the first one runs. So a second copy
// to the same upstream is answered sooner than the original, and the requests that
// wait behind it on the caller's connection are, too. Upstreams that make the copy
// wait for the original are noticed, as their copies are of no use.
type hedging struct {
	misses  ewma // share of misses among the objects that this host did not know at the upstream
	useful  ewma // share of copies of misses that were answered before the original
	skipped int  // copies not sent since the last trial
}

// HedgeDelay returns how long the response to a request may take before a copy of it
// is sent to the same upstream, or false if none is to be sent. d is the decision on
// the request.
func (t *Table) HedgeDelay(now time.Time, r *Request, d *Decision) (time.Duration, bool) {
	u := t.upstreams[d.Upstream]
	if u == nil || d.Basis.class == workPlain || r.Target.IsZero() || !t.mayHedge(now, u) {
		return 0, false
	}
	s := t.service(r.Service)
	hit := u.rttSeconds() + s.work.seconds(workKnown)
	if s.work.mean.samples == 0 {
		hit = initialHitTargetShare * r.Target.Sub(now).Seconds()
	}
	delay := hedgeMultiple * hit
	if d.Basis.class != workKnown && s.hedging.missShare() >= t.earlyMissShare(s) {
		delay = min(delay, r.Target.Sub(now).Seconds()-copyMargin*hit)
	}
	return max(minHedgeDelay, seconds(delay)), true
}

// earlyMissShare is the share of misses from which requests are hedged early.
func (t *Table) earlyMissShare(s *service) float64 {
	left := s.retryBudget.tokens / t.retryBudgetSize()
	return scarceMissShare - (scarceMissShare-plentyMissShare)*left
}

// mayHedge reports whether an upstream may get copies. A slow one would answer none
// sooner, and a cold, limited or paused one has no requests to spare.
func (t *Table) mayHedge(now time.Time, u *upstream) bool {
	return !now.Before(u.coldUntil) && !u.limit.limit.Named && !u.draining() && !u.paused(now) &&
		u.slowness.value(now, &t.service(u.info.Service).work) < slownessThreshold
}

// AllowHedge reports whether a copy of a request may be sent to an upstream, and
// consumes it from the retry budget of the service. There are no copies while requests
// or retries are rejected, as these need the room and the budget more.
func (t *Table) AllowHedge(now time.Time, id string) bool {
	u := t.upstreams[id]
	if u == nil || !t.mayHedge(now, u) || u.load(now) >= u.slots() {
		return false
	}
	s := t.service(u.info.Service)
	return !s.scarce(now) && s.hedging.worthwhile() && t.takeRetry(now, s)
}

// worthwhile reports whether copies are useful, or one is due to find out.
func (h *hedging) worthwhile() bool {
	if h.useful.samples < minJudgedCopies || h.useful.mean >= minUsefulCopies {
		return true
	}
	h.skipped++
	if h.skipped < copyTrialInterval {
		return false
	}
	h.skipped = 0
	return true
}

// missShare is the share of misses among unknown objects. Without responses, all are
// taken for misses.
func (h *hedging) missShare() float64 {
	if h.misses.samples == 0 {
		return 1
	}
	return h.misses.mean
}

// record adds the response to a request that expected the service time of b.
func (h *hedging) record(w *workTimes, o *Observation, serviceSeconds float64) {
	missed := o.CopyAnswered || serviceSeconds > missMultiple*w.seconds(workKnown)
	if o.Hedged && missed {
		h.useful.add(share(o.CopyAnswered), copyWindow)
	}
	if o.Basis.class != workPreferred && o.Basis.class != workOther {
		return
	}
	h.misses.add(share(missed), missWindow)
}

func share(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
