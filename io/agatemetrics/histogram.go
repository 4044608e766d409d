package agatemetrics

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of a histogram. Two significant digits keep the error of
// percentiles within 1%.
const (
	windowSlices      = 6
	significantDigits = 2
	maxDuration       = time.Hour
)

// Histogram counts the durations of a sliding window, in microseconds. It is
// safe for concurrent use.
type Histogram struct {
	mu          sync.Mutex
	now         func() time.Time
	sliceLength time.Duration
	sliceStart  time.Time // of the current slice
	total       int64
	hist        *hdrhistogram.WindowedHistogram
}

// Summary summarizes a Histogram. Percentiles and the maximum refer to the
// window.
type Summary struct {
	Count int64 // in the window
	Total int64 // since the histogram was created
	P50   time.Duration
	P95   time.Duration
	P99   time.Duration
	Max   time.Duration
}

func newHistogram(cfg Config) *Histogram {
	return &Histogram{
		now:         cfg.Now,
		sliceLength: cfg.Window / windowSlices,
		sliceStart:  cfg.Now(),
		hist:        hdrhistogram.NewWindowed(windowSlices, 1, maxDuration.Microseconds(), significantDigits),
	}
}

// Record adds a duration. A negative duration counts as 0, and one above 1 h
// as 1 h.
func (h *Histogram) Record(d time.Duration) {
	us := min(max(d, 0), maxDuration).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	h.total++
	_ = h.hist.Current.RecordValue(us) // us is within the histogram's range
}

// rotate discards slices that have left the window. If the clock goes back, it
// discards nothing.
func (h *Histogram) rotate() {
	steps := int64(h.now().Sub(h.sliceStart) / h.sliceLength)
	if steps <= 0 {
		return
	}
	h.sliceStart = h.sliceStart.Add(time.Duration(steps) * h.sliceLength)
	for range min(steps, windowSlices) {
		h.hist.Rotate()
	}
}

// Summary returns the counts and the percentiles of the current window.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	m := h.hist.Merge()
	percentile := func(p float64) time.Duration { return time.Duration(m.ValueAtQuantile(p)) * time.Microsecond }
	return Summary{Count: m.TotalCount(), Total: h.total, P50: percentile(50), P95: percentile(95), P99: percentile(99), Max: time.Duration(m.Max()) * time.Microsecond}
}

// String returns the summary as a JSON object with durations in microseconds.
func (h *Histogram) String() string {
	s := h.Summary()
	return fmt.Sprintf(`{"count":%d,"total":%d,"p50":%d,"p95":%d,"p99":%d,"max":%d}`,
		s.Count, s.Total, s.P50.Microseconds(), s.P95.Microseconds(), s.P99.Microseconds(), s.Max.Microseconds())
}
