package agatestate

import (
	"container/list"
	"crypto/sha256"
	"time"
)

// Revisioned is a configuration document with its revision.
type Revisioned struct {
	// Revision is 0 before the first document.
	Revision uint64
	Document []byte
	// Change is the change id, Operator the operator that sent it.
	Change   string
	Operator string
	// At is the state time of its acceptance.
	At time.Time
}

// change is the first answer to a change id.
type change struct {
	id       string
	document [32]byte // SHA-256
	answer   Result
	at       int64 // state time
}

// register is the configuration in force and the change ids, oldest first.
type register struct {
	current Revisioned
	changes map[string]*change
	queue   *list.List // of *change
}

func newRegister() register {
	return register{changes: map[string]*change{}, queue: list.New()}
}

// Config returns the configuration in force. The caller must not change the
// document.
func (m *Machine) Config() Revisioned {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.register.current
}

func (m *Machine) configure(c *Configure) Result {
	m.dropChanges()
	if len(c.Document) > m.cfg.Document {
		return Result{Verdict: Invalid}
	}
	sum := sha256.Sum256(c.Document)
	if first := m.register.changes[c.Change]; first != nil {
		if first.document != sum {
			return Result{Verdict: Reused}
		}
		return first.answer
	}
	r := m.compareAndSet(c)
	m.remember(&change{id: c.Change, document: sum, answer: r, at: m.now})
	return r
}

// compareAndSet puts the document in force if its base is the revision in
// force. Otherwise the result names the revision that won.
func (m *Machine) compareAndSet(c *Configure) Result {
	cur := &m.register.current
	verdict := Conflict
	if c.Base == cur.Revision {
		verdict = Accepted
		*cur = Revisioned{
			Revision: cur.Revision + 1,
			Document: c.Document,
			Change:   c.Change,
			Operator: c.Operator,
			At:       time.UnixMilli(m.now),
		}
	}
	return Result{Verdict: verdict, Revision: cur.Revision, Change: cur.Change, Operator: cur.Operator}
}

func (m *Machine) remember(c *change) {
	m.register.changes[c.id] = c
	m.register.queue.PushBack(c)
	m.dropChanges()
}

// dropChanges forgets the change ids beyond either bound.
func (m *Machine) dropChanges() {
	r := &m.register
	oldest := m.now - millis(m.cfg.ChangeAge)
	for e := r.queue.Front(); e != nil; e = r.queue.Front() {
		c := e.Value.(*change)
		if r.queue.Len() <= m.cfg.Changes && c.at >= oldest {
			return
		}
		r.queue.Remove(e)
		delete(r.changes, c.id)
	}
}

// Accepted reports whether the change with this id was accepted, as far as
// change ids are remembered.
func (m *Machine) Accepted(change string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c := m.register.changes[change]
	return c != nil && c.answer.Verdict == Accepted
}
