package agateentry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"agategate/core/agateaction"
	"agategate/core/agateroute"
	"agategate/core/agatestate"
	"agategate/internal/agateclock"
	"agategate/io/agateclient"
	"agategate/io/agatelog"
	"agategate/io/agateupstream"
)

// actor carries out the commands of one agateaction.Action. One goroutine
// owns the Action; calls to the control group and to upstreams run beside it
// and come back as events.
type actor struct {
	e      *Entry
	cl     *call
	core   *agateaction.Action
	events chan func(now time.Duration) []agateaction.Command
	reply  chan reply
	// done is closed when the actor takes no more events.
	done chan struct{}
	// open counts the calls beside the actor that will come back.
	open int
	// failure is an upstream's answer that does not prove whether the action
	// ran.
	failure *agateupstream.Result
	// cancel ends the attempt that runs.
	cancel context.CancelFunc
	// deadline is the caller's, by agateclock.
	deadline time.Duration
	// request collects the upstreams that were tried, last how the last
	// attempt ended.
	request agateroute.Request
	last    agateroute.Observation
	tried   bool
}

// act runs a call that must not repeat. The action goes on after the reply:
// its answer is recorded, or still awaited when the deadline has passed.
func (e *Entry) act(ctx context.Context, cl *call) reply {
	if e.controlGone() {
		return refusal(http.StatusServiceUnavailable, outcomeUnknown, "control", minRetryAfter)
	}
	left := time.Until(cl.deadline)
	a := &actor{
		e:  e,
		cl: cl,
		core: agateaction.New(agateaction.Config{
			Service:     cl.service,
			Key:         cl.key,
			PayloadHash: payloadOf(cl),
			Holder:      e.cfg.Settings.Name,
			Epoch:       e.epoch,
			Token:       newToken(),
			SeenIndex:   cl.seen,
			Timeout:     left,
			Grace:       e.cfg.Settings.Wait.Answer,
			// Half of the time is left for the upstream.
			ClaimTimeout: left / 2,
		}),
		events:   make(chan func(now time.Duration) []agateaction.Command),
		reply:    make(chan reply, 1),
		done:     make(chan struct{}),
		cancel:   func() {},
		deadline: agateclock.Now() + left,
		request:  cl.request(),
	}
	e.records.Go(a.run)
	select {
	case rep := <-a.reply:
		return rep
	case <-ctx.Done():
		a.post(a.core.CallerGone)
		return refusal(http.StatusGatewayTimeout, outcomeUnknown, "caller-gone", 0)
	}
}

// payloadOf is the hash of everything that makes a request another one.
func payloadOf(cl *call) agatestate.PayloadHash {
	h := sha256.New()
	for _, part := range []string{cl.method, cl.path, string(cl.body)} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // never fails
		_, _ = io.WriteString(h, part)
	}
	return agatestate.PayloadHash(h.Sum(nil))
}

// post hands an event to the actor's goroutine. It reports false when the
// actor has ended or the process stops.
func (a *actor) post(event func(now time.Duration) []agateaction.Command) bool {
	select {
	case a.events <- event:
		return true
	case <-a.done:
		return false
	case <-a.e.ctx.Done():
		return false
	}
}

// ended wraps the event with which a call beside the actor comes back.
func (a *actor) ended(event func(now time.Duration) []agateaction.Command) {
	a.post(func(now time.Duration) []agateaction.Command {
		a.open--
		return event(now)
	})
}

// run owns the Action until it has ended and all calls have come back.
func (a *actor) run() {
	defer close(a.done)
	defer func() { a.cancel() }()
	a.do(a.core.Arrived(agateclock.Now()))
	for !a.core.Ended() || a.open > 0 {
		wait := min(a.core.NextTimer()-agateclock.Now(), time.Hour)
		due := time.NewTimer(wait)
		select {
		case <-a.e.ctx.Done():
			due.Stop()
			return
		case event := <-a.events:
			a.do(event(agateclock.Now()))
		case <-due.C:
			a.do(a.core.TimerFired(agateclock.Now()))
		}
		due.Stop()
	}
}

func (a *actor) do(commands []agateaction.Command) {
	for _, c := range commands {
		switch c.Kind {
		case agateaction.Dispatch:
			a.open++
			a.dispatch()
		case agateaction.Respond:
			a.respond(c.Reply)
		case agateaction.Cancel:
			a.cancel()
		default:
			a.open++
			go a.submit(c)
		}
	}
}

// submit sends a command to the control group.
func (a *actor) submit(c agateaction.Command) {
	select {
	case <-a.e.ctx.Done():
		return
	case <-time.After(c.Delay):
	}
	ctx, cancel := context.WithTimeout(a.e.ctx, a.e.cfg.Settings.Wait.Control)
	defer cancel()
	begun := time.Now()
	res, outcome := a.e.submit(ctx, c.Control)
	a.logClaim(c.Kind, res, outcome, time.Since(begun))
	a.ended(func(now time.Duration) []agateaction.Command {
		if outcome == agateclient.Applied {
			return a.core.ControlAnswered(now, c.Kind, res)
		}
		return a.core.ControlUnreachable(now, c.Kind)
	})
}

func (a *actor) logClaim(k agateaction.Kind, res agatestate.Result, outcome agateclient.Outcome, took time.Duration) {
	reason, committed := "unreachable", agatelog.Unconfirmed
	if outcome == agateclient.Applied {
		reason, committed = res.Verdict.String(), agatelog.Committed
	}
	a.e.cfg.Log.Record(&agatelog.Decision{
		Request:  a.cl.id,
		Service:  a.cl.service,
		Kind:     agatelog.Claim,
		Action:   true,
		Choice:   k.String(),
		Reason:   reason,
		Outcome:  committed,
		Duration: took,
	})
}

// dispatch finds an upstream and sends the action there. It runs beside the
// actor's goroutine.
func (a *actor) dispatch() {
	a.cancel()
	ctx, cancel := context.WithCancel(a.e.ctx)
	a.cancel = cancel
	go a.attempt(ctx)
}

func (a *actor) attempt(ctx context.Context) {
	wait, cancel := context.WithDeadline(ctx, a.cl.deadline)
	defer cancel()
	d := a.choose(wait)
	if d.Verdict == agateroute.Refuse {
		a.ended(func(now time.Duration) []agateaction.Command {
			return a.core.NotAdmitted(now, agateaction.Refusal{RetryAfter: max(d.RetryAfter, minRetryAfter)})
		})
		return
	}
	r := a.e.pool.Do(ctx, agateupstream.Call{
		Upstream:    string(d.Upstream),
		Address:     d.Address,
		Method:      a.cl.method,
		Path:        a.cl.path,
		Header:      a.cl.header,
		Body:        a.cl.body,
		Action:      true,
		Deadline:    a.cl.deadline,
		Grace:       a.e.cfg.Settings.Wait.Answer,
		BeforeWrite: a.aboutToWrite,
	})
	a.last = a.e.observation(a.cl, d, r, false)
	a.tried = true
	a.request.Tried = append(a.request.Tried, d.Upstream)
	if r.UpstreamDied {
		a.e.reportDeath(d.Upstream)
	}
	a.e.router.finish(d.Upstream, a.last)
	a.e.shift.sized(a.cl.service, len(a.cl.body)+len(r.Body))
	end := agateaction.AttemptResult{Started: r.MayHaveRun, Answer: conclusive(r)}
	a.ended(func(now time.Duration) []agateaction.Command {
		if r.Kind == agateupstream.Answered && end.Answer == nil {
			a.failure = &r
		}
		return a.core.AttemptEnded(now, end)
	})
}

// choose decides about the first or a further attempt. Only attempts that
// provably never started are followed by another one.
func (a *actor) choose(ctx context.Context) agateroute.Decision {
	if !a.tried {
		d := a.e.router.choose(ctx, a.request)
		a.e.logDecision(a.cl, agatelog.Route, d)
		return d
	}
	d := a.e.router.retry(ctx, a.request, a.last)
	a.e.logDecision(a.cl, agatelog.Retry, d)
	return d
}

// aboutToWrite asks the Action right before the first byte. A host that was
// frozen since the claim finds its deadline passed and writes nothing.
func (a *actor) aboutToWrite() bool {
	answer := make(chan bool, 1)
	posted := a.post(func(now time.Duration) []agateaction.Command {
		write, commands := a.core.StartAttempt(now)
		answer <- write
		return commands
	})
	// The host may have been frozen while the answer was on its way here.
	return posted && <-answer && agateclock.Now() < a.deadline
}

// conclusive returns the answer that proves that the action ran. Errors of
// the upstream's server prove nothing, so they are not kept as an answer.
func conclusive(r agateupstream.Result) *agatestate.Answer {
	if r.Kind != agateupstream.Answered || r.Status >= http.StatusInternalServerError {
		return nil
	}
	out := &agatestate.Answer{Status: r.Status, Body: r.Body}
	for name, values := range r.Header {
		for _, v := range values {
			out.Header = append(out.Header, agatestate.HeaderField{Name: name, Value: v})
		}
	}
	return out
}

// respond hands the final answer to the caller's goroutine.
func (a *actor) respond(r *agateaction.Reply) {
	rep := reply{
		status:     r.Status,
		outcome:    outcome(r.Outcome.String()),
		reason:     r.Reason,
		retryAfter: r.RetryAfter,
	}
	if r.Answer != nil {
		rep.header = http.Header{}
		for _, f := range r.Answer.Header {
			rep.header.Add(f.Name, f.Value)
		}
		rep.body = r.Answer.Body
	}
	if a.failure != nil && rep.outcome == outcomeUnknown {
		// The caller gets the upstream's answer, with what it proves.
		rep.status = a.failure.Status
		rep.header = a.failure.Header
		rep.body = a.failure.Body
	}
	a.reply <- rep
}
