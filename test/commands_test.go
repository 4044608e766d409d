package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"agategate/core/agateinventory"
	"agategate/io/agatedemo"
	"agategate/io/agateops"
)

// commandFunc implements a command of the scripts. Only operate and want support
// negation by "!", other commands ignore neg.
type commandFunc = func(ts *testscript.TestScript, neg bool, args []string)

// commands maps the commands of the scripts to their implementations.
var commands = map[string]commandFunc{
	"system":             doSystem,
	"start":              doStart,
	"signal":             doSignal,
	"wait-exit":          doWaitExit,
	"wipe-data":          doWipeData,
	"join":               doJoin,
	"member-id":          doMemberID,
	"operate":            doOperate,
	"apply":              doApply,
	"wait-revision":      doWaitRevision,
	"find-leader":        doFindLeader,
	"wait-members":       doWaitMembers,
	"start-upstreams":    doStartUpstreams,
	"set-state":          doSetState,
	"idle-after":         doIdleAfter,
	"call":               doCall,
	"send":               doSend,
	"await":              doAwait,
	"want":               doWant,
	"key-executions":     doKeyExecutions,
	"crashed-upstreams":  doCrashedUpstreams,
	"stop-announcements": doStopAnnouncements,
	"blackhole":          doBlackhole,
	"region-executions":  doRegionExecutions,
	"apply-changes":      doApplyChanges,
	"overflow-rule":      doOverflowRule,
	"wait-reachable":     doWaitReachable,
	"start-load":         doStartLoad,
	"stop-load":          doStopLoad,
	"sleep":              doSleep,
}

func requireArgs(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

func parseInt(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func parseDuration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

// doSystem starts CONTROLS control replicas and ENTRIES entry hosts and waits
// until the control group answers a status query. It sets $CONTROL1 to the admin
// address of control-1. With "tls", connections between hosts and connections of
// operators use mutual TLS.
func doSystem(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "system CONTROLS ENTRIES [tls]")
	s := systemOf(ts)
	ts.Check(s.configure(parseInt(ts, args[0]), parseInt(ts, args[1])))
	if len(args) > 2 && args[2] == "tls" {
		ts.Check(s.enableTLS())
		s.operatorEnv = []string{
			"AGATEGATE_CA=" + filepath.Join(s.dir, "ca.pem"),
			"AGATEGATE_CERT=" + filepath.Join(s.dir, "operator.pem"),
			"AGATEGATE_KEY=" + filepath.Join(s.dir, "operator.key"),
		}
	}
	for _, h := range s.controls {
		s.start(ts, h.name)
	}
	for _, h := range s.entries {
		s.start(ts, h.name)
	}
	ts.Setenv("CONTROL1", s.controls[0].admin.String())
	waitUntil(ts, waitTimeout, func() error { _, err := s.status(ts); return err })
}

func doStart(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		systemOf(ts).start(ts, name)
	}
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

// doSignal sends a signal to processes. After KILL it waits until they have
// exited.
func doSignal(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "signal KILL|STOP|CONT|TERM NAME...")
	for _, name := range args[1:] {
		p := systemOf(ts).processes[name]
		if p == nil {
			ts.Fatalf("no process %q", name)
		}
		p.signal(signals[args[0]])
		if args[0] == "KILL" {
			<-p.done
		}
	}
}

// doWaitExit waits until a process exits and checks its exit code.
func doWaitExit(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "wait-exit NAME CODE")
	p := systemOf(ts).processes[args[0]]
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		ts.Fatalf("%s is still running", args[0])
	}
	if p.exitCode != parseInt(ts, args[1]) {
		ts.Fatalf("%s exited with %d", args[0], p.exitCode)
	}
}

// doWipeData removes the data directory of a control replica.
func doWipeData(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "wipe-data NAME")
	ts.Check(os.RemoveAll(filepath.Join(systemOf(ts).dir, "data", args[0])))
}

// doJoin starts a control replica that waits to be added to the group. It sets
// $PEER to the replica's address and waits until the replica listens there.
func doJoin(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "join NAME")
	s := systemOf(ts)
	file := filepath.Join(s.dir, args[0]+".toml")
	text, err := os.ReadFile(file)
	ts.Check(err)
	text = regexp.MustCompile(`(?m)^members = .*$`).ReplaceAll(text, []byte("join = true"))
	ts.Check(os.WriteFile(file, text, 0o600))
	s.start(ts, args[0])
	for _, h := range s.controls {
		if h.name == args[0] {
			ts.Setenv("PEER", h.peer.String())
			waitUntil(ts, waitTimeout, func() error {
				conn, err := net.Dial("tcp", h.peer.String())
				if err != nil {
					return err
				}
				return conn.Close()
			})
		}
	}
}

// doMemberID sets $ID to the ID of a member of the control group.
func doMemberID(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "member-id NAME")
	st, err := systemOf(ts).status(ts)
	ts.Check(err)
	for _, m := range st.Members {
		if m.Name == args[0] {
			ts.Setenv("ID", strconv.FormatUint(m.ID, 10))
			return
		}
	}
	ts.Fatalf("no member %q", args[0])
}

// doOperate runs an operator's command. A following "want" checks its output. With
// "!" the command must fail.
func doOperate(ts *testscript.TestScript, neg bool, args []string) {
	s := systemOf(ts)
	out, err := s.runOperator(ts, args...)
	ts.Logf("%s", out)
	s.lastResponse = response{body: out}
	if (err != nil) != neg {
		ts.Fatalf("agategate %s: %v", strings.Join(args, " "), err)
	}
}

// doApply applies the inventory file and waits until the new revision is active
// on all entry hosts.
func doApply(ts *testscript.TestScript, _ bool, _ []string) {
	doOperate(ts, false, []string{"apply", "inventory.toml", "--wait"})
}

func (s *system) status(ts *testscript.TestScript) (agateops.Status, error) {
	var st agateops.Status
	out, err := s.runOperator(ts, "status", "--json")
	if err != nil {
		return st, fmt.Errorf("status: %w: %s", err, out)
	}
	err = json.Unmarshal([]byte(out), &st)
	return st, err
}

// doWaitRevision waits until a revision is active on the named entry hosts, by
// default on all of them, and these hosts are ready.
func doWaitRevision(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "wait-revision REVISION LIMIT [HOST...]")
	s := systemOf(ts)
	revision := uint64(parseInt(ts, args[0]))
	names := args[2:]
	if len(names) == 0 {
		for _, h := range s.entries {
			names = append(names, h.name)
		}
	}
	waitUntil(ts, parseDuration(ts, args[1]), func() error {
		for _, name := range names {
			got, err := fetchHealth(s.entry(ts, name))
			if err != nil {
				return err
			}
			if got.Revision != revision || !got.Ready {
				return fmt.Errorf("%s: revision %d, ready %v", name, got.Revision, got.Ready)
			}
		}
		return nil
	})
}

// doFindLeader sets $LEADER to the name of the control group's leader and
// $FOLLOWER to the name of another replica.
func doFindLeader(ts *testscript.TestScript, _ bool, _ []string) {
	s := systemOf(ts)
	waitUntil(ts, waitTimeout, func() error {
		st, err := s.status(ts)
		if err != nil {
			return err
		}
		ts.Setenv("LEADER", st.Leader)
		for _, h := range s.controls {
			if h.name != st.Leader {
				ts.Setenv("FOLLOWER", h.name)
			}
		}
		return nil
	})
}

// doWaitMembers waits until the control group consists of VOTERS live voters and
// no learners.
func doWaitMembers(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "wait-members VOTERS LIMIT")
	s := systemOf(ts)
	waitUntil(ts, parseDuration(ts, args[1]), func() error {
		st, err := s.status(ts)
		if err != nil {
			return err
		}
		alive := 0
		for _, m := range st.Members {
			if m.Role == "learner" || !m.Alive {
				return fmt.Errorf("member %s at %s: %s, alive %v", m.Name, m.Address, m.Role, m.Alive)
			}
			alive++
		}
		if alive != parseInt(ts, args[0]) {
			return fmt.Errorf("%d live voters", alive)
		}
		return nil
	})
}

// doStartUpstreams starts upstreams of a service and waits until every entry host
// knows them. They are spread over all regions unless region=NAME is given, and
// their IDs are SERVICE-REGION-N, where N counts from 1 over all regions.
// work=DURATION is the service time of a request, slots=N the number of concurrent
// requests, and crash=PATH the path that crashes the upstream. With relay=yes
// entry hosts reach the upstreams through a relay.
func doStartUpstreams(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "start-upstreams SERVICE COUNT [work=DURATION] [region=NAME] [slots=N] [crash=PATH] [relay=yes]")
	s := systemOf(ts)
	opts := parseOptions(args[2:])
	for i := range parseInt(ts, args[1]) {
		region := regionNames[i%len(regionNames)]
		if opts["region"] != "" {
			region = opts["region"]
		}
		cfg := agatedemo.UpstreamConfig{
			ID:        fmt.Sprintf("%s-%s-%d", args[0], region, i+1),
			Service:   args[0],
			Region:    region,
			Domain:    region + "-" + string(rune('a'+i/len(regionNames)%2)),
			Address:   netip.MustParseAddrPort("127.0.0.1:0"),
			Entries:   s.callerAddrs(),
			CrashPath: opts["crash"],
		}
		if opts["work"] != "" {
			cfg.ServiceTime = parseDuration(ts, opts["work"])
		}
		if opts["slots"] != "" {
			cfg.Slots = parseInt(ts, opts["slots"])
		}
		if opts["relay"] != "" {
			ts.Check(s.startRelayedUpstream(cfg))
			continue
		}
		u, err := agatedemo.StartUpstream(cfg)
		ts.Check(err)
		s.upstreams[cfg.ID] = u
	}
	for _, h := range s.entries {
		waitUntil(ts, waitTimeout, func() error {
			got, err := fetchHealth(h)
			if err == nil && got.Upstreams < len(s.upstreams) {
				err = fmt.Errorf("%s knows %d upstreams", h.name, got.Upstreams)
			}
			return err
		})
	}
}

// doWaitReachable waits until a call through each entry host succeeds. Each call
// has its own idempotency key.
func doWaitReachable(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "wait-reachable SERVICE METHOD PATH")
	s := systemOf(ts)
	n := 0
	for _, h := range s.entries {
		waitUntil(ts, waitTimeout, func() error {
			n++
			key := fmt.Sprintf("known-%s-%d", h.name, n)
			resp := request{host: h.caller, service: args[0], method: args[1], path: args[2], key: key, deadline: time.Second}.do()
			if resp.status != 200 {
				return fmt.Errorf("%s: status %d, %s", h.name, resp.status, resp.reason)
			}
			return nil
		})
	}
}

// doKeyExecutions checks how often all upstreams together have executed requests
// with an idempotency key.
func doKeyExecutions(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "key-executions KEY COUNT|<=COUNT")
	n := 0
	for _, u := range systemOf(ts).upstreams {
		n += u.Runs(args[0])
	}
	most, bounded := strings.CutPrefix(args[1], "<=")
	limit := parseInt(ts, most)
	if n > limit || (!bounded && n != limit) {
		ts.Fatalf("key %s was executed %d times", args[0], n)
	}
}

// doApplyChanges applies COUNT changes of the configuration, one after the other.
// The change that is based on revision N has the ID change-N.
func doApplyChanges(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "apply-changes COUNT")
	s := systemOf(ts)
	client, err := agateops.NewClient(agateops.ClientConfig{Hosts: strings.Split(s.controlAdminList(), ",")})
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), 6*waitTimeout)
	defer cancel()
	cur, err := client.Config(ctx)
	ts.Check(err)
	base := cur.Revision
	for range parseInt(ts, args[0]) {
		rev, err := client.Apply(ctx, agateops.ChangeRequest{ChangeID: fmt.Sprintf("change-%d", base), Base: base, Document: cur.Document})
		ts.Check(err)
		base = rev.Revision
	}
}

// doOverflowRule writes an inventory file whose only overflow rule allows
// REQUESTS requests per second of SERVICE to go from region FROM to region TO.
func doOverflowRule(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 4, "overflow-rule SERVICE FROM TO REQUESTS")
	s := systemOf(ts)
	inv := s.inventory()
	// The rates in bytes per second are too high to limit the requests of a test.
	inv.Links = []agateinventory.Link{{From: args[1], To: args[2], ByteRate: 1e9}}
	inv.Shifts = []agateinventory.Shift{{
		Service: args[0], From: args[1], To: args[2], Allow: true, MaxRequestRate: float64(parseInt(ts, args[3])), MaxByteRate: 1e8,
	}}
	ts.Check(os.WriteFile(filepath.Join(s.dir, "inventory.toml"), agateinventory.Format(inv), 0o600))
}

// doSleep waits for a fixed time, for example while the load runs.
func doSleep(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "sleep DURATION")
	time.Sleep(parseDuration(ts, args[0]))
}

// parseOptions returns the NAME=VALUE arguments as a map.
func parseOptions(args []string) map[string]string {
	out := make(map[string]string)
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		out[name] = value
	}
	return out
}

// doWant checks a response: want [NAME] CONDITION... Without NAME it checks the
// last response. The conditions are status=N, outcome=WORD, reason=WORD,
// retry=SECONDS, body~REGEXP and same=NAME, which compares the body with that of
// another response. The values of status, outcome, reason and retry may be
// alternatives separated by "|". With "!" none of the conditions may hold.
func doWant(ts *testscript.TestScript, neg bool, args []string) {
	s := systemOf(ts)
	got := s.lastResponse
	if len(args) > 0 && !strings.ContainsAny(args[0], "=~") {
		got = s.responses[args[0]]
		args = args[1:]
	}
	for _, a := range args {
		err := s.mismatch(got, a)
		if (err != nil) != neg {
			ts.Fatalf("want %s: %v in %+v", a, err, got)
		}
	}
}

// mismatch returns an error if a response does not meet a condition of "want".
func (s *system) mismatch(got response, condition string) error {
	if name, expr, ok := strings.Cut(condition, "~"); ok && name == "body" {
		if !regexp.MustCompile(expr).MatchString(got.body) {
			return errors.New("body does not match")
		}
		return nil
	}
	name, value, _ := strings.Cut(condition, "=")
	have := map[string]string{
		"status":  strconv.Itoa(got.status),
		"outcome": got.outcome,
		"reason":  got.reason,
		"retry":   got.retryAfter,
		"same":    got.body,
	}
	if name == "same" {
		value = s.responses[value].body
	}
	for _, alternative := range strings.Split(value, "|") {
		if have[name] == alternative {
			return nil
		}
	}
	return fmt.Errorf("%s is %q", name, have[name])
}
