package agatequota

import (
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time constant over which a workspace's requests are counted, and
	// aheadTime for how much of them a host holds tokens.
	rateWindow = time.Second
	aheadTime  = 700 * time.Millisecond
	// aheadInterval is the least time between two asks for tokens that no request needs
	// yet.
	aheadInterval = 100 * time.Millisecond
	// minRefusal and maxRefusal bound the time for which a bank that had too few tokens
	// is not asked again.
	minRefusal = 50 * time.Millisecond
	maxRefusal = 250 * time.Millisecond
	// answerTimeout is the time without an answer after which a bank counts as silent,
	// and silentPeriod how long other banks are then asked instead.
	answerTimeout = 300 * time.Millisecond
	silentPeriod  = time.Second
	// idlePeriod is the time without a request after which a host gives back tokens.
	idlePeriod = 500 * time.Millisecond
	// minReturn is the least time after which a refused request may come back.
	minReturn = 50 * time.Millisecond
	// minCount is the decayed number of requests below which a workspace is forgotten.
	minCount = 0.01
)

// Verdict tells what became of a request that needs a token.
type Verdict uint8

// The verdicts.
const (
	// Granted means that the request has a token.
	Granted Verdict = iota
	// Limited means that the limit is reached.
	Limited
	// Unknown means that no bank could be asked.
	Unknown
)

// Ticket is a request that needs a token of its workspace.
type Ticket struct {
	Workspace string
	// MaxHold is how long the request waits, after banks have refused it, for a token
	// that it can expect by then. To refuse it would cost its caller a connection and a
	// round trip.
	MaxHold time.Duration
	// Decided is called once, with the time after which a request that was not granted
	// may come back.
	Decided func(v Verdict, after time.Duration)

	bank    string        // that lent the token, or "" if the workspace has no limit
	askedAt time.Duration // when the request arrived
}

// Holder spends the tokens that banks have lent to one host. It is not safe for
// concurrent use.
type Holder struct {
	order  []string // banks, nearest first
	banks  map[string]*bankState
	spaces map[string]*space
}

// bankState is what a host knows about a bank.
type bankState struct {
	asking      bool // a question is not answered yet
	askedAt     time.Duration
	silentUntil time.Duration
}

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

// NewHolder returns a Holder without tokens.
func NewHolder() *Holder {
	return &Holder{banks: map[string]*bankState{}, spaces: map[string]*space{}}
}

// SetBanks sets the banks that can be asked, nearest first. Tokens of others can be
// spent until they expire. It returns the banks to ask now.
func (h *Holder) SetBanks(now time.Duration, order []string) []string {
	if slices.Equal(h.order, order) {
		return nil
	}
	h.order = slices.Clone(order)
	for bank := range h.banks {
		if !slices.Contains(order, bank) {
			h.forgetQuestion(bank)
			delete(h.banks, bank)
		}
	}
	for _, bank := range order {
		if h.banks[bank] == nil {
			h.banks[bank] = &bankState{}
		}
	}
	return h.due(now)
}

// Take decides on a request now or after a later Apply or Tick. It returns the banks to
// ask now.
func (h *Holder) Take(now time.Duration, t *Ticket) []string {
	s := h.space(t.Workspace)
	s.record(now)
	if len(s.waiting) == 0 && s.spend(now, t) {
		t.Decided(Granted, 0)
		if s.lowAt(now) {
			s.aheadAskedAt = now
			return h.ask(now, s)
		}
		return nil
	}
	t.askedAt = now
	s.waiting = append(s.waiting, t)
	h.refuse(now, s)
	if len(s.waiting) == 0 {
		return nil
	}
	return h.ask(now, s)
}

// Cancel withdraws a request that is not decided yet. It reports whether it was waiting.
func (h *Holder) Cancel(t *Ticket) bool {
	s := h.spaces[t.Workspace]
	if s == nil {
		return false
	}
	i := slices.Index(s.waiting, t)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// Refund gives the token of a request that did not run back to the host, if the bank
// does not know yet that it was spent.
func (h *Holder) Refund(now time.Duration, t *Ticket) {
	s := h.spaces[t.Workspace]
	if s == nil || t.bank == "" {
		return
	}
	if hd := s.holdings[t.bank]; hd != nil && hd.spent > 0 && now < hd.until {
		hd.spent--
		hd.tokens++
	}
}

// Asks returns what to tell a bank and to ask it, and expects an answer.
func (h *Holder) Asks(now time.Duration, bank string) []Ask {
	st := h.banks[bank]
	if st == nil {
		return nil
	}
	var asks []Ask
	for name, s := range h.spaces {
		a := h.askFor(now, bank, s)
		if a != (Ask{}) {
			a.Workspace = name
			asks = append(asks, a)
		} else if s.forgotten(now) {
			delete(h.spaces, name)
		}
	}
	if len(asks) > 0 {
		st.asking, st.askedAt = true, now
	}
	return asks
}

func (h *Holder) askFor(now time.Duration, bank string, s *space) (a Ask) {
	target := s.target(now)
	if hd := s.holdings[bank]; hd != nil {
		hd.expire(now)
		if surplus := hd.tokens - target; surplus > 0 && now-s.usedAt > idlePeriod {
			hd.tokens -= surplus
			hd.returned += surplus
		}
		a.Spent, a.Returned = hd.spent, hd.returned
		hd.spent, hd.returned = 0, 0
	}
	if h.best(now, s) != bank {
		return a
	}
	a.Need = s.unasked()
	if a.Need > 0 {
		s.holding(bank).asked += a.Need
	}
	a.Want = a.Need
	if held := s.held(now); held < target {
		a.Want += target - held
	}
	return a
}

// Apply applies a bank's answer to the Asks of askedAt. It returns the banks to ask now.
func (h *Holder) Apply(now time.Duration, bank string, askedAt time.Duration, grants []Grant) []string {
	if st := h.banks[bank]; st != nil && st.askedAt <= askedAt {
		st.asking = false
		st.silentUntil = 0
	}
	for _, g := range grants {
		if s := h.spaces[g.Workspace]; s != nil {
			s.apply(now, bank, askedAt, g)
		}
	}
	h.forgetQuestion(bank)
	return h.due(now)
}

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

// Tick looks for questions that were not answered. It returns the banks to ask now.
func (h *Holder) Tick(now time.Duration) []string {
	for bank, st := range h.banks {
		if st.asking && now-st.askedAt > answerTimeout {
			st.asking = false
			st.silentUntil = now + silentPeriod
			h.forgetQuestion(bank)
		}
	}
	return h.due(now)
}

// forgetQuestion lets other banks be asked for what a bank was asked for.
func (h *Holder) forgetQuestion(bank string) {
	for _, s := range h.spaces {
		if hd := s.holdings[bank]; hd != nil {
			hd.asked = 0
		}
	}
}

// due returns the banks to ask for requests that wait, and refuses those for which there
// is none.
func (h *Holder) due(now time.Duration) (banks []string) {
	for _, s := range h.spaces {
		h.refuse(now, s)
		if len(s.waiting) == 0 {
			continue
		}
		for _, bank := range h.ask(now, s) {
			if !slices.Contains(banks, bank) {
				banks = append(banks, bank)
			}
		}
	}
	return banks
}

// ask returns the bank to ask for a workspace, unless it has a question to answer.
func (h *Holder) ask(now time.Duration, s *space) []string {
	bank := h.best(now, s)
	if bank == "" || h.banks[bank].asking || len(s.waiting) > 0 && s.unasked() == 0 {
		return nil
	}
	return []string{bank}
}

// best is the nearest bank that may have tokens of a workspace, or "". Banks that have not
// refused any since the oldest waiting request came go first: a near one whose refusal has
// passed would otherwise be asked again and again before the far ones.
func (h *Holder) best(now time.Duration, s *space) string {
	again := ""
	for _, bank := range h.order {
		hd := s.holdings[bank]
		switch {
		case now < h.banks[bank].silentUntil || hd != nil && now < hd.refusedUntil:
		case hd == nil || len(s.waiting) == 0 || hd.refusedAt < s.waiting[0].askedAt:
			return bank
		case again == "":
			again = bank
		}
	}
	return again
}

// refuse decides on the waiting requests of a workspace for which no bank is left to ask,
// except those that can expect a token soon.
func (h *Holder) refuse(now time.Duration, s *space) {
	waiting := s.waiting
	s.waiting = nil
	for _, t := range waiting {
		verdict, first, pace := h.judge(now, s, t)
		// While many hosts lack tokens, each gets its next one late, however soon a
		// bank has one.
		expected := max(first, now+time.Duration(len(s.waiting)+1)*pace)
		if verdict == Granted || verdict == Limited && expected <= t.askedAt+t.MaxHold {
			s.waiting = append(s.waiting, t)
			continue
		}
		t.Decided(verdict, s.returnAfter(now, first, pace))
	}
}

// judge returns Granted while a bank may still lend a token for a request, and otherwise
// the verdict, with the time at which a bank has a token and the pace of this host's.
func (h *Holder) judge(now time.Duration, s *space, t *Ticket) (v Verdict, first, pace time.Duration) {
	v, first = Unknown, now+silentPeriod
	for _, bank := range h.order {
		if now < h.banks[bank].silentUntil {
			continue
		}
		hd := s.holdings[bank]
		refused := hd != nil && (hd.refusedAt >= t.askedAt || now < hd.refusedUntil && hd.asked == 0)
		switch {
		case !refused:
			return Granted, 0, 0
		case !hd.known:
		case v == Unknown:
			v, first, pace = Limited, hd.promisedAt, hd.pace
		default:
			first, pace = min(first, hd.promisedAt), max(pace, hd.pace)
		}
	}
	return v, first, pace
}

// returnAfter returns when the next refused request may come back: not before the first
// bank has a token, and in order of arrival, at the pace at which this host gets tokens.
func (s *space) returnAfter(now, first, pace time.Duration) time.Duration {
	at := min(max(now+minReturn, first, s.lastReturn+pace), now+MaxWait)
	s.lastReturn = at
	return at - now
}

func (h *Holder) space(name string) *space {
	s := h.spaces[name]
	if s == nil {
		s = &space{holdings: map[string]*holding{}}
		h.spaces[name] = s
	}
	return s
}

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

func (hd *holding) expire(now time.Duration) {
	if now >= hd.until {
		hd.tokens, hd.spent, hd.returned = 0, 0, 0
	}
}

// forgotten reports whether nothing is left to remember about a workspace.
func (s *space) forgotten(now time.Duration) bool {
	s.decay(now)
	return len(s.waiting) == 0 && s.held(now) == 0 && s.count < minCount
}
