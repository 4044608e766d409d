// Command standin plays the cases of the review: it starts the project's programs as
// separate processes on loopback addresses, with stand-ins for the platform, the
// operator, consumers and backends, and judges what they see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.f.WriteString(line)
}

// cases maps the names of cases to their functions. trouble is false if the case is to
// run without its disruption.
var cases = map[string]func(d *deployment, trouble bool) int{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE TROUBLE REPOSITORY FOLDER")
		return failed
	}
	f, err := os.Create(filepath.Join(os.Args[4], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.Close()
	r := &record{f: f, start: time.Now()}
	d, err := newDeployment(os.Args[3], r)
	if err != nil {
		r.printf("cannot run: %v", err)
		return failed
	}
	defer d.stop()
	code := runLimited(d, cases[os.Args[1]])
	for _, p := range d.processes {
		r.printf("%s: %d starts, peak %d MB, %d kills for memory", p.name, p.starts, p.peakMB, p.memoryKills)
	}
	r.printf("exit %d", code)
	return code
}

// maxRun is the longest time that a case may take.
const maxRun = 116 * time.Second

// runLimited runs a case until it ends, maxRun has passed or the process is told to stop.
func runLimited(d *deployment, play func(d *deployment, trouble bool) int) int {
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() { done <- play(d, os.Args[2] != "0") }()
	select {
	case code := <-done:
		return code
	case s := <-end:
		d.record.printf("cannot run: %v", s)
	case <-time.After(maxRun):
		d.record.printf("cannot run: not done within %v", maxRun)
	}
	return failed
}

// firstManifest puts the first manifest in force.
func firstManifest(o *operator, text []byte) bool {
	status, _ := o.order("PUT", "/api/config", "0", text, 20*time.Second)
	o.d.record.printf("first manifest, version %d, %d bytes: %d", versionOf(text), len(text), status)
	return status == 200
}
