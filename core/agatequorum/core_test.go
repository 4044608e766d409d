package agatequorum_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
)

var threeVoters = agatequorum.Members{{ID: 1}, {ID: 2}, {ID: 3}}

// newCore returns replica 1 of a group of three whose initial state is durable.
func newCore() *agatequorum.Core {
	c := agatequorum.New(agatequorum.Config{ID: 1, Bootstrap: threeVoters, Rand: rand.New(rand.NewPCG(1, 1)).Uint64},
		agatequorum.PersistentState{Fresh: true})
	c.Tick(0)
	c.Ready()
	c.Advance(agatequorum.WriteResult{Written: true})
	return c
}

// commands returns the command entries from index from to index to.
func commands(term, from, to uint64) []agatequorum.Entry {
	var entries []agatequorum.Entry
	for i := from; i <= to; i++ {
		entries = append(entries, agatequorum.Entry{Term: term, Index: i, Kind: agatequorum.KindCommand, Data: []byte{byte(term), byte(i)}})
	}
	return entries
}

// appendFrom returns an append message to replica 1.
func appendFrom(from, term, index, logTerm uint64, entries []agatequorum.Entry) agatequorum.Message {
	return agatequorum.Message{
		Kind: agatequorum.MessageAppend, From: from, To: 1, Term: term,
		Index: index, LogTerm: logTerm, Entries: entries,
	}
}

// acknowledged returns the highest index that the messages acknowledge.
func acknowledged(messages []agatequorum.Message) uint64 {
	var index uint64
	for _, m := range messages {
		if m.Kind == agatequorum.MessageAppendReply && !m.Reject {
			index = max(index, m.Index)
		}
	}
	return index
}

// Guards against a new leader that replaces entries while they are written: the
// write in flight must not change, and its completion must not acknowledge the
// new entries.
func TestReplaceDuringWrite(t *testing.T) {
	c := newCore()
	c.Step(0, appendFrom(2, 2, 1, 1, commands(2, 2, 4)))
	c.Step(time.Second, agatequorum.Message{
		Kind: agatequorum.MessageVote, From: 3, To: 1, Term: 4, Index: 3, LogTerm: 3,
	})
	first := c.Ready().Write
	assert.Equal(t, first.HardState, agatequorum.HardState{Term: 4, Vote: 3, Commit: 1})
	before := slices.Clone(first.Entries)
	c.Step(time.Second, appendFrom(3, 4, 2, 2, commands(3, 3, 4)))
	assert.DeepEqual(t, first.Entries, before)
	c.Advance(agatequorum.WriteResult{Written: true})
	rd := c.Ready()
	for _, m := range rd.Messages {
		// Entries of term 2 may be acknowledged now, entries of term 4 not.
		assert.Assert(t, m.Kind != agatequorum.MessageAppendReply || m.Term == 2, "message %+v", m)
	}
	assert.DeepEqual(t, rd.Write.Entries, commands(3, 3, 4))
	c.Step(time.Second, appendFrom(3, 4, 3, 3, nil))
	assert.Equal(t, acknowledged(c.Ready().Messages), uint64(0))
	c.Advance(agatequorum.WriteResult{Written: true})
	assert.Equal(t, acknowledged(c.Ready().Messages), uint64(4))
}

// Guards against a vote that is sent before it is durable, and against a second
// vote in the same term after a restart.
func TestVoteIsDurable(t *testing.T) {
	c := newCore()
	request := agatequorum.Message{Kind: agatequorum.MessageVote, From: 3, To: 1, Term: 2, Index: 1, LogTerm: 1}
	c.Step(time.Second, request)
	rd := c.Ready()
	assert.Equal(t, len(rd.Messages), 0)
	assert.Equal(t, rd.Write.HardState, agatequorum.HardState{Term: 2, Vote: 3, Commit: 1})
	c.Advance(agatequorum.WriteResult{Failed: true})
	assert.Equal(t, len(c.Ready().Messages), 0)
	c.Advance(agatequorum.WriteResult{Written: true})
	assert.Equal(t, c.Ready().Messages[0].Kind, agatequorum.MessageVoteReply)

	c = agatequorum.New(agatequorum.Config{ID: 1, Bootstrap: threeVoters, Rand: rand.Uint64},
		agatequorum.PersistentState{HardState: rd.Write.HardState, Entries: []agatequorum.Entry{{Term: 1, Index: 1, Kind: agatequorum.KindMembers, Data: threeVoters.Encode()}}})
	c.Tick(0)
	request.From = 2
	c.Step(time.Second, request)
	assert.Assert(t, c.Ready().Messages[0].Reject)
}

// Guards against the commit of an entry of an older term because a majority
// holds it: another leader may still replace it, until an entry of the leader's
// own term is committed. Also guards against a read before that commit, and
// against vote requests before the candidate's own vote is durable.
func TestCommitOnlyInOwnTerm(t *testing.T) {
	c := newCore()
	c.Step(0, appendFrom(2, 2, 1, 1, commands(2, 2, 2)))
	c.Tick(time.Second)
	for _, kind := range []agatequorum.MessageKind{agatequorum.MessagePreVoteReply, agatequorum.MessageVoteReply} {
		for _, m := range c.Ready().Messages {
			assert.Assert(t, m.Kind != agatequorum.MessageVote, "message %+v", m)
		}
		c.Advance(agatequorum.WriteResult{Written: true})
		c.Step(time.Second, agatequorum.Message{Kind: kind, From: 3, To: 1, Term: 3})
	}
	c.Ready()
	c.Advance(agatequorum.WriteResult{Written: true})
	assert.Equal(t, c.Status().Role, agatequorum.Leader)
	assert.Equal(t, c.ReadIndex(time.Second, 8), agatequorum.Accepted)
	reply := agatequorum.Message{Kind: agatequorum.MessageAppendReply, From: 3, To: 1, Term: 3, Index: 2, ReadRound: 1}
	c.Step(time.Second, reply)
	assert.Equal(t, c.Status().Commit, uint64(1))
	assert.Equal(t, len(c.Ready().Reads), 0)
	reply.Index = 3
	c.Step(time.Second, reply)
	assert.Equal(t, c.Status().Commit, uint64(3))
	assert.DeepEqual(t, c.Ready().Reads, []agatequorum.Read{{ID: 8, Index: 3}})
}

// Guards against a vote that breaks the leader lease: for ElectionMin after a
// message from the leader, a voter must not vote and must not adopt the
// candidate's term.
func TestNoVoteDuringLease(t *testing.T) {
	c := newCore()
	c.Step(time.Second, appendFrom(2, 2, 1, 1, nil))
	c.Ready()
	c.Advance(agatequorum.WriteResult{Written: true})
	request := agatequorum.Message{Kind: agatequorum.MessageVote, From: 3, To: 1, Term: 3, Index: 9, LogTerm: 2}
	for _, term := range []uint64{2, 3} {
		request.Term = term
		c.Step(time.Second+299*time.Millisecond, request)
		for _, m := range c.Ready().Messages {
			assert.Assert(t, m.Kind != agatequorum.MessageVoteReply, "reply %+v", m)
		}
	}
	assert.Equal(t, c.Status().Term, uint64(2))
	c.Step(time.Second+300*time.Millisecond, request)
	assert.Equal(t, c.Status().Term, uint64(3))
}

// Guards against a vote that breaks the leader lease after the term was raised by
// a message other than a vote request.
func TestLeaseOutlivesTermChange(t *testing.T) {
	c := newCore()
	c.Step(time.Second, appendFrom(2, 2, 1, 1, nil))
	c.Step(time.Second, agatequorum.Message{Kind: agatequorum.MessagePreVoteReply, From: 3, To: 1, Term: 5, Reject: true})
	c.Step(time.Second+200*time.Millisecond, agatequorum.Message{
		Kind: agatequorum.MessageVote, From: 3, To: 1, Term: 5, Index: 9, LogTerm: 4,
	})
	w := c.Ready().Write
	assert.Equal(t, w.HardState, agatequorum.HardState{Term: 5, Commit: 1})
}

// Guards against a membership change before an entry of the leader's own term is
// committed: the change of an earlier leader may still be committed.
func TestChangeNeedsOwnTerm(t *testing.T) {
	c := newCore()
	c.Tick(time.Second)
	c.Ready()
	c.Step(time.Second, agatequorum.Message{Kind: agatequorum.MessagePreVoteReply, From: 2, To: 1, Term: 2})
	c.Ready()
	c.Advance(agatequorum.WriteResult{Written: true})
	c.Step(time.Second, agatequorum.Message{Kind: agatequorum.MessageVoteReply, From: 2, To: 1, Term: 2})
	assert.Equal(t, c.Status().Role, agatequorum.Leader)
	add := agatequorum.Change{Kind: agatequorum.AddLearner, ID: 4}
	assert.Equal(t, c.ChangeMembers(time.Second, add), agatequorum.Busy)
	c.Ready()
	c.Advance(agatequorum.WriteResult{Written: true})
	c.Step(time.Second, agatequorum.Message{Kind: agatequorum.MessageAppendReply, From: 2, To: 1, Term: 2, Index: 2})
	assert.Equal(t, c.ChangeMembers(time.Second, add), agatequorum.Accepted)
	assert.Equal(t, c.ChangeMembers(time.Second, add), agatequorum.Busy)
}

// Guards against the vote of a learner for a candidate whose membership is not
// newer than its own.
func TestLearnerVote(t *testing.T) {
	c := agatequorum.New(agatequorum.Config{ID: 4, Rand: rand.New(rand.NewPCG(1, 1)).Uint64}, agatequorum.PersistentState{
		Snapshot: agatequorum.Snapshot{Index: 7, Term: 2, Members: append(threeVoters[:3:3], agatequorum.Member{ID: 4, Learner: true})},
	})
	c.Tick(0)
	request := agatequorum.Message{Kind: agatequorum.MessageVote, From: 3, To: 4, Term: 3, Index: 7, LogTerm: 2, MembersIndex: 7}
	c.Step(time.Second, request)
	assert.Equal(t, c.Ready().Write.HardState.Vote, uint64(0))
	c.Advance(agatequorum.WriteResult{Written: true})
	request.MembersIndex = 8
	c.Step(time.Second, request)
	assert.Equal(t, c.Ready().Write.HardState.Vote, uint64(3))
	// A learner never starts an election, even without any messages.
	c.Tick(time.Hour)
	assert.Equal(t, c.Status().Role, agatequorum.Follower)
}

// Guards against a commit index that becomes durable before the entry it covers:
// a write that replaces an entry by a committed one may be torn.
func TestCommitAfterEntry(t *testing.T) {
	c := newCore()
	c.Step(0, appendFrom(2, 2, 1, 1, commands(2, 2, 3)))
	c.Ready()
	c.Advance(agatequorum.WriteResult{Written: true})
	m := appendFrom(3, 3, 2, 2, commands(3, 3, 4))
	m.Commit = 4
	c.Step(time.Second, m)
	assert.Equal(t, c.Status().Commit, uint64(4))
	assert.Equal(t, c.Ready().Write.HardState, agatequorum.HardState{Term: 3, Commit: 2})
	c.Advance(agatequorum.WriteResult{Written: true})
	c.Step(time.Second, appendFrom(3, 3, 4, 3, commands(3, 5, 5)))
	assert.Equal(t, c.Ready().Write.HardState, agatequorum.HardState{Term: 3, Commit: 4})
}

// Guards against the vote of a replica that returned with an empty disk, even if
// a candidate knows it as a voter.
func TestEmptyDiskVote(t *testing.T) {
	c := agatequorum.New(agatequorum.Config{ID: 1, Rand: rand.Uint64}, agatequorum.PersistentState{Fresh: true})
	c.Tick(0)
	for _, kind := range []agatequorum.MessageKind{agatequorum.MessagePreVote, agatequorum.MessageVote} {
		c.Step(time.Second, agatequorum.Message{Kind: kind, From: 3, To: 1, Term: 3, Index: 9, LogTerm: 2, MembersIndex: 1})
		if w := c.Ready().Write; w != nil {
			assert.Equal(t, w.HardState.Vote, uint64(0))
			c.Advance(agatequorum.WriteResult{Written: true})
		}
		for _, m := range c.Ready().Messages {
			assert.Assert(t, m.Reject, "message %+v", m)
		}
	}
}

// Guards against a replica that continues after it received entries that
// contradict committed ones.
func TestFault(t *testing.T) {
	c := newCore()
	m := appendFrom(2, 2, 1, 1, commands(2, 2, 3))
	m.Commit = 3
	c.Step(0, m)
	// An append that starts before the commit index is acknowledged without a
	// comparison of its entries.
	c.Step(0, appendFrom(3, 3, 1, 1, commands(3, 2, 3)))
	assert.NilError(t, c.Ready().Fault)
	c.Step(0, appendFrom(3, 3, 3, 3, nil))
	assert.ErrorContains(t, c.Ready().Fault, "contradicts a committed entry")
}

// Guards against the use of entries that a snapshot replaced but that are still
// in the store. They follow a gap, or have an older term than the snapshot.
func TestLeftoverEntries(t *testing.T) {
	sn := agatequorum.Snapshot{Index: 10, Term: 5, Members: threeVoters}
	for _, entries := range [][]agatequorum.Entry{commands(5, 12, 13), commands(4, 11, 13)} {
		c := agatequorum.New(agatequorum.Config{ID: 1, Rand: rand.Uint64}, agatequorum.PersistentState{Snapshot: sn, Entries: entries})
		assert.Equal(t, c.Status().LastIndex, uint64(10))
	}
}
