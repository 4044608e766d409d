package agatequorum

// SnapshotSchedule decides when the state machine takes a snapshot. The zero value
// takes one after every entry.
type SnapshotSchedule struct {
	// Entries is the number of entries after which a snapshot is due.
	Entries int
	// LogBytes is the size of entries after which a snapshot is due, or the size of
	// the last snapshot if that is larger; see Config.LogBytes. Writing snapshots
	// thus costs at most as many bytes as writing the log, whatever the size of the
	// state.
	LogBytes int

	entries       int // since the last snapshot
	bytes         int // of these entries
	snapshotBytes int // size of the last snapshot
}

// Applied records that an entry was applied.
func (s *SnapshotSchedule) Applied(e Entry) {
	s.entries++
	s.bytes += EntryBytes(e)
}

// Taken records that the state is the same as that of a snapshot of n bytes.
func (s *SnapshotSchedule) Taken(n int) {
	s.entries = 0
	s.bytes = 0
	s.snapshotBytes = n
}

// Due reports whether a snapshot is due.
func (s *SnapshotSchedule) Due() bool {
	if s.entries == 0 {
		return false
	}
	return s.entries >= s.Entries || s.bytes >= max(s.LogBytes, s.snapshotBytes)
}
