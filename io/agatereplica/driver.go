package agatereplica

import (
	"time"

	"agategate/core/agatequorum"
)

// drainLimit bounds the requests and messages that are handled before the next
// call of Core.Ready.
const drainLimit = 1024

// driver is the task that owns the core.
type driver struct {
	r          *Replica
	core       *agatequorum.Core
	lastStatus agatequorum.Status

	// proposals holds the callers that wait for an index. After a change of
	// leader several may wait for the same index, of which at most one commits.
	proposals map[uint64][]proposal
	reads     map[uint64]*request
	lastRead  uint64
	// confirmed holds the reads that wait until their index is applied.
	confirmed []confirmedRead
	// transfers holds the Stop calls that wait for a leadership transfer.
	transfers []*request

	applied uint64
	// backlog holds what was committed but not handed to the state machine yet.
	// applying is set while the state machine is working on a batch.
	backlog  batch
	applying bool
	// snapshot is the state after snapshotIndex, if the core has not taken it
	// yet.
	snapshot      []byte
	snapshotIndex uint64
}

type proposal struct {
	term    uint64
	request *request
}

type confirmedRead struct {
	index   uint64
	request *request
}

func newDriver(r *Replica) *driver {
	d := &driver{
		r:         r,
		core:      agatequorum.New(r.cfg.coreConfig(), r.cfg.Saved),
		proposals: map[uint64][]proposal{},
		reads:     map[uint64]*request{},
	}
	d.lastStatus = d.core.Status()
	return d
}

func (d *driver) run() {
	ticker := time.NewTicker(d.r.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	defer d.failPending()
	d.core.Tick(d.r.cfg.Clock())
	if !d.processReady() {
		return
	}
	for {
		select {
		case <-d.r.stop:
			return
		case <-ticker.C:
			now := d.r.cfg.Clock()
			d.core.Tick(now)
			d.transferLeadership(now)
		case m := <-d.r.inbox.Items():
			d.step(m)
		case req := <-d.r.requests.Items():
			d.handleRequest(req)
		case done := <-d.r.written.Items():
			d.core.Advance(done)
		case rep := <-d.r.reports.Items():
			d.handleReport(rep)
		}
		d.drain()
		if !d.processReady() {
			return
		}
	}
}

// drain handles the inputs that have already arrived, so that one Ready covers
// them all.
func (d *driver) drain() {
	for range drainLimit {
		select {
		case m := <-d.r.inbox.Items():
			d.step(m)
		case req := <-d.r.requests.Items():
			d.handleRequest(req)
		default:
			return
		}
	}
}

// step passes a message to the core.
func (d *driver) step(m agatequorum.Message) {
	d.r.inboxBytes.Add(-messageBytes(&m))
	d.core.Step(d.r.cfg.Clock(), m)
}

// handleRequest reads the clock after the request was received: a lease that
// was valid before a pause must not answer a request made after it.
func (d *driver) handleRequest(req *request) {
	if !req.take() {
		return
	}
	now := d.r.cfg.Clock()
	switch req.kind {
	case requestPropose:
		d.propose(now, req)
	case requestRead:
		d.read(now, req)
	case requestChange:
		d.change(now, req)
	case requestTransfer:
		d.transfers = append(d.transfers, req)
		d.transferLeadership(now)
	}
}

func (d *driver) propose(now time.Duration, req *request) {
	tooMuch := d.r.unapplied.Load() > unappliedFactor*int64(d.r.cfg.LogBytes)
	if tooMuch || (d.lastStatus.Commit-d.applied >= uint64(d.r.cfg.MaxPending) && d.lastStatus.Commit > d.applied) {
		req.reply(nil, ErrRefused)
		return
	}
	index, o := d.core.Propose(now, req.data)
	d.track(req, index, o)
}

func (d *driver) change(now time.Duration, req *request) {
	o := d.core.ChangeMembers(now, req.change)
	d.track(req, d.core.Status().LastIndex, o)
}

func (d *driver) track(req *request, index uint64, o agatequorum.Outcome) {
	st := d.core.Status()
	if o != agatequorum.Accepted {
		req.reply(nil, outcomeError(o, st.Leader))
		return
	}
	d.proposals[index] = append(d.proposals[index], proposal{term: st.Term, request: req})
}

func (d *driver) read(now time.Duration, req *request) {
	d.lastRead++
	d.reads[d.lastRead] = req
	if o := d.core.ReadIndex(now, d.lastRead); o != agatequorum.Accepted {
		delete(d.reads, d.lastRead)
		req.reply(nil, outcomeError(o, d.core.Status().Leader))
	}
}

// transferLeadership transfers the leadership before the replica stops. It is
// retried while the replica is the leader and a caller waits.
func (d *driver) transferLeadership(now time.Duration) {
	// Invalid means that no other voter can take over.
	if len(d.transfers) > 0 && d.core.TransferLeadership(now, 0) == agatequorum.Invalid {
		d.answerTransfers()
	}
}

func (d *driver) answerTransfers() {
	for _, req := range d.transfers {
		req.reply(nil, nil)
	}
	d.transfers = nil
}

// processReady carries out the core's pending outputs. It returns false if the
// replica must stop.
func (d *driver) processReady() bool {
	if d.snapshot != nil && d.core.Compact(d.snapshotIndex, d.snapshot) {
		d.snapshot = nil
	}
	rd := d.core.Ready()
	if rd.Fault != nil {
		d.r.fail(rd.Fault)
		return false
	}
	for _, m := range rd.Messages {
		d.r.cfg.Send(m.To, m)
	}
	if rd.Write != nil {
		d.r.writes.Offer(rd.Write)
	}
	d.enqueue(rd)
	d.applyBacklog()
	d.answerReads(rd.Reads)
	d.publish()
	return true
}

func (d *driver) enqueue(rd agatequorum.Ready) {
	if rd.Restore != nil {
		d.r.unapplied.Add(-int64(agatequorum.EntryBytes(d.backlog.entries...)))
		d.backlog = batch{restore: rd.Restore}
	}
	d.r.unapplied.Add(int64(agatequorum.EntryBytes(rd.Committed...)))
	d.backlog.entries = append(d.backlog.entries, rd.Committed...)
}

// applyBacklog passes the backlog to the state machine if that is idle.
func (d *driver) applyBacklog() {
	if d.applying || (d.backlog.restore == nil && len(d.backlog.entries) == 0) {
		return
	}
	d.backlog.results = len(d.proposals) > 0
	d.applying = d.r.batches.Offer(d.backlog)
	d.backlog = batch{}
}

func (d *driver) handleReport(rep report) {
	d.applying = false
	if rep.err != nil {
		d.r.fail(rep.err)
		return
	}
	d.applied = rep.applied
	if rep.hasSnapshot {
		d.snapshot = rep.snapshot
		d.snapshotIndex = rep.applied
	}
	for _, res := range rep.results {
		d.resolve(res)
	}
	if rep.restored {
		d.answerSkipped()
	}
	d.answerConfirmed()
}

// resolve answers the callers that wait for the index of a result.
func (d *driver) resolve(res result) {
	waiting, ok := d.proposals[res.index]
	if !ok {
		return
	}
	delete(d.proposals, res.index)
	for _, p := range waiting {
		if p.term == res.term {
			p.request.reply(res.value, nil)
			continue
		}
		// Another entry was committed at this index, so this one never will be.
		p.request.reply(nil, &NotLeaderError{Leader: d.core.Status().Leader})
	}
}

// answerSkipped answers the callers whose index was replaced by a snapshot. The
// snapshot does not tell whether it includes their command.
func (d *driver) answerSkipped() {
	for index, waiting := range d.proposals {
		if index > d.applied {
			continue
		}
		delete(d.proposals, index)
		for _, p := range waiting {
			p.request.reply(nil, ErrUnknown)
		}
	}
}

func (d *driver) answerReads(reads []agatequorum.Read) {
	for _, rd := range reads {
		req, ok := d.reads[rd.ID]
		if !ok {
			continue
		}
		delete(d.reads, rd.ID)
		switch {
		case rd.LeadershipLost:
			req.reply(nil, &NotLeaderError{Leader: d.core.Status().Leader})
		case rd.Index <= d.applied:
			req.reply(nil, nil)
		default:
			d.confirmed = append(d.confirmed, confirmedRead{index: rd.Index, request: req})
		}
	}
}

func (d *driver) answerConfirmed() {
	remaining := d.confirmed[:0]
	for _, cr := range d.confirmed {
		if cr.index <= d.applied {
			cr.request.reply(nil, nil)
			continue
		}
		remaining = append(remaining, cr)
	}
	clear(d.confirmed[len(remaining):])
	d.confirmed = remaining
}

// publish updates the status, logs a change of role, term or leader, and
// answers the waiting Stop calls when the transfer of the leadership is done.
func (d *driver) publish() {
	st := d.core.Status()
	if st.Role != d.lastStatus.Role || st.Term != d.lastStatus.Term || st.Leader != d.lastStatus.Leader {
		d.r.cfg.Logger.Info("role changed", "role", st.Role.String(), "term", st.Term, "leader", st.Leader)
	}
	d.lastStatus = st
	d.r.status.Store(&Status{
		ID:          d.r.cfg.ID,
		Role:        st.Role,
		Leader:      st.Leader,
		Term:        st.Term,
		Commit:      st.Commit,
		Applied:     d.applied,
		Members:     st.Members,
		WriteFailed: st.WriteFailed,
		Dropped:     d.r.inbox.Rejected() + d.r.dropped.Load(),
		LogBytes:    st.LogBytes,
		Snapshots:   d.r.snapshots.Load(),

		SnapshotBytes: d.r.snapshotBytes.Load(),
		Learners:      d.core.Learners(),
	})
	// The transfer is done when another replica is known to lead. A replica
	// without a vote does not wait for that.
	transferDone := st.Role != agatequorum.Leader && (st.Leader != 0 || !st.Members.IsVoter(d.r.cfg.ID))
	if transferDone && len(d.proposals) == 0 {
		d.answerTransfers()
	}
}

// failPending answers the callers that still wait when the replica stops.
func (d *driver) failPending() {
	for _, waiting := range d.proposals {
		for _, p := range waiting {
			p.request.reply(nil, ErrUnknown)
		}
	}
	for _, req := range d.reads {
		req.reply(nil, ErrStopped)
	}
	for _, cr := range d.confirmed {
		cr.request.reply(nil, ErrStopped)
	}
	d.answerTransfers()
}
