package agateentry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
	"agategate/core/agateroute"
	"agategate/io/agatelog"
	"agategate/io/agateops"
	"agategate/io/agatewire"
)

// maxAdminConns is the limit of connections to the admin listener.
const maxAdminConns = 64

// stateMap maps each upstream to its last announced state. It is safe for
// concurrent use.
type stateMap struct {
	states sync.Map // agateroute.UpstreamID to agateroute.State
}

// Swap stores a state and returns the previous one, if known.
func (m *stateMap) Swap(id agateroute.UpstreamID, s agateroute.State) (previous agateroute.State, known bool) {
	old, known := m.states.Swap(id, s)
	if !known {
		return 0, false
	}
	return old.(agateroute.State), true
}

// callerRoutes returns the handler for callers and upstreams.
func (e *Entry) callerRoutes() http.Handler {
	ec := agateops.NewEcho()
	ec.Use(e.requireReady)
	ec.GET("/v1/lookup", e.handleLookup)
	ec.Any("/v1/call/*", e.handleCall)
	ec.POST("/v1/announce", e.handleAnnounce)
	return ec
}

// requireReady answers 503 until the host is ready.
func (e *Entry) requireReady(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if e.ready.Load() {
			return next(c)
		}
		writeReply(c.Response(), newID(), errorReply(http.StatusServiceUnavailable, outcomeUnknown, "starting", minRetryAfter))
		return nil
	}
}

// adminRoutes returns the handler for operators on the loopback address.
func (e *Entry) adminRoutes() http.Handler {
	ec := agateops.NewEcho()
	ec.GET("/metrics", echo.WrapHandler(e.metrics.set))
	ec.GET("/healthz", e.handleHealth)
	ec.GET("/v1/explain/:request", e.handleExplain)
	return ec
}

// wireHealth is the body of GET /healthz.
type wireHealth struct {
	Host      string `json:"host"`
	Ready     bool   `json:"ready"`
	Draining  bool   `json:"draining"`
	Revision  uint64 `json:"revision"`
	Upstreams int    `json:"upstreams"`
	// Error is the reason why the host does not serve callers. It is empty if
	// the host is ready.
	Error string `json:"error,omitempty"`
}

// notReadyReason returns why the host does not serve callers, or "".
func (e *Entry) notReadyReason() string {
	switch {
	case e.draining.Load():
		return "the host is stopping"
	case !e.ready.Load():
		return "the newest configuration is not known yet: no majority of the control group has answered"
	}
	return ""
}

func (e *Entry) handleHealth(c echo.Context) error {
	h := wireHealth{
		Host:      e.cfg.Settings.Name,
		Ready:     e.Ready(),
		Draining:  e.draining.Load(),
		Revision:  e.Revision(),
		Upstreams: e.Upstreams(),
		Error:     e.notReadyReason(),
	}
	status := http.StatusOK
	if !h.Ready {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, h)
}

// wireDecisions is the body of GET /v1/explain/REQUEST.
type wireDecisions struct {
	Decisions []agatelog.Decision `json:"decisions"`
}

func (e *Entry) handleExplain(c echo.Context) error {
	list := e.cfg.Log.Explain(c.Param("request"))
	if len(list) == 0 {
		return c.JSON(http.StatusNotFound, wireError{Error: "the host keeps no decision on this request"})
	}
	return c.JSON(http.StatusOK, wireDecisions{Decisions: list})
}

// Explain returns the stored decisions of this host on a request.
func (s *peerService) Explain(_ context.Context, req *agatewire.ExplainAsk) (*agatewire.ExplainReply, error) {
	reply := &agatewire.ExplainReply{Sender: s.e.identity()}
	for _, d := range s.e.cfg.Log.Explain(req.Request) {
		reply.Decisions = append(reply.Decisions, &agatewire.Decided{
			Time:       d.Time.UnixNano(),
			Kind:       string(d.Kind),
			Service:    d.Service,
			Choice:     d.Choice,
			Reason:     d.Reason,
			Considered: toWireCandidates(d.Candidates),
			Compared:   int64(d.CandidateCount),
			Action:     d.Action,
			Outcome:    string(d.Outcome),
			Took:       int64(d.Duration),
		})
	}
	return reply, nil
}

func toWireCandidates(list []agatelog.Candidate) []*agatewire.Candidate {
	out := make([]*agatewire.Candidate, 0, len(list))
	for _, c := range list {
		out = append(out, &agatewire.Candidate{Name: c.Name, Cost: int64(c.ExpectedLatency), Note: c.Note})
	}
	return out
}

// candidates returns the candidates of a decision, the chosen upstream first.
func candidates(d *agateroute.Decision) []agatelog.Candidate {
	out := make([]agatelog.Candidate, 0, len(d.Candidates))
	for _, c := range d.Candidates {
		if c.ID != "" {
			out = append(out, agatelog.Candidate{Name: string(c.ID), ExpectedLatency: c.ExpectedLatency})
		}
	}
	return out
}

// logDecision records a routing decision of the table.
func (e *Entry) logDecision(cl *call, kind agatelog.Kind, d agateroute.Decision) {
	e.metrics.extraAttempt(cl.service, kind, d)
	line := agatelog.Decision{
		Request:        cl.id,
		Service:        cl.service,
		Kind:           kind,
		Action:         cl.class == agateinventory.Action,
		Choice:         string(d.Upstream),
		Reason:         string(d.Reason),
		Outcome:        agatelog.Sent,
		Duration:       time.Since(cl.arrived),
		CandidateCount: d.Considered,
	}
	if d.Upstream != "" {
		line.Candidates = candidates(&d)
	}
	if d.Verdict != agateroute.Send {
		line.Outcome = agatelog.Refused
	}
	if d.Reason == agateroute.ReasonOverflow {
		line.Kind = agatelog.Overflow
	}
	e.cfg.Log.Record(&line)
}

// recordCall records the final answer to a call.
func (e *Entry) recordCall(cl *call, rep reply) {
	took := time.Since(cl.arrived)
	e.metrics.callEnded(cl, rep, took)
	e.cfg.Log.Record(&agatelog.Decision{
		Request:  cl.id,
		Service:  cl.service,
		Kind:     agatelog.Admit,
		Action:   cl.class == agateinventory.Action,
		Choice:   e.cfg.Settings.Name,
		Reason:   rep.reason,
		Outcome:  agatelog.Outcome(rep.outcome),
		Duration: took,
	})
}

// forgetUpstream removes the state that other components hold of an upstream
// that was removed from the table.
func (e *Entry) forgetUpstream(id agateroute.UpstreamID) {
	e.pool.Remove(string(id))
	e.states.states.Delete(id)
	e.suspects.forget(id)
}

// routeEvent logs an event of the table and applies its effects.
func (e *Entry) routeEvent(ev agateroute.Event) {
	kind := agatelog.StateChange
	if ev.Kind == agateroute.EventDrain || ev.Kind == agateroute.EventDrained {
		kind = agatelog.Drain
	}
	if ev.Kind == agateroute.EventRemoved {
		e.forgetUpstream(ev.Upstream)
	}
	if ev.Kind == agateroute.EventDrained {
		e.metrics.drained("upstream", ev.Duration)
	}
	e.cfg.Log.Record(&agatelog.Decision{
		Service:  ev.Service,
		Kind:     kind,
		Choice:   string(ev.Upstream),
		Reason:   string(ev.Kind),
		Duration: ev.Duration,
	})
}
