package agatefront

import (
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"agategate/core/agatequota"
	"agategate/internal/agateclock"
	"agategate/io/agateclient"
	"agategate/io/agatewire"
)

const (
	// quotaTimeout is how long a request waits for a token of its workspace's limit.
	// It covers a question to each of two replicas in other regions, one of which is
	// silent.
	quotaTimeout = 600 * time.Millisecond
	// maxQuotaHold is the longest time for which a request waits for a token after all
	// replicas have refused it one.
	maxQuotaHold = 300 * time.Millisecond
	// quotaTickInterval is how often the host looks for questions without an answer.
	quotaTickInterval = 100 * time.Millisecond
)

// reasonLimited is the reason of replies to requests beyond the limit of their
// workspace, and reasonNoQuota of those for which no control replica could be asked. The
// values are stable.
const (
	reasonLimited = "rate limit"
	reasonNoQuota = "limit unknown"
)

// quotas holds the tokens of the limits of workspaces that control replicas have lent to
// this host. It is safe for concurrent use.
type quotas struct {
	mu      sync.Mutex
	holder  *agatequota.Holder
	watches map[string]*watch // by bank
	active  bool              // the plan has limits
	ticking bool              // tick is called at an interval
}

// verdict is the decision on a request that needs a token.
type verdict struct {
	agatequota.Verdict
	after time.Duration // when to come back if it has none
}

// takeToken takes a token of the request's workspace. If there is none it returns the
// reply to send and false.
func (p *proxyRequest) takeToken() (reply, bool) {
	w := p.criteria.Workspace
	if p.c.peer || !w.Limited() {
		return reply{}, true // the host that forwarded the request has taken a token
	}
	decided := make(chan verdict, 1)
	t := &agatequota.Ticket{Workspace: w.Name, MaxHold: p.maxHold(), Decided: func(v agatequota.Verdict, after time.Duration) { decided <- verdict{v, after} }}
	p.f.quotas.take(t)
	v := p.f.quotas.await(p, t, decided)
	switch v.Verdict {
	case agatequota.Granted:
		p.token = t
		return reply{}, true
	case agatequota.Limited:
		return reply{status: http.StatusTooManyRequests, retryAfter: v.after, reason: reasonLimited}, false
	}
	return reply{status: http.StatusServiceUnavailable, retryAfter: max(v.after, defaultRetryAfter), reason: reasonNoQuota}, false
}

// maxHold is how long the request may wait for a token that it can expect by then: little
// of the time in which its response is worth most.
func (p *proxyRequest) maxHold() time.Duration {
	if p.route.Target <= 0 {
		return maxQuotaHold
	}
	return min(maxQuotaHold, p.route.Target/4)
}

// refundToken gives the token back if the request has not run.
func (p *proxyRequest) refundToken() {
	if p.token == nil || p.mayHaveRun || p.via != "" {
		return
	}
	q := &p.f.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Refund(agateclock.Now(), p.token)
}

func (q *quotas) take(t *agatequota.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ask(q.holder.Take(agateclock.Now(), t))
}

// await returns the verdict on a request, or agatequota.Unknown if there is none within
// quotaTimeout.
func (q *quotas) await(p *proxyRequest, t *agatequota.Ticket, decided <-chan verdict) verdict {
	select {
	case v := <-decided:
		return v
	default:
	}
	timeout := time.NewTimer(min(quotaTimeout, time.Until(p.deadline)))
	defer timeout.Stop()
	select {
	case v := <-decided:
		return v
	case <-timeout.C:
	case <-p.c.ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.holder.Cancel(t) {
		return verdict{Verdict: agatequota.Unknown}
	}
	return <-decided // decided meanwhile
}

// ask has questions sent to banks. q.mu must be held.
func (q *quotas) ask(banks []string) {
	for _, bank := range banks {
		if w := q.watches[bank]; w != nil {
			select {
			case w.questionDue <- struct{}{}:
			default: // already due
			}
		}
	}
}

func (q *quotas) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.active {
		q.ask(q.holder.Tick(agateclock.Now()))
	}
}

// setQuotas sets whether the plan in force has limits. The first one that has some starts
// the search for questions without an answer.
func (f *Front) setQuotas(active bool) {
	q := &f.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.active = active
	if active && !q.ticking {
		q.ticking = true
		f.wg.Go(func() { f.watch(quotaTickInterval, q.tick) })
	}
}

// bankName names the bank of one run of a replica's process: a later run does not know
// what an earlier one has lent.
func bankName(addr netip.AddrPort, run uint64) string {
	return addr.String() + "#" + strconv.FormatUint(run, 16)
}

// setBanks sets the banks that can be asked: the replicas that have replied lately, those
// with the lowest round-trip times first. l.mu must be held.
func (l *controlLink) setBanks(now time.Time) {
	var current []*watch
	for _, w := range l.watches {
		if w.run != 0 && now.Sub(w.lastReply) < followTimeout {
			current = append(current, w)
		}
	}
	sortByRTT(current)
	order := make([]string, 0, len(current))
	watches := make(map[string]*watch, len(current))
	for _, w := range current {
		name := bankName(w.addr, w.run)
		order = append(order, name)
		watches[name] = w
	}
	q := &l.f.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.active {
		return
	}
	q.watches = watches
	q.ask(q.holder.SetBanks(agateclock.Now(), order))
}

// sortByRTT sorts streams by their round-trip times, with a fixed order of those that
// have the same.
func sortByRTT(watches []*watch) {
	slices.SortFunc(watches, func(a, b *watch) int {
		if a.rtt != b.rtt {
			return int(a.rtt - b.rtt)
		}
		return a.addr.Compare(b.addr)
	})
}

// newQuestion returns a message that only tells and asks a replica about limits, or nil
// if there is nothing to say.
func (l *controlLink) newQuestion(w *watch) *agatewire.WatchAsk {
	ask := &agatewire.WatchAsk{Sender: l.f.sender(), Partial: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addQuestion(w, ask)
	if len(ask.Quotas) == 0 {
		return nil
	}
	return ask
}

// addQuestion adds what the host tells and asks a replica about limits. l.mu must be
// held.
func (l *controlLink) addQuestion(w *watch, ask *agatewire.WatchAsk) {
	q := &l.f.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.active || w.run == 0 {
		return
	}
	now := agateclock.Now()
	asks := q.holder.Asks(now, bankName(w.addr, w.run))
	if len(asks) == 0 {
		return
	}
	w.question++
	w.askedAt[w.question] = now
	ask.Question, ask.Quotas = w.question, agateclient.ToWireAsks(asks)
}

// applyQuotas applies the answer to a question about limits. l.mu must be held.
func (l *controlLink) applyQuotas(w *watch, reply *agatewire.WatchReply) {
	askedAt, asked := w.askedAt[reply.Question]
	if !asked {
		return
	}
	delete(w.askedAt, reply.Question)
	q := &l.f.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ask(q.holder.Apply(agateclock.Now(), bankName(w.addr, w.run), askedAt, agateclient.FromWireGrants(reply.Quotas)))
}
