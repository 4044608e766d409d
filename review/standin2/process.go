package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one process of the system on a machine of its own, which is a loopback
// address. Its settings and its data folder survive restarts.
type process struct {
	d    *deployment
	name string
	role string // argument of agateplatform
	ip   string
	dir  string
	data string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	starts  int
	stopped bool // the script ends it; it is not started again
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/agateplatform", p.role)
	cmd.Dir = p.d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "AGATEGATE_SETTINGS=" + filepath.Join(p.dir, "boot.yaml")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	p.starts++
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	p.stopped = true
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// memoryMB returns the resident memory of the process without that of its program file, in
// MB, and 0 if it does not run.
func (p *process) memoryMB() float64 {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || !p.running() {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// supervise does what the platform does with a process: it ends it when it uses more than
// limitMB of memory (0: no limit), and starts one that has ended again after a short delay.
// onEnd is called for each end.
func (p *process) supervise(limitMB float64, onEnd func(why string)) {
	why := "it ended by itself"
	for {
		time.Sleep(20 * time.Millisecond)
		p.mu.Lock()
		stopped := p.stopped
		p.mu.Unlock()
		if stopped {
			return
		}
		if !p.running() {
			onEnd(why)
			why = "it ended by itself"
			time.Sleep(500 * time.Millisecond)
			p.mu.Lock()
			stopped = p.stopped
			p.mu.Unlock()
			if stopped || p.start() != nil {
				return
			}
			continue
		}
		if mb := p.memoryMB(); limitMB > 0 && mb > limitMB {
			why = fmt.Sprintf("it used %.0f MB of memory, its limit is %.0f MB", mb, limitMB)
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
	}
}
