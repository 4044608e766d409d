package agatequorum

import "time"

// The lease is leaseTenths tenths of ElectionMin: clocks of two replicas may
// run at rates that differ by 10%.
const leaseTenths = 9

// Read is the answer to ReadIndex. A state machine that has applied Index
// holds everything that was acknowledged before the read began.
type Read struct {
	ID    uint64
	Index uint64
	// Lost says that the replica stopped leading before it could answer.
	Lost bool
}

// waiting is a read that is not confirmed yet.
type waiting struct {
	id uint64
	// index is zero until the leader has committed an entry of its term.
	index uint64
	round uint64
}

// ReadIndex asks for the index that a read has to wait for. The answer comes
// in Ready.Reads, at once under a lease, else once a majority has confirmed
// that the replica still leads. The caller must take the time after the read
// was asked for.
func (c *Core) ReadIndex(now time.Duration, id uint64) Outcome {
	c.observe(now)
	if c.fault != nil || c.role != Leader {
		return NotLeader
	}
	if c.settled() && c.leased() {
		c.output.reads = append(c.output.reads, Read{ID: id, Index: c.commit})
		return Accepted
	}
	if c.lead.sent == c.lead.round {
		c.lead.round++
	}
	w := waiting{id: id, round: c.lead.round}
	if c.settled() {
		w.index = c.commit
	}
	c.lead.reads = append(c.lead.reads, w)
	c.confirmReads()
	return Accepted
}

// leased reports whether no other replica can lead yet: a majority has
// promised, after it received messages that were sent at quorumAcked, to give
// no vote for ElectionMin of its own clocks.
func (c *Core) leased() bool {
	if c.lead.yielded {
		return false
	}
	return c.now < c.quorumAcked()+c.cfg.ElectionMin*leaseTenths/10
}

func (c *Core) quorumAcked() time.Duration {
	return majority(c.members.latest().members, func(id uint64) time.Duration {
		if id == c.cfg.ID {
			return c.now
		}
		if p := c.peer(id); p != nil {
			return p.acked
		}
		return never
	})
}

// settleReads gives reads their index once the commit index is known.
func (c *Core) settleReads() {
	if !c.settled() {
		return
	}
	for i := range c.lead.reads {
		if c.lead.reads[i].index == 0 {
			c.lead.reads[i].index = c.commit
		}
	}
	c.confirmReads()
}

// confirmReads answers the reads whose round a majority has confirmed.
func (c *Core) confirmReads() {
	if len(c.lead.reads) == 0 || !c.settled() {
		return
	}
	confirmed := majority(c.members.latest().members, func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.lead.round
		}
		if p := c.peer(id); p != nil {
			return p.round
		}
		return 0
	})
	n := 0
	for _, w := range c.lead.reads {
		if w.round > confirmed {
			break
		}
		c.output.reads = append(c.output.reads, Read{ID: w.id, Index: w.index})
		n++
	}
	c.lead.reads = c.lead.reads[n:]
}
