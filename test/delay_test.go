package test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// One-way delays of the simulated network.
const (
	intraRegionDelay = time.Millisecond
	interRegionDelay = 20 * time.Millisecond
	callerDelay      = 3 * time.Millisecond

	// maxPendingChunks bounds the chunks of up to 64 KiB in transit in each
	// direction of a connection.
	maxPendingChunks = 4096
)

// dialBetweenRegions opens a connection between agategate hosts with the delay
// between the regions from and to.
func dialBetweenRegions(ctx context.Context, from, to string, addr netip.AddrPort) (net.Conn, error) {
	if from == to {
		return dialWithDelay(ctx, addr.String(), intraRegionDelay)
	}
	return dialWithDelay(ctx, addr.String(), interRegionDelay)
}

// dialWithDelay opens a TCP connection with a one-way delay in both directions.
func dialWithDelay(ctx context.Context, addr string, delay time.Duration) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	// The TCP handshake takes one round trip.
	select {
	case <-ctx.Done():
		_ = conn.Close()
		return nil, ctx.Err()
	case <-time.After(2 * delay):
	}
	return newDelayedConn(conn, delay), nil
}

// delayedConn is a connection that delays all data in both directions.
type delayedConn struct {
	net.Conn
	delay time.Duration
	out   chan chunk
	in    *io.PipeReader
	once  sync.Once
	stop  chan struct{}
}

// chunk is data in transit that is delivered at the time due. If err is set, the
// connection ends after data.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

func newDelayedConn(conn net.Conn, delay time.Duration) *delayedConn {
	r, w := io.Pipe()
	d := &delayedConn{Conn: conn, delay: delay, out: make(chan chunk, maxPendingChunks), in: r, stop: make(chan struct{})}
	received := make(chan chunk, maxPendingChunks)
	go d.send()
	go d.receive(received)
	go d.deliver(received, w)
	return d
}

// wait reports whether due was reached before Close.
func (d *delayedConn) wait(due time.Time) bool {
	select {
	case <-d.stop:
		return false
	case <-time.After(time.Until(due)):
		return true
	}
}

func (d *delayedConn) send() {
	for {
		select {
		case <-d.stop:
			return
		case c := <-d.out:
			if !d.wait(c.due) {
				return
			}
			if _, err := d.Conn.Write(c.data); err != nil {
				_ = d.Close()
				return
			}
		}
	}
}

func (d *delayedConn) receive(received chan<- chunk) {
	for {
		buf := make([]byte, 64<<10)
		n, err := d.Conn.Read(buf)
		c := chunk{data: buf[:n], due: time.Now().Add(d.delay), err: err}
		select {
		case <-d.stop:
			return
		case received <- c:
		}
		if err != nil {
			return
		}
	}
}

func (d *delayedConn) deliver(received <-chan chunk, w *io.PipeWriter) {
	for {
		select {
		case <-d.stop:
			_ = w.CloseWithError(net.ErrClosed)
			return
		case c := <-received:
			if !d.wait(c.due) {
				_ = w.CloseWithError(net.ErrClosed)
				return
			}
			_, _ = w.Write(c.data) // fails only after Close
			if c.err != nil {
				_ = w.CloseWithError(c.err)
				return
			}
		}
	}
}

func (d *delayedConn) Read(b []byte) (int, error) { return d.in.Read(b) }

func (d *delayedConn) Write(b []byte) (int, error) {
	c := chunk{data: append([]byte(nil), b...), due: time.Now().Add(d.delay)}
	select {
	case <-d.stop:
		return 0, net.ErrClosed
	case d.out <- c:
		return len(b), nil
	}
}

func (d *delayedConn) Close() error {
	var err error
	d.once.Do(func() {
		close(d.stop)
		_ = d.in.Close()
		err = d.Conn.Close()
	})
	return err
}

// SetDeadline, SetReadDeadline and SetWriteDeadline have no effect. gRPC bounds its
// calls by contexts, and the HTTP clients of the benchmarks set no timeouts.
func (d *delayedConn) SetDeadline(time.Time) error      { return nil }
func (d *delayedConn) SetReadDeadline(time.Time) error  { return nil }
func (d *delayedConn) SetWriteDeadline(time.Time) error { return nil }
