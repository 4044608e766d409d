package agatequorum

// entryOverhead is counted for each entry besides its data, in bytes.
const entryOverhead = 32

// log is the part of the log that is held in memory. The entry at Index i is
// entries[i-base-1].
type log struct {
	// base and baseTerm are the position before the first entry.
	base     uint64
	baseTerm uint64
	entries  []Entry
	// stable is the last index known to be durable.
	stable uint64
	// written is the last index handed to a write.
	written uint64
}

func (l *log) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, and false when the log does
// not hold that position.
func (l *log) term(index uint64) (uint64, bool) {
	if index < l.base || index > l.last() {
		return 0, false
	}
	if index == l.base {
		return l.baseTerm, true
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *log) holds(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// from returns the entries from index on whose data fits limit bytes, but at
// least one. A limit of zero means no limit. The result shares memory with
// the log and must not be changed.
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
		size += len(e.Data) + entryOverhead
		if i > 0 && size > limit {
			return rest[:i:i]
		}
	}
	return rest
}

func (l *log) between(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.base-1 : to-l.base : to-l.base]
}

func (l *log) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate drops the entries from index on. The capacity is cut as well:
// slices handed out earlier must not change under a later append.
func (l *log) truncate(index uint64) {
	n := index - l.base - 1
	l.entries = l.entries[:n:n]
	l.stable = min(l.stable, index-1)
	l.written = min(l.written, index-1)
}

// compact drops the entries up to index.
func (l *log) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	kept := l.entries[index-l.base:]
	l.entries = append(make([]Entry, 0, len(kept)+64), kept...)
	l.base = index
	l.baseTerm = term
}

// reset replaces the log by the position of a snapshot that is not durable.
func (l *log) reset(index, term uint64) {
	*l = log{base: index, baseTerm: term, written: index}
}

// conflictHint returns the last position at or before index whose term is at
// most term. No position after it can agree with a log in which index has
// that term.
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
		return index, 0
	}
	return l.base, l.baseTerm
}
