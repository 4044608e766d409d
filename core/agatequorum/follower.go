package agatequorum

// handleAppend appends entries of the leader to the log.
func (c *Core) handleAppend(m *Message) {
	if m.Index < c.commitIndex {
		// Committed entries always match the leader's log.
		c.acknowledge(m, c.commitIndex)
		return
	}
	if !c.log.holds(m.Index, m.LogTerm) {
		if m.Index == c.commitIndex {
			c.fail("append after entry %d of term %d contradicts a committed entry", m.Index, m.LogTerm)
			return
		}
		hint, term := c.log.conflictHint(m.Index-1, m.LogTerm)
		c.send(Message{
			Kind:     MessageAppendReply,
			To:       m.From,
			Index:    m.Index,
			Reject:   true,
			Hint:     hint,
			HintTerm: term,
			SentAt:   m.SentAt,
		}, requireHardState)
		return
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 {
			c.fail("entries of replica %d are not contiguous at %d", m.From, e.Index)
			return
		}
		if c.log.holds(e.Index, e.Term) {
			continue
		}
		c.replaceFrom(m.Entries[i:])
		break
	}
	last := m.Index + uint64(len(m.Entries))
	c.commitIndex = max(c.commitIndex, min(m.Commit, last))
	c.acknowledge(m, last)
}

// replaceFrom replaces the log from the first of entries on.
func (c *Core) replaceFrom(entries []Entry) {
	first := entries[0].Index
	if first <= c.commitIndex {
		c.fail("entry %d of term %d contradicts a committed entry", first, entries[0].Term)
		return
	}
	if first <= c.log.last() {
		c.log.truncate(first)
		c.memberships.truncate(first)
	}
	c.log.append(entries...)
	for _, e := range entries {
		c.recordMembership(e)
	}
}

// acknowledge reports to the leader that the log is durable up to index. The
// message is held back until it is.
func (c *Core) acknowledge(m *Message, index uint64) {
	if c.fault != nil {
		return
	}
	c.send(Message{Kind: MessageAppendReply, To: m.From, Index: index, SentAt: m.SentAt}, requireLog)
}

func (c *Core) handleHeartbeat(m *Message) {
	c.commitIndex = max(c.commitIndex, min(m.Commit, c.log.last()))
	c.send(Message{
		Kind:      MessageHeartbeatReply,
		To:        m.From,
		SentAt:    m.SentAt,
		ReadRound: m.ReadRound,
	}, requireHardState)
}
