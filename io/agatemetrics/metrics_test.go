package agatemetrics_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/io/agatemetrics"
)

type fakeClock struct{ t time.Time }

func (c *fakeClock) now() time.Time { return c.t }

func scrape(t *testing.T, s *agatemetrics.Set) map[string]any {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	var m map[string]any
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &m))
	return m
}

// Guards against values shared between two sets in one process.
func TestSetsAreSeparate(t *testing.T) {
	a, b := agatemetrics.New(agatemetrics.Config{}), agatemetrics.New(agatemetrics.Config{})
	a.Counter(agatemetrics.Requests, "quotes").Add(2)
	a.Counter(agatemetrics.Requests, "quotes").Add(1)
	a.Gauge(agatemetrics.ConfigRevision, "").Set(7)
	a.Func(agatemetrics.SkippedLines, func() any { return 5 })
	m := scrape(t, a)
	assert.DeepEqual(t, m["requests"], map[string]any{"quotes": 3.0})
	assert.Equal(t, m["revision"], 7.0)
	assert.Equal(t, m["skipped"], 5.0)
	_, ok := scrape(t, b)["requests"]
	assert.Assert(t, !ok)
}

// Guards against wrong percentiles, against values that stay in the histogram
// after they have left the window, and against errors from a clock that goes
// back and from durations below 0 or above 1 h.
func TestHistogramWindow(t *testing.T) {
	c := &fakeClock{time.Unix(1000, 0)}
	s := agatemetrics.New(agatemetrics.Config{Window: time.Minute, Now: c.now})
	h := s.Histogram(agatemetrics.Latency, "quotes")
	for i := 1; i <= 100; i++ {
		h.Record(time.Duration(i) * time.Millisecond)
	}
	got := h.Summary()
	assertNear(t, got.P50, 50*time.Millisecond)
	assertNear(t, got.P95, 95*time.Millisecond)
	assertNear(t, got.P99, 99*time.Millisecond)
	assertNear(t, got.Max, 100*time.Millisecond)
	assert.Equal(t, got.Count, int64(100))
	c.t = c.t.Add(45 * time.Second)
	h.Record(time.Second)
	assert.Equal(t, h.Summary().Count, int64(101))
	c.t = c.t.Add(30 * time.Second)
	assert.Equal(t, h.Summary().Count, int64(1))
	c.t = c.t.Add(-time.Hour)
	h.Record(-time.Second)
	assert.Equal(t, h.Summary().Count, int64(2))
	c.t = c.t.Add(1000 * time.Hour)
	h.Record(1000 * time.Hour)
	got = h.Summary()
	assert.Equal(t, got.Count, int64(1))
	assertNear(t, got.Max, time.Hour)
	assert.Equal(t, got.Total, int64(103))
}

func assertNear(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, got >= want*98/100 && got <= want*102/100, "%v is not near %v", got, want)
}

// Guards against an unbounded number of labels, which may come from callers.
func TestLabelsAreBounded(t *testing.T) {
	s := agatemetrics.New(agatemetrics.Config{})
	for i := range 1000 {
		s.Counter(agatemetrics.Refused, fmt.Sprint(i)).Add(1)
		s.Histogram(agatemetrics.Latency, fmt.Sprint(i)).Record(time.Second)
	}
	m := scrape(t, s)
	refused := m["refused"].(map[string]any)
	// The limits are 256 label values, 32 for histograms, and "other".
	assert.Equal(t, len(refused), 257)
	assert.Equal(t, refused["other"], 744.0)
	assert.Equal(t, len(m["latency"].(map[string]any)), 33)
}

// Guards against lost counts under concurrent use.
func TestConcurrentUse(t *testing.T) {
	s := agatemetrics.New(agatemetrics.Config{})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 500 {
				s.Counter(agatemetrics.Requests, fmt.Sprint(i%5)).Add(1)
				s.Histogram(agatemetrics.Latency, "a").Record(time.Millisecond)
				if i%100 == 0 {
					_ = s.String()
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, s.Counter(agatemetrics.Requests, "0").Value(), int64(800))
	assert.Equal(t, s.Histogram(agatemetrics.Latency, "a").Summary().Total, int64(4000))
}

// Guards against duplicate or incomplete descriptions in Metrics, from which
// the table in the operators' manual is generated.
func TestMetricsAreDescribed(t *testing.T) {
	seen := make(map[agatemetrics.Name]bool)
	for _, m := range agatemetrics.Metrics {
		assert.Assert(t, !seen[m.Name] && m.Kind != "" && m.Unit != "" && m.Role != "" && m.Help != "", m.Name)
		seen[m.Name] = true
	}
}
