// Package agatemetrics provides the metrics of a process as expvar variables.
// A Set is not published globally by default, so that a test or demo process
// can contain several.
//
// # Usage
//
//	set := agatemetrics.New(agatemetrics.Config{})
//	set.Counter(agatemetrics.Requests, "quotes").Add(1)
//	set.Histogram(agatemetrics.Latency, "quotes").Record(duration)
//	http.Handle("GET /metrics", set)
package agatemetrics

import (
	"expvar"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"time"
)

// Limits of the number of label values per metric, not counting "other". Values
// beyond the limit are counted as "other", because label values may come from
// names that callers choose.
const (
	maxLabelValues          = 256
	maxHistogramLabelValues = 32
	otherLabelValue         = "other"
)

// Config configures a Set.
type Config struct {
	// Window is the length of the sliding window of histograms. The default is
	// 1 min.
	Window time.Duration
	// Now is the clock. The default is time.Now.
	Now func() time.Time
}

// Set is the set of metrics of one process. It is safe for concurrent use.
type Set struct {
	cfg   Config
	start time.Time
	all   *expvar.Map // variables by metric name, as published

	mu        sync.RWMutex
	vars      map[Name]map[string]expvar.Var // by metric name and label value
	labelMaps map[Name]*expvar.Map           // published map of each metric with a label
}

// New returns a Set with uptime, goroutines and heap size of the process.
func New(cfg Config) *Set {
	if cfg.Window <= 0 {
		cfg.Window = time.Minute
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Set{
		cfg:       cfg,
		start:     cfg.Now(),
		all:       new(expvar.Map).Init(),
		vars:      make(map[Name]map[string]expvar.Var),
		labelMaps: make(map[Name]*expvar.Map),
	}
	s.all.Set(string(Uptime), expvar.Func(func() any { return s.cfg.Now().Sub(s.start).Seconds() }))
	s.all.Set(string(Goroutines), expvar.Func(func() any { return runtime.NumGoroutine() }))
	s.all.Set(string(HeapBytes), expvar.Func(heapBytes))
	return s
}

func heapBytes() any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Declare publishes all metrics of a role, "entry" or "control". Metrics of
// events that have not occurred yet are empty or 0.
func (s *Set) Declare(role string) {
	for _, m := range Metrics {
		if m.Role != role && m.Role != "both" {
			continue
		}
		if m.Label != "" {
			s.mu.Lock()
			s.labelMap(m.Name)
			s.mu.Unlock()
			continue
		}
		if s.all.Get(string(m.Name)) != nil {
			continue // already published by New
		}
		switch m.Kind {
		case "counter":
			s.Counter(m.Name, "")
		case "gauge":
			s.Gauge(m.Name, "")
		case "histogram":
			s.Histogram(m.Name, "")
		}
	}
}

// Counter returns a counter. The label is empty for a metric without labels.
func (s *Set) Counter(name Name, label string) *expvar.Int {
	return getOrCreate(s, name, label, maxLabelValues, func() *expvar.Int { return new(expvar.Int) })
}

// Gauge returns a gauge. The label is empty for a metric without labels.
func (s *Set) Gauge(name Name, label string) *expvar.Float {
	return getOrCreate(s, name, label, maxLabelValues, func() *expvar.Float { return new(expvar.Float) })
}

// Histogram returns a histogram of durations. The label is empty for a metric
// without labels.
func (s *Set) Histogram(name Name, label string) *Histogram {
	return getOrCreate(s, name, label, maxHistogramLabelValues, func() *Histogram { return newHistogram(s.cfg) })
}

// Func publishes a value that f computes whenever the metrics are read. f must
// be safe for concurrent use.
func (s *Set) Func(name Name, f func() any) { s.all.Set(string(name), expvar.Func(f)) }

// getOrCreate returns the variable of a metric and label value and creates it
// on first use. A name must always be used with the same kind, and either
// always or never with a label.
func getOrCreate[T expvar.Var](s *Set, name Name, label string, limit int, newVar func() T) T {
	s.mu.RLock()
	v, ok := s.vars[name][label]
	s.mu.RUnlock()
	if ok {
		return v.(T)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.vars[name][label]; ok {
		return v.(T)
	}
	if len(s.vars[name]) >= limit {
		label = otherLabelValue
		if v, ok := s.vars[name][label]; ok {
			return v.(T)
		}
	}
	created := newVar()
	s.publish(name, label, created)
	return created
}

func (s *Set) publish(name Name, label string, v expvar.Var) {
	if s.vars[name] == nil {
		s.vars[name] = make(map[string]expvar.Var)
	}
	s.vars[name][label] = v
	if label == "" {
		s.all.Set(string(name), v)
		return
	}
	s.labelMap(name).Set(label, v)
}

// labelMap returns the variables of a metric by label value. The caller holds
// mu.
func (s *Set) labelMap(name Name) *expvar.Map {
	if s.labelMaps[name] == nil {
		s.labelMaps[name] = new(expvar.Map).Init()
		s.all.Set(string(name), s.labelMaps[name])
	}
	return s.labelMaps[name]
}

// String returns all metrics as a JSON object.
func (s *Set) String() string { return s.all.String() }

// Publish adds the set to the global expvar variables. Like expvar.Publish, it
// must be called at most once per name.
func (s *Set) Publish(name string) { expvar.Publish(name, s) }

// ServeHTTP responds with all metrics as a JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	body := s.String()
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
