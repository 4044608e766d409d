package agatequorum

// inbound is a snapshot that arrives in chunks.
type inbound struct {
	from     uint64
	term     uint64
	snapshot Snapshot
}

func (c *Core) startInstall(p *peer) {
	sn := c.snapshot
	p.mode = installing
	p.snapshot = &sn
	p.offset = 0
	p.inflight = nil
	c.sendChunk(p)
}

func (c *Core) sendChunk(p *peer) {
	sn := *p.snapshot
	total := uint64(len(sn.Data))
	end := min(p.offset+uint64(c.cfg.MaxBytes), total)
	sn.Data = sn.Data[p.offset:end:end]
	p.progress = c.now
	c.send(Message{
		Kind:     MessageInstall,
		To:       p.id,
		Snapshot: sn,
		Offset:   p.offset,
		Total:    total,
		Time:     c.now,
	}, needNothing)
}

// handleInstallReply sends the chunk that the replica asks for.
func (c *Core) handleInstallReply(p *peer, m *Message) {
	if p.mode != installing || m.Index != p.snapshot.Index {
		return
	}
	if m.Offset == p.offset || m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	p.offset = m.Offset
	if p.offset < uint64(len(p.snapshot.Data)) {
		c.sendChunk(p)
	}
}

// handleInstall collects the chunks of a snapshot.
func (c *Core) handleInstall(m *Message) {
	sn := m.Snapshot
	if sn.Index <= c.commit {
		c.acknowledge(m, c.commit)
		return
	}
	in := &c.inbound
	if in.from != m.From || in.term != m.Term || in.snapshot.Index != sn.Index {
		*in = inbound{from: m.From, term: m.Term, snapshot: sn}
		in.snapshot.Data = nil
	}
	if m.Offset == uint64(len(in.snapshot.Data)) {
		in.snapshot.Data = append(in.snapshot.Data, sn.Data...)
	}
	have := uint64(len(in.snapshot.Data))
	if have < m.Total {
		c.send(Message{
			Kind:   MessageInstallReply,
			To:     m.From,
			Index:  sn.Index,
			Offset: have,
			Time:   m.Time,
		}, needHard)
		return
	}
	whole := in.snapshot
	*in = inbound{}
	c.install(whole)
	c.acknowledge(m, whole.Index)
}

// install replaces the log by a snapshot, unless the log already holds the
// position of the snapshot.
func (c *Core) install(sn Snapshot) {
	c.commit = sn.Index
	if c.log.holds(sn.Index, sn.Term) {
		return
	}
	c.log.reset(sn.Index, sn.Term)
	c.members.reset(sn.Index, sn.Members)
	c.output.pending = &sn
	c.output.install = true
}
