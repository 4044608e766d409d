package agatequorum

import "time"

// transfer is a hand-over of the lead that is under way.
type transfer struct {
	to       uint64
	deadline time.Duration
	ordered  bool
}

// Transfer hands the lead over to a voter, or to the most advanced one when
// to is zero. Until it succeeds, or fails after ElectionMin, the leader
// accepts no proposals. It reports Invalid when no voter qualifies.
func (c *Core) Transfer(now time.Duration, to uint64) Outcome {
	c.observe(now)
	if c.fault != nil || c.role != Leader {
		return NotLeader
	}
	if c.lead.transfer.to != 0 {
		return Busy
	}
	if to == 0 {
		if p := c.successor(); p != nil {
			to = p.id
		}
	}
	if c.peer(to) == nil || !c.members.latest().members.Voter(to) {
		return Invalid
	}
	c.lead.transfer = transfer{to: to, deadline: c.now + c.cfg.ElectionMin}
	c.tickTransfer()
	return Accepted
}

// successor returns the voter that can take over soonest: one that answers,
// can write and holds the most.
func (c *Core) successor() *peer {
	var best *peer
	for _, p := range c.lead.peers {
		if !c.members.latest().members.Voter(p.id) || p.full {
			continue
		}
		if c.now-p.heard > c.cfg.ElectionMin {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	return best
}

// relieve hands over the lead of a leader that cannot write, if a majority of
// the voters can. Otherwise nobody could be elected, and the leader stays to
// answer reads.
func (c *Core) relieve() {
	able := majority(c.members.latest().members, func(id uint64) uint64 {
		p := c.peer(id)
		if p == nil || p.full || c.now-p.heard > c.cfg.ElectionMin {
			return 0
		}
		return 1
	})
	if able == 1 {
		c.Transfer(c.now, 0)
	}
}

func (c *Core) tickTransfer() {
	t := &c.lead.transfer
	if t.to == 0 {
		return
	}
	p := c.peer(t.to)
	if p == nil || c.now >= t.deadline {
		*t = transfer{}
		return
	}
	if !t.ordered && p.match == c.log.last() {
		t.ordered = true
		c.orderElection(p)
	}
}

// orderElection tells p to start an election that ignores promises.
func (c *Core) orderElection(p *peer) {
	c.lead.yielded = true
	c.send(Message{Kind: MessageElect, To: p.id}, needNothing)
}
