// Package agatemetrics holds the metrics of one process as expvar variables.
// A Set is not published globally by default, so that many can live in one
// test or demo process.
//
// # Usage
//
//	set := agatemetrics.New(agatemetrics.Config{})
//	set.Counter(agatemetrics.Requests, "labels").Add(1)
//	set.Histogram(agatemetrics.Latency, "labels").Record(took)
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

// Bounds of a Set. A label beyond the bound is counted as "other": labels may
// stem from names that callers choose.
const (
	maxLabels     = 256
	maxHistograms = 32
	otherLabel    = "other"
)

// Config sets up a Set.
type Config struct {
	// Window is the time over which histograms count. The default is 1 min.
	Window time.Duration
	// Now is the clock. The default is time.Now.
	Now func() time.Time
}

// Set is the metrics of one process. It is safe for concurrent use.
type Set struct {
	cfg   Config
	start time.Time
	vars  *expvar.Map

	mu     sync.RWMutex
	parts  map[Name]map[string]expvar.Var
	groups map[Name]*expvar.Map
}

// New returns a Set with the metrics of the process itself.
func New(cfg Config) *Set {
	if cfg.Window <= 0 {
		cfg.Window = time.Minute
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Set{
		cfg:    cfg,
		start:  cfg.Now(),
		vars:   new(expvar.Map).Init(),
		parts:  make(map[Name]map[string]expvar.Var),
		groups: make(map[Name]*expvar.Map),
	}
	s.vars.Set(string(Uptime), expvar.Func(func() any { return s.cfg.Now().Sub(s.start).Seconds() }))
	s.vars.Set(string(Goroutines), expvar.Func(func() any { return runtime.NumGoroutine() }))
	s.vars.Set(string(Heap), expvar.Func(heap))
	return s
}

func heap() any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Declare publishes the metrics of a role, "entry" or "control", so that those
// of events that have not happened yet show as empty or 0.
func (s *Set) Declare(role string) {
	for _, m := range Metrics {
		if m.Role != role && m.Role != "both" {
			continue
		}
		if m.Label != "" {
			s.mu.Lock()
			s.group(m.Name)
			s.mu.Unlock()
			continue
		}
		if s.vars.Get(string(m.Name)) != nil {
			continue // of the process itself
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

// Counter returns a counter. The label is empty for a metric without parts.
func (s *Set) Counter(name Name, label string) *expvar.Int {
	return get(s, name, label, maxLabels, func() *expvar.Int { return new(expvar.Int) })
}

// Gauge returns a gauge.
func (s *Set) Gauge(name Name, label string) *expvar.Float {
	return get(s, name, label, maxLabels, func() *expvar.Float { return new(expvar.Float) })
}

// Histogram returns a histogram of durations.
func (s *Set) Histogram(name Name, label string) *Histogram {
	return get(s, name, label, maxHistograms, func() *Histogram { return newHistogram(s.cfg) })
}

// Func publishes a value that is computed when the metrics are read. The
// function must be safe for concurrent use.
func (s *Set) Func(name Name, f func() any) { s.vars.Set(string(name), expvar.Func(f)) }

// get returns a part of a metric and creates it on first use. A name must
// always be used with the same kind and with a label either always or never.
func get[T expvar.Var](s *Set, name Name, label string, limit int, make func() T) T {
	s.mu.RLock()
	v, ok := s.parts[name][label]
	s.mu.RUnlock()
	if ok {
		return v.(T)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.parts[name][label]; ok {
		return v.(T)
	}
	if len(s.parts[name]) >= limit {
		label = otherLabel
		if v, ok := s.parts[name][label]; ok {
			return v.(T)
		}
	}
	part := make()
	s.publish(name, label, part)
	return part
}

func (s *Set) publish(name Name, label string, v expvar.Var) {
	if s.parts[name] == nil {
		s.parts[name] = make(map[string]expvar.Var)
	}
	s.parts[name][label] = v
	if label == "" {
		s.vars.Set(string(name), v)
		return
	}
	s.group(name).Set(label, v)
}

// group returns the parts of a metric with labels. The caller holds mu.
func (s *Set) group(name Name) *expvar.Map {
	if s.groups[name] == nil {
		s.groups[name] = new(expvar.Map).Init()
		s.vars.Set(string(name), s.groups[name])
	}
	return s.groups[name]
}

// String returns all metrics as a JSON object.
func (s *Set) String() string { return s.vars.String() }

// Publish adds the set to the global expvar variables. Like expvar.Publish,
// it must be called at most once for a name.
func (s *Set) Publish(name string) { expvar.Publish(name, s) }

// ServeHTTP answers with all metrics as a JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	body := s.String()
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
