package agatequorum

import (
	"fmt"
	"time"
)

// Core is the replicated log of one replica. It is not safe for concurrent
// use.
type Core struct {
	cfg Config
	// now is the latest time that was passed in.
	now     time.Duration
	started bool
	// fault is set when an input contradicts a committed entry. The core
	// stops then.
	fault error

	term   uint64
	vote   uint64
	commit uint64
	role   Role
	leader uint64
	log    log
	// snapshot is the newest durable snapshot.
	snapshot Snapshot
	members  membership

	// contact is when the leader was last heard. No vote is given for
	// ElectionMin after it.
	contact  time.Duration
	deadline time.Duration
	votes    map[uint64]bool
	// rounds counts the vote rounds that the replica took part in since a
	// leader was last heard.
	rounds int
	// ordered marks an election that the leader told the replica to start.
	ordered bool

	lead    leading
	inbound inbound
	output  output
}

// New returns a replica that continues from saved.
func New(cfg Config, saved Saved) *Core {
	c := &Core{cfg: cfg.withDefaults()}
	if saved.Fresh && cfg.Bootstrap.Voter(cfg.ID) {
		c.bootstrap(cfg.Bootstrap)
		return c
	}
	c.load(saved)
	return c
}

// bootstrap starts a new group: every first voter begins with the same
// committed entry.
func (c *Core) bootstrap(ms Members) {
	c.term = 1
	c.log.append(Entry{Term: 1, Index: 1, Kind: KindMembers, Data: ms.Encode()})
	c.members.add(1, ms)
	c.commit = 1
}

func (c *Core) load(saved Saved) {
	sn := saved.Snapshot
	c.snapshot = sn
	c.log.reset(sn.Index, sn.Term)
	if sn.Index > 0 {
		c.members.reset(sn.Index, sn.Members)
		c.output.restore = &sn
	}
	for _, e := range saved.Entries {
		if e.Index <= sn.Index {
			continue
		}
		if e.Index != c.log.last()+1 || e.Term < c.log.lastTerm() {
			// The rest was left over by a snapshot that replaced it.
			break
		}
		c.log.append(e)
		c.noteMembers(e)
	}
	c.log.stable = c.log.last()
	c.log.written = c.log.last()
	c.output.durable = saved.Hard
	c.term = max(saved.Hard.Term, c.log.lastTerm())
	if c.term == saved.Hard.Term {
		c.vote = saved.Hard.Vote
	}
	c.commit = max(sn.Index, min(saved.Hard.Commit, c.log.last()))
	c.output.handed = sn.Index
}

// Tick lets time pass. It is due at least twice in each heartbeat interval.
func (c *Core) Tick(now time.Duration) {
	c.observe(now)
	if c.fault != nil {
		return
	}
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now >= c.deadline {
		c.startElection()
	}
}

// observe takes note of the time before any input is handled. A leader that
// was paused finds here that no majority has answered it of late.
func (c *Core) observe(now time.Duration) {
	if !c.started {
		c.started = true
		c.now = now
		// A promise given before a restart may still be in force.
		c.contact = now
		c.resetDeadline()
	}
	c.now = max(c.now, now)
	if c.role == Leader && c.now-c.quorumHeard() > c.cfg.ElectionMax {
		c.becomeFollower(c.term, 0)
	}
}

// freeRounds is the number of vote rounds before the election timeout grows,
// maxDoublings bounds its growth.
const (
	freeRounds   = 2
	maxDoublings = 3
)

// resetDeadline draws a new election timeout. It doubles with each further
// vote round that elected nobody: with slow disks a round needs longer than
// the first timeout.
func (c *Core) resetDeadline() {
	wait := c.cfg.ElectionMin
	spread := c.cfg.ElectionMax - c.cfg.ElectionMin
	if c.cfg.Stagger > 0 {
		wait += time.Duration(c.place()) * c.cfg.Stagger
		spread = c.cfg.Stagger / 2
	}
	if spread > 0 {
		wait += time.Duration(c.cfg.Rand() % uint64(spread))
	}
	c.deadline = c.now + wait<<min(max(c.rounds-freeRounds, 0), maxDoublings)
}

// place is the number of voters with a lower identity.
func (c *Core) place() int {
	n := 0
	for _, m := range c.members.latest().members {
		if !m.Learner && m.ID < c.cfg.ID {
			n++
		}
	}
	return n
}

// Step handles a message from another replica. Messages may be lost,
// delayed, duplicated and reordered.
func (c *Core) Step(now time.Duration, m Message) {
	c.observe(now)
	if c.fault != nil || m.To != c.cfg.ID || m.From == c.cfg.ID {
		return
	}
	if m.Term > c.term && !c.enterTerm(&m) {
		return
	}
	if m.Term < c.term {
		c.answerOldTerm(&m)
		return
	}
	c.dispatch(&m)
}

// enterTerm adopts the higher term of a message, and reports whether the
// message is to be handled.
func (c *Core) enterTerm(m *Message) bool {
	switch {
	case m.Kind == MessagePreVote:
		return true
	case m.Kind == MessagePreVoteReply && !m.Reject:
		return true
	case m.Kind == MessageVote && !m.Transfer && c.promised():
		return false
	case m.fromLeader():
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, 0)
	}
	return true
}

// answerOldTerm tells the sender of a message from an old term about the
// current one, so that an old leader steps down and a replica that lags
// catches up.
func (c *Core) answerOldTerm(m *Message) {
	switch m.Kind {
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true}, needHard)
	case MessageVote:
		c.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true}, needHard)
	case MessageAppend, MessageHeartbeat, MessageInstall:
		c.send(Message{Kind: MessageHeartbeatReply, To: m.From, Reject: true}, needHard)
	}
}

func (c *Core) dispatch(m *Message) {
	switch m.Kind {
	case MessagePreVote:
		c.handlePreVote(m)
	case MessagePreVoteReply:
		c.handlePreVoteReply(m)
	case MessageVote:
		c.handleVote(m)
	case MessageVoteReply:
		c.handleVoteReply(m)
	case MessageAppend:
		c.heard(m)
		c.handleAppend(m)
	case MessageHeartbeat:
		c.heard(m)
		c.handleHeartbeat(m)
	case MessageInstall:
		c.heard(m)
		c.handleInstall(m)
	case MessageElect:
		c.handleElect(m)
	case MessageAppendReply, MessageHeartbeatReply, MessageInstallReply:
		c.handleReply(m)
	}
}

// heard takes note of a message from the leader of the current term.
func (c *Core) heard(m *Message) {
	if c.role == Leader {
		c.fail("replica %d also leads term %d", m.From, c.term)
		return
	}
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(c.term, m.From)
	}
	c.contact = c.now
	c.rounds = 0
	c.resetDeadline()
}

func (c *Core) becomeFollower(term, leader uint64) {
	if c.role == Leader {
		c.leaveLead()
	}
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.ordered = false
	c.resetDeadline()
}

func (c *Core) fail(format string, args ...any) {
	if c.fault == nil {
		c.fault = fmt.Errorf("agatequorum: "+format, args...)
	}
}

// noteMembers takes note of a membership as soon as its entry is in the log.
func (c *Core) noteMembers(e Entry) {
	if e.Kind != KindMembers {
		return
	}
	ms, err := DecodeMembers(e.Data)
	if err != nil {
		c.fail("entry %d: %v", e.Index, err)
		return
	}
	c.members.add(e.Index, ms)
}

// Status is a copy of a replica's view of the group.
type Status struct {
	Role   Role
	Leader uint64
	Term   uint64
	Commit uint64
	// Last is the last index of the log, durable or not.
	Last    uint64
	Stable  uint64
	Members Members
	// Full says that the last write failed.
	Full bool
}

// Status returns the current view.
func (c *Core) Status() Status {
	return Status{
		Role:    c.role,
		Leader:  c.leader,
		Term:    c.term,
		Commit:  c.commit,
		Last:    c.log.last(),
		Stable:  c.log.stable,
		Members: c.members.latest().members,
		Full:    c.output.full,
	}
}
