package agatecli_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"agategate/io/agatecli"
	"agategate/io/agatelog"
	"agategate/io/agateops"
	"agategate/io/agatesettings"
)

// TestMain makes the command line available to the scripts as a program.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"agategate": func() {
		os.Exit(agatecli.Run(context.Background(), agatecli.Config{
			Entry: func(_ context.Context, s agatesettings.Entry) error {
				fmt.Println("entry", s.Name, s.Log.Level, s.Limit.Queue)
				return nil
			},
			Control: func(context.Context, agatesettings.Control) error {
				return errors.New("agatecontrol: the data directory is in use")
			},
			Demo: func(_ context.Context, out io.Writer, args []string) error {
				_, err := fmt.Fprintln(out, "demo", args)
				return err
			},
			Version: "v0.test", Environ: os.Environ(),
		}, os.Args[1:]))
	}})
}

// Guards against changes of the output and exit codes that operators' scripts
// rely on.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": exits,
		},
		Setup: func(env *testscript.Env) error {
			c := &fakeControl{hosts: []agateops.Host{{Name: "entry-1", Region: "centro", Alive: true}, {Name: "entry-2", Region: "oriente", Alive: true}}}
			srv := httptest.NewServer(agateops.New(c.config()))
			env.Defer(srv.Close)
			env.Setenv("AGATEGATE_CONTROL", srv.Listener.Addr().String())
			// The race detector otherwise waits 1 s at each exit.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			env.Setenv("SERVER", srv.Listener.Addr().String())
			return nil
		},
	})
}

// exits is the script command that runs a program and checks its exit code.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM [ARGUMENT...]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// fakeControl is a fake control replica that keeps one configuration in memory. Hosts
// report a new revision from the second status read on.
type fakeControl struct {
	mu          sync.Mutex
	current     agateops.Configuration
	results     map[string]agateops.ChangeResult
	hosts       []agateops.Host
	statusReads int

	activePlan agateops.PlanResult
	evacuated  []string
}

func (c *fakeControl) plan(context.Context) agateops.PlanResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.activePlan
	r.Reply = done
	return r
}

func (c *fakeControl) applyPlan(_ context.Context, r agateops.PlanRequest) agateops.PlanResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Base != c.activePlan.Version {
		return agateops.PlanResult{Reply: agateops.Reply{Outcome: agateops.Conflict, Reason: fmt.Sprintf("version %d is in force", c.activePlan.Version)}}
	}
	c.activePlan = agateops.PlanResult{Version: r.Plan.Version, Document: r.Document}
	return agateops.PlanResult{Reply: done, Version: r.Plan.Version}
}

func (c *fakeControl) fleet(context.Context) agateops.FleetResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return agateops.FleetResult{Reply: done, Fleet: agateops.Fleet{
		Version: c.activePlan.Version, Evacuated: c.evacuated,
		Upstreams: []agateops.FleetUpstream{
			{ID: "u1", Service: "stock", Domain: "centro-a", Address: "127.0.5.1:80", Slots: 4, WarmupLeft: 2 * time.Second},
			{ID: "u2", Service: "stock", Domain: "centro-a", Address: "127.0.5.2:80", Slots: 4, Deregistered: true, Expired: true},
			{ID: "u3", Service: "other", Domain: "centro-a", Address: "127.0.5.3:80", Slots: 4, Draining: true, Unnamed: true},
		},
		Hosts: []agateops.FleetHost{{Name: "entry-1", Region: "centro", Domain: "centro-a", CallerAddr: "127.0.1.1:80", Ready: true}},
	}}
}

func (c *fakeControl) evacuate(_ context.Context, r agateops.EvacuateRequest) agateops.Reply {
	if r.Domain != "centro-a" {
		return agateops.Reply{Outcome: agateops.Invalid, Reason: "no upstream or entry host is known in failure domain " + r.Domain}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated = nil
	if r.On {
		c.evacuated = []string{r.Domain}
	}
	return done
}

var done = agateops.Reply{Outcome: agateops.Done}

func (c *fakeControl) config() agateops.Config {
	c.results = make(map[string]agateops.ChangeResult)
	return agateops.Config{
		Apply: c.apply, Config: c.read, Status: c.status, Explain: explain, ChangeMember: members,
		Plan: c.plan, ApplyPlan: c.applyPlan, Fleet: c.fleet, Evacuate: c.evacuate,
	}
}

func (c *fakeControl) apply(_ context.Context, r agateops.ChangeRequest) agateops.ChangeResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.results[r.ChangeID]; ok {
		return old
	}
	result := agateops.ChangeResult{Reply: agateops.Reply{Outcome: agateops.Conflict}, Revision: c.current.Revision, ChangeID: c.current.ChangeID}
	if r.Base == c.current.Revision {
		c.statusReads = 0
		c.current = agateops.Configuration{Revision: r.Base + 1, ChangeID: r.ChangeID, AcceptedAt: time.Unix(1e9, 0), Document: r.Document}
		result = agateops.ChangeResult{Reply: done, Revision: r.Base + 1}
	}
	c.results[r.ChangeID] = result
	return result
}

func (c *fakeControl) read(context.Context) agateops.ConfigResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return agateops.ConfigResult{Reply: done, Configuration: c.current}
}

func (c *fakeControl) status(context.Context) agateops.StatusResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.statusReads++; c.statusReads >= 2 {
		for i := range c.hosts {
			c.hosts[i].Revision, c.hosts[i].PropagationDelay = c.current.Revision, 120*time.Millisecond
		}
	}
	return agateops.StatusResult{Reply: done, Status: agateops.Status{
		Leader: "control-1", Term: 3, Revision: c.current.Revision, ChangeID: c.current.ChangeID, AcceptedAt: c.current.AcceptedAt,
		Members:    []agateops.Member{{ID: 1, Name: "control-1", Address: "127.0.2.1:9000", Role: "leader", Alive: true}},
		Hosts:      append([]agateops.Host(nil), c.hosts...),
		Capacities: []agateops.ServiceCapacity{{Service: "labels", Region: "centro", Capacity: 120, Demand: 40.5}},
		Grants:     []agateops.Grant{{Host: "entry-1", Service: "labels", From: "centro", To: "oriente", RequestRate: 10}},
		Drains:     []agateops.Drain{{Kind: "host", Name: "entry-2", Share: 0.5}},
	}}
}

func explain(_ context.Context, request string) agateops.ExplainResult {
	if request != "entry-1-4f2a" {
		return agateops.ExplainResult{Reply: done}
	}
	return agateops.ExplainResult{Reply: done, Missing: []string{"entry-2"}, Hosts: []agateops.HostDecisions{{
		Host: "entry-1", Decisions: []agatelog.Decision{{
			Time: time.Unix(1e9, 0), Request: request, Service: "labels", Kind: agatelog.Route, Action: true,
			Choice: "labels-4", Reason: "shortest expected answer", Outcome: agatelog.Sent, Duration: 1500 * time.Microsecond,
			Candidates: []agatelog.Candidate{{Name: "labels-4", ExpectedLatency: 12 * time.Millisecond}, {Name: "labels-5", Note: "draining"}},
		}},
	}}}
}

func members(_ context.Context, r agateops.MemberRequest) agateops.MemberResult {
	if r.Action == agateops.Promote {
		return agateops.MemberResult{Reply: agateops.Reply{Outcome: agateops.Conflict, Reason: "the learner has no full copy yet"}}
	}
	return agateops.MemberResult{Reply: done, Members: []agateops.Member{{ID: 6, Name: r.Name, Address: r.Address, Role: "learner"}}}
}

// Guards against a reload that applies keys which need a restart, or that applies
// invalid settings.
func TestReload(t *testing.T) {
	file := t.TempDir() + "/entry.toml"
	write := func(level, name string) {
		text := fmt.Sprintf("name = %q\nregion = \"centro\"\ndomain = \"centro-a\"\ncaller = \"127.0.1.1:8080\"\npeer = \"127.0.1.1:8081\"\n"+
			"replicas = [\"127.0.2.1:9000\"]\ntls.insecure = true\nlog.level = %q\n", name, level)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o644))
	}
	write("info", "entry-1")
	signals := make(chan os.Signal)
	settings := make(chan agatesettings.Entry)
	stderr := make(lineWriter, 10)
	code := agatecli.Run(t.Context(), agatecli.Config{
		Reload:      signals,
		ReloadEntry: func(s agatesettings.Entry) { settings <- s },
		Stderr:      stderr,
		Entry: func(_ context.Context, s agatesettings.Entry) error {
			assert.Check(t, s.Log.Level == "info")
			stderr.await(t, "connections are not encrypted")
			write("loud", "entry-1")
			signals <- os.Interrupt
			stderr.await(t, "settings not reloaded")
			write("debug", "entry-2")
			signals <- os.Interrupt
			stderr.await(t, "settings read again: applied=log.level restart=name")
			s = <-settings
			assert.Check(t, s.Log.Level == "debug" && s.Name == "entry-1")
			return nil
		},
	}, []string{"entry", "--settings", file})
	assert.Equal(t, code, agatecli.ExitOK)
}

// lineWriter passes each log line to the test, which must not write the next
// settings before the process has read the previous ones.
type lineWriter chan string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

func (w lineWriter) await(t *testing.T, text string) {
	t.Helper()
	line := <-w
	assert.Check(t, strings.Contains(line, text), line)
}
