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

// rule is a line of the data file.
type rule struct {
	role  string
	name  agatemetrics.Name
	op    string
	value float64
}

func (r rule) holds(got float64) bool {
	switch r.op {
	case "=":
		return got == r.value
	case ">":
		return got > r.value
	}
	return got >= r.value
}

func readRules(t *testing.T) []rule {
	t.Helper()
	data, err := os.ReadFile("testdata/api/metrics.txt")
	assert.NilError(t, err)
	var rules []rule
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) != 4 || f[0] == "#" {
			continue
		}
		value, err := strconv.ParseFloat(f[3], 64)
		assert.NilError(t, err, line)
		rules = append(rules, rule{role: f[0], name: agatemetrics.Name(f[1]), op: f[2], value: value})
	}
	return rules
}

// TestMetrics guards against metrics that are declared and described but never
// set, and against set ones that are not declared.
func TestMetrics(t *testing.T) {
	rules := readRules(t)
	declared := make(map[string]bool)
	for _, m := range agatemetrics.Metrics {
		for _, role := range []string{"entry", "control"} {
			if m.Role == role || m.Role == "both" {
				declared[role+" "+string(m.Name)] = true
			}
		}
	}
	for _, r := range rules {
		assert.Check(t, declared[r.role+" "+string(r.name)], "%s %s is not declared", r.role, r.name)
	}
	assert.Equal(t, len(rules), len(declared))
	s := loadSystem(t)
	entries, controls := s.AdminAddresses()
	admins := map[string][]netip.AddrPort{"entry": entries, "control": controls}
	var wrong []string
	for end := time.Now().Add(startTime); ; time.Sleep(50 * time.Millisecond) {
		wrong = nil
		for role, hosts := range admins {
			wrong = append(wrong, mismatches(t, role, hosts, rules, declared)...)
		}
		if len(wrong) == 0 || time.Now().After(end) {
			break
		}
	}
	assert.Assert(t, len(wrong) == 0, "%s", strings.Join(wrong, "\n"))
}

// mismatches says which metrics of the hosts of one role are not as the rules
// say.
func mismatches(t *testing.T, role string, hosts []netip.AddrPort, rules []rule, declared map[string]bool) []string {
	t.Helper()
	sums := make(map[agatemetrics.Name]float64)
	var wrong []string
	for _, h := range hosts {
		for name, value := range metricsOf(t, h) {
			sums[name] += sum(value)
			if !declared[role+" "+string(name)] {
				wrong = append(wrong, fmt.Sprintf("%s %s is not declared", role, name))
			}
		}
	}
	for _, r := range rules {
		got, ok := sums[r.name]
		if r.role == role && (!ok || !r.holds(got)) {
			wrong = append(wrong, fmt.Sprintf("%s %s is %v, present %v", r.role, r.name, got, ok))
		}
	}
	return wrong
}

func metricsOf(t *testing.T, h netip.AddrPort) map[agatemetrics.Name]any {
	t.Helper()
	resp, err := client.Get("http://" + h.String() + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var out map[agatemetrics.Name]any
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// sum adds up the parts of a metric.
func sum(value any) float64 {
	switch v := value.(type) {
	case float64:
		return v
	case map[string]any:
		if total, ok := v["total"]; ok {
			return total.(float64)
		}
		n := 0.0
		for _, part := range v {
			n += sum(part)
		}
		return n
	}
	return -1
}

// loadSystem starts a system and sends it reads, purchases and look-ups while
// one upstream dies and one drains.
func loadSystem(t *testing.T) *agatedemo.System {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTime)
	defer cancel()
	s, err := agatedemo.StartSystem(ctx, agatedemo.SystemConfig{Controls: 1, Entries: 2, Upstreams: 6, ServiceTime: time.Millisecond})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	call := func(n int, r request) answer {
		r.host = s.EntrySettings(n % 2).CallerAddr
		return r.do()
	}
	for i := range 100 {
		call(i, request{service: "quotes", method: "GET", path: "/quotes/1"})
	}
	for i := range 20 {
		call(i, request{service: "labels", method: "POST", path: "/labels", key: fmt.Sprint("k", i)})
	}
	call(0, request{service: "labels", method: "POST", path: "/labels"})
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
