// Package agateheal repairs the membership of a control group. It decides when a
// replica asks to join, which lost replica is removed and which learner becomes
// a voter. Package agatequorum accepts a proposed change or rejects it as unsafe.
//
// A group of five keeps everything it has acknowledged as long as at most two
// disks are lost within the time needed to replace them, even if other replicas are
// unresponsive meanwhile. That time is about 2 s and what it takes to send the state and
// the log, which agatequorum bounds by Config.LogBytes; nothing here waits for a copy
// before a lost identity is removed. An unresponsive voter may be
// lost or only paused, so it is replaced in two steps that each preserve
// this guarantee: first a learner is promoted to a sixth voter, then the
// unresponsive voter is removed. Of six voters four are a majority, and two lost
// disks leave four. Without the sixth voter, removing a paused voter while
// another one is lost would leave a group of four that cannot tolerate a second
// loss.
//
// # Usage
//
//	h := agateheal.New(agateheal.Config{Voters: 5})
//	h.RecordContact(id, now) // on every message from another replica
//	if h.ShouldJoin(view) {
//		agateheal.FindLeader(addrs, query)
//	}
//	for _, step := range h.Steps(view, idAt) {
//		if change(step.Change) == nil {
//			break // the next steps depend on the new membership
//		}
//	}
package agateheal

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"agategate/core/agatequorum"
)

const (
	// defaultVoterTimeout is short enough that two replicas with lost disks are
	// replaced by voters with a full copy within 4 s of the start of their
	// successors. Shorter pauses of a voter end without a replacement.
	defaultVoterTimeout  = 2 * time.Second
	defaultLeaderTimeout = 3 * time.Second
)

// Config configures a Healer. With the zero value, a Healer promotes learners, and
// removes members whose address is now used by another member.
type Config struct {
	// Voters is the target number of voters. Once it is reached, a learner is
	// promoted only to replace an unresponsive voter. Zero means no limit, and
	// that no voter is removed for being unresponsive.
	Voters int
	// VoterTimeout is the time without a message after which a voter counts as
	// unresponsive. The default is 2 s.
	VoterTimeout time.Duration
	// LeaderTimeout is the time after which a replica that is not a voter, or
	// knows no leader, asks to join the group again. The default is 3 s.
	LeaderTimeout time.Duration
}

// View is the state of the group as known to a replica.
type View struct {
	Now     time.Time
	Self    uint64
	Term    uint64
	Leader  uint64 // 0 if none is known
	Members agatequorum.Members
	// NeverVoter is set for a replica that has never been a voter.
	NeverVoter bool
}

// Step is a membership change and the reason for it.
type Step struct {
	Change agatequorum.Change
	Reason string
}

// Healer decides on membership repairs for one replica. It is safe for
// concurrent use.
type Healer struct {
	cfg Config

	mu              sync.Mutex
	lastContact     map[uint64]time.Time
	term            uint64
	termFirstSeen   time.Time // when the check for unresponsive voters first ran in term
	lastActiveVoter time.Time // when this replica last was a voter that knew a leader
}

// New returns a Healer that has no contact with other replicas yet.
func New(cfg Config) *Healer {
	if cfg.VoterTimeout <= 0 {
		cfg.VoterTimeout = defaultVoterTimeout
	}
	if cfg.LeaderTimeout <= 0 {
		cfg.LeaderTimeout = defaultLeaderTimeout
	}
	return &Healer{cfg: cfg, lastContact: make(map[uint64]time.Time)}
}

// RecordContact records that a message from the replica was received at now.
func (h *Healer) RecordContact(id uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastContact[id] = now
}

// ShouldJoin reports whether this replica should ask to join the group: it has
// never been a voter, or has not been a voter with a known leader for
// LeaderTimeout, for example because it was removed while it was paused.
func (h *Healer) ShouldJoin(v View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Members.IsVoter(v.Self) && v.Leader != 0 {
		h.lastActiveVoter = v.Now
		return false
	}
	if h.lastActiveVoter.IsZero() {
		h.lastActiveVoter = v.Now
	}
	return v.NeverVoter || v.Now.Sub(h.lastActiveVoter) > h.cfg.LeaderTimeout
}

// Steps returns the membership changes that a leader may propose, the most urgent
// first. Each holds only for the membership of the view: once one is accepted, Steps
// must be called again.
// idAt returns the ID of the replica that runs at an address.
//
// A replica whose address is now used by another ID is removed first. Its vote is
// lost: if the new replica were promoted before, a larger majority would be needed
// from the same number of live replicas.
func (h *Healer) Steps(v View, idAt func(netip.AddrPort) (uint64, bool)) []Step {
	var steps []Step
	for _, m := range v.Members {
		if m.ID != v.Self && replaced(v.Members, m, idAt) {
			steps = append(steps, Step{Change: agatequorum.Change{Kind: agatequorum.Remove, ID: m.ID, Members: v.Members}, Reason: "replaced"})
		}
	}
	reason := "full-copy"
	if voters := v.Members.VoterCount(); h.cfg.Voters > 0 && voters >= h.cfg.Voters {
		id, ok := h.unresponsiveVoter(v)
		switch {
		case !ok:
			return steps
		case voters > h.cfg.Voters:
			return append(steps, Step{Change: agatequorum.Change{Kind: agatequorum.Remove, ID: id, Members: v.Members}, Reason: "silent"})
		}
		reason = "takes the place of a silent voter"
	}
	for _, m := range v.Members {
		if m.Learner {
			// With a target number of voters, unresponsive voters are removed
			// later, so every promotion may count as a replacement.
			change := agatequorum.Change{Kind: agatequorum.Promote, ID: m.ID, Replacing: h.cfg.Voters > 0, Members: v.Members}
			steps = append(steps, Step{Change: change, Reason: reason})
		}
	}
	return steps
}

// unresponsiveVoter returns a voter that has sent no message for VoterTimeout. A new
// leader waits for VoterTimeout before it considers a voter unresponsive.
func (h *Healer) unresponsiveVoter(v View) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != v.Term {
		h.term, h.termFirstSeen = v.Term, v.Now
	}
	if v.Now.Sub(h.termFirstSeen) <= h.cfg.VoterTimeout {
		return 0, false
	}
	for _, m := range v.Members {
		if !m.Learner && m.ID != v.Self && v.Now.Sub(h.lastContact[m.ID]) > h.cfg.VoterTimeout {
			return m.ID, true
		}
	}
	return 0, false
}

// replaced reports whether another member now runs at the address of old.
func replaced(members agatequorum.Members, old agatequorum.Member, idAt func(netip.AddrPort) (uint64, bool)) bool {
	shared := slices.ContainsFunc(members, func(m agatequorum.Member) bool {
		return m.ID != old.ID && m.Address == old.Address
	})
	if !shared {
		return false
	}
	id, ok := idAt(old.Address)
	if !ok || id == old.ID {
		return false
	}
	_, known := members.Find(id)
	return known
}

// FindLeader queries the replicas at addrs, and those that they report as leader,
// until one of them is the leader. query reports whether the replica is the
// leader; if not, it may return the address of the leader. No address is queried
// twice.
func FindLeader(addrs []netip.AddrPort, query func(netip.AddrPort) (leader netip.AddrPort, isLeader bool)) {
	queue := slices.Clone(addrs)
	queried := make(map[netip.AddrPort]bool)
	for len(queue) > 0 {
		addr := queue[0]
		queue = queue[1:]
		if queried[addr] {
			continue
		}
		queried[addr] = true
		leader, isLeader := query(addr)
		if isLeader {
			return
		}
		if leader.IsValid() && !queried[leader] {
			queue = append([]netip.AddrPort{leader}, queue...)
		}
	}
}
