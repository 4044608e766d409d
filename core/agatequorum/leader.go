package agatequorum

import "time"

// never is before every time and leaves room for subtraction.
const never = time.Duration(-1 << 60)

// leading is the state of a leader. It is empty in other roles.
type leading struct {
	// first is the index of the first entry of the leader's term.
	first uint64
	peers []*peer
	// heartbeat is when the next heartbeat is due.
	heartbeat time.Duration
	// round is the newest round of read confirmation, sent the newest one
	// that heartbeats carry.
	round uint64
	sent  uint64
	reads []waiting
	// yielded says that an election was ordered in this term. Its votes
	// ignore promises, so there is no lease for the rest of the term.
	yielded  bool
	transfer transfer
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.votes = nil
	c.ordered = false
	c.rounds = 0
	c.lead = leading{heartbeat: c.now}
	c.updatePeers()
	c.lead.first = c.appendOwn(KindNoop, nil)
}

func (c *Core) leaveLead() {
	for _, w := range c.lead.reads {
		c.output.reads = append(c.output.reads, Read{ID: w.id, Lost: true})
	}
	c.lead = leading{}
}

// appendOwn adds an entry of the leader's term and returns its index. Ready
// sends and writes it.
func (c *Core) appendOwn(kind Kind, data []byte) uint64 {
	e := Entry{Term: c.term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.log.append(e)
	c.noteMembers(e)
	return e.Index
}

// Propose adds a command to the log and returns its index. The command is
// committed once an entry with this index and the current term appears in
// Ready.Committed; it is lost when the entry there has another term.
func (c *Core) Propose(now time.Duration, data []byte) (uint64, Outcome) {
	c.observe(now)
	switch {
	case c.fault != nil || c.role != Leader || c.lead.transfer.to != 0:
		return 0, NotLeader
	case c.output.full || c.log.last()-c.commit >= uint64(c.cfg.MaxPending):
		return 0, Full
	}
	return c.appendOwn(KindCommand, data), Accepted
}

// settled reports whether the leader has committed an entry of its term.
// Before that it does not know which older entries are committed.
func (c *Core) settled() bool {
	return c.role == Leader && c.commit >= c.lead.first
}

// quorumHeard returns the time after which a majority was heard.
func (c *Core) quorumHeard() time.Duration {
	return majority(c.members.latest().members, func(id uint64) time.Duration {
		if id == c.cfg.ID {
			return c.now
		}
		if p := c.peer(id); p != nil {
			return p.heard
		}
		return never
	})
}

func (c *Core) tickLeader() {
	c.tickTransfer()
	if c.output.full {
		c.relieve()
	}
	if c.now >= c.lead.heartbeat {
		c.broadcastHeartbeat()
	}
	for _, p := range c.lead.peers {
		c.retryPeer(p)
	}
}

func (c *Core) broadcastHeartbeat() {
	c.lead.heartbeat = c.now + c.cfg.Heartbeat
	c.lead.sent = c.lead.round
	for _, p := range c.lead.peers {
		c.send(Message{
			Kind:   MessageHeartbeat,
			To:     p.id,
			Commit: min(p.match, c.commit),
			Time:   c.now,
			Round:  c.lead.round,
		}, needNothing)
	}
}

// flushLeader sends what the inputs since the last Ready left to be sent.
func (c *Core) flushLeader() {
	if c.lead.sent < c.lead.round {
		c.broadcastHeartbeat()
	}
	for _, p := range c.lead.peers {
		c.replicate(p)
	}
}

// advanceCommit commits what a majority of the voters holds durably.
func (c *Core) advanceCommit() {
	index := majority(c.members.latest().members, func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.log.stable
		}
		if p := c.peer(id); p != nil {
			return p.match
		}
		return 0
	})
	if index <= c.commit {
		return
	}
	if term, ok := c.log.term(index); !ok || term != c.term {
		// A majority may hold an entry of an older term and still lose it to
		// a leader that does not have it.
		return
	}
	c.commit = index
	c.settleReads()
	latest := c.members.latest()
	_, member := latest.members.Find(c.cfg.ID)
	if latest.index <= c.commit && !member {
		c.retire()
	}
}

// retire ends the lead of a leader whose removal is committed.
func (c *Core) retire() {
	c.broadcastHeartbeat()
	if p := c.successor(); p != nil {
		c.orderElection(p)
	}
	c.becomeFollower(c.term, 0)
}
