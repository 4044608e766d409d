package agatequorum

import "net/netip"

// Kind says what the data of an Entry means.
type Kind uint8

// Kinds of entries. The values are stored on disk and never change.
const (
	// KindCommand carries a command of the state machine.
	KindCommand Kind = 1
	// KindMembers carries the membership in force from this entry on.
	KindMembers Kind = 2
	// KindNoop carries no data. A leader appends one when its term begins.
	KindNoop Kind = 3
)

// Entry is one position of the log. Index starts at 1.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  Kind
	Data  []byte
}

// Hard is the state of a replica that must be durable before the messages
// that depend on it are sent. Vote is zero when no vote was given in Term.
type Hard struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Member is one replica of the group. A learner receives the log but neither
// votes nor counts for a majority.
type Member struct {
	ID      uint64
	Address netip.AddrPort
	Learner bool
}

// Members is the membership of the group, ordered by ID.
type Members []Member

// Snapshot is the state of the state machine after the entry at Index, with
// the term of that entry and the membership in force there. The zero value
// stands for the empty state before the first entry.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// Saved is the durable state with which a replica starts. The zero value is
// that of a replica that has never run.
type Saved struct {
	// Fresh says that the data directory was empty: the replica has no vote
	// until the group promotes it.
	Fresh    bool
	Hard     Hard
	Snapshot Snapshot
	// Entries are contiguous and ordered. Those at or below Snapshot.Index
	// are ignored.
	Entries []Entry
}
