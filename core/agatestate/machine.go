// Package agatestate is the replicated state machine of the control group:
// the configuration register with its change ids, the records of actions,
// the fingerprints of requests that may crash upstreams, and the fleet of
// upstreams with the failure domains that are evacuated.
//
// Every replica applies the same commands in the order of the log and
// reaches the same state. The machine has no clock: each command carries
// the proposer's clock reading, and state time is the highest reading so
// far, so it never goes back.
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
	DefaultRetention     = 24 * time.Hour
	DefaultTombstones    = time.Minute
	DefaultHold          = time.Second
	DefaultGrace         = 5 * time.Second
	DefaultRecords       = 1_000_000
	DefaultBytes         = 256 << 20
	DefaultAnswer        = 64 << 10
	DefaultChanges       = 100_000
	DefaultChangeAge     = 30 * 24 * time.Hour
	DefaultDocument      = 4 << 20
	DefaultSuspects      = 100_000
	DefaultSuspectAge    = 24 * time.Hour
	DefaultClearedAge    = time.Hour
	defaultExpireLimit   = 1024
	dueLimit             = 16  // due records handled by each command besides its own work
	reserve              = 16  // part of Records kept for tombstones and of Bytes kept for answers: 1/16
	recordOverhead       = 256 // bytes counted for a record besides key and answer
	maxRetryAfter        = time.Second
	maxCountedPerSuspect = 8 // deaths remembered for each fingerprint so that each counts once
)

// Config sets up a Machine. Replicas stay equal only if all of them have
// the same Config. The zero value of each field means its default.
type Config struct {
	// Retention is how long an action record is kept after its last change.
	// The default is 24 h.
	Retention time.Duration
	// Tombstones is how long the tombstone of a refused action is kept.
	// The default is 1 min. Claims that are older than a dropped tombstone
	// stay refused.
	Tombstones time.Duration
	// Hold is how long a tombstone refuses every claim. The default is 1 s.
	Hold time.Duration
	// Grace is how long after its deadline a claimed record turns unknown.
	// The default is 5 s.
	Grace time.Duration
	// Records bounds the number of action records. The default is 1,000,000.
	Records int
	// Bytes bounds the size of all action records. The default is 256 MiB.
	Bytes int
	// Answer bounds a stored answer, in bytes. The default is 64 KiB.
	Answer int
	// Changes and ChangeAge bound the change ids that are remembered: an id
	// is forgotten when either bound is passed. The defaults are 100,000
	// and 30 days.
	Changes   int
	ChangeAge time.Duration
	// Document bounds a configuration document, in bytes. The default is
	// 4 MiB.
	Document int
	// Suspects bounds the number of fingerprints. The default is 100,000.
	Suspects int
	// SuspectAge is how long a suspect is kept after its last change. The
	// default is 24 h.
	SuspectAge time.Duration
	// ClearedAge is how long SuspectsSince tells that a fingerprint is no
	// suspect any more. The default is 1 h.
	ClearedAge time.Duration
}

func (cfg Config) withDefaults() Config {
	orDefault(&cfg.Retention, DefaultRetention)
	orDefault(&cfg.Tombstones, DefaultTombstones)
	orDefault(&cfg.Hold, DefaultHold)
	orDefault(&cfg.Grace, DefaultGrace)
	orDefault(&cfg.Records, DefaultRecords)
	orDefault(&cfg.Bytes, DefaultBytes)
	orDefault(&cfg.Answer, DefaultAnswer)
	orDefault(&cfg.Changes, DefaultChanges)
	orDefault(&cfg.ChangeAge, DefaultChangeAge)
	orDefault(&cfg.Document, DefaultDocument)
	orDefault(&cfg.Suspects, DefaultSuspects)
	orDefault(&cfg.SuspectAge, DefaultSuspectAge)
	orDefault(&cfg.ClearedAge, DefaultClearedAge)
	return cfg
}

func orDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Machine is the state of one replica. One goroutine calls Apply, Snapshot
// and Restore; Index, Now, Config, Action, SuspectsSince, Fleet, FleetIndex,
// Upstream and Counts are safe
// for concurrent use.
type Machine struct {
	cfg Config

	mu       sync.RWMutex
	index    uint64 // of the last command
	now      int64  // state time, Unix ms
	register register
	actions  actions
	suspects suspects
	fleet    fleet
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
	m.register = newRegister()
	m.actions = newActions()
	m.suspects = newSuspects()
	m.fleet = newFleet()
}

// Apply applies the command at a log index and returns its encoded Result.
// It panics if the index does not rise, because state would differ from the
// other replicas'.
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
		m.handleDue(dueLimit)
	}
	m.dropSuspects()
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
	case c.Settle != nil:
		return m.settle(c.Settle)
	case c.Announce != nil:
		return m.announce(c.Announce)
	case c.Evacuate != nil:
		return m.evacuate(c.Evacuate)
	case c.Absolve != nil:
		return m.absolve(c.Absolve)
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

// Now returns state time.
func (m *Machine) Now() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return time.UnixMilli(m.now)
}

// Counts are the sizes of the state.
type Counts struct {
	Claimed, Done, Unknown, Refused int
	// Bytes is the size of all action records as counted towards the bound.
	Bytes int
	// Changes is the number of change ids that are remembered.
	Changes int
	// Suspects is the number of fingerprints with one or two deaths.
	Suspects int
	// Probes is the number of probes that were not settled.
	Probes int
}

// Counts returns the sizes of the state.
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
		Changes:  m.register.queue.Len(),
		Suspects: m.suspects.live.Len(),
		Probes:   len(m.suspects.probes),
	}
}

// millis converts a duration to milliseconds of state time, rounded up.
func millis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func duration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
