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

// waitTimeout bounds each wait of a test, unless a script gives its own limit.
const waitTimeout = 20 * time.Second

type systemKey struct{}

// system holds the processes and upstreams of one script.
type system struct {
	dir string
	// programFile caches the result of programPath.
	programFile string
	processes   map[string]*process
	entries     []host
	controls    []host
	upstreams   map[string]*agatedemo.Upstream
	relays      map[string]*relay
	load        *load
	// operatorEnv holds the environment variables that name the operator's TLS
	// files. It is empty without TLS.
	operatorEnv  []string
	lastResponse response
	responses    map[string]response
	pending      map[string]chan response
}

// host is a machine of the test deployment, with the addresses on which its
// process listens. Control hosts have no caller address.
type host struct {
	name   string
	region string
	domain string
	caller netip.AddrPort
	peer   netip.AddrPort
	admin  netip.AddrPort
}

// process is a running or finished agategate process. The field exitCode is valid
// after done is closed.
type process struct {
	role         string
	settingsFile string
	cmd          *exec.Cmd
	done         chan struct{}
	exitCode     int
}

// regionNames lists the regions of the test deployment. Each has two failure
// domains. Five control replicas are placed 2-2-1 over the regions.
var regionNames = []string{"centro", "occidente", "oriente"}

func setup(env *testscript.Env) error {
	s := &system{
		dir:       env.WorkDir,
		processes: make(map[string]*process),
		upstreams: make(map[string]*agatedemo.Upstream),
		relays:    make(map[string]*relay),
		responses: make(map[string]response),
		pending:   make(map[string]chan response),
	}
	env.Values[systemKey{}] = s
	env.Defer(s.close)
	return nil
}

func systemOf(ts *testscript.TestScript) *system { return ts.Value(systemKey{}).(*system) }

func (s *system) close() {
	if s.load != nil {
		s.load.stop()
	}
	for _, p := range s.processes {
		p.signal(syscall.SIGKILL)
		p.signal(syscall.SIGCONT)
		<-p.done
	}
	for _, u := range s.upstreams {
		u.Kill()
	}
	for _, r := range s.relays {
		r.close()
	}
}

// configure assigns addresses to all hosts and writes their settings files and
// the inventory.
func (s *system) configure(controls, entries int) error {
	addrs := loopbackAddrs(controls + entries)
	var members, replicas []string
	for i := range controls {
		h := host{name: fmt.Sprintf("control-%d", i+1), region: regionNames[i/2%len(regionNames)], peer: netip.AddrPortFrom(addrs[i], peerPort), admin: netip.AddrPortFrom(addrs[i], adminPort)}
		h.domain = h.region + "-" + string(rune('a'+i%2))
		s.controls = append(s.controls, h)
		members = append(members, h.name+"="+h.peer.String())
		replicas = append(replicas, h.peer.String())
	}
	for i := range entries {
		addr := addrs[controls+i]
		h := host{
			name:   fmt.Sprintf("entry-%d", i+1),
			region: regionNames[i%len(regionNames)],
			caller: netip.AddrPortFrom(addr, callerPort),
			peer:   netip.AddrPortFrom(addr, peerPort),
			admin:  netip.AddrPortFrom(addr, adminPort),
		}
		h.domain = h.region + "-" + string(rune('a'+i/len(regionNames)%2))
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

// Ports of the test deployment. They are the same on every host, because each
// host has its own loopback address.
const (
	callerPort = 8080
	peerPort   = 9000
	adminPort  = 9001
)

// deployments counts the deployments of this test process. Scripts run in
// parallel, and the number keeps their addresses apart.
var deployments atomic.Uint32

// loopbackAddrs returns n loopback addresses for the hosts of one script. The
// second byte is derived from the process ID, so that test processes that run at
// the same time rarely use the same addresses.
func loopbackAddrs(n int) []netip.Addr {
	d := deployments.Add(1)
	pidByte := byte(100 + os.Getpid()%150)
	out := make([]netip.Addr, 0, n)
	for i := range n {
		out = append(out, netip.AddrFrom4([4]byte{127, pidByte, byte(1 + d%250), byte(1 + i)}))
	}
	return out
}

func quotedList(list []string) string { return `"` + strings.Join(list, `", "`) + `"` }

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
`, h.name, h.region, h.domain, filepath.Join(dir, "data", h.name), h.peer, h.admin, quotedList(members))
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
`, h.name, h.region, h.domain, h.caller, h.peer, h.admin, quotedList(replicas))
}

// withCertificate replaces the insecure setting of a host by its TLS files.
func withCertificate(settings, dir, name string) string {
	files := fmt.Sprintf("cert = %q\nkey = %q\nca = %q\n",
		filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, "ca.pem"))
	return strings.Replace(settings, "insecure = true\n", files, 1)
}

// inventory returns the configuration that scripts apply.
func (s *system) inventory() *agateinventory.Inventory {
	inv := &agateinventory.Inventory{TargetUtilization: agateinventory.DefaultTargetUtilization, MaxEjectedShare: agateinventory.DefaultMaxEjectedShare}
	for i, r := range regionNames {
		inv.Regions = append(inv.Regions, agateinventory.Region{Name: r, Domains: []string{r + "-a", r + "-b"}})
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i + 1), 0, 0}), 16)
		inv.Blocks = append(inv.Blocks, agateinventory.Block{Prefix: prefix, Region: r})
	}
	inv.Services = []agateinventory.Service{
		{Name: "quotes", Regions: regionNames, Deadline: 2 * time.Second, Reads: []agateinventory.Operation{{Method: "GET", Path: "/quotes/*"}}},
		{Name: "labels", Regions: regionNames, Deadline: 2 * time.Second, Actions: []agateinventory.Operation{{Method: "POST", Path: "/labels"}}},
	}
	for _, e := range s.entries {
		inv.Hosts = append(inv.Hosts, agateinventory.Host{Name: e.name, Region: e.region, Domain: e.domain, CallerAddr: e.caller, PeerAddr: e.peer})
	}
	return inv
}

// start starts the process of the named host without waiting until it is ready.
// Its output goes to NAME.log.
func (s *system) start(ts *testscript.TestScript, name string) {
	role, _, _ := strings.Cut(name, "-")
	p := &process{role: role, settingsFile: filepath.Join(s.dir, name+".toml"), done: make(chan struct{})}
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	p.cmd = exec.Command(s.programPath(ts), role, "--settings", p.settingsFile)
	p.cmd.Dir = s.dir
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	ts.Check(p.cmd.Start())
	s.processes[name] = p
	go func() {
		_ = p.cmd.Wait() // the exit code is read below
		p.exitCode = p.cmd.ProcessState.ExitCode()
		_ = log.Close()
		close(p.done)
	}()
}

// programPath returns the path of agategate, which testscript puts on the PATH.
func (s *system) programPath(ts *testscript.TestScript) string {
	if s.programFile != "" {
		return s.programFile
	}
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		path := filepath.Join(dir, "agategate")
		if _, err := os.Stat(path); err == nil {
			s.programFile = path
			return path
		}
	}
	ts.Fatalf("agategate is not on the PATH")
	return ""
}

// signal sends sig unless the process has exited.
func (p *process) signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(sig)
	}
}

// controlAdminList returns the admin addresses of the control replicas, separated
// by commas.
func (s *system) controlAdminList() string {
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

func (s *system) callerAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range s.entries {
		out = append(out, h.caller)
	}
	return out
}

// runOperator runs an operator's command and returns its standard output and
// standard error.
func (s *system) runOperator(ts *testscript.TestScript, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var out bytes.Buffer
	cmd := exec.CommandContext(ctx, s.programPath(ts), args...)
	cmd.Dir = s.dir
	cmd.Env = append(os.Environ(), "AGATEGATE_CONTROL="+s.controlAdminList())
	cmd.Env = append(cmd.Env, s.operatorEnv...)
	cmd.Stdout = &out
	cmd.Stderr = &out
	err := cmd.Run()
	return out.String(), err
}

// waitUntil repeats check until it returns nil and fails the script after limit.
func waitUntil(ts *testscript.TestScript, limit time.Duration, check func() error) {
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

// maxLogLines bounds the lines of each entry host's log that are printed when a
// script fails.
const maxLogLines = 60

// showLogs prints the last lines of each entry host's log.
func (s *system) showLogs(ts *testscript.TestScript) {
	for _, h := range s.entries {
		text, err := os.ReadFile(filepath.Join(s.dir, h.name+".log"))
		if err != nil {
			continue
		}
		lines := strings.Split(string(text), "\n")
		ts.Logf("%s:\n%s", h.name, strings.Join(lines[max(0, len(lines)-maxLogLines):], "\n"))
	}
}
