package agateroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateinventory"
)

const (
	budgetWindow = 10 * time.Second
	budgetBucket = time.Second

	// hedgeBudgetShare is the share of the retry budget available to hedges. The
	// rest is reserved for retries, without which a read is lost when its
	// connection fails silently.
	hedgeBudgetShare = 0.5

	// budgetBuckets is one more than the window needs. Second attempts are summed
	// over all buckets, so over at least 10 s, and requests over one bucket less,
	// so over at most 10 s. The limit then holds for any period of 10 s.
	budgetBuckets = int(budgetWindow/budgetBucket) + 1
)

// retryBudget limits second attempts, which are retries and hedges, to a share
// of the requests of the last 10 s.
type retryBudget struct {
	bucketStart      time.Time // start of the newest bucket
	newest           int
	requests         [budgetBuckets]int
	secondAttempts   [budgetBuckets]int
	requestSum       int // without the oldest bucket
	secondAttemptSum int
}

// advance moves the window to now.
func (b *retryBudget) advance(now time.Time) {
	if now.Sub(b.bucketStart) >= budgetWindow+budgetBucket {
		*b = retryBudget{bucketStart: now}
		return
	}
	for now.Sub(b.bucketStart) >= budgetBucket {
		b.bucketStart = b.bucketStart.Add(budgetBucket)
		b.newest = (b.newest + 1) % budgetBuckets
		b.secondAttemptSum -= b.secondAttempts[b.newest]
		b.requests[b.newest] = 0
		b.secondAttempts[b.newest] = 0
		b.requestSum -= b.requests[(b.newest+1)%budgetBuckets]
	}
}

// addRequest counts a first attempt.
func (b *retryBudget) addRequest(now time.Time) {
	b.advance(now)
	b.requests[b.newest]++
	b.requestSum++
}

// allows reports whether one more second attempt fits into the given share of
// the budget.
func (b *retryBudget) allows(now time.Time, share float64) bool {
	b.advance(now)
	return float64(b.secondAttemptSum+1) <= share*RetryBudgetRatio*float64(b.requestSum)
}

// addSecondAttempt counts a retry or hedge.
func (b *retryBudget) addSecondAttempt() {
	b.secondAttempts[b.newest]++
	b.secondAttemptSum++
}

// Retry decides whether to repeat a request after an attempt. The caller has
// passed the observation to Finish and added the upstream to r.Tried. The
// verdict is Send, Wait or Refuse. Refuse means that the first outcome is final.
func (t *Table) Retry(now time.Time, r Request, obs Observation) Decision {
	switch {
	case obs.Outcome == Answered || obs.Outcome == Canceled:
		return Decision{Reason: ReasonNotEligible}
	case r.Class != agateinventory.Read && obs.MayHaveRun():
		return Decision{Reason: ReasonMayHaveRun}
	}
	return t.secondAttempt(now, &r, retryRule(obs))
}

// secondAttemptRule holds the differences between kinds of second attempts.
type secondAttemptRule struct {
	reason   Reason
	mayQueue bool
	// share is the share of the retry budget available to the attempt.
	share float64
	// unbudgeted attempts do not count towards the retry budget.
	unbudgeted bool
}

// retryRule returns the rule for a retry. An attempt that was not sent cost the
// upstream nothing, and the death of an upstream causes at most as many retries
// as it had requests in flight, so neither can amplify an overload. If they
// counted, callers of a dead upstream would be refused whenever traffic is low.
func retryRule(obs Observation) secondAttemptRule {
	return secondAttemptRule{reason: ReasonRetry, mayQueue: true, share: 1, unbudgeted: obs.Outcome == NotSent || obs.UpstreamDied}
}

// Hedge decides whether a read that has been at an upstream for the given time
// is sent to a second one. It allows this past the 95th percentile of latency,
// and only while the home region stays below the target utilization, so that
// hedges use slots that would otherwise be idle. The verdict is Send or Refuse.
// The caller has added the first upstream to r.Tried, and cancels the attempt
// that HedgeLoser returns.
func (t *Table) Hedge(now time.Time, r Request, elapsed time.Duration) Decision {
	delay := t.HedgeDelay(r.Service, r.HomeRegion)
	if r.Class != agateinventory.Read || delay == 0 || elapsed < delay {
		return Decision{Reason: ReasonNotEligible}
	}
	if g := t.services[r.Service].groups[t.regionOf(&r)]; g.totalInFlight()+1 > t.targetUtilization()*g.slots {
		return Decision{Reason: ReasonBusy}
	}
	return t.secondAttempt(now, &r, secondAttemptRule{reason: ReasonHedge, share: hedgeBudgetShare})
}

// regionOf returns the home region of a request.
func (t *Table) regionOf(r *Request) string {
	if r.HomeRegion == "" {
		return t.cfg.Region
	}
	return r.HomeRegion
}

// HedgeDelay returns the latency from which a read may be hedged: the 95th
// percentile, or zero if too few responses are known.
func (t *Table) HedgeDelay(service, region string) time.Duration {
	if region == "" {
		region = t.cfg.Region
	}
	if s := t.services[service]; s != nil && s.groups[region] != nil {
		return s.groups[region].latency.p95
	}
	return 0
}

// HedgeLoser returns the attempt of a hedged read to cancel after one of the two
// upstreams has answered.
func HedgeLoser(first, second, answered UpstreamID) UpstreamID {
	if answered == first {
		return second
	}
	return first
}

// secondAttempt decides a retry or hedge within the retry budget.
func (t *Table) secondAttempt(now time.Time, r *Request, rule secondAttemptRule) Decision {
	s := t.services[r.Service]
	if s == nil {
		return Decision{Reason: ReasonUnknown, RetryAfter: t.cfg.AnnounceInterval}
	}
	r.HomeRegion = t.regionOf(r)
	if !now.Before(r.Deadline) {
		return Decision{Reason: ReasonLate}
	}
	if !rule.unbudgeted && !s.retryBudget.allows(now, rule.share) {
		return Decision{Reason: ReasonBudget, RetryAfter: t.cfg.AnnounceInterval}
	}
	d := t.chooseSecondAttempt(now, s, r, rule)
	if d.Verdict != Refuse && !rule.unbudgeted {
		s.retryBudget.addSecondAttempt()
	}
	return d
}

// chooseSecondAttempt chooses the upstream of a retry or hedge.
func (t *Table) chooseSecondAttempt(now time.Time, s *service, r *Request, rule secondAttemptRule) Decision {
	home := s.groups[r.HomeRegion]
	hash := xxhash.Sum64String(r.ID)
	var sel selection
	if home != nil && r.Pinned == "" {
		sel = t.scan(now, home, r, hash)
		if d, ok := t.trySend(now, home, r, sel, rule.reason); ok {
			return d
		}
	}
	if !rule.mayQueue {
		return t.refuse(now, home, r, sel)
	}
	if home != nil {
		if d, ok := t.enqueue(now, home, r, sel); ok {
			return d
		}
	}
	if d, ok := t.overflow(now, s, r, hash); ok {
		return d
	}
	return t.refuse(now, home, r, sel)
}
