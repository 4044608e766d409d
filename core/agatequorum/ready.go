package agatequorum

// Ready is what the caller has to do next.
type Ready struct {
	// Fault is set when the replica must stop: an input contradicts a
	// committed entry. All other fields are empty then.
	Fault error
	// Messages may be sent at once, in order.
	Messages []Message
	// Write is to be made durable. It is nil while an earlier one is not
	// acknowledged through Advance.
	Write *Write
	// Restore replaces the state of the state machine before Committed.
	Restore *Snapshot
	// Committed is to be applied in order. Each entry appears once.
	Committed []Entry
	// Reads lists the reads that are answered.
	Reads []Read
}

// Write is one write to the store. Snapshot is written first, then Hard and
// Entries together. Entries may replace a suffix of the log.
type Write struct {
	Hard     Hard
	Entries  []Entry
	Snapshot *Snapshot
}

// Done reports on the write of an earlier Ready.
type Done struct {
	// Written says that the whole write is durable.
	Written bool
	// Failed says that the write failed and that the caller will try it
	// again. The leader accepts no proposals until it is written.
	Failed bool
}

// need is what must be durable before a message is sent.
type need uint8

const (
	// needNothing holds for messages of a leader, whose term is durable
	// since its election.
	needNothing need = iota
	// needHard holds for messages that reveal the term or the vote.
	needHard
	// needLog holds for messages that acknowledge the log up to Index.
	needLog
)

// output collects what the next Ready returns.
type output struct {
	messages []Message
	reads    []Read
	restore  *Snapshot
	// handed is the last index returned in Committed.
	handed uint64
	// pending is a snapshot that the next write saves. While it replaces the
	// log, nothing is handed out.
	pending *Snapshot
	// install says that pending, or the snapshot in flight, came from the
	// leader and replaces the state.
	install bool
	// durable is the last acknowledged Hard.
	durable Hard
	// flight is the write that is not acknowledged yet.
	flight *Write
	// held waits for the write in flight, later for the one after it.
	held  []Message
	later []Message
	full  bool
}

// send queues a message until what it depends on is durable.
func (c *Core) send(m Message, n need) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	if self, ok := c.members.latest().members.Find(c.cfg.ID); ok {
		m.Address = self.Address
	}
	m.Full = c.output.full
	out := &c.output
	switch c.covered(&m, n) {
	case coveredNow:
		out.messages = append(out.messages, m)
	case coveredByFlight:
		out.held = append(out.held, m)
	default:
		out.later = append(out.later, m)
	}
}

type coverage uint8

const (
	coveredNow coverage = iota
	coveredByFlight
	coveredLater
)

func (c *Core) covered(m *Message, n need) coverage {
	if n == needNothing {
		return coveredNow
	}
	cov := c.hardCovered()
	if n == needLog {
		cov = max(cov, c.logCovered(m.Index))
	}
	if cov == coveredNow && m.To == c.cfg.ID {
		// Messages to oneself are delivered by Advance only.
		cov = coveredLater
	}
	return cov
}

func (c *Core) hardCovered() coverage {
	if c.sameHard(c.output.durable) {
		return coveredNow
	}
	if f := c.output.flight; f != nil && c.sameHard(f.Hard) {
		return coveredByFlight
	}
	return coveredLater
}

func (c *Core) sameHard(h Hard) bool { return h.Term == c.term && h.Vote == c.vote }

func (c *Core) logCovered(index uint64) coverage {
	if index <= c.log.stable {
		return coveredNow
	}
	if c.output.pending == nil && c.output.flight != nil && index <= c.log.written {
		return coveredByFlight
	}
	return coveredLater
}

// Ready returns what is to be done and forgets it, except for the write,
// which waits for Advance.
func (c *Core) Ready() Ready {
	if c.fault != nil {
		return Ready{Fault: c.fault}
	}
	if c.role == Leader {
		c.flushLeader()
	}
	out := &c.output
	rd := Ready{
		Messages: out.messages,
		Write:    c.nextWrite(),
		Reads:    out.reads,
	}
	out.messages = nil
	out.reads = nil
	rd.Restore, rd.Committed = c.nextCommitted()
	return rd
}

func (c *Core) nextWrite() *Write {
	out := &c.output
	if out.flight != nil {
		return nil
	}
	clean := c.sameHard(out.durable) && c.log.written == c.log.last()
	if clean && out.pending == nil {
		return nil
	}
	out.flight = &Write{
		Hard:     Hard{Term: c.term, Vote: c.vote, Commit: c.durableCommit()},
		Entries:  c.log.from(c.log.written+1, 0),
		Snapshot: out.pending,
	}
	out.pending = nil
	out.held = out.later
	out.later = nil
	c.log.written = c.log.last()
	return out.flight
}

// durableCommit returns the commit index to store. It covers entries of
// earlier writes only: after a crash in the middle of this write, the store
// may hold the new Hard above an old entry that this write was to replace.
func (c *Core) durableCommit() uint64 {
	return max(c.output.durable.Commit, min(c.commit, c.log.stable))
}

func (c *Core) nextCommitted() (*Snapshot, []Entry) {
	out := &c.output
	if out.install {
		return nil, nil
	}
	restore := out.restore
	out.restore = nil
	if restore != nil {
		out.handed = max(out.handed, restore.Index)
	}
	entries := c.log.between(out.handed+1, c.commit)
	out.handed = max(out.handed, c.commit)
	return restore, entries
}

// Advance acknowledges the write of an earlier Ready.
func (c *Core) Advance(done Done) {
	out := &c.output
	if out.flight == nil || c.fault != nil {
		return
	}
	if done.Failed {
		out.full = true
		return
	}
	if !done.Written {
		return
	}
	f := out.flight
	out.flight = nil
	out.full = false
	out.durable = f.Hard
	c.snapshotWritten(f.Snapshot)
	if n := len(f.Entries); n > 0 {
		last := f.Entries[n-1]
		if c.log.holds(last.Index, last.Term) {
			c.log.stable = max(c.log.stable, last.Index)
		}
	}
	c.release()
	if c.role == Leader {
		c.advanceCommit()
	}
}

// release sends the messages that waited for the acknowledged write.
func (c *Core) release() {
	out := &c.output
	held := out.held
	out.held = nil
	for _, m := range held {
		if m.To != c.cfg.ID {
			out.messages = append(out.messages, m)
			continue
		}
		if m.Term == c.term {
			c.dispatch(&m)
		}
	}
}

// snapshotWritten takes note of a durable snapshot.
func (c *Core) snapshotWritten(sn *Snapshot) {
	if sn == nil {
		return
	}
	out := &c.output
	c.snapshot = *sn
	if out.install && out.pending == nil {
		out.install = false
		out.restore = sn
		c.log.stable = max(c.log.stable, sn.Index)
	}
	keep := uint64(c.cfg.Keep)
	if sn.Index > keep {
		c.log.compact(sn.Index - keep)
	}
	c.members.compact(sn.Index)
}

// Compact hands over the state of the state machine after the entry at
// index, which must have been returned in Committed. The log before it is
// dropped once the snapshot is durable. It reports false, and does nothing,
// when the snapshot is not newer, not durable in the log, or when another one
// is being written.
func (c *Core) Compact(index uint64, data []byte) bool {
	out := &c.output
	busy := out.pending != nil || (out.flight != nil && out.flight.Snapshot != nil)
	if busy || index <= c.snapshot.Index || index > out.handed || index > c.log.stable {
		return false
	}
	term, ok := c.log.term(index)
	if !ok {
		return false
	}
	out.pending = &Snapshot{
		Index:   index,
		Term:    term,
		Members: c.members.at(index).members,
		Data:    data,
	}
	return true
}
