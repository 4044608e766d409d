package agatelog

import (
	"io"
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
)

// defaultRing is the number of decisions that a Log keeps.
const defaultRing = 4096

// Config sets up a Log.
type Config struct {
	// Name is the name of the process in each line.
	Name string
	// Output receives the lines. The default is standard error.
	Output io.Writer
	// Level is the least severe level that is written: trace, debug, info,
	// warn or error. Refused decisions have the level warn, others info. The
	// default is info.
	Level string
	// JSON makes each line a JSON object. The default is text.
	JSON bool
	// Skip is the share of routine decisions whose lines are not written,
	// from 0 to 1. The default 0 writes all.
	Skip float64
	// Ring is the number of decisions kept for Explain. The default is 4096.
	Ring int
	// Now is the clock. The default is time.Now.
	Now func() time.Time
}

// Log writes and keeps decisions. It is safe for concurrent use.
type Log struct {
	logger  hclog.Logger
	skip    atomic.Uint64 // hashes below it are not written
	unnamed atomic.Uint64 // decisions without a request
	skipped atomic.Uint64
	now     func() time.Time
	routine *ring
	kept    *ring
}

// New returns a Log without decisions.
func New(cfg Config) *Log {
	if cfg.Ring <= 0 {
		cfg.Ring = defaultRing
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	level := hclog.LevelFromString(cfg.Level)
	if level == hclog.NoLevel {
		level = hclog.Info
	}
	l := &Log{
		logger: hclog.New(&hclog.LoggerOptions{
			Name:       cfg.Name,
			Output:     cfg.Output,
			Level:      level,
			JSONFormat: cfg.JSON,
			TimeFn:     cfg.Now,
		}),
		now:     cfg.Now,
		routine: newRing((cfg.Ring + 1) / 2),
		kept:    newRing((cfg.Ring + 1) / 2),
	}
	l.SetSkip(cfg.Skip)
	return l
}

// Logger returns the logger for lines that are not decisions.
func (l *Log) Logger() hclog.Logger { return l.logger }

// SetSkip changes the share of routine decisions whose lines are not written.
func (l *Log) SetSkip(share float64) {
	if math.IsNaN(share) || share < 0 {
		share = 0
	}
	if share >= 1 {
		l.skip.Store(math.MaxUint64)
		return
	}
	l.skip.Store(uint64(share * math.MaxUint64))
}

// SetLevel changes the least severe level that is written.
func (l *Log) SetLevel(level string) { l.logger.SetLevel(hclog.LevelFromString(level)) }

// Skipped returns the number of lines that sampling left out.
func (l *Log) Skipped() uint64 { return l.skipped.Load() }

// Keep keeps a decision for Explain without a line.
func (l *Log) Keep(d *Decision) { l.keep(d) }

// keep reports whether the decision is routine.
func (l *Log) keep(d *Decision) (routine bool) {
	at := d.Time
	if at.IsZero() {
		at = l.now()
	}
	if d.routine() {
		l.routine.add(d, at)
		return true
	}
	l.kept.add(d, at)
	return false
}

// Record keeps a decision and writes its line unless it is sampled out. The
// decision and its slice stay the caller's. A zero Time is recorded as the
// time of the call.
func (l *Log) Record(d *Decision) {
	if l.keep(d) && l.Skips(d.Request) {
		l.skipped.Add(1)
		return
	}
	l.write(d)
}

// Skips reports whether the routine lines of a request are sampled out. All
// of one request share one answer on all hosts, so a written request is
// complete.
func (l *Log) Skips(request string) bool {
	limit := l.skip.Load()
	if limit == 0 || limit == math.MaxUint64 {
		return limit != 0
	}
	if request == "" {
		const odd = 0x9e3779b97f4a7c15 // spreads a counter evenly over 64 bits
		return l.unnamed.Add(1)*odd < limit
	}
	return xxhash.Sum64String(request) < limit
}

func (l *Log) write(d *Decision) {
	level := hclog.Info
	if d.Outcome == Refused || d.Outcome == NotRun || d.Outcome == Unknown {
		level = hclog.Warn
	}
	if l.logger.GetLevel() > level {
		return
	}
	l.logger.Log(level, "decision",
		"req", d.Request,
		"service", d.Service,
		"kind", string(d.Kind),
		"choice", d.Choice,
		"reason", d.Reason,
		"considered", d.considered(),
		"outcome", string(d.Outcome),
		"took", d.Took.String(),
	)
}

// Explain returns the kept decisions of a request in the order in which they
// were recorded, or nil.
func (l *Log) Explain(request string) []Decision {
	return merge(l.routine.find(request), l.kept.find(request))
}

// merge joins two lists by time.
func merge(a, b []Decision) []Decision {
	if len(a) == 0 {
		return b
	}
	list := make([]Decision, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if b[0].Time.Before(a[0].Time) {
			list, b = append(list, b[0]), b[1:]
		} else {
			list, a = append(list, a[0]), a[1:]
		}
	}
	return append(append(list, a...), b...)
}
