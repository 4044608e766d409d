package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/io/agatedemo"
	"agategate/io/agatemetrics"
)

// expectation is a line of testdata/api/metrics.txt: how the sum of a metric over
// the hosts of a role compares with a value.
type expectation struct {
	role  string
	name  agatemetrics.Name
	op    string // "=", ">" or ">="
	value float64
}

func (r expectation) matches(got float64) bool {
	switch r.op {
	case "=":
		return got == r.value
	case ">":
		return got > r.value
	}
	return got >= r.value
}

func readExpectations(t *testing.T) []expectation {
	t.Helper()
	data, err := os.ReadFile("testdata/api/metrics.txt")
	assert.NilError(t, err)
	var expectations []expectation
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) != 4 || f[0] == "#" {
			continue
		}
		value, err := strconv.ParseFloat(f[3], 64)
		assert.NilError(t, err, line)
		expectations = append(expectations, expectation{role: f[0], name: agatemetrics.Name(f[1]), op: f[2], value: value})
	}
	return expectations
}

// TestMetrics guards against metrics that are declared but never exported or, where
// the load changes them for certain, never set, and against metrics that are
// exported but not declared.
func TestMetrics(t *testing.T) {
	expectations := readExpectations(t)
	declared := make(map[string]bool)
	for _, m := range agatemetrics.Metrics {
		for _, role := range []string{"entry", "control"} {
			if m.Role == role || m.Role == "both" {
				declared[role+" "+string(m.Name)] = true
			}
		}
	}
	for _, r := range expectations {
		assert.Check(t, declared[r.role+" "+string(r.name)], "%s %s is not declared", r.role, r.name)
	}
	assert.Equal(t, len(expectations), len(declared))
	s := startLoadedSystem(t)
	entries, controls := s.AdminAddresses()
	admins := map[string][]netip.AddrPort{"entry": entries, "control": controls}
	var failures []string
	for end := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		failures = nil
		for role, hosts := range admins {
			failures = append(failures, mismatches(t, role, hosts, expectations, declared)...)
		}
		if len(failures) == 0 || time.Now().After(end) {
			break
		}
	}
	assert.Assert(t, len(failures) == 0, "%s", strings.Join(failures, "\n"))
}

// mismatches returns a message for each undeclared metric of the hosts of a role
// and for each metric that does not meet its expectation.
func mismatches(t *testing.T, role string, hosts []netip.AddrPort, expectations []expectation, declared map[string]bool) []string {
	t.Helper()
	sums := make(map[agatemetrics.Name]float64)
	var failures []string
	for _, h := range hosts {
		for name, value := range fetchMetrics(t, h) {
			sums[name] += metricTotal(value)
			if !declared[role+" "+string(name)] {
				failures = append(failures, fmt.Sprintf("%s %s is not declared", role, name))
			}
		}
	}
	for _, r := range expectations {
		got, ok := sums[r.name]
		if r.role == role && (!ok || !r.matches(got)) {
			failures = append(failures, fmt.Sprintf("%s %s is %v, present %v", r.role, r.name, got, ok))
		}
	}
	return failures
}

func fetchMetrics(t *testing.T, h netip.AddrPort) map[agatemetrics.Name]any {
	t.Helper()
	resp, err := client.Get("http://" + h.String() + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var out map[agatemetrics.Name]any
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// metricTotal returns the value of a metric summed over its labels. The value of a
// histogram is its number of observations. A value of another type gives -1.
func metricTotal(value any) float64 {
	switch v := value.(type) {
	case float64:
		return v
	case map[string]any:
		if total, ok := v["total"]; ok {
			return total.(float64)
		}
		n := 0.0
		for _, part := range v {
			n += metricTotal(part)
		}
		return n
	}
	return -1
}

// startLoadedSystem starts a system, sends reads and actions, kills an upstream,
// sends more reads, drains another upstream and sends lookups.
func startLoadedSystem(t *testing.T) *agatedemo.System {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	s, err := agatedemo.StartSystem(ctx, agatedemo.SystemConfig{Controls: 1, Entries: 2, Upstreams: 6, ServiceTime: time.Millisecond})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	call := func(n int, r request) response {
		r.host = s.EntrySettings(n % 2).CallerAddr
		return r.do()
	}
	for i := range 100 {
		call(i, request{service: "quotes", method: "GET", path: "/quotes/1"})
	}
	for i := range 20 {
		call(i, request{service: "labels", method: "POST", path: "/labels", key: fmt.Sprint("k", i)})
	}
	call(0, request{service: "labels", method: "POST", path: "/labels"}) // refused without an idempotency key
	s.FindUpstream("quotes", "centro").Kill()
	for i := range 20 {
		call(i, request{service: "quotes", method: "GET", path: "/quotes/1"})
	}
	s.FindUpstream("labels", "centro").SetState("draining")
	for i := range 10 {
		resp, err := client.Get(fmt.Sprintf("http://%s/v1/lookup?service=quotes&client=10.1.0.%d", s.EntrySettings(i%2).CallerAddr, i))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		_ = resp.Body.Close()
	}
	return s
}
