package agateops_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"agategate/io/agatelog"
	"agategate/io/agateops"
)

// group is a fake control group that keeps one configuration in memory.
type group struct {
	mu       sync.Mutex
	current  agateops.Configuration
	results  map[string]agateops.ChangeResult
	accepted int
	// forgetConflicts makes the group store only the results of accepted
	// changes.
	forgetConflicts bool
	// beforeApply runs before a change is applied.
	beforeApply func()
	// alterResult may replace the result after the change was applied.
	alterResult func(replica string, r agateops.ChangeResult) agateops.ChangeResult
	// down makes a replica reject calls before anything is proposed.
	down   map[string]bool
	leader string // admin address; empty: every replica leads, "?": no leader is known

	planVersion uint64
	plan        []byte
}

func newGroup() *group {
	return &group{results: make(map[string]agateops.ChangeResult), down: make(map[string]bool)}
}

func (g *group) apply(r agateops.ChangeRequest) agateops.ChangeResult {
	if old, ok := g.results[r.ChangeID]; ok {
		return old
	}
	result := agateops.ChangeResult{Reply: agateops.Reply{Outcome: agateops.Conflict}, Revision: g.current.Revision, ChangeID: g.current.ChangeID}
	if r.Base == g.current.Revision {
		g.accepted++
		g.current = agateops.Configuration{Revision: r.Base + 1, ChangeID: r.ChangeID, AcceptedAt: time.Unix(1e9, 0), Document: r.Document}
		result = agateops.ChangeResult{Reply: agateops.Reply{Outcome: agateops.Done}, Revision: r.Base + 1, ChangeID: r.ChangeID}
	}
	if result.Outcome == agateops.Done || !g.forgetConflicts {
		g.results[r.ChangeID] = result
	}
	return result
}

// replica returns the Config of one replica. The replica leads if its address
// is that of the leader or no leader is set.
func (g *group) replica(name string, addr func() string) agateops.Config {
	checkLeader := func() (agateops.Reply, bool) {
		if g.down[name] {
			return agateops.Reply{Outcome: agateops.NotRun, Reason: "no majority"}, false
		}
		if g.leader != "" && g.leader != addr() {
			return agateops.Reply{Outcome: agateops.NotLeader, Leader: strings.TrimSuffix(g.leader, "?")}, false
		}
		return agateops.Reply{Outcome: agateops.Done}, true
	}
	return agateops.Config{
		Apply: func(_ context.Context, r agateops.ChangeRequest) agateops.ChangeResult {
			g.mu.Lock()
			defer g.mu.Unlock()
			reply, ok := checkLeader()
			if !ok {
				return agateops.ChangeResult{Reply: reply}
			}
			if g.beforeApply != nil {
				g.beforeApply()
			}
			result := g.apply(r)
			if g.alterResult != nil {
				result = g.alterResult(name, result)
			}
			return result
		},
		Config: func(context.Context) agateops.ConfigResult {
			g.mu.Lock()
			defer g.mu.Unlock()
			reply, _ := checkLeader()
			return agateops.ConfigResult{Reply: reply, Configuration: g.current}
		},
		Status: func(context.Context) agateops.StatusResult {
			g.mu.Lock()
			defer g.mu.Unlock()
			reply, _ := checkLeader()
			return agateops.StatusResult{Reply: reply, Status: agateops.Status{Name: name, Revision: g.current.Revision}}
		},
		Explain: func(_ context.Context, request string) agateops.ExplainResult {
			r := agateops.ExplainResult{Reply: agateops.Reply{Outcome: agateops.Done}}
			if request == "r1" {
				r.Hosts = []agateops.HostDecisions{{Host: "entry-1", Decisions: []agatelog.Decision{{Request: "r1", Kind: agatelog.Route}}}}
			}
			return r
		},
		ChangeMember: func(_ context.Context, r agateops.MemberRequest) agateops.MemberResult {
			if r.ID == 9 {
				return agateops.MemberResult{Reply: agateops.Reply{Outcome: agateops.Conflict, Reason: "the learner has no full copy yet"}}
			}
			return agateops.MemberResult{Reply: agateops.Reply{Outcome: agateops.Done}, Members: []agateops.Member{{ID: r.ID, Name: r.Name, Address: r.Address, Role: "learner"}}}
		},
		Plan: func(context.Context) agateops.PlanResult {
			g.mu.Lock()
			defer g.mu.Unlock()
			reply, _ := checkLeader()
			return agateops.PlanResult{Reply: reply, Version: g.planVersion, Document: g.plan}
		},
		ApplyPlan: func(_ context.Context, r agateops.PlanRequest) agateops.PlanResult {
			g.mu.Lock()
			defer g.mu.Unlock()
			reply, ok := checkLeader()
			if !ok {
				return agateops.PlanResult{Reply: reply}
			}
			if r.Base != g.planVersion {
				return agateops.PlanResult{Reply: agateops.Reply{Outcome: agateops.Conflict, Reason: "another version is in force"}}
			}
			g.planVersion, g.plan = r.Plan.Version, r.Document
			return agateops.PlanResult{Reply: reply, Version: g.planVersion}
		},
		Fleet: func(context.Context) agateops.FleetResult {
			reply, _ := checkLeader()
			return agateops.FleetResult{Reply: reply, Fleet: agateops.Fleet{Upstreams: []agateops.FleetUpstream{{ID: "u1", Service: "stock"}}}}
		},
		Evacuate: func(_ context.Context, r agateops.EvacuateRequest) agateops.Reply {
			if r.Domain != "centro-a" {
				return agateops.Reply{Outcome: agateops.Invalid, Reason: "no such failure domain"}
			}
			return agateops.Reply{Outcome: agateops.Done}
		},
		Ready:       func() error { return nil },
		CallTimeout: 5 * time.Second,
	}
}

// start serves a replica on loopback.
func (g *group) start(t *testing.T, name string) *httptest.Server {
	t.Helper()
	var srv *httptest.Server
	handler := agateops.New(g.replica(name, func() string { return srv.Listener.Addr().String() }))
	srv = httptest.NewUnstartedServer(handler)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv
}

func (g *group) client(t *testing.T, servers ...*httptest.Server) *agateops.Client {
	t.Helper()
	cfg := agateops.ClientConfig{RetryDelay: time.Millisecond}
	for _, s := range servers {
		cfg.Hosts = append(cfg.Hosts, s.URL)
	}
	c, err := agateops.NewClient(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// dropReply starts a server that passes each request to a handler, discards the
// reply and closes the connection.
func dropReply(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(srv.Close)
	return srv
}

const document = `target = 0.8

[[region]]
name = "centro"
domains = ["centro-a", "centro-b"]
`
