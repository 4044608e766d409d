package agatequorum_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
)

var three = agatequorum.Members{{ID: 1}, {ID: 2}, {ID: 3}}

// newCore returns replica 1 of three whose first state is durable.
func newCore() *agatequorum.Core {
	c := agatequorum.New(agatequorum.Config{ID: 1, Bootstrap: three, Rand: rand.New(rand.NewPCG(1, 1)).Uint64},
		agatequorum.Saved{Fresh: true})
	c.Tick(0)
	c.Ready()
	c.Advance(agatequorum.Done{Written: true})
	return c
}

func commands(term, from, to uint64) []agatequorum.Entry {
	var entries []agatequorum.Entry
	for i := from; i <= to; i++ {
		entries = append(entries, agatequorum.Entry{Term: term, Index: i, Kind: agatequorum.KindCommand, Data: []byte{byte(term), byte(i)}})
	}
	return entries
}

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

// A new leader replaces entries whose write is under way. The write must not
// change, and its end must not acknowledge the new entries.
func TestReplaceDuringWrite(t *testing.T) {
	c := newCore()
	c.Step(0, appendFrom(2, 2, 1, 1, commands(2, 2, 4)))
	c.Step(time.Second, agatequorum.Message{
		Kind: agatequorum.MessageVote, From: 3, To: 1, Term: 4, Index: 3, LogTerm: 3,
	})
	first := c.Ready().Write
	assert.Equal(t, first.Hard, agatequorum.Hard{Term: 4, Vote: 3, Commit: 1})
	before := slices.Clone(first.Entries)
	c.Step(time.Second, appendFrom(3, 4, 2, 2, commands(3, 3, 4)))
	assert.DeepEqual(t, first.Entries, before)
	c.Advance(agatequorum.Done{Written: true})
	rd := c.Ready()
	for _, m := range rd.Messages {
		// The acknowledgement of term 2 may leave now, none of term 4 may.
		assert.Assert(t, m.Kind != agatequorum.MessageAppendReply || m.Term == 2, "message %+v", m)
	}
	assert.DeepEqual(t, rd.Write.Entries, commands(3, 3, 4))
	c.Step(time.Second, appendFrom(3, 4, 3, 3, nil))
	assert.Equal(t, acknowledged(c.Ready().Messages), uint64(0))
	c.Advance(agatequorum.Done{Written: true})
	assert.Equal(t, acknowledged(c.Ready().Messages), uint64(4))
}

// A vote must be durable before it is given, and must hold after a restart.
func TestVoteIsDurable(t *testing.T) {
	c := newCore()
	ask := agatequorum.Message{Kind: agatequorum.MessageVote, From: 3, To: 1, Term: 2, Index: 1, LogTerm: 1}
	c.Step(time.Second, ask)
	rd := c.Ready()
	assert.Equal(t, len(rd.Messages), 0)
	assert.Equal(t, rd.Write.Hard, agatequorum.Hard{Term: 2, Vote: 3, Commit: 1})
	c.Advance(agatequorum.Done{Failed: true})
	assert.Equal(t, len(c.Ready().Messages), 0)
	c.Advance(agatequorum.Done{Written: true})
	assert.Equal(t, c.Ready().Messages[0].Kind, agatequorum.MessageVoteReply)

	c = agatequorum.New(agatequorum.Config{ID: 1, Bootstrap: three, Rand: rand.Uint64},
		agatequorum.Saved{Hard: rd.Write.Hard, Entries: []agatequorum.Entry{{Term: 1, Index: 1, Kind: agatequorum.KindMembers, Data: three.Encode()}}})
	c.Tick(0)
	ask.From = 2
	c.Step(time.Second, ask)
	assert.Assert(t, c.Ready().Messages[0].Reject)
}

// A majority that holds an entry of an older term does not commit it: another
// leader may still replace it. An entry of the leader's own term does. A read
// waits for that, too, and a candidate asks for votes only once its own is
// durable.
func TestCommitOnlyInOwnTerm(t *testing.T) {
	c := newCore()
	c.Step(0, appendFrom(2, 2, 1, 1, commands(2, 2, 2)))
	c.Tick(time.Second)
	for _, kind := range []agatequorum.MessageKind{agatequorum.MessagePreVoteReply, agatequorum.MessageVoteReply} {
		for _, m := range c.Ready().Messages {
			assert.Assert(t, m.Kind != agatequorum.MessageVote, "message %+v", m)
		}
		c.Advance(agatequorum.Done{Written: true})
		c.Step(time.Second, agatequorum.Message{Kind: kind, From: 3, To: 1, Term: 3})
	}
	c.Ready()
	c.Advance(agatequorum.Done{Written: true})
	assert.Equal(t, c.Status().Role, agatequorum.Leader)
	assert.Equal(t, c.ReadIndex(time.Second, 8), agatequorum.Accepted)
	reply := agatequorum.Message{Kind: agatequorum.MessageAppendReply, From: 3, To: 1, Term: 3, Index: 2, Round: 1}
	c.Step(time.Second, reply)
	assert.Equal(t, c.Status().Commit, uint64(1))
	assert.Equal(t, len(c.Ready().Reads), 0)
	reply.Index = 3
	c.Step(time.Second, reply)
	assert.Equal(t, c.Status().Commit, uint64(3))
	assert.DeepEqual(t, c.Ready().Reads, []agatequorum.Read{{ID: 8, Index: 3}})
}

// A voter that heard from the leader must not vote, and must not enter the
// candidate's term, until ElectionMin has passed.
func TestVoteAfterPromise(t *testing.T) {
	c := newCore()
	c.Step(time.Second, appendFrom(2, 2, 1, 1, nil))
	c.Ready()
	c.Advance(agatequorum.Done{Written: true})
	ask := agatequorum.Message{Kind: agatequorum.MessageVote, From: 3, To: 1, Term: 3, Index: 9, LogTerm: 2}
	for _, term := range []uint64{2, 3} {
		ask.Term = term
		c.Step(time.Second+299*time.Millisecond, ask)
		for _, m := range c.Ready().Messages {
			assert.Assert(t, m.Kind != agatequorum.MessageVoteReply, "reply %+v", m)
		}
	}
	assert.Equal(t, c.Status().Term, uint64(2))
	c.Step(time.Second+300*time.Millisecond, ask)
	assert.Equal(t, c.Status().Term, uint64(3))
}

// A promise holds across a rise of the term that did not come from a vote.
func TestPromiseOutlivesTerm(t *testing.T) {
	c := newCore()
	c.Step(time.Second, appendFrom(2, 2, 1, 1, nil))
	c.Step(time.Second, agatequorum.Message{Kind: agatequorum.MessagePreVoteReply, From: 3, To: 1, Term: 5, Reject: true})
	c.Step(time.Second+200*time.Millisecond, agatequorum.Message{
		Kind: agatequorum.MessageVote, From: 3, To: 1, Term: 5, Index: 9, LogTerm: 4,
	})
	w := c.Ready().Write
	assert.Equal(t, w.Hard, agatequorum.Hard{Term: 5, Commit: 1})
}

// A leader may not change the membership before an entry of its own term is
// committed: the change of an earlier leader may still win.
func TestChangeNeedsOwnTerm(t *testing.T) {
	c := newCore()
	c.Tick(time.Second)
	c.Ready()
	c.Step(time.Second, agatequorum.Message{Kind: agatequorum.MessagePreVoteReply, From: 2, To: 1, Term: 2})
	c.Ready()
	c.Advance(agatequorum.Done{Written: true})
	c.Step(time.Second, agatequorum.Message{Kind: agatequorum.MessageVoteReply, From: 2, To: 1, Term: 2})
	assert.Equal(t, c.Status().Role, agatequorum.Leader)
	add := agatequorum.Change{Kind: agatequorum.AddLearner, ID: 4}
	assert.Equal(t, c.ChangeMembers(time.Second, add), agatequorum.Busy)
	c.Ready()
	c.Advance(agatequorum.Done{Written: true})
	c.Step(time.Second, agatequorum.Message{Kind: agatequorum.MessageAppendReply, From: 2, To: 1, Term: 2, Index: 2})
	assert.Equal(t, c.ChangeMembers(time.Second, add), agatequorum.Accepted)
	assert.Equal(t, c.ChangeMembers(time.Second, add), agatequorum.Busy)
}

// A learner must not vote for a candidate whose membership is not newer.
func TestLearnerVote(t *testing.T) {
	c := agatequorum.New(agatequorum.Config{ID: 4, Rand: rand.New(rand.NewPCG(1, 1)).Uint64}, agatequorum.Saved{
		Snapshot: agatequorum.Snapshot{Index: 7, Term: 2, Members: append(three[:3:3], agatequorum.Member{ID: 4, Learner: true})},
	})
	c.Tick(0)
	ask := agatequorum.Message{Kind: agatequorum.MessageVote, From: 3, To: 4, Term: 3, Index: 7, LogTerm: 2, Members: 7}
	c.Step(time.Second, ask)
	assert.Equal(t, c.Ready().Write.Hard.Vote, uint64(0))
	c.Advance(agatequorum.Done{Written: true})
	ask.Members = 8
	c.Step(time.Second, ask)
	assert.Equal(t, c.Ready().Write.Hard.Vote, uint64(3))
	// It asks for no votes itself, however long it hears nothing.
	c.Tick(time.Hour)
	assert.Equal(t, c.Status().Role, agatequorum.Follower)
}

// A write that replaces an entry by a committed one may be torn. The commit
// index must not become durable before the entry.
func TestCommitAfterEntry(t *testing.T) {
	c := newCore()
	c.Step(0, appendFrom(2, 2, 1, 1, commands(2, 2, 3)))
	c.Ready()
	c.Advance(agatequorum.Done{Written: true})
	m := appendFrom(3, 3, 2, 2, commands(3, 3, 4))
	m.Commit = 4
	c.Step(time.Second, m)
	assert.Equal(t, c.Status().Commit, uint64(4))
	assert.Equal(t, c.Ready().Write.Hard, agatequorum.Hard{Term: 3, Commit: 2})
	c.Advance(agatequorum.Done{Written: true})
	c.Step(time.Second, appendFrom(3, 3, 4, 3, commands(3, 5, 5)))
	assert.Equal(t, c.Ready().Write.Hard, agatequorum.Hard{Term: 3, Commit: 4})
}

// A replica that came back with an empty disk must not vote, even if it is
// asked under an identity that once had a vote.
func TestEmptyDiskVote(t *testing.T) {
	c := agatequorum.New(agatequorum.Config{ID: 1, Rand: rand.Uint64}, agatequorum.Saved{Fresh: true})
	c.Tick(0)
	for _, kind := range []agatequorum.MessageKind{agatequorum.MessagePreVote, agatequorum.MessageVote} {
		c.Step(time.Second, agatequorum.Message{Kind: kind, From: 3, To: 1, Term: 3, Index: 9, LogTerm: 2, Members: 1})
		if w := c.Ready().Write; w != nil {
			assert.Equal(t, w.Hard.Vote, uint64(0))
			c.Advance(agatequorum.Done{Written: true})
		}
		for _, m := range c.Ready().Messages {
			assert.Assert(t, m.Reject, "message %+v", m)
		}
	}
}

// Entries that contradict committed ones must stop the replica.
func TestFault(t *testing.T) {
	c := newCore()
	m := appendFrom(2, 2, 1, 1, commands(2, 2, 3))
	m.Commit = 3
	c.Step(0, m)
	c.Step(0, appendFrom(3, 3, 1, 1, commands(3, 2, 3)))
	assert.NilError(t, c.Ready().Fault)
	c.Step(0, appendFrom(3, 3, 3, 3, nil))
	assert.ErrorContains(t, c.Ready().Fault, "contradicts a committed entry")
}

// Entries that a snapshot replaced but that are still in the store must not
// return: they have a gap, or a term before the snapshot's.
func TestLeftoverEntries(t *testing.T) {
	sn := agatequorum.Snapshot{Index: 10, Term: 5, Members: three}
	for _, entries := range [][]agatequorum.Entry{commands(5, 12, 13), commands(4, 11, 13)} {
		c := agatequorum.New(agatequorum.Config{ID: 1, Rand: rand.Uint64}, agatequorum.Saved{Snapshot: sn, Entries: entries})
		assert.Equal(t, c.Status().Last, uint64(10))
	}
}
