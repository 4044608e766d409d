package agatequorum

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	from     uint64
	term     uint64
	snapshot Snapshot
	// early holds the chunks that arrived before those in front of them, by offset.
	early map[uint64][]byte
}

// add adds the chunk at an offset.
func (in *incomingSnapshot) add(offset uint64, chunk []byte) {
	if offset > uint64(len(in.snapshot.Data)) {
		in.early[offset] = chunk
		return
	}
	for offset == uint64(len(in.snapshot.Data)) && len(chunk) > 0 {
		in.snapshot.Data = append(in.snapshot.Data, chunk...)
		offset = uint64(len(in.snapshot.Data))
		chunk = in.early[offset]
		delete(in.early, offset)
	}
}

func (c *Core) startSnapshot(p *peer) {
	sn := c.snapshot
	p.reset()
	p.mode = installing
	p.snapshot = &sn
	p.offset = 0
	p.nextOffset = 0
	p.chunkResentAt = never
	c.sendSnapshotChunk(p)
	c.sendSnapshotWindow(p)
}

// sendSnapshotWindow sends chunks without waiting for their answers, up to the limit
// of unanswered bytes.
func (c *Core) sendSnapshotWindow(p *peer) {
	total := uint64(len(p.snapshot.Data))
	window := uint64(c.cfg.maxInFlightBytes())
	for p.nextOffset < total && p.nextOffset-p.offset < window {
		c.sendSnapshotChunk(p)
	}
}

func (c *Core) sendSnapshotChunk(p *peer) {
	sn := *p.snapshot
	total := uint64(len(sn.Data))
	end := min(p.nextOffset+uint64(c.cfg.MaxMessageBytes), total)
	sn.Data = sn.Data[p.nextOffset:end:end]
	p.retryTimerStart = c.now
	c.send(Message{
		Kind:     MessageInstallSnapshot,
		To:       p.id,
		Snapshot: sn,
		Offset:   p.nextOffset,
		Total:    total,
		SentAt:   c.now,
	}, requireNothing)
	p.nextOffset = end
}

// handleInstallSnapshotReply continues after the data that the replica has. A replica
// that has restarted has less than before, which its answer to a chunk that was sent
// once more tells; other answers with less are late ones.
func (c *Core) handleInstallSnapshotReply(p *peer, m *Message) {
	if p.mode != installing || m.Index != p.snapshot.Index {
		return
	}
	if m.Offset == p.offset || m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	if m.Offset < p.offset {
		if m.SentAt != p.chunkResentAt {
			return
		}
		p.nextOffset = m.Offset
	}
	p.offset = m.Offset
	p.nextOffset = max(p.nextOffset, p.offset)
	p.retryTimerStart = c.now
	c.sendSnapshotWindow(p)
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
		*in = incomingSnapshot{from: m.From, term: m.Term, snapshot: sn, early: map[uint64][]byte{}}
		in.snapshot.Data = nil
	}
	in.add(m.Offset, sn.Data)
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
