// Package agateheal decides how a control group mends its own membership:
// when a replica asks to be admitted, which lost replica is removed and which
// learner gets a vote. It decides only; package agatequorum accepts a change
// or refuses it as unsafe.
//
// A group of five that heals itself keeps what it acknowledged while at most
// two disks are lost within the time that it needs to replace them, about
// three seconds, whoever else is silent meanwhile. A silent voter may be lost
// or may only be frozen, so its place is taken in two steps that each keep that
// promise: first a learner becomes the sixth voter, then the silent one goes.
// Of six voters four are a majority, and two lost disks leave four; without
// the sixth, removing a frozen voter beside a lost one would leave a group of
// four that cannot bear a second loss.
//
// # Usage
//
//	h := agateheal.New(agateheal.Config{Voters: 5})
//	h.Heard(id, now) // on every message of another replica
//	if h.Joins(view) {
//		agateheal.Ask(known, ask)
//	}
//	for _, step := range h.Steps(view, holder) {
//		if change(step.Change) == nil {
//			break // look again at the new membership
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
	// defaultDead is how long a voter must be silent before a learner takes
	// its place. Two replicas that are replaced must be whole within 4 s of the
	// start of their successors; shorter pauses end by themselves.
	defaultDead = 2 * time.Second
	// defaultLost is how long a voter knows no leader before it asks whether
	// it is still a member.
	defaultLost = 3 * time.Second
)

// Config sets up a Healer. The zero value admits learners and replaces
// replicas that come back with empty disks.
type Config struct {
	// Voters is the number of voters to keep. Beyond it a learner gets a vote
	// only to take the place of a silent voter. Zero means no bound, and that
	// no voter is removed for its silence.
	Voters int
	// Dead is how long such a voter must be silent. The default is 2 s.
	Dead time.Duration
	// Lost is how long a voter knows no leader before it asks to be admitted
	// again. The default is 3 s.
	Lost time.Duration
}

// View is what a replica knows of the group.
type View struct {
	Now     time.Time
	Self    uint64
	Term    uint64
	Leader  uint64 // 0 if none is known
	Members agatequorum.Members
	// Fresh is set for a replica that never had a vote.
	Fresh bool
}

// Step is a change of the membership and why it is due.
type Step struct {
	Change agatequorum.Change
	Reason string
}

// Healer is the healing duty of one replica. It is safe for concurrent use.
type Healer struct {
	cfg Config

	mu    sync.Mutex
	heard map[uint64]time.Time
	term  uint64
	since time.Time // when silence was first asked about in this term
	led   time.Time // when this replica last knew a leader
}

// New returns a Healer that heard nobody.
func New(cfg Config) *Healer {
	if cfg.Dead <= 0 {
		cfg.Dead = defaultDead
	}
	if cfg.Lost <= 0 {
		cfg.Lost = defaultLost
	}
	return &Healer{cfg: cfg, heard: make(map[uint64]time.Time)}
}

// Heard notes a message of a replica.
func (h *Healer) Heard(id uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[id] = now
}

// Joins reports whether this replica asks the group to be admitted: it has no
// vote yet, or knows no leader for long, as when it was removed in a pause.
func (h *Healer) Joins(v View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Members.IsVoter(v.Self) && v.Leader != 0 {
		h.led = v.Now
		return false
	}
	if h.led.IsZero() {
		h.led = v.Now
	}
	return v.Fresh || v.Now.Sub(h.led) > h.cfg.Lost
}

// Steps returns the changes that a leader may try, the most urgent first. The
// first one that the group accepts changes the membership, so the steps must be
// asked for anew. holder returns the identity of the process at an address.
//
// A replica whose address belongs to another identity now is removed first:
// its vote is lost, and promoting the new one beside it would need a larger
// majority of the same number of live replicas.
func (h *Healer) Steps(v View, holder func(netip.AddrPort) (uint64, bool)) []Step {
	var steps []Step
	for _, m := range v.Members {
		if m.ID != v.Self && replaced(v.Members, m, holder) {
			steps = append(steps, Step{Change: agatequorum.Change{Kind: agatequorum.Remove, ID: m.ID}, Reason: "replaced"})
		}
	}
	reason := "full-copy"
	if voters := v.Members.VoterCount(); h.cfg.Voters > 0 && voters >= h.cfg.Voters {
		id, ok := h.silent(v)
		switch {
		case !ok:
			return steps
		case voters > h.cfg.Voters:
			return append(steps, Step{Change: agatequorum.Change{Kind: agatequorum.Remove, ID: id}, Reason: "silent"})
		}
		reason = "takes the place of a silent voter"
	}
	for _, m := range v.Members {
		if m.Learner {
			change := agatequorum.Change{Kind: agatequorum.Promote, ID: m.ID, Replacing: h.cfg.Voters > 0}
			steps = append(steps, Step{Change: change, Reason: reason})
		}
	}
	return steps
}

// silent returns a voter that sent nothing for long. A new leader waits for
// that time before it takes anyone for silent.
func (h *Healer) silent(v View) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != v.Term {
		h.term, h.since = v.Term, v.Now
	}
	if v.Now.Sub(h.since) <= h.cfg.Dead {
		return 0, false
	}
	for _, m := range v.Members {
		if !m.Learner && m.ID != v.Self && v.Now.Sub(h.heard[m.ID]) > h.cfg.Dead {
			return m.ID, true
		}
	}
	return 0, false
}

// replaced reports whether the process at a member's address has another
// identity now, which is a member too.
func replaced(members agatequorum.Members, old agatequorum.Member, holder func(netip.AddrPort) (uint64, bool)) bool {
	shared := slices.ContainsFunc(members, func(m agatequorum.Member) bool {
		return m.ID != old.ID && m.Address == old.Address
	})
	if !shared {
		return false
	}
	id, ok := holder(old.Address)
	if !ok || id == old.ID {
		return false
	}
	_, known := members.Find(id)
	return known
}

// Ask asks the replicas at the addresses, and those that they name as leader,
// until one of them is the leader. ask returns whether it was; a replica that
// is not may name the leader's address. No address is asked twice.
func Ask(known []netip.AddrPort, ask func(netip.AddrPort) (leader netip.AddrPort, done bool)) {
	queue := slices.Clone(known)
	asked := make(map[netip.AddrPort]bool)
	for len(queue) > 0 {
		addr := queue[0]
		queue = queue[1:]
		if asked[addr] {
			continue
		}
		asked[addr] = true
		leader, done := ask(addr)
		if done {
			return
		}
		if leader.IsValid() && !asked[leader] {
			queue = append([]netip.AddrPort{leader}, queue...)
		}
	}
}
