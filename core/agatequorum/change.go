package agatequorum

import (
	"net/netip"
	"slices"
	"time"
)

// ChangeKind is what a Change does.
type ChangeKind uint8

// Kinds of changes.
const (
	// AddLearner adds a replica without a vote.
	AddLearner ChangeKind = 1
	// Promote gives a learner its vote. The outcome is Behind until the
	// learner holds a durable copy of all that was committed at most
	// ElectionMax before, and Unsafe while a voter is down that should be
	// removed first.
	Promote ChangeKind = 2
	// Remove removes a voter or a learner. The last voter stays.
	Remove ChangeKind = 3
)

// Change is a change of one replica's membership.
type Change struct {
	Kind ChangeKind
	ID   uint64
	// Address is used by AddLearner.
	Address netip.AddrPort
	// Replacing is used by Promote: a silent voter is removed right after, so
	// the learner itself counts among those that must answer. The group then
	// bears the loss of as many disks as before, but none may fall silent until
	// the removal.
	Replacing bool
}

// ChangeMembers adds a membership change to the log. It is in force at once
// and committed by a majority of the new membership. The next change is Busy
// until then: memberships that differ by two voters may have majorities that
// do not overlap.
func (c *Core) ChangeMembers(now time.Duration, ch Change) Outcome {
	c.observe(now)
	latest := c.members.latest()
	switch {
	case c.fault != nil || c.role != Leader || c.lead.transfer.to != 0:
		return NotLeader
	case c.output.full:
		return Full
	case !c.settled() || latest.index > c.commit:
		return Busy
	}
	next, o := c.changed(latest.members, ch)
	if o != Accepted {
		return o
	}
	c.appendOwn(KindMembers, next.Encode())
	c.updatePeers()
	return Accepted
}

// changed returns the membership after ch.
func (c *Core) changed(ms Members, ch Change) (Members, Outcome) {
	next := slices.Clone(ms)
	i := slices.IndexFunc(next, func(m Member) bool { return m.ID == ch.ID })
	switch ch.Kind {
	case AddLearner:
		if i >= 0 || ch.ID == 0 {
			return nil, Invalid
		}
		next = append(next, Member{ID: ch.ID, Address: ch.Address, Learner: true})
		slices.SortFunc(next, func(a, b Member) int { return compare(a.ID, b.ID) })
	case Promote:
		if i < 0 || !next[i].Learner {
			return nil, Invalid
		}
		if !c.caughtUp(ch.ID) {
			return nil, Behind
		}
		next[i].Learner = false
		if !c.safeToPromote(ms, next, ch) {
			return nil, Unsafe
		}
	case Remove:
		if i < 0 || (!next[i].Learner && ms.Voters() == 1) {
			return nil, Invalid
		}
		next = slices.Delete(next, i, i+1)
		if !ms[i].Learner && c.answering(next, ch.ID) <= next.Voters()/2 {
			return nil, Unsafe
		}
	default:
		return nil, Invalid
	}
	return next, Accepted
}

func compare(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}

// answers reports whether p has answered a message that was sent in the last
// ElectionMin.
func (c *Core) answers(p *peer) bool { return c.now-p.acked <= c.cfg.ElectionMin }

// answering returns the number of voters that answer, apart from one.
func (c *Core) answering(ms Members, except uint64) int {
	n := 0
	for _, m := range ms {
		if m.Learner || m.ID == except {
			continue
		}
		if p := c.peer(m.ID); m.ID == c.cfg.ID || (p != nil && c.answers(p)) {
			n++
		}
	}
	return n
}

// safeToPromote reports whether next keeps a majority if the promoted replica
// is lost at once. With a voter down, four voters of which three answer are
// worse than three of which two do. A group whose voters all answer may grow,
// and so may one in which the promoted replica replaces a silent voter.
func (c *Core) safeToPromote(ms, next Members, ch Change) bool {
	n := c.answering(ms, ch.ID)
	if ch.Replacing {
		n++ // it answers, since it caught up
	}
	return n == ms.Voters() || n > next.Voters()/2
}

// caughtUp reports whether a learner answers and holds a durable copy of all
// that was committed at most ElectionMax ago.
func (c *Core) caughtUp(id uint64) bool {
	p := c.peer(id)
	if p == nil || !c.answers(p) {
		return false
	}
	if p.match >= c.commit {
		return true
	}
	if p.goal == 0 || c.now-p.goalAt > c.cfg.ElectionMax {
		p.goal = c.commit
		p.goalAt = c.now
	}
	return p.match >= p.goal
}
