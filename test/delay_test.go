package test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// One-way delays of the users' networks.
const (
	delayDomains = time.Millisecond
	delayRegions = 20 * time.Millisecond
	delayCaller  = 3 * time.Millisecond
	// delayBuffer bounds the writes that are on their way.
	delayBuffer = 4096
)

// dialDelayed opens connections between own processes with the delay of the
// way between their regions.
func dialDelayed(ctx context.Context, from, to string, addr netip.AddrPort) (net.Conn, error) {
	if from == to {
		return dialWith(ctx, addr.String(), delayDomains)
	}
	return dialWith(ctx, addr.String(), delayRegions)
}

// dialWith opens a connection on which everything arrives later by a delay,
// in both directions.
func dialWith(ctx context.Context, addr string, delay time.Duration) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	// The handshake takes one way there and back.
	select {
	case <-ctx.Done():
		_ = conn.Close()
		return nil, ctx.Err()
	case <-time.After(2 * delay):
	}
	return newDelayed(conn, delay), nil
}

// delayed is a connection with a delay.
type delayed struct {
	net.Conn
	delay time.Duration
	out   chan parcel
	in    *io.PipeReader
	once  sync.Once
	stop  chan struct{}
}

// parcel is data on its way. An empty one is the end.
type parcel struct {
	data []byte
	due  time.Time
	err  error
}

func newDelayed(conn net.Conn, delay time.Duration) *delayed {
	r, w := io.Pipe()
	d := &delayed{Conn: conn, delay: delay, out: make(chan parcel, delayBuffer), in: r, stop: make(chan struct{})}
	arrived := make(chan parcel, delayBuffer)
	go d.send()
	go d.receive(arrived)
	go d.deliver(arrived, w)
	return d
}

func (d *delayed) wait(due time.Time) bool {
	select {
	case <-d.stop:
		return false
	case <-time.After(time.Until(due)):
		return true
	}
}

func (d *delayed) send() {
	for {
		select {
		case <-d.stop:
			return
		case p := <-d.out:
			if !d.wait(p.due) {
				return
			}
			if _, err := d.Conn.Write(p.data); err != nil {
				_ = d.Close()
				return
			}
		}
	}
}

func (d *delayed) receive(arrived chan<- parcel) {
	for {
		buf := make([]byte, 64<<10)
		n, err := d.Conn.Read(buf)
		p := parcel{data: buf[:n], due: time.Now().Add(d.delay), err: err}
		select {
		case <-d.stop:
			return
		case arrived <- p:
		}
		if err != nil {
			return
		}
	}
}

func (d *delayed) deliver(arrived <-chan parcel, w *io.PipeWriter) {
	for {
		select {
		case <-d.stop:
			_ = w.CloseWithError(net.ErrClosed)
			return
		case p := <-arrived:
			if !d.wait(p.due) {
				_ = w.CloseWithError(net.ErrClosed)
				return
			}
			_, _ = w.Write(p.data) // fails only after Close
			if p.err != nil {
				_ = w.CloseWithError(p.err)
				return
			}
		}
	}
}

func (d *delayed) Read(b []byte) (int, error) { return d.in.Read(b) }

func (d *delayed) Write(b []byte) (int, error) {
	p := parcel{data: append([]byte(nil), b...), due: time.Now().Add(d.delay)}
	select {
	case <-d.stop:
		return 0, net.ErrClosed
	case d.out <- p:
		return len(b), nil
	}
}

func (d *delayed) Close() error {
	var err error
	d.once.Do(func() {
		close(d.stop)
		_ = d.in.Close()
		err = d.Conn.Close()
	})
	return err
}

// SetDeadline and its kin have no effect: gRPC bounds its calls by contexts.
func (d *delayed) SetDeadline(time.Time) error      { return nil }
func (d *delayed) SetReadDeadline(time.Time) error  { return nil }
func (d *delayed) SetWriteDeadline(time.Time) error { return nil }
