// Package agatedemo runs a whole system in one process: control replicas,
// entry hosts and small built-in upstreams on loopback addresses with a
// temporary data directory. It checks the main promises on it and prints what
// happened.
//
// # Usage
//
//	err := agatedemo.Run(ctx, os.Stdout, nil)
//	if err != nil {
//		// at least one promise did not hold
//	}
package agatedemo

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// demoTime bounds the whole demo.
	demoTime = 60 * time.Second
	// drainLimit is the longest time in which a drained upstream may still
	// receive new work.
	drainLimit = 2 * time.Second
	quotes     = 300
	purchases  = 3
)

// errFailed says that a check of the demo did not hold.
var errFailed = errors.New("agatedemo: at least one check failed")

// Run runs the demo and writes its report to out. The only flag is -v, which
// also writes the processes' log lines.
func Run(ctx context.Context, out io.Writer, args []string) error {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	fs.SetOutput(out)
	verbose := fs.Bool("v", false, "also write the processes' log lines")
	if err := fs.Parse(args); err != nil {
		return fmt.Errorf("agatedemo: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, demoTime)
	defer cancel()
	s, err := StartSystem(ctx, SystemConfig{Verbose: *verbose, Output: out})
	if err != nil {
		return err
	}
	defer s.Close()
	d := &demo{s: s, out: out}
	d.printf("started %d control replicas, %d entry hosts, %d upstreams\n", len(s.Controls), len(s.Entries), len(s.Upstreams))
	for _, step := range []func(context.Context) error{d.lookup, d.quote, d.purchase, d.drain, d.stop} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if d.failed {
		return errFailed
	}
	d.printf("all checks held\n")
	return nil
}

// demo is one run.
type demo struct {
	s      *System
	out    io.Writer
	failed bool
}

func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.out, format, args...)
}

// check prints the result of one check.
func (d *demo) check(held bool, format string, args ...any) {
	word := "ok  "
	if !held {
		word = "FAIL"
		d.failed = true
	}
	d.printf("%s  %s\n", word, fmt.Sprintf(format, args...))
}

// lookup asks which entry hosts to use.
func (d *demo) lookup(ctx context.Context) error {
	hosts, age, err := d.s.Lookup(ctx, "quotes", "10.1.0.1")
	if err != nil {
		return err
	}
	domains := make(map[string]bool)
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		domains[h.Domain] = true
		names = append(names, h.Host)
	}
	d.check(len(hosts) >= 2 && len(domains) >= 2, "look-up names %v in %d failure domains for %v", names, len(domains), age)
	return nil
}

// quote sends reads and reports their latency.
func (d *demo) quote(ctx context.Context) error {
	took, err := d.s.Load(ctx, LoadConfig{Service: "quotes", Path: "/quotes/42", Requests: quotes, Workers: 4})
	if err != nil {
		return err
	}
	d.check(took.Failed == 0, "%d quotes answered in time, %d not; p50 %v, p99 %v", took.Answered, took.Failed,
		took.P50.Round(100*time.Microsecond), took.P99.Round(100*time.Microsecond))
	return nil
}

// purchase sends one label purchase three times, each time to another host.
func (d *demo) purchase(ctx context.Context) error {
	const key = "demo-purchase-1"
	var bodies []string
	for n := range purchases {
		r, err := d.buy(ctx, n, key)
		if err != nil {
			return err
		}
		bodies = append(bodies, string(r.Body))
		d.check(r.Outcome == "run", "purchase %d at %s: status %d, outcome %s, took %v", n+1, r.Host, r.Status, r.Outcome, r.Took.Round(100*time.Microsecond))
	}
	runs := d.s.Runs(key)
	same := bodies[0] == bodies[1] && bodies[1] == bodies[2]
	d.check(runs == 1 && same, "runs per key = %d after %d sends; all answers equal: %v", runs, purchases, same)
	return nil
}

// buy sends a purchase and comes back while it is in progress: the answer goes
// to the caller before it is recorded.
func (d *demo) buy(ctx context.Context, n int, key string) (Response, error) {
	for {
		r, err := d.s.Call(ctx, n, CallConfig{Service: "labels", Method: "POST", Path: "/labels", Key: key, Body: `{"parcel":"GT-1"}`})
		if err != nil || r.Status != http.StatusConflict {
			return r, err
		}
		if err := sleep(ctx, readyPause); err != nil {
			return r, err
		}
	}
}

// drain takes one upstream out of use under load.
func (d *demo) drain(ctx context.Context) error {
	u := d.s.Upstreams[0]
	id := u.cfg.ID
	loaded := time.Now()
	load, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		_, err := d.s.Load(load, LoadConfig{Service: "quotes", Path: "/quotes/7", Requests: 1 << 20, Workers: 4})
		done <- err
	}()
	if err := d.s.until(ctx, "work at "+id, func() error { return newer(u.Last(), loaded) }); err != nil {
		stop()
		return err
	}
	begun := time.Now()
	err := d.s.Drain(ctx, "upstream", id)
	if err == nil {
		err = sleep(ctx, drainLimit+500*time.Millisecond)
	}
	stop()
	<-done // ended by stop
	if err != nil {
		return err
	}
	last := max(0, u.Last().Sub(begun))
	d.check(last < drainLimit, "last new work at %s came %v after its drain was ordered", id, last.Round(time.Millisecond))
	return nil
}

var errIdle = errors.New("agatedemo: no work yet")

// newer returns an error unless a request began after a time.
func newer(last, after time.Time) error {
	if last.After(after) {
		return nil
	}
	return errIdle
}

// stop stops one entry host as planned while it serves.
func (d *demo) stop(ctx context.Context) error {
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan Took, 1)
	go func() {
		took, _ := d.s.Load(load, LoadConfig{Service: "quotes", Path: "/quotes/9", Requests: 1 << 20, Workers: 4, FollowLookup: true})
		done <- took
	}()
	begun := time.Now()
	err := d.s.StopEntry(ctx, 0)
	cancel()
	took := <-done
	if err != nil {
		return err
	}
	d.check(took.Failed == 0, "planned stop of an entry host took %v; %d requests meanwhile, %d cut", time.Since(begun).Round(time.Millisecond), took.Answered, took.Failed)
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("agatedemo: %w", ctx.Err())
	case <-time.After(d):
		return nil
	}
}
