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

type verb = func(ts *testscript.TestScript, neg bool, args []string)

// commands are the words of the scripts.
var commands = map[string]verb{
	"system":   doSystem,
	"start":    doStart,
	"signal":   doSignal,
	"exit":     doExit,
	"wipe":     doWipe,
	"join":     doJoin,
	"identity": doIdentity,
	"operate":  doOperate,
	"apply":    doApply,
	"inforce":  doInForce,
	"leader":   doLeader,
	"members":  doMembers,
	"upstream": doUpstream,
	"state":    doState,
	"idle":     doIdle,
	"call":     doCall,
	"send":     doSend,
	"await":    doAwait,
	"want":     doWant,
	"runs":     doRuns,
	"crashes":  doCrashes,
	"quiet":    doQuiet,
	"mute":     doMute,
	"ran":      doRan,
	"changes":  doChanges,
	"rule":     doRule,
	"known":    doKnown,
	"load":     doLoad,
	"unload":   doUnload,
	"pass":     doPass,
}

func need(ts *testscript.TestScript, args []string, n int, usage string) {
	if len(args) < n {
		ts.Fatalf("usage: %s", usage)
	}
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func span(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

// doSystem starts CONTROLS control replicas and ENTRIES entry hosts, and waits
// until a leader answers. With "tls", own processes and operators encrypt.
func doSystem(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "system CONTROLS ENTRIES [tls]")
	s := of(ts)
	ts.Check(s.lay(number(ts, args[0]), number(ts, args[1])))
	if len(args) > 2 && args[2] == "tls" {
		ts.Check(s.secure())
		s.operatorFiles = []string{
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
	until(ts, startTime, func() error { _, err := s.status(ts); return err })
}

func doStart(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		of(ts).start(ts, name)
	}
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

// doSignal sends a signal to processes. It waits for the end of killed ones.
func doSignal(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "signal KILL|STOP|CONT|TERM NAME...")
	for _, name := range args[1:] {
		p := of(ts).processes[name]
		if p == nil {
			ts.Fatalf("no process %q", name)
		}
		p.kill(signals[args[0]])
		if args[0] == "KILL" {
			<-p.done
		}
	}
}

// doExit waits for the end of a process and checks its exit code.
func doExit(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "exit NAME CODE")
	p := of(ts).processes[args[0]]
	select {
	case <-p.done:
	case <-time.After(startTime):
		ts.Fatalf("%s still runs", args[0])
	}
	if p.code != number(ts, args[1]) {
		ts.Fatalf("%s exited with %d", args[0], p.code)
	}
}

// doWipe removes the data directory of a control replica.
func doWipe(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "wipe NAME")
	ts.Check(os.RemoveAll(filepath.Join(of(ts).dir, "data", args[0])))
}

// doJoin starts a control replica that waits until the group adds it, sets
// $PEER to its address and waits until it listens there.
func doJoin(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "join NAME")
	s := of(ts)
	file := filepath.Join(s.dir, args[0]+".toml")
	text, err := os.ReadFile(file)
	ts.Check(err)
	text = regexp.MustCompile(`(?m)^members = .*$`).ReplaceAll(text, []byte("join = true"))
	ts.Check(os.WriteFile(file, text, 0o600))
	s.start(ts, args[0])
	for _, h := range s.controls {
		if h.name == args[0] {
			ts.Setenv("PEER", h.peer.String())
			until(ts, startTime, func() error {
				conn, err := net.Dial("tcp", h.peer.String())
				if err != nil {
					return err
				}
				return conn.Close()
			})
		}
	}
}

// doIdentity sets $ID to the identity of a member of the control group.
func doIdentity(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "identity NAME")
	st, err := of(ts).status(ts)
	ts.Check(err)
	for _, m := range st.Members {
		if m.Name == args[0] {
			ts.Setenv("ID", strconv.FormatUint(m.ID, 10))
			return
		}
	}
	ts.Fatalf("no member %q", args[0])
}

// doOperate runs an operator's command; "want" then matches its output.
func doOperate(ts *testscript.TestScript, neg bool, args []string) {
	s := of(ts)
	out, err := s.operate(ts, args...)
	ts.Logf("%s", out)
	s.last = answer{body: out}
	if (err != nil) != neg {
		ts.Fatalf("agategate %s: %v", strings.Join(args, " "), err)
	}
}

// doApply applies the inventory of the deployment and waits until it is in
// force on all entry hosts.
func doApply(ts *testscript.TestScript, _ bool, _ []string) {
	doOperate(ts, false, []string{"apply", "inventory.toml", "--wait"})
}

func (s *system) status(ts *testscript.TestScript) (agateops.Status, error) {
	var st agateops.Status
	out, err := s.operate(ts, "status", "--json")
	if err != nil {
		return st, fmt.Errorf("status: %w: %s", err, out)
	}
	err = json.Unmarshal([]byte(out), &st)
	return st, err
}

// doInForce waits until a revision is in force on the named entry hosts, or on
// all of them.
func doInForce(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "inforce REVISION LIMIT [HOST...]")
	s := of(ts)
	revision := uint64(number(ts, args[0]))
	names := args[2:]
	if len(names) == 0 {
		for _, h := range s.entries {
			names = append(names, h.name)
		}
	}
	until(ts, span(ts, args[1]), func() error {
		for _, name := range names {
			got, err := health(s.entry(ts, name))
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

// doLeader sets $LEADER and $FOLLOWER.
func doLeader(ts *testscript.TestScript, _ bool, _ []string) {
	s := of(ts)
	until(ts, startTime, func() error {
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

// doMembers waits until the control group has so many voters and no learner.
func doMembers(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "members VOTERS LIMIT")
	s := of(ts)
	until(ts, span(ts, args[1]), func() error {
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
		if alive != number(ts, args[0]) {
			return fmt.Errorf("%d voters", alive)
		}
		return nil
	})
}

// doUpstream starts upstreams of a service, spread over the regions or in one,
// and waits until every entry host knows them.
func doUpstream(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "upstream SERVICE COUNT [work=DURATION] [region=NAME] [slots=N] [crash=PATH]")
	s := of(ts)
	opts := options(args[2:])
	for i := range number(ts, args[1]) {
		region := places[i%len(places)]
		if opts["region"] != "" {
			region = opts["region"]
		}
		cfg := agatedemo.UpstreamConfig{
			ID:        fmt.Sprintf("%s-%s-%d", args[0], region, i+1),
			Service:   args[0],
			Region:    region,
			Domain:    region + "-" + string(rune('a'+i/len(places)%2)),
			Address:   netip.MustParseAddrPort("127.0.0.1:0"),
			Entries:   s.callers(),
			CrashPath: opts["crash"],
		}
		if opts["work"] != "" {
			cfg.ServiceTime = span(ts, opts["work"])
		}
		if opts["slots"] != "" {
			cfg.Slots = number(ts, opts["slots"])
		}
		if opts["relay"] != "" {
			ts.Check(s.startBehindRelay(cfg))
			continue
		}
		u, err := agatedemo.StartUpstream(cfg)
		ts.Check(err)
		s.upstreams[cfg.ID] = u
	}
	for _, h := range s.entries {
		until(ts, startTime, func() error {
			got, err := health(h)
			if err == nil && got.Upstreams < len(s.upstreams) {
				err = fmt.Errorf("%s knows %d upstreams", h.name, got.Upstreams)
			}
			return err
		})
	}
}

// doKnown waits until a call through every entry host is answered. Each call
// has its own key.
func doKnown(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 3, "known SERVICE METHOD PATH")
	s := of(ts)
	n := 0
	for _, h := range s.entries {
		until(ts, startTime, func() error {
			n++
			key := fmt.Sprintf("known-%s-%d", h.name, n)
			a := request{host: h.caller, service: args[0], method: args[1], path: args[2], key: key, deadline: time.Second}.do()
			if a.status != 200 {
				return fmt.Errorf("%s: status %d, %s", h.name, a.status, a.reason)
			}
			return nil
		})
	}
}

// doRuns checks how often a key was executed on all upstreams together.
func doRuns(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "runs KEY COUNT or runs KEY <=COUNT")
	n := 0
	for _, u := range of(ts).upstreams {
		n += u.Runs(args[0])
	}
	most, bounded := strings.CutPrefix(args[1], "<=")
	limit := number(ts, most)
	if n > limit || (!bounded && n != limit) {
		ts.Fatalf("key %s ran %d times", args[0], n)
	}
}

// doChanges makes so many accepted changes of the configuration.
func doChanges(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "changes COUNT")
	s := of(ts)
	client, err := agateops.NewClient(agateops.ClientConfig{Hosts: strings.Split(s.admins(), ",")})
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), 6*startTime)
	defer cancel()
	cur, err := client.Config(ctx)
	ts.Check(err)
	base := cur.Revision
	for range number(ts, args[0]) {
		rev, err := client.Apply(ctx, agateops.ChangeRequest{ChangeID: fmt.Sprintf("change-%d", base), Base: base, Document: cur.Document})
		ts.Check(err)
		base = rev.Revision
	}
}

// doRule adds a rule for overflow to the inventory file: rule SERVICE FROM TO
// REQUESTS.
func doRule(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 4, "rule SERVICE FROM TO REQUESTS")
	s := of(ts)
	inv := s.inventory()
	inv.Links = []agateinventory.Link{{From: args[1], To: args[2], ByteRate: 1e9}}
	inv.Shifts = []agateinventory.Shift{{
		Service: args[0], From: args[1], To: args[2], Allow: true, MaxRequestRate: float64(number(ts, args[3])), MaxByteRate: 1e8,
	}}
	ts.Check(os.WriteFile(filepath.Join(s.dir, "inventory.toml"), agateinventory.Format(inv), 0o600))
}

// doPass lets time pass, as in a long partition.
func doPass(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "pass DURATION")
	time.Sleep(span(ts, args[0]))
}

// options splits NAME=VALUE arguments.
func options(args []string) map[string]string {
	out := make(map[string]string)
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		out[name] = value
	}
	return out
}

// doWant checks the last answer, or a named one: status=N, outcome=WORD,
// body~REGEXP, same=NAME.
func doWant(ts *testscript.TestScript, neg bool, args []string) {
	s := of(ts)
	got := s.last
	if len(args) > 0 && !strings.ContainsAny(args[0], "=~") {
		got = s.answers[args[0]]
		args = args[1:]
	}
	for _, a := range args {
		err := s.mismatch(got, a)
		if (err != nil) != neg {
			ts.Fatalf("want %s: %v in %+v", a, err, got)
		}
	}
}

func (s *system) mismatch(got answer, rule string) error {
	if name, expr, ok := strings.Cut(rule, "~"); ok && name == "body" {
		if !regexp.MustCompile(expr).MatchString(got.body) {
			return errors.New("no match")
		}
		return nil
	}
	name, value, _ := strings.Cut(rule, "=")
	have := map[string]string{
		"status":  strconv.Itoa(got.status),
		"outcome": got.outcome,
		"reason":  got.reason,
		"retry":   got.retry,
		"same":    got.body,
	}
	if name == "same" {
		value = s.answers[value].body
	}
	for _, one := range strings.Split(value, "|") {
		if have[name] == one {
			return nil
		}
	}
	return fmt.Errorf("%s is %q", name, have[name])
}
