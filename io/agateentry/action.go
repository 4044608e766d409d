package agateentry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"agategate/core/agateroute"
	"agategate/core/agatestate"
	"agategate/io/agateclient"
	"agategate/io/agateupstream"
)

// act runs a call that must not repeat.
func (e *Entry) act(ctx context.Context, cl *call) reply {
	ctx, cancel := context.WithDeadline(ctx, cl.deadline)
	defer cancel()
	payload := sha256.Sum256(append([]byte(cl.method+" "+cl.path+"\n"), cl.body...))
	token := newToken()
	res, out := e.submit(ctx, agatestate.Command{Claim: &agatestate.Claim{
		Service: cl.service, Key: cl.key, Payload: payload, Holder: e.cfg.Settings.Name, Epoch: e.epoch,
		Token: token, Deadline: time.Until(cl.deadline), Seen: cl.seen,
	}})
	if out != agateclient.Applied {
		return refusal(http.StatusServiceUnavailable, outcomeUnknown, "control", minRetryAfter)
	}
	switch res.Verdict {
	case agatestate.Granted:
	case agatestate.Done:
		h := http.Header{}
		for _, f := range res.Answer.Header {
			h.Add(f.Name, f.Value)
		}
		return reply{status: res.Answer.Status, outcome: outcomeRun, header: h, body: res.Answer.Body}
	case agatestate.Mismatch:
		return refusal(http.StatusUnprocessableEntity, outcomeNotRun, "mismatch", 0)
	default:
		return refusal(http.StatusConflict, outcomeUnknown, res.Verdict.String(), max(res.RetryAfter, minRetryAfter))
	}
	req := cl.request()
	d := e.router.choose(ctx, req)
	if d.Verdict != agateroute.Send {
		_, out := e.submit(e.ctx, agatestate.Command{Release: &agatestate.Release{Service: cl.service, Key: cl.key, Payload: payload, Token: token}})
		if out == agateclient.Applied {
			return refuseDecision(d, outcomeNotRun)
		}
		return refuseDecision(d, outcomeUnknown)
	}
	r := e.pool.Do(ctx, agateupstream.Call{
		Upstream: string(d.Upstream), Address: d.Address, Method: cl.method, Path: cl.path,
		Header: cl.header, Body: cl.body, Deadline: cl.deadline, Action: true,
	})
	e.router.finish(d.Upstream, e.observation(cl, d, r, false))
	if r.Kind != agateupstream.Answered {
		return refusal(http.StatusGatewayTimeout, outcomeUnknown, r.Kind.String(), minRetryAfter)
	}
	ans := agatestate.Answer{Status: r.Status, Body: r.Body}
	for name, vs := range r.Header {
		for _, v := range vs {
			ans.Header = append(ans.Header, agatestate.Field{Name: name, Value: v})
		}
	}
	e.submit(e.ctx, agatestate.Command{Finish: &agatestate.Finish{Service: cl.service, Key: cl.key, Token: token, Answer: ans}})
	return answer(r)
}
