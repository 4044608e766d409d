package agatequota

import (
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
		r, final := h.refusalOf(now, s, t)
		// While many hosts lack tokens, each gets its next one late, however soon a
		// bank has one.
		expected := max(r.first, now+time.Duration(len(s.waiting)+1)*r.pace)
		if !final || r.verdict == Limited && expected <= t.askedAt+t.MaxHold {
			s.waiting = append(s.waiting, t)
			continue
		}
		t.Decided(r.verdict, s.returnAfter(now, &r))
	}
}

// refusal is what the banks together have said to a request.
type refusal struct {
	verdict Verdict       // Limited or Unknown
	first   time.Duration // when the first bank has a token
	pace    time.Duration // between two tokens for this host
}

// refusalOf returns the refusal of a request. It is final once no bank is left that may
// lend a token for it.
func (h *Holder) refusalOf(now time.Duration, s *space, t *Ticket) (r refusal, final bool) {
	r = refusal{verdict: Unknown, first: now + silentPeriod}
	for _, bank := range h.order {
		if now < h.banks[bank].silentUntil {
			continue
		}
		hd := s.holdings[bank]
		refused := hd != nil && (hd.refusedAt >= t.askedAt || now < hd.refusedUntil && hd.asked == 0)
		switch {
		case !refused:
			return refusal{}, false
		case !hd.known:
		case r.verdict == Unknown:
			r = refusal{verdict: Limited, first: hd.promisedAt, pace: hd.pace}
		default:
			r.first, r.pace = min(r.first, hd.promisedAt), max(r.pace, hd.pace)
		}
	}
	return r, true
}

func (h *Holder) space(name string) *space {
	s := h.spaces[name]
	if s == nil {
		s = &space{holdings: map[string]*holding{}}
		h.spaces[name] = s
	}
	return s
}
