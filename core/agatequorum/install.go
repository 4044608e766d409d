package agatequorum

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	from     uint64
	term     uint64
	snapshot Snapshot
}

func (c *Core) startSnapshot(p *peer) {
	sn := c.snapshot
	p.mode = installing
	p.snapshot = &sn
	p.offset = 0
	p.inFlight = nil
	c.sendSnapshotChunk(p)
}

func (c *Core) sendSnapshotChunk(p *peer) {
	sn := *p.snapshot
	total := uint64(len(sn.Data))
	end := min(p.offset+uint64(c.cfg.MaxMessageBytes), total)
	sn.Data = sn.Data[p.offset:end:end]
	p.retryTimerStart = c.now
	c.send(Message{
		Kind:     MessageInstallSnapshot,
		To:       p.id,
		Snapshot: sn,
		Offset:   p.offset,
		Total:    total,
		SentAt:   c.now,
	}, requireNothing)
}

// handleInstallSnapshotReply sends the chunk that the replica requests.
func (c *Core) handleInstallSnapshotReply(p *peer, m *Message) {
	if p.mode != installing || m.Index != p.snapshot.Index {
		return
	}
	if m.Offset == p.offset || m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	p.offset = m.Offset
	if p.offset < uint64(len(p.snapshot.Data)) {
		c.sendSnapshotChunk(p)
	}
}

// handleInstallSnapshot collects the chunks of a snapshot and installs it once
// it is complete.
func (c *Core) handleInstallSnapshot(m *Message) {
	sn := m.Snapshot
	if sn.Index <= c.commitIndex {
		c.acknowledge(m, c.commitIndex)
		return
	}
	in := &c.incoming
	if in.from != m.From || in.term != m.Term || in.snapshot.Index != sn.Index {
		*in = incomingSnapshot{from: m.From, term: m.Term, snapshot: sn}
		in.snapshot.Data = nil
	}
	if m.Offset == uint64(len(in.snapshot.Data)) {
		in.snapshot.Data = append(in.snapshot.Data, sn.Data...)
	}
	received := uint64(len(in.snapshot.Data))
	if received < m.Total {
		c.send(Message{
			Kind:   MessageInstallSnapshotReply,
			To:     m.From,
			Index:  sn.Index,
			Offset: received,
			SentAt: m.SentAt,
		}, requireHardState)
		return
	}
	complete := in.snapshot
	*in = incomingSnapshot{}
	c.installSnapshot(complete)
	c.acknowledge(m, complete.Index)
}

// installSnapshot replaces the log by a snapshot, unless the log already holds
// the last entry that the snapshot covers.
func (c *Core) installSnapshot(sn Snapshot) {
	c.commitIndex = sn.Index
	if c.log.holds(sn.Index, sn.Term) {
		return
	}
	c.log.reset(sn.Index, sn.Term)
	c.memberships.reset(sn.Index, sn.Members)
	c.output.pendingSnapshot = &sn
	c.output.installPending = true
}
