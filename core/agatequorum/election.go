package agatequorum

// leaseMayHold reports whether a leader may still hold a lease that a vote
// granted now would violate.
func (c *Core) leaseMayHold() bool {
	if c.role == Leader {
		return c.now-c.quorumLastContact() < c.cfg.ElectionMin
	}
	return c.now-c.lastContact < c.cfg.ElectionMin
}

// electable reports whether the replica may start an election. This includes a
// voter whose removal is not known to be committed, because it may be needed for
// a majority.
func (c *Core) electable() bool {
	return c.memberships.latest().members.IsVoter(c.cfg.ID) ||
		c.memberships.at(c.commitIndex).members.IsVoter(c.cfg.ID)
}

// startPreVote starts a pre-vote, so that a replica that cannot win an election
// does not disrupt the group with a higher term.
func (c *Core) startPreVote() {
	c.resetElectionTimer()
	if c.leaseMayHold() || !c.electable() {
		return
	}
	c.role = PreCandidate
	c.leader = 0
	c.transferElection = false
	c.votes = map[uint64]bool{c.cfg.ID: true}
	c.requestVotes(MessagePreVote, c.term+1)
	c.countVotes()
}

// startElection increases the term and requests votes.
func (c *Core) startElection() {
	c.role = Candidate
	c.leader = 0
	c.term++
	c.vote = c.cfg.ID
	c.votes = map[uint64]bool{}
	c.voteRounds++
	c.resetElectionTimer()
	c.requestVotes(MessageVote, c.term)
	// The candidate's own vote counts once it is durable.
	c.send(Message{Kind: MessageVoteReply, To: c.cfg.ID}, requireHardState)
}

func (c *Core) requestVotes(kind MessageKind, term uint64) {
	latest := c.memberships.latest()
	for _, m := range latest.members {
		if m.Learner || m.ID == c.cfg.ID {
			continue
		}
		c.send(Message{
			Kind:         kind,
			To:           m.ID,
			Term:         term,
			Index:        c.log.last(),
			LogTerm:      c.log.lastTerm(),
			MembersIndex: latest.index,
			Transfer:     c.transferElection,
		}, requireHardState)
	}
}

func (c *Core) countVotes() {
	won := majorityValue(c.memberships.latest().members, func(id uint64) uint64 {
		if c.votes[id] {
			return 1
		}
		return 0
	})
	if won == 0 {
		return
	}
	if c.role == PreCandidate {
		c.startElection()
		return
	}
	c.becomeLeader()
}

// upToDate reports whether the log of a candidate is at least as up-to-date as
// the log of this replica.
func (c *Core) upToDate(m *Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

// mayVote reports whether this replica may vote. A learner may vote if the
// candidate's membership is newer than its own, because it may not have received
// the entry that promoted it. A replica that is not in its latest membership may
// vote, because its removal may not be committed. A replica without any
// membership cannot have been promoted: it has lost its disk since the candidate
// learned of it.
func (c *Core) mayVote(m *Message) bool {
	own := c.memberships.latest()
	if len(own.members) == 0 {
		return false
	}
	self, ok := own.members.Find(c.cfg.ID)
	if ok && self.Learner {
		return m.MembersIndex > own.index
	}
	return true
}

func (c *Core) handlePreVote(m *Message) {
	grant := c.mayVote(m) && !c.leaseMayHold() && c.upToDate(m)
	if m.Term == c.term {
		grant = grant && c.leader == 0 && (c.vote == 0 || c.vote == m.From)
	}
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term}
	if !grant {
		reply.Term = c.term
		reply.Reject = true
	}
	c.send(reply, requireHardState)
}

func (c *Core) handlePreVoteReply(m *Message) {
	if c.role != PreCandidate || m.Reject || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

func (c *Core) handleVote(m *Message) {
	if !m.Transfer && c.leaseMayHold() {
		// A vote could violate the lease of the leader.
		return
	}
	voteFree := c.vote == m.From || (c.vote == 0 && c.leader == 0)
	if !voteFree || !c.mayVote(m) || !c.upToDate(m) {
		c.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true}, requireHardState)
		return
	}
	c.vote = m.From
	c.voteRounds++
	c.resetElectionTimer()
	c.send(Message{Kind: MessageVoteReply, To: m.From}, requireHardState)
}

func (c *Core) handleVoteReply(m *Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

// handleTimeoutNow starts the election of a leadership transfer.
func (c *Core) handleTimeoutNow(m *Message) {
	if c.role == Leader || !c.electable() {
		return
	}
	c.transferElection = true
	c.startElection()
}
