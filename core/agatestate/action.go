package agatestate

import "time"

// Action is the view of one action record.
type Action struct {
	// State is "claimed", "done", "unknown" or "refused".
	State  string
	Holder string
	Epoch  uint64
	// Due is the state time of the next change: claimed records turn
	// unknown, all others are dropped.
	Due    time.Time
	Answer *Answer
	// Ran is set when the answer was too large to keep.
	Ran bool
}

// state is the state of an action record.
type state uint8

const (
	claimed state = iota
	done
	unknown
	refused
	states // number of states
)

var stateNames = [states]string{"claimed", "done", "unknown", "refused"}

// actionKey names an action record.
type actionKey struct{ service, key string }

// record is the record of one action.
type record struct {
	name    actionKey
	payload Payload
	state   state
	holder  string
	epoch   uint64
	token   Token
	answer  *Answer
	ran     bool
	// created is the log index of the first command, unique per record.
	created uint64
	// touched is the log index of the last change or of the last answer that
	// said "not run". A claim whose entry host had not seen a tombstone's may
	// be a copy of the refused request.
	touched uint64
	// hold is the state time until which copies of a refused request may
	// arrive: a tombstone refuses every claim until then.
	hold int64
	// due is the state time of the next change, pos the place in the queue.
	due int64
	pos int
}

func (r *record) size() int {
	n := recordOverhead + len(r.name.service) + len(r.name.key) + len(r.holder)
	if r.answer != nil {
		n += r.answer.size()
	}
	return n
}

// actions are the action records.
type actions struct {
	records map[actionKey]*record
	queue   dueQueue
	counts  [states]int
	bytes   int
	// floor stands for all tombstones that are not kept any more or found
	// no room: it refuses new records as a tombstone would.
	floor     uint64
	floorHold int64
}

func newActions() actions {
	return actions{records: map[actionKey]*record{}}
}

// Action returns the record of a key.
func (m *Machine) Action(service, key string) (Action, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r := m.actions.records[actionKey{service, key}]
	if r == nil {
		return Action{}, false
	}
	return Action{
		State:  stateNames[r.state],
		Holder: r.holder,
		Epoch:  r.epoch,
		Due:    time.UnixMilli(r.due),
		Answer: r.answer,
		Ran:    r.ran,
	}, true
}

func (m *Machine) claim(c *Claim) Result {
	name := actionKey{c.Service, c.Key}
	r := m.lookup(name)
	if r == nil {
		return m.claimNew(c, name)
	}
	if r.payload != c.Payload {
		return m.mismatch(r)
	}
	if r.state == claimed && r.token == c.Token {
		return Result{Verdict: Granted}
	}
	if r.state != refused {
		return m.live(r)
	}
	if m.now < r.hold || c.Seen < r.touched {
		m.tell(r)
		return m.notRun(Held)
	}
	if !m.room(len(c.Holder)) {
		m.tell(r)
		return m.notRun(Full)
	}
	m.grant(r, c)
	return Result{Verdict: Granted}
}

func (m *Machine) claimNew(c *Claim, name actionKey) Result {
	a := &m.actions
	if m.now < a.floorHold || c.Seen < a.floor {
		m.entomb(name, c.Payload, Token{})
		return m.notRun(Held)
	}
	r := &record{name: name, payload: c.Payload, holder: c.Holder, created: m.index}
	if len(a.records) >= m.cfg.Records+m.cfg.Records/reserve || !m.room(r.size()) {
		m.entomb(name, c.Payload, Token{})
		return m.notRun(Full)
	}
	m.insert(r)
	m.grant(r, c)
	return Result{Verdict: Granted}
}

// room reports whether the bounds allow one more live record that adds so
// many bytes.
func (m *Machine) room(size int) bool {
	a := &m.actions
	live := len(a.records) - a.counts[refused]
	return live < m.cfg.Records && a.bytes+size <= m.cfg.Bytes-m.cfg.Bytes/reserve
}

// grant makes the token of a claim the holder of a record.
func (m *Machine) grant(r *record, c *Claim) {
	m.change(r, func() {
		r.state = claimed
		r.hold = 0
		r.holder = c.Holder
		r.epoch = c.Epoch
		r.token = c.Token
		r.due = m.now + millis(c.Deadline) + millis(m.cfg.Grace)
	})
}

// live returns the result about a record that is not a tombstone.
func (m *Machine) live(r *record) Result {
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

// mismatch refuses a request with another payload than the record's. Copies
// of that request stay refused when the record goes, because this is a
// statement "not run" too.
func (m *Machine) mismatch(r *record) Result {
	r.touched = m.index
	r.hold = m.now + millis(m.cfg.Hold)
	return Result{Verdict: Mismatch}
}

func (m *Machine) finish(c *Finish) Result {
	r := m.lookup(actionKey{c.Service, c.Key})
	if r == nil || r.token != c.Token || r.state == refused {
		return Result{Verdict: Missing}
	}
	if r.state == done {
		return m.live(r)
	}
	if r.ran {
		return Result{Verdict: Recorded, Ran: true}
	}
	m.change(r, func() {
		r.due = m.now + millis(m.cfg.Retention)
		size := c.Answer.size()
		if size > m.cfg.Answer || m.actions.bytes+size > m.cfg.Bytes {
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
	name := actionKey{c.Service, c.Key}
	r := m.lookup(name)
	if r != nil && r.token == c.Token && r.payload == c.Payload && (r.state == claimed || r.state == unknown && !r.ran) {
		m.change(r, func() {
			r.state = refused
		})
		m.tell(r)
		return m.notRun(Refused)
	}
	return m.refuseName(name, c.Payload, c.Token)
}

func (m *Machine) refuse(c *Refuse) Result {
	return m.refuseName(actionKey{c.Service, c.Key}, c.Payload, Token{})
}

// refuseName leaves a tombstone unless the key has a live record, which may
// belong to a copy of the request.
func (m *Machine) refuseName(name actionKey, p Payload, t Token) Result {
	r := m.lookup(name)
	switch {
	case r == nil:
		m.entomb(name, p, t)
	case r.payload != p:
		return m.mismatch(r)
	case r.state != refused:
		return m.live(r)
	default:
		m.tell(r)
	}
	return m.notRun(Refused)
}

// entomb leaves a tombstone for a key without a record. Tombstones may use
// the reserve above the bound of records; without room the floor is raised
// instead, which refuses more than the tombstone would.
func (m *Machine) entomb(name actionKey, p Payload, t Token) {
	a := &m.actions
	r := &record{name: name, payload: p, token: t, state: refused, created: m.index}
	if len(a.records) >= m.cfg.Records+m.cfg.Records/reserve || a.bytes+r.size() > m.cfg.Bytes {
		a.floor = m.index
		a.floorHold = m.now + millis(m.cfg.Hold)
		return
	}
	m.insert(r)
	m.tell(r)
}

// tell renews a tombstone, because the caller is told "not run" now.
func (m *Machine) tell(r *record) {
	r.touched = m.index
	r.hold = m.now + millis(m.cfg.Hold)
	r.due = m.now + max(millis(m.cfg.Tombstones), millis(m.cfg.Hold))
	m.actions.queue.fix(r)
}

func (m *Machine) notRun(v Verdict) Result {
	return Result{Verdict: v, RetryAfter: m.cfg.Hold}
}

// insert adds a new record and change modifies one; both keep the counts
// and the queue.
func (m *Machine) insert(r *record) {
	a := &m.actions
	a.records[r.name] = r
	a.counts[r.state]++
	a.bytes += r.size()
	a.queue.push(r)
}

func (m *Machine) change(r *record, f func()) {
	a := &m.actions
	a.counts[r.state]--
	a.bytes -= r.size()
	f()
	r.touched = m.index
	a.counts[r.state]++
	a.bytes += r.size()
	a.queue.fix(r)
}

// lookup returns the record of a key after its due change, or nil.
func (m *Machine) lookup(name actionKey) *record {
	r := m.actions.records[name]
	for r != nil && r.due <= m.now {
		if !m.handle(r) {
			return nil
		}
	}
	return r
}
