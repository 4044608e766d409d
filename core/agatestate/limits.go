package agatestate

import "time"

// Limits replaces the bounds on the action records. Limits are replicated
// through the log because replicas with different bounds would diverge: a
// leader whose settings differ from the limits in force proposes new ones.
// Verdict: Accepted. Lowering a bound deletes no records; it only refuses new
// ones.
type Limits struct {
	// Retention is how long an action record is kept after its last change.
	Retention time.Duration
	// MaxRecords and MaxBytes bound the number and the total size of the
	// records. Tombstones may exceed MaxRecords by 1/16.
	MaxRecords int
	MaxBytes   int
	// MaxAnswerBytes bounds a stored answer.
	MaxAnswerBytes int
}

func (c *Limits) valid() bool {
	return c.Retention > 0 && c.MaxRecords > 0 && c.MaxBytes > 0 && c.MaxAnswerBytes > 0
}

// Limits returns the limits in force.
func (m *Machine) Limits() Limits {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.limits()
}

func (m *Machine) limits() Limits {
	return Limits{
		Retention:      m.cfg.Retention,
		MaxRecords:     m.cfg.MaxRecords,
		MaxBytes:       m.cfg.MaxBytes,
		MaxAnswerBytes: m.cfg.MaxAnswerBytes,
	}
}

func (m *Machine) setLimits(l Limits) {
	m.cfg.Retention = l.Retention
	m.cfg.MaxRecords = l.MaxRecords
	m.cfg.MaxBytes = l.MaxBytes
	m.cfg.MaxAnswerBytes = l.MaxAnswerBytes
}
