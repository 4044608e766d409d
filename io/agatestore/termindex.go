package agatestore

import (
	"fmt"

	"agategate/core/agatequorum"
)

// termRun is a sequence of entries with the same term. It ends where the next
// run begins.
type termRun struct{ first, term uint64 }

// termIndex holds the term of each log index above the snapshot, without the
// entries themselves.
type termIndex struct {
	first uint64 // first index after the snapshot
	last  uint64 // last index, first-1 if the log is empty
	runs  []termRun
}

// append adds entries, which may replace a suffix of the log.
func (t *termIndex) append(entries []agatequorum.Entry) {
	for _, e := range entries {
		for n := len(t.runs); n > 0 && t.runs[n-1].first >= e.Index; n-- {
			t.runs = t.runs[:n-1]
		}
		if n := len(t.runs); n == 0 || t.runs[n-1].term != e.Term {
			t.runs = append(t.runs, termRun{e.Index, e.Term})
		}
		t.last = e.Index
	}
}

// term returns the term of the entry at an index and whether the log contains
// the entry.
func (t *termIndex) term(index uint64) (uint64, bool) {
	if index < t.first || index > t.last {
		return 0, false
	}
	found := uint64(0)
	for _, run := range t.runs {
		if run.first > index {
			break
		}
		found = run.term
	}
	return found, true
}

// compact discards the log up to and including a snapshot's index, or the
// whole log if it does not contain the snapshot's last entry with its term.
func (t *termIndex) compact(index, term uint64) {
	if held, ok := t.term(index); !ok || held != term {
		*t = termIndex{first: index + 1, last: index}
		return
	}
	t.first = index + 1
	for len(t.runs) > 1 && t.runs[1].first <= t.first {
		t.runs = t.runs[1:]
	}
}

// trimAndCheck removes the entries that the snapshot covers and checks that
// the others are contiguous and leave no gap after the log.
func (t *termIndex) trimAndCheck(entries []agatequorum.Entry) ([]agatequorum.Entry, error) {
	for len(entries) > 0 && entries[0].Index < t.first {
		entries = entries[1:]
	}
	for i, e := range entries {
		if i == 0 && e.Index > t.last+1 || i > 0 && e.Index != entries[i-1].Index+1 {
			return nil, fmt.Errorf("agatestore: entry %d does not follow entry %d", e.Index, min(t.last, entries[max(i, 1)-1].Index))
		}
	}
	return entries, nil
}
