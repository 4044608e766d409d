package agatequorum

import "net/netip"

// Kind is the type of an Entry and determines the format of its data.
type Kind uint8

// Kinds of entries. The values are stored on disk and never change.
const (
	// KindCommand carries a command of the state machine.
	KindCommand Kind = 1
	// KindMembers carries an encoded membership. It takes effect as soon as the
	// entry is appended to the log.
	KindMembers Kind = 2
	// KindNoop carries no data. A new leader appends one at the start of its
	// term.
	KindNoop Kind = 3
)

// Entry is a log entry. The first entry has index 1.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  Kind
	Data  []byte
}

// HardState is the state of a replica that is stored with the log. Term and Vote
// must be durable before messages that depend on them are sent. Vote is the
// candidate voted for in Term, or zero. Commit may be lower than the commit index.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Member is one replica of the group. A learner receives the log, does not vote
// and does not count towards a majority.
type Member struct {
	ID      uint64
	Address netip.AddrPort
	Learner bool
}

// Members is the membership of the group, sorted by ID.
type Members []Member

// Snapshot is the state of the state machine after applying the entry at Index,
// with the term of that entry and the membership at that index. The zero value
// is the empty state before the first entry.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// PersistentState is the durable state from which a replica starts. The zero
// value is the state of a replica that has never run.
type PersistentState struct {
	// Fresh is set if no state has ever been stored in the data directory. Unless
	// Config.Bootstrap contains the replica as a voter, it then has no vote until
	// the group promotes it.
	Fresh     bool
	HardState HardState
	Snapshot  Snapshot
	// Entries are contiguous and sorted by index. Entries at or below
	// Snapshot.Index are ignored.
	Entries []Entry
}
