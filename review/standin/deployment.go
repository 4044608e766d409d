package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all hosts, as on the platform. Each process has a loopback
// address of its own.
const (
	frontPort     = 8548
	readyPort     = 8542
	controlPort   = 8544
	directoryPort = 8546
	internalFirst = 7540
	internalLast  = 7555
	metricsPort   = 9102
)

var zones = []string{"mtl-est", "qc-limoilou", "sag-chicoutimi", "mtl-ouest", "qc-sainte-foy", "sag-jonquiere"}

var regionOf = map[string]string{
	"mtl-est": "montreal", "mtl-ouest": "montreal",
	"qc-limoilou": "quebec-city", "qc-sainte-foy": "quebec-city",
	"sag-chicoutimi": "saguenay", "sag-jonquiere": "saguenay",
}

// process is one program of the project, under a stand-in of the platform that starts it
// again when it ends and kills it when it uses more memory than its settings allow.
type process struct {
	d        *deployment
	name     string
	role     string // argument of the program: entry or control
	ip       string
	zone     string
	memoryMB int

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	// memoryKills counts the kills for memory over the limit.
	memoryKills int
	peakMB      int
	stopped     bool
}

type deployment struct {
	repo, dir string
	octet     int // second part of all addresses
	record    *record
	processes []*process
	seeds     []string
	wg        sync.WaitGroup
}

// newDeployment picks loopback addresses whose ports are free and makes a temporary folder.
func newDeployment(repo string, r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{repo: repo, dir: dir, record: r}
	for range 50 {
		d.octet = 20 + rand.IntN(200)
		if d.portsFree() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free addresses")
}

func (d *deployment) portsFree() bool {
	for host := 1; host <= 16; host++ {
		for _, port := range []int{frontPort, controlPort, directoryPort, internalFirst, internalFirst + 1, internalFirst + 2, metricsPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip(0, host), port))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// ip returns a loopback address: group 0 is for the project's processes, 1 for upstreams.
func (d *deployment) ip(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.octet, group, host)
}

// addControl adds n control processes, the first three of which are the seeds.
func (d *deployment) addControl(n int) {
	for i := range n {
		p := &process{d: d, name: fmt.Sprintf("core-%s-1", zones[i]), role: "control", ip: d.ip(0, 1+i), zone: zones[i], memoryMB: 280}
		d.processes = append(d.processes, p)
		if i < 3 {
			d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", p.ip, controlPort))
		}
	}
}

// entryZones are the zones of the entry hosts, those of one region first.
var entryZones = []string{
	"mtl-est", "mtl-ouest", "mtl-est", "mtl-ouest", "qc-limoilou", "sag-chicoutimi", "qc-sainte-foy", "sag-jonquiere",
}

// addEntries adds n entry hosts.
func (d *deployment) addEntries(n int) {
	for i, zone := range entryZones[:n] {
		d.processes = append(d.processes, &process{
			d: d, name: fmt.Sprintf("front-%s-%d", zone, 1+i/2%2), role: "entry", ip: d.ip(0, 7+i), zone: zone, memoryMB: 284,
		})
	}
}

func (d *deployment) role(role string) (out []*process) {
	for _, p := range d.processes {
		if p.role == role {
			out = append(out, p)
		}
	}
	return out
}

func (d *deployment) start() error {
	for _, p := range d.processes {
		if err := p.start(true); err != nil {
			return err
		}
		d.wg.Go(p.watchMemory)
	}
	return nil
}

// stop kills all processes that were started and removes the temporary folder.
func (d *deployment) stop() {
	for _, p := range d.processes {
		p.mu.Lock()
		p.stopped = true
		cmd := p.cmd
		p.mu.Unlock()
		if cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
		}
	}
	d.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

func (p *process) start(bootstrap bool) error {
	path := filepath.Join(p.d.dir, p.name+".yaml")
	if err := os.WriteFile(path, []byte(p.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.d.repo, "target", "agateplatform"), p.role)
	cmd.Dir = p.d.repo
	cmd.Env = []string{"AGATEGATE_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.starts++
	p.mu.Unlock()
	p.d.wg.Go(func() {
		_ = cmd.Wait()
		out.Close()
		p.ended()
	})
	return nil
}

// restartDelay is the delay after which the platform starts an ended process again.
const restartDelay = 500 * time.Millisecond

func (p *process) ended() {
	p.mu.Lock()
	stopped := p.stopped
	p.mu.Unlock()
	if stopped {
		return
	}
	p.d.record.printf("%s ended", p.name)
	time.Sleep(restartDelay)
	p.mu.Lock()
	stopped = p.stopped
	p.mu.Unlock()
	if !stopped {
		if err := p.start(false); err != nil {
			p.d.record.printf("%s cannot be started: %v", p.name, err)
		}
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// watchMemory kills the process while it uses more than its limit.
func (p *process) watchMemory() {
	for {
		p.mu.Lock()
		stopped, pid := p.stopped, 0
		if p.cmd != nil && p.cmd.Process != nil {
			pid = p.cmd.Process.Pid
		}
		p.mu.Unlock()
		if stopped {
			return
		}
		mb := residentMB(pid)
		p.mu.Lock()
		p.peakMB = max(p.peakMB, mb)
		over := mb > p.memoryMB
		if over {
			p.memoryKills++
		}
		p.mu.Unlock()
		if over {
			p.d.record.printf("%s uses %d MB, over its limit of %d MB: killed", p.name, mb, p.memoryMB)
			p.signal(syscall.SIGKILL)
			time.Sleep(restartDelay)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// memory returns the memory of the running process in MB.
func (p *process) memory() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return residentMB(p.cmd.Process.Pid)
}

// largestFolderMB returns the size of the largest data folder of a control process in MB.
func (d *deployment) largestFolderMB() int {
	largest := int64(0)
	for _, p := range d.role("control") {
		size := int64(0)
		files, _ := os.ReadDir(filepath.Join(d.dir, p.name))
		for _, f := range files {
			if info, err := f.Info(); err == nil {
				size += info.Size()
			}
		}
		largest = max(largest, size)
	}
	return int(largest >> 20)
}

// residentMB returns the anonymous resident memory of a process in MB, without the pages
// of its program file, or 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

func (p *process) settings(bootstrap bool) string {
	var b strings.Builder
	class, disk, data, share := "front", 0, "null", 0.32
	listen := fmt.Sprintf("  front: \"%s:%d\"\n  ready: \"%s:%d\"\n", p.ip, frontPort, p.ip, readyPort)
	serves := "  - \"front\"\n"
	if p.role == "control" {
		class, disk, share = "core", 256, 0.96
		data = strconv.Quote(filepath.Join(p.d.dir, p.name))
		listen = fmt.Sprintf("  control: \"%s:%d\"\n  directory: \"%s:%d\"\n", p.ip, controlPort, p.ip, directoryPort)
		serves = "  - \"control\"\n  - \"directory\"\n"
	}
	fmt.Fprintf(&b, "node_name: %q\nrole: %q\nmachine_class: %q\nserves:\n%s", p.name, p.role, class, serves)
	fmt.Fprintf(&b, "ip: %q\nzone: %q\nregion: %q\nzones:\n", p.ip, p.zone, regionOf[p.zone])
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: %q\n", z, regionOf[z])
	}
	fmt.Fprintf(&b, "listen:\n%sinternal_port_range:\n  - %d\n  - %d\nseeds:\n", listen, internalFirst, internalLast)
	for _, s := range p.d.seeds {
		fmt.Fprintf(&b, "  - %q\n", s)
	}
	fmt.Fprintf(&b, "bootstrap: %t\ncounts_as_loss: %t\nlimits:\n  cpu_share: %.2f\n  cores: 1\n  memory_mb: %d\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: %d\n",
		bootstrap, class == "core", share, p.memoryMB, disk)
	fmt.Fprintf(&b, "data_dir: %s\ndiscovery: \"registration\"\nentry: \"directory\"\nheartbeat_s: 1.5\n", data)
	b.WriteString("contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"places\"]\n")
	b.WriteString("fault_tolerance:\n  machines: 2\n  zones: 1\n  regions: 1\nbounds:\n")
	b.WriteString("  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_s: 3\n  ack_s: 4\n  catch_up_s: 4\n  drain_s: 2.5\n  grace_s: 6\n  loss_slack_s: 0.2\n")
	b.WriteString("  config_apply_s: 2.5\n  rollback_slack_s: 0.25\n  skew_max_s: 5\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 60\n")
	b.WriteString("  warmup_overshoot: 1.5\n  warmup_slack: 5\n  evacuate_s: 5\n  recovery_s: 15\n  ttl_max_s: 5\n  max_shift_ratio: 0.15\n")
	return b.String()
}
