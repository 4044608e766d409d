package agatecontrol

import (
	"sync"
	"time"

	"agategate/core/agateboard"
)

const (
	// loadInterval is the minimum interval between two loads of an upstream that are
	// passed on.
	loadInterval = time.Second
	// maxLoadRows bounds the loads in one message. If more upstreams have queues, the
	// whole service is overloaded, and to know some of them is enough.
	maxLoadRows = 64
)

// upstreamLoads keeps what upstreams with a queue told the entry hosts about their load,
// in memory only. It is safe for concurrent use.
type upstreamLoads struct {
	mu    sync.Mutex
	board agateboard.Board[int]
}

// merge adds the loads that a host was told.
func (l *upstreamLoads) merge(now time.Time, reports []agateboard.Report[int]) {
	if len(reports) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.board.MinInterval = loadInterval
	l.board.Merge(now, reports)
}

// since returns the newest loads that were merged after a cursor, at most maxLoadRows,
// and the next cursor.
func (l *upstreamLoads) since(now time.Time, cursor uint64) ([]agateboard.Report[int], uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reports, cursor := l.board.Since(now, cursor)
	return reports[max(0, len(reports)-maxLoadRows):], cursor
}
