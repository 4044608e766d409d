package agatequorum

// promised reports whether a vote given now could break a leader's lease.
func (c *Core) promised() bool {
	if c.role == Leader {
		return c.now-c.quorumHeard() < c.cfg.ElectionMin
	}
	return c.now-c.contact < c.cfg.ElectionMin
}

// electable reports whether the replica may ask for votes. A voter whose
// removal is not known to be committed still may: without it there may be no
// majority.
func (c *Core) electable() bool {
	return c.members.latest().members.Voter(c.cfg.ID) ||
		c.members.at(c.commit).members.Voter(c.cfg.ID)
}

// startElection begins with a round of pre-votes, so that a replica that
// cannot win does not disturb the group with a higher term.
func (c *Core) startElection() {
	c.resetDeadline()
	if c.promised() || !c.electable() {
		return
	}
	c.role = PreCandidate
	c.leader = 0
	c.ordered = false
	c.votes = map[uint64]bool{c.cfg.ID: true}
	c.requestVotes(MessagePreVote, c.term+1)
	c.countVotes()
}

func (c *Core) startVote() {
	c.role = Candidate
	c.leader = 0
	c.term++
	c.vote = c.cfg.ID
	c.votes = map[uint64]bool{}
	c.rounds++
	c.resetDeadline()
	c.requestVotes(MessageVote, c.term)
	// The own vote counts once it is durable.
	c.send(Message{Kind: MessageVoteReply, To: c.cfg.ID}, needHard)
}

func (c *Core) requestVotes(kind MessageKind, term uint64) {
	latest := c.members.latest()
	for _, m := range latest.members {
		if m.Learner || m.ID == c.cfg.ID {
			continue
		}
		c.send(Message{
			Kind:     kind,
			To:       m.ID,
			Term:     term,
			Index:    c.log.last(),
			LogTerm:  c.log.lastTerm(),
			Members:  latest.index,
			Transfer: c.ordered,
		}, needHard)
	}
}

func (c *Core) countVotes() {
	won := majority(c.members.latest().members, func(id uint64) uint64 {
		if c.votes[id] {
			return 1
		}
		return 0
	})
	if won == 0 {
		return
	}
	if c.role == PreCandidate {
		c.startVote()
		return
	}
	c.becomeLeader()
}

// upToDate reports whether the log of a candidate holds at least all that
// this replica may have acknowledged.
func (c *Core) upToDate(m *Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

// mayVote reports whether this replica has a vote. The candidate's membership
// decides when it is newer than the replica's own: a learner may not have
// received the entry that promoted it. A replica that holds no membership
// cannot have been promoted; a candidate that asks it knew an earlier disk.
func (c *Core) mayVote(m *Message) bool {
	own := c.members.latest()
	if len(own.members) == 0 {
		return false
	}
	self, ok := own.members.Find(c.cfg.ID)
	if ok && self.Learner {
		return m.Members > own.index
	}
	return true
}

func (c *Core) handlePreVote(m *Message) {
	grant := c.mayVote(m) && !c.promised() && c.upToDate(m)
	if m.Term == c.term {
		grant = grant && c.leader == 0 && (c.vote == 0 || c.vote == m.From)
	}
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term}
	if !grant {
		reply.Term = c.term
		reply.Reject = true
	}
	c.send(reply, needHard)
}

func (c *Core) handlePreVoteReply(m *Message) {
	if c.role != PreCandidate || m.Reject || m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

func (c *Core) handleVote(m *Message) {
	if !m.Transfer && c.promised() {
		return
	}
	free := c.vote == m.From || (c.vote == 0 && c.leader == 0)
	if !free || !c.mayVote(m) || !c.upToDate(m) {
		c.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true}, needHard)
		return
	}
	c.vote = m.From
	c.rounds++
	c.resetDeadline()
	c.send(Message{Kind: MessageVoteReply, To: m.From}, needHard)
}

func (c *Core) handleVoteReply(m *Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

// handleElect starts the election that the leader ordered.
func (c *Core) handleElect(m *Message) {
	if c.role == Leader || !c.electable() {
		return
	}
	c.ordered = true
	c.startVote()
}
