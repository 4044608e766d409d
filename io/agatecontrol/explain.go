package agatecontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"agategate/internal/agateanswer"
	"agategate/io/agatelog"
	"agategate/io/agateops"
	"agategate/io/agatewire"
)

const (
	// explainTimeout bounds the query of one entry host, explainConcurrency the
	// number of hosts that are queried at once, and explainMaxBytes the size of
	// one answer.
	explainTimeout     = time.Second
	explainConcurrency = 32
	explainMaxBytes    = 1 << 20
)

// explain collects the decisions of all entry hosts on a request.
func (c *Control) explain(ctx context.Context, request string) agateops.ExplainResult {
	if _, err := c.leaderReplica(ctx); err != nil {
		return agateops.ExplainResult{Reply: c.readErrorReply(ctx, err)}
	}
	out := agateops.ExplainResult{Reply: agateops.Reply{Outcome: agateops.Done}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, explainConcurrency)
	query := func(host string, decisions func() ([]agatelog.Decision, error)) {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			list, err := decisions()
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				out.Missing = append(out.Missing, host)
			case len(list) > 0:
				out.Hosts = append(out.Hosts, agateops.HostDecisions{Host: host, Decisions: list})
			}
		})
	}
	now := time.Now()
	for _, h := range c.sessions.all() {
		if now.Sub(h.lastHeartbeat) <= sessionLease {
			query(h.host, func() ([]agatelog.Decision, error) { return c.queryDecisions(ctx, h.heartbeat.Peer, request) })
		}
	}
	for _, h := range c.presence.all(now) {
		if h.admin.IsValid() {
			query(h.name, func() ([]agatelog.Decision, error) { return fetchDecisions(ctx, h.admin, request) })
		}
	}
	wg.Wait()
	return out
}

// explainClient queries entry hosts over their operators' interface.
var explainClient = &http.Client{Transport: agateanswer.NewTransport(agateanswer.TransportConfig{})}

// fetchDecisions queries an entry host that uses a routing plan, over its
// operators' interface.
func fetchDecisions(ctx context.Context, admin netip.AddrPort, request string) ([]agatelog.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin.String()+"/v1/explain/"+url.PathEscape(request), nil)
	if err != nil {
		return nil, fmt.Errorf("agatecontrol: explain: %w", err)
	}
	resp, err := explainClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("agatecontrol: explain: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read or is not needed
	if resp.StatusCode == http.StatusNotFound {
		return nil, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("agatecontrol: explain: %s from %s", resp.Status, admin)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, explainMaxBytes))
	if err != nil {
		return nil, fmt.Errorf("agatecontrol: explain: %w", err)
	}
	var body struct {
		Decisions []agatelog.Decision `json:"decisions"`
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, fmt.Errorf("agatecontrol: explain: %w", err)
	}
	return body.Decisions, nil
}

func (c *Control) queryDecisions(ctx context.Context, peer, request string) ([]agatelog.Decision, error) {
	addr, err := netip.ParseAddrPort(peer)
	if err != nil {
		return nil, err
	}
	conn, err := c.dialer.Conn(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	reply, err := agatewire.NewPeerClient(conn).Explain(ctx, &agatewire.ExplainAsk{Sender: c.identity(), Request: request})
	c.dialer.Report(addr, err)
	if err != nil {
		return nil, err
	}
	out := make([]agatelog.Decision, 0, len(reply.Decisions))
	for _, d := range reply.Decisions {
		out = append(out, agatelog.Decision{
			Time:     time.Unix(0, d.Time),
			Request:  request,
			Service:  d.Service,
			Kind:     agatelog.Kind(d.Kind),
			Choice:   d.Choice,
			Reason:   d.Reason,
			Outcome:  agatelog.Outcome(d.Outcome),
			Duration: time.Duration(d.Took),

			Action:         d.Action,
			Candidates:     fromWireCandidates(d.Considered),
			CandidateCount: int(d.Compared),
		})
	}
	return out, nil
}

func fromWireCandidates(list []*agatewire.Candidate) []agatelog.Candidate {
	out := make([]agatelog.Candidate, 0, len(list))
	for _, c := range list {
		out = append(out, agatelog.Candidate{Name: c.Name, ExpectedLatency: time.Duration(c.Cost), Note: c.Note})
	}
	return out
}
