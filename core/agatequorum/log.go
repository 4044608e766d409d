package agatequorum

// entryOverhead is the estimated encoded size, in bytes, of an entry without its
// data.
const entryOverhead = 32

// EntryBytes returns the size at which entries count against Config.LogBytes.
func EntryBytes(entries ...Entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.Data) + entryOverhead
	}
	return n
}

// log is the part of the replicated log that is held in memory. The entry at
// index i is entries[i-base-1].
type log struct {
	// base and baseTerm are the index and term of the entry before entries[0].
	base     uint64
	baseTerm uint64
	entries  []Entry
	// durableIndex is the last index known to be durable.
	durableIndex uint64
	// submittedIndex is the last index included in a write, durable or not.
	submittedIndex uint64
	// bytes is the size of entries.
	bytes int
}

func (l *log) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, and false if the log does not
// cover that index.
func (l *log) term(index uint64) (uint64, bool) {
	if index < l.base || index > l.last() {
		return 0, false
	}
	if index == l.base {
		return l.baseTerm, true
	}
	return l.entries[index-l.base-1].Term, true
}

// holds reports whether the log has an entry with this index and term.
func (l *log) holds(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// from returns the entries from index on, up to limit bytes but at least one
// entry. A limit of zero means no limit. The result shares memory with the log
// and must not be modified.
func (l *log) from(index uint64, limit int) []Entry {
	if index > l.last() {
		return nil
	}
	rest := l.entries[index-l.base-1:]
	rest = rest[:len(rest):len(rest)]
	if limit == 0 {
		return rest
	}
	size := 0
	for i, e := range rest {
		size += EntryBytes(e)
		if i > 0 && size > limit {
			return rest[:i:i]
		}
	}
	return rest
}

// between returns the entries from index from to index to, inclusive.
func (l *log) between(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.base-1 : to-l.base : to-l.base]
}

func (l *log) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	l.bytes += EntryBytes(entries...)
}

// bytesAfter returns the size of the entries after index, which must not be below
// the base.
func (l *log) bytesAfter(index uint64) int { return EntryBytes(l.entries[index-l.base:]...) }

// retained returns the index up to which the log can be compacted after a snapshot
// at index. At most the given number of entries stay before it, and no more than it
// takes to reach size bytes. These include the entries since the previous snapshot, so
// that a replica that has just received that one continues from the log.
func (l *log) retained(index uint64, entries, size int) uint64 {
	for kept := 0; index > l.base && kept < entries && size > 0; kept++ {
		size -= EntryBytes(l.entries[index-l.base-1])
		index--
	}
	return index
}

// truncate removes the entries from index on. It also reduces the capacity, so
// that a later append does not overwrite slices returned earlier.
func (l *log) truncate(index uint64) {
	n := index - l.base - 1
	l.bytes -= EntryBytes(l.entries[n:]...)
	l.entries = l.entries[:n:n]
	l.durableIndex = min(l.durableIndex, index-1)
	l.submittedIndex = min(l.submittedIndex, index-1)
}

// compact removes the entries up to and including index.
func (l *log) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	kept := l.entries[index-l.base:]
	l.bytes = EntryBytes(kept...)
	// The copy has spare capacity for 64 entries.
	l.entries = append(make([]Entry, 0, len(kept)+64), kept...)
	l.base = index
	l.baseTerm = term
}

// reset replaces the log by the index and term of a snapshot that is not yet
// durable.
func (l *log) reset(index, term uint64) {
	*l = log{base: index, baseTerm: term, submittedIndex: index}
}

// conflictHint returns the index and term of the last entry at or before index
// whose term is at most term. The follower that rejects an append calls it with
// the position of the leader, the leader with the hint of the follower. Entries
// after the result have a higher term than the other log has at index, so they
// cannot match it.
func (l *log) conflictHint(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.base {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	if index < l.base {
		// The entry is compacted; its term is not known.
		return index, 0
	}
	return l.base, l.baseTerm
}
