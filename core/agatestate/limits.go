package agatestate

import "time"

// Limits replaces the bounds of the action records. They travel through the
// log, because replicas whose bounds differ would reach different states: a
// leader whose settings differ from the limits in force proposes them.
// Verdict: Accepted. A bound that is lower than what is held drops nothing;
// it only refuses new records.
type Limits struct {
	// Retention is how long an action record is kept after its last change.
	Retention time.Duration
	// Records and Bytes bound the number and the size of all records.
	Records int
	Bytes   int
	// Answer bounds a stored answer, in bytes.
	Answer int
}

func (c *Limits) valid() bool {
	return c.Retention > 0 && c.Records > 0 && c.Bytes > 0 && c.Answer > 0
}

// Limits returns the bounds in force.
func (m *Machine) Limits() Limits {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.limits()
}

func (m *Machine) limits() Limits {
	return Limits{
		Retention: m.cfg.Retention,
		Records:   m.cfg.Records,
		Bytes:     m.cfg.Bytes,
		Answer:    m.cfg.Answer,
	}
}

func (m *Machine) setLimits(l Limits) {
	m.cfg.Retention = l.Retention
	m.cfg.Records = l.Records
	m.cfg.Bytes = l.Bytes
	m.cfg.Answer = l.Answer
}
