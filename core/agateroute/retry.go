package agateroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateinventory"
)

const (
	budgetWindow = 10 * time.Second
	budgetPart   = time.Second

	// hedgeShare is the part of the budget that hedges may use up. The rest is
	// kept for retries, without which a read whose connection went silent is
	// lost.
	hedgeShare = 0.5

	// budgetParts is one more than the window has. Second attempts are counted
	// for all parts, so for at least 10 s, and requests for one part less, so
	// for at most 10 s: the bound then holds for any 10 s.
	budgetParts = int(budgetWindow/budgetPart) + 1
)

// budget bounds second attempts to a share of the requests of the last 10 s.
type budget struct {
	start    time.Time // of the newest part
	newest   int
	requests [budgetParts]int
	seconds  [budgetParts]int // second attempts
	sumR     int              // without the oldest part
	sumS     int
}

// roll moves the window to now.
func (b *budget) roll(now time.Time) {
	if now.Sub(b.start) >= budgetWindow+budgetPart {
		*b = budget{start: now}
		return
	}
	for now.Sub(b.start) >= budgetPart {
		b.start = b.start.Add(budgetPart)
		b.newest = (b.newest + 1) % budgetParts
		b.sumS -= b.seconds[b.newest]
		b.requests[b.newest] = 0
		b.seconds[b.newest] = 0
		b.sumR -= b.requests[(b.newest+1)%budgetParts]
	}
}

// request counts a first attempt.
func (b *budget) request(now time.Time) {
	b.roll(now)
	b.requests[b.newest]++
	b.sumR++
}

// allows reports whether one more second attempt is within a share of the
// budget.
func (b *budget) allows(now time.Time, share float64) bool {
	b.roll(now)
	return float64(b.sumS+1) <= share*DefaultBudget*float64(b.sumR)
}

// take counts a second attempt.
func (b *budget) take() {
	b.seconds[b.newest]++
	b.sumS++
}

// Retry decides about a second attempt after an observation, which the caller
// has passed to Finish. The caller has added the upstream to r.Tried. The
// verdict is Send, Wait or Refuse; Refuse means that the first outcome stands.
func (t *Table) Retry(now time.Time, r Request, o Observation) Decision {
	switch {
	case o.Outcome == Answered || o.Outcome == Canceled:
		return Decision{Reason: ReasonUnexpected}
	case r.Class != agateinventory.Read && o.Started():
		return Decision{Reason: ReasonStarted}
	}
	return t.second(now, &r, retryRule(o))
}

// secondRule is what differs between second attempts.
type secondRule struct {
	why     Reason
	mayWait bool
	// share is the part of the budget that such attempts may use up.
	share float64
	// free attempts are outside the budget.
	free bool
}

// retryRule is the rule for a retry. An attempt that never started cost its
// upstream nothing, and the death of an upstream is followed by at most as
// many retries as requests were in flight there, so neither can multiply an
// overload. Counting them would refuse callers of a dead upstream whenever
// traffic is low.
func retryRule(o Observation) secondRule {
	return secondRule{why: ReasonRetry, mayWait: true, share: 1, free: o.Outcome == Unstarted || o.Died}
}

// Hedge decides whether a read that has been at an upstream for some time
// gets a second attempt elsewhere. It does so past the 95th percentile of the
// answer times, and only into slots that would stay idle. The verdict is Send
// or Refuse. The caller has added the first upstream to r.Tried, and cancels
// the attempt that Loser names.
func (t *Table) Hedge(now time.Time, r Request, waited time.Duration) Decision {
	at := t.HedgeAfter(r.Service, r.Region)
	if r.Class != agateinventory.Read || at == 0 || waited < at {
		return Decision{Reason: ReasonUnexpected}
	}
	if g := t.services[r.Service].groups[t.regionOf(&r)]; g.load()+1 > t.target()*g.slots {
		return Decision{Reason: ReasonBusy}
	}
	return t.second(now, &r, secondRule{why: ReasonHedge, share: hedgeShare})
}

// regionOf returns the home region of a request.
func (t *Table) regionOf(r *Request) string {
	if r.Region == "" {
		return t.cfg.Region
	}
	return r.Region
}

// HedgeAfter is the answer time from which a read may be hedged: the 95th
// percentile, or zero while too few answers are known.
func (t *Table) HedgeAfter(service, region string) time.Duration {
	if region == "" {
		region = t.cfg.Region
	}
	if s := t.services[service]; s != nil && s.groups[region] != nil {
		return s.groups[region].latency.p95
	}
	return 0
}

// Loser is the attempt of a hedged read to cancel once the other answered.
func Loser(first, second, answered UpstreamID) UpstreamID {
	if answered == first {
		return second
	}
	return first
}

// second decides about a second attempt within the budget.
func (t *Table) second(now time.Time, r *Request, rule secondRule) Decision {
	s := t.services[r.Service]
	if s == nil {
		return Decision{Reason: ReasonUnknown, RetryAfter: t.cfg.Interval}
	}
	r.Region = t.regionOf(r)
	if !now.Before(r.Deadline) {
		return Decision{Reason: ReasonLate}
	}
	if !rule.free && !s.budget.allows(now, rule.share) {
		return Decision{Reason: ReasonBudget, RetryAfter: t.cfg.Interval}
	}
	d := t.secondChoice(now, s, r, rule)
	if d.Verdict != Refuse && !rule.free {
		s.budget.take()
	}
	return d
}

// secondChoice picks the upstream of a second attempt.
func (t *Table) secondChoice(now time.Time, s *service, r *Request, rule secondRule) Decision {
	home := s.groups[r.Region]
	hash := xxhash.Sum64String(r.ID)
	var p pick
	if home != nil && r.Pinned == "" {
		p = t.survey(now, home, r, hash)
		if d, ok := t.send(now, home, r, p, rule.why); ok {
			return d
		}
	}
	if !rule.mayWait {
		return t.refuse(now, home, r, p)
	}
	if home != nil {
		if d, ok := t.enqueue(now, home, r, p); ok {
			return d
		}
	}
	if d, ok := t.overflow(now, s, r, hash); ok {
		return d
	}
	return t.refuse(now, home, r, p)
}
