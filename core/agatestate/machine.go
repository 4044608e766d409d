// Package agatestate implements the replicated state machine of the control
// group. The state consists of the configuration with its change ids, the
// records of actions, the fingerprints of requests that may crash upstreams,
// and the fleet of upstreams with the evacuated failure domains.
//
// All replicas apply the same commands in log order and reach the same state.
// The machine does not read a clock: each command carries the clock reading of
// its proposer, and the state time is the highest reading so far, so it never
// goes backwards.
//
// # Usage
//
//	m := agatestate.New(agatestate.Config{})
//	out := m.Apply(index, agatestate.Encode(agatestate.Command{
//		Now:   time.Now().UnixMilli(),
//		Claim: &agatestate.Claim{Service: "labels", Key: key, ...},
//	}))
//	res, err := agatestate.DecodeResult(out)
//	if err == nil && res.Verdict == agatestate.Granted {
//		// the holder may run the action
//	}
package agatestate

import (
	"fmt"
	"sync"
	"time"
)

// Defaults of a Config.
const (
	DefaultRetention          = 24 * time.Hour
	DefaultTombstoneRetention = time.Minute
	DefaultTombstoneHold      = time.Second
	DefaultGrace              = 5 * time.Second
	DefaultMaxRecords         = 1_000_000
	DefaultMaxBytes           = 256 << 20
	DefaultMaxAnswerBytes     = 64 << 10
	DefaultMaxChanges         = 100_000
	DefaultChangeRetention    = 30 * 24 * time.Hour
	DefaultMaxDocumentBytes   = 4 << 20
	DefaultMaxSuspects        = 100_000
	DefaultSuspectRetention   = 24 * time.Hour
	DefaultClearedRetention   = time.Hour
	defaultExpireLimit        = 1024
)

const (
	// maxDuePerCommand bounds the due action records that each command other
	// than Expire processes, and the suspects of each list that each command
	// expires.
	maxDuePerCommand = 16
	// reserveDivisor sets the reserves: tombstones may exceed MaxRecords by
	// 1/16, and 1/16 of MaxBytes is reserved for answers and tombstones.
	reserveDivisor = 16
	// recordOverheadBytes is added to the size of the names and the answer of a
	// record.
	recordOverheadBytes = 256
	maxRetryAfter       = time.Second
	// maxDeathsPerSuspect is the number of recent deaths kept per fingerprint, to
	// count each death once.
	maxDeathsPerSuspect = 8
)

// Config configures a Machine. All replicas must have the same Config, or their
// states diverge. Retention, MaxRecords, MaxBytes and MaxAnswerBytes are only
// the initial limits; a Limits command replaces them. A field that is zero
// takes its default.
type Config struct {
	// UsesOrdinals reports whether a configuration document asks for ordinals of
	// upstreams. All replicas must agree on it. Nil means that none does.
	UsesOrdinals func(document []byte) bool
	// Services returns a function that reports whether a configuration document names a
	// service. It is called once for a document, which is empty before the first one.
	// All replicas must agree on it. Nil means that every service is named.
	Services func(document []byte) func(service string) bool
	// Retention is how long an action record is kept after its last change.
	// The default is 24 h.
	Retention time.Duration
	// TombstoneRetention is how long the tombstone of a refused action is kept.
	// The default is 1 min. A claim whose SeenIndex is below the index of a
	// deleted tombstone is still refused.
	TombstoneRetention time.Duration
	// TombstoneHold is how long a tombstone refuses every claim, whatever its
	// SeenIndex. The default is 1 s.
	TombstoneHold time.Duration
	// Grace is the time after its deadline at which a claimed record becomes
	// unknown. The default is 5 s.
	Grace time.Duration
	// MaxRecords bounds the number of action records; tombstones may exceed it
	// by 1/16. The default is 1,000,000.
	MaxRecords int
	// MaxBytes bounds the total size of the action records. The default is 256
	// MiB.
	MaxBytes int
	// MaxAnswerBytes bounds a stored answer. The default is 64 KiB.
	MaxAnswerBytes int
	// MaxChanges and ChangeRetention bound the change ids that are kept: the
	// oldest id is dropped when either bound is exceeded. The defaults are
	// 100,000 and 30 days.
	MaxChanges      int
	ChangeRetention time.Duration
	// MaxDocumentBytes bounds a configuration document. The default is 4 MiB.
	MaxDocumentBytes int
	// MaxSuspects bounds the number of fingerprints. The default is 100,000.
	MaxSuspects int
	// SuspectRetention is how long a suspect is kept after its last change. The
	// default is 24 h.
	SuspectRetention time.Duration
	// ClearedRetention is how long SuspectsSince reports that a fingerprint was
	// cleared. The default is 1 h.
	ClearedRetention time.Duration
}

func (cfg Config) withDefaults() Config {
	orDefault(&cfg.Retention, DefaultRetention)
	orDefault(&cfg.TombstoneRetention, DefaultTombstoneRetention)
	orDefault(&cfg.TombstoneHold, DefaultTombstoneHold)
	orDefault(&cfg.Grace, DefaultGrace)
	orDefault(&cfg.MaxRecords, DefaultMaxRecords)
	orDefault(&cfg.MaxBytes, DefaultMaxBytes)
	orDefault(&cfg.MaxAnswerBytes, DefaultMaxAnswerBytes)
	orDefault(&cfg.MaxChanges, DefaultMaxChanges)
	orDefault(&cfg.ChangeRetention, DefaultChangeRetention)
	orDefault(&cfg.MaxDocumentBytes, DefaultMaxDocumentBytes)
	orDefault(&cfg.MaxSuspects, DefaultMaxSuspects)
	orDefault(&cfg.SuspectRetention, DefaultSuspectRetention)
	orDefault(&cfg.ClearedRetention, DefaultClearedRetention)
	return cfg
}

func orDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Machine is the state of one replica. Apply, Snapshot and Restore must be
// called from one goroutine. All other methods are safe for concurrent use.
type Machine struct {
	cfg Config

	mu       sync.RWMutex
	index    uint64 // of the last applied command
	now      int64  // state time, Unix ms
	config   configState
	actions  actions
	suspects suspects
	fleet    fleet
	ordinals bool // the configuration asks for ordinals of upstreams
	// names reports whether the configuration names a service.
	names func(service string) bool
}

// New returns an empty machine.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg.withDefaults()}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.index = 0
	m.now = 0
	m.config = newConfigState()
	m.actions = newActions()
	m.suspects = newSuspects()
	m.fleet = newFleet()
	m.readServices()
}

// Apply applies the command at a log index and returns its encoded Result. It
// panics if the index does not increase, because the state would diverge from
// that of the other replicas.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.index {
		panic(fmt.Sprintf("agatestate: Apply index %d after %d", index, m.index))
	}
	m.index = index
	c, err := Decode(data)
	if err != nil {
		return encodeResult(Result{Verdict: Invalid, Index: index})
	}
	m.now = max(m.now, c.Now)
	if c.Expire == nil {
		m.expireDue(maxDuePerCommand)
	}
	m.expireSuspects()
	r := m.dispatch(c)
	r.Index = index
	return encodeResult(r)
}

func (m *Machine) dispatch(c Command) Result {
	switch {
	case c.Configure != nil:
		return m.configure(c.Configure)
	case c.Claim != nil:
		return m.claim(c.Claim)
	case c.Finish != nil:
		return m.finish(c.Finish)
	case c.Release != nil:
		return m.release(c.Release)
	case c.Refuse != nil:
		return m.refuse(c.Refuse)
	case c.Expire != nil:
		return m.expire(c.Expire)
	case c.Death != nil:
		return m.death(c.Death)
	case c.Probe != nil:
		return m.probe(c.Probe)
	case c.EndProbe != nil:
		return m.finishProbe(c.EndProbe)
	case c.Announce != nil:
		return m.announce(c.Announce)
	case c.Evacuate != nil:
		return m.evacuate(c.Evacuate)
	case c.ClearSuspects != nil:
		return m.clearSuspects(c.ClearSuspects)
	default:
		m.setLimits(*c.Limits)
		return Result{Verdict: Accepted}
	}
}

// Index returns the log index of the last applied command.
func (m *Machine) Index() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.index
}

// Now returns the state time.
func (m *Machine) Now() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return time.UnixMilli(m.now)
}

// Counts holds the sizes of the parts of the state.
type Counts struct {
	Claimed, Done, Unknown, Refused int
	// Bytes is the total size of the action records that counts towards
	// MaxBytes.
	Bytes int
	// Changes is the number of change ids that are kept.
	Changes int
	// Suspects is the number of fingerprints with one or two deaths.
	Suspects int
	// Probes is the number of probes in progress.
	Probes int
}

// Counts returns the sizes of the parts of the state.
func (m *Machine) Counts() Counts {
	m.mu.RLock()
	defer m.mu.RUnlock()
	n := &m.actions.counts
	return Counts{
		Claimed:  n[claimed],
		Done:     n[done],
		Unknown:  n[unknown],
		Refused:  n[refused],
		Bytes:    m.actions.bytes,
		Changes:  m.config.queue.Len(),
		Suspects: m.suspects.withDeaths.Len(),
		Probes:   len(m.suspects.probesByUpstream),
	}
}

// millis converts a duration to milliseconds of the state time, rounded up.
func millis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func duration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
