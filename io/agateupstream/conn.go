package agateupstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"agategate/internal/agateanswer"
)

const readBufferBytes = 4 << 10

var errHeaderSize = errors.New("agateupstream: response header too large")

// conn is one connection. It has one owner at a time: a call or the idle list of
// its upstream.
type conn struct {
	tcp  *net.TCPConn
	addr netip.AddrPort
	buf  *bufio.Reader
	// rtt is the time taken to open the connection, which is one round trip.
	rtt time.Duration
	// lastActivity is when the connection was opened or last received bytes.
	lastActivity time.Time
	// deadline is the deadline of all reads; readIdleTimeout, if positive,
	// limits each single read.
	deadline        time.Time
	readIdleTimeout time.Duration
	// keepAlive is the peer's Keep-Alive timeout, or 0.
	keepAlive time.Duration
	// bytesLeft is the number of bytes that may still be read.
	bytesLeft int64
	// head checks the head of the response that is being read. chargeHead, if not nil, is
	// called when more of it has arrived. headErr is the error of either.
	head       agateanswer.Head
	chargeHead func() error
	headErr    error
	// echoesID is set once a response had the id of its request.
	echoesID bool
	// refused holds the requests that were refused last. A request with the same id as
	// one of them is sent on another connection, because a second copy of the earlier
	// refusal could not be told from its own.
	refused recentIDs
	// peerClosed is set once the peer, not this process, ended the connection.
	peerClosed bool

	mu sync.Mutex // guards closed and unanswered
	// closed is set once this process has closed the connection.
	closed bool
	// unanswered is set while a request is on the connection whose response has not been
	// read completely.
	unanswered bool
}

func dial(ctx context.Context, d *net.Dialer, addr netip.AddrPort) (*conn, error) {
	start := time.Now()
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &conn{tcp: nc.(*net.TCPConn), addr: addr, lastActivity: now, rtt: now.Sub(start)}
	c.buf = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// Read reads from the socket within the time and size limits of the current
// exchange, and checks the head of the response while it arrives.
func (c *conn) Read(b []byte) (int, error) {
	if c.headErr != nil {
		return 0, c.headErr // parsers may read again after an error
	}
	if c.bytesLeft <= 0 {
		return 0, errHeaderSize
	}
	if int64(len(b)) > c.bytesLeft {
		b = b[:c.bytesLeft]
	}
	if err := c.tcp.SetReadDeadline(c.readDeadline(time.Now())); err != nil {
		return 0, err
	}
	n, err := c.tcp.Read(b)
	if n > 0 {
		c.lastActivity = time.Now()
		c.bytesLeft -= int64(n)
	}
	if err != nil && !isTimeout(err) && !c.isClosed() {
		c.peerClosed = true
	}
	if n, c.headErr = c.checkHead(b[:n]); c.headErr != nil {
		return n, c.headErr
	}
	return n, err
}

// checkHead checks and charges for what has arrived of the head of a response.
func (c *conn) checkHead(b []byte) (int, error) {
	n, err := c.head.Check(b)
	if err == nil && c.chargeHead != nil {
		err = c.chargeHead()
	}
	return n, err
}

// readDeadline returns the deadline of the next read.
func (c *conn) readDeadline(now time.Time) time.Time {
	if c.readIdleTimeout <= 0 {
		return c.deadline
	}
	if idleEnd := now.Add(c.readIdleTimeout); idleEnd.Before(c.deadline) {
		return idleEnd
	}
	return c.deadline
}

// usable reports whether an idle connection is open and has no unread bytes.
// Bytes that the peer sent without a request must not reach the next caller.
func (c *conn) usable() bool {
	return socketUsable(c.tcp)
}

// keepAliveMargin is subtracted from the peer's Keep-Alive timeout, so that no
// request is sent while the peer closes the connection.
const keepAliveMargin = time.Second

// expired reports whether the peer may close the idle connection within
// keepAliveMargin.
func (c *conn) expired() bool {
	return c.keepAlive > 0 && time.Since(c.lastActivity) > max(0, c.keepAlive-keepAliveMargin)
}

// beginRequest is called before the first byte of a request is written. It reports false
// if the connection was closed meanwhile.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = !c.closed
	return c.unanswered
}

// endRequest is called when the response to the request has been read completely.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = false
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// close closes the connection. If a request on it is unanswered, it resets the
// connection, so that the system drops the bytes that it has not delivered: after an
// ordinary close it would go on sending them, and an upstream behind a slow or broken
// link would run the request long after it was given up. Calls after the first have no
// effect.
func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if c.unanswered {
		_ = c.tcp.SetLinger(0) // without it, the close is an ordinary one
	}
	_ = c.tcp.Close() // nothing depends on its result
}

// isTimeout reports whether err is a timeout. That includes ETIMEDOUT, which the
// kernel reports when TCP keep-alive or TCP_USER_TIMEOUT expires.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
