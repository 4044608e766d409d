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

// reportTimeout limits the report of an upstream's death or of the result of a
// probe to the control group. The answer to the caller waits for the report, so
// that the caller's retry at any entry host finds the request recorded as a
// suspect.
const reportTimeout = 500 * time.Millisecond

// admitFingerprint computes the fingerprint of a request and checks whether it
// may run. A non-nil reply is a refusal.
func (e *Entry) admitFingerprint(cl *call) (requestFingerprint, *reply) {
	f := requestFingerprint{fingerprint: agatesuspect.NewFingerprint(cl.service, cl.method, cl.path, cl.key, cl.body.Blocks()...)}
	switch e.suspects.check(f.fingerprint) {
	case agatesuspect.Refused:
		return f, e.refuseFingerprint(cl)
	case agatesuspect.Suspect:
		f.suspect = true
	case agatesuspect.Clear:
	}
	return f, nil
}

// refuseFingerprint returns the final answer to a request whose fingerprint is
// refused because upstreams died while they ran it. It has no Retry-After,
// because the request remains refused.
func (e *Entry) refuseFingerprint(cl *call) *reply {
	e.cfg.Log.Record(&agatelog.Decision{
		Request: cl.id, Service: cl.service, Kind: agatelog.Suspect,
		Reason: "upstreams-died", Outcome: agatelog.Refused, Duration: time.Since(cl.arrived),
	})
	rep := errorReply(http.StatusUnprocessableEntity, outcomeNotRun, "upstreams-died", 0)
	return &rep
}

// reportDeath reports to the control group and to peers which requests were in
// flight when an upstream died.
func (e *Entry) reportDeath(id agateroute.UpstreamID) {
	fingerprints, incarnation := e.suspects.upstreamDied(id)
	if len(fingerprints) == 0 {
		return
	}
	cmd := agatestate.Death{Host: e.cfg.Settings.Name, Upstream: string(id), Incarnation: incarnation}
	for _, f := range fingerprints {
		cmd.Fingerprints = append(cmd.Fingerprints, agateclient.ToStateFingerprint(f))
	}
	e.log.Warn("upstream died", "kind", "suspect", "choice", string(id), "incarnation", incarnation, "considered", len(fingerprints))
	e.exchange.triggerAll()
	ctx, cancel := context.WithTimeout(e.ctx, reportTimeout)
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
	e.observeIndex(res.Index)
	return res, agateclient.Applied
}

const (
	// probeTimeout limits how long a suspect waits for the probe of a request
	// with the same fingerprint, or for an upstream without another suspect.
	probeTimeout = 500 * time.Millisecond
	// probeRetryInterval is the delay between attempts to start a probe.
	probeRetryInterval = 20 * time.Millisecond
)

// readIsolated runs a suspect read as a probe. Of the requests with one
// fingerprint, only one runs at a time over all entry hosts, and never together
// with another suspect on the same upstream, so that the death of the upstream
// proves which request caused it. mayHaveRun is set if an earlier attempt may
// have run.
func (e *Entry) readIsolated(ctx context.Context, cl *call, req agateroute.Request, f requestFingerprint, mayHaveRun bool) reply {
	f.suspect = true
	req.Suspect = true
	// At least half of the remaining time is left for the answer.
	end := time.Now().Add(min(probeTimeout, time.Until(cl.deadline)/2))
	for {
		a, refused := e.tryIsolated(ctx, cl, req, f)
		if refused == nil {
			if a.result.MayHaveRun || !time.Now().Before(end) {
				return e.isolatedReadReply(cl, f, a)
			}
			// The request did not run, for example because the upstream had
			// died just before. Another upstream may be tried.
			req.Tried = append(req.Tried, a.decision.Upstream)
			continue
		}
		// A refusal without Retry-After is final.
		if refused.retryAfter == 0 || !time.Now().Before(end) {
			if mayHaveRun {
				refused.outcome = outcomeUnknown
			}
			return *refused
		}
		select {
		case <-ctx.Done():
			return errorReply(http.StatusGatewayTimeout, outcomeUnknown, "deadline", minRetryAfter)
		case <-time.After(probeRetryInterval):
		}
	}
}

// tryIsolated reserves an upstream for a suspect and runs the suspect there.
func (e *Entry) tryIsolated(ctx context.Context, cl *call, req agateroute.Request, f requestFingerprint) (attempt, *reply) {
	d := e.router.choose(ctx, req)
	if d.Verdict == agateroute.Refuse {
		rep := refusedReply(d, outcomeNotRun)
		return attempt{}, &rep
	}
	token, refused := e.acquireProbe(ctx, cl, f, d)
	if refused != nil {
		e.router.finish(d.Upstream, agateroute.Observation{Outcome: agateroute.Canceled, Suspect: true})
		return attempt{}, refused
	}
	e.logDecision(cl, agatelog.Suspect, d)
	a := e.attempt(ctx, cl, d, f)
	e.reportProbeResult(f, token, a.result)
	return a, nil
}

// isolatedReadReply returns the final answer to a suspect that ran.
func (e *Entry) isolatedReadReply(cl *call, f requestFingerprint, a attempt) reply {
	if final, ok := e.finalReadReply(cl, a); ok {
		return final
	}
	if e.suspects.check(f.fingerprint) == agatesuspect.Refused {
		rep := *e.refuseFingerprint(cl)
		rep.outcome = outcomeUnknown
		return rep
	}
	return failedReadReply(a, a.decision, a.result.MayHaveRun)
}

// acquireProbe requests permission to run a suspect from the control group.
func (e *Entry) acquireProbe(ctx context.Context, cl *call, f requestFingerprint, d agateroute.Decision) (agatestate.Token, *reply) {
	token := newToken()
	_, incarnation := e.suspects.currentInstance(d.Upstream)
	res, outcome := e.submit(ctx, agatestate.Command{Probe: &agatestate.Probe{
		Fingerprint: agateclient.ToStateFingerprint(f.fingerprint),
		Upstream:    string(d.Upstream),
		Incarnation: incarnation,
		Holder:      e.cfg.Settings.Name,
		Token:       token,
		Timeout:     time.Until(cl.deadline) + e.cfg.Settings.Wait.Answer,
	}})
	if outcome != agateclient.Applied {
		rep := errorReply(http.StatusServiceUnavailable, outcomeNotRun, "control", minRetryAfter)
		return token, &rep
	}
	switch res.Verdict {
	case agatestate.Granted, agatestate.Clear:
		return token, nil
	case agatestate.Final:
		return token, e.refuseFingerprint(cl)
	}
	rep := errorReply(http.StatusServiceUnavailable, outcomeNotRun, "probe", max(res.RetryAfter, minRetryAfter))
	return token, &rep
}

// currentInstance is instance with locking.
func (s *suspects) currentInstance(id agateroute.UpstreamID) (string, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance(id)
}

// reportProbeResult reports the result of a probe to the control group.
func (e *Entry) reportProbeResult(f requestFingerprint, token agatestate.Token, r agateupstream.Result) {
	cmd := agatestate.EndProbe{Fingerprint: agateclient.ToStateFingerprint(f.fingerprint), Token: token, Outcome: agatestate.Inconclusive}
	switch {
	case r.UpstreamDied:
		cmd.Outcome = agatestate.Died
	case r.Kind == agateupstream.Answered:
		cmd.Outcome = agatestate.Survived
	}
	ctx, cancel := context.WithTimeout(e.ctx, reportTimeout)
	defer cancel()
	e.submit(ctx, agatestate.Command{EndProbe: &cmd})
	e.heartbeats.trigger()
}

func newToken() agatestate.Token {
	var t agatestate.Token
	_, _ = rand.Read(t[:]) // never fails
	return t
}
