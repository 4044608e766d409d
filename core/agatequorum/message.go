package agatequorum

import (
	"net/netip"
	"time"
)

// MessageKind is the type of a Message.
type MessageKind uint8

// Kinds of messages. The values are sent over the network and never change.
const (
	// MessagePreVote asks whether the receiver would grant a vote in Term. The
	// sender has not increased its own term yet.
	MessagePreVote MessageKind = 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply MessageKind = 2
	// MessageVote requests a vote in Term.
	MessageVote MessageKind = 3
	// MessageVoteReply answers MessageVote.
	MessageVoteReply MessageKind = 4
	// MessageAppend carries the entries after the entry at Index with term
	// LogTerm.
	MessageAppend MessageKind = 5
	// MessageAppendReply reports that the log is durable up to Index. It also
	// acknowledges a complete snapshot. With Reject set, the log has no entry at
	// Index with the requested term.
	MessageAppendReply MessageKind = 6
	// MessageHeartbeat renews the leader lease and carries the commit index.
	MessageHeartbeat MessageKind = 7
	// MessageHeartbeatReply answers MessageHeartbeat, and with Reject set any
	// append, heartbeat or snapshot message from an older term.
	MessageHeartbeatReply MessageKind = 8
	// MessageInstallSnapshot carries one chunk of a snapshot.
	MessageInstallSnapshot MessageKind = 9
	// MessageInstallSnapshotReply requests the next chunk of an incomplete
	// snapshot, starting at Offset.
	MessageInstallSnapshotReply MessageKind = 10
	// MessageTimeoutNow tells the receiver to start an election at once. The
	// leader sends it to transfer its leadership.
	MessageTimeoutNow MessageKind = 11
)

// Message is a message between replicas. Kind determines which fields are used.
type Message struct {
	Kind MessageKind
	From uint64
	To   uint64
	Term uint64
	// Address is the address of the sender, if the sender is a member. A replica
	// that is not yet a member needs the leader's address for its first reply.
	Address netip.AddrPort
	// Index and LogTerm identify the entry before Entries, the last entry of a
	// candidate, or the entry to which a reply refers.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	// Commit is the commit index of the leader. In heartbeats it is at most the
	// match index of the receiver.
	Commit uint64
	Reject bool
	// Hint and HintTerm are the index and term of the last entry at which the
	// log of a rejecting replica may match the leader's log.
	Hint     uint64
	HintTerm uint64
	// SentAt is the leader's clock when it sent the message. Replies return it.
	SentAt time.Duration
	// ReadRound is the newest round of read confirmation. Replies return it.
	ReadRound uint64
	// Transfer marks a vote request of an election started by a leadership
	// transfer. Such a vote may be granted although the leader is still active.
	Transfer bool
	// WriteFailed is set when the sender's last write failed.
	WriteFailed bool
	// MembersIndex is the index of the entry that holds the candidate's latest
	// membership.
	MembersIndex uint64
	// Snapshot holds the metadata of a snapshot and the chunk of its data that
	// starts at Offset. Total is the size of the whole data in bytes.
	Snapshot Snapshot
	Offset   uint64
	Total    uint64
}

// fromLeader reports whether only the leader of Term sends messages of this
// kind.
func (m *Message) fromLeader() bool {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageInstallSnapshot, MessageTimeoutNow:
		return true
	default:
		return false
	}
}
