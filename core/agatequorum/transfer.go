package agatequorum

import "time"

// leadershipTransfer is a leadership transfer in progress. It is empty if there
// is none.
type leadershipTransfer struct {
	to             uint64
	deadline       time.Duration
	timeoutNowSent bool
}

// TransferLeadership transfers the leadership to the voter with the ID to. If to
// is zero, it is transferred to the most up-to-date voter that replies and can
// write. The leader accepts no proposals until the transfer succeeds or times out
// after ElectionMin. The outcome is Invalid if to is not another voter, or if no
// voter qualifies.
func (c *Core) TransferLeadership(now time.Duration, to uint64) Outcome {
	c.advanceClock(now)
	if c.fault != nil || c.role != Leader {
		return NotLeader
	}
	if c.leadership.transfer.to != 0 {
		return Busy
	}
	if to == 0 {
		if p := c.transferTarget(); p != nil {
			to = p.id
		}
	}
	if c.peer(to) == nil || !c.memberships.latest().members.IsVoter(to) {
		return Invalid
	}
	c.leadership.transfer = leadershipTransfer{to: to, deadline: c.now + c.cfg.ElectionMin}
	c.continueTransfer()
	return Accepted
}

// transferTarget returns the voter with the highest match index among those that
// reply and can write, or nil.
func (c *Core) transferTarget() *peer {
	var best *peer
	for _, p := range c.leadership.peers {
		if !c.memberships.latest().members.IsVoter(p.id) || p.writeFailed {
			continue
		}
		if c.now-p.lastContact > c.cfg.ElectionMin {
			continue
		}
		if best == nil || p.matchIndex > best.matchIndex {
			best = p
		}
	}
	return best
}

// transferOnWriteFailure transfers the leadership of a leader that cannot write,
// if a majority of the voters can. Otherwise no replica could be elected, and the
// leader keeps its role to serve reads.
func (c *Core) transferOnWriteFailure() {
	writable := majorityValue(c.memberships.latest().members, func(id uint64) uint64 {
		p := c.peer(id)
		if p == nil || p.writeFailed || c.now-p.lastContact > c.cfg.ElectionMin {
			return 0
		}
		return 1
	})
	if writable == 1 {
		c.TransferLeadership(c.now, 0)
	}
}

// continueTransfer sends MessageTimeoutNow once the target holds the whole log,
// and abandons the transfer after its deadline.
func (c *Core) continueTransfer() {
	t := &c.leadership.transfer
	if t.to == 0 {
		return
	}
	p := c.peer(t.to)
	if p == nil || c.now >= t.deadline {
		*t = leadershipTransfer{}
		return
	}
	if !t.timeoutNowSent && p.matchIndex == c.log.last() {
		t.timeoutNowSent = true
		c.sendTimeoutNow(p)
	}
}

// sendTimeoutNow tells p to start an election immediately. Votes in it are
// granted regardless of the lease.
func (c *Core) sendTimeoutNow(p *peer) {
	c.leadership.leaseRevoked = true
	c.send(Message{Kind: MessageTimeoutNow, To: p.id}, requireNothing)
}
