package agatestate

import (
	"container/list"
	"crypto/sha256"
	"time"
)

// ConfigRevision is a configuration document with its revision.
type ConfigRevision struct {
	// Revision is 0 before the first document.
	Revision uint64
	Document []byte
	// ChangeID identifies the change, Operator the operator that sent it.
	ChangeID string
	Operator string
	// AcceptedAt is the state time at which the document was accepted.
	AcceptedAt time.Time
}

// change is a change id with the result of the first command that used it.
type change struct {
	id           string
	documentHash [32]byte // SHA-256
	result       Result
	recordedAt   int64 // state time, Unix ms
}

// configState holds the current configuration and the change ids, oldest first.
type configState struct {
	current ConfigRevision
	changes map[string]*change
	queue   *list.List // of *change
}

func newConfigState() configState {
	return configState{changes: map[string]*change{}, queue: list.New()}
}

// Config returns the current configuration. The caller must not modify the
// document.
func (m *Machine) Config() ConfigRevision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.config.current
}

func (m *Machine) configure(c *Configure) Result {
	m.expireChanges()
	if len(c.Document) > m.cfg.MaxDocumentBytes {
		return Result{Verdict: Invalid}
	}
	sum := sha256.Sum256(c.Document)
	if first := m.config.changes[c.ChangeID]; first != nil {
		if first.documentHash != sum {
			return Result{Verdict: Reused}
		}
		return first.result
	}
	r := m.compareAndSet(c)
	m.recordChange(&change{id: c.ChangeID, documentHash: sum, result: r, recordedAt: m.now})
	return r
}

// compareAndSet replaces the document if its base is the current revision.
// Otherwise the result identifies the current revision.
func (m *Machine) compareAndSet(c *Configure) Result {
	cur := &m.config.current
	verdict := Conflict
	if c.Base == cur.Revision {
		verdict = Accepted
		*cur = ConfigRevision{
			Revision:   cur.Revision + 1,
			Document:   c.Document,
			ChangeID:   c.ChangeID,
			Operator:   c.Operator,
			AcceptedAt: time.UnixMilli(m.now),
		}
		m.updateServices()
		m.updateOrdinals()
	}
	return Result{Verdict: verdict, Revision: cur.Revision, ChangeID: cur.ChangeID, Operator: cur.Operator}
}

func (m *Machine) recordChange(c *change) {
	m.config.changes[c.id] = c
	m.config.queue.PushBack(c)
	m.expireChanges()
}

// expireChanges drops the oldest change ids while either bound is exceeded.
func (m *Machine) expireChanges() {
	r := &m.config
	cutoff := m.now - millis(m.cfg.ChangeRetention)
	for e := r.queue.Front(); e != nil; e = r.queue.Front() {
		c := e.Value.(*change)
		if r.queue.Len() <= m.cfg.MaxChanges && c.recordedAt >= cutoff {
			return
		}
		r.queue.Remove(e)
		delete(r.changes, c.id)
	}
}

// ConfigFor returns the current configuration, and whether the change with an id was
// accepted, both as of the same command. accepted is false for ids that are no longer
// kept.
func (m *Machine) ConfigFor(change string) (cur ConfigRevision, accepted bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c := m.config.changes[change]
	return m.config.current, c != nil && c.result.Verdict == Accepted
}
