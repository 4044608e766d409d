package agateaction

import (
	"net/http"
	"time"

	"agategate/core/agatestate"
)

// ControlAnswered reports the committed result of a command to the control
// group.
func (a *Action) ControlAnswered(now time.Duration, k Kind, r agatestate.Result) []Command {
	switch {
	case k == SendClaim && a.phase == claiming:
		return a.handleClaim(now, r)
	case k == SendRelease && a.phase == releasing, k == SendRefuse && a.phase == refusing:
		return a.handleRefusal(now, r)
	case k == SendFinish && a.phase == finishing:
		a.phase = ended
	}
	return nil
}

// handleClaim processes the result of the claim. The action runs only if it is
// Granted. A refusal that is older than MaxRefusalAge is renewed by a Refuse
// before the caller is told.
func (a *Action) handleClaim(now time.Duration, r agatestate.Result) []Command {
	if r.Verdict.NotRun() && now-a.sentAt >= MaxRefusalAge {
		return a.refuse(now, Refusal{})
	}
	if r.Verdict != agatestate.Granted {
		a.phase = ended
		return a.reply(verdictReply(r))
	}
	a.phase = granted
	return []Command{{Kind: Dispatch}}
}

// handleRefusal processes the result of a Release or Refuse. A refusal that is
// older than MaxRefusalAge is renewed before the caller is told. If the verdict
// is not Refused, the record of another holder determines the reply.
func (a *Action) handleRefusal(now time.Duration, r agatestate.Result) []Command {
	if r.Verdict.NotRun() && now-a.sentAt >= MaxRefusalAge && !a.replied {
		return a.resend(now, 0)
	}
	a.phase = ended
	if r.Verdict != agatestate.Refused {
		return a.reply(verdictReply(r))
	}
	reply := a.refusal
	reply.RetryAfter = max(reply.RetryAfter, r.RetryAfter)
	return a.reply(reply)
}

// ControlUnreachable reports that the result of a command to the control group
// is unknown. The command may still be committed, now or later.
func (a *Action) ControlUnreachable(now time.Duration, k Kind) []Command {
	switch {
	case k == SendClaim && a.phase == claiming && now < a.controlDeadline:
		return []Command{a.claimCommand(now, a.cfg.ResendInterval)}
	case k == SendClaim && a.phase == claiming:
		return a.release(now, Refusal{})
	case a.phase == kindPhase(k) && now < a.resendUntil:
		return a.resend(now, a.cfg.ResendInterval)
	case a.phase == kindPhase(k):
		a.phase = ended
		return a.reply(unconfirmedReply())
	}
	return nil
}

// kindPhase returns the phase in which the result of a command is processed.
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

// resend returns the last command to the control group again.
func (a *Action) resend(now, delay time.Duration) []Command {
	switch a.phase {
	case releasing:
		return []Command{a.releaseCommand(now, delay)}
	case refusing:
		return []Command{a.refuseCommand(now, delay)}
	default:
		return []Command{a.finishCommand(now, delay)}
	}
}

// claimCommand returns the claim with the remaining time as its deadline.
func (a *Action) claimCommand(now, delay time.Duration) Command {
	a.sentAt = now
	return Command{Kind: SendClaim, Delay: delay, Control: agatestate.Command{Claim: &agatestate.Claim{
		Service:     a.cfg.Service,
		Key:         a.cfg.Key,
		PayloadHash: a.cfg.PayloadHash,
		Holder:      a.cfg.Holder,
		Epoch:       a.cfg.Epoch,
		Token:       a.cfg.Token,
		Timeout:     min(max(a.deadline-now, time.Millisecond), agatestate.MaxTimeout),
		SeenIndex:   a.cfg.SeenIndex,
	}}}
}

// release gives up the claim. The action is never dispatched afterwards.
func (a *Action) release(now time.Duration, r Refusal) []Command {
	a.phase = releasing
	a.limitWait(now, a.cfg.ReleaseTimeout)
	a.refusal = refusalReply(r)
	return []Command{a.releaseCommand(now, 0)}
}

func (a *Action) releaseCommand(now, delay time.Duration) Command {
	a.sentAt = now
	return Command{Kind: SendRelease, Delay: delay, Control: agatestate.Command{Release: &agatestate.Release{
		Service:     a.cfg.Service,
		Key:         a.cfg.Key,
		PayloadHash: a.cfg.PayloadHash,
		Token:       a.cfg.Token,
	}}}
}

// refuse commits "not run" for a request without a granted claim.
func (a *Action) refuse(now time.Duration, r Refusal) []Command {
	a.phase = refusing
	a.limitWait(now, a.cfg.ClaimTimeout)
	a.refusal = refusalReply(r)
	return []Command{a.refuseCommand(now, 0)}
}

func (a *Action) refuseCommand(now, delay time.Duration) Command {
	a.sentAt = now
	return Command{Kind: SendRefuse, Delay: delay, Control: agatestate.Command{Refuse: &agatestate.Refuse{
		Service:     a.cfg.Service,
		Key:         a.cfg.Key,
		PayloadHash: a.cfg.PayloadHash,
	}}}
}

func refusalReply(r Refusal) Reply {
	if r.Status == 0 {
		r.Status = http.StatusServiceUnavailable
	}
	return Reply{Outcome: NotRun, Status: r.Status, RetryAfter: r.RetryAfter, Reason: "refused"}
}

// finishCommand returns the command that records the answer of the upstream.
func (a *Action) finishCommand(now, delay time.Duration) Command {
	a.sentAt = now
	return Command{Kind: SendFinish, Delay: delay, Control: agatestate.Command{Finish: &agatestate.Finish{
		Service: a.cfg.Service,
		Key:     a.cfg.Key,
		Token:   a.cfg.Token,
		Answer:  *a.answer,
	}}}
}
