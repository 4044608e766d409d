package agatelog

import (
	"io"
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
)

const defaultRingSize = 4096

// Config configures a Log.
type Config struct {
	// Name is the process name in each line.
	Name string
	// Output receives the lines. The default is standard error.
	Output io.Writer
	// Level is the least severe level that is written: trace, debug, info,
	// warn or error. Decisions with the outcome Refused, NotRun or Unknown have
	// the level warn, others info. The default is info.
	Level string
	// JSON makes each line a JSON object. The default is text.
	JSON bool
	// SkipRatio is the fraction of routine decisions whose lines are not
	// written, from 0 to 1. The default 0 writes all lines.
	SkipRatio float64
	// RingSize is the number of decisions stored for Explain, one half for
	// routine decisions and one half for all others. The default is 4096.
	RingSize int
	// Now is the clock. The default is time.Now.
	Now func() time.Time
}

// Log writes and stores decisions. It is safe for concurrent use.
type Log struct {
	logger         hclog.Logger
	skipBelow      atomic.Uint64 // skip requests with a lower hash; MaxUint64 skips all
	noRequestCount atomic.Uint64 // counts decisions without a request ID
	skipped        atomic.Uint64
	now            func() time.Time
	routineRing    *ring
	nonRoutineRing *ring
}

// New returns a Log without decisions.
func New(cfg Config) *Log {
	if cfg.RingSize <= 0 {
		cfg.RingSize = defaultRingSize
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
		now:            cfg.Now,
		routineRing:    newRing((cfg.RingSize + 1) / 2),
		nonRoutineRing: newRing((cfg.RingSize + 1) / 2),
	}
	l.SetSkipRatio(cfg.SkipRatio)
	return l
}

// Logger returns the logger for lines that are not decisions.
func (l *Log) Logger() hclog.Logger { return l.logger }

// SetSkipRatio sets the fraction of routine decisions whose lines are not
// written. The ratio is limited to the range from 0 to 1.
func (l *Log) SetSkipRatio(ratio float64) {
	if math.IsNaN(ratio) || ratio < 0 {
		ratio = 0
	}
	if ratio >= 1 {
		l.skipBelow.Store(math.MaxUint64)
		return
	}
	l.skipBelow.Store(uint64(ratio * math.MaxUint64))
}

// SetLevel sets the least severe level that is written.
func (l *Log) SetLevel(level string) { l.logger.SetLevel(hclog.LevelFromString(level)) }

// Skipped returns the number of lines that were not written because of
// sampling.
func (l *Log) Skipped() uint64 { return l.skipped.Load() }

// Store stores a decision for Explain without writing a line.
func (l *Log) Store(d *Decision) { l.store(d) }

// store stores a decision and reports whether it is routine.
func (l *Log) store(d *Decision) (routine bool) {
	t := d.Time
	if t.IsZero() {
		t = l.now()
	}
	if d.isRoutine() {
		l.routineRing.add(d, t)
		return true
	}
	l.nonRoutineRing.add(d, t)
	return false
}

// Record stores a decision and writes its line unless sampling skips it. It
// does not retain d or its slice. A zero Time is stored as the time of the
// call.
func (l *Log) Record(d *Decision) {
	if l.store(d) && l.SkipsRequest(d.Request) {
		l.skipped.Add(1)
		return
	}
	l.write(d)
}

// SkipsRequest reports whether sampling skips the routine lines of a request.
// The result depends only on the request ID and the ratio, so that hosts with
// the same ratio write either all routine lines of a request or none. Without a
// request ID, each call counts as another request.
func (l *Log) SkipsRequest(request string) bool {
	threshold := l.skipBelow.Load()
	if threshold == 0 || threshold == math.MaxUint64 {
		return threshold != 0
	}
	if request == "" {
		const fibonacciMultiplier = 0x9e3779b97f4a7c15 // 2^64 / golden ratio; distributes a counter evenly over 64 bits
		return l.noRequestCount.Add(1)*fibonacciMultiplier < threshold
	}
	return xxhash.Sum64String(request) < threshold
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
		"considered", d.candidateList(),
		"outcome", string(d.Outcome),
		"took", d.Duration.String(),
	)
}

// Explain returns the stored decisions of a request, or nil if there are none.
// Routine decisions and others are each in the order of recording, and are
// merged by time.
func (l *Log) Explain(request string) []Decision {
	return mergeByTime(l.routineRing.find(request), l.nonRoutineRing.find(request))
}

// mergeByTime combines two lists. If both are sorted by time, so is the result.
func mergeByTime(a, b []Decision) []Decision {
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
