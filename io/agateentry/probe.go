package agateentry

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"agategate/core/agateroute"
	"agategate/core/agatestate"
	"agategate/core/agatesuspect"
	"agategate/io/agateclient"
	"agategate/io/agatelog"
	"agategate/io/agateupstream"
)

// deathTime bounds the report of a death. The caller's answer waits for it,
// so that its resend, to whichever entry host, meets the knowledge.
const deathTime = 500 * time.Millisecond

// admitPrint checks whether a request may run.
func (e *Entry) admitPrint(cl *call) (printed, *reply) {
	p := printed{print: agatesuspect.NewFingerprint(cl.service, cl.method, cl.path, cl.key, cl.body)}
	switch e.suspects.check(p.print) {
	case agatesuspect.Refused:
		return p, e.refusePrint(cl)
	case agatesuspect.Suspect:
		p.suspect = true
	case agatesuspect.Clear:
	}
	return p, nil
}

// refusePrint is the final answer to a request that upstreams died of. It has
// no Retry-After, because it stays refused.
func (e *Entry) refusePrint(cl *call) *reply {
	e.cfg.Log.Record(&agatelog.Decision{
		Request: cl.id, Service: cl.service, Kind: agatelog.Suspect,
		Reason: "upstreams-died", Outcome: agatelog.Refused, Duration: time.Since(cl.arrived),
	})
	rep := refusal(http.StatusUnprocessableEntity, outcomeNotRun, "upstreams-died", 0)
	return &rep
}

// reportDeath tells the control group and peers which requests were in flight
// when an upstream died.
func (e *Entry) reportDeath(id agateroute.UpstreamID) {
	prints, incarnation := e.suspects.died(id)
	if len(prints) == 0 {
		return
	}
	cmd := agatestate.Death{Host: e.cfg.Settings.Name, Upstream: string(id), Incarnation: incarnation}
	for _, f := range prints {
		cmd.Fingerprints = append(cmd.Fingerprints, agateclient.StateFingerprint(f))
	}
	e.log.Warn("upstream died", "kind", "suspect", "choice", string(id), "incarnation", incarnation, "considered", len(prints))
	e.exchange.kick()
	ctx, cancel := context.WithTimeout(e.ctx, deathTime)
	defer cancel()
	if _, outcome := e.submit(ctx, agatestate.Command{Death: &cmd}); outcome != agateclient.Applied {
		e.log.Warn("death not recorded by the control group", "choice", string(id))
	}
}

// submit sends a command to the control group and decodes its result.
func (e *Entry) submit(ctx context.Context, cmd agatestate.Command) (agatestate.Result, agateclient.Outcome) {
	out, outcome := e.control.Submit(ctx, agatestate.Encode(cmd))
	if outcome != agateclient.Applied {
		return agatestate.Result{}, outcome
	}
	res, err := agatestate.DecodeResult(out)
	if err != nil {
		e.log.Error("result of the control group cannot be decoded", "error", err)
		return agatestate.Result{}, agateclient.Unknown
	}
	e.learnIndex(res.Index)
	return res, agateclient.Applied
}

const (
	// probeWait bounds how long a request waits for the probe of an equal one
	// to end, or for an upstream without another suspect.
	probeWait = 500 * time.Millisecond
	// probePause is the pause between two tries.
	probePause = 20 * time.Millisecond
)

// readAlone runs a suspect as a probe: one at a time over all entry hosts and
// never beside another suspect on one upstream, so that a death proves which
// request caused it. Ran says that an earlier attempt may have run.
func (e *Entry) readAlone(ctx context.Context, cl *call, req agateroute.Request, p printed, ran bool) reply {
	p.suspect = true
	req.Suspect = true
	// At least half of the time left remains for the answer.
	end := time.Now().Add(min(probeWait, time.Until(cl.deadline)/2))
	for {
		a, refused := e.tryAlone(ctx, cl, req, p)
		if refused == nil {
			if a.reply.MayHaveRun || !time.Now().Before(end) {
				return e.endAlone(cl, p, a)
			}
			// It never ran there, as at an upstream that died just before.
			req.Tried = append(req.Tried, a.decision.Upstream)
			continue
		}
		if refused.retryAfter == 0 || !time.Now().Before(end) {
			if ran {
				refused.outcome = outcomeUnknown
			}
			return *refused
		}
		select {
		case <-ctx.Done():
			return refusal(http.StatusGatewayTimeout, outcomeUnknown, "deadline", minRetryAfter)
		case <-time.After(probePause):
		}
	}
}

// tryAlone reserves an upstream for a suspect and runs it there.
func (e *Entry) tryAlone(ctx context.Context, cl *call, req agateroute.Request, p printed) (attempt, *reply) {
	d := e.router.choose(ctx, req)
	if d.Verdict == agateroute.Refuse {
		rep := refuseDecision(d, outcomeNotRun)
		return attempt{}, &rep
	}
	token, refused := e.probe(ctx, cl, p, d)
	if refused != nil {
		e.router.finish(d.Upstream, agateroute.Observation{Outcome: agateroute.Canceled, Suspect: true})
		return attempt{}, refused
	}
	e.logDecision(cl, agatelog.Suspect, d)
	a := e.attempt(ctx, cl, d, p)
	e.settle(p, token, a.reply)
	return a, nil
}

// endAlone is the final answer to a suspect that ran.
func (e *Entry) endAlone(cl *call, p printed, a attempt) reply {
	if final, ok := e.finalRead(cl, a); ok {
		return final
	}
	if e.suspects.check(p.print) == agatesuspect.Refused {
		rep := *e.refusePrint(cl)
		rep.outcome = outcomeUnknown
		return rep
	}
	return failedRead(a, a.decision, a.reply.MayHaveRun)
}

// probe asks the control group for the right to run a suspect.
func (e *Entry) probe(ctx context.Context, cl *call, p printed, d agateroute.Decision) (agatestate.Token, *reply) {
	token := newToken()
	_, incarnation := e.suspects.incarnationOf(d.Upstream)
	res, outcome := e.submit(ctx, agatestate.Command{Probe: &agatestate.Probe{
		Fingerprint: agateclient.StateFingerprint(p.print),
		Upstream:    string(d.Upstream),
		Incarnation: incarnation,
		Holder:      e.cfg.Settings.Name,
		Token:       token,
		Timeout:     time.Until(cl.deadline) + e.cfg.Settings.Wait.Answer,
	}})
	if outcome != agateclient.Applied {
		rep := refusal(http.StatusServiceUnavailable, outcomeNotRun, "control", minRetryAfter)
		return token, &rep
	}
	switch res.Verdict {
	case agatestate.Granted, agatestate.Clear:
		return token, nil
	case agatestate.Final:
		return token, e.refusePrint(cl)
	}
	rep := refusal(http.StatusServiceUnavailable, outcomeNotRun, "probe", max(res.RetryAfter, minRetryAfter))
	return token, &rep
}

func (s *suspects) incarnationOf(id agateroute.UpstreamID) (string, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run(id)
}

// settle tells the control group how a probe ended.
func (e *Entry) settle(p printed, token agatestate.Token, r agateupstream.Result) {
	end := agatestate.EndProbe{Fingerprint: agateclient.StateFingerprint(p.print), Token: token, Outcome: agatestate.NotStarted}
	switch {
	case r.UpstreamDied:
		end.Outcome = agatestate.Died
	case r.Kind == agateupstream.Answered:
		end.Outcome = agatestate.Survived
	}
	ctx, cancel := context.WithTimeout(e.ctx, deathTime)
	defer cancel()
	e.submit(ctx, agatestate.Command{EndProbe: &end})
	e.beats.kick()
}

func newToken() agatestate.Token {
	var t agatestate.Token
	_, _ = rand.Read(t[:]) // never fails
	return t
}
