package agatequorum

// Ready is the work that the caller has to do next.
type Ready struct {
	// Fault is set when the replica must stop because an input violates the
	// protocol, for example when it contradicts a committed entry. All other
	// fields are then empty.
	Fault error
	// Messages can be sent immediately, in order.
	Messages []Message
	// Write must be made durable. It is nil until Advance has acknowledged the
	// previous write.
	Write *Write
	// Restore, if set, replaces the state of the state machine before Committed
	// is applied.
	Restore *Snapshot
	// Committed holds the newly committed entries, to be applied in order. Each
	// entry is returned once.
	Committed []Entry
	// Reads holds the results of earlier calls of ReadIndex.
	Reads []Read
}

// Write is one write to durable storage. Snapshot is written first, then
// HardState and Entries together. Entries may replace a suffix of the log.
type Write struct {
	HardState HardState
	Entries   []Entry
	Snapshot  *Snapshot
}

// WriteResult is the result of the write of an earlier Ready.
type WriteResult struct {
	// Written is set when the whole write is durable.
	Written bool
	// Failed is set when the write failed and the caller will retry it. The
	// leader accepts no proposals until the write succeeds.
	Failed bool
}

// requirement is the state that must be durable before a message is sent.
type requirement uint8

const (
	// requireNothing is for messages of a leader, whose term has been durable
	// since its election.
	requireNothing requirement = iota
	// requireHardState is for messages that depend on the term or the vote.
	requireHardState
	// requireLog is for messages that acknowledge the log up to Index.
	requireLog
)

// output collects the work for the next Ready.
type output struct {
	messages []Message
	reads    []Read
	restore  *Snapshot
	// deliveredIndex is the index of the last entry returned in Committed.
	deliveredIndex uint64
	// pendingSnapshot is a snapshot to be saved by the next write.
	pendingSnapshot *Snapshot
	// installPending is set while a snapshot received from the leader, which
	// replaces the state, is not yet durable. No committed entries are returned
	// meanwhile.
	installPending bool
	// durableState is the HardState of the last acknowledged write.
	durableState HardState
	// inFlight is the write that is not yet acknowledged.
	inFlight *Write
	// afterWrite holds the messages that wait for the write in flight,
	// afterNextWrite those that wait for the write after it.
	afterWrite     []Message
	afterNextWrite []Message
	writeFailed    bool
}

// send fills in the common fields of a message and queues it until the state
// that it depends on is durable.
func (c *Core) send(m Message, req requirement) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	if self, ok := c.memberships.latest().members.Find(c.cfg.ID); ok {
		m.Address = self.Address
	}
	m.WriteFailed = c.output.writeFailed
	out := &c.output
	switch c.durabilityOf(&m, req) {
	case durableNow:
		out.messages = append(out.messages, m)
	case durableAfterWrite:
		out.afterWrite = append(out.afterWrite, m)
	default:
		out.afterNextWrite = append(out.afterNextWrite, m)
	}
}

// durability is the point at which the state that a message depends on is
// durable: already, after the write in flight, or after a later write.
type durability uint8

const (
	durableNow durability = iota
	durableAfterWrite
	durableLater
)

func (c *Core) durabilityOf(m *Message, req requirement) durability {
	if req == requireNothing {
		return durableNow
	}
	d := c.hardStateDurability()
	if req == requireLog {
		d = max(d, c.logDurability(m.Index))
	}
	if d == durableNow && m.To == c.cfg.ID {
		// A candidate's own vote is dispatched by Advance after a write, so it
		// is always queued.
		d = durableLater
	}
	return d
}

func (c *Core) hardStateDurability() durability {
	if c.matchesHardState(c.output.durableState) {
		return durableNow
	}
	if f := c.output.inFlight; f != nil && c.matchesHardState(f.HardState) {
		return durableAfterWrite
	}
	return durableLater
}

func (c *Core) matchesHardState(h HardState) bool { return h.Term == c.term && h.Vote == c.vote }

func (c *Core) logDurability(index uint64) durability {
	if index <= c.log.durableIndex {
		return durableNow
	}
	if c.output.pendingSnapshot == nil && c.output.inFlight != nil && index <= c.log.submittedIndex {
		return durableAfterWrite
	}
	return durableLater
}

// Ready returns the pending work and removes it from the queue. The write stays
// in flight until Advance acknowledges it.
func (c *Core) Ready() Ready {
	if c.fault != nil {
		return Ready{Fault: c.fault}
	}
	if c.role == Leader {
		c.sendPending()
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
	if out.inFlight != nil {
		return nil
	}
	clean := c.matchesHardState(out.durableState) && c.log.submittedIndex == c.log.last()
	if clean && out.pendingSnapshot == nil {
		return nil
	}
	out.inFlight = &Write{
		HardState: HardState{Term: c.term, Vote: c.vote, Commit: c.durableCommit()},
		Entries:   c.log.from(c.log.submittedIndex+1, 0),
		Snapshot:  out.pendingSnapshot,
	}
	out.pendingSnapshot = nil
	out.afterWrite = out.afterNextWrite
	out.afterNextWrite = nil
	c.log.submittedIndex = c.log.last()
	return out.inFlight
}

// durableCommit returns the commit index to store. It covers only entries of
// earlier writes: after a crash during this write, the store may hold the new
// HardState together with an old entry that this write was to replace.
func (c *Core) durableCommit() uint64 {
	return max(c.output.durableState.Commit, min(c.commitIndex, c.log.durableIndex))
}

func (c *Core) nextCommitted() (*Snapshot, []Entry) {
	out := &c.output
	if out.installPending {
		return nil, nil
	}
	restore := out.restore
	out.restore = nil
	if restore != nil {
		out.deliveredIndex = max(out.deliveredIndex, restore.Index)
	}
	entries := c.log.between(out.deliveredIndex+1, c.commitIndex)
	out.deliveredIndex = max(out.deliveredIndex, c.commitIndex)
	return restore, entries
}

// Advance reports the result of the write of an earlier Ready.
func (c *Core) Advance(result WriteResult) {
	out := &c.output
	if out.inFlight == nil || c.fault != nil {
		return
	}
	if result.Failed {
		out.writeFailed = true
		return
	}
	if !result.Written {
		return
	}
	f := out.inFlight
	out.inFlight = nil
	out.writeFailed = false
	out.durableState = f.HardState
	c.snapshotWritten(f.Snapshot)
	if n := len(f.Entries); n > 0 {
		last := f.Entries[n-1]
		if c.log.holds(last.Index, last.Term) {
			c.log.durableIndex = max(c.log.durableIndex, last.Index)
		}
	}
	c.releaseMessages()
	if c.role == Leader {
		c.advanceCommit()
	}
}

// releaseMessages sends the messages that waited for the acknowledged write.
func (c *Core) releaseMessages() {
	out := &c.output
	messages := out.afterWrite
	out.afterWrite = nil
	for _, m := range messages {
		if m.To != c.cfg.ID {
			out.messages = append(out.messages, m)
			continue
		}
		if m.Term == c.term {
			c.dispatch(&m)
		}
	}
}

// snapshotWritten handles a snapshot that has become durable, and compacts the
// log.
func (c *Core) snapshotWritten(sn *Snapshot) {
	if sn == nil {
		return
	}
	out := &c.output
	c.snapshot = *sn
	if out.installPending && out.pendingSnapshot == nil {
		out.installPending = false
		out.restore = sn
		c.log.durableIndex = max(c.log.durableIndex, sn.Index)
	}
	// A replica that lags by more than the size of the snapshot gets the snapshot.
	limit := max(c.cfg.LogBytes, len(sn.Data))
	if sn.Index > c.log.base {
		c.log.compact(c.log.retained(sn.Index, c.cfg.CatchUpEntries, limit))
	}
	c.memberships.compact(sn.Index)
}

// Compact takes a snapshot of the state machine after the entry at index, which
// must have been returned in Committed. Once the snapshot is durable, the log
// entries before it are removed, except for those that CatchUpEntries and LogBytes
// allow to keep. Compact
// returns false and does nothing if the snapshot is not newer than the last one,
// if the entry is not durable, or if another snapshot is being written.
func (c *Core) Compact(index uint64, data []byte) bool {
	out := &c.output
	busy := out.pendingSnapshot != nil || (out.inFlight != nil && out.inFlight.Snapshot != nil)
	if busy || index <= c.snapshot.Index || index > out.deliveredIndex || index > c.log.durableIndex {
		return false
	}
	term, ok := c.log.term(index)
	if !ok {
		return false
	}
	out.pendingSnapshot = &Snapshot{
		Index:   index,
		Term:    term,
		Members: c.memberships.at(index).members,
		Data:    data,
	}
	return true
}
