package agatereplica

import (
	"time"

	"agategate/core/agatequorum"
)

// drainLimit bounds the inputs that are handled before the outputs are.
const drainLimit = 1024

// driver is the duty that owns the core.
type driver struct {
	r    *Replica
	core *agatequorum.Core
	view agatequorum.Status

	// proposals holds the callers that wait for an index. After a change of
	// leader there may be several for one index, of which at most one
	// commits.
	proposals map[uint64][]proposal
	reads     map[uint64]*ask
	lastRead  uint64
	// confirmed holds the reads that wait for their index to be applied.
	confirmed []confirmedRead
	yields    []*ask

	applied uint64
	// backlog waits for the state machine, which has a batch while working.
	backlog batch
	working bool
	// due is a snapshot of the state after dueIndex that the core has not
	// taken yet.
	due      []byte
	dueIndex uint64
}

type proposal struct {
	term uint64
	ask  *ask
}

type confirmedRead struct {
	index uint64
	ask   *ask
}

func newDriver(r *Replica) *driver {
	d := &driver{
		r:         r,
		core:      agatequorum.New(r.cfg.core(), r.cfg.Saved),
		proposals: map[uint64][]proposal{},
		reads:     map[uint64]*ask{},
	}
	d.view = d.core.Status()
	return d
}

func (d *driver) run() {
	ticker := time.NewTicker(d.r.cfg.Heartbeat / ticksPerBeat)
	defer ticker.Stop()
	defer d.end()
	d.core.Tick(d.r.cfg.Clock())
	if !d.act() {
		return
	}
	for {
		select {
		case <-d.r.stop:
			return
		case <-ticker.C:
			now := d.r.cfg.Clock()
			d.core.Tick(now)
			d.yield(now)
		case m := <-d.r.inbox.Items():
			d.core.Step(d.r.cfg.Clock(), m)
		case a := <-d.r.asks.Items():
			d.handle(a)
		case done := <-d.r.written.Items():
			d.core.Advance(done)
		case rep := <-d.r.reports.Items():
			d.handleReport(rep)
		}
		d.drain()
		if !d.act() {
			return
		}
	}
}

// drain handles what else has arrived, so that one Ready covers all of it.
func (d *driver) drain() {
	for range drainLimit {
		select {
		case m := <-d.r.inbox.Items():
			d.core.Step(d.r.cfg.Clock(), m)
		case a := <-d.r.asks.Items():
			d.handle(a)
		default:
			return
		}
	}
}

// handle takes the time after the request was received: a lease that held
// before a pause must not answer a request made after it.
func (d *driver) handle(a *ask) {
	if !a.take() {
		return
	}
	now := d.r.cfg.Clock()
	switch a.kind {
	case askPropose:
		d.propose(now, a)
	case askRead:
		d.read(now, a)
	case askChange:
		d.change(now, a)
	case askYield:
		d.yields = append(d.yields, a)
		d.yield(now)
	}
}

func (d *driver) propose(now time.Duration, a *ask) {
	if d.view.Commit-d.applied >= uint64(d.r.cfg.MaxPending) && d.view.Commit > d.applied {
		a.reply(nil, ErrFull)
		return
	}
	index, o := d.core.Propose(now, a.data)
	d.await(a, index, o)
}

func (d *driver) change(now time.Duration, a *ask) {
	o := d.core.ChangeMembers(now, a.change)
	d.await(a, d.core.Status().LastIndex, o)
}

func (d *driver) await(a *ask, index uint64, o agatequorum.Outcome) {
	st := d.core.Status()
	if o != agatequorum.Accepted {
		a.reply(nil, outcomeError(o, st.Leader))
		return
	}
	d.proposals[index] = append(d.proposals[index], proposal{term: st.Term, ask: a})
}

func (d *driver) read(now time.Duration, a *ask) {
	d.lastRead++
	d.reads[d.lastRead] = a
	if o := d.core.ReadIndex(now, d.lastRead); o != agatequorum.Accepted {
		delete(d.reads, d.lastRead)
		a.reply(nil, outcomeError(o, d.core.Status().Leader))
	}
}

// yield hands the lead over before the replica stops. It is tried again while
// the replica leads and a caller waits.
func (d *driver) yield(now time.Duration) {
	if len(d.yields) > 0 && d.core.TransferLeadership(now, 0) == agatequorum.Invalid {
		d.answerYields()
	}
}

func (d *driver) answerYields() {
	for _, a := range d.yields {
		a.reply(nil, nil)
	}
	d.yields = nil
}

// act does what the core asks for, and reports false when the replica must
// stop.
func (d *driver) act() bool {
	if d.due != nil && d.core.Compact(d.dueIndex, d.due) {
		d.due = nil
	}
	rd := d.core.Ready()
	if rd.Fault != nil {
		d.r.failed(rd.Fault)
		return false
	}
	for _, m := range rd.Messages {
		d.r.cfg.Send(m.To, m)
	}
	if rd.Write != nil {
		d.r.writes.Offer(rd.Write)
	}
	d.queue(rd)
	d.work()
	d.answerReads(rd.Reads)
	d.publish()
	return true
}

func (d *driver) queue(rd agatequorum.Ready) {
	if rd.Restore != nil {
		d.backlog = batch{restore: rd.Restore}
	}
	d.backlog.entries = append(d.backlog.entries, rd.Committed...)
}

// work gives the backlog to the state machine when it is idle.
func (d *driver) work() {
	if d.working || (d.backlog.restore == nil && len(d.backlog.entries) == 0) {
		return
	}
	d.backlog.results = len(d.proposals) > 0
	d.working = d.r.batches.Offer(d.backlog)
	d.backlog = batch{}
}

func (d *driver) handleReport(rep report) {
	d.working = false
	if rep.err != nil {
		d.r.failed(rep.err)
		return
	}
	d.applied = rep.applied
	if rep.due {
		d.due = rep.snapshot
		d.dueIndex = rep.applied
	}
	for _, res := range rep.results {
		d.resolve(res)
	}
	if rep.restored {
		d.skipped()
	}
	d.answerConfirmed()
}

// resolve answers the callers that wait for an index.
func (d *driver) resolve(res result) {
	waiting, ok := d.proposals[res.index]
	if !ok {
		return
	}
	delete(d.proposals, res.index)
	for _, p := range waiting {
		if p.term == res.term {
			p.ask.reply(res.value, nil)
			continue
		}
		// Another entry is committed at this index, so this one never is.
		p.ask.reply(nil, &NotLeaderError{Leader: d.core.Status().Leader})
	}
}

// skipped answers the callers whose index was replaced by a snapshot, which
// does not tell whether their command is part of it.
func (d *driver) skipped() {
	for index, waiting := range d.proposals {
		if index > d.applied {
			continue
		}
		delete(d.proposals, index)
		for _, p := range waiting {
			p.ask.reply(nil, ErrUnknown)
		}
	}
}

func (d *driver) answerReads(reads []agatequorum.Read) {
	for _, rd := range reads {
		a, ok := d.reads[rd.ID]
		if !ok {
			continue
		}
		delete(d.reads, rd.ID)
		switch {
		case rd.LeadershipLost:
			a.reply(nil, &NotLeaderError{Leader: d.core.Status().Leader})
		case rd.Index <= d.applied:
			a.reply(nil, nil)
		default:
			d.confirmed = append(d.confirmed, confirmedRead{index: rd.Index, ask: a})
		}
	}
}

func (d *driver) answerConfirmed() {
	rest := d.confirmed[:0]
	for _, cr := range d.confirmed {
		if cr.index <= d.applied {
			cr.ask.reply(nil, nil)
			continue
		}
		rest = append(rest, cr)
	}
	clear(d.confirmed[len(rest):])
	d.confirmed = rest
}

// publish updates the status and logs what changed.
func (d *driver) publish() {
	st := d.core.Status()
	if st.Role != d.view.Role || st.Term != d.view.Term || st.Leader != d.view.Leader {
		d.r.cfg.Logger.Info("role changed", "role", st.Role.String(), "term", st.Term, "leader", st.Leader)
	}
	d.view = st
	d.r.status.Store(&Status{
		ID:      d.r.cfg.ID,
		Role:    st.Role,
		Leader:  st.Leader,
		Term:    st.Term,
		Commit:  st.Commit,
		Applied: d.applied,
		Members: st.Members,
		Full:    st.WriteFailed,
		Dropped: d.r.inbox.Rejected(),
	})
	yielded := st.Role != agatequorum.Leader && (st.Leader != 0 || !st.Members.IsVoter(d.r.cfg.ID))
	if yielded && len(d.proposals) == 0 {
		d.answerYields()
	}
}

// end answers the callers that still wait when the replica stops.
func (d *driver) end() {
	for _, waiting := range d.proposals {
		for _, p := range waiting {
			p.ask.reply(nil, ErrUnknown)
		}
	}
	for _, a := range d.reads {
		a.reply(nil, ErrStopped)
	}
	for _, cr := range d.confirmed {
		cr.ask.reply(nil, ErrStopped)
	}
	d.answerYields()
}
