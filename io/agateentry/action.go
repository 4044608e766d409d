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
	"agategate/internal/agatebuffer"
	"agategate/internal/agateclock"
	"agategate/io/agateclient"
	"agategate/io/agatelog"
	"agategate/io/agateupstream"
)

// actionRunner executes the commands of one agateaction.Action. One goroutine
// owns the Action. Calls to the control group and to upstreams run in goroutines
// of their own and report their results as events.
type actionRunner struct {
	e      *Entry
	cl     *call
	core   *agateaction.Action
	events chan func(now time.Duration) []agateaction.Command
	reply  chan reply
	// done is closed when run has returned and no more events are accepted.
	done chan struct{}
	// pending counts the calls whose results have not been reported.
	pending int
	// serverError is the upstream's 5xx answer, which does not prove whether
	// the action ran.
	serverError *agateupstream.Result
	// cancel cancels the current attempt.
	cancel context.CancelFunc
	// deadline is the caller's deadline as an agateclock time.
	deadline time.Duration
	// request is the routing request. Its Tried has the upstreams of previous
	// attempts.
	request agateroute.Request
	// lastObservation is the result of the last attempt, if attempted is set.
	lastObservation agateroute.Observation
	attempted       bool
}

// runAction runs a call that must not run twice. Its actionRunner may outlive
// the reply, to wait for a late answer and to record the answer in the control
// group.
func (e *Entry) runAction(ctx context.Context, cl *call) reply {
	if e.controlUnreachable() {
		return errorReply(http.StatusServiceUnavailable, outcomeUnknown, "control", minRetryAfter)
	}
	remaining := time.Until(cl.deadline)
	a := &actionRunner{
		e:  e,
		cl: cl,
		core: agateaction.New(agateaction.Config{
			Service:     cl.service,
			Key:         cl.key,
			PayloadHash: payloadHash(cl),
			Holder:      e.cfg.Settings.Name,
			Epoch:       e.epoch,
			Token:       newToken(),
			SeenIndex:   cl.seenIndex,
			Timeout:     remaining,
			Grace:       e.cfg.Settings.Wait.Answer,
			// The other half of the time remains for the upstream.
			ClaimTimeout: remaining / 2,
		}),
		events:   make(chan func(now time.Duration) []agateaction.Command),
		reply:    make(chan reply, 1),
		done:     make(chan struct{}),
		cancel:   func() {},
		deadline: agateclock.Now() + remaining,
		request:  cl.request(),
	}
	cl.users.Add(1)
	e.activeActions.Go(func() {
		defer cl.release()
		a.run()
	})
	select {
	case rep := <-a.reply:
		return rep
	case <-ctx.Done():
		a.post(a.core.CallerGone)
		return errorReply(http.StatusGatewayTimeout, outcomeUnknown, "caller-gone", 0)
	case <-e.ending.Done():
		a.post(a.core.CallerGone)
		return errorReply(http.StatusGatewayTimeout, outcomeUnknown, reasonStopping, minRetryAfter)
	}
}

// payloadHash returns the hash of the method, path and body, by which a reused
// idempotency key with another request is detected.
func payloadHash(cl *call) agatestate.PayloadHash {
	h := sha256.New()
	writeSize := func(n uint64) {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], n)
		_, _ = h.Write(size[:]) // never fails
	}
	for _, part := range []string{cl.method, cl.path} {
		writeSize(uint64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	writeSize(uint64(cl.body.Len()))
	_, _ = cl.body.WriteTo(h)
	return agatestate.PayloadHash(h.Sum(nil))
}

// post sends an event to the runner's goroutine. It returns false if the runner
// has ended or the process is stopping.
func (a *actionRunner) post(event func(now time.Duration) []agateaction.Command) bool {
	select {
	case a.events <- event:
		return true
	case <-a.done:
		return false
	case <-a.e.ctx.Done():
		return false
	}
}

// complete posts the result of a pending call.
func (a *actionRunner) complete(event func(now time.Duration) []agateaction.Command) {
	a.post(func(now time.Duration) []agateaction.Command {
		a.pending--
		return event(now)
	})
}

// run is the goroutine that owns the Action. It returns when the Action has
// ended and no call is pending.
func (a *actionRunner) run() {
	defer close(a.done)
	defer func() { a.cancel() }()
	a.execute(a.core.Arrived(agateclock.Now()))
	for !a.core.Ended() || a.pending > 0 {
		wait := min(a.core.NextTimer()-agateclock.Now(), time.Hour)
		timer := time.NewTimer(wait)
		select {
		case <-a.e.ctx.Done():
			timer.Stop()
			return
		case event := <-a.events:
			a.execute(event(agateclock.Now()))
		case <-timer.C:
			a.execute(a.core.TimerFired(agateclock.Now()))
		}
		timer.Stop()
	}
}

func (a *actionRunner) execute(commands []agateaction.Command) {
	for _, c := range commands {
		switch c.Kind {
		case agateaction.Dispatch:
			a.pending++
			a.dispatch()
		case agateaction.Respond:
			a.respond(c.Reply)
		case agateaction.Cancel:
			a.cancel()
		default:
			a.pending++
			go a.submit(c)
		}
	}
}

// submit sends a command to the control group.
func (a *actionRunner) submit(c agateaction.Command) {
	select {
	case <-a.e.ctx.Done():
		return
	case <-time.After(c.Delay):
	}
	ctx, cancel := context.WithTimeout(a.e.ctx, a.e.cfg.Settings.Wait.Control)
	defer cancel()
	start := time.Now()
	res, outcome := a.e.submit(ctx, c.Control)
	a.logCommand(c.Kind, res, outcome, time.Since(start))
	a.complete(func(now time.Duration) []agateaction.Command {
		if outcome == agateclient.Applied {
			return a.core.ControlAnswered(now, c.Kind, res)
		}
		return a.core.ControlUnreachable(now, c.Kind)
	})
}

func (a *actionRunner) logCommand(k agateaction.Kind, res agatestate.Result, outcome agateclient.Outcome, took time.Duration) {
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

// dispatch starts an attempt in a goroutine of its own.
func (a *actionRunner) dispatch() {
	a.cancel()
	ctx, cancel := context.WithCancel(a.e.ctx)
	a.cancel = cancel
	go a.attempt(ctx)
}

func (a *actionRunner) attempt(ctx context.Context) {
	waitCtx, cancel := context.WithDeadline(ctx, a.cl.deadline)
	defer cancel()
	d := a.choose(waitCtx)
	if d.Verdict == agateroute.Refuse {
		a.complete(func(now time.Duration) []agateaction.Command {
			return a.core.NotAdmitted(now, agateaction.Refusal{RetryAfter: max(d.RetryAfter, minRetryAfter)})
		})
		return
	}
	r := a.e.pool.Do(ctx, agateupstream.Call{
		Upstream:    string(d.Upstream),
		Service:     a.cl.service,
		Address:     a.e.cfg.UpstreamAddr(d.Address),
		Method:      a.cl.method,
		Path:        a.cl.path,
		Header:      a.cl.header,
		Body:        a.cl.body,
		Charge:      a.cl.charge,
		Action:      true,
		Deadline:    a.e.beforeStop(a.cl.deadline),
		Grace:       a.e.cfg.Settings.Wait.Answer,
		BeforeWrite: a.beforeWrite,
		Connected:   func(time.Duration) { a.e.detours.reached(a.cl.service) },
	})
	a.e.detours.record(a.cl.service, d.Upstream, &r)
	a.lastObservation = a.e.observation(a.cl, d, r, false)
	a.attempted = true
	a.request.Tried = append(a.request.Tried, d.Upstream)
	if r.UpstreamDied {
		a.e.reportDeath(d.Upstream)
	}
	a.e.router.finish(d.Upstream, a.lastObservation)
	a.e.shift.observeSize(a.cl.service, int(a.cl.body.Len()+r.Body.Len()))
	end := agateaction.AttemptResult{MayHaveRun: r.MayHaveRun, Answer: conclusiveAnswer(r)}
	a.complete(func(now time.Duration) []agateaction.Command {
		if r.Kind == agateupstream.Answered && end.Answer == nil {
			a.serverError = &r
		}
		return a.core.AttemptEnded(now, end)
	})
}

// choose selects the upstream of the first or a further attempt. A further
// attempt is made only if the previous one provably never started.
func (a *actionRunner) choose(ctx context.Context) agateroute.Decision {
	if !a.attempted {
		d := a.e.router.choose(ctx, a.request)
		a.e.logDecision(a.cl, agatelog.Route, d)
		return d
	}
	d := a.e.router.retry(ctx, a.request, a.lastObservation)
	a.e.logDecision(a.cl, agatelog.Retry, d)
	return d
}

// beforeWrite asks the Action for permission immediately before the first byte
// is written. A process that was paused after the claim, for example by SIGSTOP
// or with its virtual machine, finds its deadline passed and writes nothing.
func (a *actionRunner) beforeWrite() bool {
	answer := make(chan bool, 1)
	posted := a.post(func(now time.Duration) []agateaction.Command {
		write, commands := a.core.StartAttempt(now)
		answer <- write
		return commands
	})
	// The process may have been paused after the Action's answer.
	return posted && <-answer && agateclock.Now() < a.deadline
}

// conclusiveAnswer returns the answer if it proves that the action ran, or nil.
// A 5xx answer proves nothing, so it is not recorded as the answer.
func conclusiveAnswer(r agateupstream.Result) *agatestate.Answer {
	if r.Kind != agateupstream.Answered || r.Status >= http.StatusInternalServerError {
		return nil
	}
	out := &agatestate.Answer{Status: r.Status, Body: r.Body.Bytes()}
	for name, values := range r.Header {
		for _, v := range values {
			out.Header = append(out.Header, agatestate.HeaderField{Name: name, Value: v})
		}
	}
	return out
}

// respond sends the final answer to the caller's goroutine.
func (a *actionRunner) respond(r *agateaction.Reply) {
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
		rep.body = agatebuffer.Of(r.Answer.Body)
	}
	if a.serverError != nil && rep.outcome == outcomeUnknown {
		// The caller gets the upstream's 5xx answer with the outcome "unknown".
		rep.status = a.serverError.Status
		rep.header = a.serverError.Header
		rep.body = a.serverError.Body
	}
	a.reply <- rep
}
