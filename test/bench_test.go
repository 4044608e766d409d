package test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/io/agatedemo"
)

// benchServiceTime is the time that an upstream takes to execute a request.
const benchServiceTime = time.Millisecond

// quantiles returns the median and the 99th percentile. It sorts times.
func quantiles(times []time.Duration) (p50, p99 time.Duration) {
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// newClient returns an HTTP client whose connections have a one-way delay.
func newClient(delay time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			if delay == 0 {
				var d net.Dialer
				return d.DialContext(ctx, "tcp", addr)
			}
			return dialWithDelay(ctx, addr, delay)
		},
	}}
}

// fetch sends a request and returns its latency. Any status but 200 is an error.
func fetch(c *http.Client, method, url, key string) (time.Duration, error) {
	req, err := http.NewRequest(method, url, strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, resp.Header.Get("Agate-Reason"))
	}
	return time.Since(start), nil
}

// BenchmarkAction measures the latency that an entry host adds to an action,
// including its durable record, for a caller in each region. One-way delays are
// 1 ms inside a region, 20 ms between regions and 3 ms to callers. The added
// latency is at least a round trip from the entry host to the leader and one from
// the leader to the nearest majority. With two, two and one control replicas in
// the three regions, every majority spans regions.
func BenchmarkAction(b *testing.B) {
	ctx := context.Background()
	s, err := agatedemo.StartSystem(ctx, agatedemo.SystemConfig{Controls: 5, Entries: 3, Upstreams: 6, ServiceTime: benchServiceTime, Dial: dialBetweenRegions})
	assert.NilError(b, err)
	defer s.Close()
	c := newClient(callerDelay)
	for n := range 3 {
		h := s.EntrySettings(n)
		b.Run(h.Region, func(b *testing.B) {
			upstream := s.FindUpstream("labels", h.Region)
			var direct, viaEntry []time.Duration
			i := 0
			for b.Loop() {
				i++
				directTime, err := fetch(c, "POST", "http://"+upstream.Address().String()+"/labels", "")
				assert.NilError(b, err)
				viaTime, err := fetch(c, "POST", "http://"+h.CallerAddr.String()+"/v1/call/labels/labels", fmt.Sprintf("%s-%d-%d", h.Name, b.N, i))
				assert.NilError(b, err)
				direct = append(direct, directTime)
				viaEntry = append(viaEntry, viaTime)
			}
			direct50, direct99 := quantiles(direct)
			entry50, entry99 := quantiles(viaEntry)
			b.ReportMetric(milliseconds(direct50), "direct-p50-ms")
			b.ReportMetric(milliseconds(entry50), "action-p50-ms")
			b.ReportMetric(milliseconds(entry50-direct50), "added-p50-ms")
			b.ReportMetric(milliseconds(entry99-direct99), "added-p99-ms")
		})
	}
}

// BenchmarkRead measures the latency that an entry host adds to a direct call, as a
// difference and as a ratio. Direct calls and calls through the entry host
// alternate, without network delays.
func BenchmarkRead(b *testing.B) {
	s, err := agatedemo.StartSystem(context.Background(), agatedemo.SystemConfig{ServiceTime: benchServiceTime})
	assert.NilError(b, err)
	defer s.Close()
	c := newClient(0)
	h := s.EntrySettings(0)
	upstream := s.FindUpstream("quotes", h.Region)
	var direct, viaEntry []time.Duration
	for b.Loop() {
		directTime, err := fetch(c, "GET", "http://"+upstream.Address().String()+"/quotes/1", "")
		assert.NilError(b, err)
		viaTime, err := fetch(c, "GET", "http://"+h.CallerAddr.String()+"/v1/call/quotes/quotes/1", "")
		assert.NilError(b, err)
		direct = append(direct, directTime)
		viaEntry = append(viaEntry, viaTime)
	}
	direct50, direct99 := quantiles(direct)
	entry50, entry99 := quantiles(viaEntry)
	b.ReportMetric(milliseconds(direct50), "direct-p50-ms")
	b.ReportMetric(milliseconds(entry50-direct50), "added-p50-ms")
	b.ReportMetric(milliseconds(entry99-direct99), "added-p99-ms")
	b.ReportMetric(float64(entry50)/float64(direct50), "ratio-p50")
}

// BenchmarkThroughput compares the reads per second through one entry host with
// those of direct calls. Client, entry host and upstream share one process.
func BenchmarkThroughput(b *testing.B) {
	s, err := agatedemo.StartSystem(context.Background(), agatedemo.SystemConfig{
		Controls: 1, Entries: 3, Upstreams: 3, Slots: 256, MaxConnections: 1024, ServiceTime: time.Microsecond,
	})
	assert.NilError(b, err)
	defer s.Close()
	h := s.EntrySettings(0)
	upstream := s.FindUpstream("quotes", h.Region)
	for _, target := range []struct{ name, url string }{
		{"direct", "http://" + upstream.Address().String() + "/quotes/1"},
		{"entry", "http://" + h.CallerAddr.String() + "/v1/call/quotes/quotes/1"},
	} {
		b.Run(target.name, func(b *testing.B) {
			c := newClient(0)
			var mu sync.Mutex
			failed := 0
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := fetch(c, "GET", target.url, ""); err != nil {
						mu.Lock()
						failed++
						mu.Unlock()
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(float64(failed)/float64(b.N), "failed-share")
		})
	}
}

// BenchmarkInForce measures the time from the submission of a change until it is
// active on ten entry hosts, with the simulated delays between regions.
func BenchmarkInForce(b *testing.B) {
	ctx := context.Background()
	s, err := agatedemo.StartSystem(ctx, agatedemo.SystemConfig{Controls: 5, Entries: 10, Upstreams: 1, Dial: dialBetweenRegions})
	assert.NilError(b, err)
	defer s.Close()
	var times []time.Duration
	for b.Loop() {
		start := time.Now()
		assert.NilError(b, s.Reapply(ctx))
		times = append(times, time.Since(start))
	}
	p50, p99 := quantiles(times)
	b.ReportMetric(milliseconds(p50), "p50-ms")
	b.ReportMetric(milliseconds(p99), "p99-ms")
}

// BenchmarkLookup measures the lookups per second of one entry host. Clients and
// entry host share one process.
func BenchmarkLookup(b *testing.B) {
	s, err := agatedemo.StartSystem(context.Background(), agatedemo.SystemConfig{Controls: 1, Entries: 10, Upstreams: 3})
	assert.NilError(b, err)
	defer s.Close()
	c := newClient(0)
	url := "http://" + s.EntrySettings(0).CallerAddr.String() + "/v1/lookup?service=quotes&client=10.1.0.1"
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := fetch(c, "GET", url, ""); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
}
