package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// Ports of a day, the same on all machines, as on the platform. Each machine is a loopback
// address of its own, so that they are free.
const (
	frontPort     = 8548
	readyPort     = 8542
	controlPort   = 8544
	directoryPort = 8545
	firstInternal = 7540
	lastInternal  = 7555
	metricsPort   = 9102 // of deploy/system.toml
)

// heartbeatInterval is heartbeat_s of the settings.
const heartbeatInterval = 1500 * time.Millisecond

// zones of the deployment with their regions, in the order of the machines: those of
// semillero-cr, like all other settings.
var zones = []struct{ zone, region string }{
	{"vc-heredia", "valle-central"},
	{"gu-liberia", "guanacaste"},
	{"cs-limon", "caribe-sur"},
	{"vc-cartago", "valle-central"},
	{"gu-nicoya", "guanacaste"},
	{"cs-talamanca", "caribe-sur"},
}

// errCannotRun is wrapped by errors after which a case could not run.
var errCannotRun = errors.New("the case cannot run")

// deployment is a small installation: machines with one process each, on loopback.
type deployment struct {
	rec    *record
	root   string // of the repository
	dir    string // temporary
	net    string // the first three numbers of all addresses
	cores  []*process
	fronts []*process
	client *http.Client
	base   int // version of the manifest in force
	// memoryMB is memory_mb of the fronts' settings.
	memoryMB int
}

func newDeployment(rec *record, cores, fronts, memoryMB int) (*deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, root: root, dir: dir, memoryMB: memoryMB}
	d.client = &http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("more than two redirects")
		}
		return nil
	}}
	if d.net, err = freeNet(); err != nil {
		return nil, err
	}
	for i := range cores {
		d.cores = append(d.cores, d.newProcess("core", "control", i, 10+i))
	}
	for i := range fronts {
		d.fronts = append(d.fronts, d.newProcess("front", "entry", i, 30+i))
	}
	for i, p := range append(append([]*process{}, d.cores...), d.fronts...) {
		if err := d.writeSettings(p, i < len(d.cores), true); err != nil {
			return nil, err
		}
	}
	current.Store(d)
	return d, nil
}

// current is the deployment that runs.
var current atomic.Pointer[deployment]

// endAll ends all processes of the deployment that runs, if there is one.
func endAll() {
	if d := current.Load(); d != nil {
		d.end()
	}
}

// freeNet finds a part of the loopback network in which no port of a day is in use.
func freeNet() (string, error) {
	for range 100 {
		n := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, firstInternal, metricsPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", n, port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return n, nil
		}
	}
	return "", fmt.Errorf("%w: no free part of the loopback network", errCannotRun)
}

func (d *deployment) newProcess(class, role string, i, host int) *process {
	name := fmt.Sprintf("%s-%d", class, i+1)
	p := &process{d: d, name: name, role: role, ip: fmt.Sprintf("%s.%d", d.net, host), dir: filepath.Join(d.dir, name)}
	p.data = filepath.Join(p.dir, "data")
	return p
}

// writeSettings writes the settings file of a process. bootstrap is set only at the first
// start of the whole system.
func (d *deployment) writeSettings(p *process, core, bootstrap bool) error {
	var i int
	_, _ = fmt.Sscanf(p.name[strings.LastIndexByte(p.name, '-')+1:], "%d", &i)
	at := zones[(i-1)%len(zones)]
	var b strings.Builder
	class, role := "front", "entry"
	if core {
		class, role = "core", "control"
	}
	fmt.Fprintf(&b, "node_name: %q\nrole: %q\nmachine_class: %q\n", p.name, role, class)
	fmt.Fprintf(&b, "ip: %q\nzone: %q\nregion: %q\nzones:\n", p.ip, at.zone, at.region)
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: %q\n", z.zone, z.region)
	}
	if core {
		fmt.Fprintf(&b, "serves:\n  - \"control\"\n  - \"directory\"\nlisten:\n  control: \"%s:%d\"\n  directory: \"%s:%d\"\n", p.ip, controlPort, p.ip, directoryPort)
	} else {
		fmt.Fprintf(&b, "serves:\n  - \"front\"\nlisten:\n  front: \"%s:%d\"\n  ready: \"%s:%d\"\n", p.ip, frontPort, p.ip, readyPort)
	}
	fmt.Fprintf(&b, "internal_port_range:\n  - %d\n  - %d\nseeds:\n", firstInternal, lastInternal)
	for _, seed := range d.cores[:min(3, len(d.cores))] {
		fmt.Fprintf(&b, "  - \"%s:%d\"\n", seed.ip, controlPort)
	}
	fmt.Fprintf(&b, "bootstrap: %t\ncounts_as_loss: %t\nlimits:\n  cpu_share: 0.96\n  cores: 1\n", bootstrap, core)
	if core {
		fmt.Fprintf(&b, "  memory_mb: 280\n  max_fds: 4096\n  link_mbps: 1000.0\n  disk_mb: 256\ndata_dir: %q\n", p.data)
	} else {
		fmt.Fprintf(&b, "  memory_mb: %d\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n", d.memoryMB)
	}
	b.WriteString("discovery: \"registration\"\nentry: \"directory\"\nheartbeat_s: 1.5\n")
	b.WriteString("contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"places\"\n")
	b.WriteString("fault_tolerance:\n  machines: 2\n  zones: 1\n  regions: 1\nbounds:\n")
	b.WriteString("  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_s: 3\n  ack_s: 4\n  catch_up_s: 4\n  drain_s: 2.5\n  grace_s: 6\n")
	b.WriteString("  loss_slack_s: 0.2\n  config_apply_s: 2.5\n  rollback_slack_s: 0.25\n  skew_max_s: 5\n  retry_budget_ratio: 0.2\n")
	b.WriteString("  budget_window_s: 10\n  budget_slack: 56\n  warmup_overshoot: 1.5\n  warmup_slack: 5\n  evacuate_s: 5\n  recovery_s: 15\n")
	b.WriteString("  ttl_max_s: 5\n  max_shift_ratio: 0.15\n")
	if err := os.MkdirAll(p.data, 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "boot.yaml"), []byte(b.String()), 0o600)
}

// startAll starts all processes and notes for later starts that the system has started.
func (d *deployment) startAll() error {
	for _, p := range append(append([]*process{}, d.cores...), d.fronts...) {
		if err := p.start(); err != nil {
			return fmt.Errorf("%w: %s: %v", errCannotRun, p.name, err)
		}
	}
	time.Sleep(2 * time.Second)
	for _, p := range d.cores {
		if err := d.writeSettings(p, true, false); err != nil {
			return err
		}
	}
	for _, p := range d.fronts {
		if err := d.writeSettings(p, false, false); err != nil {
			return err
		}
	}
	return nil
}

// end ends all processes and removes the temporary folder, unless KEEP=1 is set.
func (d *deployment) end() {
	for _, p := range append(append([]*process{}, d.fronts...), d.cores...) {
		p.kill()
	}
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs are in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) frontAddr(i int) string { return fmt.Sprintf("%s:%d", d.fronts[i].ip, frontPort) }

// call sends a call of an operator or a backend to the processes that serve control, one
// after the other, until one gives a clear answer or the time is over.
func (d *deployment) call(method, path string, header map[string]string, body []byte, within time.Duration) (status int, answer []byte) {
	first := rand.IntN(len(d.cores))
	end := time.Now().Add(within)
	for n := 0; time.Now().Before(end); n++ {
		url := fmt.Sprintf("http://%s:%d%s", d.cores[(first+n)%len(d.cores)].ip, controlPort, path)
		status, answer = d.callOne(method, url, header, body)
		if status >= 200 && status < 300 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return status, answer
		}
		time.Sleep(time.Duration(min(50+50*n, 400)) * time.Millisecond)
	}
	return status, answer
}

// callOne sends one call to one process, and returns status 0 without an answer.
func (d *deployment) callOne(method, url string, header map[string]string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// service and route are parts of a manifest, with the names of PROTOCOL.md.
type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmup_s"`
	WarmupPerS float64 `json:"warmup_per_s"`
}

type route struct {
	Name           string   `json:"name"`
	PathPrefix     string   `json:"path_prefix"`
	Kind           string   `json:"kind"`
	TimeoutS       float64  `json:"timeout_s"`
	TargetLatencyS float64  `json:"target_latency_s"`
	Priority       int      `json:"priority"`
	Service        string   `json:"service"`
	MaxAttempts    int      `json:"max_attempts"`
	Sticky         bool     `json:"sticky"`
	AllowedRegions []string `json:"allowed_regions"`
}

// host is the Host header of all requests.
const host = "jepu9.example"

// manifest returns the bytes of a manifest.
func manifest(version int, services []service, routes []route) []byte {
	for i := range routes {
		routes[i].AllowedRegions = []string{}
	}
	b, err := json.Marshal(map[string]any{
		"version":  version,
		"services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15,
		},
		"virtual_hosts": []map[string]any{{"host": host, "paths": routes}},
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return b
}

// putManifest sends a manifest until it is acknowledged or the time is over.
func (d *deployment) putManifest(version int, body []byte, within time.Duration) int {
	status, _ := d.call(http.MethodPut, "/api/config", map[string]string{"If-Match": fmt.Sprint(d.base)}, body, within)
	if status == http.StatusOK {
		d.base = version
	}
	return status
}

// awaitReady waits until all fronts answer that they are ready.
func (d *deployment) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, p := range d.fronts {
		for {
			if status, _ := d.callOne(http.MethodGet, fmt.Sprintf("http://%s:%d/api/ready", p.ip, readyPort), nil, nil); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s is not ready", errCannotRun, p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
