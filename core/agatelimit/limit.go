// Package agatelimit holds the limits that upstreams name for all entry hosts
// together. Each host learns of a limit from the responses that it gets itself, and
// through the control group from those of other hosts. A Board keeps the newest
// statement of each upstream, at a host its own and at a control replica those of all
// hosts.
//
// # Usage
//
//	var b agatelimit.Board
//	b.Merge(now, reports)                 // from a host or a replica
//	reports, cursor := b.Since(now, cursor) // for another one
package agatelimit

import (
	"cmp"
	"slices"
	"time"
)

// Limit is the request rate that an upstream takes from all hosts together, as it
// names it in its responses. The zero value is no limit.
type Limit struct {
	Named bool
	Rate  float64 // requests per second, at least 0
}

// Report is a statement of an upstream on its limit.
type Report struct {
	Upstream string
	// StartedAtMs is the start of the upstream's process in Unix milliseconds. A
	// statement says nothing about a later process.
	StartedAtMs int64
	Limit       Limit
	// Age is the time since the statement, which clocks of different hosts can agree
	// on.
	Age time.Duration
}

// retention is how long a statement is kept that is not repeated. Hosts keep a limit
// that was named themselves.
const retention = time.Minute

// Board keeps the newest statement of each upstream. The zero value is ready to use.
// It is not safe for concurrent use.
type Board struct {
	rows   map[string]row
	cursor uint64
}

type row struct {
	startedAtMs int64
	limit       Limit
	at          time.Time
	cursor      uint64
}

// Merge adds reports that are newer than what the board has. It reports whether a
// limit changed, and not only the time of a statement.
func (b *Board) Merge(now time.Time, reports []Report) (changed bool) {
	if b.rows == nil {
		b.rows = map[string]row{}
	}
	for i := range reports {
		r := &reports[i]
		old, known := b.rows[r.Upstream]
		at := now.Add(-max(0, r.Age))
		if known && (r.StartedAtMs < old.startedAtMs || r.StartedAtMs == old.startedAtMs && !at.After(old.at)) {
			continue
		}
		b.cursor++
		b.rows[r.Upstream] = row{startedAtMs: r.StartedAtMs, limit: r.Limit, at: at, cursor: b.cursor}
		changed = changed || !known || old.limit != r.Limit
	}
	b.prune(now)
	return changed
}

func (b *Board) prune(now time.Time) {
	for id, r := range b.rows {
		if now.Sub(r.at) > retention {
			delete(b.rows, id)
		}
	}
}

// Since returns the statements that were merged after a cursor, in that order, and
// the cursor for the next call. The first call has cursor 0.
func (b *Board) Since(now time.Time, cursor uint64) ([]Report, uint64) {
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
	var out []Report
	for _, id := range ids {
		r := b.rows[id]
		out = append(out, Report{Upstream: id, StartedAtMs: r.startedAtMs, Limit: r.limit, Age: now.Sub(r.at)})
	}
	return out, b.cursor
}
