// Package agatedemo runs a whole system in one process: control replicas, entry
// hosts and small built-in upstreams on loopback addresses, with a temporary data
// directory. The demo checks the main guarantees of the system and prints the
// results.
//
// # Usage
//
//	err := agatedemo.Run(ctx, os.Stdout, nil)
//	if err != nil {
//		// at least one check failed, or the system did not start
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
	// demoTimeout bounds the whole demo.
	demoTimeout = 60 * time.Second
	// maxDrainDelay is the maximum time after a drain in which the upstream may
	// still receive new requests.
	maxDrainDelay = 2 * time.Second
	// drainMargin is how much longer than maxDrainDelay the upstream is observed.
	drainMargin = 500 * time.Millisecond
	// unlimitedRequests is more than can be sent during the demo; the load ends
	// when it is canceled.
	unlimitedRequests = 1 << 20
	quoteRequests     = 300
	purchaseAttempts  = 3
)

// errFailed is returned by Run if a check failed.
var errFailed = errors.New("agatedemo: at least one check failed")

// Run runs the demo and writes its report to out. The flag -v adds the log lines
// of the processes.
func Run(ctx context.Context, out io.Writer, args []string) error {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	fs.SetOutput(out)
	verbose := fs.Bool("v", false, "also write the processes' log lines")
	if err := fs.Parse(args); err != nil {
		return fmt.Errorf("agatedemo: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
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

// demo is the state of one run.
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
	verdict := "ok  "
	if !held {
		verdict = "FAIL"
		d.failed = true
	}
	d.printf("%s  %s\n", verdict, fmt.Sprintf(format, args...))
}

// lookup checks that a lookup returns entry hosts in several failure domains.
func (d *demo) lookup(ctx context.Context) error {
	// The client address is in the block of the first region; see Inventory.
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

// quote sends reads and checks that all are answered in time.
func (d *demo) quote(ctx context.Context) error {
	result, err := d.s.GenerateLoad(ctx, TrafficConfig{Service: "quotes", Path: "/quotes/42", Requests: quoteRequests, Workers: 4})
	if err != nil {
		return err
	}
	d.check(result.Failed == 0, "%d quotes answered in time, %d not; p50 %v, p99 %v", result.Answered, result.Failed,
		result.P50.Round(100*time.Microsecond), result.P99.Round(100*time.Microsecond))
	return nil
}

// purchase sends one label purchase three times, each time to another entry host,
// and checks that it is executed once.
func (d *demo) purchase(ctx context.Context) error {
	const key = "demo-purchase-1"
	var bodies []string
	for n := range purchaseAttempts {
		r, err := d.buy(ctx, n, key)
		if err != nil {
			return err
		}
		bodies = append(bodies, string(r.Body))
		d.check(r.Outcome == "run", "purchase %d at %s: status %d, outcome %s, took %v", n+1, r.Host, r.Status, r.Outcome, r.Latency.Round(100*time.Microsecond))
	}
	runs := d.s.Runs(key)
	same := bodies[0] == bodies[1] && bodies[1] == bodies[2]
	d.check(runs == 1 && same, "runs per key = %d after %d sends; all answers equal: %v", runs, purchaseAttempts, same)
	return nil
}

// buy sends a purchase and retries while it is reported as in progress: an answer
// is sent to the caller before it is recorded, so a resent request may find the
// action unfinished.
func (d *demo) buy(ctx context.Context, n int, key string) (Response, error) {
	for {
		r, err := d.s.Call(ctx, n, Request{Service: "labels", Method: "POST", Path: "/labels", Key: key, Body: `{"parcel":"GT-1"}`})
		if err != nil || r.Status != http.StatusConflict {
			return r, err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return r, err
		}
	}
}

// drain drains one upstream under load and checks that it soon receives no new
// requests.
func (d *demo) drain(ctx context.Context) error {
	u := d.s.Upstreams[0]
	id := u.cfg.ID
	loadStart := time.Now()
	load, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		_, err := d.s.GenerateLoad(load, TrafficConfig{Service: "quotes", Path: "/quotes/7", Requests: unlimitedRequests, Workers: 4})
		done <- err
	}()
	if err := d.s.retry(ctx, "requests at "+id, func() error { return startedAfter(u.LastStart(), loadStart) }); err != nil {
		stop()
		return err
	}
	start := time.Now()
	err := d.s.Drain(ctx, "upstream", id)
	if err == nil {
		err = sleep(ctx, maxDrainDelay+drainMargin)
	}
	stop()
	<-done // the load ends when its context is canceled
	if err != nil {
		return err
	}
	last := max(0, u.LastStart().Sub(start))
	d.check(last < maxDrainDelay, "last new work at %s came %v after its drain was ordered", id, last.Round(time.Millisecond))
	return nil
}

var errNoNewRequest = errors.New("agatedemo: no new request yet")

// startedAfter returns an error unless the last request started after a time.
func startedAfter(last, after time.Time) error {
	if last.After(after) {
		return nil
	}
	return errNoNewRequest
}

// stop shuts down one entry host gracefully under load and checks that no request
// fails.
func (d *demo) stop(ctx context.Context) error {
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan TrafficResult, 1)
	go func() {
		result, _ := d.s.GenerateLoad(load, TrafficConfig{Service: "quotes", Path: "/quotes/9", Requests: unlimitedRequests, Workers: 4, FollowLookup: true})
		done <- result
	}()
	start := time.Now()
	err := d.s.StopEntry(ctx, 0)
	cancel()
	result := <-done
	if err != nil {
		return err
	}
	d.check(result.Failed == 0, "planned stop of an entry host took %v; %d requests meanwhile, %d cut", time.Since(start).Round(time.Millisecond), result.Answered, result.Failed)
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
