package agatecontrol

import (
	"sync"
	"time"

	"agategate/core/agatelimit"
)

// upstreamLimits keeps what upstreams told the entry hosts about their limits, in memory
// only: after a restart, the hosts tell it again. It is safe for concurrent use.
type upstreamLimits struct {
	mu    sync.Mutex
	board agatelimit.Board
}

// merge adds the statements of a host. It reports whether a limit changed.
func (l *upstreamLimits) merge(now time.Time, reports []agatelimit.Report) (changed bool) {
	if len(reports) == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.board.Merge(now, reports)
}

func (l *upstreamLimits) since(now time.Time, cursor uint64) ([]agatelimit.Report, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.board.Since(now, cursor)
}
