package agatequorum

import "time"

// never is earlier than any time, and small enough in magnitude that subtracting
// it from a time does not overflow.
const never = time.Duration(-1 << 60)

// leaderState is the state of a leader. It is empty in other roles.
type leaderState struct {
	// termStartIndex is the index of the first entry of the leader's term.
	termStartIndex uint64
	peers          []*peer
	// nextHeartbeat is the time at which the next heartbeat is due.
	nextHeartbeat time.Duration
	// readRound is the newest round of read confirmation. sentReadRound is the
	// newest round sent in heartbeats.
	readRound     uint64
	sentReadRound uint64
	pendingReads  []pendingRead
	// leaseRevoked is set once MessageTimeoutNow was sent in this term. Votes in
	// the resulting election do not respect the lease, so there is no lease for
	// the rest of the term.
	leaseRevoked bool
	transfer     leadershipTransfer
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.votes = nil
	c.transferElection = false
	c.voteRounds = 0
	c.leadership = leaderState{nextHeartbeat: c.now}
	c.updatePeers()
	c.leadership.termStartIndex = c.appendEntry(KindNoop, nil)
}

// endLeadership fails the pending reads and clears the leader state.
func (c *Core) endLeadership() {
	for _, r := range c.leadership.pendingReads {
		c.output.reads = append(c.output.reads, Read{ID: r.id, LeadershipLost: true})
	}
	c.leadership = leaderState{}
}

// appendEntry appends an entry of the leader's term to the log and returns its
// index. The next Ready sends and writes it.
func (c *Core) appendEntry(kind Kind, data []byte) uint64 {
	e := Entry{Term: c.term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.log.append(e)
	c.recordMembership(e)
	return e.Index
}

// Propose appends a command to the log and returns its index. The command is
// committed once an entry with this index and the current term appears in
// Ready.Committed. It is lost if the entry with this index has another term.
func (c *Core) Propose(now time.Duration, data []byte) (uint64, Outcome) {
	c.advanceClock(now)
	switch {
	case c.fault != nil || c.role != Leader || c.leadership.transfer.to != 0:
		return 0, NotLeader
	case c.output.writeFailed || c.uncommittedFull(len(data)):
		return 0, Unavailable
	}
	return c.appendEntry(KindCommand, data), Accepted
}

// uncommittedFull reports whether a command of n bytes exceeds the limits on
// uncommitted entries. A command of any size is accepted if no other one waits.
func (c *Core) uncommittedFull(n int) bool {
	waiting := c.log.last() - c.commitIndex
	if waiting >= uint64(c.cfg.MaxUncommitted) {
		return true
	}
	return waiting > 0 && c.log.bytesAfter(c.commitIndex)+n > c.cfg.maxUncommittedBytes()
}

// committedInTerm reports whether the leader has committed an entry of its term.
// Before that, the leader does not know which older entries are committed.
func (c *Core) committedInTerm() bool {
	return c.role == Leader && c.commitIndex >= c.leadership.termStartIndex
}

// quorumLastContact returns the latest time such that a majority of the voters
// has replied at or after it.
func (c *Core) quorumLastContact() time.Duration {
	return majorityValue(c.memberships.latest().members, func(id uint64) time.Duration {
		if id == c.cfg.ID {
			return c.now
		}
		if p := c.peer(id); p != nil {
			return p.lastContact
		}
		return never
	})
}

func (c *Core) tickLeader() {
	c.continueTransfer()
	if c.output.writeFailed {
		c.transferOnWriteFailure()
	}
	if c.now >= c.leadership.nextHeartbeat {
		c.broadcastHeartbeat()
	}
	for _, p := range c.leadership.peers {
		c.retryPeer(p)
	}
}

func (c *Core) broadcastHeartbeat() {
	c.leadership.nextHeartbeat = c.now + c.cfg.Heartbeat
	c.leadership.sentReadRound = c.leadership.readRound
	for _, p := range c.leadership.peers {
		c.send(Message{
			Kind:      MessageHeartbeat,
			To:        p.id,
			Commit:    min(p.matchIndex, c.commitIndex),
			SentAt:    c.now,
			ReadRound: c.leadership.readRound,
		}, requireNothing)
	}
}

// sendPending sends a heartbeat if reads wait for a new round, and the entries
// that the peers lack.
func (c *Core) sendPending() {
	if c.leadership.sentReadRound < c.leadership.readRound {
		c.broadcastHeartbeat()
	}
	for _, p := range c.leadership.peers {
		c.replicate(p)
	}
}

// advanceCommit commits the entries that are durable on a majority of the
// voters.
func (c *Core) advanceCommit() {
	index := majorityValue(c.memberships.latest().members, func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.log.durableIndex
		}
		if p := c.peer(id); p != nil {
			return p.matchIndex
		}
		return 0
	})
	if index <= c.commitIndex {
		return
	}
	if term, ok := c.log.term(index); !ok || term != c.term {
		// An entry of an older term can still be overwritten by another leader,
		// although a majority holds it.
		return
	}
	c.commitIndex = index
	c.assignReadIndexes()
	latest := c.memberships.latest()
	_, member := latest.members.Find(c.cfg.ID)
	if latest.index <= c.commitIndex && !member {
		c.stepDownRemoved()
	}
}

// stepDownRemoved ends the leadership of a replica whose removal from the group
// is committed, and transfers it to another voter.
func (c *Core) stepDownRemoved() {
	c.broadcastHeartbeat()
	if p := c.transferTarget(); p != nil {
		c.sendTimeoutNow(p)
	}
	c.becomeFollower(c.term, 0)
}
