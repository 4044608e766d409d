package agatestore

import (
	"fmt"

	"agategate/core/agatequorum"
)

// term is a run of entries with equal terms; it ends where the next begins.
type term struct{ first, term uint64 }

// journal is what the log contains, without the entries: the term of each
// index above the snapshot.
type journal struct {
	first uint64 // first index that the log may hold
	last  uint64 // last index, first-1 if the log is empty
	terms []term
}

// append notes entries, which may replace a suffix.
func (j *journal) append(es []agatequorum.Entry) {
	for _, e := range es {
		for n := len(j.terms); n > 0 && j.terms[n-1].first >= e.Index; n-- {
			j.terms = j.terms[:n-1]
		}
		if n := len(j.terms); n == 0 || j.terms[n-1].term != e.Term {
			j.terms = append(j.terms, term{e.Index, e.Term})
		}
		j.last = e.Index
	}
}

// term returns the term of the entry at an index, if the log holds it.
func (j *journal) term(index uint64) (uint64, bool) {
	if index < j.first || index > j.last {
		return 0, false
	}
	t := uint64(0)
	for _, run := range j.terms {
		if run.first > index {
			break
		}
		t = run.term
	}
	return t, true
}

// compact drops the log up to a snapshot, or all of it if it does not lead
// on from the snapshot.
func (j *journal) compact(index, term uint64) {
	if t, ok := j.term(index); !ok || t != term {
		*j = journal{first: index + 1, last: index}
		return
	}
	j.first = index + 1
	for len(j.terms) > 1 && j.terms[1].first <= j.first {
		j.terms = j.terms[1:]
	}
}

// fit cuts off the entries that the snapshot covers and checks that the
// others are contiguous and lead on from the log.
func (j *journal) fit(es []agatequorum.Entry) ([]agatequorum.Entry, error) {
	for len(es) > 0 && es[0].Index < j.first {
		es = es[1:]
	}
	for i, e := range es {
		if i == 0 && e.Index > j.last+1 || i > 0 && e.Index != es[i-1].Index+1 {
			return nil, fmt.Errorf("agatestore: entry %d does not follow entry %d", e.Index, min(j.last, es[max(i, 1)-1].Index))
		}
	}
	return es, nil
}
