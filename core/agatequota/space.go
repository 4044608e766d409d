package agatequota

import (
	"math"
	"time"
)

// space is the state of one workspace at a host.
type space struct {
	holdings map[string]*holding // by bank
	waiting  []*Ticket
	// count is the decayed number of requests of the last rateWindow.
	count             float64
	countedAt, usedAt time.Duration
	aheadAskedAt      time.Duration
	lastReturn        time.Duration // when the last refused request was told to come back
}

// holding returns what the host has of a bank.
func (s *space) holding(bank string) *holding {
	hd := s.holdings[bank]
	if hd == nil {
		hd = &holding{}
		s.holdings[bank] = hd
	}
	return hd
}

// record counts a request.
func (s *space) record(now time.Duration) {
	s.decay(now)
	s.count++
	s.usedAt = now
}

func (s *space) decay(now time.Duration) {
	s.count *= math.Exp(-max(0, now-s.countedAt).Seconds() / rateWindow.Seconds())
	s.countedAt = max(s.countedAt, now)
}

// target is the number of tokens to hold ahead of requests.
func (s *space) target(now time.Duration) int {
	s.decay(now)
	return int(s.count * aheadTime.Seconds() / rateWindow.Seconds())
}

// lowAt reports whether more tokens should be asked for before a request needs them.
func (s *space) lowAt(now time.Duration) bool {
	target := s.target(now)
	return target > 0 && s.held(now) < (target+1)/2 && now-s.aheadAskedAt >= aheadInterval
}

// held is the number of tokens of all banks.
func (s *space) held(now time.Duration) int {
	n := 0
	for _, hd := range s.holdings {
		hd.expire(now)
		n += hd.tokens
	}
	return n
}

// unasked is the number of waiting requests for which no bank is being asked.
func (s *space) unasked() int {
	n := len(s.waiting)
	for _, hd := range s.holdings {
		n -= hd.asked
	}
	return max(0, n)
}

// spend spends the token that expires first.
func (s *space) spend(now time.Duration, t *Ticket) bool {
	var first *holding
	for bank, hd := range s.holdings {
		hd.expire(now)
		if hd.tokens > 0 && (first == nil || hd.until < first.until) {
			first = hd
			t.bank = bank
		}
	}
	if first == nil {
		return false
	}
	first.tokens--
	first.spent++
	return true
}

// forgotten reports whether nothing is left to remember about a workspace.
func (s *space) forgotten(now time.Duration) bool {
	s.decay(now)
	return len(s.waiting) == 0 && s.held(now) == 0 && s.count < minCount
}

// apply applies a bank's answer to a question of askedAt.
func (s *space) apply(now time.Duration, bank string, askedAt time.Duration, g Grant) {
	hd := s.holding(bank)
	hd.asked = 0
	hd.expire(now)
	if g.Unlimited {
		for _, t := range s.waiting {
			t.Decided(Granted, 0)
		}
		s.waiting = nil
		return
	}
	if until := askedAt + LeaseTime; g.Tokens > 0 && now < until {
		hd.tokens += g.Tokens
		hd.until = until
	}
	for len(s.waiting) > 0 && s.spend(now, s.waiting[0]) {
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		t.Decided(Granted, 0)
	}
	if g.Wait > 0 {
		hd.refusedAt = now
		hd.refusedUntil = now + min(max(g.Wait, minRefusal), maxRefusal)
		hd.promisedAt, hd.pace = now+g.Wait, g.Pace
		hd.known = !g.Unknown
	}
}

// returnAfter returns when the next refused request may come back: not before the first
// bank has a token, and in order of arrival, at the pace at which this host gets tokens.
func (s *space) returnAfter(now time.Duration, r *refusal) time.Duration {
	at := min(max(now+minReturn, r.first, s.lastReturn+r.pace), now+MaxWait)
	s.lastReturn = at
	return at - now
}

// holding is what a host has of one bank.
type holding struct {
	tokens          int
	until           time.Duration
	spent, returned int // not reported yet
	asked           int // tokens that waiting requests need, in a question without an answer
	// refusedAt is when the bank last had too few tokens, and refusedUntil when it may be
	// asked again. promisedAt and pace are its Wait and Pace then, if it knows the
	// workspace.
	refusedAt, refusedUntil, promisedAt, pace time.Duration
	known                                     bool
}

func (hd *holding) expire(now time.Duration) {
	if now >= hd.until {
		hd.tokens, hd.spent, hd.returned = 0, 0, 0
	}
}
