package agateupstream

import (
	"net/netip"
	"sync"
	"time"
)

// failureWindow is the maximum time between two broken connections to one upstream
// for its process to be considered dead.
const failureWindow = 50 * time.Millisecond

// redialTimeout limits the check whether an upstream still accepts connections.
// The check delays the result of the call whose connection broke.
const redialTimeout = 100 * time.Millisecond

// upstreamConns holds the connections to one upstream. It is safe for concurrent use.
type upstreamConns struct {
	mu       sync.Mutex
	maxConns int // limit on open
	// open is the number of connections in use, idle, and being opened.
	open int
	// idle is ordered by when the connections became idle, oldest first.
	idle []*conn
	// lastFailure is when a connection last broke during a request. nextFailure is
	// closed when the next one breaks.
	lastFailure time.Time
	nextFailure chan struct{}
}

func newUpstream(maxConns int) *upstreamConns {
	return &upstreamConns{maxConns: maxConns, nextFailure: make(chan struct{})}
}

func (u *upstreamConns) usage() (open, idle int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open, len(u.idle)
}

func (u *upstreamConns) setMaxConns(maxConns int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxConns = max(maxConns, 0)
	for u.open > u.maxConns && len(u.idle) > 0 {
		u.closeIdleConn(0)
	}
}

// acquire returns the most recently used idle connection to addr that was active
// at or after activeSince and has not refused a request with the same id. If there
// is none, it reserves a slot for a new connection, closing an idle one if necessary, and
// returns nil. ok is false if as many connections as allowed are in use.
func (u *upstreamConns) acquire(addr netip.AddrPort, activeSince time.Time, id string) (c *conn, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(u.idle) - 1; i >= 0; i-- {
		c := u.idle[i]
		if c.addr != addr || !c.usable() {
			u.closeIdleConn(i)
			continue
		}
		if c.expired() {
			u.closeIdleConn(i)
			continue
		}
		if c.lastActivity.Before(activeSince) || (id != "" && c.refused.contains(id)) {
			continue
		}
		u.remove(i)
		return c, true
	}
	if u.open >= u.maxConns && len(u.idle) > 0 {
		u.closeIdleConn(0)
	}
	if u.open >= u.maxConns {
		return nil, false
	}
	u.open++
	return nil, true
}

// add adds a new connection to the idle list. It reports false if the limit is
// reached.
func (u *upstreamConns) add(c *conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open >= u.maxConns {
		return false
	}
	u.open++
	u.idle = append(u.idle, c)
	return true
}

// release returns a connection to the idle list, or closes it if it is not
// reusable or above the limit.
func (u *upstreamConns) release(c *conn, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !reusable || u.open > u.maxConns {
		u.open--
		c.close()
		return
	}
	u.idle = append(u.idle, c)
}

// releaseSlot releases the slot of a connection that could not be opened.
func (u *upstreamConns) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open--
}

// closeIdle closes idle connections without activity since cutoff. The opening of
// a connection counts as activity.
func (u *upstreamConns) closeIdle(cutoff time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(u.idle) - 1; i >= 0; i-- {
		if u.idle[i].lastActivity.Before(cutoff) {
			u.closeIdleConn(i)
		}
	}
}

// closeIdleConn closes the idle connection with index i.
func (u *upstreamConns) closeIdleConn(i int) {
	u.idle[i].close()
	u.remove(i)
	u.open--
}

func (u *upstreamConns) remove(i int) {
	u.idle = append(u.idle[:i], u.idle[i+1:]...)
}

// connFailure describes a connection that broke during a request.
type connFailure struct {
	// repeated is set if another connection broke within failureWindow before.
	repeated bool
	// othersInUse is set if other connections are in use.
	othersInUse bool
	// nextFailure is closed when the next connection breaks.
	nextFailure <-chan struct{}
}

// recordFailure records that a connection broke during a request.
func (u *upstreamConns) recordFailure(now time.Time) connFailure {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := connFailure{
		repeated:    !u.lastFailure.IsZero() && now.Sub(u.lastFailure) <= failureWindow,
		othersInUse: u.open-len(u.idle) > 1,
	}
	u.lastFailure = now
	close(u.nextFailure)
	u.nextFailure = make(chan struct{})
	b.nextFailure = u.nextFailure
	return b
}
