package agatequorum

import (
	"fmt"
	"time"
)

// Core is the Raft state of one replica. It is not safe for concurrent use.
type Core struct {
	cfg Config
	// now is the latest time passed by the caller.
	now     time.Duration
	started bool
	// fault is set when an input violates the protocol, for example when it
	// contradicts a committed entry. The core then ignores all further input.
	fault error

	term        uint64
	vote        uint64
	commitIndex uint64
	role        Role
	leader      uint64
	log         log
	// snapshot is the newest durable snapshot.
	snapshot    Snapshot
	memberships membershipHistory

	// lastContact is the time of the last message from the leader. No vote is
	// granted for ElectionMin after it, except in a leadership transfer.
	lastContact      time.Duration
	electionDeadline time.Duration
	votes            map[uint64]bool
	// voteRounds counts the elections in which the replica has voted, also for
	// itself, since it last received a message from a leader or was elected.
	voteRounds int
	// transferElection is set during an election started by MessageTimeoutNow.
	transferElection bool

	leadership leaderState
	incoming   incomingSnapshot
	output     output
}

// New returns a Core that continues from saved.
func New(cfg Config, saved PersistentState) *Core {
	c := &Core{cfg: cfg.withDefaults()}
	if saved.Fresh && cfg.Bootstrap.IsVoter(cfg.ID) {
		c.bootstrap(cfg.Bootstrap)
		return c
	}
	c.load(saved)
	return c
}

// bootstrap starts a new group. All initial voters start with the same committed
// entry, which holds the membership.
func (c *Core) bootstrap(ms Members) {
	c.term = 1
	c.log.append(Entry{Term: 1, Index: 1, Kind: KindMembers, Data: ms.Encode()})
	c.memberships.add(1, ms)
	c.commitIndex = 1
}

// load restores the durable state.
func (c *Core) load(saved PersistentState) {
	sn := saved.Snapshot
	c.snapshot = sn
	c.log.reset(sn.Index, sn.Term)
	if sn.Index > 0 {
		c.memberships.reset(sn.Index, sn.Members)
		c.output.restore = &sn
	}
	for _, e := range saved.Entries {
		if e.Index <= sn.Index {
			continue
		}
		if e.Index != c.log.last()+1 || e.Term < c.log.lastTerm() {
			// The remaining entries are left over from before a snapshot
			// replaced the log.
			break
		}
		c.log.append(e)
		c.recordMembership(e)
	}
	c.log.durableIndex = c.log.last()
	c.log.submittedIndex = c.log.last()
	c.output.durableState = saved.HardState
	c.term = max(saved.HardState.Term, c.log.lastTerm())
	if c.term == saved.HardState.Term {
		c.vote = saved.HardState.Vote
	}
	c.commitIndex = max(sn.Index, min(saved.HardState.Commit, c.log.last()))
	c.output.deliveredIndex = sn.Index
}

// Tick advances the clock to now and runs the timers. It must be called at least
// twice per heartbeat interval.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	if c.fault != nil {
		return
	}
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionDeadline {
		c.startPreVote()
	}
}

// advanceClock updates the current time before an input is handled. A leader
// without replies from a majority for ElectionMax, for example after a pause of
// the process, steps down here.
func (c *Core) advanceClock(now time.Duration) {
	if !c.started {
		c.started = true
		c.now = now
		// A leader may still hold a lease based on replies that this replica sent
		// before a restart.
		c.lastContact = now
		c.resetElectionTimer()
	}
	c.now = max(c.now, now)
	if c.role == Leader && c.now-c.quorumLastContact() > c.cfg.ElectionMax {
		c.becomeFollower(c.term, 0)
	}
}

// roundsBeforeBackoff is the number of vote rounds after which the election
// timeout starts to double. maxTimeoutDoublings limits the backoff.
const (
	roundsBeforeBackoff = 2
	maxTimeoutDoublings = 3
)

// resetElectionTimer draws a new election timeout. After roundsBeforeBackoff
// rounds, the timeout doubles with each further vote round that elects no leader:
// with slow disks a round can take longer than the initial timeout.
func (c *Core) resetElectionTimer() {
	timeout := c.cfg.ElectionMin
	jitter := c.cfg.ElectionMax - c.cfg.ElectionMin
	if c.cfg.Stagger > 0 {
		timeout += time.Duration(c.voterRank()) * c.cfg.Stagger
		jitter = c.cfg.Stagger / 2
	}
	if jitter > 0 {
		timeout += time.Duration(c.cfg.Rand() % uint64(jitter))
	}
	c.electionDeadline = c.now + timeout<<min(max(c.voteRounds-roundsBeforeBackoff, 0), maxTimeoutDoublings)
}

// voterRank returns the number of voters with a lower ID.
func (c *Core) voterRank() int {
	n := 0
	for _, m := range c.memberships.latest().members {
		if !m.Learner && m.ID < c.cfg.ID {
			n++
		}
	}
	return n
}

// Step handles a message from another replica. Messages may be lost,
// delayed, duplicated and reordered.
func (c *Core) Step(now time.Duration, m Message) {
	c.advanceClock(now)
	if c.fault != nil || m.To != c.cfg.ID || m.From == c.cfg.ID {
		return
	}
	if m.Term > c.term && !c.handleHigherTerm(&m) {
		return
	}
	if m.Term < c.term {
		c.rejectStaleTerm(&m)
		return
	}
	c.dispatch(&m)
}

// handleHigherTerm handles the term of a message with a higher term, and reports
// whether the message is to be dispatched. The replica adopts the term, except from
// pre-vote requests and granted pre-votes, which carry the term of a possible
// election, and from vote requests that may violate a lease. Those vote requests
// are not dispatched.
func (c *Core) handleHigherTerm(m *Message) bool {
	switch {
	case m.Kind == MessagePreVote:
		return true
	case m.Kind == MessagePreVoteReply && !m.Reject:
		return true
	case m.Kind == MessageVote && !m.Transfer && c.leaseMayHold():
		return false
	case m.fromLeader():
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, 0)
	}
	return true
}

// rejectStaleTerm rejects a message from an older term. The reply carries the
// current term, so that an old leader steps down and a replica that lags adopts
// the term.
func (c *Core) rejectStaleTerm(m *Message) {
	switch m.Kind {
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true}, requireHardState)
	case MessageVote:
		c.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true}, requireHardState)
	case MessageAppend, MessageHeartbeat, MessageInstallSnapshot:
		c.send(Message{Kind: MessageHeartbeatReply, To: m.From, Reject: true}, requireHardState)
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
		c.recordLeaderContact(m)
		c.handleAppend(m)
	case MessageHeartbeat:
		c.recordLeaderContact(m)
		c.handleHeartbeat(m)
	case MessageInstallSnapshot:
		c.recordLeaderContact(m)
		c.handleInstallSnapshot(m)
	case MessageTimeoutNow:
		c.handleTimeoutNow(m)
	case MessageAppendReply, MessageHeartbeatReply, MessageInstallSnapshotReply:
		c.handleReply(m)
	}
}

// recordLeaderContact handles the receipt of any message from the leader of the
// current term: it follows that leader and resets the election timer.
func (c *Core) recordLeaderContact(m *Message) {
	if c.role == Leader {
		c.fail("replica %d is also leader in term %d", m.From, c.term)
		return
	}
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(c.term, m.From)
	}
	c.lastContact = c.now
	c.voteRounds = 0
	c.resetElectionTimer()
}

func (c *Core) becomeFollower(term, leader uint64) {
	if c.role == Leader {
		c.endLeadership()
	}
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.transferElection = false
	c.resetElectionTimer()
}

// fail stops the core with an error. Only the first error is kept.
func (c *Core) fail(format string, args ...any) {
	if c.fault == nil {
		c.fault = fmt.Errorf("agatequorum: "+format, args...)
	}
}

// recordMembership puts a membership into effect as soon as its entry is
// appended to the log.
func (c *Core) recordMembership(e Entry) {
	if e.Kind != KindMembers {
		return
	}
	ms, err := DecodeMembers(e.Data)
	if err != nil {
		c.fail("entry %d: %v", e.Index, err)
		return
	}
	c.memberships.add(e.Index, ms)
}

// Status is the state of a replica and its view of the group.
type Status struct {
	Role Role
	// Leader is the ID of the leader, or zero if it is not known.
	Leader uint64
	Term   uint64
	Commit uint64
	// LastIndex is the index of the last log entry, durable or not.
	LastIndex uint64
	// DurableIndex is the index of the last durable log entry.
	DurableIndex uint64
	Members      Members
	// WriteFailed is set when the last write failed.
	WriteFailed bool
	// LogBytes is the size of the entries that are held in memory.
	LogBytes int
}

// Status returns the current status.
func (c *Core) Status() Status {
	return Status{
		Role:         c.role,
		Leader:       c.leader,
		Term:         c.term,
		Commit:       c.commitIndex,
		LastIndex:    c.log.last(),
		DurableIndex: c.log.durableIndex,
		Members:      c.memberships.latest().members,
		WriteFailed:  c.output.writeFailed,
		LogBytes:     c.log.bytes,
	}
}

// Progress tells how far a learner has caught up with the leader.
type Progress struct {
	ID uint64
	// Match is the last index that the learner is known to have.
	Match uint64
	// Installing is set while the learner receives a snapshot.
	Installing bool
}

// Learners returns the progress of the learners if the replica is the leader.
func (c *Core) Learners() []Progress {
	var out []Progress
	for _, m := range c.memberships.latest().members {
		if !m.Learner {
			continue
		}
		if p := c.peer(m.ID); p != nil {
			out = append(out, Progress{ID: p.id, Match: p.matchIndex, Installing: p.mode == installing})
		}
	}
	return out
}
