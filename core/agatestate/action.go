package agatestate

import "time"

// ActionRecord is a copy of one action record, as returned by Machine.Action.
type ActionRecord struct {
	// State is "claimed", "done", "unknown" or "refused".
	State  string
	Holder string
	Epoch  uint64
	// Due is the state time at which a claimed record becomes unknown and any
	// other record is deleted.
	Due    time.Time
	Answer *Answer
	// Ran is set if the action ran, but its answer exceeded MaxAnswerBytes or the
	// space left in MaxBytes and was not stored.
	Ran bool
}

// state is the state of an action record.
type state uint8

const (
	claimed state = iota
	done
	unknown
	refused
	numStates
)

var stateNames = [numStates]string{"claimed", "done", "unknown", "refused"}

// actionKey identifies an action record.
type actionKey struct{ service, key string }

// record is the record of one action. A record in the state refused is a
// tombstone; any other record is called live.
type record struct {
	key         actionKey
	payloadHash PayloadHash
	state       state
	holder      string
	epoch       uint64
	token       Token
	answer      *Answer
	ran         bool
	// createdIndex is the log index of the command that created the record. It
	// is unique per record.
	createdIndex uint64
	// changedIndex is the log index of the last change or of the last refusal.
	// A claim whose SeenIndex is lower may be a copy of the refused request.
	changedIndex uint64
	// holdUntil is the state time (Unix ms) until which copies of a refused
	// request may arrive; until then the tombstone refuses every claim.
	holdUntil int64
	// due is the state time (Unix ms) at which the record expires, pos its
	// index in the queue.
	due int64
	pos int
}

func (r *record) size() int {
	n := recordOverheadBytes + len(r.key.service) + len(r.key.key) + len(r.holder)
	if r.answer != nil {
		n += r.answer.size()
	}
	return n
}

// actions holds the action records.
type actions struct {
	records map[actionKey]*record
	queue   dueQueue
	counts  [numStates]int
	bytes   int
	// floorIndex and floorHoldUntil are the highest changedIndex and holdUntil
	// of all deleted records and of the tombstones for which there was no room.
	// They refuse claims on keys without a record as a tombstone would.
	floorIndex     uint64
	floorHoldUntil int64
}

func newActions() actions {
	return actions{records: map[actionKey]*record{}}
}

// Action returns the record of a key and whether it exists.
func (m *Machine) Action(service, key string) (ActionRecord, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r := m.actions.records[actionKey{service, key}]
	if r == nil {
		return ActionRecord{}, false
	}
	return ActionRecord{
		State:  stateNames[r.state],
		Holder: r.holder,
		Epoch:  r.epoch,
		Due:    time.UnixMilli(r.due),
		Answer: r.answer,
		Ran:    r.ran,
	}, true
}

func (m *Machine) claim(c *Claim) Result {
	key := actionKey{c.Service, c.Key}
	r := m.lookupRecord(key)
	if r == nil {
		return m.claimNew(c, key)
	}
	if r.payloadHash != c.PayloadHash {
		return m.refuseMismatch(r)
	}
	if r.state == claimed && r.token == c.Token {
		return Result{Verdict: Granted}
	}
	if r.state != refused {
		return m.liveResult(r)
	}
	if m.now < r.holdUntil || c.SeenIndex < r.changedIndex {
		m.renewTombstone(r)
		return m.notRunResult(Held)
	}
	if !m.hasRoom(len(c.Holder)) {
		m.renewTombstone(r)
		return m.notRunResult(Full)
	}
	m.grant(r, c)
	return Result{Verdict: Granted}
}

func (m *Machine) claimNew(c *Claim, key actionKey) Result {
	a := &m.actions
	if m.now < a.floorHoldUntil || c.SeenIndex < a.floorIndex {
		m.addTombstone(key, c.PayloadHash, Token{})
		return m.notRunResult(Held)
	}
	r := &record{key: key, payloadHash: c.PayloadHash, holder: c.Holder, createdIndex: m.index}
	if len(a.records) >= m.cfg.MaxRecords+m.cfg.MaxRecords/reserveDivisor || !m.hasRoom(r.size()) {
		m.addTombstone(key, c.PayloadHash, Token{})
		return m.notRunResult(Full)
	}
	m.insertRecord(r)
	m.grant(r, c)
	return Result{Verdict: Granted}
}

// hasRoom reports whether the limits allow one more live record that adds size
// bytes.
func (m *Machine) hasRoom(size int) bool {
	a := &m.actions
	live := len(a.records) - a.counts[refused]
	return live < m.cfg.MaxRecords && a.bytes+size <= m.cfg.MaxBytes-m.cfg.MaxBytes/reserveDivisor
}

// grant assigns a record to the token of a claim.
func (m *Machine) grant(r *record, c *Claim) {
	m.updateRecord(r, func() {
		r.state = claimed
		r.holdUntil = 0
		r.holder = c.Holder
		r.epoch = c.Epoch
		r.token = c.Token
		r.due = m.now + millis(c.Timeout) + millis(m.cfg.Grace)
	})
}

// liveResult returns the result for a record that is not a tombstone.
func (m *Machine) liveResult(r *record) Result {
	switch r.state {
	case done:
		return Result{Verdict: Done, Answer: r.answer}
	case unknown:
		return Result{Verdict: Unknown, Ran: r.ran}
	default:
		left := max(duration(r.due-m.now), time.Millisecond)
		return Result{Verdict: InProgress, RetryAfter: min(left, maxRetryAfter)}
	}
}

// refuseMismatch refuses a request whose payload differs from that of the
// record. The refusal commits that the request is not run, so its copies stay
// refused after the record is deleted.
func (m *Machine) refuseMismatch(r *record) Result {
	r.changedIndex = m.index
	r.holdUntil = m.now + millis(m.cfg.TombstoneHold)
	return Result{Verdict: Mismatch}
}

func (m *Machine) finish(c *Finish) Result {
	r := m.lookupRecord(actionKey{c.Service, c.Key})
	if r == nil || r.token != c.Token || r.state == refused {
		return Result{Verdict: Missing}
	}
	if r.state == done {
		return m.liveResult(r)
	}
	if r.ran {
		return Result{Verdict: Recorded, Ran: true}
	}
	m.updateRecord(r, func() {
		r.due = m.now + millis(m.cfg.Retention)
		size := c.Answer.size()
		if size > m.cfg.MaxAnswerBytes || m.actions.bytes+size > m.cfg.MaxBytes {
			r.state = unknown
			r.ran = true
			return
		}
		r.state = done
		r.answer = &c.Answer
	})
	return Result{Verdict: Recorded, Ran: r.ran}
}

func (m *Machine) release(c *Release) Result {
	key := actionKey{c.Service, c.Key}
	r := m.lookupRecord(key)
	if r != nil && r.token == c.Token && r.payloadHash == c.PayloadHash && (r.state == claimed || r.state == unknown && !r.ran) {
		m.updateRecord(r, func() {
			r.state = refused
		})
		m.renewTombstone(r)
		return m.notRunResult(Refused)
	}
	return m.refuseKey(key, c.PayloadHash, c.Token)
}

func (m *Machine) refuse(c *Refuse) Result {
	return m.refuseKey(actionKey{c.Service, c.Key}, c.PayloadHash, Token{})
}

// refuseKey adds or renews a tombstone unless the key has a live record, which
// may belong to a copy of the request.
func (m *Machine) refuseKey(key actionKey, p PayloadHash, t Token) Result {
	r := m.lookupRecord(key)
	switch {
	case r == nil:
		m.addTombstone(key, p, t)
	case r.payloadHash != p:
		return m.refuseMismatch(r)
	case r.state != refused:
		return m.liveResult(r)
	default:
		m.renewTombstone(r)
	}
	return m.notRunResult(Refused)
}

// addTombstone adds a tombstone for a key without a record. Tombstones may use
// the reserve beyond MaxRecords. If that is full too, the floor is raised
// instead, which refuses more requests than the tombstone would.
func (m *Machine) addTombstone(key actionKey, p PayloadHash, t Token) {
	a := &m.actions
	r := &record{key: key, payloadHash: p, token: t, state: refused, createdIndex: m.index}
	if len(a.records) >= m.cfg.MaxRecords+m.cfg.MaxRecords/reserveDivisor || a.bytes+r.size() > m.cfg.MaxBytes {
		a.floorIndex = m.index
		a.floorHoldUntil = m.now + millis(m.cfg.TombstoneHold)
		return
	}
	m.insertRecord(r)
	m.renewTombstone(r)
}

// renewTombstone restarts the hold and the retention of a tombstone, because
// the request is refused by the current command.
func (m *Machine) renewTombstone(r *record) {
	r.changedIndex = m.index
	r.holdUntil = m.now + millis(m.cfg.TombstoneHold)
	r.due = m.now + max(millis(m.cfg.TombstoneRetention), millis(m.cfg.TombstoneHold))
	m.actions.queue.fix(r)
}

func (m *Machine) notRunResult(v Verdict) Result {
	return Result{Verdict: v, RetryAfter: m.cfg.TombstoneHold}
}

// insertRecord adds a record and updates the counts and the queue.
func (m *Machine) insertRecord(r *record) {
	a := &m.actions
	a.records[r.key] = r
	a.counts[r.state]++
	a.bytes += r.size()
	a.queue.push(r)
}

// updateRecord modifies a record by f and updates the counts and the queue.
func (m *Machine) updateRecord(r *record, f func()) {
	a := &m.actions
	a.counts[r.state]--
	a.bytes -= r.size()
	f()
	r.changedIndex = m.index
	a.counts[r.state]++
	a.bytes += r.size()
	a.queue.fix(r)
}

// lookupRecord returns the record of a key, or nil. A record that is due is
// expired first.
func (m *Machine) lookupRecord(key actionKey) *record {
	r := m.actions.records[key]
	for r != nil && r.due <= m.now {
		if !m.expireRecord(r) {
			return nil
		}
	}
	return r
}
