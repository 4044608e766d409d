package agateupstream

import (
	"net/netip"
	"sync"
	"time"
)

// breakWindow is how close together connections to one upstream must break
// for its process to be taken for dead.
const breakWindow = 50 * time.Millisecond

// redialTimeout bounds the check whether an upstream still accepts
// connections. It delays the reply about a broken connection.
const redialTimeout = 100 * time.Millisecond

// upstream holds the connections to one upstream.
type upstream struct {
	mu    sync.Mutex
	share int
	// open counts connections in use, idle, and being opened.
	open int
	// idle is ordered by when the connections became idle.
	idle []*conn
	// broken is when a connection last broke in mid-request. next is closed
	// when the next one breaks.
	broken time.Time
	next   chan struct{}
}

func newUpstream(share int) *upstream {
	return &upstream{share: share, next: make(chan struct{})}
}

func (u *upstream) usage() (open, idle int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open, len(u.idle)
}

func (u *upstream) setShare(share int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.share = max(share, 0)
	for u.open > u.share && len(u.idle) > 0 {
		u.drop(0)
	}
}

// acquire takes the most recently used idle connection to addr that showed
// life at or after oldest. If there is none, it takes a slot for a new
// connection, if need be by closing an idle one, and returns nil. It is not
// ok if the share is in use.
func (u *upstream) acquire(addr netip.AddrPort, oldest time.Time) (c *conn, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(u.idle) - 1; i >= 0; i-- {
		c := u.idle[i]
		if c.addr != addr || !c.quiet() {
			u.drop(i)
			continue
		}
		if c.expired() {
			u.drop(i)
			continue
		}
		if c.life.Before(oldest) {
			continue
		}
		u.remove(i)
		return c, true
	}
	if u.open >= u.share && len(u.idle) > 0 {
		u.drop(0)
	}
	if u.open >= u.share {
		return nil, false
	}
	u.open++
	return nil, true
}

// release gives a connection back, or closes it if it cannot be reused.
func (u *upstream) release(c *conn, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !reusable || u.open > u.share {
		u.open--
		c.close()
		return
	}
	u.idle = append(u.idle, c)
}

// releaseSlot gives back the slot of a connection that does not exist.
func (u *upstream) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open--
}

// closeIdle closes idle connections that have shown no life since a time.
// Being opened counts as life.
func (u *upstream) closeIdle(since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(u.idle) - 1; i >= 0; i-- {
		if u.idle[i].life.Before(since) {
			u.drop(i)
		}
	}
}

// drop closes the idle connection i.
func (u *upstream) drop(i int) {
	u.idle[i].close()
	u.remove(i)
	u.open--
}

func (u *upstream) remove(i int) {
	u.idle = append(u.idle[:i], u.idle[i+1:]...)
}

// breakage describes a connection that broke in mid-request.
type breakage struct {
	// again is set if another one broke within the window before it.
	again bool
	// others is set if other connections are in use.
	others bool
	// next is closed when the next one breaks.
	next <-chan struct{}
}

func (u *upstream) recordBreak(now time.Time) breakage {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := breakage{
		again:  !u.broken.IsZero() && now.Sub(u.broken) <= breakWindow,
		others: u.open-len(u.idle) > 1,
	}
	u.broken = now
	close(u.next)
	u.next = make(chan struct{})
	b.next = u.next
	return b
}
