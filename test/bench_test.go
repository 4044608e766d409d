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

// benchWork is the time that a request takes at an upstream.
const benchWork = time.Millisecond

// quantiles returns the median and the 99th percentile.
func quantiles(times []time.Duration) (p50, p99 time.Duration) {
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// caller is an HTTP client at the delay of a caller.
func caller(delay time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			if delay == 0 {
				var d net.Dialer
				return d.DialContext(ctx, "tcp", addr)
			}
			return dialWith(ctx, addr, delay)
		},
	}}
}

func fetch(c *http.Client, method, url, key string) (time.Duration, error) {
	req, err := http.NewRequest(method, url, strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	begun := time.Now()
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
	return time.Since(begun), nil
}

// BenchmarkAction gives what the durable record adds to a purchase, for a
// caller in each region, with the users' delays between processes: 1 ms
// between failure domains, 20 ms between regions, 3 ms to callers. The floor
// is one round trip from the entry host to the leader and one from the leader
// to the nearest majority, which in the placement 2-2-1 is in another region.
func BenchmarkAction(b *testing.B) {
	ctx := context.Background()
	s, err := agatedemo.StartSystem(ctx, agatedemo.SystemConfig{Controls: 5, Entries: 3, Upstreams: 6, ServiceTime: benchWork, Dial: dialDelayed})
	assert.NilError(b, err)
	defer s.Close()
	c := caller(delayCaller)
	for n := range 3 {
		h := s.EntrySettings(n)
		b.Run(h.Region, func(b *testing.B) {
			upstream := s.FindUpstream("labels", h.Region)
			var direct, through []time.Duration
			i := 0
			for b.Loop() {
				i++
				d, err := fetch(c, "POST", "http://"+upstream.Address().String()+"/labels", "")
				assert.NilError(b, err)
				t, err := fetch(c, "POST", "http://"+h.CallerAddr.String()+"/v1/call/labels/labels", fmt.Sprintf("%s-%d-%d", h.Name, b.N, i))
				assert.NilError(b, err)
				direct = append(direct, d)
				through = append(through, t)
			}
			d50, d99 := quantiles(direct)
			t50, t99 := quantiles(through)
			b.ReportMetric(milliseconds(d50), "direct-p50-ms")
			b.ReportMetric(milliseconds(t50), "action-p50-ms")
			b.ReportMetric(milliseconds(t50-d50), "added-p50-ms")
			b.ReportMetric(milliseconds(t99-d99), "added-p99-ms")
		})
	}
}

// BenchmarkRead gives what an entry process adds to a direct call, one call
// after the other and without delays, as a ratio in one run.
func BenchmarkRead(b *testing.B) {
	s, err := agatedemo.StartSystem(context.Background(), agatedemo.SystemConfig{ServiceTime: benchWork})
	assert.NilError(b, err)
	defer s.Close()
	c := caller(0)
	h := s.EntrySettings(0)
	upstream := s.FindUpstream("quotes", h.Region)
	var direct, through []time.Duration
	for b.Loop() {
		d, err := fetch(c, "GET", "http://"+upstream.Address().String()+"/quotes/1", "")
		assert.NilError(b, err)
		t, err := fetch(c, "GET", "http://"+h.CallerAddr.String()+"/v1/call/quotes/quotes/1", "")
		assert.NilError(b, err)
		direct = append(direct, d)
		through = append(through, t)
	}
	d50, d99 := quantiles(direct)
	t50, t99 := quantiles(through)
	b.ReportMetric(milliseconds(d50), "direct-p50-ms")
	b.ReportMetric(milliseconds(t50-d50), "added-p50-ms")
	b.ReportMetric(milliseconds(t99-d99), "added-p99-ms")
	b.ReportMetric(float64(t50)/float64(d50), "ratio-p50")
}

// BenchmarkThroughput gives the reads per second of one entry process against
// those of direct calls with the same client. Client, entry host and upstream
// share the machine's processor.
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
			c := caller(0)
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

// BenchmarkInForce gives the time from an accepted change until it is in force
// on ten entry hosts, with the users' delays between regions.
func BenchmarkInForce(b *testing.B) {
	ctx := context.Background()
	s, err := agatedemo.StartSystem(ctx, agatedemo.SystemConfig{Controls: 5, Entries: 10, Upstreams: 1, Dial: dialDelayed})
	assert.NilError(b, err)
	defer s.Close()
	var times []time.Duration
	for b.Loop() {
		begun := time.Now()
		assert.NilError(b, s.Reapply(ctx))
		times = append(times, time.Since(begun))
	}
	p50, p99 := quantiles(times)
	b.ReportMetric(milliseconds(p50), "p50-ms")
	b.ReportMetric(milliseconds(p99), "p99-ms")
}

// BenchmarkLookup gives the look-ups per second of one entry process. Clients
// and entry host share the machine's processor.
func BenchmarkLookup(b *testing.B) {
	s, err := agatedemo.StartSystem(context.Background(), agatedemo.SystemConfig{Controls: 1, Entries: 10, Upstreams: 3})
	assert.NilError(b, err)
	defer s.Close()
	c := caller(0)
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
