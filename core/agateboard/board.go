// Package agateboard holds statements about upstreams that entry hosts exchange through
// the control group. A Board keeps the newest statement on each upstream, at a host its
// own and at a control replica those of all hosts.
//
// # Usage
//
//	var b agateboard.Board[int]
//	b.Merge(now, reports)                   // from a host or a replica
//	reports, cursor := b.Since(now, cursor) // for another one
package agateboard

import (
	"cmp"
	"slices"
	"time"
)

// Report is a statement on an upstream.
type Report[T comparable] struct {
	Upstream string
	// StartedAtMs is the start of the upstream's process in Unix milliseconds. A
	// statement says nothing about a later process.
	StartedAtMs int64
	Value       T
	// Age is the time since the statement, which clocks of different hosts can agree
	// on.
	Age time.Duration
}

// retention is how long a statement is kept that is not repeated.
const retention = time.Minute

// Board keeps the newest statement of each upstream. The zero value is ready to use.
// It is not safe for concurrent use.
type Board[T comparable] struct {
	// MinInterval is the time for which a statement is kept although a newer one of the
	// same process arrives. A board of what many hosts see alike thus passes on one of
	// their statements.
	MinInterval time.Duration

	rows   map[string]row[T]
	cursor uint64
}

type row[T comparable] struct {
	startedAtMs int64
	value       T
	at          time.Time
	cursor      uint64
}

// Merge adds reports that are newer than what the board has. It reports whether a value
// changed, and not only the time of a statement.
func (b *Board[T]) Merge(now time.Time, reports []Report[T]) (changed bool) {
	if b.rows == nil {
		b.rows = map[string]row[T]{}
	}
	for i := range reports {
		r := &reports[i]
		old, known := b.rows[r.Upstream]
		at := now.Add(-max(0, r.Age))
		if known && (r.StartedAtMs < old.startedAtMs || r.StartedAtMs == old.startedAtMs && !at.After(old.at.Add(b.MinInterval))) {
			continue
		}
		b.cursor++
		b.rows[r.Upstream] = row[T]{startedAtMs: r.StartedAtMs, value: r.Value, at: at, cursor: b.cursor}
		changed = changed || !known || old.value != r.Value
	}
	b.prune(now)
	return changed
}

func (b *Board[T]) prune(now time.Time) {
	for id, r := range b.rows {
		if now.Sub(r.at) > retention {
			delete(b.rows, id)
		}
	}
}

// Since returns the statements that were merged after a cursor, in that order, and
// the cursor for the next call. The first call has cursor 0.
func (b *Board[T]) Since(now time.Time, cursor uint64) ([]Report[T], uint64) {
	if cursor >= b.cursor {
		return nil, b.cursor
	}
	var ids []string
	for id, r := range b.rows {
		if r.cursor > cursor {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y string) int { return cmp.Compare(b.rows[x].cursor, b.rows[y].cursor) })
	var out []Report[T]
	for _, id := range ids {
		r := b.rows[id]
		out = append(out, Report[T]{Upstream: id, StartedAtMs: r.startedAtMs, Value: r.value, Age: now.Sub(r.at)})
	}
	return out, b.cursor
}
