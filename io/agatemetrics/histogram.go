package agatemetrics

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Shape of a histogram. Two significant digits keep percentiles within 1%.
const (
	slices  = 6
	digits  = 2
	longest = time.Hour
)

// Histogram holds durations of the last window in microseconds. It is safe
// for concurrent use.
type Histogram struct {
	mu    sync.Mutex
	now   func() time.Time
	slice time.Duration
	begin time.Time // of the current slice
	total int64
	hist  *hdrhistogram.WindowedHistogram
}

// Summary is what a Histogram holds. Percentiles are of the last window.
type Summary struct {
	Count int64 // in the window
	Total int64 // since the start
	P50   time.Duration
	P95   time.Duration
	P99   time.Duration
	Max   time.Duration
}

func newHistogram(cfg Config) *Histogram {
	return &Histogram{
		now:   cfg.Now,
		slice: cfg.Window / slices,
		begin: cfg.Now(),
		hist:  hdrhistogram.NewWindowed(slices, 1, longest.Microseconds(), digits),
	}
}

// Record adds a duration. One that is negative counts as 0, and one above an
// hour as an hour.
func (h *Histogram) Record(d time.Duration) {
	us := min(max(d, 0), longest).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	h.total++
	_ = h.hist.Current.RecordValue(us) // us is within the histogram's range
}

// rotate drops slices that left the window. A clock that went back drops
// nothing.
func (h *Histogram) rotate() {
	steps := int64(h.now().Sub(h.begin) / h.slice)
	if steps <= 0 {
		return
	}
	h.begin = h.begin.Add(time.Duration(steps) * h.slice)
	for range min(steps, slices) {
		h.hist.Rotate()
	}
}

// Summary returns the percentiles of the last window.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	m := h.hist.Merge()
	at := func(q float64) time.Duration { return time.Duration(m.ValueAtQuantile(q)) * time.Microsecond }
	return Summary{Count: m.TotalCount(), Total: h.total, P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(m.Max()) * time.Microsecond}
}

// String returns the summary as a JSON object with durations in microseconds.
func (h *Histogram) String() string {
	s := h.Summary()
	return fmt.Sprintf(`{"count":%d,"total":%d,"p50":%d,"p95":%d,"p99":%d,"max":%d}`,
		s.Count, s.Total, s.P50.Microseconds(), s.P95.Microseconds(), s.P99.Microseconds(), s.Max.Microseconds())
}
