package agatequorum

import (
	"net/netip"
	"time"
)

// MessageKind discriminates a Message.
type MessageKind uint8

// Kinds of messages. The values are sent on the wire and never change.
const (
	// MessagePreVote asks whether a vote would be given in Term, which the
	// sender has not yet entered.
	MessagePreVote MessageKind = 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply MessageKind = 2
	// MessageVote asks for the vote in Term.
	MessageVote MessageKind = 3
	// MessageVoteReply answers MessageVote.
	MessageVoteReply MessageKind = 4
	// MessageAppend carries entries that follow (Index, LogTerm).
	MessageAppend MessageKind = 5
	// MessageAppendReply says that the log is durable up to Index, or with
	// Reject that the position (Index, LogTerm) is not in the log.
	MessageAppendReply MessageKind = 6
	// MessageHeartbeat renews the lease and carries the commit index.
	MessageHeartbeat MessageKind = 7
	// MessageHeartbeatReply answers MessageHeartbeat.
	MessageHeartbeatReply MessageKind = 8
	// MessageInstall carries one chunk of a snapshot.
	MessageInstall MessageKind = 9
	// MessageInstallReply names the next chunk that the replica needs.
	MessageInstallReply MessageKind = 10
	// MessageElect tells the receiver to start an election at once, because
	// the leader hands over.
	MessageElect MessageKind = 11
)

// Message is one message between replicas. Kind says which fields are used.
type Message struct {
	Kind MessageKind
	From uint64
	To   uint64
	Term uint64
	// Address is where the sender is reached, as far as it knows. A replica
	// that is not a member yet needs it for its first reply.
	Address netip.AddrPort
	// Index and LogTerm are the position before Entries, the last position
	// of a candidate, or the position that a reply speaks of.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Hint and HintTerm are the position up to which the log of a rejecting
	// replica may agree with the leader's.
	Hint     uint64
	HintTerm uint64
	// Time is the leader's clock when it sent the message; replies return it.
	Time time.Duration
	// Round is the newest read that waits for confirmation; replies return it.
	Round uint64
	// Transfer marks a vote request of an election that the leader ordered.
	// Such a vote is given although the leader was heard.
	Transfer bool
	// Full says that the sender's last write failed.
	Full bool
	// Members is the index of the membership that a candidate uses.
	Members uint64
	// Snapshot holds the position and membership of a snapshot and the chunk
	// of its data at Offset. Total is the size of all data.
	Snapshot Snapshot
	Offset   uint64
	Total    uint64
}

// fromLeader reports whether only the leader of Term sends such a message.
func (m *Message) fromLeader() bool {
	switch m.Kind {
	case MessageAppend, MessageHeartbeat, MessageInstall, MessageElect:
		return true
	default:
		return false
	}
}
