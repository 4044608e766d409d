package agatequorum

import (
	"net/netip"
	"slices"
	"time"
)

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds a replica as a learner.
	AddLearner ChangeKind = 1
	// Promote turns a learner into a voter. The outcome is Behind until the
	// learner holds a durable copy of all entries that were committed up to
	// ElectionMax ago, and Unsafe while a voter is down that should be removed
	// first.
	Promote ChangeKind = 2
	// Remove removes a voter or a learner. The last voter cannot be removed.
	Remove ChangeKind = 3
)

// Change is a membership change of one replica.
type Change struct {
	Kind ChangeKind
	ID   uint64
	// Address is the address of the replica. It is used by AddLearner.
	Address netip.AddrPort
	// Replacing is used by Promote, if an unresponsive voter will be removed
	// right after. The learner itself then counts as a responsive voter. The
	// group tolerates the loss of as many disks as before, but no further voter
	// may become unresponsive until the removal. It has no effect if all voters
	// are responsive.
	Replacing bool
	// Members is the membership for which the change was decided. The outcome is
	// Invalid if another one is in effect. Nil stands for any membership.
	Members Members
}

// ChangeMembers appends a membership change to the log. The new membership takes
// effect immediately and is committed by a majority of its own voters. Until then
// the outcome of another change is Busy, because memberships that differ by two
// voters may have majorities that do not overlap.
func (c *Core) ChangeMembers(now time.Duration, ch Change) Outcome {
	c.advanceClock(now)
	latest := c.memberships.latest()
	switch {
	case c.fault != nil || c.role != Leader || c.leadership.transfer.to != 0:
		return NotLeader
	case c.output.writeFailed:
		return Unavailable
	case !c.committedInTerm() || latest.index > c.commitIndex:
		return Busy
	}
	if ch.Members != nil && !slices.Equal(ch.Members, latest.members) {
		return Invalid
	}
	next, o := c.applyChange(latest.members, ch)
	if o != Accepted {
		return o
	}
	c.appendEntry(KindMembers, next.Encode())
	c.updatePeers()
	return Accepted
}

// applyChange returns the membership that results from applying ch to ms.
func (c *Core) applyChange(ms Members, ch Change) (Members, Outcome) {
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
		if i < 0 || (!next[i].Learner && ms.VoterCount() == 1) {
			return nil, Invalid
		}
		next = slices.Delete(next, i, i+1)
		if !ms[i].Learner && c.responsiveVoters(next, ch.ID) <= next.VoterCount()/2 {
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

// isResponsive reports whether p has answered a message that was sent within the
// last ElectionMin.
func (c *Core) isResponsive(p *peer) bool { return c.now-p.ackedSentAt <= c.cfg.ElectionMin }

// responsiveVoters returns the number of responsive voters in ms, not counting
// the replica with the ID except.
func (c *Core) responsiveVoters(ms Members, except uint64) int {
	n := 0
	for _, m := range ms {
		if m.Learner || m.ID == except {
			continue
		}
		if p := c.peer(m.ID); m.ID == c.cfg.ID || (p != nil && c.isResponsive(p)) {
			n++
		}
	}
	return n
}

// safeToPromote reports whether a promotion is allowed: if all other voters are
// responsive, or if the responsive ones are a majority of next even when the
// promoted replica is lost immediately. With one voter of three down, a fourth
// voter would raise the majority from two to three, and the loss of the new voter
// would stop the group as well as that of either other responsive voter. With
// Replacing, the promoted replica counts as a responsive voter, so one more voter
// may be unresponsive.
func (c *Core) safeToPromote(ms, next Members, ch Change) bool {
	n := c.responsiveVoters(ms, ch.ID)
	if ch.Replacing {
		n++ // the learner is responsive, since it has caught up
	}
	return n == ms.VoterCount() || n > next.VoterCount()/2
}

// caughtUp reports whether a learner is responsive and holds a durable copy of
// all entries that were committed up to ElectionMax ago.
func (c *Core) caughtUp(id uint64) bool {
	p := c.peer(id)
	if p == nil || !c.isResponsive(p) {
		return false
	}
	if p.matchIndex >= c.commitIndex {
		return true
	}
	if p.catchUpIndex == 0 || c.now-p.catchUpSetAt > c.cfg.ElectionMax {
		p.catchUpIndex = c.commitIndex
		p.catchUpSetAt = c.now
	}
	return p.matchIndex >= p.catchUpIndex
}
