package agateupstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// readBuffer is the size of each connection's read buffer in bytes.
const readBuffer = 4 << 10

var errHeaderSize = errors.New("agateupstream: header of the answer is too large")

// conn is one connection. It has one owner at a time: a call, or the idle
// list of its upstream.
type conn struct {
	tcp  *net.TCPConn
	addr netip.AddrPort
	buf  *bufio.Reader
	// travel is the time that it took to open the connection, which is one
	// round trip.
	travel time.Duration
	// life is when the peer last showed life: when the connection was opened,
	// or when bytes last came.
	life time.Time
	// until bounds the wait for bytes; probe bounds silence, if positive.
	until time.Time
	probe time.Duration
	// keep is how long the peer said that it keeps an idle connection, or 0.
	keep time.Duration
	// budget is the number of bytes that may still be read.
	budget int64
	// ended is set once the peer, not this process, ended the connection.
	ended bool
	// closed is set once this process has closed the connection.
	closed atomic.Bool
}

func dial(ctx context.Context, d *net.Dialer, addr netip.AddrPort) (*conn, error) {
	begin := time.Now()
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &conn{tcp: nc.(*net.TCPConn), addr: addr, life: now, travel: now.Sub(begin)}
	c.buf = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// Read reads from the socket within the limits of the current exchange.
func (c *conn) Read(b []byte) (int, error) {
	if c.budget <= 0 {
		return 0, errHeaderSize
	}
	if int64(len(b)) > c.budget {
		b = b[:c.budget]
	}
	if err := c.tcp.SetReadDeadline(c.patience(time.Now())); err != nil {
		return 0, err
	}
	n, err := c.tcp.Read(b)
	if n > 0 {
		c.life = time.Now()
		c.budget -= int64(n)
	}
	if err != nil && !isTimeout(err) && !c.closed.Load() {
		c.ended = true
	}
	return n, err
}

// patience returns when the wait for the next byte ends.
func (c *conn) patience(now time.Time) time.Time {
	if c.probe <= 0 {
		return c.until
	}
	if silent := now.Add(c.probe); silent.Before(c.until) {
		return silent
	}
	return c.until
}

// quiet reports whether an idle connection is open and the peer has sent
// nothing on it since its last answer. Bytes without a request must not reach the next caller.
func (c *conn) quiet() bool {
	return socketQuiet(c.tcp)
}

// keepMargin is how long before its stated end an idle connection is not used
// any more, so that a request does not cross the peer's close.
const keepMargin = time.Second

// expired reports whether the peer may be about to close an idle connection.
func (c *conn) expired() bool {
	return c.keep > 0 && time.Since(c.life) > max(0, c.keep-keepMargin)
}

func (c *conn) close() {
	c.closed.Store(true)
	_ = c.tcp.Close() // nothing depends on a clean end
}

// isTimeout also recognises ETIMEDOUT, which the kernel reports when
// keep-alive or TCP_USER_TIMEOUT gave up on the peer.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
