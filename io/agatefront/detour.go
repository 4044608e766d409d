package agatefront

import (
	"context"
	"slices"
	"sync"
	"time"
)

// The ways of a request, of which it takes one only: the claims of attempt.way.
const (
	wayOpen      int32 = iota // nothing has been written yet
	wayUpstream               // written to the chosen upstream
	wayForwarded              // forwarded to another host instead
)

// detour forwards the request of an attempt while the attempt is in progress: instead
// of it if its connection does not open in the usual time, or as a copy of a safe
// request if the links to the service become suspected while it waits for its response.
type detour struct {
	a              *attempt
	cancelOriginal context.CancelFunc
	ctx            context.Context
	cancel         context.CancelFunc

	mu      sync.Mutex
	ended   bool // the attempt has ended
	started bool // the request has been forwarded
	running sync.WaitGroup
	result  forwardResult
}

func newDetour(a *attempt, cancelOriginal context.CancelFunc) *detour {
	t := &detour{a: a, cancelOriginal: cancelOriginal}
	t.ctx, t.cancel = context.WithCancel(a.p.context())
	return t
}

// enter reports whether the attempt is still in progress, which then waits until leave
// is called.
func (t *detour) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return false
	}
	t.running.Add(1)
	return true
}

func (t *detour) leave() { t.running.Done() }

// end waits for what is still running after the attempt has ended, and returns the
// result if the request was forwarded and the attempt brought no answer.
func (t *detour) end(answered bool) (out forwardResult, forwarded bool) {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	if answered {
		t.cancel()
	}
	t.running.Wait()
	t.cancel()
	return t.result, t.started && !answered
}

// connectionLate is called when a connection for the attempt, or for a copy of it, has
// not opened in the usual time.
func (t *detour) connectionLate(a *attempt) {
	if !t.enter() {
		return
	}
	defer t.leave()
	a.p.f.suspectLinks(a.begunAt, a.d.Upstream)
	a.p.awaitSuspicion(t.ctx)
	a.p.f.forwardWaiting()
	if a.isCopy || a.p.c.peer || a.p.answered.Load() || !a.p.linksDoubtful() || !a.way.CompareAndSwap(wayOpen, wayForwarded) {
		return
	}
	out := t.forward(a.p.attempts, a.p.mayHaveRun)
	switch {
	case out.replied:
		t.takeOver()
	case out.written == 0:
		a.way.CompareAndSwap(wayForwarded, wayOpen)
	}
}

// responseLate forwards a copy of the request after its upstream's response may have
// been lost.
func (t *detour) responseLate() {
	if !t.enter() {
		return
	}
	defer t.leave()
	p := t.a.p
	if p.answered.Load() {
		return
	}
	if tries := p.attempts + 1; tries < p.route.MaxAttempts && p.f.allowLinkCopy(p.criteria.Service) {
		if out := t.forward(tries, true); out.answered() {
			t.takeOver()
		}
	}
}

// takeOver cancels the attempt, as the forwarded request has been answered, unless the
// attempt's response is being passed on to the caller.
func (t *detour) takeOver() {
	if t.a.p.answered.CompareAndSwap(false, true) {
		t.cancelOriginal()
	}
}

func (f *Front) allowLinkCopy(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.AllowLinkCopy(time.Now(), service)
}

// forward forwards the request unless it has been before.
func (t *detour) forward(tries int, ran bool) forwardResult {
	t.mu.Lock()
	started := t.started
	t.started = true
	t.mu.Unlock()
	if started {
		return forwardResult{}
	}
	t.result = t.a.p.forward(t.ctx, tries, ran)
	return t.result
}

// suspectLinks records that a connection to an upstream, whose opening began at begunAt,
// has not opened in the usual time, or that several have failed since. It probes the
// links that may have failed.
func (f *Front) suspectLinks(begunAt time.Time, upstream string) {
	f.mu.Lock()
	probes := f.table.SuspectLinks(time.Now(), begunAt, upstream)
	f.mu.Unlock()
	for _, probe := range probes {
		f.wg.Go(func() { f.checkService(probe) })
	}
}

// suspicionPollInterval is how often a request checks whether links are suspected.
const suspicionPollInterval = 10 * time.Millisecond

// awaitSuspicion waits while it will show in a moment whether the links to the request's
// service are suspected.
func (p *proxyRequest) awaitSuspicion(ctx context.Context) {
	poll := time.NewTicker(suspicionPollInterval)
	defer poll.Stop()
	for p.suspicionPending() {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}

func (p *proxyRequest) suspicionPending() bool {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	return p.f.table.SuspicionPending(time.Now(), p.criteria.Service)
}

// forwardWaiting forwards the safe requests that wait for responses over links that
// have become suspected.
func (f *Front) forwardWaiting() {
	f.mu.Lock()
	services := f.table.TakeDoubtful(time.Now())
	f.mu.Unlock()
	if len(services) == 0 {
		return
	}
	f.log.Info("links suspected", "kind", "links", "services", services)
	for _, a := range f.waiting.list() {
		if slices.Contains(services, a.p.criteria.Service) {
			go a.detour.responseLate()
		}
	}
}

// waiting is the set of attempts that wait for responses and whose requests may be
// copied. It is safe for concurrent use.
type waiting struct {
	mu  sync.Mutex
	all map[*attempt]struct{}
}

// add adds an attempt if its request is safe and came from a caller.
func (w *waiting) add(a *attempt) {
	if !a.p.route.Kind.Idempotent() || a.isCopy || a.p.c.peer {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.all == nil {
		w.all = map[*attempt]struct{}{}
	}
	w.all[a] = struct{}{}
}

func (w *waiting) remove(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.all, a)
}

func (w *waiting) list() (out []*attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for a := range w.all {
		out = append(out, a)
	}
	return out
}
