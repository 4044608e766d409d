package agateaction

import (
	"net/http"
	"time"

	"agategate/core/agatestate"
)

// Answered is called with the committed result of a command to the control
// group.
func (a *Action) Answered(now time.Duration, k Kind, r agatestate.Result) []Command {
	switch {
	case k == SendClaim && a.phase == claiming:
		return a.claimed(now, r)
	case k == SendRelease && a.phase == releasing, k == SendRefuse && a.phase == refusing:
		return a.refused(now, r)
	case k == SendFinish && a.phase == finishing:
		a.phase = ended
	}
	return nil
}

// claimed goes on after the claim. Only Granted lets the action run here.
func (a *Action) claimed(now time.Duration, r agatestate.Result) []Command {
	if r.Verdict.NotRun() && now-a.sent >= Fresh {
		return a.refuse(now, Refusal{})
	}
	if r.Verdict != agatestate.Granted {
		a.phase = ended
		return a.reply(replyTo(r))
	}
	a.phase = waiting
	return []Command{{Kind: Dispatch}}
}

// refused ends the action after its Release or Refuse. Unless that is
// committed, the record of another holder says what the caller is told.
func (a *Action) refused(now time.Duration, r agatestate.Result) []Command {
	if r.Verdict.NotRun() && now-a.sent >= Fresh && !a.replied {
		return a.again(now, 0)
	}
	a.phase = ended
	if r.Verdict != agatestate.Refused {
		return a.reply(replyTo(r))
	}
	reply := a.refusal
	reply.RetryAfter = max(reply.RetryAfter, r.RetryAfter)
	return a.reply(reply)
}

// ControlUnreachable is called when a command to the control group has no
// known result. It may still be committed, now or later.
func (a *Action) ControlUnreachable(now time.Duration, k Kind) []Command {
	switch {
	case k == SendClaim && a.phase == claiming && now < a.patience:
		return []Command{a.claim(now, a.cfg.Resend)}
	case k == SendClaim && a.phase == claiming:
		return a.release(now, Refusal{})
	case a.phase == kindPhase(k) && now < a.giveUp:
		return a.again(now, a.cfg.Resend)
	case a.phase == kindPhase(k):
		a.phase = ended
		return a.reply(unclear())
	}
	return nil
}

// kindPhase returns the phase in which the result of a command matters.
func kindPhase(k Kind) phase {
	switch k {
	case SendClaim:
		return claiming
	case SendRelease:
		return releasing
	case SendRefuse:
		return refusing
	default:
		return finishing
	}
}

// again sends the last command again.
func (a *Action) again(now, after time.Duration) []Command {
	switch a.phase {
	case releasing:
		return []Command{a.releaseCommand(now, after)}
	case refusing:
		return []Command{a.refuseCommand(now, after)}
	default:
		return []Command{a.finish(now, after)}
	}
}

// claim sends the claim with the time that is left.
func (a *Action) claim(now, after time.Duration) Command {
	a.sent = now
	return Command{Kind: SendClaim, After: after, State: agatestate.Command{Claim: &agatestate.Claim{
		Service:  a.cfg.Service,
		Key:      a.cfg.Key,
		PayloadHash:  a.cfg.Payload,
		Holder:   a.cfg.Holder,
		Epoch:    a.cfg.Epoch,
		Token:    a.cfg.Token,
		Deadline: min(max(a.deadline-now, time.Millisecond), agatestate.MaxDeadline),
		SeenIndex:     a.cfg.Seen,
	}}}
}

// release gives the claim back. From here on the action is never dispatched.
func (a *Action) release(now time.Duration, r Refusal) []Command {
	a.phase = releasing
	a.wait(now, a.cfg.Commit)
	a.refusal = notRun(r)
	return []Command{a.releaseCommand(now, 0)}
}

func (a *Action) releaseCommand(now, after time.Duration) Command {
	a.sent = now
	return Command{Kind: SendRelease, After: after, State: agatestate.Command{Release: &agatestate.Release{
		Service: a.cfg.Service,
		Key:     a.cfg.Key,
		PayloadHash: a.cfg.Payload,
		Token:   a.cfg.Token,
	}}}
}

// refuse commits "not run" without a claim.
func (a *Action) refuse(now time.Duration, r Refusal) []Command {
	a.phase = refusing
	a.wait(now, a.cfg.Claim)
	a.refusal = notRun(r)
	return []Command{a.refuseCommand(now, 0)}
}

func (a *Action) refuseCommand(now, after time.Duration) Command {
	a.sent = now
	return Command{Kind: SendRefuse, After: after, State: agatestate.Command{Refuse: &agatestate.Refuse{
		Service: a.cfg.Service,
		Key:     a.cfg.Key,
		PayloadHash: a.cfg.Payload,
	}}}
}

func notRun(r Refusal) Reply {
	if r.Status == 0 {
		r.Status = http.StatusServiceUnavailable
	}
	return Reply{Outcome: NotRun, Status: r.Status, RetryAfter: r.RetryAfter, Reason: "refused"}
}

// finish records the upstream's answer.
func (a *Action) finish(now, after time.Duration) Command {
	a.sent = now
	return Command{Kind: SendFinish, After: after, State: agatestate.Command{Finish: &agatestate.Finish{
		Service: a.cfg.Service,
		Key:     a.cfg.Key,
		Token:   a.cfg.Token,
		Answer:  *a.answer,
	}}}
}
