package agatequorum

import "time"

// leaseTenths is the duration of the leader lease in tenths of ElectionMin. It
// is shorter than ElectionMin because the clock rates of two replicas may differ
// by 10%.
const leaseTenths = 9

// Read is the result of ReadIndex. A state machine that has applied the entry at
// Index contains everything that was acknowledged before the read started.
type Read struct {
	ID    uint64
	Index uint64
	// LeadershipLost is set if the replica lost its leadership before it could
	// confirm the read. Index is then zero.
	LeadershipLost bool
}

// pendingRead is a read that is not yet confirmed.
type pendingRead struct {
	id uint64
	// index is the read index. It is zero until the leader has committed an
	// entry of its term.
	index uint64
	// round is the read round that a majority must confirm.
	round uint64
}

// ReadIndex requests a read index, which the state machine must have applied
// before it serves the read. The result is returned in Ready.Reads with the same
// id: immediately if the leader holds a lease, otherwise once a majority has
// confirmed its leadership. The caller must obtain now after it received the
// read request.
func (c *Core) ReadIndex(now time.Duration, id uint64) Outcome {
	c.advanceClock(now)
	if c.fault != nil || c.role != Leader {
		return NotLeader
	}
	if c.committedInTerm() && c.holdsLease() {
		c.output.reads = append(c.output.reads, Read{ID: id, Index: c.commitIndex})
		return Accepted
	}
	if c.leadership.sentReadRound == c.leadership.readRound {
		// The current round was sent before this read, so it cannot confirm it.
		c.leadership.readRound++
	}
	r := pendingRead{id: id, round: c.leadership.readRound}
	if c.committedInTerm() {
		r.index = c.commitIndex
	}
	c.leadership.pendingReads = append(c.leadership.pendingReads, r)
	c.confirmReads()
	return Accepted
}

// holdsLease reports whether the leader lease is valid, so that no other replica
// can be leader. A majority has answered messages sent at or after
// quorumAckedSentAt. Each of these voters grants no vote until ElectionMin has
// passed on its own clock since it received them.
func (c *Core) holdsLease() bool {
	if c.leadership.leaseRevoked {
		return false
	}
	return c.now < c.quorumAckedSentAt()+c.cfg.ElectionMin*leaseTenths/10
}

// quorumAckedSentAt returns the latest time such that a majority of the voters
// has answered a message sent at or after it.
func (c *Core) quorumAckedSentAt() time.Duration {
	return majorityValue(c.memberships.latest().members, func(id uint64) time.Duration {
		if id == c.cfg.ID {
			return c.now
		}
		if p := c.peer(id); p != nil {
			return p.ackedSentAt
		}
		return never
	})
}

// assignReadIndexes sets the index of reads that were requested before the
// leader had committed an entry of its term.
func (c *Core) assignReadIndexes() {
	if !c.committedInTerm() {
		return
	}
	for i := range c.leadership.pendingReads {
		if c.leadership.pendingReads[i].index == 0 {
			c.leadership.pendingReads[i].index = c.commitIndex
		}
	}
	c.confirmReads()
}

// confirmReads completes the reads whose round a majority has confirmed.
func (c *Core) confirmReads() {
	if len(c.leadership.pendingReads) == 0 || !c.committedInTerm() {
		return
	}
	confirmed := majorityValue(c.memberships.latest().members, func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.leadership.readRound
		}
		if p := c.peer(id); p != nil {
			return p.readRound
		}
		return 0
	})
	n := 0
	for _, r := range c.leadership.pendingReads {
		if r.round > confirmed {
			break
		}
		c.output.reads = append(c.output.reads, Read{ID: r.id, Index: r.index})
		n++
	}
	c.leadership.pendingReads = c.leadership.pendingReads[n:]
}
