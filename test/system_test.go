package test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"agategate/core/agateinventory"
	"agategate/io/agatedemo"
)

// startTime bounds how long a process may take to do what a script waits for.
const startTime = 20 * time.Second

type systemKey struct{}

// system is the processes and upstreams of one script.
type system struct {
	dir       string
	exe       string
	processes map[string]*process
	entries   []host
	controls  []host
	upstreams map[string]*agatedemo.Upstream
	relays    map[string]*relay
	load      *load
	// operatorFiles name the operator's certificate in the environment.
	operatorFiles []string
	last          answer
	answers       map[string]answer
	pending       map[string]chan answer
}

// host is where a process runs.
type host struct {
	name   string
	region string
	domain string
	caller netip.AddrPort
	peer   netip.AddrPort
	admin  netip.AddrPort
}

// process is one real process.
type process struct {
	role string
	file string
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

// places are the regions of the test deployment, each with two failure
// domains. Five control replicas are placed 2-2-1.
var places = []string{"centro", "occidente", "oriente"}

func setup(env *testscript.Env) error {
	s := &system{
		dir:       env.WorkDir,
		processes: make(map[string]*process),
		upstreams: make(map[string]*agatedemo.Upstream),
		relays:    make(map[string]*relay),
		answers:   make(map[string]answer),
		pending:   make(map[string]chan answer),
	}
	env.Values[systemKey{}] = s
	env.Defer(s.close)
	return nil
}

func of(ts *testscript.TestScript) *system { return ts.Value(systemKey{}).(*system) }

func (s *system) close() {
	if s.load != nil {
		s.load.stop()
	}
	for _, p := range s.processes {
		p.kill(syscall.SIGKILL)
		p.kill(syscall.SIGCONT)
		<-p.done
	}
	for _, u := range s.upstreams {
		u.Kill()
	}
	for _, r := range s.relays {
		r.close()
	}
}

// lay chooses addresses and writes the settings of all processes.
func (s *system) lay(controls, entries int) error {
	addrs := addresses(controls + entries)
	var members, replicas []string
	for i := range controls {
		h := host{name: fmt.Sprintf("control-%d", i+1), region: places[i/2%len(places)], peer: netip.AddrPortFrom(addrs[i], peerPort), admin: netip.AddrPortFrom(addrs[i], adminPort)}
		h.domain = h.region + "-" + string(rune('a'+i%2))
		s.controls = append(s.controls, h)
		members = append(members, h.name+"="+h.peer.String())
		replicas = append(replicas, h.peer.String())
	}
	for i := range entries {
		at := addrs[controls+i]
		h := host{
			name:   fmt.Sprintf("entry-%d", i+1),
			region: places[i%len(places)],
			caller: netip.AddrPortFrom(at, callerPort),
			peer:   netip.AddrPortFrom(at, peerPort),
			admin:  netip.AddrPortFrom(at, adminPort),
		}
		h.domain = h.region + "-" + string(rune('a'+i/len(places)%2))
		s.entries = append(s.entries, h)
	}
	for _, h := range s.controls {
		if err := s.write(h.name, controlSettings(h, s.dir, members)); err != nil {
			return err
		}
	}
	for _, h := range s.entries {
		if err := s.write(h.name, entrySettings(h, replicas)); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(s.dir, "inventory.toml"), agateinventory.Format(s.inventory()), 0o600)
}

func (s *system) write(name, text string) error {
	return os.WriteFile(filepath.Join(s.dir, name+".toml"), []byte(text), 0o600)
}

// Ports of the test deployment. Each host has an address of its own.
const (
	callerPort = 8080
	peerPort   = 9000
	adminPort  = 9001
)

// deployments numbers the scripts of one run, which run at the same time and
// must not reach each other's hosts.
var deployments atomic.Uint32

// addresses returns one loopback address for each host of a script. The
// second byte keeps runs at the same time apart.
func addresses(n int) []netip.Addr {
	d := deployments.Add(1)
	run := byte(100 + os.Getpid()%150)
	out := make([]netip.Addr, 0, n)
	for i := range n {
		out = append(out, netip.AddrFrom4([4]byte{127, run, byte(1 + d%250), byte(1 + i)}))
	}
	return out
}

func quoted(list []string) string { return `"` + strings.Join(list, `", "`) + `"` }

func controlSettings(h host, dir string, members []string) string {
	return fmt.Sprintf(`name = %q
region = %q
domain = %q
data = %q
peer = %q
admin = %q
members = [%s]
snapshot = 100

[tls]
insecure = true
`, h.name, h.region, h.domain, filepath.Join(dir, "data", h.name), h.peer, h.admin, quoted(members))
}

func entrySettings(h host, replicas []string) string {
	return fmt.Sprintf(`name = %q
region = %q
domain = %q
caller = %q
peer = %q
admin = %q
replicas = [%s]

[log]
sample = 1.0

[tls]
insecure = true
`, h.name, h.region, h.domain, h.caller, h.peer, h.admin, quoted(replicas))
}

// encrypted replaces plain text in settings by a host's certificate.
func encrypted(settings, dir, name string) string {
	files := fmt.Sprintf("cert = %q\nkey = %q\nca = %q\n",
		filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, "ca.pem"))
	return strings.Replace(settings, "insecure = true\n", files, 1)
}

// inventory is the document that scripts apply.
func (s *system) inventory() *agateinventory.Inventory {
	inv := &agateinventory.Inventory{TargetUtilization: agateinventory.DefaultTargetUtilization, MaxEjectedShare: agateinventory.DefaultMaxEjectedShare}
	for i, r := range places {
		inv.Regions = append(inv.Regions, agateinventory.Region{Name: r, Domains: []string{r + "-a", r + "-b"}})
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i + 1), 0, 0}), 16)
		inv.Blocks = append(inv.Blocks, agateinventory.Block{Prefix: prefix, Region: r})
	}
	inv.Services = []agateinventory.Service{
		{Name: "quotes", Regions: places, Deadline: 2 * time.Second, Reads: []agateinventory.Operation{{Method: "GET", Path: "/quotes/*"}}},
		{Name: "labels", Regions: places, Deadline: 2 * time.Second, Actions: []agateinventory.Operation{{Method: "POST", Path: "/labels"}}},
	}
	for _, e := range s.entries {
		inv.Hosts = append(inv.Hosts, agateinventory.Host{Name: e.name, Region: e.region, Domain: e.domain, CallerAddr: e.caller, PeerAddr: e.peer})
	}
	return inv
}

// start starts a process and returns at once.
func (s *system) start(ts *testscript.TestScript, name string) {
	role, _, _ := strings.Cut(name, "-")
	p := &process{role: role, file: filepath.Join(s.dir, name+".toml"), done: make(chan struct{})}
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	p.cmd = exec.Command(s.command(ts), role, "--settings", p.file)
	p.cmd.Dir = s.dir
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	ts.Check(p.cmd.Start())
	s.processes[name] = p
	go func() {
		_ = p.cmd.Wait() // the exit code is read below
		p.code = p.cmd.ProcessState.ExitCode()
		_ = log.Close()
		close(p.done)
	}()
}

// command is the path of the program, which testscript puts on the PATH.
func (s *system) command(ts *testscript.TestScript) string {
	if s.exe != "" {
		return s.exe
	}
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		path := filepath.Join(dir, "agategate")
		if _, err := os.Stat(path); err == nil {
			s.exe = path
			return path
		}
	}
	ts.Fatalf("agategate is not on the PATH")
	return ""
}

func (p *process) kill(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(sig)
	}
}

// admins lists the operators' addresses of the control replicas.
func (s *system) admins() string {
	var out []string
	for _, h := range s.controls {
		out = append(out, h.admin.String())
	}
	return strings.Join(out, ",")
}

func (s *system) entry(ts *testscript.TestScript, name string) host {
	for _, h := range s.entries {
		if h.name == name {
			return h
		}
	}
	ts.Fatalf("no entry host %q", name)
	return host{}
}

func (s *system) callers() []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range s.entries {
		out = append(out, h.caller)
	}
	return out
}

// operate runs an operator's command and returns its output.
func (s *system) operate(ts *testscript.TestScript, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	var out bytes.Buffer
	cmd := exec.CommandContext(ctx, s.command(ts), args...)
	cmd.Dir = s.dir
	cmd.Env = append(os.Environ(), "AGATEGATE_CONTROL="+s.admins())
	cmd.Env = append(cmd.Env, s.operatorFiles...)
	cmd.Stdout = &out
	cmd.Stderr = &out
	err := cmd.Run()
	return out.String(), err
}

// until repeats a check until it holds.
func until(ts *testscript.TestScript, limit time.Duration, check func() error) {
	end := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("after %v: %v", limit, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// shownLines is the number of lines of each entry host's log that are shown
// when a script fails.
const shownLines = 60

// showLogs shows the last lines of the entry hosts' logs.
func (s *system) showLogs(ts *testscript.TestScript) {
	for _, h := range s.entries {
		text, err := os.ReadFile(filepath.Join(s.dir, h.name+".log"))
		if err != nil {
			continue
		}
		lines := strings.Split(string(text), "\n")
		ts.Logf("%s:\n%s", h.name, strings.Join(lines[max(0, len(lines)-shownLines):], "\n"))
	}
}
