package agateserve

import (
	"net"
	"sync"
)

// limitListener closes connections beyond a number at once. Left in the
// kernel's queue, they would wait without an answer instead of going to
// another host.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

func newLimitListener(ln net.Listener, conns int) *limitListener {
	return &limitListener{Listener: ln, slots: make(chan struct{}, conns)}
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			_ = conn.Close() // the peer sees a closed connection; nothing else can be reported to it
		}
	}
}

type limitConn struct {
	net.Conn
	release func()
}

// CloseWrite lets net/http end its last reply, such as 431, before it closes a
// connection with unread input, which would discard the reply.
func (c *limitConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

func (c *limitConn) Close() error {
	c.release()
	return c.Conn.Close()
}
